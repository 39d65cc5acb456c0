use super::*;

#[test]
fn clock_never_goes_back_and_never_stops() {
    let clock = Clock::default();
    let clone = clock.clone();
    assert_eq!((clock.advance(50), clone.advance(60)), (50, 60));
    // The Unix clock is set back by 40: the clock continues from 60 at the same rate.
    assert_eq!((clock.advance(20), clock.advance(25), clock.advance(70)), (60, 65, 110));
    // The Unix clock is set forward: the clock follows and stays 40 ahead.
    assert_eq!(clock.advance(500), 540);
    assert_eq!(clock.0.get().offset, 40);
}

#[test]
fn unix_time_matches_the_system_clock() {
    let clock = Clock::default();
    let before = system_time();
    let (now, unix_time) = (clock.now(), clock.unix());
    assert!(now >= before && unix_time >= before && unix_time <= system_time());
}

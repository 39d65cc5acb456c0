use super::*;

#[test]
fn clock_never_goes_back_and_never_stops() {
    let clock = Clock::default();
    let other = clock.clone();
    assert_eq!((clock.advance(50), other.advance(60)), (50, 60));
    // Set back by 40: it goes on from 60, as fast as the other.
    assert_eq!((clock.advance(20), clock.advance(25), clock.advance(70)), (60, 65, 110));
    // Set forward, it follows.
    assert_eq!(clock.advance(500), 540);
    assert_eq!(clock.0.get().ahead, 40);
}

#[test]
fn unix_time_is_that_of_the_system() {
    let clock = Clock::default();
    let before = system_time();
    let (now, unix) = (clock.now(), clock.unix());
    assert!(now >= before && unix >= before && unix <= system_time());
}

use super::*;

#[test]
fn one_line_a_second_is_due_with_the_number_of_suppressed_events() {
    let (mut throttle, start) = (LogThrottle::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(throttle.record(at(0)), Some(0));
    assert_eq!((throttle.record(at(1)), throttle.record(at(999))), (None, None));
    assert_eq!(throttle.record(at(1000)), Some(2));
    assert_eq!(throttle.record(at(1001)), None);
}

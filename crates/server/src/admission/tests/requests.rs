//! Requests that arrive, and requests that end without a run of their own.

use super::*;

#[test]
fn an_arrival_counts_the_time_it_spent_unread() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", None);
    let [Event::Arrived(arrival)] = bench.actor.events.as_slice() else { panic!("one event") };
    assert!(arrival.read_delay >= 1_000_000 && arrival.caller == 4);
    assert_eq!(arrival.caller_timeout.map(|timeout| timeout + arrival.read_delay), Some(500_000_000));
}

/// Under the new shape an attempt is marked as a retry and no deadline is passed on, so one that is stated all the same is
/// ignored. Without the settings all is as it was.
#[test]
fn the_shape_decides_whether_deadlines_and_retry_marks_count() {
    let arrival = |shape: Shape, is_retry: bool| {
        let mut bench = bench(Preemption::Never);
        bench.actor.shape = shape;
        let work = WorkRequest { is_retry, ..bench.work("a", None, None) };
        bench.arrive(NOW, work, 0, b"");
        match bench.actor.events.pop() {
            Some(Event::Arrived(arrival)) => (arrival.caller_timeout.is_some(), arrival.is_retry),
            other => panic!("{other:?}"),
        }
    };
    let old = Shape { passes_deadline: true, marks_retry: false };
    assert_eq!(arrival(old, true), (true, false));
    assert_eq!(arrival(Shape { marks_retry: true, ..old }, true), (true, true));
    let new = Shape { passes_deadline: false, marks_retry: true };
    assert_eq!(arrival(new, false), (false, false));
    assert_eq!(arrival(new, true), (false, true));
}

#[test]
fn a_request_that_the_controller_lost_track_of_fails_when_overdue() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", None);
    let deadline = bench.actor.requests.get_mut("a").expect("in flight").deadline;
    bench.actor.fail_overdue(deadline);
    assert_eq!(bench.responses(), []);
    bench.actor.fail_overdue(deadline + 60_000);
    assert_eq!(bench.responses(), [(1, Response::Failed)]);
    assert!(bench.events().contains(&r#"Cancelled("a")"#.to_owned()));
}

#[test]
fn only_the_caller_of_a_request_can_cancel_it() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    bench.send(AdmissionMessage::Cancelled { id: "a".into(), serial: 99 });
    assert_eq!((bench.responses(), bench.events().len()), (vec![], 0));
    bench.send(AdmissionMessage::Cancelled { id: "a".into(), serial: 1 });
    assert_eq!(bench.responses(), [(1, Response::Aborted)]);
    assert_eq!(bench.events(), [r#"Cancelled("a")"#]);
}

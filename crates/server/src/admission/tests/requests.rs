//! Tests of arriving requests, and of requests that end without a run of their own.

use super::*;

#[test]
fn arrival_event_includes_the_read_delay() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.send_request("a", None);
    let [Event::Arrived(arrival)] = fixture.actor.events.as_slice() else {
        panic!("expected one arrival event")
    };
    assert!(arrival.read_delay >= 1_000_000 && arrival.caller == 4);
    assert_eq!(arrival.caller_timeout.map(|timeout| timeout + arrival.read_delay), Some(500_000_000));
}

/// With `marks_retry`, the caller's retry mark is used; without `passes_deadline`, a stated timeout is
/// ignored. With the defaults of both settings, timeouts are used and retry marks are ignored.
#[test]
fn settings_decide_whether_caller_timeouts_and_retry_marks_are_used() {
    let arrival = |shape: Shape, is_retry: bool| {
        let mut fixture = fixture(Preemption::Never);
        fixture.actor.shape = shape;
        let work = WorkRequest { is_retry, ..fixture.work_request("a", None, None) };
        fixture.send_work_request(NOW, work, 0, b"");
        match fixture.actor.events.pop() {
            Some(Event::Arrived(arrival)) => (arrival.caller_timeout.is_some(), arrival.is_retry),
            other => panic!("{other:?}"),
        }
    };
    let with_deadlines = Shape { passes_deadline: true, marks_retry: false };
    assert_eq!(arrival(with_deadlines, true), (true, false));
    assert_eq!(arrival(Shape { marks_retry: true, ..with_deadlines }, true), (true, true));
    let without_deadlines = Shape { passes_deadline: false, marks_retry: true };
    assert_eq!(arrival(without_deadlines, false), (false, false));
    assert_eq!(arrival(without_deadlines, true), (false, true));
}

#[test]
fn request_that_the_controller_never_answers_fails_when_overdue() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.send_request("a", None);
    let deadline = fixture.actor.requests.get_mut("a").expect("the request is in flight").deadline;
    fixture.actor.fail_overdue(deadline);
    assert_eq!(fixture.take_responses(), []);
    fixture.actor.fail_overdue(deadline + 60_000);
    assert_eq!(fixture.take_responses(), [(1, Response::Failed)]);
    assert!(fixture.take_events().contains(&r#"Cancelled("a")"#.to_owned()));
}

#[test]
fn cancellation_with_another_serial_is_ignored() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.launch("a");
    fixture.send(AdmissionMessage::Cancelled { id: "a".into(), serial: 99 });
    assert_eq!((fixture.take_responses(), fixture.take_events().len()), (vec![], 0));
    fixture.send(AdmissionMessage::Cancelled { id: "a".into(), serial: 1 });
    assert_eq!(fixture.take_responses(), [(1, Response::Aborted)]);
    assert_eq!(fixture.take_events(), [r#"Cancelled("a")"#]);
}

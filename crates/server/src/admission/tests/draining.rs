//! Tests of the notice to drain.

use super::*;

#[test]
fn drain_notice_received_before_agent_is_up_keeps_its_receipt_time() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.actor.controller = None;
    fixture.send(AdmissionMessage::Drain { noticed_at: NOW, stop_at: NOW + 1_000_000 });
    fixture.actor.handle_agent_up(NOW + 400_000, 0);
    assert!(fixture.take_events().contains(&"Drain { time_left: 600000, notified_ago: 400000 }".to_owned()));
}

/// Guards against a server that attracts callers shortly before it stops: the agent came up after the drain
/// notice.
#[test]
fn draining_server_does_not_register_as_accepting_when_agent_comes_up() {
    let mut fixture = fixture(Preemption::Pause);
    (fixture.actor.controller, fixture.actor.ready) = (None, None);
    fixture.send(AdmissionMessage::Drain { noticed_at: NOW, stop_at: NOW + 1_000_000 });
    fixture.actor.handle_agent_up(NOW + 400_000, 0);
    assert_eq!(fixture.take_accepting(), [false]);
}

/// Guards against assuming too late a stop time when the process stalls between the notice and its reading.
#[test]
fn drain_notice_read_late_keeps_its_stop_time_and_receipt_time() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.send(AdmissionMessage::Drain { noticed_at: NOW - 700_000, stop_at: NOW + 300_000 });
    assert_eq!(fixture.take_events(), ["Drain { time_left: 300000, notified_ago: 700000 }"]);
}

/// Guards against assuming too late a stop time when the process stalls between the reading of the notice and
/// the step. Requests in flight must then be answered at once, and none may start.
#[test]
fn drain_event_is_recomputed_at_the_step() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.send_request("a", None);
    // Both messages were read at `NOW`. The step takes its time from the clock, by which the stop is long
    // past.
    fixture.send(AdmissionMessage::Drain { noticed_at: NOW, stop_at: NOW + 1_000_000 });
    assert!(fixture.actor.step());
    assert!(matches!(fixture.take_responses()[..], [(1, Response::Rejected { .. })]));
    assert_eq!(fixture.take_agent_commands(), []);
}

//! The notice to drain.

use super::*;

#[test]
fn a_notice_that_comes_before_the_agent_is_up_counts_from_when_it_came() {
    let mut bench = bench(Preemption::Pause);
    bench.actor.controller = None;
    bench.send(AdmissionMessage::Drain { noticed_at: NOW, stop_at: NOW + 1_000_000 });
    bench.actor.handle_agent_up(NOW + 400_000, 0);
    assert!(bench.events().contains(&"Drain { time_left: 600000, notified_ago: 400000 }".to_owned()));
}

/// Guards against callers that are asked to come to a server that is about to end: the agent came up after the notice.
#[test]
fn a_draining_server_whose_agent_comes_up_is_not_registered_as_accepting() {
    let mut bench = bench(Preemption::Pause);
    (bench.actor.controller, bench.actor.ready) = (None, None);
    bench.send(AdmissionMessage::Drain { noticed_at: NOW, stop_at: NOW + 1_000_000 });
    bench.actor.handle_agent_up(NOW + 400_000, 0);
    assert_eq!(bench.accepting(), [false]);
}

/// Guards against a stop that is taken for later than it is: the process was stalled between the notice and its reading.
#[test]
fn a_notice_read_late_moves_neither_the_stop_nor_the_grace() {
    let mut bench = bench(Preemption::Pause);
    bench.send(AdmissionMessage::Drain { noticed_at: NOW - 700_000, stop_at: NOW + 300_000 });
    assert_eq!(bench.events(), ["Drain { time_left: 300000, notified_ago: 700000 }"]);
}

/// Guards against a stop that is taken for later than it is: the process was stalled between the reading of the notice and
/// the step. What is in flight then is answered at once, and nothing starts.
#[test]
fn a_notice_is_brought_up_to_date_at_the_step() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", None);
    // Both were read at `NOW`; by the clock, at which the step is, the stop is long past.
    bench.send(AdmissionMessage::Drain { noticed_at: NOW, stop_at: NOW + 1_000_000 });
    assert!(bench.actor.step());
    assert!(matches!(bench.responses()[..], [(1, Response::Rejected { .. })]));
    assert_eq!(bench.commands(), []);
}

//! Runs: their start, preemption and end.

use super::*;

#[test]
fn the_result_of_a_run_is_the_response_and_an_event() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    bench.end_run("a", RunOutcome::Success(b"r".to_vec()));
    assert_eq!(bench.responses(), [(1, Response::Served(b"r".to_vec()))]);
    assert_eq!(bench.events(), [r#"RunEnded("a", Ok, 9)"#]);
    assert_eq!(bench.actor.requests.len(), 0);
}

#[test]
fn a_request_that_has_run_fails_where_it_would_be_rejected() {
    let mut bench = bench(Preemption::Abort);
    bench.request("waiting", None);
    bench.execute(Action::Reject { id: "waiting".into(), retry_after: 5, terminal: true });
    bench.launched("has-run");
    bench.execute(Action::Preempt("has-run".into()));
    bench.end_run("has-run", RunOutcome::Aborted);
    bench.execute(Action::Reject { id: "has-run".into(), retry_after: 0, terminal: false });
    let rejected = Response::Rejected { retry_after: 5, terminal: true };
    assert_eq!(bench.responses(), [(1, rejected), (2, Response::Failed)]);
    assert_eq!(bench.actor.requests.len(), 0);
}

#[test]
fn a_paused_run_is_resumed_and_an_aborted_one_is_launched_again() {
    let launch = AgentCommand::Launch { id: "a".into(), class: "desk-search".into(), body: b"body".to_vec() };
    for (preemption, next_command) in
        [(Preemption::Pause, AgentCommand::Resume("a".into())), (Preemption::Abort, launch)]
    {
        let mut bench = bench(preemption);
        bench.launched("a");
        bench.execute(Action::Preempt("a".into()));
        assert_eq!(bench.commands(), [AgentCommand::Pause("a".into())]);
        // Until the agent reports its end it still runs.
        bench.execute(Action::Admit("a".into()));
        assert_eq!(bench.commands(), []);
        bench.end_run("a", RunOutcome::Aborted);
        assert_eq!(bench.events(), [r#"RunEnded("a", Aborted, 9)"#]);
        assert_eq!(bench.responses(), []);
        bench.execute(Action::Admit("a".into()));
        assert_eq!(bench.commands(), [next_command]);
    }
}

#[test]
fn a_run_that_was_stopped_without_preemption_fails() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    bench.end_run("a", RunOutcome::Aborted);
    assert_eq!(bench.responses(), [(1, Response::Failed)]);
    assert_eq!(bench.actor.requests.len(), 0);
}

#[test]
fn a_run_goes_on_after_the_response_until_its_end() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    bench.execute(Action::Fail("a".into()));
    bench.execute(Action::Preempt("a".into()));
    assert_eq!((bench.commands(), bench.actor.requests.len()), (vec![AgentCommand::Pause("a".into())], 1));
    bench.end_run("a", RunOutcome::Success(b"late".to_vec()));
    assert_eq!(bench.responses(), [(1, Response::Failed)]);
    assert_eq!((bench.events(), bench.actor.requests.len()), (vec![r#"RunEnded("a", Ok, 9)"#.to_owned()], 0));
}

#[test]
fn only_a_rejected_launch_ends_its_request_as_not_started() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    for command in ["freeze", "thaw", "deliver", "forgo"] {
        bench.send(AdmissionMessage::AgentRejected { command: command.into(), id: "a".into() });
    }
    assert_eq!(bench.responses(), []);
    bench.send(AdmissionMessage::AgentRejected { command: "launch".into(), id: "a".into() });
    assert_eq!(bench.responses(), [(1, Response::Failed)]);
    assert_eq!(bench.events(), [r#"RunEnded("a", NotStarted, 0)"#]);
}

#[test]
fn a_timer_event_waits_for_gauges_but_not_for_long() {
    let mut bench = bench(Preemption::Pause);
    bench.execute(Action::WakeAfter(20_000));
    bench.actor.handle_timeout(NOW + 19_999);
    assert_eq!(bench.commands(), []);
    // However late it is looked at, it comes once.
    bench.actor.handle_timeout(NOW + 900_000);
    let [AgentCommand::SampleGauges(tag)] = bench.commands()[..] else { panic!("a sample") };
    bench.send(AdmissionMessage::GaugesSampled { tag: tag + 1, values: vec![] });
    assert_eq!(bench.events().len(), 0);
    bench.send(AdmissionMessage::GaugesSampled { tag, values: vec![] });
    bench.actor.handle_timeout(NOW + 990_000);
    assert_eq!(bench.events().len(), 1);
    bench.execute(Action::WakeAfter(20_000));
    bench.actor.handle_timeout(NOW + 20_000);
    bench.actor.handle_timeout(NOW + 20_000 + agent_events::GAUGE_TIMEOUT);
    assert_eq!(bench.events().len(), 1);
}

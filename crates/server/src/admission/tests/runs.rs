//! Tests of the start, preemption and end of runs.

use super::*;

#[test]
fn successful_run_sends_its_result_and_an_event() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.launch("a");
    fixture.end_run("a", RunOutcome::Success(b"r".to_vec()));
    assert_eq!(fixture.take_responses(), [(1, Response::Served(b"r".to_vec()))]);
    assert_eq!(fixture.take_events(), [r#"RunEnded("a", Ok, 9)"#]);
    assert_eq!(fixture.actor.requests.len(), 0);
}

#[test]
fn rejecting_a_request_that_has_run_fails_it() {
    let mut fixture = fixture(Preemption::Abort);
    fixture.send_request("waiting", None);
    fixture.execute(Action::Reject { id: "waiting".into(), retry_after: 5, terminal: true });
    fixture.launch("has-run");
    fixture.execute(Action::Preempt("has-run".into()));
    fixture.end_run("has-run", RunOutcome::Aborted);
    fixture.execute(Action::Reject { id: "has-run".into(), retry_after: 0, terminal: false });
    let rejected = Response::Rejected { retry_after: 5, terminal: true };
    assert_eq!(fixture.take_responses(), [(1, rejected), (2, Response::Failed)]);
    assert_eq!(fixture.actor.requests.len(), 0);
}

#[test]
fn preempted_run_is_resumed_if_paused_and_relaunched_if_aborted() {
    let launch = AgentCommand::Launch {
        id: "a".into(),
        class: "desk-search".into(),
        body: b"body".to_vec(),
        repeatable: true,
    };
    for (preemption, next_command) in
        [(Preemption::Pause, AgentCommand::Resume("a".into())), (Preemption::Abort, launch)]
    {
        let mut fixture = fixture(preemption);
        fixture.launch("a");
        fixture.execute(Action::Preempt("a".into()));
        assert_eq!(fixture.take_agent_commands(), [AgentCommand::Pause("a".into())]);
        // The run counts as running until the agent reports its end.
        fixture.execute(Action::Admit("a".into()));
        assert_eq!(fixture.take_agent_commands(), []);
        fixture.end_run("a", RunOutcome::Aborted);
        assert_eq!(fixture.take_events(), [r#"RunEnded("a", Aborted, 9)"#]);
        assert_eq!(fixture.take_responses(), []);
        fixture.execute(Action::Admit("a".into()));
        assert_eq!(fixture.take_agent_commands(), [next_command]);
    }
}

#[test]
fn aborted_run_without_preemption_fails_its_request() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.launch("a");
    fixture.end_run("a", RunOutcome::Aborted);
    assert_eq!(fixture.take_responses(), [(1, Response::Failed)]);
    assert_eq!(fixture.actor.requests.len(), 0);
}

#[test]
fn request_stays_in_table_after_response_until_its_run_ends() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.launch("a");
    fixture.execute(Action::Fail("a".into()));
    fixture.execute(Action::Preempt("a".into()));
    assert_eq!(
        (fixture.take_agent_commands(), fixture.actor.requests.len()),
        (vec![AgentCommand::Pause("a".into())], 1)
    );
    fixture.end_run("a", RunOutcome::Success(b"late".to_vec()));
    assert_eq!(fixture.take_responses(), [(1, Response::Failed)]);
    assert_eq!(
        (fixture.take_events(), fixture.actor.requests.len()),
        (vec![r#"RunEnded("a", Ok, 9)"#.to_owned()], 0)
    );
}

#[test]
fn launch_is_repeatable_only_in_an_idempotent_class() {
    for (idempotency, is_repeatable) in
        [(Idempotency::Idempotent, true), (Idempotency::WithKey, false), (Idempotency::NotIdempotent, false)]
    {
        let mut settings = settings(Preemption::Never);
        settings.classes[0].idempotency = idempotency;
        let mut fixture = fixture_with(settings);
        let work = fixture.work_request_with_key("a", "k");
        fixture.send_work_request(NOW, work, 0, b"");
        fixture.execute(Action::Admit("a".into()));
        let commands = fixture.take_agent_commands();
        let [AgentCommand::Launch { repeatable, .. }] = commands[..] else { panic!("{commands:?}") };
        assert_eq!(repeatable, is_repeatable, "{idempotency:?}");
    }
}

/// Guards against a place that stays taken for good: no end is ever reported of a run whose launch the agent
/// has not read.
#[test]
fn run_of_an_uncertain_launch_counts_as_ended_once_its_request_is_answered() {
    let uncertain = || AdmissionMessage::LaunchUncertain { id: "a".into() };
    for is_answered_before in [false, true] {
        let mut fixture = fixture_with_keys();
        fixture.send_attempt(NOW, "a", 0, "k");
        fixture.execute(Action::Admit("a".into()));
        fixture.take_events();
        if is_answered_before {
            fixture.execute(Action::Fail("a".into()));
            fixture.send(uncertain());
        } else {
            fixture.send(uncertain());
            assert_eq!(fixture.take_responses(), []);
            fixture.execute(Action::Fail("a".into()));
        }
        assert_eq!(fixture.take_responses(), [(1, Response::Failed)]);
        assert_eq!(fixture.take_events(), [r#"RunEnded("a", Aborted, 0)"#]);
        assert_eq!(fixture.actor.requests.len(), 0);
        // It may have run, so another attempt must not.
        assert_eq!(fixture.send_attempt(NOW + 1, "b", 0, "k").as_deref(), Some("a"));
        fixture.execute(Action::AwaitDuplicate("b".into()));
        assert_eq!(fixture.take_responses(), [(2, Response::Failed)]);
    }
}

#[test]
fn request_of_an_uncertain_launch_gets_the_result_of_its_run() {
    let mut fixture = fixture_with_keys();
    fixture.send_attempt(NOW, "a", 0, "k");
    fixture.execute(Action::Admit("a".into()));
    fixture.take_events();
    fixture.send(AdmissionMessage::LaunchUncertain { id: "a".into() });
    fixture.end_run("a", RunOutcome::Success(b"r".to_vec()));
    assert_eq!(fixture.take_responses(), [(1, Response::Served(b"r".to_vec()))]);
    assert_eq!(fixture.take_events(), [r#"RunEnded("a", Ok, 9)"#]);
    assert_eq!(fixture.actor.requests.len(), 0);
}

#[test]
fn only_a_rejected_launch_command_ends_the_request() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.launch("a");
    for command in ["freeze", "thaw", "deliver", "forgo"] {
        fixture.send(AdmissionMessage::AgentRejected { command: command.into(), id: "a".into() });
    }
    assert_eq!(fixture.take_responses(), []);
    fixture.send(AdmissionMessage::AgentRejected { command: "launch".into(), id: "a".into() });
    assert_eq!(fixture.take_responses(), [(1, Response::Failed)]);
    assert_eq!(fixture.take_events(), [r#"RunEnded("a", NotStarted, 0)"#]);
}

#[test]
fn timer_event_waits_for_gauges_until_the_gauge_timeout() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.execute(Action::WakeAfter(20_000));
    fixture.actor.handle_timeout(NOW + 19_999);
    assert_eq!(fixture.take_agent_commands(), []);
    // However late the timeout is handled, the timer event is sent once.
    fixture.actor.handle_timeout(NOW + 900_000);
    let [AgentCommand::SampleGauges(tag)] = fixture.take_agent_commands()[..] else {
        panic!("expected one gauge sample")
    };
    fixture.send(AdmissionMessage::GaugesSampled { tag: tag + 1, values: vec![] });
    assert_eq!(fixture.take_events().len(), 0);
    fixture.send(AdmissionMessage::GaugesSampled { tag, values: vec![] });
    fixture.actor.handle_timeout(NOW + 990_000);
    assert_eq!(fixture.take_events().len(), 1);
    fixture.execute(Action::WakeAfter(20_000));
    fixture.actor.handle_timeout(NOW + 20_000);
    fixture.actor.handle_timeout(NOW + 20_000 + agent_events::GAUGE_TIMEOUT);
    assert_eq!(fixture.take_events().len(), 1);
}

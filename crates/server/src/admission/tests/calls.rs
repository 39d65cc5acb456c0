//! Downstream calls of runs without a call plan.

use super::*;
use crate::messages::calls::CallId;
use umberloom::interface::Outcome;

fn needs_call(notice_seq: u64, body: &[u8]) -> AdmissionMessage {
    AdmissionMessage::NeedsCall { id: "a".into(), notice_seq, body: body.to_vec() }
}

fn call_ended(outcome: Outcome, body: &[u8]) -> AdmissionMessage {
    let id = CallId::without_plan("a".into());
    AdmissionMessage::CallEnded { id, outcome, duration: 3, body: body.to_vec() }
}

/// Takes the commands that were sent to the records service's actor since the last call, in text form.
fn take_records_commands(fixture: &Fixture) -> Vec<String> {
    let describe = |command| match command {
        DependencyCommand::Call(call) => {
            format!("Call({:?}, {:?}, {})", call.id.request, call.body, call.deadline)
        }
        DependencyCommand::Cancel(id) => format!("Cancel({:?})", id.request),
        other => format!("{other:?}"),
    };
    receive_all(&fixture.records).into_iter().map(describe).collect()
}

#[test]
fn calls_without_a_plan_are_made_delivered_cancelled_and_skipped() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.launch("a");
    fixture.send(needs_call(7, b"c"));
    fixture.execute(Action::Call("a".into(), 50));
    assert_eq!(take_records_commands(&fixture), [r#"Call("a", [99], 50)"#]);
    fixture.send(call_ended(Outcome::ConnectionLost, b""));
    fixture.execute(Action::Call("a".into(), 60));
    fixture.send(call_ended(Outcome::Ok, b"reply"));
    let deliver = AgentCommand::DeliverReply { id: "a".into(), body: b"reply".to_vec() };
    assert_eq!(fixture.take_agent_commands(), [deliver]);
    let events = [r#"NeedsCall("a")"#, r#"CallEnded("a", ConnectionLost, 3)"#, r#"CallEnded("a", Ok, 3)"#];
    assert_eq!(fixture.take_events(), events);
    // The end of a call that nobody waits for is ignored.
    fixture.send(call_ended(Outcome::Ok, b""));
    assert_eq!((fixture.take_agent_commands(), fixture.take_events().len()), (vec![], 0));
    take_records_commands(&fixture);
    fixture.send(needs_call(8, b"d"));
    fixture.execute(Action::Call("a".into(), 70));
    fixture.execute(Action::SkipCall("a".into()));
    assert_eq!(take_records_commands(&fixture), [r#"Call("a", [100], 70)"#, r#"Cancel("a")"#]);
    assert_eq!(fixture.take_agent_commands(), [AgentCommand::SkipCall { id: "a".into(), notice_seq: 8 }]);
    fixture.send(needs_call(9, b"e"));
    fixture.execute(Action::Call("a".into(), 70));
    fixture.execute(Action::Fail("a".into()));
    assert_eq!(take_records_commands(&fixture), [r#"Call("a", [101], 70)"#, r#"Cancel("a")"#]);
}

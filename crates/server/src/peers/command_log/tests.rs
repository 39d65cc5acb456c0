use super::*;

fn ops(bytes: &[u8]) -> Vec<String> {
    let text = std::str::from_utf8(bytes).expect("text");
    let op = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).expect("json");
        format!("{} {}", value["op"].as_str().expect("op"), value["id"].as_str().unwrap_or(""))
    };
    text.lines().map(op).collect()
}

fn launch(id: &str) -> AgentCommand {
    AgentCommand::Launch { id: id.into(), class: "c".into(), body: vec![1] }
}

/// A command log on a new link, with the answer to its first sample received.
fn linked() -> CommandLog {
    let mut journal = CommandLog::default();
    journal.restart_link();
    assert_eq!(ops(&journal.take_lines(9_999)), ["sample "]);
    assert_eq!(journal.sample_answered("1"), None);
    journal
}

#[test]
fn commands_are_written_once_and_in_order() {
    let mut journal = linked();
    journal.push(&launch("a"));
    journal.push(&AgentCommand::SampleGauges(40));
    journal.push(&AgentCommand::Pause("a".into()));
    assert_eq!(ops(&journal.take_lines(1)), ["launch a"]);
    assert_eq!(ops(&journal.take_lines(9_999)), ["sample ", "freeze a"]);
    assert_eq!(journal.take_lines(9_999), b"");
    assert_eq!((journal.sample_answered("3"), journal.len()), (Some(40), 1));
    assert_eq!(journal.sample_answered("3"), None);
}

#[test]
fn commands_that_may_not_have_been_read_are_replayed_on_a_new_link() {
    let mut journal = linked();
    journal.push(&launch("read"));
    journal.push(&AgentCommand::SampleGauges(1));
    journal.push(&launch("ended"));
    journal.push(&launch("a"));
    journal.push(&AgentCommand::DeliverReply { id: "b".into(), body: vec![] });
    journal.take_lines(9_999);
    journal.sample_answered("3");
    journal.push(&launch("later"));
    journal.restart_link();
    assert_eq!(ops(&journal.take_lines(9_999)), ["sample "]);
    // Missed notices come before the answer to the sample: one run has ended, one waits for its next call.
    journal.run_ended("ended");
    journal.run_waits_for_call("b");
    assert_eq!(journal.take_lines(9_999), b"");
    assert_eq!(journal.sample_answered("8"), None);
    assert_eq!(ops(&journal.take_lines(9_999)), ["launch a", "launch later"]);
}

#[test]
fn queries_of_a_lost_link_are_not_replayed() {
    let mut journal = linked();
    journal.push(&AgentCommand::SampleGauges(5));
    journal.push(&AgentCommand::RunHealthCheck(6));
    journal.take_lines(9_999);
    journal.restart_link();
    journal.restart_link();
    assert_eq!(journal.len(), 1);
    assert_eq!(journal.sample_answered("2"), None);
    assert_eq!(ops(&journal.take_lines(9_999)), ["sample "]);
}

#[test]
fn health_check_answer_does_not_acknowledge_earlier_commands() {
    let mut journal = linked();
    journal.push(&launch("a"));
    journal.push(&AgentCommand::RunHealthCheck(6));
    journal.take_lines(9_999);
    assert_eq!((journal.health_check_answered("3"), journal.len()), (Some(6), 1));
    assert_eq!(journal.health_check_answered("nonsense"), None);
}

#[test]
fn pauses_and_samples_do_not_accumulate_without_a_link() {
    let mut journal = linked();
    journal.restart_link();
    for _ in 0..100 {
        journal.push(&AgentCommand::Pause("a".into()));
        journal.push(&AgentCommand::SampleGauges(1));
    }
    assert_eq!(journal.len(), 3);
}

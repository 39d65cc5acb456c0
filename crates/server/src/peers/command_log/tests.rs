use super::*;

/// The operation and request id of each encoded command.
fn ops(bytes: &[u8]) -> Vec<String> {
    let text = std::str::from_utf8(bytes).expect("text");
    let op = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).expect("json");
        format!("{} {}", value["op"].as_str().expect("op"), value["id"].as_str().unwrap_or(""))
    };
    text.lines().map(op).collect()
}

fn launch(id: &str) -> AgentCommand {
    AgentCommand::Launch { id: id.into(), class: "c".into(), body: vec![1], repeatable: true }
}

fn launch_once(id: &str) -> AgentCommand {
    AgentCommand::Launch { id: id.into(), class: "c".into(), body: vec![1], repeatable: false }
}

/// A command log on a new link, with the answer to its first sample received.
fn caught_up_log() -> CommandLog {
    let mut command_log = CommandLog::default();
    command_log.restart_link();
    assert_eq!(ops(&command_log.take_lines(9_999)), ["sample "]);
    assert_eq!(command_log.sample_answered("1"), None);
    command_log
}

#[test]
fn commands_are_written_once_and_in_order() {
    let mut command_log = caught_up_log();
    command_log.push(&launch("a"));
    command_log.push(&AgentCommand::SampleGauges(40));
    command_log.push(&AgentCommand::Pause("a".into()));
    assert_eq!(ops(&command_log.take_lines(1)), ["launch a"]);
    assert_eq!(ops(&command_log.take_lines(9_999)), ["sample ", "freeze a"]);
    assert_eq!(command_log.take_lines(9_999), b"");
    assert_eq!((command_log.sample_answered("3"), command_log.len()), (Some(40), 1));
    assert_eq!(command_log.sample_answered("3"), None);
}

#[test]
fn commands_that_may_not_have_been_read_are_replayed_on_a_new_link() {
    let mut command_log = caught_up_log();
    command_log.push(&launch("read"));
    command_log.push(&AgentCommand::SampleGauges(1));
    command_log.push(&launch("ended"));
    command_log.push(&launch("a"));
    command_log.push(&AgentCommand::DeliverReply { id: "b".into(), body: vec![] });
    command_log.take_lines(9_999);
    command_log.sample_answered("3");
    command_log.push(&launch("later"));
    command_log.restart_link();
    assert_eq!(ops(&command_log.take_lines(9_999)), ["sample "]);
    // Missed notices come before the answer to the sample: one run has ended, one waits for its next call.
    command_log.run_ended("ended");
    command_log.run_waits_for_call("b");
    assert_eq!(command_log.take_lines(9_999), b"");
    assert_eq!(command_log.sample_answered("8"), None);
    assert_eq!(ops(&command_log.take_lines(9_999)), ["launch a", "launch later"]);
}

#[test]
fn queries_of_a_lost_link_are_not_replayed() {
    let mut command_log = caught_up_log();
    command_log.push(&AgentCommand::SampleGauges(5));
    command_log.push(&AgentCommand::RunHealthCheck(6));
    command_log.take_lines(9_999);
    command_log.restart_link();
    command_log.restart_link();
    assert_eq!(command_log.len(), 1);
    assert_eq!(command_log.sample_answered("2"), None);
    assert_eq!(ops(&command_log.take_lines(9_999)), ["sample "]);
}

#[test]
fn health_check_answer_does_not_acknowledge_earlier_commands() {
    let mut command_log = caught_up_log();
    command_log.push(&launch("a"));
    command_log.push(&AgentCommand::RunHealthCheck(6));
    command_log.take_lines(9_999);
    assert_eq!((command_log.health_check_answered("3"), command_log.len()), (Some(6), 1));
    assert_eq!(command_log.health_check_answered("nonsense"), None);
}

#[test]
fn pauses_and_samples_do_not_accumulate_without_a_link() {
    let mut command_log = caught_up_log();
    command_log.restart_link();
    for _ in 0..100 {
        command_log.push(&AgentCommand::Pause("a".into()));
        command_log.push(&AgentCommand::SampleGauges(1));
    }
    assert_eq!(command_log.len(), 3);
}

#[test]
fn nothing_else_is_written_until_the_commands_on_a_link_that_ends_are_acknowledged() {
    let mut command_log = caught_up_log();
    command_log.push(&AgentCommand::SampleGauges(7));
    command_log.take_lines(9_999);
    // A query is not replayed, so there is nothing to acknowledge.
    assert!(!command_log.request_acknowledgement());
    command_log.push(&launch("a"));
    command_log.take_lines(9_999);
    command_log.push(&launch("later"));
    assert!(command_log.request_acknowledgement());
    assert!(!command_log.request_acknowledgement());
    assert_eq!(ops(&command_log.take_lines(9_999)), ["sample "]);
    assert_eq!((command_log.awaits_marker(), command_log.unacknowledged()), (true, 1));
    assert_eq!(command_log.sample_answered("5"), None);
    assert_eq!((command_log.awaits_marker(), command_log.unacknowledged()), (false, 0));
    command_log.restart_link();
    assert_eq!(ops(&command_log.take_lines(9_999)), ["sample "]);
    assert_eq!(command_log.sample_answered("6"), None);
    assert_eq!(ops(&command_log.take_lines(9_999)), ["launch later"]);
}

/// Guards against a second run: a run can end between the last missed notice and the repeated launch.
#[test]
fn launches_that_must_not_be_repeated_are_not_replayed_if_they_may_have_been_read() {
    let mut command_log = caught_up_log();
    command_log.push(&launch_once("sent"));
    command_log.push(&launch("repeatable"));
    command_log.push(&launch_once("cut"));
    command_log.push(&launch_once("unsent"));
    let lines = command_log.take_lines(9_999);
    command_log.push(&launch_once("unwritten"));
    // The last line was not sent at all, and of the one before it only the first byte.
    let line_lengths: Vec<usize> = lines.split_inclusive(|b| *b == b'\n').map(<[u8]>::len).collect();
    command_log.end_link(line_lengths[2] - 1 + line_lengths[3]);
    let uncertain = command_log.restart_link();
    assert_eq!(uncertain.iter().map(|id| &**id).collect::<Vec<_>>(), ["sent", "cut"]);
    assert_eq!(ops(&command_log.take_lines(9_999)), ["sample "]);
    assert_eq!(command_log.sample_answered("7"), None);
    let replayed = ["launch repeatable", "launch unsent", "launch unwritten"];
    assert_eq!(ops(&command_log.take_lines(9_999)), replayed);
    // Acknowledged commands are none of these.
    command_log.push(&AgentCommand::SampleGauges(3));
    command_log.take_lines(9_999);
    command_log.sample_answered("8");
    command_log.end_link(0);
    assert!(command_log.restart_link().is_empty());
}

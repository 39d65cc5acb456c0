use super::*;
use crate::wire::test_bytes;

fn encode_to_text(command: &Command) -> String {
    String::from_utf8(command.encode()).expect("text")
}

#[test]
fn every_command_is_encoded_as_one_line() {
    let id = "9b1f";
    let cases = [
        (Command::Subscribe { seq: 4 }, r#"{"op":"subscribe","seq":4}"#),
        (
            Command::Launch { id, class: "a", body: encode_base64(&[0, 255]) },
            r#"{"op":"launch","id":"9b1f","class":"a","body":"AP8="}"#,
        ),
        (Command::Freeze { id }, r#"{"op":"freeze","id":"9b1f"}"#),
        (Command::Thaw { id }, r#"{"op":"thaw","id":"9b1f"}"#),
        (Command::Deliver { id, body: encode_base64(b"") }, r#"{"op":"deliver","id":"9b1f","body":""}"#),
        (Command::Forgo { id, seq: 8 }, r#"{"op":"forgo","id":"9b1f","seq":8}"#),
        (Command::Sample { tag: "7" }, r#"{"op":"sample","tag":"7"}"#),
        (Command::Exercise { tag: "7" }, r#"{"op":"exercise","tag":"7"}"#),
    ];
    for (command, line) in cases {
        assert_eq!(encode_to_text(&command), format!("{line}\n"));
    }
    assert_eq!(encode_to_text(&Command::Thaw { id: "a\n\"b" }).lines().count(), 1);
}

#[test]
fn every_notice_is_parsed() {
    let assert_notice =
        |line: &str, expected: Notice, seq| assert_eq!(parse_notice(line.as_bytes()), Ok((expected, seq)));
    assert_notice(
        r#"{"op":"greeting","end":"running","ms":3}"#,
        Notice::Greeting { starting: false, uptime: 3_000 },
        None,
    );
    assert_notice(
        r#"{"op":"greeting","end":"starting"}"#,
        Notice::Greeting { starting: true, uptime: 0 },
        None,
    );
    assert_notice(
        r#"{"op":"outcome","seq":3,"id":"a","end":"fine","ms":18.5,"body":"AP8="}"#,
        Notice::RunEnded { id: "a".into(), outcome: RunOutcome::Success(vec![0, 255]), duration: 18_500 },
        Some(3),
    );
    for (end, outcome) in
        [("fault", RunOutcome::Failed), ("broken_off", RunOutcome::Aborted), ("late", RunOutcome::NotStarted)]
    {
        let line = format!(r#"{{"op":"outcome","seq":3,"id":"a","end":"{end}","ms":1}}"#);
        assert_notice(&line, Notice::RunEnded { id: "a".into(), outcome, duration: 1_000 }, Some(3));
    }
    assert_notice(
        r#"{"op":"request","seq":4,"id":"a","body":"eA=="}"#,
        Notice::NeedsCall { id: "a".into(), notice_seq: 4, body: b"x".to_vec() },
        Some(4),
    );
    assert_notice(
        r#"{"op":"sampled","tag":"7","values":[0.5,3,0.25,9]}"#,
        Notice::GaugesSampled { tag: "7".into(), values: vec![0.5, 3.0, 0.25, 9.0] },
        None,
    );
    assert_notice(
        r#"{"op":"exercised","tag":"7","end":"fault"}"#,
        Notice::HealthCheckEnded { tag: "7".into(), healthy: false },
        None,
    );
    assert_notice(
        r#"{"op":"refusal","end":"launch","id":"a"}"#,
        Notice::CommandRejected { command: "launch".into(), id: "a".into() },
        None,
    );
    assert_notice(r#"{"op":"aside","seq":5,"end":"tea"}"#, Notice::Ignored, Some(5));
    assert_notice(r#"{"op":"something-new"}"#, Notice::Ignored, None);
}

#[test]
fn invalid_notice_differs_from_malformed_line() {
    for line in [
        &br#"{"op":"outcome","seq":1,"id":"a","end":"odd"}"#[..],
        br#"{"op":"outcome","seq":1,"id":"a","end":"fine","body":"%%"}"#,
        br#"{"op":"request","seq":1,"id":"a","body":"%%"}"#,
    ] {
        assert_eq!(parse_notice(line), Ok((Notice::Invalid { id: "a".into() }, Some(1))));
    }
}

#[test]
fn damaged_lines_are_malformed_or_parsed() {
    let line = br#"{"op":"request","seq":4,"id":"9b1f03aa5c7e2d41","body":"AP8AP8AP8AP8"}"#;
    let rejected = test_bytes::damaged_copies(line).filter(|bytes| parse_notice(bytes).is_err()).count();
    assert!((100..500).contains(&rejected), "{rejected}");
}

#[test]
fn truncated_or_mistyped_lines_are_malformed() {
    let line = br#"{"op":"outcome","seq":3,"id":"a","end":"fine","ms":18.5,"body":"AP8="}"#;
    for length in 0..line.len() {
        assert!(parse_notice(&line[..length]).is_err(), "{length}");
    }
    for malformed in
        [&b"[]"[..], b"\xff\xfe", br#"{"op":"outcome","seq":-1,"id":"a","end":"fine"}"#, br#"{"op":7}"#]
    {
        assert!(parse_notice(malformed).is_err(), "{}", String::from_utf8_lossy(malformed));
    }
}

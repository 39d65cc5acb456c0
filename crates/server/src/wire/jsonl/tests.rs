use super::*;
use crate::wire::test_bytes;

fn text(command: Command) -> String {
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
        assert_eq!(text(command), format!("{line}\n"));
    }
    assert_eq!(text(Command::Thaw { id: "a\n\"b" }).lines().count(), 1);
}

#[test]
fn every_notice_is_parsed() {
    let is = |line: &str, wanted: Notice, seq| assert_eq!(parse_notice(line.as_bytes()), Ok((wanted, seq)));
    is(
        r#"{"op":"greeting","end":"running","ms":3}"#,
        Notice::Greeting { starting: false, uptime: 3_000 },
        None,
    );
    is(r#"{"op":"greeting","end":"starting"}"#, Notice::Greeting { starting: true, uptime: 0 }, None);
    is(
        r#"{"op":"outcome","seq":3,"id":"a","end":"fine","ms":18.5,"body":"AP8="}"#,
        Notice::RunEnded { id: "a".into(), outcome: RunOutcome::Success(vec![0, 255]), duration: 18_500 },
        Some(3),
    );
    for (word, end) in
        [("fault", RunOutcome::Failed), ("broken_off", RunOutcome::Aborted), ("late", RunOutcome::NotStarted)]
    {
        let line = format!(r#"{{"op":"outcome","seq":3,"id":"a","end":"{word}","ms":1}}"#);
        is(&line, Notice::RunEnded { id: "a".into(), outcome: end, duration: 1_000 }, Some(3));
    }
    is(
        r#"{"op":"request","seq":4,"id":"a","body":"eA=="}"#,
        Notice::NeedsCall { id: "a".into(), notice_seq: 4, body: b"x".to_vec() },
        Some(4),
    );
    is(
        r#"{"op":"sampled","tag":"7","values":[0.5,3,0.25,9]}"#,
        Notice::GaugesSampled { tag: "7".into(), values: vec![0.5, 3.0, 0.25, 9.0] },
        None,
    );
    is(
        r#"{"op":"exercised","tag":"7","end":"fault"}"#,
        Notice::HealthCheckEnded { tag: "7".into(), healthy: false },
        None,
    );
    is(
        r#"{"op":"refusal","end":"launch","id":"a"}"#,
        Notice::CommandRejected { command: "launch".into(), id: "a".into() },
        None,
    );
    is(r#"{"op":"aside","seq":5,"end":"tea"}"#, Notice::Ignored, Some(5));
    is(r#"{"op":"something-new"}"#, Notice::Ignored, None);
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
fn damaged_lines_are_malformed_or_still_a_notice() {
    let line = br#"{"op":"request","seq":4,"id":"9b1f03aa5c7e2d41","body":"AP8AP8AP8AP8"}"#;
    let refused = test_bytes::damaged_copies(line).filter(|bytes| parse_notice(bytes).is_err()).count();
    assert!((100..500).contains(&refused), "{refused}");
}

#[test]
fn truncated_lines_are_malformed() {
    let line = br#"{"op":"outcome","seq":3,"id":"a","end":"fine","ms":18.5,"body":"AP8="}"#;
    for cut in 0..line.len() {
        assert!(parse_notice(&line[..cut]).is_err(), "{cut}");
    }
    for bad in
        [&b"[]"[..], b"\xff\xfe", br#"{"op":"outcome","seq":-1,"id":"a","end":"fine"}"#, br#"{"op":7}"#]
    {
        assert!(parse_notice(bad).is_err(), "{}", String::from_utf8_lossy(bad));
    }
}

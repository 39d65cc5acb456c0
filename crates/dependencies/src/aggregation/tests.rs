use super::*;

fn part(name: &str, part: Part) -> NamedPart {
    NamedPart { name: name.into(), part }
}

#[test]
fn json_has_the_documented_format() {
    let parts = vec![
        part("billing", Part::Fresh(b"ok"[..].into())),
        part("notes", Part::Cached { body: b"n"[..].into(), age: 1_001 }),
        part("tax", Part::Constant(b"0"[..].into())),
        part("photos", Part::Missing(MissingReason::BreakerOpen)),
    ];
    let response = AggregateResponse { parts };
    let text = concat!(
        r#"{"version":1,"parts":[{"name":"billing","state":"fresh","body":"b2s="},"#,
        r#"{"name":"notes","state":"kept","body":"bg==","age_ms":2},"#,
        r#"{"name":"tax","state":"constant","body":"MA=="},"#,
        r#"{"name":"photos","state":"left-out","why":"breaker-open"}]}"#,
    );
    assert_eq!(String::from_utf8(response.encode()).as_deref(), Ok(text));
    assert!(!response.is_complete());
    let mut decoded = AggregateResponse::decode(text.as_bytes()).expect("the documented format");
    assert_eq!(decoded.parts[1].part, Part::Cached { body: b"n"[..].into(), age: 2_000 });
    decoded.parts[1] = response.parts[1].clone();
    assert_eq!(decoded, response);
}

/// The words are part of the format that runs receive, so they must not change when a variant is renamed.
#[test]
fn every_missing_reason_keeps_its_word_in_the_json() {
    let words = [
        (MissingReason::DeadlineExceeded, "out-of-time"),
        (MissingReason::NoTimeLeft, "no-time"),
        (MissingReason::NoCapacity, "no-place"),
        (MissingReason::BreakerOpen, "breaker-open"),
        (MissingReason::Rejected, "refused"),
        (MissingReason::Unreachable, "unreachable"),
        (MissingReason::Failed, "failed"),
        (MissingReason::RetryBudgetEmpty, "no-budget"),
        (MissingReason::ConnectionLost, "cut"),
    ];
    for (reason, word) in words {
        let response = AggregateResponse { parts: vec![part("a", Part::Missing(reason))] };
        let json = format!(r#"{{"version":1,"parts":[{{"name":"a","state":"left-out","why":"{word}"}}]}}"#);
        assert_eq!(String::from_utf8(response.encode()).as_deref(), Ok(json.as_str()));
        assert_eq!(AggregateResponse::decode(json.as_bytes()), Ok(response));
    }
}

#[test]
fn decode_rejects_malformed_json() {
    for text in [
        "",
        r#"{"version":2,"parts":[]}"#,
        r#"{"version":1,"parts":[{"name":"a","state":"fresh"}]}"#,
        r#"{"version":1,"parts":[{"name":"a","state":"kept","body":""}]}"#,
        r#"{"version":1,"parts":[{"name":"a","state":"fresh","body":"?"}]}"#,
    ] {
        assert!(AggregateResponse::decode(text.as_bytes()).is_err(), "{text}");
    }
}

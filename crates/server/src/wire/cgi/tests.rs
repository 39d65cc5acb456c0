use super::*;
use crate::messages::caller::MAX_TIME_OFFSET;
use crate::wire::test_bytes;

/// The usual parameters; `change` gives another value for a name.
fn params(change: impl Fn(&str) -> Option<&'static str>) -> Vec<u8> {
    let usual = [
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", "/svc/desk-search"),
        ("HTTP_REQUEST_ID", "9b1f03aa5c7e2d41"),
        ("HTTP_RECEIVED_AT", "1764576000123"),
        ("HTTP_SENT_BY", "4"),
        ("HTTP_BUDGET_MS", "480"),
        ("HTTP_FOOTPRINT_KB", "24.5"),
        ("HTTP_PRIORITY_RANK", "0.6250"),
        ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
    ];
    let mut bytes = Vec::new();
    for (name, value) in usual {
        fastcgi::write_pair(&mut bytes, name.as_bytes(), change(name).unwrap_or(value).as_bytes());
    }
    bytes
}

/// The usual parameters and additional ones.
fn params_with(additional: &[(&str, &str)]) -> Vec<u8> {
    let mut bytes = params(|_| None);
    additional
        .iter()
        .for_each(|(name, value)| fastcgi::write_pair(&mut bytes, name.as_bytes(), value.as_bytes()));
    bytes
}

#[test]
fn every_parameter_is_parsed() {
    let Ok(CgiRequest::Work(work)) = parse_request(&params(|_| None)) else { panic!("work") };
    assert_eq!((work.id.as_str(), work.class.as_str()), ("9b1f03aa5c7e2d41", "desk-search"));
    assert_eq!((work.received_at, work.timeout, work.sender), (1_764_576_000_123_000, Some(480_000), 4));
    assert_eq!((work.queued_kb, work.rank), (24.5, 0.625));
    assert_eq!(work.dedup_key.as_deref(), Some("7f3a9c21e0b4d655"));
    assert_eq!(work.idempotency_key, None, "absent unless sent");
    assert_eq!((work.tenant, work.cost, work.is_retry), (None, None, false), "absent unless sent");
}

/// Callers use the platform's names for these fields. Reading other names would fail every request of a class
/// that needs an idempotency key, and would not distinguish tenants.
#[test]
fn optional_parameters_are_parsed() {
    let parse_work = |additional: &[(&str, &str)]| match parse_request(&params_with(additional)) {
        Ok(CgiRequest::Work(work)) => work,
        other => panic!("{additional:?}: {other:?}"),
    };
    let work = parse_work(&[
        ("HTTP_ACCOUNT", "south"),
        ("HTTP_ATTEMPT_AGAIN", "1"),
        ("HTTP_WORK_ESTIMATE", "163.18"),
    ]);
    assert_eq!((work.tenant.as_deref(), work.cost, work.is_retry), (Some("south"), Some(163_180), true));
    for name in ["HTTP_ONCE_KEY", "HTTP_IDEMPOTENCY_KEY"] {
        assert_eq!(parse_work(&[(name, "tally-77-3")]).idempotency_key.as_deref(), Some("tally-77-3"));
        assert_eq!(parse_work(&[(name, "")]).idempotency_key, None);
        assert_eq!(parse_work(&[(name, &"k".repeat(MAX_IDEMPOTENCY_KEY_BYTES + 1))]).idempotency_key, None);
    }
    let parse_keys =
        |one, other| parse_request(&params_with(&[("HTTP_ONCE_KEY", one), ("HTTP_IDEMPOTENCY_KEY", other)]));
    assert!(parse_keys("k", "k").is_ok());
    assert_eq!(parse_keys("k", "l"), Err(InvalidParams::ConflictingKeys));
    assert!(
        !parse_work(&[("HTTP_ATTEMPT_AGAIN", "0")]).is_retry && parse_work(&[("HTTP_ATTEMPT", "2")]).is_retry
    );
    assert_eq!(
        parse_request(&params_with(&[("HTTP_ATTEMPT_AGAIN", "maybe")])),
        Err(InvalidParams::InvalidRetryMark)
    );
    for invalid in ["", "-3", "NaN", "inf", "1e12", "0.0000001"] {
        assert_eq!(parse_work(&[("HTTP_WORK_ESTIMATE", invalid)]).cost, None, "{invalid}");
    }
}

#[test]
fn missing_or_invalid_parameter_is_named_in_the_error() {
    let cases = [
        ("HTTP_REQUEST_ID", "", InvalidParams::InvalidId),
        ("HTTP_RECEIVED_AT", "soon", InvalidParams::InvalidArrivalTime),
        ("HTTP_RECEIVED_AT", "18446744073709551615", InvalidParams::InvalidArrivalTime),
        ("HTTP_BUDGET_MS", "-1", InvalidParams::InvalidTimeout),
        ("HTTP_SENT_BY", "x", InvalidParams::InvalidSender),
        ("HTTP_FOOTPRINT_KB", "NaN", InvalidParams::InvalidFootprint),
        ("HTTP_FOOTPRINT_KB", "0", InvalidParams::InvalidFootprint),
        ("HTTP_FOOTPRINT_KB", "2000", InvalidParams::InvalidFootprint),
        ("HTTP_PRIORITY_RANK", "1", InvalidParams::InvalidRank),
        ("REQUEST_METHOD", "GET", InvalidParams::NotPost),
        ("SCRIPT_NAME", "/else", InvalidParams::UnknownPath),
    ];
    for (field, value, error) in cases {
        assert_eq!(parse_request(&params(|name| (name == field).then_some(value))), Err(error), "{field}");
    }
    assert_eq!(parse_request(&[]), Err(InvalidParams::MissingPath));
    assert!(parse_request(&[9, 9]).is_err());
}

#[test]
fn times_beyond_the_offset_limit_are_not_timely() {
    let Ok(CgiRequest::Work(work)) = parse_request(&params(|_| None)) else { panic!("work") };
    assert!(
        work.has_plausible_times(work.received_at)
            && work.has_plausible_times(work.received_at + MAX_TIME_OFFSET)
    );
    assert!(
        work.has_plausible_times(work.received_at - MAX_TIME_OFFSET)
            && !work.has_plausible_times(work.received_at + MAX_TIME_OFFSET + 1)
    );
    assert!(!work.has_plausible_times(0));
    assert!(!WorkRequest { timeout: Some(MAX_TIME_OFFSET + 1), ..work }
        .has_plausible_times(1_764_576_000_123_000));
}

#[test]
fn damaged_parameters_are_rejected_or_valid() {
    let (mut rejected, mut parsed) = (0, 0);
    for bytes in test_bytes::damaged_copies(&params(|_| None)) {
        match parse_request(&bytes) {
            Ok(CgiRequest::Work(work)) => {
                assert!(work.queued_kb > 0.0 && work.rank < 1.0 && !work.id.is_empty());
                parsed += 1;
            }
            Ok(CgiRequest::HealthCheck(_)) => panic!("no such path was sent"),
            Err(_) => rejected += 1,
        }
    }
    assert!(rejected > 100 && parsed > 5, "{rejected} {parsed}");
}

#[test]
fn health_check_is_deep_if_the_query_says_full() {
    let check = |query: &str| {
        let mut bytes = Vec::new();
        fastcgi::write_pair(&mut bytes, b"SCRIPT_NAME", HEALTH_CHECK_PATH.as_bytes());
        fastcgi::write_pair(&mut bytes, b"QUERY_STRING", query.as_bytes());
        parse_request(&bytes)
    };
    assert_eq!(check(""), Ok(CgiRequest::HealthCheck(false)));
    assert_eq!(check("a=2&full=1"), Ok(CgiRequest::HealthCheck(true)));
    assert_eq!(check("full=10"), Ok(CgiRequest::HealthCheck(false)));
}

#[test]
fn responses_have_their_status_and_headers() {
    let encode = |response: Response| String::from_utf8(encode_response(&response, None)).expect("text");
    let rejected = encode(Response::Rejected { retry_after: 250_001, terminal: true });
    assert!(rejected.starts_with("Status: 503 "), "{rejected}");
    assert!(rejected.contains("Back-Off-Ms: 251\r\n") && rejected.contains("Final-Refusal: 1\r\n"));
    let with_hint = encode_response(&Response::Failed, Some(0.25));
    assert!(String::from_utf8(with_hint).expect("text").contains("\r\nServer-Hint: 0.2500\r\n"));
    assert!(!rejected.contains("Server-Hint"));
    let without_advice = encode(Response::Rejected { retry_after: 0, terminal: false });
    assert!(!without_advice.contains("Back-Off") && !without_advice.contains("Final"));
    assert!(encode(Response::Failed).starts_with("Status: 500 "));
    assert!(encode(Response::BadRequest).starts_with("Status: 400 "));
    let body = vec![0u8, 255, 13, 10, 13, 10, 7];
    let served = encode_response(&Response::Served(body.clone()), None);
    assert!(served.starts_with(b"Status: 200 ") && served.ends_with(&[&b"\r\n\r\n"[..], &body].concat()));
}

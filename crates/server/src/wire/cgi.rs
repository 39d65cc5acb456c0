//! CGI: the parameters of a request, and the answer to it.

use super::fastcgi;
use crate::exchange::caller::{Answer, Work};

/// Prefix of the path of requests for work; the class follows.
const WORK: &str = "/svc/";
/// Path of health checks.
const HEALTH: &str = "/status/live";

/// What a balancer asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// Work.
    Work(Work),
    /// Whether this server is well; `true`: whether work gets done.
    Health(bool),
}

/// Reads the parameters of a request; on failure, what was wrong.
pub fn ask(params: &[u8]) -> Result<Ask, &'static str> {
    let pairs = fastcgi::pairs(params).map_err(|e| e.0)?;
    let get = |name: &str| {
        let found = pairs.iter().find(|(n, _)| *n == name.as_bytes());
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    };
    let path = get("SCRIPT_NAME").ok_or("no path")?;
    if path == HEALTH {
        let full = get("QUERY_STRING").is_some_and(|q| q.split('&').any(|part| part == "full=1"));
        return Ok(Ask::Health(full));
    }
    let class = path.strip_prefix(WORK).ok_or("an unknown path")?;
    if get("REQUEST_METHOD") != Some("POST") {
        return Err("not a POST");
    }
    let millis = |name| get(name).and_then(|v| v.trim().parse::<u64>().ok()?.checked_mul(1_000));
    let number = |name| get(name).and_then(|v| v.trim().parse::<f64>().ok()).filter(|n| n.is_finite());
    let id = get("HTTP_REQUEST_ID").filter(|id| (1..=64).contains(&id.len())).ok_or("no id")?;
    Ok(Ask::Work(Work {
        id: id.to_owned(),
        class: class.to_owned(),
        received: millis("HTTP_RECEIVED_AT").ok_or("no time of arrival")?,
        budget: match get("HTTP_BUDGET_MS") {
            Some(_) => Some(millis("HTTP_BUDGET_MS").ok_or("no budget")?),
            None => None,
        },
        attempt: match get("HTTP_ATTEMPT") {
            Some(n) => n.trim().parse().ok().filter(|n| *n > 0).ok_or("no attempt")?,
            None => 1,
        },
        sender: get("HTTP_SENT_BY").and_then(|v| v.trim().parse().ok()).ok_or("no sender")?,
        held_kb: number("HTTP_FOOTPRINT_KB").filter(|&n| n > 0.0 && n < 2_000.0).ok_or("no footprint")?,
        rank: number("HTTP_PRIORITY_RANK").filter(|n| (0.0..1.0).contains(n)).ok_or("no rank")?,
        key: get("HTTP_RESOURCE_KEY").filter(|k| !k.is_empty()).map(String::from),
        idempotency_key: get("HTTP_IDEMPOTENCY_KEY")
            .filter(|k| (1..=255).contains(&k.len()))
            .map(String::from),
    }))
}

/// The answer as CGI: headers, an empty line, the body.
pub fn encode(answer: &Answer) -> Vec<u8> {
    let (status, more, body): (&str, String, &[u8]) = match answer {
        Answer::Served(result) => ("200 OK", String::new(), result),
        Answer::Refused { stay_away, terminal } => {
            let mut more = String::new();
            if *stay_away > 0 {
                more.push_str(&format!("Back-Off-Ms: {}\r\n", stay_away.div_ceil(1_000)));
            }
            if *terminal {
                more.push_str("Final-Refusal: 1\r\n");
            }
            ("503 Service Unavailable", more, b"")
        }
        Answer::Failed | Answer::Aborted => ("500 Internal Server Error", String::new(), b""),
        Answer::Senseless => ("400 Bad Request", String::new(), b""),
        Answer::Health(true) => ("200 OK", String::new(), b""),
        Answer::Health(false) => ("500 Internal Server Error", String::new(), b""),
    };
    let mut bytes = format!(
        "Status: {status}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n{more}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests {
    use super::super::noise;
    use super::*;
    use crate::exchange::caller::FAR;

    fn params(change: impl Fn(&str) -> Option<&'static str>) -> Vec<u8> {
        let all = [
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
        for (name, value) in all {
            fastcgi::write_pair(&mut bytes, name.as_bytes(), change(name).unwrap_or(value).as_bytes());
        }
        bytes
    }

    /// The usual parameters, and more that `extra` names.
    fn params_with(extra: impl Fn(&str) -> Option<&'static str>) -> Vec<u8> {
        let mut bytes = params(|_| None);
        let name = "HTTP_IDEMPOTENCY_KEY";
        if let Some(value) = extra(name) {
            fastcgi::write_pair(&mut bytes, name.as_bytes(), value.as_bytes());
        }
        bytes
    }

    #[test]
    fn every_field_is_read() {
        let Ok(Ask::Work(work)) = ask(&params(|_| None)) else { panic!("work") };
        assert_eq!((work.id.as_str(), work.class.as_str()), ("9b1f03aa5c7e2d41", "desk-search"));
        assert_eq!((work.received, work.budget, work.sender), (1_764_576_000_123_000, Some(480_000), 4));
        assert_eq!((work.held_kb, work.rank), (24.5, 0.625));
        assert_eq!(work.key.as_deref(), Some("7f3a9c21e0b4d655"));
        assert_eq!(work.idempotency_key, None, "absent unless sent");
        let keyed = |name: &str| (name == "HTTP_IDEMPOTENCY_KEY").then_some("tally-77-3");
        let Ok(Ask::Work(work)) = ask(&params_with(keyed)) else { panic!("work") };
        assert_eq!(work.idempotency_key.as_deref(), Some("tally-77-3"));
    }

    #[test]
    fn a_missing_or_senseless_field_is_named() {
        let bad = [
            ("HTTP_REQUEST_ID", "", "no id"),
            ("HTTP_RECEIVED_AT", "soon", "no time of arrival"),
            ("HTTP_RECEIVED_AT", "18446744073709551615", "no time of arrival"),
            ("HTTP_BUDGET_MS", "-1", "no budget"),
            ("HTTP_SENT_BY", "x", "no sender"),
            ("HTTP_FOOTPRINT_KB", "NaN", "no footprint"),
            ("HTTP_FOOTPRINT_KB", "0", "no footprint"),
            ("HTTP_FOOTPRINT_KB", "2000", "no footprint"),
            ("HTTP_PRIORITY_RANK", "1", "no rank"),
            ("REQUEST_METHOD", "GET", "not a POST"),
            ("SCRIPT_NAME", "/else", "an unknown path"),
        ];
        for (field, value, why) in bad {
            assert_eq!(ask(&params(|name| (name == field).then_some(value))), Err(why), "{field}");
        }
        assert_eq!(ask(&[]), Err("no path"));
        assert!(ask(&[9, 9]).is_err());
    }

    #[test]
    fn times_far_off_make_no_sense() {
        let Ok(Ask::Work(work)) = ask(&params(|_| None)) else { panic!("work") };
        assert!(work.is_timely(work.received) && work.is_timely(work.received + FAR));
        assert!(work.is_timely(work.received - FAR) && !work.is_timely(work.received + FAR + 1));
        assert!(!work.is_timely(0));
        assert!(!Work { budget: Some(FAR + 1), ..work }.is_timely(1_764_576_000_123_000));
    }

    #[test]
    fn damaged_parameters_are_refused_or_make_sense() {
        let (mut refused, mut read) = (0, 0);
        for bytes in noise::damaged(&params(|_| None)) {
            match ask(&bytes) {
                Ok(Ask::Work(work)) => {
                    assert!(work.held_kb > 0.0 && work.rank < 1.0 && !work.id.is_empty());
                    read += 1;
                }
                Ok(Ask::Health(_)) => panic!("no such path was sent"),
                Err(_) => refused += 1,
            }
        }
        assert!(refused > 100 && read > 5, "{refused} {read}");
    }

    #[test]
    fn health_checks_may_ask_for_work() {
        let check = |query: &str| {
            let mut bytes = Vec::new();
            fastcgi::write_pair(&mut bytes, b"SCRIPT_NAME", HEALTH.as_bytes());
            fastcgi::write_pair(&mut bytes, b"QUERY_STRING", query.as_bytes());
            ask(&bytes)
        };
        assert_eq!(check(""), Ok(Ask::Health(false)));
        assert_eq!(check("a=2&full=1"), Ok(Ask::Health(true)));
        assert_eq!(check("full=10"), Ok(Ask::Health(false)));
    }

    #[test]
    fn answers_have_their_status_and_fields() {
        let text = |answer: Answer| String::from_utf8(encode(&answer)).expect("text");
        let refused = text(Answer::Refused { stay_away: 250_001, terminal: true });
        assert!(refused.starts_with("Status: 503 "), "{refused}");
        assert!(refused.contains("Back-Off-Ms: 251\r\n") && refused.contains("Final-Refusal: 1\r\n"));
        let bare = text(Answer::Refused { stay_away: 0, terminal: false });
        assert!(!bare.contains("Back-Off") && !bare.contains("Final"));
        assert!(text(Answer::Failed).starts_with("Status: 500 "));
        assert!(text(Answer::Senseless).starts_with("Status: 400 "));
        let body = vec![0u8, 255, 13, 10, 13, 10, 7];
        let served = encode(&Answer::Served(body.clone()));
        assert!(served.starts_with(b"Status: 200 ") && served.ends_with(&[&b"\r\n\r\n"[..], &body].concat()));
    }
}

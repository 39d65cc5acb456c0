//! CGI: the parameters of a request, and the answer to it.

use super::fastcgi;
use umberloom::interface::Micros;

use crate::messages::caller::{Response, WorkRequest};

/// Prefix of the path of requests for work; the class follows.
const SERVICE_PATH_PREFIX: &str = "/svc/";
/// Path of health checks.
const HEALTH_CHECK_PATH: &str = "/status/live";

/// What a balancer asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CgiRequest {
    /// Work.
    Work(WorkRequest),
    /// Whether this server is well; `true`: whether work gets done.
    HealthCheck(bool),
}

/// The longest idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// A hint of more work than this makes no sense: an hour.
const MAX_WORK_ESTIMATE_MS: f64 = 3_600_000.0;

/// Reads the parameters of a request; on failure, what was wrong.
pub fn parse_request(params: &[u8]) -> Result<CgiRequest, &'static str> {
    let pairs = fastcgi::parse_pairs(params).map_err(|e| e.0)?;
    let get = |name: &str| {
        let found = pairs.iter().find(|(n, _)| *n == name.as_bytes());
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    };
    let path = get("SCRIPT_NAME").ok_or("no path")?;
    if path == HEALTH_CHECK_PATH {
        let full = get("QUERY_STRING").is_some_and(|q| q.split('&').any(|part| part == "full=1"));
        return Ok(CgiRequest::HealthCheck(full));
    }
    let class = path.strip_prefix(SERVICE_PATH_PREFIX).ok_or("an unknown path")?;
    if get("REQUEST_METHOD") != Some("POST") {
        return Err("not a POST");
    }
    let millis = |name| get(name).and_then(|v| v.trim().parse::<u64>().ok()?.checked_mul(1_000));
    let number = |name| get(name).and_then(|v| v.trim().parse::<f64>().ok()).filter(|n| n.is_finite());
    let id = get("HTTP_REQUEST_ID").filter(|id| (1..=64).contains(&id.len())).ok_or("no id")?;
    let mark = match get("HTTP_ATTEMPT_AGAIN").map(str::trim) {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return Err("no mark of a further try"),
    };
    // Callers of our own older pages number their tries.
    let number_of_try = match get("HTTP_ATTEMPT") {
        Some(n) => n.trim().parse::<u32>().ok().filter(|n| *n > 0).ok_or("no attempt")?,
        None => 1,
    };
    // The key has two names, of which the second is that of our own older pages. Two keys would name two requests.
    let keys = [get("HTTP_ONCE_KEY"), get("HTTP_IDEMPOTENCY_KEY")];
    if matches!(keys, [Some(one), Some(other)] if one != other) {
        return Err("two idempotency keys");
    }
    let idempotency_key =
        keys.into_iter().flatten().next().filter(|k| (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&k.len()));
    // A hint that makes no sense is none: the decisions do without where it is absent.
    let hint = number("HTTP_WORK_ESTIMATE").filter(|ms| *ms > 0.0 && *ms < MAX_WORK_ESTIMATE_MS);
    Ok(CgiRequest::Work(WorkRequest {
        id: id.to_owned(),
        class: class.to_owned(),
        received_at: millis("HTTP_RECEIVED_AT").ok_or("no time of arrival")?,
        timeout: match get("HTTP_BUDGET_MS") {
            Some(_) => Some(millis("HTTP_BUDGET_MS").ok_or("no budget")?),
            None => None,
        },
        is_retry: mark || number_of_try > 1,
        tenant: get("HTTP_ACCOUNT").filter(|name| !name.is_empty()).map(String::from),
        cost: hint.map(|ms| (ms * 1_000.0) as Micros).filter(|cost| *cost > 0),
        sender: get("HTTP_SENT_BY").and_then(|v| v.trim().parse().ok()).ok_or("no sender")?,
        queued_kb: number("HTTP_FOOTPRINT_KB").filter(|&n| n > 0.0 && n < 2_000.0).ok_or("no footprint")?,
        rank: number("HTTP_PRIORITY_RANK").filter(|n| (0.0..1.0).contains(n)).ok_or("no rank")?,
        subject_key: get("HTTP_RESOURCE_KEY").filter(|k| !k.is_empty()).map(String::from),
        idempotency_key: idempotency_key.map(String::from),
    }))
}

/// The answer as CGI: headers, among them the free value where there is one, an empty line, the body.
pub fn encode_response(answer: &Response, hint: Option<f64>) -> Vec<u8> {
    let (status, more, body): (&str, String, &[u8]) = match answer {
        Response::Served(result) => ("200 OK", String::new(), result),
        Response::Rejected { retry_after: stay_away, terminal } => {
            let mut more = String::new();
            if *stay_away > 0 {
                more.push_str(&format!("Back-Off-Ms: {}\r\n", stay_away.div_ceil(1_000)));
            }
            if *terminal {
                more.push_str("Final-Refusal: 1\r\n");
            }
            ("503 Service Unavailable", more, b"")
        }
        Response::Failed | Response::Aborted => ("500 Internal Server Error", String::new(), b""),
        Response::BadRequest => ("400 Bad Request", String::new(), b""),
        Response::Health(true) => ("200 OK", String::new(), b""),
        Response::Health(false) => ("500 Internal Server Error", String::new(), b""),
    };
    let hint = hint.map(|value| format!("Server-Hint: {value:.4}\r\n")).unwrap_or_default();
    let mut bytes = format!(
        "Status: {status}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n{more}{hint}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests;

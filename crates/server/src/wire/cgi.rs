//! CGI: the parameters of a request, and the response to it.

use super::{fastcgi, MalformedInput};
use umberloom::interface::Micros;

use crate::messages::caller::{Response, WorkRequest};

/// Prefix of the path of requests for work; the class follows.
const SERVICE_PATH_PREFIX: &str = "/svc/";
/// Path of health checks.
const HEALTH_CHECK_PATH: &str = "/status/live";

/// What a load balancer asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CgiRequest {
    /// Work.
    Work(WorkRequest),
    /// Whether this server is healthy; `true`: a deep check, which wants work to be done.
    HealthCheck(bool),
}

/// Parameters that name no valid request; it is answered with status 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidParams {
    /// They are no name-value pairs.
    #[error(transparent)]
    Malformed(#[from] MalformedInput),
    /// There is no `SCRIPT_NAME`.
    #[error("no path")]
    MissingPath,
    /// `SCRIPT_NAME` is neither the path of work nor that of health checks.
    #[error("an unknown path")]
    UnknownPath,
    /// `REQUEST_METHOD` is not `POST`.
    #[error("not a POST")]
    NotPost,
    /// `HTTP_REQUEST_ID` is missing, empty or too long.
    #[error("no id")]
    InvalidId,
    /// `HTTP_ATTEMPT_AGAIN` is neither 0 nor 1.
    #[error("no mark of a further try")]
    InvalidRetryMark,
    /// `HTTP_ATTEMPT` is not a positive number.
    #[error("no attempt")]
    InvalidAttempt,
    /// `HTTP_ONCE_KEY` and `HTTP_IDEMPOTENCY_KEY` differ.
    #[error("two idempotency keys")]
    ConflictingKeys,
    /// `HTTP_RECEIVED_AT` is missing, or is not a number of milliseconds.
    #[error("no time of arrival")]
    InvalidArrivalTime,
    /// `HTTP_BUDGET_MS` is not a number of milliseconds.
    #[error("no budget")]
    InvalidTimeout,
    /// `HTTP_SENT_BY` is missing, or is not a number.
    #[error("no sender")]
    InvalidSender,
    /// `HTTP_FOOTPRINT_KB` is missing, or is out of range.
    #[error("no footprint")]
    InvalidFootprint,
    /// `HTTP_PRIORITY_RANK` is missing, or not from 0 to under 1.
    #[error("no rank")]
    InvalidRank,
}

/// The longest idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// An estimate of more work than this is ignored: an hour.
const MAX_WORK_ESTIMATE_MS: f64 = 3_600_000.0;

/// Parses the parameters of a request.
///
/// # Errors
/// If they name no valid request.
pub fn parse_request(params: &[u8]) -> Result<CgiRequest, InvalidParams> {
    let pairs = fastcgi::parse_pairs(params)?;
    let get = |name: &str| {
        let found = pairs.iter().find(|(n, _)| *n == name.as_bytes());
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    };
    let path = get("SCRIPT_NAME").ok_or(InvalidParams::MissingPath)?;
    if path == HEALTH_CHECK_PATH {
        let full = get("QUERY_STRING").is_some_and(|q| q.split('&').any(|part| part == "full=1"));
        return Ok(CgiRequest::HealthCheck(full));
    }
    let class = path.strip_prefix(SERVICE_PATH_PREFIX).ok_or(InvalidParams::UnknownPath)?;
    if get("REQUEST_METHOD") != Some("POST") {
        return Err(InvalidParams::NotPost);
    }
    let millis = |name| get(name).and_then(|v| v.trim().parse::<u64>().ok()?.checked_mul(1_000));
    let number = |name| get(name).and_then(|v| v.trim().parse::<f64>().ok()).filter(|n| n.is_finite());
    let id =
        get("HTTP_REQUEST_ID").filter(|id| (1..=64).contains(&id.len())).ok_or(InvalidParams::InvalidId)?;
    let marked_as_retry = match get("HTTP_ATTEMPT_AGAIN").map(str::trim) {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return Err(InvalidParams::InvalidRetryMark),
    };
    // Older callers number their attempts.
    let attempt = match get("HTTP_ATTEMPT") {
        Some(n) => n.trim().parse::<u32>().ok().filter(|n| *n > 0).ok_or(InvalidParams::InvalidAttempt)?,
        None => 1,
    };
    // The key has two names, of which the second is that of older callers. Two keys would name two requests.
    let keys = [get("HTTP_ONCE_KEY"), get("HTTP_IDEMPOTENCY_KEY")];
    if matches!(keys, [Some(one), Some(other)] if one != other) {
        return Err(InvalidParams::ConflictingKeys);
    }
    let idempotency_key =
        keys.into_iter().flatten().next().filter(|k| (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&k.len()));
    // An estimate out of range is ignored: admission does without where there is none.
    let estimate = number("HTTP_WORK_ESTIMATE").filter(|ms| *ms > 0.0 && *ms < MAX_WORK_ESTIMATE_MS);
    Ok(CgiRequest::Work(WorkRequest {
        id: id.to_owned(),
        class: class.to_owned(),
        received_at: millis("HTTP_RECEIVED_AT").ok_or(InvalidParams::InvalidArrivalTime)?,
        timeout: match get("HTTP_BUDGET_MS") {
            Some(_) => Some(millis("HTTP_BUDGET_MS").ok_or(InvalidParams::InvalidTimeout)?),
            None => None,
        },
        is_retry: marked_as_retry || attempt > 1,
        tenant: get("HTTP_ACCOUNT").filter(|name| !name.is_empty()).map(String::from),
        cost: estimate.map(|ms| (ms * 1_000.0) as Micros).filter(|cost| *cost > 0),
        sender: get("HTTP_SENT_BY")
            .and_then(|v| v.trim().parse().ok())
            .ok_or(InvalidParams::InvalidSender)?,
        queued_kb: number("HTTP_FOOTPRINT_KB")
            .filter(|&n| n > 0.0 && n < 2_000.0)
            .ok_or(InvalidParams::InvalidFootprint)?,
        rank: number("HTTP_PRIORITY_RANK")
            .filter(|n| (0.0..1.0).contains(n))
            .ok_or(InvalidParams::InvalidRank)?,
        subject_key: get("HTTP_RESOURCE_KEY").filter(|k| !k.is_empty()).map(String::from),
        idempotency_key: idempotency_key.map(String::from),
    }))
}

/// The response as CGI: headers, among them the load hint where there is one, an empty line, and the body.
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

//! CGI over FastCGI: parses the parameters of requests and encodes the responses.

use super::{fastcgi, MalformedInput};
use umberloom::interface::Micros;

use crate::messages::caller::{Response, WorkRequest};

/// Path prefix of work requests; the name of the class follows.
const SERVICE_PATH_PREFIX: &str = "/svc/";
/// Path of health checks.
const HEALTH_CHECK_PATH: &str = "/status/live";

/// A request from a load balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum CgiRequest {
    /// A request for work.
    Work(WorkRequest),
    /// A health check; `true` for a deep one, which has to run work.
    HealthCheck(bool),
}

/// Why the parameters are not a valid request. The response has status 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidParams {
    /// They can't be parsed as name-value pairs.
    #[error(transparent)]
    Malformed(#[from] MalformedInput),
    /// `SCRIPT_NAME` is missing.
    #[error("missing path")]
    MissingPath,
    /// `SCRIPT_NAME` is neither the path of work nor that of health checks.
    #[error("unknown path")]
    UnknownPath,
    /// `REQUEST_METHOD` is not `POST`.
    #[error("request method is not POST")]
    NotPost,
    /// `HTTP_REQUEST_ID` is missing, empty or too long.
    #[error("missing or invalid request id")]
    InvalidId,
    /// `HTTP_ATTEMPT_AGAIN` is neither 0 nor 1.
    #[error("invalid retry mark")]
    InvalidRetryMark,
    /// `HTTP_ATTEMPT` is not a positive number.
    #[error("invalid attempt number")]
    InvalidAttempt,
    /// `HTTP_ONCE_KEY` and `HTTP_IDEMPOTENCY_KEY` differ.
    #[error("conflicting idempotency keys")]
    ConflictingKeys,
    /// `HTTP_RECEIVED_AT` is missing, or is not a number of milliseconds.
    #[error("missing or invalid arrival time")]
    InvalidArrivalTime,
    /// `HTTP_BUDGET_MS` is not a number of milliseconds.
    #[error("invalid timeout")]
    InvalidTimeout,
    /// `HTTP_SENT_BY` is missing, or is not a number.
    #[error("missing or invalid sender")]
    InvalidSender,
    /// `HTTP_FOOTPRINT_KB` is missing, or is out of range.
    #[error("missing or invalid footprint")]
    InvalidFootprint,
    /// `HTTP_PRIORITY_RANK` is missing, or is not in the range 0 to 1 (exclusive).
    #[error("missing or invalid priority rank")]
    InvalidRank,
}

/// Limit on the length of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;
/// The stated memory of a queued request must be less than this, in kilobytes.
const MAX_FOOTPRINT_KB: f64 = 2_000.0;
/// Limit on the length of an idempotency key, in bytes; longer keys are ignored.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Estimates of one hour of work or more are ignored; in milliseconds.
const MAX_WORK_ESTIMATE_MS: f64 = 3_600_000.0;

/// The name-value pairs of a request's parameters.
struct Params<'a> {
    pairs: Vec<fastcgi::NameValuePair<'a>>,
}

impl<'a> Params<'a> {
    /// The value of the first parameter with this name, if it is UTF-8.
    fn get(&self, name: &str) -> Option<&'a str> {
        let (_, value) = self.pairs.iter().find(|(other, _)| *other == name.as_bytes())?;
        std::str::from_utf8(value).ok()
    }

    /// A whole number of milliseconds, converted to microseconds.
    fn millis(&self, name: &str) -> Option<Micros> {
        self.get(name)?.trim().parse::<u64>().ok()?.checked_mul(1_000)
    }

    /// The parameter as a finite number.
    fn number(&self, name: &str) -> Option<f64> {
        self.get(name)?.trim().parse::<f64>().ok().filter(|number| number.is_finite())
    }

    /// Whether the request is a retry: it is marked as one, or its attempt number, which older callers send
    /// instead, is greater than 1.
    fn is_retry(&self) -> Result<bool, InvalidParams> {
        let marked = match self.get("HTTP_ATTEMPT_AGAIN").map(str::trim) {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(InvalidParams::InvalidRetryMark),
        };
        let Some(attempt) = self.get("HTTP_ATTEMPT") else { return Ok(marked) };
        let attempt = attempt.trim().parse::<u32>().ok().filter(|attempt| *attempt > 0);
        Ok(marked || attempt.ok_or(InvalidParams::InvalidAttempt)? > 1)
    }

    /// The idempotency key; older callers send it as `HTTP_IDEMPOTENCY_KEY`. If both names are present their
    /// values must agree, as different keys identify different requests.
    fn idempotency_key(&self) -> Result<Option<&'a str>, InvalidParams> {
        let keys = [self.get("HTTP_ONCE_KEY"), self.get("HTTP_IDEMPOTENCY_KEY")];
        if matches!(keys, [Some(current), Some(legacy)] if current != legacy) {
            return Err(InvalidParams::ConflictingKeys);
        }
        let key = keys.into_iter().flatten().next();
        Ok(key.filter(|key| (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len())))
    }

    /// The timeout of the caller, if it sends one.
    fn timeout(&self) -> Result<Option<Micros>, InvalidParams> {
        if self.get("HTTP_BUDGET_MS").is_none() {
            return Ok(None);
        }
        self.millis("HTTP_BUDGET_MS").map(Some).ok_or(InvalidParams::InvalidTimeout)
    }

    /// The caller's estimate of the work. An estimate out of range is ignored, since admission does not need
    /// one.
    fn estimated_cost(&self) -> Option<Micros> {
        let estimate_ms = self.number("HTTP_WORK_ESTIMATE")?;
        if estimate_ms <= 0.0 || estimate_ms >= MAX_WORK_ESTIMATE_MS {
            return None;
        }
        Some((estimate_ms * 1_000.0) as Micros).filter(|cost| *cost > 0)
    }

    /// The parameter as text, if it is not empty.
    fn text(&self, name: &str) -> Option<String> {
        self.get(name).filter(|text| !text.is_empty()).map(String::from)
    }
}

/// Parses the parameters of a request.
///
/// # Errors
/// Returns an error if a parameter is missing or invalid.
pub fn parse_request(params: &[u8]) -> Result<CgiRequest, InvalidParams> {
    let params = Params { pairs: fastcgi::parse_pairs(params)? };
    let path = params.get("SCRIPT_NAME").ok_or(InvalidParams::MissingPath)?;
    if path == HEALTH_CHECK_PATH {
        let query = params.get("QUERY_STRING").unwrap_or_default();
        return Ok(CgiRequest::HealthCheck(query.split('&').any(|part| part == "full=1")));
    }
    let class = path.strip_prefix(SERVICE_PATH_PREFIX).ok_or(InvalidParams::UnknownPath)?;
    if params.get("REQUEST_METHOD") != Some("POST") {
        return Err(InvalidParams::NotPost);
    }
    parse_work(&params, class).map(CgiRequest::Work)
}

fn parse_work(params: &Params, class: &str) -> Result<WorkRequest, InvalidParams> {
    let id = params.get("HTTP_REQUEST_ID").filter(|id| (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()));
    let id = id.ok_or(InvalidParams::InvalidId)?;
    let is_retry = params.is_retry()?;
    let idempotency_key = params.idempotency_key()?;
    let received_at = params.millis("HTTP_RECEIVED_AT").ok_or(InvalidParams::InvalidArrivalTime)?;
    let timeout = params.timeout()?;
    let sender = params.get("HTTP_SENT_BY").and_then(|sender| sender.trim().parse().ok());
    let sender = sender.ok_or(InvalidParams::InvalidSender)?;
    let queued_kb = params.number("HTTP_FOOTPRINT_KB").filter(|&kb| kb > 0.0 && kb < MAX_FOOTPRINT_KB);
    let queued_kb = queued_kb.ok_or(InvalidParams::InvalidFootprint)?;
    let rank = params.number("HTTP_PRIORITY_RANK").filter(|rank| (0.0..1.0).contains(rank));
    let rank = rank.ok_or(InvalidParams::InvalidRank)?;
    Ok(WorkRequest {
        id: id.to_owned(),
        class: class.to_owned(),
        received_at,
        timeout,
        is_retry,
        tenant: params.text("HTTP_ACCOUNT"),
        cost: params.estimated_cost(),
        sender,
        queued_kb,
        rank,
        dedup_key: params.text("HTTP_RESOURCE_KEY"),
        idempotency_key: idempotency_key.map(String::from),
    })
}

/// Encodes a response as CGI: headers, including the load hint if there is one, an empty line, and the body.
pub fn encode_response(response: &Response, load_hint: Option<f64>) -> Vec<u8> {
    let (status, extra_headers, body): (&str, String, &[u8]) = match response {
        Response::Served(result) => ("200 OK", String::new(), result),
        Response::Rejected { retry_after, terminal } => {
            let mut headers = String::new();
            if *retry_after > 0 {
                headers.push_str(&format!("Back-Off-Ms: {}\r\n", retry_after.div_ceil(1_000)));
            }
            if *terminal {
                headers.push_str("Final-Refusal: 1\r\n");
            }
            ("503 Service Unavailable", headers, b"")
        }
        Response::Failed | Response::Aborted => ("500 Internal Server Error", String::new(), b""),
        Response::BadRequest => ("400 Bad Request", String::new(), b""),
        Response::Health(true) => ("200 OK", String::new(), b""),
        Response::Health(false) => ("500 Internal Server Error", String::new(), b""),
    };
    let load_hint = load_hint.map(|value| format!("Server-Hint: {value:.4}\r\n")).unwrap_or_default();
    let mut bytes = format!(
        "Status: {status}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n{extra_headers}{load_hint}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests;

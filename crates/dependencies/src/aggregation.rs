//! The one reply that a run gets for all the calls of its plan.
//!
//! JSON, one object: `version` is 1, and `parts` are in the order of the plan. Each part has `name`, `state` and,
//! by its state:
//!
//! | state | more fields |
//! | --- | --- |
//! | `fresh` | `body`: the reply, in base64 |
//! | `kept` | `body`, and `age_ms`: how long ago it was given, rounded up |
//! | `constant` | `body`: the operator's constant |
//! | `left-out` | `why`: one of the words of [`Why`] |
//!
//! A plan of which a needed part has no body makes no envelope: the call fails.

use std::rc::Rc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use umberloom::interface::Micros;

/// Version of the form.
pub const FORMAT_VERSION: u32 = 1;

/// Why a part has no fresh reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingReason {
    /// Its share of the time ended first.
    #[serde(rename = "out-of-time")]
    DeadlineExceeded,
    /// There was no time to begin it.
    #[serde(rename = "no-time")]
    NoTimeLeft,
    /// All places were taken, for longer than there was time.
    #[serde(rename = "no-place")]
    NoCapacity,
    /// The dependency is not called for a while.
    BreakerOpen,
    /// The dependency turned it away.
    #[serde(rename = "refused")]
    Rejected,
    /// No endpoint could be reached.
    Unreachable,
    /// It failed.
    Failed,
    /// There was nothing left in the budget of repeated attempts.
    #[serde(rename = "no-budget")]
    RetryBudgetEmpty,
    /// It was cut off.
    #[serde(rename = "cut")]
    ConnectionLost,
}

/// What a part came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// A reply to this very call.
    Fresh(Rc<[u8]>),
    /// An earlier reply about the same resource, and its age.
    Cached(Rc<[u8]>, Micros),
    /// The operator's constant.
    Constant(Rc<[u8]>),
    /// Nothing.
    Missing(MissingReason),
}

impl Part {
    /// Whether it has a body.
    pub fn has_body(&self) -> bool {
        !matches!(self, Part::Missing(_))
    }
}

/// All parts of a plan, by the names of their dependencies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AggregateResponse {
    /// The parts, in the order of the plan.
    pub parts: Vec<(Rc<str>, Part)>,
}

#[derive(Serialize, Deserialize)]
struct ResponseJson<'a> {
    version: u32,
    #[serde(borrow)]
    parts: Vec<PartJson<'a>>,
}

#[derive(Serialize, Deserialize)]
struct PartJson<'a> {
    name: &'a str,
    state: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    age_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    why: Option<MissingReason>,
}

/// Bytes that are no envelope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl AggregateResponse {
    /// Whether every part is fresh.
    pub fn is_complete(&self) -> bool {
        self.parts.iter().all(|(_, part)| matches!(part, Part::Fresh(_)))
    }

    /// Its JSON.
    pub fn encode(&self) -> Vec<u8> {
        let form = |(name, part): &'_ (Rc<str>, Part)| {
            let text = |bytes: &[u8]| Some(STANDARD.encode(bytes));
            let (state, body, age_ms, why) = match part {
                Part::Fresh(body) => ("fresh", text(body), None, None),
                Part::Cached(body, age) => ("kept", text(body), Some(age.div_ceil(1_000)), None),
                Part::Constant(body) => ("constant", text(body), None, None),
                Part::Missing(why) => ("left-out", None, None, Some(*why)),
            };
            (name.clone(), state, body, age_ms, why)
        };
        let parts: Vec<_> = self.parts.iter().map(form).collect();
        let parts = parts.iter().map(|(name, state, body, age_ms, why)| PartJson {
            name,
            state,
            body: body.clone(),
            age_ms: *age_ms,
            why: *why,
        });
        // Strings and numbers can always be written.
        serde_json::to_vec(&ResponseJson { version: FORMAT_VERSION, parts: parts.collect() })
            .unwrap_or_default()
    }

    /// Reads what [`Envelope::encode`] wrote, as a run would.
    pub fn decode(bytes: &[u8]) -> Result<AggregateResponse, DecodeError> {
        let bad = |what: &str| DecodeError(what.to_owned());
        let form: ResponseJson = serde_json::from_slice(bytes).map_err(|e| DecodeError(e.to_string()))?;
        if form.version != FORMAT_VERSION {
            return Err(DecodeError(format!("version {}, expected {FORMAT_VERSION}", form.version)));
        }
        let read = |part: PartJson| {
            let body = match part.body {
                Some(text) => Some(Rc::from(STANDARD.decode(text).map_err(|e| DecodeError(e.to_string()))?)),
                None => None,
            };
            let made = match (part.state, body, part.age_ms, part.why) {
                ("fresh", Some(body), None, None) => Part::Fresh(body),
                ("kept", Some(body), Some(age), None) => Part::Cached(body, age.saturating_mul(1_000)),
                ("constant", Some(body), None, None) => Part::Constant(body),
                ("left-out", None, None, Some(why)) => Part::Missing(why),
                _ => return Err(bad("a part whose fields do not fit its state")),
            };
            Ok((Rc::from(part.name), made))
        };
        let parts = form.parts.into_iter().map(read).collect::<Result<_, _>>()?;
        Ok(AggregateResponse { parts })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn its_form_is_as_documented() {
        let parts = vec![
            ("billing".into(), Part::Fresh(b"ok"[..].into())),
            ("notes".into(), Part::Cached(b"n"[..].into(), 1_001)),
            ("tax".into(), Part::Constant(b"0"[..].into())),
            ("photos".into(), Part::Missing(MissingReason::BreakerOpen)),
        ];
        let envelope = AggregateResponse { parts };
        let text = concat!(
            r#"{"version":1,"parts":[{"name":"billing","state":"fresh","body":"b2s="},"#,
            r#"{"name":"notes","state":"kept","body":"bg==","age_ms":2},"#,
            r#"{"name":"tax","state":"constant","body":"MA=="},"#,
            r#"{"name":"photos","state":"left-out","why":"breaker-open"}]}"#,
        );
        assert_eq!(String::from_utf8(envelope.encode()).as_deref(), Ok(text));
        assert!(!envelope.is_complete());
        let mut read = AggregateResponse::decode(text.as_bytes()).expect("its own form");
        assert_eq!(read.parts[1].1, Part::Cached(b"n"[..].into(), 2_000));
        read.parts[1] = envelope.parts[1].clone();
        assert_eq!(read, envelope);
    }

    /// The bytes that runs get for each reason, written down before any variant was renamed.
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
            let response = AggregateResponse { parts: vec![("a".into(), Part::Missing(reason))] };
            let json =
                format!(r#"{{"version":1,"parts":[{{"name":"a","state":"left-out","why":"{word}"}}]}}"#);
            assert_eq!(String::from_utf8(response.encode()).as_deref(), Ok(json.as_str()));
            assert_eq!(AggregateResponse::decode(json.as_bytes()), Ok(response));
        }
    }

    #[test]
    fn what_does_not_fit_is_told() {
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
}

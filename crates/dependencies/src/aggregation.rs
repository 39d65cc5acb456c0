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
pub const VERSION: u32 = 1;

/// Why a part has no fresh reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingReason {
    /// Its share of the time ended first.
    OutOfTime,
    /// There was no time to begin it.
    NoTime,
    /// All places were taken, for longer than there was time.
    NoPlace,
    /// The dependency is not called for a while.
    BreakerOpen,
    /// The dependency turned it away.
    Refused,
    /// No endpoint could be reached.
    Unreachable,
    /// It failed.
    Failed,
    /// There was nothing left in the budget of repeated attempts.
    NoBudget,
    /// It was cut off.
    Cut,
}

/// What a part came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// A reply to this very call.
    Fresh(Rc<[u8]>),
    /// An earlier reply about the same resource, and its age.
    Kept(Rc<[u8]>, Micros),
    /// The operator's constant.
    Constant(Rc<[u8]>),
    /// Nothing.
    LeftOut(MissingReason),
}

impl Part {
    /// Whether it has a body.
    pub fn is_there(&self) -> bool {
        !matches!(self, Part::LeftOut(_))
    }
}

/// All parts of a plan, by the names of their dependencies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AggregateResponse {
    /// The parts, in the order of the plan.
    pub parts: Vec<(Rc<str>, Part)>,
}

#[derive(Serialize, Deserialize)]
struct Form<'a> {
    version: u32,
    #[serde(borrow)]
    parts: Vec<PartForm<'a>>,
}

#[derive(Serialize, Deserialize)]
struct PartForm<'a> {
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
pub struct Unreadable(pub String);

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
                Part::Kept(body, age) => ("kept", text(body), Some(age.div_ceil(1_000)), None),
                Part::Constant(body) => ("constant", text(body), None, None),
                Part::LeftOut(why) => ("left-out", None, None, Some(*why)),
            };
            (name.clone(), state, body, age_ms, why)
        };
        let parts: Vec<_> = self.parts.iter().map(form).collect();
        let parts = parts.iter().map(|(name, state, body, age_ms, why)| PartForm {
            name,
            state,
            body: body.clone(),
            age_ms: *age_ms,
            why: *why,
        });
        // Strings and numbers can always be written.
        serde_json::to_vec(&Form { version: VERSION, parts: parts.collect() }).unwrap_or_default()
    }

    /// Reads what [`Envelope::encode`] wrote, as a run would.
    pub fn decode(bytes: &[u8]) -> Result<AggregateResponse, Unreadable> {
        let bad = |what: &str| Unreadable(what.to_owned());
        let form: Form = serde_json::from_slice(bytes).map_err(|e| Unreadable(e.to_string()))?;
        if form.version != VERSION {
            return Err(Unreadable(format!("version {}, expected {VERSION}", form.version)));
        }
        let read = |part: PartForm| {
            let body = match part.body {
                Some(text) => Some(Rc::from(STANDARD.decode(text).map_err(|e| Unreadable(e.to_string()))?)),
                None => None,
            };
            let made = match (part.state, body, part.age_ms, part.why) {
                ("fresh", Some(body), None, None) => Part::Fresh(body),
                ("kept", Some(body), Some(age), None) => Part::Kept(body, age.saturating_mul(1_000)),
                ("constant", Some(body), None, None) => Part::Constant(body),
                ("left-out", None, None, Some(why)) => Part::LeftOut(why),
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
            ("notes".into(), Part::Kept(b"n"[..].into(), 1_001)),
            ("tax".into(), Part::Constant(b"0"[..].into())),
            ("photos".into(), Part::LeftOut(MissingReason::BreakerOpen)),
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
        assert_eq!(read.parts[1].1, Part::Kept(b"n"[..].into(), 2_000));
        read.parts[1] = envelope.parts[1].clone();
        assert_eq!(read, envelope);
    }

    /// The bytes that runs get for each reason, written down before any variant was renamed.
    #[test]
    fn every_missing_reason_keeps_its_word_in_the_json() {
        let words = [
            (MissingReason::OutOfTime, "out-of-time"),
            (MissingReason::NoTime, "no-time"),
            (MissingReason::NoPlace, "no-place"),
            (MissingReason::BreakerOpen, "breaker-open"),
            (MissingReason::Refused, "refused"),
            (MissingReason::Unreachable, "unreachable"),
            (MissingReason::Failed, "failed"),
            (MissingReason::NoBudget, "no-budget"),
            (MissingReason::Cut, "cut"),
        ];
        for (reason, word) in words {
            let response = AggregateResponse { parts: vec![("a".into(), Part::LeftOut(reason))] };
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

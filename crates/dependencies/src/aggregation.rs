//! The one response that a request gets for all the calls of its plan.
//!
//! It is sent as JSON, one object: `version` is 1, and `parts` are in the order of the plan. Each part has `name`,
//! `state` and, by its state:
//!
//! | state | more fields |
//! | --- | --- |
//! | `fresh` | `body`: the reply, in base64 |
//! | `kept` | `body`, and `age_ms`: how long ago it was given, rounded up |
//! | `constant` | `body`: the configured constant |
//! | `left-out` | `why`: one of the words of [`MissingReason`] |
//!
//! A plan of which a required part has no body has no response: the request fails.

mod json;

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use umberloom::interface::{Micros, Outcome};

pub use json::{DecodeError, FORMAT_VERSION};

/// All parts of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AggregateResponse {
    /// The parts, in the order of the plan.
    pub parts: Vec<NamedPart>,
}

impl AggregateResponse {
    /// Whether every part is fresh.
    pub fn is_complete(&self) -> bool {
        self.parts.iter().all(|named| matches!(named.part, Part::Fresh(_)))
    }
}

/// What one call came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedPart {
    /// Name of the dependency.
    pub name: Rc<str>,
    /// The part of the response.
    pub part: Part,
}

/// A part of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The reply to this very call.
    Fresh(Rc<[u8]>),
    /// An earlier reply about the same resource.
    Cached {
        /// The reply.
        body: Rc<[u8]>,
        /// How long ago it was given, in microseconds.
        age: Micros,
    },
    /// The configured constant.
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

/// Why a part has no fresh reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingReason {
    /// The time of the call was up first.
    #[serde(rename = "out-of-time")]
    DeadlineExceeded,
    /// There was no time to begin it.
    #[serde(rename = "no-time")]
    NoTimeLeft,
    /// The concurrency limit was reached, for longer than there was time.
    #[serde(rename = "no-place")]
    NoCapacity,
    /// The circuit breaker was open.
    BreakerOpen,
    /// The dependency rejected it.
    #[serde(rename = "refused")]
    Rejected,
    /// No endpoint could be reached.
    Unreachable,
    /// It failed.
    Failed,
    /// The retry budget was empty.
    #[serde(rename = "no-budget")]
    RetryBudgetEmpty,
    /// The connection was lost.
    #[serde(rename = "cut")]
    ConnectionLost,
}

/// The reason that a failed attempt leaves.
impl From<Outcome> for MissingReason {
    fn from(outcome: Outcome) -> MissingReason {
        match outcome {
            Outcome::Rejected => MissingReason::Rejected,
            Outcome::Unreachable => MissingReason::Unreachable,
            Outcome::TimedOut => MissingReason::DeadlineExceeded,
            Outcome::ConnectionLost => MissingReason::ConnectionLost,
            Outcome::Ok | Outcome::Error | Outcome::Aborted | Outcome::NotStarted => MissingReason::Failed,
        }
    }
}

#[cfg(test)]
mod tests;

//! The aggregated response, which a request gets for all calls of its plan.
//!
//! It is sent as a JSON object: `version` is 1, and `parts` are in the order of the plan. Each part has the
//! fields `name` and `state`, and more fields by its state:
//!
//! | state | more fields |
//! | --- | --- |
//! | `fresh` | `body`: the reply, in base64 |
//! | `kept` | `body`, and `age_ms`: time since the cached reply was received, rounded up |
//! | `constant` | `body`: the configured constant |
//! | `left-out` | `why`: one of the words of [`MissingReason`] |
//!
//! If a required part has no body, there is no response, and the request fails.

mod json;

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use umberloom::interface::{Micros, Outcome};

pub use json::{DecodeError, FORMAT_VERSION};

/// The aggregated response for a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AggregateResponse {
    /// The parts, in the order of the plan.
    pub parts: Vec<NamedPart>,
}

impl AggregateResponse {
    /// Returns whether every part is fresh.
    pub fn is_complete(&self) -> bool {
        self.parts.iter().all(|named| matches!(named.part, Part::Fresh(_)))
    }
}

/// The part of the response for one call, with the name of its dependency.
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
    /// The reply to this call.
    Fresh(Rc<[u8]>),
    /// A cached reply to an earlier call for the same resource.
    Cached {
        /// Body of the cached reply.
        body: Rc<[u8]>,
        /// Time since the reply was received, in microseconds.
        age: Micros,
    },
    /// The configured constant.
    Constant(Rc<[u8]>),
    /// No body, for this reason.
    Missing(MissingReason),
}

impl Part {
    /// Returns whether the part has a body.
    pub fn has_body(&self) -> bool {
        !matches!(self, Part::Missing(_))
    }
}

/// Why a part has no fresh reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingReason {
    /// The deadline of the call passed before it ended.
    #[serde(rename = "out-of-time")]
    DeadlineExceeded,
    /// There was no time left to start the call.
    #[serde(rename = "no-time")]
    NoTimeLeft,
    /// The concurrency limit left no capacity for the call in its time, or the queue was full.
    #[serde(rename = "no-place")]
    NoCapacity,
    /// The circuit breaker was open.
    BreakerOpen,
    /// The dependency rejected the call.
    #[serde(rename = "refused")]
    Rejected,
    /// The endpoint could not be reached.
    Unreachable,
    /// The call failed.
    Failed,
    /// The retry budget was empty.
    #[serde(rename = "no-budget")]
    RetryBudgetEmpty,
    /// The connection was lost.
    #[serde(rename = "cut")]
    ConnectionLost,
}

/// Maps the outcome of a failed attempt to the reason why the part is missing.
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

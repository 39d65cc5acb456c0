//! The agent's protocol: lines of one JSON object each, bodies in base64.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use umberloom::interface::Micros;

use super::MalformedInput;
use crate::messages::RunOutcome;

/// The longest line that is read.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// A command to the agent.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "op", rename_all = "lowercase")]
pub enum Command<'a> {
    /// Begin a link; `seq` is the number of the last notice that was read.
    Subscribe {
        /// That number.
        seq: u64,
    },
    /// Run a request.
    Launch {
        /// The request.
        id: &'a str,
        /// Its class.
        class: &'a str,
        /// Its body, in base64.
        body: String,
    },
    /// Stop a run.
    Freeze {
        /// The request.
        id: &'a str,
    },
    /// Go on with a paused run.
    Thaw {
        /// The request.
        id: &'a str,
    },
    /// The reply to the call that a run waits for.
    Deliver {
        /// The request.
        id: &'a str,
        /// The reply, in base64.
        body: String,
    },
    /// Go on without a call.
    Forgo {
        /// The request.
        id: &'a str,
        /// Number of the notice that asked for the call.
        seq: u64,
    },
    /// Ask for the gauges.
    Sample {
        /// Comes back with them.
        tag: &'a str,
    },
    /// Do the work of a deep health check.
    Exercise {
        /// Comes back with its end.
        tag: &'a str,
    },
}

impl Command<'_> {
    /// The command as a line.
    pub fn encode(&self) -> Vec<u8> {
        // Texts and numbers always serialise; were one not to, the agent would close the link over it.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// Bytes as base64.
pub fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// What the agent reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The first notice on a link.
    Greeting {
        /// Whether the agent was just starting, or ran already.
        starting: bool,
        /// For how long it has been up.
        uptime: Micros,
    },
    /// A run is over.
    RunEnded {
        /// Its request.
        id: String,
        /// How it ended.
        outcome: RunOutcome,
        /// How long it took.
        duration: Micros,
    },
    /// A run waits for a downstream call.
    NeedsCall {
        /// Its request.
        id: String,
        /// Number of this notice.
        notice_seq: u64,
        /// Body of the call.
        body: Vec<u8>,
    },
    /// The answer to [`Command::Sample`].
    GaugesSampled {
        /// The command's tag.
        tag: String,
        /// The gauges; NaN where the agent has no value.
        values: Vec<f64>,
    },
    /// The answer to [`Command::Exercise`].
    HealthCheckEnded {
        /// The command's tag.
        tag: String,
        /// Whether the work was done.
        healthy: bool,
    },
    /// A command about a request was not carried out.
    CommandRejected {
        /// The command's name.
        command: String,
        /// The request.
        id: String,
    },
    /// A well-formed line with content that can't be true.
    Invalid {
        /// The request that it is about.
        id: String,
    },
    /// A kind of notice that means nothing here.
    Ignored,
}

#[derive(Deserialize)]
struct Line {
    op: String,
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    id: String,
    #[serde(default)]
    end: String,
    #[serde(default)]
    ms: f64,
    #[serde(default)]
    body: String,
    #[serde(default)]
    tag: String,
    #[serde(default)]
    values: Vec<Option<f64>>,
}

/// Reads one line: the notice, and its number if it has one.
pub fn parse_notice(line: &[u8]) -> Result<(Notice, Option<u64>), MalformedInput> {
    let line: Line = serde_json::from_slice(line).map_err(|_| MalformedInput::InvalidNotice)?;
    let duration = (line.ms.max(0.0) * 1e3) as Micros;
    let is_numbered = matches!(line.op.as_str(), "outcome" | "request" | "aside") && line.seq > 0;
    let seq = is_numbered.then_some(line.seq);
    let body = STANDARD.decode(&line.body).ok();
    let notice = match (line.op.as_str(), body) {
        ("greeting", _) => Notice::Greeting { starting: line.end == "starting", uptime: duration },
        ("outcome", body) => {
            let outcome = match (line.end.as_str(), body) {
                ("fine", Some(result)) => Some(RunOutcome::Success(result)),
                ("fault", _) => Some(RunOutcome::Failed),
                ("broken_off", _) => Some(RunOutcome::Aborted),
                ("late", _) => Some(RunOutcome::NotStarted),
                _ => None,
            };
            let id = line.id;
            match outcome {
                Some(outcome) => Notice::RunEnded { id, outcome, duration },
                None => Notice::Invalid { id },
            }
        }
        ("request", Some(body)) => Notice::NeedsCall { id: line.id, notice_seq: line.seq, body },
        ("request", None) => Notice::Invalid { id: line.id },
        ("sampled", _) => {
            let values = line.values.into_iter().map(|value| value.unwrap_or(f64::NAN)).collect();
            Notice::GaugesSampled { tag: line.tag, values }
        }
        ("exercised", _) => Notice::HealthCheckEnded { tag: line.tag, healthy: line.end == "fine" },
        ("refusal", _) => Notice::CommandRejected { command: line.end, id: line.id },
        _ => Notice::Ignored,
    };
    Ok((notice, seq))
}

#[cfg(test)]
mod tests;

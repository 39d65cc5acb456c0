//! The agent's protocol: one JSON object per line, with bodies in base64.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use umberloom::interface::Micros;

use super::MalformedInput;
use crate::messages::RunOutcome;

/// Limit on a line from the agent, in bytes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// A command to the agent.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "op", rename_all = "lowercase")]
pub enum Command<'a> {
    /// Begin a link.
    Subscribe {
        /// Number of the last notice that was read; 0 before the first.
        seq: u64,
    },
    /// Run a request.
    Launch {
        /// The id of the request.
        id: &'a str,
        /// The name of its class.
        class: &'a str,
        /// The body in base64.
        body: String,
    },
    /// Pause a run.
    Freeze {
        /// The id of the request.
        id: &'a str,
    },
    /// Resume a paused run.
    Thaw {
        /// The id of the request.
        id: &'a str,
    },
    /// Deliver the reply to the downstream call that a run waits for.
    Deliver {
        /// The id of the request.
        id: &'a str,
        /// The reply in base64.
        body: String,
    },
    /// Resume a run without the reply to its downstream call.
    Forgo {
        /// The id of the request.
        id: &'a str,
        /// Number of the notice that requested the call.
        seq: u64,
    },
    /// Request the values of the gauges.
    Sample {
        /// Repeated in the notice with the values.
        tag: &'a str,
    },
    /// Run the work of a deep health check.
    Exercise {
        /// Repeated in the notice that the work has ended.
        tag: &'a str,
    },
}

impl Command<'_> {
    /// Encodes the command as a line.
    pub fn encode(&self) -> Vec<u8> {
        // Strings and numbers always serialize. Were one to fail, the agent would close the link over the
        // empty line.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// Encodes bytes as base64.
pub fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// A notice from the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The first notice on a link.
    Greeting {
        /// Whether the agent was just starting, rather than already running.
        starting: bool,
        /// How long the agent has been up.
        uptime: Micros,
    },
    /// A run has ended.
    RunEnded {
        /// The id of its request.
        id: String,
        /// How the run ended.
        outcome: RunOutcome,
        /// How long the run took.
        duration: Micros,
    },
    /// A run waits for a downstream call.
    NeedsCall {
        /// The id of its request.
        id: String,
        /// The number of this notice, which identifies the call.
        notice_seq: u64,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// The response to [`Command::Sample`].
    GaugesSampled {
        /// The command's tag.
        tag: String,
        /// The values of the gauges; NaN where the agent has none.
        values: Vec<f64>,
    },
    /// The response to [`Command::Exercise`].
    HealthCheckEnded {
        /// The command's tag.
        tag: String,
        /// Whether the work succeeded.
        healthy: bool,
    },
    /// The agent did not carry out a command about a request.
    CommandRejected {
        /// The name of the command.
        command: String,
        /// The id of the request.
        id: String,
    },
    /// A well-formed notice with an unknown outcome or an undecodable body.
    Invalid {
        /// The id of the request that it is about.
        id: String,
    },
    /// A notice of a kind that this server does not use.
    Ignored,
}

/// A line from the agent: the fields of all kinds of notices.
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

/// Parses one line. Returns the notice, and its number if it is of a numbered kind.
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

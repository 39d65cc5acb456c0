//! The agent's lines: one JSON object each, bodies in base64.

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

/// What the agent says.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The agent is up, since so long; `true`: it was starting then, `false`: it ran already.
    Greeting(bool, Micros),
    /// A run is over after this time.
    RunEnded(String, RunOutcome, Micros),
    /// A run waits for a call with this body; the number is that of the notice.
    NeedsCall(String, u64, Vec<u8>),
    /// Gauges.
    GaugesSampled(String, Vec<f64>),
    /// End of the work of a deep health check.
    HealthCheckEnded(String, bool),
    /// A command about a request was not carried out.
    CommandRejected(String, String),
    /// A sound line about this request that says nothing that could be true.
    Invalid(String),
    /// Nothing of meaning.
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
    let line: Line = serde_json::from_slice(line).map_err(|_| MalformedInput("not a notice in JSON"))?;
    let took = (line.ms.max(0.0) * 1e3) as Micros;
    let numbered = matches!(line.op.as_str(), "outcome" | "request" | "aside") && line.seq > 0;
    let seq = numbered.then_some(line.seq);
    let body = STANDARD.decode(&line.body).ok();
    let notice = match (line.op.as_str(), body) {
        ("greeting", _) => Notice::Greeting(line.end == "starting", took),
        ("outcome", body) => {
            let end = match (line.end.as_str(), body) {
                ("fine", Some(result)) => Some(RunOutcome::Success(result)),
                ("fault", _) => Some(RunOutcome::Failed),
                ("broken_off", _) => Some(RunOutcome::Aborted),
                ("late", _) => Some(RunOutcome::NotStarted),
                _ => None,
            };
            let id = line.id;
            end.map_or(Notice::Invalid(id.clone()), |end| Notice::RunEnded(id, end, took))
        }
        ("request", Some(body)) => Notice::NeedsCall(line.id, line.seq, body),
        ("request", None) => Notice::Invalid(line.id),
        ("sampled", _) => {
            Notice::GaugesSampled(line.tag, line.values.into_iter().map(|v| v.unwrap_or(f64::NAN)).collect())
        }
        ("exercised", _) => Notice::HealthCheckEnded(line.tag, line.end == "fine"),
        ("refusal", _) => Notice::CommandRejected(line.end, line.id),
        _ => Notice::Ignored,
    };
    Ok((notice, seq))
}

#[cfg(test)]
mod tests {
    use super::super::test_bytes;
    use super::*;

    fn text(command: Command) -> String {
        String::from_utf8(command.encode()).expect("text")
    }

    #[test]
    fn every_command_is_one_line() {
        let id = "9b1f";
        let cases = [
            (Command::Subscribe { seq: 4 }, r#"{"op":"subscribe","seq":4}"#),
            (
                Command::Launch { id, class: "a", body: encode_base64(&[0, 255]) },
                r#"{"op":"launch","id":"9b1f","class":"a","body":"AP8="}"#,
            ),
            (Command::Freeze { id }, r#"{"op":"freeze","id":"9b1f"}"#),
            (Command::Thaw { id }, r#"{"op":"thaw","id":"9b1f"}"#),
            (Command::Deliver { id, body: encode_base64(b"") }, r#"{"op":"deliver","id":"9b1f","body":""}"#),
            (Command::Forgo { id, seq: 8 }, r#"{"op":"forgo","id":"9b1f","seq":8}"#),
            (Command::Sample { tag: "7" }, r#"{"op":"sample","tag":"7"}"#),
            (Command::Exercise { tag: "7" }, r#"{"op":"exercise","tag":"7"}"#),
        ];
        for (command, line) in cases {
            assert_eq!(text(command), format!("{line}\n"));
        }
        assert_eq!(text(Command::Thaw { id: "a\n\"b" }).lines().count(), 1);
    }

    #[test]
    fn every_notice_is_read() {
        let is =
            |line: &str, wanted: Notice, seq| assert_eq!(parse_notice(line.as_bytes()), Ok((wanted, seq)));
        is(r#"{"op":"greeting","end":"running","ms":3}"#, Notice::Greeting(false, 3_000), None);
        is(r#"{"op":"greeting","end":"starting"}"#, Notice::Greeting(true, 0), None);
        is(
            r#"{"op":"outcome","seq":3,"id":"a","end":"fine","ms":18.5,"body":"AP8="}"#,
            Notice::RunEnded("a".into(), RunOutcome::Success(vec![0, 255]), 18_500),
            Some(3),
        );
        for (word, end) in [
            ("fault", RunOutcome::Failed),
            ("broken_off", RunOutcome::Aborted),
            ("late", RunOutcome::NotStarted),
        ] {
            let line = format!(r#"{{"op":"outcome","seq":3,"id":"a","end":"{word}","ms":1}}"#);
            is(&line, Notice::RunEnded("a".into(), end, 1_000), Some(3));
        }
        is(
            r#"{"op":"request","seq":4,"id":"a","body":"eA=="}"#,
            Notice::NeedsCall("a".into(), 4, b"x".to_vec()),
            Some(4),
        );
        is(
            r#"{"op":"sampled","tag":"7","values":[0.5,3,0.25,9]}"#,
            Notice::GaugesSampled("7".into(), vec![0.5, 3.0, 0.25, 9.0]),
            None,
        );
        is(
            r#"{"op":"exercised","tag":"7","end":"fault"}"#,
            Notice::HealthCheckEnded("7".into(), false),
            None,
        );
        is(
            r#"{"op":"refusal","end":"launch","id":"a"}"#,
            Notice::CommandRejected("launch".into(), "a".into()),
            None,
        );
        is(r#"{"op":"aside","seq":5,"end":"tea"}"#, Notice::Ignored, Some(5));
        is(r#"{"op":"something-new"}"#, Notice::Ignored, None);
    }

    #[test]
    fn what_can_t_be_true_is_told_from_what_can_t_be_read() {
        for line in [
            &br#"{"op":"outcome","seq":1,"id":"a","end":"odd"}"#[..],
            br#"{"op":"outcome","seq":1,"id":"a","end":"fine","body":"%%"}"#,
            br#"{"op":"request","seq":1,"id":"a","body":"%%"}"#,
        ] {
            assert_eq!(parse_notice(line), Ok((Notice::Invalid("a".into()), Some(1))));
        }
    }

    #[test]
    fn damaged_lines_are_refused_or_still_a_notice() {
        let line = br#"{"op":"request","seq":4,"id":"9b1f03aa5c7e2d41","body":"AP8AP8AP8AP8"}"#;
        let refused = test_bytes::damaged_copies(line).filter(|bytes| parse_notice(bytes).is_err()).count();
        assert!((100..500).contains(&refused), "{refused}");
    }

    #[test]
    fn bad_lines_are_refused_at_every_cut() {
        let line = br#"{"op":"outcome","seq":3,"id":"a","end":"fine","ms":18.5,"body":"AP8="}"#;
        for cut in 0..line.len() {
            assert!(parse_notice(&line[..cut]).is_err(), "{cut}");
        }
        for bad in
            [&b"[]"[..], b"\xff\xfe", br#"{"op":"outcome","seq":-1,"id":"a","end":"fine"}"#, br#"{"op":7}"#]
        {
            assert!(parse_notice(bad).is_err(), "{}", String::from_utf8_lossy(bad));
        }
    }
}

//! Actions to larch-ca68 replies.

use serde::Serialize;
use umberloom::interface::{Action, Micros};

/// The name of every timer: the module has one purpose for them, to be called again.
const TIMER: &str = "wake";

#[derive(Serialize)]
#[serde(tag = "op", rename_all = "snake_case")]
enum Line<'a> {
    Admit { who: u64, txn: &'a str },
    Interrupt { who: u64, txn: &'a str },
    Deny { who: u64, txn: &'a str, backoff_us: Micros, terminal: bool },
    Lose { who: u64, txn: &'a str },
    CallDep { who: u64, txn: &'a str, expire_at_us: Micros },
    Bypass { who: u64, txn: &'a str },
    Remember { who: u64, txn: &'a str, span_us: Micros },
    ReleaseKey { who: u64, txn: &'a str },
    Attach { who: u64, txn: &'a str },
    Readiness { who: u64, enable: bool, from_state: bool },
    Say { who: u64, x: f64 },
    Idle { who: u64, span_us: Micros },
    Arm { who: u64, wait_us: Micros, nonce: &'a str },
    Debug { who: u64, text: &'a str },
    Crash { who: u64, text: &'a str },
}

impl<'a> Line<'a> {
    fn of(who: u64, action: &'a Action) -> Line<'a> {
        match action {
            Action::Admit(txn) => Line::Admit { who, txn },
            Action::Preempt(txn) => Line::Interrupt { who, txn },
            Action::Reject { id, retry_after: stay_away, terminal } => {
                Line::Deny { who, txn: id, backoff_us: *stay_away, terminal: *terminal }
            }
            Action::Fail(txn) => Line::Lose { who, txn },
            Action::Call(txn, until) => Line::CallDep { who, txn, expire_at_us: *until },
            Action::SkipCall(txn) => Line::Bypass { who, txn },
            Action::RetainKey(txn, span) => Line::Remember { who, txn, span_us: *span },
            Action::ReleaseKey(txn) => Line::ReleaseKey { who, txn },
            Action::AwaitDuplicate(txn) => Line::Attach { who, txn },
            Action::SetReady(good) => Line::Readiness { who, enable: *good, from_state: true },
            Action::SetLoadHint(x) => Line::Say { who, x: *x },
            Action::CloseIdle(span) => Line::Idle { who, span_us: *span },
            Action::WakeAfter(wait) => Line::Arm { who, wait_us: *wait, nonce: TIMER },
            Action::Log(text) => Line::Debug { who, text },
        }
    }
}

/// The reply to one batch, written piece by piece.
#[derive(Default)]
pub struct Reply {
    text: Vec<u8>,
}

impl Reply {
    /// Adds an action of instance `who`.
    pub fn push(&mut self, who: u64, action: &Action) {
        self.write(&Line::of(who, action));
    }

    /// Declares that the decisions of instance `who` can't be made.
    pub fn crash(&mut self, who: u64, text: &str) {
        self.write(&Line::Crash { who, text });
    }

    fn write(&mut self, line: &Line) {
        self.text.extend_from_slice(if self.text.is_empty() { b"{\"do\":[" } else { b"," });
        // Writing plain fields into memory can't fail; were it to, the line would be cut and seen.
        let _ = serde_json::to_writer(&mut self.text, line);
    }

    /// The finished line; the next `push` begins a new one.
    pub fn finish(&mut self) -> Vec<u8> {
        let mut line = std::mem::take(&mut self.text);
        if line.is_empty() {
            line.extend_from_slice(b"{\"do\":[");
        }
        line.extend_from_slice(b"]}\n");
        line
    }
}

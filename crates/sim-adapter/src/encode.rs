//! Encodes actions as replies of the simulator's larch-ca68 protocol.

use serde::Serialize;
use umberloom::interface::{Action, Micros};

/// The name of the timer in the protocol. An admission controller has only one timer.
const TIMER_NAME: &str = "wake";
/// The start of a reply.
const REPLY_START: &[u8] = b"{\"do\":[";
/// The end of a reply.
const REPLY_END: &[u8] = b"]}\n";

/// An action as the protocol encodes it.
#[derive(Serialize)]
#[serde(tag = "op", rename_all = "snake_case")]
enum WireAction<'a> {
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

impl<'a> WireAction<'a> {
    /// Converts an action of an instance.
    fn new(instance: u64, action: &'a Action) -> WireAction<'a> {
        let who = instance;
        match action {
            Action::Admit(txn) => WireAction::Admit { who, txn },
            Action::Preempt(txn) => WireAction::Interrupt { who, txn },
            Action::Reject { id, retry_after, terminal } => {
                WireAction::Deny { who, txn: id, backoff_us: *retry_after, terminal: *terminal }
            }
            Action::Fail(txn) => WireAction::Lose { who, txn },
            Action::Call(txn, deadline) => WireAction::CallDep { who, txn, expire_at_us: *deadline },
            Action::SkipCall(txn) => WireAction::Bypass { who, txn },
            Action::RetainKey(txn, window) => WireAction::Remember { who, txn, span_us: *window },
            Action::ReleaseKey(txn) => WireAction::ReleaseKey { who, txn },
            Action::AwaitDuplicate(txn) => WireAction::Attach { who, txn },
            Action::SetReady(ready) => WireAction::Readiness { who, enable: *ready, from_state: true },
            Action::SetLoadHint(hint) => WireAction::Say { who, x: *hint },
            Action::CloseIdle(timeout) => WireAction::Idle { who, span_us: *timeout },
            Action::WakeAfter(delay) => WireAction::Arm { who, wait_us: *delay, nonce: TIMER_NAME },
            Action::Log(text) => WireAction::Debug { who, text },
        }
    }
}

/// Builds the reply to one batch.
#[derive(Default)]
pub struct Reply {
    text: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u64, action: &Action) {
        self.write(&WireAction::new(instance, action));
    }

    /// Appends a crash action: the instance can't start for this reason.
    pub fn push_crash(&mut self, instance: u64, reason: &str) {
        self.write(&WireAction::Crash { who: instance, text: reason });
    }

    /// Returns the finished line. The next action starts a new one.
    pub fn finish(&mut self) -> Vec<u8> {
        let mut line = std::mem::take(&mut self.text);
        if line.is_empty() {
            line.extend_from_slice(REPLY_START);
        }
        line.extend_from_slice(REPLY_END);
        line
    }

    fn write(&mut self, action: &WireAction) {
        self.text.extend_from_slice(if self.text.is_empty() { REPLY_START } else { b"," });
        // Serializing plain fields into memory can't fail. If it did, the simulator would reject the
        // truncated line.
        let _ = serde_json::to_writer(&mut self.text, action);
    }
}

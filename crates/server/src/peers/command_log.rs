//! Orders to the agent that it is not known to have read: what makes a new link go on where the last
//! one broke.

use std::collections::VecDeque;

use umberloom::interface::RequestId;

use crate::messages::agent::AgentCommand;
use crate::wire::jsonl::{base64, Command};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Begins or stops a run.
    Run,
    Freeze,
    /// Answers a call.
    Reply,
    /// Asked for on one link only.
    Question,
    /// A sample that the journal itself asks for, to mark the end of what was missed.
    Mark,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    kind: Kind,
    id: RequestId,
    /// The tag under which a question was asked.
    tag: u64,
    line: Vec<u8>,
}

/// Orders in the order given, those written on the present link first.
#[derive(Debug, Default)]
pub struct Journal {
    entries: VecDeque<Entry>,
    written: usize,
    next: u64,
    /// On a new link, the sample whose answer says that all missed notices are in.
    mark: Option<u64>,
}

impl Journal {
    /// Adds an order.
    pub fn add(&mut self, order: &AgentCommand) {
        let number = self.next + 1;
        let name = number.to_string();
        let none: RequestId = "".into();
        let (kind, id, tag, command) = match order {
            AgentCommand::Launch { id, class, body } => {
                (Kind::Run, id, 0, Command::Launch { id, class, body: base64(body) })
            }
            AgentCommand::Pause(id) => (Kind::Freeze, id, 0, Command::Freeze { id }),
            AgentCommand::Resume(id) => (Kind::Run, id, 0, Command::Thaw { id }),
            AgentCommand::DeliverReply { id, body } => {
                (Kind::Reply, id, 0, Command::Deliver { id, body: base64(body) })
            }
            AgentCommand::SkipCall { id, notice_seq } => {
                (Kind::Reply, id, 0, Command::Forgo { id, seq: *notice_seq })
            }
            AgentCommand::SampleGauges(tag) => (Kind::Question, &none, *tag, Command::Sample { tag: &name }),
            AgentCommand::RunHealthCheck(tag) => {
                (Kind::Question, &none, *tag, Command::Exercise { tag: &name })
            }
        };
        let unwritten = || self.entries.iter().skip(self.written);
        if kind == Kind::Freeze && unwritten().any(|e| e.kind == kind && e.id == *id) {
            // Stops are asked for again and again; without a link they must not pile up.
            return;
        }
        if matches!(order, AgentCommand::SampleGauges(_)) && unwritten().any(|e| e.kind == kind) {
            // Neither must samples: the module asks for one after the other, whether or not they are answered.
            return;
        }
        self.next = number;
        let entry = Entry { number, kind, id: id.clone(), tag, line: command.line() };
        self.entries.push_back(entry);
    }

    /// Lines to write next, as many as fit in `most` bytes but at least one if there is any.
    pub fn take(&mut self, most: usize) -> Vec<u8> {
        let mut out = Vec::new();
        while let Some(entry) = self.entries.get(self.written) {
            let waits = self.mark.is_some_and(|mark| entry.number != mark);
            if waits || (!out.is_empty() && out.len() + entry.line.len() > most) {
                break;
            }
            out.extend_from_slice(&entry.line);
            self.written += 1;
        }
        out
    }

    /// A new link has been greeted: nothing is known to have been read of what was written on the last
    /// one. Until the answer to a sample marks the end of the missed notices, nothing else is written:
    /// a run that ended meanwhile must not be started again.
    pub fn restart(&mut self) {
        self.entries.retain(|e| !matches!(e.kind, Kind::Question | Kind::Mark));
        self.written = 0;
        self.next += 1;
        let name = self.next.to_string();
        let line = Command::Sample { tag: &name }.line();
        let entry = Entry { number: self.next, kind: Kind::Mark, id: "".into(), tag: 0, line };
        self.entries.push_front(entry);
        self.mark = Some(self.next);
    }

    /// The answer to question `name` came: all written before it has been read. The tag it was asked
    /// under, if the module asked.
    pub fn answered(&mut self, name: &str) -> Option<u64> {
        let number: u64 = name.parse().ok()?;
        let written = self.entries.iter().take(self.written);
        let at = written.enumerate().find(|(_, e)| e.number == number).map(|(at, _)| at)?;
        if self.mark == Some(number) {
            self.mark = None;
        }
        let asked = self.entries.get(at).filter(|e| e.kind == Kind::Question).map(|e| e.tag);
        self.entries.drain(..=at);
        self.written -= at + 1;
        asked
    }

    /// The answer to question `name` came, which was carried out out of turn.
    pub fn exercised(&mut self, name: &str) -> Option<u64> {
        let number: u64 = name.parse().ok()?;
        let at = self.entries.iter().take(self.written).position(|e| e.number == number)?;
        self.remove(at).map(|e| e.tag)
    }

    /// The run of this request is over: no order about it matters any more.
    pub fn ended(&mut self, id: &str) {
        self.forget(|e| &*e.id == id);
    }

    /// The run of this request waits for a call: replies to earlier ones have been read.
    pub fn waits(&mut self, id: &str) {
        self.forget(|e| e.kind == Kind::Reply && &*e.id == id);
    }

    /// How many orders there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn forget(&mut self, which: impl Fn(&Entry) -> bool) {
        for at in (0..self.entries.len()).rev() {
            if which(&self.entries[at]) {
                self.remove(at);
            }
        }
    }

    fn remove(&mut self, at: usize) -> Option<Entry> {
        self.written -= usize::from(at < self.written);
        self.entries.remove(at)
    }
}

#[cfg(test)]
mod tests;

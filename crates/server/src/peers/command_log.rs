//! Commands that the agent is not known to have read. They are replayed on a new link, so that it goes on where the
//! last one broke.

use std::collections::VecDeque;

use umberloom::interface::RequestId;

use crate::messages::agent::AgentCommand;
use crate::wire::jsonl::{encode_base64, Command};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryKind {
    /// Begins or stops a run.
    Run,
    Pause,
    /// Answers a call.
    Reply,
    /// Made on one link only.
    Query,
    /// A sample that the log itself asks for, to mark the end of the missed notices.
    Marker,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    kind: EntryKind,
    id: RequestId,
    /// The tag under which admission made the query.
    tag: u64,
    line: Vec<u8>,
}

/// Commands in the order given, those written on the present link first.
#[derive(Debug, Default)]
pub struct CommandLog {
    entries: VecDeque<Entry>,
    written: usize,
    last_number: u64,
    /// On a new link, the sample whose answer says that all missed notices are in.
    marker: Option<u64>,
}

impl CommandLog {
    /// Adds a command.
    pub fn push(&mut self, command: &AgentCommand) {
        let number = self.last_number + 1;
        let name = number.to_string();
        let none: RequestId = "".into();
        let (kind, id, tag, encoded) = match command {
            AgentCommand::Launch { id, class, body } => {
                (EntryKind::Run, id, 0, Command::Launch { id, class, body: encode_base64(body) })
            }
            AgentCommand::Pause(id) => (EntryKind::Pause, id, 0, Command::Freeze { id }),
            AgentCommand::Resume(id) => (EntryKind::Run, id, 0, Command::Thaw { id }),
            AgentCommand::DeliverReply { id, body } => {
                (EntryKind::Reply, id, 0, Command::Deliver { id, body: encode_base64(body) })
            }
            AgentCommand::SkipCall { id, notice_seq } => {
                (EntryKind::Reply, id, 0, Command::Forgo { id, seq: *notice_seq })
            }
            AgentCommand::SampleGauges(tag) => {
                (EntryKind::Query, &none, *tag, Command::Sample { tag: &name })
            }
            AgentCommand::RunHealthCheck(tag) => {
                (EntryKind::Query, &none, *tag, Command::Exercise { tag: &name })
            }
        };
        let unwritten = || self.entries.iter().skip(self.written);
        if kind == EntryKind::Pause && unwritten().any(|e| e.kind == kind && e.id == *id) {
            // Pauses are sent again and again; without a link they must not accumulate.
            return;
        }
        if matches!(command, AgentCommand::SampleGauges(_)) && unwritten().any(|e| e.kind == kind) {
            // Neither must samples: admission asks for one after the other, whether or not they are answered.
            return;
        }
        self.last_number = number;
        let entry = Entry { number, kind, id: id.clone(), tag, line: encoded.encode() };
        self.entries.push_back(entry);
    }

    /// Lines to write next, as many as fit in `most` bytes but at least one if there is any.
    pub fn take_lines(&mut self, most: usize) -> Vec<u8> {
        let mut out = Vec::new();
        while let Some(entry) = self.entries.get(self.written) {
            let waits = self.marker.is_some_and(|mark| entry.number != mark);
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
    pub fn restart_link(&mut self) {
        self.entries.retain(|e| !matches!(e.kind, EntryKind::Query | EntryKind::Marker));
        self.written = 0;
        self.last_number += 1;
        let name = self.last_number.to_string();
        let line = Command::Sample { tag: &name }.encode();
        let entry = Entry { number: self.last_number, kind: EntryKind::Marker, id: "".into(), tag: 0, line };
        self.entries.push_front(entry);
        self.marker = Some(self.last_number);
    }

    /// The answer to sample `name` has arrived: all commands written before it have been read. Returns the tag of the
    /// query, if admission made it.
    pub fn sample_answered(&mut self, name: &str) -> Option<u64> {
        let number: u64 = name.parse().ok()?;
        let written = self.entries.iter().take(self.written);
        let at = written.enumerate().find(|(_, e)| e.number == number).map(|(at, _)| at)?;
        if self.marker == Some(number) {
            self.marker = None;
        }
        let tag = self.entries.get(at).filter(|e| e.kind == EntryKind::Query).map(|e| e.tag);
        self.entries.drain(..=at);
        self.written -= at + 1;
        tag
    }

    /// The answer to health check `name` has arrived. The agent answers these out of turn, so it acknowledges no other
    /// command. Returns the tag of the query.
    pub fn health_check_answered(&mut self, name: &str) -> Option<u64> {
        let number: u64 = name.parse().ok()?;
        let at = self.entries.iter().take(self.written).position(|e| e.number == number)?;
        self.remove(at).map(|e| e.tag)
    }

    /// The run of this request is over: no command about it matters any more.
    pub fn run_ended(&mut self, id: &str) {
        self.remove_matching(|e| &*e.id == id);
    }

    /// The run of this request waits for a call: replies to earlier ones have been read.
    pub fn run_waits_for_call(&mut self, id: &str) {
        self.remove_matching(|e| e.kind == EntryKind::Reply && &*e.id == id);
    }

    /// How many commands there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn remove_matching(&mut self, which: impl Fn(&Entry) -> bool) {
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

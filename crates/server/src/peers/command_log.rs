//! Commands that the agent has not acknowledged. They are replayed on a new link, so that no command is lost
//! when a link breaks; all but launches that the agent may have read and that must not be repeated.

use std::collections::VecDeque;

use umberloom::interface::RequestId;

use crate::messages::agent::AgentCommand;
use crate::wire::jsonl::{encode_base64, Command};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryKind {
    /// Starts a run that may be started again.
    Launch,
    /// Starts a run that must not be started again.
    LaunchOnce,
    /// Resumes a run.
    Resume,
    /// Pauses a run.
    Pause,
    /// Answers or skips a call.
    Reply,
    /// Asks for gauges or a health check. It is not replayed on a new link.
    Query,
    /// A sample that the log itself requests, and whose answer it awaits before anything else is written. At
    /// the start of a link the answer marks the end of the notices missed without one; at the end it
    /// acknowledges all that was written.
    Marker,
}

#[derive(Debug)]
struct Entry {
    /// Number of the command in this log. A query is sent with it as its tag, which the agent echoes.
    number: u64,
    kind: EntryKind,
    id: RequestId,
    /// The tag that admission gave the query; 0 for other commands.
    tag: u64,
    /// The encoded command.
    line: Vec<u8>,
    /// Offset of the line among all lines of the current link, in bytes; set once it is written.
    offset: usize,
}

/// Unacknowledged commands in their order; those already written on the current link come first.
#[derive(Debug, Default)]
pub struct CommandLog {
    entries: VecDeque<Entry>,
    /// Number of entries at the front that were written on the current link.
    written: usize,
    /// Size of all lines that were written on the current link, in bytes.
    written_bytes: usize,
    last_number: u64,
    /// The number of the marker whose answer is awaited.
    marker: Option<u64>,
}

impl CommandLog {
    /// Adds a command.
    pub fn push(&mut self, command: &AgentCommand) {
        let number = self.last_number + 1;
        let wire_tag = number.to_string();
        let no_request: RequestId = "".into();
        let (kind, id, tag, encoded) = match command {
            AgentCommand::Launch { id, class, body, repeatable } => {
                let kind = if *repeatable { EntryKind::Launch } else { EntryKind::LaunchOnce };
                (kind, id, 0, Command::Launch { id, class, body: encode_base64(body) })
            }
            AgentCommand::Pause(id) => (EntryKind::Pause, id, 0, Command::Freeze { id }),
            AgentCommand::Resume(id) => (EntryKind::Resume, id, 0, Command::Thaw { id }),
            AgentCommand::DeliverReply { id, body } => {
                (EntryKind::Reply, id, 0, Command::Deliver { id, body: encode_base64(body) })
            }
            AgentCommand::SkipCall { id, notice_seq } => {
                (EntryKind::Reply, id, 0, Command::Forgo { id, seq: *notice_seq })
            }
            AgentCommand::SampleGauges(tag) => {
                (EntryKind::Query, &no_request, *tag, Command::Sample { tag: &wire_tag })
            }
            AgentCommand::RunHealthCheck(tag) => {
                (EntryKind::Query, &no_request, *tag, Command::Exercise { tag: &wire_tag })
            }
        };
        let unwritten = || self.entries.iter().skip(self.written);
        if kind == EntryKind::Pause && unwritten().any(|e| e.kind == kind && e.id == *id) {
            // Admission repeats pauses; without a link they must not accumulate.
            return;
        }
        if matches!(command, AgentCommand::SampleGauges(_)) && unwritten().any(|e| e.kind == kind) {
            // Admission keeps requesting samples whether or not they are answered; they must not accumulate
            // either.
            return;
        }
        self.last_number = number;
        let entry = Entry { number, kind, id: id.clone(), tag, line: encoded.encode(), offset: 0 };
        self.entries.push_back(entry);
    }

    /// Takes the lines to write next: as many as fit in `max_bytes`, but at least one if any may be written
    /// now.
    pub fn take_lines(&mut self, max_bytes: usize) -> Vec<u8> {
        let mut out = Vec::new();
        while let Some(entry) = self.entries.get_mut(self.written) {
            let must_wait = self.marker.is_some_and(|marker| entry.number != marker);
            if must_wait || (!out.is_empty() && out.len() + entry.line.len() > max_bytes) {
                break;
            }
            out.extend_from_slice(&entry.line);
            entry.offset = self.written_bytes;
            self.written_bytes += entry.line.len();
            self.written += 1;
        }
        out
    }

    /// Handles the end of a link. The last `unsent_bytes` of the lines were never sent: the agent has read
    /// none of the commands that begin there or later.
    pub fn end_link(&mut self, unsent_bytes: usize) {
        let sent_bytes = self.written_bytes.saturating_sub(unsent_bytes);
        let written = self.entries.iter().take(self.written);
        self.written = written.filter(|entry| entry.offset < sent_bytes).count();
    }

    /// Prepares for a new link after its greeting: all commands written on the last link and not acknowledged
    /// are to be written again. Until the answer to a sample marks the end of the missed notices, nothing
    /// else is written, as a run that ended meanwhile must not be started again. It can still end between
    /// that answer and the repeated launch; so launches that must not be repeated are dropped if the agent may
    /// have read them. Returns the ids of their requests.
    pub fn restart_link(&mut self) -> Vec<RequestId> {
        let written = self.entries.iter().take(self.written);
        let uncertain = written.filter(|e| e.kind == EntryKind::LaunchOnce).map(|e| e.id.clone()).collect();
        let mut index = 0;
        self.entries.retain(|e| {
            index += 1;
            let is_uncertain = e.kind == EntryKind::LaunchOnce && index <= self.written;
            !is_uncertain && !matches!(e.kind, EntryKind::Query | EntryKind::Marker)
        });
        (self.written, self.written_bytes) = (0, 0);
        self.insert_marker();
        uncertain
    }

    /// Prepares for the end of a link: asks for the acknowledgement of all commands written on it, and holds
    /// back all others. Returns whether there is any to ask for: not if no command was written that would be
    /// replayed, nor while the answer to a marker is awaited already.
    pub fn request_acknowledgement(&mut self) -> bool {
        if self.awaits_marker() || self.unacknowledged() == 0 {
            return false;
        }
        self.insert_marker();
        true
    }

    /// Inserts a marker behind the commands written on the current link.
    fn insert_marker(&mut self) {
        self.last_number += 1;
        let wire_tag = self.last_number.to_string();
        let line = Command::Sample { tag: &wire_tag }.encode();
        let (number, kind) = (self.last_number, EntryKind::Marker);
        let entry = Entry { number, kind, id: "".into(), tag: 0, line, offset: 0 };
        self.entries.insert(self.written, entry);
        self.marker = Some(self.last_number);
    }

    /// Handles the answer to the sample with tag `wire_tag`, which acknowledges all commands written before
    /// the sample. Returns the tag that admission gave it; `None` if admission did not request it.
    pub fn sample_answered(&mut self, wire_tag: &str) -> Option<u64> {
        let number: u64 = wire_tag.parse().ok()?;
        let written = self.entries.iter().take(self.written);
        let index = written.enumerate().find(|(_, e)| e.number == number).map(|(index, _)| index)?;
        if self.marker == Some(number) {
            self.marker = None;
        }
        let tag = self.entries.get(index).filter(|e| e.kind == EntryKind::Query).map(|e| e.tag);
        self.entries.drain(..=index);
        self.written -= index + 1;
        tag
    }

    /// Whether the answer to a marker is awaited, so that no other command is written.
    pub fn awaits_marker(&self) -> bool {
        self.marker.is_some()
    }

    /// Number of commands that were written on the current link and would be replayed on the next.
    pub fn unacknowledged(&self) -> usize {
        let written = self.entries.iter().take(self.written);
        written.filter(|e| !matches!(e.kind, EntryKind::Query | EntryKind::Marker)).count()
    }

    /// Handles the answer to the health check with tag `wire_tag`. The agent answers these out of order, so
    /// the answer acknowledges no other command. Returns the tag that admission gave the health check.
    pub fn health_check_answered(&mut self, wire_tag: &str) -> Option<u64> {
        let number: u64 = wire_tag.parse().ok()?;
        let index = self.entries.iter().take(self.written).position(|e| e.number == number)?;
        self.remove(index).map(|e| e.tag)
    }

    /// Removes all commands for this request, whose run has ended.
    pub fn run_ended(&mut self, id: &str) {
        self.remove_matching(|e| &*e.id == id);
    }

    /// Removes replies to earlier calls of this request: its run waits for a new call, so it has read them.
    pub fn run_waits_for_call(&mut self, id: &str) {
        self.remove_matching(|e| e.kind == EntryKind::Reply && &*e.id == id);
    }

    /// Number of commands in the log.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn remove_matching(&mut self, predicate: impl Fn(&Entry) -> bool) {
        for index in (0..self.entries.len()).rev() {
            if predicate(&self.entries[index]) {
                self.remove(index);
            }
        }
    }

    fn remove(&mut self, index: usize) -> Option<Entry> {
        self.written -= usize::from(index < self.written);
        self.entries.remove(index)
    }
}

#[cfg(test)]
mod tests;

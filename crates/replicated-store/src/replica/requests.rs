//! Proposals of entries, and linearizable reads of the state by Raft's ReadIndex (Raft thesis, 6.4).

use std::collections::BTreeMap;

use super::{ReadOutcome, Replica, RequestError, MAX_PENDING_READS};
use crate::entry::{Entry, EntryId};
use crate::state::Outcome;
use crate::Micros;

/// A read that waits for its read index, or until the state has reached that index.
struct PendingRead {
    requested_at: Micros,
    last_attempt_at: Micros,
    attempts: u32,
    read_index: Option<u64>,
}

/// The linearizable reads of this process.
#[derive(Default)]
pub(super) struct Reads {
    /// Waiting reads by ticket.
    pending: BTreeMap<u64, PendingRead>,
    finished: Vec<(u64, ReadOutcome)>,
    last_ticket: u64,
    /// Drawn by this process, to distinguish its ReadIndex contexts from those of an earlier process.
    nonce: u64,
}

impl Reads {
    pub(super) fn new(nonce: u64) -> Reads {
        Reads { nonce, ..Reads::default() }
    }

    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Stores the read index that the leader has confirmed for the request with this context.
    pub(super) fn handle_read_index(&mut self, context: &[u8], index: u64) {
        let Ok((nonce, ticket, _attempt)) = postcard::from_bytes::<(u64, u64, u32)>(context) else { return };
        if nonce != self.nonce {
            return;
        }
        if let Some(read) = self.pending.get_mut(&ticket) {
            read.read_index = Some(index);
        }
    }
}

impl Replica {
    /// Proposes an entry. Once it has been applied here, [`Replica::outcome`] returns its outcome. `at_ms` is
    /// Unix time in milliseconds.
    pub fn propose(
        &mut self,
        now: Micros,
        id: EntryId,
        at_ms: u64,
        entry: &Entry,
    ) -> Result<(), RequestError> {
        if self.node.is_none() || self.rollback_check.is_some() {
            return Err(RequestError::Outside);
        }
        if self.comparison.frozen {
            return Err(RequestError::Frozen);
        }
        let bytes = entry.to_envelope(id, &self.config.me, at_ms).to_bytes();
        let proposed = self.with_raft(|node| node.propose(vec![], bytes));
        let result = match proposed {
            Some(Ok(())) => Ok(()),
            Some(Err(raft::Error::ProposalDropped)) if self.leader.name.is_some() => Err(RequestError::Busy),
            Some(Err(_)) => Err(RequestError::NoLeader),
            None => Err(RequestError::Outside),
        };
        self.process_ready(now);
        result
    }

    /// The outcome of an entry, if it was applied here recently.
    pub fn outcome(&self, id: EntryId) -> Option<Outcome> {
        let recent = self.outcomes.iter().rev().find(|(applied, _)| *applied == id);
        recent.map(|(_, outcome)| outcome).or_else(|| self.state.outcome(id)).cloned()
    }

    /// Requests a linearizable read and returns its ticket. Once [`Replica::take_finished_reads`] returns the
    /// ticket as ready, the state includes every write that was acknowledged before this call.
    pub fn request_read(&mut self, now: Micros) -> Result<u64, RequestError> {
        if self.node.is_none() || self.rollback_check.is_some() {
            return Err(RequestError::Outside);
        }
        if self.reads.len() >= MAX_PENDING_READS {
            return Err(RequestError::Busy);
        }
        self.reads.last_ticket += 1;
        let ticket = self.reads.last_ticket;
        let read = PendingRead { requested_at: now, last_attempt_at: now, attempts: 0, read_index: None };
        self.reads.pending.insert(ticket, read);
        self.request_read_index(ticket, 0);
        self.process_ready(now);
        Ok(ticket)
    }

    /// Requests the read index from the leader. The context is unique to the process, read and attempt: the
    /// Raft library identifies requests by their context, and an answer to a request of an earlier process
    /// has an old index.
    fn request_read_index(&mut self, ticket: u64, attempt: u32) {
        let context = postcard::to_allocvec(&(self.reads.nonce, ticket, attempt)).unwrap_or_default();
        self.with_raft(|node| node.read_index(context));
    }

    /// The reads that have finished since the last call, by ticket.
    pub fn take_finished_reads(&mut self) -> Vec<(u64, ReadOutcome)> {
        std::mem::take(&mut self.reads.finished)
    }

    /// Finishes the reads that are ready or have timed out, and retries those that still have no read index.
    pub(super) fn finish_reads(&mut self, now: Micros) {
        let retry_interval = self.config.election_timeout / 2;
        let timeout = 4 * self.config.election_timeout;
        let applied = self.state.applied;
        let finished = &mut self.reads.finished;
        let mut retries = Vec::new();
        self.reads.pending.retain(|ticket, read| {
            if read.read_index.is_some_and(|index| index <= applied) {
                finished.push((*ticket, ReadOutcome::Ready));
                return false;
            }
            if now >= read.requested_at + timeout {
                finished.push((*ticket, ReadOutcome::Failed(RequestError::TimedOut)));
                return false;
            }
            if read.read_index.is_none() && now >= read.last_attempt_at + retry_interval {
                read.last_attempt_at = now;
                read.attempts += 1;
                retries.push((*ticket, read.attempts));
            }
            true
        });
        for (ticket, attempt) in retries {
            self.request_read_index(ticket, attempt);
        }
    }
}

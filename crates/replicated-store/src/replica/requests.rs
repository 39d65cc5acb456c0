//! Writes, and reads of the latest state.

use super::{PendingRead, ReadOutcome, Replica, RequestError, MAX_PENDING_READS};
use crate::entry::{Entry, EntryId};
use crate::state::Outcome;
use crate::Micros;

impl Replica {
    /// Writes an entry: it is on its way, and [`Record::outcome`] tells what becomes of it.
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
        if self.frozen {
            return Err(RequestError::Frozen);
        }
        let bytes = entry.to_envelope(id, &self.config.me, at_ms).to_bytes();
        let given = self.with_raft(|node| node.propose(vec![], bytes));
        let result = match given {
            Some(Ok(())) => Ok(()),
            Some(Err(raft::Error::ProposalDropped)) if self.leader.0.is_some() => Err(RequestError::Busy),
            Some(Err(_)) => Err(RequestError::NoLeader),
            None => Err(RequestError::Outside),
        };
        self.process_ready(now);
        result
    }

    /// What became of an entry, if it has been applied here.
    pub fn outcome(&self, id: EntryId) -> Option<Outcome> {
        let late = self.outcomes.iter().rev().find(|(done, _)| *done == id).map(|(_, outcome)| outcome);
        late.or_else(|| self.state.outcome(id)).cloned()
    }

    /// Asks for the latest state: once [`Record::take_reads`] says that the read of this number is ready, the state holds
    /// all that was done before now.
    pub fn request_read(&mut self, now: Micros) -> Result<u64, RequestError> {
        if self.node.is_none() || self.rollback_check.is_some() {
            return Err(RequestError::Outside);
        }
        if self.pending_reads.len() >= MAX_PENDING_READS {
            return Err(RequestError::Busy);
        }
        self.last_read_ticket += 1;
        let ticket = self.last_read_ticket;
        self.pending_reads.insert(
            ticket,
            PendingRead { requested_at: now, last_attempt_at: now, attempts: 0, read_index: None },
        );
        self.request_read_index(ticket, 0);
        self.process_ready(now);
        Ok(ticket)
    }

    /// Asks the leader for its index. The name of the question is this process's, this read's and this try's alone: the
    /// library keeps questions by name, and the answer to one of an earlier process is an old index.
    pub(super) fn request_read_index(&mut self, ticket: u64, tries: u32) {
        let name = postcard::to_allocvec(&(self.read_nonce, ticket, tries)).unwrap_or_default();
        self.with_raft(|node| node.read_index(name));
    }

    /// Reads that are ready or over.
    pub fn take_finished_reads(&mut self) -> Vec<(u64, ReadOutcome)> {
        std::mem::take(&mut self.finished_reads)
    }

    pub(super) fn finish_reads(&mut self, now: Micros) {
        let (again, most) = (self.config.election_timeout / 2, 4 * self.config.election_timeout);
        let mut ask = Vec::new();
        let (index, finished) = (self.state.applied, &mut self.finished_reads);
        self.pending_reads.retain(|ticket, waiting| {
            if waiting.read_index.is_some_and(|wanted| wanted <= index) {
                finished.push((*ticket, ReadOutcome::Ready));
                return false;
            }
            if now >= waiting.requested_at + most {
                finished.push((*ticket, ReadOutcome::Failed(RequestError::TimedOut)));
                return false;
            }
            if waiting.read_index.is_none() && now >= waiting.last_attempt_at + again {
                (waiting.last_attempt_at, waiting.attempts) = (now, waiting.attempts + 1);
                ask.push((*ticket, waiting.attempts));
            }
            true
        });
        for (ticket, tries) in ask {
            self.request_read_index(ticket, tries);
        }
    }
}

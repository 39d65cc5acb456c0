//! Writes, and reads of the latest state.

use super::{ReadOutcome, Replica, RequestError, Waiting, READS};
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
        if self.node.is_none() || self.returning.is_some() {
            return Err(RequestError::Outside);
        }
        if self.frozen {
            return Err(RequestError::Frozen);
        }
        let bytes = entry.seal(id, &self.config.me, at_ms).bytes();
        let given = self.with(|node| node.propose(vec![], bytes));
        let result = match given {
            Some(Ok(())) => Ok(()),
            Some(Err(raft::Error::ProposalDropped)) if self.leader.0.is_some() => Err(RequestError::Busy),
            Some(Err(_)) => Err(RequestError::NoLeader),
            None => Err(RequestError::Outside),
        };
        self.settle(now);
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
        if self.node.is_none() || self.returning.is_some() {
            return Err(RequestError::Outside);
        }
        if self.reads.len() >= READS {
            return Err(RequestError::Busy);
        }
        self.next_read += 1;
        let ticket = self.next_read;
        self.reads.insert(ticket, Waiting { since: now, asked: now, tries: 0, index: None });
        self.ask_index(ticket, 0);
        self.settle(now);
        Ok(ticket)
    }

    /// Asks the leader for its index. The name of the question is this process's, this read's and this try's alone: the
    /// library keeps questions by name, and the answer to one of an earlier process is an old index.
    pub(super) fn ask_index(&mut self, ticket: u64, tries: u32) {
        let name = postcard::to_allocvec(&(self.nonce, ticket, tries)).unwrap_or_default();
        self.with(|node| node.read_index(name));
    }

    /// Reads that are ready or over.
    pub fn take_finished_reads(&mut self) -> Vec<(u64, ReadOutcome)> {
        std::mem::take(&mut self.finished)
    }

    pub(super) fn answer(&mut self, now: Micros) {
        let (again, most) = (self.config.election / 2, 4 * self.config.election);
        let mut ask = Vec::new();
        let (index, finished) = (self.state.index, &mut self.finished);
        self.reads.retain(|ticket, waiting| {
            if waiting.index.is_some_and(|wanted| wanted <= index) {
                finished.push((*ticket, ReadOutcome::Ready));
                return false;
            }
            if now >= waiting.since + most {
                finished.push((*ticket, ReadOutcome::Refused(RequestError::TimedOut)));
                return false;
            }
            if waiting.index.is_none() && now >= waiting.asked + again {
                (waiting.asked, waiting.tries) = (now, waiting.tries + 1);
                ask.push((*ticket, waiting.tries));
            }
            true
        });
        for (ticket, tries) in ask {
            self.ask_index(ticket, tries);
        }
    }
}

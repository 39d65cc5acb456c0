//! The requests in flight: arrived and not answered yet, or answered while their run still goes on.

use std::collections::{BTreeMap, BTreeSet};

use umberloom::interface::{Micros, RequestId};

use super::budget::Charge;
use super::idempotency_cache::DedupKey;
use crate::messages::caller::{ReplyTo, WorkRequest};

/// The state of a request's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Not launched, or ended.
    NotRunning,
    /// Launched and not ended.
    Running,
    /// Launched, and paused by preemption.
    Paused,
}

/// The downstream call that a run waits for.
#[derive(Debug)]
pub struct PendingCall {
    /// Number of the notice that asked for it.
    pub notice_seq: u64,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether it is being made.
    pub in_flight: bool,
}

/// A request in flight.
#[derive(Debug)]
pub struct OpenRequest {
    /// Its name.
    pub id: RequestId,
    /// Place of its class in the settings.
    pub class: usize,
    /// Its parameters.
    pub work: WorkRequest,
    /// Its body.
    pub body: Vec<u8>,
    /// When its caller stops waiting.
    pub deadline: Micros,
    /// Where its response goes, until it is sent.
    pub reply_to: Option<ReplyTo>,
    /// The state of its run.
    pub run: RunState,
    /// Whether it has been launched at some time, and so may have taken effect.
    pub has_run: bool,
    /// Whether its run has been told to stop and has not ended yet.
    pub preempting: bool,
    /// The call that its run waits for.
    pub call: Option<PendingCall>,
    /// Whether a call plan was started for it before.
    pub had_call_plan: bool,
    /// When its run got the reply to its last call.
    pub last_reply_at: Option<Micros>,
    /// The request that it is a duplicate of.
    pub duplicate_of: Option<RequestId>,
    /// Whether it waits for the result of that request.
    pub awaits_original: bool,
    /// The memory that it takes, released with it.
    pub _charge: Charge,
}

impl OpenRequest {
    /// What it is about, where it has a key.
    pub fn dedup_key(&self) -> Option<DedupKey> {
        let key = self.work.dedup_key.clone()?;
        Some(DedupKey { class: self.class, key })
    }
}

/// All requests in flight, indexed so that no lookup passes over all of them.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, Box<OpenRequest>>,
    by_deadline: BTreeSet<(Micros, RequestId)>,
    /// Duplicates that wait for a result, by the request whose result it is.
    awaiting: BTreeMap<RequestId, Vec<RequestId>>,
}

impl RequestTable {
    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Gives the request back where one of the same name is in flight.
    pub fn insert(&mut self, request: Box<OpenRequest>) -> Result<(), Box<OpenRequest>> {
        if self.contains(&request.id) {
            return Err(request);
        }
        self.by_deadline.insert((request.deadline, request.id.clone()));
        self.requests.insert(request.id.clone(), request);
        Ok(())
    }

    /// A request by its name.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut OpenRequest> {
        self.requests.get_mut(id).map(Box::as_mut)
    }

    /// Whether a request of this name is in flight.
    pub fn contains(&self, id: &str) -> bool {
        self.requests.contains_key(id)
    }

    /// Notes that a duplicate waits for the result of the request that it duplicates.
    pub fn await_original(&mut self, id: &str) {
        let Some(duplicate) = self.get_mut(id).filter(|request| !request.awaits_original) else { return };
        let Some(original) = duplicate.duplicate_of.clone() else { return };
        duplicate.awaits_original = true;
        let id = duplicate.id.clone();
        self.awaiting.entry(original).or_default().push(id);
    }

    /// Duplicates that wait for the result of this request.
    pub fn awaiting(&self, original: &str) -> Vec<RequestId> {
        self.awaiting.get(original).cloned().unwrap_or_default()
    }

    /// Requests whose deadline is at `time` or before and that are not answered.
    pub fn overdue(&self, time: Micros) -> Vec<RequestId> {
        let is_unanswered =
            |id: &&RequestId| self.requests.get(*id).is_some_and(|request| request.reply_to.is_some());
        self.by_deadline
            .iter()
            .take_while(|(deadline, _)| *deadline <= time)
            .map(|(_, id)| id)
            .filter(is_unanswered)
            .cloned()
            .collect()
    }

    /// Forgets a request.
    pub fn remove(&mut self, id: &str) {
        let Some(request) = self.requests.remove(id) else { return };
        self.by_deadline.remove(&(request.deadline, request.id));
        if !request.awaits_original {
            return;
        }
        let Some(original) = request.duplicate_of else { return };
        let Some(duplicates) = self.awaiting.get_mut(&original) else { return };
        duplicates.retain(|duplicate| &**duplicate != id);
        if duplicates.is_empty() {
            self.awaiting.remove(&original);
        }
    }

    /// Whether nothing is left in the table and all its indexes.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.by_deadline.is_empty() && self.awaiting.is_empty()
    }

    /// How many requests are in flight.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}

//! Table of the requests in flight: those not answered yet, and those answered whose run has not ended.

use std::collections::{BTreeMap, BTreeSet};

use umberloom::interface::{Micros, RequestId};

use super::budget::Charge;
use super::idempotency_cache::DedupKey;
use crate::messages::caller::{ReplyTo, WorkRequest};

/// The state of a request's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// No run was launched, or it has ended.
    NotRunning,
    /// The run was launched and has not ended.
    Running,
    /// The run is paused by preemption.
    Paused,
}

/// The downstream call that a run waits for.
#[derive(Debug)]
pub struct PendingCall {
    /// Sequence number of the agent's notice that asked for the call.
    pub notice_seq: u64,
    /// Body of the call.
    pub body: Vec<u8>,
    /// Whether the call has been sent and has not ended.
    pub in_flight: bool,
}

/// A request in flight.
#[derive(Debug)]
pub struct OpenRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Parameters of the request.
    pub work: WorkRequest,
    /// Body of the request.
    pub body: Vec<u8>,
    /// When the caller stops waiting.
    pub deadline: Micros,
    /// Connection and slot that the response is sent to; `None` once it has been sent.
    pub reply_to: Option<ReplyTo>,
    /// State of the request's run.
    pub run: RunState,
    /// Whether a run was ever launched, so that the request may have taken effect.
    pub has_run: bool,
    /// Whether the agent may never have read the launch of the run, so that it may report nothing about it.
    pub launch_uncertain: bool,
    /// Whether the run has been told to stop and has not ended yet.
    pub preempting: bool,
    /// The downstream call that the run waits for.
    pub call: Option<PendingCall>,
    /// Whether a call plan has been started for the request.
    pub had_call_plan: bool,
    /// When the run got the reply to its last downstream call.
    pub last_reply_at: Option<Micros>,
    /// The original request that this one is a duplicate of.
    pub duplicate_of: Option<RequestId>,
    /// Whether the request waits for the result of its original.
    pub awaits_original: bool,
    /// Memory charged for the request, released on drop.
    pub _charge: Charge,
}

impl OpenRequest {
    /// The key by which duplicates of this request are recognized, if it has one.
    pub fn dedup_key(&self) -> Option<DedupKey> {
        let key = self.work.dedup_key.clone()?;
        Some(DedupKey { class: self.class, key })
    }
}

/// All requests in flight, indexed so that no lookup scans all of them.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, Box<OpenRequest>>,
    by_deadline: BTreeSet<(Micros, RequestId)>,
    /// Ids of the duplicates that wait for a result, by the id of their original.
    awaiting: BTreeMap<RequestId, Vec<RequestId>>,
}

impl RequestTable {
    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request if one with the same id is in flight.
    pub fn insert(&mut self, request: Box<OpenRequest>) -> Result<(), Box<OpenRequest>> {
        if self.contains(&request.id) {
            return Err(request);
        }
        self.by_deadline.insert((request.deadline, request.id.clone()));
        self.requests.insert(request.id.clone(), request);
        Ok(())
    }

    /// Looks up a request by its id.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut OpenRequest> {
        self.requests.get_mut(id).map(Box::as_mut)
    }

    /// Whether a request with this id is in flight.
    pub fn contains(&self, id: &str) -> bool {
        self.requests.contains_key(id)
    }

    /// Records that a duplicate waits for the result of its original.
    pub fn await_original(&mut self, id: &str) {
        let Some(duplicate) = self.get_mut(id).filter(|request| !request.awaits_original) else { return };
        let Some(original) = duplicate.duplicate_of.clone() else { return };
        duplicate.awaits_original = true;
        let id = duplicate.id.clone();
        self.awaiting.entry(original).or_default().push(id);
    }

    /// Ids of the duplicates that wait for the result of this request.
    pub fn awaiting(&self, original: &str) -> Vec<RequestId> {
        self.awaiting.get(original).cloned().unwrap_or_default()
    }

    /// Ids of the unanswered requests whose deadline is at `time` or earlier.
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

    /// Removes a request.
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

    /// Whether the table and all its indexes are empty.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.by_deadline.is_empty() && self.awaiting.is_empty()
    }

    /// Number of requests in flight.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}

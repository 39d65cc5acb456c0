//! The requests that are open here: given to this server and not answered, or answered while their run
//! still goes on.

use std::collections::{BTreeMap, BTreeSet};

use umberloom::interface::{Micros, RequestId};

use super::budget::Charge;
use super::idempotency_cache::Subject;
use crate::messages::caller::{ReplyTo, WorkRequest};

/// How far a request's run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// Not launched.
    None,
    /// Launched.
    Going,
    /// Launched, and paused at our word.
    Paused,
}

/// The call that a run waits for.
#[derive(Debug)]
pub struct Call {
    /// Number of the notice that asked for it.
    pub seq: u64,
    /// Its body.
    pub body: Vec<u8>,
    /// It is being made.
    pub under_way: bool,
}

/// An open request.
#[derive(Debug)]
pub struct OpenRequest {
    /// Its name.
    pub id: RequestId,
    /// Place of its class in the settings.
    pub class: usize,
    /// What it asked for.
    pub work: WorkRequest,
    /// Its body.
    pub body: Vec<u8>,
    /// When its caller stops waiting.
    pub due: Micros,
    /// Where its answer goes, until it is given.
    pub reply_to: Option<ReplyTo>,
    /// Its run.
    pub run: Run,
    /// It has been launched at some time, so that it may have had its effect.
    pub ran: bool,
    /// A stop was asked for and has not been confirmed.
    pub halting: bool,
    /// The call that its run waits for.
    pub call: Option<Call>,
    /// A plan was begun for it before.
    pub planned: bool,
    /// When its run got the last reply.
    pub delivered: Option<Micros>,
    /// The kept request that it repeats.
    pub repeats: Option<RequestId>,
    /// It waits for the result of that request.
    pub joined: bool,
    /// The memory that it takes, given back with it.
    pub _charge: Charge,
}

impl OpenRequest {
    /// What it is about, if it is about anything.
    pub fn subject(&self) -> Option<Subject> {
        self.work.subject_key.clone().map(|key| (self.class, key))
    }
}

/// All open requests. What each step asks for is found without a pass over all of them.
#[derive(Debug, Default)]
pub struct RequestTable {
    all: BTreeMap<RequestId, Box<OpenRequest>>,
    /// The same by the time at which their callers stop waiting.
    by_due: BTreeSet<(Micros, RequestId)>,
    /// Those that wait for another's result, by the other.
    joined: BTreeMap<RequestId, Vec<RequestId>>,
}

impl RequestTable {
    /// Adds a request; a name that is open already comes back.
    pub fn insert(&mut self, open: Box<OpenRequest>) -> Result<(), Box<OpenRequest>> {
        if self.all.contains_key(&open.id) {
            return Err(open);
        }
        self.by_due.insert((open.due, open.id.clone()));
        self.all.insert(open.id.clone(), open);
        Ok(())
    }

    /// A request by its name.
    pub fn get(&mut self, id: &str) -> Option<&mut OpenRequest> {
        self.all.get_mut(id).map(Box::as_mut)
    }

    /// Whether a request of this name is open.
    pub fn has(&self, id: &str) -> bool {
        self.all.contains_key(id)
    }

    /// Forgets a request.
    pub fn remove(&mut self, id: &str) {
        let Some(open) = self.all.remove(id) else { return };
        self.by_due.remove(&(open.due, open.id));
        let Some(other) = open.repeats.filter(|_| open.joined) else { return };
        if let Some(waiting) = self.joined.get_mut(&other) {
            waiting.retain(|waits| &**waits != id);
            if waiting.is_empty() {
                self.joined.remove(&other);
            }
        }
    }

    /// Notes that a request waits for the result of the one that it repeats.
    pub fn join(&mut self, id: &str) {
        let Some(open) = self.all.get_mut(id).filter(|open| !open.joined) else { return };
        if let Some(other) = open.repeats.clone() {
            open.joined = true;
            self.joined.entry(other).or_default().push(open.id.clone());
        }
    }

    /// Whether nothing is left, in any order of looking things up.
    #[cfg(test)]
    pub fn is_clear(&self) -> bool {
        self.all.is_empty() && self.by_due.is_empty() && self.joined.is_empty()
    }

    /// How many there are.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Requests that were to be answered before `time` and are not.
    pub fn overdue(&self, time: Micros) -> Vec<RequestId> {
        let past = self.by_due.iter().take_while(|(due, _)| *due <= time).map(|(_, id)| id);
        past.filter(|id| self.all.get(*id).is_some_and(|o| o.reply_to.is_some())).cloned().collect()
    }

    /// Requests that wait for the result of this one.
    pub fn joined_to(&self, id: &str) -> Vec<RequestId> {
        self.joined.get(id).cloned().unwrap_or_default()
    }
}

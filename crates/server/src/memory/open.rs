//! The requests that are open here: given to this server and not answered, or answered while their run
//! still goes on.

use std::collections::BTreeMap;

use umberloom::interface::{Micros, RequestId};

use super::budget::Charge;
use super::keys::Subject;
use crate::peers::balancer::ReplyTo;
use crate::wire::cgi::Work;

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
pub struct Open {
    /// Its name.
    pub id: RequestId,
    /// Place of its class in the settings.
    pub class: usize,
    /// What it asked for.
    pub work: Work,
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
    /// The kept request that it repeats.
    pub repeats: Option<RequestId>,
    /// It waits for the result of that request.
    pub joined: bool,
    /// The memory that it takes, given back with it.
    pub _charge: Charge,
}

impl Open {
    /// What it is about, if it is about anything.
    pub fn subject(&self) -> Option<Subject> {
        self.work.key.clone().map(|key| (self.class, key))
    }
}

/// All open requests.
#[derive(Debug, Default)]
pub struct Table {
    all: BTreeMap<RequestId, Box<Open>>,
}

impl Table {
    /// Adds a request; a name that is open already comes back.
    pub fn insert(&mut self, open: Box<Open>) -> Result<(), Box<Open>> {
        if self.all.contains_key(&open.id) {
            return Err(open);
        }
        self.all.insert(open.id.clone(), open);
        Ok(())
    }

    /// A request by its name.
    pub fn get(&mut self, id: &str) -> Option<&mut Open> {
        self.all.get_mut(id).map(Box::as_mut)
    }

    /// Forgets a request.
    pub fn remove(&mut self, id: &str) {
        self.all.remove(id);
    }

    /// How many there are.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Requests that were to be answered before `time` and are not.
    pub fn overdue(&self, time: Micros) -> Vec<RequestId> {
        let late = self.all.values().filter(|o| o.reply_to.is_some() && o.due <= time);
        late.map(|o| o.id.clone()).collect()
    }

    /// Requests that wait for the result of this one.
    pub fn joined_to(&self, id: &str) -> Vec<RequestId> {
        let joined = self.all.values().filter(|o| o.joined && o.repeats.as_deref() == Some(id));
        joined.map(|o| o.id.clone()).collect()
    }
}

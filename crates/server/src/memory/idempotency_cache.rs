//! Kept keys and results: what lets a repeat be answered without running again.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use umberloom::interface::{Micros, RequestId};

/// Most entries, and most bytes of results, that are kept. A live entry of a keyed class never goes, as that would let its
/// repeat run again: where these alone fill the table, there is no room for another.
pub const ENTRIES: usize = 4096;
const BYTES: usize = 8 << 20;

/// What a request is about: the place of its class, and its key.
pub type Subject = (usize, String);

/// What tells one request's body from another's: its length and a digest that peers can't steer, as its key is drawn
/// anew for each table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body(usize, u64);

#[derive(Debug)]
struct Entry {
    id: RequestId,
    until: Micros,
    body: Body,
    /// It keeps its repeats from running, so it stays while it lives.
    binding: bool,
    result: Option<Vec<u8>>,
}

/// The table of kept requests, by what they are about.
#[derive(Debug, Default)]
pub struct IdempotencyCache {
    all: BTreeMap<Subject, Entry>,
    /// Subjects in the order in which they were kept.
    order: VecDeque<Subject>,
    bytes: usize,
    digests: RandomState,
}

impl IdempotencyCache {
    /// What tells this body from others.
    pub fn digest(&self, body: &[u8]) -> Body {
        Body(body.len(), self.digests.hash_one(body))
    }

    /// Keeps a request until the stated time; a newer one takes over the entry of an older one. `false`: there is no room
    /// (see [`Keys::make_room`]).
    pub fn keep(
        &mut self,
        subject: Subject,
        (id, body): (RequestId, Body),
        until: Micros,
        binding: bool,
    ) -> bool {
        if let Some(entry) = self.all.get_mut(&subject).filter(|e| e.id == id) {
            entry.until = until;
            return true;
        }
        self.remove(&subject);
        if self.all.len() >= ENTRIES {
            return false;
        }
        self.order.push_back(subject.clone());
        self.all.insert(subject, Entry { id, until, body, binding, result: None });
        true
    }

    /// Makes room for one more entry, if it can: what has run out by then goes first, unless its request is still `open`,
    /// then the oldest of those that bind nobody.
    pub fn make_room(&mut self, now: Micros, open: impl Fn(&str) -> bool) -> bool {
        if self.all.len() >= ENTRIES {
            self.expire(now, open);
        }
        if self.all.len() >= ENTRIES {
            let free = |subject: &&Subject| self.all.get(*subject).is_some_and(|e| !e.binding);
            if let Some(oldest) = self.order.iter().find(free).cloned() {
                self.remove(&oldest);
            }
        }
        self.all.len() < ENTRIES
    }

    /// Forgets the entry of this request.
    pub fn forget(&mut self, subject: &Subject, id: &str) {
        if self.all.get(subject).is_some_and(|e| &*e.id == id) {
            self.remove(subject);
        }
    }

    /// The request that has the entry of this subject with its body, and until when.
    pub fn holder(&self, subject: &Subject) -> Option<(RequestId, Body, Micros)> {
        self.all.get(subject).map(|e| (e.id.clone(), e.body, e.until))
    }

    /// The result of a kept request, once it is there.
    pub fn result(&self, id: &str) -> Option<&[u8]> {
        self.all.values().find(|e| &*e.id == id).and_then(|e| e.result.as_deref())
    }

    /// Adds the result of a kept request.
    pub fn add_result(&mut self, subject: &Subject, id: &str, result: &[u8]) {
        if let Some(entry) = self.all.get_mut(subject).filter(|e| &*e.id == id) {
            self.bytes -= entry.result.as_ref().map_or(0, Vec::len);
            self.bytes += result.len();
            entry.result = Some(result.to_vec());
        }
        // Too many bytes drop the oldest results, never their entries: a repeat that finds an entry without a
        // result fails without running, one that finds none would run again.
        for subject in &self.order {
            if self.bytes <= BYTES {
                break;
            }
            if let Some(dropped) = self.all.get_mut(subject).and_then(|e| e.result.take()) {
                self.bytes -= dropped.len();
            }
        }
    }

    /// Drops what has run out by then, unless its request is still `open`.
    pub fn expire(&mut self, now: Micros, open: impl Fn(&str) -> bool) {
        let over = |e: &Entry| e.until <= now && !open(&e.id);
        let gone: Vec<_> = self.all.iter().filter(|(_, e)| over(e)).map(|(s, _)| s.clone()).collect();
        gone.iter().for_each(|subject| self.remove(subject));
    }

    fn remove(&mut self, subject: &Subject) {
        if let Some(entry) = self.all.remove(subject) {
            self.bytes -= entry.result.map_or(0, |r| r.len());
            self.order.retain(|s| s != subject);
        }
    }
}

#[cfg(test)]
mod tests;

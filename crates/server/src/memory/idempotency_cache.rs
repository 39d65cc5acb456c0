//! Idempotency keys and resource keys with their results: a duplicate is answered from here and does not run again.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use umberloom::interface::{Micros, RequestId};

/// Bound on the entries. An entry that is not evictable stays until it expires, as a duplicate would run again without
/// it: where these alone fill the cache, there is no room for another.
pub const MAX_ENTRIES: usize = 4096;
/// Bound on the bytes of all results together.
const MAX_RESULT_BYTES: usize = 8 << 20;

/// What a request is about. Requests with the same subject are duplicates of each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DedupKey {
    /// Place of the request's class in the settings.
    pub class: usize,
    /// The idempotency key or resource key.
    pub key: String,
}

/// Tells one request's body from another's by its length and a hash. The hash has a key that is drawn anew for each
/// cache, so that callers can't construct collisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDigest {
    length: usize,
    hash: u64,
}

/// The request that a subject's entry belongs to.
#[derive(Clone, Debug)]
pub struct CachedRequest {
    /// The request.
    pub id: RequestId,
    /// The digest of its body.
    pub body: BodyDigest,
    /// When the entry expires.
    pub expires_at: Micros,
    /// Whether the entry may be dropped before it expires.
    pub evictable: bool,
}

#[derive(Debug)]
struct Entry {
    request: CachedRequest,
    result: Option<Vec<u8>>,
}

/// The cache, by the subjects of its requests.
#[derive(Debug, Default)]
pub struct IdempotencyCache {
    entries: BTreeMap<DedupKey, Entry>,
    /// Subjects of the entries, oldest first.
    insertion_order: VecDeque<DedupKey>,
    result_bytes: usize,
    hasher: RandomState,
}

impl IdempotencyCache {
    /// The digest of a request's body.
    pub fn digest(&self, body: &[u8]) -> BodyDigest {
        BodyDigest { length: body.len(), hash: self.hasher.hash_one(body) }
    }

    /// The request that has the entry of this subject, expired or not.
    pub fn get(&self, dedup_key: &DedupKey) -> Option<&CachedRequest> {
        self.entries.get(dedup_key).map(|entry| &entry.request)
    }

    /// Makes room for one more entry; `false` where there is none. Expired entries go first, unless `is_in_flight` says
    /// that their request still is; then the oldest evictable one.
    pub fn make_room(&mut self, now: Micros, is_in_flight: impl Fn(&str) -> bool) -> bool {
        if self.is_full() {
            self.expire(now, is_in_flight);
        }
        if self.is_full() {
            self.evict_oldest();
        }
        !self.is_full()
    }

    /// Adds the entry of a subject, or extends it where the request has it already. A newer request takes the place of an
    /// older one. `false` where there is no room (see [`IdempotencyCache::make_room`]).
    pub fn insert(&mut self, dedup_key: DedupKey, request: CachedRequest) -> bool {
        if let Some(entry) = self.entry_of(&dedup_key, &request.id) {
            entry.request.expires_at = request.expires_at;
            return true;
        }
        self.remove(&dedup_key);
        if self.is_full() {
            return false;
        }
        self.insertion_order.push_back(dedup_key.clone());
        self.entries.insert(dedup_key, Entry { request, result: None });
        true
    }

    /// Drops the subject's entry, if it belongs to this request.
    pub fn release(&mut self, dedup_key: &DedupKey, id: &str) {
        if self.entry_of(dedup_key, id).is_some() {
            self.remove(dedup_key);
        }
    }

    /// Adds the result of a request, if it has the subject's entry.
    ///
    /// Too many bytes drop the oldest results but never their entries: a duplicate that finds an entry without a result
    /// fails without running, while one that finds no entry would run again.
    pub fn store_result(&mut self, dedup_key: &DedupKey, id: &str, result: &[u8]) {
        if let Some(entry) = self.entry_of(dedup_key, id) {
            let previous = entry.result.replace(result.to_vec());
            self.result_bytes -= previous.map_or(0, |old| old.len());
            self.result_bytes += result.len();
        }
        for dedup_key in &self.insertion_order {
            if self.result_bytes <= MAX_RESULT_BYTES {
                break;
            }
            if let Some(dropped) = self.entries.get_mut(dedup_key).and_then(|entry| entry.result.take()) {
                self.result_bytes -= dropped.len();
            }
        }
    }

    /// The result of a request, where it is there.
    pub fn result(&self, id: &str) -> Option<&[u8]> {
        let entry = self.entries.values().find(|entry| &*entry.request.id == id)?;
        entry.result.as_deref()
    }

    /// Drops the entries that have expired, unless `is_in_flight` says that their request still is.
    pub fn expire(&mut self, now: Micros, is_in_flight: impl Fn(&str) -> bool) {
        let is_expired = |request: &CachedRequest| request.expires_at <= now && !is_in_flight(&request.id);
        let expired: Vec<DedupKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(&entry.request))
            .map(|(dedup_key, _)| dedup_key.clone())
            .collect();
        for dedup_key in &expired {
            self.remove(dedup_key);
        }
    }

    fn is_full(&self) -> bool {
        self.entries.len() >= MAX_ENTRIES
    }

    fn entry_of(&mut self, dedup_key: &DedupKey, id: &str) -> Option<&mut Entry> {
        self.entries.get_mut(dedup_key).filter(|entry| &*entry.request.id == id)
    }

    fn evict_oldest(&mut self) {
        let is_evictable =
            |dedup_key: &&DedupKey| self.get(dedup_key).is_some_and(|request| request.evictable);
        if let Some(oldest) = self.insertion_order.iter().find(is_evictable).cloned() {
            self.remove(&oldest);
        }
    }

    fn remove(&mut self, dedup_key: &DedupKey) {
        let Some(entry) = self.entries.remove(dedup_key) else { return };
        self.result_bytes -= entry.result.map_or(0, |result| result.len());
        self.insertion_order.retain(|other| other != dedup_key);
    }
}

#[cfg(test)]
mod tests;

//! Cache of idempotency keys and resource keys with the results of their requests. A duplicate is answered
//! from this cache instead of running again.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use umberloom::interface::{Micros, RequestId};

/// Maximum number of entries. A non-evictable entry stays until it expires, as a duplicate would run again
/// without it; if such entries alone fill the cache, no further entry can be added.
pub const MAX_ENTRIES: usize = 4096;
/// Maximum size of all results together, in bytes.
const MAX_RESULT_BYTES: usize = 8 << 20;

/// The key by which duplicates are recognized: requests with the same one are duplicates of each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DedupKey {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// The idempotency key, in a class that has them, otherwise the resource key.
    pub key: String,
}

impl DedupKey {
    /// The key of a request with an idempotency key. Keys are separate for each tenant, as a tenant must not
    /// get another's result; `tenant` is `None` if no tenants are configured.
    pub fn of_idempotency_key(class: usize, tenant: Option<usize>, key: &str) -> DedupKey {
        let key = tenant.map_or_else(|| key.to_owned(), |tenant| format!("{tenant}/{key}"));
        DedupKey { class, key }
    }
}

/// Digest of a request body: its length and a hash. The hash is seeded with a random key for each cache, so
/// that callers can't construct collisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDigest {
    length: usize,
    hash: u64,
}

/// The request that an entry belongs to.
#[derive(Clone, Debug)]
pub struct CachedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Digest of the request's body.
    pub body_digest: BodyDigest,
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

/// The cache, indexed by the deduplication keys of its requests.
#[derive(Debug, Default)]
pub struct IdempotencyCache {
    entries: BTreeMap<DedupKey, Entry>,
    /// Keys of the entries, oldest first.
    insertion_order: VecDeque<DedupKey>,
    result_bytes: usize,
    hasher: RandomState,
}

impl IdempotencyCache {
    /// Computes the digest of a request's body.
    pub fn digest(&self, body: &[u8]) -> BodyDigest {
        BodyDigest { length: body.len(), hash: self.hasher.hash_one(body) }
    }

    /// The request whose entry has this key, whether the entry has expired or not.
    pub fn get(&self, dedup_key: &DedupKey) -> Option<&CachedRequest> {
        self.entries.get(dedup_key).map(|entry| &entry.request)
    }

    /// Makes room for one more entry; `false` if that is not possible. A full cache drops expired entries
    /// first, except those whose request `is_in_flight`, and then, if it is still full, the oldest evictable
    /// entry.
    pub fn make_room(&mut self, now: Micros, is_in_flight: impl Fn(&str) -> bool) -> bool {
        if self.is_full() {
            self.expire(now, is_in_flight);
        }
        if self.is_full() {
            self.evict_oldest();
        }
        !self.is_full()
    }

    /// Adds an entry, or changes its expiry time if the entry already belongs to this request. A newer
    /// request replaces an older one. `false` if there is no room (see [`IdempotencyCache::make_room`]).
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

    /// Removes the entry of this key, if it belongs to this request.
    pub fn release(&mut self, dedup_key: &DedupKey, id: &str) {
        if self.entry_of(dedup_key, id).is_some() {
            self.remove(dedup_key);
        }
    }

    /// Stores the result of a request, if the entry of this key belongs to the request.
    ///
    /// If all results together exceed their size limit, the oldest results are dropped but never their
    /// entries: a duplicate that finds an entry without a result fails without running, while one that finds
    /// no entry would run again.
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

    /// The stored result of a request, if the entry of this key belongs to the request and has one. The id
    /// alone does not identify it, as an id may be used again once its request has ended.
    pub fn result(&self, dedup_key: &DedupKey, id: &str) -> Option<&[u8]> {
        let entry = self.entries.get(dedup_key).filter(|entry| &*entry.request.id == id)?;
        entry.result.as_deref()
    }

    /// The stored result of the request whose entry has this key, if it has one.
    pub fn stored_result(&self, dedup_key: &DedupKey) -> Option<&[u8]> {
        self.entries.get(dedup_key)?.result.as_deref()
    }

    /// Whether there is an entry of this class.
    pub fn has_entry_of_class(&self, class: usize) -> bool {
        let first_key = DedupKey { class, key: String::new() };
        self.entries.range(first_key..).next().is_some_and(|(dedup_key, _)| dedup_key.class == class)
    }

    /// Drops the entries that have expired by `now`, except those whose request `is_in_flight`.
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

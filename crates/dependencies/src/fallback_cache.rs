//! Bounded cache of results that serve as fallbacks for later calls. The least recently used result is
//! evicted first.

use std::rc::Rc;

use lru::LruCache;
use umberloom::interface::Micros;

use crate::config::FallbackCacheLimits;

/// Estimated size of an entry besides its key and result: the map entry and its links.
const ENTRY_OVERHEAD_BYTES: usize = 128;

/// Key of a cached result.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CacheKey {
    /// Name of the dependency.
    pub dependency: Rc<str>,
    /// Name of the class of the request.
    pub class: Rc<str>,
    /// Key of the resource, as given by the caller.
    pub key: Rc<str>,
}

impl CacheKey {
    fn entry_size(&self, body: &[u8]) -> usize {
        self.key.len() + body.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// A result from the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedResult {
    /// Body of the result.
    pub body: Rc<[u8]>,
    /// Time since the result was received, in microseconds.
    pub age: Micros,
}

#[derive(Debug)]
struct Entry {
    stored_at: Micros,
    body: Rc<[u8]>,
}

/// Cached results of all dependencies.
#[derive(Debug)]
pub struct FallbackCache {
    limits: FallbackCacheLimits,
    entries: LruCache<CacheKey, Entry>,
    bytes: usize,
}

impl FallbackCache {
    /// Creates an empty cache.
    pub fn new(limits: FallbackCacheLimits) -> FallbackCache {
        FallbackCache { limits, entries: LruCache::unbounded(), bytes: 0 }
    }

    /// Applies new limits and evicts results that exceed them.
    pub fn set_limits(&mut self, limits: FallbackCacheLimits) {
        self.limits = limits;
        self.evict_excess();
    }

    /// Caches a result that was received now. A result that exceeds the maximum size of the whole cache is
    /// not cached.
    pub fn put(&mut self, now: Micros, key: CacheKey, body: Rc<[u8]>) {
        let size = key.entry_size(&body);
        if size > self.limits.max_bytes || self.limits.max_entries == 0 {
            return;
        }
        self.bytes += size;
        if let Some((old_key, old)) = self.entries.push(key, Entry { stored_at: now, body }) {
            self.bytes -= old_key.entry_size(&old.body);
        }
        self.evict_excess();
    }

    /// Returns the result for this key if it is no older than `max_age` microseconds.
    pub fn get(&mut self, now: Micros, key: &CacheKey, max_age: Micros) -> Option<CachedResult> {
        let entry = self.entries.get(key)?;
        let age = now.saturating_sub(entry.stored_at);
        (age <= max_age).then(|| CachedResult { body: entry.body.clone(), age })
    }

    /// Returns the number of cached results.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of all results in bytes, with their keys and the overhead of their entries.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn evict_excess(&mut self) {
        while self.entries.len() > self.limits.max_entries || self.bytes > self.limits.max_bytes {
            let Some((key, entry)) = self.entries.pop_lru() else { return };
            self.bytes -= key.entry_size(&entry.body);
        }
    }

    /// Checks that the counted size is right and that the cache is within its limits.
    ///
    /// # Errors
    /// Returns the number and the sizes of the results if it is not.
    pub fn check_invariants(&self) -> Result<(), String> {
        let bytes: usize = self.entries.iter().map(|(key, entry)| key.entry_size(&entry.body)).sum();
        let fits = self.entries.len() <= self.limits.max_entries && self.bytes <= self.limits.max_bytes;
        if bytes == self.bytes && fits {
            return Ok(());
        }
        Err(format!("{} cached results take {bytes} bytes, counted as {}", self.entries.len(), self.bytes))
    }
}

#[cfg(test)]
mod tests;

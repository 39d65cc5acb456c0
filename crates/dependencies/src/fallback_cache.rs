//! Results that are kept to stand in for later ones, within bounds.

use std::rc::Rc;

use lru::LruCache;
use umberloom::interface::Micros;

use crate::config::FallbackCacheLimits;

/// What a kept result is about: the dependency, the class and the resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CacheKey {
    /// Name of the dependency.
    pub dependency: Rc<str>,
    /// Name of the class of the request.
    pub class: Rc<str>,
    /// Key of the resource, as the caller stated it.
    pub key: Rc<str>,
}

/// What an entry takes besides key and result: the entry of the map and its links.
const ENTRY_OVERHEAD_BYTES: usize = 128;

impl CacheKey {
    fn size(&self, result: &[u8]) -> usize {
        self.key.len() + result.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// Kept results; the one not used for longest goes first.
#[derive(Debug)]
pub struct FallbackCache {
    limits: FallbackCacheLimits,
    entries: LruCache<CacheKey, (Micros, Rc<[u8]>)>,
    bytes: usize,
}

impl FallbackCache {
    /// None yet.
    pub fn new(limits: FallbackCacheLimits) -> FallbackCache {
        FallbackCache { limits, entries: LruCache::unbounded(), bytes: 0 }
    }

    /// New bounds.
    pub fn set_limits(&mut self, bounds: FallbackCacheLimits) {
        self.limits = bounds;
        self.evict_excess();
    }

    /// Keeps a result that was given now.
    pub fn put(&mut self, now: Micros, subject: CacheKey, result: Rc<[u8]>) {
        let size = subject.size(&result);
        if size > self.limits.max_bytes || self.limits.max_entries == 0 {
            return;
        }
        self.bytes += size;
        if let Some((old, (_, before))) = self.entries.push(subject, (now, result)) {
            self.bytes -= old.size(&before);
        }
        self.evict_excess();
    }

    /// A result no older than `oldest`, and its age.
    pub fn get(&mut self, now: Micros, subject: &CacheKey, oldest: Micros) -> Option<(Micros, Rc<[u8]>)> {
        let (since, result) = self.entries.get(subject)?;
        let age = now.saturating_sub(*since);
        (age <= oldest).then(|| (age, result.clone()))
    }

    /// How many there are, and the bytes they take.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    fn evict_excess(&mut self) {
        while self.entries.len() > self.limits.max_entries || self.bytes > self.limits.max_bytes {
            let Some((subject, (_, result))) = self.entries.pop_lru() else { return };
            self.bytes -= subject.size(&result);
        }
    }

    /// What must always hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let bytes: usize = self.entries.iter().map(|(subject, (_, result))| subject.size(result)).sum();
        let fits = self.entries.len() <= self.limits.max_entries && self.bytes <= self.limits.max_bytes;
        if bytes == self.bytes && fits {
            return Ok(());
        }
        Err(format!("{} kept results take {bytes} bytes, counted as {}", self.entries.len(), self.bytes))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn subject(key: usize) -> CacheKey {
        CacheKey { dependency: "d".into(), class: "c".into(), key: format!("{key:016x}").into() }
    }

    #[test]
    fn one_that_is_too_old_by_a_millisecond_is_none() {
        let mut kept = FallbackCache::new(FallbackCacheLimits::default());
        kept.put(1_000, subject(1), b"r"[..].into());
        assert_eq!(kept.get(6_000, &subject(1), 5_000), Some((5_000, b"r"[..].into())));
        assert_eq!(kept.get(7_000, &subject(1), 5_000), None);
        assert_eq!(kept.get(1_000, &subject(2), 5_000), None);
    }

    #[test]
    fn ten_thousand_keys_stay_within_the_bounds() {
        let bounds = FallbackCacheLimits { max_entries: 1_000, max_bytes: 100_000 };
        let mut kept = FallbackCache::new(bounds);
        for n in 0..10_000 {
            kept.put(n as u64, subject(n), vec![0; n % 300].into());
            // The first one is asked for again and again, and so it stays.
            assert!(n > 400 || kept.get(0, &subject(0), u64::MAX).is_some(), "{n}");
            assert_eq!(kept.check_invariants(), Ok(()));
        }
        let (entries, bytes) = kept.size();
        assert!(entries > 100 && entries <= 1_000 && bytes <= 100_000);
    }

    #[test]
    fn a_newer_one_takes_the_place_of_the_older() {
        let mut kept = FallbackCache::new(FallbackCacheLimits { max_entries: 2, max_bytes: 1_000 });
        kept.put(0, subject(1), vec![1; 10].into());
        kept.put(5, subject(1), vec![2; 20].into());
        assert_eq!(kept.get(5, &subject(1), 0), Some((0, vec![2; 20].into())));
        assert_eq!(kept.size().0, 1);
        kept.put(6, subject(2), vec![0; 2_000].into());
        assert_eq!(kept.size().0, 1, "larger than all that may be kept");
        kept.set_limits(FallbackCacheLimits { max_entries: 0, max_bytes: 0 });
        assert_eq!((kept.size(), kept.check_invariants()), ((0, 0), Ok(())));
    }
}

use super::*;

fn cache_key(key: usize) -> CacheKey {
    CacheKey { dependency: "d".into(), class: "c".into(), key: format!("{key:016x}").into() }
}

#[test]
fn result_older_than_the_maximum_age_is_not_returned() {
    let mut cache = FallbackCache::new(FallbackCacheLimits::default());
    cache.put(1_000, cache_key(1), b"r"[..].into());
    assert_eq!(
        cache.get(6_000, &cache_key(1), 5_000),
        Some(CachedResult { body: b"r"[..].into(), age: 5_000 })
    );
    assert_eq!(cache.get(7_000, &cache_key(1), 5_000), None);
    assert_eq!(cache.get(1_000, &cache_key(2), 5_000), None);
}

#[test]
fn cache_stays_within_its_limits_over_ten_thousand_keys() {
    let limits = FallbackCacheLimits { max_entries: 1_000, max_bytes: 100_000 };
    let mut cache = FallbackCache::new(limits);
    for n in 0..10_000 {
        cache.put(n as u64, cache_key(n), vec![0; n % 300].into());
        // The first result is used again and again, so that it is not evicted.
        assert!(n > 400 || cache.get(0, &cache_key(0), u64::MAX).is_some(), "{n}");
        assert_eq!(cache.check_invariants(), Ok(()));
    }
    let (entries, bytes) = (cache.len(), cache.bytes());
    assert!(entries > 100 && entries <= 1_000 && bytes <= 100_000);
}

#[test]
fn newer_result_replaces_the_older_one() {
    let mut cache = FallbackCache::new(FallbackCacheLimits { max_entries: 2, max_bytes: 1_000 });
    cache.put(0, cache_key(1), vec![1; 10].into());
    cache.put(5, cache_key(1), vec![2; 20].into());
    assert_eq!(cache.get(5, &cache_key(1), 0), Some(CachedResult { body: vec![2; 20].into(), age: 0 }));
    assert_eq!(cache.len(), 1);
    cache.put(6, cache_key(2), vec![0; 2_000].into());
    assert_eq!(cache.len(), 1, "larger than the whole cache may be");
    cache.set_limits(FallbackCacheLimits { max_entries: 0, max_bytes: 0 });
    assert_eq!((cache.len(), cache.bytes(), cache.check_invariants()), (0, 0, Ok(())));
}

use super::*;

/// Id of the request whose entry has this key, if the entry has not expired.
fn unexpired(cache: &IdempotencyCache, dedup_key: &DedupKey, now: Micros) -> Option<RequestId> {
    cache.get(dedup_key).filter(|request| request.expires_at > now).map(|request| request.id.clone())
}

/// Creates the request of an entry, which may be evictable.
fn cached_request(cache: &IdempotencyCache, id: &str, expires_at: Micros, evictable: bool) -> CachedRequest {
    CachedRequest { id: id.into(), body_digest: cache.digest(b"body"), expires_at, evictable }
}

/// Makes room for an evictable entry and adds it.
fn insert(cache: &mut IdempotencyCache, now: Micros, dedup_key: DedupKey, id: &str, expires_at: Micros) {
    let request = cached_request(cache, id, expires_at, true);
    assert!(cache.make_room(now, |_| false) && cache.insert(dedup_key, request));
}

fn dedup_key(key: &str) -> DedupKey {
    DedupKey { class: 0, key: key.to_owned() }
}

#[test]
fn entry_and_result_are_found_until_expiry() {
    let mut cache = IdempotencyCache::default();
    insert(&mut cache, 0, dedup_key("k"), "a", 100);
    assert_eq!(unexpired(&cache, &dedup_key("k"), 99).as_deref(), Some("a"));
    assert_eq!(unexpired(&cache, &dedup_key("k"), 100), None);
    assert_eq!(unexpired(&cache, &DedupKey { class: 1, key: "k".to_owned() }, 0), None);
    cache.store_result(&dedup_key("k"), "a", b"result");
    assert_eq!(cache.result(&dedup_key("k"), "a"), Some(&b"result"[..]));
    cache.expire(100, |_| false);
    assert_eq!(
        (cache.result(&dedup_key("k"), "a"), cache.result_bytes, cache.insertion_order.len()),
        (None, 0, 0)
    );
}

#[test]
fn newer_request_replaces_the_entry_of_its_key() {
    let mut cache = IdempotencyCache::default();
    insert(&mut cache, 0, dedup_key("k"), "a", 100);
    insert(&mut cache, 0, dedup_key("k"), "b", 50);
    cache.release(&dedup_key("k"), "a");
    assert_eq!(unexpired(&cache, &dedup_key("k"), 0).as_deref(), Some("b"));
    insert(&mut cache, 0, dedup_key("k"), "b", 200);
    assert_eq!(unexpired(&cache, &dedup_key("k"), 150).as_deref(), Some("b"));
    cache.release(&dedup_key("k"), "b");
    assert_eq!(unexpired(&cache, &dedup_key("k"), 0), None);
}

#[test]
fn entry_count_and_result_bytes_are_bounded() {
    let mut cache = IdempotencyCache::default();
    for n in 0..MAX_ENTRIES + 10 {
        let id = n.to_string();
        insert(&mut cache, 0, dedup_key(&id), &id, 100);
        cache.store_result(&dedup_key(&id), &id, &[0; 4096]);
    }
    assert!(cache.entries.len() <= MAX_ENTRIES && cache.result_bytes <= MAX_RESULT_BYTES);
    assert_eq!(unexpired(&cache, &dedup_key("0"), 0), None);
    assert!(unexpired(&cache, &dedup_key(&(MAX_ENTRIES + 9).to_string()), 0).is_some());
}

/// Guards against a second run of a request with an idempotency key: results too large for the cache were
/// dropped with their entries, so that a duplicate found no entry and ran again.
#[test]
fn exceeding_result_bytes_drops_results_but_keeps_entries() {
    let mut cache = IdempotencyCache::default();
    for n in 0..3 {
        let id = n.to_string();
        insert(&mut cache, 0, dedup_key(&id), &id, 100);
        cache.store_result(&dedup_key(&id), &id, &vec![0; MAX_RESULT_BYTES / 2]);
    }
    assert!(cache.result_bytes <= MAX_RESULT_BYTES, "{}", cache.result_bytes);
    assert_eq!(cache.result(&dedup_key("0"), "0"), None, "the oldest result is dropped");
    assert_eq!(unexpired(&cache, &dedup_key("0"), 0).as_deref(), Some("0"), "its entry is kept");
    assert_eq!(cache.result(&dedup_key("2"), "2").map(<[u8]>::len), Some(MAX_RESULT_BYTES / 2));
}

/// Guards against evicting an unexpired entry while the cache still contains expired ones.
#[test]
fn full_cache_drops_expired_entries_before_unexpired_ones() {
    let mut cache = IdempotencyCache::default();
    insert(&mut cache, 0, dedup_key("live"), "live", 1_000);
    for n in 1..MAX_ENTRIES {
        let id = n.to_string();
        insert(&mut cache, 0, dedup_key(&id), &id, 10);
    }
    insert(&mut cache, 20, dedup_key("new"), "new", 1_000);
    assert_eq!(unexpired(&cache, &dedup_key("live"), 20).as_deref(), Some("live"));
    assert_eq!(unexpired(&cache, &dedup_key("new"), 20).as_deref(), Some("new"));
    assert_eq!(cache.entries.len(), 2);
}

/// Guards against a second run of a request whose idempotency key was evicted from a full cache. This happens
/// at a deployment whose keys are so small that the admission controller retains more of them than the cache
/// holds.
#[test]
fn non_evictable_entry_stays_until_it_expires_and_its_request_has_ended() {
    let mut cache = IdempotencyCache::default();
    for n in 0..MAX_ENTRIES {
        let id = n.to_string();
        let request = cached_request(&cache, &id, 100, n == 7);
        assert!(cache.make_room(0, |_| false));
        assert!(cache.insert(dedup_key(&id), request));
    }
    let new = cached_request(&cache, "new", 100, false);
    let rejected = cached_request(&cache, "x", 100, false);
    // The evictable entry is dropped; the others stay until they have expired and their requests have ended.
    assert!(cache.make_room(50, |_| false) && cache.insert(dedup_key("new"), new));
    assert_eq!(unexpired(&cache, &dedup_key("7"), 50), None);
    assert!(!cache.make_room(50, |_| false) && !cache.insert(dedup_key("x"), rejected));
    assert!(!cache.make_room(100, |_| true));
    assert_eq!(
        (cache.entries.len(), unexpired(&cache, &dedup_key("0"), 50).as_deref()),
        (MAX_ENTRIES, Some("0"))
    );
    assert!(cache.make_room(100, |id| id == "0"));
    assert_eq!(cache.entries.len(), 1);
}

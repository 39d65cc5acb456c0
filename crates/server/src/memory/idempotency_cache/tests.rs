use super::*;

/// The request that has the entry of this subject, where it has not expired.
fn unexpired(cache: &IdempotencyCache, subject: &Subject, now: Micros) -> Option<RequestId> {
    cache.get(subject).filter(|request| request.expires_at > now).map(|request| request.id.clone())
}

/// An entry that may be evicted or not.
fn request(cache: &IdempotencyCache, id: &str, expires_at: Micros, evictable: bool) -> CachedRequest {
    CachedRequest { id: id.into(), body: cache.digest(b"body"), expires_at, evictable }
}

/// Makes room for an evictable entry and adds it.
fn insert(cache: &mut IdempotencyCache, now: Micros, subject: Subject, id: &str, expires_at: Micros) {
    let request = request(cache, id, expires_at, true);
    assert!(cache.make_room(now, |_| false) && cache.insert(subject, request));
}

fn subject(key: &str) -> Subject {
    Subject { class: 0, key: key.to_owned() }
}

#[test]
fn an_entry_and_its_result_are_found_until_it_expires() {
    let mut cache = IdempotencyCache::default();
    insert(&mut cache, 0, subject("k"), "a", 100);
    assert_eq!(unexpired(&cache, &subject("k"), 99).as_deref(), Some("a"));
    assert_eq!(unexpired(&cache, &subject("k"), 100), None);
    assert_eq!(unexpired(&cache, &Subject { class: 1, key: "k".to_owned() }, 0), None);
    cache.store_result(&subject("k"), "a", b"result");
    assert_eq!(cache.result("a"), Some(&b"result"[..]));
    cache.expire(100, |_| false);
    assert_eq!((cache.result("a"), cache.result_bytes, cache.insertion_order.len()), (None, 0, 0));
}

#[test]
fn a_newer_request_takes_over_the_entry_of_its_subject() {
    let mut cache = IdempotencyCache::default();
    insert(&mut cache, 0, subject("k"), "a", 100);
    insert(&mut cache, 0, subject("k"), "b", 50);
    cache.release(&subject("k"), "a");
    assert_eq!(unexpired(&cache, &subject("k"), 0).as_deref(), Some("b"));
    insert(&mut cache, 0, subject("k"), "b", 200);
    assert_eq!(unexpired(&cache, &subject("k"), 150).as_deref(), Some("b"));
    cache.release(&subject("k"), "b");
    assert_eq!(unexpired(&cache, &subject("k"), 0), None);
}

#[test]
fn entries_and_result_bytes_are_bounded() {
    let mut cache = IdempotencyCache::default();
    for n in 0..MAX_ENTRIES + 10 {
        let id = n.to_string();
        insert(&mut cache, 0, subject(&id), &id, 100);
        cache.store_result(&subject(&id), &id, &[0; 4096]);
    }
    assert!(cache.entries.len() <= MAX_ENTRIES && cache.result_bytes <= MAX_RESULT_BYTES);
    assert_eq!(unexpired(&cache, &subject("0"), 0), None);
    assert!(unexpired(&cache, &subject(&(MAX_ENTRIES + 9).to_string()), 0).is_some());
}

/// Guards against a second run of a request with an idempotency key: results too large for the cache took their entries
/// with them, and a duplicate then found nothing and ran again.
#[test]
fn too_many_result_bytes_drop_results_but_not_their_entries() {
    let mut cache = IdempotencyCache::default();
    for n in 0..3 {
        let id = n.to_string();
        insert(&mut cache, 0, subject(&id), &id, 100);
        cache.store_result(&subject(&id), &id, &vec![0; MAX_RESULT_BYTES / 2]);
    }
    assert!(cache.result_bytes <= MAX_RESULT_BYTES, "{}", cache.result_bytes);
    assert_eq!(cache.result("0"), None, "the oldest result went");
    assert_eq!(unexpired(&cache, &subject("0"), 0).as_deref(), Some("0"), "its entry stays");
    assert_eq!(cache.result("2").map(<[u8]>::len), Some(MAX_RESULT_BYTES / 2));
}

/// Guards against the eviction of an unexpired entry while expired ones still take places.
#[test]
fn a_full_cache_drops_expired_entries_before_unexpired_ones() {
    let mut cache = IdempotencyCache::default();
    insert(&mut cache, 0, subject("live"), "live", 1_000);
    for n in 1..MAX_ENTRIES {
        let id = n.to_string();
        insert(&mut cache, 0, subject(&id), &id, 10);
    }
    insert(&mut cache, 20, subject("new"), "new", 1_000);
    assert_eq!(unexpired(&cache, &subject("live"), 20).as_deref(), Some("live"));
    assert_eq!(unexpired(&cache, &subject("new"), 20).as_deref(), Some("new"));
    assert_eq!(cache.entries.len(), 2);
}

/// Guards against a second run of a request whose idempotency key was evicted from a full cache, at a customer whose keys
/// are so small that the admission controller retains more of them than the cache holds.
#[test]
fn an_entry_that_is_not_evictable_stays_until_it_expires_and_its_request_has_ended() {
    let mut cache = IdempotencyCache::default();
    for n in 0..MAX_ENTRIES {
        let id = n.to_string();
        let request = request(&cache, &id, 100, n == 7);
        assert!(cache.make_room(0, |_| false));
        assert!(cache.insert(subject(&id), request));
    }
    let new = request(&cache, "new", 100, false);
    let rejected = request(&cache, "x", 100, false);
    // The evictable one goes; the others stay until they have expired and are no longer in flight.
    assert!(cache.make_room(50, |_| false) && cache.insert(subject("new"), new));
    assert_eq!(unexpired(&cache, &subject("7"), 50), None);
    assert!(!cache.make_room(50, |_| false) && !cache.insert(subject("x"), rejected));
    assert!(!cache.make_room(100, |_| true));
    assert_eq!(
        (cache.entries.len(), unexpired(&cache, &subject("0"), 50).as_deref()),
        (MAX_ENTRIES, Some("0"))
    );
    assert!(cache.make_room(100, |id| id == "0"));
    assert_eq!(cache.entries.len(), 1);
}

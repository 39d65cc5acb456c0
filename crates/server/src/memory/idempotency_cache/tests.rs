use super::*;

/// The kept request of this subject whose window is not over.
fn find(keys: &IdempotencyCache, subject: &Subject, now: Micros) -> Option<RequestId> {
    keys.holder(subject).filter(|(.., until)| *until > now).map(|(id, ..)| id)
}

fn keep(keys: &mut IdempotencyCache, now: Micros, subject: Subject, id: RequestId, until: Micros) {
    let body = keys.digest(b"body");
    assert!(keys.make_room(now, |_| false) && keys.keep(subject, (id, body), until, false));
}

fn about(key: &str) -> Subject {
    (0, key.to_owned())
}

#[test]
fn a_kept_request_is_found_until_its_time_is_up() {
    let mut keys = IdempotencyCache::default();
    keep(&mut keys, 0, about("k"), "a".into(), 100);
    assert_eq!(find(&keys, &about("k"), 99).as_deref(), Some("a"));
    assert_eq!(find(&keys, &about("k"), 100), None);
    assert_eq!(find(&keys, &(1, "k".to_owned()), 0), None);
    keys.add_result(&about("k"), "a", b"result");
    assert_eq!(keys.result("a"), Some(&b"result"[..]));
    keys.expire(100, |_| false);
    assert_eq!((keys.result("a"), keys.bytes, keys.order.len()), (None, 0, 0));
}

#[test]
fn a_newer_request_takes_the_entry_over() {
    let mut keys = IdempotencyCache::default();
    keep(&mut keys, 0, about("k"), "a".into(), 100);
    keep(&mut keys, 0, about("k"), "b".into(), 50);
    keys.forget(&about("k"), "a");
    assert_eq!(find(&keys, &about("k"), 0).as_deref(), Some("b"));
    keep(&mut keys, 0, about("k"), "b".into(), 200);
    assert_eq!(find(&keys, &about("k"), 150).as_deref(), Some("b"));
    keys.forget(&about("k"), "b");
    assert_eq!(find(&keys, &about("k"), 0), None);
}

#[test]
fn entries_and_results_are_bounded() {
    let mut keys = IdempotencyCache::default();
    for n in 0..ENTRIES + 10 {
        keep(&mut keys, 0, about(&n.to_string()), n.to_string().into(), 100);
        keys.add_result(&about(&n.to_string()), &n.to_string(), &[0; 4096]);
    }
    assert!(keys.all.len() <= ENTRIES && keys.bytes <= BYTES);
    assert_eq!(find(&keys, &about("0"), 0), None);
    assert!(find(&keys, &about(&(ENTRIES + 9).to_string()), 0).is_some());
}

/// Guards against a keyed write that runs twice: results too large for the table took their entries with
/// them, and a repeat then found nothing and ran anew.
#[test]
fn too_many_bytes_drop_results_but_keep_their_entries() {
    let mut keys = IdempotencyCache::default();
    for n in 0..3 {
        keep(&mut keys, 0, about(&n.to_string()), n.to_string().into(), 100);
        keys.add_result(&about(&n.to_string()), &n.to_string(), &vec![0; BYTES / 2]);
    }
    assert!(keys.bytes <= BYTES, "{}", keys.bytes);
    assert_eq!(keys.result("0"), None, "the oldest result went");
    assert_eq!(find(&keys, &about("0"), 0).as_deref(), Some("0"), "its entry stays");
    assert_eq!(keys.result("2").map(<[u8]>::len), Some(BYTES / 2));
}

/// Guards against a live entry pushed out while entries that have run out still take places.
#[test]
fn a_full_table_drops_what_ran_out_before_what_lives() {
    let mut keys = IdempotencyCache::default();
    keep(&mut keys, 0, about("live"), "live".into(), 1_000);
    for n in 1..ENTRIES {
        keep(&mut keys, 0, about(&n.to_string()), n.to_string().into(), 10);
    }
    keep(&mut keys, 20, about("new"), "new".into(), 1_000);
    assert_eq!(find(&keys, &about("live"), 20).as_deref(), Some("live"));
    assert_eq!(find(&keys, &about("new"), 20).as_deref(), Some("new"));
    assert_eq!(keys.all.len(), 2);
}

/// Guards against a keyed write that runs twice because its key was pushed out of a full table, at a customer whose keys
/// weigh so little that the decisions keep more of them than the table holds.
#[test]
fn what_binds_is_never_pushed_out_while_it_lives() {
    let mut keys = IdempotencyCache::default();
    let body = keys.digest(b"body");
    for n in 0..ENTRIES {
        let id = n.to_string();
        assert!(keys.make_room(0, |_| false));
        assert!(keys.keep(about(&id), (id.as_str().into(), body), 100, n != 7));
    }
    // One binds nobody and gives way; the others stay until they have run out and are no longer open.
    assert!(keys.make_room(50, |_| false) && keys.keep(about("new"), ("new".into(), body), 100, true));
    assert_eq!(find(&keys, &about("7"), 50), None);
    assert!(!keys.make_room(50, |_| false) && !keys.keep(about("x"), ("x".into(), body), 100, true));
    assert!(!keys.make_room(100, |_| true));
    assert_eq!((keys.all.len(), find(&keys, &about("0"), 50).as_deref()), (ENTRIES, Some("0")));
    assert!(keys.make_room(100, |id| id == "0"));
    assert_eq!(keys.all.len(), 1);
}

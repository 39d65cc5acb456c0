//! Tests of a class with idempotency keys, where at most one attempt of a request may run.

use super::*;
use crate::memory::idempotency_cache::MAX_ENTRIES;

/// Guards against a second run: attempts are linked by the caller's idempotency key, and an attempt without
/// one gets `BadRequest` and never reaches the controller.
#[test]
fn attempts_are_linked_by_idempotency_key_and_not_by_resource_key() {
    let mut settings = settings(Preemption::Never);
    settings.classes[0].idempotency = Idempotency::WithKey;
    settings.classes[0].idempotency_window = 12_309_000;
    let mut fixture = fixture_with(settings);
    let work = fixture.work_request("bare", Some("resource"), None);
    fixture.send_work_request(NOW, work, 0, b"body");
    assert_eq!(fixture.take_responses(), [(1, Response::BadRequest)]);
    assert!(fixture.actor.events.is_empty(), "it must not reach the controller");
    let work = fixture.work_request("a", None, Some("tally-1"));
    fixture.send_work_request(NOW, work, 0, b"body");
    fixture.execute(Action::RetainKey("a".into(), 12_309_000));
    fixture.execute(Action::Admit("a".into()));
    // The same idempotency key with another resource key is the same request; another idempotency key is not.
    let work = fixture.work_request("b", Some("resource"), Some("tally-1"));
    fixture.send_work_request(NOW, work, 0, b"body");
    assert_eq!(fixture.last_duplicate_of("b").as_deref(), Some("a"));
    let work = fixture.work_request("c", None, Some("tally-2"));
    fixture.send_work_request(NOW, work, 0, b"body");
    assert_eq!(fixture.last_duplicate_of("c"), None);
}

/// Guards against a second run: of two attempts read before the same step, both were treated as the first, as
/// the key was reserved only when the controller's action for the first attempt was executed.
#[test]
fn attempts_read_before_the_same_step_are_linked() {
    let mut fixture = fixture_with_keys();
    assert_eq!(fixture.send_attempt(NOW, "a", 0, "k"), None);
    assert_eq!(fixture.send_attempt(NOW, "b", 0, "k").as_deref(), Some("a"));
    // The first attempt is rejected and never ran, so its key becomes free.
    fixture.execute(Action::Reject { id: "a".into(), retry_after: 0, terminal: false });
    assert_eq!(fixture.send_attempt(NOW + 1, "c", 0, "k"), None);
}

/// Guards against a second run concurrent with the first: the key of a run that lasts longer than the
/// idempotency window was dropped before the run ended.
#[test]
fn expired_key_still_links_duplicates_while_its_request_is_in_flight() {
    let mut fixture = fixture_with_keys();
    fixture.send_attempt(NOW, "a", 0, "k");
    fixture.execute(Action::RetainKey("a".into(), 3_000_000));
    fixture.execute(Action::Admit("a".into()));
    assert_eq!(fixture.send_attempt(NOW + 3_500_000, "b", 0, "k").as_deref(), Some("a"));
    fixture.actor.wake_at = Some(NOW + 9_000_000);
    fixture.actor.handle_timeout(NOW + 9_000_000);
    assert_eq!(fixture.send_attempt(NOW + 9_500_000, "c", 0, "k").as_deref(), Some("a"));
    fixture.end_run("a", RunOutcome::Success(b"done".to_vec()));
    assert_eq!(
        fixture.send_attempt(NOW + 9_700_000, "d", 0, "k"),
        None,
        "its request has ended and its key has expired"
    );
}

/// Guards against a second run by a duplicate that arrived before the key expired but was read after it.
#[test]
fn key_expiry_is_compared_with_the_arrival_time_of_the_duplicate() {
    let mut fixture = fixture_with_keys();
    fixture.send_attempt(NOW, "a", 0, "k");
    fixture.execute(Action::Admit("a".into()));
    fixture.end_run("a", RunOutcome::Success(b"done".to_vec()));
    // The timer event drops expired keys between the end of the window and the reading of the duplicate.
    fixture.actor.wake_at = Some(NOW + 3_100_000);
    fixture.actor.handle_timeout(NOW + 3_100_000);
    let mut duplicate_of = |id: &str, read_delay: Micros| {
        let received_at = fixture.actor.clock.unix() - read_delay;
        let work = WorkRequest { received_at, ..fixture.work_request(id, None, Some("k")) };
        fixture.send_work_request(NOW + 3_200_000, work, 0, b"");
        fixture.last_duplicate_of(id)
    };
    assert_eq!(duplicate_of("in time", 2_000_000).as_deref(), Some("a"));
    assert_eq!(duplicate_of("too late", 0), None);
}

/// Guards against giving one tenant's result to another.
#[test]
fn idempotency_keys_are_separate_for_each_tenant() {
    let mut settings = settings_with_keys();
    settings.tenants = vec![umberloom::interface::Tenant { quota_per_s: 5.0 }; 2];
    let mut fixture = fixture_with(settings);
    fixture.send_attempt(NOW, "a", 0, "k");
    assert_eq!(fixture.send_attempt(NOW, "b", 1, "k"), None);
    assert_eq!(fixture.send_attempt(NOW, "c", 1, "k").as_deref(), Some("b"));
}

/// Guards against giving a result to the wrong caller: a request with a key in use and a different body got
/// the result of the request that had the key. Such a request comes from a faulty client.
#[test]
fn different_body_under_a_key_in_use_gets_bad_request() {
    let mut fixture = fixture_with_keys();
    let mut arrive = |id: &str, body: &[u8]| {
        let work = fixture.work_request_with_key(id, "k");
        fixture.send_work_request(NOW, work, 0, body);
        (fixture.take_events().len(), fixture.take_responses())
    };
    assert_eq!(arrive("a", b"one berth"), (1, vec![]));
    assert_eq!(
        arrive("b", b"two berths"),
        (0, vec![(2, Response::BadRequest)]),
        "it must not reach the controller"
    );
    assert_eq!(arrive("c", b"one berth"), (1, vec![]), "the same body is a duplicate");
}

/// Guards against a first attempt whose duplicates would run again: if unexpired keys fill the cache, it must
/// be rejected before it reaches the controller, and duplicates of the cached requests must still be
/// recognized.
#[test]
fn first_attempt_is_rejected_when_unexpired_keys_fill_the_cache() {
    let mut fixture = fixture_with_keys();
    for n in 0..MAX_ENTRIES {
        let id = n.to_string();
        fixture.send_attempt(NOW, &id, 0, &id);
        fixture.actor.events.clear();
    }
    let work = fixture.work_request_with_key("more", "more");
    let serial = fixture.send_work_request(NOW, work, 0, b"");
    let rejected = Response::Rejected { retry_after: 0, terminal: false };
    assert_eq!(fixture.take_responses(), [(serial, rejected)]);
    assert!(fixture.actor.events.is_empty());
    assert_eq!(fixture.send_attempt(NOW, "again", 0, "0").as_deref(), Some("0"));
}

/// Guards against assigning a key to the wrong request: a request with an id in use and a new key gets
/// `BadRequest` and must leave the key free.
#[test]
fn request_with_an_id_in_use_reserves_no_key() {
    let mut fixture = fixture_with_keys();
    fixture.send_attempt(NOW, "a", 0, "k");
    fixture.actor.events.clear();
    let work = fixture.work_request_with_key("a", "other");
    let serial = fixture.send_work_request(NOW, work, 0, b"");
    assert_eq!(fixture.take_responses(), [(serial, Response::BadRequest)]);
    assert_eq!(fixture.send_attempt(NOW, "b", 0, "other"), None);
}

/// Guards against a result of another request: the id of an ended request was used again under another key,
/// and a duplicate of the later request got the result of the earlier one.
#[test]
fn duplicate_gets_the_result_stored_under_its_own_key() {
    let mut fixture = fixture_with_keys();
    for (key, result) in [("k1", b"first"), ("k2", b"later")] {
        assert_eq!(fixture.send_attempt(NOW, "a", 0, key), None);
        fixture.execute(Action::RetainKey("a".into(), 3_000_000));
        fixture.execute(Action::Admit("a".into()));
        fixture.end_run("a", RunOutcome::Success(result.to_vec()));
    }
    fixture.take_responses();
    assert_eq!(fixture.send_attempt(NOW, "b", 0, "k2").as_deref(), Some("a"));
    fixture.execute(Action::AwaitDuplicate("b".into()));
    assert!(matches!(&fixture.take_responses()[..], [(_, Response::Served(result))] if result == b"later"));
}

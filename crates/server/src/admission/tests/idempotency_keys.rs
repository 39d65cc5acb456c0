//! Attempts in a class with idempotency keys, of which at most one may run.

use super::*;
use crate::memory::idempotency_cache::MAX_ENTRIES;

/// Guards against a second run: attempts are linked by the caller's idempotency key, and one that comes without it is
/// malformed and never gets to the controller.
#[test]
fn attempts_are_linked_by_their_idempotency_key_alone() {
    let mut settings = settings(Preemption::Never);
    settings.classes[0].idempotency = Idempotency::WithKey;
    settings.classes[0].idempotency_window = 12_309_000;
    let mut bench = bench_with(settings);
    let work = bench.work("bare", Some("resource"), None);
    bench.arrive(NOW, work, 0, b"body");
    assert_eq!(bench.responses(), [(1, Response::BadRequest)]);
    assert!(bench.actor.events.is_empty(), "it does not get to the controller");
    let work = bench.work("a", None, Some("tally-1"));
    bench.arrive(NOW, work, 0, b"body");
    bench.execute(Action::RetainKey("a".into(), 12_309_000));
    bench.execute(Action::Admit("a".into()));
    // The same key under another resource key is the same request; another key is not.
    let work = bench.work("b", Some("resource"), Some("tally-1"));
    bench.arrive(NOW, work, 0, b"body");
    assert_eq!(bench.last_duplicate_of("b").as_deref(), Some("a"));
    let work = bench.work("c", None, Some("tally-2"));
    bench.arrive(NOW, work, 0, b"body");
    assert_eq!(bench.last_duplicate_of("c"), None);
}

/// Guards against a second run: two attempts read before one step were both taken for the first, as the key was reserved
/// only when the controller's action for the first was executed.
#[test]
fn two_attempts_read_before_one_step_are_linked() {
    let mut bench = bench_with_keys();
    assert_eq!(bench.attempt(NOW, "a", 0, "k"), None);
    assert_eq!(bench.attempt(NOW, "b", 0, "k").as_deref(), Some("a"));
    // The first is rejected and never ran: the key is free.
    bench.execute(Action::Reject { id: "a".into(), retry_after: 0, terminal: false });
    assert_eq!(bench.attempt(NOW + 1, "c", 0, "k"), None);
}

/// Guards against a second run beside the first: the key of a run that lasts longer than its window was dropped before its
/// end.
#[test]
fn a_key_is_known_while_its_request_is_in_flight_though_it_has_expired() {
    let mut bench = bench_with_keys();
    bench.attempt(NOW, "a", 0, "k");
    bench.execute(Action::RetainKey("a".into(), 3_000_000));
    bench.execute(Action::Admit("a".into()));
    assert_eq!(bench.attempt(NOW + 3_500_000, "b", 0, "k").as_deref(), Some("a"));
    bench.actor.wake_at = Some(NOW + 9_000_000);
    bench.actor.handle_timeout(NOW + 9_000_000);
    assert_eq!(bench.attempt(NOW + 9_500_000, "c", 0, "k").as_deref(), Some("a"));
    bench.end_run("a", RunOutcome::Success(b"done".to_vec()));
    assert_eq!(bench.attempt(NOW + 9_700_000, "d", 0, "k"), None, "ended and expired");
}

/// Guards against a second run by a duplicate that came in time and was read late.
#[test]
fn a_duplicate_counts_by_when_it_reached_the_machine() {
    let mut bench = bench_with_keys();
    bench.attempt(NOW, "a", 0, "k");
    bench.execute(Action::Admit("a".into()));
    bench.end_run("a", RunOutcome::Success(b"done".to_vec()));
    // Expired keys are dropped between the end of the window and the reading of the duplicate.
    bench.actor.wake_at = Some(NOW + 3_100_000);
    bench.actor.handle_timeout(NOW + 3_100_000);
    let mut duplicate_of = |id: &str, read_delay: Micros| {
        let received_at = bench.actor.clock.unix() - read_delay;
        let work = WorkRequest { received_at, ..bench.work(id, None, Some("k")) };
        bench.arrive(NOW + 3_200_000, work, 0, b"");
        bench.last_duplicate_of(id)
    };
    assert_eq!(duplicate_of("in time", 2_000_000).as_deref(), Some("a"));
    assert_eq!(duplicate_of("too late", 0), None);
}

/// Guards against one tenant's result given to another.
#[test]
fn the_same_key_of_two_tenants_is_two_keys() {
    let mut settings = settings_with_keys();
    settings.tenants = vec![umberloom::interface::Tenant { quota_per_s: 5.0 }; 2];
    let mut bench = bench_with(settings);
    bench.attempt(NOW, "a", 0, "k");
    assert_eq!(bench.attempt(NOW, "b", 1, "k"), None);
    assert_eq!(bench.attempt(NOW, "c", 1, "k").as_deref(), Some("b"));
}

/// Guards against another's result given away: a request with a key that was taken and a body of its own got the result of
/// the request that had the key (brink days of a site with a keyed class: lost, a bad client was served).
#[test]
fn another_body_under_a_key_that_is_taken_is_malformed() {
    let mut bench = bench_with_keys();
    let mut arrive = |id: &str, body: &[u8]| {
        let work = bench.work_with_key(id, "k");
        bench.arrive(NOW, work, 0, body);
        (bench.events().len(), bench.responses())
    };
    assert_eq!(arrive("a", b"one berth"), (1, vec![]));
    assert_eq!(
        arrive("b", b"two berths"),
        (0, vec![(2, Response::BadRequest)]),
        "it does not get to the controller"
    );
    assert_eq!(arrive("c", b"one berth"), (1, vec![]), "the same body is a duplicate");
}

/// Guards against a first attempt that nothing would keep from running twice: where unexpired keys fill the cache it is
/// rejected before it gets to the controller, and duplicates of those in it are still known.
#[test]
fn a_first_attempt_without_room_for_its_key_is_rejected() {
    let mut bench = bench_with_keys();
    for n in 0..MAX_ENTRIES {
        let id = n.to_string();
        bench.attempt(NOW, &id, 0, &id);
        bench.actor.events.clear();
    }
    let work = bench.work_with_key("more", "more");
    let serial = bench.arrive(NOW, work, 0, b"");
    let rejected = Response::Rejected { retry_after: 0, terminal: false };
    assert_eq!(bench.responses(), [(serial, rejected)]);
    assert!(bench.actor.events.is_empty());
    assert_eq!(bench.attempt(NOW, "again", 0, "0").as_deref(), Some("0"));
}

/// Guards against a key that is given to another request: a name in use, sent again under a new key, is malformed and must
/// leave the key free.
#[test]
fn a_name_in_use_reserves_no_other_key() {
    let mut bench = bench_with_keys();
    bench.attempt(NOW, "a", 0, "k");
    bench.actor.events.clear();
    let work = bench.work_with_key("a", "other");
    let serial = bench.arrive(NOW, work, 0, b"");
    assert_eq!(bench.responses(), [(serial, Response::BadRequest)]);
    assert_eq!(bench.attempt(NOW, "b", 0, "other"), None);
}

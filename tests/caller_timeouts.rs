//! The age of attempts, learned from the timeouts that callers usually state.

mod common;
use common::*;
use umberloom::interface::*;
use umberloom::AdmissionController;

/// Serves this many attempts with this timeout, one after another; returns the time after them.
fn serve_with_timeout(
    controller: &mut AdmissionController,
    from: Micros,
    count: usize,
    timeout: Micros,
) -> Micros {
    for n in 0..count {
        let name = format!("{from}-{n}");
        step(controller, from + n as u64 * 10 * MS, vec![Event::Arrived(arrival(&name, 0, timeout))]);
        step(controller, from + n as u64 * 10 * MS + MS, vec![run_ended(&name, MS)]);
    }
    from + count as u64 * 10 * MS
}

#[test]
fn a_longer_timeout_than_usual_shows_a_later_attempt() {
    let mut controller = controller(default_settings());
    let now = serve_with_timeout(&mut controller, 0, 20, 2_400 * MS);
    // 3.5 s of 6 s are left: the request is 2.5 s old and its objective of 2 s has passed.
    let actions = step(&mut controller, now, vec![Event::Arrived(arrival("old", 0, 3_500 * MS))]);
    assert_eq!(rejection(&actions, "old").map(|r| r.1), Some(true), "{actions:?}");
    let actions = step(&mut controller, now + MS, vec![Event::Arrived(arrival("recent", 0, 5_000 * MS))]);
    assert_eq!(admitted(&actions), ["recent"], "one second old");
}

#[test]
fn timeouts_beyond_the_deadline_are_not_learned() {
    let mut controller = controller(default_settings());
    let now = serve_with_timeout(&mut controller, 0, 20, 600 * SEC);
    let actions = step(&mut controller, now, vec![Event::Arrived(arrival("usual", 0, 5_000 * MS))]);
    assert_eq!(admitted(&actions), ["usual"], "a second old at most: {actions:?}");
}

#[test]
fn a_shorter_timeout_than_usual_shows_earlier_attempts() {
    let mut controller = controller(default_settings());
    let now = serve_with_timeout(&mut controller, 0, 20, 5_000 * MS);
    let actions = step(&mut controller, now, vec![Event::Arrived(arrival("retried", 0, 2_900 * MS))]);
    assert_eq!(rejection(&actions, "retried").map(|r| r.1), Some(true), "2.1 s old: {actions:?}");
}

#[test]
fn a_changed_usual_timeout_is_learned() {
    let mut controller = controller(default_settings());
    let now = serve_with_timeout(&mut controller, 0, 40, 2_400 * MS);
    let now = serve_with_timeout(&mut controller, now, 80, 5_000 * MS);
    let actions = step(&mut controller, now, vec![Event::Arrived(arrival("first", 0, 5_000 * MS))]);
    assert_eq!(admitted(&actions), ["first"], "the earlier timeout is forgotten");
}

#[test]
fn two_usual_timeouts_are_learned() {
    let mut controller = controller(default_settings());
    let mut now = 0;
    for n in 0..60 {
        // The usual timeout of an attempt is 2.4 s; a third of the attempts have the client's whole timeout
        // of 3 s.
        let timeout = if n % 3 == 0 { 3_000 * MS } else { 2_400 * MS };
        now = serve_with_timeout(&mut controller, now, 1, timeout);
    }
    let actions = step(&mut controller, now, vec![Event::Arrived(arrival("client", 0, 3_000 * MS))]);
    assert_eq!(admitted(&actions), ["client"], "not three seconds old: {actions:?}");
    let actions = step(&mut controller, now + MS, vec![Event::Arrived(arrival("old", 0, 3_500 * MS))]);
    assert_eq!(rejection(&actions, "old").map(|r| r.1), Some(true), "2.5 s old: {actions:?}");
}

#[test]
fn timeouts_are_not_learned_behind_the_first_tier() {
    let mut settings = default_settings();
    settings.tier = 1;
    let mut controller = controller(settings);
    let now = serve_with_timeout(&mut controller, 0, 20, 5_000 * MS);
    let actions = step(&mut controller, now, vec![Event::Arrived(arrival("short", 0, 2_500 * MS))]);
    assert_eq!(admitted(&actions), ["short"]);
}

/// Guards against serving requests that are late already: where callers state no timeout, a marked retry
/// counts as old as a request that was rejected here and waited for its Retry-After.
#[test]
fn retries_without_a_timeout_are_as_old_as_rejected_requests() {
    let (mut controller, now) = saturated_controller(default_settings(), 600 * MS);
    let without_timeout = |name: &str, read_delay: Micros, is_retry: bool| {
        Event::Arrived(Arrival { caller_timeout: None, read_delay, is_retry, ..arrival(name, 1, 0) })
    };
    let old = (0..30).map(|n| without_timeout(&format!("o{n}"), 1_900 * MS, false)).collect();
    assert_eq!(rejected(&step(&mut controller, now, old)).len(), 30, "no request has time left");
    let actions = step(
        &mut controller,
        now + MS,
        vec![without_timeout("retry", 0, true), without_timeout("first", 0, false)],
    );
    assert_eq!(rejected(&actions), ["retry"]);
}

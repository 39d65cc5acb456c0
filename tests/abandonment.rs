//! How requests past their latency objective are answered, depending on their idempotency.

mod common;
use common::*;
use umberloom::interface::*;

fn settings_with_idempotency(idempotency: Idempotency) -> Settings {
    let mut settings = default_settings();
    settings.preemption = Preemption::Never;
    settings.classes[0].idempotency = idempotency;
    settings
}

/// Guards against answering an abandoned request only near its deadline, to keep its client from retrying: an
/// idempotent run past its objective is rejected at once with a Retry-After, and preempted where it can be.
#[test]
fn an_idempotent_run_past_its_objective_is_rejected_at_once() {
    let mut controller = controller(default_settings());
    let actions = send(&mut controller, 0, &[("long", 0)]);
    assert_eq!(admitted(&actions), ["long"]);
    let before_objective = step(&mut controller, 2 * SEC - 10 * MS, vec![busy_timer()]);
    assert!(rejection(&before_objective, "long").is_none(), "its objective is 2 s: {before_objective:?}");
    let past_objective = step(&mut controller, 2 * SEC, vec![busy_timer()]);
    let (retry_after, terminal) = rejection(&past_objective, "long").expect("answered at its objective");
    assert!(retry_after > 0 && terminal, "a Retry-After, and no other server: {past_objective:?}");
    assert!(past_objective.contains(&Action::Preempt(id("long"))));
}

/// Guards against rejecting an abandoned run with an idempotency key (its retry would take effect a second
/// time) and against answering it only at its deadline: it is failed at its objective, and its duplicates
/// wait for its result.
#[test]
fn a_keyed_run_past_its_objective_is_failed_and_not_rejected() {
    let mut controller = controller(settings_with_idempotency(Idempotency::WithKey));
    send(&mut controller, 0, &[("write", 0)]);
    let past_objective = step(&mut controller, 2 * SEC, vec![busy_timer()]);
    assert_eq!(failed(&past_objective), ["write"]);
    assert!(rejection(&past_objective, "write").is_none());
    assert!(!past_objective.iter().any(|a| matches!(a, Action::Preempt(_))), "it can't be preempted here");
}

/// Guards against failing a write that is not idempotent while it runs, which invites a second one that can't
/// be recognised as a duplicate: it runs to its end, and is failed only at its deadline.
#[test]
fn a_non_idempotent_run_goes_on_past_its_objective_until_its_deadline() {
    let mut controller = controller(settings_with_idempotency(Idempotency::NotIdempotent));
    send(&mut controller, 0, &[("sale", 0)]);
    let past_objective = step(&mut controller, 3 * SEC, vec![busy_timer()]);
    assert!(
        failed(&past_objective).is_empty() && rejection(&past_objective, "sale").is_none(),
        "{past_objective:?}"
    );
    let at_deadline = step(&mut controller, 6 * SEC - MS, vec![busy_timer()]);
    assert_eq!(failed(&at_deadline), ["sale"]);
}

/// Guards against a duplicate that waits until its deadline: past its objective an answer earns nothing, so
/// it is failed at once. It is never rejected.
#[test]
fn a_duplicate_past_its_objective_is_failed_at_once() {
    let mut controller = controller(settings_with_idempotency(Idempotency::WithKey));
    send(&mut controller, 0, &[("a", 0)]);
    let duplicate = Arrival { duplicate_of: Some(id("a")), ..arrival("b", 0, 6 * SEC) };
    let actions = step(&mut controller, 10 * MS, vec![Event::Arrived(duplicate)]);
    assert!(actions.contains(&Action::AwaitDuplicate(id("b"))), "{actions:?}");
    let before_objective = step(&mut controller, 2 * SEC - 20 * MS, vec![busy_timer()]);
    assert!(failed(&before_objective).is_empty(), "{before_objective:?}");
    let past_objective = step(&mut controller, 2 * SEC + 10 * MS, vec![busy_timer()]);
    assert!(failed(&past_objective).contains(&"b".to_owned()), "{past_objective:?}");
    assert!(rejection(&past_objective, "b").is_none());
}

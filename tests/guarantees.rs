//! The four guarantees: answers in time, no double effects, a clean drain, and survival of overload.

mod common;
use common::*;
use umberloom::interface::*;
use umberloom::AdmissionController;

fn settings_with_classes(change: impl Fn(&mut Class)) -> Settings {
    let mut settings = default_settings();
    settings.classes.iter_mut().for_each(change);
    settings
}

/// Steps every 20 ms up to `until` and returns all actions with their times. Sends no timers, as these might
/// raise the concurrency limit.
fn step_until(controller: &mut AdmissionController, from: Micros, until: Micros) -> Vec<(Micros, Action)> {
    let mut all = Vec::new();
    let mut now = from;
    while now <= until {
        all.extend(step(controller, now, vec![Event::Cancelled(id("nobody"))]).into_iter().map(|a| (now, a)));
        now += 20 * MS;
    }
    all
}

/// Whether this action is a final answer to the named request.
fn is_answer(action: &Action, name: &str) -> bool {
    matches!(action, Action::Fail(id) | Action::Reject { id, .. } if **id == *name)
}

#[test]
fn running_requests_are_answered_by_the_deadline_and_preempted() {
    let settings = settings_with_classes(|c| c.latency_objective = 6 * SEC);
    let mut controller = AdmissionController::new(0, settings).expect("valid settings");
    step(&mut controller, 0, vec![Event::Arrived(arrival("a", 0, 900 * MS))]);
    let all = step_until(&mut controller, 20 * MS, 2 * SEC);
    let answered_at = all.iter().find(|(_, a)| is_answer(a, "a")).expect("an answer").0;
    assert!((800 * MS..=960 * MS).contains(&answered_at), "answered at {answered_at}");
    assert!(all.contains(&(answered_at, Action::Preempt(id("a")))));
    assert_eq!(all.iter().filter(|(_, a)| is_answer(a, "a")).count(), 1, "one answer");
}

#[test]
fn requests_are_answered_by_the_deadline_without_preemption() {
    let mut settings = default_settings();
    settings.preemption = Preemption::Never;
    let mut controller = AdmissionController::new(0, settings).expect("valid settings");
    step(&mut controller, 0, vec![Event::Arrived(arrival("a", 0, 900 * MS))]);
    let all = step_until(&mut controller, 20 * MS, 2 * SEC);
    assert_eq!(all.iter().filter(|(_, a)| is_answer(a, "a")).count(), 1);
    assert!(!all.iter().any(|(_, a)| matches!(a, Action::Preempt(_))));
}

#[test]
fn calling_requests_are_answered_by_the_deadline() {
    let mut settings = settings_with_classes(|c| c.calls_downstream = true);
    settings.downstream = Downstream::Shared;
    let mut controller = AdmissionController::new(0, settings).expect("valid settings");
    step(&mut controller, 0, vec![Event::Arrived(arrival("a", 0, 900 * MS))]);
    let actions = step(&mut controller, 10 * MS, vec![Event::NeedsCall(id("a"))]);
    assert!(actions.iter().any(|a| matches!(a, Action::Call(_, _))));
    let all = step_until(&mut controller, 20 * MS, 2 * SEC);
    let answered_at = all.iter().find(|(_, a)| *a == Action::Fail(id("a"))).expect("an answer").0;
    assert!(answered_at <= 960 * MS);
}

#[test]
fn without_a_caller_timeout_the_class_deadline_counts_from_the_arrival() {
    let settings = settings_with_classes(|c| c.latency_objective = c.deadline);
    let mut controller = AdmissionController::new(10 * SEC, settings).expect("valid settings");
    let late = Arrival { caller_timeout: None, read_delay: 5 * SEC, ..arrival("a", 0, 1) };
    step(&mut controller, 10 * SEC, vec![Event::Arrived(late)]);
    let all = step_until(&mut controller, 10 * SEC + 20 * MS, 12 * SEC);
    let answered_at = all.iter().find(|(_, a)| is_answer(a, "a")).expect("an answer").0;
    assert!((10_900 * MS..=11_060 * MS).contains(&answered_at), "answered at {answered_at}");
}

#[test]
fn arrivals_after_the_drain_grace_never_run() {
    let mut controller = AdmissionController::new(0, default_settings()).expect("valid settings");
    step(&mut controller, 0, vec![Event::Drain { time_left: 20 * SEC, notified_ago: 0 }]);
    let early = Arrival { read_delay: 600 * MS, ..arrival("early", 0, 6 * SEC) };
    let actions = step(
        &mut controller,
        3 * SEC,
        vec![Event::Arrived(early), Event::Arrived(arrival("late", 0, 6 * SEC))],
    );
    assert_eq!(admitted(&actions), ["early"]);
    assert_eq!(rejected(&actions), ["late"]);
}

/// Guards against a drain grace that starts when the host reports the notice instead of at the notice: a host
/// whose agent starts late reports it late.
#[test]
fn the_drain_grace_counts_from_the_notice() {
    let mut controller = AdmissionController::new(0, default_settings()).expect("valid settings");
    step(&mut controller, 10 * SEC, vec![Event::Drain { time_left: 20 * SEC, notified_ago: 2 * SEC }]);
    let early = Arrival { read_delay: 600 * MS, ..arrival("early", 0, 6 * SEC) };
    let late = arrival("late", 0, 6 * SEC);
    let actions = step(&mut controller, 11 * SEC, vec![Event::Arrived(early), Event::Arrived(late)]);
    assert_eq!((admitted(&actions), rejected(&actions)), (vec!["early".to_owned()], vec!["late".to_owned()]));
}

#[test]
fn all_requests_are_answered_before_the_stop() {
    let mut controller = AdmissionController::new(0, default_settings()).expect("valid settings");
    send(&mut controller, 0, &[("a", 0), ("b", 1), ("c", 0)]);
    step(&mut controller, 10 * MS, vec![Event::Drain { time_left: SEC, notified_ago: 0 }]);
    let all: Vec<Action> = step_until(&mut controller, 20 * MS, SEC).into_iter().map(|(_, a)| a).collect();
    let mut answered = failed(&all);
    answered.extend(rejected(&all));
    answered.sort();
    assert_eq!(answered, ["a", "b", "c"]);
    let actions = step(&mut controller, 1_005 * MS, vec![Event::Arrived(arrival("z", 0, 6 * SEC))]);
    assert_eq!(rejected(&actions), ["z"], "a request read just before the stop is rejected at once");
}

#[test]
fn duplicates_of_a_keyed_request_wait_for_its_answer() {
    let settings = settings_with_classes(|c| c.idempotency = Idempotency::WithKey);
    let mut controller = AdmissionController::new(0, settings).expect("valid settings");
    let actions = send(&mut controller, 0, &[("a", 0)]);
    assert!(actions.contains(&Action::RetainKey(id("a"), 5 * SEC)), "its key is retained: {actions:?}");
    let duplicate = Arrival { duplicate_of: Some(id("a")), ..arrival("b", 0, 6 * SEC) };
    let actions = step(&mut controller, 10 * MS, vec![Event::Arrived(duplicate)]);
    assert!(actions.contains(&Action::AwaitDuplicate(id("b"))));
    let later: Vec<Action> =
        step_until(&mut controller, 20 * MS, 7 * SEC).into_iter().map(|(_, a)| a).collect();
    assert!(admitted(&later).is_empty());
    assert!(rejected(&later).is_empty(), "it may share the effect of the other, so it is never rejected");
    assert_eq!(failed(&later), ["a", "b"], "both are answered");
}

/// Guards against a retry that is rejected while draining although its first attempt has run: its caller then
/// had the request run a second time at another server.
#[test]
fn a_keyed_retry_after_the_drain_grace_waits_for_the_answer_of_its_first_attempt() {
    let settings = settings_with_classes(|c| {
        c.idempotency = Idempotency::WithKey;
        c.latency_objective = c.deadline;
    });
    let mut controller = AdmissionController::new(0, settings).expect("valid settings");
    assert_eq!(admitted(&send(&mut controller, 0, &[("a", 0)])), ["a"]);
    step(&mut controller, 10 * MS, vec![Event::Drain { time_left: 4 * SEC, notified_ago: 0 }]);
    let retry = Arrival { duplicate_of: Some(id("a")), ..arrival("b", 0, 6 * SEC) };
    let first = arrival("c", 0, 6 * SEC);
    let actions = step(&mut controller, 2_600 * MS, vec![Event::Arrived(retry), Event::Arrived(first)]);
    assert!(actions.contains(&Action::AwaitDuplicate(id("b"))), "{actions:?}");
    assert_eq!(rejected(&actions), ["c"], "a first attempt after the drain grace is rejected");
    let until_stop: Vec<Action> =
        step_until(&mut controller, 2_620 * MS, 4 * SEC).into_iter().map(|(_, a)| a).collect();
    assert_eq!((admitted(&until_stop), rejected(&until_stop)), (vec![], vec![]));
    assert_eq!(
        failed(&until_stop).len(),
        2,
        "what is not answered is failed before the stop: {until_stop:?}"
    );
}

#[test]
fn the_key_of_a_request_rejected_before_its_run_is_released() {
    let mut settings = settings_with_classes(|c| c.idempotency = Idempotency::WithKey);
    settings.cores = 1;
    let mut controller = controller_with_short_runs(settings);
    send(&mut controller, 0, &[("a", 0), ("b", 0)]);
    let all: Vec<Action> =
        step_until(&mut controller, 20 * MS, 7 * SEC).into_iter().map(|(_, a)| a).collect();
    assert_eq!(rejected(&all), ["b"]);
    assert!(all.contains(&Action::ReleaseKey(id("b"))));
    assert_eq!(failed(&all), ["a"], "a request that ran is failed, not rejected");
    assert!(!all.contains(&Action::ReleaseKey(id("a"))), "its key is retained");
}

#[test]
fn calls_that_may_have_run_are_not_retried_without_idempotency() {
    let mut settings = settings_with_classes(|c| {
        c.idempotency = Idempotency::NotIdempotent;
        c.calls_downstream = true;
    });
    settings.downstream = Downstream::Shared;
    for outcome in
        [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionLost, Outcome::Rejected, Outcome::Unreachable]
    {
        let mut controller = AdmissionController::new(0, settings.clone()).expect("valid settings");
        send(&mut controller, 0, &[("a", 0)]);
        step(&mut controller, 10 * MS, vec![Event::NeedsCall(id("a"))]);
        step(&mut controller, 20 * MS, vec![Event::CallEnded(id("a"), outcome, 10 * MS)]);
        let all = step_until(&mut controller, 40 * MS, SEC);
        let is_retried = all.iter().any(|(_, a)| matches!(a, Action::Call(_, _)));
        assert_eq!(is_retried, outcome.never_ran(), "{outcome:?}");
    }
}

#[test]
fn memory_is_freed_by_rejecting_the_newest_of_the_lowest_level() {
    let mut settings = default_settings();
    settings.memory_kb = 2_000.0;
    let mut controller = controller_with_short_runs(settings);
    // A queued request takes 20 kB, a running one 320 kB.
    let names: Vec<String> = (0..120).map(|n| format!("r{n:03}")).collect();
    let all: Vec<(&str, usize)> = names.iter().enumerate().map(|(n, s)| (s.as_str(), n % 2)).collect();
    let actions = send(&mut controller, 0, &all);
    let rejected_ids = rejected(&actions);
    assert!(!rejected_ids.is_empty());
    assert_eq!(rejected_ids[0], "r118", "the newest of the lower class is rejected first");
    let (running, queued) = (admitted(&actions).len(), 120 - rejected_ids.len() - admitted(&actions).len());
    assert!((running * 320 + queued * 20) as f64 <= 2_000.0);
}

#[test]
fn fewer_requests_run_while_warming_up() {
    let count = |starts_cold: bool| {
        let mut settings = default_settings();
        settings.starts_cold = starts_cold;
        settings.overload_per_core = 4.0;
        let mut controller = controller_with_short_runs(settings);
        let names: Vec<String> = (0..40).map(|n| format!("r{n}")).collect();
        let all: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), 0)).collect();
        let mut running = admitted(&send(&mut controller, 0, &all)).len();
        for reading in 1..4 {
            running += admitted(&step(&mut controller, reading * 500 * MS, vec![idle_timer()])).len();
        }
        running
    };
    // 2 cores x (1 + 3 x 0.2) = 3.2 when just started, 8 when warm.
    assert!(count(true) <= 3, "{} run", count(true));
    assert!(count(false) > 3 && count(false) <= 8, "{} run", count(false));
}

#[test]
fn calls_in_flight_stay_within_the_quota() {
    let mut settings = settings_with_classes(|c| c.calls_downstream = true);
    settings.downstream = Downstream::Shared;
    settings.call_quota = 2.5;
    settings.cores = 6;
    let mut controller = AdmissionController::new(0, settings).expect("valid settings");
    let names = ["a", "b", "c", "d", "e", "f"];
    send(&mut controller, 0, &names.map(|n| (n, 0)));
    let actions = step(&mut controller, MS, names.iter().map(|n| Event::NeedsCall(id(n))).collect());
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Call(_, _))).count(), 2);
    // The dependency may still work on a call that timed out, so it counts as in flight.
    let actions = step(&mut controller, 2 * MS, vec![Event::CallEnded(id("a"), Outcome::TimedOut, MS)]);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Call(_, _))).count(), 0);
    let actions = step(&mut controller, 300 * MS, vec![busy_timer()]);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Call(_, _))).count(), 1);
}

#[test]
fn a_call_quota_under_one_is_kept_in_the_mean() {
    let mut settings = settings_with_classes(|c| c.calls_downstream = true);
    settings.downstream = Downstream::Shared;
    settings.call_quota = 0.5;
    let mut controller = AdmissionController::new(0, settings).expect("valid settings");
    let mut time_in_calls = 0;
    let mut now = 0;
    // There is always one request that needs a call or is at one; each call takes 100 ms.
    for n in 0..400 {
        let name = format!("r{n}");
        step(&mut controller, now, vec![Event::Arrived(arrival(&name, 0, 6 * SEC))]);
        let mut actions = step(&mut controller, now, vec![Event::NeedsCall(id(&name))]);
        while !actions.iter().any(|a| matches!(a, Action::Call(_, _))) && now < 60 * SEC {
            now += 20 * MS;
            actions = step(&mut controller, now, vec![busy_timer()]);
            if failed(&actions).contains(&name) {
                step(&mut controller, now, vec![Event::RunEnded(id(&name), Outcome::Aborted, 0)]);
                break;
            }
        }
        if actions.iter().any(|a| matches!(a, Action::Call(_, _))) {
            now += 100 * MS;
            time_in_calls += 100 * MS;
            step(&mut controller, now, vec![Event::CallEnded(id(&name), Outcome::Ok, 100 * MS)]);
            step(&mut controller, now, vec![run_ended(&name, 100 * MS)]);
        }
    }
    let mean = time_in_calls as f64 / now as f64;
    assert!(mean > 0.15 && mean <= 0.5, "mean calls in flight {mean}");
}

#[test]
fn events_about_unknown_requests_are_ignored() {
    let mut controller = AdmissionController::new(0, default_settings()).expect("valid settings");
    send(&mut controller, 0, &[("a", 0)]);
    step(&mut controller, MS, vec![run_ended("a", MS)]);
    let stale = vec![
        run_ended("a", MS),
        Event::NeedsCall(id("a")),
        Event::CallEnded(id("a"), Outcome::Ok, MS),
        Event::Cancelled(id("a")),
        run_ended("never-seen", MS),
    ];
    let actions = step(&mut controller, 2 * MS, stale);
    assert!(actions.iter().all(|a| matches!(a, Action::WakeAfter(_))), "{actions:?}");
}

#[test]
fn invalid_settings_are_rejected() {
    let invalid_changes: [fn(&mut Settings); 5] = [
        |s| s.cores = 0,
        |s| s.memory_kb = -1.0,
        |s| s.overload_per_core = -2.0,
        |s| s.classes.clear(),
        |s| s.call_quota = f64::NAN,
    ];
    for change in invalid_changes {
        let mut settings = default_settings();
        change(&mut settings);
        assert!(AdmissionController::new(0, settings).is_err());
    }
}

#[test]
fn a_draining_server_is_not_ready() {
    let mut controller = AdmissionController::new(0, default_settings()).expect("valid settings");
    let actions = step(&mut controller, SEC, vec![Event::Drain { time_left: 5 * SEC, notified_ago: 0 }]);
    assert!(actions.contains(&Action::SetReady(false)), "{actions:?}");
}

/// Guards against a call quota of 0 that still allows one call: requests that can skip the call go on without
/// it, and the others are answered.
#[test]
fn a_call_quota_of_zero_allows_no_call() {
    for degraded_weight_share in [0.0, 0.5] {
        let mut settings = settings_with_classes(|c| {
            (c.calls_downstream, c.degraded_weight_share) = (true, degraded_weight_share);
        });
        (settings.downstream, settings.call_quota) = (Downstream::Shared, 0.0);
        let mut controller = AdmissionController::new(0, settings).expect("valid settings");
        send(&mut controller, 0, &[("a", 0)]);
        let mut all = step(&mut controller, MS, vec![Event::NeedsCall(id("a"))]);
        all.extend(step_until(&mut controller, 20 * MS, 7 * SEC).into_iter().map(|(_, action)| action));
        assert!(!all.iter().any(|a| matches!(a, Action::Call(_, _))), "{all:?}");
        let skipped = all.contains(&Action::SkipCall(id("a")));
        assert_eq!(skipped, degraded_weight_share > 0.0);
        let answers = all.iter().filter(|a| is_answer(a, "a")).count();
        assert_eq!(answers, 1, "its run never ends, so it is answered by its deadline: {all:?}");
    }
}

/// Guards against running more requests than a server survives while it is warming up. Here that is as many
/// as there are cores.
#[test]
fn two_cores_warming_up_run_no_more_than_they_survive() {
    let mut settings = default_settings();
    (settings.starts_cold, settings.overload_per_core, settings.warm_up_initial_speed) = (true, 1.5, 0.1);
    let mut controller = controller_with_short_runs(settings);
    let names: Vec<String> = (0..20).map(|n| format!("r{n}")).collect();
    let all: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), 0)).collect();
    let mut running = admitted(&send(&mut controller, 0, &all)).len();
    for reading in 1..6 {
        running += admitted(&step(&mut controller, reading * 500 * MS, vec![idle_timer()])).len();
    }
    // 2 cores x (1 + 0.5 x 0.1) = 2.1 when just started, 2.4 after some seconds.
    assert!((1..=2).contains(&running), "{running} run");
}

/// Guards against overloading a dependency that is small for its fleet: the deadline of a call keeps a quota
/// under one call in the mean even if calls hang.
#[test]
fn the_deadline_of_a_call_respects_a_quota_under_one() {
    let mut settings = settings_with_classes(|c| c.calls_downstream = true);
    (settings.downstream, settings.call_quota) = (Downstream::Shared, 0.2);
    let mut controller = AdmissionController::new(0, settings).expect("valid settings");
    send(&mut controller, 0, &[("a", 0)]);
    // The first call is delayed by a random time, as all servers may have started at once.
    step(&mut controller, 0, vec![Event::NeedsCall(id("a"))]);
    let actions = step_until(&mut controller, 0, 2 * SEC);
    let time_limit = |(now, action): &(Micros, Action)| match action {
        Action::Call(_, deadline) => Some(deadline - now),
        _ => None,
    };
    // Half of a fifth of the window of 5 s, with a margin, less the 0.2 s for which an abandoned call may go
    // on.
    let first = actions.iter().find_map(time_limit);
    assert!(first.is_some_and(|limit| (100 * MS..=300 * MS).contains(&limit)), "{actions:?}");
}

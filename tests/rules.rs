//! The four rules, one guard at a time.

mod common;
use common::*;
use umberloom::interface::*;
use umberloom::AdmissionController;

fn one_class(change: impl Fn(&mut Class)) -> Settings {
    let mut set = settings();
    set.classes.iter_mut().for_each(change);
    set
}

/// Steps until `until`, collecting all actions; no reading, which might raise the limit.
fn wait(server: &mut AdmissionController, from: Micros, until: Micros) -> Vec<(Micros, Action)> {
    let mut all = Vec::new();
    let mut now = from;
    while now <= until {
        all.extend(step(server, now, vec![Event::Cancelled(id("nobody"))]).into_iter().map(|a| (now, a)));
        now += 20 * MS;
    }
    all
}

/// A final answer to the named request: a failure, or a refusal where the run was safe.
fn is_answer(action: &Action, name: &str) -> bool {
    matches!(action, Action::Fail(who) | Action::Reject { id: who, .. } if **who == *name)
}

#[test]
fn running_work_is_answered_by_its_due_time_and_stopped() {
    let set = one_class(|c| c.latency_objective = 6 * SEC);
    let mut server = AdmissionController::new(0, set).expect("sound settings");
    step(&mut server, 0, vec![Event::Arrived(arrival("a", 0, 900 * MS))]);
    let all = wait(&mut server, 20 * MS, 2 * SEC);
    let fail = all.iter().find(|(_, a)| is_answer(a, "a")).expect("an answer").0;
    assert!((800 * MS..=960 * MS).contains(&fail), "answered at {fail}");
    assert!(all.contains(&(fail, Action::Preempt(id("a")))));
    assert_eq!(all.iter().filter(|(_, a)| is_answer(a, "a")).count(), 1, "one answer");
}

#[test]
fn work_that_can_not_be_stopped_is_answered_all_the_same() {
    let mut set = settings();
    set.preemption = Preemption::Never;
    let mut server = AdmissionController::new(0, set).expect("sound settings");
    step(&mut server, 0, vec![Event::Arrived(arrival("a", 0, 900 * MS))]);
    let all = wait(&mut server, 20 * MS, 2 * SEC);
    assert_eq!(all.iter().filter(|(_, a)| is_answer(a, "a")).count(), 1);
    assert!(!all.iter().any(|(_, a)| matches!(a, Action::Preempt(_))));
}

#[test]
fn a_request_at_a_call_is_answered_by_its_due_time() {
    let mut set = one_class(|c| c.calls_downstream = true);
    set.downstream = Downstream::Shared;
    let mut server = AdmissionController::new(0, set).expect("sound settings");
    step(&mut server, 0, vec![Event::Arrived(arrival("a", 0, 900 * MS))]);
    let out = step(&mut server, 10 * MS, vec![Event::NeedsCall(id("a"))]);
    assert!(out.iter().any(|a| matches!(a, Action::Call(_, _))));
    let all = wait(&mut server, 20 * MS, 2 * SEC);
    let fail = all.iter().find(|(_, a)| *a == Action::Fail(id("a"))).expect("an answer").0;
    assert!(fail <= 960 * MS);
}

#[test]
fn without_a_stated_wait_the_deadline_of_the_class_counts_from_the_arrival() {
    let set = one_class(|c| c.latency_objective = c.deadline);
    let mut server = AdmissionController::new(10 * SEC, set).expect("sound settings");
    let late = Arrival { caller_timeout: None, read_delay: 5 * SEC, ..arrival("a", 0, 1) };
    step(&mut server, 10 * SEC, vec![Event::Arrived(late)]);
    let all = wait(&mut server, 10 * SEC + 20 * MS, 12 * SEC);
    let fail = all.iter().find(|(_, a)| is_answer(a, "a")).expect("an answer").0;
    assert!((10_900 * MS..=11_060 * MS).contains(&fail), "answered at {fail}");
}

#[test]
fn what_reached_the_machine_after_the_grace_never_runs() {
    let mut server = AdmissionController::new(0, settings()).expect("sound settings");
    step(&mut server, 0, vec![Event::Drain { time_left: 20 * SEC, notified_ago: 0 }]);
    let early = Arrival { read_delay: 600 * MS, ..arrival("early", 0, 6 * SEC) };
    let out =
        step(&mut server, 3 * SEC, vec![Event::Arrived(early), Event::Arrived(arrival("late", 0, 6 * SEC))]);
    assert_eq!(admitted(&out), ["early"]);
    assert_eq!(refused(&out), ["late"]);
}

/// Guards against a grace that begins anew when a host could tell of the notice only later, as its agent came up late.
#[test]
fn the_grace_counts_from_the_notice_however_late_it_is_told() {
    let mut server = AdmissionController::new(0, settings()).expect("sound settings");
    step(&mut server, 10 * SEC, vec![Event::Drain { time_left: 20 * SEC, notified_ago: 2 * SEC }]);
    let early = Arrival { read_delay: 600 * MS, ..arrival("early", 0, 6 * SEC) };
    let late = arrival("late", 0, 6 * SEC);
    let out = step(&mut server, 11 * SEC, vec![Event::Arrived(early), Event::Arrived(late)]);
    assert_eq!((admitted(&out), refused(&out)), (vec!["early".to_owned()], vec!["late".to_owned()]));
}

#[test]
fn all_is_answered_before_the_stop() {
    let mut server = AdmissionController::new(0, settings()).expect("sound settings");
    send(&mut server, 0, &[("a", 0), ("b", 1), ("c", 0)]);
    step(&mut server, 10 * MS, vec![Event::Drain { time_left: SEC, notified_ago: 0 }]);
    let all: Vec<Action> = wait(&mut server, 20 * MS, SEC).into_iter().map(|(_, a)| a).collect();
    let mut answered = failed(&all);
    answered.extend(refused(&all));
    answered.sort();
    assert_eq!(answered, ["a", "b", "c"]);
    let out = step(&mut server, 1_005 * MS, vec![Event::Arrived(arrival("z", 0, 6 * SEC))]);
    assert_eq!(refused(&out), ["z"], "and what is read in the last moment, at once");
}

#[test]
fn a_repeat_of_a_keyed_request_joins_it() {
    let set = one_class(|c| c.idempotency = Idempotency::WithKey);
    let mut server = AdmissionController::new(0, set).expect("sound settings");
    let out = send(&mut server, 0, &[("a", 0)]);
    assert!(out.contains(&Action::RetainKey(id("a"), 5 * SEC)), "kept while it is here: {out:?}");
    let again = Arrival { duplicate_of: Some(id("a")), ..arrival("b", 0, 6 * SEC) };
    let out = step(&mut server, 10 * MS, vec![Event::Arrived(again)]);
    assert!(out.contains(&Action::AwaitDuplicate(id("b"))));
    let later: Vec<Action> = wait(&mut server, 20 * MS, 7 * SEC).into_iter().map(|(_, a)| a).collect();
    assert!(admitted(&later).is_empty());
    assert!(refused(&later).is_empty(), "it may share an effect, so it is never denied");
    assert_eq!(failed(&later), ["a", "b"], "and both get their answer");
}

#[test]
fn a_keyed_request_refused_before_it_ran_is_forgotten() {
    let mut set = one_class(|c| c.idempotency = Idempotency::WithKey);
    set.cores = 1;
    let mut server = taught(set);
    send(&mut server, 0, &[("a", 0), ("b", 0)]);
    let all: Vec<Action> = wait(&mut server, 20 * MS, 7 * SEC).into_iter().map(|(_, a)| a).collect();
    assert_eq!(refused(&all), ["b"]);
    assert!(all.contains(&Action::ReleaseKey(id("b"))));
    assert_eq!(failed(&all), ["a"], "what ran is failed, not denied");
    assert!(!all.contains(&Action::ReleaseKey(id("a"))), "and stays known");
}

#[test]
fn a_call_that_may_have_run_is_not_made_again_for_unsafe_work() {
    let mut set = one_class(|c| {
        c.idempotency = Idempotency::NotIdempotent;
        c.calls_downstream = true;
    });
    set.downstream = Downstream::Shared;
    for outcome in
        [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionLost, Outcome::Rejected, Outcome::Unreachable]
    {
        let mut server = AdmissionController::new(0, set.clone()).expect("sound settings");
        send(&mut server, 0, &[("a", 0)]);
        step(&mut server, 10 * MS, vec![Event::NeedsCall(id("a"))]);
        step(&mut server, 20 * MS, vec![Event::CallEnded(id("a"), outcome, 10 * MS)]);
        let all = wait(&mut server, 40 * MS, SEC);
        let again = all.iter().any(|(_, a)| matches!(a, Action::Call(_, _)));
        assert_eq!(again, outcome.never_ran(), "{outcome:?}");
    }
}

#[test]
fn memory_is_kept_by_refusing_the_newest_of_the_lowest_level() {
    let mut set = settings();
    set.memory_kb = 2_000.0;
    let mut server = taught(set);
    // Held ones of 20 kB; a running one takes 320 kB.
    let names: Vec<String> = (0..120).map(|n| format!("r{n:03}")).collect();
    let all: Vec<(&str, usize)> = names.iter().enumerate().map(|(n, s)| (s.as_str(), n % 2)).collect();
    let out = send(&mut server, 0, &all);
    let gone = refused(&out);
    assert!(!gone.is_empty());
    assert_eq!(gone[0], "r118", "the newest of the low class goes first");
    let (running, held) = (admitted(&out).len(), 120 - gone.len() - admitted(&out).len());
    assert!((running * 320 + held * 20) as f64 <= 2_000.0);
}

#[test]
fn a_cold_server_survives_a_smaller_crowd() {
    let count = |cold: bool| {
        let mut set = settings();
        set.starts_cold = cold;
        set.overload_per_core = 4.0;
        let mut server = taught(set);
        let names: Vec<String> = (0..40).map(|n| format!("r{n}")).collect();
        let all: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), 0)).collect();
        let mut running = admitted(&send(&mut server, 0, &all)).len();
        for reading in 1..4 {
            running += admitted(&step(&mut server, reading * 500 * MS, vec![idle()])).len();
        }
        running
    };
    // 2 cores x (1 + 3 x 0.2) = 3.2 when just started, 8 when warm.
    assert!(count(true) <= 3, "{} run", count(true));
    assert!(count(false) > 3 && count(false) <= 8, "{} run", count(false));
}

#[test]
fn calls_in_hand_stay_within_the_share() {
    let mut set = one_class(|c| c.calls_downstream = true);
    set.downstream = Downstream::Shared;
    set.call_quota = 2.5;
    set.cores = 6;
    let mut server = AdmissionController::new(0, set).expect("sound settings");
    let names = ["a", "b", "c", "d", "e", "f"];
    send(&mut server, 0, &names.map(|n| (n, 0)));
    let out = step(&mut server, MS, names.iter().map(|n| Event::NeedsCall(id(n))).collect());
    assert_eq!(out.iter().filter(|a| matches!(a, Action::Call(_, _))).count(), 2);
    // One given up lingers in the dependency's hands and keeps its place.
    let out = step(&mut server, 2 * MS, vec![Event::CallEnded(id("a"), Outcome::TimedOut, MS)]);
    assert_eq!(out.iter().filter(|a| matches!(a, Action::Call(_, _))).count(), 0);
    let out = step(&mut server, 300 * MS, vec![busy()]);
    assert_eq!(out.iter().filter(|a| matches!(a, Action::Call(_, _))).count(), 1);
}

#[test]
fn a_share_under_one_is_kept_in_the_mean() {
    let mut set = one_class(|c| c.calls_downstream = true);
    set.downstream = Downstream::Shared;
    set.call_quota = 0.5;
    let mut server = AdmissionController::new(0, set).expect("sound settings");
    let mut busy_for = 0;
    let mut now = 0;
    // Always a request at a call; each call takes 100 ms.
    for n in 0..400 {
        let name = format!("r{n}");
        step(&mut server, now, vec![Event::Arrived(arrival(&name, 0, 6 * SEC))]);
        let mut out = step(&mut server, now, vec![Event::NeedsCall(id(&name))]);
        while !out.iter().any(|a| matches!(a, Action::Call(_, _))) && now < 60 * SEC {
            now += 20 * MS;
            out = step(&mut server, now, vec![busy()]);
            if failed(&out).contains(&name) {
                step(&mut server, now, vec![Event::RunEnded(id(&name), Outcome::Aborted, 0)]);
                break;
            }
        }
        if out.iter().any(|a| matches!(a, Action::Call(_, _))) {
            now += 100 * MS;
            busy_for += 100 * MS;
            step(&mut server, now, vec![Event::CallEnded(id(&name), Outcome::Ok, 100 * MS)]);
            step(&mut server, now, vec![ended(&name, 100 * MS)]);
        }
    }
    let mean = busy_for as f64 / now as f64;
    assert!(mean > 0.15 && mean <= 0.5, "mean calls in hand {mean}");
}

#[test]
fn events_about_what_is_concluded_change_nothing() {
    let mut server = AdmissionController::new(0, settings()).expect("sound settings");
    send(&mut server, 0, &[("a", 0)]);
    step(&mut server, MS, vec![ended("a", MS)]);
    let stale = vec![
        ended("a", MS),
        Event::NeedsCall(id("a")),
        Event::CallEnded(id("a"), Outcome::Ok, MS),
        Event::Cancelled(id("a")),
        ended("never-seen", MS),
    ];
    let out = step(&mut server, 2 * MS, stale);
    assert!(out.iter().all(|a| matches!(a, Action::WakeAfter(_))), "{out:?}");
}

#[test]
fn settings_that_make_no_sense_are_refused() {
    let spoil: [fn(&mut Settings); 5] = [
        |s| s.cores = 0,
        |s| s.memory_kb = -1.0,
        |s| s.overload_per_core = -2.0,
        |s| s.classes.clear(),
        |s| s.call_quota = f64::NAN,
    ];
    for change in spoil {
        let mut set = settings();
        change(&mut set);
        assert!(AdmissionController::new(0, set).is_err());
    }
}

#[test]
fn a_leaving_server_is_not_ready() {
    let mut server = AdmissionController::new(0, settings()).expect("sound settings");
    let out = step(&mut server, SEC, vec![Event::Drain { time_left: 5 * SEC, notified_ago: 0 }]);
    assert!(out.contains(&Action::SetReady(false)), "{out:?}");
}

/// A share of 0 allows no call at all, not one; what can go on without does so, the rest is answered.
#[test]
fn a_share_of_none_makes_no_call() {
    for skip_worth in [0.0, 0.5] {
        let mut set = one_class(|c| (c.calls_downstream, c.degraded_weight_share) = (true, skip_worth));
        (set.downstream, set.call_quota) = (Downstream::Shared, 0.0);
        let mut server = AdmissionController::new(0, set).expect("sound settings");
        send(&mut server, 0, &[("a", 0)]);
        let mut all = step(&mut server, MS, vec![Event::NeedsCall(id("a"))]);
        all.extend(wait(&mut server, 20 * MS, 7 * SEC).into_iter().map(|(_, action)| action));
        assert!(!all.iter().any(|a| matches!(a, Action::Call(_, _))), "{all:?}");
        let skipped = all.contains(&Action::SkipCall(id("a")));
        assert_eq!(skipped, skip_worth > 0.0);
        let answers = all.iter().filter(|a| is_answer(a, "a")).count();
        assert_eq!(answers, 1, "its run never ends here, so it is answered in time: {all:?}");
    }
}

/// Two cores near the floor of the crowd, cold: the cores themselves may always run, and no more.
#[test]
fn two_cold_cores_with_the_least_crowd_run_no_more_than_they_survive() {
    let mut set = settings();
    (set.starts_cold, set.overload_per_core, set.warm_up_initial_speed) = (true, 1.5, 0.1);
    let mut server = taught(set);
    let names: Vec<String> = (0..20).map(|n| format!("r{n}")).collect();
    let all: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), 0)).collect();
    let mut running = admitted(&send(&mut server, 0, &all)).len();
    for reading in 1..6 {
        running += admitted(&step(&mut server, reading * 500 * MS, vec![idle()])).len();
    }
    // 2 cores x (1 + 0.5 x 0.1) = 2.1 when just started, 2.4 after some seconds.
    assert!((1..=2).contains(&running), "{running} run");
}

/// Guards a dependency that did not grow with the fleet: calls that hang keep a small share in the mean too.
#[test]
fn a_hanging_call_is_given_up_within_a_share_under_one() {
    let mut set = one_class(|c| c.calls_downstream = true);
    (set.downstream, set.call_quota) = (Downstream::Shared, 0.2);
    let mut server = AdmissionController::new(0, set).expect("sound settings");
    send(&mut server, 0, &[("a", 0)]);
    // The first one waits for a moment that each server draws by itself: all may have started at once.
    step(&mut server, 0, vec![Event::NeedsCall(id("a"))]);
    let out = wait(&mut server, 0, 2 * SEC);
    let call = |(now, action): &(Micros, Action)| match action {
        Action::Call(_, until) => Some(until - now),
        _ => None,
    };
    // Half of a fifth of 5 s, with some room, less the 0.2 s for which it may linger.
    let lasts = out.iter().find_map(call);
    assert!(lasts.is_some_and(|lasts| (100 * MS..=300 * MS).contains(&lasts)), "{out:?}");
}

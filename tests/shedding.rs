//! Load shedding: which requests are rejected early, with which Retry-After, and which rejections are
//! terminal.

mod common;
use common::*;
use umberloom::interface::*;
use umberloom::AdmissionController;

#[test]
fn arrivals_with_too_long_a_wait_are_rejected_at_once() {
    let (mut controller, now) = saturated_controller(default_settings(), 600 * MS);
    // The spare time is 1.4 s, a quarter of it 0.35 s; the first would wait for 0.3 s, the second for 0.6 s.
    let actions = send(&mut controller, now, &[("first", 0), ("second", 0)]);
    assert_eq!(rejected(&actions), ["second"]);
    let (retry_after, terminal) = rejection(&actions, "second").expect("rejected");
    assert!(retry_after > 0 && !terminal, "another server may have room");
}

#[test]
fn requests_wait_only_for_the_same_or_higher_levels() {
    let (mut controller, now) = saturated_controller(default_settings(), 600 * MS);
    let actions = send(&mut controller, now, &[("low", 0), ("high", 1)]);
    assert_eq!(rejected(&actions), ["low"], "the request of the lower level would wait for the other");
}

#[test]
fn requests_of_higher_levels_may_wait_longer() {
    let queued = |level: usize| {
        let mut settings = default_settings();
        settings.classes = vec![class(1.0), class(2.0), class(5.0)];
        let (mut controller, now) = saturated_controller(settings, 480 * MS);
        let events = (0..20).map(|n| {
            let rank = [0.1, 0.5, 0.9][level];
            Event::Arrived(Arrival { rank, ..arrival(&format!("r{n}"), level, 6 * SEC) })
        });
        20 - rejected(&step(&mut controller, now, events.collect())).len()
    };
    let counts = [queued(0), queued(1), queued(2)];
    assert!(counts[0] < counts[1] && counts[1] < counts[2], "{counts:?}");
}

#[test]
fn queued_requests_that_can_not_meet_the_objective_are_rejected_before_it() {
    let (mut controller, now) = saturated_controller(default_settings(), 600 * MS);
    send(&mut controller, now, &[("queued", 0)]);
    let mut rejected_after = None;
    for tick in 1..120 {
        let at = now + tick * 20 * MS;
        // Any event but a timer, which might raise the concurrency limit.
        let actions = step(&mut controller, at, vec![Event::Cancelled(id("nobody"))]);
        if rejected(&actions).contains(&"queued".to_string()) {
            rejected_after = Some(at - now);
            break;
        }
    }
    let after = rejected_after.expect("rejected");
    assert!(after < 2 * SEC - 500 * MS, "rejected after {after}, not before the objective of 2 s less a run");
}

#[test]
fn an_idle_server_runs_requests_that_are_expected_to_end_too_late() {
    let mut settings = default_settings();
    settings.classes.iter_mut().for_each(|c| c.latency_objective = 6 * SEC);
    let mut controller = controller(settings);
    send(&mut controller, 0, &[("slow", 0)]);
    step(&mut controller, 5_900 * MS, vec![run_ended("slow", 5_900 * MS)]);
    let actions = step(&mut controller, 6 * SEC, vec![Event::Arrived(arrival("next", 0, SEC))]);
    assert_eq!(admitted(&actions), ["next"], "else it would never learn that it is fast again");
}

#[test]
fn hung_runs_raise_the_expected_run_time() {
    let (mut controller, now) = saturated_controller(default_settings(), 200 * MS);
    // Both running requests hang until they are abandoned at their objective, and so do the requests after
    // them.
    for round in 0..4 {
        let at = now + round * 2 * SEC;
        for tick in 1..=100 {
            step(&mut controller, at + tick * 20 * MS, vec![busy_timer()]);
        }
        let (a, b) = (format!("h{round}"), format!("i{round}"));
        send(&mut controller, at + 2 * SEC, &[(&a, 0), (&b, 1)]);
    }
    let actions = send(&mut controller, now + 8_100 * MS, &[("x", 0), ("y", 0), ("z", 0)]);
    assert_eq!(rejected(&actions).len(), 3, "no request is admitted or queued behind hung runs: {actions:?}");
}

#[test]
fn a_new_server_queues_few_requests() {
    let mut controller = controller(default_settings());
    let names: Vec<String> = (0..20).map(|n| format!("r{n}")).collect();
    let all: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), 0)).collect();
    let actions = send(&mut controller, 0, &all);
    assert_eq!(admitted(&actions).len(), 2);
    let queued = 20 - 2 - rejected(&actions).len();
    assert!((1..6).contains(&queued), "{queued} are queued");
}

/// A controller that has learned run times of `run_time` for the lower class, with idle cores, and the time.
fn controller_with_idle_cores(run_time: Micros) -> (AdmissionController, Micros) {
    let (mut controller, mut now) = (controller(default_settings()), 0);
    for n in 0..8 {
        let name = format!("a{n}");
        send(&mut controller, now, &[(&name, 0)]);
        now += run_time;
        step(&mut controller, now, vec![run_ended(&name, run_time), idle_timer()]);
    }
    (controller, now)
}

/// Guards against rejecting a request for its wait although it can start at once on an idle core: a run that
/// is expected to take about as long as its objective has no spare time, so any wait seemed too long.
#[test]
fn requests_that_can_start_at_once_are_not_rejected_for_their_wait() {
    let (mut controller, now) = controller_with_idle_cores(1_900 * MS);
    let actions = send(&mut controller, now, &[("x", 0), ("y", 0)]);
    assert!(rejected(&actions).is_empty(), "two cores are free: {actions:?}");
    assert_eq!(admitted(&actions), ["x", "y"]);
}

/// Guards against starting runs that are already expected to end too late, which happens even under little
/// load where half of the servers are slow: a slow server must reject a request that is expected to take
/// longer than its objective at once, although a core is free.
#[test]
fn requests_that_would_end_too_late_are_rejected_though_a_core_is_free() {
    let (mut controller, now) = controller_with_idle_cores(2_100 * MS);
    let actions = send(&mut controller, now, &[("x", 0), ("y", 0)]);
    assert_eq!(
        admitted(&actions),
        ["x"],
        "an idle server runs one, else it would never learn that it is fast again"
    );
    assert_eq!(
        rejection(&actions, "y").map(|(_, terminal)| terminal),
        Some(false),
        "another server may serve it in time"
    );
}

/// Guards against rejecting requests early where their next attempt would cost a connection.
#[test]
fn requests_of_new_callers_may_wait_while_they_can_meet_the_objective() {
    let (mut controller, now) = saturated_controller(default_settings(), 600 * MS);
    step(&mut controller, now, vec![run_ended("run0", 600 * MS), run_ended("run1", 600 * MS)]);
    for n in 0..30 {
        step(&mut controller, now, vec![new_caller_arrival(n)]);
        step(&mut controller, now, vec![run_ended(&format!("s{n}"), 600 * MS)]);
    }
    send(&mut controller, now, &[("a", 0), ("b", 1)]);
    // They would wait for 0.3 s and 0.6 s of the 1.4 s to spare; with known callers the second would be
    // rejected.
    let actions = send(&mut controller, now, &[("first", 0), ("second", 0)]);
    assert!(rejected(&actions).is_empty(), "{actions:?}");
}

#[test]
fn rejections_are_terminal_while_many_arrivals_are_retries() {
    let (mut controller, now) = saturated_controller(default_settings(), 600 * MS);
    let retry =
        |n: usize| Event::Arrived(Arrival { is_retry: true, ..arrival(&format!("t{n}"), 0, 6 * SEC) });
    let actions = step(&mut controller, now, (0..12).map(retry).collect());
    assert_eq!(rejection(&actions, "t11").map(|r| r.1), Some(true));
    // With first attempts the share of retries falls within some arrivals.
    let first_attempt = |n: usize| Event::Arrived(arrival(&format!("f{n}"), 0, 6 * SEC));
    let actions = step(&mut controller, now + MS, (0..30).map(first_attempt).collect());
    assert_eq!(rejection(&actions, "f29").map(|r| r.1), Some(false));
}

/// Guards against requests that go from server to server, where each attempt costs a new connection and is
/// read again.
#[test]
fn rejections_of_new_callers_are_terminal_where_connections_cost() {
    let (mut controller, now) = saturated_controller(default_settings(), 600 * MS);
    let actions = step(&mut controller, now, (0..12).map(new_caller_arrival).collect());
    assert_eq!(rejection(&actions, "s11").map(|r| r.1), Some(true));
    let known_caller_arrival = |n: u64| Event::Arrived(arrival(&format!("f{n}"), 0, 6 * SEC));
    let actions = step(&mut controller, now + MS, (0..30).map(known_caller_arrival).collect());
    assert_eq!(rejection(&actions, "f29").map(|r| r.1), Some(false), "known callers have a connection");
    let (mut controller, now) =
        saturated_controller(Settings { connection_cost: 0.0, ..default_settings() }, 600 * MS);
    let actions = step(&mut controller, now, (0..12).map(new_caller_arrival).collect());
    assert_eq!(rejection(&actions, "s11").map(|r| r.1), Some(false));
}

/// Guards against a caller that counts as known for ever: one that has been away for longer than connections
/// stay open needs a new connection.
#[test]
fn callers_become_new_again_after_the_idle_timeout() {
    let (mut controller, now) = saturated_controller(default_settings(), 600 * MS);
    let mut last_is_terminal = |at: Micros, name: &str, callers: u64| {
        let from =
            |n: u64| Arrival { caller: 100 + n % callers, ..arrival(&format!("{name}{n}"), 0, 6 * SEC) };
        let actions = step(&mut controller, at, (0..48).map(|n| Event::Arrived(from(n))).collect());
        rejection(&actions, &format!("{name}47")).map(|r| r.1)
    };
    assert_eq!(last_is_terminal(now, "new", 48), Some(true));
    assert_eq!(last_is_terminal(now + SEC, "known", 48), Some(false));
    assert_eq!(last_is_terminal(now + 40 * SEC, "away", 48), Some(true));
}

/// Guards against a Retry-After that makes the retry late: it is a quarter of the spare time at most.
#[test]
fn retry_after_leaves_time_for_the_retry() {
    let (mut controller, now) = saturated_controller(default_settings(), 600 * MS);
    let actions = send(&mut controller, now, &[("a", 1), ("b", 1), ("c", 0)]);
    let (retry_after, _) = rejection(&actions, "c").expect("would wait too long");
    // The wait queue empties in 0.6 s. The spare time is 2 s less a run of 0.6 s, and a quarter of it 0.35 s.
    assert!((300 * MS..=350 * MS).contains(&retry_after), "{retry_after}");
    // Without spare time the Retry-After is the time in which the wait queue empties.
    let old = Event::Arrived(Arrival { read_delay: 1_900 * MS, ..arrival("d", 1, 6 * SEC) });
    let actions = step(&mut controller, now + MS, vec![old]);
    assert!(rejection(&actions, "d").expect("no time").0 >= 590 * MS, "{actions:?}");
}

/// Guards against a rejection without a Retry-After: with a short wait queue it would be a few milliseconds
/// or none, and callers that honour it would retry at once.
#[test]
fn every_rejection_has_a_retry_after() {
    let (mut controller, now) = saturated_controller(default_settings(), 50 * MS);
    let actions = step(&mut controller, now, vec![Event::Arrived(arrival("late", 0, 10 * MS))]);
    let (retry_after, _) = rejection(&actions, "late").expect("no time for it: {actions:?}");
    assert!((100 * MS..=SEC).contains(&retry_after), "retry after {retry_after}");
}

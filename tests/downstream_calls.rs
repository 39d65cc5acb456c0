//! Downstream calls: retries, probes, degraded answers and the limit on calls in flight.

mod common;
use common::*;
use umberloom::interface::*;
use umberloom::AdmissionController;

fn settings_with_calls(degraded_weight_share: f64) -> Settings {
    let mut settings = default_settings();
    settings.downstream = Downstream::Shared;
    settings.classes.iter_mut().for_each(|c| {
        c.calls_downstream = true;
        c.degraded_weight_share = degraded_weight_share;
    });
    settings
}

#[test]
fn calls_to_a_failed_dependency_are_skipped_and_probed() {
    let mut controller = controller(settings_with_calls(0.4));
    let mut now = 0;
    for n in 0..3 {
        let name = format!("r{n}");
        send(&mut controller, now, &[(&name, 0)]);
        step(&mut controller, now + MS, vec![Event::NeedsCall(id(&name))]);
        step(&mut controller, now + 2 * MS, vec![Event::CallEnded(id(&name), Outcome::Unreachable, MS)]);
        step(&mut controller, now + 3 * MS, vec![run_ended(&name, MS)]);
        now += 5 * MS;
    }
    send(&mut controller, now, &[("skips", 0)]);
    let actions = step(&mut controller, now + MS, vec![Event::NeedsCall(id("skips"))]);
    assert!(actions.contains(&Action::SkipCall(id("skips"))), "{actions:?}");
    send(&mut controller, now + 300 * MS, &[("probe", 0)]);
    let actions = step(&mut controller, now + 301 * MS, vec![Event::NeedsCall(id("probe"))]);
    assert!(actions.iter().any(|a| matches!(a, Action::Call(r, _) if *r == id("probe"))), "{actions:?}");
    step(
        &mut controller,
        now + 302 * MS,
        vec![Event::CallEnded(id("probe"), Outcome::Ok, MS), run_ended("skips", MS)],
    );
    send(&mut controller, now + 303 * MS, &[("next", 0)]);
    let actions = step(&mut controller, now + 304 * MS, vec![Event::NeedsCall(id("next"))]);
    assert!(
        actions.iter().any(|a| matches!(a, Action::Call(_, _))),
        "one success allows calls again: {actions:?}"
    );
}

#[test]
fn a_dependency_that_rejects_calls_is_not_down() {
    let mut controller = controller(settings_with_calls(0.4));
    for n in 0..4u64 {
        let (name, now) = (format!("r{n}"), 5 * n * MS);
        send(&mut controller, now, &[(&name, 0)]);
        let actions = step(&mut controller, now + MS, vec![Event::NeedsCall(id(&name))]);
        assert!(
            actions.iter().any(|a| matches!(a, Action::Call(r, _) if *r == id(&name))),
            "{n}: {actions:?}"
        );
        let actions =
            step(&mut controller, now + 2 * MS, vec![Event::CallEnded(id(&name), Outcome::Rejected, MS)]);
        // The call is attempted again after the backoff.
        assert!(!actions.contains(&Action::SkipCall(id(&name))), "{n}: {actions:?}");
        step(&mut controller, now + 3 * MS, vec![run_ended(&name, MS)]);
    }
}

#[test]
fn an_aborted_call_to_several_services_does_not_stop_other_calls() {
    let mut settings = settings_with_calls(0.0);
    settings
        .classes
        .iter_mut()
        .for_each(|c| (c.latency_objective, c.idempotency) = (6 * SEC, Idempotency::NotIdempotent));
    let mut controller = controller(settings);
    for (from, outcome, expects_call) in [(0, Outcome::Aborted, true), (10, Outcome::Error, false)] {
        for n in from..from + 4 {
            let name = format!("{outcome:?}{n}");
            step(&mut controller, n * MS, vec![Event::Arrived(arrival(&name, 0, 6 * SEC))]);
            step(&mut controller, n * MS, vec![Event::NeedsCall(id(&name))]);
            step(&mut controller, n * MS, vec![Event::CallEnded(id(&name), outcome, MS)]);
            step(&mut controller, n * MS, vec![Event::RunEnded(id(&name), Outcome::Aborted, MS)]);
        }
        let name = format!("after {outcome:?}");
        step(&mut controller, (from + 5) * MS, vec![Event::Arrived(arrival(&name, 0, 6 * SEC))]);
        let actions = step(&mut controller, (from + 5) * MS, vec![Event::NeedsCall(id(&name))]);
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Call(..))), expects_call, "{outcome:?}");
        step(&mut controller, (from + 6) * MS, vec![Event::RunEnded(id(&name), Outcome::Aborted, MS)]);
    }
}

#[test]
fn the_deadline_of_a_call_leaves_time_for_another() {
    let mut controller = controller(settings_with_calls(0.4));
    send(&mut controller, 0, &[("a", 0)]);
    let actions = step(&mut controller, MS, vec![Event::NeedsCall(id("a"))]);
    let call_deadline = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Call(_, deadline) = a { Some(*deadline) } else { None })
    };
    // The latency objective is 2 s.
    let first = call_deadline(&actions).expect("a call");
    assert!(first < SEC, "{first}");
    step(&mut controller, first, vec![Event::CallEnded(id("a"), Outcome::TimedOut, first)]);
    let actions = step(&mut controller, first + 100 * MS, vec![busy_timer()]);
    assert!(call_deadline(&actions).is_some_and(|second| second < 1_600 * MS), "{actions:?}");
}

#[test]
fn a_required_call_is_retried_and_then_failed() {
    let mut controller = controller(settings_with_calls(0.0));
    send(&mut controller, 0, &[("a", 0)]);
    step(&mut controller, MS, vec![Event::NeedsCall(id("a"))]);
    let (mut calls, mut failures, mut now) = (1, 0, MS);
    while now < 3 * SEC && failures == 0 {
        now += 20 * MS;
        let mut events = vec![busy_timer()];
        if calls > 0 {
            events.push(Event::CallEnded(id("a"), Outcome::Rejected, MS));
        }
        let actions = step(&mut controller, now, events);
        calls += actions.iter().filter(|a| matches!(a, Action::Call(_, _))).count();
        failures += failed(&actions).len();
    }
    assert_eq!((calls, failures), (3, 1));
}

#[test]
fn the_typical_call_time_decays_while_no_call_is_made() {
    let mut settings = settings_with_calls(0.0);
    settings.classes.iter_mut().for_each(|c| c.latency_objective = 400 * MS);
    let mut controller = controller(settings);
    let mut calls = 0;
    for n in 0..60 {
        let (now, name) = (n * 200 * MS, format!("a{n}"));
        step(&mut controller, now, vec![Event::Arrived(arrival(&name, 0, SEC)), busy_timer()]);
        let actions = step(&mut controller, now + MS, vec![Event::NeedsCall(id(&name))]);
        let called = actions.iter().any(|a| matches!(a, Action::Call(..)));
        // For two seconds a call takes longer than any request has time for, then 20 ms.
        let call_time = if now < 2 * SEC { 900 * MS } else { 20 * MS };
        calls += u32::from(called && now >= 10 * SEC);
        if called {
            step(&mut controller, now + 20 * MS, vec![Event::CallEnded(id(&name), Outcome::Ok, call_time)]);
        }
        step(&mut controller, now + 40 * MS, vec![run_ended(&name, 40 * MS)]);
    }
    assert_eq!(calls, 10, "calls in the last two seconds");
}

#[test]
fn call_times_that_span_a_stall_are_not_learned() {
    let mut settings = settings_with_calls(0.0);
    settings.classes.iter_mut().for_each(|c| c.latency_objective = 400 * MS);
    let mut controller = controller(settings);
    let makes_call = |controller: &mut AdmissionController, now: Micros, name: &str| {
        step(controller, now, vec![Event::Arrived(arrival(name, 0, SEC))]);
        let actions = step(controller, now, vec![Event::NeedsCall(id(name))]);
        actions.iter().any(|a| matches!(a, Action::Call(..)))
    };
    for n in 0..20 {
        let (now, name) = (n * 100 * MS, format!("a{n}"));
        assert!(makes_call(&mut controller, now, &name));
        step(&mut controller, now + 20 * MS, vec![Event::CallEnded(id(&name), Outcome::Ok, 20 * MS)]);
        step(&mut controller, now + 40 * MS, vec![run_ended(&name, 40 * MS)]);
    }
    assert!(makes_call(&mut controller, 2 * SEC, "stalled"));
    let call_ended = Event::CallEnded(id("stalled"), Outcome::Ok, 10 * SEC);
    step(&mut controller, 12 * SEC, vec![call_ended]);
    assert!(makes_call(&mut controller, 12 * SEC + 10 * MS, "next"), "the typical call time has not changed");
}

#[test]
fn the_call_limit_stays_above_a_share_of_the_quota() {
    let mut settings = settings_with_calls(0.0);
    (settings.cores, settings.call_quota) = (6, 24.0);
    settings.classes.iter_mut().for_each(|c| c.latency_objective = 6 * SEC);
    let mut controller = controller(settings);
    let mut now = 0;
    for round in 0..60 {
        let call_time = if round < 10 { 20 * MS } else { 200 * MS };
        let names: Vec<String> = (0..4).map(|i| format!("c{round}-{i}")).collect();
        step(&mut controller, now, names.iter().map(|n| Event::Arrived(arrival(n, 0, 6 * SEC))).collect());
        let actions = step(&mut controller, now, names.iter().map(|n| Event::NeedsCall(id(n))).collect());
        let calls = actions.iter().filter(|a| matches!(a, Action::Call(_, _))).count();
        assert_eq!(calls, 4, "round {round}");
        now += call_time;
        let ended = |n: &String| [Event::CallEnded(id(n), Outcome::Ok, call_time), run_ended(n, call_time)];
        step(&mut controller, now, names.iter().flat_map(ended).collect());
    }
}

#[test]
fn the_call_limit_falls_with_slow_calls_and_recovers() {
    let mut settings = settings_with_calls(0.0);
    settings.cores = 6;
    settings.classes.iter_mut().for_each(|c| c.latency_objective = 6 * SEC);
    let mut controller = controller(settings);
    let (mut now, mut n) = (0, 0);
    let mut round = |controller: &mut AdmissionController, call_time: Micros| {
        let names: Vec<String> = (0..5).map(|i| format!("c{n}-{i}")).collect();
        n += 1;
        let events = names.iter().map(|name| Event::Arrived(arrival(name, 0, 6 * SEC))).collect();
        step(controller, now, events);
        let mut actions =
            step(controller, now, names.iter().map(|name| Event::NeedsCall(id(name))).collect());
        let mut max_in_flight = 0;
        // All calls in flight end together, until all five requests have made theirs.
        loop {
            let called: Vec<RequestId> = actions
                .iter()
                .filter_map(|a| if let Action::Call(r, _) = a { Some(r.clone()) } else { None })
                .collect();
            if called.is_empty() {
                break;
            }
            max_in_flight = max_in_flight.max(called.len());
            now += call_time;
            actions = step(
                controller,
                now,
                called.into_iter().map(|r| Event::CallEnded(r, Outcome::Ok, call_time)).collect(),
            );
        }
        step(controller, now, names.iter().map(|name| run_ended(name, MS)).collect());
        max_in_flight
    };
    let before = (0..10).map(|_| round(&mut controller, 20 * MS)).max();
    let while_slow = (0..20).map(|_| round(&mut controller, 200 * MS)).last();
    let after = (0..80).map(|_| round(&mut controller, 20 * MS)).last();
    assert_eq!(before, Some(5));
    assert_eq!(while_slow, Some(1));
    assert_eq!(after, Some(5));
}

#[test]
fn requests_without_calls_start_while_calls_hang() {
    let mut settings = settings_with_calls(0.0);
    settings.classes[1].calls_downstream = false;
    settings.classes.iter_mut().for_each(|c| c.latency_objective = 6 * SEC);
    let mut controller = controller_with_short_runs(settings);
    let mut started = Vec::new();
    for n in 0..20 {
        let name = format!("c{n}");
        let actions = send(&mut controller, n * MS, &[(&name, 0)]);
        started.extend(admitted(&actions));
        step(&mut controller, n * MS, vec![Event::NeedsCall(id(&name))]);
    }
    assert_eq!(started.len(), 8, "four requests per core are at calls");
    let actions = send(&mut controller, 30 * MS, &[("free", 1)]);
    assert_eq!(admitted(&actions), ["free"]);
}

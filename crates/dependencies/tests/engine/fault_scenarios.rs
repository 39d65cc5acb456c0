//! Scenarios of faults in dependencies. Each test fails without the protection that it covers.

use std::cell::Cell;
use std::rc::Rc;

use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::breaker::BreakerState;
use umberloom_dependencies::config::{
    Config, DependencyConfig, Fallback, HedgePolicy, LimitBounds, LoadBalancerConfig, RetryPolicy,
    SharedCapacity,
};

use umberloom_dependencies::{Action, PlanRequest};

use super::simulated_host::{call, config, describe_parts, plan, stage, SimulatedHost, StartedAttempt, MS};

const NEVER: Micros = Micros::MAX;

/// Creates a host with three dependencies of one endpoint each, which are called in three stages: the first
/// two are required, the last is optional.
fn three_stages(script: impl FnMut(&StartedAttempt) -> (Micros, Outcome) + 'static) -> SimulatedHost {
    let dependencies = ["a", "b", "c"].map(|name| DependencyConfig::new(name, &[&format!("{name}1")]));
    let stages = ["a", "b", "c"].map(|name| stage(vec![call(name, name != "c")]));
    SimulatedHost::new(config(dependencies.into(), vec![plan("book", stages.into())]), script)
}

#[test]
fn slowest_call_of_a_stage_cannot_take_the_time_of_later_stages() {
    for slow in ["a", "b", "c"] {
        let mut host =
            three_stages(move |call| (if call.dependency == slow { NEVER } else { 5 * MS }, Outcome::Ok));
        host.start_plan(1, "book", 300 * MS);
        let end = host.run_until_end_of(1);
        let expected = match slow {
            // A required call may take twice the time of its stage, after which the plan fails.
            "a" => (200 * MS, "Aborted"),
            "b" => (300 * MS, "Aborted"),
            _ => (300 * MS, "a: fresh, b: fresh, c: DeadlineExceeded"),
        };
        assert_eq!((end.at, describe_parts(&end).as_str()), expected);
    }
}

#[test]
fn required_call_is_extended_but_not_into_the_time_of_later_required_stages() {
    let slow = Rc::new(Cell::new(false));
    let is_slow = slow.clone();
    let mut host = three_stages(move |call| match call.dependency.as_str() {
        "a" if is_slow.get() => (NEVER, Outcome::Ok),
        "a" => (5 * MS, Outcome::Ok),
        _ => (120 * MS, Outcome::Ok),
    });
    host.start_plan(1, "book", 600 * MS);
    assert_eq!(describe_parts(&host.run_until_end_of(1)), "a: fresh, b: fresh, c: fresh");
    // The second stage has been seen to take 120 ms, which the first stage must leave to it.
    slow.set(true);
    let from = host.now;
    host.start_plan(2, "book", 300 * MS);
    assert_eq!(host.run_until_end_of(2).at - from, 180 * MS);
}

#[test]
fn unspent_time_passes_to_later_stages() {
    let mut host =
        three_stages(|call| (if call.dependency == "c" { 250 * MS } else { 10 * MS }, Outcome::Ok));
    host.start_plan(1, "book", 300 * MS);
    assert_eq!(describe_parts(&host.run_until_end_of(1)), "a: fresh, b: fresh, c: fresh");
}

#[test]
fn two_failures_at_once_end_the_plan_as_early_as_they_allow() {
    let dependencies = ["a", "b", "c"].map(|name| DependencyConfig::new(name, &[&format!("{name}1")]));
    let calls = vec![call("a", true), call("b", false), call("c", false)];
    let all = config(dependencies.into(), vec![plan("book", vec![stage(calls)])]);
    // Two optional calls fail: the response is partial, and comes as soon as the slower of them has ended.
    let fails = |call: &StartedAttempt, which: &str| which.contains(call.dependency.as_str());
    let mut host = SimulatedHost::new(all.clone(), move |call| match fails(call, "bc") {
        true => (30 * MS, Outcome::Error),
        false => (5 * MS, Outcome::Ok),
    });
    host.start_plan(1, "book", 300 * MS);
    let end = host.run_until_end_of(1);
    assert_eq!((end.at, describe_parts(&end).as_str()), (30 * MS, "a: fresh, b: Failed, c: Failed"));
    // A required and an optional call fail: the plan fails at once, and the calls in flight are cancelled.
    let mut host = SimulatedHost::new(all, move |call| match call.dependency.as_str() {
        "a" => (5 * MS, Outcome::Error),
        "b" => (30 * MS, Outcome::Error),
        _ => (NEVER, Outcome::Ok),
    });
    host.start_plan(1, "book", 300 * MS);
    let end = host.run_until_end_of(1);
    assert_eq!((end.at, end.outcome), (5 * MS, Outcome::Aborted));
    assert_eq!(host.engine.in_flight(), (0, 0));
}

#[test]
fn failed_optional_call_does_not_end_a_slow_required_one() {
    let dependencies = ["a", "b"].map(|name| DependencyConfig::new(name, &[&format!("{name}1")]));
    let stages = vec![stage(vec![call("a", true), call("b", false)])];
    let mut host = SimulatedHost::new(config(dependencies.into(), vec![plan("book", stages)]), |call| {
        if call.dependency == "a" {
            (200 * MS, Outcome::Ok)
        } else {
            (MS, Outcome::ConnectionLost)
        }
    });
    host.start_plan(1, "book", 300 * MS);
    let end = host.run_until_end_of(1);
    assert_eq!((end.at, describe_parts(&end).as_str()), (200 * MS, "a: fresh, b: ConnectionLost"));
}

#[test]
fn reply_just_after_the_stage_deadline_changes_nothing() {
    // The host reports the end of an attempt that was cancelled a microsecond earlier.
    let mut host = three_stages(|call| (if call.dependency == "a" { 200 * MS + 1 } else { MS }, Outcome::Ok));
    host.start_plan(1, "book", 300 * MS);
    let end = host.run_until_end_of(1);
    assert_eq!((end.at, end.outcome), (200 * MS, Outcome::Aborted));
    host.run_until(400 * MS);
    assert_eq!(host.ended_plan(1).map(|e| e.at), Some(200 * MS));
    assert_eq!(host.engine.in_flight(), (0, 0));
}

#[test]
fn reply_for_a_cancelled_plan_changes_nothing() {
    let mut host = three_stages(|_| (10 * MS, Outcome::Ok));
    host.start_plan(1, "book", 300 * MS);
    host.run_until(5 * MS);
    host.cancel_plan(1);
    host.run_until(400 * MS);
    assert!(host.ended_plan(1).is_none());
    assert_eq!((host.started.len(), host.engine.in_flight()), (1, (0, 0)));
}

fn one_call_plan(dependency: DependencyConfig, required: bool) -> Config {
    let stages = vec![stage(vec![call(&dependency.name, required)])];
    config(vec![dependency], vec![plan("book", stages)])
}

#[test]
fn attempt_that_may_have_run_is_retried_only_if_idempotent() {
    for (idempotent, outcome, attempts) in [
        (false, Outcome::Error, 1),
        (false, Outcome::ConnectionLost, 1),
        (false, Outcome::Unreachable, 3),
        (false, Outcome::Rejected, 3),
        (false, Outcome::NotStarted, 1),
        (true, Outcome::Error, 3),
        (true, Outcome::ConnectionLost, 3),
    ] {
        let retry = RetryPolicy { base_backoff: 5 * MS, ..RetryPolicy::default() };
        let dependency =
            DependencyConfig { idempotent, retry, ..DependencyConfig::new("a", &["x", "y", "z"]) };
        let mut host = SimulatedHost::new(one_call_plan(dependency, true), move |_| (MS, outcome));
        host.start_plan(1, "book", 1_000 * MS);
        let end = host.run_until_end_of(1);
        assert_eq!(host.started.len(), attempts, "{outcome:?}");
        assert_eq!(end.outcome.never_ran(), outcome.never_ran());
        let mut tried: Vec<_> = host.started.iter().map(|c| c.address.clone()).collect();
        tried.sort();
        tried.dedup();
        assert_eq!(tried.len(), attempts, "each attempt goes to another endpoint");
    }
}

#[test]
fn plan_with_a_possible_effect_is_not_rejected() {
    // The call of the first stage succeeded, and the call of the second never ran.
    let mut host = three_stages(|call| match call.dependency.as_str() {
        "a" => (MS, Outcome::Ok),
        _ => (MS, Outcome::Rejected),
    });
    host.start_plan(1, "book", 300 * MS);
    assert_eq!(host.run_until_end_of(1).outcome, Outcome::Aborted);
    let mut host = three_stages(|_| (MS, Outcome::Unreachable));
    host.start_plan(1, "book", 300 * MS);
    assert_eq!(host.run_until_end_of(1).outcome, Outcome::Rejected);
}

#[test]
fn retried_request_pays_for_all_its_calls_out_of_the_budget() {
    let retry =
        RetryPolicy { budget_burst: 1.0, budget_ratio: 0.0, max_retries: 0, ..RetryPolicy::default() };
    let dependency = DependencyConfig { retry, ..DependencyConfig::new("a", &["x"]) };
    let mut host = SimulatedHost::new(one_call_plan(dependency, true), |_| (MS, Outcome::Rejected));
    for (id, calls) in [(1, 1), (2, 1), (3, 1)] {
        host.start_plan_as(id, "book", 300 * MS, 1, None, id > 1);
        host.run_until_end_of(id);
        assert!(host.started.iter().filter(|c| c.plan == id).count() <= calls);
    }
    // The first attempt, and the one retry of the initial balance.
    assert_eq!(host.started.len(), 2);
}

#[test]
fn slow_idempotent_call_gets_a_hedged_request_and_the_first_reply_counts() {
    let hedge = Some(HedgePolicy { quantile: 0.9, min_delay: 0 });
    let retry = RetryPolicy { max_retries: 0, ..RetryPolicy::default() };
    let dependency =
        DependencyConfig { idempotent: true, hedge, retry, ..DependencyConfig::new("a", &["x", "y"]) };
    let slow = Rc::new(Cell::new(false));
    let is_slow = slow.clone();
    let mut first = true;
    let mut host = SimulatedHost::new(one_call_plan(dependency, true), move |_| {
        let hangs = is_slow.get() && std::mem::replace(&mut first, false);
        (if hangs { NEVER } else { 10 * MS }, Outcome::Ok)
    });
    for id in 0..30 {
        host.start_plan(id, "book", 1_000 * MS);
        host.run_until_end_of(id);
    }
    slow.set(true);
    let before = (host.now, host.started.len());
    host.start_plan(99, "book", 1_000 * MS);
    let end = host.run_until_end_of(99);
    assert_eq!(describe_parts(&end), "a: fresh");
    assert!(end.at - before.0 < 25 * MS, "{}", end.at - before.0);
    assert_eq!((host.started.len() - before.1, host.engine.counts().hedged_requests), (2, 1));
    assert_ne!(host.started[before.1].address, host.started[before.1 + 1].address);
}

#[test]
fn calls_fail_at_once_while_all_endpoints_are_down_and_recover() {
    let down = Rc::new(Cell::new(true));
    let is_down = down.clone();
    let dependency = DependencyConfig {
        idempotent: true,
        load_balancing: LoadBalancerConfig { max_ejected_share: 1.0, ..LoadBalancerConfig::default() },
        ..DependencyConfig::new("a", &["x", "y", "z"])
    };
    let mut host = SimulatedHost::new(one_call_plan(dependency, true), move |_| {
        if is_down.get() {
            (MS, Outcome::Unreachable)
        } else {
            (MS, Outcome::Ok)
        }
    });
    let mut id = 0;
    while host.now < 3_000 * MS {
        id += 1;
        host.start_plan(id, "book", 200 * MS);
        host.run_until(host.now + 5 * MS);
    }
    // During the outage nearly all plans are rejected.
    let at_once = host.ended_plans().filter(|(_, e)| e.outcome == Outcome::Rejected).count();
    assert!(at_once as u64 > id * 9 / 10, "{at_once} of {id}");
    assert!(host.started.len() < 120, "{} calls", host.started.len());
    down.set(false);
    let back = host.now;
    let mut served = 0;
    while served < 50 && host.now < back + 10_000 * MS {
        id += 1;
        host.start_plan(id, "book", 200 * MS);
        host.run_until(host.now + 5 * MS);
        served = host.ended_plans().filter(|(_, e)| e.at > back && e.outcome == Outcome::Ok).count();
    }
    assert_eq!(served, 50, "back after {} ms", (host.now - back) / MS);
}

#[test]
fn endpoint_that_fails_fast_does_not_attract_calls() {
    let retry = RetryPolicy { max_retries: 0, ..RetryPolicy::default() };
    let breaker = None;
    let dependency = DependencyConfig { retry, breaker, ..DependencyConfig::new("a", &["x", "y", "z"]) };
    let mut host = SimulatedHost::new(one_call_plan(dependency, true), |call| {
        if call.address == "y" {
            (100, Outcome::Error)
        } else {
            (20 * MS, Outcome::Ok)
        }
    });
    for id in 0..2_000 {
        host.start_plan(id, "book", 200 * MS);
        host.run_until(host.now + 4 * MS);
    }
    host.run_until(host.now + 500 * MS);
    let failed = host.ended_plans().filter(|(_, e)| e.outcome != Outcome::Ok).count();
    // A few calls fail at first, and single ones over the eight seconds.
    assert!(failed <= 10, "{failed}");
}

#[test]
fn scarce_capacity_goes_by_priority_level_and_then_by_age() {
    let limit = LimitBounds { initial: 1, min: 1, max: 1 };
    let dependency = DependencyConfig { concurrency_limit: limit, ..DependencyConfig::new("a", &["x"]) };
    let mut host = SimulatedHost::new(one_call_plan(dependency, true), |_| (10 * MS, Outcome::Ok));
    for (id, level) in [(1, 0), (2, 0), (3, 0), (4, 2), (5, 1), (6, 2)] {
        host.start_plan_as(id, "book", 1_000 * MS, level, None, false);
    }
    host.run_until(1_000 * MS);
    let order: Vec<u64> = host.started.iter().map(|c| c.plan).collect();
    assert_eq!(order, [1, 4, 6, 5, 2, 3]);
}

#[test]
fn call_without_capacity_in_its_time_is_rejected_at_once() {
    let limit = LimitBounds { initial: 2, min: 2, max: 2 };
    let dependency = DependencyConfig { concurrency_limit: limit, ..DependencyConfig::new("a", &["x"]) };
    let mut host = SimulatedHost::new(one_call_plan(dependency, true), |_| (50 * MS, Outcome::Ok));
    host.start_plan(1, "book", 100 * MS);
    host.run_until_end_of(1);
    let from = host.now;
    (2..40).for_each(|id| host.start_plan(id, "book", 120 * MS));
    let rejected = host.ended_plans().filter(|(_, e)| e.at == from && e.outcome == Outcome::Rejected).count();
    assert!(rejected > 30, "{rejected} of 38 were rejected at once");
    host.run_until(from + 200 * MS);
    assert!(host.ended_plans().filter(|(_, e)| e.outcome == Outcome::Ok).count() >= 4);
}

#[test]
fn share_of_the_capacity_is_a_ceiling_on_calls_in_flight() {
    // `SimulatedHost` checks the ceiling at each start of an attempt.
    let dependency = DependencyConfig {
        capacity: Some(SharedCapacity { calls: 30.0, servers: 10 }),
        ..DependencyConfig::new("a", &["x", "y"])
    };
    let mut host = SimulatedHost::new(one_call_plan(dependency, true), |_| (10 * MS, Outcome::Ok));
    for id in 0..500 {
        host.start_plan(id, "book", 100 * MS);
        host.run_until(host.now + MS);
    }
    let limit = &host.engine.status(host.now)[0].limit;
    assert_eq!((limit.max, limit.value <= 3), (3, true));
}

#[test]
fn fallbacks_are_tried_in_order_cached_constant_omitted() {
    let fails = Rc::new(Cell::new(false));
    let is_failing = fails.clone();
    let chain = |last| vec![Fallback::Cached(50 * MS), last];
    let notes = DependencyConfig {
        fallbacks: chain(Fallback::Constant(b"{}".to_vec())),
        ..DependencyConfig::new("notes", &["n"])
    };
    let photos =
        DependencyConfig { fallbacks: chain(Fallback::Omit), ..DependencyConfig::new("photos", &["p"]) };
    let stages = vec![stage(vec![call("notes", true), call("photos", false)])];
    let mut host = SimulatedHost::new(config(vec![notes, photos], vec![plan("book", stages)]), move |_| {
        (MS, if is_failing.get() { Outcome::Error } else { Outcome::Ok })
    });
    let mut last_plan = 0;
    let mut parts_for = |host: &mut SimulatedHost, key| {
        last_plan += 1;
        host.start_plan_as(last_plan, "book", 100 * MS, 1, key, false);
        describe_parts(&host.run_until_end_of(last_plan))
    };
    assert_eq!(parts_for(&mut host, Some("k")), "notes: fresh, photos: fresh");
    fails.set(true);
    host.run_until(40 * MS);
    assert_eq!(parts_for(&mut host, Some("k")), "notes: kept 40, photos: kept 40");
    // Neither a request for another resource nor one without a key gets the cached result.
    assert_eq!(parts_for(&mut host, Some("other")), "notes: constant, photos: Failed");
    assert_eq!(parts_for(&mut host, None), "notes: constant, photos: Failed");
    // Now the cached result is a millisecond older than its maximum age.
    host.run_until(51 * MS);
    assert_eq!(parts_for(&mut host, Some("k")), "notes: constant, photos: Failed");
}

#[test]
fn removed_dependency_lets_its_calls_end() {
    let all = |names: &[&str]| {
        let dependencies =
            names.iter().map(|name| DependencyConfig::new(name, &[&format!("{name}1")])).collect();
        let stages = names.iter().map(|name| stage(vec![call(name, true)])).collect();
        config(dependencies, vec![plan("book", stages)])
    };
    let mut host = SimulatedHost::new(all(&["a", "b"]), |_| (10 * MS, Outcome::Ok));
    host.start_plan(1, "book", 300 * MS);
    host.run_until(5 * MS);
    // The plan in flight keeps its template: its second stage still calls a dependency that is no longer
    // configured. The simulated host does not know both configurations, so the end is checked here.
    let mut actions = Vec::new();
    host.engine.reconfigure(host.now, all(&["b", "c"])).expect("a valid configuration");
    assert_eq!(
        host.engine.status(host.now).iter().map(|v| v.name.to_string()).collect::<Vec<_>>(),
        ["b", "c"]
    );
    let attempt = host.started[0].attempt;
    host.engine.handle_attempt_end(10 * MS, attempt, Outcome::Ok, vec![], &mut actions);
    let Some(Action::StartAttempt { attempt, dependency, .. }) = actions.pop() else {
        panic!("an attempt is started")
    };
    assert_eq!(&*dependency, "b");
    host.engine.handle_attempt_end(20 * MS, attempt, Outcome::Ok, vec![], &mut actions);
    assert!(matches!(actions[..], [Action::FinishPlan { outcome: Outcome::Ok, .. }]));
    // New plans use the new configuration, and the indices of removed dependencies are reused.
    for round in 0..50 {
        let names = [["b", "c"], ["c", "d"], ["d", "b"]][round % 3];
        host.engine.reconfigure(host.now, all(&names)).expect("a valid configuration");
        assert_eq!(host.engine.check_invariants(), Ok(()));
    }
    assert!(format!("{:?}", host.engine).matches("retired: true").count() < 12);
}

#[test]
fn invalid_configuration_changes_nothing() {
    let mut host = three_stages(|_| (MS, Outcome::Ok));
    let mut bad = config(vec![DependencyConfig::new("a", &[])], vec![]);
    bad.plans = vec![plan("book", vec![])];
    assert_eq!(host.engine.reconfigure(0, bad).map_err(|m| m.len()), Err(2));
    host.start_plan(1, "book", 300 * MS);
    assert_eq!(describe_parts(&host.run_until_end_of(1)), "a: fresh, b: fresh, c: fresh");
}

#[test]
fn time_for_local_work_is_reserved() {
    let mut host = three_stages(|_| (NEVER, Outcome::Ok));
    (0..50).for_each(|_| host.engine.learn_local_work("book", 40 * MS));
    let mut actions = Vec::new();
    let request = PlanRequest {
        plan: 1,
        class: "book",
        priority_level: 0,
        resource_key: None,
        call_deadline: 300 * MS,
        request_deadline: 200 * MS,
        is_retry: false,
    };
    host.engine.start_plan(0, &request, &mut actions);
    // A third of the remaining 160 ms, doubled because the call is required.
    let Some(Action::StartAttempt { deadline, .. }) = actions.pop() else { panic!("an attempt is started") };
    assert!((104 * MS..108 * MS).contains(&deadline), "{deadline}");
}

#[test]
fn open_breaker_fails_calls_at_once_and_is_probed() {
    let retry = RetryPolicy { max_retries: 0, ..RetryPolicy::default() };
    let dependency = DependencyConfig { retry, ..DependencyConfig::new("a", &["x"]) };
    let mut host = SimulatedHost::new(one_call_plan(dependency, false), |_| (MS, Outcome::Error));
    for id in 0..20 {
        host.start_plan(id, "book", 100 * MS);
        host.run_until(host.now + 2 * MS);
    }
    assert!(matches!(host.engine.status(host.now)[0].breaker, BreakerState::Open { .. }));
    let calls = host.started.len();
    host.start_plan(50, "book", 100 * MS);
    assert_eq!(host.ended_plan(50).map(|e| describe_parts(&e)).as_deref(), Some("a: BreakerOpen"));
    assert_eq!(host.started.len(), calls);
    host.run_until(host.now + 1_100 * MS);
    // One probe is made; a call that starts meanwhile does not wait for it.
    host.start_plan(51, "book", 100 * MS);
    host.start_plan(52, "book", 100 * MS);
    assert_eq!(host.started.len(), calls + 1);
    assert_eq!(host.ended_plan(52).map(|e| describe_parts(&e)).as_deref(), Some("a: BreakerOpen"));
}

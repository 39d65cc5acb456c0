//! Each case fails without the defence that it is about.

use std::cell::Cell;
use std::rc::Rc;

use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::breaker;
use umberloom_dependencies::config::{
    DependencyConfig, Fallback, HedgePolicy, LimitBounds, LoadBalancerConfig, RetryPolicy, SharedCapacity,
};

use super::world::{call, config, parts, plan, stage, Started, World, MS};

const NEVER: Micros = Micros::MAX;

/// Three dependencies with an endpoint each, in three stages: the first two needed, the last wanted.
fn in_turn(script: impl FnMut(&Started) -> (Micros, Outcome) + 'static) -> World {
    let dependencies = ["a", "b", "c"].map(|name| DependencyConfig::new(name, &[&format!("{name}1")]));
    let stages = ["a", "b", "c"].map(|name| stage(vec![call(name, name != "c")]));
    World::new(config(dependencies.into(), vec![plan("book", stages.into())]), script)
}

#[test]
fn the_slowest_in_each_stage_cannot_eat_the_rest() {
    for slow in ["a", "b", "c"] {
        let mut world =
            in_turn(move |call| (if call.dependency == slow { NEVER } else { 5 * MS }, Outcome::Ok));
        world.ask(1, "book", 300 * MS);
        let end = world.end_of(1);
        let wanted = match slow {
            // Needed: it may have its share twice over, and fails with that.
            "a" => (200 * MS, "Aborted"),
            "b" => (300 * MS, "Aborted"),
            _ => (300 * MS, "a: fresh, b: fresh, c: DeadlineExceeded"),
        };
        assert_eq!((end.at, parts(&end).as_str()), wanted);
    }
}

#[test]
fn what_is_needed_may_go_on_but_not_into_what_later_stages_need() {
    let slow = Rc::new(Cell::new(false));
    let is_slow = slow.clone();
    let mut world = in_turn(move |call| match call.dependency.as_str() {
        "a" if is_slow.get() => (NEVER, Outcome::Ok),
        "a" => (5 * MS, Outcome::Ok),
        _ => (120 * MS, Outcome::Ok),
    });
    world.ask(1, "book", 600 * MS);
    assert_eq!(parts(&world.end_of(1)), "a: fresh, b: fresh, c: fresh");
    // The second stage is known to take 120 ms by now, which the first may not have.
    slow.set(true);
    let from = world.now;
    world.ask(2, "book", 300 * MS);
    assert_eq!(world.end_of(2).at - from, 180 * MS);
}

#[test]
fn what_a_stage_leaves_unspent_passes_on() {
    let mut world = in_turn(|call| (if call.dependency == "c" { 250 * MS } else { 10 * MS }, Outcome::Ok));
    world.ask(1, "book", 300 * MS);
    assert_eq!(parts(&world.end_of(1)), "a: fresh, b: fresh, c: fresh");
}

#[test]
fn two_fail_together() {
    let dependencies = ["a", "b", "c"].map(|name| DependencyConfig::new(name, &[&format!("{name}1")]));
    let calls = vec![call("a", true), call("b", false), call("c", false)];
    let all = config(dependencies.into(), vec![plan("book", vec![stage(calls)])]);
    // Both wanted ones: the answer is partial, and no later than the slower of them allows.
    let fails = |call: &Started, which: &str| which.contains(call.dependency.as_str());
    let mut world = World::new(all.clone(), move |call| match fails(call, "bc") {
        true => (30 * MS, Outcome::Error),
        false => (5 * MS, Outcome::Ok),
    });
    world.ask(1, "book", 300 * MS);
    let end = world.end_of(1);
    assert_eq!((end.at, parts(&end).as_str()), (30 * MS, "a: fresh, b: Failed, c: Failed"));
    // A needed one with a wanted one: it fails at once, and the call still under way is given up.
    let mut world = World::new(all, move |call| match call.dependency.as_str() {
        "a" => (5 * MS, Outcome::Error),
        "b" => (30 * MS, Outcome::Error),
        _ => (NEVER, Outcome::Ok),
    });
    world.ask(1, "book", 300 * MS);
    let end = world.end_of(1);
    assert_eq!((end.at, end.outcome), (5 * MS, Outcome::Aborted));
    assert_eq!(world.engine.in_flight(), (0, 0));
}

#[test]
fn one_fails_while_another_is_slow() {
    let dependencies = ["a", "b"].map(|name| DependencyConfig::new(name, &[&format!("{name}1")]));
    let stages = vec![stage(vec![call("a", true), call("b", false)])];
    let mut world = World::new(config(dependencies.into(), vec![plan("book", stages)]), |call| {
        if call.dependency == "a" {
            (200 * MS, Outcome::Ok)
        } else {
            (MS, Outcome::ConnectionLost)
        }
    });
    world.ask(1, "book", 300 * MS);
    let end = world.end_of(1);
    assert_eq!((end.at, parts(&end).as_str()), (200 * MS, "a: fresh, b: ConnectionLost"));
}

#[test]
fn an_answer_just_after_its_share_ended_changes_nothing() {
    // The host tells the end of a call that was given up a microsecond before: see `World::hear`.
    let mut world = in_turn(|call| (if call.dependency == "a" { 200 * MS + 1 } else { MS }, Outcome::Ok));
    world.ask(1, "book", 300 * MS);
    let end = world.end_of(1);
    assert_eq!((end.at, end.outcome), (200 * MS, Outcome::Aborted));
    world.run_until(400 * MS);
    assert_eq!(world.ended(1).map(|e| e.at), Some(200 * MS));
    assert_eq!(world.engine.in_flight(), (0, 0));
}

#[test]
fn a_reply_for_a_request_that_was_given_up_changes_nothing() {
    let mut world = in_turn(|_| (10 * MS, Outcome::Ok));
    world.ask(1, "book", 300 * MS);
    world.run_until(5 * MS);
    world.give_up(1);
    world.run_until(400 * MS);
    assert!(world.ended(1).is_none());
    assert_eq!((world.started.len(), world.engine.in_flight()), (1, (0, 0)));
}

fn two_stages_of_one(dependency: DependencyConfig, needed: bool) -> umberloom_dependencies::config::Config {
    let stages = vec![stage(vec![call(&dependency.name, needed)])];
    config(vec![dependency], vec![plan("book", stages)])
}

#[test]
fn what_may_have_run_is_repeated_only_where_that_is_declared_safe() {
    for (repeatable, outcome, calls) in [
        (false, Outcome::Error, 1),
        (false, Outcome::ConnectionLost, 1),
        (false, Outcome::Unreachable, 3),
        (false, Outcome::Rejected, 3),
        (false, Outcome::NotStarted, 1),
        (true, Outcome::Error, 3),
        (true, Outcome::ConnectionLost, 3),
    ] {
        let retry = RetryPolicy { base_backoff: 5 * MS, ..RetryPolicy::default() };
        let dependency = DependencyConfig {
            idempotent: repeatable,
            retry,
            ..DependencyConfig::new("a", &["x", "y", "z"])
        };
        let mut world = World::new(two_stages_of_one(dependency, true), move |_| (MS, outcome));
        world.ask(1, "book", 1_000 * MS);
        let end = world.end_of(1);
        assert_eq!(world.started.len(), calls, "{outcome:?}");
        assert_eq!(end.outcome.never_ran(), outcome.never_ran());
        let mut tried: Vec<_> = world.started.iter().map(|c| c.address.clone()).collect();
        tried.sort();
        tried.dedup();
        assert_eq!(tried.len(), calls, "each attempt goes to another endpoint");
    }
}

#[test]
fn once_a_part_may_have_had_its_effect_the_plan_is_not_told_as_never_run() {
    // The first stage's call went well, the second's never ran.
    let mut world = in_turn(|call| match call.dependency.as_str() {
        "a" => (MS, Outcome::Ok),
        _ => (MS, Outcome::Rejected),
    });
    world.ask(1, "book", 300 * MS);
    assert_eq!(world.end_of(1).outcome, Outcome::Aborted);
    let mut world = in_turn(|_| (MS, Outcome::Unreachable));
    world.ask(1, "book", 300 * MS);
    assert_eq!(world.end_of(1).outcome, Outcome::Rejected);
}

#[test]
fn a_request_that_comes_again_pays_for_all_its_calls() {
    let retry =
        RetryPolicy { budget_burst: 1.0, budget_ratio: 0.0, max_retries: 0, ..RetryPolicy::default() };
    let dependency = DependencyConfig { retry, ..DependencyConfig::new("a", &["x"]) };
    let mut world = World::new(two_stages_of_one(dependency, true), |_| (MS, Outcome::Rejected));
    for (id, calls) in [(1, 1), (2, 1), (3, 1)] {
        world.ask_as(id, "book", 300 * MS, 1, None, id > 1);
        world.end_of(id);
        assert!(world.started.iter().filter(|c| c.plan == id).count() <= calls);
    }
    // The first attempt, and the one that was saved up.
    assert_eq!(world.started.len(), 2);
}

#[test]
fn a_slow_read_gets_a_second_copy_and_the_first_reply_counts() {
    let hedge = Some(HedgePolicy { quantile: 0.9, min_delay: 0 });
    let retry = RetryPolicy { max_retries: 0, ..RetryPolicy::default() };
    let dependency =
        DependencyConfig { idempotent: true, hedge, retry, ..DependencyConfig::new("a", &["x", "y"]) };
    let slow = Rc::new(Cell::new(false));
    let is_slow = slow.clone();
    let mut first = true;
    let mut world = World::new(two_stages_of_one(dependency, true), move |_| {
        let hangs = is_slow.get() && std::mem::replace(&mut first, false);
        (if hangs { NEVER } else { 10 * MS }, Outcome::Ok)
    });
    for id in 0..30 {
        world.ask(id, "book", 1_000 * MS);
        world.end_of(id);
    }
    slow.set(true);
    let before = (world.now, world.started.len());
    world.ask(99, "book", 1_000 * MS);
    let end = world.end_of(99);
    assert_eq!(parts(&end), "a: fresh");
    assert!(end.at - before.0 < 25 * MS, "{}", end.at - before.0);
    assert_eq!((world.started.len() - before.1, world.engine.counts().hedged_requests), (2, 1));
    assert_ne!(world.started[before.1].address, world.started[before.1 + 1].address);
}

#[test]
fn all_endpoints_out_at_once_are_told_at_once_and_come_back() {
    let down = Rc::new(Cell::new(true));
    let is_down = down.clone();
    let dependency = DependencyConfig {
        idempotent: true,
        load_balancing: LoadBalancerConfig { max_ejected_share: 1.0, ..LoadBalancerConfig::default() },
        ..DependencyConfig::new("a", &["x", "y", "z"])
    };
    let mut world = World::new(two_stages_of_one(dependency, true), move |_| {
        if is_down.get() {
            (MS, Outcome::Unreachable)
        } else {
            (MS, Outcome::Ok)
        }
    });
    let mut id = 0;
    while world.now < 3_000 * MS {
        id += 1;
        world.ask(id, "book", 200 * MS);
        world.run_until(world.now + 5 * MS);
    }
    // While it is down nearly all is told in the moment it is asked.
    let at_once = world.all_ended().filter(|(_, e)| e.outcome == Outcome::Rejected).count();
    assert!(at_once as u64 > id * 9 / 10, "{at_once} of {id}");
    assert!(world.started.len() < 120, "{} calls", world.started.len());
    down.set(false);
    let back = world.now;
    let mut served = 0;
    while served < 50 && world.now < back + 10_000 * MS {
        id += 1;
        world.ask(id, "book", 200 * MS);
        world.run_until(world.now + 5 * MS);
        served = world.all_ended().filter(|(_, e)| e.at > back && e.outcome == Outcome::Ok).count();
    }
    assert_eq!(served, 50, "back after {} ms", (world.now - back) / MS);
}

#[test]
fn one_endpoint_that_fails_fast_does_not_draw_the_calls() {
    let retry = RetryPolicy { max_retries: 0, ..RetryPolicy::default() };
    let breaker = None;
    let dependency = DependencyConfig { retry, breaker, ..DependencyConfig::new("a", &["x", "y", "z"]) };
    let mut world = World::new(two_stages_of_one(dependency, true), |call| {
        if call.address == "y" {
            (100, Outcome::Error)
        } else {
            (20 * MS, Outcome::Ok)
        }
    });
    for id in 0..2_000 {
        world.ask(id, "book", 200 * MS);
        world.run_until(world.now + 4 * MS);
    }
    world.run_until(world.now + 500 * MS);
    let failed = world.all_ended().filter(|(_, e)| e.outcome != Outcome::Ok).count();
    // A few at first, and single ones over eight seconds.
    assert!(failed <= 10, "{failed}");
}

#[test]
fn scarce_places_go_by_level_and_then_to_the_oldest() {
    let limit = LimitBounds { initial: 1, min: 1, max: 1 };
    let dependency = DependencyConfig { concurrency_limit: limit, ..DependencyConfig::new("a", &["x"]) };
    let mut world = World::new(two_stages_of_one(dependency, true), |_| (10 * MS, Outcome::Ok));
    for (id, level) in [(1, 0), (2, 0), (3, 0), (4, 2), (5, 1), (6, 2)] {
        world.ask_as(id, "book", 1_000 * MS, level, None, false);
    }
    world.run_until(1_000 * MS);
    let order: Vec<u64> = world.started.iter().map(|c| c.plan).collect();
    assert_eq!(order, [1, 4, 6, 5, 2, 3]);
}

#[test]
fn what_finds_no_place_in_its_time_is_told_at_once() {
    let limit = LimitBounds { initial: 2, min: 2, max: 2 };
    let dependency = DependencyConfig { concurrency_limit: limit, ..DependencyConfig::new("a", &["x"]) };
    let mut world = World::new(two_stages_of_one(dependency, true), |_| (50 * MS, Outcome::Ok));
    world.ask(1, "book", 100 * MS);
    world.end_of(1);
    let from = world.now;
    (2..40).for_each(|id| world.ask(id, "book", 120 * MS));
    let told = world.all_ended().filter(|(_, e)| e.at == from && e.outcome == Outcome::Rejected).count();
    assert!(told > 30, "{told} of 38 were told at once");
    world.run_until(from + 200 * MS);
    assert!(world.all_ended().filter(|(_, e)| e.outcome == Outcome::Ok).count() >= 4);
}

#[test]
fn one_servers_share_of_what_a_dependency_survives_is_a_ceiling() {
    // `World::start` fails where the ceiling is passed.
    let dependency = DependencyConfig {
        capacity: Some(SharedCapacity { calls: 30.0, servers: 10 }),
        ..DependencyConfig::new("a", &["x", "y"])
    };
    let mut world = World::new(two_stages_of_one(dependency, true), |_| (10 * MS, Outcome::Ok));
    for id in 0..500 {
        world.ask(id, "book", 100 * MS);
        world.run_until(world.now + MS);
    }
    let limit = &world.engine.status(world.now)[0].limit;
    assert_eq!((limit.max, limit.value <= 3), (3, true));
}

#[test]
fn the_chain_goes_from_kept_to_constant_to_left_out() {
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
    let mut world = World::new(config(vec![notes, photos], vec![plan("book", stages)]), move |_| {
        (MS, if is_failing.get() { Outcome::Error } else { Outcome::Ok })
    });
    let mut asked = 0;
    let mut at = |world: &mut World, key| {
        asked += 1;
        world.ask_as(asked, "book", 100 * MS, 1, key, false);
        parts(&world.end_of(asked))
    };
    assert_eq!(at(&mut world, Some("k")), "notes: fresh, photos: fresh");
    fails.set(true);
    world.run_until(40 * MS);
    assert_eq!(at(&mut world, Some("k")), "notes: kept 40, photos: kept 40");
    // Another resource, and none.
    assert_eq!(at(&mut world, Some("other")), "notes: constant, photos: Failed");
    assert_eq!(at(&mut world, None), "notes: constant, photos: Failed");
    // Too old by a millisecond.
    world.run_until(51 * MS);
    assert_eq!(at(&mut world, Some("k")), "notes: constant, photos: Failed");
}

#[test]
fn settings_without_a_dependency_let_its_calls_end() {
    let all = |names: &[&str]| {
        let dependencies =
            names.iter().map(|name| DependencyConfig::new(name, &[&format!("{name}1")])).collect();
        let stages = names.iter().map(|name| stage(vec![call(name, true)])).collect();
        config(dependencies, vec![plan("book", stages)])
    };
    let mut world = World::new(all(&["a", "b"]), |_| (10 * MS, Outcome::Ok));
    world.ask(1, "book", 300 * MS);
    world.run_until(5 * MS);
    // The plan under way ends as it began: its second stage still calls what the file no longer names. The world
    // knows the new settings only, so the end is looked at here.
    let mut actions = Vec::new();
    world.engine.reconfigure(world.now, all(&["b", "c"])).expect("no mistakes");
    assert_eq!(
        world.engine.status(world.now).iter().map(|v| v.name.to_string()).collect::<Vec<_>>(),
        ["b", "c"]
    );
    let attempt = world.started[0].attempt;
    world.engine.handle_attempt_end(10 * MS, attempt, Outcome::Ok, vec![], &mut actions);
    let Some(umberloom_dependencies::Action::StartAttempt { attempt, dependency, .. }) = actions.pop() else {
        panic!()
    };
    assert_eq!(&*dependency, "b");
    world.engine.handle_attempt_end(20 * MS, attempt, Outcome::Ok, vec![], &mut actions);
    assert!(matches!(actions[..], [umberloom_dependencies::Action::FinishPlan { outcome: Outcome::Ok, .. }]));
    // New ones go by the new file, and the place of what is gone is used again.
    for round in 0..50 {
        let names = [["b", "c"], ["c", "d"], ["d", "b"]][round % 3];
        world.engine.reconfigure(world.now, all(&names)).expect("no mistakes");
        assert_eq!(world.engine.check_invariants(), Ok(()));
    }
    assert!(format!("{:?}", world.engine).matches("retired: true").count() < 12);
}

#[test]
fn bad_settings_change_nothing() {
    let mut world = in_turn(|_| (MS, Outcome::Ok));
    let mut bad = config(vec![DependencyConfig::new("a", &[])], vec![]);
    bad.plans = vec![plan("book", vec![])];
    assert_eq!(world.engine.reconfigure(0, bad).map_err(|m| m.len()), Err(2));
    world.ask(1, "book", 300 * MS);
    assert_eq!(parts(&world.end_of(1)), "a: fresh, b: fresh, c: fresh");
}

#[test]
fn what_the_run_still_needs_is_set_aside() {
    let mut world = in_turn(|_| (NEVER, Outcome::Ok));
    (0..50).for_each(|_| world.engine.learn_local_work("book", 40 * MS));
    let mut actions = Vec::new();
    let ask = umberloom_dependencies::PlanRequest {
        plan: 1,
        class: "book",
        priority_level: 0,
        resource_key: None,
        call_deadline: 300 * MS,
        request_deadline: 200 * MS,
        is_retry: false,
    };
    world.engine.start_plan(0, &ask, &mut actions);
    // A third of the 160 ms that are left, twice over.
    let Some(umberloom_dependencies::Action::StartAttempt { deadline: until, .. }) = actions.pop() else {
        panic!("a call")
    };
    assert!((104 * MS..108 * MS).contains(&until), "{until}");
}

#[test]
fn a_breaker_that_is_open_is_told_at_once_and_probed() {
    let retry = RetryPolicy { max_retries: 0, ..RetryPolicy::default() };
    let dependency = DependencyConfig { retry, ..DependencyConfig::new("a", &["x"]) };
    let mut world = World::new(two_stages_of_one(dependency, false), |_| (MS, Outcome::Error));
    for id in 0..20 {
        world.ask(id, "book", 100 * MS);
        world.run_until(world.now + 2 * MS);
    }
    assert!(matches!(world.engine.status(world.now)[0].breaker, breaker::BreakerState::Open { .. }));
    let calls = world.started.len();
    world.ask(50, "book", 100 * MS);
    assert_eq!(world.ended(50).map(|e| parts(&e)).as_deref(), Some("a: BreakerOpen"));
    assert_eq!(world.started.len(), calls);
    world.run_until(world.now + 1_100 * MS);
    // One probe; who comes meanwhile is not kept waiting for it.
    world.ask(51, "book", 100 * MS);
    world.ask(52, "book", 100 * MS);
    assert_eq!(world.started.len(), calls + 1);
    assert_eq!(world.ended(52).map(|e| parts(&e)).as_deref(), Some("a: BreakerOpen"));
}

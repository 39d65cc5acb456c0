//! An outage of 30 s under full load, with the budget of repeated attempts and without it.

use std::cell::Cell;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::config::{BreakerConfig, DependencyConfig, LimitBounds, RetryPolicy};

use super::world::{call, config, plan, stage, World, MS};

const DOWN: (Micros, Micros) = (5_000 * MS, 35_000 * MS);
const END: Micros = 50_000 * MS;

struct Seen {
    /// Attempts for each request that asked while it was down.
    attempts: f64,
    /// When nineteen of twenty were served again, after it came back.
    back: Option<Micros>,
}

/// 200 requests a second of a dependency that answers 40 calls at once in 20 ms and more of them later, and fails
/// each call while it is down, after the time that it needs to fail.
fn outage(retry: RetryPolicy, breaker: Option<BreakerConfig>) -> Seen {
    let limit = LimitBounds { initial: 16, min: 4, max: 64 };
    let dependency = DependencyConfig {
        idempotent: true,
        retry,
        breaker,
        concurrency_limit: limit,
        endpoint_concurrency_limit: limit,
        ..DependencyConfig::new("a", &["x", "y"])
    };
    let all = config(vec![dependency], vec![plan("book", vec![stage(vec![call("a", true)])])]);
    let clock = Rc::new(Cell::new(0));
    let at = clock.clone();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut world = World::new(all, move |_| {
        let down = at.get() >= DOWN.0 && at.get() < DOWN.1;
        let took = random.random_range(15 * MS..25 * MS);
        (took, if down { Outcome::Error } else { Outcome::Ok })
    });
    let mut id = 0;
    let mut before = world.engine.counts();
    let mut during = world.engine.counts();
    while world.now < END {
        id += 1;
        if world.now < DOWN.0 {
            before = world.engine.counts();
        } else if world.now < DOWN.1 {
            during = world.engine.counts();
        }
        world.ask(id, "book", 300 * MS);
        world.run_until(world.now + 5 * MS);
        clock.set(world.now);
    }
    let all = |c: &umberloom_dependencies::CallCounts| c.first_attempts + c.retries + c.hedged_requests;
    let asked = (DOWN.1 - DOWN.0) / (5 * MS);
    let served = |from: Micros| {
        let ends: Vec<_> =
            world.all_ended().filter(|(_, e)| (from..from + 500 * MS).contains(&e.at)).collect();
        let good = ends.iter().filter(|(_, e)| e.outcome == Outcome::Ok).count();
        !ends.is_empty() && good * 20 >= ends.len() * 19
    };
    let back = (0..100).map(|n| n * 100 * MS).find(|after| served(DOWN.1 + after));
    Seen { attempts: (all(&during) - all(&before)) as f64 / asked as f64, back }
}

#[test]
fn the_budget_keeps_an_outage_from_being_multiplied() {
    // Without a breaker, so that the budget is seen by itself.
    let kept = outage(RetryPolicy::default(), None);
    let all = RetryPolicy { budget_ratio: 1.0, budget_burst: 1_000.0, ..RetryPolicy::default() };
    let without = outage(all, None);
    assert!(kept.attempts < 1.1 + 0.01, "{} attempts for each first one", kept.attempts);
    assert!(without.attempts > 1.8, "{} without the budget", without.attempts);
}

#[test]
fn service_is_back_within_five_seconds_of_the_end() {
    let seen = outage(RetryPolicy::default(), Some(BreakerConfig::default()));
    // Only probes are made while it is down, a few in ten seconds.
    assert!(seen.attempts < 0.02, "{} attempts for each request", seen.attempts);
    let back = seen.back.expect("served again");
    assert!(back <= 5_000 * MS, "back after {} ms", back / MS);
}

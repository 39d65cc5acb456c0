//! An outage of a dependency for 30 s under full load, with and without the retry budget.

use std::cell::Cell;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::config::{BreakerConfig, DependencyConfig, LimitBounds, RetryPolicy};

use super::simulated_host::{call, config, plan, stage, SimulatedHost, MS};

/// Start and end of the outage.
const DOWN: (Micros, Micros) = (5_000 * MS, 35_000 * MS);
/// End of the run.
const END: Micros = 50_000 * MS;

struct OutageResult {
    /// Attempts per request that was made during the outage.
    attempts: f64,
    /// Time from the end of the outage until 95 % of the requests succeed again, in microseconds; `None` if
    /// they never do.
    recovery: Option<Micros>,
}

/// Starts 200 requests a second, each with one call to a dependency that takes 15 to 25 ms for a call and
/// fails every call during the outage.
fn run_outage(retry: RetryPolicy, breaker: Option<BreakerConfig>) -> OutageResult {
    let limit = LimitBounds { initial: 16, min: 4, max: 64 };
    let dependency = DependencyConfig {
        idempotent: true,
        retry,
        breaker,
        concurrency_limit: limit,
        endpoint_concurrency_limit: limit,
        ..DependencyConfig::new("a", &["x", "y"])
    };
    let config = config(vec![dependency], vec![plan("book", vec![stage(vec![call("a", true)])])]);
    let clock = Rc::new(Cell::new(0));
    let clock_of_script = clock.clone();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut host = SimulatedHost::new(config, move |_| {
        let down = clock_of_script.get() >= DOWN.0 && clock_of_script.get() < DOWN.1;
        let took = random.random_range(15 * MS..25 * MS);
        (took, if down { Outcome::Error } else { Outcome::Ok })
    });
    let mut id = 0;
    let mut before = host.engine.counts();
    let mut during = host.engine.counts();
    while host.now < END {
        id += 1;
        if host.now < DOWN.0 {
            before = host.engine.counts();
        } else if host.now < DOWN.1 {
            during = host.engine.counts();
        }
        host.start_plan(id, "book", 300 * MS);
        host.run_until(host.now + 5 * MS);
        clock.set(host.now);
    }
    let total_attempts =
        |c: &umberloom_dependencies::CallCounts| c.first_attempts + c.retries + c.hedged_requests;
    let requests = (DOWN.1 - DOWN.0) / (5 * MS);
    let has_recovered = |from: Micros| {
        let ended: Vec<_> =
            host.ended_plans().filter(|(_, e)| (from..from + 500 * MS).contains(&e.at)).collect();
        let succeeded = ended.iter().filter(|(_, e)| e.outcome == Outcome::Ok).count();
        !ended.is_empty() && succeeded * 20 >= ended.len() * 19
    };
    let recovery = (0..100).map(|n| n * 100 * MS).find(|after| has_recovered(DOWN.1 + after));
    OutageResult {
        attempts: (total_attempts(&during) - total_attempts(&before)) as f64 / requests as f64,
        recovery,
    }
}

#[test]
fn retry_budget_bounds_attempts_in_an_outage() {
    // Without a breaker, so that only the budget limits retries.
    let with_budget = run_outage(RetryPolicy::default(), None);
    let unlimited = RetryPolicy { budget_ratio: 1.0, budget_burst: 1_000.0, ..RetryPolicy::default() };
    let without = run_outage(unlimited, None);
    assert!(with_budget.attempts < 1.1 + 0.01, "{} attempts for each first one", with_budget.attempts);
    assert!(without.attempts > 1.8, "{} without the budget", without.attempts);
}

#[test]
fn service_recovers_within_five_seconds_of_an_outage() {
    let result = run_outage(RetryPolicy::default(), Some(BreakerConfig::default()));
    // During the outage only probes are made, a few in ten seconds.
    assert!(result.attempts < 0.02, "{} attempts for each request", result.attempts);
    let recovery = result.recovery.expect("requests succeed again");
    assert!(recovery <= 5_000 * MS, "back after {} ms", recovery / MS);
}

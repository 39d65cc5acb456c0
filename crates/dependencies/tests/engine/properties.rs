//! Property tests with random configurations, plans and outcomes. `SimulatedHost` checks every step.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::config::{
    BreakerConfig, CallConfig, Config, DependencyConfig, Fallback, FallbackCacheLimits, HedgePolicy,
    LimitBounds, LoadBalancerConfig, PlanConfig, RetryPolicy, SharedCapacity, StageConfig,
};

use super::simulated_host::{SimulatedHost, MS};

fn bounds() -> impl Strategy<Value = LimitBounds> {
    (1usize..3, 0usize..4, 0usize..8).prop_map(|(min, initial_above_min, max_above_initial)| LimitBounds {
        min,
        initial: min + initial_above_min,
        max: min + initial_above_min + max_above_initial,
    })
}

fn shared_capacity() -> impl Strategy<Value = SharedCapacity> {
    (1.0f64..20.0, 1u32..5).prop_map(|(calls, servers)| SharedCapacity { calls, servers })
}

fn fallbacks() -> impl Strategy<Value = Vec<Fallback>> {
    prop_oneof![
        Just(vec![]),
        Just(vec![Fallback::Omit]),
        Just(vec![Fallback::Cached(80 * MS), Fallback::Constant(b"c".to_vec())]),
        Just(vec![Fallback::Cached(20 * MS), Fallback::Omit]),
    ]
}

prop_compose! {
    fn dependency(index: usize)(
        endpoints in 1usize..4, idempotent in any::<bool>(), hedge in any::<bool>(),
        max_retries in 0u32..4, budget_ratio in 0.0f64..0.5, budget_burst in 0.0f64..5.0, base_backoff in 0u64..20 * MS,
        concurrency_limit in bounds(), endpoint_concurrency_limit in bounds(), capacity in prop::option::of(shared_capacity()),
        failure_ratio in 0.1f64..=1.0, window_calls in 1u32..30, consecutive_failures in 1u32..6, max_ejected_share in 0.0f64..=1.0,
        fallbacks in fallbacks(),
    ) -> DependencyConfig {
        let endpoints = (0..endpoints).map(|n| format!("d{index}e{n}")).collect();
        DependencyConfig {
            name: format!("d{index}"),
            endpoints,
            idempotent,
            retry: RetryPolicy { max_retries, budget_ratio, budget_burst, base_backoff },
            hedge: (hedge && idempotent).then_some(HedgePolicy { quantile: 0.9, min_delay: MS }),
            concurrency_limit,
            endpoint_concurrency_limit,
            capacity,
            breaker: (window_calls > 1).then_some(BreakerConfig { failure_ratio, window_calls, open_time: 50 * MS }),
            load_balancing: LoadBalancerConfig { consecutive_failures, latency_factor: 4.0, base_ejection_time: 30 * MS, max_ejected_share, recovery_ramp: 100 * MS, servers: 1 },
            fallbacks,
        }
    }
}

/// A drawn plan: for each call its stage and whether it is required, and for each stage its weight, minimum
/// time and the difference between its maximum and minimum time.
type DrawnPlan = (Vec<(usize, bool)>, Vec<(f64, u64, u64)>);

/// Draws plans that each call every one of the five dependencies once, in one of three stages.
fn plans() -> impl Strategy<Value = Vec<PlanConfig>> {
    let call = (0usize..3, any::<bool>());
    let one = (
        prop::collection::vec(call, 5),
        prop::collection::vec((0.1f64..4.0, 0u64..20 * MS, 0u64..200 * MS), 3),
    );
    prop::collection::vec(one, 1..4).prop_map(|all| {
        let plan = |(number, (calls, times)): (usize, DrawnPlan)| {
            let stage = |(stage_index, (weight, min_time, range)): (usize, (f64, u64, u64))| {
                let in_stage = calls.iter().enumerate().filter(|(_, (stage, _))| *stage == stage_index);
                let calls: Vec<CallConfig> = in_stage
                    .map(|(d, (_, required))| CallConfig { dependency: format!("d{d}"), required: *required })
                    .collect();
                (!calls.is_empty()).then_some(StageConfig {
                    weight,
                    min_time,
                    max_time: min_time + range,
                    calls,
                })
            };
            let stages = times.into_iter().enumerate().filter_map(stage).collect();
            PlanConfig { class: format!("c{number}"), stages }
        };
        all.into_iter().enumerate().map(plan).collect()
    })
}

fn configs() -> impl Strategy<Value = Config> {
    let dependencies = (dependency(0), dependency(1), dependency(2), dependency(3), dependency(4));
    (dependencies, plans(), 0usize..6).prop_map(|((a, b, c, d, e), plans, entries)| Config {
        dependencies: vec![a, b, c, d, e],
        plans,
        fallback_cache: FallbackCacheLimits { max_entries: entries, max_bytes: 2_000 },
    })
}

/// Draws how attempts end. Each dependency changes its mode at random, so that there are outages and healthy
/// periods.
fn random_outcomes(seed: u64) -> impl FnMut(&super::simulated_host::StartedAttempt) -> (Micros, Outcome) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut modes = [0u8; 5];
    move |call| {
        let index = usize::from(call.dependency.as_bytes()[1] - b'0');
        if random.random_bool(0.05) {
            modes[index] = random.random_range(0..5);
        }
        let outcomes = [
            Outcome::Error,
            Outcome::Rejected,
            Outcome::Unreachable,
            Outcome::ConnectionLost,
            Outcome::NotStarted,
            Outcome::TimedOut,
        ];
        let outcome = match modes[index] {
            0 | 1 => Outcome::Ok,
            2 => outcomes[random.random_range(0..outcomes.len())],
            3 => outcomes[index],
            _ if random.random_bool(0.5) => Outcome::Ok,
            _ => outcomes[random.random_range(0..outcomes.len())],
        };
        let slow = modes[index] == 1 || random.random_bool(0.1);
        (if slow { random.random_range(0..400 * MS) } else { random.random_range(0..20 * MS) }, outcome)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn every_plan_ends_by_its_deadline_and_invariants_hold(
        config in configs(), other in configs(), seed in any::<u64>(),
        requests in prop::collection::vec((0u64..15 * MS, 0usize..4, 0u64..400 * MS, 0u16..4, 0u8..8), 1..150),
    ) {
        prop_assert_eq!(config.validate(), []);
        let mut host = SimulatedHost::new(config.clone(), random_outcomes(seed));
        let mut cancelled = 0;
        for (id, &(after, class, time, level, choice)) in requests.iter().enumerate() {
            let class = format!("c{class}");
            let has_plan = host.engine.has_plan(&class);
            if has_plan {
                let key = ["x", "y"][id % 2];
                let key = (choice % 2 == 0).then_some(key);
                host.start_plan_as(id as u64, &class, time, level, key, choice == 7);
            }
            host.run_until(host.now + after);
            if has_plan && choice == 5 && host.ended_plan(id as u64).is_none() {
                cancelled += 1;
                host.cancel_plan(id as u64);
            }
        }
        host.run_until(host.now + 1_000 * MS);
        let started = requests.iter().filter(|r| host.engine.has_plan(&format!("c{}", r.1))).count();
        prop_assert_eq!(host.ended_plans().count() + cancelled, started);
        prop_assert_eq!(host.engine.in_flight(), (0, 0));
        // The engine must also work with another configuration on top of the learned state.
        host.reconfigure(other);
        for id in 1_000..1_040 {
            if host.engine.has_plan("c0") {
                host.start_plan_as(id, "c0", 200 * MS, 0, Some("x"), false);
            }
            host.run_until(host.now + 5 * MS);
        }
        host.run_until(host.now + 1_000 * MS);
        prop_assert_eq!(host.engine.in_flight(), (0, 0));
    }
}

//! Measures the cost of a decision: a plan from its start to its end, with 8 dependencies of 8 endpoints
//! each.

use std::cell::{Cell, RefCell};

use umberloom::interface::Outcome;
use umberloom_dependencies::config::{
    CallConfig, Config, DependencyConfig, HedgePolicy, LimitBounds, PlanConfig, StageConfig,
};
use umberloom_dependencies::{Action, Engine, PlanRequest};

fn main() {
    divan::main();
}

/// Creates an engine with a class for each measured number of calls, all in one stage.
fn engine() -> Engine {
    let limit = LimitBounds { initial: 64, min: 8, max: 512 };
    let dependency = |d: usize| {
        let endpoints: Vec<String> = (0..8).map(|e| format!("10.0.{d}.{e}:80")).collect();
        let endpoints: Vec<&str> = endpoints.iter().map(String::as_str).collect();
        let hedge = Some(HedgePolicy { quantile: 0.95, min_delay: 1_000 });
        let name = format!("d{d}");
        DependencyConfig {
            idempotent: true,
            hedge,
            concurrency_limit: limit,
            endpoint_concurrency_limit: limit,
            ..DependencyConfig::new(&name, &endpoints)
        }
    };
    let plan = |count: usize| {
        let calls =
            (0..count).map(|d| CallConfig { dependency: format!("d{d}"), required: d % 2 == 0 }).collect();
        PlanConfig {
            class: format!("c{count}"),
            stages: vec![StageConfig { weight: 1.0, min_time: 0, max_time: 1_000_000, calls }],
        }
    };
    let config = Config {
        dependencies: (0..8).map(dependency).collect(),
        plans: vec![plan(1), plan(8)],
        ..Config::default()
    };
    Engine::new(0, config, 1).expect("a valid configuration")
}

/// Runs plans of `calls` calls each. A plan starts every millisecond, and its calls are answered once 32 more
/// plans have started.
#[divan::bench(args = [1, 8])]
fn plan_from_start_to_end(bencher: divan::Bencher, calls: usize) {
    let class = format!("c{calls}");
    let (engine, now, next) = (RefCell::new(engine()), Cell::new(0), Cell::new(0));
    let in_flight = RefCell::new(std::collections::VecDeque::new());
    let step = || {
        let (mut engine, mut in_flight) = (engine.borrow_mut(), in_flight.borrow_mut());
        now.set(now.get() + 1_000);
        next.set(next.get() + 1);
        let mut out = Vec::with_capacity(32);
        let due = now.get() + 1_000_000;
        let request = PlanRequest {
            plan: next.get(),
            class: &class,
            priority_level: 1,
            resource_key: Some("k"),
            call_deadline: due,
            request_deadline: due,
            is_retry: false,
        };
        engine.start_plan(now.get(), &request, &mut out);
        while in_flight.len() > 32 * calls {
            let Some(attempt) = in_flight.pop_front() else { break };
            engine.handle_attempt_end(now.get(), attempt, Outcome::Ok, Vec::new(), &mut out);
        }
        engine.handle_timeout(now.get(), &mut out);
        for action in out {
            if let Action::StartAttempt { attempt, .. } = action {
                in_flight.push_back(attempt);
            }
        }
    };
    (0..1_000).for_each(|_| step());
    bencher.counter(divan::counter::ItemsCount::new(calls)).bench_local(step);
}

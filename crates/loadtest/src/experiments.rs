//! Experiments that show the effect of single mechanisms: each runs with the mechanism and without it.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::config::{
    BreakerConfig, CallConfig, Config, DependencyConfig, LimitBounds, PlanConfig, RetryPolicy, StageConfig,
};

use crate::emulate::{Emulation, MS};

/// Compares ways of sharing a request's time among the stages of its plan. Runs the experiment once per seed,
/// starting with seed 1, and prints the median, minimum and maximum of each metric.
pub fn budgets(seeds: u64) -> Result<(), String> {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "slow stage",
        "time sharing",
        "whole",
        "partial",
        "failed",
        "p99 of the time limit",
    ]);
    for slow_stage in ["nothing", "first", "second", "third", "first, optional"] {
        for sharing in [TimeSharing::Unlimited, TimeSharing::Equal, TimeSharing::Shared] {
            let mut results = Vec::new();
            for seed in 1..=seeds {
                results.push(run_budget_experiment(slow_stage, sharing, seed)?);
            }
            let cell = |metric: fn(&[f64; 4]) -> f64| median_and_range(results.iter().map(metric).collect());
            table.add_row([
                slow_stage.to_owned(),
                sharing.label().to_owned(),
                cell(|result| result[0]),
                cell(|result| result[1]),
                cell(|result| result[2]),
                cell(|result| result[3]),
            ]);
        }
    }
    println!("{table}");
    Ok(())
}

/// How the stages of a plan share the time of a request.
#[derive(Clone, Copy)]
enum TimeSharing {
    /// Each stage may use all the time that is left.
    Unlimited,
    /// Each stage may use a third of the time; what it does not use is lost.
    Equal,
    /// Stages have equal weights, and unspent time passes on to the next stages, as the dependency engine
    /// does it.
    Shared,
}

impl TimeSharing {
    fn label(self) -> &'static str {
        match self {
            TimeSharing::Unlimited => "none",
            TimeSharing::Equal => "equal split",
            TimeSharing::Shared => "shared, unspent time passes on",
        }
    }
}

/// The time that a request has for its calls.
const REQUEST_TIME: Micros = 300 * MS;

/// Runs plans of three stages with one call each and returns the percentages of complete, partial and failed
/// plans, and the 99th percentile of their duration as a percentage of the time limit.
///
/// The calls of the first two stages are required and that of the last is optional; in the variant "first,
/// optional" the first is optional and the others are required. Calls take 60 ms at the median; they often
/// exceed an equal share of the time, but rarely twice that share. Half of the calls to the slow dependency
/// take six times as long.
fn run_budget_experiment(variant: &'static str, sharing: TimeSharing, seed: u64) -> Result<[f64; 4], String> {
    let first_optional = variant == "first, optional";
    let slow_stage = if first_optional { "first" } else { variant };
    let names = ["first", "second", "third"];
    let stage = |(index, name): (usize, &&str)| {
        let (weight, max_time) = match sharing {
            // With these weights the share of each stage is nearly all the time that is left.
            TimeSharing::Unlimited => (1e6_f64.powi(2 - index as i32), REQUEST_TIME),
            TimeSharing::Equal => (1.0, REQUEST_TIME / 3),
            TimeSharing::Shared => (1.0, REQUEST_TIME),
        };
        StageConfig {
            weight,
            min_time: 0,
            max_time,
            calls: vec![CallConfig {
                dependency: (*name).to_owned(),
                required: if first_optional { index > 0 } else { index < 2 },
            }],
        }
    };
    let stages = names.iter().enumerate().map(stage).collect();
    let limit = LimitBounds { initial: 64, min: 64, max: 64 };
    let retry = RetryPolicy { max_retries: 0, ..RetryPolicy::default() };
    // Concurrency limits are fixed and there is no breaker, because both would also react to the slow
    // dependency. Only the sharing of time may differ.
    let breaker = None;
    let dependency = |name: &&str| DependencyConfig {
        retry,
        breaker,
        concurrency_limit: limit,
        endpoint_concurrency_limit: limit,
        ..DependencyConfig::new(name, &["e"])
    };
    let config = Config {
        dependencies: names.iter().map(dependency).collect(),
        plans: vec![PlanConfig { class: "c".to_owned(), stages }],
        ..Config::default()
    };
    let call_time = LogNormal::new(60_000_f64.ln(), 0.4).map_err(|error| error.to_string())?;
    let call_model = Box::new(move |_: Micros, name: &str, random: &mut rand_chacha::ChaCha8Rng| {
        let duration = call_time.sample(random);
        let is_slow = name == slow_stage && random.random_bool(0.5);
        ((if is_slow { duration * 6.0 } else { duration }) as Micros, Outcome::Ok)
    });
    let mut emulation = Emulation::new(config, seed, call_model)?;
    for n in 0..2_000 {
        emulation.run_until(n * 10 * MS);
        emulation.start_plan("c", REQUEST_TIME);
    }
    emulation.run_until(emulation.now + 2 * REQUEST_TIME);
    let percentage = |condition: &dyn Fn(&crate::emulate::FinishedPlan) -> bool| {
        100.0 * emulation.finished.iter().filter(|plan| condition(plan)).count() as f64
            / emulation.finished.len().max(1) as f64
    };
    let mut durations: Vec<Micros> = emulation.finished.iter().map(|plan| plan.duration).collect();
    durations.sort_unstable();
    let p99 = durations.get(durations.len() * 99 / 100).copied().unwrap_or(0) as f64 / REQUEST_TIME as f64;
    Ok([
        percentage(&|plan| plan.complete),
        percentage(&|plan| plan.outcome == Outcome::Ok && !plan.complete),
        percentage(&|plan| plan.outcome != Outcome::Ok),
        100.0 * p99,
    ])
}

/// Formats the median of percentages with their minimum and maximum.
fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match (values.first(), values.get(values.len() / 2), values.last()) {
        (Some(min), Some(median), Some(max)) => format!("{median:.1} % ({min:.1} to {max:.1})"),
        _ => String::new(),
    }
}

/// Compares retry budgets and breakers in an outage: a dependency is down for 30 s under full load, and can't
/// recover while it gets more calls than it can handle.
pub fn outage(seeds: u64) -> Result<(), String> {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "retries",
        "breaker",
        "attempts per first attempt, outage",
        "calls/s, outage",
        "recovered after",
    ]);
    let unbounded = RetryPolicy { budget_ratio: 1.0, budget_burst: 1_000.0, ..RetryPolicy::default() };
    let variants = [
        ("two, no budget", unbounded, "none", None),
        ("retry budget", RetryPolicy::default(), "none", None),
        ("two, no budget", unbounded, "yes", Some(BreakerConfig::default())),
        ("retry budget", RetryPolicy::default(), "yes", Some(BreakerConfig::default())),
    ];
    for (retry_label, retry, breaker_label, breaker) in variants {
        let mut results = Vec::new();
        for seed in 1..=seeds {
            results.push(run_outage_experiment(retry, breaker, seed)?);
        }
        let median_range = |metric: fn(&OutageResult) -> f64| {
            let mut values: Vec<f64> = results.iter().map(metric).collect();
            values.sort_by(f64::total_cmp);
            let (min, max) = (values.first().copied(), values.last().copied());
            (values.get(values.len() / 2).copied().unwrap_or(0.0), min.unwrap_or(0.0), max.unwrap_or(0.0))
        };
        let format_range = |(median, min, max): (f64, f64, f64), digits: usize| {
            format!("{median:.digits$} ({min:.digits$} to {max:.digits$})")
        };
        let recovery = median_range(|result| result.recovery_s);
        let recovery = if recovery.1 < 0.0 {
            "not within 20 s in at least one run".to_owned()
        } else {
            format!("{} s", format_range(recovery, 1))
        };
        table.add_row([
            retry_label.to_owned(),
            breaker_label.to_owned(),
            format_range(median_range(|result| result.attempts_per_first), 2),
            format_range(median_range(|result| result.calls_per_second), 0),
            recovery,
        ]);
    }
    println!("{table}");
    Ok(())
}

/// The result of one run of the outage experiment.
struct OutageResult {
    /// Attempts, retries and hedged requests included, for each first attempt during the outage.
    attempts_per_first: f64,
    /// Attempts per second during the outage.
    calls_per_second: f64,
    /// Seconds from the end of the outage until 95 % of the requests of half a second are served; negative if
    /// that doesn't happen within 20 s.
    recovery_s: f64,
}

/// Start and end of the outage.
const OUTAGE: (Micros, Micros) = (5_000 * MS, 35_000 * MS);
/// When the last request of the outage experiment is sent.
const EXPERIMENT_END: Micros = 55_000 * MS;

/// Sends 200 requests/s with Poisson arrivals to a dependency that handles 300 calls/s. After the outage the
/// dependency fails every call for which it received more than that in the last second, like a service that
/// is restarted under overload.
fn run_outage_experiment(
    retry: RetryPolicy,
    breaker: Option<BreakerConfig>,
    seed: u64,
) -> Result<OutageResult, String> {
    let limit = LimitBounds { initial: 32, min: 4, max: 128 };
    let dependency = DependencyConfig {
        idempotent: true,
        retry,
        breaker,
        concurrency_limit: limit,
        endpoint_concurrency_limit: limit,
        ..DependencyConfig::new("a", &["x", "y"])
    };
    let calls = vec![CallConfig { dependency: "a".to_owned(), required: true }];
    let stages = vec![StageConfig { weight: 1.0, min_time: 0, max_time: 60_000 * MS, calls }];
    let plans = vec![PlanConfig { class: "c".to_owned(), stages }];
    let config = Config { dependencies: vec![dependency], plans, ..Config::default() };
    let mut last_second = std::collections::VecDeque::new();
    let call_model = Box::new(move |now: Micros, _: &str, random: &mut rand_chacha::ChaCha8Rng| {
        last_second.push_back(now);
        while last_second.front().is_some_and(|&at| at + 1_000 * MS < now) {
            last_second.pop_front();
        }
        let down = now >= OUTAGE.0 && now < OUTAGE.1;
        let overloaded = now >= OUTAGE.1 && last_second.len() > 300;
        let duration = random.random_range(15 * MS..25 * MS);
        (duration, if down || overloaded { Outcome::Error } else { Outcome::Ok })
    });
    let mut emulation = Emulation::new(config, seed, call_model)?;
    let mut arrival_random = rand::SeedableRng::seed_from_u64(seed);
    let arrival_random: &mut rand_chacha::ChaCha8Rng = &mut arrival_random;
    let intervals = Exp::new(200.0).map_err(|error| error.to_string())?;
    let (mut counts_before, mut counts_after) = (emulation.counts(), emulation.counts());
    while emulation.now < EXPERIMENT_END {
        if emulation.now < OUTAGE.0 {
            counts_before = emulation.counts();
        } else if emulation.now < OUTAGE.1 {
            counts_after = emulation.counts();
        }
        emulation.start_plan("c", 300 * MS);
        let interval: f64 = intervals.sample(arrival_random);
        emulation.run_until(emulation.now + (interval * 1e6) as Micros);
    }
    let first_attempts = (counts_after.first_attempts - counts_before.first_attempts) as f64;
    let further_attempts = (counts_after.retries + counts_after.hedged_requests
        - counts_before.retries
        - counts_before.hedged_requests) as f64;
    let is_served = |from: Micros| {
        let window =
            emulation.finished.iter().filter(|plan| (from..from + 500 * MS).contains(&plan.started_at));
        let (count, served) = window.fold((0, 0), |(count, served), plan| {
            (count + 1, served + u32::from(plan.outcome == Outcome::Ok))
        });
        count > 0 && served * 20 >= count * 19
    };
    let recovery = (0..195).map(|n| n * 100 * MS).find(|&delay| is_served(OUTAGE.1 + delay));
    Ok(OutageResult {
        attempts_per_first: 1.0 + further_attempts / first_attempts.max(1.0),
        calls_per_second: (first_attempts + further_attempts) / ((OUTAGE.1 - OUTAGE.0) as f64 / 1e6),
        recovery_s: recovery.map_or(-1.0, |delay| delay as f64 / 1e6),
    })
}

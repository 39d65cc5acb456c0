//! What single decisions about dependencies are worth, each beside doing without it.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::config::{
    BreakerConfig, CallConfig, Config, DependencyConfig, LimitBounds, PlanConfig, RetryPolicy, StageConfig,
};

use crate::emulate::{Emulation, MS};

/// Plays one experiment for each seed from 1 on, and prints the middle one of each figure with least and most.
pub fn budgets(seeds: u64) -> Result<(), String> {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "what is slow",
        "how time is shared",
        "whole",
        "partial",
        "failed",
        "p99 of the time",
    ]);
    for slow in ["nothing", "first", "second", "third", "first, and only wanted"] {
        for way in [Way::None, Way::Equal, Way::Shared] {
            let mut all = Vec::new();
            for seed in 1..=seeds {
                all.push(one_budget(slow, way, seed)?);
            }
            let cell = |which: fn(&[f64; 4]) -> f64| spread(all.iter().map(which).collect());
            table.add_row([
                slow.to_owned(),
                way.name().to_owned(),
                cell(|f| f[0]),
                cell(|f| f[1]),
                cell(|f| f[2]),
                cell(|f| f[3]),
            ]);
        }
    }
    println!("{table}");
    Ok(())
}

#[derive(Clone, Copy)]
enum Way {
    /// Each stage may take all that is left.
    None,
    /// Each stage has a third of the whole, and what it leaves is lost.
    Equal,
    /// As the package does it.
    Shared,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Way::None => "none",
            Way::Equal => "equal split",
            Way::Shared => "shared, unspent time passes on",
        }
    }
}

/// Time that a request has for its calls.
const TIME: Micros = 300 * MS;

/// Three stages: the first two needed, the last wanted, or the first wanted and the others needed. Calls take 60 ms in the middle, which is often over an equal
/// share less than twice; the slow one takes six times that for half of the calls.
fn one_budget(what: &'static str, way: Way, seed: u64) -> Result<[f64; 4], String> {
    let front = what == "first, and only wanted";
    let slow = if front { "first" } else { what };
    let names = ["first", "second", "third"];
    let stage = |(place, name): (usize, &&str)| {
        let (share, most) = match way {
            Way::None => (1e6_f64.powi(2 - place as i32), TIME),
            Way::Equal => (1.0, TIME / 3),
            Way::Shared => (1.0, TIME),
        };
        StageConfig {
            weight: share,
            min_time: 0,
            max_time: most,
            calls: vec![CallConfig {
                dependency: (*name).to_owned(),
                required: if front { place > 0 } else { place < 2 },
            }],
        }
    };
    let stages = names.iter().enumerate().map(stage).collect();
    let limit = LimitBounds { initial: 64, min: 64, max: 64 };
    let retry = RetryPolicy { max_retries: 0, ..RetryPolicy::default() };
    // Limits and breakers would answer the slow one as well: here only time is shared.
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
    let usual = LogNormal::new(60_000_f64.ln(), 0.4).map_err(|e| e.to_string())?;
    let script = Box::new(move |_: Micros, name: &str, random: &mut rand_chacha::ChaCha8Rng| {
        let took = usual.sample(random);
        let lags = name == slow && random.random_bool(0.5);
        ((if lags { took * 6.0 } else { took }) as Micros, Outcome::Ok)
    });
    let mut world = Emulation::new(config, seed, script)?;
    for n in 0..2_000 {
        world.run_until(n * 10 * MS);
        world.ask("c", TIME);
    }
    world.run_until(world.now + 2 * TIME);
    let share = |which: &dyn Fn(&crate::emulate::Ended) -> bool| {
        100.0 * world.ended.iter().filter(|e| which(e)).count() as f64 / world.ended.len().max(1) as f64
    };
    let mut times: Vec<Micros> = world.ended.iter().map(|e| e.took).collect();
    times.sort_unstable();
    let p99 = times.get(times.len() * 99 / 100).copied().unwrap_or(0) as f64 / TIME as f64;
    Ok([
        share(&|e| e.whole),
        share(&|e| e.outcome == Outcome::Ok && !e.whole),
        share(&|e| e.outcome != Outcome::Ok),
        100.0 * p99,
    ])
}

/// The middle one, with least and most.
fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    match (all.first(), all.get(all.len() / 2), all.last()) {
        (Some(least), Some(middle), Some(most)) => format!("{middle:.1} % ({least:.1} to {most:.1})"),
        _ => String::new(),
    }
}

/// A dependency that is down for 30 s under full load, and cannot come back while it gets more than it can do.
pub fn outage(seeds: u64) -> Result<(), String> {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "repeated attempts",
        "breaker",
        "attempts a first, down",
        "calls a second, down",
        "served again after",
    ]);
    let unbounded = RetryPolicy { budget_ratio: 1.0, budget_burst: 1_000.0, ..RetryPolicy::default() };
    let ways = [
        ("two, without a budget", unbounded, "none", None),
        ("out of a budget", RetryPolicy::default(), "none", None),
        ("two, without a budget", unbounded, "yes", Some(BreakerConfig::default())),
        ("out of a budget", RetryPolicy::default(), "yes", Some(BreakerConfig::default())),
    ];
    for (retries, retry, name, breaker) in ways {
        let mut all = Vec::new();
        for seed in 1..=seeds {
            all.push(one_outage(retry, breaker, seed)?);
        }
        let middle = |which: fn(&Outage) -> f64| {
            let mut found: Vec<f64> = all.iter().map(which).collect();
            found.sort_by(f64::total_cmp);
            let (least, most) = (found.first().copied(), found.last().copied());
            (found.get(found.len() / 2).copied().unwrap_or(0.0), least.unwrap_or(0.0), most.unwrap_or(0.0))
        };
        let text = |(middle, least, most): (f64, f64, f64), digits: usize| {
            format!("{middle:.digits$} ({least:.digits$} to {most:.digits$})")
        };
        let back = middle(|o| o.back);
        let back =
            if back.1 < 0.0 { "not within 20 s in all".to_owned() } else { format!("{} s", text(back, 1)) };
        table.add_row([
            retries.to_owned(),
            name.to_owned(),
            text(middle(|o| o.attempts), 2),
            text(middle(|o| o.calls), 0),
            back,
        ]);
    }
    println!("{table}");
    Ok(())
}

struct Outage {
    attempts: f64,
    calls: f64,
    /// Seconds until nineteen of twenty were served; negative: not within 20 s.
    back: f64,
}

const DOWN: (Micros, Micros) = (5_000 * MS, 35_000 * MS);
const END: Micros = 55_000 * MS;

/// 200 requests a second, Poisson. The dependency does 300 calls a second; from the end of the outage on it answers
/// only as long as it was sent no more than that in the last second, as one that is brought up under a crowd.
fn one_outage(retry: RetryPolicy, breaker: Option<BreakerConfig>, seed: u64) -> Result<Outage, String> {
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
    let script = Box::new(move |now: Micros, _: &str, random: &mut rand_chacha::ChaCha8Rng| {
        last_second.push_back(now);
        while last_second.front().is_some_and(|&at| at + 1_000 * MS < now) {
            last_second.pop_front();
        }
        let down = now >= DOWN.0 && now < DOWN.1;
        let crowded = now >= DOWN.1 && last_second.len() > 300;
        let took = random.random_range(15 * MS..25 * MS);
        (took, if down || crowded { Outcome::Error } else { Outcome::Ok })
    });
    let mut world = Emulation::new(config, seed, script)?;
    let mut arrivals = rand::SeedableRng::seed_from_u64(seed);
    let arrivals: &mut rand_chacha::ChaCha8Rng = &mut arrivals;
    let gaps = Exp::new(200.0).map_err(|e| e.to_string())?;
    let (mut before, mut after) = (world.counts(), world.counts());
    while world.now < END {
        if world.now < DOWN.0 {
            before = world.counts();
        } else if world.now < DOWN.1 {
            after = world.counts();
        }
        world.ask("c", 300 * MS);
        let gap: f64 = gaps.sample(arrivals);
        world.run_until(world.now + (gap * 1e6) as Micros);
    }
    let firsts = (after.first_attempts - before.first_attempts) as f64;
    let more = (after.retries + after.hedged_requests - before.retries - before.hedged_requests) as f64;
    let served = |from: Micros| {
        let here = world.ended.iter().filter(|e| (from..from + 500 * MS).contains(&e.asked));
        let (count, good) = here.fold((0, 0), |(n, g), e| (n + 1, g + u32::from(e.outcome == Outcome::Ok)));
        count > 0 && good * 20 >= count * 19
    };
    let back = (0..195).map(|n| n * 100 * MS).find(|&after| served(DOWN.1 + after));
    Ok(Outage {
        attempts: 1.0 + more / firsts.max(1.0),
        calls: (firsts + more) / ((DOWN.1 - DOWN.0) as f64 / 1e6),
        back: back.map_or(-1.0, |after| after as f64 / 1e6),
    })
}

//! A fleet of real processes under faults, and its time line.

use std::path::PathBuf;
use std::time::Duration;

use comfy_table::{presets, Table};
use umberloom_fault_harness::script::{Script, FAULT_KINDS};
use umberloom_fault_harness::traffic::{Outcome, RequestOutcome, Traffic};
use umberloom_fault_harness::{Fleet, Options as Rig};
use umberloom_protocol_fakes::dependency::{peak_concurrency, CallInterval};

use crate::fleet_chart::{self, Sample};

/// What the play is told.
#[derive(Clone, Debug)]
pub struct Options {
    pub server: Option<PathBuf>,
    pub servers: usize,
    pub seconds: u64,
    pub seed: u64,
    /// Kinds of faults, with commas between.
    pub faults: String,
    /// A script in place of drawn faults.
    pub script: Option<PathBuf>,
    pub chart: Option<PathBuf>,
    pub history: Option<PathBuf>,
}

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(500);
/// Callers at each server; one after the other has the need.
const CALLERS: usize = 12;
/// The need moves on after so many looks.
const MOVES: usize = 8;

fn kinds(text: &str) -> Result<Vec<&str>, String> {
    let all: Vec<&str> = match text {
        "all" => FAULT_KINDS.to_vec(),
        "none" => Vec::new(),
        text => text.split(',').collect(),
    };
    match all.iter().find(|kind| !FAULT_KINDS.contains(kind)) {
        Some(kind) => Err(format!(
            "found the kind {kind:?}, expected some of {}, \"all\" or \"none\"",
            FAULT_KINDS.join(",")
        )),
        None => Ok(all),
    }
}

fn script(options: &Options) -> Result<Script, String> {
    if let Some(path) = &options.script {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        return text.parse().map_err(|why| format!("{}: {why}", path.display()));
    }
    let kinds = kinds(&options.faults)?;
    Ok(match kinds.is_empty() {
        true => Script::default(),
        false => Script::generate(options.seed, options.servers, options.seconds, &kinds),
    })
}

fn sample(fleet: &Fleet, n: usize, at: Duration) -> Sample {
    let gone = Sample { at: at.as_millis() as u64, standing: '-', there: 0, part: 0, borrowed: 0 };
    if !fleet.servers[n].is_running() {
        return Sample { standing: if fleet.servers[n].stopped { 'z' } else { '-' }, ..gone };
    }
    let Ok(view) = fleet.view(n) else { return gone };
    let share = &view["allowances"][0][1];
    let figure = |name: &str| share[name].as_u64().unwrap_or(0);
    let there = |state: &str| matches!(state, "Present" | "Suspected" | "Leaving");
    let members = view["members"].as_array();
    let members =
        members.map_or(0, |all| all.iter().filter(|m| m["state"].as_str().is_some_and(there)).count());
    let standing = match view["standing"].as_str().unwrap_or("") {
        "Whole" => 'W',
        "Majority" => 'M',
        "Minority" => 'm',
        "Alone" => 'a',
        _ => '?',
    };
    Sample { standing, there: members, part: figure("part"), borrowed: figure("borrowed"), ..gone }
}

/// Plays it, prints the time line and the verdict; a breach is an error.
pub fn play(options: &Options) -> Result<(), String> {
    let server = options.server.clone().map_or_else(crate::demo::beside, Ok)?;
    if !(2..=24).contains(&options.servers) || !(5..=600).contains(&options.seconds) {
        return Err("--servers is from 2 to 24, --seconds from 5 to 600".to_owned());
    }
    let script = script(options)?;
    let mut rig = Rig::new(&server, options.servers);
    rig.seed = options.seed;
    rig.service_time_ms = 40.0;
    rig.capacity = 4 * options.servers as u32;
    let mut fleet = Fleet::start_converged(rig)?;
    fleet.start_traffic(CALLERS, Duration::from_millis(400));
    let mut lines: Vec<Vec<Sample>> = vec![Vec::new(); options.servers];
    let mut looks = 0;
    let (span, start) = (Duration::from_secs(options.seconds), std::time::Instant::now());
    script.play(&mut fleet, span, LOOK, |fleet, at| {
        let busy = looks / MOVES % fleet.servers.len();
        looks += 1;
        for (n, line) in lines.iter_mut().enumerate() {
            let gap = Duration::from_millis(if n == busy { 1 } else { 400 });
            fleet.traffic.iter().for_each(|traffic| traffic.set_gap(n, gap));
            line.push(sample(fleet, n, at));
        }
    });
    let settled = fleet.wait_for_partition_status_everywhere("whole").err();
    let asked = fleet.traffic.take().map(Traffic::finish).unwrap_or_default();
    let spans = fleet.call_intervals();
    let mut breaches = fleet.check_invariants(&asked);
    breaches.extend(settled.map(|why| why.lines().next().unwrap_or_default().to_owned()));
    print(&fleet, &lines, &asked, &spans);
    if !script.0.is_empty() {
        println!("faults, seed {}:\n{script}", options.seed);
    }
    if let Some(path) = &options.chart {
        fleet_chart::draw(path, &fleet.options, &lines, &spans, start)
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if let Some(path) = &options.history {
        fleet.history.write(path).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    match breaches.is_empty() {
        true => {
            println!("verdict: nothing that must always hold was broken");
            Ok(())
        }
        false => Err(format!("broken:\n{}", breaches.join("\n"))),
    }
}

fn print(fleet: &Fleet, lines: &[Vec<Sample>], asked: &[RequestOutcome], spans: &[CallInterval]) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "server", "standing", "sees", "served", "refused", "failed", "broken", "p99 ms", "part", "borrowed",
    ]);
    for (n, line) in lines.iter().enumerate() {
        let count = |end| asked.iter().filter(|a| a.server == n && a.outcome == end).count().to_string();
        let mut took: Vec<u128> = asked
            .iter()
            .filter(|a| a.server == n && a.outcome == Outcome::Served)
            .map(|a| a.took.as_millis())
            .collect();
        took.sort_unstable();
        let p99 = took.get(took.len().saturating_mul(99) / 100).map_or("-".to_owned(), u128::to_string);
        let borrowed = line.iter().map(|s| s.borrowed).max().unwrap_or(0);
        let last = line.last();
        table.add_row([
            fleet.servers[n].name.clone(),
            line.iter().map(|s| s.standing).collect(),
            last.map_or(0, |s| s.there).to_string(),
            count(Outcome::Served),
            count(Outcome::Refused),
            count(Outcome::Failed),
            count(Outcome::Broken),
            p99,
            last.map_or(0, |s| s.part).to_string(),
            format!("up to {borrowed}"),
        ]);
    }
    println!("{table}");
    println!(
        "one letter each {} ms: W whole, M majority, m minority, a alone, ? unsure, z stopped, - not running",
        LOOK.as_millis()
    );
    let (most, _) = peak_concurrency(spans);
    println!(
        "{} calls to the shared dependency, {most} at once at most, it survives {}",
        spans.len(),
        fleet.options.capacity
    );
}

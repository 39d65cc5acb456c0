//! Runs a fleet of real processes under injected faults, and prints its timeline.

use std::path::PathBuf;
use std::time::Duration;

use comfy_table::{presets, Table};
use umberloom_fault_harness::script::{Script, FAULT_KINDS};
use umberloom_fault_harness::traffic::{Outcome, RequestOutcome, Traffic};
use umberloom_fault_harness::{Fleet, Options as FleetOptions};
use umberloom_protocol_fakes::dependency::{peak_concurrency, CallInterval};

use crate::fleet_chart::{self, Sample};

/// The options of a fleet run.
#[derive(Clone, Debug)]
pub struct Options {
    pub server: Option<PathBuf>,
    /// The number of servers.
    pub servers: usize,
    pub seconds: u64,
    pub seed: u64,
    /// Kinds of faults, separated by commas, or "all" or "none".
    pub faults: String,
    /// A file with a script of faults, in place of randomly drawn ones.
    pub script: Option<PathBuf>,
    /// Where to write the timeline as SVG.
    pub chart: Option<PathBuf>,
    /// Where to write the history, one JSON object per line.
    pub history: Option<PathBuf>,
}

/// The time between two samples of every server.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Callers at each server. One server at a time is busy: its callers pause for 1 ms between requests, those
/// of the others for 400 ms.
const CALLERS_PER_SERVER: usize = 12;
/// The number of samples after which the next server becomes the busy one.
const SAMPLES_PER_BUSY_SERVER: usize = 8;

fn parse_fault_kinds(text: &str) -> Result<Vec<&str>, String> {
    let all: Vec<&str> = match text {
        "all" => FAULT_KINDS.to_vec(),
        "none" => Vec::new(),
        text => text.split(',').collect(),
    };
    match all.iter().find(|kind| !FAULT_KINDS.contains(kind)) {
        Some(kind) => Err(format!(
            "found the fault kind {kind:?}, expected some of {}, \"all\" or \"none\"",
            FAULT_KINDS.join(",")
        )),
        None => Ok(all),
    }
}

/// Reads the script from its file, or draws faults of the given kinds.
fn load_script(options: &Options) -> Result<Script, String> {
    if let Some(path) = &options.script {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        return text.parse().map_err(|error| format!("{}: {error}", path.display()));
    }
    let fault_kinds = parse_fault_kinds(&options.faults)?;
    Ok(match fault_kinds.is_empty() {
        true => Script::default(),
        false => Script::generate(options.seed, options.servers, options.seconds, &fault_kinds),
    })
}

/// What server `n` reports of itself now, as a sample for the time `at` since the start.
fn take_sample(fleet: &Fleet, n: usize, at: Duration) -> Sample {
    let unavailable =
        Sample { at_ms: at.as_millis() as u64, status: '-', present_members: 0, quota_share: 0, borrowed: 0 };
    if !fleet.servers[n].is_running() {
        return Sample { status: if fleet.servers[n].stopped { 'z' } else { '-' }, ..unavailable };
    }
    let Ok(view) = fleet.view(n) else { return unavailable };
    let quota = &view["allowances"][0][1];
    let number = |name: &str| quota[name].as_u64().unwrap_or(0);
    let is_present = |state: &str| matches!(state, "Present" | "Suspected" | "Leaving");
    let member_list = view["members"].as_array();
    let present_members = member_list
        .map_or(0, |all| all.iter().filter(|m| m["state"].as_str().is_some_and(is_present)).count());
    let status = match view["standing"].as_str().unwrap_or("") {
        "Whole" => 'W',
        "Majority" => 'M',
        "Minority" => 'm',
        "Alone" => 'a',
        _ => '?',
    };
    Sample {
        status,
        present_members,
        quota_share: number("part"),
        borrowed: number("borrowed"),
        ..unavailable
    }
}

/// Runs the fleet and prints the timeline and the verdict. Violated invariants are returned as an error.
pub fn run(options: &Options) -> Result<(), String> {
    let server = options.server.clone().map_or_else(crate::demo::default_server_path, Ok)?;
    if !(2..=24).contains(&options.servers) || !(5..=600).contains(&options.seconds) {
        return Err("--servers must be from 2 to 24, --seconds from 5 to 600".to_owned());
    }
    let script = load_script(options)?;
    let mut fleet_options = FleetOptions::new(&server, options.servers);
    fleet_options.seed = options.seed;
    fleet_options.service_time_ms = 40.0;
    fleet_options.capacity = 4 * options.servers as u32;
    let mut fleet = Fleet::start_converged(fleet_options)?;
    fleet.start_traffic(CALLERS_PER_SERVER, Duration::from_millis(400));
    let mut timelines: Vec<Vec<Sample>> = vec![Vec::new(); options.servers];
    let mut sample_count = 0;
    let (duration, start) = (Duration::from_secs(options.seconds), std::time::Instant::now());
    script.play(&mut fleet, duration, SAMPLE_INTERVAL, |fleet, at| {
        let busy = sample_count / SAMPLES_PER_BUSY_SERVER % fleet.servers.len();
        sample_count += 1;
        for (n, timeline) in timelines.iter_mut().enumerate() {
            let gap = Duration::from_millis(if n == busy { 1 } else { 400 });
            fleet.traffic.iter().for_each(|traffic| traffic.set_gap(n, gap));
            timeline.push(take_sample(fleet, n, at));
        }
    });
    let convergence_error = fleet.wait_for_partition_status_everywhere("whole").err();
    let requests = fleet.traffic.take().map(Traffic::finish).unwrap_or_default();
    let calls = fleet.call_intervals();
    let mut violations = fleet.check_invariants(&requests);
    violations.extend(convergence_error.map(|error| error.lines().next().unwrap_or_default().to_owned()));
    print_results(&fleet, &timelines, &requests, &calls);
    if !script.0.is_empty() {
        println!("faults, seed {}:\n{script}", options.seed);
    }
    if let Some(path) = &options.chart {
        fleet_chart::draw(path, &fleet.options, &timelines, &calls, start)
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if let Some(path) = &options.history {
        fleet.history.write(path).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    match violations.is_empty() {
        true => {
            println!("verdict: no invariant was violated");
            Ok(())
        }
        false => Err(format!("invariants violated:\n{}", violations.join("\n"))),
    }
}

fn print_results(
    fleet: &Fleet,
    timelines: &[Vec<Sample>],
    requests: &[RequestOutcome],
    calls: &[CallInterval],
) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "server", "standing", "sees", "served", "refused", "failed", "broken", "p99 ms", "part", "borrowed",
    ]);
    for (n, timeline) in timelines.iter().enumerate() {
        let count =
            |outcome| requests.iter().filter(|r| r.server == n && r.outcome == outcome).count().to_string();
        let mut durations_ms: Vec<u128> = requests
            .iter()
            .filter(|a| a.server == n && a.outcome == Outcome::Served)
            .map(|a| a.took.as_millis())
            .collect();
        durations_ms.sort_unstable();
        let p99 = durations_ms
            .get(durations_ms.len().saturating_mul(99) / 100)
            .map_or("-".to_owned(), u128::to_string);
        let borrowed = timeline.iter().map(|s| s.borrowed).max().unwrap_or(0);
        let last = timeline.last();
        table.add_row([
            fleet.servers[n].name.clone(),
            timeline.iter().map(|s| s.status).collect(),
            last.map_or(0, |s| s.present_members).to_string(),
            count(Outcome::Served),
            count(Outcome::Refused),
            count(Outcome::Failed),
            count(Outcome::Broken),
            p99,
            last.map_or(0, |s| s.quota_share).to_string(),
            format!("up to {borrowed}"),
        ]);
    }
    println!("{table}");
    println!(
        "one letter per {} ms: W whole, M majority, m minority, a alone, ? unsure, z stopped, - not running",
        SAMPLE_INTERVAL.as_millis()
    );
    let (peak, _) = peak_concurrency(calls);
    println!(
        "{} calls to the shared dependency, at most {peak} at once; it survives {}",
        calls.len(),
        fleet.options.capacity
    );
}

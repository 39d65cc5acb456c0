//! Plays the run of a seed with three servers that keep a replicated store.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use umberloom_fault_harness::traffic::{Outcome, RequestOutcome, Traffic};
use umberloom_fault_harness::{Fleet, Options as FleetOptions};
use umberloom_protocol_fakes::standstill::{cores_of_process, monitor};

use super::check::Violation;
use super::client::CROSSING;
use super::plan::{FleetPlan, STOP_MS};
use super::Options;

/// Callers at each server, and the pause of each between two requests.
const CALLERS: usize = 6;
const CALLER_PAUSE: Duration = Duration::from_millis(5);
/// Time between two signals of a series, so that each is delivered.
const SIGNAL_GAP: Duration = Duration::from_micros(20);

/// Plays the plan and returns the rules that were broken. `folder` gets the logs of the servers.
pub fn play(plan: &FleetPlan, options: &Options, server: &Path, folder: &Path) -> Vec<Violation> {
    let mut fleet_options = FleetOptions::new(server, 3);
    fleet_options.store_options = Some("voters=3 election-ms=400 replace-after-s=30".to_owned());
    fleet_options.store_folder_options = Some("most-mb=64".to_owned());
    let result = start(fleet_options).and_then(|mut fleet| {
        let result = play_fleet(plan, options, &mut fleet);
        for server in &fleet.servers {
            // Kept logs are a help for the reader of a failure and no part of the verdict.
            let _ = std::fs::create_dir_all(folder);
            let _ = std::fs::write(folder.join(format!("{}.log", server.name)), server.log());
        }
        result
    });
    result.unwrap_or_else(|reason| vec![Violation::Environment { reason }])
}

fn start(options: FleetOptions) -> Result<Fleet, String> {
    let mut fleet = Fleet::prepare(options).map_err(|e| e.to_string())?;
    for server in &mut fleet.servers {
        server.config_overrides.push(("/stop_ms", json!(STOP_MS)));
        server.start().map_err(|e| e.to_string())?;
    }
    fleet.wait_for_replication(3)?;
    fleet.start_traffic(CALLERS, CALLER_PAUSE);
    Ok(fleet)
}

fn play_fleet(plan: &FleetPlan, options: &Options, fleet: &mut Fleet) -> Result<Vec<Violation>, String> {
    let mut written = write_documents(fleet, 0, Duration::from_secs(options.seconds));
    let killed_at = stop_target(plan, fleet);
    let was_alive = fleet.servers[plan.target].exit_status().is_none();
    let cores = fleet.servers[plan.target].pid().map(cores_of_process).unwrap_or_default();
    let standstill = monitor().exit_delay(&cores, Instant::now());
    fleet.servers[plan.target].kill();
    let alive_at_kill = was_alive.then_some(Violation::AliveAtKill { standstill });
    let mut violations: Vec<Violation> = alive_at_kill.into_iter().collect();
    written.extend(write_documents(fleet, written.len(), Duration::from_millis(300)));
    let requests = fleet.traffic.take().map(Traffic::finish).unwrap_or_default();
    violations.extend(requests.iter().filter_map(|request| check_request(request, plan.target, killed_at)));
    if plan.loses_disk {
        fleet.servers[plan.target].lose_disk();
    }
    fleet.servers[plan.target].start().map_err(|e| e.to_string())?;
    fleet.wait_for_replication(3)?;
    violations.extend(written.iter().filter_map(|name| check_document(fleet, plan.target, name)));
    violations
        .extend(fleet.check_invariants(&[]).into_iter().map(|reason| Violation::Environment { reason }));
    Ok(violations)
}

/// Sends the target its signals and waits until the kill is due. Returns the Unix time of the kill in
/// microseconds.
fn stop_target(plan: &FleetPlan, fleet: &mut Fleet) -> u64 {
    let target = &mut fleet.servers[plan.target];
    send_series(target, plan.hangups_before_notice);
    if plan.standstill_ms > 0 {
        target.set_stopped(true);
    }
    target.terminate();
    let kill_at = Instant::now() + Duration::from_millis(STOP_MS as u64);
    if plan.standstill_ms > 0 {
        thread::sleep(Duration::from_millis(plan.standstill_ms));
        target.set_stopped(false);
    }
    send_series(target, plan.hangups_after_notice);
    thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    umberloom_fault_harness::history::now_us()
}

fn send_series(server: &umberloom_fault_harness::server::Server, count: u32) {
    for _ in 0..count {
        server.signal("HUP");
        thread::sleep(SIGNAL_GAP);
    }
}

/// Writes documents at the servers in turn for this long, and returns the names of those acknowledged.
fn write_documents(fleet: &Fleet, first: usize, period: Duration) -> Vec<String> {
    let end = Instant::now() + period;
    let mut acknowledged = Vec::new();
    let mut number = first;
    while Instant::now() < end {
        let server = number % fleet.servers.len();
        let name = format!("d{number}");
        number += 1;
        let file = fleet.servers[server].folder.join("document");
        if !fleet.servers[server].is_running() || std::fs::write(&file, content_of(&name)).is_err() {
            continue;
        }
        if fleet.store_command(server, &["put", &name, &file.display().to_string()]).is_ok() {
            acknowledged.push(name);
        }
    }
    acknowledged
}

fn content_of(name: &str) -> String {
    format!("content of {name}")
}

/// Checks that an acknowledged document has its content, as read by a majority.
fn check_document(fleet: &Fleet, server: usize, name: &str) -> Option<Violation> {
    let found = match fleet.store_command(server, &["show", name]) {
        Ok(reply) if reply["content"] == content_of(name) => return None,
        Ok(reply) => reply["content"].to_string(),
        Err(error) => error,
    };
    Some(Violation::EntryLost { name: name.to_owned(), found })
}

/// Checks that a request was answered, unless it crossed the end of its connection at the target.
fn check_request(request: &RequestOutcome, target: usize, killed_at_us: u64) -> Option<Violation> {
    let id = format!("to n{}", request.server + 1);
    match request.outcome {
        Outcome::Served | Outcome::Refused | Outcome::Failed => None,
        Outcome::Broken if request.server == target && request.took <= CROSSING => None,
        Outcome::Extra => Some(Violation::AnsweredTwice { id }),
        Outcome::Broken | Outcome::Lost => {
            let written_before_kill = Duration::from_micros(killed_at_us.saturating_sub(request.at_us));
            let connection_ended_after = Some(request.took);
            Some(Violation::Unanswered { id, written_before_kill, connection_ended_after })
        }
    }
}

//! Measurements of a fleet: of real processes over the relays of the fault harness, and of members on virtual
//! time.

use std::path::PathBuf;
use std::time::Duration;

use umberloom_fault_harness::traffic::{Outcome, Traffic};
use umberloom_fault_harness::virtual_fleet::{Network, VirtualFleet};
use umberloom_fault_harness::{Fleet, Options as FleetOptions};
use umberloom_membership::Config;

use crate::store_measures;
use crate::tables::{percentile, table};

/// The options of a measurement.
#[derive(Clone, Debug)]
pub struct Options {
    pub server: Option<PathBuf>,
    pub measurement: Measurement,
}

/// A measurement and its parameters.
#[derive(Clone, Debug)]
pub enum Measurement {
    /// The time from a kill until the other servers know of it, with real processes: fleet sizes, kills per
    /// size.
    Detection(Vec<usize>, usize),
    /// The same on virtual time, with traffic, the time until views agree after a partition, and false
    /// suspicions by message loss: fleet sizes, seeds per size.
    Virtual(Vec<usize>, u64),
    /// The effect of leases of quota under uneven load: seconds.
    Leases(u64),
    /// Processor time of the servers' main threads per request with the fleet on and off, measured in pairs:
    /// pairs, seconds per measurement.
    Cost(u64, u64),
    /// Processor time of the servers' main threads and traffic of a fleet without requests: fleet sizes,
    /// seconds.
    Idle(Vec<usize>, u64),
    /// Suspicions while one server runs for only a part of the time: servers, percentages of the time,
    /// seconds.
    Starved(usize, Vec<usize>, u64),
    /// Writes to the replicated store: seconds, clients.
    Commits(u64, usize),
    /// The time from the loss of a leader until the next one is elected: repetitions.
    Leaders(usize),
    /// The catch-up of a server that lost its disk: documents of 1 MB in the store.
    CatchUp(usize),
    /// The store without replication.
    Store,
}

/// Runs the measurement and prints its tables.
pub fn measure(options: &Options) -> Result<(), String> {
    let server = || options.server.clone().map_or_else(crate::demo::default_server_path, Ok);
    match &options.measurement {
        Measurement::Detection(sizes, kills) => detection(&server()?, sizes, *kills),
        Measurement::Virtual(sizes, seeds) => virtual_time(sizes, *seeds),
        Measurement::Leases(seconds) => leases(&server()?, *seconds),
        Measurement::Cost(pairs, seconds) => cost(&server()?, *pairs, *seconds),
        Measurement::Idle(sizes, seconds) => idle(&server()?, sizes, *seconds),
        Measurement::Commits(seconds, clients) => store_measures::commits(&server()?, *seconds, *clients),
        Measurement::Leaders(times) => store_measures::leaders(&server()?, *times),
        Measurement::CatchUp(documents) => store_measures::catch_up(&server()?, *documents),
        Measurement::Store => store_measures::store(),
        Measurement::Starved(servers, percentages, seconds) => {
            starved(&server()?, *servers, percentages, *seconds)
        }
    }
}

/// Counts suspicions and failures while the last server runs for a percentage of every two seconds and is
/// stopped for the rest.
fn starved(
    server: &std::path::Path,
    servers: usize,
    core_percentages: &[usize],
    seconds: u64,
) -> Result<(), String> {
    const CYCLE_MS: u64 = 2_000;
    let mut results = table(&[
        "servers",
        "core time of the last, %",
        "suspicions of the last per hour, by each other",
        "the last marked failed per hour, by each other",
        "others marked failed per hour, by the last",
        "others marked failed by others",
        "partition status of the last at the end",
    ]);
    for &core_percentage in core_percentages {
        let mut fleet = Fleet::start(default_timing_options(server, servers))?;
        fleet.wait_for_partition_status_everywhere("whole")?;
        let (last, started_at) = (servers - 1, umberloom_fault_harness::history::now_us());
        let running_time = Duration::from_millis(CYCLE_MS * core_percentage.min(100) as u64 / 100);
        let end = std::time::Instant::now() + Duration::from_secs(seconds);
        while std::time::Instant::now() < end {
            fleet.servers[last].set_stopped(true);
            std::thread::sleep(Duration::from_millis(CYCLE_MS) - running_time);
            fleet.servers[last].set_stopped(false);
            std::thread::sleep(running_time);
        }
        let final_status = fleet.partition_status(last);
        fleet.servers.iter_mut().for_each(umberloom_fault_harness::server::Server::read_log);
        let name = fleet.servers[last].name.clone();
        let count = |observer: &str, about_last: bool, new_state: &str| {
            let log_lines = fleet.history.log_lines(observer, "member state changed");
            let matches = |e: &&umberloom_fault_harness::history::Event| {
                e.at_us >= started_at
                    && (e.details["name"] == name.as_str()) == about_last
                    && e.details["to"] == new_state
            };
            log_lines.iter().filter(matches).count()
        };
        let others = || fleet.servers[..last].iter().map(|s| s.name.as_str());
        let hourly = |n: usize, observers: usize| {
            format!("{:.0}", n as f64 * 3_600.0 / seconds as f64 / observers as f64)
        };
        results.add_row([
            servers.to_string(),
            core_percentage.to_string(),
            hourly(others().map(|observer| count(observer, true, "suspected")).sum(), last),
            hourly(others().map(|observer| count(observer, true, "failed")).sum(), last),
            hourly(count(&name, false, "failed"), 1),
            others().map(|observer| count(observer, false, "failed")).sum::<usize>().to_string(),
            final_status,
        ]);
    }
    println!("{results}");
    Ok(())
}

/// A fleet of the fault harness with the default times of the product, instead of the short times for tests.
fn default_timing_options(server: &std::path::Path, servers: usize) -> FleetOptions {
    let mut fleet_options = FleetOptions::new(server, servers);
    fleet_options.timing = "timing".to_owned();
    fleet_options.capacity = 8 * servers as u32;
    fleet_options
}

/// Kills one server after another and measures how long the others take to mark it as failed.
fn detection(server: &std::path::Path, server_counts: &[usize], kills: usize) -> Result<(), String> {
    let mut results = table(&[
        "servers",
        "kills",
        "detected by the first, p50 ms",
        "detected by all, p50 ms",
        "p99 ms",
        "max ms",
    ]);
    for &count in server_counts {
        let mut fleet = Fleet::start(default_timing_options(server, count))?;
        fleet.wait_for_partition_status_everywhere("whole")?;
        let (mut first_detections_ms, mut last_detections_ms) = (Vec::new(), Vec::new());
        for kill in 0..kills {
            let killed = kill % count;
            let killed_at = umberloom_fault_harness::history::now_us();
            fleet.servers[killed].kill();
            let others: Vec<usize> = (0..count).filter(|other| *other != killed).collect();
            for other in &others {
                fleet.wait_for_member_state(*other, killed, "failed")?;
            }
            fleet.servers.iter_mut().for_each(umberloom_fault_harness::server::Server::read_log);
            let name = fleet.servers[killed].name.clone();
            let detections_ms = others.iter().filter_map(|other| {
                let log_lines = fleet.history.log_lines(&fleet.servers[*other].name, "member state changed");
                let matches = |e: &&umberloom_fault_harness::history::Event| {
                    e.at_us >= killed_at && e.details["name"] == name.as_str() && e.details["to"] == "failed"
                };
                log_lines.iter().find(matches).map(|e| (e.at_us - killed_at) / 1_000)
            });
            let detections_ms: Vec<u64> = detections_ms.collect();
            first_detections_ms.extend(detections_ms.iter().min());
            last_detections_ms.extend(detections_ms.iter().max());
            fleet.servers[killed].start().map_err(|e| e.to_string())?;
            fleet.wait_for_partition_status_everywhere("whole")?;
        }
        let max = last_detections_ms.iter().max().map_or("-".to_owned(), u64::to_string);
        results.add_row([
            count.to_string(),
            kills.to_string(),
            percentile(&mut first_detections_ms, 0.5),
            percentile(&mut last_detections_ms, 0.5),
            percentile(&mut last_detections_ms, 0.99),
            max,
        ]);
    }
    println!("{results}");
    Ok(())
}

/// Leaves the configuration of a virtual fleet unchanged.
fn default_config(_: &mut Config) {}

/// One second of virtual time, in microseconds.
const SECOND: u64 = 1_000_000;

/// The result of a virtual fleet with one seed.
struct KillAndPartition {
    /// The time from a kill until each other member knew of it, in milliseconds.
    detection_ms: Vec<u64>,
    /// The time from the end of a partition until all views agreed again, in milliseconds.
    agreement_ms: u64,
    /// Traffic per member without faults.
    bytes_per_s: f64,
    messages_per_s: f64,
}

/// Kills and restarts one member, then partitions the fleet into halves for ten seconds.
fn kill_and_partition(count: usize, seed: u64) -> Result<KillAndPartition, String> {
    let mut fleet = VirtualFleet::new(count, seed, default_config);
    fleet.run_until(30 * SECOND)?;
    let (bytes_before, messages_before) = (fleet.bytes, fleet.messages);
    fleet.run_until(40 * SECOND)?;
    let per_member_second = |total: u64| total as f64 / 10.0 / count as f64;
    let bytes_per_s = per_member_second(fleet.bytes - bytes_before);
    let messages_per_s = per_member_second(fleet.messages - messages_before);

    let killed_at = fleet.now;
    fleet.kill(1);
    fleet.run_until(killed_at + 30 * SECOND)?;
    let times = fleet.failure_detection_times(1, killed_at);
    if times.len() < count - 1 {
        return Err(format!(
            "seed {seed}: {} of {} members know of the kill after 30 s",
            times.len(),
            count - 1
        ));
    }
    let detection_ms = times.iter().map(|time| (time - killed_at) / 1_000).collect();

    fleet.start(1);
    fleet.run_until(fleet.now + 20 * SECOND)?;
    for a in 0..count / 2 {
        for b in count / 2..count {
            fleet.cut_links.insert((a, b));
            fleet.cut_links.insert((b, a));
        }
    }
    fleet.run_until(fleet.now + 10 * SECOND)?;
    fleet.cut_links.clear();
    let agreed = fleet.run_until_views_agree(60 * SECOND)?;
    let agreed = agreed.ok_or_else(|| format!("seed {seed}: views differ a minute after the partition"))?;
    Ok(KillAndPartition { detection_ms, agreement_ms: agreed / 1_000, bytes_per_s, messages_per_s })
}

/// A row of the table of kills and partitions: the results of all seeds for one fleet size.
fn kill_row(count: usize, seeds: u64) -> Result<[String; 8], String> {
    let runs = (0..seeds).map(|seed| kill_and_partition(count, seed)).collect::<Result<Vec<_>, _>>()?;
    let mut detection: Vec<u64> = runs.iter().flat_map(|run| run.detection_ms.iter().copied()).collect();
    let mut agreement: Vec<u64> = runs.iter().map(|run| run.agreement_ms).collect();
    let bytes: f64 = runs.iter().map(|run| run.bytes_per_s).sum();
    let messages: f64 = runs.iter().map(|run| run.messages_per_s).sum();
    Ok([
        count.to_string(),
        seeds.to_string(),
        percentile(&mut detection, 0.5),
        percentile(&mut detection, 0.99),
        percentile(&mut agreement, 0.5),
        agreement.iter().max().map_or("-".to_owned(), u64::to_string),
        format!("{:.0}", bytes / seeds as f64),
        format!("{:.1}", messages / seeds as f64),
    ])
}

/// A row of the table of losses: suspicions and failures in a fleet whose network loses this share of
/// messages.
fn loss_row(count: usize, loss: f64) -> Result<[String; 5], String> {
    let mut fleet = VirtualFleet::new(count, 99, default_config);
    fleet.run_until(30 * SECOND)?;
    fleet.network = Network { loss, ..Network::default() };
    let started_at = fleet.now;
    fleet.run_until(started_at + 60 * SECOND)?;
    let hours = 60.0 / 3_600.0 * count as f64;
    // Every member that learns of a suspicion reports it, so each is counted once for every other member.
    let (suspected, failed) = fleet.suspicion_counts(started_at);
    let per_member_hour = |n: usize| format!("{:.2}", n as f64 / (count - 1) as f64 / hours);
    Ok([
        count.to_string(),
        format!("{:.0}", loss * 100.0),
        format!("{hours:.1}"),
        per_member_hour(suspected),
        per_member_hour(failed),
    ])
}

/// Prints both tables of fleets on virtual time: kills and partitions, and message loss.
fn virtual_time(counts: &[usize], seeds: u64) -> Result<(), String> {
    let mut kills = table(&[
        "members",
        "seeds",
        "kill known to a member, p50 ms",
        "p99 ms",
        "views agree after a 10 s partition in halves, p50 ms",
        "max ms",
        "bytes/s per member",
        "messages/s per member",
    ]);
    let mut losses =
        table(&["members", "loss %", "member hours", "suspicions per hour", "failures per hour"]);
    for &count in counts {
        kills.add_row(kill_row(count, seeds)?);
        for loss in [0.0, 0.05, 0.2, 0.3] {
            losses.add_row(loss_row(count, loss)?);
        }
    }
    println!("{kills}\n\n{losses}");
    Ok(())
}

/// Loads one of four servers more than the others, with leases of quota and with fixed shares.
fn leases(server: &std::path::Path, seconds: u64) -> Result<(), String> {
    let mut results =
        table(&["shared by", "served at the busy server", "not served", "calls at once, max", "survives"]);
    for (name, fixed_shares) in [("loans", false), ("a fixed share in the file", true)] {
        let mut fleet_options = FleetOptions::new(server, 4);
        (fleet_options.capacity, fleet_options.service_time_ms, fleet_options.fixed_quota_shares) =
            (16, 60.0, fixed_shares);
        let mut fleet =
            if fixed_shares { Fleet::start(fleet_options)? } else { Fleet::start_converged(fleet_options)? };
        fleet.start_traffic(24, Duration::from_secs(5));
        fleet.traffic.iter().for_each(|traffic| traffic.set_gap(0, Duration::from_millis(1)));
        std::thread::sleep(Duration::from_secs(seconds));
        let requests = fleet.traffic.take().map(Traffic::finish).unwrap_or_default();
        let busy_server_count = |served: bool| {
            requests.iter().filter(|a| a.server == 0 && (a.outcome == Outcome::Served) == served).count()
        };
        results.add_row([
            name.to_owned(),
            busy_server_count(true).to_string(),
            busy_server_count(false).to_string(),
            fleet.peak_concurrency().to_string(),
            fleet.options.capacity.to_string(),
        ]);
    }
    println!("{results}");
    Ok(())
}

/// Compares the processor time of the servers' main threads per request with the fleet on and off.
fn cost(server: &std::path::Path, pairs: u64, seconds: u64) -> Result<(), String> {
    let mut results = table(&["pair", "off, µs per request", "on, µs per request", "on relative to off, %"]);
    let mut overheads_percent = Vec::new();
    for pair in 0..pairs {
        let cpu_us_per_request = |with_fleet: bool| -> Result<f64, String> {
            let mut fleet_options = default_timing_options(server, 3);
            fleet_options.fleet_enabled = with_fleet;
            let mut fleet = if with_fleet {
                Fleet::start_converged(fleet_options)?
            } else {
                Fleet::start(fleet_options)?
            };
            fleet.start_traffic(6, Duration::from_millis(4));
            std::thread::sleep(Duration::from_secs(2));
            let cpu_time_us = |fleet: &Fleet| -> u64 {
                fleet.servers.iter().filter_map(umberloom_fault_harness::server::Server::cpu_time_us).sum()
            };
            let request_count =
                |fleet: &Fleet| fleet.traffic.as_ref().map_or(0, |traffic| traffic.outcomes().len());
            let before = (cpu_time_us(&fleet), request_count(&fleet));
            std::thread::sleep(Duration::from_secs(seconds));
            Ok((cpu_time_us(&fleet) - before.0) as f64 / (request_count(&fleet) - before.1).max(1) as f64)
        };
        // The order alternates, so that a machine that slows down over time favours neither.
        let (without_fleet, with_fleet) = if pair % 2 == 0 {
            let without_fleet = cpu_us_per_request(false)?;
            (without_fleet, cpu_us_per_request(true)?)
        } else {
            let with_fleet = cpu_us_per_request(true)?;
            (cpu_us_per_request(false)?, with_fleet)
        };
        overheads_percent.push((with_fleet / without_fleet - 1.0) * 100.0);
        results.add_row([
            pair.to_string(),
            format!("{without_fleet:.1}"),
            format!("{with_fleet:.1}"),
            format!("{:+.1}", (with_fleet / without_fleet - 1.0) * 100.0),
        ]);
    }
    println!("{results}");
    let mean = overheads_percent.iter().sum::<f64>() / overheads_percent.len().max(1) as f64;
    println!("mean {mean:+.1} %");
    Ok(())
}

/// Measures the processor time of the main thread and the traffic of each member while there are no requests.
fn idle(server: &std::path::Path, server_counts: &[usize], seconds: u64) -> Result<(), String> {
    let mut results = table(&["servers", "fleet", "% of a core per member", "KB/s sent per member"]);
    for &count in server_counts {
        for fleet_enabled in [false, true] {
            let mut fleet_options = default_timing_options(server, count);
            fleet_options.fleet_enabled = fleet_enabled;
            let fleet = Fleet::start(fleet_options)?;
            if fleet_enabled {
                fleet.wait_for_partition_status_everywhere("whole")?;
            }
            std::thread::sleep(Duration::from_secs(3));
            let cpu_time_us = |fleet: &Fleet| -> u64 {
                fleet.servers.iter().filter_map(umberloom_fault_harness::server::Server::cpu_time_us).sum()
            };
            let bytes_sent = |fleet: &Fleet| -> u64 {
                let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b))).filter(|(a, b)| a != b);
                pairs.map(|(a, b)| fleet.direction(a, b).carried().1).sum()
            };
            let before = (cpu_time_us(&fleet), bytes_sent(&fleet));
            std::thread::sleep(Duration::from_secs(seconds));
            let member_seconds = (seconds as f64) * count as f64;
            results.add_row([
                count.to_string(),
                if fleet_enabled { "on" } else { "off" }.to_owned(),
                format!("{:.2}", (cpu_time_us(&fleet) - before.0) as f64 / member_seconds / 10_000.0),
                format!("{:.1}", (bytes_sent(&fleet) - before.1) as f64 / member_seconds / 1_000.0),
            ]);
        }
    }
    println!("{results}");
    Ok(())
}

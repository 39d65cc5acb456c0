//! Measurements of a fleet: real processes over the rig's relays, and members on virtual time.

use std::path::PathBuf;
use std::time::Duration;

use umberloom_fault_harness::traffic::{Outcome, Traffic};
use umberloom_fault_harness::virtual_fleet::{Network, VirtualFleet};
use umberloom_fault_harness::{Fleet, Options as Rig};
use umberloom_membership::Config;

use crate::record_measures;
use crate::tables::{percentile, table};

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    pub server: Option<PathBuf>,
    pub what: What,
}

#[derive(Clone, Debug)]
pub enum What {
    /// From a kill to all knowing, of real processes: numbers of servers, and kills each.
    Detection(Vec<usize>, usize),
    /// The same on virtual time, with false suspicions by loss, bytes, and the time until views agree after a cut.
    Virtual(Vec<usize>, u64),
    /// What sharing by loans is worth under uneven need: seconds.
    Loans(u64),
    /// Processor time of a request with the fleet on and off, in pairs: pairs, seconds each.
    Cost(u64, u64),
    /// Processor time and bytes of members that only know each other: numbers of servers, seconds.
    Idle(Vec<usize>, u64),
    /// Accusations while one member has its core for a part of the time only: servers, percent, seconds.
    Starved(usize, Vec<usize>, u64),
    /// Writes to the record: seconds, clients.
    Commits(u64, usize),
    /// From a leader's end to another: times.
    Leaders(usize),
    /// One that returns from nothing: documents of 1 MB.
    CatchUp(usize),
    /// The store by itself.
    Store,
}

pub fn measure(options: &Options) -> Result<(), String> {
    let server = || options.server.clone().map_or_else(crate::demo::beside, Ok);
    match &options.what {
        What::Detection(counts, kills) => detection(&server()?, counts, *kills),
        What::Virtual(counts, seeds) => virtual_time(counts, *seeds),
        What::Loans(seconds) => loans(&server()?, *seconds),
        What::Cost(pairs, seconds) => cost(&server()?, *pairs, *seconds),
        What::Idle(counts, seconds) => idle(&server()?, counts, *seconds),
        What::Commits(seconds, clients) => record_measures::commits(&server()?, *seconds, *clients),
        What::Leaders(times) => record_measures::leaders(&server()?, *times),
        What::CatchUp(documents) => record_measures::catch_up(&server()?, *documents),
        What::Store => record_measures::store(),
        What::Starved(servers, shares, seconds) => starved(&server()?, *servers, shares, *seconds),
    }
}

/// The last of the servers runs for so many percent of each two seconds, and is stopped for the rest.
fn starved(server: &std::path::Path, servers: usize, shares: &[usize], seconds: u64) -> Result<(), String> {
    const TURN_MS: u64 = 2_000;
    let mut out = table(&[
        "servers",
        "core of the last, %",
        "suspicions of it an hour, by each other",
        "it held for failed an hour, by each",
        "others held for failed by it an hour",
        "others held for failed by others",
        "its standing at the end",
    ]);
    for &share in shares {
        let mut fleet = Fleet::start(usual(server, servers))?;
        fleet.wait_for_partition_status_everywhere("whole")?;
        let (last, from) = (servers - 1, umberloom_fault_harness::history::now_us());
        let runs = Duration::from_millis(TURN_MS * share.min(100) as u64 / 100);
        let end = std::time::Instant::now() + Duration::from_secs(seconds);
        while std::time::Instant::now() < end {
            fleet.servers[last].set_stopped(true);
            std::thread::sleep(Duration::from_millis(TURN_MS) - runs);
            fleet.servers[last].set_stopped(false);
            std::thread::sleep(runs);
        }
        let stands = fleet.partition_status(last);
        fleet.servers.iter_mut().for_each(umberloom_fault_harness::server::Server::read_log);
        let name = fleet.servers[last].name.clone();
        let count = |by: &str, of_last: bool, to: &str| {
            let said = fleet.history.log_lines(by, "member state changed");
            let fits = |e: &&umberloom_fault_harness::history::Event| {
                e.at_us >= from && (e.details["name"] == name.as_str()) == of_last && e.details["to"] == to
            };
            said.iter().filter(fits).count()
        };
        let others = || fleet.servers[..last].iter().map(|s| s.name.as_str());
        let hourly = |n: usize, by: usize| format!("{:.0}", n as f64 * 3_600.0 / seconds as f64 / by as f64);
        out.add_row([
            servers.to_string(),
            share.to_string(),
            hourly(others().map(|by| count(by, true, "suspected")).sum(), last),
            hourly(others().map(|by| count(by, true, "failed")).sum(), last),
            hourly(count(&name, false, "failed"), 1),
            others().map(|by| count(by, false, "failed")).sum::<usize>().to_string(),
            stands,
        ]);
    }
    println!("{out}");
    Ok(())
}

/// The rig's servers with the product's own times.
fn usual(server: &std::path::Path, servers: usize) -> Rig {
    let mut rig = Rig::new(server, servers);
    rig.timing = "timing".to_owned();
    rig.capacity = 8 * servers as u32;
    rig
}

fn detection(server: &std::path::Path, counts: &[usize], kills: usize) -> Result<(), String> {
    let mut out = table(&[
        "servers",
        "kills",
        "until one knows, p50 ms",
        "until all know, p50 ms",
        "p99 ms",
        "most ms",
    ]);
    for &count in counts {
        let mut fleet = Fleet::start(usual(server, count))?;
        fleet.wait_for_partition_status_everywhere("whole")?;
        let (mut first, mut last) = (Vec::new(), Vec::new());
        for kill in 0..kills {
            let n = kill % count;
            let at = umberloom_fault_harness::history::now_us();
            fleet.servers[n].kill();
            let others: Vec<usize> = (0..count).filter(|other| *other != n).collect();
            for other in &others {
                fleet.wait_for_member_state(*other, n, "failed")?;
            }
            fleet.servers.iter_mut().for_each(umberloom_fault_harness::server::Server::read_log);
            let name = fleet.servers[n].name.clone();
            let knew = others.iter().filter_map(|other| {
                let said = fleet.history.log_lines(&fleet.servers[*other].name, "member state changed");
                let fits = |e: &&umberloom_fault_harness::history::Event| {
                    e.at_us >= at && e.details["name"] == name.as_str() && e.details["to"] == "failed"
                };
                said.iter().find(fits).map(|e| (e.at_us - at) / 1_000)
            });
            let knew: Vec<u64> = knew.collect();
            first.extend(knew.iter().min());
            last.extend(knew.iter().max());
            fleet.servers[n].start().map_err(|e| e.to_string())?;
            fleet.wait_for_partition_status_everywhere("whole")?;
        }
        let most = last.iter().max().map_or("-".to_owned(), u64::to_string);
        out.add_row([
            count.to_string(),
            kills.to_string(),
            percentile(&mut first, 0.5),
            percentile(&mut last, 0.5),
            percentile(&mut last, 0.99),
            most,
        ]);
    }
    println!("{out}");
    Ok(())
}

fn as_it_is(_: &mut Config) {}

/// Microseconds of virtual time.
const SECOND: u64 = 1_000_000;

/// What one seed of a virtual fleet showed.
struct KillAndPartition {
    /// When each member knew of a kill, in milliseconds after it.
    detection_ms: Vec<u64>,
    /// How long after a partition all views agreed again, in milliseconds.
    agreement_ms: u64,
    /// Traffic of one member without faults.
    bytes_per_s: f64,
    messages_per_s: f64,
}

/// Kills and restarts one member, then cuts the fleet in halves for ten seconds.
fn kill_and_partition(count: usize, seed: u64) -> Result<KillAndPartition, String> {
    let mut fleet = VirtualFleet::new(count, seed, as_it_is);
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
        return Err(format!("seed {seed}: {} of {} know of the kill after 30 s", times.len(), count - 1));
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
    let agreed = agreed.ok_or_else(|| format!("seed {seed}: views differ a minute after the cut"))?;
    Ok(KillAndPartition { detection_ms, agreement_ms: agreed / 1_000, bytes_per_s, messages_per_s })
}

/// One row of the table of kills and partitions: all seeds of a fleet of this size.
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

/// One row of the table of losses: suspicions and failures of a fleet whose network loses this share of messages.
fn loss_row(count: usize, loss: f64) -> Result<[String; 5], String> {
    let mut fleet = VirtualFleet::new(count, 99, as_it_is);
    fleet.run_until(30 * SECOND)?;
    fleet.network = Network { loss, ..Network::default() };
    let from = fleet.now;
    fleet.run_until(from + 60 * SECOND)?;
    let hours = 60.0 / 3_600.0 * count as f64;
    // Each is told by everyone who hears of it: an accusation is counted once for each who holds it.
    let (suspected, failed) = fleet.suspicion_counts(from);
    let each = |n: usize| format!("{:.2}", n as f64 / (count - 1) as f64 / hours);
    Ok([
        count.to_string(),
        format!("{:.0}", loss * 100.0),
        format!("{hours:.1}"),
        each(suspected),
        each(failed),
    ])
}

fn virtual_time(counts: &[usize], seeds: u64) -> Result<(), String> {
    let mut kills = table(&[
        "members",
        "seeds",
        "all know of a kill, p50 ms",
        "p99 ms",
        "views agree after a cut of 10 s in halves, p50 ms",
        "most ms",
        "bytes/s a member",
        "messages/s a member",
    ]);
    let mut losses = table(&["members", "loss %", "member hours", "suspicions an hour", "failures an hour"]);
    for &count in counts {
        kills.add_row(kill_row(count, seeds)?);
        for loss in [0.0, 0.05, 0.2, 0.3] {
            losses.add_row(loss_row(count, loss)?);
        }
    }
    println!("{kills}\n\n{losses}");
    Ok(())
}

fn loans(server: &std::path::Path, seconds: u64) -> Result<(), String> {
    let mut out =
        table(&["shared by", "served at the busy one", "not served", "calls at once, most", "survives"]);
    for (name, cut) in [("loans", false), ("a number in the file", true)] {
        let mut rig = Rig::new(server, 4);
        (rig.capacity, rig.service_time_ms, rig.fixed_quota_shares) = (16, 60.0, cut);
        let mut fleet = if cut { Fleet::start(rig)? } else { Fleet::start_converged(rig)? };
        fleet.start_traffic(24, Duration::from_secs(5));
        fleet.traffic.iter().for_each(|traffic| traffic.set_gap(0, Duration::from_millis(1)));
        std::thread::sleep(Duration::from_secs(seconds));
        let asked = fleet.traffic.take().map(Traffic::finish).unwrap_or_default();
        let busy = |served: bool| {
            asked.iter().filter(|a| a.server == 0 && (a.outcome == Outcome::Served) == served).count()
        };
        out.add_row([
            name.to_owned(),
            busy(true).to_string(),
            busy(false).to_string(),
            fleet.peak_concurrency().to_string(),
            fleet.options.capacity.to_string(),
        ]);
    }
    println!("{out}");
    Ok(())
}

fn cost(server: &std::path::Path, pairs: u64, seconds: u64) -> Result<(), String> {
    let mut out = table(&["pair", "off, µs a request", "on, µs a request", "on beside off, %"]);
    let mut all = Vec::new();
    for pair in 0..pairs {
        let one = |on: bool| -> Result<f64, String> {
            let mut rig = usual(server, 3);
            rig.fleet_enabled = on;
            let mut fleet = if on { Fleet::start_converged(rig)? } else { Fleet::start(rig)? };
            fleet.start_traffic(6, Duration::from_millis(4));
            std::thread::sleep(Duration::from_secs(2));
            let cpu = |fleet: &Fleet| -> u64 {
                fleet.servers.iter().filter_map(umberloom_fault_harness::server::Server::cpu_time_us).sum()
            };
            let asked = |fleet: &Fleet| fleet.traffic.as_ref().map_or(0, |traffic| traffic.outcomes().len());
            let before = (cpu(&fleet), asked(&fleet));
            std::thread::sleep(Duration::from_secs(seconds));
            Ok((cpu(&fleet) - before.0) as f64 / (asked(&fleet) - before.1).max(1) as f64)
        };
        // Which one comes first changes, so that a machine that slows down favours neither.
        let (off, on) = if pair % 2 == 0 {
            let off = one(false)?;
            (off, one(true)?)
        } else {
            let on = one(true)?;
            (one(false)?, on)
        };
        all.push((on / off - 1.0) * 100.0);
        out.add_row([
            pair.to_string(),
            format!("{off:.1}"),
            format!("{on:.1}"),
            format!("{:+.1}", (on / off - 1.0) * 100.0),
        ]);
    }
    println!("{out}");
    let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
    println!("mean {mean:+.1} %");
    Ok(())
}

fn idle(server: &std::path::Path, counts: &[usize], seconds: u64) -> Result<(), String> {
    let mut out = table(&["servers", "fleet", "% of a core a member", "KB/s a member sent"]);
    for &count in counts {
        for on in [false, true] {
            let mut rig = usual(server, count);
            rig.fleet_enabled = on;
            let fleet = Fleet::start(rig)?;
            if on {
                fleet.wait_for_partition_status_everywhere("whole")?;
            }
            std::thread::sleep(Duration::from_secs(3));
            let cpu = |fleet: &Fleet| -> u64 {
                fleet.servers.iter().filter_map(umberloom_fault_harness::server::Server::cpu_time_us).sum()
            };
            let sent = |fleet: &Fleet| -> u64 {
                let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b))).filter(|(a, b)| a != b);
                pairs.map(|(a, b)| fleet.direction(a, b).carried().1).sum()
            };
            let before = (cpu(&fleet), sent(&fleet));
            std::thread::sleep(Duration::from_secs(seconds));
            let each = (seconds as f64) * count as f64;
            out.add_row([
                count.to_string(),
                if on { "on" } else { "off" }.to_owned(),
                format!("{:.2}", (cpu(&fleet) - before.0) as f64 / each / 10_000.0),
                format!("{:.1}", (sent(&fleet) - before.1) as f64 / each / 1_000.0),
            ]);
        }
    }
    println!("{out}");
    Ok(())
}

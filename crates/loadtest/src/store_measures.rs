//! Measurements of the replicated store, and of the local store that it is built on.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use umberloom_fault_harness::{Fleet, Options as FleetOptions};
use umberloom_store::disk::RealDisk;
use umberloom_store::fault_disk::FaultInjectingDisk;
use umberloom_store::{Config as StoreConfig, Store, WriteBatch};

use crate::tables::{percentile, table};

/// Starts a fleet with a replicated store and the default times of the product, and waits until it is
/// replicated.
fn start_replicated_fleet(server: &Path, servers: usize, voters: usize, disk: bool) -> Result<Fleet, String> {
    let mut fleet_options = FleetOptions::new(server, servers);
    fleet_options.timing = "timing".to_owned();
    fleet_options.store_options = Some(format!("voters={voters}"));
    fleet_options.store_folder_options = disk.then(|| "most-mb=256".to_owned());
    let fleet = Fleet::start(fleet_options)?;
    fleet.wait_for_replication(voters)?;
    Ok(fleet)
}

/// Measures writes by several clients at once. Each write is a process of the product's own command.
pub fn commits(server: &Path, seconds: u64, clients: usize) -> Result<(), String> {
    let header = [
        "voters",
        "disk",
        "clients",
        "commits/s",
        "p50 ms",
        "p99 ms",
        "the same command without a write, p50 ms",
    ];
    let mut output = table(&header);
    for (voters, disk) in [(3, false), (3, true), (5, false), (5, true)] {
        let fleet = start_replicated_fleet(server, voters, voters, disk)?;
        let leader = fleet.leader().ok_or("nobody leads")?;
        let target =
            (fleet.servers[leader].operator_config_path(), fleet.servers[leader].fleet_address.to_string());
        // Runs the command once and returns how long it took, in tenths of a millisecond, if it succeeded.
        let run_command = |arguments: &[&str]| {
            let mut command = Command::new(server);
            command
                .args(["fleet", "record", "--json", "--operator"])
                .arg(&target.0)
                .args(["--at", &target.1])
                .args(arguments);
            let started_at = Instant::now();
            let succeeded = command.output().is_ok_and(|output| output.status.success());
            succeeded.then(|| started_at.elapsed().as_micros() as u64 / 100)
        };
        let mut status_tenths_ms: Vec<u64> = (0..40).filter_map(|_| run_command(&["status"])).collect();
        let deadline = Instant::now() + Duration::from_secs(seconds);
        let mut write_tenths_ms: Vec<u64> = std::thread::scope(|scope| {
            let start_client = |n: usize| {
                let run_command = &run_command;
                scope.spawn(move || {
                    let mut write_tenths_ms = Vec::new();
                    while Instant::now() < deadline {
                        write_tenths_ms.extend(run_command(&["note", &format!("client {n}")]));
                    }
                    write_tenths_ms
                })
            };
            let threads: Vec<_> = (0..clients).map(start_client).collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
        });
        let percentile_ms = |times: &mut Vec<u64>, share| {
            percentile(times, share)
                .parse::<f64>()
                .map_or("-".to_owned(), |tenths| format!("{:.1}", tenths / 10.0))
        };
        output.add_row([
            voters.to_string(),
            if disk { "synced" } else { "none" }.to_owned(),
            clients.to_string(),
            format!("{:.0}", write_tenths_ms.len() as f64 / seconds as f64),
            percentile_ms(&mut write_tenths_ms, 0.5),
            percentile_ms(&mut write_tenths_ms, 0.99),
            percentile_ms(&mut status_tenths_ms, 0.5),
        ]);
    }
    println!("{output}");
    Ok(())
}

/// Measures the time from the kill, pause, isolation or termination of a leader until another server reports
/// that it leads.
pub fn leaders(server: &Path, times: usize) -> Result<(), String> {
    let mut output = table(&["servers", "what", "times", "until another leads, p50 ms", "max ms"]);
    for failure in ["killed", "stopped", "cut off", "terminated"] {
        let mut election_times_ms = Vec::new();
        let mut fleet = start_replicated_fleet(server, 5, 5, false)?;
        for _ in 0..times {
            let leader = fleet.leader().ok_or("nobody leads")?;
            let others: Vec<usize> = (0..5).filter(|n| *n != leader).collect();
            let failed_at = umberloom_fault_harness::history::now_us();
            match failure {
                "killed" => fleet.servers[leader].kill(),
                "stopped" => fleet.servers[leader].set_stopped(true),
                "cut off" => fleet.partition(&[&[leader], &others]),
                _ => fleet.servers[leader].terminate(),
            }
            fleet.wait_until("another leader", |fleet| {
                others.iter().any(|n| fleet.store_status_field(*n, "role") == "Leader")
            })?;
            fleet.servers.iter_mut().for_each(umberloom_fault_harness::server::Server::read_log);
            let log_lines = others
                .iter()
                .flat_map(|n| fleet.history.log_lines(&fleet.servers[*n].name, "replica role changed"));
            let elected_after_us = log_lines
                .filter(|e| e.at_us >= failed_at && e.details["to"] == "leader")
                .map(|e| e.at_us - failed_at)
                .min();
            election_times_ms.extend(elected_after_us.map(|us| us / 1_000));
            match failure {
                "stopped" => fleet.servers[leader].set_stopped(false),
                "cut off" => fleet.heal(),
                _ => {
                    fleet.servers[leader].wait_for_exit();
                    fleet.servers[leader].start().map_err(|e| e.to_string())?;
                }
            }
            fleet.wait_for_replication(5)?;
        }
        let max = election_times_ms.iter().max().map_or("-".to_owned(), u64::to_string);
        let row = [
            "5".to_owned(),
            failure.to_owned(),
            election_times_ms.len().to_string(),
            percentile(&mut election_times_ms, 0.5),
            max,
        ];
        output.add_row(row);
    }
    println!("{output}");
    Ok(())
}

/// Measures the catch-up of a voter that lost its disk, at several transfer rates, and its effect on the
/// latency of requests at the other servers.
pub fn catch_up(server: &Path, documents: usize) -> Result<(), String> {
    let mut output =
        table(&["snapshot, MB", "took ms", "MB/s", "request p99 ms before", "request p99 ms during"]);
    for rate_kb in [2_048, 8_192, 65_536] {
        let mut fleet_options = FleetOptions::new(server, 3);
        fleet_options.timing = "timing".to_owned();
        fleet_options.store_options = Some(format!("voters=3 replace-after-s=600 catch-up-kb={rate_kb}"));
        fleet_options.store_folder_options = Some("most-mb=256".to_owned());
        let mut fleet = Fleet::start(fleet_options)?;
        fleet.wait_for_replication(3)?;
        let large = fleet.servers[0].folder.join("large");
        std::fs::write(&large, vec![7u8; 1_000_000]).map_err(|e| e.to_string())?;
        for n in 0..documents {
            fleet.store_command(0, &["put", &format!("large{n}"), &large.display().to_string()])?;
        }
        let returning = (0..3)
            .find(|n| fleet.store_status_field(*n, "role") == "Voter")
            .ok_or("no server has the role Voter")?;
        fleet.start_traffic(4, Duration::from_millis(5));
        std::thread::sleep(Duration::from_secs(3));
        fleet.servers[returning].kill();
        fleet.servers[returning].lose_disk();
        let started_at = umberloom_fault_harness::history::now_us();
        fleet.servers[returning].start().map_err(|e| e.to_string())?;
        fleet.wait_for_replication(3)?;
        let finished_at = umberloom_fault_harness::history::now_us();
        fleet.servers[returning].read_log();
        let log_lines = fleet.history.log_lines(&fleet.servers[returning].name, "replica caught up");
        let line =
            log_lines.iter().filter(|e| e.at_us >= started_at).max_by_key(|e| e.details["bytes"].as_u64());
        let line = line.ok_or("the server did not catch up by a snapshot")?;
        let (bytes, took_ms) =
            (line.details["bytes"].as_u64().unwrap_or(0), line.details["took_ms"].as_u64().unwrap_or(1));
        let requests =
            fleet.traffic.take().map(umberloom_fault_harness::traffic::Traffic::finish).unwrap_or_default();
        let p99_ms = |during_catch_up: bool| {
            let matches = |a: &&umberloom_fault_harness::traffic::RequestOutcome| {
                a.server != returning && (a.at_us >= started_at) == during_catch_up && a.at_us < finished_at
            };
            let mut durations_ms: Vec<u64> =
                requests.iter().filter(matches).map(|a| a.took.as_millis() as u64).collect();
            percentile(&mut durations_ms, 0.99)
        };
        let megabytes = bytes as f64 / 1e6;
        output.add_row([
            format!("{megabytes:.1}"),
            took_ms.to_string(),
            format!("{:.1}", megabytes * 1_000.0 / took_ms.max(1) as f64),
            p99_ms(false),
            p99_ms(true),
        ]);
    }
    println!("{output}");
    Ok(())
}

/// Measures the local store: the rate of commits, the bytes that they write, and how long opening takes.
pub fn store() -> Result<(), String> {
    let folder = std::env::temp_dir().join(format!("umberloom-measure-{}", std::process::id()));
    let mut output =
        table(&["bytes/commit", "commits/s, synced", "p99 ms", "bytes written/byte", "syncs/commit"]);
    for bytes in [100usize, 1_000, 16_000] {
        let config = StoreConfig::new(folder.join(bytes.to_string()));
        let mut store = Store::open(&RealDisk, &config).map_err(|e| e.to_string())?;
        let (mut commit_times_us, started_at) = (Vec::new(), Instant::now());
        let count = 400u64;
        for n in 0..count {
            let start = Instant::now();
            let batch = WriteBatch::new().put(2, &n.to_be_bytes(), &vec![n as u8; bytes]);
            store.commit(&batch).map_err(|e| e.to_string())?;
            commit_times_us.push(start.elapsed().as_micros() as u64);
        }
        let rate = count as f64 / started_at.elapsed().as_secs_f64();
        // The bytes that reach the disk are counted on a simulated disk, which gets the same operations.
        let disk = FaultInjectingDisk::new(1);
        let mut simulated = Store::open(&disk, &StoreConfig::new("store")).map_err(|e| e.to_string())?;
        let before = (disk.bytes_written(), disk.syncs());
        for n in 0..count {
            let batch = WriteBatch::new().put(2, &n.to_be_bytes(), &vec![n as u8; bytes]);
            simulated.commit(&batch).map_err(|e| e.to_string())?;
        }
        let write_amplification = (disk.bytes_written() - before.0) as f64 / (count as f64 * bytes as f64);
        let p99 = percentile(&mut commit_times_us, 0.99).parse::<f64>().unwrap_or(0.0) / 1_000.0;
        output.add_row([
            bytes.to_string(),
            format!("{rate:.0}"),
            format!("{p99:.1}"),
            format!("{write_amplification:.1}"),
            format!("{:.1}", (disk.syncs() - before.1) as f64 / count as f64),
        ]);
    }
    println!("{output}\n");
    let mut output =
        table(&["rows of 1 kB", "file, MB", "opening after clean close, ms", "after a kill, ms"]);
    for rows in [1_000u64, 10_000, 50_000] {
        let config = StoreConfig::new(folder.join(format!("rows-{rows}")));
        let mut store = Store::open(&RealDisk, &config).map_err(|e| e.to_string())?;
        for first in (0..rows).step_by(500) {
            let batch =
                (first..first + 500).fold(WriteBatch::new(), |b, n| b.put(2, &n.to_be_bytes(), &[7; 1_000]));
            store.commit(&batch).map_err(|e| e.to_string())?;
        }
        let file = config.file();
        // The file as a kill leaves it, without the mark of a clean close.
        let killed = std::fs::read(&file).map_err(|e| e.to_string())?;
        drop(store);
        let open = || -> Result<String, String> {
            let opening_started_at = Instant::now();
            drop(Store::open(&RealDisk, &config).map_err(|e| e.to_string())?);
            Ok(format!("{:.0}", opening_started_at.elapsed().as_secs_f64() * 1_000.0))
        };
        let after_clean = open()?;
        std::fs::write(&file, &killed).map_err(|e| e.to_string())?;
        let after_kill = open()?;
        let megabytes = killed.len() as f64 / 1e6;
        output.add_row([rows.to_string(), format!("{megabytes:.1}"), after_clean, after_kill]);
    }
    let _ = std::fs::remove_dir_all(&folder);
    println!("{output}");
    Ok(())
}

//! Measurements of the record that servers keep together, and of the store beneath it.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use umberloom_fault_harness::{Fleet, Options as Rig};
use umberloom_store::disk::RealDisk;
use umberloom_store::fault_disk::FaultInjectingDisk;
use umberloom_store::{Config as StoreConfig, Store, WriteBatch};

use crate::tables::{percentile, table};

/// So many servers with a record of the product's own times.
fn keeping(server: &Path, servers: usize, voters: usize, disk: bool) -> Result<Fleet, String> {
    let mut rig = Rig::new(server, servers);
    rig.timing = "timing".to_owned();
    rig.store_options = Some(format!("voters={voters}"));
    rig.store_folder_options = disk.then(|| "most-mb=256".to_owned());
    let fleet = Fleet::start(rig)?;
    fleet.wait_for_replication(voters)?;
    Ok(fleet)
}

/// Writes by several clients at once, each a process of the product's own command.
pub fn commits(server: &Path, seconds: u64, clients: usize) -> Result<(), String> {
    let head = [
        "voters",
        "disk",
        "clients",
        "commits/s",
        "p50 ms",
        "p99 ms",
        "the same command without a write, p50 ms",
    ];
    let mut out = table(&head);
    for (voters, disk) in [(3, false), (3, true), (5, false), (5, true)] {
        let fleet = keeping(server, voters, voters, disk)?;
        let leader = fleet.leader().ok_or("nobody leads")?;
        let at =
            (fleet.servers[leader].operator_config_path(), fleet.servers[leader].fleet_address.to_string());
        let ask = |words: &[&str]| {
            let mut command = Command::new(server);
            command
                .args(["fleet", "record", "--json", "--operator"])
                .arg(&at.0)
                .args(["--at", &at.1])
                .args(words);
            let began = Instant::now();
            let done = command.output().is_ok_and(|output| output.status.success());
            done.then(|| began.elapsed().as_micros() as u64 / 100)
        };
        let mut idle: Vec<u64> = (0..40).filter_map(|_| ask(&["status"])).collect();
        let end = Instant::now() + Duration::from_secs(seconds);
        let mut took: Vec<u64> = std::thread::scope(|scope| {
            let work = |n: usize| {
                let ask = &ask;
                scope.spawn(move || {
                    let mut took = Vec::new();
                    while Instant::now() < end {
                        took.extend(ask(&["note", &format!("client {n}")]));
                    }
                    took
                })
            };
            let threads: Vec<_> = (0..clients).map(work).collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
        });
        let ms = |times: &mut Vec<u64>, share| {
            percentile(times, share)
                .parse::<f64>()
                .map_or("-".to_owned(), |tenths| format!("{:.1}", tenths / 10.0))
        };
        out.add_row([
            voters.to_string(),
            if disk { "synced" } else { "none" }.to_owned(),
            clients.to_string(),
            format!("{:.0}", took.len() as f64 / seconds as f64),
            ms(&mut took, 0.5),
            ms(&mut took, 0.99),
            ms(&mut idle, 0.5),
        ]);
    }
    println!("{out}");
    Ok(())
}

/// From a leader's end, pause or cut to another that says that it leads.
pub fn leaders(server: &Path, times: usize) -> Result<(), String> {
    let mut out = table(&["servers", "what", "times", "until another leads, p50 ms", "most ms"]);
    for what in ["killed", "stopped", "cut off", "told to end"] {
        let mut took = Vec::new();
        let mut fleet = keeping(server, 5, 5, false)?;
        for _ in 0..times {
            let leader = fleet.leader().ok_or("nobody leads")?;
            let others: Vec<usize> = (0..5).filter(|n| *n != leader).collect();
            let at = umberloom_fault_harness::history::now_us();
            match what {
                "killed" => fleet.servers[leader].kill(),
                "stopped" => fleet.servers[leader].set_stopped(true),
                "cut off" => fleet.partition(&[&[leader], &others]),
                _ => fleet.servers[leader].terminate(),
            }
            fleet.wait_until("another leader", |fleet| {
                others.iter().any(|n| fleet.store_status_field(*n, "role") == "Leader")
            })?;
            fleet.servers.iter_mut().for_each(umberloom_fault_harness::server::Server::read_log);
            let said = others
                .iter()
                .flat_map(|n| fleet.history.log_lines(&fleet.servers[*n].name, "replica role changed"));
            let first =
                said.filter(|e| e.at_us >= at && e.details["to"] == "leader").map(|e| e.at_us - at).min();
            took.extend(first.map(|span| span / 1_000));
            match what {
                "stopped" => fleet.servers[leader].set_stopped(false),
                "cut off" => fleet.heal(),
                _ => {
                    fleet.servers[leader].wait_for_exit();
                    fleet.servers[leader].start().map_err(|e| e.to_string())?;
                }
            }
            fleet.wait_for_replication(5)?;
        }
        let most = took.iter().max().map_or("-".to_owned(), u64::to_string);
        let row = ["5".to_owned(), what.to_owned(), took.len().to_string(), percentile(&mut took, 0.5), most];
        out.add_row(row);
    }
    println!("{out}");
    Ok(())
}

/// One that returns from nothing, with and without traffic, and what that does to the others' requests.
pub fn catch_up(server: &Path, documents: usize) -> Result<(), String> {
    let mut out = table(&["snapshot, MB", "took ms", "MB/s", "requests, p99 ms before", "p99 ms meanwhile"]);
    for rate_kb in [2_048, 8_192, 65_536] {
        let mut rig = Rig::new(server, 3);
        rig.timing = "timing".to_owned();
        rig.store_options = Some(format!("voters=3 replace-after-s=600 catch-up-kb={rate_kb}"));
        rig.store_folder_options = Some("most-mb=256".to_owned());
        let mut fleet = Fleet::start(rig)?;
        fleet.wait_for_replication(3)?;
        let large = fleet.servers[0].folder.join("large");
        std::fs::write(&large, vec![7u8; 1_000_000]).map_err(|e| e.to_string())?;
        for n in 0..documents {
            fleet.store_command(0, &["put", &format!("large{n}"), &large.display().to_string()])?;
        }
        let returns = (0..3).find(|n| fleet.store_status_field(*n, "role") == "Voter").ok_or("no voter")?;
        fleet.start_traffic(4, Duration::from_millis(5));
        std::thread::sleep(Duration::from_secs(3));
        fleet.servers[returns].kill();
        fleet.servers[returns].lose_disk();
        let from = umberloom_fault_harness::history::now_us();
        fleet.servers[returns].start().map_err(|e| e.to_string())?;
        fleet.wait_for_replication(3)?;
        let until = umberloom_fault_harness::history::now_us();
        fleet.servers[returns].read_log();
        let said = fleet.history.log_lines(&fleet.servers[returns].name, "replica caught up");
        let line = said.iter().filter(|e| e.at_us >= from).max_by_key(|e| e.details["bytes"].as_u64());
        let line = line.ok_or("it did not catch up by a snapshot")?;
        let (bytes, ms) =
            (line.details["bytes"].as_u64().unwrap_or(0), line.details["took_ms"].as_u64().unwrap_or(1));
        let asked =
            fleet.traffic.take().map(umberloom_fault_harness::traffic::Traffic::finish).unwrap_or_default();
        let late = |inside: bool| {
            let fits = |a: &&umberloom_fault_harness::traffic::RequestOutcome| {
                a.server != returns && (a.at_us >= from) == inside && a.at_us < until
            };
            let mut took: Vec<u64> = asked.iter().filter(fits).map(|a| a.took.as_millis() as u64).collect();
            percentile(&mut took, 0.99)
        };
        let mb = bytes as f64 / 1e6;
        out.add_row([
            format!("{mb:.1}"),
            ms.to_string(),
            format!("{:.1}", mb * 1_000.0 / ms.max(1) as f64),
            late(false),
            late(true),
        ]);
    }
    println!("{out}");
    Ok(())
}

/// The store by itself: commits, what they write, and how long opening takes.
pub fn store() -> Result<(), String> {
    let folder = std::env::temp_dir().join(format!("umberloom-measure-{}", std::process::id()));
    let mut out =
        table(&["bytes a commit", "commits/s, synced", "p99 ms", "bytes written a byte", "syncs a commit"]);
    for bytes in [100usize, 1_000, 16_000] {
        let config = StoreConfig::new(folder.join(bytes.to_string()));
        let mut store = Store::open(&RealDisk, &config).map_err(|e| e.to_string())?;
        let (mut took, began) = (Vec::new(), Instant::now());
        let count = 400u64;
        for n in 0..count {
            let at = Instant::now();
            let batch = WriteBatch::new().put(2, &n.to_be_bytes(), &vec![n as u8; bytes]);
            store.commit(&batch).map_err(|e| e.to_string())?;
            took.push(at.elapsed().as_micros() as u64);
        }
        let rate = count as f64 / began.elapsed().as_secs_f64();
        // What reaches the medium is counted on a simulated one, which takes the same operations.
        let disk = FaultInjectingDisk::new(1);
        let mut simulated = Store::open(&disk, &StoreConfig::new("store")).map_err(|e| e.to_string())?;
        let before = (disk.bytes_written(), disk.syncs());
        for n in 0..count {
            let batch = WriteBatch::new().put(2, &n.to_be_bytes(), &vec![n as u8; bytes]);
            simulated.commit(&batch).map_err(|e| e.to_string())?;
        }
        let written = (disk.bytes_written() - before.0) as f64 / (count as f64 * bytes as f64);
        let p99 = percentile(&mut took, 0.99).parse::<f64>().unwrap_or(0.0) / 1_000.0;
        out.add_row([
            bytes.to_string(),
            format!("{rate:.0}"),
            format!("{p99:.1}"),
            format!("{written:.1}"),
            format!("{:.1}", (disk.syncs() - before.1) as f64 / count as f64),
        ]);
    }
    println!("{out}\n");
    let mut out = table(&["rows of 1 kB", "file, MB", "opening after a clean end, ms", "after a kill, ms"]);
    for rows in [1_000u64, 10_000, 50_000] {
        let config = StoreConfig::new(folder.join(format!("rows-{rows}")));
        let mut store = Store::open(&RealDisk, &config).map_err(|e| e.to_string())?;
        for from in (0..rows).step_by(500) {
            let batch =
                (from..from + 500).fold(WriteBatch::new(), |b, n| b.put(2, &n.to_be_bytes(), &[7; 1_000]));
            store.commit(&batch).map_err(|e| e.to_string())?;
        }
        let file = config.file();
        // As a kill leaves it: no clean end was written.
        let killed = std::fs::read(&file).map_err(|e| e.to_string())?;
        drop(store);
        let open = || -> Result<String, String> {
            let at = Instant::now();
            drop(Store::open(&RealDisk, &config).map_err(|e| e.to_string())?);
            Ok(format!("{:.0}", at.elapsed().as_secs_f64() * 1_000.0))
        };
        let clean = open()?;
        std::fs::write(&file, &killed).map_err(|e| e.to_string())?;
        let after = open()?;
        out.add_row([rows.to_string(), format!("{:.1}", killed.len() as f64 / 1e6), clean, after]);
    }
    let _ = std::fs::remove_dir_all(&folder);
    println!("{out}");
    Ok(())
}

//! One record that several server processes keep together, and faults between them and of their disks. Requests go on
//! during all of it, and what must always hold for them is checked at the end of each test.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{options, rest, sound, UnwrapOrPanic};
use serde_json::Value;
use umberloom_fault_harness::linear::{breaches, Operation};
use umberloom_fault_harness::Fleet;

/// So many servers that keep a record with short times; with disks, or without.
fn keeping(servers: usize, voters: usize, disk: bool) -> Fleet {
    let mut told = options(servers);
    told.record = Some(format!("voters={voters} election-ms=400 replace-after-s=3"));
    told.disk = disk.then(|| "most-mb=64".to_owned());
    let mut fleet = Fleet::start(told).unwrap_or_else(|why| panic!("{why}"));
    fleet.until_kept(voters).unwrap_or_panic();
    fleet.ask(2, Duration::from_millis(20));
    fleet
}

/// Writes a document at a server; its version.
fn put(fleet: &Fleet, n: usize, name: &str, content: &str) -> Result<u64, String> {
    let file = fleet.servers[n].folder.join("document");
    std::fs::write(&file, content).map_err(|e| e.to_string())?;
    let said = fleet.record(n, &["put", name, &file.display().to_string()])?;
    said["version"].as_u64().ok_or(said.to_string())
}

/// The latest content of a document, asked for at a server.
fn latest(fleet: &Fleet, n: usize, name: &str) -> Result<String, String> {
    let said = fleet.record(n, &["show", name])?;
    Ok(said["content"].as_str().unwrap_or_default().to_owned())
}

fn until_leads(fleet: &Fleet, but: usize) -> usize {
    fleet.until("another leader", |fleet| fleet.leader().is_some_and(|n| n != but)).unwrap_or_panic();
    fleet.leader().expect("a leader")
}

/// A voter that does not lead.
fn voter(fleet: &Fleet) -> usize {
    let votes = |n: &usize| fleet.kept(*n, "role") == "Voter";
    (0..fleet.servers.len()).find(votes).expect("a voter")
}

/// What a server said with this message.
fn said(fleet: &mut Fleet, n: usize, message: &str) -> Vec<Value> {
    fleet.servers[n].read_log();
    let name = fleet.servers[n].name.clone();
    fleet.history.said(&name, message).into_iter().map(|event| event.what).collect()
}

/// Clients at these servers that write and read one register until they are told to stop.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<Operation>>>,
}

impl Clients {
    fn start(fleet: &Fleet, seed: u128) -> Clients {
        let (stop, start) = (Arc::new(AtomicBool::new(false)), Instant::now());
        let at = fleet.servers.iter().zip(0u128..).map(|(server, n)| {
            let (stop, folder) = (stop.clone(), server.folder.join(format!("client-{seed}")));
            let program = common::program().to_owned();
            let (operator, address) = (server.operator_file(), server.fleet.to_string());
            std::thread::spawn(move || {
                let ask = |words: &[&str]| {
                    let mut command = std::process::Command::new(&program);
                    command.args(["fleet", "record", "--json", "--operator"]).arg(&operator);
                    let output = command.args(["--at", &address]).args(words).output().ok()?;
                    let said: Option<Value> = serde_json::from_slice(&output.stdout).ok();
                    said.filter(|_| output.status.success())
                };
                let now = || start.elapsed().as_micros() as u64;
                let mut all = Vec::new();
                for round in 0u128.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let value = (seed << 64) + (n << 32) + round + 1;
                    let write = (round + n) % 3 != 0;
                    let mut one = match write {
                        true => Operation::write("x", now(), value),
                        false => Operation::read("x", now()),
                    };
                    let told = if write {
                        let _ = std::fs::write(&folder, value.to_string());
                        ask(&["put", "x", &folder.display().to_string()])
                            .map(|said| (said["version"].as_u64(), value))
                    } else {
                        ask(&["show", "x"]).map(|said| {
                            let content = said["content"].as_str().and_then(|text| text.parse().ok());
                            (said["version"].as_u64(), content.unwrap_or(0))
                        })
                    };
                    if let Some((Some(version), value)) = told {
                        one.done(now(), version, value);
                    }
                    all.push(one);
                }
                all
            })
        });
        Clients { threads: at.collect(), stop }
    }

    /// Ends them; at least so many operations must have been done, and all must be linearizable.
    fn finish(self, least: usize) {
        self.stop.store(true, Ordering::Relaxed);
        let all: Vec<Operation> =
            self.threads.into_iter().flat_map(|thread| thread.join().expect("a client")).collect();
        let done = all.iter().filter(|operation| operation.told.is_some()).count();
        assert!(done >= least, "{done} of {} operations were done", all.len());
        assert_eq!(breaches(&all), Vec::<String>::new());
    }
}

#[test]
fn what_is_written_at_one_is_the_latest_at_all_and_outlives_the_processes() {
    let mut fleet = keeping(3, 3, true);
    assert_eq!(put(&fleet, 0, "limits", "forty"), Ok(1));
    for n in 0..3 {
        assert_eq!(latest(&fleet, n, "limits"), Ok("forty".to_owned()));
    }
    // Compared and set: a version that is not there any more changes nothing and is told.
    let file = fleet.servers[1].folder.join("document");
    std::fs::write(&file, "fifty").expect("written");
    let why = fleet.record(1, &["put", "--expect", "0", "limits", &file.display().to_string()]);
    assert!(why.as_ref().is_err_and(|why| why.contains("it has version 1 now")), "{why:?}");
    let record = fleet.kept(0, "record");
    let copies: Vec<Value> = (0..3).map(|n| fleet.kept(n, "copy")).collect();
    (0..3).for_each(|n| fleet.servers[n].kill());
    (0..3).for_each(|n| fleet.servers[n].start().expect("a process"));
    fleet.until_kept(3).unwrap_or_panic();
    assert_eq!((fleet.kept(0, "record"), latest(&fleet, 2, "limits")), (record, Ok("forty".to_owned())));
    // The same copies, not new ones: a disk that is there is used.
    assert_eq!((0..3).map(|n| fleet.kept(n, "copy")).collect::<Vec<_>>(), copies);
    // What an operator keeps can be checked without a server, and a change of it is seen.
    let kept = fleet.servers[0].folder.join("kept");
    fleet.record(0, &["export", &kept.display().to_string()]).expect("exported");
    let found = fleet.record(1, &["verify", &kept.display().to_string()]).expect("sound");
    assert_eq!(found["documents"][0][0], "limits");
    let mut bytes = std::fs::read(&kept).expect("there");
    *bytes.last_mut().expect("bytes") ^= 1;
    std::fs::write(&kept, bytes).expect("written");
    assert!(fleet.record(1, &["verify", &kept.display().to_string()]).is_err());
    sound(fleet);
}

#[test]
fn leaders_are_killed_paused_and_cut_off_and_no_client_sees_anything_old() {
    let mut fleet = keeping(3, 3, true);
    let clients = Clients::start(&fleet, 1);
    for round in 0..6 {
        rest(1_000);
        let leader = fleet.leader().expect("a leader");
        match round % 3 {
            0 => {
                fleet.servers[leader].kill();
                until_leads(&fleet, leader);
                fleet.servers[leader].start().expect("a process");
            }
            1 => {
                fleet.servers[leader].stop(true);
                until_leads(&fleet, leader);
                rest(1_500);
                // It wakes and believes that it leads: what it is asked then is in the clients' histories.
                fleet.servers[leader].stop(false);
            }
            _ => {
                // Clients still reach it: it must not answer with what it has.
                let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
                fleet.part(&[&[leader], &others]);
                rest(3_000);
                fleet.heal();
            }
        }
        fleet.until_kept(3).unwrap_or_panic();
    }
    clients.finish(60);
    sound(fleet);
}

#[test]
fn a_minority_writes_nothing_and_says_why_and_the_majority_goes_on() {
    let fleet = keeping(5, 3, false);
    let leader = fleet.leader().expect("a leader");
    let learners: Vec<usize> = (0..5).filter(|n| fleet.kept(*n, "role") == "Learner").collect();
    // The leader with one that learns, and the other two voters with the last.
    let others: Vec<usize> = (0..5).filter(|n| *n != leader && *n != learners[0]).collect();
    fleet.part(&[&[leader, learners[0]], &others]);
    let new = until_leads(&fleet, leader);
    assert!(others.contains(&new));
    assert_eq!(put(&fleet, new, "x", "from the majority"), Ok(1));
    let why = put(&fleet, leader, "x", "from the minority").expect_err("no majority");
    assert!(why.contains("it took too long") || why.contains("nobody leads"), "{why}");
    let why = latest(&fleet, leader, "x").expect_err("no majority");
    assert!(why.contains("it took too long") || why.contains("nobody leads"), "{why}");
    // As it is there it can be read, with its age.
    let local = fleet.record(learners[0], &["show", "--local", "x"]);
    assert!(local.is_err_and(|why| why.contains("no document")));
    fleet.heal();
    fleet.until("one record", |fleet| latest(fleet, leader, "x").is_ok()).unwrap_or_panic();
    // The minority's write may come through now, after the other: never in its place.
    let version = fleet.record(leader, &["show", "x"]).expect("there")["version"].as_u64();
    let content = latest(&fleet, leader, "x").expect("there");
    assert!(matches!(
        (version, content.as_str()),
        (Some(1), "from the majority") | (Some(2), "from the minority")
    ));
    sound(fleet);
}

#[test]
fn over_a_star_a_chain_and_one_way_cuts_there_is_a_leader() {
    let fleet = keeping(5, 5, false);
    for case in ["star", "chain", "deaf leader", "hub behind"] {
        let leader = fleet.leader().expect("a leader");
        let others: Vec<usize> = (0..5).filter(|n| *n != leader).collect();
        let hub = others[0];
        // Everyone but the hub is apart.
        let apart = || {
            for n in (0..5).filter(|n| *n != hub) {
                fleet.part(&[&[n], &(0..5).filter(|o| *o != hub && *o != n).collect::<Vec<_>>()]);
            }
        };
        match case {
            "star" => apart(),
            "chain" => {
                let chain = [others[1], leader, hub, others[2], others[3]];
                for a in 0..5usize {
                    for b in (0..5).filter(|b| a.abs_diff(*b) > 1) {
                        fleet.change(chain[a], chain[b], |faults| faults.cut = true);
                    }
                }
            }
            "deaf leader" => others.iter().for_each(|n| fleet.change(*n, leader, |faults| faults.cut = true)),
            _ => {
                // The only one that will reach a majority lacks what was agreed on: it can't be elected itself, and the
                // others reach each other through it alone.
                fleet.part(&[&[hub], &[leader, others[1], others[2], others[3]]]);
                rest(1_000);
                (0..3)
                    .for_each(|n| assert!(put(&fleet, leader, "x", &format!("without the hub {n}")).is_ok()));
                apart();
                for n in &others[1..] {
                    for (from, to) in [(hub, *n), (*n, hub)] {
                        fleet.change(from, to, |faults| faults.cut = false);
                    }
                }
            }
        }
        fleet.until(case, |fleet| put(fleet, hub, "x", case).is_ok()).unwrap_or_panic();
        let before = fleet.kept(hub, "term").as_u64();
        rest(2_500);
        let after = fleet.kept(hub, "term").as_u64();
        assert!(after <= before.map(|term| term + 2), "{case}: {before:?} to {after:?}: endless elections");
        assert_eq!(latest(&fleet, hub, "x"), Ok(case.to_owned()), "{case}");
        fleet.heal();
        fleet.until_all("whole").unwrap_or_panic();
        fleet.until_kept(5).unwrap_or_panic();
    }
    sound(fleet);
}

#[test]
fn one_whose_disk_is_gone_comes_back_under_a_new_number_and_catches_up() {
    let mut fleet = keeping(3, 3, true);
    let n = voter(&fleet);
    put(&fleet, n, "x", "before").expect("written");
    let copy = fleet.kept(n, "copy");
    fleet.servers[n].kill();
    fleet.servers[n].lose_disk();
    put(&fleet, fleet.leader().expect("a leader"), "x", "meanwhile").expect("written");
    fleet.servers[n].start().expect("a process");
    fleet.until_kept(3).unwrap_or_panic();
    assert_ne!(fleet.kept(n, "copy"), copy);
    assert_eq!(fleet.record(n, &["show", "--local", "x"]).expect("there")["content"], "meanwhile");
    sound(fleet);
}

#[test]
fn one_whose_disk_was_set_back_does_not_vote_with_it() {
    let mut fleet = keeping(3, 3, true);
    let n = voter(&fleet);
    fleet.servers[n].kill();
    let old = fleet.servers[n].disk_image().expect("a file");
    fleet.servers[n].start().expect("a process");
    fleet.until_kept(3).unwrap_or_panic();
    let copy = fleet.kept(n, "copy");
    for round in 0..5 {
        put(&fleet, n, "x", &format!("round {round}")).expect("written");
    }
    rest(600);
    fleet.servers[n].kill();
    fleet.servers[n].put_disk(&old).expect("put back");
    fleet.servers[n].start().expect("a process");
    fleet.until_kept(3).unwrap_or_panic();
    assert_ne!(fleet.kept(n, "copy"), copy, "it voted under its old number");
    assert_eq!(said(&mut fleet, n, "replica rollback detected").len(), 1);
    assert!(
        fleet.servers[n].record_folder().join("rows.redb.aside-1").exists(),
        "the old copy stays for the operator"
    );
    assert_eq!(latest(&fleet, n, "x"), Ok("round 4".to_owned()));
    sound(fleet);
}

#[test]
fn flipped_bits_at_rest_and_while_it_runs_are_told_set_aside_and_put_right() {
    let mut told = options(3);
    told.record = Some("voters=3 election-ms=400 replace-after-s=30".to_owned());
    told.disk = Some("most-mb=64 scrub-s=1".to_owned());
    let mut fleet = Fleet::start(told).unwrap_or_else(|why| panic!("{why}"));
    fleet.until_kept(3).unwrap_or_panic();
    fleet.ask(2, Duration::from_millis(20));
    put(&fleet, 0, "x", &"content ".repeat(4_000)).expect("written");
    let n = voter(&fleet);
    fleet.servers[n].kill();
    fleet.servers[n].flip_disk(8_000, 500).expect("flipped");
    fleet.servers[n].start().expect("a process");
    // It serves at once, whatever its disk holds.
    fleet.servers[n].wait_until_well().unwrap_or_panic();
    fleet.until_kept(3).unwrap_or_panic();
    let lines = said(&mut fleet, n, "stored replica quarantined");
    let why = lines.first().map(|line| line["reason"].to_string()).unwrap_or_default();
    assert!(why.contains("rows.redb: damaged at"), "{lines:?}");
    // And while it runs: found by reading all of it, without a restart.
    let m = voter(&fleet);
    let copy = fleet.kept(m, "copy");
    fleet.servers[m].flip_disk(8_000, 500).expect("flipped");
    fleet
        .until("a new copy", |fleet| !fleet.kept(m, "copy").is_null() && fleet.kept(m, "copy") != copy)
        .unwrap_or_panic();
    fleet.until_kept(3).unwrap_or_panic();
    assert_eq!(latest(&fleet, m, "x").map(|content| content.len()), Ok(32_000));
    sound(fleet);
}

#[test]
fn a_fleet_without_disks_that_ends_as_a_whole_begins_a_new_record_and_says_so() {
    let mut fleet = keeping(3, 3, false);
    put(&fleet, 0, "x", "lost").expect("written");
    let record = fleet.kept(0, "record");
    // One at a time nothing is lost.
    for n in 0..3 {
        fleet.servers[n].kill();
        fleet.servers[n].start().expect("a process");
        fleet.until_kept(3).unwrap_or_panic();
    }
    assert_eq!((fleet.kept(0, "record"), latest(&fleet, 1, "x")), (record.clone(), Ok("lost".to_owned())));
    (0..3).for_each(|n| fleet.servers[n].kill());
    (0..3).for_each(|n| fleet.servers[n].start().expect("a process"));
    fleet.until_kept(3).unwrap_or_panic();
    assert_ne!(fleet.kept(0, "record"), record);
    let begun: usize = (0..3).map(|n| said(&mut fleet, n, NEW).len()).sum();
    assert_eq!(begun, 2, "each new record is told of by its founder");
    sound(fleet);
}

/// What a founder says.
const NEW: &str = "replicated store bootstrapped";

#[test]
fn a_voter_that_is_gone_for_long_is_replaced_and_learns_when_it_returns() {
    let mut fleet = keeping(5, 3, true);
    let n = voter(&fleet);
    let name = fleet.servers[n].name.clone();
    fleet.servers[n].kill();
    let replaced = |fleet: &Fleet| {
        let copies = fleet.leader().map(|leader| fleet.kept(leader, "copies"));
        let copies = copies.and_then(|copies| copies.as_array().cloned()).unwrap_or_default();
        let votes: Vec<&Value> = copies.iter().filter(|copy| copy["votes"] == true).collect();
        votes.len() == 3 && votes.iter().all(|copy| copy["name"] != name.as_str())
    };
    fleet.until("another voter", replaced).unwrap_or_panic();
    fleet.servers[n].start().expect("a process");
    fleet.until_kept(3).unwrap_or_panic();
    assert_eq!(fleet.kept(n, "role"), "Learner");
    // By hand it votes again, in the place of another, and stays.
    fleet.record(n, &["promote", &name]).expect("asked");
    fleet.until("its vote", |fleet| fleet.kept(n, "role") == "Voter").unwrap_or_panic();
    rest(1_500);
    fleet.until_kept(3).unwrap_or_panic();
    assert_eq!(fleet.kept(n, "role"), "Voter");
    let leader = fleet.leader().expect("a leader");
    let why = fleet.record(leader, &["promote", &name]).expect_err("it votes");
    assert!(why.contains("votes already"), "{why}");
    sound(fleet);
}

#[test]
fn a_leader_that_is_told_to_end_hands_over_and_its_drain_is_not_held_up() {
    let mut fleet = keeping(3, 3, true);
    put(&fleet, 0, "x", "kept").expect("written");
    let leader = fleet.leader().expect("a leader");
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    fleet.servers[leader].terminate();
    fleet
        .until("another leader", |fleet| others.iter().any(|n| fleet.kept(*n, "role") == "Leader"))
        .unwrap_or_panic();
    // Nobody had to miss it first: it still drains.
    assert!(fleet.servers[leader].ended().is_none(), "it ended before another led");
    let status = fleet.servers[leader].wait_until_ended().expect("it ends");
    assert!(status.success(), "{status}");
    fleet.servers.iter_mut().for_each(umberloom_fault_harness::server::Server::read_log);
    let found: Vec<usize> = others.iter().copied().filter(|n| fleet.kept(*n, "role") == "Leader").collect();
    assert_eq!(found.len(), 1);
    assert_eq!(latest(&fleet, found[0], "x"), Ok("kept".to_owned()));
    fleet.servers[leader].start().expect("a process");
    fleet.until_kept(3).unwrap_or_panic();
    sound(fleet);
}

#[test]
fn one_far_behind_catches_up_while_it_serves_and_is_killed_on_the_way_three_times() {
    let mut told = options(3);
    told.record = Some("voters=3 election-ms=400 replace-after-s=60 catch-up-kb=1500".to_owned());
    told.disk = Some("most-mb=64".to_owned());
    let mut fleet = Fleet::start(told).unwrap_or_else(|why| panic!("{why}"));
    fleet.until_kept(3).unwrap_or_panic();
    fleet.ask(2, Duration::from_millis(20));
    let n = voter(&fleet);
    fleet.servers[n].kill();
    let leader = fleet.leader().expect("a leader");
    let large: String = (0..100_000).map(|n| format!("{n:07},")).collect();
    for document in 0..12 {
        // A busy machine may cost the leader its lead meanwhile.
        fleet
            .until("a write", |fleet| put(fleet, leader, &format!("large{document}"), &large).is_ok())
            .unwrap_or_panic();
    }
    let mut highest = 0;
    for _ in 0..3 {
        fleet.servers[n].start().expect("a process");
        let there = |fleet: &Fleet| fleet.kept(n, "catching_up")[0].as_u64();
        fleet.until("a snapshot under way", |fleet| there(fleet).is_some()).unwrap_or_panic();
        // But for the last pieces, which the kill may have caught on their way to the disk.
        let first = there(&fleet).unwrap_or(0);
        assert!(first + 8 >= highest, "{first} pieces after a restart, {highest} before");
        fleet
            .until("pieces", |fleet| there(fleet).is_some_and(|there| there > highest + 10))
            .unwrap_or_panic();
        // It serves, and says how far it is; beats are not held up by pieces.
        fleet.until_all("whole").unwrap_or_panic();
        highest = there(&fleet).unwrap_or(highest);
        fleet.servers[n].kill();
    }
    fleet.servers[n].start().expect("a process");
    fleet.until_kept(3).unwrap_or_panic();
    let large_ones = |line: &&Value| line["bytes"].as_u64() > Some(5_000_000);
    assert_eq!(said(&mut fleet, n, "replica caught up").iter().filter(large_ones).count(), 1);
    assert_eq!(latest(&fleet, n, "large11").map(|content| content.len()), Ok(large.len()));
    sound(fleet);
}

#[test]
fn one_that_is_taken_out_of_the_roster_during_a_cut_is_no_part_of_the_record_after_it() {
    let mut fleet = keeping(4, 3, true);
    put(&fleet, 0, "x", "before").expect("written");
    fleet.part(&[&[0, 1], &[2, 3]]);
    rest(800);
    for n in 0..3 {
        fleet.told_of[n].retain(|other| *other != 3);
        fleet.reload(n);
    }
    fleet.servers[3].terminate();
    fleet.servers[3].wait_until_ended().expect("it ends");
    rest(800);
    fleet.heal();
    fleet.until_kept(3).unwrap_or_panic();
    assert_eq!(fleet.kept(0, "copies").as_array().map(Vec::len), Some(3));
    put(&fleet, 2, "x", "after").expect("written");
    assert_eq!(latest(&fleet, 1, "x"), Ok("after".to_owned()));
    sound(fleet);
}

#[test]
fn where_a_majority_is_lost_for_good_an_operator_goes_on_with_the_copy_that_is_left() {
    let mut fleet = keeping(3, 3, true);
    put(&fleet, 0, "x", "all that is left").expect("written");
    let record = fleet.kept(0, "record");
    assert!(fleet.record(0, &["adopt"]).is_err_and(|why| why.contains("nothing is to be decided")));
    for n in [1, 2] {
        fleet.servers[n].kill();
        fleet.servers[n].lose_disk();
    }
    // Two at once: nothing by itself, whatever comes back.
    for n in [1, 2] {
        fleet.servers[n].start().expect("a process");
    }
    fleet.until_all("whole").unwrap_or_panic();
    rest(2_500);
    assert_eq!((fleet.leader(), fleet.kept(0, "record")), (None, record.clone()));
    assert_eq!(fleet.record(0, &["show", "--local", "x"]).expect("there")["content"], "all that is left");
    fleet.until("a decision", |fleet| fleet.record(0, &["adopt"]).is_ok()).unwrap_or_panic();
    fleet.until_kept(3).unwrap_or_panic();
    assert_eq!(latest(&fleet, 2, "x"), Ok("all that is left".to_owned()));
    assert_ne!(fleet.kept(0, "record"), record);
    let lines = fleet.record(1, &["history"]).expect("there");
    assert!(lines[0]["what"].as_str().is_some_and(|what| what.starts_with("adopted from record")), "{lines}");
    sound(fleet);
}

#[test]
fn two_of_five_disks_full_hold_up_nobody_and_come_back_once_there_is_room() {
    let mut told = options(5);
    told.record = Some("voters=5 election-ms=400 replace-after-s=60".to_owned());
    told.disk = Some("most-mb=64".to_owned());
    let mut fleet = Fleet::prepare(told).expect("a fleet");
    let full = [3, 4];
    for n in full {
        let text = fleet.operator(n).replace("most-mb=64", "most-mb=1");
        fleet.servers[n].write_operator(&text).expect("written");
    }
    (0..5).for_each(|n| fleet.servers[n].start().expect("a process"));
    fleet.until_kept(5).unwrap_or_panic();
    fleet.ask(2, Duration::from_millis(20));
    let large = "content ".repeat(50_000);
    for document in 0..4 {
        let n = (0..3).find(|n| fleet.kept(*n, "role") != "Outside").expect("one with room");
        fleet
            .until("a write", |fleet| put(fleet, n, &format!("large{document}"), &large).is_ok())
            .unwrap_or_panic();
    }
    for n in full {
        fleet
            .until("a line about it", |fleet| fleet.servers[n].log().contains("bytes would be kept"))
            .unwrap_or_panic();
    }
    assert_eq!(latest(&fleet, 0, "large3").map(|content| content.len()), Ok(large.len()));
    for document in 0..4 {
        fleet
            .until("a write", |fleet| fleet.record(0, &["remove", &format!("large{document}")]).is_ok())
            .unwrap_or_panic();
    }
    fleet.until_kept(5).unwrap_or_panic();
    sound(fleet);
}

#[test]
fn twenty_four_processes_keep_one_record() {
    let mut told = options(24);
    told.record = Some("voters=5 election-ms=1500 replace-after-s=60".to_owned());
    told.timing = "timing".to_owned();
    told.damp_ms = 1_000;
    let mut fleet = Fleet::start(told).unwrap_or_else(|why| panic!("{why}"));
    fleet.until_kept(5).unwrap_or_panic();
    fleet.ask(1, Duration::from_millis(200));
    put(&fleet, 23, "x", "everywhere").expect("written");
    let leader = fleet.leader().expect("a leader");
    fleet.servers[leader].kill();
    until_leads(&fleet, leader);
    let n = (leader + 1) % 24;
    fleet.until("a write", |fleet| put(fleet, n, "x", "after it").is_ok()).unwrap_or_panic();
    let there = |fleet: &Fleet, n: usize| {
        fleet.record(n, &["show", "--local", "x"]).is_ok_and(|said| said["content"] == "after it")
    };
    fleet
        .until("it at all", |fleet| (0..24).filter(|n| *n != leader).all(|n| there(fleet, n)))
        .unwrap_or_panic();
    sound(fleet);
}

#[test]
fn a_disk_that_can_t_be_used_costs_its_server_the_record_and_nothing_else() {
    let mut fleet = keeping(3, 3, true);
    let n = voter(&fleet);
    fleet.servers[n].kill();
    fleet.servers[n].lose_disk();
    // A file where the folder should be.
    let folder = fleet.servers[n].record_folder();
    std::fs::write(&folder, "not a folder").expect("written");
    fleet.servers[n].start().expect("a process");
    fleet.servers[n].wait_until_well().unwrap_or_panic();
    fleet
        .until("a line about it", |fleet| fleet.servers[n].log().contains("expected a folder"))
        .unwrap_or_panic();
    assert!(fleet.record(n, &["status"]).is_err_and(|why| why.contains("its disk can't be used now")));
    put(&fleet, (n + 1) % 3, "x", "by the others").expect("written");
    std::fs::remove_file(&folder).expect("removed");
    // Without a restart.
    fleet.until_kept(3).unwrap_or_panic();
    assert_eq!(latest(&fleet, n, "x"), Ok("by the others".to_owned()));
    sound(fleet);
}

#[test]
fn record_folders_of_the_earlier_version_are_taken_up_as_they_are() {
    // Written by three servers of commit 604394b, see `crates/replicated-store/tests/stored_format.rs`.
    let golden = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../replicated-store/tests/golden");
    let mut fleet = keeping(3, 3, true);
    (0..3).for_each(|n| fleet.servers[n].kill());
    for n in 0..3 {
        let rows = std::fs::read(golden.join(format!("store-{n}/rows.redb"))).expect("a fixture");
        fleet.servers[n].put_disk(&rows).expect("put back");
        fleet.servers[n].start().expect("a process");
    }
    fleet.until_kept(3).unwrap_or_panic();
    assert_eq!(latest(&fleet, 0, "limits"), Ok("fifty".to_owned()));
    assert_eq!(latest(&fleet, 1, "routes"), Ok(r#"{"billing":["10.0.0.1:80"]}"#.to_owned()));
    // The replicas go on under their numbers, and versions go on where they were.
    assert_eq!(fleet.kept(0, "record"), Value::from(11_353_357_318_115_222_379_u64));
    assert_eq!(fleet.kept(0, "copy"), Value::from(4_935_982_442_997_947_715_u64));
    assert_eq!(put(&fleet, 2, "limits", "sixty"), Ok(3));
    let history = fleet.record(1, &["history"]).expect("a history");
    let lines = history.as_array().expect("lines");
    let about = |line: &Value| line["what"].as_str().unwrap_or_default().to_owned();
    assert_eq!(lines.len(), 9);
    assert_eq!(about(&lines[0]), "document limits");
    assert_eq!(about(&lines[1]), "rolled back the spring limits");
    sound(fleet);
}

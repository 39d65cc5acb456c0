//! Several server processes that keep one replicated store, with faults of their disks: lost, rolled back, damaged, full. Requests
//! go on all the while, and the invariants are checked at the end of each test.

mod common;

use std::time::Duration;

use common::replicated_store::{any_follower, log_events, put_document, read_latest, start_fleet_with_store};
use common::{assert_invariants, fleet_options, sleep_ms, UnwrapOrPanic};
use serde_json::Value;
use umberloom_fault_harness::Fleet;

#[test]
fn a_server_without_its_disk_returns_as_a_new_replica_and_catches_up() {
    let mut fleet = start_fleet_with_store(3, 3, true);
    let n = any_follower(&fleet);
    put_document(&fleet, n, "x", "before").expect("written");
    let copy = fleet.store_status_field(n, "copy");
    fleet.servers[n].kill();
    fleet.servers[n].lose_disk();
    put_document(&fleet, fleet.leader().expect("a leader"), "x", "meanwhile").expect("written");
    fleet.servers[n].start().expect("a process");
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_ne!(fleet.store_status_field(n, "copy"), copy);
    assert_eq!(fleet.store_command(n, &["show", "--local", "x"]).expect("there")["content"], "meanwhile");
    assert_invariants(fleet);
}

#[test]
fn a_replica_whose_disk_was_rolled_back_does_not_vote() {
    let mut fleet = start_fleet_with_store(3, 3, true);
    let n = any_follower(&fleet);
    fleet.servers[n].kill();
    let old = fleet.servers[n].disk_image().expect("a file");
    fleet.servers[n].start().expect("a process");
    fleet.wait_for_replication(3).unwrap_or_panic();
    let copy = fleet.store_status_field(n, "copy");
    for round in 0..5 {
        put_document(&fleet, n, "x", &format!("round {round}")).expect("written");
    }
    sleep_ms(600);
    fleet.servers[n].kill();
    fleet.servers[n].restore_disk(&old).expect("put back");
    fleet.servers[n].start().expect("a process");
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_ne!(fleet.store_status_field(n, "copy"), copy, "it voted under its old number");
    assert_eq!(log_events(&mut fleet, n, "replica rollback detected").len(), 1);
    assert!(
        fleet.servers[n].store_folder().join("rows.redb.aside-1").exists(),
        "the old copy stays for the operator"
    );
    assert_eq!(read_latest(&fleet, n, "x"), Ok("round 4".to_owned()));
    assert_invariants(fleet);
}

#[test]
fn flipped_bits_are_logged_quarantined_and_repaired_at_rest_and_while_running() {
    let mut told = fleet_options(3);
    told.store_options = Some("voters=3 election-ms=400 replace-after-s=30".to_owned());
    told.store_folder_options = Some("most-mb=64 scrub-s=1".to_owned());
    let mut fleet = Fleet::start(told).unwrap_or_else(|why| panic!("{why}"));
    fleet.wait_for_replication(3).unwrap_or_panic();
    fleet.start_traffic(2, Duration::from_millis(20));
    put_document(&fleet, 0, "x", &"content ".repeat(4_000)).expect("written");
    let n = any_follower(&fleet);
    fleet.servers[n].kill();
    fleet.servers[n].corrupt_disk(8_000, 500).expect("flipped");
    fleet.servers[n].start().expect("a process");
    // It serves at once, whatever its disk holds.
    fleet.servers[n].wait_until_healthy().unwrap_or_panic();
    fleet.wait_for_replication(3).unwrap_or_panic();
    let lines = log_events(&mut fleet, n, "stored replica quarantined");
    let why = lines.first().map(|line| line["reason"].to_string()).unwrap_or_default();
    assert!(why.contains("rows.redb: damaged at"), "{lines:?}");
    // And while it runs: found by reading all of it, without a restart.
    let m = any_follower(&fleet);
    let copy = fleet.store_status_field(m, "copy");
    fleet.servers[m].corrupt_disk(8_000, 500).expect("flipped");
    fleet
        .wait_until("a new copy", |fleet| {
            !fleet.store_status_field(m, "copy").is_null() && fleet.store_status_field(m, "copy") != copy
        })
        .unwrap_or_panic();
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(read_latest(&fleet, m, "x").map(|content| content.len()), Ok(32_000));
    assert_invariants(fleet);
}

#[test]
fn a_fleet_without_disks_bootstraps_a_new_store_after_all_servers_have_ended() {
    let mut fleet = start_fleet_with_store(3, 3, false);
    put_document(&fleet, 0, "x", "lost").expect("written");
    let record = fleet.store_status_field(0, "record");
    // One at a time nothing is lost.
    for n in 0..3 {
        fleet.servers[n].kill();
        fleet.servers[n].start().expect("a process");
        fleet.wait_for_replication(3).unwrap_or_panic();
    }
    assert_eq!(
        (fleet.store_status_field(0, "record"), read_latest(&fleet, 1, "x")),
        (record.clone(), Ok("lost".to_owned()))
    );
    (0..3).for_each(|n| fleet.servers[n].kill());
    (0..3).for_each(|n| fleet.servers[n].start().expect("a process"));
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_ne!(fleet.store_status_field(0, "record"), record);
    let begun: usize = (0..3).map(|n| log_events(&mut fleet, n, NEW).len()).sum();
    assert_eq!(begun, 2, "each new record is told of by its founder");
    assert_invariants(fleet);
}

/// What a founder says.
const NEW: &str = "replicated store bootstrapped";

#[test]
fn a_replica_far_behind_catches_up_while_it_serves_and_is_killed_three_times() {
    let mut told = fleet_options(3);
    told.store_options = Some("voters=3 election-ms=400 replace-after-s=60 catch-up-kb=1500".to_owned());
    told.store_folder_options = Some("most-mb=64".to_owned());
    let mut fleet = Fleet::start(told).unwrap_or_else(|why| panic!("{why}"));
    fleet.wait_for_replication(3).unwrap_or_panic();
    fleet.start_traffic(2, Duration::from_millis(20));
    let n = any_follower(&fleet);
    fleet.servers[n].kill();
    let leader = fleet.leader().expect("a leader");
    let large: String = (0..100_000).map(|n| format!("{n:07},")).collect();
    for document in 0..12 {
        // A busy machine may cost the leader its lead meanwhile.
        fleet
            .wait_until("a write", |fleet| {
                put_document(fleet, leader, &format!("large{document}"), &large).is_ok()
            })
            .unwrap_or_panic();
    }
    let mut highest = 0;
    for _ in 0..3 {
        fleet.servers[n].start().expect("a process");
        let there = |fleet: &Fleet| fleet.store_status_field(n, "catching_up")[0].as_u64();
        fleet.wait_until("a snapshot under way", |fleet| there(fleet).is_some()).unwrap_or_panic();
        // But for the last pieces, which the kill may have caught on their way to the disk.
        let first = there(&fleet).unwrap_or(0);
        assert!(first + 8 >= highest, "{first} pieces after a restart, {highest} before");
        fleet
            .wait_until("pieces", |fleet| there(fleet).is_some_and(|there| there > highest + 10))
            .unwrap_or_panic();
        // It serves, and says how far it is; beats are not held up by pieces.
        fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
        highest = there(&fleet).unwrap_or(highest);
        fleet.servers[n].kill();
    }
    fleet.servers[n].start().expect("a process");
    fleet.wait_for_replication(3).unwrap_or_panic();
    let large_ones = |line: &&Value| line["bytes"].as_u64() > Some(5_000_000);
    assert_eq!(log_events(&mut fleet, n, "replica caught up").iter().filter(large_ones).count(), 1);
    assert_eq!(read_latest(&fleet, n, "large11").map(|content| content.len()), Ok(large.len()));
    assert_invariants(fleet);
}

#[test]
fn two_full_disks_of_five_block_nobody_and_recover_once_there_is_room() {
    let mut told = fleet_options(5);
    told.store_options = Some("voters=5 election-ms=400 replace-after-s=60".to_owned());
    told.store_folder_options = Some("most-mb=64".to_owned());
    let mut fleet = Fleet::prepare(told).expect("a fleet");
    let full = [3, 4];
    for n in full {
        let text = fleet.operator_config(n).replace("most-mb=64", "most-mb=1");
        fleet.servers[n].write_operator_config(&text).expect("written");
    }
    (0..5).for_each(|n| fleet.servers[n].start().expect("a process"));
    fleet.wait_for_replication(5).unwrap_or_panic();
    fleet.start_traffic(2, Duration::from_millis(20));
    let large = "content ".repeat(50_000);
    for document in 0..4 {
        let n = (0..3).find(|n| fleet.store_status_field(*n, "role") != "Outside").expect("one with room");
        fleet
            .wait_until("a write", |fleet| {
                put_document(fleet, n, &format!("large{document}"), &large).is_ok()
            })
            .unwrap_or_panic();
    }
    for n in full {
        fleet
            .wait_until("a line about it", |fleet| fleet.servers[n].log().contains("bytes would be kept"))
            .unwrap_or_panic();
    }
    assert_eq!(read_latest(&fleet, 0, "large3").map(|content| content.len()), Ok(large.len()));
    for document in 0..4 {
        fleet
            .wait_until("a write", |fleet| {
                fleet.store_command(0, &["remove", &format!("large{document}")]).is_ok()
            })
            .unwrap_or_panic();
    }
    fleet.wait_for_replication(5).unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn an_unusable_disk_costs_its_server_only_its_replica() {
    let mut fleet = start_fleet_with_store(3, 3, true);
    let n = any_follower(&fleet);
    fleet.servers[n].kill();
    fleet.servers[n].lose_disk();
    // A file where the folder should be.
    let folder = fleet.servers[n].store_folder();
    std::fs::write(&folder, "not a folder").expect("written");
    fleet.servers[n].start().expect("a process");
    fleet.servers[n].wait_until_healthy().unwrap_or_panic();
    fleet
        .wait_until("a line about it", |fleet| fleet.servers[n].log().contains("expected a folder"))
        .unwrap_or_panic();
    assert!(fleet.store_command(n, &["status"]).is_err_and(|why| why.contains("its disk can't be used now")));
    put_document(&fleet, (n + 1) % 3, "x", "by the others").expect("written");
    std::fs::remove_file(&folder).expect("removed");
    // Without a restart.
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(read_latest(&fleet, n, "x"), Ok("by the others".to_owned()));
    assert_invariants(fleet);
}

#[test]
fn store_folders_of_the_earlier_version_are_opened_as_they_are() {
    // Written by three servers of commit 604394b, see `crates/replicated-store/tests/stored_format.rs`.
    let golden = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../replicated-store/tests/golden");
    let mut fleet = start_fleet_with_store(3, 3, true);
    (0..3).for_each(|n| fleet.servers[n].kill());
    for n in 0..3 {
        let rows = std::fs::read(golden.join(format!("store-{n}/rows.redb"))).expect("a fixture");
        fleet.servers[n].restore_disk(&rows).expect("put back");
        fleet.servers[n].start().expect("a process");
    }
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(read_latest(&fleet, 0, "limits"), Ok("fifty".to_owned()));
    assert_eq!(read_latest(&fleet, 1, "routes"), Ok(r#"{"billing":["10.0.0.1:80"]}"#.to_owned()));
    // The replicas go on under their numbers, and versions go on where they were.
    assert_eq!(fleet.store_status_field(0, "record"), Value::from(11_353_357_318_115_222_379_u64));
    assert_eq!(fleet.store_status_field(0, "copy"), Value::from(4_935_982_442_997_947_715_u64));
    assert_eq!(put_document(&fleet, 2, "limits", "sixty"), Ok(3));
    let history = fleet.store_command(1, &["history"]).expect("a history");
    let lines = history.as_array().expect("lines");
    let about = |line: &Value| line["what"].as_str().unwrap_or_default().to_owned();
    assert_eq!(lines.len(), 9);
    assert_eq!(about(&lines[0]), "document limits");
    assert_eq!(about(&lines[1]), "rolled back the spring limits");
    assert_invariants(fleet);
}

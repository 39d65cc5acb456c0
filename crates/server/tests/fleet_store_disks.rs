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
    let follower = any_follower(&fleet);
    put_document(&fleet, follower, "x", "before").expect("written");
    let replica_id = fleet.store_status_field(follower, "copy");
    fleet.servers[follower].kill();
    fleet.servers[follower].lose_disk();
    put_document(&fleet, fleet.leader().expect("a leader"), "x", "meanwhile").expect("written");
    fleet.servers[follower].start().expect("a process");
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_ne!(fleet.store_status_field(follower, "copy"), replica_id);
    assert_eq!(
        fleet.store_command(follower, &["show", "--local", "x"]).expect("there")["content"],
        "meanwhile"
    );
    assert_invariants(fleet);
}

#[test]
fn a_replica_whose_disk_was_rolled_back_does_not_vote() {
    let mut fleet = start_fleet_with_store(3, 3, true);
    let follower = any_follower(&fleet);
    fleet.servers[follower].kill();
    let old_image = fleet.servers[follower].disk_image().expect("a file");
    fleet.servers[follower].start().expect("a process");
    fleet.wait_for_replication(3).unwrap_or_panic();
    let replica_id = fleet.store_status_field(follower, "copy");
    for round in 0..5 {
        put_document(&fleet, follower, "x", &format!("round {round}")).expect("written");
    }
    sleep_ms(600);
    fleet.servers[follower].kill();
    fleet.servers[follower].restore_disk(&old_image).expect("put back");
    fleet.servers[follower].start().expect("a process");
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_ne!(fleet.store_status_field(follower, "copy"), replica_id, "it voted under its old number");
    assert_eq!(log_events(&mut fleet, follower, "replica rollback detected").len(), 1);
    assert!(
        fleet.servers[follower].store_folder().join("rows.redb.aside-1").exists(),
        "the old copy stays for the operator"
    );
    assert_eq!(read_latest(&fleet, follower, "x"), Ok("round 4".to_owned()));
    assert_invariants(fleet);
}

#[test]
fn flipped_bits_are_logged_quarantined_and_repaired_at_rest_and_while_running() {
    let mut options = fleet_options(3);
    options.store_options = Some("voters=3 election-ms=400 replace-after-s=30".to_owned());
    options.store_folder_options = Some("most-mb=64 scrub-s=1".to_owned());
    let mut fleet = Fleet::start(options).unwrap_or_else(|error| panic!("{error}"));
    fleet.wait_for_replication(3).unwrap_or_panic();
    fleet.start_traffic(2, Duration::from_millis(20));
    put_document(&fleet, 0, "x", &"content ".repeat(4_000)).expect("written");
    let follower = any_follower(&fleet);
    fleet.servers[follower].kill();
    fleet.servers[follower].corrupt_disk(8_000, 500).expect("flipped");
    fleet.servers[follower].start().expect("a process");
    // It serves at once, whatever its disk holds.
    fleet.servers[follower].wait_until_healthy().unwrap_or_panic();
    fleet.wait_for_replication(3).unwrap_or_panic();
    let events = log_events(&mut fleet, follower, "stored replica quarantined");
    let reason = events.first().map(|line| line["reason"].to_string()).unwrap_or_default();
    assert!(reason.contains("rows.redb: damaged at"), "{events:?}");
    // And while it runs: found by reading all of it, without a restart.
    let second_follower = any_follower(&fleet);
    let replica_id = fleet.store_status_field(second_follower, "copy");
    fleet.servers[second_follower].corrupt_disk(8_000, 500).expect("flipped");
    fleet
        .wait_until("a new copy", |fleet| {
            !fleet.store_status_field(second_follower, "copy").is_null()
                && fleet.store_status_field(second_follower, "copy") != replica_id
        })
        .unwrap_or_panic();
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(read_latest(&fleet, second_follower, "x").map(|content| content.len()), Ok(32_000));
    assert_invariants(fleet);
}

#[test]
fn a_fleet_without_disks_bootstraps_a_new_store_after_all_servers_have_ended() {
    let mut fleet = start_fleet_with_store(3, 3, false);
    put_document(&fleet, 0, "x", "lost").expect("written");
    let store_id = fleet.store_status_field(0, "record");
    // One at a time nothing is lost.
    for server in 0..3 {
        fleet.servers[server].kill();
        fleet.servers[server].start().expect("a process");
        fleet.wait_for_replication(3).unwrap_or_panic();
    }
    assert_eq!(
        (fleet.store_status_field(0, "record"), read_latest(&fleet, 1, "x")),
        (store_id.clone(), Ok("lost".to_owned()))
    );
    (0..3).for_each(|server| fleet.servers[server].kill());
    (0..3).for_each(|server| fleet.servers[server].start().expect("a process"));
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_ne!(fleet.store_status_field(0, "record"), store_id);
    let bootstraps: usize =
        (0..3).map(|server| log_events(&mut fleet, server, BOOTSTRAP_MESSAGE).len()).sum();
    assert_eq!(bootstraps, 2, "each new record is told of by its founder");
    assert_invariants(fleet);
}

/// What a founder says.
const BOOTSTRAP_MESSAGE: &str = "replicated store bootstrapped";

#[test]
fn a_replica_far_behind_catches_up_while_it_serves_and_is_killed_three_times() {
    let mut options = fleet_options(3);
    options.store_options = Some("voters=3 election-ms=400 replace-after-s=60 catch-up-kb=1500".to_owned());
    options.store_folder_options = Some("most-mb=64".to_owned());
    let mut fleet = Fleet::start(options).unwrap_or_else(|error| panic!("{error}"));
    fleet.wait_for_replication(3).unwrap_or_panic();
    fleet.start_traffic(2, Duration::from_millis(20));
    let follower = any_follower(&fleet);
    fleet.servers[follower].kill();
    let leader = fleet.leader().expect("a leader");
    let large: String = (0..100_000).map(|number| format!("{number:07},")).collect();
    for document in 0..12 {
        // A busy machine may cost the leader its lead meanwhile.
        fleet
            .wait_until("a write", |fleet| {
                put_document(fleet, leader, &format!("large{document}"), &large).is_ok()
            })
            .unwrap_or_panic();
    }
    let mut max_pieces = 0;
    for _ in 0..3 {
        fleet.servers[follower].start().expect("a process");
        let pieces_received = |fleet: &Fleet| fleet.store_status_field(follower, "catching_up")[0].as_u64();
        fleet.wait_until("a snapshot under way", |fleet| pieces_received(fleet).is_some()).unwrap_or_panic();
        // But for the last pieces, which the kill may have caught on their way to the disk.
        let pieces = pieces_received(&fleet).unwrap_or(0);
        assert!(pieces + 8 >= max_pieces, "{pieces} pieces after a restart, {max_pieces} before");
        fleet
            .wait_until("pieces", |fleet| {
                pieces_received(fleet).is_some_and(|pieces| pieces > max_pieces + 10)
            })
            .unwrap_or_panic();
        // It serves, and says how far it is; beats are not held up by pieces.
        fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
        max_pieces = pieces_received(&fleet).unwrap_or(max_pieces);
        fleet.servers[follower].kill();
    }
    fleet.servers[follower].start().expect("a process");
    fleet.wait_for_replication(3).unwrap_or_panic();
    let is_large_snapshot = |line: &&Value| line["bytes"].as_u64() > Some(5_000_000);
    assert_eq!(
        log_events(&mut fleet, follower, "replica caught up").iter().filter(is_large_snapshot).count(),
        1
    );
    assert_eq!(read_latest(&fleet, follower, "large11").map(|content| content.len()), Ok(large.len()));
    assert_invariants(fleet);
}

#[test]
fn two_full_disks_of_five_block_nobody_and_recover_once_there_is_room() {
    let mut options = fleet_options(5);
    options.store_options = Some("voters=5 election-ms=400 replace-after-s=60".to_owned());
    options.store_folder_options = Some("most-mb=64".to_owned());
    let mut fleet = Fleet::prepare(options).expect("a fleet");
    let small_disks = [3, 4];
    for server in small_disks {
        let text = fleet.operator_config(server).replace("most-mb=64", "most-mb=1");
        fleet.servers[server].write_operator_config(&text).expect("written");
    }
    (0..5).for_each(|server| fleet.servers[server].start().expect("a process"));
    fleet.wait_for_replication(5).unwrap_or_panic();
    fleet.start_traffic(2, Duration::from_millis(20));
    let large = "content ".repeat(50_000);
    for document in 0..4 {
        let server = (0..3)
            .find(|server| fleet.store_status_field(*server, "role") != "Outside")
            .expect("one with room");
        fleet
            .wait_until("a write", |fleet| {
                put_document(fleet, server, &format!("large{document}"), &large).is_ok()
            })
            .unwrap_or_panic();
    }
    for server in small_disks {
        fleet
            .wait_until("a line about it", |fleet| {
                fleet.servers[server].log().contains("bytes would be kept")
            })
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
    let follower = any_follower(&fleet);
    fleet.servers[follower].kill();
    fleet.servers[follower].lose_disk();
    // A file where the folder should be.
    let folder = fleet.servers[follower].store_folder();
    std::fs::write(&folder, "not a folder").expect("written");
    fleet.servers[follower].start().expect("a process");
    fleet.servers[follower].wait_until_healthy().unwrap_or_panic();
    fleet
        .wait_until("a line about it", |fleet| fleet.servers[follower].log().contains("expected a folder"))
        .unwrap_or_panic();
    assert!(fleet
        .store_command(follower, &["status"])
        .is_err_and(|error| error.contains("its disk can't be used now")));
    put_document(&fleet, (follower + 1) % 3, "x", "by the others").expect("written");
    std::fs::remove_file(&folder).expect("removed");
    // Without a restart.
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(read_latest(&fleet, follower, "x"), Ok("by the others".to_owned()));
    assert_invariants(fleet);
}

#[test]
fn store_folders_of_the_earlier_version_are_opened_as_they_are() {
    // Written by three servers of commit 604394b, see `crates/replicated-store/tests/stored_format.rs`.
    let fixtures = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../replicated-store/tests/golden");
    let mut fleet = start_fleet_with_store(3, 3, true);
    (0..3).for_each(|server| fleet.servers[server].kill());
    for server in 0..3 {
        let rows = std::fs::read(fixtures.join(format!("store-{server}/rows.redb"))).expect("a fixture");
        fleet.servers[server].restore_disk(&rows).expect("put back");
        fleet.servers[server].start().expect("a process");
    }
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(read_latest(&fleet, 0, "limits"), Ok("fifty".to_owned()));
    assert_eq!(read_latest(&fleet, 1, "routes"), Ok(r#"{"billing":["10.0.0.1:80"]}"#.to_owned()));
    // The replicas go on under their numbers, and versions go on where they were.
    assert_eq!(fleet.store_status_field(0, "record"), Value::from(11_353_357_318_115_222_379_u64));
    assert_eq!(fleet.store_status_field(0, "copy"), Value::from(4_935_982_442_997_947_715_u64));
    assert_eq!(put_document(&fleet, 2, "limits", "sixty"), Ok(3));
    let history = fleet.store_command(1, &["history"]).expect("a history");
    let history_lines = history.as_array().expect("lines");
    let description = |line: &Value| line["what"].as_str().unwrap_or_default().to_owned();
    assert_eq!(history_lines.len(), 9);
    assert_eq!(description(&history_lines[0]), "document limits");
    assert_eq!(description(&history_lines[1]), "rolled back the spring limits");
    assert_invariants(fleet);
}

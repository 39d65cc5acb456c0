//! Several server processes with one replicated store whose disks fail: lost, rolled back, damaged, full.
//! Every server gets requests throughout, and each test ends with a check of the invariants.

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
    put_document(&fleet, follower, "x", "before").expect("the document is written");
    let replica_id = fleet.store_status_field(follower, "copy");
    fleet.servers[follower].kill();
    fleet.servers[follower].lose_disk();
    put_document(&fleet, fleet.leader().expect("the store has a leader"), "x", "meanwhile")
        .expect("the document is written");
    fleet.servers[follower].start().expect("the server starts");
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_ne!(fleet.store_status_field(follower, "copy"), replica_id);
    assert_eq!(
        fleet.store_command(follower, &["show", "--local", "x"]).expect("the document exists")["content"],
        "meanwhile"
    );
    assert_invariants(fleet);
}

#[test]
fn a_replica_whose_disk_was_rolled_back_does_not_vote() {
    let mut fleet = start_fleet_with_store(3, 3, true);
    let follower = any_follower(&fleet);
    fleet.servers[follower].kill();
    let old_image = fleet.servers[follower].disk_image().expect("the replica's file is readable");
    fleet.servers[follower].start().expect("the server starts");
    fleet.wait_for_replication(3).unwrap_or_panic();
    let replica_id = fleet.store_status_field(follower, "copy");
    for round in 0..5 {
        put_document(&fleet, follower, "x", &format!("round {round}")).expect("the document is written");
    }
    sleep_ms(600);
    fleet.servers[follower].kill();
    fleet.servers[follower].restore_disk(&old_image).expect("the disk image is restored");
    fleet.servers[follower].start().expect("the server starts");
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_ne!(
        fleet.store_status_field(follower, "copy"),
        replica_id,
        "the rolled-back replica kept its id and vote"
    );
    assert_eq!(log_events(&mut fleet, follower, "replica rollback detected").len(), 1);
    assert!(
        fleet.servers[follower].store_folder().join("rows.redb.aside-1").exists(),
        "the rolled-back replica must be kept for the operator"
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
    put_document(&fleet, 0, "x", &"content ".repeat(4_000)).expect("the document is written");
    let follower = any_follower(&fleet);
    fleet.servers[follower].kill();
    fleet.servers[follower].corrupt_disk(8_000, 500).expect("the disk is corrupted");
    fleet.servers[follower].start().expect("the server starts");
    // The server serves at once, whatever its disk contains.
    fleet.servers[follower].wait_until_healthy().unwrap_or_panic();
    fleet.wait_for_replication(3).unwrap_or_panic();
    let events = log_events(&mut fleet, follower, "stored replica quarantined");
    let reason = events.first().map(|line| line["reason"].to_string()).unwrap_or_default();
    assert!(reason.contains("rows.redb: damaged at"), "{events:?}");
    // Damage while a server runs is found by the scrub, which reads the whole file, without a restart.
    let second_follower = any_follower(&fleet);
    let replica_id = fleet.store_status_field(second_follower, "copy");
    fleet.servers[second_follower].corrupt_disk(8_000, 500).expect("the disk is corrupted");
    fleet
        .wait_until("a new replica", |fleet| {
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
    put_document(&fleet, 0, "x", "lost").expect("the document is written");
    let store_id = fleet.store_status_field(0, "record");
    // If one server at a time restarts, nothing is lost.
    for server in 0..3 {
        fleet.servers[server].kill();
        fleet.servers[server].start().expect("the server starts");
        fleet.wait_for_replication(3).unwrap_or_panic();
    }
    assert_eq!(
        (fleet.store_status_field(0, "record"), read_latest(&fleet, 1, "x")),
        (store_id.clone(), Ok("lost".to_owned()))
    );
    (0..3).for_each(|server| fleet.servers[server].kill());
    (0..3).for_each(|server| fleet.servers[server].start().expect("the server starts"));
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_ne!(fleet.store_status_field(0, "record"), store_id);
    let bootstraps: usize =
        (0..3).map(|server| log_events(&mut fleet, server, BOOTSTRAP_MESSAGE).len()).sum();
    assert_eq!(bootstraps, 2, "each of the two stores is logged once, by the server that bootstrapped it");
    assert_invariants(fleet);
}

/// The message that a server logs when it bootstraps a store.
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
    let leader = fleet.leader().expect("the store has a leader");
    let large: String = (0..100_000).map(|number| format!("{number:07},")).collect();
    for document in 0..12 {
        // On a busy machine the leader may lose the leadership meanwhile.
        fleet
            .wait_until("the write to be accepted", |fleet| {
                put_document(fleet, leader, &format!("large{document}"), &large).is_ok()
            })
            .unwrap_or_panic();
    }
    let mut max_chunks = 0;
    for _ in 0..3 {
        fleet.servers[follower].start().expect("the server starts");
        let chunks_received = |fleet: &Fleet| fleet.store_status_field(follower, "catching_up")[0].as_u64();
        fleet.wait_until("a snapshot transfer", |fleet| chunks_received(fleet).is_some()).unwrap_or_panic();
        // Chunks received before the kill are kept, except the last ones, which may not have reached the
        // disk.
        let chunks = chunks_received(&fleet).unwrap_or(0);
        assert!(chunks + 8 >= max_chunks, "{chunks} chunks after a restart, {max_chunks} before");
        fleet
            .wait_until("more than 10 further chunks", |fleet| {
                chunks_received(fleet).is_some_and(|chunks| chunks > max_chunks + 10)
            })
            .unwrap_or_panic();
        // During the transfer the server serves and reports its progress, and chunks do not delay heartbeats.
        fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
        max_chunks = chunks_received(&fleet).unwrap_or(max_chunks);
        fleet.servers[follower].kill();
    }
    fleet.servers[follower].start().expect("the server starts");
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
    let mut fleet = Fleet::prepare(options).expect("the fleet is prepared");
    let small_disks = [3, 4];
    for server in small_disks {
        let text = fleet.operator_config(server).replace("most-mb=64", "most-mb=1");
        fleet.servers[server].write_operator_config(&text).expect("the operator config is written");
    }
    (0..5).for_each(|server| fleet.servers[server].start().expect("the server starts"));
    fleet.wait_for_replication(5).unwrap_or_panic();
    fleet.start_traffic(2, Duration::from_millis(20));
    let large = "content ".repeat(50_000);
    for document in 0..4 {
        let server = (0..3)
            .find(|server| fleet.store_status_field(*server, "role") != "Outside")
            .expect("a server with room has a replica");
        fleet
            .wait_until("the write to be accepted", |fleet| {
                put_document(fleet, server, &format!("large{document}"), &large).is_ok()
            })
            .unwrap_or_panic();
    }
    for server in small_disks {
        fleet
            .wait_until("the disk error in the log", |fleet| {
                fleet.servers[server].log().contains("bytes would be kept")
            })
            .unwrap_or_panic();
    }
    assert_eq!(read_latest(&fleet, 0, "large3").map(|content| content.len()), Ok(large.len()));
    for document in 0..4 {
        fleet
            .wait_until("the write to be accepted", |fleet| {
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
    // A file is in place of the store folder.
    let folder = fleet.servers[follower].store_folder();
    std::fs::write(&folder, "not a folder").expect("the file is written");
    fleet.servers[follower].start().expect("the server starts");
    fleet.servers[follower].wait_until_healthy().unwrap_or_panic();
    fleet
        .wait_until("the disk error in the log", |fleet| {
            fleet.servers[follower].log().contains("expected a folder")
        })
        .unwrap_or_panic();
    assert!(fleet
        .store_command(follower, &["status"])
        .is_err_and(|error| error.contains("its disk can't be used now")));
    put_document(&fleet, (follower + 1) % 3, "x", "by the others").expect("the document is written");
    std::fs::remove_file(&folder).expect("the file is removed");
    // The replica recovers without a restart.
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(read_latest(&fleet, follower, "x"), Ok("by the others".to_owned()));
    assert_invariants(fleet);
}

#[test]
fn store_folders_of_the_earlier_version_are_opened_as_they_are() {
    // The fixtures were written by three servers of commit 604394b, see
    // `crates/replicated-store/tests/stored_format.rs`.
    let fixtures = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../replicated-store/tests/golden");
    let mut fleet = start_fleet_with_store(3, 3, true);
    (0..3).for_each(|server| fleet.servers[server].kill());
    for server in 0..3 {
        let rows = std::fs::read(fixtures.join(format!("store-{server}/rows.redb")))
            .expect("the fixture is readable");
        fleet.servers[server].restore_disk(&rows).expect("the disk image is restored");
        fleet.servers[server].start().expect("the server starts");
    }
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(read_latest(&fleet, 0, "limits"), Ok("fifty".to_owned()));
    assert_eq!(read_latest(&fleet, 1, "routes"), Ok(r#"{"billing":["10.0.0.1:80"]}"#.to_owned()));
    // The store keeps its id and the replicas theirs, and document versions continue from the stored ones.
    assert_eq!(fleet.store_status_field(0, "record"), Value::from(11_353_357_318_115_222_379_u64));
    assert_eq!(fleet.store_status_field(0, "copy"), Value::from(4_935_982_442_997_947_715_u64));
    assert_eq!(put_document(&fleet, 2, "limits", "sixty"), Ok(3));
    let history = fleet.store_command(1, &["history"]).expect("the store has a history");
    let history_lines = history.as_array().expect("the history is a list");
    let description = |line: &Value| line["what"].as_str().unwrap_or_default().to_owned();
    assert_eq!(history_lines.len(), 9);
    assert_eq!(description(&history_lines[0]), "document limits");
    assert_eq!(description(&history_lines[1]), "rolled back the spring limits");
    assert_invariants(fleet);
}

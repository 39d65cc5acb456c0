//! Several server processes with one replicated store and faults between them: consistency, elections,
//! voters. Every server gets requests throughout, and each test ends with a check of the invariants.

mod common;

use std::process::{Command, Stdio};
use std::time::Duration;

use common::replicated_store::{
    any_follower, put_document, read_latest, start_fleet_with_store, wait_for_other_leader, Clients,
};
use common::{assert_invariants, fleet_options, server_executable, sleep_ms, UnwrapOrPanic};
use serde_json::Value;
use umberloom_fault_harness::Fleet;

#[test]
fn writes_are_visible_everywhere_and_survive_restarts() {
    let mut fleet = start_fleet_with_store(3, 3, true);
    assert_eq!(put_document(&fleet, 0, "limits", "forty"), Ok(1));
    for server in 0..3 {
        assert_eq!(read_latest(&fleet, server, "limits"), Ok("forty".to_owned()));
    }
    // Compare-and-set: a write that expects an outdated version changes nothing and reports the current one.
    let file = fleet.servers[1].folder.join("document");
    std::fs::write(&file, "fifty").expect("the file is written");
    let error = fleet.store_command(1, &["put", "--expect", "0", "limits", &file.display().to_string()]);
    assert!(error.as_ref().is_err_and(|error| error.contains("it has version 1 now")), "{error:?}");
    let store_id = fleet.store_status_field(0, "record");
    let replica_ids: Vec<Value> = (0..3).map(|server| fleet.store_status_field(server, "copy")).collect();
    (0..3).for_each(|server| fleet.servers[server].kill());
    (0..3).for_each(|server| fleet.servers[server].start().expect("the server starts"));
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(
        (fleet.store_status_field(0, "record"), read_latest(&fleet, 2, "limits")),
        (store_id, Ok("forty".to_owned()))
    );
    // The replica ids are the same: servers use the replicas on their disks instead of creating new ones.
    assert_eq!(
        (0..3).map(|server| fleet.store_status_field(server, "copy")).collect::<Vec<_>>(),
        replica_ids
    );
    // An exported file can be verified without a server, and a change to it is detected.
    let export_file = fleet.servers[0].folder.join("export");
    fleet.store_command(0, &["export", &export_file.display().to_string()]).expect("the store is exported");
    let verified =
        fleet.store_command(1, &["verify", &export_file.display().to_string()]).expect("the export is valid");
    assert_eq!(verified["documents"][0][0], "limits");
    let mut bytes = std::fs::read(&export_file).expect("the export is readable");
    *bytes.last_mut().expect("the export is not empty") ^= 1;
    std::fs::write(&export_file, bytes).expect("the file is written");
    assert!(fleet.store_command(1, &["verify", &export_file.display().to_string()]).is_err());
    assert_invariants(fleet);
}

#[test]
fn reads_stay_linearizable_while_leaders_are_killed_paused_and_cut_off() {
    let mut fleet = start_fleet_with_store(3, 3, true);
    let clients = Clients::start(&fleet, 1);
    for round in 0..6 {
        sleep_ms(1_000);
        let leader = fleet.leader().expect("the store has a leader");
        match round % 3 {
            0 => {
                fleet.servers[leader].kill();
                wait_for_other_leader(&fleet, leader);
                fleet.servers[leader].start().expect("the server starts");
            }
            1 => {
                fleet.servers[leader].set_stopped(true);
                wait_for_other_leader(&fleet, leader);
                sleep_ms(1_500);
                // On waking it still believes that it leads; the clients' histories include their requests to
                // it.
                fleet.servers[leader].set_stopped(false);
            }
            _ => {
                // Clients still reach the isolated leader: it must not answer reads from its own state.
                let others: Vec<usize> = (0..3).filter(|server| *server != leader).collect();
                fleet.partition(&[&[leader], &others]);
                sleep_ms(3_000);
                fleet.heal();
            }
        }
        fleet.wait_for_replication(3).unwrap_or_panic();
    }
    clients.stop_and_assert_linearizable(60);
    assert_invariants(fleet);
}

/// Guards against a read that gives up before the time that requests have: its server was cut off for longer
/// than the replica retries, and back well within that time.
#[test]
fn a_read_during_a_short_cut_is_answered_once_the_server_is_back() {
    let fleet = start_fleet_with_store(3, 3, false);
    assert_eq!(put_document(&fleet, 0, "x", "content"), Ok(1));
    let follower = any_follower(&fleet);
    let others: Vec<usize> = (0..3).filter(|server| *server != follower).collect();
    fleet.partition(&[&[follower], &others]);
    let server = &fleet.servers[follower];
    let mut command = Command::new(server_executable());
    command.args(["fleet", "record", "--json", "--operator"]).arg(server.operator_config_path());
    command.args(["--at", &server.fleet_address.to_string(), "show", "x"]);
    let reader = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("a client");
    sleep_ms(2_200);
    fleet.heal();
    let output = reader.wait_with_output().expect("the client ends");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    let reply: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(reply["content"], "content");
    assert_invariants(fleet);
}

#[test]
fn a_minority_rejects_writes_with_a_reason_while_the_majority_accepts_them() {
    let fleet = start_fleet_with_store(5, 3, false);
    let leader = fleet.leader().expect("the store has a leader");
    let learners: Vec<usize> =
        (0..5).filter(|server| fleet.store_status_field(*server, "role") == "Learner").collect();
    // The leader is cut off with one learner; the other two voters are with the other learner.
    let others: Vec<usize> = (0..5).filter(|server| *server != leader && *server != learners[0]).collect();
    fleet.partition(&[&[leader, learners[0]], &others]);
    let new_leader = wait_for_other_leader(&fleet, leader);
    assert!(others.contains(&new_leader));
    assert_eq!(put_document(&fleet, new_leader, "x", "from the majority"), Ok(1));
    let error = put_document(&fleet, leader, "x", "from the minority").expect_err("no majority");
    assert!(error.contains("it took too long") || error.contains("nobody leads"), "{error}");
    let error = read_latest(&fleet, leader, "x").expect_err("no majority");
    assert!(error.contains("it took too long") || error.contains("nobody leads"), "{error}");
    // The state of the local replica can still be read, with its age; it has no document.
    let local = fleet.store_command(learners[0], &["show", "--local", "x"]);
    assert!(local.is_err_and(|error| error.contains("no document")));
    fleet.heal();
    fleet
        .wait_until("the former leader to read the latest document", |fleet| {
            read_latest(fleet, leader, "x").is_ok()
        })
        .unwrap_or_panic();
    // The minority's write may be applied now, after the majority's write but never instead of it.
    let version =
        fleet.store_command(leader, &["show", "x"]).expect("the document exists")["version"].as_u64();
    let content = read_latest(&fleet, leader, "x").expect("the document exists");
    assert!(matches!(
        (version, content.as_str()),
        (Some(1), "from the majority") | (Some(2), "from the minority")
    ));
    assert_invariants(fleet);
}

#[test]
fn a_leader_is_elected_over_a_star_a_chain_and_one_way_cuts() {
    let fleet = start_fleet_with_store(5, 5, false);
    for case in ["star", "chain", "deaf leader", "hub behind"] {
        let leader = fleet.leader().expect("the store has a leader");
        let others: Vec<usize> = (0..5).filter(|server| *server != leader).collect();
        let hub = others[0];
        // Cuts all links except those of the hub.
        let isolate_spokes = || {
            for server in (0..5).filter(|server| *server != hub) {
                fleet.partition(&[
                    &[server],
                    &(0..5).filter(|o| *o != hub && *o != server).collect::<Vec<_>>(),
                ]);
            }
        };
        match case {
            "star" => isolate_spokes(),
            "chain" => {
                let chain = [others[1], leader, hub, others[2], others[3]];
                for first in 0..5usize {
                    for second in (0..5).filter(|second| first.abs_diff(*second) > 1) {
                        fleet.change_faults(chain[first], chain[second], |faults| faults.cut = true);
                    }
                }
            }
            "deaf leader" => {
                others
                    .iter()
                    .for_each(|server| fleet.change_faults(*server, leader, |faults| faults.cut = true));
            }
            _ => {
                // The hub, the only server that will reach a majority, lacks committed entries: it can't be
                // elected itself, and the others reach each other through it alone.
                fleet.partition(&[&[hub], &[leader, others[1], others[2], others[3]]]);
                sleep_ms(1_000);
                (0..3).for_each(|write| {
                    assert!(put_document(&fleet, leader, "x", &format!("without the hub {write}")).is_ok());
                });
                isolate_spokes();
                for server in &others[1..] {
                    for (from, to) in [(hub, *server), (*server, hub)] {
                        fleet.change_faults(from, to, |faults| faults.cut = false);
                    }
                }
            }
        }
        fleet.wait_until(case, |fleet| put_document(fleet, hub, "x", case).is_ok()).unwrap_or_panic();
        let term_before = fleet.store_status_field(hub, "term").as_u64();
        sleep_ms(2_500);
        let term_after = fleet.store_status_field(hub, "term").as_u64();
        assert!(
            term_after <= term_before.map(|term| term + 2),
            "{case}: {term_before:?} to {term_after:?}: endless elections"
        );
        assert_eq!(read_latest(&fleet, hub, "x"), Ok(case.to_owned()), "{case}");
        fleet.heal();
        fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
        fleet.wait_for_replication(5).unwrap_or_panic();
    }
    assert_invariants(fleet);
}

#[test]
fn a_voter_that_is_gone_for_long_is_replaced_and_returns_as_a_learner() {
    let mut fleet = start_fleet_with_store(5, 3, true);
    let follower = any_follower(&fleet);
    let name = fleet.servers[follower].name.clone();
    fleet.servers[follower].kill();
    let replaced = |fleet: &Fleet| {
        let replicas = fleet.leader().map(|leader| fleet.store_status_field(leader, "copies"));
        let replicas = replicas.and_then(|replicas| replicas.as_array().cloned()).unwrap_or_default();
        let voters: Vec<&Value> = replicas.iter().filter(|replica| replica["votes"] == true).collect();
        voters.len() == 3 && voters.iter().all(|replica| replica["name"] != name.as_str())
    };
    fleet.wait_until("another server to replace the voter", replaced).unwrap_or_panic();
    fleet.servers[follower].start().expect("the server starts");
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(fleet.store_status_field(follower, "role"), "Learner");
    // When an operator promotes it, it votes again in place of another server and remains a voter.
    fleet.store_command(follower, &["promote", &name]).expect("the promotion is accepted");
    fleet
        .wait_until("the promoted server to vote", |fleet| {
            fleet.store_status_field(follower, "role") == "Voter"
        })
        .unwrap_or_panic();
    sleep_ms(1_500);
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(fleet.store_status_field(follower, "role"), "Voter");
    let leader = fleet.leader().expect("the store has a leader");
    let error = fleet.store_command(leader, &["promote", &name]).expect_err("it votes already");
    assert!(error.contains("votes already"), "{error}");
    assert_invariants(fleet);
}

#[test]
fn a_terminated_leader_transfers_leadership_without_delaying_its_drain() {
    let mut fleet = start_fleet_with_store(3, 3, true);
    put_document(&fleet, 0, "x", "kept").expect("the document is written");
    let leader = fleet.leader().expect("the store has a leader");
    let others: Vec<usize> = (0..3).filter(|server| *server != leader).collect();
    fleet.servers[leader].terminate();
    fleet
        .wait_until("another leader", |fleet| {
            others.iter().any(|server| fleet.store_status_field(*server, "role") == "Leader")
        })
        .unwrap_or_panic();
    // No server had to detect a failure first: the former leader is still draining.
    assert!(
        fleet.servers[leader].exit_status().is_none(),
        "the former leader ended before another server led"
    );
    let status = fleet.servers[leader].wait_for_exit().expect("the server exits");
    assert!(status.success(), "{status}");
    fleet.servers.iter_mut().for_each(umberloom_fault_harness::server::Server::read_log);
    let leaders: Vec<usize> = others
        .iter()
        .copied()
        .filter(|server| fleet.store_status_field(*server, "role") == "Leader")
        .collect();
    assert_eq!(leaders.len(), 1);
    assert_eq!(read_latest(&fleet, leaders[0], "x"), Ok("kept".to_owned()));
    fleet.servers[leader].start().expect("the server starts");
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn a_server_removed_from_the_roster_during_a_cut_holds_no_replica_afterwards() {
    let mut fleet = start_fleet_with_store(4, 3, true);
    put_document(&fleet, 0, "x", "before").expect("the document is written");
    fleet.partition(&[&[0, 1], &[2, 3]]);
    sleep_ms(800);
    for server in 0..3 {
        fleet.configured_peers[server].retain(|other| *other != 3);
        fleet.reload(server);
    }
    fleet.servers[3].terminate();
    fleet.servers[3].wait_for_exit().expect("the server exits");
    sleep_ms(800);
    fleet.heal();
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(fleet.store_status_field(0, "copies").as_array().map(Vec::len), Some(3));
    put_document(&fleet, 2, "x", "after").expect("the document is written");
    assert_eq!(read_latest(&fleet, 1, "x"), Ok("after".to_owned()));
    assert_invariants(fleet);
}

#[test]
fn an_operator_adopts_the_remaining_replica_after_a_majority_is_lost() {
    let mut fleet = start_fleet_with_store(3, 3, true);
    put_document(&fleet, 0, "x", "all that is left").expect("the document is written");
    let store_id = fleet.store_status_field(0, "record");
    assert!(fleet
        .store_command(0, &["adopt"])
        .is_err_and(|error| error.contains("nothing is to be decided")));
    for server in [1, 2] {
        fleet.servers[server].kill();
        fleet.servers[server].lose_disk();
    }
    // With two of three replicas lost at once the store recovers nothing by itself, whichever servers return.
    for server in [1, 2] {
        fleet.servers[server].start().expect("the server starts");
    }
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    sleep_ms(2_500);
    assert_eq!((fleet.leader(), fleet.store_status_field(0, "record")), (None, store_id.clone()));
    assert_eq!(
        fleet.store_command(0, &["show", "--local", "x"]).expect("the document exists")["content"],
        "all that is left"
    );
    fleet
        .wait_until("the adoption to be accepted", |fleet| fleet.store_command(0, &["adopt"]).is_ok())
        .unwrap_or_panic();
    fleet.wait_for_replication(3).unwrap_or_panic();
    assert_eq!(read_latest(&fleet, 2, "x"), Ok("all that is left".to_owned()));
    assert_ne!(fleet.store_status_field(0, "record"), store_id);
    let history = fleet.store_command(1, &["history"]).expect("the store has a history");
    assert!(
        history[0]["what"].as_str().is_some_and(|text| text.starts_with("adopted from record")),
        "{history}"
    );
    assert_invariants(fleet);
}

#[test]
fn twenty_four_processes_keep_one_replicated_store() {
    let mut options = fleet_options(24);
    options.store_options = Some("voters=5 election-ms=1500 replace-after-s=60".to_owned());
    options.timing = "timing".to_owned();
    options.damp_ms = 1_000;
    let mut fleet = Fleet::start(options).unwrap_or_else(|error| panic!("{error}"));
    fleet.wait_for_replication(5).unwrap_or_panic();
    fleet.start_traffic(1, Duration::from_millis(200));
    put_document(&fleet, 23, "x", "everywhere").expect("the document is written");
    let leader = fleet.leader().expect("the store has a leader");
    fleet.servers[leader].kill();
    wait_for_other_leader(&fleet, leader);
    let server = (leader + 1) % 24;
    fleet
        .wait_until("a write under the new leader", |fleet| {
            put_document(fleet, server, "x", "after it").is_ok()
        })
        .unwrap_or_panic();
    let has_document = |fleet: &Fleet, server: usize| {
        fleet
            .store_command(server, &["show", "--local", "x"])
            .is_ok_and(|reply| reply["content"] == "after it")
    };
    fleet
        .wait_until("the document on all servers that run", |fleet| {
            (0..24).filter(|server| *server != leader).all(|server| has_document(fleet, server))
        })
        .unwrap_or_panic();
    assert_invariants(fleet);
}

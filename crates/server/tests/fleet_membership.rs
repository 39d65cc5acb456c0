//! Fleet membership of several server processes with faults between them, one test for each hard case. In the
//! tests that start traffic every server gets requests throughout; each test ends with a check of the
//! invariants.

mod common;

use std::time::{Duration, Instant};

use common::{assert_invariants, fleet_options, sleep_ms, start_converged_fleet, UnwrapOrPanic};
use serde_json::Value;
use umberloom_fault_harness::{Faults, Fleet};

/// The entry of a peer in a server's fleet view; null if it has none.
fn member_view(fleet: &Fleet, server: usize, peer: usize) -> Value {
    let view = fleet.view(server).unwrap_or_else(|error| panic!("{error}"));
    let name = fleet.servers[peer].name.as_str();
    let members = view["members"].as_array().expect("the view lists members");
    members.iter().find(|m| m["name"] == name).cloned().unwrap_or(Value::Null)
}

/// Whether a server counts a peer as reached.
fn reaches(fleet: &Fleet, server: usize, peer: usize) -> bool {
    member_view(fleet, server, peer)["reached"] == true
}

/// The number of messages that a server rejected for this reason.
fn rejected_messages(fleet: &Fleet, server: usize, reason: &str) -> u64 {
    fleet.view(server).map_or(0, |view| view["counts"]["refused"][reason].as_u64().unwrap_or(0))
}

/// The number of times a server logged that the state of a peer changed to `state`.
fn count_state_changes(fleet: &mut Fleet, server: usize, peer: usize, state: &str) -> usize {
    fleet.servers[server].read_log();
    let name = fleet.servers[peer].name.clone();
    let changes = fleet.history.log_lines(&fleet.servers[server].name, "member state changed");
    changes.iter().filter(|e| e.details["name"] == name.as_str() && e.details["to"] == state).count()
}

/// Starts three servers and waits until their partition status is whole. The fourth, which is not started, is
/// a second process named `n1`, and no operator configuration has its address.
fn start_fleet_with_duplicate_name() -> Fleet {
    let mut options = fleet_options(4);
    options.names[3] = "n1".to_owned();
    let mut fleet = Fleet::prepare(options).expect("the fleet is prepared");
    for server in 0..4 {
        // The others know one address of n1, that of server 0.
        fleet.configured_peers[server] =
            (0..3).filter(|o| *o != server && fleet.servers[*o].name != fleet.servers[server].name).collect();
        fleet.servers[server]
            .write_operator_config(&fleet.operator_config(server))
            .expect("the operator config is written");
    }
    for server in 0..3 {
        fleet.servers[server].start().expect("the server starts");
    }
    (0..3).for_each(|server| fleet.wait_for_partition_status(server, "whole").unwrap_or_panic());
    fleet
}

#[test]
fn servers_started_together_without_a_seed_find_each_other() {
    // All messages are lost at first, as if no server had started yet for any other.
    let mut fleet = Fleet::prepare(fleet_options(5)).expect("the fleet is prepared");
    fleet.set_all_faults(Faults { cut: true, ..Faults::default() });
    (0..5).for_each(|server| fleet.servers[server].start().expect("the server starts"));
    (0..5).for_each(|server| fleet.servers[server].wait_until_healthy().unwrap_or_panic());
    sleep_ms(500);
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    fleet.start_traffic(2, Duration::from_millis(20));
    for (server, peer) in [(0, 4), (4, 0), (2, 1)] {
        assert_eq!(fleet.member_state(server, peer), "present");
    }
    assert_invariants(fleet);
}

#[test]
fn both_ends_of_a_one_way_cut_know_that_they_do_not_reach_each_other() {
    let mut fleet = start_converged_fleet(5);
    // Server 0 still hears server 1; server 1 hears nothing from server 0.
    fleet.change_faults(0, 1, |faults| faults.cut = true);
    fleet.wait_for_partition_status(0, "majority").unwrap_or_panic();
    fleet.wait_for_partition_status(1, "majority").unwrap_or_panic();
    fleet
        .wait_until("both servers to report that they do not reach each other", |fleet| {
            !reaches(fleet, 0, 1) && !reaches(fleet, 1, 0)
        })
        .unwrap_or_panic();
    sleep_ms(2_000);
    // Other servers reach both, so neither is considered failed.
    assert_eq!(
        (count_state_changes(&mut fleet, 0, 1, "failed"), count_state_changes(&mut fleet, 1, 0, "failed")),
        (0, 0)
    );
    assert!(
        member_view(&fleet, 0, 1)["heard_ms"].as_u64() < Some(450),
        "server 0 must hear server 1 throughout"
    );
    assert_eq!(fleet.partition_status(2), "whole");
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn a_partition_into_three_leaves_no_majority_and_heals() {
    let fleet = start_converged_fleet(5);
    fleet.partition(&[&[0, 1], &[2, 3], &[4]]);
    fleet.wait_for_partition_status(0, "minority").unwrap_or_panic();
    fleet.wait_for_partition_status(3, "minority").unwrap_or_panic();
    fleet.wait_for_partition_status(4, "alone").unwrap_or_panic();
    fleet.wait_for_member_state(0, 4, "failed").unwrap_or_panic();
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    fleet
        .wait_until("server 0 to see all others as present", |fleet| {
            (1..5).all(|server| fleet.member_state(0, server) == "present")
        })
        .unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn over_a_bridge_nobody_fails_and_partition_status_follows_direct_reach() {
    let mut fleet = start_converged_fleet(5);
    fleet.partition(&[&[0, 1], &[3, 4]]);
    for server in [0, 1, 3, 4] {
        fleet.wait_for_partition_status(server, "majority").unwrap_or_panic();
    }
    sleep_ms(2_500);
    assert_eq!(fleet.partition_status(2), "whole");
    for (server, peer) in [(0, 3), (1, 4), (3, 0), (4, 1)] {
        assert_eq!(
            count_state_changes(&mut fleet, server, peer, "failed"),
            0,
            "indirect probes over the bridge must keep it from being failed"
        );
    }
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn live_servers_stay_present_while_a_third_of_datagrams_is_lost() {
    let fleet = start_converged_fleet(5);
    fleet.set_all_faults(Faults { drop: 0.3, ..Faults::default() });
    sleep_ms(3_000);
    let is_alive = |state: String| state == "present" || state == "suspected";
    // A server may be considered failed for a moment; it refutes that as soon as it hears of it.
    let all_alive = |fleet: &Fleet| {
        (0..5).all(|server| (0..5).filter(|o| *o != server).all(|o| is_alive(fleet.member_state(server, o))))
    };
    fleet.wait_until("all servers to be present or suspected", all_alive).unwrap_or_panic();
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn duplicated_and_late_datagrams_count_once() {
    let fleet = start_converged_fleet(3);
    fleet.set_all_faults(Faults { double: 1.0, reorder: 0.3, late_ms: 30, ..Faults::default() });
    sleep_ms(2_500);
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    for server in 0..3 {
        let view = fleet.view(server).expect("the fleet view");
        let (accepted, replayed) =
            (view["counts"]["heard"][0].as_u64(), rejected_messages(&fleet, server, "Replayed"));
        assert!(
            replayed > 20 && accepted > Some(20),
            "{accepted:?} messages accepted, {replayed} rejected as replayed"
        );
    }
    assert_invariants(fleet);
}

#[test]
fn damaged_messages_are_counted_and_rejected() {
    let fleet = start_converged_fleet(3);
    fleet.set_all_faults(Faults { damage: 0.1, ..Faults::default() });
    fleet
        .wait_until("damaged messages to be rejected", |fleet| {
            (0..3).all(|server| {
                rejected_messages(fleet, server, "Damaged") + rejected_messages(fleet, server, "Foreign") > 3
            })
        })
        .unwrap_or_panic();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn a_server_that_resumes_after_a_long_stall_is_unsure_and_fails_no_member() {
    let mut fleet = start_converged_fleet(3);
    fleet.servers[2].set_stopped(true);
    fleet.wait_for_member_state(0, 2, "failed").unwrap_or_panic();
    fleet.wait_for_member_state(1, 2, "failed").unwrap_or_panic();
    sleep_ms(1_500);
    fleet.servers[2].set_stopped(false);
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    fleet.wait_for_member_state(0, 2, "present").unwrap_or_panic();
    // All its timers expired during the stall; that must not make any peer failed.
    assert_eq!(
        count_state_changes(&mut fleet, 2, 0, "failed") + count_state_changes(&mut fleet, 2, 1, "failed"),
        0
    );
    let changes = fleet.history.log_lines("n3", "partition status changed");
    assert!(changes.iter().any(|e| e.details["to"] == "unsure"), "{changes:?}");
    assert_invariants(fleet);
}

#[test]
fn a_suspicion_that_expired_during_a_stall_of_its_holder_can_still_be_refuted() {
    let mut options = fleet_options(3);
    options.timing = options.timing.replace("suspect-ms=600", "suspect-ms=2500");
    let mut fleet = Fleet::start_converged(options).unwrap_or_else(|error| panic!("{error}"));
    fleet.servers[2].set_stopped(true);
    fleet.wait_for_member_state(0, 2, "suspected").unwrap_or_panic();
    fleet.servers[0].set_stopped(true);
    // Cut off, server 0 finds no message on waking that refutes the suspicion before it checks its timers.
    fleet.change_faults(1, 0, |faults| faults.cut = true);
    fleet.change_faults(2, 0, |faults| faults.cut = true);
    sleep_ms(300);
    fleet.servers[2].set_stopped(false);
    // The suspicion timeout has passed by now, but not for server 0, which was stalled.
    sleep_ms(3_500);
    fleet.servers[0].set_stopped(false);
    sleep_ms(200);
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    fleet.wait_for_member_state(0, 2, "present").unwrap_or_panic();
    assert_eq!(count_state_changes(&mut fleet, 0, 2, "failed"), 0);
    assert_invariants(fleet);
}

#[test]
fn a_pause_of_five_seconds_within_the_suspicion_timeout_fails_no_member() {
    let mut options = fleet_options(3);
    options.timing = options.timing.replace("suspect-ms=600", "suspect-ms=20000");
    let mut fleet = Fleet::start_converged(options).unwrap_or_else(|error| panic!("{error}"));
    fleet.start_traffic(2, Duration::from_millis(20));
    fleet.servers[1].set_stopped(true);
    fleet.wait_for_member_state(0, 1, "suspected").unwrap_or_panic();
    sleep_ms(5_000);
    fleet.servers[1].set_stopped(false);
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    fleet.wait_for_member_state(0, 1, "present").unwrap_or_panic();
    assert_eq!(
        count_state_changes(&mut fleet, 0, 1, "failed") + count_state_changes(&mut fleet, 2, 1, "failed"),
        0
    );
    assert_invariants(fleet);
}

#[test]
fn a_restarted_process_takes_over_its_name_at_once() {
    let mut fleet = start_converged_fleet(3);
    let before = member_view(&fleet, 0, 1)["boot"].as_u64();
    fleet.servers[1].kill();
    fleet.servers[1].start().expect("the server starts");
    fleet
        .wait_until("server 0 to reach the new process", |fleet| {
            member_view(fleet, 0, 1)["boot"].as_u64() > before && reaches(fleet, 0, 1)
        })
        .unwrap_or_panic();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_eq!((fleet.member_state(0, 1), fleet.member_state(2, 1)), ("present".into(), "present".into()));
    assert_invariants(fleet);
}

/// Guards against a false alarm: an orderly restart was logged as two processes that use one name, for which
/// an operator ends one of them.
#[test]
fn an_orderly_restart_is_no_name_conflict() {
    let mut fleet = start_converged_fleet(3);
    for _ in 0..2 {
        let before = member_view(&fleet, 0, 1)["boot"].as_u64();
        fleet.servers[1].terminate();
        assert!(fleet.servers[1].wait_for_exit().is_some_and(|status| status.success()));
        fleet.servers[1].start().expect("the server starts");
        fleet
            .wait_until("server 0 to reach the new process", |fleet| {
                member_view(fleet, 0, 1)["boot"].as_u64() > before && reaches(fleet, 0, 1)
            })
            .unwrap_or_panic();
        fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    }
    for server in [0, 2] {
        fleet.servers[server].read_log();
        let name = fleet.servers[server].name.clone();
        let conflicts = fleet.history.log_lines(&name, "name conflict: two processes use one name");
        assert!(conflicts.is_empty(), "{name}: {conflicts:?}");
    }
    assert_invariants(fleet);
}

#[test]
fn a_second_process_with_a_name_at_another_address_is_fenced() {
    let mut fleet = start_fleet_with_duplicate_name();
    fleet.servers[3].start().expect("the server starts");
    fleet
        .wait_until("the second process to be fenced", |fleet| {
            fleet.view(3).is_ok_and(|view| view["silenced"] == true)
        })
        .unwrap_or_panic();
    (0..3).for_each(|server| fleet.wait_for_partition_status(server, "whole").unwrap_or_panic());
    // While fenced it uses nothing of the quota share that belongs to its name, but it serves.
    sleep_ms(1_500);
    assert_eq!(fleet.view(3).expect("the fleet view")["allowances"][0][1]["used"], 0);
    assert_eq!(fleet.view(0).expect("the fleet view")["silenced"], false);
    fleet.servers[3].wait_until_healthy().unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn after_an_address_moved_the_later_process_has_the_name_and_the_earlier_is_fenced() {
    let mut fleet = start_fleet_with_duplicate_name();
    for server in [1, 2] {
        fleet.relay(server, 0).redirect(fleet.servers[3].fleet_address);
    }
    fleet.servers[3].start().expect("the server starts");
    (1..4).for_each(|server| fleet.wait_for_partition_status(server, "whole").unwrap_or_panic());
    fleet
        .wait_until("the earlier process to be fenced", |fleet| {
            fleet.view(0).is_ok_and(|view| view["silenced"] == true)
        })
        .unwrap_or_panic();
    fleet.servers[1].read_log();
    assert!(!fleet.history.log_lines("n2", "name conflict: two processes use one name").is_empty());
    assert_invariants(fleet);
}

#[test]
fn the_last_server_of_a_fleet_serves_alone() {
    let mut fleet = start_converged_fleet(4);
    (1..4).for_each(|server| fleet.servers[server].kill());
    fleet.wait_for_partition_status(0, "alone").unwrap_or_panic();
    let served = |fleet: &Fleet| {
        fleet.traffic.as_ref().map_or(0, |t| t.count(0, umberloom_fault_harness::traffic::Outcome::Served))
    };
    let before = served(&fleet);
    fleet.wait_until("20 more requests to be served", |fleet| served(fleet) > before + 20).unwrap_or_panic();
    for server in 1..4 {
        fleet.servers[server].start().expect("the server starts");
    }
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn a_flapping_link_changes_no_status_faster_than_the_damping_allows() {
    let mut options = fleet_options(3);
    options.timing = options.timing.replace("damp-ms=500", "damp-ms=1800");
    options.damp_ms = 1_800;
    let mut fleet = Fleet::start_converged(options).unwrap_or_else(|error| panic!("{error}"));
    for round in 0..8 {
        let cut = round % 2 == 0;
        fleet.change_faults(0, 1, |faults| faults.cut = cut);
        fleet.change_faults(1, 0, |faults| faults.cut = cut);
        sleep_ms(1_000);
    }
    fleet.servers[0].read_log();
    let changes = fleet.history.log_lines("n1", "partition status changed").len();
    assert!((2..=7).contains(&changes), "{changes} changes");
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn streams_carry_membership_where_datagrams_are_lost() {
    let mut fleet = start_converged_fleet(4);
    fleet.set_all_faults(Faults { no_datagrams: true, ..Faults::default() });
    sleep_ms(3_000);
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    // A server that starts meanwhile joins over streams alone.
    fleet.servers[3].kill();
    fleet.servers[3].start().expect("the server starts");
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_eq!(count_state_changes(&mut fleet, 0, 1, "failed"), 0);
    assert_invariants(fleet);
}

#[test]
fn a_peer_that_accepts_and_never_reads_blocks_nobody() {
    let fleet = start_converged_fleet(3);
    fleet.change_faults(0, 1, |faults| faults.stall = true);
    fleet.change_faults(2, 1, |faults| faults.stall = true);
    // Every member requests leases and writes to its streams; what is queued for the peer that never reads is
    // lost.
    sleep_ms(2_500);
    (0..3).for_each(|server| fleet.wait_for_partition_status(server, "whole").unwrap_or_panic());
    // Without datagrams towards it as well, only that peer is unreachable.
    fleet.change_faults(0, 1, |faults| faults.no_datagrams = true);
    fleet.change_faults(2, 1, |faults| faults.no_datagrams = true);
    fleet
        .wait_until("both others to stop reaching the peer", |fleet| {
            !reaches(fleet, 0, 1) && !reaches(fleet, 2, 1)
        })
        .unwrap_or_panic();
    assert!(reaches(&fleet, 0, 2) && reaches(&fleet, 2, 0));
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn replayed_messages_revive_nobody() {
    let mut fleet = start_converged_fleet(3);
    sleep_ms(1_000);
    let recorded = fleet.direction(1, 0).recent_datagrams();
    assert!(recorded.len() > 10);
    fleet.servers[1].kill();
    fleet.wait_for_member_state(0, 1, "failed").unwrap_or_panic();
    let before = rejected_messages(&fleet, 0, "Replayed");
    let end = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < end {
        fleet.relay(1, 0).replay(&recorded);
        assert!(!reaches(&fleet, 0, 1), "replayed messages made a killed process count as reached");
    }
    assert_eq!(fleet.member_state(0, 1), "failed");
    assert!(rejected_messages(&fleet, 0, "Replayed") > before);
    // The messages were meant for the earlier process of server 0; its new process must reject them.
    fleet.servers[0].kill();
    fleet.servers[0].start().expect("the server starts");
    fleet.wait_for_partition_status(0, "majority").unwrap_or_panic();
    fleet.relay(1, 0).replay(&recorded);
    sleep_ms(300);
    assert!(!reaches(&fleet, 0, 1));
    assert!(rejected_messages(&fleet, 0, "Unproven") + rejected_messages(&fleet, 0, "NotForUs") > 0);
    fleet.servers[1].start().expect("the server starts");
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn a_leaving_server_announces_it_and_is_not_suspected() {
    let mut fleet = start_converged_fleet(4);
    fleet.servers[3].terminate();
    fleet.wait_for_member_state(0, 3, "leaving").unwrap_or_panic();
    let status = fleet.servers[3].wait_for_exit().expect("the server exits");
    assert!(status.success(), "{status}");
    fleet.wait_for_member_state(0, 3, "left").unwrap_or_panic();
    fleet.wait_for_member_state(1, 3, "left").unwrap_or_panic();
    (0..3).for_each(|server| fleet.wait_for_partition_status(server, "whole").unwrap_or_panic());
    // A killed server, in contrast, is considered failed and counts as missing.
    fleet.servers[2].kill();
    fleet.wait_for_member_state(0, 2, "failed").unwrap_or_panic();
    fleet.wait_for_partition_status(0, "minority").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn a_changed_roster_is_applied_completely_or_not_at_all() {
    let mut fleet = Fleet::prepare(fleet_options(3)).expect("the fleet is prepared");
    for server in 0..3 {
        fleet.configured_peers[server].retain(|other| *other != 2);
        fleet.servers[server]
            .write_operator_config(&fleet.operator_config(server))
            .expect("the operator config is written");
        fleet.servers[server].start().expect("the server starts");
    }
    (0..2).for_each(|server| fleet.wait_for_partition_status(server, "whole").unwrap_or_panic());
    // Server 2 is a guest of the two others, because no operator configuration names it.
    fleet
        .wait_until("server 2 to be a guest", |fleet| member_view(fleet, 0, 2)["named"] == false)
        .unwrap_or_panic();
    for server in 0..2 {
        let valid_config = fleet.operator_config(server);
        for (found, replacement) in
            [("secret \"between us\"", "secret \"new\""), ("peer \"n", "peer \"n1\" x=1 //")]
        {
            fleet.servers[server]
                .write_operator_config(&valid_config.replace(found, replacement))
                .expect("the operator config is written");
            fleet.servers[server].signal("HUP");
            sleep_ms(200);
        }
        fleet.servers[server].write_operator_config(&valid_config).expect("the operator config is written");
        fleet
            .wait_until("both invalid rosters to be rejected", |fleet| {
                fleet.servers[server].log().matches("configuration reload rejected").count() == 2
            })
            .unwrap_or_panic();
        assert!(fleet.servers[server]
            .log()
            .contains("the fleet's secret has changed, which needs a new start"));
    }
    (0..2).for_each(|server| assert_eq!(fleet.partition_status(server), "whole"));
    for server in 0..2 {
        fleet.configured_peers[server].push(2);
        fleet.reload(server);
    }
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_eq!(member_view(&fleet, 0, 2)["named"], true);
    assert_invariants(fleet);
}

#[test]
fn lasting_view_divergence_is_logged_with_its_rows() {
    let mut fleet = Fleet::prepare(fleet_options(3)).expect("the fleet is prepared");
    // Server 1 is not configured with server 2 as a peer.
    fleet.configured_peers[1].retain(|other| *other != 2);
    for server in 0..3 {
        fleet.servers[server]
            .write_operator_config(&fleet.operator_config(server))
            .expect("the operator config is written");
        fleet.servers[server].start().expect("the server starts");
    }
    fleet
        .wait_until("the views to diverge", |fleet| {
            fleet.view(0).is_ok_and(|view| view["disagreements"].to_string().contains("n3: there"))
        })
        .unwrap_or_panic();
    let evidence =
        fleet.servers[0].fleet_command(&["explain", "n2"]).expect("server 0 explains n2").to_string();
    assert!(evidence.contains("its view differs") && evidence.contains("not in its roster"), "{evidence}");
    assert!(fleet.servers[0]
        .fleet_command(&["explain", "n9"])
        .expect_err("n9 is unknown")
        .contains("it knows: n2, n3"));
    fleet.configured_peers[1].push(2);
    fleet.reload(1);
    fleet
        .wait_until("the views to converge", |fleet| {
            fleet.view(0).is_ok_and(|view| view["disagreements"] == serde_json::json!([]))
        })
        .unwrap_or_panic();
    assert_invariants(fleet);
}

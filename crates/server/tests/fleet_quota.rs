//! Quota of a dependency that all servers share: whatever fails between the servers, the dependency never has
//! more concurrent calls than it survives. The stand-in counts the calls of all processes; an abandoned call
//! counts until the timeout that it stated.

mod common;

use std::time::Duration;

use common::{assert_invariants, fleet_options, sleep_ms, UnwrapOrPanic};
use umberloom_fault_harness::{script, Faults, Fleet, Script};

/// Starts a fleet in which server 0 has nearly all of the demand and each server has a quota share of four.
fn start_fleet_with_uneven_demand(servers: usize) -> Fleet {
    let mut options = fleet_options(servers);
    options.capacity = 4 * servers as u32;
    options.service_time_ms = 60.0;
    let mut fleet = Fleet::start_converged(options).unwrap_or_else(|error| panic!("{error}"));
    fleet.start_traffic(24, Duration::from_millis(500));
    move_demand_to(&fleet, 0);
    fleet
}

/// Gives this server nearly all of the demand from now on.
fn move_demand_to(fleet: &Fleet, busy: usize) {
    for server in 0..fleet.servers.len() {
        let gap_ms = if server == busy { 1 } else { 5_000 };
        fleet.traffic.as_ref().expect("the fleet has traffic").set_gap(server, Duration::from_millis(gap_ms));
    }
}

/// Gives every server more demand than there are permits, so that a server that uses a permit of another
/// exceeds the capacity.
fn overload_all_servers(fleet: &Fleet) {
    (0..fleet.servers.len()).for_each(|server| {
        fleet.traffic.as_ref().expect("the fleet has traffic").set_gap(server, Duration::from_millis(1));
    });
}

/// A field of a server's quota status; 0 if it is not available.
fn quota_status_field(fleet: &Fleet, server: usize, field: &str) -> u64 {
    fleet.view(server).map_or(0, |view| view["allowances"][0][1][field].as_u64().unwrap_or(0))
}

/// Waits until this server has borrowed at least two permits.
fn wait_until_borrowed(fleet: &Fleet, server: usize) {
    fleet
        .wait_until("borrowed permits", |fleet| quota_status_field(fleet, server, "borrowed") >= 2)
        .unwrap_or_panic();
}

#[test]
fn idle_permits_are_lent_to_the_server_with_demand() {
    let fleet = start_fleet_with_uneven_demand(4);
    wait_until_borrowed(&fleet, 0);
    fleet
        .wait_until("more concurrent calls than one quota share", |fleet| fleet.peak_concurrency() >= 8)
        .unwrap_or_panic();
    // When the demand moves, the leases follow it.
    move_demand_to(&fleet, 2);
    wait_until_borrowed(&fleet, 2);
    assert_invariants(fleet);
}

#[test]
fn a_server_that_is_cut_off_falls_back_to_its_own_share() {
    let fleet = start_fleet_with_uneven_demand(3);
    wait_until_borrowed(&fleet, 0);
    fleet.partition(&[&[0], &[1, 2]]);
    fleet
        .wait_until("the leases of the isolated server to expire", |fleet| {
            quota_status_field(fleet, 0, "borrowed") == 0
        })
        .unwrap_or_panic();
    assert_eq!(quota_status_field(&fleet, 0, "part"), 4);
    // The others keep their own shares and lend to each other.
    move_demand_to(&fleet, 1);
    wait_until_borrowed(&fleet, 1);
    fleet.heal();
    move_demand_to(&fleet, 0);
    wait_until_borrowed(&fleet, 0);
    assert_invariants(fleet);
}

#[test]
fn a_borrower_that_wakes_after_its_lease_does_not_use_it() {
    let mut fleet = start_fleet_with_uneven_demand(3);
    for round in 0..6 {
        wait_until_borrowed(&fleet, 0);
        fleet.servers[0].set_stopped(true);
        overload_all_servers(&fleet);
        // Either past the end of the lease, or so long that the lease has nearly expired on waking.
        sleep_ms(if round % 2 == 0 { 1_100 } else { 520 });
        fleet.servers[0].set_stopped(false);
        sleep_ms(1_000);
        move_demand_to(&fleet, 0);
    }
    assert_invariants(fleet);
}

#[test]
fn restarts_of_lenders_and_borrowers_forget_no_lease_and_no_call() {
    let mut fleet = start_fleet_with_uneven_demand(3);
    for server in [1, 0, 2, 0] {
        wait_until_borrowed(&fleet, 0);
        fleet.servers[server].kill();
        fleet.servers[server].start().expect("the server starts");
        // Others still use the permits that it lent, and calls of its earlier process are still in progress.
        overload_all_servers(&fleet);
        fleet
            .wait_until("its own quota share", |fleet| quota_status_field(fleet, server, "part") == 4)
            .unwrap_or_panic();
        sleep_ms(700);
        move_demand_to(&fleet, 0);
    }
    assert_invariants(fleet);
}

#[test]
fn a_lender_drains_without_delay_and_its_leases_expire() {
    let mut fleet = start_fleet_with_uneven_demand(3);
    wait_until_borrowed(&fleet, 0);
    fleet.servers[1].terminate();
    let status = fleet.servers[1].wait_for_exit().expect("the server exits");
    assert!(status.success(), "{status}");
    fleet.servers[1].start().expect("the server starts");
    // The permits that it lent before it ended are still in use, and now it has demand of its own.
    overload_all_servers(&fleet);
    fleet
        .wait_until("its own quota share", |fleet| quota_status_field(fleet, 1, "part") == 4)
        .unwrap_or_panic();
    sleep_ms(700);
    move_demand_to(&fleet, 0);
    wait_until_borrowed(&fleet, 0);
    assert_invariants(fleet);
}

#[test]
fn removing_the_borrower_from_the_roster_keeps_the_quota() {
    let mut fleet = start_fleet_with_uneven_demand(4);
    wait_until_borrowed(&fleet, 0);
    // The borrower's process ends, and the others are reconfigured without it: their quota shares grow once
    // all of them have the new roster.
    fleet.servers[0].kill();
    for server in 1..4 {
        fleet.configured_peers[server].retain(|other| *other != 0);
    }
    fleet.reload(1);
    sleep_ms(1_500);
    assert_eq!(
        quota_status_field(&fleet, 1, "part"),
        4,
        "the others still use the old roster, so shares must not grow yet"
    );
    fleet.reload(2);
    fleet.reload(3);
    move_demand_to(&fleet, 1);
    for server in 1..4 {
        fleet
            .wait_until("a larger quota share", |fleet| quota_status_field(fleet, server, "part") >= 5)
            .unwrap_or_panic();
    }
    wait_until_borrowed(&fleet, 1);
    assert_invariants(fleet);
}

#[test]
fn a_dependency_reached_by_one_side_of_a_partition_is_used_by_that_side() {
    let fleet = start_fleet_with_uneven_demand(4);
    wait_until_borrowed(&fleet, 0);
    fleet.partition(&[&[0, 1], &[2, 3]]);
    fleet.cut_shared_dependency(2, true);
    fleet.cut_shared_dependency(3, true);
    // Leases from before the cut have expired; permits borrowed now come from the own side of the partition.
    sleep_ms(1_200);
    fleet
        .wait_until("permits borrowed within its side of the partition", |fleet| {
            quota_status_field(fleet, 0, "borrowed") > 0 && quota_status_field(fleet, 0, "borrowed") <= 4
        })
        .unwrap_or_panic();
    let before = fleet.call_intervals().len();
    fleet.wait_until("20 more calls", |fleet| fleet.call_intervals().len() > before + 20).unwrap_or_panic();
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn the_quota_holds_under_all_network_faults() {
    let fleet = start_fleet_with_uneven_demand(4);
    let lossy =
        Faults { drop: 0.2, double: 1.0, damage: 0.05, reorder: 0.3, late_ms: 40, ..Faults::default() };
    for faults in [lossy, Faults { no_datagrams: true, ..lossy }, Faults { stall: true, ..lossy }] {
        fleet.set_all_faults(faults);
        move_demand_to(&fleet, 1);
        sleep_ms(1_200);
        move_demand_to(&fleet, 0);
        sleep_ms(1_200);
    }
    fleet.heal();
    wait_until_borrowed(&fleet, 0);
    assert_invariants(fleet);
}

/// Plays random faults of all kinds, sometimes two at a time. A seed that fails is printed with its script
/// and must stay in the list.
#[test]
fn random_faults_violate_no_invariant() {
    for seed in [1, 2, 3] {
        let mut fleet = start_fleet_with_uneven_demand(4);
        let fault_script = Script::generate(seed, 4, 8, &script::FAULT_KINDS);
        let mut busy = 0;
        fault_script.play(
            &mut fleet,
            Duration::from_millis(9_500),
            Duration::from_millis(700),
            |fleet, _| {
                busy = (busy + 1) % 5;
                if busy < 4 {
                    move_demand_to(fleet, busy);
                } else {
                    overload_all_servers(fleet);
                }
            },
        );
        let convergence = fleet.wait_for_partition_status_everywhere("whole");
        let violations = fleet.finish_and_check();
        assert!(
            violations.is_empty() && convergence.is_ok(),
            "seed {seed}\n{fault_script}\n{violations:?}\n{convergence:?}"
        );
    }
}

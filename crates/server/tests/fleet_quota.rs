//! A dependency that all servers share: whatever fails between them, at no instant are more calls in use there than
//! it survives. The stand-in counts them over all processes, those given up until the time that they stated.

mod common;

use std::time::Duration;

use common::{assert_invariants, fleet_options, sleep_ms, UnwrapOrPanic};
use umberloom_fault_harness::{script, Faults, Fleet, Script};

/// A fleet whose first server has nearly all of the need, each with a part of four.
fn uneven(servers: usize) -> Fleet {
    let mut told = fleet_options(servers);
    told.capacity = 4 * servers as u32;
    told.service_time_ms = 60.0;
    let mut fleet = Fleet::start_converged(told).unwrap_or_else(|why| panic!("{why}"));
    fleet.start_traffic(24, Duration::from_millis(500));
    need(&fleet, 0);
    fleet
}

/// This server has the need from now on.
fn need(fleet: &Fleet, busy: usize) {
    for n in 0..fleet.servers.len() {
        let gap = if n == busy { 1 } else { 5_000 };
        fleet.traffic.as_ref().expect("traffic").set_gap(n, Duration::from_millis(gap));
    }
}

/// All have more need than there are places: whoever uses what is another's goes past the whole.
fn need_everywhere(fleet: &Fleet) {
    (0..fleet.servers.len())
        .for_each(|n| fleet.traffic.as_ref().expect("traffic").set_gap(n, Duration::from_millis(1)));
}

/// One figure of a server's allowance.
fn figure(fleet: &Fleet, n: usize, what: &str) -> u64 {
    fleet.view(n).map_or(0, |view| view["allowances"][0][1][what].as_u64().unwrap_or(0))
}

fn until_borrowed(fleet: &Fleet, n: usize) {
    fleet.wait_until("a loan", |fleet| figure(fleet, n, "borrowed") >= 2).unwrap_or_panic();
}

#[test]
fn idle_permits_are_lent_to_the_server_with_demand() {
    let fleet = uneven(4);
    until_borrowed(&fleet, 0);
    fleet.wait_until("more than its part in use", |fleet| fleet.peak_concurrency() >= 8).unwrap_or_panic();
    // Need that moves takes the loans along.
    need(&fleet, 2);
    until_borrowed(&fleet, 2);
    assert_invariants(fleet);
}

#[test]
fn a_server_that_is_cut_off_falls_back_to_its_own_share() {
    let fleet = uneven(3);
    until_borrowed(&fleet, 0);
    fleet.partition(&[&[0], &[1, 2]]);
    fleet.wait_until("its loans to end", |fleet| figure(fleet, 0, "borrowed") == 0).unwrap_or_panic();
    assert_eq!(figure(&fleet, 0, "part"), 4);
    // The others go on with theirs, and lend to each other.
    need(&fleet, 1);
    until_borrowed(&fleet, 1);
    fleet.heal();
    need(&fleet, 0);
    until_borrowed(&fleet, 0);
    assert_invariants(fleet);
}

#[test]
fn a_borrower_that_wakes_after_its_lease_does_not_use_it() {
    let mut fleet = uneven(3);
    for round in 0..6 {
        until_borrowed(&fleet, 0);
        fleet.servers[0].set_stopped(true);
        need_everywhere(&fleet);
        // Past the loan, and so short of it that it is nearly over on wake.
        sleep_ms(if round % 2 == 0 { 1_100 } else { 520 });
        fleet.servers[0].set_stopped(false);
        sleep_ms(1_000);
        need(&fleet, 0);
    }
    assert_invariants(fleet);
}

#[test]
fn restarts_of_lenders_and_borrowers_forget_no_lease_and_no_call() {
    let mut fleet = uneven(3);
    for n in [1, 0, 2, 0] {
        until_borrowed(&fleet, 0);
        fleet.servers[n].kill();
        fleet.servers[n].start().expect("a process");
        // Others still use what it lent, and the calls of the one before it go on.
        need_everywhere(&fleet);
        fleet.wait_until("its part", |fleet| figure(fleet, n, "part") == 4).unwrap_or_panic();
        sleep_ms(700);
        need(&fleet, 0);
    }
    assert_invariants(fleet);
}

#[test]
fn a_lender_drains_without_delay_and_its_leases_expire() {
    let mut fleet = uneven(3);
    until_borrowed(&fleet, 0);
    fleet.servers[1].terminate();
    let status = fleet.servers[1].wait_for_exit().expect("it ends");
    assert!(status.success(), "{status}");
    fleet.servers[1].start().expect("a process");
    // What it lent before its end is still in use, and it has need of its own now.
    need_everywhere(&fleet);
    fleet.wait_until("its part", |fleet| figure(fleet, 1, "part") == 4).unwrap_or_panic();
    sleep_ms(700);
    need(&fleet, 0);
    until_borrowed(&fleet, 0);
    assert_invariants(fleet);
}

#[test]
fn removing_the_borrower_from_the_roster_keeps_the_quota() {
    let mut fleet = uneven(4);
    until_borrowed(&fleet, 0);
    // The borrower's process ends, and the others are told that it is gone: their parts grow once all agree.
    fleet.servers[0].kill();
    for n in 1..4 {
        fleet.configured_peers[n].retain(|other| *other != 0);
    }
    fleet.reload(1);
    sleep_ms(1_500);
    assert_eq!(figure(&fleet, 1, "part"), 4, "the others still go by the old parts");
    fleet.reload(2);
    fleet.reload(3);
    need(&fleet, 1);
    for n in 1..4 {
        fleet.wait_until("a greater part", |fleet| figure(fleet, n, "part") >= 5).unwrap_or_panic();
    }
    until_borrowed(&fleet, 1);
    assert_invariants(fleet);
}

#[test]
fn a_dependency_reached_by_one_side_of_a_partition_is_used_by_that_side() {
    let fleet = uneven(4);
    until_borrowed(&fleet, 0);
    fleet.partition(&[&[0, 1], &[2, 3]]);
    fleet.cut_shared_dependency(2, true);
    fleet.cut_shared_dependency(3, true);
    // Loans from before the cut have run out; what there is now was lent within the part.
    sleep_ms(1_200);
    fleet
        .wait_until("a loan within its part", |fleet| {
            figure(fleet, 0, "borrowed") > 0 && figure(fleet, 0, "borrowed") <= 4
        })
        .unwrap_or_panic();
    let before = fleet.call_intervals().len();
    fleet.wait_until("more calls", |fleet| fleet.call_intervals().len() > before + 20).unwrap_or_panic();
    fleet.heal();
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_panic();
    assert_invariants(fleet);
}

#[test]
fn the_quota_holds_under_all_network_faults() {
    let fleet = uneven(4);
    let bad = Faults { drop: 0.2, double: 1.0, damage: 0.05, reorder: 0.3, late_ms: 40, ..Faults::default() };
    for faults in [bad, Faults { no_datagrams: true, ..bad }, Faults { stall: true, ..bad }] {
        fleet.set_all_faults(faults);
        need(&fleet, 1);
        sleep_ms(1_200);
        need(&fleet, 0);
        sleep_ms(1_200);
    }
    fleet.heal();
    until_borrowed(&fleet, 0);
    assert_invariants(fleet);
}

/// Drawn faults of all kinds, two at a time now and then. A seed that fails is printed with its script, and stays.
#[test]
fn random_faults_violate_no_invariant() {
    for seed in [1, 2, 3] {
        let mut fleet = uneven(4);
        let drawn = Script::generate(seed, 4, 8, &script::FAULT_KINDS);
        let mut busy = 0;
        drawn.play(&mut fleet, Duration::from_millis(9_500), Duration::from_millis(700), |fleet, _| {
            busy = (busy + 1) % 5;
            if busy < 4 {
                need(fleet, busy);
            } else {
                need_everywhere(fleet);
            }
        });
        let whole = fleet.wait_for_partition_status_everywhere("whole");
        let breaches = fleet.finish_and_check();
        assert!(breaches.is_empty() && whole.is_ok(), "seed {seed}\n{drawn}\n{breaches:?}\n{whole:?}");
    }
}

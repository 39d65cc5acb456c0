//! Replicas that have installed a snapshot, on virtual time: they keep their copy and take part in elections
//! at every moment from then on.

mod common;

use common::{any_follower, has_role, settled_fleet, short_timeouts, SECOND};
use umberloom_fault_harness::virtual_replicated_store::VirtualReplicatedStore;
use umberloom_replicated_store::{Config, Entry, Replica, Role};

/// One millisecond in microseconds.
const MS: u64 = 1_000;
/// Documents that are written before the first follower votes.
const DOCUMENTS: usize = 24;
/// Length of each of these documents in bytes.
const DOCUMENT_BYTES: usize = 40 << 10;
/// More entries than a leader keeps in its log, so that a replica which lacks them gets a snapshot.
const ENTRIES_BEYOND_LOG: usize = 4_200;

/// Sets short timeouts, and a rate at which a snapshot with all documents is fetched in half a second.
fn slow_catch_up(config: &mut Config) {
    short_timeouts(config);
    config.catch_up_bytes_per_second = 2 << 20;
}

/// Runs a new fleet of three until its first server leads and has documents that the others have yet to
/// fetch.
fn fleet_with_documents(seed: u64) -> VirtualReplicatedStore {
    let mut fleet = VirtualReplicatedStore::new(3, seed, slow_catch_up);
    fleet.run_until_condition(20 * SECOND, |fleet| fleet.leader() == Some(0)).expect("a leader");
    for number in 0..DOCUMENTS {
        let content = vec![number as u8; DOCUMENT_BYTES];
        fleet.propose(0, Entry::document(&format!("document{number}"), content, None));
        fleet.run_until(fleet.now + 30 * MS).expect("no violation");
    }
    fleet
}

/// Guards against a majority without a leader for good: a follower that got its promotion in a snapshot, and
/// no entry since, took its own log for invalid in the election after the leader's end and quarantined its
/// copy.
#[test]
fn a_new_voter_keeps_its_copy_when_the_leader_is_killed_and_returns() {
    for seed in 0..8 {
        let mut fleet = fleet_with_documents(seed);
        while !(1..3).any(|server| has_role(&fleet, server, Role::Voter)) {
            fleet.run_until(fleet.now + MS).expect("no violation");
        }
        fleet.kill(0, false);
        fleet.run_until(fleet.now + 4 * SECOND).expect("no violation");
        fleet.start(0);
        fleet
            .run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3))
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(fleet.quarantined.is_empty(), "seed {seed}: {:?}", fleet.quarantined);
    }
}

/// Guards against the same in a store at rest: the voter that was promoted last has seen no entry since.
#[test]
fn a_store_at_rest_keeps_all_copies_when_its_leader_is_killed() {
    for seed in 0..8 {
        let mut fleet = fleet_with_documents(seed);
        fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
        fleet.run_until(fleet.now + 2 * SECOND).expect("no violation");
        fleet.kill(0, false);
        fleet
            .run_until_condition(5 * SECOND, |fleet| fleet.leader().is_some())
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(fleet.quarantined.is_empty(), "seed {seed}: {:?}", fleet.quarantined);
    }
}

/// Guards against an election while an installed snapshot is not durable yet: the library then looks for the
/// entries before it.
#[test]
fn a_voter_whose_disk_is_slow_keeps_its_copy_when_the_leader_is_killed_during_the_installation() {
    for seed in 0..4 {
        let mut fleet = settled_fleet(3, 3, seed, short_timeouts);
        let lagging = any_follower(&fleet, 3);
        fleet.kill(lagging, false);
        let leader = fleet.leader().expect("a leader");
        for _ in 0..ENTRIES_BEYOND_LOG / 100 {
            (0..100).for_each(|_| fleet.propose(leader, Entry::document("x", vec![1], None)));
            fleet.run_until(fleet.now + 20 * MS).expect("no violation");
        }
        fleet.set_max_sync(lagging, 3 * SECOND);
        fleet.start(lagging);
        fleet
            .run_until_condition(60 * SECOND, |fleet| {
                fleet.replica(lagging).is_some_and(|replica| replica.installed_snapshot() > 0)
            })
            .expect("a snapshot is installed");
        let replica_id = fleet.replica(lagging).map(Replica::replica_id);
        fleet.kill(leader, false);
        fleet.run_until(fleet.now + 5 * SECOND).expect("no violation");
        fleet.set_max_sync(lagging, 2 * MS);
        fleet
            .run_until_condition(20 * SECOND, |fleet| fleet.leader().is_some())
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert_eq!(fleet.replica(lagging).map(Replica::replica_id), replica_id, "{:?}", fleet.quarantined);
        assert!(fleet.quarantined.is_empty(), "seed {seed}: {:?}", fleet.quarantined);
    }
}

/// Whether a server's process has installed a snapshot.
fn has_installed_snapshot(fleet: &VirtualReplicatedStore, server: usize) -> bool {
    fleet.replica(server).is_some_and(|replica| replica.installed_snapshot() > 0)
}

/// Guards against a requested snapshot that is passed to the library without having been fetched, as it ends
/// at an entry that the replica has already.
#[test]
fn a_replica_that_has_all_entries_fetches_the_snapshot_that_it_requests() {
    for seed in 0..4 {
        let mut fleet = settled_fleet(3, 3, seed, short_timeouts);
        fleet.write(0, "x", None);
        fleet.run_until(fleet.now + SECOND).expect("no violation");
        let requesting = any_follower(&fleet, 3);
        fleet.kill(requesting, false);
        fleet.start(requesting);
        fleet.request_snapshot_after(requesting, 0);
        fleet
            .run_until_condition(20 * SECOND, |fleet| has_installed_snapshot(fleet, requesting))
            .unwrap_or_else(|error| panic!("seed {seed}: {error}, restarted {:?}", fleet.restarted));
        fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
        assert_eq!((fleet.quarantined.as_slice(), fleet.restarted.as_slice()), (&[][..], &[][..]));
    }
}

/// Guards against a replica that catches up no more: it requested a snapshot and ignored entries meanwhile,
/// but the library makes no request before it has an entry of the present term.
#[test]
fn a_replica_that_missed_an_election_gets_the_snapshot_that_it_requests() {
    for seed in 0..4 {
        let mut fleet = settled_fleet(5, 5, seed, |config| {
            short_timeouts(config);
            (config.voters, config.replace_after) = (5, 100 * SECOND);
        });
        let requesting = any_follower(&fleet, 5);
        fleet.kill(requesting, false);
        let leader = fleet.leader().expect("a leader");
        fleet.kill(leader, false);
        fleet.run_until_condition(20 * SECOND, |fleet| fleet.leader().is_some()).expect("a leader");
        let new_leader = fleet.leader().expect("a leader");
        fleet.write(new_leader, "x", None);
        fleet.run_until(fleet.now + SECOND).expect("no violation");
        fleet.start(requesting);
        fleet.request_snapshot_after(requesting, 0);
        fleet.start(leader);
        fleet
            .run_until_condition(20 * SECOND, |fleet| has_installed_snapshot(fleet, requesting))
            .unwrap_or_else(|error| panic!("seed {seed}: {error}, restarted {:?}", fleet.restarted));
        fleet
            .run_until_condition(20 * SECOND, |fleet| fleet.is_converged(5))
            .unwrap_or_else(|error| panic!("seed {seed}: {error}, restarted {:?}", fleet.restarted));
        assert_eq!((fleet.quarantined.as_slice(), fleet.restarted.as_slice()), (&[][..], &[][..]));
    }
}

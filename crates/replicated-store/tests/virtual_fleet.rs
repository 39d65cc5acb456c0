//! Simulated fleets with replicated stores on virtual time, with network and disks driven by a seed. Under
//! faults no acknowledged write is lost and no read is stale, and after the faults all replicas are the same.

mod common;

use common::{any_follower, settled_fleet, short_timeouts, SECOND};
use proptest::prelude::*;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use umberloom_fault_harness::linear::violations;
use umberloom_fault_harness::virtual_replicated_store::VirtualReplicatedStore;
use umberloom_replicated_store::{Config, Entry, Event, Replica, Role};

fn five_voters(config: &mut Config) {
    short_timeouts(config);
    config.voters = 5;
}

/// The version of a document as a server has it; `None` if the server is down or has no such document.
fn version_at(fleet: &VirtualReplicatedStore, server: usize, name: &str) -> Option<u64> {
    fleet.replica(server).and_then(|replica| replica.state().get(name)).map(|document| document.version)
}

/// Runs the fleet for `duration` microseconds, with clients that write and read at random servers.
fn run_clients(
    fleet: &mut VirtualReplicatedStore,
    random: &mut ChaCha8Rng,
    servers: usize,
    duration: u64,
) -> Result<(), String> {
    let end = fleet.now + duration;
    while fleet.now < end {
        let server = random.random_range(0..servers);
        let name = ["x", "y"][random.random_range(0..2)];
        match random.random_range(0..3) {
            0 => fleet.write(server, name, None),
            1 => {
                let version = version_at(fleet, server, name).unwrap_or(0);
                fleet.write(server, name, Some(version));
            }
            _ => fleet.read(server, name),
        }
        fleet.run_until(fleet.now + random.random_range(1_000..30_000))?;
    }
    Ok(())
}

#[test]
fn a_store_is_bootstrapped_once_and_all_servers_join() {
    for (servers, voters) in [(1, 1), (3, 3), (5, 3), (7, 5)] {
        let adjust = if voters == 5 {
            five_voters
        } else if voters == 1 {
            |config: &mut Config| config.voters = 1
        } else {
            short_timeouts
        };
        let fleet = settled_fleet(servers, voters, 7, adjust);
        let bootstraps =
            fleet.events.iter().filter(|(.., event)| matches!(event, Event::Bootstrapped { .. })).count();
        assert_eq!(bootstraps, 1, "{servers} servers");
    }
}

#[test]
fn a_killed_leader_is_replaced_within_two_elections_without_loss() {
    let mut fleet = settled_fleet(5, 3, 3, short_timeouts);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..6 {
        run_clients(&mut fleet, &mut random, 5, SECOND).expect("no violation");
        let leader = fleet.leader().expect("a leader");
        fleet.kill(leader, true);
        let has_new_leader =
            |fleet: &VirtualReplicatedStore| fleet.leader().is_some_and(|server| server != leader);
        let took = fleet.run_until_condition(5 * SECOND, has_new_leader).expect("a leader");
        assert!(took <= 2 * 400_000 + 100_000, "{took}");
        run_clients(&mut fleet, &mut random, 5, SECOND / 2).expect("no violation");
        fleet.start(leader);
        fleet.run_until_condition(10 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
    }
    assert_eq!(violations(&fleet.operations), Vec::<String>::new());
    assert!(fleet.operations.iter().filter(|operation| operation.result.is_some()).count() > 200);
}

/// The leader is killed after each possible number of events of a write, so also when the write is proposed,
/// sent to one follower, committed but not reported, and applied but not answered.
#[test]
fn a_leader_killed_at_any_event_of_a_write_loses_no_acknowledged_write() {
    let (mut acknowledged, mut unacknowledged) = (0, 0);
    for events in 0..60 {
        let mut fleet = settled_fleet(3, 3, 100 + events as u64 % 3, short_timeouts);
        fleet.write(1, "x", None);
        fleet.run_until(fleet.now + SECOND).expect("no violation");
        let killed = fleet.leader().expect("a leader");
        fleet.write(killed, "x", None);
        fleet.write((killed + 1) % 3, "x", None);
        fleet.run_events(events).expect("no violation");
        fleet.kill(killed, true);
        let has_new_leader =
            |fleet: &VirtualReplicatedStore| fleet.leader().is_some_and(|server| server != killed);
        fleet.run_until_condition(5 * SECOND, has_new_leader).expect("a leader");
        let new_leader = fleet.leader().expect("a leader");
        fleet.read(new_leader, "x");
        fleet.write(new_leader, "x", None);
        fleet.run_until(fleet.now + SECOND).expect("no violation");
        fleet.start(killed);
        fleet.run_until_condition(10 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
        fleet.read(killed, "x");
        fleet.run_until(fleet.now + SECOND).expect("no violation");
        assert_eq!(violations(&fleet.operations), Vec::<String>::new(), "killed after {events} events");
        let is_acknowledged = fleet.operations[1].result.is_some();
        acknowledged += usize::from(is_acknowledged);
        unacknowledged += usize::from(!is_acknowledged);
    }
    // The kills cover the time before the acknowledgement and the time after it.
    assert!(
        acknowledged > 3 && unacknowledged > 3,
        "{acknowledged} were acknowledged, {unacknowledged} were not"
    );
}

#[test]
fn a_disk_that_ignores_syncs_costs_its_replica_and_no_acknowledged_write() {
    let mut quarantined = 0;
    for seed in 0..8 {
        let mut fleet = settled_fleet(3, 3, 40 + seed, short_timeouts);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        run_clients(&mut fleet, &mut random, 3, SECOND).expect("no violation");
        let faulty = fleet.leader().expect("a leader");
        let old_replica = fleet.replica(faulty).map(Replica::replica_id);
        fleet.ignore_syncs(faulty);
        run_clients(&mut fleet, &mut random, 3, SECOND).expect("no violation");
        fleet.kill(faulty, true);
        fleet.start(faulty);
        fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
        quarantined += usize::from(fleet.replica(faulty).map(Replica::replica_id) != old_replica);
        run_clients(&mut fleet, &mut random, 3, SECOND).expect("no violation");
        assert_eq!(violations(&fleet.operations), Vec::<String>::new(), "seed {seed}");
    }
    assert!(quarantined > 4, "{quarantined} of 8 replicas were quarantined");
}

#[test]
fn a_leader_that_resumes_after_a_stall_serves_no_stale_read_or_write() {
    let mut fleet = settled_fleet(3, 3, 5, short_timeouts);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let stalled = fleet.leader().expect("a leader");
    let other = (stalled + 1) % 3;
    fleet.write(stalled, "x", None);
    fleet.run_until(fleet.now + SECOND).expect("no violation");
    fleet.pause(stalled, 5 * SECOND);
    let has_new_leader =
        |fleet: &VirtualReplicatedStore| fleet.leader().is_some_and(|server| server != stalled);
    fleet.run_until_condition(5 * SECOND, has_new_leader).expect("another leader");
    for _ in 0..10 {
        fleet.write(other, "x", None);
        fleet.run_until(fleet.now + 100_000).expect("no violation");
    }
    fleet.run_until(fleet.now + 5 * SECOND - 1_300_000).expect("no violation");
    // The stalled server still acts as leader until it receives a message of a later term.
    for _ in 0..20 {
        fleet.read(stalled, "x");
        fleet.write(stalled, "x", None);
        fleet.run_until(fleet.now + 2_000).expect("no violation");
    }
    run_clients(&mut fleet, &mut random, 3, SECOND).expect("no violation");
    assert_eq!(violations(&fleet.operations), Vec::<String>::new());
}

#[test]
fn a_leader_is_elected_in_any_partition_that_leaves_a_server_with_a_quorum() {
    // The directions that are cut, given the leader and the other servers.
    type Cut = fn(usize, &[usize]) -> Vec<(usize, usize)>;
    let cases: [(&str, Cut); 5] = [
        ("star around a follower", |leader, others| {
            let points = [leader, others[1], others[2], others[3]];
            points.iter().flat_map(|a| points.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b).collect()
        }),
        ("two halves joined by one server", |leader, others| {
            let halves = [[leader, others[1]], [others[2], others[3]]];
            halves[0].iter().flat_map(|a| halves[1].iter().flat_map(move |b| [(*a, *b), (*b, *a)])).collect()
        }),
        ("only one server hears the leader", |leader, others| {
            others[1..].iter().map(|other| (leader, *other)).collect()
        }),
        ("the leader hears no one", |leader, others| others.iter().map(|other| (*other, leader)).collect()),
        ("chain", |leader, others| {
            let chain = [others[0], leader, others[1], others[2], others[3]];
            let is_apart = |a: usize, b: usize| a.abs_diff(b) > 1;
            (0..5)
                .flat_map(|a| (0..5).map(move |b| (a, b)))
                .filter(|(a, b)| is_apart(*a, *b))
                .map(|(a, b)| (chain[a], chain[b]))
                .collect()
        }),
    ];
    for (name, cut) in cases {
        let mut fleet = settled_fleet(5, 5, 9, five_voters);
        let leader = fleet.leader().expect("a leader");
        let others: Vec<usize> = (0..5).filter(|server| *server != leader).collect();
        fleet.cut_links = cut(leader, &others).into_iter().collect();
        fleet.run_until(fleet.now + SECOND).expect("no violation");
        let (first_event, observer) = (fleet.events.len(), others[0]);
        let applied = |fleet: &VirtualReplicatedStore| {
            fleet.replica(observer).map_or(0, |replica| replica.state().applied)
        };
        let before = applied(&fleet);
        let mut random = ChaCha8Rng::seed_from_u64(1);
        run_clients(&mut fleet, &mut random, 5, 5 * SECOND).expect("no violation");
        let after = applied(&fleet);
        assert!(after > before + 30, "{name}: {before} to {after}");
        let new_leaders = fleet.events[first_event..]
            .iter()
            .filter(|(.., event)| matches!(event, Event::RoleChanged { to: Role::Leader, .. }))
            .count();
        assert!(new_leaders <= 2, "{name}: {new_leaders} leaders in 5 s");
        fleet.cut_links.clear();
        fleet
            .run_until_condition(10 * SECOND, |fleet| fleet.is_converged(5))
            .unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(violations(&fleet.operations), Vec::<String>::new(), "{name}");
    }
}

#[test]
fn a_server_with_a_lost_or_rolled_back_disk_returns_with_a_new_replica() {
    for is_rollback in [false, true] {
        let mut fleet = settled_fleet(5, 3, 4, short_timeouts);
        let mut random = ChaCha8Rng::seed_from_u64(4);
        let voter = any_follower(&fleet, 5);
        let image = fleet.disk_image(voter);
        let old_replica = fleet.replica(voter).map(Replica::replica_id);
        run_clients(&mut fleet, &mut random, 5, 2 * SECOND).expect("no violation");
        if is_rollback {
            fleet.restore_disk(voter, image);
        } else {
            fleet.lose_disk(voter);
        }
        fleet.start(voter);
        fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
        let new_replica = fleet.replica(voter).map(Replica::replica_id);
        assert_ne!(old_replica, new_replica, "rollback: {is_rollback}");
        assert_eq!(fleet.quarantined.len(), usize::from(is_rollback), "{:?}", fleet.quarantined);
        let state = fleet.replica(voter).expect("the server runs").state();
        let name = format!("m{voter}");
        assert_eq!(state.members.values().filter(|member| member.name == name).count(), 1);
        run_clients(&mut fleet, &mut random, 5, SECOND).expect("no violation");
        assert_eq!(violations(&fleet.operations), Vec::<String>::new());
    }
}

#[test]
fn a_voter_that_is_silent_for_long_is_replaced_and_returns_as_a_learner() {
    let mut fleet = settled_fleet(5, 3, 6, short_timeouts);
    let voter = any_follower(&fleet, 5);
    fleet.kill(voter, false);
    let is_replaced = |fleet: &VirtualReplicatedStore| {
        let leader = fleet.leader().and_then(|server| fleet.replica(server));
        leader.map(|replica| replica.status(fleet.now)).is_some_and(|status| {
            status.replicas.iter().filter(|replica| replica.is_voter).count() == 3
                && !status
                    .replicas
                    .iter()
                    .any(|replica| replica.is_voter && replica.server == format!("m{voter}"))
        })
    };
    fleet.run_until_condition(10 * SECOND, is_replaced).expect("replaced");
    fleet.start(voter);
    fleet.run_until_condition(10 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
    assert_eq!(fleet.replica(voter).map(Replica::role), Some(Role::Learner));
}

#[test]
fn a_fleet_that_lost_all_disks_bootstraps_a_new_store() {
    let mut fleet = settled_fleet(3, 3, 8, short_timeouts);
    let first_store = fleet.replica(0).map(Replica::store_id);
    (0..3).for_each(|server| fleet.lose_disk(server));
    (0..3).for_each(|server| fleet.start(server));
    fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
    assert_ne!(fleet.replica(0).map(Replica::store_id), first_store);
    let is_bootstrap = |event: &Event| matches!(event, Event::Bootstrapped { .. });
    assert_eq!(fleet.events.iter().filter(|(.., event)| is_bootstrap(event)).count(), 2);
    // With their disks the servers keep the store, in whatever order they start.
    let second_store = fleet.replica(0).map(Replica::store_id);
    (0..3).for_each(|server| fleet.kill(server, true));
    for server in [2, 0, 1] {
        fleet.start(server);
        fleet.run_until(fleet.now + SECOND).expect("no violation");
    }
    fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
    assert_eq!(fleet.replica(0).map(Replica::store_id), second_store);
}

#[test]
fn a_diverged_replica_is_quarantined_and_rebuilt() {
    let mut fleet = settled_fleet(3, 3, 2, short_timeouts);
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let voter = any_follower(&fleet, 3);
    fleet.corrupt_state(voter, 1);
    fleet.run_until_condition(10 * SECOND, |fleet| !fleet.quarantined.is_empty()).expect("quarantined");
    assert_eq!(fleet.quarantined[0].0, voter);
    fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
    run_clients(&mut fleet, &mut random, 3, SECOND).expect("no violation");
    assert_eq!(violations(&fleet.operations), Vec::<String>::new());
}

#[test]
fn replicas_that_all_diverge_freeze_until_an_operator_adopts_one() {
    let mut fleet = settled_fleet(3, 3, 2, short_timeouts);
    fleet.write(0, "x", None);
    fleet.run_until(fleet.now + SECOND).expect("no violation");
    assert!(fleet.adopt(0).is_err_and(|error| error.contains("nothing is to be decided")));
    // Each of the three replicas differs from both others.
    fleet.corrupt_state(0, 1);
    fleet.corrupt_state(1, 2);
    let all_frozen = |fleet: &VirtualReplicatedStore| {
        (0..3).all(|server| fleet.replica(server).is_some_and(|replica| replica.status(fleet.now).frozen))
    };
    fleet.run_until_condition(10 * SECOND, all_frozen).expect("frozen");
    assert!(fleet.quarantined.is_empty(), "quarantined without a majority: {:?}", fleet.quarantined);
    let leader = fleet.leader().expect("a leader");
    let applied =
        |fleet: &VirtualReplicatedStore| fleet.replica(leader).map(|replica| replica.state().applied);
    let before = applied(&fleet);
    fleet.write(leader, "x", None);
    fleet.run_until(fleet.now + SECOND).expect("no violation");
    assert_eq!(applied(&fleet), before, "written although frozen");
    fleet.adopt(2).expect("adopted");
    fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
    let state = fleet.replica(0).expect("the server runs").state();
    assert!(
        state.get("x").is_some() && state.history().any(|line| line.description.starts_with("adopted from"))
    );
    fleet.write(1, "x", None);
    fleet.run_until(fleet.now + SECOND).expect("no violation");
    assert_eq!(version_at(&fleet, 0, "x"), Some(2));
}

#[test]
fn adopting_a_replica_that_was_only_partitioned_leaves_the_majority_unchanged() {
    let mut fleet = settled_fleet(5, 3, 21, short_timeouts);
    fleet.write(0, "x", None);
    fleet.run_until(fleet.now + SECOND).expect("no violation");
    let first_store = fleet.replica(0).map(Replica::store_id);
    let partitioned = 4;
    fleet.cut_links.extend((0..4).flat_map(|server| [(server, partitioned), (partitioned, server)]));
    fleet
        .run_until_condition(20 * SECOND, |fleet| {
            fleet.replica(partitioned).is_some_and(|replica| replica.status(fleet.now).leader.is_none())
        })
        .expect("partitioned");
    fleet.run_until(fleet.now + 2 * SECOND).expect("no violation");
    fleet.adopt(partitioned).expect("allowed, as the server knows no leader");
    fleet.write(0, "x", None);
    fleet.run_until(fleet.now + SECOND).expect("no violation");
    fleet.cut_links.clear();
    fleet.run_until(fleet.now + 5 * SECOND).expect("no violation");
    assert!(
        (0..4).all(|server| fleet.replica(server).map(Replica::store_id) == first_store),
        "the majority has left its store"
    );
    assert!(fleet.quarantined.is_empty(), "{:?}", fleet.quarantined);
    assert!(fleet
        .events
        .iter()
        .any(|(_, server, event)| *server < 4 && matches!(event, Event::CompetingStore { .. })));
    // Without its replica the server joins the store that most servers have.
    fleet.lose_disk(partitioned);
    fleet.start(partitioned);
    fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
    assert_eq!(fleet.replica(partitioned).map(Replica::store_id), first_store);
    assert_eq!(version_at(&fleet, partitioned, "x"), Some(2));
}

#[test]
fn a_replica_killed_while_it_catches_up_resumes_the_transfer() {
    fn slow_catch_up(config: &mut Config) {
        short_timeouts(config);
        config.catch_up_bytes_per_second = 400 << 10;
    }
    let mut fleet = settled_fleet(3, 3, 12, slow_catch_up);
    let lagging = any_follower(&fleet, 3);
    fleet.kill(lagging, false);
    let leader = fleet.leader().expect("a leader");
    for number in 0..30 {
        let entries = Entry::document(&format!("big{number}"), vec![number as u8; 30_000], None);
        fleet.propose(leader, entries);
        fleet.run_until(fleet.now + 50_000).expect("no violation");
    }
    for _ in 0..40 {
        (0..110).for_each(|_| fleet.write(leader, "x", None));
        fleet.run_until(fleet.now + 100_000).expect("no violation");
    }
    fleet.start(lagging);
    let progress = |fleet: &VirtualReplicatedStore| {
        fleet.replica(lagging).and_then(|replica| replica.status(fleet.now).catching_up)
    };
    let mut highest = 0;
    for _ in 0..3 {
        fleet
            .run_until_condition(20 * SECOND, |fleet| {
                progress(fleet).is_some_and(|(received, _)| received >= highest + 4)
            })
            .expect("chunks received");
        let (received, total) = progress(&fleet).expect("a transfer in progress");
        assert!(received >= highest, "{received} of {total}, {highest} had been received before");
        highest = received;
        fleet.kill(lagging, true);
        fleet.start(lagging);
    }
    fleet.run_until_condition(30 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
    assert!(fleet
        .events
        .iter()
        .any(|(_, server, event)| *server == lagging && matches!(event, Event::CaughtUp { .. })));
}

/// Injects faults drawn from a seed while clients write and read, then ends all faults and checks the
/// outcome.
fn run_random_faults(seed: u64, servers: usize) -> Result<(), String> {
    let adjust = if seed.is_multiple_of(2) { short_timeouts } else { five_voters };
    let voters = if seed.is_multiple_of(2) { 3.min(servers) } else { 5 };
    let mut fleet = VirtualReplicatedStore::new(servers, seed, adjust);
    fleet.run_until_condition(30 * SECOND, |fleet| fleet.is_converged(voters))?;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut disk_lost = false;
    for _ in 0..14 {
        let duration = random.random_range(100_000..SECOND);
        run_clients(&mut fleet, &mut random, servers, duration)?;
        let (server, other) = (random.random_range(0..servers), random.random_range(0..servers));
        match random.random_range(0..9) {
            0 | 1 if server != other => drop(fleet.cut_links.insert((server, other))),
            2 => fleet.cut_links.clear(),
            3 => fleet.kill(server, random.random_bool(0.5)),
            4 if !fleet.is_running(server) => fleet.start(server),
            5 => fleet.pause(server, random.random_range(50_000..3 * SECOND)),
            6 => (fleet.loss, fleet.max_delay) = (random.random_range(0.0..0.3), 60_000),
            // One disk is lost per run, and only while all servers run: a lost majority would lose writes.
            7 if !disk_lost && (0..servers).all(|server| fleet.is_running(server)) => {
                disk_lost = true;
                fleet.lose_disk(server);
                fleet.start(server);
            }
            _ => (fleet.loss, fleet.max_delay) = (0.0, 2_000),
        }
    }
    (fleet.loss, fleet.max_delay) = (0.0, 2_000);
    fleet.cut_links.clear();
    fleet.run_until(fleet.now + 3 * SECOND)?;
    let stopped: Vec<usize> = (0..servers).filter(|server| !fleet.is_running(*server)).collect();
    stopped.into_iter().for_each(|server| fleet.start(server));
    fleet.run_until_condition(30 * SECOND, |fleet| fleet.is_converged(voters))?;
    run_clients(&mut fleet, &mut random, servers, SECOND)?;
    fleet.run_until(fleet.now + SECOND)?;
    let violations = violations(&fleet.operations);
    if violations.is_empty() {
        Ok(())
    } else {
        Err(violations.join("\n"))
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Under random faults the clients' operations are linearizable, no term has two leaders, and all
    /// replicas are the same at the end.
    #[test]
    fn random_faults_lose_no_acknowledged_write(seed in any::<u64>(), count in 5usize..8) {
        let result = run_random_faults(seed, count);
        prop_assert!(result.is_ok(), "{}", result.unwrap_err());
    }
}

//! Simulated fleets with replicated stores on virtual time, with network and disks driven by a seed. Under
//! faults no acknowledged write is lost and no read is stale, and after the faults all replicas are the same.

use proptest::prelude::*;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use umberloom_fault_harness::linear::breaches;
use umberloom_fault_harness::virtual_record::VirtualRecord;
use umberloom_replicated_store::{Config, Event, Replica, Role};

/// One second in microseconds.
const SECOND: u64 = 1_000_000;

/// Sets short timeouts, so that a run has many elections.
fn short_timeouts(config: &mut Config) {
    (config.election_timeout, config.replace_after) = (200_000, 2 * SECOND);
}

fn five_voters(config: &mut Config) {
    short_timeouts(config);
    config.voters = 5;
}

/// A fleet in which all servers have joined and so many vote.
fn settled(count: usize, voters: usize, seed: u64, adjust: fn(&mut Config)) -> VirtualRecord {
    let mut fleet = VirtualRecord::new(count, seed, adjust);
    fleet.until(20 * SECOND, |f| f.settled(voters)).expect("settled");
    fleet
}

/// Runs for so long with clients that write and read at random servers.
fn run_clients(
    fleet: &mut VirtualRecord,
    random: &mut ChaCha8Rng,
    count: usize,
    span: u64,
) -> Result<(), String> {
    let end = fleet.now + span;
    while fleet.now < end {
        let n = random.random_range(0..count);
        let name = ["x", "y"][random.random_range(0..2)];
        match random.random_range(0..3) {
            0 => fleet.write(n, name, None),
            1 => {
                let version =
                    fleet.record(n).and_then(|r| r.state().get(name)).map_or(0, |held| held.version);
                fleet.write(n, name, Some(version));
            }
            _ => fleet.read(n, name),
        }
        fleet.run(fleet.now + random.random_range(1_000..30_000))?;
    }
    Ok(())
}

#[test]
fn a_store_is_bootstrapped_once_and_all_servers_join() {
    for (count, voters) in [(1, 1), (3, 3), (5, 3), (7, 5)] {
        let adjust = if voters == 5 {
            five_voters
        } else if voters == 1 {
            |c: &mut Config| c.voters = 1
        } else {
            short_timeouts
        };
        let fleet = settled(count, voters, 7, adjust);
        let founded =
            fleet.told.iter().filter(|(.., line)| matches!(line, Event::Bootstrapped { .. })).count();
        assert_eq!(founded, 1, "{count} servers");
    }
}

#[test]
fn a_killed_leader_is_replaced_within_two_elections_without_loss() {
    let mut fleet = settled(5, 3, 3, short_timeouts);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..6 {
        run_clients(&mut fleet, &mut random, 5, SECOND).expect("sound");
        let leader = fleet.leader().expect("a leader");
        fleet.kill(leader, true);
        let took = fleet.until(5 * SECOND, |f| f.leader().is_some_and(|n| n != leader)).expect("a leader");
        assert!(took <= 2 * 400_000 + 100_000, "{took}");
        run_clients(&mut fleet, &mut random, 5, SECOND / 2).expect("sound");
        fleet.start(leader);
        fleet.until(10 * SECOND, |f| f.settled(3)).expect("settled");
    }
    assert_eq!(breaches(&fleet.operations), Vec::<String>::new());
    assert!(fleet.operations.iter().filter(|o| o.told.is_some()).count() > 200);
}

/// The leader is killed after each possible number of events of a write, so also when the write is proposed,
/// sent to one follower, committed but not reported, and applied but not answered.
#[test]
fn a_leader_killed_at_any_event_of_a_write_loses_no_acknowledged_write() {
    let (mut acknowledged, mut lost) = (0, 0);
    for events in 0..60 {
        let mut fleet = settled(3, 3, 100 + events as u64 % 3, short_timeouts);
        fleet.write(1, "x", None);
        fleet.run(fleet.now + SECOND).expect("sound");
        let leader = fleet.leader().expect("a leader");
        fleet.write(leader, "x", None);
        fleet.write((leader + 1) % 3, "x", None);
        fleet.events(events).expect("sound");
        fleet.kill(leader, true);
        fleet.until(5 * SECOND, |f| f.leader().is_some_and(|n| n != leader)).expect("a leader");
        let at = fleet.leader().expect("a leader");
        fleet.read(at, "x");
        fleet.write(at, "x", None);
        fleet.run(fleet.now + SECOND).expect("sound");
        fleet.start(leader);
        fleet.until(10 * SECOND, |f| f.settled(3)).expect("settled");
        fleet.read(leader, "x");
        fleet.run(fleet.now + SECOND).expect("sound");
        assert_eq!(breaches(&fleet.operations), Vec::<String>::new(), "killed after {events} events");
        let told = fleet.operations[1].told.is_some();
        (acknowledged, lost) = (acknowledged + usize::from(told), lost + usize::from(!told));
    }
    // Both ends of the range were met.
    assert!(acknowledged > 3 && lost > 3, "{acknowledged} were acknowledged, {lost} were not");
}

#[test]
fn a_disk_that_ignores_syncs_costs_its_replica_and_no_acknowledged_write() {
    let mut found = 0;
    for seed in 0..8 {
        let mut fleet = settled(3, 3, 40 + seed, short_timeouts);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        run_clients(&mut fleet, &mut random, 3, SECOND).expect("sound");
        let liar = fleet.leader().expect("a leader");
        let copy = fleet.record(liar).map(Replica::replica_id);
        fleet.lie(liar);
        run_clients(&mut fleet, &mut random, 3, SECOND).expect("sound");
        fleet.kill(liar, true);
        fleet.start(liar);
        fleet.until(20 * SECOND, |f| f.settled(3)).expect("settled");
        found += usize::from(fleet.record(liar).map(Replica::replica_id) != copy);
        run_clients(&mut fleet, &mut random, 3, SECOND).expect("sound");
        assert_eq!(breaches(&fleet.operations), Vec::<String>::new(), "seed {seed}");
    }
    assert!(found > 4, "{found} of 8 copies were set aside");
}

#[test]
fn a_leader_that_resumes_after_a_stall_serves_no_stale_read_or_write() {
    let mut fleet = settled(3, 3, 5, short_timeouts);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let old = fleet.leader().expect("a leader");
    let other = (old + 1) % 3;
    fleet.write(old, "x", None);
    fleet.run(fleet.now + SECOND).expect("sound");
    fleet.pause(old, 5 * SECOND);
    fleet.until(5 * SECOND, |f| f.leader().is_some_and(|n| n != old)).expect("another");
    for _ in 0..10 {
        fleet.write(other, "x", None);
        fleet.run(fleet.now + 100_000).expect("sound");
    }
    fleet.run(fleet.now + 5 * SECOND - 1_300_000).expect("sound");
    // It believes that it leads until it hears otherwise.
    for _ in 0..20 {
        fleet.read(old, "x");
        fleet.write(old, "x", None);
        fleet.run(fleet.now + 2_000).expect("sound");
    }
    run_clients(&mut fleet, &mut random, 3, SECOND).expect("sound");
    assert_eq!(breaches(&fleet.operations), Vec::<String>::new());
}

#[test]
fn a_leader_is_elected_in_any_partition_that_leaves_a_server_with_a_quorum() {
    // The directions that are cut, given the leader and the other servers.
    type Cut = fn(usize, &[usize]) -> Vec<(usize, usize)>;
    let cases: [(&str, Cut); 5] = [
        ("star through one that does not lead", |l, o| {
            let all = [l, o[1], o[2], o[3]];
            all.iter().flat_map(|a| all.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b).collect()
        }),
        ("bridge", |l, o| {
            let halves = [[l, o[1]], [o[2], o[3]]];
            halves[0].iter().flat_map(|a| halves[1].iter().flat_map(move |b| [(*a, *b), (*b, *a)])).collect()
        }),
        ("the leader is heard by one only", |l, o| o[1..].iter().map(|n| (l, *n)).collect()),
        ("nothing reaches the leader", |l, o| o.iter().map(|n| (*n, l)).collect()),
        ("chain", |l, o| {
            let chain = [o[0], l, o[1], o[2], o[3]];
            let far = |a: usize, b: usize| a.abs_diff(b) > 1;
            (0..5)
                .flat_map(|a| (0..5).map(move |b| (a, b)))
                .filter(|(a, b)| far(*a, *b))
                .map(|(a, b)| (chain[a], chain[b]))
                .collect()
        }),
    ];
    for (name, cut) in cases {
        let mut fleet = settled(5, 5, 9, five_voters);
        let leader = fleet.leader().expect("a leader");
        let others: Vec<usize> = (0..5).filter(|n| *n != leader).collect();
        fleet.cut = cut(leader, &others).into_iter().collect();
        fleet.run(fleet.now + SECOND).expect("sound");
        let (from, hub) = (fleet.told.len(), others[0]);
        let before = fleet.record(hub).map_or(0, |r| r.state().applied);
        let mut random = ChaCha8Rng::seed_from_u64(1);
        run_clients(&mut fleet, &mut random, 5, 5 * SECOND).expect("sound");
        let after = fleet.record(hub).map_or(0, |r| r.state().applied);
        assert!(after > before + 30, "{name}: {before} to {after}");
        let led = fleet.told[from..]
            .iter()
            .filter(|(.., t)| matches!(t, Event::RoleChanged { to: Role::Leader, .. }))
            .count();
        assert!(led <= 2, "{name}: {led} leaders in 5 s");
        fleet.cut.clear();
        fleet.until(10 * SECOND, |f| f.settled(5)).unwrap_or_else(|why| panic!("{name}: {why}"));
        assert_eq!(breaches(&fleet.operations), Vec::<String>::new(), "{name}");
    }
}

#[test]
fn a_server_with_a_lost_or_rolled_back_disk_returns_with_a_new_replica() {
    for set_back in [false, true] {
        let mut fleet = settled(5, 3, 4, short_timeouts);
        let mut random = ChaCha8Rng::seed_from_u64(4);
        let voter =
            (0..5).find(|n| fleet.record(*n).is_some_and(|r| r.role() == Role::Voter)).expect("a voter");
        let image = fleet.image(voter);
        let number = fleet.record(voter).map(Replica::replica_id);
        run_clients(&mut fleet, &mut random, 5, 2 * SECOND).expect("sound");
        match set_back {
            true => fleet.put_back(voter, image),
            false => fleet.lose_disk(voter),
        }
        fleet.start(voter);
        fleet.until(20 * SECOND, |f| f.settled(3)).expect("settled");
        let now = fleet.record(voter).map(Replica::replica_id);
        assert_ne!(number, now, "set back: {set_back}");
        assert_eq!(fleet.aside.len(), usize::from(set_back), "{:?}", fleet.aside);
        let state = fleet.record(voter).expect("runs").state();
        assert_eq!(state.members.values().filter(|m| m.name == format!("m{voter}")).count(), 1);
        run_clients(&mut fleet, &mut random, 5, SECOND).expect("sound");
        assert_eq!(breaches(&fleet.operations), Vec::<String>::new());
    }
}

#[test]
fn a_voter_that_is_gone_for_long_is_replaced_and_returns_as_a_learner() {
    let mut fleet = settled(5, 3, 6, short_timeouts);
    let voter = (0..5).find(|n| fleet.record(*n).is_some_and(|r| r.role() == Role::Voter)).expect("a voter");
    fleet.kill(voter, false);
    let replaced = |f: &VirtualRecord| {
        let stands = f.leader().and_then(|n| f.record(n)).map(|r| r.status(f.now));
        stands.is_some_and(|s| {
            s.replicas.iter().filter(|c| c.is_voter).count() == 3
                && !s.replicas.iter().any(|c| c.is_voter && c.server == format!("m{voter}"))
        })
    };
    fleet.until(10 * SECOND, replaced).expect("replaced");
    fleet.start(voter);
    fleet.until(10 * SECOND, |f| f.settled(3)).expect("settled");
    assert_eq!(fleet.record(voter).map(Replica::role), Some(Role::Learner));
}

#[test]
fn a_fleet_that_lost_all_disks_bootstraps_a_new_store() {
    let mut fleet = settled(3, 3, 8, short_timeouts);
    let first = fleet.record(0).map(Replica::store_id);
    (0..3).for_each(|n| fleet.lose_disk(n));
    (0..3).for_each(|n| fleet.start(n));
    fleet.until(20 * SECOND, |f| f.settled(3)).expect("settled");
    assert_ne!(fleet.record(0).map(Replica::store_id), first);
    assert_eq!(fleet.told.iter().filter(|(.., t)| matches!(t, Event::Bootstrapped { .. })).count(), 2);
    // With disks it is the old one, whatever the order.
    let second = fleet.record(0).map(Replica::store_id);
    (0..3).for_each(|n| fleet.kill(n, true));
    for n in [2, 0, 1] {
        fleet.start(n);
        fleet.run(fleet.now + SECOND).expect("sound");
    }
    fleet.until(20 * SECOND, |f| f.settled(3)).expect("settled");
    assert_eq!(fleet.record(0).map(Replica::store_id), second);
}

#[test]
fn a_diverged_replica_is_quarantined_and_rebuilt() {
    let mut fleet = settled(3, 3, 2, short_timeouts);
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let voter = (0..3).find(|n| fleet.record(*n).is_some_and(|r| r.role() == Role::Voter)).expect("a voter");
    fleet.spoil(voter, 1);
    fleet.until(10 * SECOND, |f| !f.aside.is_empty()).expect("found");
    assert_eq!(fleet.aside[0].0, voter);
    fleet.until(20 * SECOND, |f| f.settled(3)).expect("settled");
    run_clients(&mut fleet, &mut random, 3, SECOND).expect("sound");
    assert_eq!(breaches(&fleet.operations), Vec::<String>::new());
}

#[test]
fn replicas_that_all_diverge_freeze_until_an_operator_adopts_one() {
    let mut fleet = settled(3, 3, 2, short_timeouts);
    fleet.write(0, "x", None);
    fleet.run(fleet.now + SECOND).expect("sound");
    assert!(fleet.adopt(0).is_err_and(|why| why.contains("nothing is to be decided")));
    // Each of three differs from both others.
    fleet.spoil(0, 1);
    fleet.spoil(1, 2);
    let frozen = |f: &VirtualRecord| (0..3).all(|n| f.record(n).is_some_and(|r| r.status(f.now).frozen));
    fleet.until(10 * SECOND, frozen).expect("frozen");
    assert!(fleet.aside.is_empty(), "nobody can tell which is wrong: {:?}", fleet.aside);
    let leader = fleet.leader().expect("a leader");
    let before = fleet.record(leader).map(|r| r.state().applied);
    fleet.write(leader, "x", None);
    fleet.run(fleet.now + SECOND).expect("sound");
    assert_eq!(fleet.record(leader).map(|r| r.state().applied), before, "written although frozen");
    fleet.adopt(2).expect("decided");
    fleet.until(20 * SECOND, |f| f.settled(3)).expect("settled");
    let state = fleet.record(0).expect("runs").state();
    assert!(
        state.get("x").is_some() && state.history().any(|line| line.description.starts_with("adopted from"))
    );
    fleet.write(1, "x", None);
    fleet.run(fleet.now + SECOND).expect("sound");
    assert_eq!(fleet.record(0).and_then(|r| r.state().get("x")).map(|held| held.version), Some(2));
}

#[test]
fn adopting_a_replica_that_was_only_cut_off_undoes_nothing() {
    let mut fleet = settled(5, 3, 21, short_timeouts);
    fleet.write(0, "x", None);
    fleet.run(fleet.now + SECOND).expect("sound");
    let first = fleet.record(0).map(Replica::store_id);
    let cut = 4;
    fleet.cut.extend((0..4).flat_map(|n| [(n, cut), (cut, n)]));
    fleet
        .until(20 * SECOND, |f| f.record(cut).is_some_and(|r| r.status(f.now).leader.is_none()))
        .expect("cut off");
    fleet.run(fleet.now + 2 * SECOND).expect("sound");
    fleet.adopt(cut).expect("it can't know better");
    fleet.write(0, "x", None);
    fleet.run(fleet.now + SECOND).expect("sound");
    fleet.cut.clear();
    fleet.run(fleet.now + 5 * SECOND).expect("sound");
    assert!(
        (0..4).all(|n| fleet.record(n).map(Replica::store_id) == first),
        "the majority has left its record"
    );
    assert!(fleet.aside.is_empty(), "{:?}", fleet.aside);
    assert!(fleet.told.iter().any(|(_, n, t)| *n < 4 && matches!(t, Event::CompetingStore { .. })));
    // Without its copy it joins the one that most hold.
    fleet.lose_disk(cut);
    fleet.start(cut);
    fleet.until(20 * SECOND, |f| f.settled(3)).expect("settled");
    assert_eq!(fleet.record(cut).map(Replica::store_id), first);
    assert_eq!(fleet.record(cut).and_then(|r| r.state().get("x")).map(|held| held.version), Some(2));
}

#[test]
fn a_replica_killed_while_it_catches_up_resumes_the_transfer() {
    fn slow(config: &mut Config) {
        short_timeouts(config);
        config.catch_up_bytes_per_second = 400 << 10;
    }
    let mut fleet = settled(3, 3, 12, slow);
    let behind = (0..3).find(|n| fleet.record(*n).is_some_and(|r| r.role() == Role::Voter)).expect("a voter");
    fleet.kill(behind, false);
    let leader = fleet.leader().expect("a leader");
    for n in 0..30 {
        let whole =
            umberloom_replicated_store::Entry::document(&format!("big{n}"), vec![n as u8; 30_000], None);
        fleet.propose(leader, whole);
        fleet.run(fleet.now + 50_000).expect("sound");
    }
    for _ in 0..40 {
        (0..110).for_each(|_| fleet.write(leader, "x", None));
        fleet.run(fleet.now + 100_000).expect("sound");
    }
    fleet.start(behind);
    let progress = |f: &VirtualRecord| f.record(behind).and_then(|r| r.status(f.now).catching_up);
    let mut highest = 0;
    for _ in 0..3 {
        fleet
            .until(20 * SECOND, |f| progress(f).is_some_and(|(there, _)| there >= highest + 4))
            .expect("pieces");
        let (there, all) = progress(&fleet).expect("under way");
        assert!(there >= highest, "{there} of {all}, {highest} were there before");
        highest = there;
        fleet.kill(behind, true);
        fleet.start(behind);
    }
    fleet.until(30 * SECOND, |f| f.settled(3)).expect("settled");
    assert!(fleet.told.iter().any(|(_, n, t)| *n == behind && matches!(t, Event::CaughtUp { .. })));
}

/// Injects faults drawn from a seed while clients write and read; then none.
fn run_random_faults(seed: u64, count: usize) -> Result<(), String> {
    let adjust = if seed.is_multiple_of(2) { short_timeouts } else { five_voters };
    let voters = if seed.is_multiple_of(2) { 3.min(count) } else { 5 };
    let mut fleet = VirtualRecord::new(count, seed, adjust);
    fleet.until(30 * SECOND, |f| f.settled(voters))?;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut lost = 0;
    for _ in 0..14 {
        let span = random.random_range(100_000..SECOND);
        run_clients(&mut fleet, &mut random, count, span)?;
        let (a, b) = (random.random_range(0..count), random.random_range(0..count));
        match random.random_range(0..9) {
            0 | 1 if a != b => drop(fleet.cut.insert((a, b))),
            2 => fleet.cut.clear(),
            3 => fleet.kill(a, random.random_bool(0.5)),
            4 if !fleet.runs(a) => fleet.start(a),
            5 => fleet.pause(a, random.random_range(50_000..3 * SECOND)),
            6 => (fleet.loss, fleet.late) = (random.random_range(0.0..0.3), 60_000),
            // A minority may lose its disks, one at a time and with time to come back between.
            7 if lost == 0 && (0..count).all(|n| fleet.runs(n)) => {
                lost = 1;
                fleet.lose_disk(a);
                fleet.start(a);
            }
            _ => (fleet.loss, fleet.late) = (0.0, 2_000),
        }
    }
    (fleet.loss, fleet.late) = (0.0, 2_000);
    fleet.cut.clear();
    fleet.run(fleet.now + 3 * SECOND)?;
    (0..count).filter(|n| !fleet.runs(*n)).collect::<Vec<_>>().into_iter().for_each(|n| fleet.start(n));
    fleet.until(30 * SECOND, |f| f.settled(voters))?;
    run_clients(&mut fleet, &mut random, count, SECOND)?;
    fleet.run(fleet.now + SECOND)?;
    let found = breaches(&fleet.operations);
    if found.is_empty() {
        Ok(())
    } else {
        Err(found.join("\n"))
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

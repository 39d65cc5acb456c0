//! Members on a virtual network with virtual clocks, drawn from a seed: after any faults have ended, all
//! views converge.

use proptest::prelude::*;
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use umberloom_fault_harness::virtual_fleet::{Network, VirtualFleet};
use umberloom_membership::{Config, Event, MemberState, PartitionStatus};

/// One second in microseconds.
const SECOND: u64 = 1_000_000;

/// Sets short intervals, so that a run has many protocol rounds.
fn short_intervals(config: &mut Config) {
    let timing = &mut config.timing;
    (timing.probe_interval, timing.suspicion_timeout, timing.heartbeat_interval) =
        (200_000, 600_000, 150_000);
    (timing.upgrade_delay, timing.min_status_duration) = (200_000, 500_000);
}

/// Leaves the default intervals unchanged.
fn default_intervals(_: &mut Config) {}

/// Runs until all views agree and every member's partition status is whole; fails if that takes longer than
/// `span` microseconds.
fn run_until_whole(fleet: &mut VirtualFleet, span: u64) -> Result<(), String> {
    let end = fleet.now + span;
    while fleet.now < end {
        let count = fleet.running_members().count();
        if fleet.view_agreement() == (true, count) {
            return Ok(());
        }
        fleet.run_until(fleet.now + 100_000)?;
    }
    Err(format!("{:?} after {} s", fleet.view_agreement(), span / SECOND))
}

/// Injects random faults, then ends them: all views must be equal and every status whole within 30 seconds.
fn converges_after_random_faults(seed: u64, count: usize) -> Result<(), String> {
    let mut fleet = VirtualFleet::new(count, seed, short_intervals);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..12 {
        fleet.run_until(fleet.now + random.random_range(100_000..2 * SECOND))?;
        let (a, b) = (random.random_range(0..count), random.random_range(0..count));
        match random.random_range(0..7) {
            0 => drop(fleet.cut_links.insert((a, b))),
            1 => fleet.cut_links.clear(),
            2 => fleet.kill(a),
            3 => fleet.start(a),
            4 => fleet.pause(a, random.random_range(100_000..6 * SECOND)),
            5 => {
                let (loss, double) = (random.random_range(0.0..0.4), random.random_range(0.0..=1.0));
                let damage = random.random_range(0.0..0.1);
                let no_streams = random.random_bool(0.3);
                fleet.network = Network { loss, double, damage, max_delay: 80_000, no_streams };
            }
            _ => fleet.network = Network::default(),
        }
    }
    fleet.network = Network::default();
    fleet.cut_links.clear();
    fleet.run_until(fleet.now + 6 * SECOND)?;
    for n in 0..count {
        if fleet.members[n].is_none() {
            fleet.start(n);
        }
    }
    run_until_whole(&mut fleet, 30 * SECOND)
}

/// Seeds that once failed (docs/incidents/apart-for-ever.md). In the first, gossip stayed idle at both ends
/// after the only message that would have restarted it was lost. In the other three, a member was fenced
/// because of a process that was already gone, and fencing then kept it from completing the handshake that
/// would have ended it.
#[test]
fn previously_failing_seeds_converge() {
    let seeds = [
        (12640709135243900975, 2),
        (14098353150411445725, 2),
        (3749455131101384760, 3),
        (7341232129643189836, 2),
    ];
    for (seed, count) in seeds {
        let result = converges_after_random_faults(seed, count);
        assert!(result.is_ok(), "seed {seed}, {count} members: {result:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// All views converge after random faults.
    #[test]
    fn after_the_last_fault_all_views_are_equal(seed in any::<u64>(), count in 2usize..9) {
        let result = converges_after_random_faults(seed, count);
        prop_assert!(result.is_ok(), "{result:?}");
    }

    /// Changes of the partition status are at least the minimum duration apart while a link flaps.
    #[test]
    fn a_flapping_link_changes_the_status_no_faster_than_the_minimum_duration(seed in any::<u64>(), span in 50_000u64..1_500_000) {
        let mut fleet = VirtualFleet::new(4, seed, short_intervals);
        run_until_whole(&mut fleet, 20 * SECOND).map_err(TestCaseError::fail)?;
        for round in 0..20 {
            if round % 2 == 0 {
                fleet.cut_links.extend([(0, 1), (1, 0)]);
            } else {
                fleet.cut_links.clear();
            }
            fleet.run_until(fleet.now + span).map_err(TestCaseError::fail)?;
        }
        for n in 0..4 {
            let changes = fleet.events.iter().filter(|(_, member, event)| {
                *member == n && matches!(event, Event::PartitionStatusChanged { .. })
            });
            let times: Vec<u64> = changes.map(|(at, ..)| *at).collect();
            // Clocks run up to one percent fast or slow.
            prop_assert!(times.windows(2).skip(1).all(|pair| pair[1] - pair[0] >= 490_000), "{times:?}");
        }
    }
}

#[test]
fn two_hundred_members_converge_and_all_detect_a_failure() {
    let mut fleet = VirtualFleet::new(200, 5, default_intervals);
    fleet.run_until(30 * SECOND).expect("invariants hold");
    assert_eq!(fleet.view_agreement(), (true, 200));
    let at = fleet.now;
    fleet.kill(17);
    fleet.run_until(at + 20 * SECOND).expect("invariants hold");
    assert_eq!(fleet.failure_detection_times(17, at).len(), 199);
    // No live member was considered failed.
    assert_eq!(fleet.suspicion_counts(at).1, 199);
    let with_status =
        |status| fleet.running_members().filter(|(_, member)| member.partition_status() == status).count();
    assert_eq!(with_status(PartitionStatus::Majority), 199);
    fleet.start(17);
    fleet.run_until(fleet.now + 20 * SECOND).expect("invariants hold");
    assert_eq!(fleet.view_agreement(), (true, 200));
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut fleet = VirtualFleet::new(6, 11, short_intervals);
        fleet.network =
            Network { loss: 0.2, double: 0.2, damage: 0.02, max_delay: 50_000, no_streams: false };
        fleet.run_until(20 * SECOND).expect("invariants hold");
        (fleet.bytes, fleet.messages, format!("{:?}", fleet.events))
    };
    assert_eq!(run(), run());
}

#[test]
fn a_server_restarted_with_an_earlier_clock_regains_its_name() {
    // The boot id of the new process is earlier than that of the old one.
    let mut fleet = VirtualFleet::new(3, 3, short_intervals);
    run_until_whole(&mut fleet, 20 * SECOND).expect("whole");
    fleet.kill(0);
    fleet.run_until(fleet.now + 8 * SECOND).expect("invariants hold");
    fleet.start_with_boot_id(0, 1_600_000_000_000_000);
    run_until_whole(&mut fleet, 40 * SECOND).expect("whole again");
    let unfenced =
        fleet.events.iter().any(|(_, member, event)| *member == 0 && matches!(event, Event::Unfenced { .. }));
    assert!(unfenced, "it continues with a later boot id");
    let all_others_report_state = |state: MemberState| {
        fleet
            .running_members()
            .skip(1)
            .all(|(_, m)| m.members(fleet.now).iter().any(|v| &*v.name == "m0" && v.state == state))
    };
    assert!(all_others_report_state(MemberState::Present));
}

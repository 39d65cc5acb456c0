use super::*;
use proptest::prelude::*;

fn count(roster: usize, reached: usize, left: usize) -> ReachCount {
    ReachCount { roster, reached, left }
}

fn change(from: PartitionStatus, to: PartitionStatus) -> Option<StatusChange> {
    Some(StatusChange { from, to })
}

#[test]
fn status_follows_from_the_count_alone() {
    let cases = [
        (count(1, 1, 0), PartitionStatus::Whole),
        (count(5, 5, 0), PartitionStatus::Whole),
        (count(5, 3, 2), PartitionStatus::Whole),
        (count(5, 2, 3), PartitionStatus::Minority),
        (count(5, 4, 0), PartitionStatus::Majority),
        (count(5, 3, 0), PartitionStatus::Majority),
        (count(4, 2, 0), PartitionStatus::Minority),
        (count(5, 2, 0), PartitionStatus::Minority),
        (count(5, 1, 0), PartitionStatus::Alone),
        (count(2, 1, 1), PartitionStatus::Alone),
    ];
    for (count, expected) in cases {
        assert_eq!(count.status(), expected, "{count:?}");
    }
}

#[test]
fn downgrades_are_immediate_upgrades_are_delayed_and_a_reset_is_unsure() {
    let timing = Timing::default();
    let mut tracker = PartitionTracker::new(0, timing, 1_200_000);
    assert_eq!(tracker.update(100_000, count(3, 2, 0)), None);
    assert_eq!(
        tracker.update(1_200_000, count(3, 2, 0)),
        change(PartitionStatus::Unsure, PartitionStatus::Majority)
    );
    // An upgrade is adopted only after the delay.
    assert_eq!(tracker.update(2_300_000, count(3, 3, 0)), None);
    assert_eq!(
        tracker.update(2_800_000, count(3, 3, 0)),
        change(PartitionStatus::Majority, PartitionStatus::Whole)
    );
    // A downgrade is adopted once the minimum duration has passed.
    assert_eq!(tracker.update(2_900_000, count(3, 1, 0)), None);
    assert_eq!(
        tracker.update(3_800_000, count(3, 1, 0)),
        change(PartitionStatus::Whole, PartitionStatus::Alone)
    );
    assert_eq!(tracker.upgrade_delay(), 2 * timing.upgrade_delay);
    assert_eq!(tracker.reset(3_900_000, 1_200_000), change(PartitionStatus::Alone, PartitionStatus::Unsure));
    assert_eq!(tracker.update(4_000_000, count(3, 2, 0)), None);
    // An unsure status ends early when every member is reachable.
    assert_eq!(
        tracker.update(4_100_000, count(3, 3, 0)),
        change(PartitionStatus::Unsure, PartitionStatus::Whole)
    );
}

proptest! {
    /// For any sequence of counts, two changes are at least the minimum duration apart, and a status that has
    /// lasted for that long is never better than the current count shows.
    #[test]
    fn changes_are_never_closer_than_the_minimum_status_duration(counts in prop::collection::vec((0u64..700, 1usize..=5), 1..200)) {
        let timing = Timing::default();
        let mut tracker = PartitionTracker::new(0, timing, 1_200_000);
        let (mut now, mut last_change) = (0, None);
        for (ms, reached) in counts {
            now += ms * 1_000;
            if tracker.update(now, count(5, reached, 0)).is_some() {
                if let Some(last_change) = last_change {
                    prop_assert!(now - last_change >= timing.min_status_duration);
                }
                last_change = Some(now);
            }
            let is_past_minimum = now - tracker.since() >= timing.min_status_duration;
            if is_past_minimum && tracker.status() != PartitionStatus::Unsure {
                prop_assert!(tracker.status() <= count(5, reached, 0).status());
            }
        }
    }
}

//! How this server stands in its fleet.
//!
//! A member is *reached* when it was heard directly of late and says that it heard us of late: news by way of others
//! does not count, so that behind a bridge or a one-way cut both ends say the same. The rule is then one of counting;
//! the rest is about not changing one's mind too often.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::Timing;
use crate::Micros;

/// How this server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PartitionStatus {
    /// Just started, or just stood still: nothing is believed before it has been heard again.
    Unsure,
    /// Nobody else is reached.
    Alone,
    /// Half of the roster or less is reached, this server included.
    Minority,
    /// More than half is.
    Majority,
    /// Everyone is, but for those who left.
    Whole,
}

impl fmt::Display for PartitionStatus {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            PartitionStatus::Unsure => "unsure",
            PartitionStatus::Alone => "alone",
            PartitionStatus::Minority => "minority",
            PartitionStatus::Majority => "majority",
            PartitionStatus::Whole => "whole",
        })
    }
}

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachCount {
    /// Members that the operator named, this server included.
    pub roster: usize,
    /// Of these, how many are reached, this server included.
    pub reached: usize,
    /// Of these, how many said that they leave, and are gone.
    pub left: usize,
}

impl ReachCount {
    /// The standing that this would be, taken by itself. A majority is one of all that were named: those who left
    /// may come back.
    pub fn status(self) -> PartitionStatus {
        let most = 2 * self.reached > self.roster;
        match self {
            ReachCount { roster, reached, left } if reached + left >= roster && most => {
                PartitionStatus::Whole
            }
            _ if most => PartitionStatus::Majority,
            ReachCount { reached: 0 | 1, .. } => PartitionStatus::Alone,
            _ => PartitionStatus::Minority,
        }
    }
}

/// The standing over time. A fall is taken up at once, but for [`Timing::damp`]; a rise once it has held for
/// [`Timing::rise`], longer after each fall that follows a rise too soon.
#[derive(Clone, Debug)]
pub struct PartitionTracker {
    timing: Timing,
    standing: PartitionStatus,
    since: Micros,
    /// What it would be now, and since when it would be that or better.
    wanted: (PartitionStatus, Micros),
    /// Rises that were undone too soon, up to three.
    flaps: u32,
    /// Nothing is believed before then, unless everyone was heard.
    unsure_until: Micros,
}

impl PartitionTracker {
    /// Unsure for so long.
    pub fn new(now: Micros, timing: Timing, settle: Micros) -> PartitionTracker {
        PartitionTracker {
            timing,
            standing: PartitionStatus::Unsure,
            since: now,
            wanted: (PartitionStatus::Unsure, now),
            flaps: 0,
            unsure_until: now + settle,
        }
    }

    /// The standing, and since when.
    pub fn get(&self) -> (PartitionStatus, Micros) {
        (self.standing, self.since)
    }

    /// Nothing that was believed before counts: unsure, at once.
    pub fn reset(&mut self, now: Micros, settle: Micros) -> Option<(PartitionStatus, PartitionStatus)> {
        self.unsure_until = now + settle;
        self.wanted = (PartitionStatus::Unsure, now);
        self.take_up(now, PartitionStatus::Unsure)
    }

    /// How long a better standing must hold now.
    pub fn upgrade_delay(&self) -> Micros {
        self.timing.upgrade_delay << self.flaps
    }

    /// Takes a count in; tells a change, from and to.
    pub fn update(&mut self, now: Micros, count: ReachCount) -> Option<(PartitionStatus, PartitionStatus)> {
        let wanted = count.status();
        if now.saturating_sub(self.since) >= self.timing.stable_after {
            self.flaps = 0;
        }
        if wanted != self.wanted.0 {
            // From a better one to a worse one that still is a rise, the time goes on.
            let goes_on = wanted > self.standing && wanted < self.wanted.0;
            self.wanted = (wanted, if goes_on { self.wanted.1 } else { now });
        }
        if self.standing == PartitionStatus::Unsure {
            let settled = now >= self.unsure_until || wanted == PartitionStatus::Whole;
            return if settled { self.take_up(now, wanted) } else { None };
        }
        let apart = now.saturating_sub(self.since);
        let holds = now.saturating_sub(self.wanted.1);
        if wanted < self.standing && apart >= self.timing.min_status_duration {
            self.flaps = (self.flaps + 1).min(3);
            return self.take_up(now, wanted);
        }
        if wanted > self.standing && apart >= self.timing.min_status_duration && holds >= self.upgrade_delay()
        {
            return self.take_up(now, wanted);
        }
        None
    }

    fn take_up(
        &mut self,
        now: Micros,
        standing: PartitionStatus,
    ) -> Option<(PartitionStatus, PartitionStatus)> {
        let before = std::mem::replace(&mut self.standing, standing);
        if before == standing {
            return None;
        }
        self.since = now;
        Some((before, standing))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn count(roster: usize, reached: usize, left: usize) -> ReachCount {
        ReachCount { roster, reached, left }
    }

    #[test]
    fn the_rule_is_one_of_counting() {
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
        for (count, wanted) in cases {
            assert_eq!(count.status(), wanted, "{count:?}");
        }
    }

    #[test]
    fn it_falls_at_once_rises_late_and_is_unsure_after_a_standstill() {
        let timing = Timing::default();
        let mut keeper = PartitionTracker::new(0, timing, 1_200_000);
        assert_eq!(keeper.update(100_000, count(3, 2, 0)), None);
        assert_eq!(
            keeper.update(1_200_000, count(3, 2, 0)),
            Some((PartitionStatus::Unsure, PartitionStatus::Majority))
        );
        // Better: only once it has held.
        assert_eq!(keeper.update(2_300_000, count(3, 3, 0)), None);
        assert_eq!(
            keeper.update(2_800_000, count(3, 3, 0)),
            Some((PartitionStatus::Majority, PartitionStatus::Whole))
        );
        // Worse: at once, but for the damping.
        assert_eq!(keeper.update(2_900_000, count(3, 1, 0)), None);
        assert_eq!(
            keeper.update(3_800_000, count(3, 1, 0)),
            Some((PartitionStatus::Whole, PartitionStatus::Alone))
        );
        assert_eq!(keeper.upgrade_delay(), 2 * timing.upgrade_delay);
        assert_eq!(
            keeper.reset(3_900_000, 1_200_000),
            Some((PartitionStatus::Alone, PartitionStatus::Unsure))
        );
        assert_eq!(keeper.update(4_000_000, count(3, 2, 0)), None);
        // Everyone was heard: nothing to wait for.
        assert_eq!(
            keeper.update(4_100_000, count(3, 3, 0)),
            Some((PartitionStatus::Unsure, PartitionStatus::Whole))
        );
    }

    proptest! {
        /// Whatever is counted, changes are no closer than the damping, and it never claims more than was counted
        /// within that time.
        #[test]
        fn it_never_flaps_faster_than_its_damping(counts in prop::collection::vec((0u64..700, 1usize..=5), 1..200)) {
            let timing = Timing::default();
            let mut keeper = PartitionTracker::new(0, timing, 1_200_000);
            let (mut now, mut last) = (0, None);
            for (ms, reached) in counts {
                now += ms * 1_000;
                if keeper.update(now, count(5, reached, 0)).is_some() {
                    if let Some(last) = last {
                        prop_assert!(now - last >= timing.min_status_duration);
                    }
                    last = Some(now);
                }
                let held = now - keeper.get().1 >= timing.min_status_duration;
                if held && keeper.get().0 != PartitionStatus::Unsure {
                    prop_assert!(keeper.get().0 <= count(5, reached, 0).status());
                }
            }
        }
    }
}

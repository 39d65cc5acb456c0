//! How much of the fleet this server reaches.
//!
//! A member is *reachable* when a recent message came directly from it and it reports that it recently
//! received one from this server. Information relayed by other members does not count, so that both ends of a
//! one-way failure, or of a link that only a third member bridges, come to the same result.
//! [`ReachCount::status`] depends on the counts alone; [`PartitionTracker`] keeps the status from flapping.

#[cfg(test)]
mod tests;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::Timing;
use crate::Micros;

/// How much of the fleet this server reaches, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PartitionStatus {
    /// This process has just started, was stalled or is fenced: members count only once they have been heard
    /// again.
    Unsure,
    /// No other member is reachable.
    Alone,
    /// Half of the roster or less is reachable, this server included.
    Minority,
    /// More than half of the roster is reachable, this server included.
    Majority,
    /// Every member is reachable except those that left.
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

/// The number of members of the roster that are reachable or have left, by direct evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachCount {
    /// Members of the roster, this server included.
    pub roster: usize,
    /// Members of the roster that are reachable, this server included.
    pub reached: usize,
    /// Members of the roster that announced their departure and are gone.
    pub left: usize,
}

impl ReachCount {
    /// The status that follows from this count. A majority is counted against the whole roster, because
    /// members that left may come back.
    pub fn status(self) -> PartitionStatus {
        let ReachCount { roster, reached, left } = self;
        let is_majority = 2 * reached > roster;
        if is_majority && reached + left >= roster {
            PartitionStatus::Whole
        } else if is_majority {
            PartitionStatus::Majority
        } else if reached <= 1 {
            PartitionStatus::Alone
        } else {
            PartitionStatus::Minority
        }
    }
}

/// A change of the partition status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusChange {
    /// The status before.
    pub from: PartitionStatus,
    /// The status now.
    pub to: PartitionStatus,
}

/// A status that the counts show but that has not been adopted yet.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    status: PartitionStatus,
    /// Since when the counts have shown this status or a better one.
    since: Micros,
}

/// The greatest number of downgrades that is counted. Each doubles the delay of the next upgrade.
const MAX_FLAPS: u32 = 3;

/// The partition status over time. Except for changes to and from unsure, two changes are at least
/// [`Timing::min_status_duration`] apart. Within that limit a downgrade is adopted at once, and an upgrade
/// once it has lasted for [`Timing::upgrade_delay`]; this delay doubles with each downgrade, until the status
/// has not changed for [`Timing::stable_after`].
#[derive(Clone, Debug)]
pub struct PartitionTracker {
    timing: Timing,
    status: PartitionStatus,
    since: Micros,
    candidate: Candidate,
    /// Downgrades since the status was last unchanged for [`Timing::stable_after`], up to [`MAX_FLAPS`].
    flaps: u32,
    /// The status stays unsure until this time unless every member is reachable.
    unsure_until: Micros,
}

impl PartitionTracker {
    /// Creates a tracker whose status is unsure for at most `settle`.
    pub fn new(now: Micros, timing: Timing, settle: Micros) -> PartitionTracker {
        PartitionTracker {
            timing,
            status: PartitionStatus::Unsure,
            since: now,
            candidate: Candidate { status: PartitionStatus::Unsure, since: now },
            flaps: 0,
            unsure_until: now + settle,
        }
    }

    /// The current status.
    pub fn status(&self) -> PartitionStatus {
        self.status
    }

    /// When the status last changed.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// Discards all evidence. The status becomes unsure at once and stays so for at most `settle`.
    pub fn reset(&mut self, now: Micros, settle: Micros) -> Option<StatusChange> {
        self.unsure_until = now + settle;
        self.candidate = Candidate { status: PartitionStatus::Unsure, since: now };
        self.set_status(now, PartitionStatus::Unsure)
    }

    /// How long a better status must currently last before it is adopted.
    pub fn upgrade_delay(&self) -> Micros {
        self.timing.upgrade_delay << self.flaps
    }

    /// Updates the status from a new count. Returns the change if the status changed.
    pub fn update(&mut self, now: Micros, count: ReachCount) -> Option<StatusChange> {
        let counted = count.status();
        let unchanged_for = now.saturating_sub(self.since);
        if unchanged_for >= self.timing.stable_after {
            self.flaps = 0;
        }
        self.update_candidate(now, counted);
        if self.status == PartitionStatus::Unsure {
            let settled = now >= self.unsure_until || counted == PartitionStatus::Whole;
            return if settled { self.set_status(now, counted) } else { None };
        }
        if unchanged_for < self.timing.min_status_duration {
            return None;
        }
        if counted < self.status {
            self.flaps = (self.flaps + 1).min(MAX_FLAPS);
            return self.set_status(now, counted);
        }
        let lasted = now.saturating_sub(self.candidate.since);
        if counted > self.status && lasted >= self.upgrade_delay() {
            return self.set_status(now, counted);
        }
        None
    }

    fn update_candidate(&mut self, now: Micros, counted: PartitionStatus) {
        if counted == self.candidate.status {
            return;
        }
        // The delay keeps running when the new candidate is worse than the old one but still an upgrade.
        let still_upgrade = counted > self.status && counted < self.candidate.status;
        let since = if still_upgrade { self.candidate.since } else { now };
        self.candidate = Candidate { status: counted, since };
    }

    fn set_status(&mut self, now: Micros, status: PartitionStatus) -> Option<StatusChange> {
        let from = std::mem::replace(&mut self.status, status);
        if from == status {
            return None;
        }
        self.since = now;
        Some(StatusChange { from, to: status })
    }
}

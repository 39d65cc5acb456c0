//! How much of the fleet this server reaches.
//!
//! A member is *reachable* when it was heard directly of late and says that it heard us of late: news by way of others
//! does not count, so that behind a bridge or a one-way cut both ends come to the same result. [`ReachCount::status`]
//! then goes by counting alone; [`PartitionTracker`] keeps the status from flapping.

#[cfg(test)]
mod tests;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::Timing;
use crate::Micros;

/// How much of the fleet this server reaches. In ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PartitionStatus {
    /// This process has just started, or was stalled: nothing counts before it has been heard again.
    Unsure,
    /// Nobody else is reachable.
    Alone,
    /// Half of the roster or less is reachable, this server included.
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

/// Members of the roster, counted by direct evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachCount {
    /// Members that the operator named, this server included.
    pub roster: usize,
    /// Of these, how many are reachable, this server included.
    pub reached: usize,
    /// Of these, how many have announced their departure, and are gone.
    pub left: usize,
}

impl ReachCount {
    /// The status by this count alone. A majority is one of all that were named: those who left may come back.
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

/// A change of the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusChange {
    /// The status before.
    pub from: PartitionStatus,
    /// The status now.
    pub to: PartitionStatus,
}

/// A status that counts have shown, but that has not been taken up yet.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    status: PartitionStatus,
    /// Since when counts have shown this status or a better one.
    since: Micros,
}

/// Upgrades that were undone too soon and are remembered; each doubles the delay of the next.
const MAX_FLAPS: u32 = 3;

/// The status over time. A downgrade is taken up at once, but for [`Timing::min_status_duration`]; an upgrade once it
/// has lasted for [`Timing::upgrade_delay`], and longer after each downgrade that follows an upgrade too soon.
#[derive(Clone, Debug)]
pub struct PartitionTracker {
    timing: Timing,
    status: PartitionStatus,
    since: Micros,
    candidate: Candidate,
    /// Upgrades that were undone too soon, up to [`MAX_FLAPS`].
    flaps: u32,
    /// The status stays unsure until then, unless everyone is reachable.
    unsure_until: Micros,
}

impl PartitionTracker {
    /// A tracker that is unsure for `settle` at most.
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

    /// The status now.
    pub fn status(&self) -> PartitionStatus {
        self.status
    }

    /// Since when the status has been what it is.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// Drops all evidence: the status is unsure at once, and for `settle` at most.
    pub fn reset(&mut self, now: Micros, settle: Micros) -> Option<StatusChange> {
        self.unsure_until = now + settle;
        self.candidate = Candidate { status: PartitionStatus::Unsure, since: now };
        self.set_status(now, PartitionStatus::Unsure)
    }

    /// For how long a better status must last now before it is taken up.
    pub fn upgrade_delay(&self) -> Micros {
        self.timing.upgrade_delay << self.flaps
    }

    /// Takes a count in.
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
        // From a better candidate to a worse one that still is an upgrade, the time goes on.
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

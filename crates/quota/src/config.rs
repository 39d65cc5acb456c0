//! Configuration of a shared quota: its total, the servers that share it, and its durations.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use crate::{MemberName, Micros};

const MS: Micros = 1_000;

/// A lease lasts long compared with the time to request one (a few ms), and is short compared with an outage.
const DEFAULT_LEASE_DURATION: Micros = 2_000 * MS;
/// On the known sites, the calls of a request have about one second at most.
const DEFAULT_MAX_CALL_DURATION: Micros = 1_000 * MS;
/// Covers connection setup, a full send queue, and a receiver that has to wait for a core.
const DEFAULT_MAX_DELIVERY_DELAY: Micros = 50 * MS;
/// As a fraction. A quartz clock drifts by at most 0.02 %, the clock of a guest that its host slews by at
/// most 0.05 %; this is twenty times that.
const DEFAULT_CLOCK_DRIFT: f64 = 0.01;
/// The largest drift that can be configured, as a fraction.
const MAX_CLOCK_DRIFT: f64 = 0.1;
/// The shortest duration of a lease or a call that can be configured.
const MIN_DURATION: Micros = 20 * MS;
/// The longest duration of a lease or a call that can be configured.
const MAX_DURATION: Micros = 60_000 * MS;

/// The configuration of one quota on one server. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Concurrent calls, from all servers together, that the dependency can serve.
    pub total: u32,
    /// All servers that own a share, including this one.
    pub roster: Vec<MemberName>,
    /// The name of this server.
    pub own_name: MemberName,
    /// Duration of a lease.
    pub lease_duration: Micros,
    /// The longest time that a call can state.
    pub max_call_duration: Micros,
    /// The longest time from sending a call until the dependency starts to count its stated time.
    pub max_delivery_delay: Micros,
    /// The largest error in the rate of a server's clock, as a fraction.
    pub clock_drift: f64,
}

/// A fault in a [`Config`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The roster is empty, names a server twice, or does not name this one.
    #[error("the roster must name each server once, including this one")]
    InvalidRoster,
    /// The total is less than one permit for each server.
    #[error("{total} calls over {servers} servers: each server needs at least one")]
    TotalTooSmall {
        /// The configured total of concurrent calls.
        total: u32,
        /// The number of servers that share it.
        servers: usize,
    },
    /// The duration of a lease or a call is too short or too long.
    #[error("loans and calls must last from 20 ms to one minute")]
    DurationOutOfRange,
    /// The lease is too short for the configured call duration or delivery delay.
    #[error("a loan lasts for a quarter of a call at least, and for four times a delivery")]
    LeaseTooShort,
    /// The clock drift is negative, too large or not a number.
    #[error("the clock drift must be a fraction from 0 to 0.1")]
    ClockDriftOutOfRange,
}

impl Config {
    /// A configuration with the default durations and clock drift.
    pub fn new(total: u32, roster: &[&str], own_name: &str) -> Config {
        Config {
            total,
            roster: roster.iter().map(|name| MemberName::from(*name)).collect(),
            own_name: own_name.into(),
            lease_duration: DEFAULT_LEASE_DURATION,
            max_call_duration: DEFAULT_MAX_CALL_DURATION,
            max_delivery_delay: DEFAULT_MAX_DELIVERY_DELAY,
            clock_drift: DEFAULT_CLOCK_DRIFT,
        }
    }

    /// The number of permits in this server's share.
    pub fn own_share(&self) -> u32 {
        quota_shares(self.total, &self.roster)
            .into_iter()
            .find(|share| share.owner == self.own_name)
            .map_or(0, |share| share.permits)
    }

    /// Lengthens a duration for a server that has to wait for its end, as that server's clock may run fast.
    pub(crate) fn scale_up_for_drift(&self, duration: Micros) -> Micros {
        (duration as f64 * (1.0 + 2.0 * self.clock_drift)).ceil() as Micros
    }

    /// Shortens a duration for a server that must have stopped by its end, as that server's clock may run
    /// slow.
    pub(crate) fn scale_down_for_drift(&self, duration: Micros) -> Micros {
        (duration as f64 * (1.0 - 2.0 * self.clock_drift)) as Micros
    }

    /// How long an earlier process with this name may still use the share, by calls that it started and by
    /// leases that it granted. Calls that a lease serves end before the lease does, so they add nothing.
    pub fn quarantine(&self) -> Micros {
        self.scale_up_for_drift(self.lease_duration + self.max_call_duration + 2 * self.max_delivery_delay)
    }

    /// A text that is equal on two servers if they use the same shares and durations. It is hashed, and
    /// servers of different versions compare the hashes, so its format must not change.
    pub fn basis(&self) -> String {
        let mut roster: Vec<&str> = self.roster.iter().map(|name| &**name).collect();
        roster.sort_unstable();
        let Config { total, lease_duration, max_call_duration, max_delivery_delay, clock_drift, .. } = self;
        format!("{total} {roster:?} {lease_duration} {max_call_duration} {max_delivery_delay} {clock_drift}")
    }

    /// Returns all faults in the configuration; empty if it is valid.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        let distinct: BTreeSet<&MemberName> = self.roster.iter().collect();
        let servers = self.roster.len();
        if servers == 0 || distinct.len() < servers || !distinct.contains(&self.own_name) {
            errors.push(ConfigError::InvalidRoster);
        }
        if (self.total as usize) < servers {
            errors.push(ConfigError::TotalTooSmall { total: self.total, servers });
        }
        let durations = [self.lease_duration, self.max_call_duration];
        if durations.iter().any(|duration| !(MIN_DURATION..=MAX_DURATION).contains(duration)) {
            errors.push(ConfigError::DurationOutOfRange);
        }
        let too_short_for_calls = self.lease_duration < self.max_call_duration / 4;
        let too_short_for_delivery = self.max_delivery_delay > self.lease_duration / 4;
        if too_short_for_calls || too_short_for_delivery {
            errors.push(ConfigError::LeaseTooShort);
        }
        if !(0.0..=MAX_CLOCK_DRIFT).contains(&self.clock_drift) {
            errors.push(ConfigError::ClockDriftOutOfRange);
        }
        errors
    }
}

/// The share of a quota that one server owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaShare {
    /// The name of the server.
    pub owner: MemberName,
    /// The number of permits that it owns.
    pub permits: u32,
}

/// The shares of all servers, in the order of their names. Each gets an equal number of permits; the first
/// servers in that order get one more each until the remainder is used up.
pub fn quota_shares(total: u32, roster: &[MemberName]) -> Vec<QuotaShare> {
    let mut owners: Vec<MemberName> = roster.to_vec();
    owners.sort();
    let count = owners.len().max(1) as u32;
    let (base, remainder) = (total / count, total % count);
    let share = |(owner, index): (MemberName, u32)| QuotaShare {
        owner,
        permits: base + u32::from(index < remainder),
    };
    owners.into_iter().zip(0..).map(share).collect()
}

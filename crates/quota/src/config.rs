//! What is shared, by whom, and by which times.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use crate::{MemberName, Micros};

const MS: Micros = 1_000;

/// A lease is long beside the time to request it (some ms) and short beside an outage.
const DEFAULT_LEASE_DURATION: Micros = 2_000 * MS;
/// Calls of a request have about a second at most on the sites that we know.
const DEFAULT_MAX_CALL_DURATION: Micros = 1_000 * MS;
/// On its way: a connection, a full send queue, a reader that has to wait for a core.
const DEFAULT_MAX_DELIVERY_DELAY: Micros = 50 * MS;
/// Quartz is within 0.02 %, a guest whose clock is slewed by its host within 0.05 %; this is twenty times that.
const DEFAULT_CLOCK_DRIFT: f64 = 0.01;
/// The greatest drift that may be configured.
const MAX_CLOCK_DRIFT: f64 = 0.1;
/// Bounds on the durations of leases and calls.
const MIN_DURATION: Micros = 20 * MS;
const MAX_DURATION: Micros = 60_000 * MS;

/// The configuration of one quota on one server. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Calls at once that the dependency survives from all servers.
    pub total: u32,
    /// All servers that own a share, this one included.
    pub roster: Vec<MemberName>,
    /// This server.
    pub own_name: MemberName,
    /// How long a lease lasts.
    pub lease_duration: Micros,
    /// The longest time that a call may state.
    pub max_call_duration: Micros,
    /// How long a call may be on its way before the dependency begins to count its time.
    pub max_delivery_delay: Micros,
    /// How far the rate of a server's clock may be off, as a fraction.
    pub clock_drift: f64,
}

/// One thing that is wrong with a [`Config`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The roster is empty, names a server twice, or does not name this one.
    #[error("a roster names everyone once, this server too")]
    InvalidRoster,
    /// Some server would own no permit.
    #[error("{total} calls over {servers} servers: each needs a part of one call at least")]
    TotalTooSmall {
        /// Calls at once that are configured.
        total: u32,
        /// Servers that share them.
        servers: usize,
    },
    /// A lease or a call is too short or too long.
    #[error("loans and calls last from 20 ms to a minute")]
    DurationOutOfRange,
    /// The durations of leases, calls and deliveries do not fit each other.
    #[error("a loan lasts for a quarter of a call at least, and for four times a delivery")]
    LeaseTooShort,
    /// The drift is negative, too great or not a number.
    #[error("clocks drift by a share from 0 to 0.1")]
    ClockDriftOutOfRange,
}

impl Config {
    /// A quota with the default times.
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

    /// Permits of this server's share.
    pub fn own_share(&self) -> u32 {
        quota_shares(self.total, &self.roster)
            .into_iter()
            .find(|share| share.owner == self.own_name)
            .map_or(0, |share| share.permits)
    }

    /// A time as the one counts it who has to wait for its end, on a clock that may run fast.
    pub(crate) fn scale_up_for_drift(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 + 2.0 * self.clock_drift)).ceil() as Micros
    }

    /// A time as the one counts it who must have stopped by its end, on a clock that may run slow.
    pub(crate) fn scale_down_for_drift(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 - 2.0 * self.clock_drift)) as Micros
    }

    /// For how long an earlier process under this name may still use the share: by calls that it began, and by its
    /// leases with the calls that they serve, which end before they do.
    pub fn quarantine(&self) -> Micros {
        self.scale_up_for_drift(self.lease_duration + self.max_call_duration + 2 * self.max_delivery_delay)
    }

    /// A text by which two servers can tell whether they go by the same shares. It is hashed, and the hashes are
    /// compared between servers of different versions: its form must not change.
    pub fn basis(&self) -> String {
        let mut roster: Vec<&str> = self.roster.iter().map(|name| &**name).collect();
        roster.sort_unstable();
        let Config { total, lease_duration, max_call_duration, max_delivery_delay, clock_drift, .. } = self;
        format!("{total} {roster:?} {lease_duration} {max_call_duration} {max_delivery_delay} {clock_drift}")
    }

    /// All that is wrong with the configuration.
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
        let short_beside_call = self.lease_duration < self.max_call_duration / 4;
        let short_beside_delivery = self.max_delivery_delay > self.lease_duration / 4;
        if short_beside_call || short_beside_delivery {
            errors.push(ConfigError::LeaseTooShort);
        }
        if !(0.0..=MAX_CLOCK_DRIFT).contains(&self.clock_drift) {
            errors.push(ConfigError::ClockDriftOutOfRange);
        }
        errors
    }
}

/// What one server owns of a quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaShare {
    /// The server.
    pub owner: MemberName,
    /// Its permits.
    pub permits: u32,
}

/// The shares of all servers: the same for all, and the rest by the order of names.
pub fn quota_shares(total: u32, roster: &[MemberName]) -> Vec<QuotaShare> {
    let mut owners: Vec<MemberName> = roster.to_vec();
    owners.sort();
    let count = owners.len().max(1) as u32;
    let (each, rest) = (total / count, total % count);
    let share =
        |(owner, place): (MemberName, u32)| QuotaShare { owner, permits: each + u32::from(place < rest) };
    owners.into_iter().zip(0..).map(share).collect()
}

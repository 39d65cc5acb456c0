//! Configuration of a replica.

use std::fmt;

use thiserror::Error;
use umberloom_membership::MemberName;

use crate::Micros;

/// Range of election timeouts that can be configured.
const ELECTION_TIMEOUTS: std::ops::RangeInclusive<Micros> = 100_000..=60_000_000;

/// Configuration of one server's replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This server's name.
    pub me: MemberName,
    /// This server's zone. Voters are spread over zones.
    pub zone: MemberName,
    /// All other members of the fleet.
    pub peers: Vec<MemberName>,
    /// Number of voters: 3 or 5 (1 for a trial).
    pub voters: usize,
    /// Silence after which a new leader is elected, in microseconds.
    pub election_timeout: Micros,
    /// Silence after which a voter is replaced, in microseconds.
    pub replace_after: Micros,
    /// Maximum rate at which this server fetches a snapshot, in bytes per second.
    pub catch_up_bytes_per_second: u64,
}

impl Config {
    /// A configuration with three voters and timeouts for a network with a latency of a few milliseconds.
    pub fn new(me: &str, peers: &[&str]) -> Config {
        Config {
            me: me.into(),
            zone: "".into(),
            peers: peers.iter().map(|peer| MemberName::from(*peer)).collect(),
            voters: 3,
            election_timeout: 1_000_000,
            replace_after: 30_000_000,
            catch_up_bytes_per_second: 8 << 20,
        }
    }

    /// All errors in this configuration; empty if it is valid.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        let servers = self.peers.len() + 1;
        if ![1, 3, 5].contains(&self.voters) {
            errors.push(ConfigError::UnsupportedVoters { voters: self.voters });
        }
        if self.voters > servers {
            errors.push(ConfigError::MoreVotersThanServers { voters: self.voters, servers });
        }
        if !ELECTION_TIMEOUTS.contains(&self.election_timeout) {
            errors.push(ConfigError::ElectionTimeout { timeout_ms: self.election_timeout / 1_000 });
        }
        if self.replace_after < 3 * self.election_timeout {
            errors.push(ConfigError::ReplaceAfterTooShort);
        }
        errors
    }
}

/// One error in a [`Config`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The number of voters is not supported.
    #[error("found {voters} voters, expected 3 or 5 (1 for a trial)")]
    UnsupportedVoters {
        /// The configured number.
        voters: usize,
    },
    /// The fleet has fewer servers than voters.
    #[error("found {voters} voters, expected one for each of {servers}")]
    MoreVotersThanServers {
        /// The configured number of voters.
        voters: usize,
        /// Number of servers in the fleet, this one included.
        servers: usize,
    },
    /// The election timeout is out of range.
    #[error("found an election of {timeout_ms} ms, expected 100 to 60000")]
    ElectionTimeout {
        /// The configured timeout in milliseconds.
        timeout_ms: u64,
    },
    /// A voter would be replaced before a leader can be elected.
    #[error("a voter is replaced after three elections at least, so that a leader can be found")]
    ReplaceAfterTooShort,
}

/// All errors in a [`Config`] that is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct InvalidConfig(pub Vec<ConfigError>);

impl fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let errors: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&errors.join("; "))
    }
}

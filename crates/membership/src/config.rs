//! What a server is configured with, and what is wrong with it.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use crate::identity::MemberName;
use crate::Micros;

/// The most members that a roster names: what fits into a datagram's updates and the descriptors of one process.
pub const MAX_PEERS: usize = 1_024;
/// The longest name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

const MS: Micros = 1_000;
/// The shortest interval that [`Timing`] may name, but for those that may be 0.
const MIN_INTERVAL: Micros = 20 * MS;
/// The longest delay that [`Timing`] may name.
const MAX_DELAY: Micros = 3_600_000 * MS;
/// Heartbeats to all peers take so much for each peer at least.
const HEARTBEAT_INTERVAL_PER_PEER: Micros = 15 * MS;
/// Evidence counts for so many heartbeats: all but one may be lost.
const HEARTBEATS_PER_EVIDENCE_TIMEOUT: Micros = 3;

/// Another server that belongs to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: MemberName,
    /// The zone that it stands in.
    pub zone: MemberName,
}

/// Time limits and intervals, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// One member is probed in each such interval; a probe that brings no answer by its end makes a suspicion.
    pub probe_interval: Micros,
    /// From a suspicion to holding the member for failed, for a fleet of up to ten; more takes longer.
    pub suspicion_timeout: Micros,
    /// Between two heartbeats to the same member, in small fleets; see [`Config::heartbeat_interval`].
    pub heartbeat_interval: Micros,
    /// A better partition status must last for so long before it is taken up. The delay doubles with each downgrade
    /// within [`Timing::stable_after`] of the upgrade before, up to eight times that.
    pub upgrade_delay: Micros,
    /// Two changes of the partition status are at least so far apart, but for becoming unsure.
    pub min_status_duration: Micros,
    /// A partition status that lasted for so long makes up for past flapping.
    pub stable_after: Micros,
    /// Two living members whose views differ for so long have diverged.
    pub divergence_timeout: Micros,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe_interval: 500 * MS,
            suspicion_timeout: 1_500 * MS,
            heartbeat_interval: 400 * MS,
            upgrade_delay: 500 * MS,
            min_status_duration: 1_000 * MS,
            stable_after: 20_000 * MS,
            divergence_timeout: 5_000 * MS,
        }
    }
}

/// The configuration of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The fleet's name.
    pub fleet: String,
    /// A secret that only members know; empty is allowed, and then the name alone keeps fleets apart.
    pub secret: String,
    /// This server's name.
    pub name: MemberName,
    /// Its zone.
    pub zone: MemberName,
    /// The others.
    pub peers: Vec<Peer>,
    /// Time limits and intervals.
    pub timing: Timing,
}

/// One thing that is wrong with a [`Config`]. Peers are named by their index.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The name of the fleet or of this server is empty or too long.
    #[error("names of the fleet and of this server have 1 to {} bytes", MAX_NAME_LEN)]
    OwnNameLength,
    /// The name of a peer is empty or too long.
    #[error("a peer's name has 1 to {} bytes", MAX_NAME_LEN)]
    PeerNameLength {
        /// The peer.
        peer: usize,
    },
    /// This server is one of its own peers.
    #[error("the peer {name:?} is this server itself")]
    PeerIsSelf {
        /// The peer.
        peer: usize,
        /// Its name.
        name: MemberName,
    },
    /// Two peers have one name.
    #[error("a second peer {name:?}; each has a name of its own")]
    DuplicatePeer {
        /// The second of them.
        peer: usize,
        /// The name of both.
        name: MemberName,
    },
    /// More than [`MAX_PEERS`].
    #[error("{count} peers, at most {}", MAX_PEERS)]
    TooManyPeers {
        /// Peers that are configured.
        count: usize,
    },
    /// An interval is too short.
    #[error("{setting} of {value_ms} ms, at least 20 are expected")]
    IntervalTooShort {
        /// The setting, as the operator's file has it.
        setting: &'static str,
        /// Its value in milliseconds.
        value_ms: u64,
    },
    /// A suspicion ends before it can be refuted.
    #[error("a suspicion must last for a probe at least, so that it can be refuted")]
    SuspicionTooShort,
    /// A delay is longer than an hour.
    #[error("times are up to an hour")]
    DelayTooLong,
}

impl ConfigError {
    /// The index of the peer that it is about, if it is about one.
    pub fn peer_index(&self) -> Option<usize> {
        match self {
            ConfigError::PeerNameLength { peer }
            | ConfigError::PeerIsSelf { peer, .. }
            | ConfigError::DuplicatePeer { peer, .. } => Some(*peer),
            // The first one that is too many.
            ConfigError::TooManyPeers { .. } => Some(MAX_PEERS),
            _ => None,
        }
    }
}

impl Config {
    /// A fleet in one zone, without a secret.
    pub fn new(fleet: &str, name: &str, others: &[&str]) -> Config {
        let peer = |other: &&str| Peer { name: MemberName::from(*other), zone: MemberName::from("") };
        Config {
            fleet: fleet.to_owned(),
            secret: String::new(),
            name: name.into(),
            zone: "".into(),
            peers: others.iter().map(peer).collect(),
            timing: Timing::default(),
        }
    }

    /// Members that the operator named, this server included.
    pub fn roster_size(&self) -> usize {
        self.peers.len() + 1
    }

    /// The time between two heartbeats to one member. With many members each gets fewer, so that bytes do not grow
    /// with the square of their number: 15 ms a member keeps 300 of them under 70 messages of some 110 bytes a second.
    pub fn heartbeat_interval(&self) -> Micros {
        self.timing.heartbeat_interval.max(HEARTBEAT_INTERVAL_PER_PEER * self.peers.len() as Micros)
    }

    /// Evidence older than this does not count any more.
    pub fn evidence_timeout(&self) -> Micros {
        HEARTBEATS_PER_EVIDENCE_TIMEOUT * self.heartbeat_interval()
    }

    /// From suspicion to failed: grows with the logarithm of the fleet, as news of it takes as many rounds (SWIM,
    /// 4.2).
    pub fn suspicion_timeout(&self) -> Micros {
        let factor = ((self.roster_size() as f64).log10()).max(1.0);
        (self.timing.suspicion_timeout as f64 * factor) as Micros
    }

    /// All that is wrong with the configuration.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        if !is_valid_name(&self.fleet) || !is_valid_name(&self.name) {
            errors.push(ConfigError::OwnNameLength);
        }
        self.validate_peers(&mut errors);
        self.timing.validate(&mut errors);
        errors
    }

    fn validate_peers(&self, errors: &mut Vec<ConfigError>) {
        let mut names = BTreeSet::from([&self.name]);
        for (index, peer) in self.peers.iter().enumerate() {
            let name = peer.name.clone();
            if !is_valid_name(&name) {
                errors.push(ConfigError::PeerNameLength { peer: index });
            } else if name == self.name {
                errors.push(ConfigError::PeerIsSelf { peer: index, name });
            } else if !names.insert(&peer.name) {
                errors.push(ConfigError::DuplicatePeer { peer: index, name });
            }
        }
        if self.peers.len() > MAX_PEERS {
            errors.push(ConfigError::TooManyPeers { count: self.peers.len() });
        }
    }
}

impl Timing {
    fn validate(&self, errors: &mut Vec<ConfigError>) {
        let intervals = [
            ("probe", self.probe_interval),
            ("suspect", self.suspicion_timeout),
            ("beat", self.heartbeat_interval),
            ("damp", self.min_status_duration),
        ];
        for (setting, value) in intervals {
            if value < MIN_INTERVAL {
                errors.push(ConfigError::IntervalTooShort { setting, value_ms: value / MS });
            }
        }
        if self.suspicion_timeout < self.probe_interval {
            errors.push(ConfigError::SuspicionTooShort);
        }
        let delays = [self.upgrade_delay, self.stable_after, self.divergence_timeout];
        if delays.iter().any(|delay| *delay > MAX_DELAY) {
            errors.push(ConfigError::DelayTooLong);
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_LEN).contains(&name.len())
}

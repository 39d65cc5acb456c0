//! The configuration of a member and its validation.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use crate::identity::MemberName;
use crate::Micros;

/// The most peers in a roster, limited by the updates that fit into a datagram and by the file descriptors of
/// a process.
pub const MAX_PEERS: usize = 1_024;
/// The greatest length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// One millisecond.
const MS: Micros = 1_000;
/// The shortest value of a [`Timing`] setting that may not be 0.
const MIN_INTERVAL: Micros = 20 * MS;
/// The longest delay of a [`Timing`] setting.
const MAX_DELAY: Micros = 3_600_000 * MS;
/// The heartbeat interval is at least this time multiplied by the number of peers.
const HEARTBEAT_INTERVAL_PER_PEER: Micros = 15 * MS;
/// Evidence is valid for this many heartbeat intervals, so that all heartbeats but one may be lost.
const HEARTBEATS_PER_EVIDENCE_TIMEOUT: u64 = 3;

/// Another server that belongs to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The peer's name.
    pub name: MemberName,
    /// The zone in which the peer runs.
    pub zone: MemberName,
}

/// Time limits and intervals, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// One member is probed in each interval. If the probe is unanswered at its end, the member is suspected.
    pub probe_interval: Micros,
    /// The time from a suspicion until the member is considered failed, in a fleet of up to ten. It is longer
    /// in larger fleets, see [`Config::suspicion_timeout`].
    pub suspicion_timeout: Micros,
    /// The time between two heartbeats to the same member in a small fleet; see
    /// [`Config::heartbeat_interval`].
    pub heartbeat_interval: Micros,
    /// How long a better partition status must last before it is adopted. The delay doubles with each
    /// downgrade, up to eight times this value, and is reset after [`Timing::stable_after`].
    pub upgrade_delay: Micros,
    /// The least time between two changes of the partition status. Changes to and from unsure are exempt.
    pub min_status_duration: Micros,
    /// Once a partition status has lasted this long, the upgrade delay returns to its initial value.
    pub stable_after: Micros,
    /// Two live members whose views differ for this long have diverged.
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
    /// The name of the fleet.
    pub fleet: String,
    /// A secret shared by the members. It may be empty; then only the fleet's name keeps fleets apart.
    pub secret: String,
    /// The name of this server.
    pub name: MemberName,
    /// The zone in which this server runs.
    pub zone: MemberName,
    /// The other members of the fleet.
    pub peers: Vec<Peer>,
    /// Time limits and intervals.
    pub timing: Timing,
}

/// An error in a [`Config`]. Peers are identified by their index.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The name of the fleet or of this server is empty or too long.
    #[error("the names of the fleet and of this server must have 1 to {} bytes", MAX_NAME_LEN)]
    OwnNameLength,
    /// The name of a peer is empty or too long.
    #[error("the name of a peer must have 1 to {} bytes", MAX_NAME_LEN)]
    PeerNameLength {
        /// Index of the peer.
        peer: usize,
    },
    /// This server is one of its own peers.
    #[error("the peer {name:?} is this server itself")]
    PeerIsSelf {
        /// Index of the peer.
        peer: usize,
        /// The name of the peer.
        name: MemberName,
    },
    /// Two peers have the same name.
    #[error("a second peer {name:?}; each has a name of its own")]
    DuplicatePeer {
        /// Index of the second of them.
        peer: usize,
        /// The name of both.
        name: MemberName,
    },
    /// There are more than [`MAX_PEERS`] peers.
    #[error("{count} peers are configured, at most {} are allowed", MAX_PEERS)]
    TooManyPeers {
        /// The number of configured peers.
        count: usize,
    },
    /// An interval is too short.
    #[error("{setting}-ms is {value_ms}, expected at least 20")]
    IntervalTooShort {
        /// The name of the setting in the operator's configuration, without its `-ms`.
        setting: &'static str,
        /// Its value in milliseconds.
        value_ms: u64,
    },
    /// The suspicion timeout is too short for a suspicion to be refuted.
    #[error("the suspicion timeout must be at least one probe interval, so that a suspicion can be refuted")]
    SuspicionTooShort,
    /// A delay is longer than an hour.
    #[error("delays must not exceed one hour")]
    DelayTooLong,
}

impl ConfigError {
    /// The index of the peer that the error concerns, if any.
    pub fn peer_index(&self) -> Option<usize> {
        match self {
            ConfigError::PeerNameLength { peer }
            | ConfigError::PeerIsSelf { peer, .. }
            | ConfigError::DuplicatePeer { peer, .. } => Some(*peer),
            // The first peer beyond the limit.
            ConfigError::TooManyPeers { .. } => Some(MAX_PEERS),
            _ => None,
        }
    }
}

impl Config {
    /// Creates the configuration of a fleet without a secret, with all members in the same unnamed zone.
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

    /// The number of members of the roster, this server included.
    pub fn roster_size(&self) -> usize {
        self.peers.len() + 1
    }

    /// The time between two heartbeats to one member. It grows with the fleet, as otherwise traffic would
    /// grow with the square of the number of members: at 15 ms per member, each of 300 members sends fewer
    /// than 70 messages of about 110 bytes per second.
    pub fn heartbeat_interval(&self) -> Micros {
        self.timing.heartbeat_interval.max(HEARTBEAT_INTERVAL_PER_PEER * self.peers.len() as Micros)
    }

    /// The age beyond which evidence is no longer valid.
    pub fn evidence_timeout(&self) -> Micros {
        HEARTBEATS_PER_EVIDENCE_TIMEOUT * self.heartbeat_interval()
    }

    /// The time from a suspicion until the member is considered failed. It grows with the logarithm of the
    /// fleet size, as does the number of gossip rounds that spread the suspicion (SWIM, 4.2).
    pub fn suspicion_timeout(&self) -> Micros {
        let factor = ((self.roster_size() as f64).log10()).max(1.0);
        (self.timing.suspicion_timeout as f64 * factor) as Micros
    }

    /// Returns all errors in the configuration.
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

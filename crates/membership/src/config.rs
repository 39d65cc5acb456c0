//! What a server is told of its fleet, and what is wrong with it.

use std::collections::BTreeSet;

use crate::identity::MemberName;
use crate::Micros;

/// The most members that a roster names: what fits into a datagram's updates and the descriptors of one process.
pub const MAX_PEERS: usize = 1_024;
/// The longest name.
pub const MAX_NAME_LEN: usize = 64;

/// Another server that belongs to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: MemberName,
    /// The zone that it stands in.
    pub zone: MemberName,
}

/// The times that the beliefs go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// One member is probed in each such span; a probe that brings no answer by its end makes a suspicion.
    pub probe_interval: Micros,
    /// From a suspicion to holding the member for failed, for a fleet of up to ten; more takes longer.
    pub suspicion_timeout: Micros,
    /// Between two beats to the same member, in fleets of up to 60; beyond that so many that all take 15 ms each.
    pub heartbeat_interval: Micros,
    /// A better standing must hold for so long before it is taken up. It doubles with each return within
    /// [`Timing::calm`] of the fall before, up to eight times that.
    pub upgrade_delay: Micros,
    /// Two changes of standing are at least so far apart, but for becoming unsure.
    pub min_status_duration: Micros,
    /// A standing that held for so long makes up for past flapping.
    pub stable_after: Micros,
    /// Two living members whose views differ for so long are in disagreement.
    pub divergence_timeout: Micros,
}

const MS: Micros = 1_000;

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

/// Everything that a server is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The fleet's name.
    pub fleet: String,
    /// What only members know; empty is allowed, and then the name alone keeps fleets apart.
    pub secret: String,
    /// This server's name.
    pub name: MemberName,
    /// Its zone.
    pub zone: MemberName,
    /// The others.
    pub peers: Vec<Peer>,
    /// Times.
    pub timing: Timing,
}

/// One thing that is wrong: with the peer at this place, or with the whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The peer, by its place.
    pub peer: Option<usize>,
    /// What was found and what was expected.
    pub what: String,
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

    /// The time between two beats to one member. With many members each is told more seldom, so that bytes do not
    /// grow with their square: 15 ms a member keeps 300 of them under 70 messages of some 110 bytes a second.
    pub fn heartbeat_interval(&self) -> Micros {
        self.timing.heartbeat_interval.max(15 * MS * self.peers.len() as Micros)
    }

    /// Evidence older than this counts no more: three beats, of which two may be lost.
    pub fn evidence_timeout(&self) -> Micros {
        3 * self.heartbeat_interval()
    }

    /// From suspicion to failed: grows with the logarithm of the fleet, as news of it takes as many rounds (SWIM,
    /// 4.2).
    pub fn suspicion_timeout(&self) -> Micros {
        let factor = ((self.roster_size() as f64).log10()).max(1.0);
        (self.timing.suspicion_timeout as f64 * factor) as Micros
    }

    /// All that is wrong with it.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        let mut say = |peer, what: String| found.push(ConfigError { peer, what });
        let named = |name: &str| (1..=MAX_NAME_LEN).contains(&name.len());
        if !named(&self.fleet) || !named(&self.name) {
            say(None, format!("names of the fleet and of this server have 1 to {MAX_NAME_LEN} bytes"));
        }
        let mut names = BTreeSet::from([&self.name]);
        for (place, peer) in self.peers.iter().enumerate() {
            if !named(&peer.name) {
                say(Some(place), format!("a peer's name has 1 to {MAX_NAME_LEN} bytes"));
            } else if peer.name == self.name {
                say(Some(place), format!("the peer {:?} is this server itself", peer.name));
            } else if !names.insert(&peer.name) {
                say(Some(place), format!("a second peer {:?}; each has a name of its own", peer.name));
            }
        }
        if self.peers.len() > MAX_PEERS {
            say(Some(MAX_PEERS), format!("{} peers, at most {MAX_PEERS}", self.peers.len()));
        }
        let Timing {
            probe_interval: probe,
            suspicion_timeout: suspect,
            heartbeat_interval: beat,
            upgrade_delay: rise,
            min_status_duration: damp,
            stable_after: calm,
            divergence_timeout: disagree,
        } = self.timing;
        let times = [("probe", probe), ("suspect", suspect), ("beat", beat), ("damp", damp)];
        for (name, time) in times.into_iter().filter(|(_, time)| *time < 20 * MS) {
            say(None, format!("{name} of {} ms, at least 20 are expected", time / MS));
        }
        if suspect < probe {
            say(None, "a suspicion must last for a probe at least, so that it can be refuted".to_owned());
        }
        if [rise, calm, disagree].iter().any(|time| *time > 3_600_000 * MS) {
            say(None, "times are up to an hour".to_owned());
        }
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_makes_no_sense_is_told_by_its_place() {
        let told = |config: &Config| -> Vec<(Option<usize>, String)> {
            config.validate().into_iter().map(|m| (m.peer, m.what)).collect()
        };
        let sound = Config::new("f", "a", &["b", "c"]);
        assert_eq!(told(&sound), []);
        let cases: [(Config, Option<usize>, &str); 5] = [
            (Config::new("f", "a", &["b", "a"]), Some(1), "itself"),
            (Config::new("f", "a", &["b", "b"]), Some(1), "second"),
            (Config::new("", "a", &["b"]), None, "1 to 64"),
            (Config::new("f", "a", &[""]), Some(0), "1 to 64"),
            (
                Config {
                    timing: Timing { suspicion_timeout: 100 * MS, ..Timing::default() },
                    ..sound.clone()
                },
                None,
                "refuted",
            ),
        ];
        for (config, at, part) in cases {
            let found = told(&config);
            assert!(found.iter().any(|(p, w)| *p == at && w.contains(part)), "{found:?} for {part}");
        }
        let many: Vec<String> = (0..=MAX_PEERS).map(|n| format!("m{n}")).collect();
        let many: Vec<&str> = many.iter().map(String::as_str).collect();
        assert!(!told(&Config::new("f", "a", &many)).is_empty());
    }

    #[test]
    fn times_grow_with_the_fleet() {
        let few = Config::new("f", "a", &["b", "c"]);
        let many: Vec<String> = (0..299).map(|n| format!("m{n}")).collect();
        let many = Config::new("f", "a", &many.iter().map(String::as_str).collect::<Vec<_>>());
        assert_eq!((few.heartbeat_interval(), few.evidence_timeout()), (400_000, 1_200_000));
        assert_eq!(many.heartbeat_interval(), 299 * 15_000);
        assert!(many.suspicion_timeout() > 2 * few.suspicion_timeout());
    }
}

//! What is shared, by whom, and by which times.

use crate::{MemberName, Micros};

const MS: Micros = 1_000;

/// One allowance.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Calls at once that the dependency survives from all servers.
    pub total: u32,
    /// Everyone who has a part, this server included.
    pub roster: Vec<MemberName>,
    /// This server.
    pub own_name: MemberName,
    /// How long a loan lasts.
    pub lease: Micros,
    /// The longest time that a call may state.
    pub max_call: Micros,
    /// How long a call may be on its way before the dependency begins to count its time.
    pub max_delivery: Micros,
    /// How far the rate of a server's clock may be off, as a share.
    pub clock_drift: f64,
}

/// A loan is long beside the time to ask for it (some ms) and short beside an outage.
const LOAN: Micros = 2_000 * MS;
/// Calls of a run have about a second at most on the sites that we know.
const CALL: Micros = 1_000 * MS;
/// On its way: a connection, a full send queue, a reader that has to wait for a core.
const DELIVERY: Micros = 50 * MS;
/// Quartz is within 0.02 %, a guest whose clock is slewed by its host within 0.05 %; this is twenty times that.
const DRIFT: f64 = 0.01;

impl Config {
    /// An allowance with the usual times.
    pub fn new(total: u32, roster: &[&str], me: &str) -> Config {
        let roster = roster.iter().map(|name| MemberName::from(*name)).collect();
        Config {
            total,
            roster,
            own_name: me.into(),
            lease: LOAN,
            max_call: CALL,
            max_delivery: DELIVERY,
            clock_drift: DRIFT,
        }
    }

    /// This server's part.
    pub fn own_share(&self) -> u32 {
        quota_shares(self.total, &self.roster)
            .into_iter()
            .find(|(name, _)| *name == self.own_name)
            .map_or(0, |(_, part)| part)
    }

    /// A time as the holder of what it bounds counts it on a clock that may run fast.
    pub(crate) fn scale_up_for_drift(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 + 2.0 * self.clock_drift)).ceil() as Micros
    }

    /// The same for the one who must have stopped by then, on a clock that may run slow.
    pub(crate) fn scale_down_for_drift(&self, span: Micros) -> Micros {
        (span as f64 * (1.0 - 2.0 * self.clock_drift)) as Micros
    }

    /// What an earlier process under this name may still be using: calls that it began, and its loans with the calls
    /// that they serve, which end before they do.
    pub fn quarantine(&self) -> Micros {
        self.scale_up_for_drift(self.lease + self.max_call + 2 * self.max_delivery)
    }

    /// By which two servers can tell whether they go by the same parts.
    pub fn basis(&self) -> String {
        let mut roster: Vec<&str> = self.roster.iter().map(|name| &**name).collect();
        roster.sort_unstable();
        format!(
            "{} {:?} {} {} {} {}",
            self.total, roster, self.lease, self.max_call, self.max_delivery, self.clock_drift
        )
    }

    /// All that is wrong with it.
    pub fn validate(&self) -> Vec<String> {
        let mut found = Vec::new();
        let sorted: std::collections::BTreeSet<&MemberName> = self.roster.iter().collect();
        if self.roster.is_empty() || sorted.len() < self.roster.len() || !sorted.contains(&self.own_name) {
            found.push("a roster names everyone once, this server too".to_owned());
        }
        if (self.total as usize) < self.roster.len() {
            let (whole, all) = (self.total, self.roster.len());
            found.push(format!("{whole} calls over {all} servers: each needs a part of one call at least"));
        }
        let times = [self.lease, self.max_call];
        if times.iter().any(|time| !(20 * MS..=60_000 * MS).contains(time)) {
            found.push("loans and calls last from 20 ms to a minute".to_owned());
        }
        if self.lease < self.max_call / 4 || self.max_delivery > self.lease / 4 {
            found.push(
                "a loan lasts for a quarter of a call at least, and for four times a delivery".to_owned(),
            );
        }
        if !(0.0..=0.1).contains(&self.clock_drift) {
            found.push("clocks drift by a share from 0 to 0.1".to_owned());
        }
        found
    }
}

/// Everyone's part: the same for all, the rest by the order of names.
pub fn quota_shares(whole: u32, roster: &[MemberName]) -> Vec<(MemberName, u32)> {
    let mut names: Vec<MemberName> = roster.to_vec();
    names.sort();
    let count = names.len().max(1) as u32;
    let (each, rest) = (whole / count, whole % count);
    names.into_iter().zip(0..).map(|(name, place)| (name, each + u32::from(place < rest))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_add_up_to_the_whole_and_do_not_depend_on_the_order() {
        for whole in 3..40 {
            let (one, other) = (["c", "a", "b"].map(MemberName::from), ["b", "c", "a"].map(MemberName::from));
            assert_eq!(quota_shares(whole, &one), quota_shares(whole, &other));
            assert_eq!(quota_shares(whole, &one).iter().map(|(_, part)| part).sum::<u32>(), whole);
        }
    }

    #[test]
    fn what_makes_no_sense_is_told() {
        let sound = Config::new(10, &["a", "b"], "a");
        assert!(sound.validate().is_empty());
        let cases = [
            Config::new(10, &["a", "a"], "a"),
            Config::new(10, &["a", "b"], "c"),
            Config::new(1, &["a", "b"], "a"),
            Config { lease: 1, ..sound.clone() },
            Config { max_delivery: 1_900_000, ..sound.clone() },
            Config { clock_drift: f64::NAN, ..sound.clone() },
        ];
        for config in cases {
            assert!(!config.validate().is_empty(), "{config:?}");
        }
    }
}

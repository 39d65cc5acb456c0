//! The fleet's part in a process's life: what fits, what may change, what the server says it is made of.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use async_channel::{bounded, Sender};
use async_executor::LocalExecutor;
use slog::Logger;
use umberloom::interface::Settings;
use umberloom_membership::wire::{digest, BuildInfo};
use umberloom_operator_config::{Fleet as Told, Operator, Record};

use super::config::Config;
use super::PEERS_SHARE;
use crate::memory::budget::Budget;
use crate::messages::fleet::{FleetCommand, FleetConfig};
use crate::messages::AdmissionMessage;
use crate::peers::fleet::{descriptor_count, memory_bytes, FleetActor, FleetSockets, MAILBOX_CAPACITY};

/// Part of the descriptors, and of the memory that peers may take, that a fleet may have at most: one in so many.
const PART: usize = 4;

/// A fleet's actor, and what it was told.
pub struct Running {
    /// Its mailbox.
    pub orders: Sender<FleetCommand>,
    /// What the file said.
    pub told: Told,
}

/// What does not fit into the platform's limits, with its place in the file.
pub fn misfit(told: &Told, config: &Config) -> Option<String> {
    let peers = told.membership.peers.len();
    let (line, column) = told.place;
    let (asked, most) = (descriptor_count(peers), config.limits.sockets / PART);
    if asked > most {
        return Some(format!(
            "{line}:{column}: found {peers} peers, which take {asked} descriptors, expected {most} at most under \
             this limit of sockets"
        ));
    }
    let (asked, most) =
        (memory_bytes(peers, told.record.is_some()) >> 10, (config.limits.memory / PEERS_SHARE / PART) >> 10);
    if asked > most {
        return Some(format!(
            "{line}:{column}: found {peers} peers, which take {asked} kb, expected {most} at most under this \
             memory limit"
        ));
    }
    (told.listen == config.listen)
        .then(|| format!("{line}:{column}: found listen {}, where balancers connect", told.listen))
}

/// What the server says that it is made of. Files of two servers differ in names and addresses, which are left out.
pub fn about(config: &Config, operator: &Operator) -> BuildInfo {
    let settings = Settings { seed: 0, starts_cold: false, ..config.settings.clone() };
    let wanted = (&operator.dependencies, &operator.services);
    let shares = operator.fleet.as_ref().map_or_else(String::new, Told::basis);
    BuildInfo {
        zone: String::new(),
        program: env!("CARGO_PKG_VERSION").to_owned(),
        config: digest(&format!("{settings:?}")),
        operator: digest(&format!("{wanted:?} {shares}")),
        shares: if shares.is_empty() { 0 } else { digest(&shares) },
    }
}

/// Starts the actor.
#[allow(clippy::too_many_arguments)]
pub fn start<'a>(
    executor: &Rc<LocalExecutor<'a>>,
    sockets: FleetSockets,
    told: Told,
    about: BuildInfo,
    seed: u64,
    module: &Sender<AdmissionMessage>,
    budget: &Budget,
    log: &Logger,
) -> Result<Running, String> {
    let (orders, taken) = bounded(MAILBOX_CAPACITY);
    let bytes = memory_bytes(told.membership.peers.len(), told.record.is_some());
    let charge =
        budget.take(bytes).ok_or_else(|| format!("no memory for {bytes} bytes of the fleet's streams"))?;
    // The start by the system's own clock: a later process under this name has a later one, whatever ours does.
    let boot = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_micros() as u64);
    let config = FleetConfig {
        membership: told.membership.clone(),
        peer_addresses: told.addresses.clone(),
        build_info: about,
        replicated_store: told.record.clone(),
    };
    let (own, log) = (executor.clone(), log.clone());
    let fleet = FleetActor::new(own, sockets, config, (boot, seed), taken, module.clone(), charge, log)?;
    executor.spawn(fleet.run()).detach();
    Ok(Running { orders, told })
}

/// Whether a running program can go over to this: peers and what is shared may change; that there is a fleet, its
/// name, secret, times and address may not.
pub fn can_become(before: Option<&Told>, after: Option<&Told>) -> Result<(), String> {
    let (Some(old), Some(new)) = (before, after) else {
        return match (before, after) {
            (None, Some(new)) => {
                Err(format!(":{}:{}: found a fleet, which needs a new start", new.place.0, new.place.1))
            }
            (Some(_), _) => {
                Err(": found no fleet, and there was one: to leave it out needs a new start".to_owned())
            }
            _ => Ok(()),
        };
    };
    let (line, column) = new.place;
    let (a, b) = (&old.membership, &new.membership);
    let fields = [
        ("listen", old.listen == new.listen),
        ("name", a.fleet == b.fleet),
        ("secret", a.secret == b.secret),
        ("zone", a.zone == b.zone),
        ("timing", a.timing == b.timing),
        ("record", same_record(old.record.as_ref(), new.record.as_ref())),
    ];
    match fields.into_iter().find(|(_, same)| !same) {
        Some((field, _)) => {
            Err(format!(":{line}:{column}: the fleet's {field} has changed, which needs a new start"))
        }
        None => Ok(()),
    }
}

/// Who else belongs to the fleet may change under a record; all else is fixed at the start.
fn same_record(old: Option<&Record>, new: Option<&Record>) -> bool {
    let alike = |record: &Record| {
        let mut record = record.clone();
        record.config.peers.clear();
        record
    };
    old.map(alike) == new.map(alike)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(change: &[(&str, &str)]) -> Told {
        let mut text = include_str!("../../../../deploy/fleet.kdl").to_owned();
        for (part, other) in change {
            assert!(text.contains(part), "{part}");
            text = text.replacen(part, other, 1);
        }
        let operator =
            umberloom_operator_config::parse("fleet.kdl", &text, None).unwrap_or_else(|f| panic!("{f}"));
        operator.fleet.expect("a fleet")
    }

    fn config(change: &[(&str, &str)]) -> Config {
        let mut text = include_str!("../../../../deploy/example.json").to_owned();
        change.iter().for_each(|(part, other)| text = text.replacen(part, other, 1));
        Config::parse(text.as_bytes()).expect("sound")
    }

    #[test]
    fn what_does_not_fit_the_limits_is_refused_by_its_place() {
        let mut many = told(&[]);
        many.membership.peers = vec![many.membership.peers[0].clone(); 100];
        let cases = [
            (told(&[]), config(&[]), None),
            (
                told(&[]),
                config(&[("\"sockets\": 1024", "\"sockets\": 48")]),
                Some("14 descriptors, expected 12 at most"),
            ),
            (
                many,
                config(&[("\"memory_mb\": 192", "\"memory_mb\": 17")]),
                Some("2560 kb, expected 2176 at most"),
            ),
            (told(&[("127.0.0.1:7401", "127.0.0.1:10080")]), config(&[]), Some("where balancers connect")),
        ];
        for (told, config, wanted) in cases {
            let found = misfit(&told, &config);
            let place = format!("{}:{}: found", told.place.0, told.place.1);
            let fits = match (&found, wanted) {
                (None, None) => true,
                (Some(said), Some(part)) => said.starts_with(&place) && said.contains(part),
                _ => false,
            };
            assert!(fits, "{found:?}, wanted {wanted:?}");
        }
    }

    #[test]
    fn peers_and_what_is_shared_may_change_while_it_runs_and_no_more() {
        let old = told(&[]);
        let may =
            [("127.0.0.1:7402", "127.0.0.1:7409"), ("calls=40", "calls=50"), ("loan-ms=2000", "loan-ms=900")];
        for change in may {
            assert_eq!(can_become(Some(&old), Some(&told(&[change]))), Ok(()), "{change:?}");
        }
        let may_not = [
            ("127.0.0.1:7401", "127.0.0.1:7409", "listen"),
            ("fleet \"desks\"", "fleet \"others\"", "name"),
            ("secret \"change", "secret \"changed", "secret"),
            ("zone \"west\"", "zone \"north\"", "zone"),
            ("probe-ms=500", "probe-ms=400", "timing"),
        ];
        for (part, other, field) in may_not {
            let said = can_become(Some(&old), Some(&told(&[(part, other)]))).expect_err(field);
            assert!(said.contains(&format!("the fleet's {field} has changed")), "{said}");
        }
        assert!(can_become(None, Some(&old)).is_err() && can_become(Some(&old), None).is_err());
        assert_eq!(can_become(None, None), Ok(()));
    }
}

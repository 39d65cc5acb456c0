//! The fleet's part in a process's life: what fits, what may change, what the server says it is made of.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use async_channel::{bounded, Sender};
use async_executor::LocalExecutor;
use slog::Logger;
use umberloom::interface::Settings;
use umberloom_membership::wire::{digest, About};
use umberloom_operator::{Fleet as Told, Operator};

use super::config::Config;
use super::PEERS_SHARE;
use crate::exchange::fleet::Order;
use crate::exchange::Message;
use crate::memory::budget::Budget;
use crate::peers::fleet::{descriptors, memory, Fleet, Sockets, MAILBOX};

/// Part of the descriptors, and of the memory that peers may take, that a fleet may have at most: one in so many.
const PART: usize = 4;

/// A fleet's actor, and what it was told.
pub struct Running {
    /// Its mailbox.
    pub orders: Sender<Order>,
    /// What the file said.
    pub told: Told,
}

/// What does not fit into the platform's limits, with its place in the file.
pub fn misfit(told: &Told, config: &Config) -> Option<String> {
    let peers = told.membership.peers.len();
    let (line, column) = told.place;
    let (asked, most) = (descriptors(peers), config.limits.sockets / PART);
    if asked > most {
        return Some(format!(
            "{line}:{column}: found {peers} peers, which take {asked} descriptors, expected {most} at most under \
             this limit of sockets"
        ));
    }
    let (asked, most) = (memory(peers) >> 10, (config.limits.memory / PEERS_SHARE / PART) >> 10);
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
pub fn about(config: &Config, operator: &Operator) -> About {
    let settings = Settings { seed: 0, cold: false, ..config.settings.clone() };
    let wanted = (&operator.dependencies, &operator.services);
    let shares = operator.fleet.as_ref().map_or_else(String::new, Told::basis);
    About {
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
    sockets: Sockets,
    told: Told,
    about: About,
    seed: u64,
    module: &Sender<Message>,
    budget: &Budget,
    log: &Logger,
) -> Result<Running, String> {
    let (orders, taken) = bounded(MAILBOX);
    let bytes = memory(told.membership.peers.len());
    let charge =
        budget.take(bytes).ok_or_else(|| format!("no memory for {bytes} bytes of the fleet's streams"))?;
    // The start by the system's own clock: a later process under this name has a later one, whatever ours does.
    let boot = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_micros() as u64);
    let set = (told.membership.clone(), told.addresses.clone(), about);
    let (own, log) = (executor.clone(), log.clone());
    let fleet = Fleet::new(own, sockets, set, (boot, seed), taken, module.clone(), charge, log)?;
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
            // No file at all: the old plans stay in force too.
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
    ];
    match fields.into_iter().find(|(_, same)| !same) {
        Some((field, _)) => {
            Err(format!(":{line}:{column}: the fleet's {field} has changed, which needs a new start"))
        }
        None => Ok(()),
    }
}

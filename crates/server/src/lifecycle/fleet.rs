//! Lifecycle of the fleet actor: checks its limits, starts it, and decides what may change on reload.

mod digest_form;

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use async_channel::{bounded, Sender};
use async_executor::LocalExecutor;
use slog::Logger;
use thiserror::Error;
use umberloom_membership::wire::{digest, BuildInfo};
use umberloom_operator_config::{Fleet as FleetConfig, Operator, Position, Record};

use super::config::Config;
use super::startup::StartupError;
use super::PEER_MEMORY_DIVISOR;
use crate::memory::budget::Budget;
use crate::messages::fleet::{FleetCommand, FleetConfig as FleetActorConfig};
use crate::messages::AdmissionMessage;
use crate::peers::fleet::{descriptor_count, memory_bytes, FleetActor, FleetSockets, MAILBOX_CAPACITY};

/// A fleet may use at most `1 / FLEET_DIVISOR` of the descriptors, and of the memory for peers.
const FLEET_DIVISOR: usize = 4;

/// Handle of the running fleet actor.
pub struct FleetHandle {
    /// The actor's mailbox.
    pub mailbox: Sender<FleetCommand>,
    /// The configuration in force.
    pub config: FleetConfig,
}

/// The reason why a fleet does not fit the limits of the platform's configuration.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FleetLimitError {
    /// The fleet's connections need too many descriptors.
    #[error(
        "{position}: found {peers} peers, which take {descriptors} descriptors, expected {max} at most under this \
         limit of sockets"
    )]
    Descriptors { position: Position, peers: usize, descriptors: usize, max: usize },
    /// The fleet's connections need too much memory.
    #[error(
        "{position}: found {peers} peers, which take {memory_kb} kb, expected {max_kb} at most under this memory limit"
    )]
    Memory { position: Position, peers: usize, memory_kb: usize, max_kb: usize },
    /// The fleet listens on the address where balancers connect.
    #[error("{position}: found listen {address}, where balancers connect")]
    ListenAddress { position: Position, address: std::net::SocketAddr },
}

/// A change of the fleet's configuration that needs a restart of the server.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FleetReloadError {
    /// The new file has a fleet, the configuration in force has none.
    #[error("{file}:{position}: found a new fleet, which needs a restart of the server")]
    Added { file: String, position: Position },
    /// The new file has no fleet, the configuration in force has one.
    #[error(
        "{file}: found no fleet, but the server belongs to one: leaving it needs a restart of the server"
    )]
    Removed { file: String },
    /// A field has changed that can't change while the server runs.
    #[error("{file}:{position}: the fleet's {field} has changed, which needs a new start")]
    Changed { file: String, position: Position, field: &'static str },
}

/// Checks a fleet against the limits of the platform's configuration.
pub fn check_limits(fleet: &FleetConfig, server: &Config) -> Result<(), FleetLimitError> {
    let peers = fleet.membership.peers.len();
    let position = fleet.position;

    let descriptors = descriptor_count(peers);
    let max = server.limits.sockets / FLEET_DIVISOR;
    if descriptors > max {
        return Err(FleetLimitError::Descriptors { position, peers, descriptors, max });
    }

    let memory_kb = memory_bytes(peers, fleet.record.is_some()) >> 10;
    let max_kb = (server.limits.memory_bytes / PEER_MEMORY_DIVISOR / FLEET_DIVISOR) >> 10;
    if memory_kb > max_kb {
        return Err(FleetLimitError::Memory { position, peers, memory_kb, max_kb });
    }

    if fleet.listen == server.listen {
        return Err(FleetLimitError::ListenAddress { position, address: fleet.listen });
    }
    Ok(())
}

/// The program's version and digests of its configuration, which operators use to compare servers. Names and
/// addresses differ between servers and are left out.
pub fn build_info(server: &Config, operator: &Operator) -> BuildInfo {
    let settings = digest_form::settings_text(&server.settings);
    let dependencies = digest_form::dependencies_text(operator);
    let quota_basis = operator.fleet.as_ref().map_or_else(String::new, FleetConfig::basis);
    BuildInfo {
        // Set by the membership protocol, which knows the zone from its own configuration.
        zone: String::new(),
        program: env!("CARGO_PKG_VERSION").to_owned(),
        config: digest(&settings),
        operator: digest(&format!("{dependencies} {quota_basis}")),
        shares: if quota_basis.is_empty() { 0 } else { digest(&quota_basis) },
    }
}

/// Arguments of [`start`].
pub struct FleetStart<'s> {
    /// The fleet's bound sockets.
    pub sockets: FleetSockets,
    /// The fleet's configuration.
    pub config: FleetConfig,
    /// The version and configuration digests of this server.
    pub build_info: BuildInfo,
    /// Seed of the fleet's random numbers.
    pub seed: u64,
    /// The mailbox to which the fleet's events are sent.
    pub admission: &'s Sender<AdmissionMessage>,
    /// The budget to which the memory of the fleet's streams is charged.
    pub budget: &'s Budget,
    /// The server's log.
    pub log: &'s Logger,
}

/// Starts the fleet actor on `executor`.
pub fn start<'a>(
    executor: &Rc<LocalExecutor<'a>>,
    start: FleetStart<'_>,
) -> Result<FleetHandle, StartupError> {
    let FleetStart { sockets, config, build_info, seed, admission, budget, log } = start;
    let (mailbox, inbox) = bounded(MAILBOX_CAPACITY);
    let bytes = memory_bytes(config.membership.peers.len(), config.record.is_some());
    let charge = budget.charge(bytes).ok_or(StartupError::FleetMemory { bytes })?;
    let boot_id = boot_id();
    let actor_config = actor_config(&config, build_info);
    let fleet = FleetActor::new(
        executor.clone(),
        sockets,
        actor_config,
        (boot_id, seed),
        inbox,
        admission.clone(),
        charge,
        log.clone(),
    )
    .map_err(|e| StartupError::Fleet(e.to_string()))?;
    executor.spawn(fleet.run()).detach();
    Ok(FleetHandle { mailbox, config })
}

/// The part of the fleet's configuration that the fleet actor needs.
pub fn actor_config(fleet: &FleetConfig, build_info: BuildInfo) -> FleetActorConfig {
    FleetActorConfig {
        membership: fleet.membership.clone(),
        peer_addresses: fleet.addresses.clone(),
        build_info,
        replicated_store: fleet.record.clone(),
    }
}

/// The start time by the system's clock, in microseconds. A later process under the same name gets a greater
/// one even where [`Clock`](super::clock::Clock) ran ahead of the system's clock.
fn boot_id() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_micros() as u64)
}

/// Checks whether a running server can apply a new fleet configuration: peers and shared quotas may change;
/// whether there is a fleet, and its name, secret, zone, timing and address, may not. Of the replicated
/// store's configuration, only the peers may change. `file` names the operator's file in errors.
pub fn check_reload(
    file: &str,
    before: Option<&FleetConfig>,
    after: Option<&FleetConfig>,
) -> Result<(), FleetReloadError> {
    let file = || file.to_owned();
    let (old, new) = match (before, after) {
        (Some(old), Some(new)) => (old, new),
        (None, Some(new)) => return Err(FleetReloadError::Added { file: file(), position: new.position }),
        (Some(_), None) => return Err(FleetReloadError::Removed { file: file() }),
        (None, None) => return Ok(()),
    };
    let (old_membership, new_membership) = (&old.membership, &new.membership);
    let fields = [
        ("listen", old.listen == new.listen),
        ("name", old_membership.fleet == new_membership.fleet),
        ("secret", old_membership.secret == new_membership.secret),
        ("zone", old_membership.zone == new_membership.zone),
        ("timing", old_membership.timing == new_membership.timing),
        ("record", same_store_config(old.record.as_ref(), new.record.as_ref())),
    ];
    match fields.into_iter().find(|(_, unchanged)| !unchanged) {
        Some((field, _)) => Err(FleetReloadError::Changed { file: file(), position: new.position, field }),
        None => Ok(()),
    }
}

/// Compares configurations of a replicated store without its peers: all else is fixed at startup.
fn same_store_config(old: Option<&Record>, new: Option<&Record>) -> bool {
    let without_peers = |record: &Record| {
        let mut record = record.clone();
        record.config.peers.clear();
        record
    };
    old.map(without_peers) == new.map(without_peers)
}

#[cfg(test)]
mod tests;

//! The lifecycle of the server process, from the parsed command line to its exit.
//!
//! [`serve`] binds the sockets, starts an actor for each peer ([`startup`]), runs them until a signal
//! requests a shutdown ([`server`], [`phase`]), and applies changed configuration files on SIGHUP
//! ([`reload`]). [`config_files`] reads the two files that configure a server.

pub mod clock;
pub mod config;
pub mod config_files;
mod dependencies;
mod descriptor_limit;
mod fleet;
mod known_config_keys;
pub mod log;
pub mod log_throttle;
pub mod phase;
mod reload;
mod server;
pub mod signals;
pub mod stall_detector;
mod startup;

use std::rc::Rc;

use async_executor::LocalExecutor;
use slog::Logger;

use clock::Clock;
use config_files::{ConfigFiles, LoadedConfig};
use phase::{Phase, PhaseTracker};
use server::Server;
use signals::SignalListener;
use startup::ListenSockets;
pub use startup::StartupError;

/// Peers can make this process use at most `1 / PEER_MEMORY_DIVISOR` of its memory limit.
const PEER_MEMORY_DIVISOR: usize = 2;

/// Serves until a signal ends the process. Errors are returned only before anything is served. `files` are
/// read again on SIGHUP.
pub fn serve(
    config: LoadedConfig,
    files: ConfigFiles,
    signals: SignalListener,
    clock: &Clock,
    log: &Logger,
) -> Result<(), StartupError> {
    let mut phase = PhaseTracker::new(log.clone());
    let balancers = startup::bind_balancers(config.server.listen)?;
    let executor = Rc::new(LocalExecutor::new());
    phase.enter(Phase::WaitingForAgent);
    executor.spawn(stall_detector::watch(log.clone())).detach();
    let fleet = startup::bind_fleet(config.operator.as_ref())?;
    let sockets = ListenSockets { balancers, fleet };
    let server = Server::start(&executor, config, files, sockets, clock, log)?;
    async_io::block_on(executor.run(server.run(phase, signals)));
    Ok(())
}

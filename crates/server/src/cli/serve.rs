//! `umberloom serve`: runs the server.

use slog::{info, warn, Level, Logger};

use super::CommandError;
use crate::lifecycle;
use crate::lifecycle::clock::Clock;
use crate::lifecycle::config_files::{ConfigFiles, LoadedConfig};
use crate::lifecycle::log::{self, LogFormat};
use crate::lifecycle::signals::SignalListener;

/// Serves until a signal ends the process.
pub fn run(files: ConfigFiles, verbose: bool, format: LogFormat) -> Result<(), CommandError> {
    let clock = Clock::default();
    // First of all: without a listener, an early signal would end the process by its default action.
    let signals = SignalListener::new(clock.clone()).map_err(CommandError::Signals)?;
    let config = files.load()?;
    let level = if verbose { Level::Debug } else { Level::Info };
    let (log, _guard) = log::start(&config.server.name, level, format);
    log_configuration(&config, &log);
    lifecycle::serve(config, files, signals, &clock, &log)?;
    Ok(())
}

fn log_configuration(config: &LoadedConfig, log: &Logger) {
    let server = &config.server;
    info!(log, "server starting";
        "warming_up" => server.settings.starts_cold,
        "version" => env!("CARGO_PKG_VERSION"),
        "listen" => %server.listen);
    for key in &server.unknown_keys {
        warn!(log, "unknown configuration key"; "reason" => %key);
    }
    let Some(operator) = &config.operator else { return };
    info!(log, "operator configuration loaded";
        "dependencies" => operator.services.len(),
        "plans" => operator.dependencies.plans.len());
    let Some(fleet) = &operator.fleet else { return };
    info!(log, "fleet configured";
        "name" => &fleet.membership.fleet,
        "listen" => %fleet.listen,
        "peers" => fleet.membership.peers.len(),
        "shared_quotas" => fleet.shared.len());
}

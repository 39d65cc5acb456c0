//! Reloads the configuration files on SIGHUP.

use slog::{error, info};
use thiserror::Error;
use umberloom_operator_config::Operator;

use super::config::{Config, ImmutableFieldError};
use super::config_files::{ConfigFileError, LoadedConfig};
use super::fleet::{self, FleetReloadError};
use super::server::Server;
use crate::messages::agent::AgentActorMessage;
use crate::messages::calls::DependencyCommand;
use crate::messages::fleet::FleetCommand;
use crate::messages::registration::RegistrationCommand;
use crate::messages::AdmissionMessage;

/// The reason why a reload is rejected and the configuration in force stays.
#[derive(Debug, Error)]
enum ReloadError {
    /// A file is missing or invalid.
    #[error(transparent)]
    Files(#[from] ConfigFileError),
    /// The platform's configuration has changed in a field that can't change while the server runs.
    #[error(transparent)]
    Server(#[from] ImmutableFieldError),
    /// The operator's file has changed the fleet in a way that needs a restart.
    #[error(transparent)]
    Fleet(#[from] FleetReloadError),
}

impl Server<'_> {
    /// Applies the present contents of the files if both are valid and change nothing that can't change while
    /// the server runs; otherwise all of the old configuration stays in force, so that a broken or
    /// half-written file does not affect the requests being served. If the memory that is left
    /// does not suffice for the new cache of fallback results, only the new dependencies are rejected.
    pub async fn reload(&mut self) {
        match self.load_changed() {
            Ok(config) => self.apply(config).await,
            Err(error) => error!(self.log, "configuration reload rejected"; "reason" => %error),
        }
    }

    fn load_changed(&self) -> Result<LoadedConfig, ReloadError> {
        let new = self.files.load()?;
        self.config.check_reload(&new.server)?;
        if let Some(operator) = &new.operator {
            let current = self.fleet.as_ref().map(|fleet| &fleet.config);
            fleet::check_reload(&self.files.operator_name(), current, operator.fleet.as_ref())?;
        }
        Ok(new)
    }

    async fn apply(&mut self, new: LoadedConfig) {
        let LoadedConfig { server, operator } = new;
        info!(self.log, "configuration reloaded"; "agent" => %server.agent, "announce" => %server.announce);
        self.update_peer_addresses(&server).await;
        self.config = server;
        if let Some(operator) = operator {
            self.reconfigure_fleet(&operator).await;
            self.reconfigure_dependencies(operator).await;
        }
    }

    /// Notifies each actor whose peer has a new address; the other actors are not affected.
    ///
    /// Sending fails only if the actor has ended, and no actor ends before the process.
    async fn update_peer_addresses(&mut self, new: &Config) {
        if new.agent != self.config.agent {
            let _ = self.senders.agent.send(AgentActorMessage::SetAddress(new.agent)).await;
        }
        if let Some(address) = new.records.filter(|_| new.records != self.config.records) {
            let _ = self.senders.records.send(DependencyCommand::SetAddress(address)).await;
            let uses_records_service = |dependency: &&mut super::dependencies::DependencyHandle| {
                dependency.target.platform.is_some()
            };
            for dependency in self.dependencies.values_mut().filter(uses_records_service) {
                dependency.target.platform = Some(address);
                let _ = dependency.mailbox.send(DependencyCommand::SetAddress(address)).await;
            }
        }
        if new.announce != self.config.announce {
            let _ = self.senders.registration.send(RegistrationCommand::SetAddress(new.announce)).await;
        }
    }

    async fn reconfigure_fleet(&mut self, operator: &Operator) {
        let (Some(handle), Some(new)) = (&mut self.fleet, &operator.fleet) else { return };
        handle.config = new.clone();
        let build_info = fleet::build_info(&self.config, operator);
        let config = fleet::actor_config(new, build_info);
        // Fails only if the fleet actor has ended, and it does not end before the process.
        let _ = handle.mailbox.send(FleetCommand::Reconfigure(Box::new(config))).await;
    }

    async fn reconfigure_dependencies(&mut self, operator: Operator) {
        let plans = operator.dependencies.plans.len();
        match self.connect_dependencies(operator) {
            Ok(settings) => {
                let dependencies = self.dependencies.len();
                info!(self.log, "dependencies reloaded"; "plans" => plans, "dependencies" => dependencies);
                let reconfigured = AdmissionMessage::DependenciesReconfigured(Box::new(settings));
                // Fails only if the admission actor has ended; no calls are made after that.
                let _ = self.senders.admission.send(reconfigured).await;
            }
            Err(error) => error!(self.log, "dependency reload rejected"; "reason" => %error),
        }
    }
}

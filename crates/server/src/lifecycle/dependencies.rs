//! Starts and replaces the actors that call the dependencies of the operator's file.

use std::rc::Rc;

use async_channel::{bounded, Sender};
use umberloom_operator_config::{Operator, Service};

use super::server::Server;
use super::startup::FallbackCacheMemoryError;
use crate::messages::calls::{DependencyCommand, DependencySettings, SharedQuotaConfig};
use crate::peers::ajp::AjpConfig;
use crate::peers::dependency::{self, CallTarget, DependencyClient};

/// Handle of the running actor of one dependency.
pub struct DependencyHandle {
    /// How the dependency is reached.
    pub target: CallTarget,
    /// The actor's mailbox.
    pub mailbox: Sender<DependencyCommand>,
}

impl Server<'_> {
    /// Ensures that an actor runs for each dependency of the operator's file. A dependency whose target is
    /// unchanged keeps its actor; the actor of a dependency that the file no longer names ends with its last
    /// call.
    pub fn connect_dependencies(
        &mut self,
        mut operator: Operator,
    ) -> Result<DependencySettings, FallbackCacheMemoryError> {
        for dependency in &mut operator.dependencies.dependencies {
            // Probes are spread by this number: all servers call the same endpoints, and see them fail and
            // recover at the same time.
            dependency.load_balancing.servers = self.config.settings.servers;
        }
        let bytes = operator.dependencies.fallback_cache.max_bytes;
        let charge = self.budget.charge(bytes).ok_or(FallbackCacheMemoryError { bytes })?;
        self.replace_dependencies(&operator.services);
        let mailboxes = self
            .dependencies
            .iter()
            .map(|(name, dependency)| (name.clone(), dependency.mailbox.clone()))
            .collect();
        let shared_quotas = operator.fleet.iter().flat_map(|fleet| {
            fleet.shared.iter().map(|(name, calls)| SharedQuotaConfig {
                dependency: Rc::from(name.as_str()),
                config: fleet.quota_config(*calls),
            })
        });
        let shared_quotas = shared_quotas.collect();
        Ok(DependencySettings { config: operator.dependencies, mailboxes, shared_quotas, charge })
    }

    fn replace_dependencies(&mut self, services: &[Service]) {
        let mut previous = std::mem::take(&mut self.dependencies);
        for service in services {
            let target = self.call_target(service);
            let name: Rc<str> = service.name.as_str().into();
            let unchanged = previous.remove(&name).filter(|dependency| dependency.target == target);
            let dependency = unchanged.unwrap_or_else(|| self.start_dependency(target));
            self.dependencies.insert(name, dependency);
        }
    }

    fn call_target(&self, service: &Service) -> CallTarget {
        let ajp = service
            .ajp
            .as_ref()
            .map(|ajp| Rc::new(AjpConfig { secret: ajp.secret.clone(), packet_bytes: ajp.packet }));
        CallTarget {
            path: service.path.as_str().into(),
            platform: self.config.records.filter(|_| service.is_platform()),
            ajp,
        }
    }

    fn start_dependency(&self, target: CallTarget) -> DependencyHandle {
        let (mailbox, inbox) = bounded(dependency::MAILBOX_CAPACITY);
        let actor = DependencyClient::new(
            self.executor.clone(),
            (target.clone(), self.call_sockets.clone()),
            inbox,
            self.senders.admission.clone(),
            self.clock.clone(),
            self.log.clone(),
        );
        self.executor.spawn(actor.run()).detach();
        DependencyHandle { target, mailbox }
    }
}

//! Starts the server: binds its sockets, starts its actors and connects their mailboxes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_channel::{bounded, Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use slog::{warn, Logger};
use thiserror::Error;
use umberloom_connection_admission::connection_table::ConnectionTable;
use umberloom_operator_config::Operator;

use super::clock::Clock;
use super::config::Config;
use super::config_files::{ConfigFiles, LoadedConfig};
use super::descriptor_limit::{self, DescriptorBudget};
use super::fleet::{self, FleetHandle, FleetStart};
use super::server::Server;
use super::PEER_MEMORY_DIVISOR;
use crate::admission::{self, AdmissionActor, AdmissionParts, Mailboxes};
use crate::dependency_calls::DependencyCalls;
use crate::memory::budget::Budget;
use crate::memory::idempotency_cache::IdempotencyCache;
use crate::memory::known_attempts::KnownAttempts;
use crate::messages::agent::AgentActorMessage;
use crate::messages::caller::LoadHint;
use crate::messages::calls::{DependencyCommand, DependencySettings};
use crate::messages::diagnostics::{AgentLinkStatus, OpenConnections};
use crate::messages::listener::ListenerCommand;
use crate::messages::registration::RegistrationCommand;
use crate::messages::AdmissionMessage;
use crate::peers::agent::{self, AgentActor};
use crate::peers::connection::ConnectionContext;
use crate::peers::dependency::{self, CallTarget, DependencyClient, SocketBudget};
use crate::peers::fleet::{descriptor_count, FleetSockets};
use crate::peers::listener::{self, Listener};
use crate::peers::registration::{self, Registration};
use crate::quota_leases::QuotaLeases;

/// The reason why the server can't start.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The address for balancers can't be bound.
    #[error("listen on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    /// The fleet's sockets can't be bound or its actor can't be created; the text is the reason.
    #[error("{0}")]
    Fleet(String),
    /// The memory limit leaves no room for the fleet's streams.
    #[error("the memory limit leaves no room for {bytes} bytes of the fleet's streams")]
    FleetMemory { bytes: usize },
    /// The memory limit leaves no room for cached fallback results.
    #[error(transparent)]
    FallbackCache(#[from] FallbackCacheMemoryError),
}

/// The memory limit leaves no room for cached fallback results.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the memory limit leaves no room for {bytes} bytes of cached fallback results")]
pub struct FallbackCacheMemoryError {
    /// Size of the cache.
    pub bytes: usize,
}

/// The sockets that are bound before anything is served.
pub struct ListenSockets {
    /// The socket on which balancers connect.
    pub balancers: Async<TcpListener>,
    /// The sockets on which other servers of the fleet reach this one; `None` if it belongs to no fleet.
    pub fleet: Option<FleetSockets>,
}

/// Binds the address for balancers.
pub fn bind_balancers(address: SocketAddr) -> Result<Async<TcpListener>, StartupError> {
    let listener = TcpListener::bind(address).and_then(Async::new);
    listener.map_err(|source| StartupError::Listen { address, source })
}

/// Binds the fleet's address, if the operator's file has a fleet.
pub fn bind_fleet(operator: Option<&Operator>) -> Result<Option<FleetSockets>, StartupError> {
    let Some(fleet) = operator.and_then(|operator| operator.fleet.as_ref()) else { return Ok(None) };
    let sockets = FleetSockets::bind(fleet.listen).map_err(|e| StartupError::Fleet(e.to_string()))?;
    Ok(Some(sockets))
}

/// The sending ends of the actors' mailboxes.
#[derive(Clone)]
pub struct Senders {
    pub admission: Sender<AdmissionMessage>,
    pub agent: Sender<AgentActorMessage>,
    /// The dependency actor for the platform's records service.
    pub records: Sender<DependencyCommand>,
    pub registration: Sender<RegistrationCommand>,
    pub listener: Sender<ListenerCommand>,
}

/// The receiving ends of the actors' mailboxes.
struct Inboxes {
    admission: Receiver<AdmissionMessage>,
    agent: Receiver<AgentActorMessage>,
    records: Receiver<DependencyCommand>,
    registration: Receiver<RegistrationCommand>,
    listener: Receiver<ListenerCommand>,
}

fn open_mailboxes() -> (Senders, Inboxes) {
    let (admission, admission_inbox) = bounded(admission::MAILBOX_CAPACITY);
    let (agent, agent_inbox) = bounded(agent::MAILBOX_CAPACITY);
    let (records, records_inbox) = bounded(dependency::MAILBOX_CAPACITY);
    let (registration, registration_inbox) = bounded(registration::MAILBOX_CAPACITY);
    let (listener, listener_inbox) = bounded(listener::MAILBOX_CAPACITY);
    let senders = Senders { admission, agent, records, registration, listener };
    let inboxes = Inboxes {
        admission: admission_inbox,
        agent: agent_inbox,
        records: records_inbox,
        registration: registration_inbox,
        listener: listener_inbox,
    };
    (senders, inboxes)
}

impl<'a> Server<'a> {
    /// Starts all actors on `executor`. They run when the executor is run.
    pub fn start(
        executor: &Rc<LocalExecutor<'a>>,
        config: LoadedConfig,
        files: ConfigFiles,
        sockets: ListenSockets,
        clock: &Clock,
        log: &Logger,
    ) -> Result<Server<'a>, StartupError> {
        let LoadedConfig { server: config, operator } = config;
        let descriptors = divide_descriptors(&config, operator.as_ref(), log);
        let (senders, inboxes) = open_mailboxes();
        let (agent_up_sender, agent_up) = bounded(1);
        let budget = Budget::new(config.limits.memory_bytes / PEER_MEMORY_DIVISOR, descriptors.connections);
        let call_sockets = SocketBudget::new(descriptors.calls);
        let starter = ActorStarter { executor, config: &config, senders: &senders, clock, log };
        let fleet = starter.start_fleet(operator.as_ref(), sockets.fleet, &budget)?;
        let mailboxes = Mailboxes {
            fleet: fleet.as_ref().map(|handle| handle.mailbox.clone()),
            agent: senders.agent.clone(),
            records: senders.records.clone(),
            registration: senders.registration.clone(),
            listener: senders.listener.clone(),
            agent_up: agent_up_sender,
            load_hint: LoadHint::default(),
        };
        let agent_link = AgentLinkStatus::default();
        starter.start_agent(inboxes.agent, agent_link.clone());
        starter.start_registration(inboxes.registration);
        starter.start_records_client(inboxes.records, &call_sockets);
        let idempotency_cache = Rc::new(RefCell::new(IdempotencyCache::default()));
        let known_attempts = KnownAttempts::new(&config.settings, idempotency_cache.clone());
        let context = starter.connection_context(
            &mailboxes.load_hint,
            descriptors.connections,
            &budget,
            known_attempts,
        );
        let open_connections = context.open_connections.clone();
        let connections = starter.start_listener(sockets.balancers, context, inboxes.listener);
        let mut server = Server {
            executor: executor.clone(),
            config,
            files,
            budget,
            call_sockets,
            dependencies: BTreeMap::new(),
            senders,
            fleet,
            agent_up,
            connections,
            agent_link,
            open_connections,
            clock: clock.clone(),
            log: log.clone(),
        };
        let dependencies = operator.map(|operator| server.connect_dependencies(operator)).transpose()?;
        server.start_admission(inboxes.admission, mailboxes, idempotency_cache, dependencies);
        Ok(server)
    }

    fn start_admission(
        &self,
        inbox: Receiver<AdmissionMessage>,
        mailboxes: Mailboxes,
        idempotency_cache: Rc<RefCell<IdempotencyCache>>,
        dependencies: Option<DependencySettings>,
    ) {
        let seed = self.config.settings.seed;
        let quota_leases = QuotaLeases::new(mailboxes.fleet.clone(), seed, self.log.clone());
        let dependency_calls = dependencies.and_then(|settings| {
            DependencyCalls::new(self.clock.now(), settings, quota_leases, seed, self.log.clone())
        });
        let actor = AdmissionActor::new(AdmissionParts {
            settings: self.config.settings.clone(),
            shape: self.config.shape,
            gauge_names: self.config.gauges.clone(),
            dependency_calls,
            idempotency_cache,
            inbox,
            mailboxes,
            clock: self.clock.clone(),
            log: self.log.clone(),
        });
        self.executor.spawn(actor.run()).detach();
    }
}

/// Divides the descriptors that the system allows, and logs a warning if these are fewer than configured.
fn divide_descriptors(config: &Config, operator: Option<&Operator>, log: &Logger) -> DescriptorBudget {
    let configured = config.limits.sockets;
    let allowed = descriptor_limit::effective_limit(configured);
    if allowed < configured {
        warn!(log, "fewer descriptors than configured"; "configured" => configured, "allowed" => allowed);
    }
    let fleet = operator.and_then(|operator| operator.fleet.as_ref());
    let fleet_descriptors = fleet.map_or(0, |fleet| descriptor_count(fleet.membership.peers.len()));
    DescriptorBudget::divide(allowed, fleet_descriptors)
}

/// The values that actors are started with.
struct ActorStarter<'s, 'a> {
    executor: &'s Rc<LocalExecutor<'a>>,
    config: &'s Config,
    senders: &'s Senders,
    clock: &'s Clock,
    log: &'s Logger,
}

impl<'a> ActorStarter<'_, 'a> {
    fn start_fleet(
        &self,
        operator: Option<&Operator>,
        sockets: Option<FleetSockets>,
        budget: &Budget,
    ) -> Result<Option<FleetHandle>, StartupError> {
        let (Some(operator), Some(sockets)) = (operator, sockets) else { return Ok(None) };
        let Some(config) = operator.fleet.clone() else { return Ok(None) };
        let start = FleetStart {
            sockets,
            config,
            build_info: fleet::build_info(self.config, operator),
            seed: self.config.settings.seed,
            admission: &self.senders.admission,
            budget,
            log: self.log,
        };
        fleet::start(self.executor, start).map(Some)
    }

    fn start_agent(&self, inbox: Receiver<AgentActorMessage>, status: AgentLinkStatus) {
        let admission = self.senders.admission.clone();
        let actor = AgentActor::new(self.config.agent, inbox, admission, status, self.log.clone());
        self.executor.spawn(actor.run()).detach();
    }

    fn start_registration(&self, inbox: Receiver<RegistrationCommand>) {
        let servers_and_seed = (self.config.settings.servers, self.config.settings.seed);
        let actor = Registration::new(
            self.config.announce,
            &self.config.name,
            servers_and_seed,
            inbox,
            self.log.clone(),
        );
        self.executor.spawn(actor.run()).detach();
    }

    fn start_records_client(&self, inbox: Receiver<DependencyCommand>, sockets: &SocketBudget) {
        let Some(address) = self.config.records else { return };
        let actor = DependencyClient::new(
            self.executor.clone(),
            (CallTarget::records_service(address), sockets.clone()),
            inbox,
            self.senders.admission.clone(),
            self.clock.clone(),
            self.log.clone(),
        );
        self.executor.spawn(actor.run()).detach();
    }

    /// The context that all connections of balancers share.
    fn connection_context(
        &self,
        load_hint: &LoadHint,
        max_connections: usize,
        budget: &Budget,
        known_attempts: KnownAttempts,
    ) -> ConnectionContext {
        ConnectionContext {
            admission: self.senders.admission.clone(),
            classes: Rc::new(self.config.classes.clone()),
            tenants: Rc::new(self.config.tenants.clone()),
            load_hint: load_hint.clone(),
            shape: self.config.shape,
            max_connections,
            open_connections: OpenConnections::default(),
            last_serial: Rc::default(),
            budget: budget.clone(),
            known_attempts,
            clock: self.clock.clone(),
            input_end_throttle: Rc::default(),
            out_of_memory_throttle: Rc::default(),
            log: self.log.clone(),
        }
    }

    /// Starts the listener. The task completes once the listener has closed its last connection.
    fn start_listener(
        &self,
        socket: Async<TcpListener>,
        context: ConnectionContext,
        inbox: Receiver<ListenerCommand>,
    ) -> Task<()> {
        // The table is not divided among listeners: there is only one.
        let socket_and_table = (socket, ConnectionTable::new(context.max_connections, &[1]));
        let idle_timeout = self.config.settings.idle_timeout_max;
        let actor = Listener::new(self.executor.clone(), socket_and_table, context, inbox, idle_timeout);
        self.executor.spawn(actor.run())
    }
}

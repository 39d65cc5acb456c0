//! From start to exit.

pub mod clock;
pub mod config;
mod descriptor_limit;
mod fleet;
mod known_config_keys;
pub mod log;
pub mod log_throttle;
pub mod phase;
pub mod signals;
pub mod stall_detector;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{bounded, Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{error, info, warn, Logger};
use umberloom::interface::Micros;
use umberloom_connection_admission::connection_table::ConnectionTable;
use umberloom_operator_config::{Known, Operator};

use crate::admission::{self, AdmissionActor, AdmissionParts, Mailboxes};
use crate::dependency_calls::DependencyCalls;
use crate::memory::budget::Budget;
use crate::messages::caller::LoadHint;
use crate::messages::calls::DependencySettings;
use crate::messages::{
    agent as to_agent, calls as to_calls, fleet as to_fleet, listener as to_front, registration as to_list,
    AdmissionMessage,
};
use crate::peers::agent::{self, AgentActor};
use crate::peers::ajp::AjpConfig;
use crate::peers::connection::ConnectionContext;
use crate::peers::dependency::{self, CallTarget, DependencyClient, SocketBudget};
use crate::peers::fleet::descriptor_count;
use crate::peers::fleet::FleetSockets;
use crate::peers::listener::{self, Listener};
use crate::peers::registration::{self, Registration};
use crate::quota_leases::QuotaLeases;
use clock::Clock;
use config::Config;
use phase::{Life, Phase};
use signals::{Notice, Notices};

/// Part of the memory that peers may take that kept results may have at most: one in so many.
const KEPT_PART: usize = 4;
/// The share of the memory limit that peers can make this process take.
const PEERS_SHARE: usize = 2;

/// How descriptors are parted: what is kept for other peers than balancers, and calls at once.
struct Parts {
    connections: usize,
    calls: usize,
}

impl Parts {
    /// Balancers open up to half of the limit; of the rest a part is kept for the agent, the list, calls,
    /// the log and what the executor itself needs; `fleet` of them are for streams between servers.
    fn of(sockets: usize, fleet: usize) -> Parts {
        let own = 24.min(sockets / 4) + fleet;
        let calls = 64.min(sockets / 8);
        Parts { connections: sockets.saturating_sub(own + calls).max(2), calls }
    }
}

/// Where the two files are that say what to do.
#[derive(Clone, Debug)]
pub struct Files {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operator's own, if there is one.
    pub operator: Option<PathBuf>,
}

impl Files {
    /// The operator's file as messages name it.
    fn operator_name(&self) -> String {
        self.operator.as_ref().map_or_else(String::new, |path| path.display().to_string())
    }

    /// Reads both; each error names its file and its place.
    pub fn load(&self) -> Result<(Config, Option<Operator>), String> {
        let config = Config::load(&self.config)?;
        let operator = self.operator.as_deref().map(|path| load_operator(path, Some(&config))).transpose()?;
        Ok((config, operator))
    }
}

fn known(config: Option<&Config>) -> Known<'_> {
    Known { classes: config.map(|c| c.classes.as_slice()), name: config.map(|c| c.name.as_str()) }
}

/// Reads the operator's file, against the platform's configuration where that is known.
pub fn load_operator(path: &Path, config: Option<&Config>) -> Result<Operator, String> {
    let operator = umberloom_operator_config::load(path, known(config)).map_err(|e| e.to_string())?;
    let Some(config) = config else { return Ok(operator) };
    let (asked, most) =
        (operator.dependencies.fallback_cache.max_bytes, config.limits.memory / PEERS_SHARE / KEPT_PART);
    let name = path.display();
    if asked > most {
        let (asked, most) = (asked >> 10, most >> 10);
        return Err(format!(
            "{name}: found kept kb={asked}, expected {most} at most under this memory limit"
        ));
    }
    if config.records.is_none() && operator.services.iter().any(|s| s.is_platform()) {
        return Err(format!(
            "{name}: found \"platform\", expected endpoints: the configuration has no `records`"
        ));
    }
    if let Some(why) = operator.fleet.as_ref().and_then(|told| fleet::misfit(told, config)) {
        return Err(format!("{name}:{why}"));
    }
    Ok(operator)
}

/// Serves until the program is told to end; an error comes before anything is served. What was read from the files is
/// read from there again on notice.
pub fn serve(
    told: (Config, Option<Operator>),
    files: Files,
    notices: Notices,
    log: Logger,
) -> Result<(), String> {
    let config = &told.0;
    let mut life = Life::new(log.clone());
    let listener = TcpListener::bind(config.listen).and_then(Async::new);
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let clock = Clock::default();
    let executor = Rc::new(LocalExecutor::new());
    life.enter(Phase::Waiting);
    executor.spawn(stall_detector::watch(log.clone())).detach();
    let sockets =
        told.1.as_ref().and_then(|o| o.fleet.as_ref()).map(|f| FleetSockets::bind(f.listen)).transpose()?;
    let program = Program::start(&executor, told, files, (listener, sockets), clock, &log)?;
    async_io::block_on(executor.run(program.live(life, notices)));
    Ok(())
}

/// What may change the phase.
enum Next {
    /// The agent is up.
    Up,
    /// A notice from the system.
    Notice(Notice),
    /// The next phase may be due.
    Time,
    /// The last connection is closed.
    Empty,
}

/// The running program, as the one who starts and ends it sees it.
struct Program<'a> {
    executor: Rc<LocalExecutor<'a>>,
    config: Config,
    files: Files,
    budget: Budget,
    sockets: SocketBudget,
    /// Dependencies of the operator's file, as they are reached now.
    dependencies: BTreeMap<Rc<str>, (CallTarget, Sender<to_calls::DependencyCommand>)>,
    module: Sender<AdmissionMessage>,
    agent: Sender<to_agent::AgentActorMessage>,
    records: Sender<to_calls::DependencyCommand>,
    list: Sender<to_list::RegistrationCommand>,
    front: Sender<to_front::ListenerCommand>,
    fleet: Option<fleet::Running>,
    up: Receiver<()>,
    connections: Task<()>,
    clock: Clock,
    log: Logger,
}

impl<'a> Program<'a> {
    fn start(
        executor: &Rc<LocalExecutor<'a>>,
        (config, operator): (Config, Option<Operator>),
        files: Files,
        (listener, fleet_sockets): (Async<TcpListener>, Option<FleetSockets>),
        clock: Clock,
        log: &Logger,
    ) -> Result<Program<'a>, String> {
        let told_fleet = operator.as_ref().and_then(|o| o.fleet.clone());
        let taken = told_fleet.as_ref().map_or(0, |told| descriptor_count(told.membership.peers.len()));
        let sockets = descriptor_limit::descriptors(config.limits.sockets);
        if sockets < config.limits.sockets {
            let (configured, allowed) = (config.limits.sockets, sockets);
            warn!(log, "fewer descriptors than configured"; "configured" => configured, "allowed" => allowed);
        }
        let parts = Parts::of(sockets, taken);
        let (module, mail) = bounded(admission::MAILBOX);
        let (agent, agent_orders) = bounded(agent::MAILBOX_CAPACITY);
        let (records, records_orders) = bounded(dependency::MAILBOX_CAPACITY);
        let (list, list_words) = bounded(registration::MAILBOX_CAPACITY);
        let (front, front_orders) = bounded(listener::MAILBOX_CAPACITY);
        let (up_told, up) = bounded(1);
        let budget = Budget::new(config.limits.memory / PEERS_SHARE);
        let fleet = match (told_fleet, fleet_sockets, &operator) {
            (Some(told), Some(sockets), Some(operator)) => {
                let about = fleet::about(&config, operator);
                let seed = config.settings.seed;
                Some(fleet::start(executor, sockets, told, about, seed, &module, &budget, log)?)
            }
            _ => None,
        };
        let mailboxes = Mailboxes {
            fleet: fleet.as_ref().map(|running| running.orders.clone()),
            agent: agent.clone(),
            records: records.clone(),
            registration: list.clone(),
            listener: front.clone(),
            agent_up: up_told,
            load_hint: LoadHint::default(),
        };
        let among = (config.settings.servers, config.settings.seed);
        executor
            .spawn(AgentActor::new(config.agent, agent_orders, module.clone(), log.clone()).run())
            .detach();
        executor
            .spawn(Registration::new(config.announce, &config.name, among, list_words, log.clone()).run())
            .detach();
        let sockets = SocketBudget::new(parts.calls);
        if let Some(address) = config.records {
            let to = (CallTarget::records_service(address), sockets.clone());
            let (own, clock) = (executor.clone(), clock.clone());
            let calls = DependencyClient::new(own, to, records_orders, module.clone(), clock, log.clone());
            executor.spawn(calls.run()).detach();
        }
        let shared = ConnectionContext {
            admission: module.clone(),
            classes: Rc::new(config.classes.clone()),
            tenants: Rc::new(config.tenants.clone()),
            load_hint: mailboxes.load_hint.clone(),
            shape: config.shape,
            max_connections: parts.connections,
            last_serial: Rc::default(),
            budget: budget.clone(),
            clock: clock.clone(),
            log: log.clone(),
        };
        let from = (listener, ConnectionTable::new(parts.connections, &[1]));
        let idle = config.settings.idle_timeout_max;
        let connections =
            executor.spawn(Listener::new(executor.clone(), from, shared, front_orders, idle).run());
        let (settings, shape, gauge_names) = (config.settings.clone(), config.shape, config.gauges.clone());
        let seed = config.settings.seed;
        let mut program = Program {
            executor: executor.clone(),
            config,
            files,
            budget,
            sockets,
            dependencies: BTreeMap::new(),
            module,
            agent,
            records,
            list,
            front,
            fleet,
            up,
            connections,
            clock: clock.clone(),
            log: log.clone(),
        };
        let wanted = operator.map(|operator| program.wanted(operator)).transpose()?;
        let to_fleet = program.fleet.as_ref().map(|running| running.orders.clone());
        let shares = QuotaLeases::new(to_fleet, seed, log.clone());
        let plans =
            wanted.and_then(|wanted| DependencyCalls::new(clock.now(), wanted, shares, seed, log.clone()));
        let admission = AdmissionActor::new(AdmissionParts {
            settings,
            shape,
            gauge_names,
            dependency_calls: plans,
            inbox: mail,
            mailboxes,
            clock,
            log: log.clone(),
        });
        executor.spawn(admission.run()).detach();
        Ok(program)
    }

    /// Makes ready what the operator's file asks for: an actor for each dependency. One that is reached as before keeps
    /// its own; those that the file no longer names end with their last call.
    fn wanted(&mut self, operator: Operator) -> Result<DependencySettings, String> {
        let mut operator = operator;
        for dependency in &mut operator.dependencies.dependencies {
            // The others route to the same endpoints and see them fail and come back when this one does.
            dependency.load_balancing.servers = self.config.settings.servers;
        }
        let bytes = operator.dependencies.fallback_cache.max_bytes;
        let charge =
            self.budget.take(bytes).ok_or_else(|| format!("no memory for {bytes} bytes of kept results"))?;
        let mut before = std::mem::take(&mut self.dependencies);
        for service in operator.services {
            let platform = self.config.records.filter(|_| service.is_platform());
            let ajp =
                service.ajp.map(|ajp| Rc::new(AjpConfig { secret: ajp.secret, packet_bytes: ajp.packet }));
            let target = CallTarget { path: service.path.as_str().into(), platform, ajp };
            let name: Rc<str> = service.name.as_str().into();
            let kept = before.remove(&name).filter(|(old, _)| *old == target);
            let orders = kept.map_or_else(|| self.reach(target.clone()), |(_, orders)| orders);
            self.dependencies.insert(name, (target, orders));
        }
        let mailboxes =
            self.dependencies.iter().map(|(name, (_, orders))| (name.clone(), orders.clone())).collect();
        let shares = operator.fleet.iter().flat_map(|fleet| {
            fleet.shared.iter().map(|(name, whole)| to_calls::SharedQuotaConfig {
                dependency: Rc::from(name.as_str()),
                config: fleet.allowance(*whole),
            })
        });
        let shares = shares.collect();
        Ok(DependencySettings { config: operator.dependencies, mailboxes, shared_quotas: shares, charge })
    }

    /// Starts an actor for a dependency.
    fn reach(&self, target: CallTarget) -> Sender<to_calls::DependencyCommand> {
        let (orders, taken) = bounded(dependency::MAILBOX_CAPACITY);
        let to = (target, self.sockets.clone());
        let (executor, module) = (self.executor.clone(), self.module.clone());
        let actor = DependencyClient::new(executor, to, taken, module, self.clock.clone(), self.log.clone());
        self.executor.spawn(actor.run()).detach();
        orders
    }

    /// Passes through the phases up to the end.
    async fn live(mut self, mut life: Life, mut notices: Notices) {
        while life.phase() != Phase::Ended {
            match self.next(life.next_at(), &mut notices).await {
                Next::Up => life.enter(Phase::Serving),
                Next::Notice(Notice::Reload) => self.reload().await,
                Next::Notice(Notice::Leave) => {
                    let (noticed_at, stop) = (self.clock.now(), self.config.stop);
                    if life.leave(noticed_at, stop) {
                        // Before the drain begins, and without waiting for it: the others hear that this one leaves.
                        self.tell_fleet(to_fleet::FleetCommand::Leave);
                        let _ = self
                            .module
                            .send(AdmissionMessage::Drain {
                                noticed_at,
                                stop_at: noticed_at.saturating_add(stop),
                            })
                            .await;
                    }
                }
                Next::Time => {
                    if life.pass(self.clock.now()) && life.phase() == Phase::Closing {
                        self.tell_fleet(to_fleet::FleetCommand::AnnounceDeparture);
                        let _ = self.front.send(to_front::ListenerCommand::Drain).await;
                    }
                }
                Next::Empty => life.enter(Phase::Ended),
            }
        }
    }

    fn tell_fleet(&self, order: to_fleet::FleetCommand) {
        if let Some(running) = &self.fleet {
            let _ = running.orders.try_send(order);
        }
    }

    /// Goes over to what is in the files now, if both are sound and change nothing that can't change in a running
    /// program; else the old stays in force, whole. A file that is broken or half written must not cost what is
    /// being served.
    async fn reload(&mut self) {
        let read = self.files.load().and_then(|(new, operator)| {
            self.config.can_become(&new)?;
            let before = self.fleet.as_ref().map(|running| &running.told);
            if let Some(operator) = &operator {
                fleet::can_become(before, operator.fleet.as_ref())
                    .map_err(|why| format!("{}{why}", self.files.operator_name()))?;
            }
            Ok((new, operator))
        });
        match read {
            Ok((new, operator)) => self.change_over(new, operator).await,
            Err(why) => error!(self.log, "the old configuration stays"; "why" => why),
        }
    }

    /// Tells each actor where its peer is from now on. Those whose address has not changed drop nothing.
    async fn change_over(&mut self, new: Config, operator: Option<Operator>) {
        info!(self.log, "new configuration"; "agent" => %new.agent, "announce" => %new.announce);
        if new.agent != self.config.agent {
            let _ = self.agent.send(to_agent::AgentActorMessage::SetAddress(new.agent)).await;
        }
        if let Some(address) = new.records.filter(|_| new.records != self.config.records) {
            let _ = self.records.send(to_calls::DependencyCommand::SetAddress(address)).await;
            for (target, orders) in self.dependencies.values_mut().filter(|(t, _)| t.platform.is_some()) {
                target.platform = Some(address);
                let _ = orders.send(to_calls::DependencyCommand::SetAddress(address)).await;
            }
        }
        if new.announce != self.config.announce {
            let _ = self.list.send(to_list::RegistrationCommand::SetAddress(new.announce)).await;
        }
        self.config = new;
        let Some(operator) = operator else { return };
        if let (Some(running), Some(told)) = (&mut self.fleet, &operator.fleet) {
            running.told = told.clone();
            let about = fleet::about(&self.config, &operator);
            let set = to_fleet::FleetConfig {
                membership: told.membership.clone(),
                peer_addresses: told.addresses.clone(),
                build_info: about,
                replicated_store: told.record.clone(),
            };
            let _ = running.orders.send(to_fleet::FleetCommand::Reconfigure(Box::new(set))).await;
        }
        let plans = operator.dependencies.plans.len();
        match self.wanted(operator) {
            Ok(wanted) => {
                info!(self.log, "new plans"; "plans" => plans, "dependencies" => self.dependencies.len());
                let _ = self.module.send(AdmissionMessage::DependenciesReconfigured(Box::new(wanted))).await;
            }
            Err(why) => error!(self.log, "the old plans stay"; "why" => why),
        }
    }

    /// Waits for the next thing that may change the phase.
    async fn next(&mut self, at: Option<Micros>, notices: &mut Notices) -> Next {
        let Program { up, connections, clock, .. } = self;
        let is_up = async {
            match up.recv().await {
                Ok(()) => Next::Up,
                Err(_) => future::pending().await,
            }
        };
        let notice = async {
            let notice = notices.next().await;
            Next::Notice(notice)
        };
        let time = async {
            let Some(at) = at else { return future::pending().await };
            Timer::after(Duration::from_micros(at.saturating_sub(clock.now()))).await;
            Next::Time
        };
        let empty = async {
            connections.await;
            Next::Empty
        };
        future::or(is_up, future::or(notice, future::or(time, empty))).await
    }
}

#[cfg(test)]
mod tests;

//! From start to exit.

pub mod clock;
pub mod config;
pub mod log;
pub mod phase;
pub mod rare;
pub mod signals;
pub mod standstill;

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{bounded, Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{error, info, Logger};
use umberloom::interface::Micros;

use crate::memory::budget::Budget;
use crate::module::{self, Message, Module, Others};
use crate::peers::agent::{self, Agent};
use crate::peers::balancer::Shared;
use crate::peers::front::{self, Front, Places};
use crate::peers::list::{self, List};
use crate::peers::records::{self, Records};
use clock::Clock;
use config::Config;
use phase::{Life, Phase};
use signals::{Notice, Notices};

/// The share of the memory limit that peers can make this process take.
const PEERS_SHARE: usize = 2;

/// How descriptors are parted: what is kept for other peers than balancers, and calls at once.
struct Parts {
    connections: usize,
    calls: usize,
}

impl Parts {
    /// Balancers open up to half of the limit; of the rest a part is kept for the agent, the list, calls,
    /// the log and what the executor itself needs.
    fn of(sockets: usize) -> Parts {
        let own = 24.min(sockets / 4);
        let calls = 64.min(sockets / 8);
        Parts { connections: sockets - own - calls, calls }
    }
}

/// Serves until the program is told to end; an error comes before anything is served. The configuration was
/// read from the file at `path` and is read from there again on notice.
pub fn serve(config: Config, path: &Path, notices: Notices, log: Logger) -> Result<(), String> {
    let mut life = Life::new(log.clone());
    let listener = TcpListener::bind(config.listen).and_then(Async::new);
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let clock = Clock::default();
    let executor = Rc::new(LocalExecutor::new());
    life.enter(Phase::Waiting);
    executor.spawn(standstill::watch(log.clone())).detach();
    let program = Program::start(&executor, (config, path), listener, clock, &log);
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
struct Program {
    config: Config,
    path: PathBuf,
    module: Sender<Message>,
    agent: Sender<agent::Word>,
    records: Sender<records::Order>,
    list: Sender<list::Word>,
    front: Sender<front::Order>,
    up: Receiver<()>,
    connections: Task<()>,
    clock: Clock,
    log: Logger,
}

impl Program {
    fn start<'a>(
        executor: &Rc<LocalExecutor<'a>>,
        (config, path): (Config, &Path),
        listener: Async<TcpListener>,
        clock: Clock,
        log: &Logger,
    ) -> Program {
        let parts = Parts::of(config.limits.sockets);
        let (module, mail) = bounded(module::MAILBOX);
        let (agent, agent_orders) = bounded(agent::MAILBOX);
        let (records, records_orders) = bounded(records::MAILBOX);
        let (list, list_words) = bounded(list::MAILBOX);
        let (front, front_orders) = bounded(front::MAILBOX);
        let (up_told, up) = bounded(1);
        let others = Others {
            agent: agent.clone(),
            records: records.clone(),
            list: list.clone(),
            front: front.clone(),
            up: up_told,
        };
        let told = (config.settings.clone(), config.gauges.clone());
        executor.spawn(Module::new(told, mail, others, clock.clone(), log.clone()).run()).detach();
        executor.spawn(Agent::new(config.agent, agent_orders, module.clone(), log.clone()).run()).detach();
        executor.spawn(List::new(config.announce, &config.name, list_words, log.clone()).run()).detach();
        if let Some(address) = config.records {
            let to = (address, parts.calls);
            let (own, clock) = (executor.clone(), clock.clone());
            let calls = Records::new(own, to, records_orders, module.clone(), clock, log.clone());
            executor.spawn(calls.run()).detach();
        }
        let shared = Shared {
            module: module.clone(),
            classes: Rc::new(config.classes.clone()),
            connections: parts.connections,
            serial: Rc::default(),
            budget: Budget::new(config.limits.memory / PEERS_SHARE),
            clock: clock.clone(),
            log: log.clone(),
        };
        let from = (listener, Places::of(parts.connections));
        let idle = config.settings.idle_max;
        let connections =
            executor.spawn(Front::new(executor.clone(), from, shared, front_orders, idle).run());
        let (path, log) = (path.to_owned(), log.clone());
        Program { config, path, module, agent, records, list, front, up, connections, clock, log }
    }

    /// Passes through the phases up to the end.
    async fn live(mut self, mut life: Life, mut notices: Notices) {
        while life.phase() != Phase::Ended {
            match self.next(life.next_at(), &mut notices).await {
                Next::Up => life.enter(Phase::Serving),
                Next::Notice(Notice::Reload) => self.reload().await,
                Next::Notice(Notice::Leave) => {
                    let stop = self.config.stop;
                    if life.leave(self.clock.now(), stop) {
                        let _ = self.module.send(Message::Leave(stop)).await;
                    }
                }
                Next::Time => {
                    if life.pass(self.clock.now()) && life.phase() == Phase::Closing {
                        let _ = self.front.send(front::Order::Finish).await;
                    }
                }
                Next::Empty => life.enter(Phase::Ended),
            }
        }
    }

    /// Goes over to the configuration that is in the file now, if it is sound and changes nothing that can't
    /// change in a running program; else the old one stays in force, whole. A file that is broken or half
    /// written must not cost what is being served.
    async fn reload(&mut self) {
        let read = Config::load(&self.path).and_then(|new| self.config.can_become(&new).map(|()| new));
        match read {
            Ok(new) => self.change_over(new).await,
            Err(why) => error!(self.log, "the old configuration stays"; "why" => why),
        }
    }

    /// Tells each actor where its peer is from now on. Those whose address has not changed drop nothing.
    async fn change_over(&mut self, new: Config) {
        info!(self.log, "new configuration"; "agent" => %new.agent, "announce" => %new.announce);
        if new.agent != self.config.agent {
            let _ = self.agent.send(agent::Word::Address(new.agent)).await;
        }
        if let Some(address) = new.records.filter(|_| new.records != self.config.records) {
            let _ = self.records.send(records::Order::Address(address)).await;
        }
        if new.announce != self.config.announce {
            let _ = self.list.send(list::Word::Address(new.announce)).await;
        }
        self.config = new;
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

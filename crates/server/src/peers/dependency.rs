//! Calls to one dependency: one at a time on a connection, over a few connections kept open to each of its
//! endpoints. The platform's records service is one such dependency, at the address in the configuration.

mod call;
mod pool;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use slog::{debug, Logger};
use umberloom::interface::Outcome;

use super::ajp::AjpConfig;
use crate::lifecycle::clock::Clock;
use crate::messages::calls::{Call, CallId, DependencyCommand};
use crate::messages::AdmissionMessage;
pub use call::exchange;
pub use pool::SocketBudget;
use pool::{IdlePool, SharedIdlePool, SocketPermit};

/// Capacity of the mailbox in commands.
pub const MAILBOX_CAPACITY: usize = 4096;
/// Interval between checks for connections that have been idle for too long and for calls that have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Where the calls of an actor go, and over which protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTarget {
    /// URL path of the calls.
    pub path: Rc<str>,
    /// Address of the platform if the dependency is its records service; used for calls that name no address.
    pub platform: Option<SocketAddr>,
    /// Set if calls are made over AJP; otherwise they are made over HTTP.
    pub ajp: Option<Rc<AjpConfig>>,
}

impl CallTarget {
    /// The platform's records service.
    pub fn records_service(address: SocketAddr) -> CallTarget {
        CallTarget { path: "/records/op".into(), platform: Some(address), ajp: None }
    }
}

/// The actor that makes the calls to one dependency.
pub struct DependencyClient<'a> {
    executor: Rc<LocalExecutor<'a>>,
    target: CallTarget,
    sockets: SocketBudget,
    commands: Receiver<DependencyCommand>,
    admission: Sender<AdmissionMessage>,
    clock: Clock,
    log: Logger,
    pool: SharedIdlePool,
    /// Calls in flight, and those that ended since the last check; dropping a task cancels its call.
    calls: BTreeMap<CallId, Task<()>>,
}

impl<'a> DependencyClient<'a> {
    /// Creates the actor for calls to `target`; calls for which there is no socket are rejected.
    pub fn new(
        executor: Rc<LocalExecutor<'a>>,
        (target, sockets): (CallTarget, SocketBudget),
        commands: Receiver<DependencyCommand>,
        admission: Sender<AdmissionMessage>,
        clock: Clock,
        log: Logger,
    ) -> DependencyClient<'a> {
        let pool = IdlePool::new(&sockets);
        let calls = BTreeMap::new();
        DependencyClient { executor, target, sockets, commands, admission, clock, log, pool, calls }
    }

    /// Makes calls until all senders of commands are gone and the last call has ended.
    pub async fn run(mut self) {
        let mut next_idle_check = Instant::now() + IDLE_CHECK_INTERVAL;
        loop {
            let command = async { Some(self.commands.recv().await) };
            let idle_check = async {
                Timer::at(next_idle_check).await;
                None
            };
            let command = match future::or(command, idle_check).await {
                Some(Ok(command)) => Some(command),
                Some(Err(_)) => break,
                None => None,
            };
            if Instant::now() >= next_idle_check {
                next_idle_check = Instant::now() + IDLE_CHECK_INTERVAL;
                self.calls.retain(|_, task| !task.is_finished());
                self.pool.borrow_mut().expire();
            }
            if let Some(command) = command {
                if !self.handle_command(command).await {
                    return;
                }
            }
        }
        // The operator's file no longer names this dependency: calls in flight are completed, not cancelled.
        for (_, call) in std::mem::take(&mut self.calls) {
            call.await;
        }
    }

    /// Handles one command; returns `false` once admission has ended.
    async fn handle_command(&mut self, command: DependencyCommand) -> bool {
        match command {
            DependencyCommand::Call(call) => {
                // A second call with the same id cancels the first: dropping it closes its connection.
                self.calls.remove(&call.id);
                return self.start_call(call).await;
            }
            DependencyCommand::Cancel(id) => drop(self.calls.remove(&id)),
            DependencyCommand::SetAddress(address) => {
                // Calls still in flight return their connections to the old pool, which is dropped after the
                // last one.
                self.target.platform = Some(address);
                self.pool = IdlePool::new(&self.sockets);
            }
        }
        true
    }

    /// Starts a call, or reports to admission that it can't start; returns `false` once admission has ended.
    async fn start_call(&mut self, call: Call) -> bool {
        let address = call.address.or(self.target.platform);
        let (Some(address), Some(permit)) = (address, self.sockets.acquire()) else {
            debug!(self.log, "call rejected: no socket available"; "request" => &*call.id.request);
            let rejected = AdmissionMessage::CallEnded {
                id: call.id,
                outcome: Outcome::Rejected,
                duration: 0,
                body: Vec::new(),
            };
            return self.admission.send(rejected).await.is_ok();
        };
        let id = call.id.clone();
        let task = self.executor.spawn(self.call_and_report(address, call, permit));
        self.calls.insert(id, task);
        true
    }

    /// Makes the call and reports its outcome to admission.
    fn call_and_report(
        &self,
        address: SocketAddr,
        call: Call,
        permit: SocketPermit,
    ) -> impl std::future::Future<Output = ()> + 'a {
        let target = self.target.clone();
        let pool = self.pool.clone();
        let admission = self.admission.clone();
        let clock = self.clock.clone();
        async move {
            let started_at = clock.now();
            let timeout = Duration::from_micros(call.deadline.saturating_sub(started_at));
            let (outcome, body) = call::make_call(address, &target, &pool, &call, timeout).await;
            drop(permit);
            let duration = clock.now() - started_at;
            // Fails only if admission has ended, which happens at process exit.
            let _ =
                admission.send(AdmissionMessage::CallEnded { id: call.id, outcome, duration, body }).await;
        }
    }
}

#[cfg(test)]
mod tests;

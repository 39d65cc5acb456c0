//! The running server: handles the events that may change its phase, until the exit.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use slog::{info, Logger};
use umberloom::interface::Micros;

use super::clock::Clock;
use super::config::Config;
use super::config_files::ConfigFiles;
use super::dependencies::DependencyHandle;
use super::fleet::FleetHandle;
use super::phase::{Phase, PhaseTracker};
use super::signals::{CheckLateness, SignalListener, SignalRequest};
use super::stall_detector::{SchedulerStats, NANOS_PER_MILLI};
use super::startup::Senders;
use crate::memory::budget::Budget;
use crate::messages::diagnostics::{AgentLinkStatus, ConnectionCounts, OpenConnections};
use crate::messages::fleet::FleetCommand;
use crate::messages::listener::ListenerCommand;
use crate::messages::AdmissionMessage;
use crate::peers::dependency::SocketBudget;

const MICROS_PER_MILLI: Micros = 1_000;

/// An event that the running server waits for.
enum ServerEvent {
    /// The render farm agent has sent its greeting.
    AgentUp,
    /// A signal was received.
    Signal(SignalRequest),
    /// The next phase may be due.
    Timeout,
    /// The last connection of a balancer is closed.
    ConnectionsClosed,
}

/// The state of the running server: its configuration and handles to its actors.
pub struct Server<'a> {
    pub(super) executor: Rc<LocalExecutor<'a>>,
    /// The configuration in force.
    pub(super) config: Config,
    pub(super) files: ConfigFiles,
    /// Budget of the memory that peers can make this process use.
    pub(super) budget: Budget,
    /// Budget of the sockets for calls to dependencies.
    pub(super) call_sockets: SocketBudget,
    /// Dependencies of the operator's file, by name.
    pub(super) dependencies: BTreeMap<Rc<str>, DependencyHandle>,
    pub(super) senders: Senders,
    pub(super) fleet: Option<FleetHandle>,
    /// Receives one message when the agent has sent its greeting.
    pub(super) agent_up: Receiver<()>,
    /// Completes when the last connection of a balancer is closed.
    pub(super) connections: Task<()>,
    pub(super) agent_link: AgentLinkStatus,
    pub(super) open_connections: OpenConnections,
    pub(super) clock: Clock,
    pub(super) log: Logger,
}

impl Server<'_> {
    /// Handles events until the process is to exit.
    pub async fn run(mut self, mut phase: PhaseTracker, mut signals: SignalListener) {
        while phase.phase() != Phase::Stopped {
            // The other actors get their turn between two events, however fast these come.
            future::yield_now().await;
            match self.next_event(phase.next_timeout(), &mut signals).await {
                ServerEvent::AgentUp => phase.enter(Phase::Serving),
                ServerEvent::Signal(SignalRequest::Reload) => self.reload().await,
                ServerEvent::Signal(SignalRequest::Shutdown { not_before }) => {
                    self.begin_drain(&mut phase, not_before).await;
                }
                ServerEvent::Timeout => self.handle_timeout(&mut phase).await,
                ServerEvent::ConnectionsClosed => phase.enter(Phase::Stopped),
            }
        }
        self.log_exit(signals.lateness());
    }

    /// Logs what was left at the exit, and how much the process was run, so that a request without a response
    /// can be traced.
    fn log_exit(&self, lateness: CheckLateness) {
        let scheduled = SchedulerStats::now();
        let ConnectionCounts { awaiting_response, unwritten, awaiting_peer_close, idle } =
            self.open_connections.counts();
        let (agent_link, agent_link_age) = self.agent_link.state();
        let sample_age_ms = self.agent_link.sample_age().map(|age| age.as_millis() as u64);
        info!(self.log, "exiting";
            "longest_late_check_ms" => lateness.longest / MICROS_PER_MILLI,
            "late_checks_ms" => lateness.total / MICROS_PER_MILLI,
            "waited_ms" => scheduled.waiting_ns / NANOS_PER_MILLI,
            "ran_ms" => scheduled.running_ns / NANOS_PER_MILLI,
            "sample_age_ms" => sample_age_ms,
            "agent_link_age_ms" => agent_link_age.as_millis() as u64,
            "agent_link" => %agent_link,
            "idle" => idle,
            "awaiting_peer_close" => awaiting_peer_close,
            "unwritten" => unwritten,
            "awaiting_response" => awaiting_response);
    }

    /// Begins to drain on a shutdown signal that came after `noticed_at`. The stop is counted from there, as
    /// the process is killed that long after the signal was sent and not after it was read.
    async fn begin_drain(&self, phase: &mut PhaseTracker, noticed_at: Micros) {
        let stop_after = self.config.shutdown_time;
        if !phase.begin_drain(noticed_at, stop_after) {
            return;
        }
        let unchecked_us = self.clock.now().saturating_sub(noticed_at);
        info!(self.log, "shutdown signal received"; "since_last_check_us" => unchecked_us);
        // The fleet is notified that this server leaves before the drain begins, and without waiting for the
        // fleet.
        self.notify_fleet(FleetCommand::Leave);
        let drain = AdmissionMessage::Drain { noticed_at, stop_at: noticed_at.saturating_add(stop_after) };
        // Fails only if the admission actor has ended; then there is nothing to drain.
        let _ = self.senders.admission.send(drain).await;
    }

    async fn handle_timeout(&self, phase: &mut PhaseTracker) {
        if phase.handle_timeout(self.clock.now()) && phase.phase() == Phase::Closing {
            self.notify_fleet(FleetCommand::AnnounceDeparture);
            // Fails only if the listener has ended, and its connections with it.
            let _ = self.senders.listener.send(ListenerCommand::Drain).await;
        }
    }

    fn notify_fleet(&self, command: FleetCommand) {
        if let Some(fleet) = &self.fleet {
            // If the mailbox is full, the command is lost: the shutdown does not wait, and the other members
            // detect the departure by their probes.
            let _ = fleet.mailbox.try_send(command);
        }
    }

    /// Waits for the next event. If several are ready, the earliest variant of [`ServerEvent`] is returned
    /// first.
    async fn next_event(&mut self, timeout: Option<Micros>, signals: &mut SignalListener) -> ServerEvent {
        let Server { agent_up, connections, clock, .. } = self;
        let agent_up = async {
            match agent_up.recv().await {
                Ok(()) => ServerEvent::AgentUp,
                Err(_) => future::pending().await,
            }
        };
        let signal = async {
            let request = signals.next().await;
            ServerEvent::Signal(request)
        };
        let timeout = async {
            let Some(at) = timeout else { return future::pending().await };
            Timer::after(Duration::from_micros(at.saturating_sub(clock.now()))).await;
            ServerEvent::Timeout
        };
        let connections_closed = async {
            connections.await;
            ServerEvent::ConnectionsClosed
        };
        future::or(agent_up, future::or(signal, future::or(timeout, connections_closed))).await
    }
}

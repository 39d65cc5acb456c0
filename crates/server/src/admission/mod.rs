//! The actor that owns the admission controller and the state of each request.
//!
//! The actor turns messages from all other actors into events for the controller, takes the controller's
//! steps (see [`AdmissionController::step`]), and executes the resulting actions: commands to the agent,
//! downstream calls, responses to callers. Only this actor calls `step`, and only it changes the state of a
//! request.
//!
//! - [`arrivals`]: arriving requests, and links between duplicates
//! - [`actions`]: execution of the controller's actions
//! - [`agent_events`]: the agent's reports on runs and gauges
//! - [`calls`]: downstream calls of runs
//! - [`responses`]: final responses, and the removal of ended requests
//! - [`health_checks`]: answers to health checks
//! - [`draining`]: the notice to drain
//! - [`mailboxes`]: messages to the other actors

mod actions;
mod agent_events;
mod arrivals;
mod calls;
mod draining;
mod health_checks;
mod mailboxes;
mod responses;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use slog::Logger;
use umberloom::interface::{Event, Micros, Settings};
use umberloom::AdmissionController;
use umberloom_settings::shape::Shape;
use umberloom_settings::GaugeNames;

use crate::dependency_calls::DependencyCalls;
use crate::lifecycle::clock::Clock;
use crate::lifecycle::log_throttle::LogThrottle;
use crate::memory::idempotency_cache::IdempotencyCache;
use crate::memory::request_table::RequestTable;
use crate::messages::AdmissionMessage;
use agent_events::PendingGaugeSample;
use draining::DrainNotice;
use health_checks::PendingHealthCheck;

pub use mailboxes::Mailboxes;

/// Maximum number of messages that wait in this actor's mailbox.
pub const MAILBOX_CAPACITY: usize = 256;
/// Maximum number of messages that are taken from the mailbox at once, before timeouts are handled.
const MAX_MESSAGES_PER_READ: usize = 4 * MAILBOX_CAPACITY;

/// Settings, mailboxes and services that the actor is created with.
pub struct AdmissionParts {
    /// The controller's settings, validated.
    pub settings: Settings,
    /// What requests state about themselves at this deployment, such as timeouts and retry marks.
    pub shape: Shape,
    /// Names of the gauges in the agent's samples, in order.
    pub gauge_names: GaugeNames,
    /// Downstream calls of runs whose class has a call plan; `None` without an operator's file.
    pub dependency_calls: Option<DependencyCalls>,
    /// Idempotency keys with their results. Only this actor changes them; connections read them.
    pub idempotency_cache: Rc<RefCell<IdempotencyCache>>,
    /// Receiving end of this actor's mailbox.
    pub inbox: Receiver<AdmissionMessage>,
    /// The mailboxes of the other actors.
    pub mailboxes: Mailboxes,
    /// The clock that times messages and actions.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

/// The admission actor.
pub struct AdmissionActor {
    settings: Settings,
    shape: Shape,
    gauge_names: GaugeNames,
    /// The controller; `None` until the agent is up, as a server's warm-up is counted from its agent's start.
    controller: Option<AdmissionController>,
    dependency_calls: Option<DependencyCalls>,
    inbox: Receiver<AdmissionMessage>,
    mailboxes: Mailboxes,
    clock: Clock,
    log: Logger,
    requests: RequestTable,
    idempotency_cache: Rc<RefCell<IdempotencyCache>>,
    /// Events for the next step.
    events: Vec<Event>,
    /// Events for the step after the current one.
    deferred_events: VecDeque<Event>,
    /// When the controller's next timer event is due.
    wake_at: Option<Micros>,
    /// The gauge sample that the current timer event waits for.
    gauge_sample: Option<PendingGaugeSample>,
    /// Tag of the last gauge sample or health check that was sent to the agent.
    last_tag: u64,
    /// Deep health checks that wait for the agent, by tag.
    health_checks: BTreeMap<u64, PendingHealthCheck>,
    /// The controller's readiness, once it has set one.
    ready: Option<bool>,
    /// The idle timeout of connections, if it has not been sent to the listener yet.
    unsent_idle_timeout: Option<Micros>,
    drain_notice: Option<DrainNotice>,
    full_mailbox_throttle: LogThrottle,
}

impl AdmissionActor {
    /// Creates an actor that rejects all requests until the agent is up.
    pub fn new(parts: AdmissionParts) -> AdmissionActor {
        AdmissionActor {
            settings: parts.settings,
            shape: parts.shape,
            gauge_names: parts.gauge_names,
            controller: None,
            dependency_calls: parts.dependency_calls,
            inbox: parts.inbox,
            mailboxes: parts.mailboxes,
            clock: parts.clock,
            log: parts.log,
            requests: RequestTable::default(),
            idempotency_cache: parts.idempotency_cache,
            events: Vec::new(),
            deferred_events: VecDeque::new(),
            wake_at: None,
            gauge_sample: None,
            last_tag: 0,
            health_checks: BTreeMap::new(),
            ready: None,
            unsent_idle_timeout: None,
            drain_notice: None,
            full_mailbox_throttle: LogThrottle::default(),
        }
    }

    /// Runs until all senders of messages are gone. Takes at most one step per tick of the settings.
    pub async fn run(mut self) {
        let mut next_step: Micros = 0;
        while self.wait_for_input().await {
            let wait = next_step.saturating_sub(self.clock.now());
            if wait > 0 && !self.events.is_empty() {
                Timer::after(Duration::from_micros(wait)).await;
                self.read_inbox();
            }
            if self.step() {
                next_step = self.clock.now() + self.settings.tick;
            }
        }
    }

    /// Waits for the next message or timeout, and handles all messages that have arrived and timeouts that
    /// are due; `false` if all senders of messages are gone.
    async fn wait_for_input(&mut self) -> bool {
        let now = self.clock.now();
        let next_timeout = self.next_timeout(now);
        let timeout = async {
            match next_timeout {
                Some(at) => drop(Timer::after(Duration::from_micros(at.saturating_sub(now))).await),
                None => future::pending().await,
            }
            Ok(None)
        };
        let message = async { self.inbox.recv().await.map(Some) };
        let Ok(received) = future::or(message, timeout).await else { return false };
        self.events.extend(self.deferred_events.drain(..));
        if let Some(message) = received {
            self.handle_message(self.clock.now(), message);
        }
        self.read_inbox();
        true
    }

    /// Handles the messages in the mailbox and the timeouts that are due.
    fn read_inbox(&mut self) {
        let now = self.clock.now();
        for _ in 0..MAX_MESSAGES_PER_READ {
            let Ok(message) = self.inbox.try_recv() else { break };
            self.handle_message(now, message);
        }
        self.handle_timeout(now);
    }

    /// When the next timeout is due; `now` if events wait for a step.
    fn next_timeout(&self, now: Micros) -> Option<Micros> {
        let can_step = self.controller.is_some() && !self.events.is_empty();
        if can_step || !self.deferred_events.is_empty() {
            return Some(now);
        }
        let timeouts = [
            self.wake_at,
            self.gauge_sample.as_ref().map(|sample| sample.deadline),
            self.next_health_check_deadline(),
            self.dependency_calls.as_ref().and_then(|calls| calls.next_timeout(now)),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Handles the timeouts that are due at `now`. After a stall each of them is handled once.
    fn handle_timeout(&mut self, now: Micros) {
        if let Some(calls) = &mut self.dependency_calls {
            calls.handle_timeout(now);
            self.take_finished_plans();
        }
        if self.wake_at.is_some_and(|at| now >= at) {
            self.wake_at = None;
            self.send_idle_timeout();
            self.expire_keys(now);
            self.sample_gauges(now);
        }
        self.expire_gauge_sample(now);
        self.expire_health_checks(now);
    }

    fn handle_message(&mut self, now: Micros, message: AdmissionMessage) {
        match message {
            AdmissionMessage::Request(request) => self.handle_request(now, *request),
            AdmissionMessage::HealthCheck(check) => self.handle_health_check(now, check),
            AdmissionMessage::Cancelled { id, serial } => self.handle_cancellation(&id, serial),
            AdmissionMessage::AgentUp { uptime } => self.handle_agent_up(now, uptime),
            AdmissionMessage::AgentLinkLost => self.fail_health_checks(),
            AdmissionMessage::LaunchUncertain { id } => self.handle_uncertain_launch(&id),
            AdmissionMessage::RunEnded { id, outcome, duration } => {
                self.handle_run_end(&id, outcome, duration);
            }
            AdmissionMessage::NeedsCall { id, notice_seq, body } => {
                self.handle_needs_call(&id, notice_seq, body);
            }
            AdmissionMessage::GaugesSampled { tag, values } => self.handle_gauges(tag, values),
            AdmissionMessage::HealthCheckEnded { tag, healthy } => {
                self.handle_health_check_end(tag, healthy);
            }
            AdmissionMessage::AgentRejected { command, id } => self.handle_rejected_command(&command, &id),
            AdmissionMessage::InvalidAgentNotice { id } => self.handle_invalid_notice(&id),
            AdmissionMessage::CallEnded { id, outcome, duration, body } => {
                self.handle_call_end(now, id, outcome, duration, body);
            }
            AdmissionMessage::DependenciesReconfigured(settings) => {
                if let Some(calls) = &mut self.dependency_calls {
                    calls.reconfigure(now, *settings);
                    self.take_finished_plans();
                }
            }
            AdmissionMessage::Fleet(event) => {
                if let Some(calls) = &mut self.dependency_calls {
                    calls.handle_fleet_event(now, event);
                    self.take_finished_plans();
                }
            }
            AdmissionMessage::Drain { noticed_at, stop_at } => {
                self.handle_drain_notice(now, DrainNotice { noticed_at, stop_at });
            }
        }
    }

    /// Takes one step and executes its actions; `false` if there are no events or no controller.
    fn step(&mut self) -> bool {
        if self.events.is_empty() {
            return false;
        }
        let Some(controller) = self.controller.as_mut() else { return false };
        let now = self.clock.now();
        let mut events = std::mem::take(&mut self.events);
        if let Some(notice) = &self.drain_notice {
            notice.update_events(&mut events, now);
        }
        let mut actions = Vec::new();
        controller.step(now, events, &mut actions);
        for action in actions {
            self.execute(now, action);
        }
        self.fail_overdue(now);
        true
    }

    /// Returns a new tag, by which the agent's answer to a command is recognized.
    fn next_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }
}

#[cfg(test)]
mod tests;

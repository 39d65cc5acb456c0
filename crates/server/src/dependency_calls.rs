//! Downstream calls of runs whose class has a call plan.
//!
//! [`Engine`] decides which calls are made and when. This module passes them to the actors of the
//! dependencies and tracks the plans and attempts in flight. Each attempt to a dependency with a distributed
//! quota needs a permit from that quota (see [`QuotaLeases`]).

mod status_log;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use async_channel::Sender;
use slog::{warn, Logger};
use umberloom::interface::{Micros, Outcome, RequestId};
use umberloom_dependencies::{Action, AttemptId, Engine, PlanId, PlanRequest};

use crate::memory::budget::Charge;
use crate::memory::request_table::OpenRequest;
use crate::messages::calls::{Call, CallId, DependencyCommand, DependencySettings};
use crate::messages::fleet::FleetEvent;
use crate::quota_leases::QuotaLeases;
use status_log::StatusLog;

/// A call plan that has ended.
pub struct FinishedPlan {
    /// Id of the request that the plan was started for.
    pub id: RequestId,
    /// How the plan ended.
    pub outcome: Outcome,
    /// Time from the plan's start to its end, in microseconds.
    pub duration: Micros,
    /// The encoded aggregated response of the plan's calls, which the run gets; empty if there is none.
    pub reply: Vec<u8>,
}

/// A call plan in flight.
struct PlanInFlight {
    id: RequestId,
    started_at: Micros,
    /// Body that each of the plan's calls is sent with.
    body: Rc<[u8]>,
}

/// An attempt in flight.
struct AttemptInFlight {
    call: CallId,
    /// The mailbox that the attempt was sent to. It keeps the actor of a dependency that is no longer
    /// configured alive until the last attempt has ended.
    mailbox: Sender<DependencyCommand>,
}

/// The call plans in flight, with their attempts.
pub struct DependencyCalls {
    engine: Engine,
    quota_leases: QuotaLeases,
    mailboxes: BTreeMap<Rc<str>, Sender<DependencyCommand>>,
    /// Memory charged for the fallback cache.
    charge: Charge,
    plans: BTreeMap<PlanId, PlanInFlight>,
    plan_by_request: BTreeMap<RequestId, PlanId>,
    attempts: BTreeMap<AttemptId, AttemptInFlight>,
    /// Plans that have ended and were not taken yet.
    finished: Vec<FinishedPlan>,
    last_plan_id: PlanId,
    status_log: StatusLog,
    log: Logger,
}

impl DependencyCalls {
    /// Creates the state without any plan in flight. `None` if the settings are invalid, which does not
    /// happen as invalid settings are rejected when the operator's file is read.
    pub fn new(
        now: Micros,
        settings: DependencySettings,
        mut quota_leases: QuotaLeases,
        seed: u64,
        log: Logger,
    ) -> Option<DependencyCalls> {
        let engine = match Engine::new(now, settings.config, seed) {
            Ok(engine) => engine,
            Err(errors) => {
                warn!(log, "call plans rejected"; "errors" => ?errors);
                return None;
            }
        };
        quota_leases.reconfigure(settings.shared_quotas);
        let mut calls = DependencyCalls {
            engine,
            quota_leases,
            mailboxes: settings.mailboxes,
            charge: settings.charge,
            plans: BTreeMap::new(),
            plan_by_request: BTreeMap::new(),
            attempts: BTreeMap::new(),
            finished: Vec::new(),
            last_plan_id: 0,
            status_log: StatusLog::new(now),
            log,
        };
        calls.update_concurrency_caps(now);
        Some(calls)
    }

    /// Replaces the settings. Plans in flight finish under the old ones.
    pub fn reconfigure(&mut self, now: Micros, settings: DependencySettings) {
        if let Err(errors) = self.engine.reconfigure(now, settings.config) {
            warn!(self.log, "call plans rejected, the old ones stay"; "errors" => ?errors);
            return;
        }
        self.mailboxes = settings.mailboxes;
        self.charge = settings.charge;
        let mut actions = Vec::new();
        for dependency in self.quota_leases.reconfigure(settings.shared_quotas) {
            self.engine.set_concurrency_cap(now, &dependency, usize::MAX, &mut actions);
        }
        self.execute_all(now, actions);
    }

    /// Whether runs of this class have a call plan.
    pub fn has_plan(&self, class: &str) -> bool {
        self.engine.has_plan(class)
    }

    /// Starts the call plan of a request. `levels` is the number of priority levels that ranks are mapped to.
    pub fn start_plan(
        &mut self,
        now: Micros,
        request: &OpenRequest,
        body: Rc<[u8]>,
        deadline: Micros,
        levels: usize,
    ) {
        // A run waits for one call at a time: when it asks for another, it no longer waits for the previous
        // one.
        self.cancel_plan(now, &request.id);
        self.last_plan_id += 1;
        let plan = self.last_plan_id;
        self.plans.insert(plan, PlanInFlight { id: request.id.clone(), started_at: now, body });
        self.plan_by_request.insert(request.id.clone(), plan);
        let plan_request = PlanRequest {
            plan,
            class: &request.work.class,
            priority_level: (request.work.rank * levels as f64) as u16,
            resource_key: request.work.dedup_key.as_deref(),
            call_deadline: deadline,
            request_deadline: request.deadline,
            is_retry: request.had_call_plan,
        };
        let mut actions = Vec::new();
        self.engine.start_plan(now, &plan_request, &mut actions);
        self.execute_all(now, actions);
    }

    /// Handles the end of an attempt.
    pub fn handle_attempt_end(&mut self, now: Micros, call: &CallId, outcome: Outcome, reply: Vec<u8>) {
        // A call has ended at the dependency if its reply is complete, or if it never got there.
        let ended_at_dependency = matches!(outcome, Outcome::Ok | Outcome::Error) || outcome.never_ran();
        self.quota_leases.release(call.attempt, ended_at_dependency);
        if self.attempts.remove(&call.attempt).is_some() {
            let mut actions = Vec::new();
            self.engine.handle_attempt_end(now, call.attempt, outcome, reply, &mut actions);
            self.execute_all(now, actions);
        }
    }

    /// Cancels the call plan of a request; `false` if it has none in flight.
    pub fn cancel_plan(&mut self, now: Micros, id: &str) -> bool {
        let Some(plan) = self.plan_by_request.remove(id) else { return false };
        let mut actions = Vec::new();
        self.engine.cancel_plan(now, plan, &mut actions);
        self.plans.remove(&plan);
        self.execute_all(now, actions);
        true
    }

    /// Handles an event of the fleet. It may change the number of calls that this server may have in flight.
    pub fn handle_fleet_event(&mut self, now: Micros, event: FleetEvent) {
        self.quota_leases.handle_fleet_event(event);
        self.update_concurrency_caps(now);
    }

    /// When [`DependencyCalls::handle_timeout`] is to be called next.
    pub fn next_timeout(&self, now: Micros) -> Option<Micros> {
        let quota_timeout = self.quota_leases.time_to_next_timeout().map(|duration| now + duration);
        self.engine.next_timeout().into_iter().chain(quota_timeout).min()
    }

    /// Performs the actions that are due at `now`.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.engine.next_timeout().is_some_and(|at| now >= at) {
            let mut actions = Vec::new();
            self.engine.handle_timeout(now, &mut actions);
            self.execute_all(now, actions);
        } else {
            self.update_concurrency_caps(now);
        }
        self.status_log.handle_timeout(now, &self.engine, &self.log);
    }

    /// Records how long a run of this class went on after its last call, in microseconds.
    pub fn learn_local_work(&mut self, class: &str, duration: Micros) {
        self.engine.learn_local_work(class, duration);
    }

    /// Takes the plans that have ended since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedPlan> {
        std::mem::take(&mut self.finished)
    }

    /// Executes the engine's actions, and updates the concurrency caps that they may change.
    fn execute_all(&mut self, now: Micros, actions: Vec<Action>) {
        self.execute(now, actions);
        self.update_concurrency_caps(now);
    }

    /// Sets the concurrency cap of each dependency with a quota to the calls that this server has permits
    /// for. A higher cap may let queued calls start.
    fn update_concurrency_caps(&mut self, now: Micros) {
        for dependency in self.quota_leases.dependencies() {
            let demand = self.engine.demand(&dependency);
            let cap = self.quota_leases.update(&dependency, demand);
            let mut actions = Vec::new();
            self.engine.set_concurrency_cap(now, &dependency, cap, &mut actions);
            self.execute(now, actions);
        }
        self.quota_leases.report();
    }

    fn execute(&mut self, now: Micros, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::StartAttempt { attempt, plan, dependency, address, deadline } => {
                    if !self.start_attempt(now, attempt, plan, &dependency, &address, deadline) {
                        let follow_up = self.reject_attempt(now, attempt);
                        actions.extend(follow_up);
                    }
                }
                Action::CancelAttempt(attempt) => self.cancel_attempt(attempt),
                Action::FinishPlan { plan, outcome, response } => {
                    let reply = response.map(|response| response.encode()).unwrap_or_default();
                    self.finish_plan(now, plan, outcome, reply);
                }
            }
        }
    }

    /// Acquires a permit for an attempt and sends the attempt to its dependency's actor; `false` if there is
    /// no permit or the actor's mailbox is full.
    fn start_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        plan: PlanId,
        dependency: &str,
        address: &str,
        deadline: Micros,
    ) -> bool {
        let timeout = deadline.saturating_sub(now);
        let Some(timeout) = self.quota_leases.acquire(dependency, attempt, timeout) else { return false };
        let Some(plan) = self.plans.get(&plan) else { return false };
        let Some(mailbox) = self.mailboxes.get(dependency) else { return false };
        let id = CallId { request: plan.id.clone(), attempt };
        let call = Call {
            id: id.clone(),
            // The endpoint of the platform's records service is no socket address: the service's address is
            // in the server's configuration, and the service's actor has it.
            address: address.parse().ok(),
            body: plan.body.clone(),
            deadline: now + timeout,
        };
        let is_sent = mailbox.try_send(DependencyCommand::Call(call)).is_ok();
        if is_sent {
            self.attempts.insert(attempt, AttemptInFlight { call: id, mailbox: mailbox.clone() });
        }
        is_sent
    }

    /// Ends an attempt that could not be started as rejected, and returns the engine's resulting actions.
    fn reject_attempt(&mut self, now: Micros, attempt: AttemptId) -> Vec<Action> {
        self.quota_leases.release(attempt, true);
        let mut actions = Vec::new();
        self.engine.handle_attempt_end(now, attempt, Outcome::Rejected, Vec::new(), &mut actions);
        actions
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        // The attempt may continue at the dependency until its deadline.
        self.quota_leases.release(attempt, false);
        if let Some(AttemptInFlight { call, mailbox }) = self.attempts.remove(&attempt) {
            // If the mailbox is full, the call ends at its deadline and its end is ignored.
            let _ = mailbox.try_send(DependencyCommand::Cancel(call));
        }
    }

    fn finish_plan(&mut self, now: Micros, plan: PlanId, outcome: Outcome, reply: Vec<u8>) {
        let Some(PlanInFlight { id, started_at, .. }) = self.plans.remove(&plan) else { return };
        self.plan_by_request.remove(&id);
        self.finished.push(FinishedPlan { id, outcome, duration: now - started_at, reply });
    }
}

#[cfg(test)]
mod tests;

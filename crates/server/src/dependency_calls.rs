//! The calls of runs whose class has a plan: the decisions about dependencies, and the mailboxes that their actions
//! go to.

use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::Sender;
use slog::{info, warn, Logger};
use umberloom::interface::{Micros, Outcome, RequestId};
use umberloom_dependencies::{
    breaker, load_balancer, Action, AttemptId, DependencyStatus, Engine, PlanId, PlanRequest,
};

use crate::memory::budget::Charge;
use crate::memory::request_table::OpenRequest;
use crate::messages::calls::{Call, CallId, DependencyCommand, DependencySettings};
use crate::messages::fleet::FleetEvent;
use crate::quota_leases::QuotaLeases;

/// Time between looks at what has been left out and what has come back, for the log.
const WATCH_EVERY: Micros = 1_000_000;

/// A plan that is over.
pub struct Done {
    /// The request it was for.
    pub id: RequestId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Micros,
    /// What the run gets.
    pub reply: Vec<u8>,
}

/// A plan under way.
struct UnderWay {
    id: RequestId,
    since: Micros,
    /// What the run sent along; every call of the plan carries it.
    body: Rc<[u8]>,
}

/// All plans under way.
pub struct DependencyCalls {
    engine: Engine,
    /// Places that several servers share; none without a fleet.
    shares: QuotaLeases,
    mailboxes: BTreeMap<Rc<str>, Sender<DependencyCommand>>,
    charge: Charge,
    plans: BTreeMap<PlanId, UnderWay>,
    by_request: BTreeMap<RequestId, PlanId>,
    /// Where each attempt went: the mailbox of a dependency that is gone ends with its last attempt.
    attempts: BTreeMap<AttemptId, (CallId, Sender<DependencyCommand>)>,
    /// Over, and not yet taken.
    done: Vec<Done>,
    next: PlanId,
    watch_at: Micros,
    seen: Vec<DependencyStatus>,
    log: Logger,
}

impl DependencyCalls {
    /// None under way yet. Settings with mistakes were turned down when the file was read.
    pub fn new(
        now: Micros,
        wanted: DependencySettings,
        mut shares: QuotaLeases,
        seed: u64,
        log: Logger,
    ) -> Option<DependencyCalls> {
        let engine = Engine::new(now, wanted.config, seed);
        let engine = engine.map_err(|mistakes| warn!(log, "no plans"; "why" => ?mistakes)).ok()?;
        shares.set(wanted.shared_quotas);
        let mut plans = DependencyCalls {
            engine,
            shares,
            mailboxes: wanted.mailboxes,
            charge: wanted.charge,
            plans: BTreeMap::new(),
            by_request: BTreeMap::new(),
            attempts: BTreeMap::new(),
            done: Vec::new(),
            next: 0,
            watch_at: now + WATCH_EVERY,
            seen: Vec::new(),
            log,
        };
        plans.share(now);
        Some(plans)
    }

    /// New settings. What is under way ends as it began.
    pub fn set(&mut self, now: Micros, wanted: DependencySettings) {
        match self.engine.reconfigure(now, wanted.config) {
            Ok(()) => {
                (self.mailboxes, self.charge) = (wanted.mailboxes, wanted.charge);
                let mut actions = Vec::new();
                for gone in self.shares.set(wanted.shared_quotas) {
                    self.engine.set_concurrency_cap(now, &gone, usize::MAX, &mut actions);
                }
                self.carry_out(now, actions);
            }
            Err(mistakes) => warn!(self.log, "the old plans stay"; "why" => ?mistakes),
        }
    }

    /// Whether runs of this class have a plan.
    pub fn has_plan(&self, class: &str) -> bool {
        self.engine.has_plan(class)
    }

    /// The decision module lets a run call, until then.
    pub fn begin(&mut self, now: Micros, open: &OpenRequest, body: &[u8], until: Micros, levels: usize) {
        self.give_up(now, &open.id);
        self.next += 1;
        let plan = self.next;
        self.plans.insert(plan, UnderWay { id: open.id.clone(), since: now, body: body.into() });
        self.by_request.insert(open.id.clone(), plan);
        let ask = PlanRequest {
            plan,
            class: &open.work.class,
            priority_level: (open.work.rank * levels as f64) as u16,
            resource_key: open.work.subject_key.as_deref(),
            call_deadline: until,
            request_deadline: open.due,
            is_retry: open.planned,
        };
        let mut actions = Vec::new();
        self.engine.start_plan(now, &ask, &mut actions);
        self.carry_out(now, actions);
    }

    /// An attempt is over.
    pub fn ended(&mut self, now: Micros, call: &CallId, outcome: Outcome, reply: Vec<u8>) {
        // A whole reply says that the call is over there, and so does one that never came there.
        let known = matches!(outcome, Outcome::Ok | Outcome::Error) || outcome.never_ran();
        self.shares.end(call.attempt, known);
        if self.attempts.remove(&call.attempt).is_some() {
            let mut actions = Vec::new();
            self.engine.handle_attempt_end(now, call.attempt, outcome, reply, &mut actions);
            self.carry_out(now, actions);
        }
    }

    /// Nobody waits for the plan of this request any more; `false` if it has none under way.
    pub fn give_up(&mut self, now: Micros, id: &str) -> bool {
        let Some(plan) = self.by_request.remove(id) else { return false };
        let mut actions = Vec::new();
        self.engine.cancel_plan(now, plan, &mut actions);
        self.plans.remove(&plan);
        self.carry_out(now, actions);
        true
    }

    /// When something is due next, `now` being the time.
    pub fn next_at(&self, now: Micros) -> Option<Micros> {
        let shared = self.shares.next_in().map(|span| now + span);
        self.engine.next_timeout().into_iter().chain(shared).min()
    }

    /// News of the fleet.
    pub fn hear(&mut self, now: Micros, news: FleetEvent) {
        self.shares.hear(news);
        self.share(now);
    }

    /// What is due by now.
    pub fn pass(&mut self, now: Micros) {
        if self.engine.next_timeout().is_some_and(|at| now >= at) {
            let mut actions = Vec::new();
            self.engine.handle_timeout(now, &mut actions);
            self.carry_out(now, actions);
        } else {
            self.share(now);
        }
        if now >= self.watch_at {
            self.watch_at = now + WATCH_EVERY;
            self.watch(now);
        }
    }

    /// A run went on for so long after its calls.
    pub fn learn_rest(&mut self, class: &str, took: Micros) {
        self.engine.learn_local_work(class, took);
    }

    /// Plans that are over since the last look.
    pub fn take_done(&mut self) -> Vec<Done> {
        std::mem::take(&mut self.done)
    }

    fn carry_out(&mut self, now: Micros, actions: Vec<Action>) {
        self.act(now, actions);
        self.share(now);
    }

    /// Lets as many calls be in flight as this server has places for, which may let more begin.
    fn share(&mut self, now: Micros) {
        for dependency in self.shares.names() {
            let most = self.shares.pass(&dependency, self.engine.demand(&dependency));
            let mut actions = Vec::new();
            self.engine.set_concurrency_cap(now, &dependency, most, &mut actions);
            self.act(now, actions);
        }
        self.shares.tell();
    }

    fn act(&mut self, now: Micros, actions: Vec<Action>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::StartAttempt { attempt, plan, dependency, address, deadline: until } => {
                    let span = until.saturating_sub(now);
                    let placed = self.shares.take(&dependency, attempt, span);
                    let started = placed
                        .is_some_and(|span| self.start((attempt, plan), &dependency, &address, now + span));
                    if !started {
                        self.shares.end(attempt, true);
                        let mut more = Vec::new();
                        self.engine.handle_attempt_end(
                            now,
                            attempt,
                            Outcome::Rejected,
                            Vec::new(),
                            &mut more,
                        );
                        actions.extend(more);
                    }
                }
                Action::CancelAttempt(attempt) => {
                    // It may go on there until the time that it stated has run out.
                    self.shares.end(attempt, false);
                    if let Some((call, to)) = self.attempts.remove(&attempt) {
                        // A call whose mailbox has no room ends by itself at its time, and is no longer known here.
                        let _ = to.try_send(DependencyCommand::Cancel(call));
                    }
                }
                Action::FinishPlan { plan, outcome, response: envelope } => {
                    let Some(over) = self.plans.remove(&plan) else { continue };
                    self.by_request.remove(&over.id);
                    let reply = envelope.map(|e| e.encode()).unwrap_or_default();
                    self.done.push(Done { id: over.id, outcome, took: now - over.since, reply });
                }
            }
        }
    }

    /// Hands a call to its dependency's actor; `false` if that has no room for it.
    fn start(
        &mut self,
        (attempt, plan): (AttemptId, PlanId),
        dependency: &str,
        address: &str,
        until: Micros,
    ) -> bool {
        let (Some(under_way), Some(to)) = (self.plans.get(&plan), self.mailboxes.get(dependency)) else {
            return false;
        };
        let id = CallId { request: under_way.id.clone(), attempt };
        // The platform's records service is where its configuration says, and no address.
        let call = Call {
            id: id.clone(),
            address: address.parse().ok(),
            body: under_way.body.clone(),
            deadline: until,
        };
        let sent = to.try_send(DependencyCommand::Call(call)).is_ok();
        if sent {
            self.attempts.insert(attempt, (id, to.clone()));
        }
        sent
    }

    /// Tells what has been left out or has come back since the last look.
    fn watch(&mut self, now: Micros) {
        let views = self.engine.status(now);
        for view in &views {
            let before = self.seen.iter().find(|seen| seen.name == view.name);
            let closed = |v: &DependencyStatus| v.breaker == breaker::BreakerState::Closed;
            if before.is_some_and(|b| closed(b) != closed(view)) {
                info!(self.log, "dependency"; "name" => &*view.name, "called" => closed(view),
                    "budget" => view.retry_budget, "limit" => view.limit.value, "moved_by" => ?view.limit.last_change.0);
            }
            for endpoint in &view.endpoints {
                let is_in = |e: &load_balancer::EndpointStatus| {
                    matches!(e.state, load_balancer::EndpointState::Active(_))
                };
                let was = before.and_then(|b| b.endpoints.iter().find(|e| e.address == endpoint.address));
                if was.is_some_and(|was| is_in(was) != is_in(endpoint)) {
                    info!(self.log, "endpoint"; "of" => &*view.name, "address" => &*endpoint.address,
                        "in_use" => is_in(endpoint), "why" => ?endpoint.last_ejection);
                }
            }
        }
        self.seen = views;
    }
}

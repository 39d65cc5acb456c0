//! All plans and all dependencies: events in, actions out.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberloom::interface::{Micros, Outcome};

use crate::aggregation::{AggregateResponse, MissingReason, Part};
use crate::breaker;
use crate::config::{Config, ConfigError, Fallback};
use crate::dependency::{Demand, Dependency, DependencyStatus};
use crate::fallback_cache::{CacheKey, FallbackCache};
use crate::plan::{ActiveCall, ActivePlan, CallState, CallTemplate, PlanTemplate, Timer};
use crate::retry;
use crate::time_budget::{self, LocalWorkEstimate};
use crate::{AttemptId, PlanId};

/// Plans that may be under way: more than any server survives.
const MAX_PLANS: usize = 8_192;

/// A run that waits for the calls of its plan.
#[derive(Clone, Debug)]
pub struct PlanRequest<'a> {
    /// What the host calls it; a plan under way under the same name is given up.
    pub plan: PlanId,
    /// Name of the class of the request.
    pub class: &'a str,
    /// Level of the request; higher ones get scarce places first.
    pub priority_level: u16,
    /// What the request is about, if its results may stand in for each other.
    pub resource_key: Option<&'a str>,
    /// Until when the decision module lets it call.
    pub call_deadline: Micros,
    /// When the request must be answered; what the run still needs is set aside before that.
    pub request_deadline: Micros,
    /// The request has begun a plan before, so that its calls are repeated attempts.
    pub is_retry: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a call. Its end is told with [`Engine::ended`].
    StartAttempt {
        /// Its name.
        attempt: AttemptId,
        /// The plan it belongs to.
        plan: PlanId,
        /// Name of the dependency.
        dependency: Rc<str>,
        /// Address of the endpoint.
        address: Rc<str>,
        /// When it is to be given up, and [`Outcome::TimedOut`] told.
        deadline: Micros,
    },
    /// Give a call up. Its end is not to be told.
    CancelAttempt(AttemptId),
    /// A plan is over.
    FinishPlan {
        /// The plan.
        plan: PlanId,
        /// How it ended: `Ok`; `Refused`, only where nothing may have had its effect; else `Stopped`.
        outcome: Outcome,
        /// What the run gets, where the outcome is `Ok`.
        response: Option<AggregateResponse>,
    },
}

#[derive(Debug)]
struct Attempt {
    plan: PlanId,
    call: usize,
    dependency: usize,
    endpoint: usize,
    started_at: Micros,
    is_probe: bool,
}

/// Counts since the start, for logs and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// First attempts of calls.
    pub first_attempts: u64,
    /// Further attempts, hedges left out.
    pub retries: u64,
    /// Second copies of slow calls.
    pub hedged_requests: u64,
    /// Plans that ended well with every part fresh, and with some part missing or not fresh.
    pub complete: u64,
    /// See `whole`.
    pub partial: u64,
    /// Plans that failed.
    pub failed: u64,
}

/// The decisions about all dependencies of one server.
#[derive(Debug)]
pub struct Engine {
    dependencies: Vec<Dependency>,
    templates: BTreeMap<Rc<str>, Rc<PlanTemplate>>,
    local_work: BTreeMap<Rc<str>, LocalWorkEstimate>,
    plans: BTreeMap<PlanId, ActivePlan>,
    attempts: BTreeMap<AttemptId, Attempt>,
    timers: BTreeSet<(Micros, PlanId, Timer)>,
    fallback_cache: FallbackCache,
    random: ChaCha8Rng,
    next_id: u64,
    counts: CallCounts,
    /// Plans to be looked at, and services that may have a free place, before an event is done with.
    changed_plans: Vec<PlanId>,
    freed_dependencies: BTreeSet<usize>,
}

impl Engine {
    /// With settings that have no mistakes, else all of these.
    pub fn new(now: Micros, config: Config, seed: u64) -> Result<Engine, Vec<ConfigError>> {
        let mut engine = Engine {
            dependencies: Vec::new(),
            templates: BTreeMap::new(),
            local_work: BTreeMap::new(),
            plans: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            fallback_cache: FallbackCache::new(config.fallback_cache),
            random: ChaCha8Rng::seed_from_u64(seed),
            next_id: 0,
            counts: CallCounts::default(),
            changed_plans: Vec::new(),
            freed_dependencies: BTreeSet::new(),
        };
        engine.reconfigure(now, config)?;
        Ok(engine)
    }

    /// New settings, whole or not at all. Plans under way end as they began; what was learned of dependencies and
    /// endpoints that stay is kept, and those that are gone are forgotten with their last call.
    pub fn reconfigure(&mut self, now: Micros, config: Config) -> Result<(), Vec<ConfigError>> {
        let mistakes = config.validate();
        if !mistakes.is_empty() {
            return Err(mistakes);
        }
        self.fallback_cache.set_limits(config.fallback_cache);
        for (place, service) in self.dependencies.iter_mut().enumerate() {
            service.retired = !config.dependencies.iter().any(|d| *d.name == *service.name);
            self.freed_dependencies.insert(place);
        }
        for dependency in config.dependencies {
            match self.dependencies.iter().position(|s| *s.name == *dependency.name) {
                Some(place) => self.dependencies[place].reconfigure(now, dependency),
                None => self.add(now, dependency),
            }
        }
        let place = |name: &str| self.dependencies.iter().position(|s| *s.name == *name);
        let spec =
            |plan| PlanTemplate::new(plan, place).map(|spec| (Rc::from(plan.class.as_str()), Rc::new(spec)));
        self.templates = config.plans.iter().filter_map(spec).collect();
        self.local_work.retain(|class, _| self.templates.contains_key(class));
        Ok(())
    }

    /// Takes the place of a dependency that is gone, so that changes of the file never make the list grow for ever.
    fn add(&mut self, now: Micros, dependency: crate::config::DependencyConfig) {
        let used = |place: usize| self.plans.values().any(|p| p.template.calls(place));
        let free = (0..self.dependencies.len())
            .find(|&p| self.dependencies[p].retired && self.dependencies[p].is_idle() && !used(p));
        let service = Dependency::new(now, dependency);
        match free {
            Some(place) => self.dependencies[place] = service,
            None => self.dependencies.push(service),
        }
    }

    /// Whether runs of this class have a plan.
    pub fn has_plan(&self, class: &str) -> bool {
        self.templates.contains_key(class)
    }

    /// What is asked of a dependency now.
    pub fn demand(&self, dependency: &str) -> Demand {
        let service = self.dependencies.iter().find(|s| *s.name == *dependency && !s.retired);
        service.map(Dependency::demand).unwrap_or_default()
    }

    /// From now on no more calls than this may be in flight at a dependency, whatever its limit has learned. Places
    /// that this frees are given at once.
    pub fn set_concurrency_cap(&mut self, now: Micros, dependency: &str, most: usize, out: &mut Vec<Action>) {
        let Some(place) = self.dependencies.iter().position(|s| *s.name == *dependency && !s.retired) else {
            return;
        };
        if self.dependencies[place].limit.set_cap(most) {
            self.freed_dependencies.insert(place);
            self.settle(now, out);
        }
    }

    /// A run asks for its calls. Without a plan for its class nothing happens.
    pub fn start_plan(&mut self, now: Micros, ask: &PlanRequest, out: &mut Vec<Action>) {
        self.cancel_plan(now, ask.plan, out);
        let Some((class, spec)) = self.templates.get_key_value(ask.class) else { return };
        let (class, spec) = (class.clone(), spec.clone());
        if self.plans.len() >= MAX_PLANS {
            out.push(Action::FinishPlan { plan: ask.plan, outcome: Outcome::Rejected, response: None });
            return;
        }
        let left = ask.request_deadline.saturating_sub(now);
        let reserve = self.local_work.get(&class).copied().unwrap_or_default().reserve(left);
        let plan = ActivePlan {
            template: spec,
            class,
            priority_level: ask.priority_level,
            resource_key: ask.resource_key.map(Rc::from),
            deadline: ask.call_deadline.min(ask.request_deadline.saturating_sub(reserve)).max(now),
            is_retry: ask.is_retry,
            stage_index: 0,
            stage_deadline: now,
            required_deadline: now,
            calls: Vec::new(),
            finished_parts: Vec::new(),
            may_have_had_effect: false,
            timers: Vec::new(),
        };
        self.plans.insert(ask.plan, plan);
        self.begin_stage(now, ask.plan);
        self.settle(now, out);
    }

    /// A call is over. One that was cancelled is no longer known, and its end changes nothing.
    pub fn handle_attempt_end(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: Outcome,
        reply: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.release(now, &attempt, Some(outcome));
        let (plan, place) = (attempt.plan, attempt.call);
        let Some(open) = self.plans.get_mut(&plan) else { return self.settle(now, out) };
        open.may_have_had_effect |= !outcome.never_ran();
        let run = &mut open.calls[place];
        run.in_flight.retain(|&other| other != id);
        if outcome == Outcome::Ok {
            let body: Rc<[u8]> = reply.into();
            let others = std::mem::take(&mut run.in_flight);
            run.state = CallState::Finished(Part::Fresh(body.clone()));
            let service = &self.dependencies[attempt.dependency];
            let keeps = service.config.fallbacks.iter().any(|f| matches!(f, Fallback::Cached(_)));
            if let Some(key) = open.resource_key.clone().filter(|_| keeps) {
                let subject = CacheKey { dependency: service.name.clone(), class: open.class.clone(), key };
                self.fallback_cache.put(now, subject, body);
            }
            others.into_iter().for_each(|other| self.cancel(now, other, None, out));
        } else {
            run.last_failure = why(outcome);
            if run.in_flight.is_empty() {
                self.try_again(now, plan, place, outcome);
            }
        }
        self.changed_plans.push(plan);
        self.settle(now, out);
    }

    /// Nobody waits for a plan any more: its calls are given up, and nothing more is said of it.
    pub fn cancel_plan(&mut self, now: Micros, plan: PlanId, out: &mut Vec<Action>) {
        if self.plans.contains_key(&plan) {
            self.remove(now, plan, out);
            self.settle(now, out);
        }
    }

    /// What is due by now. To be called at [`Engine::next_at`] or later.
    pub fn handle_timeout(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(&(at, id, timer)) = self.timers.first().filter(|(at, ..)| *at <= now) {
            self.timers.pop_first();
            let Some(plan) = self.plans.get_mut(&id) else { continue };
            plan.timers.retain(|t| *t != (at, timer));
            match timer {
                Timer::StageEnd(stage) if stage == plan.stage_index => self.end_stage(now, id, out),
                Timer::StageEnd(_) => {}
                Timer::BackoffEnd(run) => self.queue(now, id, run),
                Timer::Hedge(run, attempt) => self.hedge(now, id, run, attempt, out),
            }
            self.settle(now, out);
        }
    }

    /// When something is due next.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.timers.first().map(|(at, ..)| *at)
    }

    /// A run of this class went on for so long after its calls.
    pub fn learn_local_work(&mut self, class: &str, took: Micros) {
        if let Some((class, _)) = self.templates.get_key_value(class) {
            self.local_work.entry(class.clone()).or_default().record(took);
        }
    }

    /// What was counted since the start.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// How each dependency stands, and why.
    pub fn status(&self, now: Micros) -> Vec<DependencyStatus> {
        self.dependencies.iter().filter(|s| !s.retired).map(|s| s.status(now)).collect()
    }

    /// Plans and calls under way.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.plans.len(), self.attempts.len())
    }

    // Stages

    fn begin_stage(&mut self, now: Micros, id: PlanId) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let claims = plan.template.claims(plan.stage_index);
        let left = plan.deadline.saturating_sub(now);
        let time = time_budget::first_stage_time(left, &claims);
        let runs: Vec<ActiveCall> =
            plan.template.stages[plan.stage_index].1.iter().map(ActiveCall::new).collect();
        let count = runs.len();
        plan.calls = runs;
        match time {
            Some(time) => {
                plan.stage_deadline = now + time;
                let stage = plan.stage_index;
                let kept = needs_later(&self.dependencies, &plan.template, stage);
                plan.required_deadline = now + time_budget::extended_time(left, time, kept, &claims[0]);
                self.set_timer(id, now + time, Timer::StageEnd(stage));
                (0..count).for_each(|run| self.begin_run(now, id, run));
            }
            None => (0..count).for_each(|run| self.fall_back(now, id, run, MissingReason::NoTimeLeft)),
        }
        self.changed_plans.push(id);
    }

    /// The stage's time is up: what is still under way is given up, but for needed calls that may go on.
    fn end_stage(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let (until, stage) = (plan.required_deadline, plan.stage_index);
        let goes_on = now < until && plan.calls.iter().any(|run| run.required && !run.is_finished());
        if goes_on {
            plan.stage_deadline = until;
            self.set_timer(id, until, Timer::StageEnd(stage));
        }
        let count = self.plans.get(&id).map_or(0, |plan| plan.calls.len());
        for place in 0..count {
            let Some(run) = self.plans.get_mut(&id).map(|p| &mut p.calls[place]) else { return };
            let why = match run.state {
                _ if run.required && goes_on => continue,
                CallState::Finished(_) => continue,
                CallState::InFlight => MissingReason::DeadlineExceeded,
                CallState::Queued(_) => MissingReason::NoCapacity,
                CallState::BackingOff => run.last_failure,
            };
            let flying = std::mem::take(&mut run.in_flight);
            flying.into_iter().for_each(|a| self.cancel(now, a, Some(Outcome::TimedOut), out));
            self.fall_back(now, id, place, why);
        }
        self.changed_plans.push(id);
    }

    /// Brings all that has changed to its end: places that are free are given, plans go on or end.
    fn settle(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            if let Some(service) = self.freed_dependencies.pop_first() {
                self.serve(now, service, out);
            } else if let Some(id) = self.changed_plans.pop() {
                self.look(now, id, out);
            } else {
                return;
            }
        }
    }

    fn look(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        if plan.calls.iter().any(ActiveCall::fails_plan) {
            return self.fail(now, id, out);
        }
        if !plan.calls.iter().all(ActiveCall::is_finished) {
            return;
        }
        for run in std::mem::take(&mut plan.calls) {
            if let CallState::Finished(part) = run.state {
                plan.finished_parts.push((self.dependencies[run.service].name.clone(), part));
            }
        }
        plan.stage_index += 1;
        if plan.stage_index < plan.template.stages.len() {
            return self.begin_stage(now, id);
        }
        let envelope = AggregateResponse { parts: std::mem::take(&mut plan.finished_parts) };
        if envelope.is_complete() {
            self.counts.complete += 1;
        } else {
            self.counts.partial += 1;
        }
        self.remove(now, id, out);
        out.push(Action::FinishPlan { plan: id, outcome: Outcome::Ok, response: Some(envelope) });
    }

    /// Something needed can't be had. That nothing ran is said only where it is certain of every part.
    fn fail(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) {
        self.counts.failed += 1;
        let touched = self.remove(now, id, out);
        let outcome = if touched { Outcome::Aborted } else { Outcome::Rejected };
        out.push(Action::FinishPlan { plan: id, outcome, response: None });
    }

    /// Forgets a plan with all that is under way; whether any of it may have had its effect.
    fn remove(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) -> bool {
        let Some(plan) = self.plans.remove(&id) else { return false };
        for (at, timer) in &plan.timers {
            self.timers.remove(&(*at, id, *timer));
        }
        let mut touched = plan.may_have_had_effect;
        for (place, run) in plan.calls.into_iter().enumerate() {
            touched |= !run.in_flight.is_empty();
            run.in_flight.into_iter().for_each(|a| self.cancel(now, a, None, out));
            let service = &mut self.dependencies[run.service];
            if let CallState::Queued(number) = run.state {
                service.queue.remove(&(Reverse(plan.priority_level), number, id, place));
            }
            if run.holds_retry_token {
                service.retry_budget.refund();
            }
        }
        touched
    }

    // Calls

    fn begin_run(&mut self, now: Micros, id: PlanId, place: usize) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let run = &mut plan.calls[place];
        // A request that comes a second time pays for every call: its first attempts were made before.
        if plan.is_retry {
            if !self.dependencies[run.service].retry_budget.try_withdraw() {
                return self.fall_back(now, id, place, MissingReason::RetryBudgetEmpty);
            }
            run.holds_retry_token = true;
        }
        self.queue(now, id, place);
    }

    /// Lines a call up for a place. It is told at once where none is to be had in time.
    fn queue(&mut self, now: Micros, id: PlanId, place: usize) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let Some(run) = plan.calls.get_mut(place).filter(|run| run.state == CallState::BackingOff) else {
            return;
        };
        let service = &mut self.dependencies[run.service];
        if !service.breaker.allows(now) {
            return self.fall_back(now, id, place, MissingReason::BreakerOpen);
        }
        self.next_id += 1;
        let waiter = (Reverse(plan.priority_level), self.next_id, id, place);
        if !service.enqueue(waiter) {
            return self.fall_back(now, id, place, MissingReason::NoCapacity);
        }
        run.state = CallState::Queued(self.next_id);
        let until = if run.required { plan.required_deadline } else { plan.stage_deadline };
        let late = now + service.expected_wait(&waiter) >= until;
        if late && !(service.limit.has_capacity() && service.queue.first() == Some(&waiter)) {
            return self.fall_back(now, id, place, MissingReason::NoCapacity);
        }
        self.freed_dependencies.insert(run.service);
    }

    /// Gives free places, to the highest level first and there to the oldest.
    fn serve(&mut self, now: Micros, place: usize, out: &mut Vec<Action>) {
        while let Some(&(_, _, id, run)) = self.dependencies[place].queue.first() {
            if !self.dependencies[place].breaker.allows(now) {
                self.fall_back(now, id, run, MissingReason::BreakerOpen);
                self.changed_plans.push(id);
                continue;
            }
            let Some(tried) = self.plans.get(&id).map(|p| &p.calls[run].tried_endpoints) else { return };
            let Some(endpoint) = self.dependencies[place].pick_endpoint(now, tried, &mut self.random) else {
                return;
            };
            self.dependencies[place].queue.pop_first();
            self.launch(now, id, run, endpoint, out);
        }
    }

    fn launch(&mut self, now: Micros, id: PlanId, place: usize, endpoint: usize, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let run = &mut plan.calls[place];
        let service = &mut self.dependencies[run.service];
        let probe = service.start(now, endpoint);
        if std::mem::take(&mut run.holds_retry_token) {
            self.counts.retries += 1;
        } else {
            service.retry_budget.record_first_attempt();
            self.counts.first_attempts += 1;
        }
        let settings = &service.config;
        let may_follow = settings.idempotent
            && run.retries < settings.retry.max_retries
            && service.retry_budget.available() >= 1.0;
        let end = if run.required { plan.required_deadline } else { plan.stage_deadline };
        let until = service.attempt_deadline(now, end, may_follow);
        let slow = settings.hedge.filter(|_| settings.idempotent).and_then(|hedge| {
            let usual = service.latency.quantile(now, hedge.quantile)?;
            Some(now + usual.max(hedge.min_delay))
        });
        let attempt = self.fly(now, id, place, endpoint, until, probe, out);
        if let Some(at) = slow.filter(|&at| at < until) {
            self.set_timer(id, at, Timer::Hedge(place, attempt));
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn fly(
        &mut self,
        now: Micros,
        id: PlanId,
        place: usize,
        endpoint: usize,
        until: Micros,
        probe: bool,
        out: &mut Vec<Action>,
    ) -> AttemptId {
        self.next_id += 1;
        let attempt = self.next_id;
        let Some(plan) = self.plans.get_mut(&id) else { return attempt };
        let run = &mut plan.calls[place];
        run.state = CallState::InFlight;
        run.in_flight.push(attempt);
        run.tried_endpoints.push(endpoint);
        let service = &self.dependencies[run.service];
        let flight = Attempt {
            plan: id,
            call: place,
            dependency: run.service,
            endpoint,
            started_at: now,
            is_probe: probe,
        };
        self.attempts.insert(attempt, flight);
        let (dependency, address) = (service.name.clone(), service.load_balancer.address(endpoint));
        out.push(Action::StartAttempt { attempt, plan: id, dependency, address, deadline: until });
        attempt
    }

    /// A call is slow by now: a second copy goes to another endpoint, if the budget has it.
    fn hedge(&mut self, now: Micros, id: PlanId, place: usize, attempt: AttemptId, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get(&id) else { return };
        let Some(run) = plan.calls.get(place).filter(|run| run.in_flight == [attempt]) else { return };
        let (number, until) = (run.service, plan.call_deadline(run));
        let service = &self.dependencies[number];
        if service.breaker.state(now) != breaker::BreakerState::Closed
            || !service.load_balancer.has_alternative(&run.tried_endpoints)
        {
            return;
        }
        let Some(endpoint) = service.pick_endpoint(now, &run.tried_endpoints, &mut self.random) else {
            return;
        };
        if run.tried_endpoints.contains(&endpoint) || !self.dependencies[number].retry_budget.try_withdraw() {
            return;
        }
        self.counts.hedged_requests += 1;
        let probe = self.dependencies[number].start(now, endpoint);
        self.fly(now, id, place, endpoint, until, probe, out);
    }

    /// After an attempt that failed: another one, where that does no harm, is in the budget and in time.
    fn try_again(&mut self, now: Micros, id: PlanId, place: usize, outcome: Outcome) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let run = &mut plan.calls[place];
        let service = &mut self.dependencies[run.service];
        let settings = service.config.retry;
        let harmless = (outcome.never_ran() && outcome != Outcome::NotStarted) || service.config.idempotent;
        let allowed = harmless && run.retries < settings.max_retries && service.breaker.allows(now);
        let wait = retry::backoff(&settings, run.retries, &mut self.random);
        let until = if run.required { plan.required_deadline } else { plan.stage_deadline };
        let in_time = now + wait + (service.limit.typical_latency() as Micros) < until;
        if !allowed || !in_time || !service.retry_budget.try_withdraw() {
            let why = run.last_failure;
            return self.fall_back(now, id, place, why);
        }
        run.retries += 1;
        (run.holds_retry_token, run.state) = (true, CallState::BackingOff);
        self.set_timer(id, now + wait, Timer::BackoffEnd(place));
    }

    /// The operator's chain, for a call that brought nothing.
    fn fall_back(&mut self, now: Micros, id: PlanId, place: usize, why: MissingReason) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let run = &mut plan.calls[place];
        let service = &mut self.dependencies[run.service];
        if let CallState::Queued(number) = run.state {
            service.queue.remove(&(Reverse(plan.priority_level), number, id, place));
        }
        if std::mem::take(&mut run.holds_retry_token) {
            service.retry_budget.refund();
        }
        let mut part = Part::Missing(why);
        for fallback in &service.config.fallbacks {
            match fallback {
                Fallback::Cached(oldest) => {
                    let Some(key) = plan.resource_key.clone() else { continue };
                    let subject =
                        CacheKey { dependency: service.name.clone(), class: plan.class.clone(), key };
                    let Some((age, body)) = self.fallback_cache.get(now, &subject, *oldest) else { continue };
                    part = Part::Cached(body, age);
                }
                Fallback::Constant(body) => part = Part::Constant(body.as_slice().into()),
                Fallback::Omit => {}
            }
            break;
        }
        run.state = CallState::Finished(part);
        self.changed_plans.push(id);
    }

    /// Gives up a call that is under way. It may have had its effect.
    fn cancel(&mut self, now: Micros, id: AttemptId, outcome: Option<Outcome>, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.release(now, &attempt, outcome);
        if let Some(plan) = self.plans.get_mut(&attempt.plan) {
            plan.may_have_had_effect = true;
        }
        out.push(Action::CancelAttempt(id));
    }

    fn release(&mut self, now: Micros, attempt: &Attempt, outcome: Option<Outcome>) {
        let took = now.saturating_sub(attempt.started_at);
        let what = (attempt.endpoint, attempt.is_probe);
        self.dependencies[attempt.dependency].end(now, what, took, outcome, &mut self.random);
        self.freed_dependencies.insert(attempt.dependency);
    }

    fn set_timer(&mut self, id: PlanId, at: Micros, timer: Timer) {
        if let Some(plan) = self.plans.get_mut(&id) {
            plan.timers.push((at, timer));
            self.timers.insert((at, id, timer));
        }
    }

    /// What must hold between any two events; tests call it after each.
    pub fn check_invariants(&self) -> Result<(), String> {
        for (place, service) in self.dependencies.iter().enumerate() {
            service.check_invariants()?;
            let flying = self.attempts.values().filter(|a| a.dependency == place).count();
            if flying != service.limit.in_flight() {
                return Err(format!(
                    "{}: {flying} attempts, {} counted",
                    service.name,
                    service.limit.in_flight()
                ));
            }
            for (level, number, id, run) in &service.queue {
                let waits = self.plans.get(id).is_some_and(|plan| {
                    plan.priority_level == level.0 && plan.calls[*run].state == CallState::Queued(*number)
                });
                if !waits {
                    return Err(format!("{}: plan {id} is said to wait", service.name));
                }
            }
        }
        for (id, plan) in &self.plans {
            let until = plan.stage_deadline;
            if until > plan.deadline
                || !self.timers.contains(&(until, *id, Timer::StageEnd(plan.stage_index)))
            {
                return Err(format!("plan {id}: its stage ends at {until}, its time at {}", plan.deadline));
            }
            let flying = |run: &ActiveCall| run.in_flight.iter().all(|a| self.attempts.contains_key(a));
            if plan.calls.iter().all(ActiveCall::is_finished) || !plan.calls.iter().all(flying) {
                return Err(format!("plan {id}: nothing is under way"));
            }
        }
        if self.timers.iter().any(|(_, id, _)| !self.plans.contains_key(id)) {
            return Err("a timer of no plan".to_owned());
        }
        self.fallback_cache.check_invariants()
    }
}

/// The time that stages after this one typically need for what the request fails without.
fn needs_later(services: &[Dependency], spec: &PlanTemplate, stage: usize) -> Micros {
    let later = spec.stages[stage + 1..].iter().filter(|(claim, _)| claim.required);
    let time = |(claim, calls): &(time_budget::StageClaim, Vec<CallTemplate>)| {
        let needed = calls.iter().filter(|call| call.required);
        let typical = needed.map(|call| services[call.service].limit.typical_latency() as Micros).max();
        typical.unwrap_or(0).max(claim.min_time)
    };
    later.map(time).sum()
}

fn why(outcome: Outcome) -> MissingReason {
    match outcome {
        Outcome::Rejected => MissingReason::Rejected,
        Outcome::Unreachable => MissingReason::Unreachable,
        Outcome::TimedOut => MissingReason::DeadlineExceeded,
        Outcome::ConnectionLost => MissingReason::ConnectionLost,
        Outcome::Ok | Outcome::Error | Outcome::Aborted | Outcome::NotStarted => MissingReason::Failed,
    }
}

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
use crate::fallback_cache::{FallbackCache, Subject};
use crate::plan::{Doing, Plan, Run, Spec, SpecCall, Timer};
use crate::retry;
use crate::service::{Demand, Service, ServiceView};
use crate::time_budget::{self, Rest};
use crate::{AttemptId, PlanId};

/// Plans that may be under way: more than any server survives.
const PLANS: usize = 8_192;

/// A run that waits for the calls of its plan.
#[derive(Clone, Debug)]
pub struct PlanRequest<'a> {
    /// What the host calls it; a plan under way under the same name is given up.
    pub plan: PlanId,
    /// Name of the class of the request.
    pub class: &'a str,
    /// Level of the request; higher ones get scarce places first.
    pub level: u16,
    /// What the request is about, if its results may stand in for each other.
    pub key: Option<&'a str>,
    /// Until when the decision module lets it call.
    pub until: Micros,
    /// When the request must be answered; what the run still needs is set aside before that.
    pub due: Micros,
    /// The request has begun a plan before, so that its calls are repeated attempts.
    pub again: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a call. Its end is told with [`Engine::ended`].
    Start {
        /// Its name.
        attempt: AttemptId,
        /// The plan it belongs to.
        plan: PlanId,
        /// Name of the dependency.
        dependency: Rc<str>,
        /// Address of the endpoint.
        address: Rc<str>,
        /// When it is to be given up, and [`Outcome::TimedOut`] told.
        until: Micros,
    },
    /// Give a call up. Its end is not to be told.
    Cancel(AttemptId),
    /// A plan is over.
    Done {
        /// The plan.
        plan: PlanId,
        /// How it ended: `Ok`; `Refused`, only where nothing may have had its effect; else `Stopped`.
        outcome: Outcome,
        /// What the run gets, where the outcome is `Ok`.
        envelope: Option<AggregateResponse>,
    },
}

#[derive(Debug)]
struct Attempt {
    plan: PlanId,
    run: usize,
    service: usize,
    endpoint: usize,
    started: Micros,
    probe: bool,
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
    services: Vec<Service>,
    specs: BTreeMap<Rc<str>, Rc<Spec>>,
    rests: BTreeMap<Rc<str>, Rest>,
    plans: BTreeMap<PlanId, Plan>,
    attempts: BTreeMap<AttemptId, Attempt>,
    timers: BTreeSet<(Micros, PlanId, Timer)>,
    kept: FallbackCache,
    random: ChaCha8Rng,
    next: u64,
    counts: CallCounts,
    /// Plans to be looked at, and services that may have a free place, before an event is done with.
    dirty: Vec<PlanId>,
    freed: BTreeSet<usize>,
}

impl Engine {
    /// With settings that have no mistakes, else all of these.
    pub fn new(now: Micros, config: Config, seed: u64) -> Result<Engine, Vec<ConfigError>> {
        let mut engine = Engine {
            services: Vec::new(),
            specs: BTreeMap::new(),
            rests: BTreeMap::new(),
            plans: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            kept: FallbackCache::new(config.kept),
            random: ChaCha8Rng::seed_from_u64(seed),
            next: 0,
            counts: CallCounts::default(),
            dirty: Vec::new(),
            freed: BTreeSet::new(),
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
        self.kept.set(config.kept);
        for (place, service) in self.services.iter_mut().enumerate() {
            service.retired = !config.dependencies.iter().any(|d| *d.name == *service.name);
            self.freed.insert(place);
        }
        for dependency in config.dependencies {
            match self.services.iter().position(|s| *s.name == *dependency.name) {
                Some(place) => self.services[place].set(now, dependency),
                None => self.add(now, dependency),
            }
        }
        let place = |name: &str| self.services.iter().position(|s| *s.name == *name);
        let spec = |plan| Spec::new(plan, place).map(|spec| (Rc::from(plan.class.as_str()), Rc::new(spec)));
        self.specs = config.plans.iter().filter_map(spec).collect();
        self.rests.retain(|class, _| self.specs.contains_key(class));
        Ok(())
    }

    /// Takes the place of a dependency that is gone, so that changes of the file never make the list grow for ever.
    fn add(&mut self, now: Micros, dependency: crate::config::Dependency) {
        let used = |place: usize| self.plans.values().any(|p| p.spec.calls(place));
        let free = (0..self.services.len())
            .find(|&p| self.services[p].retired && self.services[p].is_idle() && !used(p));
        let service = Service::new(now, dependency);
        match free {
            Some(place) => self.services[place] = service,
            None => self.services.push(service),
        }
    }

    /// Whether runs of this class have a plan.
    pub fn has_plan(&self, class: &str) -> bool {
        self.specs.contains_key(class)
    }

    /// What is asked of a dependency now.
    pub fn demand(&self, dependency: &str) -> Demand {
        let service = self.services.iter().find(|s| *s.name == *dependency && !s.retired);
        service.map(Service::demand).unwrap_or_default()
    }

    /// From now on no more calls than this may be in flight at a dependency, whatever its limit has learned. Places
    /// that this frees are given at once.
    pub fn set_concurrency_cap(&mut self, now: Micros, dependency: &str, most: usize, out: &mut Vec<Action>) {
        let Some(place) = self.services.iter().position(|s| *s.name == *dependency && !s.retired) else {
            return;
        };
        if self.services[place].limit.set_cap(most) {
            self.freed.insert(place);
            self.settle(now, out);
        }
    }

    /// A run asks for its calls. Without a plan for its class nothing happens.
    pub fn start_plan(&mut self, now: Micros, ask: &PlanRequest, out: &mut Vec<Action>) {
        self.cancel_plan(now, ask.plan, out);
        let Some((class, spec)) = self.specs.get_key_value(ask.class) else { return };
        let (class, spec) = (class.clone(), spec.clone());
        if self.plans.len() >= PLANS {
            out.push(Action::Done { plan: ask.plan, outcome: Outcome::Rejected, envelope: None });
            return;
        }
        let left = ask.due.saturating_sub(now);
        let reserve = self.rests.get(&class).copied().unwrap_or_default().reserve(left);
        let plan = Plan {
            spec,
            class,
            level: ask.level,
            key: ask.key.map(Rc::from),
            deadline: ask.until.min(ask.due.saturating_sub(reserve)).max(now),
            again: ask.again,
            stage: 0,
            stage_until: now,
            needed_until: now,
            runs: Vec::new(),
            done: Vec::new(),
            touched: false,
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
        let (plan, place) = (attempt.plan, attempt.run);
        let Some(open) = self.plans.get_mut(&plan) else { return self.settle(now, out) };
        open.touched |= !outcome.never_ran();
        let run = &mut open.runs[place];
        run.flying.retain(|&other| other != id);
        if outcome == Outcome::Ok {
            let body: Rc<[u8]> = reply.into();
            let others = std::mem::take(&mut run.flying);
            run.doing = Doing::Over(Part::Fresh(body.clone()));
            let service = &self.services[attempt.service];
            let keeps = service.config.fallbacks.iter().any(|f| matches!(f, Fallback::Kept(_)));
            if let Some(key) = open.key.clone().filter(|_| keeps) {
                let subject = Subject { dependency: service.name.clone(), class: open.class.clone(), key };
                self.kept.put(now, subject, body);
            }
            others.into_iter().for_each(|other| self.cancel(now, other, None, out));
        } else {
            run.last = why(outcome);
            if run.flying.is_empty() {
                self.try_again(now, plan, place, outcome);
            }
        }
        self.dirty.push(plan);
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
                Timer::Stage(stage) if stage == plan.stage => self.end_stage(now, id, out),
                Timer::Stage(_) => {}
                Timer::Pause(run) => self.queue(now, id, run),
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
        if let Some((class, _)) = self.specs.get_key_value(class) {
            self.rests.entry(class.clone()).or_default().learn(took);
        }
    }

    /// What was counted since the start.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// How each dependency stands, and why.
    pub fn explain(&self, now: Micros) -> Vec<ServiceView> {
        self.services.iter().filter(|s| !s.retired).map(|s| s.explain(now)).collect()
    }

    /// Plans and calls under way.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.plans.len(), self.attempts.len())
    }

    // Stages

    fn begin_stage(&mut self, now: Micros, id: PlanId) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let claims = plan.spec.claims(plan.stage);
        let left = plan.deadline.saturating_sub(now);
        let time = time_budget::share(left, &claims);
        let runs: Vec<Run> = plan.spec.stages[plan.stage].1.iter().map(Run::new).collect();
        let count = runs.len();
        plan.runs = runs;
        match time {
            Some(time) => {
                plan.stage_until = now + time;
                let stage = plan.stage;
                let kept = needs_later(&self.services, &plan.spec, stage);
                plan.needed_until = now + time_budget::longest(left, time, kept, &claims[0]);
                self.set_timer(id, now + time, Timer::Stage(stage));
                (0..count).for_each(|run| self.begin_run(now, id, run));
            }
            None => (0..count).for_each(|run| self.fall_back(now, id, run, MissingReason::NoTime)),
        }
        self.dirty.push(id);
    }

    /// The stage's time is up: what is still under way is given up, but for needed calls that may go on.
    fn end_stage(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let (until, stage) = (plan.needed_until, plan.stage);
        let goes_on = now < until && plan.runs.iter().any(|run| run.needed && !run.is_over());
        if goes_on {
            plan.stage_until = until;
            self.set_timer(id, until, Timer::Stage(stage));
        }
        let count = self.plans.get(&id).map_or(0, |plan| plan.runs.len());
        for place in 0..count {
            let Some(run) = self.plans.get_mut(&id).map(|p| &mut p.runs[place]) else { return };
            let why = match run.doing {
                _ if run.needed && goes_on => continue,
                Doing::Over(_) => continue,
                Doing::Flying => MissingReason::OutOfTime,
                Doing::Waiting(_) => MissingReason::NoPlace,
                Doing::Paused => run.last,
            };
            let flying = std::mem::take(&mut run.flying);
            flying.into_iter().for_each(|a| self.cancel(now, a, Some(Outcome::TimedOut), out));
            self.fall_back(now, id, place, why);
        }
        self.dirty.push(id);
    }

    /// Brings all that has changed to its end: places that are free are given, plans go on or end.
    fn settle(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            if let Some(service) = self.freed.pop_first() {
                self.serve(now, service, out);
            } else if let Some(id) = self.dirty.pop() {
                self.look(now, id, out);
            } else {
                return;
            }
        }
    }

    fn look(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        if plan.runs.iter().any(Run::is_lost) {
            return self.fail(now, id, out);
        }
        if !plan.runs.iter().all(Run::is_over) {
            return;
        }
        for run in std::mem::take(&mut plan.runs) {
            if let Doing::Over(part) = run.doing {
                plan.done.push((self.services[run.service].name.clone(), part));
            }
        }
        plan.stage += 1;
        if plan.stage < plan.spec.stages.len() {
            return self.begin_stage(now, id);
        }
        let envelope = AggregateResponse { parts: std::mem::take(&mut plan.done) };
        if envelope.is_complete() {
            self.counts.complete += 1;
        } else {
            self.counts.partial += 1;
        }
        self.remove(now, id, out);
        out.push(Action::Done { plan: id, outcome: Outcome::Ok, envelope: Some(envelope) });
    }

    /// Something needed can't be had. That nothing ran is said only where it is certain of every part.
    fn fail(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) {
        self.counts.failed += 1;
        let touched = self.remove(now, id, out);
        let outcome = if touched { Outcome::Aborted } else { Outcome::Rejected };
        out.push(Action::Done { plan: id, outcome, envelope: None });
    }

    /// Forgets a plan with all that is under way; whether any of it may have had its effect.
    fn remove(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) -> bool {
        let Some(plan) = self.plans.remove(&id) else { return false };
        for (at, timer) in &plan.timers {
            self.timers.remove(&(*at, id, *timer));
        }
        let mut touched = plan.touched;
        for (place, run) in plan.runs.into_iter().enumerate() {
            touched |= !run.flying.is_empty();
            run.flying.into_iter().for_each(|a| self.cancel(now, a, None, out));
            let service = &mut self.services[run.service];
            if let Doing::Waiting(number) = run.doing {
                service.waiting.remove(&(Reverse(plan.level), number, id, place));
            }
            if run.paid {
                service.budget.give_back();
            }
        }
        touched
    }

    // Calls

    fn begin_run(&mut self, now: Micros, id: PlanId, place: usize) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let run = &mut plan.runs[place];
        // A request that comes a second time pays for every call: its first attempts were made before.
        if plan.again {
            if !self.services[run.service].budget.take() {
                return self.fall_back(now, id, place, MissingReason::NoBudget);
            }
            run.paid = true;
        }
        self.queue(now, id, place);
    }

    /// Lines a call up for a place. It is told at once where none is to be had in time.
    fn queue(&mut self, now: Micros, id: PlanId, place: usize) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let Some(run) = plan.runs.get_mut(place).filter(|run| run.doing == Doing::Paused) else { return };
        let service = &mut self.services[run.service];
        if !service.breaker.allows(now) {
            return self.fall_back(now, id, place, MissingReason::BreakerOpen);
        }
        self.next += 1;
        let waiter = (Reverse(plan.level), self.next, id, place);
        if !service.queue(waiter) {
            return self.fall_back(now, id, place, MissingReason::NoPlace);
        }
        run.doing = Doing::Waiting(self.next);
        let until = if run.needed { plan.needed_until } else { plan.stage_until };
        let late = now + service.expected_wait(&waiter) >= until;
        if late && !(service.limit.has_place() && service.waiting.first() == Some(&waiter)) {
            return self.fall_back(now, id, place, MissingReason::NoPlace);
        }
        self.freed.insert(run.service);
    }

    /// Gives free places, to the highest level first and there to the oldest.
    fn serve(&mut self, now: Micros, place: usize, out: &mut Vec<Action>) {
        while let Some(&(_, _, id, run)) = self.services[place].waiting.first() {
            if !self.services[place].breaker.allows(now) {
                self.fall_back(now, id, run, MissingReason::BreakerOpen);
                self.dirty.push(id);
                continue;
            }
            let Some(tried) = self.plans.get(&id).map(|p| &p.runs[run].tried) else { return };
            let Some(endpoint) = self.services[place].place(now, tried, &mut self.random) else { return };
            self.services[place].waiting.pop_first();
            self.launch(now, id, run, endpoint, out);
        }
    }

    fn launch(&mut self, now: Micros, id: PlanId, place: usize, endpoint: usize, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let run = &mut plan.runs[place];
        let service = &mut self.services[run.service];
        let probe = service.start(now, endpoint);
        if std::mem::take(&mut run.paid) {
            self.counts.retries += 1;
        } else {
            service.budget.first();
            self.counts.first_attempts += 1;
        }
        let settings = &service.config;
        let may_follow =
            settings.repeatable && run.further < settings.retry.most && service.budget.left() >= 1.0;
        let end = if run.needed { plan.needed_until } else { plan.stage_until };
        let until = service.attempt_until(now, end, may_follow);
        let slow = settings.hedge.filter(|_| settings.repeatable).and_then(|hedge| {
            let usual = service.latency.quantile(now, hedge.quantile)?;
            Some(now + usual.max(hedge.least))
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
        self.next += 1;
        let attempt = self.next;
        let Some(plan) = self.plans.get_mut(&id) else { return attempt };
        let run = &mut plan.runs[place];
        run.doing = Doing::Flying;
        run.flying.push(attempt);
        run.tried.push(endpoint);
        let service = &self.services[run.service];
        let flight = Attempt { plan: id, run: place, service: run.service, endpoint, started: now, probe };
        self.attempts.insert(attempt, flight);
        let (dependency, address) = (service.name.clone(), service.pool.address(endpoint));
        out.push(Action::Start { attempt, plan: id, dependency, address, until });
        attempt
    }

    /// A call is slow by now: a second copy goes to another endpoint, if the budget has it.
    fn hedge(&mut self, now: Micros, id: PlanId, place: usize, attempt: AttemptId, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get(&id) else { return };
        let Some(run) = plan.runs.get(place).filter(|run| run.flying == [attempt]) else { return };
        let (number, until) = (run.service, plan.until(run));
        let service = &self.services[number];
        if service.breaker.state(now) != breaker::State::Closed || !service.pool.has_another(&run.tried) {
            return;
        }
        let Some(endpoint) = service.place(now, &run.tried, &mut self.random) else { return };
        if run.tried.contains(&endpoint) || !self.services[number].budget.take() {
            return;
        }
        self.counts.hedged_requests += 1;
        let probe = self.services[number].start(now, endpoint);
        self.fly(now, id, place, endpoint, until, probe, out);
    }

    /// After an attempt that failed: another one, where that does no harm, is in the budget and in time.
    fn try_again(&mut self, now: Micros, id: PlanId, place: usize, outcome: Outcome) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let run = &mut plan.runs[place];
        let service = &mut self.services[run.service];
        let settings = service.config.retry;
        let harmless = (outcome.never_ran() && outcome != Outcome::NotStarted) || service.config.repeatable;
        let allowed = harmless && run.further < settings.most && service.breaker.allows(now);
        let wait = retry::backoff(&settings, run.further, &mut self.random);
        let until = if run.needed { plan.needed_until } else { plan.stage_until };
        let in_time = now + wait + (service.limit.typical() as Micros) < until;
        if !allowed || !in_time || !service.budget.take() {
            let why = run.last;
            return self.fall_back(now, id, place, why);
        }
        run.further += 1;
        (run.paid, run.doing) = (true, Doing::Paused);
        self.set_timer(id, now + wait, Timer::Pause(place));
    }

    /// The operator's chain, for a call that brought nothing.
    fn fall_back(&mut self, now: Micros, id: PlanId, place: usize, why: MissingReason) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let run = &mut plan.runs[place];
        let service = &mut self.services[run.service];
        if let Doing::Waiting(number) = run.doing {
            service.waiting.remove(&(Reverse(plan.level), number, id, place));
        }
        if std::mem::take(&mut run.paid) {
            service.budget.give_back();
        }
        let mut part = Part::LeftOut(why);
        for fallback in &service.config.fallbacks {
            match fallback {
                Fallback::Kept(oldest) => {
                    let Some(key) = plan.key.clone() else { continue };
                    let subject =
                        Subject { dependency: service.name.clone(), class: plan.class.clone(), key };
                    let Some((age, body)) = self.kept.get(now, &subject, *oldest) else { continue };
                    part = Part::Kept(body, age);
                }
                Fallback::Constant(body) => part = Part::Constant(body.as_slice().into()),
                Fallback::LeftOut => {}
            }
            break;
        }
        run.doing = Doing::Over(part);
        self.dirty.push(id);
    }

    /// Gives up a call that is under way. It may have had its effect.
    fn cancel(&mut self, now: Micros, id: AttemptId, outcome: Option<Outcome>, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.release(now, &attempt, outcome);
        if let Some(plan) = self.plans.get_mut(&attempt.plan) {
            plan.touched = true;
        }
        out.push(Action::Cancel(id));
    }

    fn release(&mut self, now: Micros, attempt: &Attempt, outcome: Option<Outcome>) {
        let took = now.saturating_sub(attempt.started);
        let what = (attempt.endpoint, attempt.probe);
        self.services[attempt.service].end(now, what, took, outcome, &mut self.random);
        self.freed.insert(attempt.service);
    }

    fn set_timer(&mut self, id: PlanId, at: Micros, timer: Timer) {
        if let Some(plan) = self.plans.get_mut(&id) {
            plan.timers.push((at, timer));
            self.timers.insert((at, id, timer));
        }
    }

    /// What must hold between any two events; tests call it after each.
    pub fn check_invariants(&self) -> Result<(), String> {
        for (place, service) in self.services.iter().enumerate() {
            service.check()?;
            let flying = self.attempts.values().filter(|a| a.service == place).count();
            if flying != service.limit.in_flight() {
                return Err(format!(
                    "{}: {flying} attempts, {} counted",
                    service.name,
                    service.limit.in_flight()
                ));
            }
            for (level, number, id, run) in &service.waiting {
                let waits = self.plans.get(id).is_some_and(|plan| {
                    plan.level == level.0 && plan.runs[*run].doing == Doing::Waiting(*number)
                });
                if !waits {
                    return Err(format!("{}: plan {id} is said to wait", service.name));
                }
            }
        }
        for (id, plan) in &self.plans {
            let until = plan.stage_until;
            if until > plan.deadline || !self.timers.contains(&(until, *id, Timer::Stage(plan.stage))) {
                return Err(format!("plan {id}: its stage ends at {until}, its time at {}", plan.deadline));
            }
            let flying = |run: &Run| run.flying.iter().all(|a| self.attempts.contains_key(a));
            if plan.runs.iter().all(Run::is_over) || !plan.runs.iter().all(flying) {
                return Err(format!("plan {id}: nothing is under way"));
            }
        }
        if self.timers.iter().any(|(_, id, _)| !self.plans.contains_key(id)) {
            return Err("a timer of no plan".to_owned());
        }
        self.kept.check()
    }
}

/// The time that stages after this one typically need for what the request fails without.
fn needs_later(services: &[Service], spec: &Spec, stage: usize) -> Micros {
    let later = spec.stages[stage + 1..].iter().filter(|(claim, _)| claim.needed);
    let time = |(claim, calls): &(time_budget::Claim, Vec<SpecCall>)| {
        let needed = calls.iter().filter(|call| call.needed);
        let typical = needed.map(|call| services[call.service].limit.typical() as Micros).max();
        typical.unwrap_or(0).max(claim.least)
    };
    later.map(time).sum()
}

fn why(outcome: Outcome) -> MissingReason {
    match outcome {
        Outcome::Rejected => MissingReason::Refused,
        Outcome::Unreachable => MissingReason::Unreachable,
        Outcome::TimedOut => MissingReason::OutOfTime,
        Outcome::ConnectionLost => MissingReason::Cut,
        Outcome::Ok | Outcome::Error | Outcome::Aborted | Outcome::NotStarted => MissingReason::Failed,
    }
}

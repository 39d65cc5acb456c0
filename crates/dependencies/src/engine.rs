//! The engine, which holds all plans in flight and the state of all dependencies. It takes events and returns
//! actions.

mod attempts;
mod dispatch;
mod fallbacks;
mod interface;
mod invariants;
mod plan_lifecycle;
mod status;
mod timers;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberloom::interface::{Micros, Outcome};

use crate::config::{Config, ConfigError, DependencyConfig};
use crate::dependency::Dependency;
use crate::fallback_cache::FallbackCache;
use crate::plan::{ActivePlan, CallRef, PlanTemplate, Timer};
use crate::time_budget::LocalWorkEstimate;
use crate::{AttemptId, PlanId};

pub use interface::{Action, CallCounts, PlanRequest};

/// Maximum number of plans in flight; further ones are rejected. It is more than any server can handle at
/// once.
const MAX_PLANS: usize = 8_192;

/// An attempt in flight.
#[derive(Debug)]
struct Attempt {
    call: CallRef,
    /// Index of the dependency.
    dependency: usize,
    /// Index of the endpoint.
    endpoint: usize,
    started_at: Micros,
    /// Whether the circuit breaker let it through as a probe.
    is_probe: bool,
}

/// Decides about all downstream calls of one server.
///
/// A host reports events by the `start_plan`, `cancel_plan` and `handle_…` methods, each with the current
/// time, and carries out the [`Action`]s that they append to `out`, in that order.
#[derive(Debug)]
pub struct Engine {
    dependencies: Vec<Dependency>,
    /// Plan templates by the name of the class.
    templates: BTreeMap<Rc<str>, Rc<PlanTemplate>>,
    /// Estimate of the time that requests take after their calls have ended, by the name of the class.
    local_work: BTreeMap<Rc<str>, LocalWorkEstimate>,
    plans: BTreeMap<PlanId, ActivePlan>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Timers of all plans, by due time.
    timers: BTreeSet<(Micros, PlanId, Timer)>,
    fallback_cache: FallbackCache,
    random: ChaCha8Rng,
    /// The last attempt ID or queue ticket that was assigned.
    last_id: u64,
    counts: CallCounts,
    /// Plans that may be able to advance or end; processed before the current event is complete.
    changed_plans: Vec<PlanId>,
    /// Dependencies that may have capacity for queued calls; processed before the current event is complete.
    freed_dependencies: BTreeSet<usize>,
}

impl Engine {
    /// Creates an engine without plans in flight. `seed` initializes its random number generator.
    ///
    /// # Errors
    /// Returns all errors in the configuration.
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
            last_id: 0,
            counts: CallCounts::default(),
            changed_plans: Vec::new(),
            freed_dependencies: BTreeSet::new(),
        };
        engine.reconfigure(now, config)?;
        Ok(engine)
    }

    /// Applies a new configuration. Plans in flight continue with the template that they started with.
    /// Dependencies and endpoints that are still configured keep their learned state; removed ones are
    /// dropped after their last call.
    ///
    /// # Errors
    /// Returns all errors in the configuration, which is then not applied.
    pub fn reconfigure(&mut self, now: Micros, config: Config) -> Result<(), Vec<ConfigError>> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(errors);
        }
        self.fallback_cache.set_limits(config.fallback_cache);
        for (index, dependency) in self.dependencies.iter_mut().enumerate() {
            dependency.retired = !config.dependencies.iter().any(|d| *d.name == *dependency.name);
            self.freed_dependencies.insert(index);
        }
        for dependency in config.dependencies {
            match self.dependencies.iter().position(|d| *d.name == *dependency.name) {
                Some(index) => self.dependencies[index].reconfigure(now, dependency),
                None => self.add_dependency(now, dependency),
            }
        }
        let find = |name: &str| self.dependencies.iter().position(|d| *d.name == *name);
        let templates = config.plans.iter().filter_map(|plan| {
            let template = PlanTemplate::new(plan, find)?;
            Some((Rc::from(plan.class.as_str()), Rc::new(template)))
        });
        self.templates = templates.collect();
        self.local_work.retain(|class, _| self.templates.contains_key(class));
        Ok(())
    }

    /// Adds a dependency. It reuses the index of a removed one that has no calls and that no plan in flight
    /// uses, so that the list does not grow with each reconfiguration.
    fn add_dependency(&mut self, now: Micros, config: DependencyConfig) {
        let is_used = |index: usize| self.plans.values().any(|p| p.template.uses_dependency(index));
        let is_free = |index: &usize| {
            let dependency = &self.dependencies[*index];
            dependency.retired && dependency.is_idle() && !is_used(*index)
        };
        let free = (0..self.dependencies.len()).find(is_free);
        let dependency = Dependency::new(now, config);
        match free {
            Some(index) => self.dependencies[index] = dependency,
            None => self.dependencies.push(dependency),
        }
    }

    /// Returns whether a plan is configured for requests of this class.
    pub fn has_plan(&self, class: &str) -> bool {
        self.templates.contains_key(class)
    }

    /// Starts the plan of a request, after cancelling a plan in flight with the same ID. Starts none if no
    /// plan is configured for the class of the request; rejects the plan if too many are in flight.
    pub fn start_plan(&mut self, now: Micros, request: &PlanRequest, out: &mut Vec<Action>) {
        self.cancel_plan(now, request.plan, out);
        let Some((class, template)) = self.templates.get_key_value(request.class) else { return };
        let (class, template) = (class.clone(), template.clone());
        if self.plans.len() >= MAX_PLANS {
            out.push(Action::FinishPlan { plan: request.plan, outcome: Outcome::Rejected, response: None });
            return;
        }
        let remaining = request.request_deadline.saturating_sub(now);
        let reserve = self.local_work.get(&class).copied().unwrap_or_default().reserve(remaining);
        let calls_end = request.request_deadline.saturating_sub(reserve);
        let plan = ActivePlan {
            template,
            class,
            priority_level: request.priority_level,
            resource_key: request.resource_key.map(Rc::from),
            deadline: request.call_deadline.min(calls_end).max(now),
            is_retry: request.is_retry,
            stage_index: 0,
            stage_deadline: now,
            required_deadline: now,
            calls: Vec::new(),
            finished_parts: Vec::new(),
            may_have_had_effect: false,
            timers: Vec::new(),
        };
        self.plans.insert(request.plan, plan);
        self.begin_stage(now, request.plan);
        self.settle(now, out);
    }

    /// Handles the end of an attempt. The end of an attempt that was cancelled is ignored.
    pub fn handle_attempt_end(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        reply: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        self.release_attempt(now, &ended, Some(outcome));
        let call_ref = ended.call;
        let Some(plan) = self.plans.get_mut(&call_ref.plan) else { return self.settle(now, out) };
        plan.may_have_had_effect |= !outcome.never_ran();
        let call = &mut plan.calls[call_ref.index];
        call.in_flight.retain(|&other| other != attempt);
        if outcome == Outcome::Ok {
            self.finish_call(now, call_ref, reply.into(), out);
        } else {
            call.last_failure = outcome.into();
            if call.in_flight.is_empty() {
                self.retry_or_fall_back(now, call_ref, outcome);
            }
        }
        self.changed_plans.push(call_ref.plan);
        self.settle(now, out);
    }

    /// Cancels a plan whose result is no longer needed, with its attempts. No `FinishPlan` action follows.
    pub fn cancel_plan(&mut self, now: Micros, plan: PlanId, out: &mut Vec<Action>) {
        if self.plans.contains_key(&plan) {
            self.remove_plan(now, plan, out);
            self.settle(now, out);
        }
    }

    /// Runs all timers that are due. To be called at [`Engine::next_timeout`] or later.
    pub fn handle_timeout(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some((plan, timer)) = self.pop_due_timer(now) {
            match timer {
                Timer::StageEnd { stage_index } => self.end_stage_if_current(now, plan, stage_index, out),
                Timer::BackoffEnd { call } => self.enqueue_call(now, CallRef { plan, index: call }),
                Timer::Hedge { call, attempt } => {
                    self.start_hedged_request(now, CallRef { plan, index: call }, attempt, out);
                }
            }
            self.settle(now, out);
        }
    }

    /// Returns when [`Engine::handle_timeout`] is to be called next; `None` while no timer is set.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.timers.first().map(|(at, ..)| *at)
    }

    /// Records that a request of this class took `took` microseconds after its calls had ended.
    pub fn learn_local_work(&mut self, class: &str, took: Micros) {
        if let Some((class, _)) = self.templates.get_key_value(class) {
            self.local_work.entry(class.clone()).or_default().record(took);
        }
    }

    /// Caps the calls in flight at a dependency, on top of its adaptive concurrency limit. If the cap is
    /// raised, queued calls for which there is now capacity start at once.
    pub fn set_concurrency_cap(&mut self, now: Micros, dependency: &str, cap: usize, out: &mut Vec<Action>) {
        let Some(index) = self.dependencies.iter().position(|d| *d.name == *dependency && !d.retired) else {
            return;
        };
        if self.dependencies[index].limit.set_cap(cap) {
            self.freed_dependencies.insert(index);
            self.settle(now, out);
        }
    }
}

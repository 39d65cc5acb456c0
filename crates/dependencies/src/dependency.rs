//! Everything that is known of one dependency.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::rc::Rc;

use rand::Rng;
use umberloom::interface::{Micros, Outcome};

use crate::breaker::{self, CircuitBreaker};
use crate::config::{DependencyConfig, LimitBounds};
use crate::latency::LatencyWindow;
use crate::limit::{CallSample, ConcurrencyLimit, LimitStatus};
use crate::load_balancer::{EndpointStatus, LoadBalancer};
use crate::retry::RetryBudget;
use crate::PlanId;

/// Calls that may wait for a place: far more than find one in the time that requests have.
const MAX_QUEUED_CALLS: usize = 1_024;
/// An attempt that may be followed by another gets half of the time that is left, but at least so many typical
/// times where there are as many.
const MIN_ATTEMPT_LATENCIES: f64 = 3.0;

/// A call that waits for a place: by level, highest first, then by age.
pub(crate) type QueuedCall = (Reverse<u16>, u64, PlanId, usize);

/// How a dependency stands, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct DependencyStatus {
    /// Its name.
    pub name: Rc<str>,
    /// Its limit over all endpoints.
    pub limit: LimitStatus,
    /// Whether it is called at all.
    pub breaker: breaker::BreakerState,
    /// Repeated attempts that the budget allows now.
    pub retry_budget: f64,
    /// Calls that wait for a place.
    pub queued: usize,
    /// Its endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// What is asked of a dependency now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Calls that wait for a place.
    pub queued: usize,
    /// The highest level among them.
    pub max_priority_level: u16,
    /// Calls in flight.
    pub in_flight: usize,
}

#[derive(Debug)]
pub(crate) struct Dependency {
    pub name: Rc<str>,
    pub config: DependencyConfig,
    pub retry_budget: RetryBudget,
    pub breaker: CircuitBreaker,
    pub limit: ConcurrencyLimit,
    pub load_balancer: LoadBalancer,
    pub latency: LatencyWindow,
    pub queue: BTreeSet<QueuedCall>,
    /// No longer in the settings.
    pub retired: bool,
    /// All bursts and shares that the budget ever had, for [`Service::check`].
    max_policy: (f64, f64),
}

fn bounds(config: &DependencyConfig) -> LimitBounds {
    let most = config.concurrency_ceiling();
    let LimitBounds { initial: start, min: least, .. } = config.concurrency_limit;
    LimitBounds { initial: start.min(most), min: least.min(most), max: most }
}

impl Dependency {
    pub fn new(now: Micros, config: DependencyConfig) -> Dependency {
        Dependency {
            name: config.name.as_str().into(),
            retry_budget: RetryBudget::new(config.retry),
            breaker: CircuitBreaker::new(config.breaker),
            limit: ConcurrencyLimit::new(bounds(&config)),
            load_balancer: LoadBalancer::new(
                config.load_balancing,
                &config.endpoints,
                config.endpoint_concurrency_limit,
            ),
            latency: LatencyWindow::new(now),
            queue: BTreeSet::new(),
            retired: false,
            max_policy: (config.retry.budget_burst, config.retry.budget_ratio),
            config,
        }
    }

    /// New settings; what was learned stays.
    pub fn reconfigure(&mut self, now: Micros, config: DependencyConfig) {
        self.retry_budget.set_policy(config.retry);
        self.max_policy.0 = self.max_policy.0.max(config.retry.budget_burst);
        self.max_policy.1 = self.max_policy.1.max(config.retry.budget_ratio);
        self.breaker.reconfigure(config.breaker);
        self.limit.set_bounds(now, bounds(&config));
        self.load_balancer.reconfigure(
            now,
            config.load_balancing,
            &config.endpoints,
            config.endpoint_concurrency_limit,
        );
        self.retired = false;
        self.config = config;
    }

    /// Calls that wait for a place, the highest level among them, and calls in flight.
    pub fn demand(&self) -> Demand {
        let level = self.queue.first().map_or(0, |(level, ..)| level.0);
        Demand { queued: self.queue.len(), max_priority_level: level, in_flight: self.limit.in_flight() }
    }

    /// Whether nothing of it is under way.
    pub fn is_idle(&self) -> bool {
        self.limit.in_flight() == 0 && self.queue.is_empty()
    }

    /// Takes a call in that waits for a place; `false` if too many do.
    pub fn enqueue(&mut self, waiter: QueuedCall) -> bool {
        let room = self.queue.len() < MAX_QUEUED_CALLS;
        if room {
            self.queue.insert(waiter);
        }
        room
    }

    /// The endpoint for one more call, if there is a place.
    pub fn pick_endpoint(&self, now: Micros, avoid: &[usize], random: &mut impl Rng) -> Option<usize> {
        if !self.limit.has_capacity() {
            return None;
        }
        self.load_balancer.pick(now, avoid, random)
    }

    /// How long the call that waits here is likely to wait yet.
    pub fn expected_wait(&self, waiter: &QueuedCall) -> Micros {
        let ahead = self.queue.range(..waiter).count() + 1;
        (ahead as f64 * self.limit.typical_latency() / self.limit.value().max(1) as f64) as Micros
    }

    /// A call starts; whether it is one by which the breaker looks again.
    pub fn start(&mut self, now: Micros, endpoint: usize) -> bool {
        self.limit.start();
        self.load_balancer.start(endpoint);
        self.breaker.start(now)
    }

    /// It is over. `None`: it was given up because nobody waits for it any more, which says nothing.
    pub fn end(
        &mut self,
        now: Micros,
        (endpoint, probe): (usize, bool),
        took: Micros,
        outcome: Option<Outcome>,
        random: &mut impl Rng,
    ) {
        let (sample, failed) = match outcome {
            Some(Outcome::Ok) => (CallSample::Answered(took), Some(false)),
            // Turned away: crowded, and neither down nor well.
            Some(Outcome::Rejected) => (CallSample::Dropped, None),
            Some(Outcome::TimedOut) => (CallSample::Dropped, Some(true)),
            // How fast it fails says nothing about load.
            Some(Outcome::Error | Outcome::Unreachable | Outcome::ConnectionLost) => {
                (CallSample::Ignored, Some(true))
            }
            Some(Outcome::NotStarted | Outcome::Aborted) | None => (CallSample::Ignored, None),
        };
        if outcome == Some(Outcome::Ok) {
            self.latency.record(now, took);
        }
        self.limit.end(now, sample);
        self.load_balancer.end(now, endpoint, sample, failed, random);
        self.breaker.end(now, probe, failed, (self.config.load_balancing.servers, random));
    }

    /// Until when an attempt may take that starts now, in a stage that ends at `end`.
    pub fn attempt_deadline(&self, now: Micros, end: Micros, may_follow: bool) -> Micros {
        if !may_follow {
            return end;
        }
        let left = end.saturating_sub(now);
        now + (left / 2).max((self.limit.typical_latency() * MIN_ATTEMPT_LATENCIES) as Micros).min(left)
    }

    pub fn status(&self, now: Micros) -> DependencyStatus {
        DependencyStatus {
            name: self.name.clone(),
            limit: self.limit.status(),
            breaker: self.breaker.state(now),
            retry_budget: self.retry_budget.available(),
            queued: self.queue.len(),
            endpoints: self.load_balancer.status(),
        }
    }

    pub fn check_invariants(&self) -> Result<(), String> {
        let name = &self.name;
        if self.limit.in_flight() != self.load_balancer.in_flight() {
            return Err(format!(
                "{name}: in flight {} and {}",
                self.limit.in_flight(),
                self.load_balancer.in_flight()
            ));
        }
        if !self.limit.is_within_bounds() || self.queue.len() > MAX_QUEUED_CALLS {
            return Err(format!("{name}: limit {:?}, {} wait", self.limit, self.queue.len()));
        }
        if !self.retry_budget.is_not_overdrawn(self.max_policy.0, self.max_policy.1) {
            return Err(format!("{name}: the budget is overdrawn, {:?}", self.retry_budget));
        }
        self.load_balancer.check_invariants().map_err(|e| format!("{name}: {e}"))
    }
}

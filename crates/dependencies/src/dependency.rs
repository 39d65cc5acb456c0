//! State of one dependency: its limit, circuit breaker, endpoints, retry budget and queued calls.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::rc::Rc;

use rand::Rng;
use umberloom::interface::{Micros, Outcome};

use crate::breaker::{BreakerState, CircuitBreaker};
use crate::config::{DependencyConfig, LimitBounds};
use crate::latency::LatencyWindow;
use crate::limit::{CallSample, ConcurrencyLimit, LimitStatus};
use crate::load_balancer::{EndpointStatus, LoadBalancer};
use crate::plan::CallRef;
use crate::retry::RetryBudget;

/// Maximum number of queued calls; far more than can start before the deadlines of their requests.
const MAX_QUEUED_CALLS: usize = 1_024;
/// Minimum time for an attempt that may be followed by a retry, as a multiple of the typical latency. Such an
/// attempt gets half of the remaining time, but at least this where that much remains.
const MIN_ATTEMPT_LATENCIES: f64 = 3.0;

/// A call that waits for capacity. Calls are ordered by priority level (highest first) and then by age
/// (oldest first).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedCall {
    pub priority_level: Reverse<u16>,
    /// Sequence number of the call; it increases with each call that is queued.
    pub ticket: u64,
    pub call: CallRef,
}

/// Status of a dependency, for logs and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct DependencyStatus {
    /// Name of the dependency.
    pub name: Rc<str>,
    /// Concurrency limit over all endpoints.
    pub limit: LimitStatus,
    /// State of the circuit breaker.
    pub breaker: BreakerState,
    /// Number of retries that the retry budget currently allows.
    pub retry_budget: f64,
    /// Number of calls that wait for capacity.
    pub queued: usize,
    /// Status of each configured endpoint.
    pub endpoints: Vec<EndpointStatus>,
}

/// Current demand for a dependency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Number of calls that wait for capacity.
    pub queued: usize,
    /// Highest priority level among the queued calls; 0 if there are none.
    pub max_priority_level: u16,
    /// Number of calls in flight.
    pub in_flight: usize,
}

/// The end of an attempt, as reported to its dependency.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Whether the circuit breaker let it through as a probe.
    pub is_probe: bool,
    pub took: Micros,
    /// `None` if it was cancelled because its result was no longer needed, which says nothing about the
    /// dependency.
    pub outcome: Option<Outcome>,
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
    /// Whether it is no longer configured. Its index is reused after its last call has ended.
    pub retired: bool,
    /// Highest burst that was ever configured for the retry budget, for [`Dependency::check_invariants`].
    max_budget_burst: f64,
    /// Highest ratio that was ever configured for the retry budget, for [`Dependency::check_invariants`].
    max_budget_ratio: f64,
}

impl Dependency {
    pub fn new(now: Micros, config: DependencyConfig) -> Dependency {
        Dependency {
            name: config.name.as_str().into(),
            retry_budget: RetryBudget::new(config.retry),
            breaker: CircuitBreaker::new(config.breaker),
            limit: ConcurrencyLimit::new(limit_bounds(&config)),
            load_balancer: LoadBalancer::new(
                config.load_balancing,
                &config.endpoints,
                config.endpoint_concurrency_limit,
            ),
            latency: LatencyWindow::new(now),
            queue: BTreeSet::new(),
            retired: false,
            max_budget_burst: config.retry.budget_burst,
            max_budget_ratio: config.retry.budget_ratio,
            config,
        }
    }

    /// Applies a new configuration and keeps the learned state.
    pub fn reconfigure(&mut self, now: Micros, config: DependencyConfig) {
        self.retry_budget.set_policy(config.retry);
        self.max_budget_burst = self.max_budget_burst.max(config.retry.budget_burst);
        self.max_budget_ratio = self.max_budget_ratio.max(config.retry.budget_ratio);
        self.breaker.reconfigure(config.breaker);
        self.limit.set_bounds(now, limit_bounds(&config));
        self.load_balancer.reconfigure(
            now,
            config.load_balancing,
            &config.endpoints,
            config.endpoint_concurrency_limit,
        );
        self.retired = false;
        self.config = config;
    }

    pub fn demand(&self) -> Demand {
        Demand {
            queued: self.queue.len(),
            max_priority_level: self.queue.first().map_or(0, |queued| queued.priority_level.0),
            in_flight: self.limit.in_flight(),
        }
    }

    /// Returns whether none of its calls is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.limit.in_flight() == 0 && self.queue.is_empty()
    }

    /// Queues a call; returns `false` if the queue is full.
    pub fn enqueue(&mut self, queued: QueuedCall) -> bool {
        let has_room = self.queue.len() < MAX_QUEUED_CALLS;
        if has_room {
            self.queue.insert(queued);
        }
        has_room
    }

    /// Picks the endpoint for one more attempt, if there is capacity; see [`LoadBalancer::pick`].
    pub fn pick_endpoint(&self, now: Micros, avoid: &[usize], random: &mut impl Rng) -> Option<usize> {
        if !self.limit.has_capacity() {
            return None;
        }
        self.load_balancer.pick(now, avoid, random)
    }

    /// Estimates how much longer a queued call has to wait, in microseconds, from the number of calls before
    /// it.
    pub fn expected_wait(&self, queued: &QueuedCall) -> Micros {
        let ahead = self.queue.range(..queued).count() + 1;
        (ahead as f64 * self.limit.typical_latency() / self.limit.value().max(1) as f64) as Micros
    }

    /// Records the start of an attempt; returns whether it is a probe of the circuit breaker.
    pub fn start(&mut self, now: Micros, endpoint: usize) -> bool {
        self.limit.start();
        self.load_balancer.start(endpoint);
        self.breaker.start(now)
    }

    /// Records the end of an attempt that was started.
    pub fn end(&mut self, now: Micros, attempt: EndedAttempt, random: &mut impl Rng) {
        let (sample, failed) = match attempt.outcome {
            Some(Outcome::Ok) => (CallSample::Answered(attempt.took), Some(false)),
            // A rejection indicates overload, but neither that the dependency is down nor that it is healthy.
            Some(Outcome::Rejected) => (CallSample::Dropped, None),
            Some(Outcome::TimedOut) => (CallSample::Dropped, Some(true)),
            // The time until a failure says nothing about load.
            Some(Outcome::Error | Outcome::Unreachable | Outcome::ConnectionLost) => {
                (CallSample::Ignored, Some(true))
            }
            Some(Outcome::NotStarted | Outcome::Aborted) | None => (CallSample::Ignored, None),
        };
        if attempt.outcome == Some(Outcome::Ok) {
            self.latency.record(now, attempt.took);
        }
        self.limit.end(now, sample);
        self.load_balancer.end(now, attempt.endpoint, sample, failed, random);
        let servers = self.config.load_balancing.servers;
        self.breaker.end(now, attempt.is_probe, failed, servers, random);
    }

    /// Returns the deadline for an attempt that starts now, of a call that must end by `call_deadline`. An
    /// attempt that may be retried gets only part of the remaining time.
    pub fn attempt_deadline(&self, now: Micros, call_deadline: Micros, may_be_retried: bool) -> Micros {
        if !may_be_retried {
            return call_deadline;
        }
        let remaining = call_deadline.saturating_sub(now);
        let min_time = (self.limit.typical_latency() * MIN_ATTEMPT_LATENCIES) as Micros;
        now + (remaining / 2).max(min_time).min(remaining)
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
        let in_flight = self.limit.in_flight();
        let at_endpoints = self.load_balancer.in_flight();
        if in_flight != at_endpoints {
            return Err(format!("{name}: {in_flight} calls in flight, {at_endpoints} at its endpoints"));
        }
        if !self.limit.is_within_bounds() || self.queue.len() > MAX_QUEUED_CALLS {
            return Err(format!("{name}: limit {:?}, {} calls queued", self.limit, self.queue.len()));
        }
        if !self.retry_budget.is_not_overdrawn(self.max_budget_burst, self.max_budget_ratio) {
            return Err(format!("{name}: the retry budget is overdrawn, {:?}", self.retry_budget));
        }
        self.load_balancer.check_invariants().map_err(|error| format!("{name}: {error}"))
    }
}

/// Returns the configured bounds of the concurrency limit, capped at this server's share of the dependency's
/// capacity.
fn limit_bounds(config: &DependencyConfig) -> LimitBounds {
    let max = config.concurrency_ceiling();
    let configured = config.concurrency_limit;
    LimitBounds { initial: configured.initial.min(max), min: configured.min.min(max), max }
}

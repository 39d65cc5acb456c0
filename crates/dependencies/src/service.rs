//! Everything that is known of one dependency.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::rc::Rc;

use rand::Rng;
use umberloom::interface::{Micros, Outcome};

use crate::breaker::{self, Breaker};
use crate::config::{Bounds, Dependency};
use crate::latency::Latency;
use crate::limit::{Limit, LimitView, Sample};
use crate::load_balancer::{EndpointView, Pool};
use crate::retry::RetryBudget;
use crate::PlanId;

/// Calls that may wait for a place: far more than find one in the time that requests have.
const WAITING: usize = 1_024;
/// An attempt that may be followed by another gets half of the time that is left, but at least so many typical
/// times where there are as many.
const TYPICAL_TIMES: f64 = 3.0;

/// A call that waits for a place: by level, highest first, then by age.
pub(crate) type Waiter = (Reverse<u16>, u64, PlanId, usize);

/// How a dependency stands, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceView {
    /// Its name.
    pub name: Rc<str>,
    /// Its limit over all endpoints.
    pub limit: LimitView,
    /// Whether it is called at all.
    pub breaker: breaker::State,
    /// Repeated attempts that the budget allows now.
    pub budget: f64,
    /// Calls that wait for a place.
    pub waiting: usize,
    /// Its endpoints.
    pub endpoints: Vec<EndpointView>,
}

/// What is asked of a dependency now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Calls that wait for a place.
    pub waiting: usize,
    /// The highest level among them.
    pub level: u16,
    /// Calls in flight.
    pub in_flight: usize,
}

#[derive(Debug)]
pub(crate) struct Service {
    pub name: Rc<str>,
    pub config: Dependency,
    pub budget: RetryBudget,
    pub breaker: Breaker,
    pub limit: Limit,
    pub pool: Pool,
    pub latency: Latency,
    pub waiting: BTreeSet<Waiter>,
    /// No longer in the settings.
    pub retired: bool,
    /// All bursts and shares that the budget ever had, for [`Service::check`].
    budget_most: (f64, f64),
}

fn bounds(config: &Dependency) -> Bounds {
    let most = config.ceiling();
    let Bounds { start, least, .. } = config.limit;
    Bounds { start: start.min(most), least: least.min(most), most }
}

impl Service {
    pub fn new(now: Micros, config: Dependency) -> Service {
        Service {
            name: config.name.as_str().into(),
            budget: RetryBudget::new(config.retry),
            breaker: Breaker::new(config.breaker),
            limit: Limit::new(bounds(&config)),
            pool: Pool::new(config.route, &config.endpoints, config.endpoint_limit),
            latency: Latency::new(now),
            waiting: BTreeSet::new(),
            retired: false,
            budget_most: (config.retry.burst, config.retry.share),
            config,
        }
    }

    /// New settings; what was learned stays.
    pub fn set(&mut self, now: Micros, config: Dependency) {
        self.budget.set(config.retry);
        self.budget_most.0 = self.budget_most.0.max(config.retry.burst);
        self.budget_most.1 = self.budget_most.1.max(config.retry.share);
        self.breaker.set(config.breaker);
        self.limit.set_bounds(now, bounds(&config));
        self.pool.set(now, config.route, &config.endpoints, config.endpoint_limit);
        self.retired = false;
        self.config = config;
    }

    /// Calls that wait for a place, the highest level among them, and calls in flight.
    pub fn demand(&self) -> Demand {
        let level = self.waiting.first().map_or(0, |(level, ..)| level.0);
        Demand { waiting: self.waiting.len(), level, in_flight: self.limit.in_flight() }
    }

    /// Whether nothing of it is under way.
    pub fn is_idle(&self) -> bool {
        self.limit.in_flight() == 0 && self.waiting.is_empty()
    }

    /// Takes a call in that waits for a place; `false` if too many do.
    pub fn queue(&mut self, waiter: Waiter) -> bool {
        let room = self.waiting.len() < WAITING;
        if room {
            self.waiting.insert(waiter);
        }
        room
    }

    /// The endpoint for one more call, if there is a place.
    pub fn place(&self, now: Micros, avoid: &[usize], random: &mut impl Rng) -> Option<usize> {
        if !self.limit.has_place() {
            return None;
        }
        self.pool.pick(now, avoid, random)
    }

    /// How long the call that waits here is likely to wait yet.
    pub fn expected_wait(&self, waiter: &Waiter) -> Micros {
        let ahead = self.waiting.range(..waiter).count() + 1;
        (ahead as f64 * self.limit.typical() / self.limit.value().max(1) as f64) as Micros
    }

    /// A call starts; whether it is one by which the breaker looks again.
    pub fn start(&mut self, now: Micros, endpoint: usize) -> bool {
        self.limit.start();
        self.pool.start(endpoint);
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
            Some(Outcome::Ok) => (Sample::Answered(took), Some(false)),
            // Turned away: crowded, and neither down nor well.
            Some(Outcome::Rejected) => (Sample::Dropped, None),
            Some(Outcome::TimedOut) => (Sample::Dropped, Some(true)),
            // How fast it fails says nothing about load.
            Some(Outcome::Error | Outcome::Unreachable | Outcome::ConnectionLost) => {
                (Sample::Silent, Some(true))
            }
            Some(Outcome::NotStarted | Outcome::Aborted) | None => (Sample::Silent, None),
        };
        if outcome == Some(Outcome::Ok) {
            self.latency.add(now, took);
        }
        self.limit.end(now, sample);
        self.pool.end(now, endpoint, sample, failed, random);
        self.breaker.end(now, probe, failed, (self.config.route.servers, random));
    }

    /// Until when an attempt may take that starts now, in a stage that ends at `end`.
    pub fn attempt_until(&self, now: Micros, end: Micros, may_follow: bool) -> Micros {
        if !may_follow {
            return end;
        }
        let left = end.saturating_sub(now);
        now + (left / 2).max((self.limit.typical() * TYPICAL_TIMES) as Micros).min(left)
    }

    pub fn explain(&self, now: Micros) -> ServiceView {
        ServiceView {
            name: self.name.clone(),
            limit: self.limit.explain(),
            breaker: self.breaker.state(now),
            budget: self.budget.left(),
            waiting: self.waiting.len(),
            endpoints: self.pool.explain(),
        }
    }

    pub fn check(&self) -> Result<(), String> {
        let name = &self.name;
        if self.limit.in_flight() != self.pool.in_flight() {
            return Err(format!(
                "{name}: in flight {} and {}",
                self.limit.in_flight(),
                self.pool.in_flight()
            ));
        }
        if !self.limit.is_sound() || self.waiting.len() > WAITING {
            return Err(format!("{name}: limit {:?}, {} wait", self.limit, self.waiting.len()));
        }
        if !self.budget.is_sound(self.budget_most.0, self.budget_most.1) {
            return Err(format!("{name}: the budget is overdrawn, {:?}", self.budget));
        }
        self.pool.check().map_err(|e| format!("{name}: {e}"))
    }
}

//! Load balancing over the endpoints of a dependency, with outlier ejection as in Envoy.

mod ejection;
mod endpoint;

use std::rc::Rc;

use rand::Rng;
use umberloom::interface::Micros;

use self::endpoint::Endpoint;
use crate::config::{LimitBounds, LoadBalancerConfig};
use crate::limit::CallSample;

pub use ejection::{Ejection, EjectionReason};
pub use endpoint::{EndpointState, EndpointStatus};

/// Share of its full weight with which a readmitted endpoint starts its recovery ramp.
const INITIAL_WEIGHT: f64 = 0.1;
/// Share of its current weight that a recovering endpoint is actually given. The rest is a margin for chance,
/// because many servers draw independently.
const RAMP_USED_SHARE: f64 = 0.5;
/// A failed call counts as a call with this multiple of the median latency of the other endpoints, so that an
/// endpoint that fails fast does not attract calls. If the endpoint's own latency is higher than the median,
/// it is multiplied instead, but counts as at most this multiple of the median.
const FAILURE_LATENCY_FACTOR: f64 = 10.0;
/// Median latency that is assumed while none is known.
const DEFAULT_LATENCY_US: f64 = 100_000.0;

/// Chooses among the endpoints of one dependency. Endpoints are identified by their indices, which do not
/// change while an endpoint is configured or has calls in flight.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    config: LoadBalancerConfig,
    endpoints: Vec<Endpoint>,
    /// Number of endpoints that were ejected at the last reconfiguration; the new configuration may allow
    /// fewer.
    ejected_at_reconfigure: usize,
}

impl LoadBalancer {
    /// Creates a load balancer whose endpoints are all active. `bounds` limits the calls in flight at each
    /// endpoint.
    pub fn new(config: LoadBalancerConfig, addresses: &[String], bounds: LimitBounds) -> LoadBalancer {
        let mut balancer = LoadBalancer { config, endpoints: Vec::new(), ejected_at_reconfigure: 0 };
        balancer.reconfigure(0, config, addresses, bounds);
        balancer
    }

    /// Applies a new configuration. Endpoints that are still configured keep their learned state; removed
    /// ones get no new calls.
    pub fn reconfigure(
        &mut self,
        now: Micros,
        config: LoadBalancerConfig,
        addresses: &[String],
        bounds: LimitBounds,
    ) {
        self.config = config;
        for endpoint in &mut self.endpoints {
            endpoint.retired = !addresses.iter().any(|address| **address == *endpoint.address);
            endpoint.limit.set_bounds(now, bounds);
        }
        for address in addresses {
            if !self.endpoints.iter().any(|endpoint| *endpoint.address == **address) {
                self.add_endpoint(Endpoint::new(address, bounds));
            }
        }
        self.ejected_at_reconfigure = self.ejected_count();
    }

    /// Adds an endpoint. It reuses the index of a removed one without calls in flight, so that the list does
    /// not grow with each reconfiguration.
    fn add_endpoint(&mut self, endpoint: Endpoint) {
        match self.endpoints.iter_mut().find(|e| e.retired && e.limit.in_flight() == 0) {
            Some(reusable) => *reusable = endpoint,
            None => self.endpoints.push(endpoint),
        }
    }

    /// Returns the address of an endpoint.
    pub fn address(&self, index: usize) -> Rc<str> {
        self.endpoints[index].address.clone()
    }

    /// Picks the endpoint for a call; one of those in `avoid` only if no other has capacity. Returns `None`
    /// if no endpoint that may be used has capacity.
    ///
    /// An endpoint whose ejection is over is probed first. Otherwise two endpoints are drawn, and the one
    /// with the lower cost by calls in flight and recent latency gets the call (power of two choices). A
    /// recovering endpoint that is drawn first gets the call with a probability in proportion to its current
    /// weight, whatever its cost: a server with few calls cannot send less than one, and one call from each
    /// of thirty servers may already be all that the endpoint gets at its full weight. If no endpoint is
    /// active, all are used: calls that may fail show more about the endpoints than calls that are not made.
    pub fn pick(&self, now: Micros, avoid: &[usize], random: &mut impl Rng) -> Option<usize> {
        if let Some(probe) = self.due_probe(now, avoid) {
            return Some(probe);
        }
        let candidates = self.candidates(avoid);
        if candidates.len() < 2 {
            return candidates.first().copied();
        }
        let first = candidates[random.random_range(0..candidates.len())];
        let first_weight = self.weight(now, first);
        let others: Vec<usize> =
            candidates.into_iter().filter(|&c| c != first && self.weight(now, c) >= 1.0).collect();
        if others.is_empty() {
            return Some(first);
        }
        let second = others[random.random_range(0..others.len())];
        let picks_first = if first_weight < 1.0 {
            random.random_bool(first_weight * RAMP_USED_SHARE)
        } else {
            self.cost(second) >= self.cost(first)
        };
        Some(if picks_first { first } else { second })
    }

    /// Returns an endpoint that is due for a probe because its ejection is over.
    fn due_probe(&self, now: Micros, avoid: &[usize]) -> Option<usize> {
        let is_due = |endpoint: &Endpoint| match endpoint.state {
            EndpointState::Ejected { until } => now >= until && endpoint.is_usable(),
            _ => false,
        };
        (0..self.endpoints.len()).find(|index| is_due(&self.endpoints[*index]) && !avoid.contains(index))
    }

    /// Returns the endpoints that may get a call: the active ones, or all if none is active. Those in `avoid`
    /// are left out if there are others.
    fn candidates(&self, avoid: &[usize]) -> Vec<usize> {
        let none_active = !self.endpoints.iter().any(|e| !e.retired && e.is_active());
        let is_candidate = |index: &usize| {
            let endpoint = &self.endpoints[*index];
            endpoint.is_usable() && (none_active || endpoint.is_active())
        };
        let mut candidates: Vec<usize> = (0..self.endpoints.len()).filter(is_candidate).collect();
        if candidates.iter().any(|index| !avoid.contains(index)) {
            candidates.retain(|index| !avoid.contains(index));
        }
        candidates
    }

    /// Returns whether an endpoint that is not in `avoid` has capacity.
    pub fn has_alternative(&self, avoid: &[usize]) -> bool {
        let is_alternative =
            |(index, endpoint): (usize, &Endpoint)| endpoint.is_usable() && !avoid.contains(&index);
        self.endpoints.iter().enumerate().any(is_alternative)
    }

    /// Returns the expected cost of one more call: the calls in flight, with this one, times the latency.
    fn cost(&self, index: usize) -> f64 {
        let endpoint = &self.endpoints[index];
        let known = endpoint.answer_latency.value().max(endpoint.penalized_latency.value());
        let latency = if known > 0.0 { known } else { self.median_latency(None) };
        (endpoint.limit.in_flight() + 1) as f64 * latency
    }

    /// Returns the weight of an endpoint as a share of its full weight. It rises linearly during the recovery
    /// ramp.
    fn weight(&self, now: Micros, index: usize) -> f64 {
        let EndpointState::Active { full_weight_at } = self.endpoints[index].state else {
            return INITIAL_WEIGHT;
        };
        let remaining_ramp_share =
            full_weight_at.saturating_sub(now) as f64 / self.config.recovery_ramp.max(1) as f64;
        1.0 - (1.0 - INITIAL_WEIGHT) * remaining_ramp_share.min(1.0)
    }

    /// Returns the median latency of all endpoints but `excluded`, in microseconds.
    fn median_latency(&self, excluded: Option<usize>) -> f64 {
        let is_known =
            |(index, e): &(usize, &Endpoint)| Some(*index) != excluded && !e.retired && e.answered > 0;
        let known = self.endpoints.iter().enumerate().filter(is_known);
        let mut latencies: Vec<f64> = known.map(|(_, e)| e.answer_latency.value()).collect();
        latencies.sort_by(f64::total_cmp);
        let middle = latencies.len().saturating_sub(1) / 2;
        latencies.get(middle).copied().unwrap_or(DEFAULT_LATENCY_US)
    }

    /// Records the start of a call to this endpoint.
    pub fn start(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.limit.start();
        if matches!(endpoint.state, EndpointState::Ejected { .. }) {
            endpoint.state = EndpointState::Probing;
        }
    }

    /// Records the end of a call to this endpoint. `failed` is `None` if the outcome says nothing about the
    /// endpoint's health.
    pub fn end(
        &mut self,
        now: Micros,
        index: usize,
        sample: CallSample,
        failed: Option<bool>,
        random: &mut impl Rng,
    ) {
        let median = self.median_latency(Some(index));
        let endpoint = &mut self.endpoints[index];
        endpoint.limit.end(now, sample);
        match (failed, sample) {
            (Some(true), _) => endpoint.record_failure(now, median),
            (Some(false), CallSample::Answered(took)) => endpoint.record_answer(now, took),
            _ => {}
        }
        if endpoint.state != EndpointState::Probing {
            return self.eject_if_outlier(now, index, random);
        }
        match failed {
            Some(false) => self.readmit(now, index),
            Some(true) => self.eject(now, index, EjectionReason::ConsecutiveFailures, random),
            // The probe was inconclusive, so the next call may be another probe.
            None => endpoint.state = EndpointState::Ejected { until: now },
        }
    }

    /// Returns the number of calls in flight at all endpoints.
    pub fn in_flight(&self) -> usize {
        self.endpoints.iter().map(|endpoint| endpoint.limit.in_flight()).sum()
    }

    /// Returns the status of each configured endpoint.
    pub fn status(&self) -> Vec<EndpointStatus> {
        self.endpoints.iter().filter(|e| !e.retired).map(Endpoint::status).collect()
    }

    /// Checks the invariants of the load balancer.
    ///
    /// # Errors
    /// Returns the first invariant that is violated.
    pub fn check_invariants(&self) -> Result<(), String> {
        let ejected = self.ejected_count();
        let max_ejected = (self.config.max_ejected_share * self.configured_count() as f64) as usize;
        if ejected > max_ejected.max(self.ejected_at_reconfigure) {
            return Err(format!("{ejected} endpoints are ejected, at most {max_ejected} may be"));
        }
        match self.endpoints.iter().find(|endpoint| !endpoint.limit.is_within_bounds()) {
            Some(endpoint) => Err(format!("the limit of {} left its bounds", endpoint.address)),
            None => Ok(()),
        }
    }

    fn configured_count(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| !endpoint.retired).count()
    }
}

#[cfg(test)]
mod tests;

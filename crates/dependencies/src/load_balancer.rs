//! Which endpoint a call goes to, and which endpoints are left out.

use std::rc::Rc;

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::{LimitBounds, LoadBalancerConfig};
use crate::latency::PeakLatency;
use crate::limit::{CallSample, ConcurrencyLimit, LimitStatus};
use crate::probe_pacing;

/// An endpoint that comes back starts with this part of its full share.
const INITIAL_WEIGHT: f64 = 0.1;
/// Of the part of its full share that an endpoint has while it comes back so much is used; the rest is for chance, as many
/// servers draw by themselves.
const RAMP_USED_SHARE: f64 = 0.5;
/// Left out again, it stays out twice as long, up to so many times as long as at first.
const MAX_EJECTION_FACTOR: u32 = 4;
/// A failed call counts as so many times the usual time: an endpoint that fails fast must not draw calls by it.
const FAILURE_LATENCY_FACTOR: f64 = 10.0;
/// The usual time while none is known: a tenth of a second.
const DEFAULT_LATENCY: f64 = 100_000.0;
/// Calls that an endpoint must have answered before its time is held against it.
const MIN_ANSWERS: u32 = 10;

/// Whether an endpoint is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It is, with its full share from this time on.
    Active(Micros),
    /// It is left out until this time.
    Ejected(Micros),
    /// One call goes to it, to see.
    Probing,
}

/// Why an endpoint was left out last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// It failed too often in a row.
    ConsecutiveFailures,
    /// It took many times what the others take.
    HighLatency,
}

/// What an endpoint looks like from here.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Its address.
    pub address: Rc<str>,
    /// Whether it is in use.
    pub state: EndpointState,
    /// Why it was left out last, and how often in a row.
    pub last_ejection: Option<(EjectionReason, u32)>,
    /// It would be left out, but too many are.
    pub ejection_withheld: bool,
    /// Its limit.
    pub limit: LimitStatus,
}

#[derive(Clone, Debug)]
struct Endpoint {
    address: Rc<str>,
    state: EndpointState,
    limit: ConcurrencyLimit,
    /// Times of calls that were answered, and what failed ones count as.
    answer_latency: PeakLatency,
    penalized_latency: PeakLatency,
    answered: u32,
    consecutive_failures: u32,
    last_ejection: Option<(EjectionReason, u32)>,
    ejection_withheld: bool,
    /// No longer in the settings: it takes no new call and goes with its last one.
    retired: bool,
}

/// All endpoints of one dependency. They are known by their places, which never change.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    config: LoadBalancerConfig,
    endpoints: Vec<Endpoint>,
    /// How many were out when the settings changed last: they may leave fewer out than that.
    ejected_at_reconfigure: usize,
}

impl LoadBalancer {
    /// Endpoints at these addresses.
    pub fn new(settings: LoadBalancerConfig, addresses: &[String], bounds: LimitBounds) -> LoadBalancer {
        let mut pool = LoadBalancer { config: settings, endpoints: Vec::new(), ejected_at_reconfigure: 0 };
        pool.reconfigure(0, settings, addresses, bounds);
        pool
    }

    /// New settings: what is known of addresses that stay is kept, and those that are gone take no new calls.
    pub fn reconfigure(
        &mut self,
        now: Micros,
        settings: LoadBalancerConfig,
        addresses: &[String],
        bounds: LimitBounds,
    ) {
        self.config = settings;
        for endpoint in &mut self.endpoints {
            endpoint.retired = !addresses.iter().any(|a| **a == *endpoint.address);
            endpoint.limit.set_bounds(now, bounds);
        }
        for address in addresses {
            if self.endpoints.iter().any(|e| *e.address == **address) {
                continue;
            }
            let fresh = Endpoint {
                address: address.as_str().into(),
                state: EndpointState::Active(0),
                limit: ConcurrencyLimit::new(bounds),
                answer_latency: PeakLatency::default(),
                penalized_latency: PeakLatency::default(),
                answered: 0,
                consecutive_failures: 0,
                last_ejection: None,
                ejection_withheld: false,
                retired: false,
            };
            // The place of one that is gone, so that changes of the file never make the list grow for ever.
            match self.endpoints.iter_mut().find(|e| e.retired && e.limit.in_flight() == 0) {
                Some(gone) => *gone = fresh,
                None => self.endpoints.push(fresh),
            }
        }
        self.ejected_at_reconfigure = self.ejected_count();
    }

    /// The address of an endpoint.
    pub fn address(&self, place: usize) -> Rc<str> {
        self.endpoints[place].address.clone()
    }

    /// The endpoint for a call, other than those in `avoid` as long as there is another. `None`: no place now.
    ///
    /// One whose time out has passed is probed first. Otherwise two are drawn, and the better of them by calls in
    /// flight and time taken of late gets the call. One that comes back is drawn for its part of its share only: a server
    /// with few calls has no smaller step than one, and thirty of them with one call each would be all that it is to get
    /// later. Where none is in use, all are again: calls that may fail tell more than calls that are not made.
    pub fn pick(&self, now: Micros, avoid: &[usize], random: &mut impl Rng) -> Option<usize> {
        let usable = |p: &usize| !self.endpoints[*p].retired && self.endpoints[*p].limit.has_capacity();
        let due =
            |p: &usize| matches!(self.endpoints[*p].state, EndpointState::Ejected(until) if now >= until);
        let fresh = |p: &usize| !avoid.contains(p);
        let is_in = |p: &usize| matches!(self.endpoints[*p].state, EndpointState::Active(_));
        let all = 0..self.endpoints.len();
        if let Some(probe) = all.clone().find(|p| due(p) && usable(p) && fresh(p)) {
            return Some(probe);
        }
        let none_in = !all.clone().any(|p| !self.endpoints[p].retired && is_in(&p));
        let from = |p: &usize| usable(p) && (none_in || is_in(p));
        let another = all.clone().any(|p| from(&p) && fresh(&p));
        let from = |p: &usize| from(p) && (!another || fresh(p));
        let count = all.clone().filter(from).count();
        let nth = |n: usize| all.clone().filter(from).nth(n);
        if count < 2 {
            return nth(0);
        }
        let first = nth(random.random_range(0..count))?;
        let comes_back = |p: &usize| self.weight(now, &self.endpoints[*p]) < 1.0;
        let settled = |p: &usize| from(p) && !comes_back(p) && *p != first;
        let others = all.clone().filter(settled).count();
        if others == 0 {
            return Some(first);
        }
        let second = all.clone().filter(settled).nth(random.random_range(0..others))?;
        if comes_back(&first) {
            let part = self.weight(now, &self.endpoints[first]) * RAMP_USED_SHARE;
            return Some(if random.random_bool(part) { first } else { second });
        }
        Some(if self.cost(second) < self.cost(first) { second } else { first })
    }

    /// Whether `pick` could give an endpoint that is none of these.
    pub fn has_alternative(&self, avoid: &[usize]) -> bool {
        let usable = |(p, e): (usize, &Endpoint)| !e.retired && !avoid.contains(&p) && e.limit.has_capacity();
        self.endpoints.iter().enumerate().any(usable)
    }

    fn cost(&self, place: usize) -> f64 {
        let endpoint = &self.endpoints[place];
        let known = endpoint.answer_latency.value().max(endpoint.penalized_latency.value());
        let time = if known > 0.0 { known } else { self.median_latency(None) };
        (endpoint.limit.in_flight() + 1) as f64 * time
    }

    /// The part of its full share that an endpoint gets: it grows while it comes back.
    fn weight(&self, now: Micros, endpoint: &Endpoint) -> f64 {
        let EndpointState::Active(full) = endpoint.state else { return INITIAL_WEIGHT };
        let left = full.saturating_sub(now) as f64 / self.config.recovery_ramp.max(1) as f64;
        1.0 - (1.0 - INITIAL_WEIGHT) * left.min(1.0)
    }

    /// The middle one of the times that endpoints take, without the one at `but`.
    fn median_latency(&self, but: Option<usize>) -> f64 {
        let known = |(p, e): &(usize, &Endpoint)| Some(*p) != but && !e.retired && e.answered > 0;
        let known = self.endpoints.iter().enumerate().filter(known);
        let mut times: Vec<f64> = known.map(|(_, e)| e.answer_latency.value()).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len().saturating_sub(1) / 2).copied().unwrap_or(DEFAULT_LATENCY)
    }

    /// A call to this endpoint starts.
    pub fn start(&mut self, place: usize) {
        let endpoint = &mut self.endpoints[place];
        endpoint.limit.start();
        if matches!(endpoint.state, EndpointState::Ejected(_)) {
            endpoint.state = EndpointState::Probing;
        }
    }

    /// It is over. `failed` is `None` where it says nothing of the endpoint's health.
    pub fn end(
        &mut self,
        now: Micros,
        place: usize,
        sample: CallSample,
        failed: Option<bool>,
        random: &mut impl Rng,
    ) {
        let usual = self.median_latency(Some(place));
        let endpoint = &mut self.endpoints[place];
        endpoint.limit.end(now, sample);
        match (failed, sample) {
            (Some(true), _) => {
                endpoint.consecutive_failures = endpoint.consecutive_failures.saturating_add(1);
                let counts_as =
                    usual.max(endpoint.answer_latency.value()).min(usual * FAILURE_LATENCY_FACTOR)
                        * FAILURE_LATENCY_FACTOR;
                endpoint.penalized_latency.record(now, counts_as as Micros);
            }
            (Some(false), CallSample::Answered(took)) => {
                endpoint.consecutive_failures = 0;
                endpoint.answered = endpoint.answered.saturating_add(1);
                endpoint.answer_latency.record(now, took);
                endpoint.penalized_latency.record(now, took);
            }
            _ => {}
        }
        if endpoint.state == EndpointState::Probing {
            match failed {
                Some(false) => self.readmit(now, place),
                Some(true) => self.eject(now, place, EjectionReason::ConsecutiveFailures, random),
                // It proved nothing: the next call may try.
                None => endpoint.state = EndpointState::Ejected(now),
            }
        } else {
            self.eject_if_outlier(now, place, random);
        }
    }

    fn readmit(&mut self, now: Micros, place: usize) {
        let endpoint = &mut self.endpoints[place];
        endpoint.state = EndpointState::Active(now + self.config.recovery_ramp);
        endpoint.consecutive_failures = 0;
        endpoint.answered = 0;
        (endpoint.answer_latency, endpoint.penalized_latency) =
            (PeakLatency::default(), PeakLatency::default());
    }

    fn eject_if_outlier(&mut self, now: Micros, place: usize, random: &mut impl Rng) {
        let endpoint = &self.endpoints[place];
        let EndpointState::Active(full) = endpoint.state else { return };
        let lags = endpoint.answered >= MIN_ANSWERS
            && endpoint.answer_latency.value()
                > self.config.latency_factor * self.median_latency(Some(place))
            && self
                .endpoints
                .iter()
                .enumerate()
                .any(|(p, e)| p != place && !e.retired && e.answered >= MIN_ANSWERS);
        let reason = match endpoint.consecutive_failures >= self.config.consecutive_failures {
            true => Some(EjectionReason::ConsecutiveFailures),
            false => lags.then_some(EjectionReason::HighLatency),
        };
        match reason {
            Some(reason) if self.may_eject() => self.eject(now, place, reason, random),
            Some(_) => self.endpoints[place].ejection_withheld = true,
            None => {
                let endpoint = &mut self.endpoints[place];
                endpoint.ejection_withheld = false;
                // Well for as long again as it took to come back: its past is forgotten.
                if endpoint.last_ejection.is_some() && now > full + self.config.recovery_ramp {
                    endpoint.last_ejection = None;
                }
            }
        }
    }

    fn may_eject(&self) -> bool {
        let there = self.endpoints.iter().filter(|e| !e.retired).count();
        (self.ejected_count() + 1) as f64 <= self.config.max_ejected_share * there as f64
    }

    /// How many are out.
    fn ejected_count(&self) -> usize {
        self.endpoints.iter().filter(|e| !e.retired && !matches!(e.state, EndpointState::Active(_))).count()
    }

    fn eject(&mut self, now: Micros, place: usize, reason: EjectionReason, random: &mut impl Rng) {
        let endpoint = &mut self.endpoints[place];
        let times = endpoint.last_ejection.map_or(0, |(_, times)| times);
        let span =
            self.config.base_ejection_time * Micros::from((1 << times.min(16)).min(MAX_EJECTION_FACTOR));
        endpoint.last_ejection = Some((reason, times + 1));
        // Servers that saw it fail at one moment must not all look again at one moment.
        endpoint.state =
            EndpointState::Ejected(now + probe_pacing::spread_delay(self.config.servers, span, random));
        endpoint.ejection_withheld = false;
    }

    /// When the next endpoint that is out may be probed.
    pub fn next_probe_at(&self) -> Option<Micros> {
        let until = |e: &Endpoint| match e.state {
            EndpointState::Ejected(until) if !e.retired => Some(until),
            _ => None,
        };
        self.endpoints.iter().filter_map(until).min()
    }

    /// Calls in flight, and whether nothing is left of a pool whose dependency is gone.
    pub fn in_flight(&self) -> usize {
        self.endpoints.iter().map(|e| e.limit.in_flight()).sum()
    }

    /// How each endpoint stands.
    pub fn status(&self) -> Vec<EndpointStatus> {
        let there = self.endpoints.iter().filter(|e| !e.retired);
        let view = |e: &Endpoint| EndpointStatus {
            address: e.address.clone(),
            state: e.state,
            last_ejection: e.last_ejection,
            ejection_withheld: e.ejection_withheld,
            limit: e.limit.status(),
        };
        there.map(view).collect()
    }

    /// What must always hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let there = self.endpoints.iter().filter(|e| !e.retired).count();
        let (out, most) = (self.ejected_count(), (self.config.max_ejected_share * there as f64) as usize);
        if out > most.max(self.ejected_at_reconfigure) {
            return Err(format!("{out} endpoints are out, at most {most} may be"));
        }
        match self.endpoints.iter().find(|e| !e.limit.is_within_bounds()) {
            Some(e) => Err(format!("the limit of {} left its bounds", e.address)),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;

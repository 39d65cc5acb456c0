//! Which endpoint a call goes to, and which endpoints are left out.

use std::rc::Rc;

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::{Bounds, Route};
use crate::latency::Peak;
use crate::limit::{Limit, LimitView, Sample};
use crate::probe_pacing;

/// An endpoint that comes back starts with this part of its full share.
const RAMP_FROM: f64 = 0.1;
/// Of the part of its full share that an endpoint has while it comes back so much is used; the rest is for chance, as many
/// servers draw by themselves.
const RAMP_USED: f64 = 0.5;
/// Left out again, it stays out twice as long, up to so many times as long as at first.
const LONGEST: u32 = 4;
/// A failed call counts as so many times the usual time: an endpoint that fails fast must not draw calls by it.
const FAILED_AS: f64 = 10.0;
/// The usual time while none is known: a tenth of a second.
const UNKNOWN: f64 = 100_000.0;
/// Calls that an endpoint must have answered before its time is held against it.
const ENOUGH: u32 = 10;

/// Whether an endpoint is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It is, with its full share from this time on.
    In(Micros),
    /// It is left out until this time.
    Out(Micros),
    /// One call goes to it, to see.
    Probing,
}

/// Why an endpoint was left out last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It failed too often in a row.
    Failed,
    /// It took many times what the others take.
    Lagged,
}

/// What an endpoint looks like from here.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView {
    /// Its address.
    pub address: Rc<str>,
    /// Whether it is in use.
    pub state: State,
    /// Why it was left out last, and how often in a row.
    pub out: Option<(Reason, u32)>,
    /// It would be left out, but too many are.
    pub held_in: bool,
    /// Its limit.
    pub limit: LimitView,
}

#[derive(Clone, Debug)]
struct Endpoint {
    address: Rc<str>,
    state: State,
    limit: Limit,
    /// Times of calls that were answered, and what failed ones count as.
    peak: Peak,
    trouble: Peak,
    answered: u32,
    failures: u32,
    out: Option<(Reason, u32)>,
    held_in: bool,
    /// No longer in the settings: it takes no new call and goes with its last one.
    retired: bool,
}

/// All endpoints of one dependency. They are known by their places, which never change.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: Route,
    all: Vec<Endpoint>,
    /// How many were out when the settings changed last: they may leave fewer out than that.
    were_out: usize,
}

impl Pool {
    /// Endpoints at these addresses.
    pub fn new(settings: Route, addresses: &[String], bounds: Bounds) -> Pool {
        let mut pool = Pool { settings, all: Vec::new(), were_out: 0 };
        pool.set(0, settings, addresses, bounds);
        pool
    }

    /// New settings: what is known of addresses that stay is kept, and those that are gone take no new calls.
    pub fn set(&mut self, now: Micros, settings: Route, addresses: &[String], bounds: Bounds) {
        self.settings = settings;
        for endpoint in &mut self.all {
            endpoint.retired = !addresses.iter().any(|a| **a == *endpoint.address);
            endpoint.limit.set_bounds(now, bounds);
        }
        for address in addresses {
            if self.all.iter().any(|e| *e.address == **address) {
                continue;
            }
            let fresh = Endpoint {
                address: address.as_str().into(),
                state: State::In(0),
                limit: Limit::new(bounds),
                peak: Peak::default(),
                trouble: Peak::default(),
                answered: 0,
                failures: 0,
                out: None,
                held_in: false,
                retired: false,
            };
            // The place of one that is gone, so that changes of the file never make the list grow for ever.
            match self.all.iter_mut().find(|e| e.retired && e.limit.in_flight() == 0) {
                Some(gone) => *gone = fresh,
                None => self.all.push(fresh),
            }
        }
        self.were_out = self.out();
    }

    /// The address of an endpoint.
    pub fn address(&self, place: usize) -> Rc<str> {
        self.all[place].address.clone()
    }

    /// The endpoint for a call, other than those in `avoid` as long as there is another. `None`: no place now.
    ///
    /// One whose time out has passed is probed first. Otherwise two are drawn, and the better of them by calls in
    /// flight and time taken of late gets the call. One that comes back is drawn for its part of its share only: a server
    /// with few calls has no smaller step than one, and thirty of them with one call each would be all that it is to get
    /// later. Where none is in use, all are again: calls that may fail tell more than calls that are not made.
    pub fn pick(&self, now: Micros, avoid: &[usize], random: &mut impl Rng) -> Option<usize> {
        let usable = |p: &usize| !self.all[*p].retired && self.all[*p].limit.has_place();
        let due = |p: &usize| matches!(self.all[*p].state, State::Out(until) if now >= until);
        let fresh = |p: &usize| !avoid.contains(p);
        let is_in = |p: &usize| matches!(self.all[*p].state, State::In(_));
        let all = 0..self.all.len();
        if let Some(probe) = all.clone().find(|p| due(p) && usable(p) && fresh(p)) {
            return Some(probe);
        }
        let none_in = !all.clone().any(|p| !self.all[p].retired && is_in(&p));
        let from = |p: &usize| usable(p) && (none_in || is_in(p));
        let another = all.clone().any(|p| from(&p) && fresh(&p));
        let from = |p: &usize| from(p) && (!another || fresh(p));
        let count = all.clone().filter(from).count();
        let nth = |n: usize| all.clone().filter(from).nth(n);
        if count < 2 {
            return nth(0);
        }
        let first = nth(random.random_range(0..count))?;
        let comes_back = |p: &usize| self.weight(now, &self.all[*p]) < 1.0;
        let settled = |p: &usize| from(p) && !comes_back(p) && *p != first;
        let others = all.clone().filter(settled).count();
        if others == 0 {
            return Some(first);
        }
        let second = all.clone().filter(settled).nth(random.random_range(0..others))?;
        if comes_back(&first) {
            let part = self.weight(now, &self.all[first]) * RAMP_USED;
            return Some(if random.random_bool(part) { first } else { second });
        }
        Some(if self.cost(second) < self.cost(first) { second } else { first })
    }

    /// Whether `pick` could give an endpoint that is none of these.
    pub fn has_another(&self, avoid: &[usize]) -> bool {
        let usable = |(p, e): (usize, &Endpoint)| !e.retired && !avoid.contains(&p) && e.limit.has_place();
        self.all.iter().enumerate().any(usable)
    }

    fn cost(&self, place: usize) -> f64 {
        let endpoint = &self.all[place];
        let known = endpoint.peak.value().max(endpoint.trouble.value());
        let time = if known > 0.0 { known } else { self.usual(None) };
        (endpoint.limit.in_flight() + 1) as f64 * time
    }

    /// The part of its full share that an endpoint gets: it grows while it comes back.
    fn weight(&self, now: Micros, endpoint: &Endpoint) -> f64 {
        let State::In(full) = endpoint.state else { return RAMP_FROM };
        let left = full.saturating_sub(now) as f64 / self.settings.ramp.max(1) as f64;
        1.0 - (1.0 - RAMP_FROM) * left.min(1.0)
    }

    /// The middle one of the times that endpoints take, without the one at `but`.
    fn usual(&self, but: Option<usize>) -> f64 {
        let known = |(p, e): &(usize, &Endpoint)| Some(*p) != but && !e.retired && e.answered > 0;
        let known = self.all.iter().enumerate().filter(known);
        let mut times: Vec<f64> = known.map(|(_, e)| e.peak.value()).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len().saturating_sub(1) / 2).copied().unwrap_or(UNKNOWN)
    }

    /// A call to this endpoint starts.
    pub fn start(&mut self, place: usize) {
        let endpoint = &mut self.all[place];
        endpoint.limit.start();
        if matches!(endpoint.state, State::Out(_)) {
            endpoint.state = State::Probing;
        }
    }

    /// It is over. `failed` is `None` where it says nothing of the endpoint's health.
    pub fn end(
        &mut self,
        now: Micros,
        place: usize,
        sample: Sample,
        failed: Option<bool>,
        random: &mut impl Rng,
    ) {
        let usual = self.usual(Some(place));
        let endpoint = &mut self.all[place];
        endpoint.limit.end(now, sample);
        match (failed, sample) {
            (Some(true), _) => {
                endpoint.failures = endpoint.failures.saturating_add(1);
                let counts_as = usual.max(endpoint.peak.value()).min(usual * FAILED_AS) * FAILED_AS;
                endpoint.trouble.add(now, counts_as as Micros);
            }
            (Some(false), Sample::Answered(took)) => {
                endpoint.failures = 0;
                endpoint.answered = endpoint.answered.saturating_add(1);
                endpoint.peak.add(now, took);
                endpoint.trouble.add(now, took);
            }
            _ => {}
        }
        if endpoint.state == State::Probing {
            match failed {
                Some(false) => self.bring_back(now, place),
                Some(true) => self.leave_out(now, place, Reason::Failed, random),
                // It proved nothing: the next call may try.
                None => endpoint.state = State::Out(now),
            }
        } else {
            self.judge(now, place, random);
        }
    }

    fn bring_back(&mut self, now: Micros, place: usize) {
        let endpoint = &mut self.all[place];
        endpoint.state = State::In(now + self.settings.ramp);
        endpoint.failures = 0;
        endpoint.answered = 0;
        (endpoint.peak, endpoint.trouble) = (Peak::default(), Peak::default());
    }

    fn judge(&mut self, now: Micros, place: usize, random: &mut impl Rng) {
        let endpoint = &self.all[place];
        let State::In(full) = endpoint.state else { return };
        let lags = endpoint.answered >= ENOUGH
            && endpoint.peak.value() > self.settings.lag * self.usual(Some(place))
            && self.all.iter().enumerate().any(|(p, e)| p != place && !e.retired && e.answered >= ENOUGH);
        let reason = match endpoint.failures >= self.settings.failures {
            true => Some(Reason::Failed),
            false => lags.then_some(Reason::Lagged),
        };
        match reason {
            Some(reason) if self.may_leave_out() => self.leave_out(now, place, reason, random),
            Some(_) => self.all[place].held_in = true,
            None => {
                let endpoint = &mut self.all[place];
                endpoint.held_in = false;
                // Well for as long again as it took to come back: its past is forgotten.
                if endpoint.out.is_some() && now > full + self.settings.ramp {
                    endpoint.out = None;
                }
            }
        }
    }

    fn may_leave_out(&self) -> bool {
        let there = self.all.iter().filter(|e| !e.retired).count();
        (self.out() + 1) as f64 <= self.settings.out_most * there as f64
    }

    /// How many are out.
    fn out(&self) -> usize {
        self.all.iter().filter(|e| !e.retired && !matches!(e.state, State::In(_))).count()
    }

    fn leave_out(&mut self, now: Micros, place: usize, reason: Reason, random: &mut impl Rng) {
        let endpoint = &mut self.all[place];
        let times = endpoint.out.map_or(0, |(_, times)| times);
        let span = self.settings.out * Micros::from((1 << times.min(16)).min(LONGEST));
        endpoint.out = Some((reason, times + 1));
        // Servers that saw it fail at one moment must not all look again at one moment.
        endpoint.state = State::Out(now + probe_pacing::spread(self.settings.servers, span, random));
        endpoint.held_in = false;
    }

    /// When the next endpoint that is out may be probed.
    pub fn next_probe(&self) -> Option<Micros> {
        let until = |e: &Endpoint| match e.state {
            State::Out(until) if !e.retired => Some(until),
            _ => None,
        };
        self.all.iter().filter_map(until).min()
    }

    /// Calls in flight, and whether nothing is left of a pool whose dependency is gone.
    pub fn in_flight(&self) -> usize {
        self.all.iter().map(|e| e.limit.in_flight()).sum()
    }

    /// How each endpoint stands.
    pub fn explain(&self) -> Vec<EndpointView> {
        let there = self.all.iter().filter(|e| !e.retired);
        let view = |e: &Endpoint| EndpointView {
            address: e.address.clone(),
            state: e.state,
            out: e.out,
            held_in: e.held_in,
            limit: e.limit.explain(),
        };
        there.map(view).collect()
    }

    /// What must always hold.
    pub fn check(&self) -> Result<(), String> {
        let there = self.all.iter().filter(|e| !e.retired).count();
        let (out, most) = (self.out(), (self.settings.out_most * there as f64) as usize);
        if out > most.max(self.were_out) {
            return Err(format!("{out} endpoints are out, at most {most} may be"));
        }
        match self.all.iter().find(|e| !e.limit.is_sound()) {
            Some(e) => Err(format!("the limit of {} left its bounds", e.address)),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;

//! Which endpoint a call goes to, and which endpoints are left out.

use std::rc::Rc;

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::{Bounds, Route};
use crate::latency::Peak;
use crate::limit::{Limit, LimitView, Sample};

/// An endpoint that comes back starts with this part of its full share.
const RAMP_FROM: f64 = 0.1;
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
    /// flight and time taken of late gets the call. Where none is in use, all are again: calls that may fail tell
    /// more than calls that are not made.
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
        let first = random.random_range(0..count);
        let second = (first + random.random_range(1..count)) % count;
        let (first, second) = (nth(first)?, nth(second)?);
        Some(if self.cost(now, second) < self.cost(now, first) { second } else { first })
    }

    /// Whether `pick` could give an endpoint that is none of these.
    pub fn has_another(&self, avoid: &[usize]) -> bool {
        let usable = |(p, e): (usize, &Endpoint)| !e.retired && !avoid.contains(&p) && e.limit.has_place();
        self.all.iter().enumerate().any(usable)
    }

    fn cost(&self, now: Micros, place: usize) -> f64 {
        let endpoint = &self.all[place];
        let known = endpoint.peak.value().max(endpoint.trouble.value());
        let time = if known > 0.0 { known } else { self.usual(None) };
        (endpoint.limit.in_flight() + 1) as f64 * time / self.weight(now, endpoint)
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
    pub fn end(&mut self, now: Micros, place: usize, sample: Sample, failed: Option<bool>) {
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
                Some(true) => self.leave_out(now, place, Reason::Failed),
                // It proved nothing: the next call may try.
                None => endpoint.state = State::Out(now),
            }
        } else {
            self.judge(now, place);
        }
    }

    fn bring_back(&mut self, now: Micros, place: usize) {
        let endpoint = &mut self.all[place];
        endpoint.state = State::In(now + self.settings.ramp);
        endpoint.failures = 0;
        endpoint.answered = 0;
        (endpoint.peak, endpoint.trouble) = (Peak::default(), Peak::default());
    }

    fn judge(&mut self, now: Micros, place: usize) {
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
            Some(reason) if self.may_leave_out() => self.leave_out(now, place, reason),
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

    fn leave_out(&mut self, now: Micros, place: usize, reason: Reason) {
        let endpoint = &mut self.all[place];
        let times = endpoint.out.map_or(0, |(_, times)| times);
        let span = self.settings.out * Micros::from((1 << times.min(16)).min(LONGEST));
        endpoint.out = Some((reason, times + 1));
        endpoint.state = State::Out(now + span);
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
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_chacha::ChaCha8Rng;

    const BOUNDS: Bounds = Bounds { start: 8, least: 1, most: 8 };
    const ROUTE: Route = Route { failures: 3, lag: 5.0, out: 1_000_000, out_most: 0.5, ramp: 5_000_000 };

    fn pool(count: usize) -> (Pool, ChaCha8Rng) {
        let addresses: Vec<String> = (0..count).map(|n| format!("e{n}")).collect();
        (Pool::new(ROUTE, &addresses, BOUNDS), ChaCha8Rng::seed_from_u64(7))
    }

    /// One call after the other, each 1 ms later; how many went to each endpoint.
    fn play(
        pool: &mut Pool,
        random: &mut ChaCha8Rng,
        (from, calls): (Micros, u64),
        ends: impl Fn(usize) -> (Micros, bool),
    ) -> Vec<u64> {
        let mut got = vec![0; pool.all.len()];
        for n in 0..calls {
            let now = from + n * 1_000;
            let place = pool.pick(now, &[], random).expect("a place");
            pool.start(place);
            let (took, failed) = ends(place);
            pool.end(now, place, Sample::Answered(took), Some(failed));
            got[place] += 1;
            assert_eq!(pool.check(), Ok(()));
        }
        got
    }

    /// As many failures in a row as it takes.
    fn fail(pool: &mut Pool, place: usize, now: Micros) {
        for _ in 0..ROUTE.failures {
            pool.start(place);
            pool.end(now, place, Sample::Silent, Some(true));
        }
    }

    #[test]
    fn calls_are_spread_and_the_quicker_gets_more() {
        let (mut pool, mut random) = pool(4);
        let even = play(&mut pool, &mut random, (0, 4_000), |_| (1_000, false));
        assert!(even.iter().all(|&n| (800..1_200).contains(&n)), "{even:?}");
        let uneven =
            play(&mut pool, &mut random, (4_000_000, 4_000), |p| (if p == 0 { 3_000 } else { 1_000 }, false));
        assert!(uneven[0] < even[0] / 2, "{uneven:?}");
    }

    #[test]
    fn one_that_fails_fast_does_not_draw_calls() {
        let (mut pool, mut random) = pool(4);
        play(&mut pool, &mut random, (0, 400), |_| (20_000, false));
        let got =
            play(
                &mut pool,
                &mut random,
                (400_000, 1_000),
                |p| if p == 2 { (10, true) } else { (20_000, false) },
            );
        // It need not even be left out: one failure counts as ten times what the others take.
        assert!(got[2] <= 5, "{got:?}");
    }

    #[test]
    fn one_that_lags_is_left_out() {
        let (mut pool, mut random) = pool(4);
        play(&mut pool, &mut random, (0, 400), |_| (1_000, false));
        let got =
            play(&mut pool, &mut random, (400_000, 400), |p| (if p == 1 { 9_000 } else { 1_000 }, false));
        assert!(got[1] <= 3, "{got:?}");
        assert_eq!(pool.explain()[1].out.map(|(why, _)| why), Some(Reason::Lagged));
    }

    #[test]
    fn one_comes_back_by_a_probe_and_slowly() {
        let (mut pool, mut random) = pool(2);
        play(&mut pool, &mut random, (0, 100), |_| (1_000, false));
        fail(&mut pool, 0, 200_000);
        assert!(matches!(pool.explain()[0].state, State::Out(_)));
        let at = pool.next_probe().expect("a probe");
        assert_eq!(pool.pick(at, &[], &mut random), Some(0), "a probe comes first");
        pool.start(0);
        assert_eq!(pool.pick(at, &[], &mut random), Some(1), "one at a time");
        pool.end(at, 0, Sample::Answered(1_000), Some(false));
        let first = play(&mut pool, &mut random, (at, 500), |_| (1_000, false));
        let later = play(&mut pool, &mut random, (at + 6_000_000, 500), |_| (1_000, false));
        assert!(first[0] < 100 && (180..320).contains(&later[0]), "{first:?} {later:?}");
    }

    #[test]
    fn each_failed_probe_doubles_the_time_out() {
        let (mut pool, mut random) = pool(2);
        play(&mut pool, &mut random, (0, 200), |_| (1_000, false));
        fail(&mut pool, 0, 200_000);
        assert_eq!(pool.explain()[0].out, Some((Reason::Failed, 1)));
        let mut spans = Vec::new();
        let mut at = pool.next_probe().expect("a probe");
        for _ in 0..5 {
            pool.start(0);
            pool.end(at, 0, Sample::Answered(10), Some(true));
            let next = pool.next_probe().expect("a probe");
            spans.push((next - at) / ROUTE.out);
            at = next;
        }
        assert_eq!(spans, [2, 4, 4, 4, 4]);
    }

    #[test]
    fn no_more_are_out_than_allowed_and_the_rest_is_held_in() {
        let (mut pool, mut random) = pool(4);
        play(&mut pool, &mut random, (0, 900), |_| (1_000, true));
        let views = pool.explain();
        assert_eq!(views.iter().filter(|v| matches!(v.state, State::Out(_))).count(), 2);
        assert_eq!(views.iter().filter(|v| v.held_in).count(), 2);
        // They still get calls.
        assert!(pool.pick(900_000, &[], &mut random).is_some());
    }

    #[test]
    fn where_all_may_be_out_and_are_calls_go_to_any() {
        let (mut pool, mut random) = pool(3);
        pool.set(0, Route { out_most: 1.0, ..ROUTE }, &["e0".into(), "e1".into(), "e2".into()], BOUNDS);
        for place in 0..3 {
            (0..3).for_each(|_| {
                pool.start(place);
                pool.end(0, place, Sample::Answered(10), Some(true));
            });
        }
        assert!(pool.explain().iter().all(|v| matches!(v.state, State::Out(_))));
        let mut seen: Vec<usize> = (0..50).filter_map(|_| pool.pick(1, &[], &mut random)).collect();
        seen.sort_unstable();
        seen.dedup();
        assert_eq!(seen, [0, 1, 2]);
    }

    #[test]
    fn another_is_taken_where_there_is_another() {
        let (pool, mut random) = pool(2);
        assert!((0..50).all(|_| pool.pick(0, &[0], &mut random) == Some(1)));
        assert!(pool.has_another(&[0]) && !pool.has_another(&[0, 1]));
        assert!(pool.pick(0, &[0, 1], &mut random).is_some(), "one that was tried is better than none");
    }

    #[test]
    fn full_endpoints_get_nothing() {
        let (mut pool, mut random) = pool(2);
        for _ in 0..16 {
            let place = pool.pick(0, &[], &mut random).expect("a place");
            pool.start(place);
        }
        assert_eq!(pool.pick(0, &[], &mut random), None);
        pool.end(1, 1, Sample::Silent, None);
        assert_eq!(pool.pick(1, &[], &mut random), Some(1));
    }

    #[test]
    fn endpoints_that_leave_the_file_end_their_calls_and_their_places_are_used_again() {
        let (mut pool, mut random) = pool(2);
        pool.start(0);
        pool.set(5, ROUTE, &["e1".into(), "e2".into()], BOUNDS);
        assert_eq!(pool.all.len(), 3);
        assert!((0..50).all(|_| pool.pick(5, &[], &mut random) != Some(0)));
        pool.end(6, 0, Sample::Answered(5), Some(false));
        pool.set(7, ROUTE, &["e1".into(), "e3".into()], BOUNDS);
        assert_eq!(pool.all.len(), 3);
        let names: Vec<_> = pool.explain().iter().map(|v| v.address.to_string()).collect();
        assert_eq!(names, ["e3", "e1"]);
    }
}

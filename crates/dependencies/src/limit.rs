//! A limit on calls in flight that climbs and falls with what latency shows.

use umberloom::interface::Micros;

use crate::config::Bounds;

/// Calls are slow when they typically take so many times their best, as the decision module has it.
const SLOW: f64 = 3.0;
/// The best time is forgotten at this rate a call, so that a dependency that has become slower for good is no
/// longer held against what it once was.
const FORGET_BEST: f64 = 1.001;
/// Weight of the newest call in the typical time.
const NEWEST: f64 = 0.1;
/// What is left of the limit after one step down.
const DOWN: f64 = 0.9;

/// How a call bears on the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// It was answered after this time.
    Answered(Micros),
    /// It was turned away, or never came back: there was too much.
    Dropped,
    /// It says nothing about load: a connection that broke, a call that nobody waits for any more.
    Silent,
}

/// What moved a limit last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Nothing yet, or new settings.
    Set,
    /// Calls were quick and the limit was made use of.
    Quick,
    /// Calls took over three times their best.
    Slow,
    /// A call was turned away or never came back.
    Dropped,
}

/// A limit and why it stands where it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitView {
    /// Calls that may be in flight.
    pub value: usize,
    /// Calls that are.
    pub in_flight: usize,
    /// Least and most that the operator allows.
    pub bounds: (usize, usize),
    /// What moved it last, and when.
    pub moved: (Cause, Micros),
    /// The typical time of a call and the best, in microseconds; 0 while unknown.
    pub typical: f64,
    /// The best time, slowly forgotten.
    pub best: f64,
}

/// The limit.
#[derive(Clone, Debug)]
pub struct Limit {
    bounds: Bounds,
    /// What is allowed from outside, whatever was learned: a part of an allowance that several servers share.
    cap: usize,
    value: f64,
    in_flight: usize,
    typical: Option<f64>,
    best: f64,
    moved: (Cause, Micros),
    /// No second step down before the first can have shown.
    down_from: Micros,
}

impl Limit {
    /// Starts where the bounds say.
    pub fn new(bounds: Bounds) -> Limit {
        Limit {
            bounds,
            cap: usize::MAX,
            value: bounds.start.clamp(bounds.least, bounds.most) as f64,
            in_flight: 0,
            typical: None,
            best: 0.0,
            moved: (Cause::Set, 0),
            down_from: 0,
        }
    }

    /// New bounds; what was learned stays.
    pub fn set_bounds(&mut self, now: Micros, bounds: Bounds) {
        if self.bounds != bounds {
            self.bounds = bounds;
            self.value = self.value.clamp(bounds.least as f64, bounds.most as f64);
            self.moved = (Cause::Set, now);
        }
    }

    /// Calls that may be in flight.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// No more calls than this may be in flight from now on; whether that is more than before.
    pub fn set_cap(&mut self, cap: usize) -> bool {
        let before = std::mem::replace(&mut self.cap, cap);
        cap > before
    }

    /// Calls that are.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether one more may start.
    pub fn has_place(&self) -> bool {
        self.in_flight < self.value().min(self.cap)
    }

    /// Its typical time, 0 while unknown.
    pub fn typical(&self) -> f64 {
        self.typical.unwrap_or(0.0)
    }

    /// A call starts.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// A call that was started is over.
    pub fn end(&mut self, now: Micros, sample: Sample) {
        let used = 2 * self.in_flight >= self.value();
        self.in_flight = self.in_flight.saturating_sub(1);
        match sample {
            Sample::Silent => {}
            Sample::Dropped => self.fall(now, Cause::Dropped),
            Sample::Answered(took) => {
                let took = took.max(1) as f64;
                let typical = self.typical.map_or(took, |t| t + NEWEST * (took - t));
                self.best = if self.typical.is_none() { took } else { typical.min(self.best * FORGET_BEST) };
                self.typical = Some(typical);
                if typical > SLOW * self.best {
                    self.fall(now, Cause::Slow);
                } else if used {
                    self.climb(now);
                }
            }
        }
    }

    /// By one for as many calls as the limit lets be in flight.
    fn climb(&mut self, now: Micros) {
        let next = (self.value + 1.0 / self.value).min(self.bounds.most as f64);
        if next as usize != self.value() {
            self.moved = (Cause::Quick, now);
        }
        self.value = next;
    }

    fn fall(&mut self, now: Micros, why: Cause) {
        if now < self.down_from {
            return;
        }
        self.down_from = now + self.typical() as Micros;
        let next = (self.value * DOWN).max(self.bounds.least as f64);
        if next as usize != self.value() {
            self.moved = (why, now);
        }
        self.value = next;
    }

    /// Where it stands and why.
    pub fn explain(&self) -> LimitView {
        LimitView {
            value: self.value(),
            in_flight: self.in_flight,
            bounds: (self.bounds.least, self.bounds.most),
            moved: self.moved,
            typical: self.typical(),
            best: self.best,
        }
    }

    /// Whether it stands within its bounds.
    pub fn is_sound(&self) -> bool {
        (self.bounds.least..=self.bounds.most).contains(&self.value())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const BOUNDS: Bounds = Bounds { start: 4, least: 2, most: 20 };

    /// As many calls as fit, each taking `took(in flight)`; returns the limit at the end.
    fn play(limit: &mut Limit, rounds: u64, took: impl Fn(usize) -> Micros) -> usize {
        for round in 0..rounds {
            while limit.has_place() {
                limit.start();
            }
            let crowd = limit.in_flight();
            (0..crowd).for_each(|_| limit.end(round * 100_000, Sample::Answered(took(crowd))));
        }
        limit.value()
    }

    #[test]
    fn it_climbs_while_calls_are_quick_and_used() {
        let mut limit = Limit::new(BOUNDS);
        assert_eq!(play(&mut limit, 100, |_| 1_000), 20);
        assert_eq!(limit.explain().moved.0, Cause::Quick);
    }

    #[test]
    fn it_stays_where_it_is_not_made_use_of() {
        let mut limit = Limit::new(BOUNDS);
        for now in 0..1_000 {
            limit.start();
            limit.end(now, Sample::Answered(1_000));
        }
        assert_eq!((limit.value(), limit.explain().moved.0), (4, Cause::Set));
    }

    #[test]
    fn it_settles_where_a_crowded_dependency_is_not_yet_slow() {
        let mut limit = Limit::new(BOUNDS);
        // Over 8 at once each takes longer in step with the square of the crowd.
        let took = |crowd: usize| if crowd <= 8 { 1_000 } else { 1_000 * (crowd * crowd) as u64 / 16 };
        let end = play(&mut limit, 400, took);
        assert!((6..=11).contains(&end), "{end}");
    }

    #[test]
    fn what_is_turned_away_brings_it_down_once_a_call_time() {
        let mut limit = Limit::new(Bounds { start: 20, ..BOUNDS });
        limit.start();
        limit.end(0, Sample::Answered(1_000));
        for _ in 0..10 {
            limit.start();
            limit.end(10_000, Sample::Dropped);
        }
        assert_eq!((limit.value(), limit.explain().moved), (18, (Cause::Dropped, 10_000)));
        for round in 2..100 {
            limit.start();
            limit.end(round * 10_000, Sample::Dropped);
        }
        assert_eq!(limit.value(), 2);
    }

    #[test]
    fn new_bounds_hold_at_once() {
        let mut limit = Limit::new(BOUNDS);
        limit.set_bounds(7, Bounds { start: 1, least: 1, most: 3 });
        assert_eq!((limit.value(), limit.explain().moved), (3, (Cause::Set, 7)));
    }

    proptest! {
        #[test]
        fn it_never_leaves_its_bounds(
            least in 1usize..10, start in 0usize..10, most in 0usize..40,
            steps in prop::collection::vec((0u64..100_000, 0u8..4, 1u64..10_000_000), 0..400),
        ) {
            let bounds = Bounds { least, start: least + start, most: least + start + most };
            let (mut limit, mut now, mut flying) = (Limit::new(bounds), 0, 0usize);
            for (after, what, took) in steps {
                now += after;
                if limit.has_place() && what != 3 {
                    limit.start();
                    flying += 1;
                } else if flying > 0 {
                    flying -= 1;
                    let sample = match took % 3 { 0 => Sample::Dropped, 1 => Sample::Silent, _ => Sample::Answered(took) };
                    limit.end(now, sample);
                }
                prop_assert!(limit.is_sound() && limit.in_flight() == flying && flying <= bounds.most);
            }
        }
    }
}

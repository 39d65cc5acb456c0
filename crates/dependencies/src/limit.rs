//! A limit on calls in flight that climbs and falls with what latency shows.

use umberloom::interface::Micros;

use crate::config::LimitBounds;

/// Calls are slow when they typically take so many times their best, as the decision module has it.
const SLOW_FACTOR: f64 = 3.0;
/// The best time is forgotten at this rate a call, so that a dependency that has become slower for good is no
/// longer held against what it once was.
const BEST_LATENCY_GROWTH: f64 = 1.001;
/// Weight of the newest call in the typical time.
const LATENCY_GAIN: f64 = 0.1;
/// What is left of the limit after one step down.
const DECREASE_FACTOR: f64 = 0.9;

/// How a call bears on the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSample {
    /// It was answered after this time.
    Answered(Micros),
    /// It was turned away, or never came back: there was too much.
    Dropped,
    /// It says nothing about load: a connection that broke, a call that nobody waits for any more.
    Ignored,
}

/// What moved a limit last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChangeCause {
    /// Nothing yet, or new settings.
    Configured,
    /// Calls were quick and the limit was made use of.
    LowLatency,
    /// Calls took over three times their best.
    HighLatency,
    /// A call was turned away or never came back.
    Dropped,
}

/// A limit and why it stands where it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// Calls that may be in flight.
    pub value: usize,
    /// Calls that are.
    pub in_flight: usize,
    /// Least and most that the operator allows.
    pub bounds: (usize, usize),
    /// What moved it last, and when.
    pub last_change: (LimitChangeCause, Micros),
    /// The typical time of a call and the best, in microseconds; 0 while unknown.
    pub typical_latency: f64,
    /// The best time, slowly forgotten.
    pub best_latency: f64,
}

/// The limit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    bounds: LimitBounds,
    /// What is allowed from outside, whatever was learned: a part of an allowance that several servers share.
    cap: usize,
    value: f64,
    in_flight: usize,
    typical_latency: Option<f64>,
    best_latency: f64,
    last_change: (LimitChangeCause, Micros),
    /// No second step down before the first can have shown.
    next_decrease_at: Micros,
}

impl ConcurrencyLimit {
    /// Starts where the bounds say.
    pub fn new(bounds: LimitBounds) -> ConcurrencyLimit {
        ConcurrencyLimit {
            bounds,
            cap: usize::MAX,
            value: bounds.initial.clamp(bounds.min, bounds.max) as f64,
            in_flight: 0,
            typical_latency: None,
            best_latency: 0.0,
            last_change: (LimitChangeCause::Configured, 0),
            next_decrease_at: 0,
        }
    }

    /// New bounds; what was learned stays.
    pub fn set_bounds(&mut self, now: Micros, bounds: LimitBounds) {
        if self.bounds != bounds {
            self.bounds = bounds;
            self.value = self.value.clamp(bounds.min as f64, bounds.max as f64);
            self.last_change = (LimitChangeCause::Configured, now);
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
    pub fn has_capacity(&self) -> bool {
        self.in_flight < self.value().min(self.cap)
    }

    /// Its typical time, 0 while unknown.
    pub fn typical_latency(&self) -> f64 {
        self.typical_latency.unwrap_or(0.0)
    }

    /// A call starts.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// A call that was started is over.
    pub fn end(&mut self, now: Micros, sample: CallSample) {
        let used = 2 * self.in_flight >= self.value();
        self.in_flight = self.in_flight.saturating_sub(1);
        match sample {
            CallSample::Ignored => {}
            CallSample::Dropped => self.decrease(now, LimitChangeCause::Dropped),
            CallSample::Answered(took) => {
                let took = took.max(1) as f64;
                let typical = self.typical_latency.map_or(took, |t| t + LATENCY_GAIN * (took - t));
                self.best_latency = if self.typical_latency.is_none() {
                    took
                } else {
                    typical.min(self.best_latency * BEST_LATENCY_GROWTH)
                };
                self.typical_latency = Some(typical);
                if typical > SLOW_FACTOR * self.best_latency {
                    self.decrease(now, LimitChangeCause::HighLatency);
                } else if used {
                    self.increase(now);
                }
            }
        }
    }

    /// By one for as many calls as the limit lets be in flight.
    fn increase(&mut self, now: Micros) {
        let next = (self.value + 1.0 / self.value).min(self.bounds.max as f64);
        if next as usize != self.value() {
            self.last_change = (LimitChangeCause::LowLatency, now);
        }
        self.value = next;
    }

    fn decrease(&mut self, now: Micros, why: LimitChangeCause) {
        if now < self.next_decrease_at {
            return;
        }
        self.next_decrease_at = now + self.typical_latency() as Micros;
        let next = (self.value * DECREASE_FACTOR).max(self.bounds.min as f64);
        if next as usize != self.value() {
            self.last_change = (why, now);
        }
        self.value = next;
    }

    /// Where it stands and why.
    pub fn status(&self) -> LimitStatus {
        LimitStatus {
            value: self.value(),
            in_flight: self.in_flight,
            bounds: (self.bounds.min, self.bounds.max),
            last_change: self.last_change,
            typical_latency: self.typical_latency(),
            best_latency: self.best_latency,
        }
    }

    /// Whether it stands within its bounds.
    pub fn is_within_bounds(&self) -> bool {
        (self.bounds.min..=self.bounds.max).contains(&self.value())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const BOUNDS: LimitBounds = LimitBounds { initial: 4, min: 2, max: 20 };

    /// As many calls as fit, each taking `took(in flight)`; returns the limit at the end.
    fn play(limit: &mut ConcurrencyLimit, rounds: u64, took: impl Fn(usize) -> Micros) -> usize {
        for round in 0..rounds {
            while limit.has_capacity() {
                limit.start();
            }
            let crowd = limit.in_flight();
            (0..crowd).for_each(|_| limit.end(round * 100_000, CallSample::Answered(took(crowd))));
        }
        limit.value()
    }

    #[test]
    fn it_climbs_while_calls_are_quick_and_used() {
        let mut limit = ConcurrencyLimit::new(BOUNDS);
        assert_eq!(play(&mut limit, 100, |_| 1_000), 20);
        assert_eq!(limit.status().last_change.0, LimitChangeCause::LowLatency);
    }

    #[test]
    fn it_stays_where_it_is_not_made_use_of() {
        let mut limit = ConcurrencyLimit::new(BOUNDS);
        for now in 0..1_000 {
            limit.start();
            limit.end(now, CallSample::Answered(1_000));
        }
        assert_eq!((limit.value(), limit.status().last_change.0), (4, LimitChangeCause::Configured));
    }

    #[test]
    fn it_settles_where_a_crowded_dependency_is_not_yet_slow() {
        let mut limit = ConcurrencyLimit::new(BOUNDS);
        // Over 8 at once each takes longer in step with the square of the crowd.
        let took = |crowd: usize| if crowd <= 8 { 1_000 } else { 1_000 * (crowd * crowd) as u64 / 16 };
        let end = play(&mut limit, 400, took);
        assert!((6..=11).contains(&end), "{end}");
    }

    #[test]
    fn what_is_turned_away_brings_it_down_once_a_call_time() {
        let mut limit = ConcurrencyLimit::new(LimitBounds { initial: 20, ..BOUNDS });
        limit.start();
        limit.end(0, CallSample::Answered(1_000));
        for _ in 0..10 {
            limit.start();
            limit.end(10_000, CallSample::Dropped);
        }
        assert_eq!((limit.value(), limit.status().last_change), (18, (LimitChangeCause::Dropped, 10_000)));
        for round in 2..100 {
            limit.start();
            limit.end(round * 10_000, CallSample::Dropped);
        }
        assert_eq!(limit.value(), 2);
    }

    #[test]
    fn new_bounds_hold_at_once() {
        let mut limit = ConcurrencyLimit::new(BOUNDS);
        limit.set_bounds(7, LimitBounds { initial: 1, min: 1, max: 3 });
        assert_eq!((limit.value(), limit.status().last_change), (3, (LimitChangeCause::Configured, 7)));
    }

    proptest! {
        #[test]
        fn it_never_leaves_its_bounds(
            least in 1usize..10, start in 0usize..10, most in 0usize..40,
            steps in prop::collection::vec((0u64..100_000, 0u8..4, 1u64..10_000_000), 0..400),
        ) {
            let bounds = LimitBounds { min: least, initial: least + start, max: least + start + most };
            let (mut limit, mut now, mut flying) = (ConcurrencyLimit::new(bounds), 0, 0usize);
            for (after, what, took) in steps {
                now += after;
                if limit.has_capacity() && what != 3 {
                    limit.start();
                    flying += 1;
                } else if flying > 0 {
                    flying -= 1;
                    let sample = match took % 3 { 0 => CallSample::Dropped, 1 => CallSample::Ignored, _ => CallSample::Answered(took) };
                    limit.end(now, sample);
                }
                prop_assert!(limit.is_within_bounds() && limit.in_flight() == flying && flying <= bounds.max);
            }
        }
    }
}

//! An adaptive limit on calls in flight: it rises while latency is low, and falls when latency or losses show overload
//! (additive increase, multiplicative decrease, as in Netflix's concurrency-limits).

use umberloom::interface::Micros;

use crate::config::LimitBounds;

/// Calls are slow when they typically take this many times their best latency; the admission controller has the same.
const SLOW_FACTOR: f64 = 3.0;
/// The best latency is forgotten at this rate a call, so that a dependency that has become slower for good is no
/// longer compared with what it once was.
const BEST_LATENCY_GROWTH: f64 = 1.001;
/// Weight of the newest call in the typical latency.
const LATENCY_GAIN: f64 = 0.1;
/// What one decrease leaves of the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// What a call that is over shows about load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSample {
    /// It was answered after this time, in microseconds.
    Answered(Micros),
    /// It was rejected or timed out: there was too much load.
    Dropped,
    /// Nothing: a connection that was lost, a call that nobody waits for any more.
    Ignored,
}

/// Why a limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChangeCause {
    /// It is new, or has new bounds.
    Configured,
    /// Calls were quick and the limit was made use of.
    LowLatency,
    /// Calls took many times their best latency.
    HighLatency,
    /// A call was rejected or timed out.
    Dropped,
}

/// A change of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// Why it changed.
    pub cause: LimitChangeCause,
    /// When.
    pub at: Micros,
}

/// A limit and why it has its value, for reports to people.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// Calls that may be in flight.
    pub value: usize,
    /// Calls that are.
    pub in_flight: usize,
    /// The least value that is configured.
    pub min: usize,
    /// The highest value that is allowed.
    pub max: usize,
    /// Its last change.
    pub last_change: LimitChange,
    /// The typical latency of a call, in microseconds; 0 while unknown.
    pub typical_latency: f64,
    /// The best latency, slowly forgotten, in microseconds; 0 while unknown.
    pub best_latency: f64,
}

/// The limit, with the number of calls in flight.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    bounds: LimitBounds,
    /// What is allowed from outside, whatever was learned: this server's share of a distributed quota.
    cap: usize,
    value: f64,
    in_flight: usize,
    typical_latency: Option<f64>,
    best_latency: f64,
    last_change: LimitChange,
    /// No second decrease before the first can have had an effect.
    next_decrease_at: Micros,
}

impl ConcurrencyLimit {
    /// A limit at the initial value of its bounds.
    pub fn new(bounds: LimitBounds) -> ConcurrencyLimit {
        ConcurrencyLimit {
            bounds,
            cap: usize::MAX,
            value: bounds.initial.clamp(bounds.min, bounds.max) as f64,
            in_flight: 0,
            typical_latency: None,
            best_latency: 0.0,
            last_change: LimitChange { cause: LimitChangeCause::Configured, at: 0 },
            next_decrease_at: 0,
        }
    }

    /// Applies new bounds; what was learned stays.
    pub fn set_bounds(&mut self, now: Micros, bounds: LimitBounds) {
        if self.bounds != bounds {
            self.bounds = bounds;
            self.value = self.value.clamp(bounds.min as f64, bounds.max as f64);
            self.last_change = LimitChange { cause: LimitChangeCause::Configured, at: now };
        }
    }

    /// Lets no more calls than `cap` be in flight; returns whether that is more than before.
    pub fn set_cap(&mut self, cap: usize) -> bool {
        let before = std::mem::replace(&mut self.cap, cap);
        cap > before
    }

    /// Calls that may be in flight as far as was learned, without the cap.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether one more call may start.
    pub fn has_capacity(&self) -> bool {
        self.in_flight < self.value().min(self.cap)
    }

    /// The typical latency of a call in microseconds, 0 while unknown.
    pub fn typical_latency(&self) -> f64 {
        self.typical_latency.unwrap_or(0.0)
    }

    /// A call starts.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// A call that was started is over.
    pub fn end(&mut self, now: Micros, sample: CallSample) {
        let was_used = 2 * self.in_flight >= self.value();
        self.in_flight = self.in_flight.saturating_sub(1);
        match sample {
            CallSample::Ignored => {}
            CallSample::Dropped => self.decrease(now, LimitChangeCause::Dropped),
            CallSample::Answered(latency) => {
                let typical = self.record_latency(latency);
                if typical > SLOW_FACTOR * self.best_latency {
                    self.decrease(now, LimitChangeCause::HighLatency);
                } else if was_used {
                    self.increase(now);
                }
            }
        }
    }

    /// Returns the typical latency.
    fn record_latency(&mut self, latency: Micros) -> f64 {
        let latency = latency.max(1) as f64;
        let Some(before) = self.typical_latency else {
            self.typical_latency = Some(latency);
            self.best_latency = latency;
            return latency;
        };
        let typical = before + LATENCY_GAIN * (latency - before);
        self.typical_latency = Some(typical);
        self.best_latency = typical.min(self.best_latency * BEST_LATENCY_GROWTH);
        typical
    }

    /// By one for as many calls as the limit lets be in flight.
    fn increase(&mut self, now: Micros) {
        let value = (self.value + 1.0 / self.value).min(self.bounds.max as f64);
        self.set_value(now, value, LimitChangeCause::LowLatency);
    }

    fn decrease(&mut self, now: Micros, cause: LimitChangeCause) {
        if now < self.next_decrease_at {
            return;
        }
        self.next_decrease_at = now + self.typical_latency() as Micros;
        let value = (self.value * DECREASE_FACTOR).max(self.bounds.min as f64);
        self.set_value(now, value, cause);
    }

    fn set_value(&mut self, now: Micros, value: f64, cause: LimitChangeCause) {
        if value as usize != self.value() {
            self.last_change = LimitChange { cause, at: now };
        }
        self.value = value;
    }

    /// Its value and why it has it.
    pub fn status(&self) -> LimitStatus {
        LimitStatus {
            value: self.value(),
            in_flight: self.in_flight,
            min: self.bounds.min,
            max: self.bounds.max,
            last_change: self.last_change,
            typical_latency: self.typical_latency(),
            best_latency: self.best_latency,
        }
    }

    /// Whether its value is within its bounds.
    pub fn is_within_bounds(&self) -> bool {
        (self.bounds.min..=self.bounds.max).contains(&self.value())
    }
}

#[cfg(test)]
mod tests;

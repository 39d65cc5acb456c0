//! An adaptive limit on calls in flight. It rises while latency is low, and falls when high latency,
//! rejections or timeouts indicate overload (additive increase, multiplicative decrease, as in Netflix's
//! concurrency-limits).

use umberloom::interface::Micros;

use crate::config::LimitBounds;

/// Calls count as slow when their typical latency exceeds the best latency by this factor. The admission
/// controller uses the same factor.
const SLOW_FACTOR: f64 = 3.0;
/// Factor by which the best latency grows with each call, so that a dependency that has become slower for
/// good is no longer compared with its earlier latency.
const BEST_LATENCY_GROWTH: f64 = 1.001;
/// Weight of the newest call in the typical latency.
const LATENCY_GAIN: f64 = 0.1;
/// Factor by which one decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// Information about load from a call that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSample {
    /// The call was answered after this time, in microseconds.
    Answered(Micros),
    /// The call was rejected or timed out, which indicates overload.
    Dropped,
    /// The call says nothing about load, for example because its connection was lost or its result no longer
    /// needed.
    Ignored,
}

/// Why a limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChangeCause {
    /// The limit is new, or its bounds were changed.
    Configured,
    /// Latency was low and at least half of the limit was used.
    LowLatency,
    /// The typical latency was many times the best latency.
    HighLatency,
    /// A call was rejected or timed out.
    Dropped,
}

/// A change of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// Why the limit changed.
    pub cause: LimitChangeCause,
    /// When the limit changed.
    pub at: Micros,
}

/// Status of a limit, with the cause of its last change, for logs and operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// Number of calls that may be in flight, without the cap.
    pub value: usize,
    /// Number of calls in flight.
    pub in_flight: usize,
    /// Lower bound of the limit.
    pub min: usize,
    /// Upper bound of the limit.
    pub max: usize,
    /// Last change of the limit.
    pub last_change: LimitChange,
    /// Typical latency of a call, in microseconds; 0 while unknown.
    pub typical_latency: f64,
    /// Best latency, which grows slowly with each call, in microseconds; 0 while unknown.
    pub best_latency: f64,
}

/// An adaptive concurrency limit, with the number of calls in flight.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    bounds: LimitBounds,
    /// Cap on calls in flight that applies in addition to the learned limit: this server's share of a
    /// distributed quota.
    cap: usize,
    value: f64,
    in_flight: usize,
    typical_latency: Option<f64>,
    best_latency: f64,
    last_change: LimitChange,
    /// Earliest time of the next decrease, so that the last one can take effect first.
    next_decrease_at: Micros,
}

impl ConcurrencyLimit {
    /// Creates a limit at the initial value of its bounds.
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

    /// Applies new bounds and keeps the learned state; the value is clamped to them.
    pub fn set_bounds(&mut self, now: Micros, bounds: LimitBounds) {
        if self.bounds != bounds {
            self.bounds = bounds;
            self.value = self.value.clamp(bounds.min as f64, bounds.max as f64);
            self.last_change = LimitChange { cause: LimitChangeCause::Configured, at: now };
        }
    }

    /// Sets the cap on calls in flight; returns whether it was raised.
    pub fn set_cap(&mut self, cap: usize) -> bool {
        let previous_cap = std::mem::replace(&mut self.cap, cap);
        cap > previous_cap
    }

    /// Returns the learned number of calls that may be in flight, without the cap.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns whether one more call may start.
    pub fn has_capacity(&self) -> bool {
        self.in_flight < self.value().min(self.cap)
    }

    /// Returns the typical latency of a call in microseconds; 0 while unknown.
    pub fn typical_latency(&self) -> f64 {
        self.typical_latency.unwrap_or(0.0)
    }

    /// Records the start of a call.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a call that was started, and adjusts the limit.
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

    /// Updates the typical and the best latency; returns the typical latency in microseconds.
    fn record_latency(&mut self, latency: Micros) -> f64 {
        let latency = latency.max(1) as f64;
        let Some(previous) = self.typical_latency else {
            self.typical_latency = Some(latency);
            self.best_latency = latency;
            return latency;
        };
        let typical = previous + LATENCY_GAIN * (latency - previous);
        self.typical_latency = Some(typical);
        self.best_latency = typical.min(self.best_latency * BEST_LATENCY_GROWTH);
        typical
    }

    /// Raises the limit by the inverse of its value: by about one once as many calls have been answered as it
    /// allows in flight.
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

    /// Returns the status of the limit.
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

    /// Returns whether the value is within its bounds.
    pub fn is_within_bounds(&self) -> bool {
        (self.bounds.min..=self.bounds.max).contains(&self.value())
    }
}

#[cfg(test)]
mod tests;

//! Recent latencies of calls: quantiles over a window, and a peak that decays.

use hdrhistogram::Histogram;
use umberloom::interface::Micros;

/// Calls are counted by windows of this length; quantiles look back over one to two of them.
const WINDOW: Micros = 10_000_000;
/// Calls that a window must have seen before quantiles are taken of it alone.
const MIN_SAMPLES: u64 = 20;
/// Calls after which a quantile is computed anew.
const QUANTILE_REFRESH_CALLS: u32 = 32;
/// The longest latency that is told apart, in microseconds: a minute.
const MAX_RECORDED: u64 = 60_000_000;
/// Time over which a peak decays, in microseconds.
const DECAY_TIME: f64 = 5_000_000.0;
/// What one call leaves of a peak at most.
const MAX_PEAK_WEIGHT: f64 = 0.9;

/// A quantile that was computed.
#[derive(Clone, Copy, Debug)]
struct CachedQuantile {
    quantile: f64,
    latency: Micros,
}

/// Latencies over the last 10 to 20 s, to two digits.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_start: Micros,
    cached_quantile: Option<CachedQuantile>,
    calls_since_cached: u32,
}

impl LatencyWindow {
    /// Without samples.
    pub fn new(now: Micros) -> LatencyWindow {
        // Bounds that are in order are always accepted.
        let empty = Histogram::new_with_bounds(1, MAX_RECORDED, 2).expect("valid bounds");
        LatencyWindow {
            current: empty.clone(),
            previous: empty,
            window_start: now,
            cached_quantile: None,
            calls_since_cached: 0,
        }
    }

    /// A call ended after this time, in microseconds.
    pub fn record(&mut self, now: Micros, latency: Micros) {
        self.rotate_windows(now);
        self.current.saturating_record(latency.max(1));
        self.calls_since_cached += 1;
    }

    /// The time within which this share of the calls ended, in microseconds; `None` before enough have.
    pub fn quantile(&mut self, now: Micros, quantile: f64) -> Option<Micros> {
        self.rotate_windows(now);
        // To compute it passes over the whole histogram; some calls more or less hardly move it.
        let is_fresh = self.calls_since_cached < QUANTILE_REFRESH_CALLS;
        if let Some(cached) = self.cached_quantile.filter(|c| c.quantile == quantile && is_fresh) {
            return Some(cached.latency);
        }
        let histogram = if self.current.len() >= MIN_SAMPLES { &self.current } else { &self.previous };
        let latency = (histogram.len() >= MIN_SAMPLES).then(|| histogram.value_at_quantile(quantile));
        self.cached_quantile = latency.map(|latency| CachedQuantile { quantile, latency });
        self.calls_since_cached = 0;
        latency
    }

    fn rotate_windows(&mut self, now: Micros) {
        if now < self.window_start + WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        // After a long silence both are old.
        if now >= self.window_start + 2 * WINDOW {
            self.previous.reset();
        }
        self.window_start = now;
        self.cached_quantile = None;
    }
}

/// A latency that rises at once with a slow call and sinks over seconds (peak EWMA, as in Finagle).
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakLatency {
    value: f64,
    updated_at: Micros,
}

impl PeakLatency {
    /// A call ended after this time, in microseconds.
    pub fn record(&mut self, now: Micros, latency: Micros) {
        let latency = latency as f64;
        if latency >= self.value {
            self.value = latency;
        } else {
            let elapsed = now.saturating_sub(self.updated_at) as f64;
            let peak_weight = (-elapsed / DECAY_TIME).exp().min(MAX_PEAK_WEIGHT);
            self.value = self.value * peak_weight + latency * (1.0 - peak_weight);
        }
        self.updated_at = now;
    }

    /// The peak in microseconds, 0 while nothing is known.
    pub fn value(&self) -> f64 {
        self.value
    }
}

#[cfg(test)]
mod tests;

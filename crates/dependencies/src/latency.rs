//! Recent latencies of calls: quantiles over a window, and a decaying peak.

use hdrhistogram::Histogram;
use umberloom::interface::Micros;

/// Length of a window in which latencies are collected, in microseconds. Quantiles are of the current window
/// or, until it has enough samples, of the previous one.
const WINDOW: Micros = 10_000_000;
/// Minimum number of samples in a window for its quantiles to be used.
const MIN_SAMPLES: u64 = 20;
/// Number of calls after which a quantile is computed again.
const QUANTILE_REFRESH_CALLS: u32 = 32;
/// Highest recorded latency; longer ones are recorded as this.
const MAX_RECORDED_US: u64 = 60_000_000;
/// Time constant of the exponential decay of a peak.
const DECAY_TIME_US: f64 = 5_000_000.0;
/// Maximum weight that a peak keeps when a call is recorded, however short the time since the last one.
const MAX_PEAK_WEIGHT: f64 = 0.9;

/// The last quantile that was computed.
#[derive(Clone, Copy, Debug)]
struct CachedQuantile {
    quantile: f64,
    latency: Micros,
}

/// Histogram of the latencies of the last 10 to 20 s, with two significant digits.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_start: Micros,
    cached_quantile: Option<CachedQuantile>,
    calls_since_cached: u32,
}

impl LatencyWindow {
    /// Creates a histogram without samples.
    pub fn new(now: Micros) -> LatencyWindow {
        // Constant bounds in ascending order are always accepted.
        let empty = Histogram::new_with_bounds(1, MAX_RECORDED_US, 2).expect("valid bounds");
        LatencyWindow {
            current: empty.clone(),
            previous: empty,
            window_start: now,
            cached_quantile: None,
            calls_since_cached: 0,
        }
    }

    /// Records the latency of a call, in microseconds.
    pub fn record(&mut self, now: Micros, latency: Micros) {
        self.rotate_windows(now);
        self.current.saturating_record(latency.max(1));
        self.calls_since_cached += 1;
    }

    /// Returns the latency within which this share of the calls ended, in microseconds; `None` with too few
    /// samples. The value may be some calls old.
    pub fn quantile(&mut self, now: Micros, quantile: f64) -> Option<Micros> {
        self.rotate_windows(now);
        // Computing a quantile scans the whole histogram, and a few more calls hardly change it.
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
        // After a long time without calls both windows are outdated.
        if now >= self.window_start + 2 * WINDOW {
            self.previous.reset();
        }
        self.window_start = now;
        self.cached_quantile = None;
    }
}

/// A latency estimate that rises at once with a slow call and decays over seconds (peak EWMA, as in Finagle).
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakLatency {
    value: f64,
    updated_at: Micros,
}

impl PeakLatency {
    /// Records the latency of a call, in microseconds.
    pub fn record(&mut self, now: Micros, latency: Micros) {
        let latency = latency as f64;
        if latency >= self.value {
            self.value = latency;
        } else {
            let elapsed = now.saturating_sub(self.updated_at) as f64;
            let peak_weight = (-elapsed / DECAY_TIME_US).exp().min(MAX_PEAK_WEIGHT);
            self.value = self.value * peak_weight + latency * (1.0 - peak_weight);
        }
        self.updated_at = now;
    }

    /// Returns the estimate in microseconds; 0 while there are no samples.
    pub fn value(&self) -> f64 {
        self.value
    }
}

#[cfg(test)]
mod tests;

//! How long calls take of late.

use hdrhistogram::Histogram;
use umberloom::interface::Micros;

/// A span of time that is counted together; quantiles look back over one to two of them.
const WINDOW: Micros = 10_000_000;
/// Calls that a span must have seen before it speaks for itself.
const MIN_SAMPLES: u64 = 20;
/// Calls after which a quantile is worked out anew.
const QUANTILE_REFRESH_CALLS: u32 = 32;
/// The longest time that is told apart, in microseconds: a minute.
const MAX_RECORDED: u64 = 60_000_000;

/// Times of calls over the last 10 to 20 s, to two digits.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_start: Micros,
    /// The last quantile that was worked out, and how many calls ago.
    cached_quantile: Option<(f64, Micros)>,
    calls_since_cached: u32,
}

impl LatencyWindow {
    /// Nothing is known yet.
    pub fn new(now: Micros) -> LatencyWindow {
        // Bounds that are in order are never refused.
        let empty = Histogram::new_with_bounds(1, MAX_RECORDED, 2).expect("sound bounds");
        LatencyWindow {
            current: empty.clone(),
            previous: empty,
            window_start: now,
            cached_quantile: None,
            calls_since_cached: 0,
        }
    }

    /// A call took so long.
    pub fn record(&mut self, now: Micros, took: Micros) {
        self.rotate_windows(now);
        self.current.saturating_record(took.max(1));
        self.calls_since_cached += 1;
    }

    /// The time within which this share of the calls ended; `None` before enough have.
    pub fn quantile(&mut self, now: Micros, share: f64) -> Option<Micros> {
        self.rotate_windows(now);
        // To work it out passes over the whole histogram; some calls more or less hardly move it.
        if let Some((_, found)) = self
            .cached_quantile
            .filter(|(of, _)| *of == share && self.calls_since_cached < QUANTILE_REFRESH_CALLS)
        {
            return Some(found);
        }
        let which = if self.current.len() >= MIN_SAMPLES { &self.current } else { &self.previous };
        let found = (which.len() >= MIN_SAMPLES).then(|| which.value_at_quantile(share));
        (self.cached_quantile, self.calls_since_cached) = (found.map(|found| (share, found)), 0);
        found
    }

    fn rotate_windows(&mut self, now: Micros) {
        if now >= self.window_start + WINDOW {
            // After a long silence both are old.
            let silent = now >= self.window_start + 2 * WINDOW;
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            if silent {
                self.previous.reset();
            }
            self.window_start = now;
            self.cached_quantile = None;
        }
    }
}

/// A time that rises at once with what is slow and sinks slowly: the peak of late, forgotten over seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakLatency {
    value: f64,
    updated_at: Micros,
}

/// Time over which a peak is forgotten.
const DECAY_TIME: f64 = 5_000_000.0;

impl PeakLatency {
    /// A call took so long.
    pub fn record(&mut self, now: Micros, took: Micros) {
        let took = took as f64;
        if took >= self.value {
            self.value = took;
        } else {
            let kept = (-(now.saturating_sub(self.updated_at) as f64) / DECAY_TIME).exp().min(0.9);
            self.value = self.value * kept + took * (1.0 - kept);
        }
        self.updated_at = now;
    }

    /// The peak, 0 while nothing is known.
    pub fn value(&self) -> f64 {
        self.value
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_are_of_late() {
        let mut latency = LatencyWindow::new(0);
        (0..19).for_each(|_| latency.record(1, 1_000));
        assert_eq!(latency.quantile(1, 0.5), None);
        latency.record(1, 100_000);
        let near =
            |found: Option<Micros>, wanted: Micros| found.is_some_and(|f| f.abs_diff(wanted) <= wanted / 50);
        assert!(near(latency.quantile(1, 0.5), 1_000) && near(latency.quantile(1, 1.0), 100_000));
        // In the next span the old counts until there is enough that is new.
        latency.record(WINDOW, 5_000);
        assert!(near(latency.quantile(WINDOW, 0.5), 1_000));
        (0..20).for_each(|_| latency.record(WINDOW, 5_000));
        // A figure may be some calls old.
        (0..QUANTILE_REFRESH_CALLS).for_each(|_| latency.record(WINDOW, 5_000));
        assert!(near(latency.quantile(WINDOW, 0.5), 5_000));
        assert_eq!(latency.quantile(4 * WINDOW, 0.5), None);
    }

    #[test]
    fn times_out_of_range_are_held_to_it() {
        let mut latency = LatencyWindow::new(0);
        (0..30).for_each(|n| latency.record(0, if n % 2 == 0 { 0 } else { Micros::MAX }));
        assert_eq!(latency.quantile(0, 0.1), Some(1));
        assert!(latency.quantile(0, 0.9).is_some_and(|q| q >= MAX_RECORDED));
    }

    #[test]
    fn a_peak_rises_at_once_and_sinks_slowly() {
        let mut peak = PeakLatency::default();
        peak.record(0, 1_000);
        peak.record(10, 9_000);
        assert_eq!(peak.value(), 9_000.0);
        peak.record(1_000_000, 1_000);
        assert!(peak.value() > 7_000.0 && peak.value() < 9_000.0, "{}", peak.value());
        (1..200).for_each(|n| peak.record(1_000_000 + n * 100_000, 1_000));
        assert!(peak.value() < 1_100.0, "{}", peak.value());
    }
}

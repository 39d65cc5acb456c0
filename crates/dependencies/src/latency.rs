//! How long calls take of late.

use hdrhistogram::Histogram;
use umberloom::interface::Micros;

/// A span of time that is counted together; quantiles look back over one to two of them.
const SPAN: Micros = 10_000_000;
/// Calls that a span must have seen before it speaks for itself.
const ENOUGH: u64 = 20;
/// Calls after which a quantile is worked out anew.
const FRESH: u32 = 32;
/// The longest time that is told apart, in microseconds: a minute.
const LONGEST: u64 = 60_000_000;

/// Times of calls over the last 10 to 20 s, to two digits.
#[derive(Clone, Debug)]
pub struct Latency {
    now: Histogram<u32>,
    before: Histogram<u32>,
    since: Micros,
    /// The last quantile that was worked out, and how many calls ago.
    last: Option<(f64, Micros)>,
    age: u32,
}

impl Latency {
    /// Nothing is known yet.
    pub fn new(now: Micros) -> Latency {
        // Bounds that are in order are never refused.
        let empty = Histogram::new_with_bounds(1, LONGEST, 2).expect("sound bounds");
        Latency { now: empty.clone(), before: empty, since: now, last: None, age: 0 }
    }

    /// A call took so long.
    pub fn add(&mut self, now: Micros, took: Micros) {
        self.turn(now);
        self.now.saturating_record(took.max(1));
        self.age += 1;
    }

    /// The time within which this share of the calls ended; `None` before enough have.
    pub fn quantile(&mut self, now: Micros, share: f64) -> Option<Micros> {
        self.turn(now);
        // To work it out passes over the whole histogram; some calls more or less hardly move it.
        if let Some((_, found)) = self.last.filter(|(of, _)| *of == share && self.age < FRESH) {
            return Some(found);
        }
        let which = if self.now.len() >= ENOUGH { &self.now } else { &self.before };
        let found = (which.len() >= ENOUGH).then(|| which.value_at_quantile(share));
        (self.last, self.age) = (found.map(|found| (share, found)), 0);
        found
    }

    fn turn(&mut self, now: Micros) {
        if now >= self.since + SPAN {
            // After a long silence both are old.
            let silent = now >= self.since + 2 * SPAN;
            std::mem::swap(&mut self.now, &mut self.before);
            self.now.reset();
            if silent {
                self.before.reset();
            }
            self.since = now;
            self.last = None;
        }
    }
}

/// A time that rises at once with what is slow and sinks slowly: the peak of late, forgotten over seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    value: f64,
    seen: Micros,
}

/// Time over which a peak is forgotten.
const FORGET: f64 = 5_000_000.0;

impl Peak {
    /// A call took so long.
    pub fn add(&mut self, now: Micros, took: Micros) {
        let took = took as f64;
        if took >= self.value {
            self.value = took;
        } else {
            let kept = (-(now.saturating_sub(self.seen) as f64) / FORGET).exp().min(0.9);
            self.value = self.value * kept + took * (1.0 - kept);
        }
        self.seen = now;
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
        let mut latency = Latency::new(0);
        (0..19).for_each(|_| latency.add(1, 1_000));
        assert_eq!(latency.quantile(1, 0.5), None);
        latency.add(1, 100_000);
        let near =
            |found: Option<Micros>, wanted: Micros| found.is_some_and(|f| f.abs_diff(wanted) <= wanted / 50);
        assert!(near(latency.quantile(1, 0.5), 1_000) && near(latency.quantile(1, 1.0), 100_000));
        // In the next span the old counts until there is enough that is new.
        latency.add(SPAN, 5_000);
        assert!(near(latency.quantile(SPAN, 0.5), 1_000));
        (0..20).for_each(|_| latency.add(SPAN, 5_000));
        // A figure may be some calls old.
        (0..FRESH).for_each(|_| latency.add(SPAN, 5_000));
        assert!(near(latency.quantile(SPAN, 0.5), 5_000));
        assert_eq!(latency.quantile(4 * SPAN, 0.5), None);
    }

    #[test]
    fn times_out_of_range_are_held_to_it() {
        let mut latency = Latency::new(0);
        (0..30).for_each(|n| latency.add(0, if n % 2 == 0 { 0 } else { Micros::MAX }));
        assert_eq!(latency.quantile(0, 0.1), Some(1));
        assert!(latency.quantile(0, 0.9).is_some_and(|q| q >= LONGEST));
    }

    #[test]
    fn a_peak_rises_at_once_and_sinks_slowly() {
        let mut peak = Peak::default();
        peak.add(0, 1_000);
        peak.add(10, 9_000);
        assert_eq!(peak.value(), 9_000.0);
        peak.add(1_000_000, 1_000);
        assert!(peak.value() > 7_000.0 && peak.value() < 9_000.0, "{}", peak.value());
        (1..200).for_each(|n| peak.add(1_000_000 + n * 100_000, 1_000));
        assert!(peak.value() < 1_100.0, "{}", peak.value());
    }
}

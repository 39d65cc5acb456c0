//! Spaces the probes that many servers send to a target that is down or recovering, without communication
//! between them.
//!
//! Each server knows only the number of servers. It spaces its own probes by that number, with random delays:
//! servers that lost the target at the same time must not all return to it at the same time.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom::interface::Micros;

/// Share of the allowed probe rate that is used on average if chance does not require less.
const MAX_USED_SHARE: f64 = 0.5;
/// Maximum number of windows over the allowed number of probes that are expected in [`OBSERVATION_WINDOWS`].
const MAX_EXPECTED_EXCESSES: f64 = 1e-6;
/// Number of windows over which excesses are counted: a minute of windows of 100 ms.
const OBSERVATION_WINDOWS: f64 = 600.0;
/// A delay is random from this share of its mean on.
const MIN_DELAY_SHARE: f64 = 0.5;
/// A delay is random up to this multiple of its mean.
const MAX_DELAY_SHARE: f64 = 1.5;
/// Number of halvings in the search for the mean number of probes; its result is exact to one in a million.
const SEARCH_STEPS: u32 = 20;
/// Number of servers from which on a delay is extended by up to its own length; fewer servers need less
/// spread.
const FULL_SPREAD_SERVERS: u32 = 10;

/// Maximum rate of the probes of all servers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeRate {
    /// Length of a window, in microseconds.
    pub window: Micros,
    /// Maximum number of probes in each window.
    pub max_probes: f64,
}

impl ProbeRate {
    /// Number of probes that a window may have: the rate, and the variation that random times bring.
    fn max_probes_in_a_window(&self) -> f64 {
        self.max_probes + 2.0 * self.max_probes.sqrt() + 2.0
    }

    /// The mean number of probes in a window for which hardly any window has more than it may. For small
    /// rates this is a small share of the rate: independent random times gather often.
    fn mean_probes_in_a_window(&self, servers: u32) -> f64 {
        let max_mean = self.max_probes * MAX_USED_SHARE;
        let exceeds = |mean: f64| self.expected_excesses(servers, mean) > MAX_EXPECTED_EXCESSES;
        if !exceeds(max_mean) {
            return max_mean;
        }
        let (mut low, mut high) = (0.0, max_mean);
        for _ in 0..SEARCH_STEPS {
            let middle = (low + high) / 2.0;
            if exceeds(middle) {
                high = middle;
            } else {
                low = middle;
            }
        }
        low
    }

    /// Number of windows expected to have too many probes if the mean is `mean`: for each probe, the
    /// probability that too many of the other servers follow within a window. A server whose delays are a
    /// window or longer sends one of them at most.
    fn expected_excesses(&self, servers: u32, mean: f64) -> f64 {
        let others = servers.saturating_sub(1);
        let probability = (mean / f64::from(servers.max(1))).min(1.0);
        let allowed_others = self.max_probes_in_a_window().floor() as u32;
        OBSERVATION_WINDOWS * mean * binomial_tail(others, probability, allowed_others)
    }
}

/// The probability that at least `minimum` of `trials` succeed, each with this probability.
fn binomial_tail(trials: u32, probability: f64, minimum: u32) -> f64 {
    if minimum > trials || probability <= 0.0 {
        return 0.0;
    }
    let odds = probability / (1.0 - probability).max(f64::MIN_POSITIVE);
    let mut term = (1.0 - probability).powf(f64::from(trials));
    let mut tail = 0.0;
    for successes in 0..=trials {
        if successes >= minimum {
            tail += term;
        }
        term *= odds * f64::from(trials - successes) / f64::from(successes + 1);
    }
    tail
}

/// Returns the time until this server's next probe, in microseconds, so that `servers` servers together stay
/// within `rate`. It is at least half of the window, and at most `max_delay` if that is 1.5 windows or more.
pub fn probe_delay(servers: u32, rate: ProbeRate, max_delay: Micros, random: &mut impl Rng) -> Micros {
    let window = rate.window as f64;
    let mean = window * f64::from(servers.max(1)) / rate.mean_probes_in_a_window(servers);
    let mean = mean.clamp(window, (max_delay as f64 / MAX_DELAY_SHARE).max(window));
    (mean * random.random_range(MIN_DELAY_SHARE..MAX_DELAY_SHARE)) as Micros
}

/// Paces the probes of one of several servers, with its own random number generator.
#[derive(Clone, Debug)]
pub struct ProbePacer {
    servers: u32,
    random: ChaCha8Rng,
}

impl ProbePacer {
    /// Creates the pacer of the server with this name. All servers may have the same seed.
    pub fn new(servers: u32, seed: u64, name: &str) -> ProbePacer {
        let mut hasher = DefaultHasher::new();
        (seed, name).hash(&mut hasher);
        ProbePacer { servers, random: ChaCha8Rng::seed_from_u64(hasher.finish()) }
    }

    /// Returns the time until the next probe, see [`probe_delay`].
    pub fn next_delay(&mut self, rate: ProbeRate, max_delay: Micros) -> Micros {
        probe_delay(self.servers, rate, max_delay, &mut self.random)
    }
}

/// Returns a random delay from `delay` up to twice as long with ten servers or more; the spread is smaller
/// with fewer servers, and a single server gets `delay`.
pub fn spread_delay(servers: u32, delay: Micros, random: &mut impl Rng) -> Micros {
    let full = FULL_SPREAD_SERVERS - 1;
    let max_extra = delay as f64 * f64::from(servers.saturating_sub(1).min(full)) / f64::from(full);
    delay + (max_extra * random.random_range(0.0..=1.0)) as Micros
}

#[cfg(test)]
mod tests;

//! Spaces the probes that many servers send to a target that is down or recovering, without communication
//! between them.
//!
//! Each server knows only the number of servers. It spaces its own probes by that number, with random delays:
//! servers that lost the target at the same time must not all return to it at the same time.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom::interface::Micros;

/// Share of the allowed probe rate that is used on average. The rest is a margin for random variation.
const USED_SHARE: f64 = 0.5;
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

/// Returns the time until this server's next probe, in microseconds, so that `servers` servers together stay
/// within `rate`. It is at least half of the window, and at most `max_delay` if that is 1.5 windows or more.
pub fn probe_delay(servers: u32, rate: ProbeRate, max_delay: Micros, random: &mut impl Rng) -> Micros {
    let window = rate.window as f64;
    let mean = window * f64::from(servers.max(1)) / (rate.max_probes * USED_SHARE);
    let mean = mean.clamp(window, (max_delay as f64 / 1.5).max(window));
    (mean * random.random_range(0.5..1.5)) as Micros
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

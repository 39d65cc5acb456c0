//! How far apart the probes are that many servers make of something that is down or coming back, without talking to
//! each other.
//!
//! Each server knows how many they are, and no more. Its own probes are as far apart as that number asks, by draws of
//! its own: where all servers lost something at one moment they must not come back to it at one moment.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom::interface::Micros;

/// Of the probes that all servers may make this part is used; the rest is left for chance.
const USED_SHARE: f64 = 0.5;
/// From this number of servers on, a delay is spread over as long again.
const FULL_SPREAD_SERVERS: u32 = 10;

/// How many probes all servers may make together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeRate {
    /// In microseconds.
    pub window: Micros,
    /// Probes in each window.
    pub max_probes: f64,
}

/// The time until this server's next probe, so that `servers` of them stay under `rate` together; never less than half
/// of the window, and never more than `max_delay`.
pub fn probe_delay(servers: u32, rate: ProbeRate, max_delay: Micros, random: &mut impl Rng) -> Micros {
    let window = rate.window as f64;
    let mean = window * f64::from(servers.max(1)) / (rate.max_probes * USED_SHARE);
    let mean = mean.clamp(window, (max_delay as f64 / 1.5).max(window));
    (mean * random.random_range(0.5..1.5)) as Micros
}

/// Paces the probes of one of several servers, with draws of its own.
#[derive(Clone, Debug)]
pub struct ProbePacer {
    servers: u32,
    random: ChaCha8Rng,
}

impl ProbePacer {
    /// For the server of this name; the seed may be the same for all of them.
    pub fn new(servers: u32, seed: u64, name: &str) -> ProbePacer {
        let mut hasher = DefaultHasher::new();
        (seed, name).hash(&mut hasher);
        ProbePacer { servers, random: ChaCha8Rng::seed_from_u64(hasher.finish()) }
    }

    /// See [`probe_delay`].
    pub fn next_delay(&mut self, rate: ProbeRate, max_delay: Micros) -> Micros {
        probe_delay(self.servers, rate, max_delay, &mut self.random)
    }
}

/// A time from `delay` on, later by up to as long again where there are ten servers or more.
pub fn spread_delay(servers: u32, delay: Micros, random: &mut impl Rng) -> Micros {
    let full = FULL_SPREAD_SERVERS - 1;
    let max_extra = delay as f64 * f64::from(servers.saturating_sub(1).min(full)) / f64::from(full);
    delay + (max_extra * random.random_range(0.0..=1.0)) as Micros
}

#[cfg(test)]
mod tests;

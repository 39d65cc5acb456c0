//! How often what is cold, down or coming back is tried by many servers that do not talk to each other.
//!
//! Each knows how many they are, and no more. Its own tries are as far apart as the number of servers asks, by draws of its
//! own: where all lost something at one moment they must not come back to it at one moment.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom::interface::Micros;

/// Of what may come under tries together so much is used; the rest is for chance.
const USED_SHARE: f64 = 0.5;

/// The time until this server's next try, so that `servers` of them make fewer than `most` tries in each `window`
/// together; never less than half of `window`, and never more than `longest`.
pub fn probe_delay(
    servers: u32,
    (window, most): (Micros, f64),
    longest: Micros,
    random: &mut impl Rng,
) -> Micros {
    let mean = window as f64 * f64::from(servers.max(1)) / (most * USED_SHARE);
    let mean = mean.clamp(window as f64, (longest as f64 / 1.5).max(window as f64));
    (mean * random.random_range(0.5..1.5)) as Micros
}

/// One of so many servers, with draws of its own.
#[derive(Clone, Debug)]
pub struct ProbePacer {
    servers: u32,
    random: ChaCha8Rng,
}

impl ProbePacer {
    /// For the server of this name; the seed may be the same for all of them.
    pub fn new(servers: u32, seed: u64, name: &str) -> ProbePacer {
        let mut own = DefaultHasher::new();
        (seed, name).hash(&mut own);
        ProbePacer { servers, random: ChaCha8Rng::seed_from_u64(own.finish()) }
    }

    /// See [`next_try`].
    pub fn next_delay(&mut self, together: (Micros, f64), longest: Micros) -> Micros {
        probe_delay(self.servers, together, longest, &mut self.random)
    }
}

/// A time after `span`, later by up to as long again where there are ten servers or more.
pub fn spread_delay(servers: u32, span: Micros, random: &mut impl Rng) -> Micros {
    let most = span as f64 * f64::from(servers.saturating_sub(1).min(9)) / 9.0;
    span + (most * random.random_range(0.0..=1.0)) as Micros
}

#[cfg(test)]
mod tests;

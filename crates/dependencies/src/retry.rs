//! The budget of repeated attempts, and the wait before one.

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::Retry;

/// A back-off doubles no more often than this.
const DOUBLINGS: u32 = 6;

/// Attempts beyond first ones: each first one earns a share of one, up to a number that can be saved up. In an
/// outage it is soon empty, and then a dependency that is down or coming back gets little more than first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Retry,
    tokens: f64,
    /// All first attempts and all others, ever.
    firsts: u64,
    others: u64,
}

impl RetryBudget {
    /// Full.
    pub fn new(settings: Retry) -> RetryBudget {
        RetryBudget { settings, tokens: settings.burst, firsts: 0, others: 0 }
    }

    /// New settings; what is saved up stays within them.
    pub fn set(&mut self, settings: Retry) {
        self.settings = settings;
        self.tokens = self.tokens.min(settings.burst);
    }

    /// A first attempt is made.
    pub fn first(&mut self) {
        self.firsts += 1;
        self.tokens = (self.tokens + self.settings.share).min(self.settings.burst);
    }

    /// Takes one attempt out of the budget, if it is there.
    pub fn take(&mut self) -> bool {
        // Ten tenths must make a whole one.
        let there = self.tokens >= 1.0 - 1e-9;
        if there {
            self.tokens = (self.tokens - 1.0).max(0.0);
            self.others += 1;
        }
        there
    }

    /// Gives back one that was taken and not made.
    pub fn give_back(&mut self) {
        self.others -= 1;
        self.tokens = (self.tokens + 1.0).min(self.settings.burst);
    }

    /// Attempts that are left.
    pub fn left(&self) -> f64 {
        self.tokens
    }

    /// Whether no more was taken than was earned and saved up at first.
    pub fn is_sound(&self, burst: f64, share: f64) -> bool {
        self.tokens >= 0.0 && self.others as f64 <= burst + share * self.firsts as f64 + 1e-6
    }
}

/// The wait before further attempt number `tries` (from 0): full jitter around the back-off, which doubles, so that
/// calls that failed together do not come back together.
pub fn backoff(settings: &Retry, tries: u32, random: &mut impl Rng) -> Micros {
    let mean = settings.back_off << tries.min(DOUBLINGS);
    random.random_range(0..=2 * mean)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rand::SeedableRng;
    use rand_chacha::ChaCha8Rng;

    const SETTINGS: Retry = Retry { most: 2, share: 0.1, burst: 3.0, back_off: 1_000 };

    #[test]
    fn an_outage_empties_it() {
        let mut budget = RetryBudget::new(SETTINGS);
        let taken = (0..1_000).filter(|_| {
            budget.first();
            budget.take()
        });
        // Three saved up, and one for ten.
        assert_eq!(taken.count(), 102);
    }

    #[test]
    fn a_share_of_nothing_allows_nothing() {
        let mut budget = RetryBudget::new(Retry { share: 0.0, burst: 0.0, ..SETTINGS });
        budget.first();
        assert!(!budget.take());
    }

    #[test]
    fn what_is_given_back_can_be_taken_again() {
        let mut budget = RetryBudget::new(Retry { share: 0.0, burst: 1.0, ..SETTINGS });
        assert!(budget.take() && !budget.take());
        budget.give_back();
        assert!(budget.take());
    }

    #[test]
    fn waits_double_and_differ() {
        let mut random = ChaCha8Rng::seed_from_u64(1);
        for tries in [0, 1, 3] {
            let waits: Vec<Micros> = (0..2_000).map(|_| backoff(&SETTINGS, tries, &mut random)).collect();
            let mean = waits.iter().sum::<u64>() as f64 / 2_000.0;
            let wanted = 1_000.0 * f64::from(1 << tries);
            assert!((mean / wanted - 1.0).abs() < 0.05, "{tries}: {mean}");
            assert!(waits.iter().all(|&w| w <= 2_000 << tries));
        }
        let far = backoff(&SETTINGS, 40, &mut random);
        assert!(far <= 2_000 << DOUBLINGS);
    }

    proptest! {
        #[test]
        fn it_is_never_overdrawn(share in 0.0f64..=1.0, burst in 0.0f64..20.0,
            steps in prop::collection::vec(any::<bool>(), 0..500)) {
            let mut budget = RetryBudget::new(Retry { share, burst, ..SETTINGS });
            for first in steps {
                if first { budget.first() } else { budget.take(); }
                prop_assert!(budget.is_sound(burst, share));
            }
        }
    }
}

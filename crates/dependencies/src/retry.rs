//! The budget of repeated attempts, and the wait before one.

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::RetryPolicy;

/// A back-off doubles no more often than this.
const MAX_DOUBLINGS: u32 = 6;

/// Attempts beyond first ones: each first one earns a share of one, up to a number that can be saved up. In an
/// outage it is soon empty, and then a dependency that is down or coming back gets little more than first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    tokens: f64,
    /// All first attempts and all others, ever.
    first_attempts: u64,
    withdrawn: u64,
}

impl RetryBudget {
    /// Full.
    pub fn new(policy: RetryPolicy) -> RetryBudget {
        RetryBudget { policy, tokens: policy.budget_burst, first_attempts: 0, withdrawn: 0 }
    }

    /// New settings; what is saved up stays within them.
    pub fn set_policy(&mut self, settings: RetryPolicy) {
        self.policy = settings;
        self.tokens = self.tokens.min(settings.budget_burst);
    }

    /// A first attempt is made.
    pub fn record_first_attempt(&mut self) {
        self.first_attempts += 1;
        self.tokens = (self.tokens + self.policy.budget_ratio).min(self.policy.budget_burst);
    }

    /// Takes one attempt out of the budget, if it is there.
    pub fn try_withdraw(&mut self) -> bool {
        // Ten tenths must make a whole one.
        let there = self.tokens >= 1.0 - 1e-9;
        if there {
            self.tokens = (self.tokens - 1.0).max(0.0);
            self.withdrawn += 1;
        }
        there
    }

    /// Gives back one that was taken and not made.
    pub fn refund(&mut self) {
        self.withdrawn -= 1;
        self.tokens = (self.tokens + 1.0).min(self.policy.budget_burst);
    }

    /// Attempts that are left.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Whether no more was taken than was earned and saved up at first.
    pub fn is_not_overdrawn(&self, burst: f64, share: f64) -> bool {
        self.tokens >= 0.0 && self.withdrawn as f64 <= burst + share * self.first_attempts as f64 + 1e-6
    }
}

/// The wait before further attempt number `tries` (from 0): full jitter around the back-off, which doubles, so that
/// calls that failed together do not come back together.
pub fn backoff(settings: &RetryPolicy, tries: u32, random: &mut impl Rng) -> Micros {
    let mean = settings.base_backoff << tries.min(MAX_DOUBLINGS);
    random.random_range(0..=2 * mean)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rand::SeedableRng;
    use rand_chacha::ChaCha8Rng;

    const SETTINGS: RetryPolicy =
        RetryPolicy { max_retries: 2, budget_ratio: 0.1, budget_burst: 3.0, base_backoff: 1_000 };

    #[test]
    fn an_outage_empties_it() {
        let mut budget = RetryBudget::new(SETTINGS);
        let taken = (0..1_000).filter(|_| {
            budget.record_first_attempt();
            budget.try_withdraw()
        });
        // Three saved up, and one for ten.
        assert_eq!(taken.count(), 102);
    }

    #[test]
    fn a_share_of_nothing_allows_nothing() {
        let mut budget = RetryBudget::new(RetryPolicy { budget_ratio: 0.0, budget_burst: 0.0, ..SETTINGS });
        budget.record_first_attempt();
        assert!(!budget.try_withdraw());
    }

    #[test]
    fn what_is_given_back_can_be_taken_again() {
        let mut budget = RetryBudget::new(RetryPolicy { budget_ratio: 0.0, budget_burst: 1.0, ..SETTINGS });
        assert!(budget.try_withdraw() && !budget.try_withdraw());
        budget.refund();
        assert!(budget.try_withdraw());
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
        assert!(far <= 2_000 << MAX_DOUBLINGS);
    }

    proptest! {
        #[test]
        fn it_is_never_overdrawn(share in 0.0f64..=1.0, burst in 0.0f64..20.0,
            steps in prop::collection::vec(any::<bool>(), 0..500)) {
            let mut budget = RetryBudget::new(RetryPolicy { budget_ratio: share, budget_burst: burst, ..SETTINGS });
            for first in steps {
                if first { budget.record_first_attempt() } else { budget.try_withdraw(); }
                prop_assert!(budget.is_not_overdrawn(burst, share));
            }
        }
    }
}

//! The retry budget (as in Finagle and linkerd), and the backoff before a retry.

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::RetryPolicy;

/// A backoff doubles no more often than this.
const MAX_DOUBLINGS: u32 = 6;

/// Retries as a share of first attempts: each first attempt deposits a part of a retry, up to a number that can be
/// saved up. In an outage it is soon empty, and then a dependency that is down or coming back gets little more than
/// first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    tokens: f64,
    /// All first attempts ever.
    first_attempts: u64,
    /// All retries ever that were withdrawn and not refunded.
    withdrawn: u64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(policy: RetryPolicy) -> RetryBudget {
        RetryBudget { policy, tokens: policy.budget_burst, first_attempts: 0, withdrawn: 0 }
    }

    /// Applies a new policy; what is saved up stays as far as it allows.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.tokens = self.tokens.min(policy.budget_burst);
    }

    /// A first attempt is made.
    pub fn record_first_attempt(&mut self) {
        self.first_attempts += 1;
        self.tokens = (self.tokens + self.policy.budget_ratio).min(self.policy.budget_burst);
    }

    /// Takes one retry out of the budget; `false` if it has none.
    pub fn try_withdraw(&mut self) -> bool {
        // Ten tenths must make a whole one.
        let is_available = self.tokens >= 1.0 - 1e-9;
        if is_available {
            self.tokens = (self.tokens - 1.0).max(0.0);
            self.withdrawn += 1;
        }
        is_available
    }

    /// Gives back a retry that was withdrawn and not made.
    pub fn refund(&mut self) {
        self.withdrawn -= 1;
        self.tokens = (self.tokens + 1.0).min(self.policy.budget_burst);
    }

    /// Retries that can be withdrawn.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Whether no more was withdrawn than was deposited and saved up at first, with these largest values of the policy.
    pub fn is_not_overdrawn(&self, budget_burst: f64, budget_ratio: f64) -> bool {
        let deposited = budget_burst + budget_ratio * self.first_attempts as f64;
        self.tokens >= 0.0 && self.withdrawn as f64 <= deposited + 1e-6
    }
}

/// The wait before a retry, after `retries` earlier ones: drawn between nothing and twice the mean (full jitter), which
/// doubles with each retry, so that calls that failed together do not come back together (AWS, "Exponential Backoff And
/// Jitter").
pub fn backoff(policy: &RetryPolicy, retries: u32, random: &mut impl Rng) -> Micros {
    let mean = policy.base_backoff << retries.min(MAX_DOUBLINGS);
    random.random_range(0..=2 * mean)
}

#[cfg(test)]
mod tests;

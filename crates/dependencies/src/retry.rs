//! Retry budget (as in Finagle and linkerd), and backoff before a retry.

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::RetryPolicy;

/// Maximum number of times that the mean backoff doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Limits retries to a share of first attempts. Each first attempt deposits a fraction of a retry token, up
/// to a maximum balance, and each retry withdraws one token. In an outage the budget is soon empty, so that a
/// dependency that is down or recovering gets few calls in addition to first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    tokens: f64,
    /// Number of first attempts since the budget was created.
    first_attempts: u64,
    /// Number of tokens that were withdrawn and not refunded since the budget was created.
    withdrawn: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(policy: RetryPolicy) -> RetryBudget {
        RetryBudget { policy, tokens: policy.budget_burst, first_attempts: 0, withdrawn: 0 }
    }

    /// Applies a new policy; the balance is kept up to the new maximum.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.tokens = self.tokens.min(policy.budget_burst);
    }

    /// Records a first attempt, which deposits its fraction of a token.
    pub fn record_first_attempt(&mut self) {
        self.first_attempts += 1;
        self.tokens = (self.tokens + self.policy.budget_ratio).min(self.policy.budget_burst);
    }

    /// Withdraws a token for one retry; returns `false` if the budget has none.
    pub fn try_withdraw(&mut self) -> bool {
        // With this tolerance ten deposits of 0.1 make a whole token despite rounding.
        let is_available = self.tokens >= 1.0 - 1e-9;
        if is_available {
            self.tokens = (self.tokens - 1.0).max(0.0);
            self.withdrawn += 1;
        }
        is_available
    }

    /// Refunds the token of a retry that was not made.
    pub fn refund(&mut self) {
        self.withdrawn -= 1;
        self.tokens = (self.tokens + 1.0).min(self.policy.budget_burst);
    }

    /// Returns the balance: the number of retries that can be withdrawn.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Returns whether no more tokens were withdrawn than the initial balance and the deposits allow.
    /// `budget_burst` and `budget_ratio` are the highest values that the policy ever had.
    pub fn is_not_overdrawn(&self, budget_burst: f64, budget_ratio: f64) -> bool {
        let deposited = budget_burst + budget_ratio * self.first_attempts as f64;
        self.tokens >= 0.0 && self.withdrawn as f64 <= deposited + 1e-6
    }
}

/// Returns the wait before a retry after `retries` earlier ones, in microseconds. It is drawn between zero
/// and twice the mean (full jitter), and the mean doubles with each retry, so that calls that failed together
/// are not retried together (AWS, "Exponential Backoff And Jitter").
pub fn backoff(policy: &RetryPolicy, retries: u32, random: &mut impl Rng) -> Micros {
    let mean = policy.base_backoff << retries.min(MAX_DOUBLINGS);
    random.random_range(0..=2 * mean)
}

#[cfg(test)]
mod tests;

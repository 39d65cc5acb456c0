use super::*;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const POLICY: RetryPolicy =
    RetryPolicy { max_retries: 2, budget_ratio: 0.1, budget_burst: 3.0, base_backoff: 1_000 };

#[test]
fn outage_empties_the_budget() {
    let mut budget = RetryBudget::new(POLICY);
    let withdrawn = (0..1_000).filter(|_| {
        budget.record_first_attempt();
        budget.try_withdraw()
    });
    // Three from the initial balance, and one for each ten first attempts.
    assert_eq!(withdrawn.count(), 102);
}

#[test]
fn budget_of_zero_allows_no_retries() {
    let mut budget = RetryBudget::new(RetryPolicy { budget_ratio: 0.0, budget_burst: 0.0, ..POLICY });
    budget.record_first_attempt();
    assert!(!budget.try_withdraw());
}

#[test]
fn refunded_retry_can_be_withdrawn_again() {
    let mut budget = RetryBudget::new(RetryPolicy { budget_ratio: 0.0, budget_burst: 1.0, ..POLICY });
    assert!(budget.try_withdraw() && !budget.try_withdraw());
    budget.refund();
    assert!(budget.try_withdraw());
}

#[test]
fn backoff_doubles_with_full_jitter() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for retries in [0, 1, 3] {
        let waits: Vec<Micros> = (0..2_000).map(|_| backoff(&POLICY, retries, &mut random)).collect();
        let mean = waits.iter().sum::<u64>() as f64 / 2_000.0;
        let expected = 1_000.0 * f64::from(1 << retries);
        assert!((mean / expected - 1.0).abs() < 0.05, "{retries}: {mean}");
        assert!(waits.iter().all(|&w| w <= 2_000 << retries));
    }
    let capped = backoff(&POLICY, 40, &mut random);
    assert!(capped <= 2_000 << MAX_DOUBLINGS);
}

proptest! {
    #[test]
    fn budget_is_never_overdrawn(ratio in 0.0f64..=1.0, burst in 0.0f64..20.0,
        steps in prop::collection::vec(any::<bool>(), 0..500)) {
        let mut budget = RetryBudget::new(RetryPolicy { budget_ratio: ratio, budget_burst: burst, ..POLICY });
        for is_first_attempt in steps {
            if is_first_attempt { budget.record_first_attempt() } else { budget.try_withdraw(); }
            prop_assert!(budget.is_not_overdrawn(burst, ratio));
        }
    }
}

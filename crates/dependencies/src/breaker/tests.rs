use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Ends a call of a dependency that is called by a single server.
fn end(breaker: &mut CircuitBreaker, now: Micros, probe: bool, failed: Option<bool>) {
    breaker.end(now, probe, failed, 1, &mut ChaCha8Rng::seed_from_u64(1));
}

const CONFIG: BreakerConfig = BreakerConfig { failure_ratio: 0.5, window_calls: 20, open_time: 1_000 };

/// Makes a call if the breaker allows it; returns whether it did.
fn call(breaker: &mut CircuitBreaker, now: Micros, failed: bool) -> bool {
    let allowed = breaker.allows(now);
    if allowed {
        let probe = breaker.start(now);
        end(breaker, now, probe, Some(failed));
    }
    allowed
}

#[test]
fn opens_at_its_failure_ratio_and_not_before() {
    let mut breaker = CircuitBreaker::new(Some(CONFIG));
    (0..40).for_each(|n| assert!(call(&mut breaker, 0, n % 3 == 0)));
    assert_eq!(breaker.state(0), BreakerState::Closed);
    while breaker.state(0) == BreakerState::Closed {
        call(&mut breaker, 0, true);
    }
    assert_eq!(breaker.state(999), BreakerState::Open { until: 1_000 });
    assert!(!breaker.allows(999));
}

#[test]
fn half_open_lets_one_probe_at_a_time_and_closes_after_three_successes() {
    let mut breaker = CircuitBreaker::new(Some(CONFIG));
    (0..5).for_each(|_| assert!(call(&mut breaker, 0, true)));
    assert!(breaker.allows(1_000));
    let probe = breaker.start(1_000);
    assert!(probe && !breaker.allows(1_000));
    end(&mut breaker, 1_010, probe, Some(false));
    assert!(
        call(&mut breaker, 1_020, false) && breaker.state(1_020) == BreakerState::HalfOpen { successes: 2 }
    );
    assert!(call(&mut breaker, 1_030, false) && breaker.state(1_030) == BreakerState::Closed);
}

#[test]
fn failed_probe_doubles_the_open_time() {
    let mut breaker = CircuitBreaker::new(Some(CONFIG));
    (0..5).for_each(|_| assert!(call(&mut breaker, 0, true)));
    let mut at = 1_000;
    for open_time in [2_000, 4_000, 4_000, 4_000] {
        assert!(call(&mut breaker, at, true));
        assert_eq!(breaker.state(at), BreakerState::Open { until: at + open_time });
        at += open_time;
    }
}

#[test]
fn calls_from_before_it_opened_and_calls_without_an_outcome_do_not_count() {
    let mut breaker = CircuitBreaker::new(Some(CONFIG));
    let earlier_call = breaker.start(0);
    (0..5).for_each(|_| assert!(call(&mut breaker, 0, true)));
    end(&mut breaker, 500, earlier_call, Some(false));
    assert_eq!(breaker.state(500), BreakerState::Open { until: 1_000 });
    let probe = breaker.start(1_000);
    end(&mut breaker, 1_100, probe, None);
    assert!(breaker.allows(1_100), "another probe may be made after one without an outcome");
}

/// Guards against thirty servers that all probe at the same time because their breakers opened at the same
/// time.
#[test]
fn probes_of_servers_that_opened_together_are_spread() {
    let mut probe_times: Vec<Micros> = (0..30)
        .map(|seed| {
            let mut breaker = CircuitBreaker::new(Some(CONFIG));
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            while breaker.allows(1_000) {
                let probe = breaker.start(1_000);
                breaker.end(1_000, probe, Some(true), 30, &mut random);
            }
            let BreakerState::Open { until } = breaker.state(1_000) else { panic!("open") };
            until
        })
        .collect();
    probe_times.sort_unstable();
    let open_time = CONFIG.open_time;
    assert!(probe_times.iter().all(|at| (1_000 + open_time..=1_000 + 2 * open_time).contains(at)));
    let max_in_tenth = probe_times
        .iter()
        .map(|from| probe_times.iter().filter(|at| (*from..*from + open_time / 10).contains(*at)).count())
        .max();
    assert!(max_in_tenth <= Some(3 + 3 + 2), "{max_in_tenth:?}");
}

use super::*;

#[test]
fn time_limits_grow_with_failures_and_shrink_with_successes() {
    let mut health = LocalHealth::default();
    assert_eq!(health.scale(10), 10);
    [HealthSignal::ProbeFailed, HealthSignal::TimerLate, HealthSignal::Suspected]
        .into_iter()
        .for_each(|signal| health.record(signal));
    assert_eq!((health.score(), health.scale(10)), (3, 40));
    (0..20).for_each(|_| health.record(HealthSignal::TimerLate));
    assert_eq!(health.score(), MAX_HEALTH_SCORE);
    (0..20).for_each(|_| health.record(HealthSignal::ProbeAnswered));
    assert_eq!(health.score(), 0);
}

use super::*;
use proptest::prelude::*;

const BOUNDS: LimitBounds = LimitBounds { initial: 4, min: 2, max: 20 };

/// In each round starts as many calls as the limit allows and ends each with the latency `took(calls in
/// flight)`. Returns the final limit.
fn run_rounds(limit: &mut ConcurrencyLimit, rounds: u64, took: impl Fn(usize) -> Micros) -> usize {
    for round in 0..rounds {
        while limit.has_capacity() {
            limit.start();
        }
        let load = limit.in_flight();
        (0..load).for_each(|_| limit.end(round * 100_000, CallSample::Answered(took(load))));
    }
    limit.value()
}

#[test]
fn rises_while_calls_are_quick_and_the_limit_is_used() {
    let mut limit = ConcurrencyLimit::new(BOUNDS);
    assert_eq!(run_rounds(&mut limit, 100, |_| 1_000), 20);
    assert_eq!(limit.status().last_change.cause, LimitChangeCause::LowLatency);
}

#[test]
fn does_not_rise_while_it_is_not_used() {
    let mut limit = ConcurrencyLimit::new(BOUNDS);
    for now in 0..1_000 {
        limit.start();
        limit.end(now, CallSample::Answered(1_000));
    }
    assert_eq!((limit.value(), limit.status().last_change.cause), (4, LimitChangeCause::Configured));
}

#[test]
fn settles_below_the_load_that_slows_the_dependency() {
    let mut limit = ConcurrencyLimit::new(BOUNDS);
    // With more than 8 calls at the same time the latency grows with the square of the load.
    let took = |load: usize| if load <= 8 { 1_000 } else { 1_000 * (load * load) as u64 / 16 };
    let end = run_rounds(&mut limit, 400, took);
    assert!((6..=11).contains(&end), "{end}");
}

#[test]
fn rejections_lower_it_at_most_once_per_latency() {
    let mut limit = ConcurrencyLimit::new(LimitBounds { initial: 20, ..BOUNDS });
    limit.start();
    limit.end(0, CallSample::Answered(1_000));
    for _ in 0..10 {
        limit.start();
        limit.end(10_000, CallSample::Dropped);
    }
    assert_eq!(
        (limit.value(), limit.status().last_change),
        (18, LimitChange { cause: LimitChangeCause::Dropped, at: 10_000 })
    );
    for round in 2..100 {
        limit.start();
        limit.end(round * 10_000, CallSample::Dropped);
    }
    assert_eq!(limit.value(), 2);
}

#[test]
fn new_bounds_apply_at_once() {
    let mut limit = ConcurrencyLimit::new(BOUNDS);
    limit.set_bounds(7, LimitBounds { initial: 1, min: 1, max: 3 });
    assert_eq!(
        (limit.value(), limit.status().last_change),
        (3, LimitChange { cause: LimitChangeCause::Configured, at: 7 })
    );
}

proptest! {
    #[test]
    fn never_leaves_its_bounds(
        min in 1usize..10, initial_above_min in 0usize..10, max_above_initial in 0usize..40,
        steps in prop::collection::vec((0u64..100_000, 0u8..4, 1u64..10_000_000), 0..400),
    ) {
        let initial = min + initial_above_min;
        let bounds = LimitBounds { min, initial, max: initial + max_above_initial };
        let (mut limit, mut now, mut in_flight) = (ConcurrencyLimit::new(bounds), 0, 0usize);
        for (after, choice, took) in steps {
            now += after;
            if limit.has_capacity() && choice != 3 {
                limit.start();
                in_flight += 1;
            } else if in_flight > 0 {
                in_flight -= 1;
                let sample = match took % 3 { 0 => CallSample::Dropped, 1 => CallSample::Ignored, _ => CallSample::Answered(took) };
                limit.end(now, sample);
            }
            prop_assert!(limit.is_within_bounds() && limit.in_flight() == in_flight && in_flight <= bounds.max);
        }
    }
}

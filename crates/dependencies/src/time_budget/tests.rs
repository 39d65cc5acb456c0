use super::*;
use proptest::prelude::*;

fn claim(weight: f64, min_time: Micros, max_time: Micros, required: bool) -> StageClaim {
    StageClaim { weight, min_time, max_time, required }
}

#[test]
fn unspent_time_passes_to_later_stages() {
    let claims = [claim(1.0, 0, 1_000, true), claim(1.0, 0, 1_000, true), claim(2.0, 0, 1_000, true)];
    assert_eq!(first_stage_time(400, &claims), Some(100));
    // The first stage took only 20 of its 100, so that 380 remain for the others.
    assert_eq!(first_stage_time(380, &claims[1..]), Some(126));
    assert_eq!(first_stage_time(254, &claims[2..]), Some(254));
}

#[test]
fn minimum_and_maximum_times_are_respected() {
    assert_eq!(first_stage_time(1_000, &[claim(1.0, 0, 100, true), claim(1.0, 0, 1_000, true)]), Some(100));
    assert_eq!(first_stage_time(1_000, &[claim(1.0, 700, 900, true), claim(1.0, 0, 1_000, true)]), Some(700));
    assert_eq!(
        first_stage_time(1_000, &[claim(9.0, 0, 1_000, true), claim(1.0, 400, 1_000, true)]),
        Some(600)
    );
    assert_eq!(first_stage_time(99, &[claim(1.0, 100, 1_000, true)]), None);
    assert_eq!(first_stage_time(0, &[claim(1.0, 0, 1_000, true)]), None);
}

#[test]
fn optional_stage_gives_way_to_required_ones() {
    let later = claim(1.0, 80, 1_000, true);
    assert_eq!(first_stage_time(100, &[claim(1.0, 50, 1_000, false), later]), None);
    assert_eq!(first_stage_time(100, &[claim(1.0, 50, 1_000, true), later]), Some(50));
    assert_eq!(
        first_stage_time(100, &[claim(1.0, 50, 1_000, false), claim(1.0, 80, 1_000, false)]),
        Some(50)
    );
}

#[test]
fn required_calls_may_take_twice_the_time_of_their_stage() {
    let plain = claim(1.0, 0, 1_000, true);
    assert_eq!(extended_time(300, 100, 0, &plain), 200);
    assert_eq!(
        extended_time(300, 100, 150, &plain),
        150,
        "the time for later required stages stays reserved"
    );
    assert_eq!(extended_time(300, 100, 280, &plain), 100, "the stage keeps at least its own share");
    assert_eq!(extended_time(300, 100, 0, &claim(1.0, 0, 120, true)), 120);
}

#[test]
fn reserve_follows_the_local_work() {
    let mut estimate = LocalWorkEstimate::default();
    assert_eq!(estimate.reserve(1_000), 250);
    (0..100).for_each(|_| estimate.record(10_000));
    assert!((10_000..10_100).contains(&estimate.reserve(1_000_000)));
    assert_eq!(estimate.reserve(500), 375);
    (0..100).for_each(|_| estimate.record(40_000));
    assert!((40_000..41_000).contains(&estimate.reserve(1_000_000)));
}

#[test]
fn samples_from_a_stall_are_unlearned() {
    let mut estimate = LocalWorkEstimate::default();
    (0..20).for_each(|_| estimate.record(4_000));
    // Requests in flight during a stall of the process appear to have taken seconds.
    (0..10).for_each(|_| estimate.record(5_000_000));
    // As long as calls get some time, requests end and provide new samples.
    let mut rounds = 0;
    while estimate.reserve(1_000_000) > 100_000 {
        assert!(estimate.reserve(1_000_000) <= 750_000 && rounds < 200, "{estimate:?}");
        estimate.record(4_000);
        rounds += 1;
    }
}

proptest! {
    /// Runs through all stages, each of which spends a random share of its time. No stage may get more than
    /// the remaining time or its maximum, and optional stages must leave the minimum times of later required
    /// stages.
    #[test]
    fn stage_times_never_exceed_what_is_left(
        remaining in 0u64..10_000_000,
        stages in prop::collection::vec(
            (0.01f64..100.0, 0u64..1_000_000, 0u64..5_000_000, any::<bool>(), 0.0f64..=1.0), 1..8),
    ) {
        let claims: Vec<StageClaim> =
            stages.iter().map(|&(weight, min, range, required, _)| claim(weight, min, min + range, required)).collect();
        let mut remaining = remaining;
        for (index, stage) in stages.iter().enumerate() {
            let Some(time) = first_stage_time(remaining, &claims[index..]) else { continue };
            prop_assert!(time <= remaining);
            prop_assert!(time >= claims[index].min_time && time <= claims[index].max_time);
            let required: u64 = claims[index + 1..].iter().filter(|c| c.required).map(|c| c.min_time).sum();
            if !claims[index].required && remaining >= required {
                prop_assert!(remaining - time >= required);
            }
            remaining -= (time as f64 * stage.4) as u64;
        }
    }
}

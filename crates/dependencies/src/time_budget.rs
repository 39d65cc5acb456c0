//! How the time that is left is shared among stages, and what is set aside for the run.

use umberloom::interface::Micros;

/// What a stage asks of the time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageClaim {
    /// Its weight.
    pub weight: f64,
    /// With less it is not begun.
    pub min_time: Micros,
    /// More it never gets.
    pub max_time: Micros,
    /// The request fails without it.
    pub required: bool,
}

/// The time for the first of these stages, with `left` for all of them. `None`: there is no time for it.
///
/// It gets its share by weight of what is left now, so what earlier stages left unspent has passed to it, and
/// what the floors of later stages ask for stays theirs. Where not all floors fit, a stage without which the
/// request does not fail gives way to those without which it does.
pub fn first_stage_time(left: Micros, claims: &[StageClaim]) -> Option<Micros> {
    let (first, later) = claims.split_first()?;
    let weight: f64 = claims.iter().map(|c| c.weight).sum();
    let by_weight = (left as f64 * (first.weight / weight)) as Micros;
    let floors =
        |which: fn(&&StageClaim) -> bool| later.iter().filter(which).map(|c| c.min_time).sum::<Micros>();
    let (all, needed) = (floors(|_| true), floors(|c| c.required));
    // Its own floor comes before those of later stages only as far as it is needed as much as they are.
    let before = if first.required { 0 } else { needed };
    let room = left.saturating_sub(all).max(first.min_time.min(left.saturating_sub(before)));
    let time = by_weight.clamp(first.min_time, first.max_time.max(first.min_time)).min(room);
    (time >= first.min_time && time > 0).then_some(time)
}

/// A needed call may take so many times its stage's share.
const MAX_EXTENSION_FACTOR: Micros = 2;

/// How long the needed calls of a stage may go on that has the share `time` of what is `left`: without them the request
/// fails, and what was saved for later stages with it. So they may have as much again, but for what later needed stages
/// are to have (`kept`). A ceiling holds all the same.
pub fn extended_time(left: Micros, time: Micros, kept: Micros, claim: &StageClaim) -> Micros {
    (time * MAX_EXTENSION_FACTOR).min(left.saturating_sub(kept)).min(claim.max_time).max(time)
}

/// What runs still need after their calls, learned from runs that ended: mean and mean deviation, as retransmission
/// timers have them (RFC 6298, section 2).
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalWorkEstimate {
    mean: Option<f64>,
    deviation: f64,
}

/// Weights of the newest sample in mean and deviation, and how many deviations are set aside (RFC 6298).
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
const DEVIATIONS: f64 = 2.0;
/// Part of the time that is left which is set aside while nothing is known.
const DEFAULT_RESERVE_SHARE: f64 = 0.25;
/// Part of it which is left to the calls whatever was learned. Runs are learned from only when their calls were made:
/// with nothing left to them, what a standstill had taught would never be unlearned
/// (docs/incidents/rest-after-standstill.md).
const MIN_CALLS_SHARE: f64 = 0.25;

impl LocalWorkEstimate {
    /// A run went on for so long after its calls.
    pub fn record(&mut self, took: Micros) {
        let took = took as f64;
        match self.mean {
            None => (self.mean, self.deviation) = (Some(took), took / 2.0),
            Some(mean) => {
                self.deviation += DEVIATION_GAIN * ((took - mean).abs() - self.deviation);
                self.mean = Some(mean + MEAN_GAIN * (took - mean));
            }
        }
    }

    /// What to set aside of the time that is left, never so much that no call could be made.
    pub fn reserve(&self, left: Micros) -> Micros {
        let known = self.mean.map(|mean| mean + DEVIATIONS * self.deviation);
        let most = left as f64 * (1.0 - MIN_CALLS_SHARE);
        known.unwrap_or(left as f64 * DEFAULT_RESERVE_SHARE).min(most) as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn claim(share: f64, least: Micros, most: Micros, needed: bool) -> StageClaim {
        StageClaim { weight: share, min_time: least, max_time: most, required: needed }
    }

    #[test]
    fn what_one_leaves_passes_to_those_after_it() {
        let claims = [claim(1.0, 0, 1_000, true), claim(1.0, 0, 1_000, true), claim(2.0, 0, 1_000, true)];
        assert_eq!(first_stage_time(400, &claims), Some(100));
        // It took 20 only.
        assert_eq!(first_stage_time(380, &claims[1..]), Some(126));
        assert_eq!(first_stage_time(254, &claims[2..]), Some(254));
    }

    #[test]
    fn floors_and_ceilings_hold() {
        assert_eq!(
            first_stage_time(1_000, &[claim(1.0, 0, 100, true), claim(1.0, 0, 1_000, true)]),
            Some(100)
        );
        assert_eq!(
            first_stage_time(1_000, &[claim(1.0, 700, 900, true), claim(1.0, 0, 1_000, true)]),
            Some(700)
        );
        assert_eq!(
            first_stage_time(1_000, &[claim(9.0, 0, 1_000, true), claim(1.0, 400, 1_000, true)]),
            Some(600)
        );
        assert_eq!(first_stage_time(99, &[claim(1.0, 100, 1_000, true)]), None);
        assert_eq!(first_stage_time(0, &[claim(1.0, 0, 1_000, true)]), None);
    }

    #[test]
    fn what_may_be_missing_gives_way_to_what_may_not() {
        let later = claim(1.0, 80, 1_000, true);
        assert_eq!(first_stage_time(100, &[claim(1.0, 50, 1_000, false), later]), None);
        assert_eq!(first_stage_time(100, &[claim(1.0, 50, 1_000, true), later]), Some(50));
        assert_eq!(
            first_stage_time(100, &[claim(1.0, 50, 1_000, false), claim(1.0, 80, 1_000, false)]),
            Some(50)
        );
    }

    #[test]
    fn what_is_needed_may_go_on_for_as_long_again() {
        let plain = claim(1.0, 0, 1_000, true);
        assert_eq!(extended_time(300, 100, 0, &plain), 200);
        assert_eq!(extended_time(300, 100, 150, &plain), 150, "what later stages need stays theirs");
        assert_eq!(extended_time(300, 100, 280, &plain), 100, "but its own share is its own");
        assert_eq!(extended_time(300, 100, 0, &claim(1.0, 0, 120, true)), 120);
    }

    #[test]
    fn the_reserve_follows_what_runs_need() {
        let mut rest = LocalWorkEstimate::default();
        assert_eq!(rest.reserve(1_000), 250);
        (0..100).for_each(|_| rest.record(10_000));
        assert!((10_000..10_100).contains(&rest.reserve(1_000_000)));
        assert_eq!(rest.reserve(500), 375);
        (0..100).for_each(|_| rest.record(40_000));
        assert!((40_000..41_000).contains(&rest.reserve(1_000_000)));
    }

    #[test]
    fn what_a_standstill_taught_is_unlearned() {
        let mut rest = LocalWorkEstimate::default();
        (0..20).for_each(|_| rest.record(4_000));
        // Runs that were under way while the process stood still seem to have taken seconds.
        (0..10).for_each(|_| rest.record(5_000_000));
        // As long as calls get some time, runs end and teach again.
        let mut rounds = 0;
        while rest.reserve(1_000_000) > 100_000 {
            assert!(rest.reserve(1_000_000) <= 750_000 && rounds < 200, "{rest:?}");
            rest.record(4_000);
            rounds += 1;
        }
    }

    proptest! {
        /// Every stage in turn, whatever each spends: none gets more than is left or than its ceiling, and the
        /// floors of needed stages are kept for them by those that may be missing.
        #[test]
        fn shares_never_exceed_what_is_left(
            left in 0u64..10_000_000,
            stages in prop::collection::vec(
                (0.01f64..100.0, 0u64..1_000_000, 0u64..5_000_000, any::<bool>(), 0.0f64..=1.0), 1..8),
        ) {
            let claims: Vec<StageClaim> =
                stages.iter().map(|&(w, least, more, needed, _)| claim(w, least, least + more, needed)).collect();
            let mut left = left;
            for (place, stage) in stages.iter().enumerate() {
                let Some(time) = first_stage_time(left, &claims[place..]) else { continue };
                prop_assert!(time <= left && time >= claims[place].min_time && time <= claims[place].max_time);
                let needed: u64 = claims[place + 1..].iter().filter(|c| c.required).map(|c| c.min_time).sum();
                if !claims[place].required && left >= needed {
                    prop_assert!(left - time >= needed);
                }
                left -= (time as f64 * stage.4) as u64;
            }
        }
    }
}

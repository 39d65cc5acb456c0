//! How the time that is left is shared among stages, and what is reserved for a request's own work after its calls.

use umberloom::interface::Micros;

/// Required calls may take this many times the time of their stage.
const MAX_EXTENSION_FACTOR: Micros = 2;
/// Weight of the newest sample in the mean (RFC 6298).
const MEAN_GAIN: f64 = 0.125;
/// Weight of the newest sample in the deviation (RFC 6298).
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations that are reserved on top of the mean.
const DEVIATIONS: f64 = 2.0;
/// Part of the time that is left which is reserved while nothing is known.
const DEFAULT_RESERVE_SHARE: f64 = 0.25;
/// Part of it which is left to the calls whatever was learned. Samples come only from requests that made their calls:
/// with no time for these, what a stall of the process had taught would never be unlearned
/// (docs/incidents/rest-after-standstill.md).
const MIN_CALLS_SHARE: f64 = 0.25;

/// What a stage asks of the time that is left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageClaim {
    /// Its weight among the stages that are left.
    pub weight: f64,
    /// With less time than this, in microseconds, it is not begun.
    pub min_time: Micros,
    /// More time than this, in microseconds, it never gets.
    pub max_time: Micros,
    /// The request fails without it.
    pub required: bool,
}

/// The time for the first of these stages, with `left` for all of them; `None` if that is too little.
///
/// It gets its share by weight of what is left now, so that what earlier stages left unspent has passed to it. The
/// minimum times of later stages stay theirs. Where not all minimum times fit, an optional stage gives way to the
/// required ones.
pub fn first_stage_time(left: Micros, claims: &[StageClaim]) -> Option<Micros> {
    let (first, later) = claims.split_first()?;
    let total_weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    let by_weight = (left as f64 * (first.weight / total_weight)) as Micros;
    let later_min: Micros = later.iter().map(|claim| claim.min_time).sum();
    let later_required_min: Micros =
        later.iter().filter(|claim| claim.required).map(|claim| claim.min_time).sum();
    // Its own minimum comes before those of later stages only as far as it is required as much as they are.
    let kept_for_required = if first.required { 0 } else { later_required_min };
    let own_min = first.min_time.min(left.saturating_sub(kept_for_required));
    let available = left.saturating_sub(later_min).max(own_min);
    let time = by_weight.clamp(first.min_time, first.max_time.max(first.min_time)).min(available);
    (time >= first.min_time && time > 0).then_some(time)
}

/// How long the required calls of a stage may go on that has `time` of what is `left`. Without them the request fails,
/// and what was saved for later stages is lost with it: so they may have as much again, but for what later required
/// stages are to have (`reserved`), and up to the maximum of the claim.
pub fn extended_time(left: Micros, time: Micros, reserved: Micros, claim: &StageClaim) -> Micros {
    let extended = time * MAX_EXTENSION_FACTOR;
    extended.min(left.saturating_sub(reserved)).min(claim.max_time).max(time)
}

/// How long requests go on after their calls, learned from requests that ended: mean and mean deviation, as in the
/// retransmission timer of TCP (RFC 6298, section 2).
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalWorkEstimate {
    mean: Option<f64>,
    deviation: f64,
}

impl LocalWorkEstimate {
    /// A request went on for `took` microseconds after its calls.
    pub fn record(&mut self, took: Micros) {
        let took = took as f64;
        match self.mean {
            None => {
                self.mean = Some(took);
                self.deviation = took / 2.0;
            }
            Some(mean) => {
                self.deviation += DEVIATION_GAIN * ((took - mean).abs() - self.deviation);
                self.mean = Some(mean + MEAN_GAIN * (took - mean));
            }
        }
    }

    /// What to reserve of the time that is left, never so much that no call could be made.
    pub fn reserve(&self, left: Micros) -> Micros {
        let left = left as f64;
        let estimate = self.mean.map(|mean| mean + DEVIATIONS * self.deviation);
        let max_reserve = left * (1.0 - MIN_CALLS_SHARE);
        estimate.unwrap_or(left * DEFAULT_RESERVE_SHARE).min(max_reserve) as Micros
    }
}

#[cfg(test)]
mod tests;

//! Divides the remaining time among the stages of a plan, and reserves time for a request's own work after
//! its calls.

use umberloom::interface::Micros;

/// Maximum time for required calls, as a multiple of the time of their stage.
const MAX_EXTENSION_FACTOR: Micros = 2;
/// Weight of the newest sample in the mean (RFC 6298).
const MEAN_GAIN: f64 = 0.125;
/// Weight of the newest sample in the deviation (RFC 6298).
const DEVIATION_GAIN: f64 = 0.25;
/// Number of mean deviations that are reserved in addition to the mean.
const RESERVED_DEVIATIONS: f64 = 2.0;
/// Share of the remaining time that is reserved while there are no samples.
const DEFAULT_RESERVE_SHARE: f64 = 0.25;
/// Minimum share of the remaining time that is left for the calls, whatever the estimate. Samples come only
/// from requests that made their calls: without time for calls, an estimate inflated by a stall of the
/// process would never be corrected (docs/incidents/rest-after-standstill.md).
const MIN_CALLS_SHARE: f64 = 0.25;

/// Claim of a stage on the remaining time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageClaim {
    /// Weight of the stage among the remaining stages.
    pub weight: f64,
    /// Minimum time for the stage, in microseconds; it is not started with less.
    pub min_time: Micros,
    /// Maximum time for the stage, in microseconds.
    pub max_time: Micros,
    /// Whether the request fails without the stage.
    pub required: bool,
}

/// Returns the time for the first of these stages, with `remaining` microseconds for all of them; `None` if
/// that is too little.
///
/// The stage gets its share by weight of the time that remains now, so that time which earlier stages did not
/// use passes to later ones. The minimum times of later stages are reserved. If not all minimum times fit, an
/// optional stage is skipped in favor of the required ones.
pub fn first_stage_time(remaining: Micros, claims: &[StageClaim]) -> Option<Micros> {
    let (first, later) = claims.split_first()?;
    let total_weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    let by_weight = (remaining as f64 * (first.weight / total_weight)) as Micros;
    let later_min: Micros = later.iter().map(|claim| claim.min_time).sum();
    let later_required_min: Micros =
        later.iter().filter(|claim| claim.required).map(|claim| claim.min_time).sum();
    // A required stage takes precedence over the minimum times of all later stages, an optional one only over
    // those of later optional stages.
    let reserved_for_required = if first.required { 0 } else { later_required_min };
    let own_min = first.min_time.min(remaining.saturating_sub(reserved_for_required));
    let available = remaining.saturating_sub(later_min).max(own_min);
    let time = by_weight.clamp(first.min_time, first.max_time.max(first.min_time)).min(available);
    (time >= first.min_time && time > 0).then_some(time)
}

/// Returns how long the required calls of a stage may take in all, in microseconds, if the stage has `time`
/// of the `remaining` microseconds. The request fails without these calls, and the time saved for later
/// stages is then of no use. So they may take up to twice the time of the stage, but not the time `reserved`
/// for later required stages, and not more than the maximum of the claim; in any case they get `time`.
pub fn extended_time(remaining: Micros, time: Micros, reserved: Micros, claim: &StageClaim) -> Micros {
    let extended = time * MAX_EXTENSION_FACTOR;
    extended.min(remaining.saturating_sub(reserved)).min(claim.max_time).max(time)
}

/// Estimate of the time that requests take after their calls, learned from requests that ended: mean and mean
/// deviation, as in the retransmission timer of TCP (RFC 6298, section 2).
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalWorkEstimate {
    mean: Option<f64>,
    deviation: f64,
}

impl LocalWorkEstimate {
    /// Records that a request took `took` microseconds after its calls.
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

    /// Returns how many of the `remaining` microseconds to reserve. A minimum share is always left for the
    /// calls.
    pub fn reserve(&self, remaining: Micros) -> Micros {
        let remaining = remaining as f64;
        let estimate = self.mean.map(|mean| mean + RESERVED_DEVIATIONS * self.deviation);
        let max_reserve = remaining * (1.0 - MIN_CALLS_SHARE);
        estimate.unwrap_or(remaining * DEFAULT_RESERVE_SHARE).min(max_reserve) as Micros
    }
}

#[cfg(test)]
mod tests;

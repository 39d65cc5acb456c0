//! Ejection of outlier endpoints, and their readmission.

use rand::Rng;
use umberloom::interface::Micros;

use super::endpoint::Endpoint;
use super::{EndpointState, LoadBalancer};
use crate::latency::PeakLatency;
use crate::probe_pacing;

/// Maximum ejection time as a multiple of the configured time. Each further ejection in a row doubles the
/// time up to this.
const MAX_EJECTION_FACTOR: u32 = 4;
/// Number of calls that an endpoint must have answered before its latency is compared with that of others.
const MIN_ANSWERS: u32 = 10;

/// Why an endpoint was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Too many calls failed in a row.
    ConsecutiveFailures,
    /// The latency exceeded the median of the other endpoints by the configured factor.
    HighLatency,
}

/// An ejection of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ejection {
    /// Why the endpoint was ejected.
    pub reason: EjectionReason,
    /// Number of ejections in a row, this one included.
    pub consecutive: u32,
}

impl LoadBalancer {
    /// Ejects an active endpoint that fails or has a high latency, unless too many endpoints are ejected
    /// already.
    pub(super) fn eject_if_outlier(&mut self, now: Micros, index: usize, random: &mut impl Rng) {
        let EndpointState::Active { full_weight_at } = self.endpoints[index].state else { return };
        match self.outlier_reason(index) {
            Some(reason) if self.may_eject() => self.eject(now, index, reason, random),
            Some(_) => self.endpoints[index].ejection_withheld = true,
            None => {
                let endpoint = &mut self.endpoints[index];
                endpoint.ejection_withheld = false;
                // Earlier ejections are forgotten once the endpoint has been healthy at its full weight for
                // as long as its recovery ramp took.
                if endpoint.last_ejection.is_some() && now > full_weight_at + self.config.recovery_ramp {
                    endpoint.last_ejection = None;
                }
            }
        }
    }

    /// Returns why an endpoint is to be ejected; `None` if it is not an outlier.
    fn outlier_reason(&self, index: usize) -> Option<EjectionReason> {
        let endpoint = &self.endpoints[index];
        if endpoint.consecutive_failures >= self.config.consecutive_failures {
            return Some(EjectionReason::ConsecutiveFailures);
        }
        let has_latency = |e: &Endpoint| e.answered >= MIN_ANSWERS;
        let others = self.endpoints.iter().enumerate().filter(|(other, _)| *other != index);
        let is_comparable =
            has_latency(endpoint) && others.into_iter().any(|(_, e)| !e.retired && has_latency(e));
        let allowed = self.config.latency_factor * self.median_latency(Some(index));
        let is_slow = is_comparable && endpoint.answer_latency.value() > allowed;
        is_slow.then_some(EjectionReason::HighLatency)
    }

    fn may_eject(&self) -> bool {
        let max_ejected = self.config.max_ejected_share * self.configured_count() as f64;
        (self.ejected_count() + 1) as f64 <= max_ejected
    }

    /// Returns the number of configured endpoints that are not active.
    pub(super) fn ejected_count(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| !endpoint.retired && !endpoint.is_active()).count()
    }

    pub(super) fn eject(&mut self, now: Micros, index: usize, reason: EjectionReason, random: &mut impl Rng) {
        let endpoint = &mut self.endpoints[index];
        let earlier_ejections = endpoint.last_ejection.map_or(0, |ejection| ejection.consecutive);
        let factor = (1 << earlier_ejections.min(16)).min(MAX_EJECTION_FACTOR);
        let ejection_time = self.config.base_ejection_time * Micros::from(factor);
        endpoint.last_ejection = Some(Ejection { reason, consecutive: earlier_ejections + 1 });
        // Servers that saw the endpoint fail at the same time must not all probe it at the same time.
        let until = now + probe_pacing::spread_delay(self.config.servers, ejection_time, random);
        endpoint.state = EndpointState::Ejected { until };
        endpoint.ejection_withheld = false;
    }

    /// Readmits an endpoint after a successful probe and resets its failure count and latencies.
    pub(super) fn readmit(&mut self, now: Micros, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.state = EndpointState::Active { full_weight_at: now + self.config.recovery_ramp };
        endpoint.consecutive_failures = 0;
        endpoint.answered = 0;
        endpoint.answer_latency = PeakLatency::default();
        endpoint.penalized_latency = PeakLatency::default();
    }

    /// Returns the earliest time at which an ejected endpoint may be probed.
    pub fn next_probe_at(&self) -> Option<Micros> {
        let probe_at = |endpoint: &Endpoint| match endpoint.state {
            EndpointState::Ejected { until } if !endpoint.retired => Some(until),
            _ => None,
        };
        self.endpoints.iter().filter_map(probe_at).min()
    }
}

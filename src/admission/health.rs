//! The health of this server, and the readiness and load hint that it publishes.

use super::*;

/// Share of failed runs above which a healthy server becomes unhealthy.
const UNHEALTHY_ERROR_SHARE: f64 = 0.35;
/// Share of failed runs above which an unhealthy server stays unhealthy.
const HEALTHY_ERROR_SHARE: f64 = 0.15;
/// Weight, from 0 to 1, of the newest run in the share of failed runs.
const ERROR_EWMA_WEIGHT: f64 = 0.2;

#[derive(Default)]
pub struct HealthMonitor {
    /// Mean read delay of arrivals, in microseconds.
    pub read_delay: f64,
    /// Share of retries among arrivals.
    pub retry_share: f64,
    /// Mean age, in microseconds, at which requests rejected here are expected to be retried.
    pub retry_age: f64,
    /// Share of failed runs.
    error_share: f64,
    pub is_unhealthy: bool,
    /// The readiness published last; none before the first time.
    published_ready: Option<bool>,
    /// Whether a request has arrived in this control interval.
    pub saw_arrival: bool,
    /// While unhealthy: when the next request may start.
    probe_at: Micros,
}

impl HealthMonitor {
    /// Learns from a run that ended. A server that fails quickly attracts more requests and fails them too,
    /// so while it is unhealthy it only runs single requests as probes, until enough of them succeed.
    pub fn record_run(&mut self, now: Micros, failed: bool) {
        self.error_share += ERROR_EWMA_WEIGHT * (f64::from(failed) - self.error_share);
        let threshold = if self.is_unhealthy { HEALTHY_ERROR_SHARE } else { UNHEALTHY_ERROR_SHARE };
        if self.is_unhealthy != (self.error_share > threshold) {
            self.is_unhealthy = !self.is_unhealthy;
            self.probe_at = now;
        }
    }

    /// Lets old evidence decay in a control interval without arrivals, so that no server stays unhealthy for
    /// good.
    pub fn decay(&mut self) {
        if !std::mem::take(&mut self.saw_arrival) {
            self.error_share *= DECAY_FACTOR;
            self.is_unhealthy &= self.error_share > HEALTHY_ERROR_SHARE;
            self.read_delay *= DECAY_FACTOR;
        }
    }

    /// Whether an unhealthy server may start a request now: one in each probe interval, with at most one
    /// other running. If it may, the next probe interval begins.
    pub fn may_probe(&mut self, now: Micros, running: usize) -> bool {
        let may_probe = now >= self.probe_at && running < 2;
        self.probe_at = if may_probe { now + PROBE_INTERVAL } else { self.probe_at };
        may_probe
    }

    /// Publishes the readiness and the load hint when the readiness changes. A long read delay does not
    /// change it: if many servers became not ready at once they would overload the others.
    pub fn publish(&mut self, draining: bool, core_demand: f64, settings: &Settings, out: &mut Vec<Action>) {
        let is_ready = !self.is_unhealthy && !draining;
        // Until readiness is set, health checks may do real work, which must not take cores that are in
        // demand: under excess demand it is published even without a change.
        let is_first_under_overload =
            self.published_ready.is_none() && core_demand > f64::from(settings.cores);
        if self.published_ready.unwrap_or(true) == is_ready && !is_first_under_overload {
            return;
        }
        self.published_ready = Some(is_ready);
        out.push(Action::SetReady(is_ready));
        let hint = match settings.load_hint {
            LoadHintKind::None => return,
            LoadHintKind::MinRank => f64::from(!is_ready),
            LoadHintKind::Weight => f64::from(is_ready),
            LoadHintKind::Tokens if is_ready => f64::from(settings.cores) * settings.overload_per_core,
            LoadHintKind::Tokens => 1.0,
        };
        out.push(Action::SetLoadHint(hint));
    }
}

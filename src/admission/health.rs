//! What this server knows of its own health, and what it publishes of it.

use super::*;

const UNHEALTHY_ERRORS: f64 = 0.35; // share of failed runs above which a server is unhealthy ...
const HEALTHY_ERRORS: f64 = 0.15; // ... until it is under this
const ERROR_WEIGHT: f64 = 0.2; // of the newest run

#[derive(Default)]
pub struct HealthMonitor {
    pub read_delay: f64,  // mean, in microseconds
    pub retry_share: f64, // of arrivals
    pub retry_age: f64,   // mean, in microseconds, at which rejected requests come again
    error_share: f64,     // of runs
    pub is_unhealthy: bool,
    published_ready: Option<bool>,
    pub saw_arrival: bool,
    probe_at: Micros,
}

impl HealthMonitor {
    /// A server that fails quickly draws work and spoils it: it runs single requests until they do well.
    pub fn record_run(&mut self, now: Micros, failed: bool) {
        self.error_share += ERROR_WEIGHT * (f64::from(failed) - self.error_share);
        let bound = if self.is_unhealthy { HEALTHY_ERRORS } else { UNHEALTHY_ERRORS };
        if self.is_unhealthy != (self.error_share > bound) {
            self.is_unhealthy = !self.is_unhealthy;
            self.probe_at = now;
        }
    }

    /// Without new evidence the old fades: no server stays unhealthy for good.
    pub fn decay(&mut self) {
        if !std::mem::take(&mut self.saw_arrival) {
            self.error_share *= DECAY;
            self.is_unhealthy &= self.error_share > HEALTHY_ERRORS;
            self.read_delay *= DECAY;
        }
    }

    pub fn may_probe(&mut self, now: Micros, running: usize) -> bool {
        let may_probe = now >= self.probe_at && running < 2;
        self.probe_at = if may_probe { now + PROBE_INTERVAL } else { self.probe_at };
        may_probe
    }

    /// A long read delay does not matter: many servers that are not ready at once would overload the rest.
    pub fn publish(&mut self, draining: bool, demand: f64, settings: &Settings, out: &mut Vec<Action>) {
        let is_ready = !self.is_unhealthy && !draining;
        // Until it is set, health checks may do real work, which must not take cores that are in demand.
        let is_first = self.published_ready.is_none() && demand > f64::from(settings.cores);
        if self.published_ready.unwrap_or(true) == is_ready && !is_first {
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

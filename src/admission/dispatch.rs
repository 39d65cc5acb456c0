//! Dispatch: selects the request of the wait queue that runs next.

use super::*;

/// Number of requests at the head of the wait queue that one search examines (SWDS).
const LOOK_AHEAD: usize = 32;
/// Number of requests at downstream calls, for each core, from which on only classes without such calls
/// start.
const MAX_CALLS_PER_CORE: usize = 4;

impl AdmissionController {
    /// The priority level: how many priority weights of classes the request's own weight reaches. That weight
    /// is reduced for late requests and for tenants over their quota.
    pub(super) fn priority_level(&self, now: Micros, request: &Request) -> usize {
        let class = &self.settings.classes[request.class];
        let late_factor = if request.is_late { class.late_weight_share } else { 1.0 };
        let is_over_quota = self.tenants.is_over_quota(now, request.tenant, &self.settings);
        let quota_factor = if is_over_quota { self.settings.over_quota_weight_share } else { 1.0 };
        // The last factor makes up for rounding where the product equals a class's weight.
        let value = request.priority_weight * late_factor * quota_factor * 1.000_001;
        self.priority_weights.iter().filter(|&&weight| weight <= value).count()
    }

    /// The oldest request of the highest priority level in the look-ahead window that may start.
    fn select(&self, now: Micros, may_start: impl Fn(&Request) -> bool) -> Option<u64> {
        let requests = &self.requests.by_sequence;
        let window = self.requests.wait_queue.iter().take(LOOK_AHEAD);
        let startable = window.filter(|sequence| may_start(&requests[sequence]));
        // `max_by_key` takes the last of equal levels, which in reverse order is the oldest request.
        startable.rev().max_by_key(|sequence| self.priority_level(now, &requests[sequence])).copied()
    }

    /// Admits queued requests while there are free slots and enough memory.
    pub(super) fn dispatch(&mut self, now: Micros, out: &mut Vec<Action>) {
        let survivable = ConcurrencyLimit::survivable(&self.settings, now - self.started_at);
        while !self.requests.wait_queue.is_empty() {
            let running = self.requests.count(Stage::Running);
            let at_calls = self.requests.count(Stage::AwaitingCall) + self.requests.count(Stage::Calling);
            // All calls may end at once, so requests at calls count as running.
            let is_above_survivable = (running + at_calls) as f64 + 1.0 > (survivable * SAFE_SHARE).max(1.0);
            let is_full = running >= self.concurrency.slots || is_above_survivable;
            if is_full || (self.health.is_unhealthy && !self.health.may_probe(now, running)) {
                return;
            }
            let free_kb = self.settings.memory_kb * SAFE_SHARE - self.memory_kb();
            let may_call = at_calls < self.settings.cores as usize * MAX_CALLS_PER_CORE;
            let may_start = |request: &Request| {
                let is_allowed = may_call || !self.settings.classes[request.class].calls_downstream;
                is_allowed && request.queued_kb * (self.settings.run_memory_factor - 1.0) <= free_kb
            };
            let Some(sequence) = self.select(now, may_start) else { return };
            self.requests.wait_queue.retain(|&queued| queued != sequence);
            let Some(request) = self.requests.by_sequence.get_mut(&sequence) else { return };
            request.stage = Stage::Running;
            request.started_at = now;
            out.push(Action::Admit(request.id.clone()));
            self.tenants.record_start(now, request.tenant);
        }
    }
}

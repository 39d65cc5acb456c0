//! Dispatch: which request of the wait queue runs next.

use super::*;

const LOOK_AHEAD: usize = 32; // places of the wait queue that one search looks at (SWDS)
const CALLS_PER_CORE: usize = 4; // with more only classes without downstream calls start

impl AdmissionController {
    /// How many priority weights of classes a request's own value reaches. Over quota or late it is lower.
    pub(super) fn priority_level(&self, now: Micros, request: &Request) -> usize {
        let class = &self.settings.classes[request.class];
        let late_factor = if request.is_late { class.late_weight_share } else { 1.0 };
        let is_over_quota = self.tenants.is_over_quota(now, request.tenant, &self.settings);
        let quota_factor = if is_over_quota { self.settings.over_quota_weight_share } else { 1.0 };
        // Against rounding, where the product equals a weight.
        let value = request.priority_weight * late_factor * quota_factor * 1.000_001;
        self.priority_weights.iter().filter(|&&weight| weight <= value).count()
    }

    /// The oldest request of the highest level among the first places of the wait queue.
    fn select(&self, now: Micros, may_start: impl Fn(&Request) -> bool) -> Option<u64> {
        let requests = &self.requests.by_sequence;
        let window = self.requests.wait_queue.iter().take(LOOK_AHEAD);
        let startable = window.filter(|sequence| may_start(&requests[sequence]));
        // Of equal levels `max_by_key` takes the last: searched from the far end, that is the oldest.
        startable.rev().max_by_key(|sequence| self.priority_level(now, &requests[sequence])).copied()
    }

    pub(super) fn dispatch(&mut self, now: Micros, out: &mut Vec<Action>) {
        let survivable = ConcurrencyLimit::survivable(&self.settings, now - self.started_at);
        while !self.requests.wait_queue.is_empty() {
            let running = self.requests.count(Stage::Running);
            let at_calls = self.requests.count(Stage::AwaitingCall) + self.requests.count(Stage::Calling);
            // Calls may all come back at once, so requests at calls count as running.
            let is_overfull = (running + at_calls) as f64 + 1.0 > (survivable * SAFE_SHARE).max(1.0);
            let is_full = running >= self.concurrency.slots || is_overfull;
            if is_full || (self.health.is_unhealthy && !self.health.may_probe(now, running)) {
                return;
            }
            let free_kb = self.settings.memory_kb * SAFE_SHARE - self.memory_kb();
            let may_call = at_calls < self.settings.cores as usize * CALLS_PER_CORE;
            let may_start = |request: &Request| {
                let is_callable = may_call || !self.settings.classes[request.class].calls_downstream;
                is_callable && request.queued_kb * (self.settings.run_memory_factor - 1.0) <= free_kb
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

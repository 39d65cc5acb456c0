//! Load shedding: which requests are rejected, failed or released, and when their callers may retry.

use super::*;

const MAX_RETRY_SHARE: f64 = 0.25; // of arrivals: above it rejections are terminal
const MAX_NEW_CALLER_SHARE: f64 = 0.5; // of arrivals: above it another server costs a connection

impl AdmissionController {
    /// Answers what is due or earns nothing any more. Unsafe runs go on: a failure would invite a second one.
    pub(super) fn abandon_expired(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (sweep_interval, classes) = (self.sweep_interval(), &self.settings.classes);
        let waiting = self.requests.by_sequence.iter_mut().filter(|(_, request)| !request.abandoned);
        let expired = waiting.filter_map(|(&sequence, request)| {
            let class = &classes[request.class];
            let is_past_objective = now >= request.objective_end;
            request.is_late |= class.late_weight_share > 0.0 && is_past_objective;
            let is_unsafe = class.idempotency == Idempotency::NotIdempotent;
            let may_go_on = request.is_late || (is_unsafe && request.stage == Stage::Running);
            (now + sweep_interval > request.deadline || (is_past_objective && !may_go_on)).then_some(sequence)
        });
        let expired: Vec<u64> = expired.collect();
        expired.into_iter().for_each(|sequence| self.abandon(now, sequence, out));
    }

    /// The final answer of a request that is not served.
    pub(super) fn abandon(&mut self, now: Micros, sequence: u64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.by_sequence.get(&sequence) else { return };
        // An idempotent run may be rejected: the caller may retry, and its work here goes on.
        let is_safe = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        if request.stage == Stage::Queued || (is_safe && request.stage == Stage::Running) {
            let (retry_after, terminal) = self.rejection(now, request);
            let retry_age = (now.saturating_sub(request.received_at) + retry_after) as f64;
            self.health.retry_age = ewma(self.health.retry_age, retry_age);
            out.push(Action::Reject { id: request.id.clone(), retry_after, terminal });
        } else {
            out.push(Action::Fail(request.id.clone()));
        }
        // It took at least so long: a server grown slow must notice by what it never finishes.
        let run_time = (now - request.started_at) as f64;
        let is_slow = run_time > self.run_times.class_means.get(&request.class).copied().unwrap_or(0.0);
        if request.started_at >= self.stall_end && !request.has_not_run() && is_slow {
            self.run_times.record(request.class, request.cost, run_time);
        }
        self.release(sequence, out);
    }

    /// Retry-After, and whether the rejection is terminal.
    fn rejection(&self, now: Micros, request: &Request) -> (Micros, bool) {
        // Retry-After would keep the caller's other tenants away, and no other server is to take it either.
        if self.tenants.is_over_quota(now, request.tenant, &self.settings) {
            return (0, true);
        }
        let read_delay = self.health.read_delay;
        let expected = self.run_times.expected(request, &self.settings);
        let (now, objective_end) = (now as f64, request.objective_end as f64);
        // Elsewhere it would wait to be read as here, then run.
        let has_no_time = now + read_delay + expected * MIN_RUN_SHARE > objective_end;
        let mostly_retries = self.health.retry_share > MAX_RETRY_SHARE;
        let costs_connection = self.connections.new_caller_share > MAX_NEW_CALLER_SHARE;
        let spare = objective_end - now - read_delay - expected;
        (self.retry_after(spare), has_no_time || mostly_retries || costs_connection)
    }

    /// About as long as the wait queue takes to empty, or a part of the spare time: a retry must be in time.
    fn retry_after(&self, spare: f64) -> Micros {
        if self.health.is_unhealthy || self.drain_notified_at.is_some() {
            return self.settings.retry_after_max;
        }
        let expected = |seq| self.run_times.expected(&self.requests.by_sequence[seq], &self.settings);
        let work: f64 = self.requests.wait_queue.iter().map(expected).sum();
        let wait = (work / self.concurrency.slots as f64).max(self.health.read_delay);
        let wait = if spare > 0.0 { wait.min(spare * WAIT_SHARE) } else { wait };
        (wait as Micros).max(PROBE_INTERVAL).min(self.settings.retry_after_max)
    }

    /// Nobody waits for it any more: what has begun is preempted where that can be done.
    pub(super) fn release(&mut self, sequence: u64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.by_sequence.get_mut(&sequence) else { return };
        if request.has_not_run() {
            let key = self.requests.idempotency_keys.remove_entry(&request.id);
            out.extend(key.map(|(id, _)| Action::ReleaseKey(id)));
            return drop(self.requests.remove(sequence));
        }
        request.abandoned = true;
        let may_stop = request.stage == Stage::Running && self.settings.preemption != Preemption::Never;
        out.extend(may_stop.then(|| Action::Preempt(request.id.clone())));
    }

    /// Rejects early what, in the order of dispatch, can't be done in time: another server may still do it.
    pub(super) fn shed_load(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.health.is_unhealthy {
            let queued = self.requests.wait_queue.clone();
            return queued.into_iter().skip(1).for_each(|sequence| self.abandon(now, sequence, out));
        }
        let running = self.requests.count(Stage::Running);
        let free_slots = self.concurrency.slots.saturating_sub(running);
        let level_of = |sequence: &u64| self.priority_level(now, &self.requests.by_sequence[sequence]);
        let mut order = self.requests.wait_queue.clone();
        order.sort_by_cached_key(|sequence| (usize::MAX - level_of(sequence), *sequence));
        let mut work_ahead = 0.0;
        for (place, sequence) in order.into_iter().enumerate() {
            let request = &self.requests.by_sequence[&sequence];
            let run_time = self.run_times.expected(request, &self.settings);
            // What can start now waits for nothing, however long it runs.
            let starts_now = place < free_slots;
            let wait = if starts_now { 0.0 } else { (work_ahead + run_time) / self.concurrency.slots as f64 };
            let until = if request.is_late { request.deadline } else { request.objective_end };
            let time_left = until as f64 - now as f64;
            // Only a new request goes elsewhere, sooner at a lower level, and where that costs no connection.
            let costs_connection = self.connections.new_caller_share > MAX_NEW_CALLER_SHARE;
            let may_move = !starts_now && !request.was_considered && !costs_connection;
            let level = self.priority_level(now, request) as f64;
            let wait_share = 2.0 * WAIT_SHARE * level / self.priority_weights.len() as f64;
            let waits_too_long = may_move && wait > (time_left - run_time) * wait_share;
            if (wait + run_time > time_left || waits_too_long) && (place > 0 || running > 0) {
                self.abandon(now, sequence, out);
            } else if !starts_now {
                work_ahead += run_time;
            }
        }
        self.requests.by_sequence.values_mut().for_each(|request| request.was_considered = true);
    }

    pub(super) fn memory_kb(&self) -> f64 {
        let factor = |r: &Request| if r.has_not_run() { 1.0 } else { self.settings.run_memory_factor };
        let requests_kb: f64 = self.requests.by_sequence.values().map(|r| r.queued_kb * factor(r)).sum();
        requests_kb + self.requests.idempotency_keys.len() as f64 * self.settings.key_kb
    }

    /// Evicts the newest of the lowest level until the memory suffices, then the newest duplicates.
    pub(super) fn evict_for_memory(&mut self, now: Micros, out: &mut Vec<Action>) {
        while self.memory_kb() > self.settings.memory_kb * (1.0 + SAFE_SHARE) / 2.0 {
            let requests = &self.requests.by_sequence;
            let queued = self.requests.wait_queue.iter().rev();
            let lowest = queued.min_by_key(|sequence| self.priority_level(now, &requests[sequence]));
            let duplicate = || requests.iter().rev().find(|(_, r)| r.stage == Stage::AwaitingDuplicate);
            let Some(&sequence) = lowest.or_else(|| duplicate().map(|(seq, _)| seq)) else { return };
            self.abandon(now, sequence, out);
        }
    }
}

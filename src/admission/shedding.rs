//! Load shedding: which requests are rejected, failed or released, and when their callers may retry.

use super::*;

/// Share of retries among arrivals above which rejections are terminal.
const MAX_RETRY_SHARE: f64 = 0.25;
/// Share of arrivals from new callers above which an attempt at another server is expected to cost a
/// connection.
const MAX_NEW_CALLER_SHARE: f64 = 0.5;

impl AdmissionController {
    /// Answers requests that are due before the next timer or whose response would earn nothing any more.
    /// Runs that are not idempotent go on until their deadline: an earlier failure would invite a second run.
    pub(super) fn abandon_expired(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (sweep_interval, classes) = (self.sweep_interval(), &self.settings.classes);
        let unanswered = self.requests.by_sequence.iter_mut().filter(|(_, request)| !request.abandoned);
        let expired = unanswered.filter_map(|(&sequence, request)| {
            let class = &classes[request.class];
            let is_past_objective = now >= request.objective_end;
            request.is_late |= class.late_weight_share > 0.0 && is_past_objective;
            let is_non_idempotent = class.idempotency == Idempotency::NotIdempotent;
            let may_go_on = request.is_late || (is_non_idempotent && request.stage == Stage::Running);
            (now + sweep_interval > request.deadline || (is_past_objective && !may_go_on)).then_some(sequence)
        });
        let expired: Vec<u64> = expired.collect();
        expired.into_iter().for_each(|sequence| self.abandon(now, sequence, out));
    }

    /// Gives a request that is not served its final answer: a rejection if it may run elsewhere, else a
    /// failure.
    pub(super) fn abandon(&mut self, now: Micros, sequence: u64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.by_sequence.get(&sequence) else { return };
        // A running request that is idempotent may be rejected: a retry is safe even if the run here goes on.
        let may_be_rejected = matches!(request.stage, Stage::Queued | Stage::Running);
        let may_have_run = request.stage != Stage::Queued;
        if may_be_rejected && self.settings.classes[request.class].idempotency.may_reject(may_have_run) {
            let (retry_after, terminal) = self.rejection(now, request);
            let retry_age = (now.saturating_sub(request.received_at) + retry_after) as f64;
            self.health.retry_age = ewma(self.health.retry_age, retry_age);
            out.push(Action::Reject { id: request.id.clone(), retry_after, terminal });
        } else {
            out.push(Action::Fail(request.id.clone()));
        }
        // The run would have taken at least this long. A server that has become slow must learn this from
        // runs that it never finishes.
        let run_time = (now - request.started_at) as f64;
        let is_slow = run_time > self.run_times.class_means.get(&request.class).copied().unwrap_or(0.0);
        if request.started_at >= self.stall_end && !request.has_not_run() && is_slow {
            self.run_times.record(request.class, request.cost, run_time);
        }
        self.release(sequence, out);
    }

    /// Retry-After in microseconds, and whether the rejection is terminal.
    fn rejection(&self, now: Micros, request: &Request) -> (Micros, bool) {
        // A Retry-After would keep the caller's other tenants away, and no other server is to take the
        // request either.
        if self.tenants.is_over_quota(now, request.tenant, &self.settings) {
            return (0, true);
        }
        let read_delay = self.health.read_delay;
        let expected = self.run_times.expected(request, &self.settings);
        let (now, objective_end) = (now as f64, request.objective_end as f64);
        // At another server the request would have the same read delay as here before it runs.
        let has_no_time = now + read_delay + expected * MIN_RUN_SHARE > objective_end;
        let mostly_retries = self.health.retry_share > MAX_RETRY_SHARE;
        let costs_connection = self.connections.new_caller_share > MAX_NEW_CALLER_SHARE;
        let spare_time = objective_end - now - read_delay - expected;
        (self.retry_after(spare_time), has_no_time || mostly_retries || costs_connection)
    }

    /// The time in which the wait queue empties, but at most a share of the spare time, so that the retry is
    /// in time. An unhealthy or draining server states the longest time that callers honour.
    fn retry_after(&self, spare_time: f64) -> Micros {
        if self.health.is_unhealthy || self.drain_notified_at.is_some() {
            return self.settings.retry_after_max;
        }
        let expected =
            |sequence| self.run_times.expected(&self.requests.by_sequence[sequence], &self.settings);
        let work: f64 = self.requests.wait_queue.iter().map(expected).sum();
        let wait = (work / self.concurrency.slots as f64).max(self.health.read_delay);
        let wait = if spare_time > 0.0 { wait.min(spare_time * WAIT_SHARE) } else { wait };
        (wait as Micros).max(PROBE_INTERVAL).min(self.settings.retry_after_max)
    }

    /// Drops a request that nobody waits for any more. Work that has begun is preempted where that is
    /// possible.
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

    /// Rejects early the queued requests that, in the order of dispatch, can't be served in time: another
    /// server may still serve them.
    pub(super) fn shed_load(&mut self, now: Micros, out: &mut Vec<Action>) {
        // An unhealthy server keeps only the oldest queued request, for its next probe.
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
        for (position, sequence) in order.into_iter().enumerate() {
            let request = &self.requests.by_sequence[&sequence];
            let run_time = self.run_times.expected(request, &self.settings);
            // A request that can start now has no wait, however long it runs.
            let starts_now = position < free_slots;
            let wait = if starts_now { 0.0 } else { (work_ahead + run_time) / self.concurrency.slots as f64 };
            let due_at = if request.is_late { request.deadline } else { request.objective_end };
            let time_left = due_at as f64 - now as f64;
            // Only a new request is sent elsewhere for its wait, sooner at a lower level, and not where that
            // costs a connection.
            let costs_connection = self.connections.new_caller_share > MAX_NEW_CALLER_SHARE;
            let may_move = !starts_now && !request.was_considered && !costs_connection;
            let level = self.priority_level(now, request) as f64;
            let wait_share = 2.0 * WAIT_SHARE * level / self.priority_weights.len() as f64;
            let waits_too_long = may_move && wait > (time_left - run_time) * wait_share;
            if (wait + run_time > time_left || waits_too_long) && (position > 0 || running > 0) {
                self.abandon(now, sequence, out);
            } else if !starts_now {
                work_ahead += run_time;
            }
        }
        self.requests.by_sequence.values_mut().for_each(|request| request.was_considered = true);
    }

    /// Memory of all requests and retained idempotency keys, in kilobytes.
    pub(super) fn memory_kb(&self) -> f64 {
        let factor = |r: &Request| if r.has_not_run() { 1.0 } else { self.settings.run_memory_factor };
        let requests_kb: f64 = self.requests.by_sequence.values().map(|r| r.queued_kb * factor(r)).sum();
        requests_kb + self.requests.idempotency_keys.len() as f64 * self.settings.key_kb
    }

    /// Evicts queued requests, the newest of the lowest level first, and then the newest waiting duplicates,
    /// until the memory in use is no more than halfway between its safe share and all of it.
    pub(super) fn evict_for_memory(&mut self, now: Micros, out: &mut Vec<Action>) {
        while self.memory_kb() > self.settings.memory_kb * (1.0 + SAFE_SHARE) / 2.0 {
            let requests = &self.requests.by_sequence;
            let queued = self.requests.wait_queue.iter().rev();
            let lowest = queued.min_by_key(|sequence| self.priority_level(now, &requests[sequence]));
            let duplicate = || requests.iter().rev().find(|(_, r)| r.stage == Stage::AwaitingDuplicate);
            let Some(&sequence) = lowest.or_else(|| duplicate().map(|(sequence, _)| sequence)) else {
                return;
            };
            self.abandon(now, sequence, out);
        }
    }
}

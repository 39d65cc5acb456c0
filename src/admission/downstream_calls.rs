//! Downstream calls: how many are made at once, how long each may take, and when a failed dependency is
//! probed. Times are in microseconds.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::*;

/// Number of attempts of one call; also the number of failures in a row from which on calls are only probes.
const MAX_CALL_ATTEMPTS: u32 = 3;
/// Calls are slow when their typical time is above this multiple of the best time.
const SLOW_FACTOR: f64 = 3.0;
/// Factor by which the best time grows with each call, so that an outdated best time is forgotten.
const BEST_TIME_GROWTH: f64 = 1.001;
/// Least limit on calls in flight, as a share of the safe quota: a lower limit makes no call quicker.
const MIN_LIMIT_SHARE: f64 = 0.25;
/// Base of the wait before a failed call is attempted again, doubled with each attempt that was made.
const BACKOFF_BASE: Micros = PROBE_INTERVAL / 4;

#[derive(Default)]
pub struct DownstreamCalls {
    /// Mean time of successful calls; none before the first one or once it has decayed to the best time.
    typical_time: Option<f64>,
    /// The lowest typical time, which is forgotten slowly.
    best_time: f64,
    /// Limit on calls in flight.
    limit: f64,
    /// Whether a call has succeeded since the last adjustment.
    saw_success: bool,
    /// Whether a request had too little time left for a call since the last adjustment.
    lacked_time: bool,
    failures_in_row: u32,
    /// When the next probe or, while cautious, the next call may be made.
    probe_at: Micros,
    /// Until this time, after the start or a failure, calls are spaced like probes if the safe quota is
    /// less than one call.
    cautious_until: Micros,
    /// For each call that timed out: until when the dependency may still work on it.
    abandoned_until: Vec<Micros>,
    /// Calls in flight, averaged over the call window.
    mean_in_flight: f64,
    /// When the mean was updated last.
    updated_at: Micros,
}

/// This server's share of the calls that the dependency survives, with a margin.
fn safe_quota(settings: &Settings) -> f64 {
    settings.call_quota * SAFE_SHARE
}

impl DownstreamCalls {
    pub fn new(now: Micros, settings: &Settings) -> DownstreamCalls {
        let (limit, cautious_until) = (safe_quota(settings), now + settings.call_window);
        let calls = DownstreamCalls { limit, cautious_until, updated_at: now, ..DownstreamCalls::default() };
        DownstreamCalls { probe_at: calls.next_probe(now, 0, settings), ..calls }
    }

    /// Updates the mean of calls in flight, of which `calling` are waited for here.
    pub fn update_mean(&mut self, now: Micros, calling: usize, settings: &Settings) {
        let in_flight = (calling + self.abandoned_until.len()) as f64;
        let old_weight = (-((now - self.updated_at) as f64) / settings.call_window.max(1) as f64).exp();
        self.mean_in_flight = in_flight + (self.mean_in_flight - in_flight) * old_weight;
        self.updated_at = now;
        self.abandoned_until.retain(|&end| end > now);
    }

    /// How long one more call may take; 0: none may be made. A quota under one call bounds the mean of calls
    /// in flight, to half of the quota.
    fn time_limit(&self, calling: usize, settings: &Settings) -> Micros {
        let quota = safe_quota(settings);
        let in_flight = (calling + self.abandoned_until.len()) as f64;
        let spare_calls = (if quota < 1.0 { quota / 2.0 } else { quota }) - self.mean_in_flight;
        let has_room = spare_calls > 0.0 && in_flight + 1.0 <= quota.min(self.limit).max(1.0);
        if settings.downstream != Downstream::Shared || (has_room && quota >= 1.0) {
            return Micros::MAX;
        }
        let time_limit = if has_room { spare_calls * settings.call_window as f64 } else { 0.0 };
        (time_limit as Micros).saturating_sub(settings.abandoned_call_lifetime)
    }

    /// Learns from the time of a successful call. The limit falls while calls take much longer than the best
    /// time, and rises slowly once they are quick again (additive increase, multiplicative decrease).
    fn record_success(&mut self, call_time: f64, settings: &Settings) {
        self.saw_success = true;
        let typical = self.typical_time.map_or(call_time, |typical| ewma(typical, call_time));
        let best_time = typical.min(self.best_time * BEST_TIME_GROWTH);
        self.best_time = self.typical_time.map_or(typical, |_| best_time);
        self.typical_time = Some(typical);
        let is_slow = typical > self.best_time * SLOW_FACTOR;
        let step = if is_slow { -EWMA_WEIGHT * self.limit } else { EWMA_WEIGHT / self.limit };
        let max_limit = safe_quota(settings).max(1.0);
        self.limit = (self.limit + step).clamp((max_limit * MIN_LIMIT_SHARE).max(1.0), max_limit);
    }

    /// Lets the typical time decay towards the best time while requests have too little time for calls and
    /// none succeeds. Calls that would take too long are not made, so a quicker dependency would not be
    /// noticed otherwise.
    pub fn decay(&mut self) {
        let is_stuck = std::mem::take(&mut self.lacked_time) & !std::mem::take(&mut self.saw_success);
        if let Some(typical) = self.typical_time.filter(|_| is_stuck) {
            let decayed = self.best_time + DECAY_FACTOR * (typical - self.best_time);
            self.typical_time = Some(decayed).filter(|t| *t > self.best_time * (1.0 + RELATIVE_TOLERANCE));
        }
    }

    /// The time of the next probe. All servers lose a shared dependency at once: intervals by their call
    /// quotas keep the sum of their probes within what it survives, and jitter from each server's seed
    /// spreads the probes.
    fn next_probe(&self, now: Micros, sequence: u64, settings: &Settings) -> Micros {
        let quota = if settings.downstream == Downstream::Shared { safe_quota(settings) } else { 1.0 };
        let min_call_time =
            if self.failures_in_row >= MAX_CALL_ATTEMPTS { PROBE_INTERVAL as f64 } else { 0.0 };
        let call_time = self.typical_time.map_or(PROBE_INTERVAL as f64, |typical| typical.max(min_call_time));
        let interval = call_time / if quota < 1.0 { quota / 2.0 } else { 1.0 };
        let mut hasher = DefaultHasher::new();
        (settings.seed, sequence, now).hash(&mut hasher);
        let jitter = 0.5 + hasher.finish() as f64 / u64::MAX as f64;
        now + (interval.min(settings.call_window as f64) * jitter) as Micros
    }
}

impl AdmissionController {
    pub(super) fn handle_call_ended(
        &mut self,
        now: Micros,
        id: &RequestId,
        outcome: Outcome,
        call_time: Micros,
    ) {
        let Some(request) = self.requests.in_stage_mut(id, Stage::Calling) else { return };
        if outcome == Outcome::Ok {
            request.stage = Stage::Running;
            request.call_attempts = 0;
            self.calls.failures_in_row = 0;
            if now.saturating_sub(call_time) >= self.stall_end {
                self.calls.record_success(call_time as f64, &self.settings);
            }
            return;
        }
        request.call_may_have_run |= !outcome.never_ran();
        request.stage = Stage::AwaitingCall;
        request.call_not_before = now + (BACKOFF_BASE << request.call_attempts.min(4));
        let abandoned_until = now + self.settings.abandoned_call_lifetime;
        self.calls.abandoned_until.extend((outcome == Outcome::TimedOut).then_some(abandoned_until));
        // A dependency that rejects calls is overloaded, not down; an aborted call to several services failed
        // at one of them, which says nothing of the others.
        if !matches!(outcome, Outcome::Rejected | Outcome::Aborted) {
            self.calls.failures_in_row += 1;
            self.calls.cautious_until = now + self.settings.call_window;
        }
        self.calls.probe_at = self.calls.next_probe(now, self.requests.next_sequence, &self.settings);
    }

    /// Makes, skips or fails the calls that requests wait for, in order of arrival.
    pub(super) fn serve_calls(&mut self, now: Micros, out: &mut Vec<Action>) {
        let requests = self.requests.by_sequence.iter();
        let awaiting = requests.filter(|(_, r)| !r.abandoned && r.stage == Stage::AwaitingCall);
        let awaiting: Vec<u64> = awaiting.map(|(&sequence, _)| sequence).collect();
        awaiting.into_iter().for_each(|sequence| self.serve_call(now, sequence, out));
    }

    fn serve_call(&mut self, now: Micros, sequence: u64, out: &mut Vec<Action>) {
        let (settings, calls) = (&self.settings, &mut self.calls);
        let time_limit = calls.time_limit(self.requests.count(Stage::Calling), settings);
        let is_down = calls.failures_in_row >= MAX_CALL_ATTEMPTS;
        let is_breaker_open = is_down && now < calls.probe_at;
        // Servers that start or recover together have no mean of calls in flight yet that would limit their
        // sum.
        let is_cautious = safe_quota(settings) < 1.0 && now < calls.cautious_until;
        let must_wait_for_probe =
            is_cautious && settings.downstream == Downstream::Shared && now < calls.probe_at;
        let typical = calls.typical_time.unwrap_or(0.0) as Micros;
        let Some(request) = self.requests.by_sequence.get_mut(&sequence) else { return };
        // The part of the run that follows the call.
        let run_time_after_call = (self.run_times.expected(request, settings) * MIN_RUN_SHARE) as Micros;
        let class = &settings.classes[request.class];
        let due_at = if request.is_late { request.deadline } else { request.objective_end };
        let lacks_time = now + typical + run_time_after_call >= due_at;
        calls.lacked_time |= lacks_time;
        let must_not_repeat = request.call_may_have_run && class.idempotency != Idempotency::Idempotent;
        let must_give_up =
            must_not_repeat || request.call_attempts >= MAX_CALL_ATTEMPTS || now + typical >= due_at;
        if class.degraded_weight_share > 0.0 && (must_give_up || is_breaker_open || lacks_time) {
            request.stage = Stage::Running;
            out.push(Action::SkipCall(request.id.clone()));
        } else if must_give_up {
            self.abandon(now, sequence, out);
        } else if time_limit > typical
            && !is_breaker_open
            && !must_wait_for_probe
            && now >= request.call_not_before
        {
            request.stage = Stage::Calling;
            request.call_attempts += 1;
            if is_cautious || is_down {
                calls.probe_at = calls.next_probe(now, self.requests.next_sequence, settings);
            }
            // A call that hangs must leave time for another attempt, or for the run to go on without it.
            let half_time_left = due_at.saturating_sub(now + run_time_after_call) / 2;
            let is_half_sufficient = half_time_left as f64 > typical as f64 * SLOW_FACTOR;
            let timeout = if is_half_sufficient { half_time_left.min(time_limit) } else { time_limit };
            out.push(Action::Call(request.id.clone(), due_at.min(now.saturating_add(timeout))));
        }
    }
}

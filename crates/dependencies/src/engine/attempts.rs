//! Attempts of calls: first attempts, hedged requests and retries.

use std::rc::Rc;

use umberloom::interface::{Micros, Outcome};

use super::{Action, Attempt, Engine};
use crate::aggregation::Part;
use crate::breaker::BreakerState;
use crate::config::Fallback;
use crate::dependency::EndedAttempt;
use crate::fallback_cache::CacheKey;
use crate::plan::{CallRef, CallState, Timer};
use crate::retry;
use crate::AttemptId;

/// An attempt that is about to be started.
#[derive(Clone, Copy)]
struct NewAttempt {
    call: CallRef,
    /// Index of the endpoint.
    endpoint: usize,
    deadline: Micros,
    /// Whether the circuit breaker let it through as a probe.
    is_probe: bool,
}

impl Engine {
    /// Starts the first attempt or a retry of a call at this endpoint, and sets the timer for its hedged
    /// request.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        call_ref: CallRef,
        endpoint: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(plan) = self.plans.get_mut(&call_ref.plan) else { return };
        let call_deadline = plan.call_deadline(&plan.calls[call_ref.index]);
        let call = &mut plan.calls[call_ref.index];
        let dependency = &mut self.dependencies[call.dependency];
        let is_probe = dependency.start(now, endpoint);
        if std::mem::take(&mut call.holds_retry_token) {
            self.counts.retries += 1;
        } else {
            dependency.retry_budget.record_first_attempt();
            self.counts.first_attempts += 1;
        }
        let config = &dependency.config;
        let may_be_retried = config.idempotent
            && call.retries < config.retry.max_retries
            && dependency.retry_budget.available() >= 1.0;
        let deadline = dependency.attempt_deadline(now, call_deadline, may_be_retried);
        let hedge_at = config.hedge.filter(|_| config.idempotent).and_then(|hedge| {
            let quantile_latency = dependency.latency.quantile(now, hedge.quantile)?;
            Some(now + quantile_latency.max(hedge.min_delay))
        });
        let attempt =
            self.send_attempt(now, NewAttempt { call: call_ref, endpoint, deadline, is_probe }, out);
        if let Some(at) = hedge_at.filter(|&at| at < deadline) {
            self.set_timer(call_ref.plan, at, Timer::Hedge { call: call_ref.index, attempt });
        }
    }

    /// Records a new attempt and emits the action that starts it.
    fn send_attempt(&mut self, now: Micros, new: NewAttempt, out: &mut Vec<Action>) -> AttemptId {
        self.last_id += 1;
        let attempt = self.last_id;
        let Some(plan) = self.plans.get_mut(&new.call.plan) else { return attempt };
        let call = &mut plan.calls[new.call.index];
        call.state = CallState::InFlight;
        call.in_flight.push(attempt);
        call.tried_endpoints.push(new.endpoint);
        let in_flight = Attempt {
            call: new.call,
            dependency: call.dependency,
            endpoint: new.endpoint,
            started_at: now,
            is_probe: new.is_probe,
        };
        self.attempts.insert(attempt, in_flight);
        let dependency = &self.dependencies[call.dependency];
        out.push(Action::StartAttempt {
            attempt,
            plan: new.call.plan,
            dependency: dependency.name.clone(),
            address: dependency.load_balancer.address(new.endpoint),
            deadline: new.deadline,
        });
        attempt
    }

    /// Sends a hedged request to another endpoint if `slow_attempt` is still the only attempt of the call,
    /// the breaker is closed, an endpoint that was not tried has capacity, and the retry budget allows it.
    pub(super) fn start_hedged_request(
        &mut self,
        now: Micros,
        call_ref: CallRef,
        slow_attempt: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let Some(plan) = self.plans.get(&call_ref.plan) else { return };
        let call = plan.calls.get(call_ref.index).filter(|call| call.in_flight == [slow_attempt]);
        let Some(call) = call else { return };
        let deadline = plan.call_deadline(call);
        let dependency = &mut self.dependencies[call.dependency];
        if dependency.breaker.state(now) != BreakerState::Closed
            || !dependency.load_balancer.has_alternative(&call.tried_endpoints)
        {
            return;
        }
        let Some(endpoint) = dependency.pick_endpoint(now, &call.tried_endpoints, &mut self.random) else {
            return;
        };
        if call.tried_endpoints.contains(&endpoint) || !dependency.retry_budget.try_withdraw() {
            return;
        }
        self.counts.hedged_requests += 1;
        let is_probe = dependency.start(now, endpoint);
        self.send_attempt(now, NewAttempt { call: call_ref, endpoint, deadline, is_probe }, out);
    }

    /// Ends a call with the reply to one of its attempts. The reply is cached if a cached fallback is
    /// configured, and the other attempts are cancelled.
    pub(super) fn finish_call(
        &mut self,
        now: Micros,
        call_ref: CallRef,
        body: Rc<[u8]>,
        out: &mut Vec<Action>,
    ) {
        let Some(plan) = self.plans.get_mut(&call_ref.plan) else { return };
        let call = &mut plan.calls[call_ref.index];
        let other_attempts = std::mem::take(&mut call.in_flight);
        call.state = CallState::Finished(Part::Fresh(body.clone()));
        let dependency = &self.dependencies[call.dependency];
        let is_cached = dependency.config.fallbacks.iter().any(|f| matches!(f, Fallback::Cached(_)));
        if let Some(key) = plan.resource_key.clone().filter(|_| is_cached) {
            let key = CacheKey { dependency: dependency.name.clone(), class: plan.class.clone(), key };
            self.fallback_cache.put(now, key, body);
        }
        for attempt in other_attempts {
            self.cancel_attempt(now, attempt, None, out);
        }
    }

    /// Handles the failure of the last attempt in flight of a call. The call is retried if a retry is safe,
    /// the retry budget allows it and it is expected to end before the deadline; otherwise the fallbacks are
    /// used.
    pub(super) fn retry_or_fall_back(&mut self, now: Micros, call_ref: CallRef, outcome: Outcome) {
        let Some(plan) = self.plans.get_mut(&call_ref.plan) else { return };
        let call_deadline = plan.call_deadline(&plan.calls[call_ref.index]);
        let call = &mut plan.calls[call_ref.index];
        let dependency = &mut self.dependencies[call.dependency];
        let policy = dependency.config.retry;
        let never_ran = outcome.never_ran() && outcome != Outcome::NotStarted;
        let is_safe = never_ran || dependency.config.idempotent;
        let is_allowed = is_safe && call.retries < policy.max_retries && dependency.breaker.allows(now);
        // Drawn even if it is not used, so that the sequence of random numbers depends only on the events.
        let backoff = retry::backoff(&policy, call.retries, &mut self.random);
        let expected_end = now + backoff + (dependency.limit.typical_latency() as Micros);
        let is_in_time = expected_end < call_deadline;
        if !is_allowed || !is_in_time || !dependency.retry_budget.try_withdraw() {
            let reason = call.last_failure;
            return self.fall_back(now, call_ref, reason);
        }
        call.retries += 1;
        call.holds_retry_token = true;
        call.state = CallState::BackingOff;
        self.set_timer(call_ref.plan, now + backoff, Timer::BackoffEnd { call: call_ref.index });
    }

    /// Cancels an attempt in flight. The plan is marked as possibly having had an effect, as the call may
    /// have run.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: Option<Outcome>,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.release_attempt(now, &attempt, outcome);
        if let Some(plan) = self.plans.get_mut(&attempt.call.plan) {
            plan.may_have_had_effect = true;
        }
        out.push(Action::CancelAttempt(id));
    }

    /// Releases the capacity that an attempt used. `outcome` is `None` if its result is no longer needed.
    pub(super) fn release_attempt(&mut self, now: Micros, attempt: &Attempt, outcome: Option<Outcome>) {
        let ended = EndedAttempt {
            endpoint: attempt.endpoint,
            is_probe: attempt.is_probe,
            took: now.saturating_sub(attempt.started_at),
            outcome,
        };
        self.dependencies[attempt.dependency].end(now, ended, &mut self.random);
        self.freed_dependencies.insert(attempt.dependency);
    }
}

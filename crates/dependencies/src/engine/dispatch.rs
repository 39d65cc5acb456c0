//! Queues calls that wait for capacity, and dispatches them.

use std::cmp::Reverse;

use umberloom::interface::Micros;

use super::{Action, Engine};
use crate::aggregation::MissingReason;
use crate::dependency::QueuedCall;
use crate::plan::{CallRef, CallState};

impl Engine {
    /// Starts a call of the current stage by queueing its first attempt.
    pub(super) fn begin_call(&mut self, now: Micros, call_ref: CallRef) {
        let Some(plan) = self.plans.get_mut(&call_ref.plan) else { return };
        let call = &mut plan.calls[call_ref.index];
        // For a retried request every call counts as a retry: its first attempts were made by the earlier
        // plan.
        if plan.is_retry {
            if !self.dependencies[call.dependency].retry_budget.try_withdraw() {
                return self.fall_back(now, call_ref, MissingReason::RetryBudgetEmpty);
            }
            call.holds_retry_token = true;
        }
        self.enqueue_call(now, call_ref);
    }

    /// Queues a call until its dependency has capacity. Uses the fallbacks at once if the breaker is open,
    /// the queue is full or the call is not expected to start before its deadline.
    pub(super) fn enqueue_call(&mut self, now: Micros, call_ref: CallRef) {
        let Some(plan) = self.plans.get_mut(&call_ref.plan) else { return };
        let call = plan.calls.get(call_ref.index).filter(|call| call.state == CallState::BackingOff);
        let Some(call) = call else { return };
        let deadline = plan.call_deadline(call);
        let call = &mut plan.calls[call_ref.index];
        let dependency = &mut self.dependencies[call.dependency];
        if !dependency.breaker.allows(now) {
            return self.fall_back(now, call_ref, MissingReason::BreakerOpen);
        }
        self.last_id += 1;
        let queued =
            QueuedCall { priority_level: Reverse(plan.priority_level), ticket: self.last_id, call: call_ref };
        if !dependency.enqueue(queued) {
            return self.fall_back(now, call_ref, MissingReason::NoCapacity);
        }
        call.state = CallState::Queued(queued.ticket);
        let exceeds_deadline = now + dependency.expected_wait(&queued) >= deadline;
        let starts_at_once = dependency.limit.has_capacity() && dependency.queue.first() == Some(&queued);
        if exceeds_deadline && !starts_at_once {
            return self.fall_back(now, call_ref, MissingReason::NoCapacity);
        }
        self.freed_dependencies.insert(call.dependency);
    }

    /// Starts queued calls while there is capacity: the highest priority level first, and within a level the
    /// oldest. While the breaker rejects calls, the queued ones use their fallbacks.
    pub(super) fn dispatch_queue(&mut self, now: Micros, index: usize, out: &mut Vec<Action>) {
        while let Some(&queued) = self.dependencies[index].queue.first() {
            let call_ref = queued.call;
            let dependency = &mut self.dependencies[index];
            if !dependency.breaker.allows(now) {
                self.fall_back(now, call_ref, MissingReason::BreakerOpen);
                self.changed_plans.push(call_ref.plan);
                continue;
            }
            let Some(plan) = self.plans.get(&call_ref.plan) else { return };
            let tried = &plan.calls[call_ref.index].tried_endpoints;
            let Some(endpoint) = dependency.pick_endpoint(now, tried, &mut self.random) else { return };
            dependency.queue.pop_first();
            self.start_attempt(now, call_ref, endpoint, out);
        }
    }
}

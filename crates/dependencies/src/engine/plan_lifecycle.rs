//! Lifecycle of a plan: starting and ending its stages, and ending the plan.

use std::cmp::Reverse;

use umberloom::interface::{Micros, Outcome};

use super::{Action, Engine};
use crate::aggregation::{AggregateResponse, MissingReason, NamedPart};
use crate::dependency::{Dependency, QueuedCall};
use crate::plan::{ActiveCall, CallRef, CallState, PlanTemplate, StageTemplate, Timer};
use crate::time_budget;
use crate::PlanId;

impl Engine {
    /// Starts the calls of the current stage, or uses the fallbacks for all of them if there is no time for
    /// the stage.
    pub(super) fn begin_stage(&mut self, now: Micros, id: PlanId) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let stage_index = plan.stage_index;
        let claims = plan.template.claims_from(stage_index);
        let remaining = plan.deadline.saturating_sub(now);
        plan.calls = plan.template.stages[stage_index].calls.iter().map(ActiveCall::new).collect();
        let call_count = plan.calls.len();
        match time_budget::first_stage_time(remaining, &claims) {
            Some(time) => {
                let reserved = typical_time_of_later_stages(&self.dependencies, &plan.template, stage_index);
                plan.stage_deadline = now + time;
                plan.required_deadline =
                    now + time_budget::extended_time(remaining, time, reserved, &claims[0]);
                self.set_timer(id, now + time, Timer::StageEnd { stage_index });
                for index in 0..call_count {
                    self.begin_call(now, CallRef { plan: id, index });
                }
            }
            None => {
                for index in 0..call_count {
                    self.fall_back(now, CallRef { plan: id, index }, MissingReason::NoTimeLeft);
                }
            }
        }
        self.changed_plans.push(id);
    }

    /// Handles the stage timer of a plan. A timer of an earlier stage is ignored.
    pub(super) fn end_stage_if_current(
        &mut self,
        now: Micros,
        id: PlanId,
        stage_index: usize,
        out: &mut Vec<Action>,
    ) {
        if self.plans.get(&id).is_some_and(|plan| plan.stage_index == stage_index) {
            self.end_stage(now, id, out);
        }
    }

    /// Ends the current stage when its time is up. Calls that have not ended are cancelled and use their
    /// fallbacks; required ones may continue until the plan's `required_deadline`.
    fn end_stage(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        let is_extended = now < plan.required_deadline && plan.awaits_required_call();
        let call_count = plan.calls.len();
        if is_extended {
            let (deadline, stage_index) = (plan.required_deadline, plan.stage_index);
            plan.stage_deadline = deadline;
            self.set_timer(id, deadline, Timer::StageEnd { stage_index });
        }
        for index in 0..call_count {
            let Some(call) = self.plans.get_mut(&id).map(|plan| &mut plan.calls[index]) else { return };
            if call.required && is_extended {
                continue;
            }
            let reason = match call.state {
                CallState::Finished(_) => continue,
                CallState::InFlight => MissingReason::DeadlineExceeded,
                CallState::Queued(_) => MissingReason::NoCapacity,
                CallState::BackingOff => call.last_failure,
            };
            for attempt in std::mem::take(&mut call.in_flight) {
                self.cancel_attempt(now, attempt, Some(Outcome::TimedOut), out);
            }
            self.fall_back(now, CallRef { plan: id, index }, reason);
        }
        self.changed_plans.push(id);
    }

    /// Processes all follow-up work of the current event: dispatches queued calls to freed capacity, and
    /// advances or ends the plans that changed.
    pub(super) fn settle(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            if let Some(dependency) = self.freed_dependencies.pop_first() {
                self.dispatch_queue(now, dependency, out);
            } else if let Some(plan) = self.changed_plans.pop() {
                self.advance_plan(now, plan, out);
            } else {
                return;
            }
        }
    }

    /// Fails the plan if a required call has no result; otherwise, once all calls of the current stage have
    /// ended, starts the next stage or finishes the plan.
    fn advance_plan(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) {
        let Some(plan) = self.plans.get_mut(&id) else { return };
        if plan.calls.iter().any(ActiveCall::fails_plan) {
            return self.fail_plan(now, id, out);
        }
        if !plan.calls.iter().all(ActiveCall::is_finished) {
            return;
        }
        for call in std::mem::take(&mut plan.calls) {
            if let CallState::Finished(part) = call.state {
                let name = self.dependencies[call.dependency].name.clone();
                plan.finished_parts.push(NamedPart { name, part });
            }
        }
        plan.stage_index += 1;
        if plan.stage_index < plan.template.stages.len() {
            return self.begin_stage(now, id);
        }
        let response = AggregateResponse { parts: std::mem::take(&mut plan.finished_parts) };
        if response.is_complete() {
            self.counts.complete += 1;
        } else {
            self.counts.partial += 1;
        }
        self.remove_plan(now, id, out);
        out.push(Action::FinishPlan { plan: id, outcome: Outcome::Ok, response: Some(response) });
    }

    /// Fails a plan that lacks a required part. `Rejected` promises that nothing ran, so it is used only if
    /// that is certain for each call.
    fn fail_plan(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) {
        self.counts.failed += 1;
        let may_have_had_effect = self.remove_plan(now, id, out);
        let outcome = if may_have_had_effect { Outcome::Aborted } else { Outcome::Rejected };
        out.push(Action::FinishPlan { plan: id, outcome, response: None });
    }

    /// Removes a plan with its timers, queued calls and attempts. Returns whether any of its calls may have
    /// had an effect.
    pub(super) fn remove_plan(&mut self, now: Micros, id: PlanId, out: &mut Vec<Action>) -> bool {
        let Some(plan) = self.plans.remove(&id) else { return false };
        for (at, timer) in &plan.timers {
            self.timers.remove(&(*at, id, *timer));
        }
        let mut may_have_had_effect = plan.may_have_had_effect;
        for (index, call) in plan.calls.into_iter().enumerate() {
            may_have_had_effect |= !call.in_flight.is_empty();
            for attempt in call.in_flight {
                self.cancel_attempt(now, attempt, None, out);
            }
            let dependency = &mut self.dependencies[call.dependency];
            if let CallState::Queued(ticket) = call.state {
                dependency.queue.remove(&QueuedCall {
                    priority_level: Reverse(plan.priority_level),
                    ticket,
                    call: CallRef { plan: id, index },
                });
            }
            if call.holds_retry_token {
                dependency.retry_budget.refund();
            }
        }
        may_have_had_effect
    }
}

/// Returns the time in microseconds that the required calls of later stages typically take, at least the
/// minimum times of these stages.
fn typical_time_of_later_stages(
    dependencies: &[Dependency],
    template: &PlanTemplate,
    stage_index: usize,
) -> Micros {
    let typical_time = |stage: &StageTemplate| {
        let required = stage.calls.iter().filter(|call| call.required);
        let typical = required.map(|call| dependencies[call.dependency].limit.typical_latency() as Micros);
        typical.max().unwrap_or(0).max(stage.claim.min_time)
    };
    let later = template.stages[stage_index + 1..].iter().filter(|stage| stage.claim.required);
    later.map(typical_time).sum()
}

//! Invariants of the engine between two events.

use super::Engine;
use crate::dependency::Dependency;
use crate::plan::{ActiveCall, ActivePlan, CallState, Timer};
use crate::PlanId;

impl Engine {
    /// Checks the invariants that hold between any two events. Tests call it after each event.
    ///
    /// # Errors
    /// Returns the first invariant that is violated.
    pub fn check_invariants(&self) -> Result<(), String> {
        for (index, dependency) in self.dependencies.iter().enumerate() {
            self.check_dependency(index, dependency)?;
        }
        for (id, plan) in &self.plans {
            self.check_plan(*id, plan)?;
        }
        if self.timers.iter().any(|(_, id, _)| !self.plans.contains_key(id)) {
            return Err("a timer belongs to no plan".to_owned());
        }
        self.fallback_cache.check_invariants()
    }

    fn check_dependency(&self, index: usize, dependency: &Dependency) -> Result<(), String> {
        dependency.check_invariants()?;
        let name = &dependency.name;
        let attempts = self.attempts.values().filter(|attempt| attempt.dependency == index).count();
        let counted = dependency.limit.in_flight();
        if attempts != counted {
            return Err(format!("{name}: {attempts} attempts in flight, {counted} counted"));
        }
        for queued in &dependency.queue {
            let is_waiting = self.plans.get(&queued.call.plan).is_some_and(|plan| {
                plan.priority_level == queued.priority_level.0
                    && plan.calls[queued.call.index].state == CallState::Queued(queued.ticket)
            });
            if !is_waiting {
                return Err(format!("{name}: plan {} is queued but does not wait", queued.call.plan));
            }
        }
        Ok(())
    }

    fn check_plan(&self, id: PlanId, plan: &ActivePlan) -> Result<(), String> {
        let stage_end = plan.stage_deadline;
        let timer = Timer::StageEnd { stage_index: plan.stage_index };
        if stage_end > plan.deadline || !self.timers.contains(&(stage_end, id, timer)) {
            return Err(format!(
                "plan {id}: its stage ends at {stage_end}, its deadline is {}",
                plan.deadline
            ));
        }
        let attempts_known =
            |call: &ActiveCall| call.in_flight.iter().all(|attempt| self.attempts.contains_key(attempt));
        if plan.calls.iter().all(ActiveCall::is_finished) || !plan.calls.iter().all(attempts_known) {
            return Err(format!("plan {id}: no call is in flight, or an attempt is unknown"));
        }
        Ok(())
    }
}

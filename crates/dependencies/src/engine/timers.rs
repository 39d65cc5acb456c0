//! Timers of plans in flight.

use umberloom::interface::Micros;

use super::Engine;
use crate::plan::Timer;
use crate::PlanId;

impl Engine {
    /// Sets a timer for a plan in flight; ignored if the plan has ended.
    pub(super) fn set_timer(&mut self, plan: PlanId, at: Micros, timer: Timer) {
        if let Some(active) = self.plans.get_mut(&plan) {
            active.timers.push((at, timer));
            self.timers.insert((at, plan, timer));
        }
    }

    /// Removes and returns the earliest timer if it is due.
    pub(super) fn pop_due_timer(&mut self, now: Micros) -> Option<(PlanId, Timer)> {
        let &(at, plan, timer) = self.timers.first().filter(|(at, ..)| *at <= now)?;
        self.timers.pop_first();
        if let Some(active) = self.plans.get_mut(&plan) {
            active.timers.retain(|other| *other != (at, timer));
        }
        Some((plan, timer))
    }
}

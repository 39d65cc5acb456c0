//! Fallbacks for calls that have no result of their own.

use std::cmp::Reverse;

use umberloom::interface::Micros;

use super::Engine;
use crate::aggregation::{MissingReason, Part};
use crate::config::Fallback;
use crate::dependency::QueuedCall;
use crate::fallback_cache::CacheKey;
use crate::plan::{CallRef, CallState};

impl Engine {
    /// Ends a call that has no result of its own, with the first configured fallback that yields one; if none
    /// does, the part is missing for this reason. A retry token that the call holds is refunded.
    pub(super) fn fall_back(&mut self, now: Micros, call_ref: CallRef, reason: MissingReason) {
        let Some(plan) = self.plans.get_mut(&call_ref.plan) else { return };
        let call = &mut plan.calls[call_ref.index];
        let dependency = &mut self.dependencies[call.dependency];
        if let CallState::Queued(ticket) = call.state {
            let priority_level = Reverse(plan.priority_level);
            dependency.queue.remove(&QueuedCall { priority_level, ticket, call: call_ref });
        }
        if std::mem::take(&mut call.holds_retry_token) {
            dependency.retry_budget.refund();
        }
        let mut part = Part::Missing(reason);
        for fallback in &dependency.config.fallbacks {
            match fallback {
                Fallback::Cached(max_age) => {
                    let Some(key) = plan.resource_key.clone() else { continue };
                    let key =
                        CacheKey { dependency: dependency.name.clone(), class: plan.class.clone(), key };
                    let Some(cached) = self.fallback_cache.get(now, &key, *max_age) else { continue };
                    part = Part::Cached { body: cached.body, age: cached.age };
                }
                Fallback::Constant(body) => part = Part::Constant(body.as_slice().into()),
                Fallback::Omit => {}
            }
            break;
        }
        call.state = CallState::Finished(part);
        self.changed_plans.push(call_ref.plan);
    }
}

//! What the engine takes and returns.

use std::rc::Rc;

use umberloom::interface::{Micros, Outcome};

use crate::aggregation::AggregateResponse;
use crate::{AttemptId, PlanId};

/// A request that waits for the calls of its plan.
#[derive(Clone, Debug)]
pub struct PlanRequest<'a> {
    /// The host's name for the plan. A plan in flight under the same name is cancelled.
    pub plan: PlanId,
    /// Name of the class of the request.
    pub class: &'a str,
    /// Priority of the request: calls of higher levels get scarce capacity first.
    pub priority_level: u16,
    /// What the request is about, where results for the same key may stand in for each other.
    pub resource_key: Option<&'a str>,
    /// Until when the admission controller lets the request make calls.
    pub call_deadline: Micros,
    /// When the request must be answered. Time for its own work after the calls is reserved before that.
    pub request_deadline: Micros,
    /// The request has begun a plan before, so that all its calls are retries.
    pub is_retry: bool,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a call, and report its end by [`Engine::handle_attempt_end`](crate::Engine::handle_attempt_end).
    StartAttempt {
        /// Its name.
        attempt: AttemptId,
        /// The plan that it belongs to.
        plan: PlanId,
        /// Name of the dependency.
        dependency: Rc<str>,
        /// Address of the endpoint.
        address: Rc<str>,
        /// When it is to be given up and reported as [`Outcome::TimedOut`].
        deadline: Micros,
    },
    /// Abort an attempt. Its end need not be reported.
    CancelAttempt(AttemptId),
    /// A plan is over.
    FinishPlan {
        /// The plan.
        plan: PlanId,
        /// How it ended: `Ok`; `Rejected`, only where nothing can have had an effect; else `Aborted`.
        outcome: Outcome,
        /// What the request gets, where the outcome is `Ok`.
        response: Option<AggregateResponse>,
    },
}

/// Counts since the start, for logs and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// First attempts of calls.
    pub first_attempts: u64,
    /// Attempts after the first, without hedged requests.
    pub retries: u64,
    /// Hedged requests.
    pub hedged_requests: u64,
    /// Plans that ended with a complete response: every part fresh.
    pub complete: u64,
    /// Plans that ended with a partial response: some part missing or not fresh.
    pub partial: u64,
    /// Plans that failed.
    pub failed: u64,
}

//! Requests, actions and counters of the engine's interface.

use std::rc::Rc;

use umberloom::interface::{Micros, Outcome};

use crate::aggregation::AggregateResponse;
use crate::{AttemptId, PlanId};

/// A request whose call plan is to be run.
#[derive(Clone, Debug)]
pub struct PlanRequest<'a> {
    /// ID of the plan, chosen by the host. A plan in flight with the same ID is cancelled.
    pub plan: PlanId,
    /// Name of the class of the request.
    pub class: &'a str,
    /// Priority level of the request. Calls of higher levels get capacity first when it is scarce.
    pub priority_level: u16,
    /// Key of the resource that the request is about. An earlier result for the same key may serve as a
    /// fallback; `None` if no cached results may be used.
    pub resource_key: Option<&'a str>,
    /// Time until which the admission controller lets the request make calls.
    pub call_deadline: Micros,
    /// Time by which the request must be answered. Time for its own work after the calls is reserved before
    /// that.
    pub request_deadline: Micros,
    /// Whether an earlier plan was started for the request, so that all of its calls count as retries.
    pub is_retry: bool,
}

/// An action that the host is to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a call, and report its end by [`Engine::handle_attempt_end`](crate::Engine::handle_attempt_end).
    StartAttempt {
        /// ID of the attempt.
        attempt: AttemptId,
        /// The plan that it belongs to.
        plan: PlanId,
        /// Name of the dependency.
        dependency: Rc<str>,
        /// Address of the endpoint.
        address: Rc<str>,
        /// Time at which the host must abort it and report [`Outcome::TimedOut`].
        deadline: Micros,
    },
    /// Abort an attempt. Its end need not be reported.
    CancelAttempt(AttemptId),
    /// Complete the request of a plan that has ended.
    FinishPlan {
        /// ID of the plan.
        plan: PlanId,
        /// Outcome of the plan: `Ok`; `Rejected` only if no call can have had an effect; otherwise `Aborted`.
        outcome: Outcome,
        /// The response for the request, if the outcome is `Ok`.
        response: Option<AggregateResponse>,
    },
}

/// Counters since the engine was created, for logs and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// First attempts of calls.
    pub first_attempts: u64,
    /// Attempts that were paid for by the retry budget, without hedged requests.
    pub retries: u64,
    /// Hedged requests.
    pub hedged_requests: u64,
    /// Plans that ended with a complete response, in which every part is fresh.
    pub complete: u64,
    /// Plans that ended with a partial response, in which a part is missing or not fresh.
    pub partial: u64,
    /// Plans that failed.
    pub failed: u64,
}

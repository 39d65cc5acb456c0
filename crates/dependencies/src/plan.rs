//! Call plans in flight, and the templates from which they are created.

use std::rc::Rc;

use umberloom::interface::Micros;

use crate::aggregation::{MissingReason, NamedPart, Part};
use crate::config::{CallConfig, PlanConfig, StageConfig};
use crate::time_budget::StageClaim;
use crate::{AttemptId, PlanId};

/// A configured plan whose calls refer to dependencies by index. It is immutable, so that a plan in flight is
/// not affected when the configuration is replaced.
#[derive(Debug)]
pub(crate) struct PlanTemplate {
    pub stages: Vec<StageTemplate>,
}

/// A stage of a [`PlanTemplate`].
#[derive(Debug)]
pub(crate) struct StageTemplate {
    /// The claim of the stage on the remaining time.
    pub claim: StageClaim,
    pub calls: Vec<CallTemplate>,
}

/// A call of a [`StageTemplate`].
#[derive(Debug)]
pub(crate) struct CallTemplate {
    /// Index of the dependency.
    pub dependency: usize,
    pub required: bool,
}

impl PlanTemplate {
    /// Creates a template from a validated configuration. `find_dependency` returns the index of a dependency
    /// by its name. Returns `None` if a dependency is unknown.
    pub fn new(plan: &PlanConfig, find_dependency: impl Fn(&str) -> Option<usize>) -> Option<PlanTemplate> {
        let stages = plan.stages.iter().map(|stage| StageTemplate::new(stage, &find_dependency));
        Some(PlanTemplate { stages: stages.collect::<Option<_>>()? })
    }

    /// Returns whether any of its calls goes to this dependency.
    pub fn uses_dependency(&self, dependency: usize) -> bool {
        self.stages.iter().flat_map(|stage| &stage.calls).any(|call| call.dependency == dependency)
    }

    /// Returns the claims of the stages from `stage_index` on.
    pub fn claims_from(&self, stage_index: usize) -> Vec<StageClaim> {
        self.stages[stage_index..].iter().map(|stage| stage.claim).collect()
    }
}

impl StageTemplate {
    fn new(stage: &StageConfig, find_dependency: &impl Fn(&str) -> Option<usize>) -> Option<StageTemplate> {
        let call = |call: &CallConfig| {
            let dependency = find_dependency(&call.dependency)?;
            Some(CallTemplate { dependency, required: call.required })
        };
        let calls = stage.calls.iter().map(call).collect::<Option<Vec<CallTemplate>>>()?;
        let claim = StageClaim {
            weight: stage.weight,
            min_time: stage.min_time,
            max_time: stage.max_time,
            required: calls.iter().any(|call| call.required),
        };
        Some(StageTemplate { claim, calls })
    }
}

/// Identifies a call of the current stage of a plan in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallRef {
    pub plan: PlanId,
    /// Index among the calls of the current stage.
    pub index: usize,
}

/// State of a call of the current stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallState {
    /// The call waits in the queue of its dependency, under this ticket.
    Queued(u64),
    /// One or two attempts are in flight.
    InFlight,
    /// The call waits before its next attempt, or has not been queued yet.
    BackingOff,
    /// The call has ended with this part of the response.
    Finished(Part),
}

/// A call of the current stage.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    /// Index of the dependency.
    pub dependency: usize,
    pub required: bool,
    pub state: CallState,
    /// Number of retries that were started or are planned, without hedged requests.
    pub retries: u32,
    /// Whether a retry was withdrawn from the retry budget for the next attempt.
    pub holds_retry_token: bool,
    /// Indices of the endpoints to which an attempt of this call was sent.
    pub tried_endpoints: Vec<usize>,
    /// Attempts in flight.
    pub in_flight: Vec<AttemptId>,
    /// Why the last attempt failed.
    pub last_failure: MissingReason,
}

impl ActiveCall {
    pub fn new(template: &CallTemplate) -> ActiveCall {
        ActiveCall {
            dependency: template.dependency,
            required: template.required,
            state: CallState::BackingOff,
            retries: 0,
            holds_retry_token: false,
            tried_endpoints: Vec::new(),
            in_flight: Vec::new(),
            last_failure: MissingReason::NoTimeLeft,
        }
    }

    pub fn is_finished(&self) -> bool {
        matches!(self.state, CallState::Finished(_))
    }

    /// Returns whether it is required and ended without a result, which fails the plan.
    pub fn fails_plan(&self) -> bool {
        self.required && matches!(&self.state, CallState::Finished(part) if !part.has_body())
    }
}

/// Purpose of a timer of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Ends the stage when its time is up.
    StageEnd { stage_index: usize },
    /// Ends the backoff of a call before its next attempt.
    BackoffEnd { call: usize },
    /// Sends a hedged request if this attempt, which has become slow, is still in flight.
    Hedge { call: usize, attempt: AttemptId },
}

/// A plan in flight.
#[derive(Debug)]
pub(crate) struct ActivePlan {
    pub template: Rc<PlanTemplate>,
    /// Name of the class of the request.
    pub class: Rc<str>,
    pub priority_level: u16,
    pub resource_key: Option<Rc<str>>,
    /// Time by which all calls of the plan must have ended.
    pub deadline: Micros,
    /// Whether an earlier plan was started for the request, so that all of its calls count as retries.
    pub is_retry: bool,
    /// Index of the current stage.
    pub stage_index: usize,
    /// Time at which the current stage ends.
    pub stage_deadline: Micros,
    /// Time until which required calls of the current stage may continue.
    pub required_deadline: Micros,
    /// Calls of the current stage.
    pub calls: Vec<ActiveCall>,
    /// Parts of earlier stages, in order.
    pub finished_parts: Vec<NamedPart>,
    /// Whether an attempt was made for which it is not certain that nothing ran.
    pub may_have_had_effect: bool,
    /// All timers of this plan, with their due times.
    pub timers: Vec<(Micros, Timer)>,
}

impl ActivePlan {
    /// Returns the time by which a call of the current stage must have ended.
    pub fn call_deadline(&self, call: &ActiveCall) -> Micros {
        if call.required {
            self.required_deadline
        } else {
            self.stage_deadline
        }
    }

    /// Returns whether the current stage has a required call that has not ended.
    pub fn awaits_required_call(&self) -> bool {
        self.calls.iter().any(|call| call.required && !call.is_finished())
    }
}

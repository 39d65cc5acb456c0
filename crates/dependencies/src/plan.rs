//! A call plan in flight, and the template that it is made from.

use std::rc::Rc;

use umberloom::interface::Micros;

use crate::aggregation::{MissingReason, NamedPart, Part};
use crate::config::{CallConfig, PlanConfig, StageConfig};
use crate::time_budget::StageClaim;
use crate::{AttemptId, PlanId};

/// A configured plan whose calls name dependencies by index. It is never changed, so that a plan in flight ends as it
/// began when the configuration is replaced.
#[derive(Debug)]
pub(crate) struct PlanTemplate {
    pub stages: Vec<StageTemplate>,
}

/// A stage of a [`PlanTemplate`].
#[derive(Debug)]
pub(crate) struct StageTemplate {
    /// What the stage asks of the time that is left.
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
    /// From a validated configuration. `find_dependency` gives the index of a dependency by its name; `None` if one is
    /// not known.
    pub fn new(plan: &PlanConfig, find_dependency: impl Fn(&str) -> Option<usize>) -> Option<PlanTemplate> {
        let stages = plan.stages.iter().map(|stage| StageTemplate::new(stage, &find_dependency));
        Some(PlanTemplate { stages: stages.collect::<Option<_>>()? })
    }

    /// Whether any of its calls goes to this dependency.
    pub fn uses_dependency(&self, dependency: usize) -> bool {
        self.stages.iter().flat_map(|stage| &stage.calls).any(|call| call.dependency == dependency)
    }

    /// Claims of the stages from this one on.
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

/// Names a call of the current stage of a plan in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallRef {
    pub plan: PlanId,
    /// Index among the calls of the current stage.
    pub index: usize,
}

/// What a call of the current stage is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallState {
    /// Waits in the queue of its dependency, under this ticket.
    Queued(u64),
    /// One or two attempts are in flight.
    InFlight,
    /// Waits before the next attempt.
    BackingOff,
    /// Ended with this part of the response.
    Finished(Part),
}

/// A call of the current stage.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    /// Index of the dependency.
    pub dependency: usize,
    pub required: bool,
    pub state: CallState,
    /// Retries that were started or are planned, without hedged requests.
    pub retries: u32,
    /// The next attempt has been paid for out of the retry budget.
    pub holds_retry_token: bool,
    /// Endpoints that got an attempt of this call.
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

    /// Whether it ended without the result that the request needs.
    pub fn fails_plan(&self) -> bool {
        self.required && matches!(&self.state, CallState::Finished(part) if !part.has_body())
    }
}

/// What a timer of a plan is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The time of this stage is up.
    StageEnd { stage_index: usize },
    /// The wait of this call before its next attempt is over.
    BackoffEnd { call: usize },
    /// This attempt has become slow.
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
    /// All of it ends by then.
    pub deadline: Micros,
    /// The request began a plan before, so that all its calls are retries.
    pub is_retry: bool,
    /// Index of the current stage.
    pub stage_index: usize,
    /// When the current stage ends.
    pub stage_deadline: Micros,
    /// Until when required calls of the current stage may go on.
    pub required_deadline: Micros,
    /// Calls of the current stage.
    pub calls: Vec<ActiveCall>,
    /// Parts of earlier stages, in order.
    pub finished_parts: Vec<NamedPart>,
    /// An attempt was made of which it is not certain that nothing ran.
    pub may_have_had_effect: bool,
    /// All timers of this plan.
    pub timers: Vec<(Micros, Timer)>,
}

impl ActivePlan {
    /// When a call of the current stage must have ended.
    pub fn call_deadline(&self, call: &ActiveCall) -> Micros {
        if call.required {
            self.required_deadline
        } else {
            self.stage_deadline
        }
    }

    /// Whether the current stage has a required call that has not ended.
    pub fn awaits_required_call(&self) -> bool {
        self.calls.iter().any(|call| call.required && !call.is_finished())
    }
}

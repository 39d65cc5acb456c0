//! One plan under way.

use std::rc::Rc;

use umberloom::interface::Micros;

use crate::aggregation::{MissingReason, Part};
use crate::config;
use crate::time_budget::StageClaim;
use crate::AttemptId;

/// A plan as the engine carries it out: its calls name places of services. It never changes, so that a plan under
/// way ends as it began whatever the file says meanwhile.
#[derive(Debug)]
pub(crate) struct PlanTemplate {
    pub stages: Vec<(StageClaim, Vec<CallTemplate>)>,
}

#[derive(Debug)]
pub(crate) struct CallTemplate {
    pub service: usize,
    pub required: bool,
}

impl PlanTemplate {
    /// From settings that were checked; `place` finds a service by its name.
    pub fn new(plan: &config::PlanConfig, place: impl Fn(&str) -> Option<usize>) -> Option<PlanTemplate> {
        let stage = |stage: &config::StageConfig| {
            let call = |call: &config::CallConfig| {
                place(&call.dependency).map(|service| CallTemplate { service, required: call.required })
            };
            let calls: Vec<CallTemplate> = stage.calls.iter().map(call).collect::<Option<_>>()?;
            let needed = calls.iter().any(|c| c.required);
            Some((
                StageClaim {
                    weight: stage.weight,
                    min_time: stage.min_time,
                    max_time: stage.max_time,
                    required: needed,
                },
                calls,
            ))
        };
        let stages = plan.stages.iter().map(stage).collect::<Option<_>>()?;
        Some(PlanTemplate { stages })
    }

    /// Whether it calls the service at this place.
    pub fn calls(&self, service: usize) -> bool {
        self.stages.iter().any(|(_, calls)| calls.iter().any(|c| c.service == service))
    }

    /// Claims of the stages from this one on.
    pub fn claims(&self, from: usize) -> Vec<StageClaim> {
        self.stages[from..].iter().map(|(claim, _)| *claim).collect()
    }
}

/// What a call of the present stage is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallState {
    /// It waits for a place, under this number.
    Queued(u64),
    /// One or two attempts are under way.
    InFlight,
    /// It waits before another attempt.
    BackingOff,
    /// It is over.
    Finished(Part),
}

/// A call of the present stage.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    pub service: usize,
    pub required: bool,
    pub state: CallState,
    /// Attempts after the first that were begun or are planned, hedges left out.
    pub retries: u32,
    /// The next attempt is paid for out of the budget.
    pub holds_retry_token: bool,
    /// Endpoints that have been tried.
    pub tried_endpoints: Vec<usize>,
    pub in_flight: Vec<AttemptId>,
    /// How the last attempt ended.
    pub last_failure: MissingReason,
}

impl ActiveCall {
    pub fn new(call: &CallTemplate) -> ActiveCall {
        ActiveCall {
            service: call.service,
            required: call.required,
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

    /// Over without what the request needs.
    pub fn fails_plan(&self) -> bool {
        self.required && matches!(&self.state, CallState::Finished(part) if !part.has_body())
    }
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The stage of this number ends.
    StageEnd(usize),
    /// The pause of this call ends.
    BackoffEnd(usize),
    /// This attempt is slow by now.
    Hedge(usize, AttemptId),
}

/// A plan under way.
#[derive(Debug)]
pub(crate) struct ActivePlan {
    pub template: Rc<PlanTemplate>,
    pub class: Rc<str>,
    pub priority_level: u16,
    pub resource_key: Option<Rc<str>>,
    /// All of it ends by then.
    pub deadline: Micros,
    /// The request has begun a plan before: its calls are no first attempts.
    pub is_retry: bool,
    /// Number of the present stage, and when it ends.
    pub stage_index: usize,
    pub stage_deadline: Micros,
    /// Until when its needed calls may go on.
    pub required_deadline: Micros,
    pub calls: Vec<ActiveCall>,
    /// Parts of earlier stages, in their order.
    pub finished_parts: Vec<(Rc<str>, Part)>,
    /// Something of it may have had its effect.
    pub may_have_had_effect: bool,
    pub timers: Vec<(Micros, Timer)>,
}

impl ActivePlan {
    /// Until when a call of the present stage has time.
    pub fn call_deadline(&self, run: &ActiveCall) -> Micros {
        if run.required {
            self.required_deadline
        } else {
            self.stage_deadline
        }
    }
}

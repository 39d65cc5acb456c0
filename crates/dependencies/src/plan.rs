//! One plan under way.

use std::rc::Rc;

use umberloom::interface::Micros;

use crate::aggregation::{MissingReason, Part};
use crate::config;
use crate::time_budget::Claim;
use crate::AttemptId;

/// A plan as the engine carries it out: its calls name places of services. It never changes, so that a plan under
/// way ends as it began whatever the file says meanwhile.
#[derive(Debug)]
pub(crate) struct Spec {
    pub stages: Vec<(Claim, Vec<SpecCall>)>,
}

#[derive(Debug)]
pub(crate) struct SpecCall {
    pub service: usize,
    pub needed: bool,
}

impl Spec {
    /// From settings that were checked; `place` finds a service by its name.
    pub fn new(plan: &config::Plan, place: impl Fn(&str) -> Option<usize>) -> Option<Spec> {
        let stage = |stage: &config::Stage| {
            let call = |call: &config::Call| {
                place(&call.dependency).map(|service| SpecCall { service, needed: call.needed })
            };
            let calls: Vec<SpecCall> = stage.calls.iter().map(call).collect::<Option<_>>()?;
            let needed = calls.iter().any(|c| c.needed);
            Some((Claim { share: stage.share, least: stage.least, most: stage.most, needed }, calls))
        };
        let stages = plan.stages.iter().map(stage).collect::<Option<_>>()?;
        Some(Spec { stages })
    }

    /// Whether it calls the service at this place.
    pub fn calls(&self, service: usize) -> bool {
        self.stages.iter().any(|(_, calls)| calls.iter().any(|c| c.service == service))
    }

    /// Claims of the stages from this one on.
    pub fn claims(&self, from: usize) -> Vec<Claim> {
        self.stages[from..].iter().map(|(claim, _)| *claim).collect()
    }
}

/// What a call of the present stage is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Doing {
    /// It waits for a place, under this number.
    Waiting(u64),
    /// One or two attempts are under way.
    Flying,
    /// It waits before another attempt.
    Paused,
    /// It is over.
    Over(Part),
}

/// A call of the present stage.
#[derive(Debug)]
pub(crate) struct Run {
    pub service: usize,
    pub needed: bool,
    pub doing: Doing,
    /// Attempts after the first that were begun or are planned, hedges left out.
    pub further: u32,
    /// The next attempt is paid for out of the budget.
    pub paid: bool,
    /// Endpoints that have been tried.
    pub tried: Vec<usize>,
    pub flying: Vec<AttemptId>,
    /// How the last attempt ended.
    pub last: MissingReason,
}

impl Run {
    pub fn new(call: &SpecCall) -> Run {
        Run {
            service: call.service,
            needed: call.needed,
            doing: Doing::Paused,
            further: 0,
            paid: false,
            tried: Vec::new(),
            flying: Vec::new(),
            last: MissingReason::NoTime,
        }
    }

    pub fn is_over(&self) -> bool {
        matches!(self.doing, Doing::Over(_))
    }

    /// Over without what the request needs.
    pub fn is_lost(&self) -> bool {
        self.needed && matches!(&self.doing, Doing::Over(part) if !part.is_there())
    }
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The stage of this number ends.
    Stage(usize),
    /// The pause of this call ends.
    Pause(usize),
    /// This attempt is slow by now.
    Hedge(usize, AttemptId),
}

/// A plan under way.
#[derive(Debug)]
pub(crate) struct Plan {
    pub spec: Rc<Spec>,
    pub class: Rc<str>,
    pub level: u16,
    pub key: Option<Rc<str>>,
    /// All of it ends by then.
    pub deadline: Micros,
    /// The request has begun a plan before: its calls are no first attempts.
    pub again: bool,
    /// Number of the present stage, and when it ends.
    pub stage: usize,
    pub stage_until: Micros,
    /// Until when its needed calls may go on.
    pub needed_until: Micros,
    pub runs: Vec<Run>,
    /// Parts of earlier stages, in their order.
    pub done: Vec<(Rc<str>, Part)>,
    /// Something of it may have had its effect.
    pub touched: bool,
    pub timers: Vec<(Micros, Timer)>,
}

impl Plan {
    /// Until when a call of the present stage has time.
    pub fn until(&self, run: &Run) -> Micros {
        if run.needed {
            self.needed_until
        } else {
            self.stage_until
        }
    }
}

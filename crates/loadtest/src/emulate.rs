//! The decisions about dependencies on a clock of their own: scripted calls, no sockets, minutes in a moment.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::config::Config;
use umberloom_dependencies::{Action, AttemptId, CallCounts, Engine, PlanId, PlanRequest};

pub const MS: Micros = 1_000;

/// How a call to this dependency ends that starts now, and after how long.
pub type CallModel = Box<dyn FnMut(Micros, &str, &mut ChaCha8Rng) -> (Micros, Outcome)>;

/// What became of one plan.
#[derive(Clone, Copy, Debug)]
pub struct FinishedPlan {
    pub started_at: Micros,
    pub duration: Micros,
    pub outcome: Outcome,
    pub complete: bool,
}

/// A host on a clock of its own.
pub struct Emulation {
    engine: Engine,
    call_model: CallModel,
    random: ChaCha8Rng,
    pub now: Micros,
    attempt_ends: BTreeSet<(Micros, AttemptId)>,
    outcomes: BTreeMap<AttemptId, Outcome>,
    plan_starts: BTreeMap<PlanId, Micros>,
    pub finished: Vec<FinishedPlan>,
    last_plan: PlanId,
}

impl Emulation {
    pub fn new(config: Config, seed: u64, call_model: CallModel) -> Result<Emulation, String> {
        let engine = Engine::new(0, config, seed).map_err(|errors| format!("{errors:?}"))?;
        Ok(Emulation {
            engine,
            call_model,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            attempt_ends: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            plan_starts: BTreeMap::new(),
            finished: Vec::new(),
            last_plan: 0,
        })
    }

    /// A run asks, with so much time in all.
    pub fn start_plan(&mut self, class: &str, time_limit: Micros) {
        self.last_plan += 1;
        let call_deadline = self.now + time_limit;
        // Nothing is set aside for the run: that is the same for all variants.
        let request_deadline = call_deadline + 1_000_000 * MS;
        let request = PlanRequest {
            plan: self.last_plan,
            class,
            priority_level: 1,
            resource_key: None,
            call_deadline,
            request_deadline,
            is_retry: false,
        };
        self.plan_starts.insert(self.last_plan, self.now);
        let mut actions = Vec::new();
        self.engine.start_plan(self.now, &request, &mut actions);
        self.apply(actions);
    }

    pub fn run_until(&mut self, end: Micros) {
        loop {
            let timer = self.engine.next_timeout().filter(|&at| at <= end);
            let attempt_end = self.attempt_ends.first().copied().filter(|(at, _)| *at <= end);
            let mut actions = Vec::new();
            match (timer, attempt_end) {
                (Some(at), attempt_end) if attempt_end.is_none_or(|(end_at, _)| at < end_at) => {
                    self.now = self.now.max(at);
                    self.engine.handle_timeout(self.now, &mut actions);
                }
                (_, Some((at, id))) => {
                    self.attempt_ends.pop_first();
                    self.now = self.now.max(at);
                    if let Some(outcome) = self.outcomes.remove(&id) {
                        self.engine.handle_attempt_end(self.now, id, outcome, Vec::new(), &mut actions);
                    }
                }
                _ => break,
            }
            self.apply(actions);
        }
        self.now = end;
    }

    pub fn counts(&self) -> CallCounts {
        self.engine.counts()
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt { attempt, dependency, deadline, .. } => {
                    let (delay, outcome) = (self.call_model)(self.now, &dependency, &mut self.random);
                    let at = self.now.saturating_add(delay);
                    let (at, outcome) =
                        if at > deadline { (deadline, Outcome::TimedOut) } else { (at, outcome) };
                    self.attempt_ends.insert((at, attempt));
                    self.outcomes.insert(attempt, outcome);
                }
                Action::CancelAttempt(attempt) => drop(self.outcomes.remove(&attempt)),
                Action::FinishPlan { plan, outcome, response } => {
                    let started_at = self.plan_starts.remove(&plan).unwrap_or(self.now);
                    let complete = response.is_some_and(|e| e.is_complete());
                    self.finished.push(FinishedPlan {
                        started_at,
                        duration: self.now - started_at,
                        outcome,
                        complete,
                    });
                }
            }
        }
    }
}

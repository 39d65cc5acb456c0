//! Runs the dependency engine on virtual time. No call is made over a socket: a model gives its duration and
//! outcome.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::config::Config;
use umberloom_dependencies::{Action, AttemptId, CallCounts, Engine, PlanId, PlanRequest};

/// One millisecond, in microseconds.
pub const MS: Micros = 1_000;

/// Returns the duration in microseconds and the outcome of a call that starts now (first argument) to the
/// named dependency.
pub type CallModel = Box<dyn FnMut(Micros, &str, &mut ChaCha8Rng) -> (Micros, Outcome)>;

/// A call plan that has finished, with its times in virtual microseconds.
#[derive(Clone, Copy, Debug)]
pub struct FinishedPlan {
    pub started_at: Micros,
    pub duration: Micros,
    pub outcome: Outcome,
    /// Whether there is an aggregated response in which every part is fresh.
    pub complete: bool,
}

/// A host of the dependency engine on virtual time.
pub struct Emulation {
    engine: Engine,
    call_model: CallModel,
    random: ChaCha8Rng,
    pub now: Micros,
    /// The attempts that will end, by the time of their end.
    attempt_ends: BTreeSet<(Micros, AttemptId)>,
    /// The outcome of each attempt that will end; a cancelled attempt has none.
    outcomes: BTreeMap<AttemptId, Outcome>,
    /// When each running plan started.
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

    /// Starts a plan of this class whose calls have `time_limit` in all.
    pub fn start_plan(&mut self, class: &str, time_limit: Micros) {
        self.last_plan += 1;
        let call_deadline = self.now + time_limit;
        // The request deadline is 1000 s later, so no time is reserved for the run itself. That is the same
        // in all variants.
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

    /// Handles timeouts and ends of attempts in the order of their times, up to and including `end`.
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

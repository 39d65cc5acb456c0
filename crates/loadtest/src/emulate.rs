//! The decisions about dependencies on a clock of their own: scripted calls, no sockets, minutes in a moment.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::config::Config;
use umberloom_dependencies::{Action, AttemptId, CallCounts, Engine, PlanId, PlanRequest};

pub const MS: Micros = 1_000;

/// How a call to this dependency ends that starts now, and after how long.
pub type Script = Box<dyn FnMut(Micros, &str, &mut ChaCha8Rng) -> (Micros, Outcome)>;

/// What became of one plan.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub asked: Micros,
    pub took: Micros,
    pub outcome: Outcome,
    pub whole: bool,
}

/// A host on a clock of its own.
pub struct Emulation {
    engine: Engine,
    script: Script,
    random: ChaCha8Rng,
    pub now: Micros,
    coming: BTreeSet<(Micros, AttemptId)>,
    outcomes: BTreeMap<AttemptId, Outcome>,
    asked: BTreeMap<PlanId, Micros>,
    pub ended: Vec<Ended>,
    next: PlanId,
}

impl Emulation {
    pub fn new(config: Config, seed: u64, script: Script) -> Result<Emulation, String> {
        let engine = Engine::new(0, config, seed).map_err(|mistakes| format!("{mistakes:?}"))?;
        Ok(Emulation {
            engine,
            script,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            coming: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            asked: BTreeMap::new(),
            ended: Vec::new(),
            next: 0,
        })
    }

    /// A run asks, with so much time in all.
    pub fn ask(&mut self, class: &str, time: Micros) {
        self.next += 1;
        let until = self.now + time;
        // Nothing is set aside for the run: that is the same for all variants.
        let due = until + 1_000_000 * MS;
        let ask = PlanRequest {
            plan: self.next,
            class,
            priority_level: 1,
            resource_key: None,
            call_deadline: until,
            request_deadline: due,
            is_retry: false,
        };
        self.asked.insert(self.next, self.now);
        let mut actions = Vec::new();
        self.engine.start_plan(self.now, &ask, &mut actions);
        self.carry_out(actions);
    }

    pub fn run_until(&mut self, end: Micros) {
        loop {
            let timer = self.engine.next_timeout().filter(|&at| at <= end);
            let reply = self.coming.first().copied().filter(|(at, _)| *at <= end);
            let mut actions = Vec::new();
            match (timer, reply) {
                (Some(at), reply) if reply.is_none_or(|(r, _)| at < r) => {
                    self.now = self.now.max(at);
                    self.engine.handle_timeout(self.now, &mut actions);
                }
                (_, Some((at, id))) => {
                    self.coming.pop_first();
                    self.now = self.now.max(at);
                    if let Some(outcome) = self.outcomes.remove(&id) {
                        self.engine.handle_attempt_end(self.now, id, outcome, Vec::new(), &mut actions);
                    }
                }
                _ => break,
            }
            self.carry_out(actions);
        }
        self.now = end;
    }

    pub fn counts(&self) -> CallCounts {
        self.engine.counts()
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt { attempt, dependency, deadline: until, .. } => {
                    let (after, outcome) = (self.script)(self.now, &dependency, &mut self.random);
                    let at = self.now.saturating_add(after);
                    let (at, outcome) = if at > until { (until, Outcome::TimedOut) } else { (at, outcome) };
                    self.coming.insert((at, attempt));
                    self.outcomes.insert(attempt, outcome);
                }
                Action::CancelAttempt(attempt) => drop(self.outcomes.remove(&attempt)),
                Action::FinishPlan { plan, outcome, response: envelope } => {
                    let asked = self.asked.remove(&plan).unwrap_or(self.now);
                    let whole = envelope.is_some_and(|e| e.is_complete());
                    self.ended.push(Ended { asked, took: self.now - asked, outcome, whole });
                }
            }
        }
    }
}

//! A host without sockets. Attempts end as a script decides, and every action of the engine is checked.

use std::collections::BTreeMap;

use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::aggregation::{AggregateResponse, NamedPart, Part};
use umberloom_dependencies::config::{CallConfig, Config, DependencyConfig, PlanConfig, StageConfig};
use umberloom_dependencies::{Action, AttemptId, Engine, PlanId, PlanRequest};

pub const MS: Micros = 1_000;

/// An attempt that was started.
#[derive(Clone, Debug)]
pub struct StartedAttempt {
    pub attempt: AttemptId,
    pub plan: PlanId,
    pub dependency: String,
    pub address: String,
    pub deadline: Micros,
}

/// Decides how long an attempt takes and how it ends. An attempt that would take longer than until its
/// deadline is reported as timed out at the deadline.
pub type Script = Box<dyn FnMut(&StartedAttempt) -> (Micros, Outcome)>;

/// How a plan ended.
#[derive(Clone, Debug)]
pub struct EndedPlan {
    pub at: Micros,
    pub outcome: Outcome,
    pub response: Option<AggregateResponse>,
}

/// What the host knows about a plan, to check the engine's actions.
#[derive(Default)]
struct HostPlan {
    class: String,
    key: Option<String>,
    deadline: Micros,
    cancelled: bool,
    /// Whether an attempt was made for which it is not certain that nothing ran.
    may_have_had_effect: bool,
    /// Replies of attempts that succeeded, by dependency.
    replies: BTreeMap<String, Vec<u8>>,
    /// Dependencies that must not be called again.
    not_retriable: Vec<String>,
    ended: Option<EndedPlan>,
}

/// Dependency, class and resource key.
type CacheKey = (String, String, String);

pub struct SimulatedHost {
    pub engine: Engine,
    pub now: Micros,
    pub script: Script,
    pub started: Vec<StartedAttempt>,
    config: Config,
    in_flight: BTreeMap<AttemptId, StartedAttempt>,
    /// Outcomes of attempts in flight, by the time at which they end.
    replies_due: BTreeMap<(Micros, AttemptId), Outcome>,
    plans: BTreeMap<PlanId, HostPlan>,
    /// Replies that the engine may use as cached fallbacks later, with the times at which they were received.
    cacheable_replies: BTreeMap<CacheKey, Vec<(Micros, Vec<u8>)>>,
}

pub fn call(dependency: &str, required: bool) -> CallConfig {
    CallConfig { dependency: dependency.to_owned(), required }
}

pub fn stage(calls: Vec<CallConfig>) -> StageConfig {
    StageConfig { weight: 1.0, min_time: 0, max_time: 60_000 * MS, calls }
}

pub fn plan(class: &str, stages: Vec<StageConfig>) -> PlanConfig {
    PlanConfig { class: class.to_owned(), stages }
}

pub fn config(dependencies: Vec<DependencyConfig>, plans: Vec<PlanConfig>) -> Config {
    Config { dependencies, plans, ..Config::default() }
}

impl SimulatedHost {
    pub fn new(
        config: Config,
        script: impl FnMut(&StartedAttempt) -> (Micros, Outcome) + 'static,
    ) -> SimulatedHost {
        SimulatedHost {
            engine: Engine::new(0, config.clone(), 11).expect("a valid configuration"),
            now: 0,
            script: Box::new(script),
            started: Vec::new(),
            config,
            in_flight: BTreeMap::new(),
            replies_due: BTreeMap::new(),
            plans: BTreeMap::new(),
            cacheable_replies: BTreeMap::new(),
        }
    }

    /// Starts a plan whose calls have `time` microseconds.
    pub fn start_plan(&mut self, id: PlanId, class: &str, time: Micros) {
        self.start_plan_as(id, class, time, 1, None, false);
    }

    pub fn start_plan_as(
        &mut self,
        id: PlanId,
        class: &str,
        time: Micros,
        priority_level: u16,
        resource_key: Option<&str>,
        is_retry: bool,
    ) {
        let call_deadline = self.now + time;
        // The deadline is so late that the reserve for local work has no effect, which has a test of its own.
        let request_deadline = call_deadline + 1_000_000_000_000;
        let request = PlanRequest {
            plan: id,
            class,
            priority_level,
            resource_key,
            call_deadline,
            request_deadline,
            is_retry,
        };
        let plan = HostPlan {
            class: class.to_owned(),
            key: resource_key.map(String::from),
            deadline: call_deadline,
            ..HostPlan::default()
        };
        self.plans.insert(id, plan);
        let mut actions = Vec::new();
        self.engine.start_plan(self.now, &request, &mut actions);
        self.execute(actions);
    }

    pub fn cancel_plan(&mut self, id: PlanId) {
        if let Some(plan) = self.plans.get_mut(&id) {
            plan.cancelled = true;
        }
        let mut actions = Vec::new();
        self.engine.cancel_plan(self.now, id, &mut actions);
        self.execute(actions);
    }

    pub fn reconfigure(&mut self, config: Config) {
        self.engine.reconfigure(self.now, config.clone()).expect("a valid configuration");
        self.config = config;
    }

    pub fn run_until(&mut self, end: Micros) {
        loop {
            let timer = self.engine.next_timeout();
            let reply = self.replies_due.first_key_value().map(|(&(at, id), _)| (at, id));
            match (timer, reply) {
                // If a reply and a timer are due at the same time, the reply is handled first at even times
                // and the timer at odd ones, so that both orders are tested.
                (Some(at), reply)
                    if at <= end && reply.is_none_or(|(r, _)| at < r || (at == r && at % 2 == 1)) =>
                {
                    self.now = self.now.max(at);
                    let mut actions = Vec::new();
                    self.engine.handle_timeout(self.now, &mut actions);
                    self.execute(actions);
                }
                (_, Some((at, id))) if at <= end => {
                    self.now = self.now.max(at);
                    self.handle_reply(at, id);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Runs until the plan has ended.
    pub fn run_until_end_of(&mut self, id: PlanId) -> EndedPlan {
        while self.plans[&id].ended.is_none() {
            let next = self
                .engine
                .next_timeout()
                .into_iter()
                .chain(self.replies_due.keys().map(|(at, _)| *at))
                .min();
            self.run_until(next.expect("a plan in flight waits for something"));
        }
        self.ended_plan(id).expect("a plan that has ended")
    }

    pub fn ended_plan(&self, id: PlanId) -> Option<EndedPlan> {
        self.plans[&id].ended.clone()
    }

    /// Plans that have ended, in the order of their IDs.
    pub fn ended_plans(&self) -> impl Iterator<Item = (PlanId, &EndedPlan)> {
        self.plans.iter().filter_map(|(id, p)| p.ended.as_ref().map(|e| (*id, e)))
    }

    fn handle_reply(&mut self, at: Micros, id: AttemptId) {
        let outcome = self.replies_due.remove(&(at, id)).expect("a reply");
        let Some(call) = self.in_flight.remove(&id) else {
            // A reply to a cancelled attempt may still arrive and must have no effect.
            let mut actions = Vec::new();
            self.engine.handle_attempt_end(self.now, id, outcome, b"late".to_vec(), &mut actions);
            assert_eq!(actions, []);
            return;
        };
        let body = format!("{}/{id}", call.dependency).into_bytes();
        let plan = self.plans.get_mut(&call.plan).expect("a started plan");
        plan.may_have_had_effect |= !outcome.never_ran();
        if outcome == Outcome::Ok {
            plan.replies.insert(call.dependency.clone(), body.clone());
            if let Some(key) = plan.key.clone() {
                let key = (call.dependency.clone(), plan.class.clone(), key);
                self.cacheable_replies.entry(key).or_default().push((self.now, body.clone()));
            }
        }
        let idempotent = self.config.dependencies.iter().any(|d| d.name == call.dependency && d.idempotent);
        if !outcome.never_ran() && !idempotent {
            plan.not_retriable.push(call.dependency.clone());
        }
        let mut actions = Vec::new();
        self.engine.handle_attempt_end(self.now, id, outcome, body, &mut actions);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt { attempt, plan, dependency, address, deadline } => {
                    let (dependency, address) = (dependency.to_string(), address.to_string());
                    self.start(StartedAttempt { attempt, plan, dependency, address, deadline });
                }
                Action::CancelAttempt(id) => {
                    let call = self.in_flight.remove(&id).expect("only an attempt in flight is cancelled");
                    if let Some(plan) = self.plans.get_mut(&call.plan) {
                        plan.may_have_had_effect = true;
                    }
                }
                Action::FinishPlan { plan, outcome, response } => {
                    self.finish_plan(plan, EndedPlan { at: self.now, outcome, response });
                }
            }
        }
        assert_eq!(self.engine.check_invariants(), Ok(()));
    }

    fn start(&mut self, call: StartedAttempt) {
        let plan = &self.plans[&call.plan];
        assert!(plan.ended.is_none() && !plan.cancelled, "an attempt for a plan that has ended");
        assert!(
            call.deadline <= plan.deadline && call.deadline >= self.now,
            "an attempt beyond the deadline"
        );
        assert!(!plan.not_retriable.contains(&call.dependency), "a call that may have run is retried");
        let config = self.config.dependencies.iter().find(|d| d.name == call.dependency);
        let to_dependency = |f: &&StartedAttempt| f.dependency == call.dependency;
        let to_endpoint = |f: &&StartedAttempt| to_dependency(f) && f.address == call.address;
        if let Some(config) = config {
            assert!(
                self.in_flight.values().filter(to_dependency).count() < config.concurrency_ceiling(),
                "over the ceiling"
            );
            let at_endpoint = self.in_flight.values().filter(to_endpoint).count();
            assert!(at_endpoint < config.endpoint_concurrency_limit.max, "over the endpoint's limit");
        }
        let (after, outcome) = (self.script)(&call);
        let at = self.now.saturating_add(after);
        let (at, outcome) =
            if at > call.deadline { (call.deadline, Outcome::TimedOut) } else { (at, outcome) };
        self.replies_due.insert((at, call.attempt), outcome);
        self.in_flight.insert(call.attempt, call.clone());
        self.started.push(call);
    }

    fn finish_plan(&mut self, id: PlanId, end: EndedPlan) {
        let config = &self.config;
        let plan = self.plans.get_mut(&id).expect("a started plan");
        assert!(plan.ended.is_none() && !plan.cancelled, "a plan that has ended or was cancelled ends again");
        assert!(self.now <= plan.deadline, "ended at {}, its deadline was {}", self.now, plan.deadline);
        assert!(!self.in_flight.values().any(|f| f.plan == id), "an attempt of it is still in flight");
        assert_eq!(end.outcome == Outcome::Ok, end.response.is_some());
        if end.outcome.never_ran() {
            assert!(!plan.may_have_had_effect, "rejected although it may have had an effect");
        }
        let configured = config.plans.iter().find(|p| p.class == plan.class);
        let calls = configured.iter().flat_map(|p| &p.stages).flat_map(|s| &s.calls);
        let parts = end.response.iter().flat_map(|e| &e.parts);
        let names: Vec<&str> = parts.clone().map(|named| &*named.name).collect();
        if end.outcome == Outcome::Ok {
            assert_eq!(names, calls.clone().map(|c| c.dependency.as_str()).collect::<Vec<_>>());
        }
        for (NamedPart { name, part }, call) in parts.zip(calls) {
            assert!(part.has_body() || !call.required, "{name} is required");
            let reply = plan.replies.get(&**name);
            match part {
                Part::Fresh(body) => assert_eq!(reply.map(Vec::as_slice), Some(&**body)),
                Part::Cached { body, age } => {
                    assert_eq!(reply, None);
                    let key = plan.key.clone().expect("a key");
                    let cached = &self.cacheable_replies[&(name.to_string(), plan.class.clone(), key)];
                    let found = cached
                        .iter()
                        .rev()
                        .find(|(_, b)| b[..] == body[..])
                        .expect("a reply that was received");
                    assert!(*age >= self.now.saturating_sub(found.0).min(*age) && found.0 + age <= self.now);
                }
                Part::Constant(_) | Part::Missing(_) => assert_eq!(reply, None, "{name} has a reply"),
            }
        }
        plan.ended = Some(end);
    }
}

/// The parts of a response in one line, such as `a: fresh, b: BreakerOpen`.
pub fn describe_parts(end: &EndedPlan) -> String {
    let Some(response) = &end.response else { return format!("{:?}", end.outcome) };
    let describe = |part: &Part| match part {
        Part::Fresh(_) => "fresh".to_owned(),
        Part::Cached { age, .. } => format!("kept {}", age / MS),
        Part::Constant(_) => "constant".to_owned(),
        Part::Missing(reason) => format!("{reason:?}"),
    };
    let all: Vec<String> =
        response.parts.iter().map(|named| format!("{}: {}", named.name, describe(&named.part))).collect();
    all.join(", ")
}

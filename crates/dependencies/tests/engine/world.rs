//! A host without sockets: calls end as a script says, and everything that the engine does is held to its rules.

use std::collections::BTreeMap;

use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::aggregation::{AggregateResponse, NamedPart, Part};
use umberloom_dependencies::config::{CallConfig, Config, DependencyConfig, PlanConfig, StageConfig};
use umberloom_dependencies::{Action, AttemptId, Engine, PlanId, PlanRequest};

pub const MS: Micros = 1_000;

/// A call that was started.
#[derive(Clone, Debug)]
pub struct Started {
    pub attempt: AttemptId,
    pub plan: PlanId,
    pub dependency: String,
    pub address: String,
    pub until: Micros,
}

/// How a call ends, after how long. One that never does is told as timed out when it is given up.
pub type Script = Box<dyn FnMut(&Started) -> (Micros, Outcome)>;

/// What became of a plan.
#[derive(Clone, Debug)]
pub struct Ended {
    pub at: Micros,
    pub outcome: Outcome,
    pub envelope: Option<AggregateResponse>,
}

#[derive(Default)]
struct Asked {
    class: String,
    key: Option<String>,
    until: Micros,
    given_up: bool,
    /// Something was sent of which it is not certain that it never ran.
    touched: bool,
    /// Good replies, by dependency.
    replies: BTreeMap<String, Vec<u8>>,
    /// Dependencies that may not be called again.
    barred: Vec<String>,
    ended: Option<Ended>,
}

type Subject = (String, String, String);

pub struct World {
    pub engine: Engine,
    pub now: Micros,
    pub script: Script,
    pub started: Vec<Started>,
    config: Config,
    flying: BTreeMap<AttemptId, Started>,
    /// Ends to come, in their order.
    coming: BTreeMap<(Micros, AttemptId), Outcome>,
    plans: BTreeMap<PlanId, Asked>,
    /// Replies that may be kept: when, by dependency, class and key.
    kept: BTreeMap<Subject, Vec<(Micros, Vec<u8>)>>,
}

pub fn call(dependency: &str, needed: bool) -> CallConfig {
    CallConfig { dependency: dependency.to_owned(), required: needed }
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

impl World {
    pub fn new(config: Config, script: impl FnMut(&Started) -> (Micros, Outcome) + 'static) -> World {
        World {
            engine: Engine::new(0, config.clone(), 11).expect("no mistakes"),
            now: 0,
            script: Box::new(script),
            started: Vec::new(),
            config,
            flying: BTreeMap::new(),
            coming: BTreeMap::new(),
            plans: BTreeMap::new(),
            kept: BTreeMap::new(),
        }
    }

    /// A run asks, with this much time until its request is due. All of it may be spent on calls.
    pub fn ask(&mut self, id: PlanId, class: &str, time: Micros) {
        self.ask_as(id, class, time, 1, None, false);
    }

    pub fn ask_as(
        &mut self,
        id: PlanId,
        class: &str,
        time: Micros,
        level: u16,
        key: Option<&str>,
        again: bool,
    ) {
        let until = self.now + time;
        // What is set aside for the run is tested by itself: here nothing is.
        let due = until + 1_000_000_000_000;
        let ask = PlanRequest {
            plan: id,
            class,
            priority_level: level,
            resource_key: key,
            call_deadline: until,
            request_deadline: due,
            is_retry: again,
        };
        let asked = Asked { class: class.to_owned(), key: key.map(String::from), until, ..Asked::default() };
        self.plans.insert(id, asked);
        let mut actions = Vec::new();
        self.engine.start_plan(self.now, &ask, &mut actions);
        self.carry_out(actions);
    }

    pub fn give_up(&mut self, id: PlanId) {
        if let Some(plan) = self.plans.get_mut(&id) {
            plan.given_up = true;
        }
        let mut actions = Vec::new();
        self.engine.cancel_plan(self.now, id, &mut actions);
        self.carry_out(actions);
    }

    pub fn set(&mut self, config: Config) {
        self.engine.reconfigure(self.now, config.clone()).expect("no mistakes");
        self.config = config;
    }

    pub fn run_until(&mut self, end: Micros) {
        loop {
            let timer = self.engine.next_timeout();
            let reply = self.coming.first_key_value().map(|(&(at, id), _)| (at, id));
            match (timer, reply) {
                // What comes at the same moment is heard before the time is up, on even moments.
                (Some(at), reply)
                    if at <= end && reply.is_none_or(|(r, _)| at < r || (at == r && at % 2 == 1)) =>
                {
                    self.now = self.now.max(at);
                    let mut actions = Vec::new();
                    self.engine.handle_timeout(self.now, &mut actions);
                    self.carry_out(actions);
                }
                (_, Some((at, id))) if at <= end => {
                    self.now = self.now.max(at);
                    self.hear(at, id);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Runs on until the plan is over.
    pub fn end_of(&mut self, id: PlanId) -> Ended {
        while self.plans[&id].ended.is_none() {
            let next =
                self.engine.next_timeout().into_iter().chain(self.coming.keys().map(|(at, _)| *at)).min();
            self.run_until(next.expect("a plan under way has something to wait for"));
        }
        self.ended(id).expect("just seen")
    }

    pub fn ended(&self, id: PlanId) -> Option<Ended> {
        self.plans[&id].ended.clone()
    }

    /// What is over, in the order of the names.
    pub fn all_ended(&self) -> impl Iterator<Item = (PlanId, &Ended)> {
        self.plans.iter().filter_map(|(id, p)| p.ended.as_ref().map(|e| (*id, e)))
    }

    fn hear(&mut self, at: Micros, id: AttemptId) {
        let outcome = self.coming.remove(&(at, id)).expect("a reply");
        let Some(call) = self.flying.remove(&id) else {
            // A reply to what was cancelled may still come; it must change nothing.
            let mut actions = Vec::new();
            self.engine.handle_attempt_end(self.now, id, outcome, b"late".to_vec(), &mut actions);
            assert_eq!(actions, []);
            return;
        };
        let body = format!("{}/{id}", call.dependency).into_bytes();
        let plan = self.plans.get_mut(&call.plan).expect("asked");
        plan.touched |= !outcome.never_ran();
        if outcome == Outcome::Ok {
            plan.replies.insert(call.dependency.clone(), body.clone());
            if let Some(key) = plan.key.clone() {
                let subject = (call.dependency.clone(), plan.class.clone(), key);
                self.kept.entry(subject).or_default().push((self.now, body.clone()));
            }
        }
        let repeatable = self.config.dependencies.iter().any(|d| d.name == call.dependency && d.idempotent);
        if !outcome.never_ran() && !repeatable {
            plan.barred.push(call.dependency.clone());
        }
        let mut actions = Vec::new();
        self.engine.handle_attempt_end(self.now, id, outcome, body, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt { attempt, plan, dependency, address, deadline: until } => {
                    let (dependency, address) = (dependency.to_string(), address.to_string());
                    self.start(Started { attempt, plan, dependency, address, until });
                }
                Action::CancelAttempt(id) => {
                    let call = self.flying.remove(&id).expect("only what flies can be cancelled");
                    if let Some(plan) = self.plans.get_mut(&call.plan) {
                        plan.touched = true;
                    }
                }
                Action::FinishPlan { plan, outcome, response: envelope } => {
                    self.done(plan, Ended { at: self.now, outcome, envelope })
                }
            }
        }
        assert_eq!(self.engine.check_invariants(), Ok(()));
    }

    fn start(&mut self, call: Started) {
        let plan = &self.plans[&call.plan];
        assert!(plan.ended.is_none() && !plan.given_up, "a call for a plan that is over");
        assert!(call.until <= plan.until && call.until >= self.now, "a call beyond its time");
        assert!(!plan.barred.contains(&call.dependency), "a call that may have run is made again");
        let settings = self.config.dependencies.iter().find(|d| d.name == call.dependency);
        let there = |f: &&Started| f.dependency == call.dependency;
        let here = |f: &&Started| there(f) && f.address == call.address;
        if let Some(settings) = settings {
            assert!(
                self.flying.values().filter(there).count() < settings.concurrency_ceiling(),
                "over the ceiling"
            );
            let at_endpoint = self.flying.values().filter(here).count();
            assert!(at_endpoint < settings.endpoint_concurrency_limit.max, "over the endpoint's limit");
        }
        let (after, outcome) = (self.script)(&call);
        let at = self.now.saturating_add(after);
        let (at, outcome) = if at > call.until { (call.until, Outcome::TimedOut) } else { (at, outcome) };
        self.coming.insert((at, call.attempt), outcome);
        self.flying.insert(call.attempt, call.clone());
        self.started.push(call);
    }

    fn done(&mut self, id: PlanId, end: Ended) {
        let settings = &self.config;
        let plan = self.plans.get_mut(&id).expect("asked");
        assert!(plan.ended.is_none() && !plan.given_up, "a second end");
        assert!(self.now <= plan.until, "over at {}, its time ended at {}", self.now, plan.until);
        assert!(!self.flying.values().any(|f| f.plan == id), "a call of it is still under way");
        assert_eq!(end.outcome == Outcome::Ok, end.envelope.is_some());
        if end.outcome.never_ran() {
            assert!(!plan.touched, "told as never run");
        }
        let spec = settings.plans.iter().find(|p| p.class == plan.class);
        let calls = spec.iter().flat_map(|p| &p.stages).flat_map(|s| &s.calls);
        let parts = end.envelope.iter().flat_map(|e| &e.parts);
        let names: Vec<&str> = parts.clone().map(|named| &*named.name).collect();
        if end.outcome == Outcome::Ok {
            assert_eq!(names, calls.clone().map(|c| c.dependency.as_str()).collect::<Vec<_>>());
        }
        for (NamedPart { name, part }, call) in parts.zip(calls) {
            assert!(part.has_body() || !call.required, "{name} is needed");
            let reply = plan.replies.get(&**name);
            match part {
                Part::Fresh(body) => assert_eq!(reply.map(Vec::as_slice), Some(&**body)),
                Part::Cached { body, age } => {
                    assert_eq!(reply, None);
                    let key = plan.key.clone().expect("a key");
                    let kept = &self.kept[&(name.to_string(), plan.class.clone(), key)];
                    let found = kept.iter().rev().find(|(_, b)| b[..] == body[..]).expect("once given");
                    assert!(*age >= self.now.saturating_sub(found.0).min(*age) && found.0 + age <= self.now);
                }
                Part::Constant(_) | Part::Missing(_) => assert_eq!(reply, None, "{name} has a reply"),
            }
        }
        plan.ended = Some(end);
    }
}

/// The parts of an envelope in one line, such as `a: fresh, b: left-out`.
pub fn parts(end: &Ended) -> String {
    let Some(envelope) = &end.envelope else { return format!("{:?}", end.outcome) };
    let word = |part: &Part| match part {
        Part::Fresh(_) => "fresh".to_owned(),
        Part::Cached { age, .. } => format!("kept {}", age / MS),
        Part::Constant(_) => "constant".to_owned(),
        Part::Missing(why) => format!("{why:?}"),
    };
    let all: Vec<String> =
        envelope.parts.iter().map(|named| format!("{}: {}", named.name, word(&named.part))).collect();
    all.join(", ")
}

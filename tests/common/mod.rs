//! Settings, events and a small host for the tests: it carries out actions as a machine would and
//! keeps score of the four rules.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use umberloom::interface::*;
use umberloom::AdmissionController;

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;

pub fn class(worth: f64) -> Class {
    Class {
        latency_objective: 2 * SEC,
        objective_per_cost: 0.0,
        deadline: 6 * SEC,
        priority_weight: worth,
        late_weight_share: 0.0,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 5 * SEC,
        calls_downstream: false,
        degraded_weight_share: 0.0,
    }
}

/// Two cores, two classes (worth 1 and 3), no tenants, nothing below.
pub fn settings() -> Settings {
    Settings {
        seed: 7,
        cores: 2,
        memory_kb: 100_000.0,
        run_memory_factor: 16.0,
        key_kb: 100.0,
        starts_cold: false,
        classes: vec![class(1.0), class(3.0)],
        tenants: Vec::new(),
        over_quota_weight_share: 0.1,
        tier: 0,
        servers: 4,
        callers: 2,
        downstream: Downstream::None,
        call_quota: 6.0,
        call_window: 5 * SEC,
        abandoned_call_lifetime: 200 * MS,
        preemption: Preemption::Pause,
        load_hint: LoadHintKind::None,
        shared_read_ttl: 0,
        retry_after_max: SEC,
        connection_cost: 0.02,
        idle_timeout_max: 30 * SEC,
        answer_slack: 60 * MS,
        drain_grace: 2_500 * MS,
        overload_per_core: 8.0,
        overload_window: 1_500 * MS,
        warm_up_initial_speed: 0.2,
        warm_up_time: 17 * SEC,
        tick: 4 * MS,
    }
}

pub fn arrival(name: &str, class: usize, waits: Micros) -> Arrival {
    Arrival {
        id: Arc::from(name),
        class,
        tenant: 0,
        caller: 1,
        caller_timeout: Some(waits),
        read_delay: 0,
        queued_kb: 20.0,
        rank: if class == 0 { 0.2 } else { 0.8 },
        cost: None,
        duplicate_of: None,
        is_retry: false,
    }
}

pub fn id(name: &str) -> RequestId {
    Arc::from(name)
}

/// One step; returns the actions.
pub fn step(server: &mut AdmissionController, now: Micros, events: Vec<Event>) -> Vec<Action> {
    let mut out = Vec::new();
    server.step(now, events, &mut out);
    out
}

/// One step with one request of each given name and class.
pub fn send(server: &mut AdmissionController, now: Micros, names: &[(&str, usize)]) -> Vec<Action> {
    let events = names.iter().map(|(n, c)| Event::Arrived(arrival(n, *c, 6 * SEC))).collect();
    step(server, now, events)
}

/// A server that knows from two runs that work is short.
pub fn taught(set: Settings) -> AdmissionController {
    let mut server = AdmissionController::new(0, set).expect("sound settings");
    for (name, class) in [("v", 0), ("w", 1)] {
        send(&mut server, 0, &[(name, class)]);
        step(&mut server, 0, vec![ended(name, MS)]);
    }
    server
}

pub fn busy() -> Event {
    Event::Timer(Gauges { cpu: Some(1.0), on_cores: Some(2.0), memory: Some(0.1), connections: Some(3.0) })
}

pub fn idle() -> Event {
    Event::Timer(Gauges { cpu: Some(0.2), on_cores: Some(0.0), memory: Some(0.1), connections: Some(3.0) })
}

pub fn ended(name: &str, took: Micros) -> Event {
    Event::RunEnded(id(name), Outcome::Ok, took)
}

pub fn admitted(actions: &[Action]) -> Vec<String> {
    let names =
        actions.iter().filter_map(|a| if let Action::Admit(id) = a { Some(id.to_string()) } else { None });
    names.collect()
}

pub fn refused(actions: &[Action]) -> Vec<String> {
    let names = actions.iter().filter_map(|a| match a {
        Action::Reject { id, .. } => Some(id.to_string()),
        _ => None,
    });
    names.collect()
}

pub fn failed(actions: &[Action]) -> Vec<String> {
    let names =
        actions.iter().filter_map(|a| if let Action::Fail(id) = a { Some(id.to_string()) } else { None });
    names.collect()
}

/// A small repeatable random source for generated events.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum At {
    Held,
    Running,
    Joined,
    Below,
    Calling,
}

struct Item {
    class: usize,
    reached: Micros,
    due: Micros,
    kb: f64,
    at: At,
    answered: bool,
    ran: bool,
    gone: bool,
    call_may_have_run: bool,
    started: Micros,
}

/// Carries out actions and checks each of the four rules after every step.
pub struct Host {
    pub set: Settings,
    pub server: AdmissionController,
    pub now: Micros,
    pub notice: Option<(Micros, Micros)>,
    pub most_running: usize,
    pub most_calling: usize,
    pub most_memory: f64,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    items: BTreeMap<RequestId, Item>,
    keys: BTreeMap<RequestId, Micros>,
    pub wake: Option<Micros>,
}

impl Host {
    pub fn new(set: Settings) -> Host {
        let server = AdmissionController::new(0, set.clone()).expect("the settings make sense");
        Host {
            set,
            server,
            now: 0,
            notice: None,
            most_running: 0,
            most_calling: 0,
            most_memory: 0.0,
            served: 0,
            refused: 0,
            failed: 0,
            items: BTreeMap::new(),
            keys: BTreeMap::new(),
            wake: None,
        }
    }

    /// Names of the requests at a stage that `pick` chooses from.
    pub fn running(&self) -> Vec<RequestId> {
        self.at(At::Running)
    }

    pub fn calling(&self) -> Vec<RequestId> {
        self.at(At::Calling)
    }

    pub fn joined(&self) -> Vec<RequestId> {
        self.at(At::Joined)
    }

    pub fn held(&self) -> Vec<RequestId> {
        self.at(At::Held)
    }

    pub fn open(&self) -> usize {
        self.items.values().filter(|i| !i.answered && !i.gone).count()
    }

    pub fn may_call(&self, id: &RequestId) -> bool {
        self.items.get(id).is_some_and(|i| self.set.classes[i.class].calls_downstream && !i.answered)
    }

    fn at(&self, at: At) -> Vec<RequestId> {
        self.items.iter().filter(|(_, i)| i.at == at).map(|(id, _)| id.clone()).collect()
    }

    /// The id of a live kept key, any.
    pub fn kept(&self) -> Option<RequestId> {
        self.keys.iter().find(|(_, end)| **end > self.now).map(|(id, _)| id.clone())
    }

    pub fn step(&mut self, events: Vec<Event>) -> Vec<Action> {
        for event in &events {
            self.note(event);
        }
        let mut out = Vec::new();
        self.server.step(self.now, events, &mut out);
        for action in &out {
            self.obey(action);
        }
        self.check();
        out
    }

    fn note(&mut self, event: &Event) {
        match event {
            Event::Arrived(a) => {
                let class = &self.set.classes[a.class];
                let reached = self.now - a.read_delay;
                let due = a.caller_timeout.map_or((reached + class.deadline).max(self.now), |w| self.now + w);
                let item = Item {
                    class: a.class,
                    reached,
                    due,
                    kb: a.queued_kb,
                    at: At::Held,
                    answered: false,
                    ran: false,
                    gone: false,
                    call_may_have_run: false,
                    started: 0,
                };
                assert!(self.items.insert(a.id.clone(), item).is_none(), "ids are new");
            }
            Event::RunEnded(id, outcome, _) => {
                if let Some(item) = self.items.remove(id) {
                    let answers = matches!(outcome, Outcome::Ok | Outcome::Error);
                    assert!(answers || item.answered || item.gone, "{id} ended without an answer");
                    self.served += usize::from(!item.answered && answers);
                }
            }
            Event::NeedsCall(id) => self.move_to(id, At::Below),
            Event::CallEnded(id, outcome, _) => {
                let ok = *outcome == Outcome::Ok;
                if let Some(item) = self.items.get_mut(id) {
                    item.call_may_have_run = !outcome.never_ran() && !ok;
                }
                self.move_to(id, if ok { At::Running } else { At::Below });
            }
            Event::Cancelled(id) => {
                let drop = self.items.get_mut(id).is_some_and(|item| {
                    item.gone = true;
                    matches!(item.at, At::Held | At::Joined)
                });
                if drop {
                    self.items.remove(id);
                }
            }
            Event::Drain { time_left: left, notified_ago: ago } => {
                self.notice = Some((self.now - ago, self.now + left))
            }
            Event::Timer(_) => self.wake = None,
        }
    }

    fn move_to(&mut self, id: &RequestId, at: At) {
        if let Some(item) = self.items.get_mut(id) {
            item.at = at;
        }
    }

    fn obey(&mut self, action: &Action) {
        match action {
            Action::Admit(id) => self.admit(id),
            Action::Reject { id, .. } => {
                let item = self.items.get(id).expect("refuses what is here");
                let safe = self.set.classes[item.class].idempotency == Idempotency::Idempotent;
                assert!(safe || !item.ran, "rule 2: {id} ran and is turned away");
                self.refused += 1;
                self.answer(id);
            }
            Action::Fail(id) => {
                self.failed += 1;
                self.answer(id);
            }
            Action::Call(id, _) => {
                let item = self.items.get_mut(id).expect("calls for what is here");
                assert_eq!(item.at, At::Below);
                let safe = self.set.classes[item.class].idempotency == Idempotency::Idempotent;
                assert!(safe || !item.call_may_have_run, "rule 2: the call of {id} is made again");
                item.at = At::Calling;
            }
            Action::SkipCall(id) => {
                let item = self.items.get_mut(id).expect("skips for what is here");
                assert!(
                    self.set.classes[item.class].degraded_weight_share > 0.0,
                    "that call can't be left out"
                );
                item.at = At::Running;
            }
            Action::RetainKey(id, span) => {
                self.keys.insert(id.clone(), self.now + span);
            }
            Action::ReleaseKey(id) => {
                self.keys.remove(id);
            }
            Action::AwaitDuplicate(id) => self.move_to(id, At::Joined),
            Action::Preempt(id) => {
                assert!(self.set.preemption != Preemption::Never, "nothing can be stopped here");
                assert!(self.items.get(id).is_none_or(|i| i.answered || i.gone), "stops only what is over");
            }
            Action::WakeAfter(after) => self.wake = Some(self.now + after),
            Action::SetLoadHint(x) => {
                assert!(self.set.load_hint != LoadHintKind::None && *x >= 0.0, "no value is sent here");
            }
            Action::SetReady(_) | Action::CloseIdle(_) | Action::Log(_) => {}
        }
    }

    fn admit(&mut self, id: &RequestId) {
        let item = self.items.get_mut(id).expect("admits what is here");
        assert_eq!(item.at, At::Held, "{id} is not held");
        assert!(!item.ran, "rule 2: {id} runs twice");
        if let Some((notice, _)) = self.notice {
            assert!(item.reached <= notice + self.set.drain_grace, "rule 3: {id} came too late to run");
        }
        item.at = At::Running;
        item.ran = true;
        item.started = self.now;
    }

    fn answer(&mut self, id: &RequestId) {
        let item = self.items.get_mut(id).expect("answers what is here");
        assert!(!item.answered, "rule 1: {id} is answered twice");
        item.answered = true;
        if matches!(item.at, At::Held | At::Joined) {
            self.items.remove(id);
        }
    }

    fn check(&mut self) {
        let now = self.now;
        self.keys.retain(|_, end| *end > now);
        for (id, item) in &self.items {
            let waits = !item.answered && !item.gone;
            assert!(!waits || now <= item.due + self.set.answer_slack, "rule 1: {id} is overdue");
            if let Some((_, stop)) = self.notice {
                assert!(!waits || now < stop, "rule 3: {id} is unanswered at the stop");
            }
        }
        let kb = |i: &Item| match i.at {
            At::Held | At::Joined => i.kb,
            _ => i.kb * self.set.run_memory_factor,
        };
        let memory = self.items.values().map(kb).sum::<f64>() + self.keys.len() as f64 * self.set.key_kb;
        assert!(memory <= self.set.memory_kb, "rule 4: {memory} kB of {}", self.set.memory_kb);
        self.most_memory = self.most_memory.max(memory / self.set.memory_kb);
        self.most_running = self.most_running.max(self.at(At::Running).len());
        self.most_calling = self.most_calling.max(self.at(At::Calling).len());
    }
}

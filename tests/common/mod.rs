//! Settings, events and a small host for the tests. The host executes actions as a server would and checks
//! the four guarantees after every step: 1. each request is answered once and in time; 2. nothing takes
//! effect twice; 3. a drain is clean; 4. overload is survived.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use umberloom::interface::*;
use umberloom::AdmissionController;

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;

pub fn class(priority_weight: f64) -> Class {
    Class {
        latency_objective: 2 * SEC,
        objective_per_cost: 0.0,
        deadline: 6 * SEC,
        priority_weight,
        late_weight_share: 0.0,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 5 * SEC,
        calls_downstream: false,
        degraded_weight_share: 0.0,
    }
}

/// Two cores, two classes of weights 1 and 3, no tenants and no downstream.
pub fn default_settings() -> Settings {
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

pub fn arrival(name: &str, class: usize, timeout: Micros) -> Arrival {
    Arrival {
        id: Arc::from(name),
        class,
        tenant: 0,
        caller: 1,
        caller_timeout: Some(timeout),
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

/// Passes the events to the controller in one step and returns its actions.
pub fn step(controller: &mut AdmissionController, now: Micros, events: Vec<Event>) -> Vec<Action> {
    let mut actions = Vec::new();
    controller.step(now, events, &mut actions);
    actions
}

/// One step in which one request of each given name and class arrives.
pub fn send(controller: &mut AdmissionController, now: Micros, names: &[(&str, usize)]) -> Vec<Action> {
    let events = names.iter().map(|(n, c)| Event::Arrived(arrival(n, *c, 6 * SEC))).collect();
    step(controller, now, events)
}

/// A controller that has learned run times of 1 ms from one run of each class.
pub fn controller_with_short_runs(settings: Settings) -> AdmissionController {
    let mut controller = AdmissionController::new(0, settings).expect("valid settings");
    for (name, class) in [("v", 0), ("w", 1)] {
        send(&mut controller, 0, &[(name, class)]);
        step(&mut controller, 0, vec![run_ended(name, MS)]);
    }
    controller
}

/// A timer with gauges that show busy cores without excess demand.
pub fn busy_timer() -> Event {
    Event::Timer(Gauges { cpu: Some(1.0), core_demand: Some(2.0), memory: Some(0.1), connections: Some(3.0) })
}

/// A timer with gauges that show idle cores.
pub fn idle_timer() -> Event {
    Event::Timer(Gauges { cpu: Some(0.2), core_demand: Some(0.0), memory: Some(0.1), connections: Some(3.0) })
}

pub fn run_ended(name: &str, run_time: Micros) -> Event {
    Event::RunEnded(id(name), Outcome::Ok, run_time)
}

pub fn admitted(actions: &[Action]) -> Vec<String> {
    let names =
        actions.iter().filter_map(|a| if let Action::Admit(id) = a { Some(id.to_string()) } else { None });
    names.collect()
}

pub fn rejected(actions: &[Action]) -> Vec<String> {
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

pub fn controller(settings: Settings) -> AdmissionController {
    AdmissionController::new(0, settings).expect("valid settings")
}

/// The Retry-After of this request's rejection and whether it is terminal, if it was rejected.
pub fn rejection(actions: &[Action], name: &str) -> Option<(Micros, bool)> {
    actions.iter().find_map(|a| match a {
        Action::Reject { id, retry_after, terminal } if **id == *name => Some((*retry_after, *terminal)),
        _ => None,
    })
}

/// A controller that has learned run times of `run_time`, and the time from which on both its cores are busy.
pub fn saturated_controller(settings: Settings, run_time: Micros) -> (AdmissionController, Micros) {
    let mut controller = controller(settings);
    let mut now = 0;
    for n in 0..8 {
        let (a, b) = (format!("a{n}"), format!("b{n}"));
        send(&mut controller, now, &[(&a, 0), (&b, 1)]);
        now += run_time;
        step(&mut controller, now, vec![run_ended(&a, run_time), run_ended(&b, run_time)]);
    }
    send(&mut controller, now, &[("run0", 0), ("run1", 1)]);
    (controller, now)
}

/// The arrival of a request from a caller that sends no other.
pub fn new_caller_arrival(n: u64) -> Event {
    Event::Arrived(Arrival { caller: 100 + n, ..arrival(&format!("s{n}"), 0, 6 * SEC) })
}

/// A controller that has learned run times of 1 ms, with both slots taken by requests of the lower class.
pub fn controller_with_two_running(settings: Settings) -> AdmissionController {
    let mut controller = controller_with_short_runs(settings);
    let actions = send(&mut controller, 0, &[("x", 0), ("y", 0)]);
    assert_eq!(admitted(&actions), ["x", "y"]);
    controller
}

/// A seeded pseudo-random number generator (xorshift).
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
enum Stage {
    Queued,
    Running,
    AwaitingDuplicate,
    AwaitingCall,
    Calling,
}

/// What the host knows of a request.
struct TrackedRequest {
    class: usize,
    /// When it reached the machine.
    received_at: Micros,
    deadline: Micros,
    /// Memory while queued, in kilobytes.
    queued_kb: f64,
    stage: Stage,
    answered: bool,
    /// Whether its run was started.
    ran: bool,
    /// Whether another attempt with the same idempotency key came before it.
    is_duplicate: bool,
    cancelled: bool,
    call_may_have_run: bool,
    started_at: Micros,
}

/// Executes actions and checks each of the four guarantees after every step.
pub struct Host {
    pub settings: Settings,
    pub controller: AdmissionController,
    pub now: Micros,
    /// Times of the drain notice and of the stop.
    pub drain: Option<(Micros, Micros)>,
    pub max_running: usize,
    pub max_calling: usize,
    /// The largest share of the memory that was in use.
    pub max_memory_share: f64,
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    requests: BTreeMap<RequestId, TrackedRequest>,
    /// When the retained idempotency keys expire.
    keys: BTreeMap<RequestId, Micros>,
    /// When the timer is due.
    pub timer_at: Option<Micros>,
}

impl Host {
    pub fn new(settings: Settings) -> Host {
        let controller = AdmissionController::new(0, settings.clone()).expect("valid settings");
        Host {
            settings,
            controller,
            now: 0,
            drain: None,
            max_running: 0,
            max_calling: 0,
            max_memory_share: 0.0,
            served: 0,
            rejected: 0,
            failed: 0,
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
            timer_at: None,
        }
    }

    /// The requests that are running.
    pub fn running(&self) -> Vec<RequestId> {
        self.in_stage(Stage::Running)
    }

    pub fn calling(&self) -> Vec<RequestId> {
        self.in_stage(Stage::Calling)
    }

    pub fn awaiting_duplicate(&self) -> Vec<RequestId> {
        self.in_stage(Stage::AwaitingDuplicate)
    }

    pub fn queued(&self) -> Vec<RequestId> {
        self.in_stage(Stage::Queued)
    }

    pub fn unanswered(&self) -> usize {
        self.requests.values().filter(|request| !request.answered && !request.cancelled).count()
    }

    pub fn may_call(&self, id: &RequestId) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| self.settings.classes[request.class].calls_downstream && !request.answered)
    }

    fn in_stage(&self, stage: Stage) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, request)| request.stage == stage).map(|(id, _)| id.clone()).collect()
    }

    /// A request whose idempotency key is retained now, if there is one.
    pub fn retained_key(&self) -> Option<RequestId> {
        self.keys.iter().find(|(_, expires_at)| **expires_at > self.now).map(|(id, _)| id.clone())
    }

    pub fn step(&mut self, events: Vec<Event>) -> Vec<Action> {
        for event in &events {
            self.record_event(event);
        }
        let mut actions = Vec::new();
        self.controller.step(self.now, events, &mut actions);
        for action in &actions {
            self.execute(action);
        }
        self.check_invariants();
        actions
    }

    fn record_event(&mut self, event: &Event) {
        match event {
            Event::Arrived(a) => {
                let class = &self.settings.classes[a.class];
                let received_at = self.now - a.read_delay;
                let class_deadline = (received_at + class.deadline).max(self.now);
                let deadline = a.caller_timeout.map_or(class_deadline, |timeout| self.now + timeout);
                let request = TrackedRequest {
                    class: a.class,
                    received_at,
                    deadline,
                    queued_kb: a.queued_kb,
                    stage: Stage::Queued,
                    answered: false,
                    ran: false,
                    is_duplicate: a.duplicate_of.is_some(),
                    cancelled: false,
                    call_may_have_run: false,
                    started_at: 0,
                };
                assert!(self.requests.insert(a.id.clone(), request).is_none(), "request ids are unique");
            }
            Event::RunEnded(id, outcome, _) => {
                if let Some(request) = self.requests.remove(id) {
                    let has_answer = matches!(outcome, Outcome::Ok | Outcome::Error);
                    assert!(
                        has_answer || request.answered || request.cancelled,
                        "{id} ended without an answer"
                    );
                    self.served += usize::from(!request.answered && has_answer);
                }
            }
            Event::NeedsCall(id) => self.set_stage(id, Stage::AwaitingCall),
            Event::CallEnded(id, outcome, _) => {
                let ok = *outcome == Outcome::Ok;
                if let Some(request) = self.requests.get_mut(id) {
                    request.call_may_have_run = !outcome.never_ran() && !ok;
                }
                self.set_stage(id, if ok { Stage::Running } else { Stage::AwaitingCall });
            }
            Event::Cancelled(id) => {
                let has_not_run = self.requests.get_mut(id).is_some_and(|request| {
                    request.cancelled = true;
                    matches!(request.stage, Stage::Queued | Stage::AwaitingDuplicate)
                });
                if has_not_run {
                    self.requests.remove(id);
                }
            }
            Event::Drain { time_left, notified_ago } => {
                self.drain = Some((self.now - notified_ago, self.now + time_left));
            }
            Event::Timer(_) => self.timer_at = None,
        }
    }

    fn set_stage(&mut self, id: &RequestId, stage: Stage) {
        if let Some(request) = self.requests.get_mut(id) {
            request.stage = stage;
        }
    }

    fn execute(&mut self, action: &Action) {
        match action {
            Action::Admit(id) => self.admit(id),
            Action::Reject { id, .. } => {
                let request = self.requests.get(id).expect("rejects a known request");
                let is_idempotent =
                    self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
                assert!(is_idempotent || !request.ran, "guarantee 2: {id} ran and is rejected");
                assert!(
                    is_idempotent || !request.is_duplicate,
                    "guarantee 2: {id} is rejected though another attempt may have run"
                );
                self.rejected += 1;
                self.record_answer(id);
            }
            Action::Fail(id) => {
                self.failed += 1;
                self.record_answer(id);
            }
            Action::Call(id, _) => {
                let request = self.requests.get_mut(id).expect("makes calls of known requests");
                assert_eq!(request.stage, Stage::AwaitingCall);
                let is_idempotent =
                    self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
                assert!(
                    is_idempotent || !request.call_may_have_run,
                    "guarantee 2: the call of {id} is made again"
                );
                request.stage = Stage::Calling;
            }
            Action::SkipCall(id) => {
                let request = self.requests.get_mut(id).expect("skips calls of known requests");
                assert!(
                    self.settings.classes[request.class].degraded_weight_share > 0.0,
                    "the call of {id} can't be skipped"
                );
                request.stage = Stage::Running;
            }
            Action::RetainKey(id, duration) => {
                self.keys.insert(id.clone(), self.now + duration);
            }
            Action::ReleaseKey(id) => {
                self.keys.remove(id);
            }
            Action::AwaitDuplicate(id) => self.set_stage(id, Stage::AwaitingDuplicate),
            Action::Preempt(id) => {
                assert!(self.settings.preemption != Preemption::Never, "no run can be preempted here");
                assert!(
                    self.requests.get(id).is_none_or(|request| request.answered || request.cancelled),
                    "{id} is preempted while its caller waits"
                );
            }
            Action::WakeAfter(delay) => self.timer_at = Some(self.now + delay),
            Action::SetLoadHint(value) => {
                assert!(
                    self.settings.load_hint != LoadHintKind::None && *value >= 0.0,
                    "no load hint {value} here"
                );
            }
            Action::SetReady(_) | Action::CloseIdle(_) | Action::Log(_) => {}
        }
    }

    fn admit(&mut self, id: &RequestId) {
        let request = self.requests.get_mut(id).expect("admits a known request");
        assert_eq!(request.stage, Stage::Queued, "{id} is not queued");
        assert!(!request.ran, "guarantee 2: {id} runs twice");
        if let Some((notified_at, _)) = self.drain {
            assert!(
                request.received_at <= notified_at + self.settings.drain_grace,
                "guarantee 3: {id} arrived after the drain grace and runs"
            );
        }
        request.stage = Stage::Running;
        request.ran = true;
        request.started_at = self.now;
    }

    fn record_answer(&mut self, id: &RequestId) {
        let request = self.requests.get_mut(id).expect("answers a known request");
        assert!(!request.answered, "guarantee 1: {id} is answered twice");
        request.answered = true;
        if matches!(request.stage, Stage::Queued | Stage::AwaitingDuplicate) {
            self.requests.remove(id);
        }
    }

    fn check_invariants(&mut self) {
        let now = self.now;
        self.keys.retain(|_, expires_at| *expires_at > now);
        for (id, request) in &self.requests {
            let is_open = !request.answered && !request.cancelled;
            let latest = request.deadline + self.settings.answer_slack;
            assert!(!is_open || now <= latest, "guarantee 1: {id} is overdue");
            if let Some((_, stop)) = self.drain {
                assert!(!is_open || now < stop, "guarantee 3: {id} is unanswered at the stop");
            }
        }
        let memory_kb = |request: &TrackedRequest| match request.stage {
            Stage::Queued | Stage::AwaitingDuplicate => request.queued_kb,
            _ => request.queued_kb * self.settings.run_memory_factor,
        };
        let memory = self.requests.values().map(memory_kb).sum::<f64>()
            + self.keys.len() as f64 * self.settings.key_kb;
        assert!(memory <= self.settings.memory_kb, "guarantee 4: {memory} kB of {}", self.settings.memory_kb);
        self.max_memory_share = self.max_memory_share.max(memory / self.settings.memory_kb);
        self.max_running = self.max_running.max(self.in_stage(Stage::Running).len());
        self.max_calling = self.max_calling.max(self.in_stage(Stage::Calling).len());
    }
}

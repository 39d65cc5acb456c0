//! The actor that owns the decisions: the only caller of `step`, and the only owner of each request's
//! state.

use std::collections::{BTreeMap, VecDeque};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use slog::{debug, error, warn, Logger};
use std::time::{Duration, Instant};
use umberloom::interface::{
    Action, Arrival, Event, Gauges, Idempotency, Micros, Outcome, Preemption, RequestId, Settings,
};
use umberloom::AdmissionController;
use umberloom_settings::shape::Shape;
use umberloom_settings::GaugeNames;

use crate::dependency_calls::{DependencyCalls, Done};
use crate::lifecycle::clock::Clock;
use crate::lifecycle::log_throttle::LogThrottle;
use crate::memory::idempotency_cache::IdempotencyCache;
use crate::memory::request_table::{Call, OpenRequest, RequestTable, Run};
use crate::messages::agent::{self, AgentCommand};
use crate::messages::caller::{HealthCheck, LoadHint, ReplyTo, Request, Response};
use crate::messages::calls::{self, CallId};
use crate::messages::{fleet, listener, registration, AdmissionMessage, RunOutcome};

/// Messages that may wait to be taken.
pub const MAILBOX: usize = 256;
/// Messages taken into one step at most.
const AT_ONCE: usize = 4 * MAILBOX;
/// How long a timer waits for its gauges.
const GAUGE_WAIT: Micros = 10_000;
/// How long a deep health check may take, and how many may be under way.
const CHECK_WAIT: Micros = 5_000_000;
const CHECKS: usize = 64;

/// The mailboxes of the others.
pub struct Mailboxes {
    /// The agent's link.
    pub agent: Sender<agent::AgentActorMessage>,
    /// The records service.
    pub records: Sender<calls::DependencyCommand>,
    /// The list.
    pub list: Sender<registration::RegistrationCommand>,
    /// The front.
    pub front: Sender<listener::ListenerCommand>,
    /// Told once the agent is up.
    pub up: Sender<()>,
    /// The free value, for all connections.
    pub hint: LoadHint,
    /// The fleet, if this server knows one.
    pub fleet: Option<Sender<fleet::FleetCommand>>,
}

/// The actor.
pub struct AdmissionActor {
    settings: Settings,
    shape: Shape,
    /// There from the greeting on: a server begins to warm up when its agent starts.
    server: Option<AdmissionController>,
    gauges: GaugeNames,
    mail: Receiver<AdmissionMessage>,
    others: Mailboxes,
    clock: Clock,
    log: Logger,
    open: RequestTable,
    keys: IdempotencyCache,
    /// Calls of runs whose class has a plan; nothing without an operator's file.
    plans: Option<DependencyCalls>,
    events: Vec<Event>,
    /// Events for the step after the present one.
    later: VecDeque<Event>,
    wake_at: Option<Micros>,
    /// The sample whose answer the timer waits for, and until when.
    sample: Option<(u64, Micros)>,
    tag: u64,
    checks: BTreeMap<u64, (Micros, ReplyTo)>,
    ready: Option<bool>,
    /// How long connections may idle, where the front has not been told yet.
    idle: Option<Micros>,
    /// A mailbox was full.
    full: LogThrottle,
    /// Notice to drain: when the process is stopped, and when the notice came.
    stop_at: Option<Micros>,
    noticed_at: Micros,
}

/// The notice to leave as it is at `now`.
fn leave(noticed_at: Micros, now: Micros, stop_at: Micros) -> Event {
    Event::Drain { time_left: stop_at.saturating_sub(now), notified_ago: now.saturating_sub(noticed_at) }
}

impl AdmissionActor {
    /// Will host a server with these settings.
    pub fn new(
        (settings, shape, gauges): (Settings, Shape, GaugeNames),
        plans: Option<DependencyCalls>,
        mail: Receiver<AdmissionMessage>,
        others: Mailboxes,
        clock: Clock,
        log: Logger,
    ) -> AdmissionActor {
        let (open, keys) = (RequestTable::default(), IdempotencyCache::default());
        let (events, later) = (Vec::new(), VecDeque::new());
        let (wake_at, sample, checks) = (None, None, BTreeMap::new());
        let (server, tag, ready, stop_at) = (None, 0, None, None);
        AdmissionActor {
            settings,
            shape,
            server,
            gauges,
            mail,
            others,
            clock,
            log,
            open,
            keys,
            plans,
            events,
            later,
            wake_at,
            sample,
            tag,
            checks,
            ready,
            idle: None,
            full: LogThrottle::default(),
            stop_at,
            noticed_at: 0,
        }
    }

    /// Decides for as long as anyone may send messages.
    pub async fn run(mut self) {
        let mut next_step: Micros = 0;
        while self.wait().await {
            let early = next_step.saturating_sub(self.clock.now());
            if early > 0 && !self.events.is_empty() {
                Timer::after(Duration::from_micros(early)).await;
                self.drain();
            }
            if self.step() {
                next_step = self.clock.now() + self.settings.tick;
            }
        }
    }

    /// Waits for the next message or moment, and takes in all that has come; `false` at the end.
    async fn wait(&mut self) -> bool {
        let now = self.clock.now();
        let plans = self.plans.as_ref().and_then(|plans| plans.next_at(now));
        let moments = [self.wake_at, self.sample.map(|(_, until)| until), self.check_end(), plans];
        let next = moments.into_iter().flatten().min();
        let told = self.server.is_none() || self.events.is_empty();
        let next = if self.later.is_empty() && told { next } else { Some(now) };
        let moment = async {
            match next {
                Some(at) => drop(Timer::after(Duration::from_micros(at.saturating_sub(now))).await),
                None => future::pending().await,
            }
            Ok(None)
        };
        let mail = async { self.mail.recv().await.map(Some) };
        let Ok(first) = future::or(mail, moment).await else { return false };
        self.events.extend(self.later.drain(..));
        let now = self.clock.now();
        first.into_iter().for_each(|m| self.take(now, m));
        self.drain();
        true
    }

    /// Takes in all that has come.
    fn drain(&mut self) {
        let now = self.clock.now();
        for _ in 0..AT_ONCE {
            let Ok(message) = self.mail.try_recv() else { break };
            self.take(now, message);
        }
        self.pass_time(now);
    }

    fn check_end(&self) -> Option<Micros> {
        self.checks.values().map(|(until, _)| *until).min()
    }

    /// What is due by now. After a standstill each thing comes once.
    fn pass_time(&mut self, now: Micros) {
        if let Some(plans) = &mut self.plans {
            plans.pass(now);
            self.take_plans();
        }
        if self.wake_at.is_some_and(|at| now >= at) {
            self.wake_at = None;
            self.tell_front();
            // A repeat that reached the machine in time may be read later, and is known while the first is open.
            let late = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
            let open = &self.open;
            self.keys.expire(now.saturating_sub(late), |id| open.has(id));
            self.tag += 1;
            self.sample = Some((self.tag, now + GAUGE_WAIT));
            self.order(AgentCommand::SampleGauges(self.tag));
        }
        if self.sample.is_some_and(|(_, until)| now >= until) {
            self.sample = None;
            self.events.push(Event::Timer(Gauges::default()));
        }
        while let Some(check) = self.checks.first_entry().filter(|e| now >= e.get().0) {
            check.remove().1.respond(Response::Health(false));
        }
    }

    /// One step, if there is anything to tell.
    fn step(&mut self) -> bool {
        let Some(server) = self.server.as_mut().filter(|_| !self.events.is_empty()) else { return false };
        let now = self.clock.now();
        let mut actions = Vec::new();
        let mut events = std::mem::take(&mut self.events);
        // The process may have stood still since the notice was taken in: the stop has come nearer by that.
        if let Some(stop_at) = self.stop_at {
            let told = leave(self.noticed_at, now, stop_at);
            events.iter_mut().filter(|e| matches!(e, Event::Drain { .. })).for_each(|e| *e = told.clone());
        }
        server.step(now, events, &mut actions);
        actions.into_iter().for_each(|action| self.carry_out(now, action));
        self.answer_overdue(now);
        true
    }

    /// The module answers all in time. Should it ever have lost sight of a request, as after a run that was
    /// stopped from outside, the request is not lost with that.
    fn answer_overdue(&mut self, now: Micros) {
        let slack = self.settings.answer_slack / 2;
        for id in self.open.overdue(now.saturating_sub(slack)) {
            error!(self.log, "not answered by the module"; "request" => &*id);
            self.finish(&id, Response::Failed);
            self.later.push_back(Event::Cancelled(id));
        }
    }

    fn take(&mut self, now: Micros, message: AdmissionMessage) {
        match message {
            AdmissionMessage::Request(request) => self.arrived(now, *request),
            AdmissionMessage::HealthCheck(check) => self.check(now, check),
            AdmissionMessage::Cancelled { id, serial } => self.gone(&id, serial),
            AdmissionMessage::AgentUp { uptime } => self.greet(now, uptime),
            AdmissionMessage::AgentLinkLost => self.link_lost(),
            AdmissionMessage::RunEnded { id, outcome, duration } => self.ended(&id, outcome, duration),
            AdmissionMessage::NeedsCall { id, notice_seq, body } => self.needs_call(&id, notice_seq, body),
            AdmissionMessage::GaugesSampled { tag, values } => self.sampled(tag, values),
            AdmissionMessage::HealthCheckEnded { tag, healthy: fine } => {
                if let Some((_, reply_to)) = self.checks.remove(&tag) {
                    reply_to.respond(Response::Health(fine));
                }
            }
            AdmissionMessage::AgentRejected { command, id } => self.agent_refused(&command, &id),
            AdmissionMessage::InvalidAgentNotice { id } => self.end_unheard(&id, Outcome::Error),
            AdmissionMessage::CallEnded { id, outcome, duration: took, body } if id.attempt == 0 => {
                self.called(id.request, outcome, took, body);
            }
            AdmissionMessage::CallEnded { id, outcome, body, .. } => {
                if let Some(plans) = &mut self.plans {
                    plans.ended(now, &id, outcome, body);
                    self.take_plans();
                }
            }
            AdmissionMessage::DependenciesReconfigured(wanted) => {
                if let Some(plans) = &mut self.plans {
                    plans.set(now, *wanted);
                    self.take_plans();
                }
            }
            AdmissionMessage::Fleet(news) => {
                if let Some(plans) = &mut self.plans {
                    plans.hear(now, news);
                    self.take_plans();
                }
            }
            AdmissionMessage::Drain { noticed_at, stop_at } => {
                (self.stop_at, self.noticed_at) = (Some(stop_at), noticed_at);
                self.events.push(leave(noticed_at, now, stop_at));
            }
        }
    }

    fn arrived(&mut self, now: Micros, request: Request) {
        let Request { id, class, tenant, mut work, body, reply_to, charge } = request;
        if self.server.is_none() {
            // Nothing can run before the agent is up.
            return reply_to.respond(Response::Rejected { retry_after: 0, terminal: false });
        }
        // Tries of a keyed request are linked by the caller's idempotency key alone; one without it could
        // run twice, so it is refused as malformed before anything is done. Keys of two tenants that happen to be
        // alike are two keys: none may get the other's answer.
        let keyed = self.settings.classes.get(class).filter(|c| c.idempotency == Idempotency::WithKey);
        if keyed.is_some() {
            let Some(key) = work.idempotency_key.take() else {
                return reply_to.respond(Response::BadRequest);
            };
            work.subject_key =
                Some(if self.settings.tenants.is_empty() { key } else { format!("{tenant}/{key}") });
        }
        let unix = self.clock.unix();
        // Where requests state no wait, what one says of it all the same is not part of the agreement.
        let waits = work.remaining_timeout(unix).filter(|_| self.shape.passes_deadline);
        let queued = unix.saturating_sub(work.received_at);
        // Without one the limit of its class counts from when it reached the machine.
        let limit = self.settings.classes.get(class).map_or(0, |c| c.deadline);
        let left = waits.unwrap_or(limit.saturating_sub(queued));
        let subject = work.subject_key.clone().map(|key| (class, key));
        // What counts is when a repeat reached the machine, however late it is read; and while the first try is
        // open no other may run, though its window be over.
        let reached = now.saturating_sub(queued);
        let kept = subject.as_ref().and_then(|subject| self.keys.holder(subject));
        let kept = kept.filter(|(id, _, until)| *until > reached || self.open.has(id));
        // Another request under a key that is taken is no repeat: it must neither run nor get the other's result.
        let body_is = self.keys.digest(&body);
        if keyed.is_some() && kept.as_ref().is_some_and(|(_, other, _)| *other != body_is) {
            return reply_to.respond(Response::BadRequest);
        }
        let repeats = kept.map(|(id, ..)| id);
        // Two tries may be read before the module's word on the first: from its arrival on it holds the key. Without room for
        // it nothing would keep a repeat from running: it is turned away.
        let binds =
            keyed.filter(|_| repeats.is_none()).map(|class| now + class.idempotency_window).zip(subject);
        if binds.is_some() && !self.keys.make_room(now, |id| self.open.has(id)) {
            return reply_to.respond(Response::Rejected { retry_after: 0, terminal: false });
        }
        let arrival = Arrival {
            id: id.clone(),
            class,
            tenant,
            caller: work.sender,
            // Time in socket buffers counts: the caller's wait began when the request reached the machine.
            caller_timeout: waits,
            read_delay: queued,
            queued_kb: work.queued_kb,
            rank: work.rank,
            cost: work.cost,
            duplicate_of: repeats,
            is_retry: self.shape.marks_retry && work.is_retry,
        };
        let open = OpenRequest {
            id,
            class,
            work,
            body,
            due: now + left,
            reply_to: Some(reply_to),
            run: Run::None,
            ran: false,
            halting: false,
            call: None,
            planned: false,
            delivered: None,
            repeats: arrival.duplicate_of.clone(),
            joined: false,
            _charge: charge,
        };
        match self.open.insert(Box::new(open)) {
            Ok(()) => {
                if let Some((until, subject)) = binds {
                    self.keys.keep(subject, (arrival.id.clone(), body_is), until, true);
                }
                self.events.push(Event::Arrived(arrival));
            }
            // A name that is in use: to give it to the module would mix the two up.
            Err(open) => {
                let _ = open.reply_to.map(|to| to.respond(Response::BadRequest));
            }
        }
    }

    fn gone(&mut self, id: &str, serial: u64) {
        // One that is answered, or another under the same name, is none of this caller's business.
        let meant = |open: &&mut OpenRequest| open.reply_to.as_ref().is_some_and(|to| to.serial() == serial);
        let Some(id) = self.open.get(id).filter(meant).map(|open| open.id.clone()) else { return };
        self.answer(&id, Response::Aborted);
        self.stop_call(&id);
        self.events.push(Event::Cancelled(id.clone()));
        self.sweep(&id);
    }

    /// The server's life begins with its agent's, not with this process.
    fn greet(&mut self, now: Micros, since: Micros) {
        if self.server.is_some() {
            return;
        }
        // The settings were checked when they were read.
        self.server = AdmissionController::new(now.saturating_sub(since), self.settings.clone()).ok();
        // A fresh server may have something to do before anything happens.
        self.events = vec![Event::Timer(Gauges::default())];
        // A notice to drain that came before the agent was up counts from when it came, and nobody is asked to come to a
        // server that is leaving.
        self.events.extend(self.stop_at.map(|at| leave(self.noticed_at, now, at)));
        let _ = self.others.up.try_send(());
        self.tell_list(self.ready.unwrap_or(self.stop_at.is_none()));
    }

    /// Answers to questions asked on the lost link will not come.
    fn link_lost(&mut self) {
        for (_, reply_to) in std::mem::take(&mut self.checks).into_values() {
            reply_to.respond(Response::Health(false));
        }
    }

    fn check(&mut self, now: Micros, check: HealthCheck) {
        match self.ready {
            _ if self.server.is_none() => check.reply_to.respond(Response::Health(false)),
            Some(word) => check.reply_to.respond(Response::Health(word)),
            None if !check.is_deep => check.reply_to.respond(Response::Health(true)),
            None if self.checks.len() >= CHECKS => check.reply_to.respond(Response::Health(false)),
            None => {
                self.tag += 1;
                self.checks.insert(self.tag, (now + CHECK_WAIT, check.reply_to));
                self.order(AgentCommand::RunHealthCheck(self.tag));
            }
        }
    }

    fn sampled(&mut self, tag: u64, values: Vec<f64>) {
        if self.sample.is_some_and(|(wanted, _)| wanted == tag) {
            self.sample = None;
            let gauges = self.gauges.gauges(values);
            self.tell_load(&gauges);
            self.events.push(Event::Timer(gauges));
        }
    }

    /// Other servers see how loaded this one is.
    fn tell_load(&self, gauges: &Gauges) {
        if let (Some(fleet), Some(cpu)) = (&self.others.fleet, gauges.cpu) {
            let _ = fleet.try_send(fleet::FleetCommand::SetLoad((cpu.clamp(0.0, 1.0) * 100.0) as u8));
        }
    }

    fn ended(&mut self, id: &str, end: RunOutcome, took: Micros) {
        let Some(open) = self.open.get(id) else { return };
        let (id, asked) = (open.id.clone(), open.halting);
        let outcome = match end {
            RunOutcome::Success(result) => {
                if let (Some(plans), Some(from)) = (&mut self.plans, open.delivered) {
                    plans.learn_rest(&open.work.class, self.clock.now().saturating_sub(from));
                }
                self.answered_well(&id, result);
                Outcome::Ok
            }
            RunOutcome::Failed => Outcome::Error,
            RunOutcome::Aborted => Outcome::Aborted,
            RunOutcome::NotStarted => Outcome::NotStarted,
        };
        self.stop_call(&id);
        if let Some(open) = self.open.get(&id) {
            open.halting = false;
            // A stop that we asked for leaves the request in our hands, unless it is answered.
            let halted = outcome == Outcome::Aborted && asked && open.reply_to.is_some();
            let paused = halted && self.settings.preemption == Preemption::Pause;
            open.run = if paused { Run::Paused } else { Run::None };
            if !halted {
                // A run that was ended by others, or failed, still owes its answer.
                self.answer(&id, Response::Failed);
            }
        }
        self.events.push(Event::RunEnded(id.clone(), outcome, took));
        self.sweep(&id);
    }

    fn answered_well(&mut self, id: &RequestId, result: Vec<u8>) {
        if let Some(subject) = self.open.get(id).and_then(|open| open.subject()) {
            self.keys.add_result(&subject, id, &result);
        }
        for joined in self.open.joined_to(id) {
            self.end_joined(&joined, Some(&result));
        }
        self.answer(id, Response::Served(result));
    }

    /// Answers a request that waits for the result of another.
    fn end_joined(&mut self, id: &RequestId, result: Option<&[u8]>) {
        let (answer, outcome) = match result {
            Some(result) => (Response::Served(result.to_vec()), Outcome::Ok),
            None => (Response::Failed, Outcome::Error),
        };
        self.answer(id, answer);
        self.later.push_back(Event::RunEnded(id.clone(), outcome, 0));
        self.sweep(id);
    }

    fn needs_call(&mut self, id: &str, seq: u64, body: Vec<u8>) {
        let Some(open) = self.open.get(id) else { return };
        open.call = Some(Call { seq, body, under_way: false });
        self.events.push(Event::NeedsCall(open.id.clone()));
    }

    /// Nothing was begun: the request is none that the agent knows. That says nothing about how runs do here,
    /// so it is no failed run. Other commands may be refused because a new link restated them after they had
    /// been carried out; the run they are about goes on, and ends by itself or when it is due.
    fn agent_refused(&mut self, command: &str, id: &str) {
        if command == "launch" {
            if let Some(open) = self.open.get(id) {
                open.ran = false;
            }
            self.end_unheard(id, Outcome::NotStarted);
        }
    }

    /// Ends a request of whose run nothing more will be heard.
    fn end_unheard(&mut self, id: &str, outcome: Outcome) {
        let Some(open) = self.open.get(id) else { return };
        let id = open.id.clone();
        open.run = Run::None;
        self.stop_call(&id);
        self.answer(&id, Response::Failed);
        self.events.push(Event::RunEnded(id.clone(), outcome, 0));
        self.sweep(&id);
    }

    fn called(&mut self, id: RequestId, outcome: Outcome, took: Micros, body: Vec<u8>) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(call) = open.call.as_mut().filter(|c| c.under_way) else { return };
        call.under_way = false;
        if outcome == Outcome::Ok {
            open.call = None;
            open.delivered = Some(self.clock.now());
            self.order(AgentCommand::DeliverReply { id: id.clone(), body });
        }
        self.events.push(Event::CallEnded(id, outcome, took));
    }

    /// Each plan that is over is the end of the one call that the decision module knows.
    fn take_plans(&mut self) {
        let done = self.plans.as_mut().map(DependencyCalls::take_done).unwrap_or_default();
        for Done { id, outcome, took, reply } in done {
            self.called(id, outcome, took, reply);
        }
    }

    /// Gives the final answer, unless one was given.
    fn answer(&mut self, id: &str, answer: Response) {
        if let Some(reply_to) = self.open.get(id).and_then(|open| open.reply_to.take()) {
            reply_to.respond(answer);
        }
    }

    /// A call that nobody waits for any more is given up.
    fn stop_call(&mut self, id: &RequestId) {
        let Some(open) = self.open.get(id) else { return };
        if open.call.take().is_some_and(|call| call.under_way) {
            self.give_up_call(id);
        }
    }

    /// A call whose mailbox has no room ends by itself at its time, and nobody hears it.
    fn give_up_call(&mut self, id: &RequestId) {
        let now = self.clock.now();
        if self.plans.as_mut().is_some_and(|plans| plans.give_up(now, id)) {
            return self.take_plans();
        }
        let _ =
            self.others.records.try_send(calls::DependencyCommand::Cancel(CallId::without_plan(id.clone())));
    }

    /// Forgets a request of which nothing is left. Who still waits for its result does so in vain.
    fn sweep(&mut self, id: &str) {
        if self.open.get(id).is_some_and(|o| o.reply_to.is_none() && o.run != Run::Going) {
            // What never ran keeps nobody from running.
            if self.open.get(id).is_some_and(|open| !open.ran) {
                self.forget(&RequestId::from(id));
            }
            self.open.remove(id);
            for joined in self.open.joined_to(id) {
                self.end_joined(&joined, None);
            }
        }
    }

    /// Tells the agent's actor, which never waits; `false` if its mailbox is full. That takes far more orders
    /// than the open requests can need.
    fn order(&mut self, order: AgentCommand) -> bool {
        let sent = self.others.agent.try_send(agent::AgentActorMessage::Command(order));
        if sent.is_err() {
            self.warn_full("agent");
        }
        sent.is_ok()
    }

    fn warn_full(&mut self, whose: &'static str) {
        if let Some(more) = self.full.tell(Instant::now()) {
            warn!(self.log, "a mailbox is full"; "whose" => whose, "not_told" => more);
        }
    }

    /// The newest span counts; one that the front had no room to hear is told again.
    fn tell_front(&mut self) {
        let Some(span) = self.idle.take() else { return };
        if self.others.front.try_send(listener::ListenerCommand::CloseIdle(span)).is_err() {
            self.idle = Some(span);
            self.warn_full("front");
        }
    }

    /// The newest word counts: it takes the place of the oldest one where too many wait, but not that of an
    /// address.
    fn tell_list(&mut self, accepting: bool) {
        let displaced =
            self.others.list.force_send(registration::RegistrationCommand::SetAccepting(accepting));
        if let Ok(Some(address @ registration::RegistrationCommand::SetAddress(_))) = displaced {
            let _ = self.others.list.force_send(address);
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Admit(id) => self.admit(&id),
            Action::Preempt(id) => self.halt(&id),
            Action::Reject { id, retry_after: stay_away, terminal } => {
                let begun = self.open.get(&id).is_some_and(|open| open.ran);
                // What has run may have had its effect: its failure is never a refusal.
                let refused = Response::Rejected { retry_after: stay_away, terminal };
                self.finish(&id, if begun { Response::Failed } else { refused });
            }
            Action::Fail(id) => self.finish(&id, Response::Failed),
            Action::Call(id, until) => self.call(now, &id, until),
            Action::SkipCall(id) => self.skip_call(&id),
            Action::RetainKey(id, span) => self.keep(now, &id, now + span),
            Action::ReleaseKey(id) => self.forget(&id),
            Action::AwaitDuplicate(id) => self.join(&id),
            Action::SetReady(word) => {
                self.ready = Some(word);
                self.tell_list(word);
            }
            Action::SetLoadHint(value) => self.others.hint.set(Some(value)),
            Action::CloseIdle(span) => {
                self.idle = Some(span);
                self.tell_front();
            }
            Action::WakeAfter(span) => self.wake_at = Some(now + span),
            Action::Log(text) => debug!(self.log, "module"; "says" => text),
        }
    }

    fn admit(&mut self, id: &RequestId) {
        let Some(open) = self.open.get(id) else { return };
        if open.reply_to.is_none() && open.run != Run::Going {
            self.later.push_back(Event::RunEnded(id.clone(), Outcome::NotStarted, 0));
            return;
        }
        let order = match open.run {
            Run::Going => return,
            Run::Paused => AgentCommand::Resume(id.clone()),
            Run::None => AgentCommand::Launch {
                id: id.clone(),
                class: open.work.class.clone(),
                body: open.body.clone(),
            },
        };
        let before = (open.run, open.ran);
        (open.run, open.ran) = (Run::Going, true);
        if !self.order(order) {
            self.not_begun(id, before);
        }
    }

    /// What the agent never hears of does not go on. It ends at once, not when its time is up.
    fn not_begun(&mut self, id: &RequestId, before: (Run, bool)) {
        let Some(open) = self.open.get(id) else { return };
        (open.run, open.ran) = before;
        if open.run == Run::None {
            self.answer(id, Response::Failed);
            self.later.push_back(Event::RunEnded(id.clone(), Outcome::NotStarted, 0));
            self.sweep(id);
        }
    }

    fn halt(&mut self, id: &RequestId) {
        let Some(open) = self.open.get(id).filter(|o| o.run == Run::Going) else { return };
        open.halting = true;
        self.order(AgentCommand::Pause(id.clone()));
    }

    fn finish(&mut self, id: &RequestId, answer: Response) {
        self.answer(id, answer);
        self.stop_call(id);
        self.sweep(id);
    }

    fn call(&mut self, now: Micros, id: &RequestId, until: Micros) {
        let Some(open) = self.open.get(id) else { return };
        let Some(call) = open.call.as_mut() else { return };
        call.under_way = true;
        if let Some(plans) = self.plans.as_mut().filter(|plans| plans.has_plan(&open.work.class)) {
            let body = call.body.clone();
            plans.begin(now, open, &body, until, self.settings.classes.len());
            open.planned = true;
            return self.take_plans();
        }
        let (id, body) = (CallId::without_plan(id.clone()), call.body.as_slice().into());
        let order = calls::DependencyCommand::Call(calls::Call {
            id: id.clone(),
            address: None,
            body,
            deadline: until,
        });
        if self.others.records.try_send(order).is_err() {
            call.under_way = false;
            self.later.push_back(Event::CallEnded(id.request, Outcome::Unreachable, 0));
        }
    }

    fn skip_call(&mut self, id: &RequestId) {
        let Some(open) = self.open.get(id) else { return };
        let Some(call) = open.call.take() else { return };
        if call.under_way {
            self.give_up_call(id);
        }
        self.order(AgentCommand::SkipCall { id: id.clone(), notice_seq: call.seq });
    }

    fn keep(&mut self, now: Micros, id: &RequestId, until: Micros) {
        let Some((subject, body)) = self.open.get(id).and_then(|open| Some((open.subject()?, &open.body)))
        else {
            return;
        };
        let body = self.keys.digest(body);
        let binding =
            self.settings.classes.get(subject.0).is_some_and(|c| c.idempotency == Idempotency::WithKey);
        if self.keys.make_room(now, |id| self.open.has(id)) {
            self.keys.keep(subject, (id.clone(), body), until, binding);
        }
    }

    fn forget(&mut self, id: &RequestId) {
        let Some(subject) = self.open.get(id).and_then(|open| open.subject()) else { return };
        self.keys.forget(&subject, id);
    }

    /// The result may be there already; else the request waits for it.
    fn join(&mut self, id: &RequestId) {
        let Some(open) = self.open.get(id) else { return };
        let Some(other) = open.repeats.clone() else { return };
        self.open.join(id);
        let result = self.keys.result(&other).map(<[u8]>::to_vec);
        if result.is_some() || self.open.get(&other).is_none() {
            self.end_joined(id, result.as_deref());
        }
    }
}

#[cfg(test)]
mod tests;

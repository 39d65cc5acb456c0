//! Tests of the effects of each action and message, without sockets. Unless a test says otherwise, the
//! controller takes no steps: the tests inspect the events that it would get.

mod calls;
mod draining;
mod duplicates;
mod health_checks;
mod idempotency_keys;
mod mailboxes;
mod requests;
mod runs;

use async_channel::Sender;
use umberloom::interface::{Action, Idempotency, Preemption, RequestId};

use super::*;
use crate::memory::budget::Budget;
use crate::messages::agent::{AgentActorMessage, AgentCommand};
use crate::messages::caller::{ConnectionCommand, LoadHint, ReplyTo, Request, Response, WorkRequest};
use crate::messages::calls::DependencyCommand;
use crate::messages::listener::ListenerCommand;
use crate::messages::registration::RegistrationCommand;
use crate::messages::RunOutcome;

/// Time of all messages and actions in microseconds, unless a test says otherwise.
const NOW: Micros = 1_764_576_000_000_000;

/// An admission actor whose agent is up, with the receiving ends of all mailboxes.
struct Fixture {
    actor: AdmissionActor,
    agent: Receiver<AgentActorMessage>,
    records: Receiver<DependencyCommand>,
    registration: Receiver<RegistrationCommand>,
    listener: Receiver<ListenerCommand>,
    /// Receives the responses to all requests, which come from one connection.
    connection: Receiver<ConnectionCommand>,
    connection_mailbox: Sender<ConnectionCommand>,
    last_serial: u64,
}

/// The settings of the example configuration, with this kind of preemption.
fn settings(preemption: Preemption) -> Settings {
    let text = include_str!("../../../../../deploy/example.json");
    let config =
        crate::lifecycle::config::Config::parse(text.as_bytes()).expect("the example configuration is valid");
    Settings { preemption, ..config.settings }
}

/// Settings without preemption, whose first class has idempotency keys with a window of 3 s.
fn settings_with_keys() -> Settings {
    let mut settings = settings(Preemption::Never);
    settings.classes[0].idempotency = Idempotency::WithKey;
    settings.classes[0].idempotency_window = 3_000_000;
    settings
}

fn fixture(preemption: Preemption) -> Fixture {
    fixture_with(settings(preemption))
}

fn fixture_with_keys() -> Fixture {
    fixture_with(settings_with_keys())
}

fn fixture_with(settings: Settings) -> Fixture {
    let (agent_mailbox, agent) = async_channel::bounded(64);
    let (records_mailbox, records) = async_channel::bounded(64);
    let (registration_mailbox, registration) = async_channel::bounded(4);
    let (listener_mailbox, listener) = async_channel::bounded(64);
    let (connection_mailbox, connection) = async_channel::bounded(64);
    let mut actor = AdmissionActor::new(AdmissionParts {
        settings,
        shape: Shape { passes_deadline: true, marks_retry: false },
        gauge_names: GaugeNames::default(),
        dependency_calls: None,
        idempotency_cache: Rc::default(),
        inbox: async_channel::bounded(1).1,
        mailboxes: Mailboxes {
            agent: agent_mailbox,
            records: records_mailbox,
            registration: registration_mailbox,
            listener: listener_mailbox,
            agent_up: async_channel::bounded(1).0,
            load_hint: LoadHint::default(),
            fleet: None,
        },
        clock: Clock::default(),
        log: Logger::root(slog::Discard, slog::o!()),
    });
    actor.handle_agent_up(NOW, 0);
    actor.events.clear();
    let fixture = Fixture {
        actor,
        agent,
        records,
        registration,
        listener,
        connection,
        connection_mailbox,
        last_serial: 0,
    };
    assert_eq!(fixture.take_accepting(), [true]);
    fixture
}

/// Takes all messages that were sent to a mailbox since the last call.
fn receive_all<T>(mailbox: &Receiver<T>) -> Vec<T> {
    std::iter::from_fn(|| mailbox.try_recv().ok()).collect()
}

impl Fixture {
    /// Parameters of a request of the first class with a read delay of 1 s.
    fn work_request(
        &self,
        id: &str,
        resource_key: Option<&str>,
        idempotency_key: Option<&str>,
    ) -> WorkRequest {
        WorkRequest {
            id: id.to_owned(),
            class: "desk-search".to_owned(),
            received_at: self.actor.clock.unix() - 1_000_000,
            timeout: Some(500_000_000),
            is_retry: false,
            tenant: None,
            cost: None,
            sender: 4,
            queued_kb: 20.0,
            rank: 0.5,
            dedup_key: resource_key.map(String::from),
            idempotency_key: idempotency_key.map(String::from),
        }
    }

    /// Parameters of a request of the first class with an idempotency key and no read delay.
    fn work_request_with_key(&self, id: &str, idempotency_key: &str) -> WorkRequest {
        WorkRequest {
            received_at: self.actor.clock.unix(),
            ..self.work_request(id, None, Some(idempotency_key))
        }
    }

    /// Creates the reply address of a new request or health check, with the next serial.
    fn reply_to(&mut self) -> ReplyTo {
        self.last_serial += 1;
        ReplyTo::new(self.connection_mailbox.clone(), 1, self.last_serial)
    }

    /// Sends a request with these parameters to the actor; returns its serial.
    fn send_work_request(&mut self, now: Micros, work: WorkRequest, tenant: usize, body: &[u8]) -> u64 {
        let request = Request {
            id: work.id.as_str().into(),
            class: 0,
            tenant,
            work,
            body: body.to_vec(),
            reply_to: self.reply_to(),
            charge: Budget::new(1, 0).charge(0).expect("a charge of 0 bytes"),
        };
        self.actor.handle_message(now, AdmissionMessage::Request(Box::new(request)));
        self.last_serial
    }

    /// Sends a request with or without a resource key to the actor.
    fn send_request(&mut self, id: &str, resource_key: Option<&str>) {
        let work = self.work_request(id, resource_key, None);
        self.send_work_request(NOW, work, 0, b"body");
    }

    /// Sends an attempt with an idempotency key to the actor; returns the id of its original if it is linked
    /// to one.
    fn send_attempt(&mut self, now: Micros, id: &str, tenant: usize, key: &str) -> Option<RequestId> {
        let work = self.work_request_with_key(id, key);
        self.send_work_request(now, work, tenant, b"");
        self.last_duplicate_of(id)
    }

    /// The original that this request is linked to. The last event must be the arrival of the request.
    fn last_duplicate_of(&self, id: &str) -> Option<RequestId> {
        match self.actor.events.last() {
            Some(Event::Arrived(arrival)) if &*arrival.id == id => arrival.duplicate_of.clone(),
            other => panic!("{other:?}"),
        }
    }

    /// Sends a request and admits it, so that its run is launched.
    fn launch(&mut self, id: &str) {
        self.send_request(id, None);
        self.execute(Action::Admit(id.into()));
        assert!(matches!(self.take_agent_commands().as_slice(), [AgentCommand::Launch { .. }]));
        self.take_events();
    }

    fn execute(&mut self, action: Action) {
        self.actor.execute(NOW, action);
    }

    fn send(&mut self, message: AdmissionMessage) {
        self.actor.handle_message(NOW, message);
    }

    fn end_run(&mut self, id: &str, outcome: RunOutcome) {
        self.send(AdmissionMessage::RunEnded { id: id.to_owned(), outcome, duration: 9 });
    }

    /// Takes the responses that were sent since the last call, with the serials of their requests.
    fn take_responses(&self) -> Vec<(u64, Response)> {
        let response = |command| match command {
            ConnectionCommand::Respond { serial, response, .. } => (serial, response),
            other => panic!("{other:?}"),
        };
        receive_all(&self.connection).into_iter().map(response).collect()
    }

    /// Takes the events that the controller would get in their debug form, the deferred ones last.
    fn take_events(&mut self) -> Vec<String> {
        let deferred = std::mem::take(&mut self.actor.deferred_events);
        self.actor.events.drain(..).chain(deferred).map(|event| format!("{event:?}")).collect()
    }

    /// Takes the commands that were sent to the agent since the last call.
    fn take_agent_commands(&self) -> Vec<AgentCommand> {
        let command = |message| match message {
            AgentActorMessage::Command(command) => command,
            other => panic!("{other:?}"),
        };
        receive_all(&self.agent).into_iter().map(command).collect()
    }

    /// Takes the values of `SetAccepting` that were sent to the registration since the last call.
    fn take_accepting(&self) -> Vec<bool> {
        let accepting = |command| match command {
            RegistrationCommand::SetAccepting(accepting) => accepting,
            other => panic!("{other:?}"),
        };
        receive_all(&self.registration).into_iter().map(accepting).collect()
    }
}

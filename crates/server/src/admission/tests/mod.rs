//! What comes of each action and message, without sockets. The controller takes no steps here unless a test says so: the
//! events that it would get are looked at instead.

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

/// The time of all messages and actions, unless a test says otherwise.
const NOW: Micros = 1_764_576_000_000_000;

/// An actor whose agent is up, with the receiving ends of all mailboxes.
struct Fixture {
    actor: AdmissionActor,
    agent: Receiver<AgentActorMessage>,
    records: Receiver<DependencyCommand>,
    registration: Receiver<RegistrationCommand>,
    listener: Receiver<ListenerCommand>,
    /// The connection that all requests come from.
    connection: Receiver<ConnectionCommand>,
    connection_mailbox: Sender<ConnectionCommand>,
    last_serial: u64,
}

/// The settings of the example configuration.
fn settings(preemption: Preemption) -> Settings {
    let text = include_str!("../../../../../deploy/example.json");
    let config = crate::lifecycle::config::Config::parse(text.as_bytes()).expect("a valid example");
    Settings { preemption, ..config.settings }
}

/// The same, with idempotency keys in the first class that are retained for 3 s.
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

/// All that has been sent to a mailbox since the last look.
fn receive_all<T>(mailbox: &Receiver<T>) -> Vec<T> {
    std::iter::from_fn(|| mailbox.try_recv().ok()).collect()
}

impl Fixture {
    /// A request of the first class that spent a second in socket buffers.
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

    /// The same with an idempotency key, received just now.
    fn work_request_with_key(&self, id: &str, idempotency_key: &str) -> WorkRequest {
        WorkRequest {
            received_at: self.actor.clock.unix(),
            ..self.work_request(id, None, Some(idempotency_key))
        }
    }

    /// Where the response to a request or health check goes, under a serial of its own.
    fn reply_to(&mut self) -> ReplyTo {
        self.last_serial += 1;
        ReplyTo::new(self.connection_mailbox.clone(), 1, self.last_serial)
    }

    /// A request arrives; gives its serial.
    fn send_work_request(&mut self, now: Micros, work: WorkRequest, tenant: usize, body: &[u8]) -> u64 {
        let request = Request {
            id: work.id.as_str().into(),
            class: 0,
            tenant,
            work,
            body: body.to_vec(),
            reply_to: self.reply_to(),
            charge: Budget::new(1).charge(0).expect("nothing"),
        };
        self.actor.handle_message(now, AdmissionMessage::Request(Box::new(request)));
        self.last_serial
    }

    /// A request arrives that has a resource key or none.
    fn send_request(&mut self, id: &str, resource_key: Option<&str>) {
        let work = self.work_request(id, resource_key, None);
        self.send_work_request(NOW, work, 0, b"body");
    }

    /// An attempt with an idempotency key arrives; gives the request that it is taken for a duplicate of.
    fn send_attempt(&mut self, now: Micros, id: &str, tenant: usize, key: &str) -> Option<RequestId> {
        let work = self.work_request_with_key(id, key);
        self.send_work_request(now, work, tenant, b"");
        self.last_duplicate_of(id)
    }

    /// The request that the last event's arrival, of this name, is taken for a duplicate of.
    fn last_duplicate_of(&self, id: &str) -> Option<RequestId> {
        match self.actor.events.last() {
            Some(Event::Arrived(arrival)) if &*arrival.id == id => arrival.duplicate_of.clone(),
            other => panic!("{other:?}"),
        }
    }

    /// A request arrives and is admitted.
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

    /// Responses since the last look, with the serials of their requests.
    fn take_responses(&self) -> Vec<(u64, Response)> {
        let response = |command| match command {
            ConnectionCommand::Respond { serial, response, .. } => (serial, response),
            other => panic!("{other:?}"),
        };
        receive_all(&self.connection).into_iter().map(response).collect()
    }

    /// Events that the controller would get since the last look, the deferred ones last.
    fn take_events(&mut self) -> Vec<String> {
        let deferred = std::mem::take(&mut self.actor.deferred_events);
        self.actor.events.drain(..).chain(deferred).map(|event| format!("{event:?}")).collect()
    }

    /// Commands to the agent since the last look.
    fn take_agent_commands(&self) -> Vec<AgentCommand> {
        let command = |message| match message {
            AgentActorMessage::Command(command) => command,
            other => panic!("{other:?}"),
        };
        receive_all(&self.agent).into_iter().map(command).collect()
    }

    /// Whether this server takes work, as the registration has been told since the last look.
    fn take_accepting(&self) -> Vec<bool> {
        let accepting = |command| match command {
            RegistrationCommand::SetAccepting(accepting) => accepting,
            other => panic!("{other:?}"),
        };
        receive_all(&self.registration).into_iter().map(accepting).collect()
    }
}

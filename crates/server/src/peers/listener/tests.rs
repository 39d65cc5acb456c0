//! Connects to a listener over loopback; the test itself stands in for admission.

mod unadmitted_retries;

use std::cell::RefCell;
use std::future::Future;

use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::lifecycle::config::Config;
use crate::memory::budget::Budget;
use crate::memory::idempotency_cache::IdempotencyCache;
use crate::memory::known_attempts::KnownAttempts;
use crate::messages::caller::{ReplyTo, Response};
use crate::messages::diagnostics::OpenConnections;
use crate::messages::AdmissionMessage;
use crate::peers::connection;
use crate::peers::stream;
use crate::wire::fastcgi;
use crate::wire::responder::{MAX_BODY_BYTES, MAX_OPEN_REQUESTS};
use umberloom_settings::shape::Shape;

/// Time limit for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

type Client = Async<TcpStream>;

struct TestServer {
    address: std::net::SocketAddr,
    messages: Receiver<AdmissionMessage>,
    unanswered: Rc<RefCell<Vec<AdmissionMessage>>>,
    commands: Sender<ListenerCommand>,
    context: ConnectionContext,
    idempotency_cache: Rc<RefCell<IdempotencyCache>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl TestServer {
    async fn connect(&self) -> Client {
        Async::<TcpStream>::connect(self.address).await.expect("connected")
    }

    /// Answers the next health check.
    async fn answer_health_check(&self) {
        match within_timeout(self.messages.recv()).await {
            Ok(AdmissionMessage::HealthCheck(check)) => check.reply_to.respond(Response::Health(true)),
            other => panic!("{other:?}"),
        }
    }

    /// A client whose health check is left unanswered, so that its connection stays busy.
    async fn busy_client(&self) -> Client {
        let mut client = self.connect().await;
        send_health_check(&mut client).await;
        let message = within_timeout(self.messages.recv()).await.expect("a message");
        self.unanswered.borrow_mut().push(message);
        client
    }

    /// Starts the actor of a connection without a listener and lets it run until it waits. Returns the
    /// client's end.
    async fn single_connection(&self) -> (Client, Rc<ConnectionActivity>, Sender<ConnectionCommand>) {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let address = listener.get_ref().local_addr().expect("an address");
        let client = Async::<TcpStream>::connect(address).await.expect("connected");
        let (stream, _) = listener.accept().await.expect("accepted");
        let activity = Rc::new(ConnectionActivity::default());
        let (connection, mailbox) = Connection::new(stream, self.context.clone(), activity.clone());
        self.executor.spawn(connection.run()).detach();
        for _ in 0..8 {
            future::yield_now().await;
        }
        (client, activity, mailbox)
    }

    /// A client whose health check was answered and whose connection stays open and idle.
    async fn idle_client(&self) -> Client {
        let mut client = self.connect().await;
        send_health_check(&mut client).await;
        self.answer_health_check().await;
        assert_eq!(next_status(&mut client).await, Some(0));
        client
    }
}

async fn within_timeout<T>(work: impl Future<Output = T>) -> T {
    stream::with_timeout(EVENT_TIMEOUT, work).await.expect("no event within the time limit")
}

fn with_listener<F: Future<Output = ()>>(
    table: ConnectionTable,
    idle_timeout: Micros,
    script: impl FnOnce(TestServer) -> F,
) {
    let executor: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let socket = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = socket.get_ref().local_addr().expect("an address");
    let (admission, messages) = async_channel::bounded(64);
    let (commands, received) = async_channel::bounded(MAILBOX_CAPACITY);
    // Its class `capture` has idempotency keys.
    let config = include_bytes!("../../../../../deploy/example-keyed.json");
    let config = Config::parse(config).expect("the example configuration is valid");
    let idempotency_cache: Rc<RefCell<IdempotencyCache>> = Rc::default();
    let context = ConnectionContext {
        admission,
        classes: Rc::new(config.classes),
        tenants: Rc::new(vec![]),
        load_hint: Rc::default(),
        shape: Shape { passes_deadline: true, marks_retry: false },
        max_connections: table.capacity(),
        open_connections: OpenConnections::default(),
        last_serial: Rc::default(),
        budget: Budget::new(1 << 24, table.total_capacity()),
        known_attempts: KnownAttempts::new(&config.settings, idempotency_cache.clone()),
        clock: Default::default(),
        input_end_throttle: Rc::default(),
        out_of_memory_throttle: Rc::default(),
        log: Logger::root(slog::Discard, slog::o!()),
    };
    let listener = Listener::new(executor.clone(), (socket, table), context.clone(), received, idle_timeout);
    executor.spawn(listener.run()).detach();
    let server = TestServer {
        address,
        messages,
        unanswered: Rc::default(),
        commands,
        context,
        idempotency_cache,
        executor: executor.clone(),
    };
    async_io::block_on(executor.run(script(server)));
}

/// The FastCGI records of a health check.
fn health_check_bytes() -> Vec<u8> {
    health_check_bytes_with(&[])
}

/// The FastCGI records of a health check with further encoded parameters.
fn health_check_bytes_with(further_params: &[u8]) -> Vec<u8> {
    let mut params = further_params.to_vec();
    for (name, value) in [("SCRIPT_NAME", "/status/live"), ("REQUEST_METHOD", "GET")] {
        params.extend_from_slice(&[name.len() as u8, value.len() as u8]);
        params.extend_from_slice(name.as_bytes());
        params.extend_from_slice(value.as_bytes());
    }
    let mut bytes = Vec::new();
    fastcgi::write_record(&mut bytes, fastcgi::kind::BEGIN_REQUEST, 1, &[0, 1, 1, 0, 0, 0, 0, 0]);
    fastcgi::write_record(&mut bytes, fastcgi::kind::PARAMS, 1, &params);
    fastcgi::write_record(&mut bytes, fastcgi::kind::PARAMS, 1, &[]);
    fastcgi::write_record(&mut bytes, fastcgi::kind::STDIN, 1, &[]);
    bytes
}

async fn send_health_check(client: &mut Client) {
    client.write_all(&health_check_bytes()).await.expect("written");
}

/// The protocol status of the next response; `None` if the connection ends before one.
async fn next_status(client: &mut Client) -> Option<u8> {
    let mut bytes = Vec::new();
    loop {
        while let Ok(Some(record)) = fastcgi::parse_record(&bytes) {
            if record.kind == fastcgi::kind::END_REQUEST {
                return Some(bytes[record.content.start + 4]);
            }
            bytes.drain(..record.size);
        }
        let mut chunk = [0; 512];
        match within_timeout(client.read(&mut chunk)).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
        }
    }
}

#[test]
fn idle_connection_is_closed_during_steady_traffic() {
    let table = ConnectionTable::new(68, &[1]);
    with_listener(table, 150_000, |server| async move {
        let mut idle = server.idle_client().await;
        let closed = async {
            assert_eq!(next_status(&mut idle).await, None);
            true
        };
        // The connections arrive more often than idle checks are made.
        let traffic = async {
            for _ in 0..150 {
                drop(server.connect().await);
                Timer::after(Duration::from_millis(20)).await;
            }
            false
        };
        assert!(future::or(closed, traffic).await, "no idle check during steady traffic");
    });
}

#[test]
fn full_table_rejects_new_requests_at_once_and_serves_the_open_ones() {
    with_listener(ConnectionTable::new(3, &[1]), 60_000_000, |server| async move {
        let mut served = [server.busy_client().await, server.busy_client().await];
        let mut rejected = server.connect().await;
        send_health_check(&mut rejected).await;
        // The request is rejected as overloaded (status 2) and the connection closed: its caller goes
        // elsewhere.
        assert_eq!(next_status(&mut rejected).await, Some(2));
        assert_eq!(next_status(&mut rejected).await, None);
        // With the one overflow connection taken by a silent client, a further one is closed without a
        // response.
        let _silent = server.connect().await;
        let mut closed = server.connect().await;
        assert_eq!(next_status(&mut closed).await, None);
        for message in server.unanswered.borrow_mut().drain(..) {
            let AdmissionMessage::HealthCheck(check) = message else { panic!("{message:?}") };
            check.reply_to.respond(Response::Health(true));
        }
        for client in &mut served {
            assert_eq!(next_status(client).await, Some(0));
        }
    });
}

#[test]
fn connection_without_requests_is_evicted_for_a_new_one() {
    with_listener(ConnectionTable::new(3, &[1]), 60_000_000, |server| async move {
        let _busy = server.busy_client().await;
        let mut silent = server.connect().await;
        let mut next = server.connect().await;
        send_health_check(&mut next).await;
        server.answer_health_check().await;
        assert_eq!(next_status(&mut next).await, Some(0));
        assert_eq!(next_status(&mut silent).await, None);
    });
}

#[test]
fn accept_waits_for_a_connection_that_was_asked_to_close() {
    with_listener(ConnectionTable::new(3, &[1]), 60_000_000, |server| async move {
        let mut first = server.idle_client().await;
        Timer::after(Duration::from_micros(
            2 * umberloom_connection_admission::connection_table::SETTLE_TIME,
        ))
        .await;
        let _second = server.idle_client().await;
        // The table is full: the first connection is asked to close, and the third is accepted in its place.
        let mut third = server.connect().await;
        send_health_check(&mut third).await;
        server.answer_health_check().await;
        assert_eq!(next_status(&mut third).await, Some(0));
        assert_eq!(next_status(&mut first).await, None);
    });
}

#[test]
fn mailbox_has_room_for_a_response_to_every_open_request() {
    let (mailbox, commands) = async_channel::bounded(connection::MAILBOX_CAPACITY);
    let activity = Rc::new(ConnectionActivity::default());
    let entry = ConnectionEntry {
        mailbox: mailbox.clone(),
        activity,
        rejecting: false,
        close_requested_at: Cell::new(None),
    };
    // Nothing takes the commands, as if the actor had waited for admission for a long time.
    (0..10_000).for_each(|now| entry.close_if_idle(now));
    entry.mailbox.try_send(ConnectionCommand::Close).expect("room for the end");
    for slot in 0..MAX_OPEN_REQUESTS {
        ReplyTo::new(mailbox.clone(), slot as u16, 7).respond(Response::Failed);
    }
    let answers = std::iter::from_fn(|| commands.try_recv().ok())
        .filter(|command| matches!(command, ConnectionCommand::Respond { .. }));
    assert_eq!(answers.count(), MAX_OPEN_REQUESTS);
}

/// Writes without yielding, so that no server task runs between this and the next step of the test.
fn write_now(client: &Client, bytes: &[u8]) {
    use std::io::Write;
    assert_eq!(client.get_ref().write(bytes).expect("written"), bytes.len());
}

/// The bytes received until the connection ends, and whether it ends orderly, without a reset.
async fn read_to_end(client: &mut Client) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let ended = within_timeout(client.read_to_end(&mut bytes)).await;
    (bytes, ended.is_ok())
}

/// Guards against dropping a complete, unread request on the first use of a connection: the command to close
/// if idle arrives after the request's last byte and before it is read.
#[test]
fn unread_complete_request_is_answered_before_eviction() {
    with_listener(ConnectionTable::new(9, &[1]), 60_000_000, |server| async move {
        let (mut client, _, mailbox) = server.single_connection().await;
        write_now(&client, &health_check_bytes());
        mailbox.try_send(ConnectionCommand::CloseIfIdle).expect("room");
        server.answer_health_check().await;
        assert_eq!(next_status(&mut client).await, Some(0));
    });
}

/// Guards against a reset because of unread bytes: a connection with a partial request is closed in an
/// orderly way.
#[test]
fn evicted_connection_with_partial_request_closes_without_reset() {
    with_listener(ConnectionTable::new(9, &[1]), 60_000_000, |server| async move {
        let bytes = health_check_bytes();
        for cut in [0, 1, 8, bytes.len() / 2, bytes.len() - 1] {
            let (mut client, _, mailbox) = server.single_connection().await;
            write_now(&client, &bytes[..cut]);
            mailbox.try_send(ConnectionCommand::CloseIfIdle).expect("room");
            assert_eq!(read_to_end(&mut client).await, (Vec::new(), true), "{cut}");
        }
    });
}

/// Guards against a connection that stays open while draining because its mailbox had no room for the
/// command.
#[test]
fn draining_reaches_a_connection_whose_mailbox_is_full() {
    with_listener(ConnectionTable::new(9, &[1]), 60_000_000, |server| async move {
        let (mut client, activity, mailbox) = server.single_connection().await;
        // After its first request the connection may be silent for the listener's idle timeout.
        send_health_check(&mut client).await;
        server.answer_health_check().await;
        assert_eq!(next_status(&mut client).await, Some(0));
        while mailbox
            .try_send(ConnectionCommand::Respond { slot: 9, serial: 0, response: Response::Failed })
            .is_ok()
        {}
        activity.closing.set(true);
        mailbox.try_send(ConnectionCommand::Close).expect_err("no room");
        assert_eq!(read_to_end(&mut client).await, (Vec::new(), true));
    });
}

/// Guards against passing a request read while draining on to admission: its response has to wait and may not
/// be written before the process exits.
#[test]
fn request_read_while_draining_is_rejected_at_once() {
    with_listener(ConnectionTable::new(9, &[1]), 60_000_000, |server| async move {
        let (mut client, activity, mailbox) = server.single_connection().await;
        write_now(&client, &health_check_bytes());
        activity.closing.set(true);
        mailbox.try_send(ConnectionCommand::Close).expect("room");
        assert_eq!(next_status(&mut client).await, Some(2));
        assert_eq!(next_status(&mut client).await, None);
        assert!(server.messages.is_empty());
    });
}

/// Guards against resetting complete requests on connections that wait in the accept queue, or that find the
/// table and its overflow full: each request gets a response.
#[test]
fn requests_in_the_backlog_are_answered_at_the_end() {
    with_listener(ConnectionTable::new(3, &[1]), 60_000_000, |server| async move {
        let busy = [server.busy_client().await, server.busy_client().await];
        // Done without yielding, so that the listener handles the drain command with all of them in the
        // backlog.
        let mut waiting = Vec::new();
        server.commands.try_send(ListenerCommand::Drain).expect("room");
        for _ in 0..20 {
            let client = std::net::TcpStream::connect(server.address).expect("connected");
            let client = Async::new(client).expect("registered");
            write_now(&client, &health_check_bytes());
            waiting.push(client);
        }
        for client in &mut waiting {
            assert_eq!(next_status(client).await, Some(2));
            assert_eq!(next_status(client).await, None);
        }
        // The socket is closed, and requests that were open before are still answered.
        Async::<TcpStream>::connect(server.address).await.expect_err("refused");
        for message in server.unanswered.borrow_mut().drain(..) {
            let AdmissionMessage::HealthCheck(check) = message else { panic!("{message:?}") };
            check.reply_to.respond(Response::Health(true));
        }
        for mut client in busy {
            assert_eq!(next_status(&mut client).await, Some(0));
        }
    });
}

/// Guards against a close without a response: while the server is not draining, a complete request on a
/// connection that finds the table and its overflow full is rejected before the close.
#[test]
fn request_on_a_connection_without_any_place_is_rejected_before_the_close() {
    with_listener(ConnectionTable::new(3, &[1]), 60_000_000, |server| async move {
        let _busy = [server.busy_client().await, server.busy_client().await];
        let _in_overflow = server.connect().await;
        for _ in 0..5 {
            let client = std::net::TcpStream::connect(server.address).expect("connected");
            let mut client = Async::new(client).expect("registered");
            write_now(&client, &health_check_bytes());
            assert_eq!(next_status(&mut client).await, Some(2));
            assert_eq!(next_status(&mut client).await, None);
        }
    });
}

/// Guards against the loss of a request after a standstill of the server: it was written in time, and is longer
/// than what is read at once.
#[test]
fn request_that_arrived_during_a_standstill_is_read_to_its_end() {
    with_listener(ConnectionTable::new(9, &[1]), 60_000_000, |server| async move {
        let (mut client, ..) = server.single_connection().await;
        send_health_check(&mut client).await;
        server.answer_health_check().await;
        assert_eq!(next_status(&mut client).await, Some(0));
        let mut further_params = Vec::new();
        fastcgi::write_pair(&mut further_params, b"HTTP_X_NOTE", &[b'x'; 8_000]);
        let bytes = health_check_bytes_with(&further_params);
        let (start, rest) = bytes.split_at(100);
        write_now(&client, start);
        for _ in 0..8 {
            future::yield_now().await;
        }
        write_now(&client, rest);
        // Nothing of the server runs meanwhile. Longer than the 2 s in which a request must be complete.
        std::thread::sleep(Duration::from_millis(2_200));
        server.answer_health_check().await;
        assert_eq!(next_status(&mut client).await, Some(0));
    });
}

/// Guards against the loss of a request that was written behind one which ends the connection: it is longer than
/// what is read at once.
#[test]
fn request_behind_one_that_is_too_long_is_answered_before_the_close() {
    with_listener(ConnectionTable::new(9, &[1]), 60_000_000, |server| async move {
        let (mut client, ..) = server.single_connection().await;
        let mut bytes = Vec::new();
        fastcgi::write_record(&mut bytes, fastcgi::kind::BEGIN_REQUEST, 2, &[0, 1, 1, 0, 0, 0, 0, 0]);
        fastcgi::write_record(&mut bytes, fastcgi::kind::STDIN, 2, &[0; MAX_BODY_BYTES + 1]);
        let mut further_params = Vec::new();
        fastcgi::write_pair(&mut further_params, b"HTTP_X_NOTE", &[b'x'; 8_000]);
        bytes.extend(health_check_bytes_with(&further_params));
        write_now(&client, &bytes);
        assert_eq!(next_status(&mut client).await, Some(0));
        server.answer_health_check().await;
        let (received, is_orderly) = read_to_end(&mut client).await;
        assert!(!received.is_empty() && is_orderly);
    });
}

/// Guards against the loss of requests on a connection without any place: all that it has sent by then are
/// rejected, also those beyond what is read at once.
#[test]
fn all_requests_on_a_connection_without_any_place_are_rejected_before_the_close() {
    with_listener(ConnectionTable::new(3, &[1]), 60_000_000, |server| async move {
        let _busy = [server.busy_client().await, server.busy_client().await];
        let _in_overflow = server.connect().await;
        let client = std::net::TcpStream::connect(server.address).expect("connected");
        let mut client = Async::new(client).expect("registered");
        let mut further_params = Vec::new();
        fastcgi::write_pair(&mut further_params, b"HTTP_X_NOTE", &[b'x'; 1_500]);
        write_now(&client, &health_check_bytes_with(&further_params).repeat(4));
        let (mut received, is_orderly) = read_to_end(&mut client).await;
        let mut rejected = 0;
        while let Some(record) = fastcgi::parse_record(&received).expect("valid") {
            rejected += usize::from(record.kind == fastcgi::kind::END_REQUEST);
            received.drain(..record.size);
        }
        assert_eq!((rejected, is_orderly), (4, true));
    });
}

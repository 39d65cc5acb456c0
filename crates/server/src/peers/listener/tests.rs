//! Connections on loopback against a front whose module answers only what a test says.

use std::cell::RefCell;
use std::future::Future;

use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::memory::budget::Budget;
use crate::messages::caller::{ReplyTo, Response};
use crate::messages::AdmissionMessage;
use crate::peers::connection;
use crate::peers::stream;
use crate::wire::fastcgi;
use crate::wire::responder::MAX_OPEN_REQUESTS;
use umberloom_settings::shape::Shape;

/// Longest wait for anything that must come.
const PATIENCE: Duration = Duration::from_secs(20);

type Client = Async<TcpStream>;

struct Bench {
    address: std::net::SocketAddr,
    mail: Receiver<AdmissionMessage>,
    log: Rc<RefCell<Vec<AdmissionMessage>>>,
    orders: Sender<ListenerCommand>,
    shared: ConnectionContext,
    executor: Rc<LocalExecutor<'static>>,
}

impl Bench {
    async fn connect(&self) -> Client {
        Async::<TcpStream>::connect(self.address).await.expect("connected")
    }

    /// Answers the next health check.
    async fn answer_check(&self) {
        match within(self.mail.recv()).await {
            Ok(AdmissionMessage::HealthCheck(check)) => check.reply_to.respond(Response::Health(true)),
            other => panic!("{other:?}"),
        }
    }

    /// Asks for a health check and leaves it unanswered.
    async fn busy(&self) -> Client {
        let mut client = self.connect().await;
        ask(&mut client).await;
        let message = within(self.mail.recv()).await.expect("a message");
        self.log.borrow_mut().push(message);
        client
    }

    /// A connection without a front, whose actor has looked at it once and waits, with the other end of it.
    async fn alone(&self) -> (Client, Rc<ConnectionActivity>, Sender<ConnectionCommand>) {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let address = listener.get_ref().local_addr().expect("an address");
        let client = Async::<TcpStream>::connect(address).await.expect("connected");
        let (stream, _) = listener.accept().await.expect("accepted");
        let activity = Rc::new(ConnectionActivity::default());
        let (connection, words) =
            Connection::new(stream, self.shared.clone(), activity.clone()).expect("memory for it");
        self.executor.spawn(connection.run()).detach();
        for _ in 0..8 {
            future::yield_now().await;
        }
        (client, activity, words)
    }

    /// A connection that has asked, was answered and stays.
    async fn idle(&self) -> Client {
        let mut client = self.connect().await;
        ask(&mut client).await;
        self.answer_check().await;
        assert_eq!(status(&mut client).await, Some(0));
        client
    }
}

async fn within<T>(work: impl Future<Output = T>) -> T {
    stream::with_timeout(PATIENCE, work).await.expect("waited in vain")
}

fn with_front<F: Future<Output = ()>>(
    places: ConnectionTable,
    idle: Micros,
    script: impl FnOnce(Bench) -> F,
) {
    let executor: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let (module, mail) = async_channel::bounded(64);
    let (orders, taken) = async_channel::bounded(MAILBOX_CAPACITY);
    let shared = ConnectionContext {
        admission: module,
        classes: Rc::new(vec![]),
        tenants: Rc::new(vec![]),
        load_hint: Rc::default(),
        shape: Shape { passes_deadline: true, marks_retry: false },
        max_connections: places.capacity(),
        last_serial: Rc::default(),
        budget: Budget::new(1 << 24),
        clock: Default::default(),
        log: Logger::root(slog::Discard, slog::o!()),
    };
    let front = Listener::new(executor.clone(), (listener, places), shared.clone(), taken, idle);
    executor.spawn(front.run()).detach();
    let bench = Bench { address, mail, log: Rc::default(), orders, shared, executor: executor.clone() };
    async_io::block_on(executor.run(script(bench)));
}

/// What a health check is in bytes.
fn check() -> Vec<u8> {
    let mut params = Vec::new();
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

async fn ask(client: &mut Client) {
    client.write_all(&check()).await.expect("written");
}

/// The protocol status of the next answer, or `None` where the connection ends before one.
async fn status(client: &mut Client) -> Option<u8> {
    let mut bytes = Vec::new();
    loop {
        while let Ok(Some(record)) = fastcgi::parse_record(&bytes) {
            if record.kind == fastcgi::kind::END_REQUEST {
                return Some(bytes[record.content.start + 4]);
            }
            bytes.drain(..record.size);
        }
        let mut more = [0; 512];
        match within(client.read(&mut more)).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&more[..n]),
        }
    }
}

#[test]
fn idle_connections_are_found_while_others_come_and_go() {
    let places = ConnectionTable::new(68, &[1]);
    with_front(places, 150_000, |bench| async move {
        let mut idle = bench.idle().await;
        let closed = async {
            assert_eq!(status(&mut idle).await, None);
            true
        };
        // Each comes well within the time between two looks.
        let traffic = async {
            for _ in 0..150 {
                drop(bench.connect().await);
                Timer::after(Duration::from_millis(20)).await;
            }
            false
        };
        assert!(future::or(closed, traffic).await, "no look while there was traffic");
    });
}

#[test]
fn a_full_table_turns_requests_away_at_once_and_delays_none() {
    with_front(ConnectionTable::new(3, &[1]), 60_000_000, |bench| async move {
        let mut served = [bench.busy().await, bench.busy().await];
        let mut more = bench.connect().await;
        ask(&mut more).await;
        // Overloaded, and then the end: its caller goes elsewhere.
        assert_eq!(status(&mut more).await, Some(2));
        assert_eq!(status(&mut more).await, None);
        // With somebody silent at the door as well there is only a close.
        let _silent = bench.connect().await;
        let mut closed = bench.connect().await;
        assert_eq!(status(&mut closed).await, None);
        for message in bench.log.borrow_mut().drain(..) {
            let AdmissionMessage::HealthCheck(check) = message else { panic!("{message:?}") };
            check.reply_to.respond(Response::Health(true));
        }
        for client in &mut served {
            assert_eq!(status(client).await, Some(0));
        }
    });
}

#[test]
fn who_never_asked_gives_its_place_to_who_does() {
    with_front(ConnectionTable::new(3, &[1]), 60_000_000, |bench| async move {
        let _busy = bench.busy().await;
        let mut silent = bench.connect().await;
        let mut next = bench.connect().await;
        ask(&mut next).await;
        bench.answer_check().await;
        assert_eq!(status(&mut next).await, Some(0));
        assert_eq!(status(&mut silent).await, None);
    });
}

#[test]
fn a_place_that_is_coming_is_waited_for() {
    with_front(ConnectionTable::new(3, &[1]), 60_000_000, |bench| async move {
        let mut first = bench.idle().await;
        Timer::after(Duration::from_micros(
            2 * umberloom_connection_admission::connection_table::SETTLE_TIME,
        ))
        .await;
        let _second = bench.idle().await;
        // The table is full; the first is told to go, and this one comes into its place.
        let mut third = bench.connect().await;
        ask(&mut third).await;
        bench.answer_check().await;
        assert_eq!(status(&mut third).await, Some(0));
        assert_eq!(status(&mut first).await, None);
    });
}

#[test]
fn the_mailbox_has_room_for_every_answer() {
    let (words, mail) = async_channel::bounded(connection::MAILBOX_CAPACITY);
    let (activity, told) = (Rc::new(ConnectionActivity::default()), Cell::new(None));
    let entry = ConnectionEntry { mailbox: words.clone(), activity, rejecting: false, told };
    // Its actor waits for the module, and takes nothing for a long while.
    (0..10_000).for_each(|now| entry.close_if_idle(now));
    entry.mailbox.try_send(ConnectionCommand::Close).expect("room for the end");
    for slot in 0..MAX_OPEN_REQUESTS {
        ReplyTo::new(words.clone(), slot as u16, 7).respond(Response::Failed);
    }
    let answers = std::iter::from_fn(|| mail.try_recv().ok())
        .filter(|w| matches!(w, ConnectionCommand::Respond { .. }));
    assert_eq!(answers.count(), MAX_OPEN_REQUESTS);
}

/// Written at once: nothing of the server runs between this and what the test does next.
fn put(client: &Client, bytes: &[u8]) {
    use std::io::Write;
    assert_eq!(client.get_ref().write(bytes).expect("written"), bytes.len());
}

/// What comes until the connection ends, and whether it ends in order, without a reset.
async fn rest(client: &mut Client) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let ended = within(client.read_to_end(&mut bytes)).await;
    (bytes, ended.is_ok())
}

/// Guards against a request that was written whole, waits unread, and is dropped as its connection never asked before: the
/// word that its place is needed comes between its last byte and the reading.
#[test]
fn a_whole_request_that_lies_unread_is_answered_though_its_place_is_needed() {
    with_front(ConnectionTable::new(9, &[1]), 60_000_000, |bench| async move {
        let (mut client, _, words) = bench.alone().await;
        put(&client, &check());
        words.try_send(ConnectionCommand::CloseIfIdle).expect("room");
        bench.answer_check().await;
        assert_eq!(status(&mut client).await, Some(0));
    });
}

/// And one that never comes whole gets an orderly end, not a reset over its unread bytes.
#[test]
fn half_a_request_whose_place_is_needed_ends_without_a_reset() {
    with_front(ConnectionTable::new(9, &[1]), 60_000_000, |bench| async move {
        let bytes = check();
        for cut in [0, 1, 8, bytes.len() / 2, bytes.len() - 1] {
            let (mut client, _, words) = bench.alone().await;
            put(&client, &bytes[..cut]);
            words.try_send(ConnectionCommand::CloseIfIdle).expect("room");
            assert_eq!(rest(&mut client).await, (Vec::new(), true), "{cut}");
        }
    });
}

/// Guards against a connection that is never told to finish, as its mailbox had no room for the word.
#[test]
fn the_end_reaches_a_connection_whose_mailbox_is_full() {
    with_front(ConnectionTable::new(9, &[1]), 60_000_000, |bench| async move {
        let (mut client, activity, words) = bench.alone().await;
        // Who has asked may be silent for as long as the front lets it.
        ask(&mut client).await;
        bench.answer_check().await;
        assert_eq!(status(&mut client).await, Some(0));
        while words
            .try_send(ConnectionCommand::Respond { slot: 9, serial: 0, response: Response::Failed })
            .is_ok()
        {}
        activity.closing.set(true);
        words.try_send(ConnectionCommand::Close).expect_err("no room");
        assert_eq!(rest(&mut client).await, (Vec::new(), true));
    });
}

/// Guards against a request that is read after the word to finish and passed on, so that its answer waits for others and
/// may not be written any more.
#[test]
fn what_is_read_after_the_word_to_finish_is_turned_away_at_once() {
    with_front(ConnectionTable::new(9, &[1]), 60_000_000, |bench| async move {
        let (mut client, activity, words) = bench.alone().await;
        put(&client, &check());
        activity.closing.set(true);
        words.try_send(ConnectionCommand::Close).expect("room");
        assert_eq!(status(&mut client).await, Some(2));
        assert_eq!(status(&mut client).await, None);
        assert!(bench.mail.is_empty());
    });
}

/// Guards against a reset of requests that were written whole to connections that wait to be accepted, or for which there
/// is no place at all: each gets an answer.
#[test]
fn requests_in_the_backlog_are_answered_at_the_end() {
    with_front(ConnectionTable::new(3, &[1]), 60_000_000, |bench| async move {
        let busy = [bench.busy().await, bench.busy().await];
        // In one go, so that the front finds them all in the backlog with the word to finish before them.
        let mut waiting = Vec::new();
        bench.orders.try_send(ListenerCommand::Drain).expect("room");
        for _ in 0..20 {
            let client = std::net::TcpStream::connect(bench.address).expect("connected");
            let client = Async::new(client).expect("registered");
            put(&client, &check());
            waiting.push(client);
        }
        for client in &mut waiting {
            assert_eq!(status(client).await, Some(2));
            assert_eq!(status(client).await, None);
        }
        // The socket is closed, and what was open before is still answered.
        Async::<TcpStream>::connect(bench.address).await.expect_err("refused");
        for message in bench.log.borrow_mut().drain(..) {
            let AdmissionMessage::HealthCheck(check) = message else { panic!("{message:?}") };
            check.reply_to.respond(Response::Health(true));
        }
        for mut client in busy {
            assert_eq!(status(&mut client).await, Some(0));
        }
    });
}

/// The same while the server serves: who finds neither a place nor one at the door is told so, if it has asked.
#[test]
fn who_finds_no_place_at_all_is_answered_if_it_has_asked() {
    with_front(ConnectionTable::new(3, &[1]), 60_000_000, |bench| async move {
        let _busy = [bench.busy().await, bench.busy().await];
        let _at_door = bench.connect().await;
        for _ in 0..5 {
            let client = std::net::TcpStream::connect(bench.address).expect("connected");
            let mut client = Async::new(client).expect("registered");
            put(&client, &check());
            assert_eq!(status(&mut client).await, Some(2));
            assert_eq!(status(&mut client).await, None);
        }
    });
}

//! Connections on loopback against a front whose module answers only what a test says.

use std::cell::RefCell;
use std::future::Future;

use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::exchange::caller::{Answer, ReplyTo};
use crate::exchange::Message;
use crate::memory::budget::Budget;
use crate::peers::balancer;
use crate::peers::stream;
use crate::wire::fastcgi;
use crate::wire::responder::OPEN;
use umberloom_settings::shape::Shape;

/// Longest wait for anything that must come.
const PATIENCE: Duration = Duration::from_secs(20);

type Client = Async<TcpStream>;

struct Bench {
    address: std::net::SocketAddr,
    mail: Receiver<Message>,
    log: Rc<RefCell<Vec<Message>>>,
    _orders: Sender<Order>,
}

impl Bench {
    async fn connect(&self) -> Client {
        Async::<TcpStream>::connect(self.address).await.expect("connected")
    }

    /// Answers the next health check.
    async fn answer_check(&self) {
        match within(self.mail.recv()).await {
            Ok(Message::Check(check)) => check.reply_to.answer(Answer::Health(true)),
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
    stream::within(PATIENCE, work).await.expect("waited in vain")
}

fn with_front<F: Future<Output = ()>>(places: Places, idle: Micros, script: impl FnOnce(Bench) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let (module, mail) = async_channel::bounded(64);
    let (orders, taken) = async_channel::bounded(MAILBOX);
    let shared = Shared {
        module,
        classes: Rc::new(vec![]),
        tenants: Rc::new(vec![]),
        hint: Rc::default(),
        shape: Shape { passes_deadline: true, marks_retry: false },
        connections: places.table(),
        serial: Rc::default(),
        budget: Budget::new(1 << 24),
        clock: Default::default(),
        log: Logger::root(slog::Discard, slog::o!()),
    };
    let front = Front::new(executor.clone(), (listener, places), shared, taken, idle);
    executor.spawn(front.run()).detach();
    let bench = Bench { address, mail, log: Rc::default(), _orders: orders };
    async_io::block_on(executor.run(script(bench)));
}

async fn ask(client: &mut Client) {
    let mut params = Vec::new();
    for (name, value) in [("SCRIPT_NAME", "/status/live"), ("REQUEST_METHOD", "GET")] {
        params.extend_from_slice(&[name.len() as u8, value.len() as u8]);
        params.extend_from_slice(name.as_bytes());
        params.extend_from_slice(value.as_bytes());
    }
    let mut bytes = Vec::new();
    fastcgi::write(&mut bytes, fastcgi::kind::BEGIN_REQUEST, 1, &[0, 1, 1, 0, 0, 0, 0, 0]);
    fastcgi::write(&mut bytes, fastcgi::kind::PARAMS, 1, &params);
    fastcgi::write(&mut bytes, fastcgi::kind::PARAMS, 1, &[]);
    fastcgi::write(&mut bytes, fastcgi::kind::STDIN, 1, &[]);
    client.write_all(&bytes).await.expect("written");
}

/// The protocol status of the next answer, or `None` where the connection ends before one.
async fn status(client: &mut Client) -> Option<u8> {
    let mut bytes = Vec::new();
    loop {
        while let Ok(Some(record)) = fastcgi::record(&bytes) {
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
    let places = Places::new(68, &[1]);
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
    with_front(Places::new(3, &[1]), 60_000_000, |bench| async move {
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
            let Message::Check(check) = message else { panic!("{message:?}") };
            check.reply_to.answer(Answer::Health(true));
        }
        for client in &mut served {
            assert_eq!(status(client).await, Some(0));
        }
    });
}

#[test]
fn who_never_asked_gives_its_place_to_who_does() {
    with_front(Places::new(3, &[1]), 60_000_000, |bench| async move {
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
    with_front(Places::new(3, &[1]), 60_000_000, |bench| async move {
        let mut first = bench.idle().await;
        Timer::after(Duration::from_micros(2 * umberloom_intake::places::SETTLED)).await;
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
    let (words, mail) = async_channel::bounded(balancer::MAILBOX);
    let (activity, told) = (Rc::new(Activity::default()), Cell::new(None));
    let entry = Entry { words: words.clone(), activity, at_door: false, told };
    // Its actor waits for the module, and takes nothing for a long while.
    (0..10_000).for_each(|now| entry.close_if_idle(now));
    entry.words.try_send(Word::Finish).expect("room for the end");
    for slot in 0..OPEN {
        ReplyTo::new(words.clone(), slot as u16, 7).answer(Answer::Failed);
    }
    let answers = std::iter::from_fn(|| mail.try_recv().ok()).filter(|w| matches!(w, Word::Answer(..)));
    assert_eq!(answers.count(), OPEN);
}

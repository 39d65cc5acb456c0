//! Clients that use their open connections until the server is killed, and note what became of each request.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom_protocol_fakes::balancer::Answer;
use umberloom_protocol_fakes::{Balancer, Request};

use super::agent::result_of;
use super::lock;

/// Limit of a read after which a connection counts as hanging. No run of the soak lasts that long.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause before a refused connection is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Pause while a connection has as many open requests as it may.
const FULL_PAUSE: Duration = Duration::from_millis(1);
/// Size of the pieces in which a slow client writes, in bytes.
const SLOW_PIECE_BYTES: usize = 64;
/// Longest time between two requests of a client, in milliseconds.
const MAX_THINK_MS: u64 = 20;
/// Bounds of the time that a client waits for its answer, in milliseconds.
const BUDGET_MS: std::ops::Range<u64> = 300..6_000;
/// A request that was written this long before the end of its connection, or later, crossed the close.
pub const CROSSING: Duration = Duration::from_millis(50);

/// How a client writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// One request after the other.
    Sequential,
    /// Several requests open at once.
    Pipelining,
    /// One request after the other, each in small pieces.
    Slow,
    /// One request; then the connection rests until the server ends it.
    Single,
}

impl ClientKind {
    fn max_open_requests(self) -> usize {
        if self == ClientKind::Pipelining {
            8
        } else {
            1
        }
    }
}

/// What an answer said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// Served with the result of its run.
    Served,
    /// Served with anything else.
    WrongResult,
    /// Rejected: it never ran.
    Rejected,
    /// Failed.
    Failed,
}

/// A request that was written completely.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    connection: usize,
    slot: u16,
    pub written_at: Instant,
    pub answer: Option<AnswerKind>,
    pub extra_answers: usize,
    /// When its connection ended without an answer to it.
    pub cut_off_at: Option<Instant>,
    /// It was sent again, as it had crossed a close.
    pub resent: bool,
}

impl RequestRecord {
    /// Whether it was on its way when its connection ended.
    pub fn crossed_the_close(&self) -> bool {
        self.cut_off_at.is_some_and(|at| at.saturating_duration_since(self.written_at) <= CROSSING)
    }
}

struct Shared {
    listen: SocketAddr,
    stopped: AtomicBool,
    records: Mutex<Vec<RequestRecord>>,
    next_connection: AtomicUsize,
}

/// All clients of a server.
pub struct Clients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    seed: u64,
}

/// A connection whose answers a thread of its own reads.
struct Connection {
    number: usize,
    stream: TcpStream,
    ended: Arc<AtomicBool>,
    last_slot: u16,
}

impl Clients {
    /// Creates no client yet; all will connect to `listen`.
    pub fn new(listen: SocketAddr, seed: u64) -> Clients {
        let shared = Shared {
            listen,
            stopped: AtomicBool::new(false),
            records: Mutex::default(),
            next_connection: AtomicUsize::new(0),
        };
        Clients { shared: Arc::new(shared), threads: Vec::new(), seed }
    }

    /// Starts this many clients of a kind.
    pub fn start(&mut self, kind: ClientKind, count: usize) {
        for _ in 0..count {
            let (shared, number) = (self.shared.clone(), self.threads.len());
            let random = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(number as u64));
            let client =
                Client { shared, kind, name: format!("c{number}"), sent: 0, random, resting: vec![] };
            self.threads.push(thread::spawn(move || client.run()));
        }
    }

    /// Stops the clients after the server was killed, and returns all requests that were written completely.
    pub fn finish(self) -> Vec<RequestRecord> {
        self.shared.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let records = lock(&self.shared.records).clone();
        records
    }
}

struct Client {
    shared: Arc<Shared>,
    kind: ClientKind,
    name: String,
    sent: usize,
    random: ChaCha8Rng,
    /// Connections that have ended, and are kept open on this side.
    resting: Vec<Connection>,
}

impl Client {
    /// Sends requests until the clients are stopped. After an end of a connection, requests that crossed it
    /// are sent again, once, on the next one.
    fn run(mut self) {
        let mut to_resend: Vec<String> = Vec::new();
        while !self.is_stopped() {
            let Some(mut connection) = self.connect() else {
                // Nothing can have run.
                to_resend.clear();
                thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            for id in std::mem::take(&mut to_resend) {
                self.send(&mut connection, id, true);
            }
            self.use_until_its_end(&mut connection);
            to_resend = self.crossed_requests(connection.number);
            self.resting.push(connection);
        }
    }

    fn is_stopped(&self) -> bool {
        self.shared.stopped.load(Ordering::SeqCst)
    }

    fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect(self.shared.listen).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        let number = self.shared.next_connection.fetch_add(1, Ordering::SeqCst);
        let ended = Arc::new(AtomicBool::new(false));
        let balancer = Balancer::tolerant(stream.try_clone().ok()?);
        let (shared, reader_ended) = (self.shared.clone(), ended.clone());
        thread::spawn(move || read_answers(balancer, number, &shared, &reader_ended));
        Some(Connection { number, stream, ended, last_slot: 0 })
    }

    fn use_until_its_end(&mut self, connection: &mut Connection) {
        while !connection.ended.load(Ordering::SeqCst) {
            let is_done = self.kind == ClientKind::Single && self.sent > 0;
            if self.is_stopped() || is_done || self.open_requests(connection) >= self.kind.max_open_requests()
            {
                thread::sleep(FULL_PAUSE);
                continue;
            }
            let id = format!("{}-{}", self.name, self.sent);
            self.sent += 1;
            self.send(connection, id, false);
            thread::sleep(Duration::from_millis(self.random.random_range(0..=MAX_THINK_MS)));
        }
    }

    fn open_requests(&self, connection: &Connection) -> usize {
        let records = lock(&self.shared.records);
        records.iter().filter(|r| r.connection == connection.number && r.answer.is_none()).count()
    }

    /// Writes a request; nothing is noted of one that could not be written completely.
    fn send(&mut self, connection: &mut Connection, id: String, resent: bool) {
        connection.last_slot += 1;
        let class = ["search", "book", "room"][self.random.random_range(0..3)];
        let rank = self.random.random_range(0.0..1.0);
        let request = Request::new(connection.last_slot, &id)
            .with("SCRIPT_NAME", &format!("/svc/{class}"))
            .with("HTTP_BUDGET_MS", &self.random.random_range(BUDGET_MS).to_string())
            .with("HTTP_PRIORITY_RANK", &format!("{rank:.4}"));
        let bytes = request.bytes();
        // The record exists before the last byte is written, as the answer may arrive right after that.
        let (start, last) = bytes.split_at(bytes.len() - 1);
        if !self.write(connection, start) {
            return;
        }
        let record = RequestRecord {
            id: id.clone(),
            connection: connection.number,
            slot: connection.last_slot,
            written_at: Instant::now(),
            answer: None,
            extra_answers: 0,
            cut_off_at: connection.ended.load(Ordering::SeqCst).then(Instant::now),
            resent,
        };
        lock(&self.shared.records).push(record);
        if connection.stream.write_all(last).is_err() {
            lock(&self.shared.records).retain(|r| r.connection != connection.number || r.id != id);
        }
    }

    fn write(&mut self, connection: &mut Connection, bytes: &[u8]) -> bool {
        if self.kind != ClientKind::Slow {
            return connection.stream.write_all(bytes).is_ok();
        }
        bytes.chunks(SLOW_PIECE_BYTES).all(|piece| {
            thread::sleep(Duration::from_millis(self.random.random_range(0..=MAX_THINK_MS)));
            connection.stream.write_all(piece).is_ok()
        })
    }

    /// The requests that were on their way when this connection ended, and were not sent again before.
    fn crossed_requests(&self, connection: usize) -> Vec<String> {
        let records = lock(&self.shared.records);
        let crossed = records.iter().filter(|r| {
            r.connection == connection && r.answer.is_none() && !r.resent && r.crossed_the_close()
        });
        crossed.map(|r| r.id.clone()).collect()
    }
}

/// Notes the answers on a connection until its end, and then which requests have none.
fn read_answers(mut balancer: Balancer, connection: usize, shared: &Shared, ended: &AtomicBool) {
    while let Some(answer) = balancer.try_answer() {
        let mut records = lock(&shared.records);
        let record = records.iter_mut().find(|r| r.connection == connection && r.slot == answer.slot);
        let Some(record) = record else { continue };
        match record.answer {
            None => record.answer = Some(classify(&record.id, &answer)),
            Some(_) => record.extra_answers += 1,
        }
    }
    let now = Instant::now();
    let mut records = lock(&shared.records);
    ended.store(true, Ordering::SeqCst);
    for record in records.iter_mut().filter(|r| r.connection == connection && r.answer.is_none()) {
        record.cut_off_at = Some(now);
    }
}

fn classify(id: &str, answer: &Answer) -> AnswerKind {
    match answer.status {
        _ if answer.protocol_status != 0 => AnswerKind::Rejected,
        200 if answer.body == result_of(id) => AnswerKind::Served,
        200 => AnswerKind::WrongResult,
        429 | 503 => AnswerKind::Rejected,
        _ => AnswerKind::Failed,
    }
}

//! Balancers that send requests at scheduled times, however slow the server is (open-loop load), and record
//! the outcome of each.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use umberloom_dependencies::aggregation::AggregateResponse;
use umberloom_protocol_fakes::farm::CompletionNotifier;
use umberloom_protocol_fakes::{Balancer, Request};

use crate::demo_environment::CLASS_BUDGETS_MS;

/// The number of connections to the server.
const CONNECTIONS: usize = 16;
/// The number of requests that may be open on one connection.
const MAX_OPEN_PER_CONNECTION: usize = 32;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// Served, and every part of the response is fresh.
    Complete,
    /// Served, but a part of the response is missing or not fresh.
    Partial,
    /// Rejected by the server.
    Rejected,
    /// Answered with any other status.
    Failed,
    /// Not answered by the end of the demo.
    Unanswered,
}

/// One request that was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// The index of the phase in which it was sent.
    pub phase: usize,
    /// When it was due to be sent, since the start. Latency counts from here, so that a delayed send is not
    /// left out of the figures.
    pub scheduled_at: Duration,
    /// The time within which it must be answered.
    pub budget: Duration,
    /// The index of its class in [`CLASS_BUDGETS_MS`].
    pub class: usize,
    /// Whether it was sent a second time, because the first connection closed before the answer.
    pub resent: bool,
    /// When it was answered, since the start.
    pub answered_at: Option<Duration>,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// The requests that are open on a connection: slot to index in [`Callers::requests`].
type OpenRequests = Arc<Mutex<BTreeMap<u16, usize>>>;

/// A connection to the server, whose answers a thread of its own reads.
struct Connection {
    stream: TcpStream,
    open: OpenRequests,
    /// Set by the reading thread once the connection has ended.
    closed: Arc<AtomicBool>,
    /// The slot of the last request that was sent.
    last_slot: u16,
}

/// All connections of the balancers, and the requests that were sent on them.
pub struct Callers {
    start: Instant,
    connections: Vec<Connection>,
    requests: Arc<Mutex<Vec<SentRequest>>>,
    /// Indices of the requests whose connection ended before their answer.
    interrupted: Arc<Mutex<Vec<usize>>>,
    listen: SocketAddr,
    completion_notifier: CompletionNotifier,
    /// The longest delay between the time a request was due and the time it was sent.
    pub max_send_delay: Duration,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Callers {
    /// Opens all connections to the server.
    pub fn start(listen: SocketAddr, completion_notifier: CompletionNotifier) -> Result<Callers, String> {
        let (requests, interrupted) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let mut callers = Callers {
            start: Instant::now(),
            connections: Vec::new(),
            requests,
            interrupted,
            listen,
            completion_notifier,
            max_send_delay: Duration::ZERO,
        };
        for _ in 0..CONNECTIONS {
            let connection = callers.connect()?;
            callers.connections.push(connection);
        }
        Ok(callers)
    }

    /// Opens a connection and starts the thread that reads its answers.
    fn connect(&self) -> Result<Connection, String> {
        let mut balancer = Balancer::connect(self.listen);
        let _ = balancer.stream.set_read_timeout(None);
        let stream = balancer.stream.try_clone().map_err(|e| format!("cannot clone a connection: {e}"))?;
        let (open, closed) = (OpenRequests::default(), Arc::new(AtomicBool::new(false)));
        let (thread_open, thread_closed, completion_notifier) =
            (open.clone(), closed.clone(), self.completion_notifier.clone());
        let (start, requests, interrupted) = (self.start, self.requests.clone(), self.interrupted.clone());
        thread::spawn(move || {
            while let Some(answer) = balancer.try_answer() {
                let Some(request_index) = lock(&thread_open).remove(&answer.slot) else { continue };
                let outcome = classify(answer.status, answer.protocol_status, &answer.body);
                let sent: &mut SentRequest = &mut lock(&requests)[request_index];
                (sent.answered_at, sent.outcome) = (Some(start.elapsed()), outcome);
                completion_notifier.notify(&attempt_name(request_index, sent.resent));
            }
            let mut remaining = lock(&thread_open);
            thread_closed.store(true, Ordering::SeqCst);
            lock(&interrupted).extend(std::mem::take(&mut *remaining).into_values());
        });
        Ok(Connection { stream, open, closed, last_slot: 0 })
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Sends the request that was due at this time, and resends those whose connection closed before the
    /// answer.
    pub fn send(&mut self, phase: usize, scheduled_at: Duration, class: usize) -> Result<(), String> {
        self.max_send_delay = self.max_send_delay.max(self.elapsed().saturating_sub(scheduled_at));
        let budget = Duration::from_millis(CLASS_BUDGETS_MS[class].1);
        let request_index = {
            let mut requests = lock(&self.requests);
            requests.push(SentRequest {
                phase,
                scheduled_at,
                budget,
                class,
                resent: false,
                answered_at: None,
                outcome: RequestOutcome::Unanswered,
            });
            requests.len() - 1
        };
        self.write(request_index)?;
        let interrupted = std::mem::take(&mut *lock(&self.interrupted));
        for request_index in interrupted {
            // A request is resent once; if that is lost as well, it stays unanswered.
            if !std::mem::replace(&mut lock(&self.requests)[request_index].resent, true) {
                self.write(request_index)?;
            }
        }
        Ok(())
    }

    /// Writes a request to the connection with the fewest open requests, after replacing closed connections.
    fn write(&mut self, request_index: usize) -> Result<(), String> {
        let sent = lock(&self.requests)[request_index];
        for connection_index in 0..self.connections.len() {
            if self.connections[connection_index].closed.load(Ordering::SeqCst) {
                self.connections[connection_index] = self.connect()?;
            }
        }
        let connection = self.connections.iter_mut().min_by_key(|connection| lock(&connection.open).len());
        let Some(connection) =
            connection.filter(|connection| lock(&connection.open).len() < MAX_OPEN_PER_CONNECTION)
        else {
            // Every connection has its maximum of open requests. The request stays unanswered, which counts
            // against the server.
            return Ok(());
        };
        let (class, budget_ms) = CLASS_BUDGETS_MS[sent.class];
        let mut open = lock(&connection.open);
        if connection.closed.load(Ordering::SeqCst) {
            lock(&self.interrupted).push(request_index);
            return Ok(());
        }
        connection.last_slot = connection.last_slot % 1_000 + 1;
        while open.contains_key(&connection.last_slot) {
            connection.last_slot = connection.last_slot % 1_000 + 1;
        }
        open.insert(connection.last_slot, request_index);
        let request = Request::new(connection.last_slot, &attempt_name(request_index, sent.resent))
            .with("SCRIPT_NAME", &format!("/svc/{class}"))
            .with("HTTP_BUDGET_MS", &budget_ms.to_string())
            .with("HTTP_PRIORITY_RANK", if sent.class == 0 { "0.2500" } else { "0.7500" })
            .with("HTTP_RESOURCE_KEY", &format!("{:016x}", request_index % 50));
        let _ = connection.stream.write_all(&request.bytes());
        Ok(())
    }

    /// Waits until the last request had time to be answered, and returns all requests.
    pub fn finish(self) -> Vec<SentRequest> {
        thread::sleep(Duration::from_millis(900));
        let requests = lock(&self.requests).clone();
        requests
    }
}

/// The name of one attempt to send a request.
fn attempt_name(request_index: usize, resent: bool) -> String {
    format!("{:08x}{request_index:08x}", u32::from(resent))
}

/// The outcome for an answer, by its HTTP status, its FastCGI protocol status (2 stands for overload) and its
/// body.
fn classify(status: u16, protocol_status: u8, body: &[u8]) -> RequestOutcome {
    match (status, protocol_status) {
        (200, _) if AggregateResponse::decode(body).is_ok_and(|response| !response.is_complete()) => {
            RequestOutcome::Partial
        }
        (200, _) => RequestOutcome::Complete,
        (429 | 503, _) | (_, 2) => RequestOutcome::Rejected,
        _ => RequestOutcome::Failed,
    }
}

//! A dependency that answers over HTTP/1.1, one call at a time per connection, and can fail in many ways.

use std::collections::HashSet;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::http::{receive, ReceivedRequest};

/// How a dependency treats calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers after a service time drawn from a log-normal distribution with this median, in milliseconds,
    /// and sigma.
    Answer { body: Vec<u8>, median_ms: f64, sigma: f64 },
    /// Reads the call and never answers.
    Hang,
    /// Does not listen, so that the system refuses connections.
    Down,
    /// Resets the connection within the reply's headers.
    Reset,
    /// Sends a valid reply, one byte every `every_ms` milliseconds.
    ByteByByte { body: Vec<u8>, every_ms: u64 },
    /// Answers at once with this status line and these header lines.
    Status { line: &'static str, headers: &'static str },
    /// States a length that exceeds the body by `by` bytes, or falls short of it if negative, then closes.
    WrongLength { body: Vec<u8>, by: i64 },
    /// States a length of 3 GB and sends for as long as the caller reads.
    Endless,
}

impl Behaviour {
    /// Answers with this body after a median of two milliseconds.
    pub fn quick(body: &[u8]) -> Behaviour {
        Behaviour::Answer { body: body.to_vec(), median_ms: 2.0, sigma: 0.3 }
    }

    /// Fails each call at once; for the caller it may have taken effect.
    pub fn failing() -> Behaviour {
        Behaviour::Status { line: "500 Internal Server Error", headers: "" }
    }

    /// Rejects each call with the header that says that the operation did not begin.
    pub fn rejecting() -> Behaviour {
        Behaviour::Status { line: "503 Service Unavailable", headers: "Op-Not-Begun: 1\r\n" }
    }
}

/// What the dependency has recorded of its calls.
#[derive(Default)]
struct CallLog {
    /// Number of calls and distinct requests since the last [`Dependency::take_counts`].
    calls: u64,
    requests: HashSet<String>,
    /// Stated timeouts and bodies of the first [`MAX_RECORDED_CALLS`] calls.
    stated_timeouts_ms: Vec<u64>,
    bodies: Vec<Vec<u8>>,
    intervals: Vec<CallInterval>,
    /// Calls in progress, and their largest number so far.
    active: u64,
    peak_active: u64,
}

/// The time of one call, as the dependency saw it.
#[derive(Clone, Debug)]
pub struct CallInterval {
    /// When the call was received.
    pub started_at: Instant,
    /// When its reply was written; `None` if it was not, or not yet.
    pub answered_at: Option<Instant>,
    /// How long the caller said that it waits; 0 if it did not say.
    pub stated_timeout: Duration,
}

impl CallInterval {
    /// When the call ended: when it was answered or its stated timeout expired, whichever came first.
    pub fn end(&self) -> Instant {
        let expiry = self.started_at + self.stated_timeout;
        self.answered_at.map_or(expiry, |at| at.min(expiry))
    }
}

/// The largest number of calls in progress at the same time, and the first instant at which it was reached.
pub fn peak_concurrency(intervals: &[CallInterval]) -> (usize, Option<Instant>) {
    let changes = intervals.iter().flat_map(|call| [(call.started_at, 1i64), (call.end(), -1)]);
    let mut changes: Vec<(Instant, i64)> = changes.collect();
    // At the same instant ends sort before starts, so that such calls do not overlap.
    changes.sort();
    let (mut active, mut peak, mut peak_at) = (0, 0, None);
    for (instant, change) in changes {
        active += change;
        if active > peak {
            (peak, peak_at) = (active, Some(instant));
        }
    }
    (peak as usize, peak_at)
}

/// The state that the listener and all connections share.
struct Shared {
    behaviour: Mutex<Behaviour>,
    log: Mutex<CallLog>,
    random: Mutex<ChaCha8Rng>,
    stopped: AtomicBool,
}

/// Locks a mutex, also after a panic of another holder.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A running dependency. Dropping it stops the service.
pub struct Dependency {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Number of calls whose bodies and stated timeouts are recorded.
const MAX_RECORDED_CALLS: usize = 1_000;
/// Interval at which the listener checks for connections and for a change of behaviour.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

impl Dependency {
    /// Starts on a free port.
    pub fn start(behaviour: Behaviour) -> Dependency {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            behaviour: Mutex::new(behaviour),
            log: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(u64::from(address.port()))),
            stopped: AtomicBool::new(false),
        });
        let for_listener = shared.clone();
        thread::spawn(move || listen(Some(listener), address, &for_listener));
        Dependency { address, shared }
    }

    /// Changes the behaviour for new calls. A change to or from `Down` takes a few milliseconds.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// The number of completely received calls since the last call of this method, and of the requests that
    /// they belong to.
    pub fn take_counts(&self) -> (u64, u64) {
        let mut log = lock(&self.shared.log);
        let counts = (log.calls, log.requests.len() as u64);
        log.calls = 0;
        log.requests.clear();
        counts
    }

    /// The number of completely received calls since the last [`Dependency::take_counts`].
    pub fn call_count(&self) -> u64 {
        lock(&self.shared.log).calls
    }

    /// The largest number of calls in progress so far.
    pub fn peak_calls(&self) -> u64 {
        lock(&self.shared.log).peak_active
    }

    /// The stated timeouts of the first calls in milliseconds, in the order of arrival.
    pub fn stated_timeouts_ms(&self) -> Vec<u64> {
        lock(&self.shared.log).stated_timeouts_ms.clone()
    }

    /// The intervals of all calls so far.
    pub fn call_intervals(&self) -> Vec<CallInterval> {
        lock(&self.shared.log).intervals.clone()
    }

    /// The bodies of the first calls, in the order of arrival.
    pub fn bodies(&self) -> Vec<Vec<u8>> {
        lock(&self.shared.log).bodies.clone()
    }
}

impl Drop for Dependency {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
    }
}

/// Accepts connections. While the behaviour is `Down` nothing listens.
fn listen(mut listener: Option<TcpListener>, address: SocketAddr, shared: &Arc<Shared>) {
    while !shared.stopped.load(Ordering::SeqCst) {
        let down = *lock(&shared.behaviour) == Behaviour::Down;
        match &listener {
            Some(_) if down => listener = None,
            None if down => thread::sleep(POLL_INTERVAL),
            None => listener = TcpListener::bind(address).ok(),
            Some(open) => {
                let _ = open.set_nonblocking(true);
                match open.accept() {
                    Ok((stream, _)) => {
                        let shared = shared.clone();
                        thread::spawn(move || serve(&stream, &shared));
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(POLL_INTERVAL),
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        }
    }
}

/// Answers the calls of one connection.
fn serve(stream: &TcpStream, shared: &Shared) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(request) = receive(&mut reader) {
        let behaviour = lock(&shared.behaviour).clone();
        let index = record_call(shared, &request);
        let reusable = answer(stream, shared, &behaviour);
        let mut log = lock(&shared.log);
        log.active -= 1;
        if reusable {
            log.intervals[index].answered_at = Some(Instant::now());
        }
        drop(log);
        if !reusable {
            return;
        }
    }
}

/// Records a call. Returns its index in the intervals.
fn record_call(shared: &Shared, request: &ReceivedRequest) -> usize {
    let mut log = lock(&shared.log);
    log.calls += 1;
    log.active += 1;
    log.peak_active = log.peak_active.max(log.active);
    if let Some(request_id) = request.find("Op-Of") {
        log.requests.insert(request_id.to_owned());
    }
    if log.bodies.len() < MAX_RECORDED_CALLS {
        log.stated_timeouts_ms.extend(request.find("Op-Wait-Ms").and_then(|ms| ms.parse::<u64>().ok()));
        log.bodies.push(request.body.clone());
    }
    let stated_ms = request.find("Op-Wait-Ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
    log.intervals.push(CallInterval {
        started_at: Instant::now(),
        answered_at: None,
        stated_timeout: Duration::from_millis(stated_ms),
    });
    log.intervals.len() - 1
}

/// Answers a call according to the behaviour. Returns whether the connection can carry another call.
fn answer(mut stream: &TcpStream, shared: &Shared, behaviour: &Behaviour) -> bool {
    let ok_headers =
        |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    match behaviour {
        Behaviour::Answer { body, median_ms, sigma } => {
            let drawn = LogNormal::new(median_ms.ln(), *sigma).map(|d| d.sample(&mut *lock(&shared.random)));
            thread::sleep(Duration::from_secs_f64(drawn.unwrap_or(*median_ms).min(10_000.0) / 1_000.0));
            stream.write_all(&[ok_headers(body.len()), body.clone()].concat()).is_ok()
        }
        Behaviour::Hang => {
            wait_for_close(stream);
            false
        }
        Behaviour::Down => false,
        Behaviour::Reset => {
            // Closing a connection that has unread input resets it.
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Le");
            let _ = stream.shutdown(Shutdown::Both);
            false
        }
        Behaviour::ByteByByte { body, every_ms } => {
            for byte in [ok_headers(body.len()), body.clone()].concat() {
                if stream.write_all(&[byte]).is_err() {
                    return false;
                }
                thread::sleep(Duration::from_millis(*every_ms));
            }
            true
        }
        Behaviour::Status { line, headers } => {
            let head = format!("HTTP/1.1 {line}\r\n{headers}Content-Length: 0\r\n\r\n");
            stream.write_all(head.as_bytes()).is_ok()
        }
        Behaviour::WrongLength { body, by } => {
            let length = (body.len() as i64 + by).max(0) as usize;
            let _ = stream.write_all(&[ok_headers(length), body.clone()].concat());
            let _ = stream.shutdown(Shutdown::Write);
            wait_for_close(stream);
            false
        }
        Behaviour::Endless => {
            let chunk = [b'x'; 16 * 1_024];
            let mut open = stream.write_all(&ok_headers(3 << 30)).is_ok();
            while open {
                open = stream.write_all(&chunk).is_ok() && !shared.stopped.load(Ordering::SeqCst);
            }
            false
        }
    }
}

/// Waits until the caller closes its end or sends nothing for 30 s.
fn wait_for_close(mut stream: &TcpStream) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let mut byte = [0];
    while matches!(std::io::Read::read(&mut stream, &mut byte), Ok(n) if n > 0) {}
}

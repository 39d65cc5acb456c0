//! A service that runs depend on: HTTP/1.1, one call at a time on a connection, and every way to go wrong.

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

/// How it treats calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers with this after a time drawn from a log-normal distribution: median in milliseconds, and sigma.
    Answer { body: Vec<u8>, median_ms: f64, sigma: f64 },
    /// Reads the call and says nothing.
    Hang,
    /// Takes no connections: they are refused by the system.
    Down,
    /// Resets the connection in place of a reply.
    Reset,
    /// Sends a good reply, one byte each so many milliseconds.
    ByteByByte { body: Vec<u8>, every_ms: u64 },
    /// This status, at once, with these header lines.
    Status { line: &'static str, headers: &'static str },
    /// States a length that differs from what it sends by so many bytes, then closes.
    WrongLength { body: Vec<u8>, by: i64 },
    /// States 3 GB and sends on for as long as anybody reads.
    Endless,
}

impl Behaviour {
    /// Answers with this after some two milliseconds.
    pub fn quick(body: &[u8]) -> Behaviour {
        Behaviour::Answer { body: body.to_vec(), median_ms: 2.0, sigma: 0.3 }
    }

    /// Fails each call at once; it may have had its effect.
    pub fn failing() -> Behaviour {
        Behaviour::Status { line: "500 Internal Server Error", headers: "" }
    }

    /// Turns each call away with the mark that it never ran.
    pub fn rejecting() -> Behaviour {
        Behaviour::Status { line: "503 Service Unavailable", headers: "Op-Not-Begun: 1\r\n" }
    }
}

#[derive(Default)]
struct Seen {
    calls: u64,
    requests: HashSet<String>,
    waits_ms: Vec<u64>,
    bodies: Vec<Vec<u8>>,
    /// When each call came and ended, and what it stated.
    spans: Vec<CallInterval>,
    /// Calls under way, and the most at once.
    at_once: u64,
    most_at_once: u64,
}

/// One call, as the service saw it.
#[derive(Clone, Debug)]
pub struct CallInterval {
    pub started_at: Instant,
    /// When its reply was written; none while it has none, or where nobody took it.
    pub answered_at: Option<Instant>,
    pub stated_timeout: Duration,
}

impl CallInterval {
    /// Until when it was in use: until it was answered, or the time that it stated had run out.
    pub fn end(&self) -> Instant {
        let stated = self.started_at + self.stated_timeout;
        self.answered_at.map_or(stated, |at| at.min(stated))
    }
}

/// The most calls that were in use at any one instant, and the first such instant.
pub fn peak_concurrency(spans: &[CallInterval]) -> (usize, Option<Instant>) {
    let ends = spans.iter().flat_map(|span| [(span.started_at, 1i64), (span.end(), -1)]);
    let mut ends: Vec<(Instant, i64)> = ends.collect();
    // An end and a start at the same instant do not meet.
    ends.sort();
    let (mut now, mut most, mut at) = (0, 0, None);
    for (instant, change) in ends {
        now += change;
        if now > most {
            (most, at) = (now, Some(instant));
        }
    }
    (most as usize, at)
}

struct Inside {
    behaviour: Mutex<Behaviour>,
    seen: Mutex<Seen>,
    random: Mutex<ChaCha8Rng>,
    over: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The service. It ends with this value.
pub struct Dependency {
    pub address: SocketAddr,
    inside: Arc<Inside>,
}

/// Bodies that are remembered.
const BODIES: usize = 1_000;
/// How often a listener looks whether it is to be down.
const LOOK: Duration = Duration::from_millis(1);

impl Dependency {
    /// Starts on a port of its own.
    pub fn start(behaviour: Behaviour) -> Dependency {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let inside = Arc::new(Inside {
            behaviour: Mutex::new(behaviour),
            seen: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(u64::from(address.port()))),
            over: AtomicBool::new(false),
        });
        let within = inside.clone();
        thread::spawn(move || listen(Some(listener), address, &within));
        Dependency { address, inside }
    }

    /// From now on it treats calls so. `Down` and back takes some milliseconds to show.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.inside.behaviour) = behaviour;
    }

    /// Calls that have come whole, and how many requests they were for, since the last look.
    pub fn take_counts(&self) -> (u64, u64) {
        let mut seen = lock(&self.inside.seen);
        let counts = (seen.calls, seen.requests.len() as u64);
        seen.calls = 0;
        seen.requests.clear();
        counts
    }

    /// Calls that have come whole since the last look.
    pub fn call_count(&self) -> u64 {
        lock(&self.inside.seen).calls
    }

    /// The most calls that were under way at once.
    pub fn peak_calls(&self) -> u64 {
        lock(&self.inside.seen).most_at_once
    }

    /// The time that each call was said to have, in milliseconds, in the order they came.
    pub fn stated_timeouts_ms(&self) -> Vec<u64> {
        lock(&self.inside.seen).waits_ms.clone()
    }

    /// Every call so far.
    pub fn call_intervals(&self) -> Vec<CallInterval> {
        lock(&self.inside.seen).spans.clone()
    }

    /// The bodies of the first calls.
    pub fn bodies(&self) -> Vec<Vec<u8>> {
        lock(&self.inside.seen).bodies.clone()
    }
}

impl Drop for Dependency {
    fn drop(&mut self) {
        self.inside.over.store(true, Ordering::SeqCst);
    }
}

/// Accepts for as long as it is up; while it is down nothing listens.
fn listen(mut listener: Option<TcpListener>, address: SocketAddr, inside: &Arc<Inside>) {
    while !inside.over.load(Ordering::SeqCst) {
        let down = *lock(&inside.behaviour) == Behaviour::Down;
        match &listener {
            Some(_) if down => listener = None,
            None if down => thread::sleep(LOOK),
            None => listener = TcpListener::bind(address).ok(),
            Some(open) => {
                let _ = open.set_nonblocking(true);
                match open.accept() {
                    Ok((stream, _)) => {
                        let inside = inside.clone();
                        thread::spawn(move || serve(&stream, &inside));
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(LOOK),
                    Err(_) => thread::sleep(LOOK),
                }
            }
        }
    }
}

fn serve(stream: &TcpStream, inside: &Inside) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut from = BufReader::new(copy);
    while let Some(request) = receive(&mut from) {
        let behaviour = lock(&inside.behaviour).clone();
        let place = note(inside, &request);
        let keeps = answer(stream, inside, &behaviour);
        let mut seen = lock(&inside.seen);
        seen.at_once -= 1;
        if keeps {
            seen.spans[place].answered_at = Some(Instant::now());
        }
        drop(seen);
        if !keeps {
            return;
        }
    }
}

fn note(inside: &Inside, request: &ReceivedRequest) -> usize {
    let mut seen = lock(&inside.seen);
    seen.calls += 1;
    seen.at_once += 1;
    seen.most_at_once = seen.most_at_once.max(seen.at_once);
    if let Some(of) = request.find("Op-Of") {
        seen.requests.insert(of.to_owned());
    }
    if seen.bodies.len() < BODIES {
        seen.waits_ms.extend(request.find("Op-Wait-Ms").and_then(|ms| ms.parse::<u64>().ok()));
        seen.bodies.push(request.body.clone());
    }
    let stated = request.find("Op-Wait-Ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
    seen.spans.push(CallInterval {
        started_at: Instant::now(),
        answered_at: None,
        stated_timeout: Duration::from_millis(stated),
    });
    seen.spans.len() - 1
}

/// Whether the connection can carry another call.
fn answer(mut stream: &TcpStream, inside: &Inside, behaviour: &Behaviour) -> bool {
    let good = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    match behaviour {
        Behaviour::Answer { body, median_ms, sigma } => {
            let drawn = LogNormal::new(median_ms.ln(), *sigma).map(|d| d.sample(&mut *lock(&inside.random)));
            thread::sleep(Duration::from_secs_f64(drawn.unwrap_or(*median_ms).min(10_000.0) / 1_000.0));
            stream.write_all(&[good(body.len()), body.clone()].concat()).is_ok()
        }
        Behaviour::Hang => {
            wait_for_the_end(stream);
            false
        }
        Behaviour::Down => false,
        Behaviour::Reset => {
            // What is still to be read when a connection is closed makes the close a reset.
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Le");
            let _ = stream.shutdown(Shutdown::Both);
            false
        }
        Behaviour::ByteByByte { body, every_ms } => {
            for byte in [good(body.len()), body.clone()].concat() {
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
            let _ = stream.write_all(&[good(length), body.clone()].concat());
            let _ = stream.shutdown(Shutdown::Write);
            wait_for_the_end(stream);
            false
        }
        Behaviour::Endless => {
            let chunk = [b'x'; 16 * 1_024];
            let mut open = stream.write_all(&good(3 << 30)).is_ok();
            while open {
                open = stream.write_all(&chunk).is_ok() && !inside.over.load(Ordering::SeqCst);
            }
            false
        }
    }
}

/// Until the caller closes its end, or half a minute has passed.
fn wait_for_the_end(mut stream: &TcpStream) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let mut byte = [0];
    while matches!(std::io::Read::read(&mut stream, &mut byte), Ok(n) if n > 0) {}
}

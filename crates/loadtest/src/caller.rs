//! Balancers that send at the times that were drawn, whatever the server does, and note how each request ended.

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

use crate::site::BUDGETS_MS;

/// Connections; each carries up to 32 requests at once.
const CONNECTIONS: usize = 16;
const OPEN: usize = 32;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Served, with every part fresh.
    Whole,
    /// Served, with some part missing or not fresh.
    Partial,
    /// Turned away.
    Refused,
    /// Failed.
    Failed,
    /// No answer by the end of the demo.
    Unanswered,
}

/// One request that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// The phase in which it was sent.
    pub phase: usize,
    /// When it was to be sent, from the start. Time lost before that is the server's, not left out.
    pub at: Duration,
    /// How long it may take.
    pub budget: Duration,
    /// Its class, by its place in [`BUDGETS_MS`].
    pub class: usize,
    /// It was sent a second time: the first crossed a close.
    pub again: bool,
    /// When it was answered, from the start.
    pub ended: Option<Duration>,
    /// How.
    pub end: End,
}

/// What is open on a connection: numbers of requests in the list of all.
type Open = Arc<Mutex<BTreeMap<u16, usize>>>;

struct Line {
    stream: TcpStream,
    open: Open,
    over: Arc<AtomicBool>,
    next: u16,
}

/// All balancers.
pub struct Callers {
    start: Instant,
    lines: Vec<Line>,
    all: Arc<Mutex<Vec<Sent>>>,
    /// Requests whose connection ended before their answer.
    crossed: Arc<Mutex<Vec<usize>>>,
    listen: SocketAddr,
    over: CompletionNotifier,
    /// The most that sending ever lagged behind.
    pub behind: Duration,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Callers {
    /// Connects to the server.
    pub fn start(listen: SocketAddr, over: CompletionNotifier) -> Result<Callers, String> {
        let (all, crossed) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let mut callers = Callers {
            start: Instant::now(),
            lines: Vec::new(),
            all,
            crossed,
            listen,
            over,
            behind: Duration::ZERO,
        };
        for _ in 0..CONNECTIONS {
            let line = callers.connect()?;
            callers.lines.push(line);
        }
        Ok(callers)
    }

    /// A connection, and a thread that reads its answers.
    fn connect(&self) -> Result<Line, String> {
        let mut balancer = Balancer::connect(self.listen);
        let _ = balancer.stream.set_read_timeout(None);
        let stream = balancer.stream.try_clone().map_err(|e| format!("a connection: {e}"))?;
        let (open, over) = (Open::default(), Arc::new(AtomicBool::new(false)));
        let (its_open, its_over, farm) = (open.clone(), over.clone(), self.over.clone());
        let (start, all, crossed) = (self.start, self.all.clone(), self.crossed.clone());
        thread::spawn(move || {
            while let Some(answer) = balancer.try_answer() {
                let Some(number) = lock(&its_open).remove(&answer.slot) else { continue };
                let end = end_of(answer.status, answer.protocol_status, &answer.body);
                let sent: &mut Sent = &mut lock(&all)[number];
                (sent.ended, sent.end) = (Some(start.elapsed()), end);
                farm.notify(&name(number, sent.again));
            }
            let mut left = lock(&its_open);
            its_over.store(true, Ordering::SeqCst);
            lock(&crossed).extend(std::mem::take(&mut *left).into_values());
        });
        Ok(Line { stream, open, over, next: 0 })
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Sends a request that was drawn for this time, and again those that crossed a close.
    pub fn send(&mut self, phase: usize, at: Duration, class: usize) -> Result<(), String> {
        self.behind = self.behind.max(self.elapsed().saturating_sub(at));
        let budget = Duration::from_millis(BUDGETS_MS[class].1);
        let number = {
            let mut all = lock(&self.all);
            all.push(Sent { phase, at, budget, class, again: false, ended: None, end: End::Unanswered });
            all.len() - 1
        };
        self.write(number)?;
        let crossed = std::mem::take(&mut *lock(&self.crossed));
        for number in crossed {
            // Once: what is lost a second time stays unanswered.
            if !std::mem::replace(&mut lock(&self.all)[number].again, true) {
                self.write(number)?;
            }
        }
        Ok(())
    }

    fn write(&mut self, number: usize) -> Result<(), String> {
        let sent = lock(&self.all)[number];
        for place in 0..self.lines.len() {
            if self.lines[place].over.load(Ordering::SeqCst) {
                self.lines[place] = self.connect()?;
            }
        }
        let line = self.lines.iter_mut().min_by_key(|line| lock(&line.open).len());
        let Some(line) = line.filter(|line| lock(&line.open).len() < OPEN) else {
            // More is open than a server may be sent: that counts against it.
            return Ok(());
        };
        let (class, budget_ms) = BUDGETS_MS[sent.class];
        let mut open = lock(&line.open);
        if line.over.load(Ordering::SeqCst) {
            lock(&self.crossed).push(number);
            return Ok(());
        }
        line.next = line.next % 1_000 + 1;
        while open.contains_key(&line.next) {
            line.next = line.next % 1_000 + 1;
        }
        open.insert(line.next, number);
        let request = Request::new(line.next, &name(number, sent.again))
            .with("SCRIPT_NAME", &format!("/svc/{class}"))
            .with("HTTP_BUDGET_MS", &budget_ms.to_string())
            .with("HTTP_PRIORITY_RANK", if sent.class == 0 { "0.2500" } else { "0.7500" })
            .with("HTTP_RESOURCE_KEY", &format!("{:016x}", number % 50));
        let _ = line.stream.write_all(&request.bytes());
        Ok(())
    }

    /// All that was sent, once the last has had its time.
    pub fn finish(self) -> Vec<Sent> {
        thread::sleep(Duration::from_millis(900));
        let all = lock(&self.all).clone();
        all
    }
}

/// The name of a try.
fn name(number: usize, again: bool) -> String {
    format!("{:08x}{number:08x}", u32::from(again))
}

fn end_of(status: u16, protocol_status: u8, body: &[u8]) -> End {
    match (status, protocol_status) {
        (200, _) if AggregateResponse::decode(body).is_ok_and(|envelope| !envelope.is_complete()) => {
            End::Partial
        }
        (200, _) => End::Whole,
        (429 | 503, _) | (_, 2) => End::Refused,
        _ => End::Failed,
    }
}

//! Balancers that ask every server all the while, and note how each request ended.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use umberloom_protocol_fakes::farm::CompletionNotifier;
use umberloom_protocol_fakes::{Balancer, Request};

use crate::history::{lock, now_us};
use crate::server::{CLASS_BUDGETS_MS, WAIT_TIMEOUT};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
    /// Its connection ended before its answer: the server was killed, or told to end.
    Broken,
    /// No answer for as long as anything is waited for.
    Lost,
    /// An answer that nobody asked for.
    Extra,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    /// The server, by its place.
    pub server: usize,
    /// When it was sent, in Unix microseconds, and how long it took.
    pub at_us: u64,
    pub took: Duration,
    pub outcome: Outcome,
}

struct Inside {
    over: AtomicBool,
    /// Wait between two requests of one caller, in microseconds, by server.
    gaps: Vec<AtomicU64>,
    asked: Mutex<Vec<RequestOutcome>>,
    next: AtomicU64,
}

/// All callers.
pub struct Traffic {
    inside: Arc<Inside>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Traffic {
    /// So many callers for each of these servers, with a pause between their requests.
    pub fn start(servers: &[(SocketAddr, CompletionNotifier)], callers: usize, gap: Duration) -> Traffic {
        let gaps = servers.iter().map(|_| AtomicU64::new(gap.as_micros() as u64)).collect();
        let inside = Arc::new(Inside {
            over: AtomicBool::new(false),
            gaps,
            asked: Mutex::default(),
            next: AtomicU64::new(0),
        });
        let mut threads = Vec::new();
        for (server, (listen, over)) in servers.iter().enumerate() {
            for _ in 0..callers {
                let (inside, listen, over) = (inside.clone(), *listen, over.clone());
                threads.push(thread::spawn(move || inside.call(server, listen, &over)));
            }
        }
        Traffic { inside, threads }
    }

    /// Another pause between requests to one server.
    pub fn set_gap(&self, server: usize, gap: Duration) {
        self.inside.gaps[server].store(gap.as_micros() as u64, Ordering::Relaxed);
    }

    /// Every request so far that is over.
    pub fn outcomes(&self) -> Vec<RequestOutcome> {
        lock(&self.inside.asked).clone()
    }

    /// Requests so far that ended so at a server.
    pub fn count(&self, server: usize, end: Outcome) -> usize {
        lock(&self.inside.asked).iter().filter(|a| a.server == server && a.outcome == end).count()
    }

    /// Asks no more, and waits for what is open.
    pub fn finish(mut self) -> Vec<RequestOutcome> {
        self.end();
        self.outcomes()
    }

    fn end(&mut self) {
        self.inside.over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.end();
    }
}

impl Inside {
    fn call(&self, server: usize, listen: SocketAddr, over: &CompletionNotifier) {
        let mut line: Option<Balancer> = None;
        while !self.over.load(Ordering::SeqCst) {
            self.pause(server);
            let Some(balancer) = line.take().or_else(|| connect(listen)) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            line = self.ask(server, balancer, over);
        }
    }

    /// Waits for the gap of a server, as it is by the end of it: a need that comes is felt at once.
    fn pause(&self, server: usize) {
        let start = Instant::now();
        while !self.over.load(Ordering::SeqCst) {
            let gap = Duration::from_micros(self.gaps[server].load(Ordering::Relaxed));
            let Some(left) = gap.checked_sub(start.elapsed()) else { return };
            thread::sleep(left.min(Duration::from_millis(20)));
        }
    }

    /// One request; the connection, if it can carry another.
    fn ask(&self, server: usize, mut balancer: Balancer, over: &CompletionNotifier) -> Option<Balancer> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{server}-{number}");
        let (class, budget) = CLASS_BUDGETS_MS[(number % 2) as usize];
        let path = format!("/svc/{class}");
        let slot = (number % 60_000) as u16 + 1;
        let request = Request::new(slot, &id)
            .with("SCRIPT_NAME", &path)
            .with("HTTP_BUDGET_MS", &budget.to_string())
            .with("HTTP_PRIORITY_RANK", &format!("{:.4}", (number % 97) as f64 / 97.0));
        let (at, start) = (now_us(), Instant::now());
        let sent = std::io::Write::write_all(&mut balancer.stream, &request.bytes()).is_ok();
        let answer = if sent { balancer.try_answer() } else { None };
        over.notify(&id);
        let took = start.elapsed();
        let end = match &answer {
            Some(answer) if answer.slot != slot => Outcome::Extra,
            Some(answer) if answer.protocol_status != 0 || answer.status == 503 => Outcome::Refused,
            Some(answer) if answer.status == 200 => Outcome::Served,
            Some(_) => Outcome::Failed,
            None if took >= WAIT_TIMEOUT => Outcome::Lost,
            None => Outcome::Broken,
        };
        lock(&self.asked).push(RequestOutcome { server, at_us: at, took, outcome: end });
        answer.filter(|answer| answer.slot == slot && answer.protocol_status == 0).map(|_| balancer)
    }
}

fn connect(listen: SocketAddr) -> Option<Balancer> {
    let stream = TcpStream::connect(listen).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Balancer::tolerant(stream))
}

//! Callers that send requests to every server continuously and record the outcome of each.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use umberloom_protocol_fakes::farm::CompletionNotifier;
use umberloom_protocol_fakes::{Balancer, Request};

use crate::history::{lock, now_us};
use crate::server::{CLASS_BUDGETS_MS, WAIT_TIMEOUT};

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Answered with status 200.
    Served,
    /// Rejected with a FastCGI protocol status other than 0, or with HTTP status 503.
    Refused,
    /// Answered with any other status.
    Failed,
    /// The connection ended before the answer, because the server was killed or told to exit.
    Broken,
    /// Not answered within [`WAIT_TIMEOUT`].
    Lost,
    /// Another answer arrived than the one to this request.
    Extra,
}

/// One request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    /// The index of the server.
    pub server: usize,
    /// Unix time in microseconds at which it was sent.
    pub at_us: u64,
    /// Time until the outcome.
    pub took: Duration,
    pub outcome: Outcome,
}

/// The state that all callers share.
struct Shared {
    stopped: AtomicBool,
    /// Pause between two requests of one caller, in microseconds, by server.
    gaps_us: Vec<AtomicU64>,
    outcomes: Mutex<Vec<RequestOutcome>>,
    next_number: AtomicU64,
}

/// Callers of all servers. Dropping it stops them and waits for their requests in progress.
pub struct Traffic {
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Traffic {
    /// Starts this many callers per server, each of which pauses for `gap` between its requests. A server is
    /// given by its address and the notifier of its agent.
    pub fn start(servers: &[(SocketAddr, CompletionNotifier)], callers: usize, gap: Duration) -> Traffic {
        let gaps_us = servers.iter().map(|_| AtomicU64::new(gap.as_micros() as u64)).collect();
        let shared = Arc::new(Shared {
            stopped: AtomicBool::new(false),
            gaps_us,
            outcomes: Mutex::default(),
            next_number: AtomicU64::new(0),
        });
        let mut threads = Vec::new();
        for (server, (listen, notifier)) in servers.iter().enumerate() {
            for _ in 0..callers {
                let (shared, listen, notifier) = (shared.clone(), *listen, notifier.clone());
                threads.push(thread::spawn(move || shared.run_caller(server, listen, &notifier)));
            }
        }
        Traffic { shared, threads }
    }

    /// Changes the pause between a caller's requests to one server.
    pub fn set_gap(&self, server: usize, gap: Duration) {
        self.shared.gaps_us[server].store(gap.as_micros() as u64, Ordering::Relaxed);
    }

    /// All requests that have ended so far.
    pub fn outcomes(&self) -> Vec<RequestOutcome> {
        lock(&self.shared.outcomes).clone()
    }

    /// The number of requests to a server with this outcome so far.
    pub fn count(&self, server: usize, outcome: Outcome) -> usize {
        lock(&self.shared.outcomes).iter().filter(|a| a.server == server && a.outcome == outcome).count()
    }

    /// Stops the callers, waits for their requests in progress and returns all outcomes.
    pub fn finish(mut self) -> Vec<RequestOutcome> {
        self.stop();
        self.outcomes()
    }

    fn stop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    /// Sends requests to one server until the callers are stopped; connects again after a connection ended.
    fn run_caller(&self, server: usize, listen: SocketAddr, notifier: &CompletionNotifier) {
        let mut connection: Option<Balancer> = None;
        while !self.stopped.load(Ordering::SeqCst) {
            self.pause(server);
            let Some(balancer) = connection.take().or_else(|| connect(listen)) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            connection = self.call(server, balancer, notifier);
        }
    }

    /// Waits for the gap of a server. A gap that is changed meanwhile applies to this wait too.
    fn pause(&self, server: usize) {
        let start = Instant::now();
        while !self.stopped.load(Ordering::SeqCst) {
            let gap = Duration::from_micros(self.gaps_us[server].load(Ordering::Relaxed));
            let Some(remaining) = gap.checked_sub(start.elapsed()) else { return };
            thread::sleep(remaining.min(Duration::from_millis(20)));
        }
    }

    /// Sends one request and records its outcome. Returns the connection if it can carry another request.
    fn call(&self, server: usize, mut balancer: Balancer, notifier: &CompletionNotifier) -> Option<Balancer> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("{server}-{number}");
        let (class, budget_ms) = CLASS_BUDGETS_MS[(number % 2) as usize];
        let path = format!("/svc/{class}");
        let slot = (number % 60_000) as u16 + 1;
        let request = Request::new(slot, &id)
            .with("SCRIPT_NAME", &path)
            .with("HTTP_BUDGET_MS", &budget_ms.to_string())
            .with("HTTP_PRIORITY_RANK", &format!("{:.4}", (number % 97) as f64 / 97.0));
        let (at_us, start) = (now_us(), Instant::now());
        let sent = std::io::Write::write_all(&mut balancer.stream, &request.bytes()).is_ok();
        let answer = if sent { balancer.try_answer() } else { None };
        notifier.notify(&id);
        let took = start.elapsed();
        let outcome = match &answer {
            Some(answer) if answer.slot != slot => Outcome::Extra,
            Some(answer) if answer.protocol_status != 0 || answer.status == 503 => Outcome::Refused,
            Some(answer) if answer.status == 200 => Outcome::Served,
            Some(_) => Outcome::Failed,
            None if took >= WAIT_TIMEOUT => Outcome::Lost,
            None => Outcome::Broken,
        };
        lock(&self.outcomes).push(RequestOutcome { server, at_us, took, outcome });
        answer.filter(|answer| answer.slot == slot && answer.protocol_status == 0).map(|_| balancer)
    }
}

fn connect(listen: SocketAddr) -> Option<Balancer> {
    let stream = TcpStream::connect(listen).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Balancer::tolerant(stream))
}

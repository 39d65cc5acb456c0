//! A render farm agent that works by itself. Its runs take a random time on one of its cores, make a call
//! halfway and end with the call's result.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use serde_json::{json, Value};

use crate::balancer::base64;

/// Configuration of a [`Farm`].
#[derive(Clone, Debug)]
pub struct FarmConfig {
    /// Number of runs that make progress at the same time.
    pub cores: usize,
    /// Median time of each phase of a run, before and after its call, in milliseconds. Times are log-normal.
    pub median_ms: f64,
    /// Sigma of the log-normal distribution.
    pub sigma: f64,
    /// Classes whose runs make no call.
    pub without_calls: Vec<String>,
    /// A run that still waits for its call this long after its launch is broken off, as its request is over.
    pub call_timeout: Duration,
}

/// The agent. It runs until the process ends.
pub struct Farm {
    pub address: SocketAddr,
    sender: Sender<Incoming>,
}

/// Notifies an agent of requests that are over, as the platform does.
#[derive(Clone)]
pub struct CompletionNotifier(Sender<Incoming>);

impl CompletionNotifier {
    /// Reports that a request was answered. If its run waits for a call, it is broken off.
    pub fn notify(&self, id: &str) {
        let _ = self.0.send(Incoming::RequestOver(id.to_owned()));
    }
}

/// What arrives: a new link, one line on a link, or the id of a request that is over.
enum Incoming {
    Link(TcpStream),
    Line(Value),
    RequestOver(String),
}

struct Run {
    /// Whether the run has yet to make its call.
    calls: bool,
    started: Instant,
    /// The number of the notice that requested its call, while the run waits for the result.
    pending_call: Option<u64>,
    /// The result in base64: the body of the launch, later that of the call's result.
    result: String,
}

/// The state of the agent's thread.
struct FarmState {
    config: FarmConfig,
    /// The distribution of the duration of a phase, in milliseconds.
    phase_ms: LogNormal<f64>,
    random: ChaCha8Rng,
    link: Option<TcpStream>,
    /// The number of the latest notice.
    seq: u64,
    runs: BTreeMap<String, Run>,
    /// Ids of runs that wait for a core.
    ready: VecDeque<String>,
    /// Ids of runs that have a core, by the time at which their present phase ends.
    on_cores: BinaryHeap<Reverse<(Instant, String)>>,
    /// When each launched run is broken off if it still waits for its call, in the order of the launches.
    call_timeouts: VecDeque<(Instant, String)>,
}

impl Farm {
    /// Starts on a free port.
    pub fn start(config: FarmConfig) -> Farm {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, incoming) = channel();
        let link_sender = sender.clone();
        thread::spawn(move || listen(&listener, &link_sender));
        let phase_ms = LogNormal::new(config.median_ms.ln(), config.sigma).expect("a valid distribution");
        let state = FarmState {
            config,
            phase_ms,
            random: ChaCha8Rng::seed_from_u64(5),
            link: None,
            seq: 0,
            runs: BTreeMap::new(),
            ready: VecDeque::new(),
            on_cores: BinaryHeap::new(),
            call_timeouts: VecDeque::new(),
        };
        thread::spawn(move || state.run(&incoming));
        Farm { address, sender }
    }

    /// A handle that notifies this agent of requests that are over.
    pub fn completion_notifier(&self) -> CompletionNotifier {
        CompletionNotifier(self.sender.clone())
    }
}

/// Accepts links and passes on what arrives on them, one link after the other.
fn listen(listener: &TcpListener, sender: &Sender<Incoming>) {
    for link in listener.incoming().map_while(Result::ok) {
        let Ok(copy) = link.try_clone() else { return };
        if sender.send(Incoming::Link(link)).is_err() {
            return;
        }
        for line in BufReader::new(copy).lines().map_while(Result::ok) {
            let Ok(value) = serde_json::from_str(&line) else { break };
            if sender.send(Incoming::Line(value)).is_err() {
                return;
            }
        }
    }
}

impl FarmState {
    /// Processes messages and the progress of runs until all senders are gone.
    fn run(mut self, incoming: &Receiver<Incoming>) {
        loop {
            let now = Instant::now();
            let call_timeout = self.call_timeouts.front().map(|(at, _)| *at);
            let next = self.on_cores.peek().map(|Reverse((at, _))| *at).into_iter().chain(call_timeout).min();
            let next = next.map(|at| at.saturating_duration_since(now));
            match incoming.recv_timeout(next.unwrap_or(Duration::from_secs(3_600))) {
                Ok(Incoming::Link(link)) => self.link = Some(link),
                Ok(Incoming::Line(line)) => self.handle_command(&line),
                Ok(Incoming::RequestOver(id))
                    if self.runs.get(&id).is_some_and(|run| run.pending_call.is_some()) =>
                {
                    self.break_off(&id);
                }
                Ok(Incoming::RequestOver(_)) => {}
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.advance(Instant::now());
        }
    }

    fn handle_command(&mut self, line: &Value) {
        let id = line["id"].as_str().unwrap_or_default().to_owned();
        match line["op"].as_str() {
            Some("subscribe") => self.send(&json!({"op": "greeting", "end": "running", "ms": 1_000})),
            Some("launch") if !self.runs.contains_key(&id) => {
                let class = line["class"].as_str().unwrap_or_default().to_owned();
                let calls = !self.config.without_calls.contains(&class);
                let result = line["body"].as_str().unwrap_or_default().to_owned();
                self.runs
                    .insert(id.clone(), Run { calls, started: Instant::now(), pending_call: None, result });
                self.call_timeouts.push_back((Instant::now() + self.config.call_timeout, id.clone()));
                self.ready.push_back(id);
            }
            Some("deliver") => {
                if let Some(run) = self.runs.get_mut(&id).filter(|run| run.pending_call.is_some()) {
                    run.pending_call = None;
                    run.result = line["body"].as_str().unwrap_or_default().to_owned();
                    self.ready.push_back(id);
                }
            }
            Some("forgo") => {
                let pending_call = self.runs.get_mut(&id).and_then(|run| run.pending_call.take());
                self.ready.extend(pending_call.map(|_| id));
            }
            Some("freeze") => self.break_off(&id),
            Some("sample") => {
                let busy = self.on_cores.len() as f64 / self.config.cores as f64;
                let demand = (self.on_cores.len() + self.ready.len()) as f64;
                self.send(
                    &json!({"op": "sampled", "tag": line["tag"], "values": [busy.min(1.0), demand, 0.1, 3]}),
                );
            }
            Some("exercise") => self.send(&json!({"op": "exercised", "tag": line["tag"], "end": "fine"})),
            _ => {}
        }
    }

    /// Ends a run without a result.
    fn break_off(&mut self, id: &str) {
        if self.runs.remove(id).is_some() {
            self.ready.retain(|other| other != id);
            self.send_outcome(id, "broken_off", 0.0, "");
        }
    }

    /// Breaks off runs whose call timed out, ends phases of runs and gives free cores to waiting runs.
    fn advance(&mut self, now: Instant) {
        while self.call_timeouts.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.call_timeouts.pop_front() else { return };
            if self.runs.get(&id).is_some_and(|run| run.pending_call.is_some()) {
                self.break_off(&id);
            }
        }
        while self.on_cores.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, id))) = self.on_cores.pop() else { return };
            self.end_phase(&id);
        }
        while self.on_cores.len() < self.config.cores {
            let Some(id) = self.ready.pop_front() else { return };
            let duration =
                Duration::from_secs_f64(self.phase_ms.sample(&mut self.random).min(5_000.0) / 1_000.0);
            self.on_cores.push(Reverse((now + duration, id)));
        }
    }

    /// Ends one phase of a run: requests its call, or ends the run.
    fn end_phase(&mut self, id: &str) {
        let Some(run) = self.runs.get_mut(id) else { return };
        if std::mem::take(&mut run.calls) {
            self.seq += 1;
            run.pending_call = Some(self.seq);
            let line = json!({"op": "request", "seq": self.seq, "id": id, "body": base64(id.as_bytes())});
            return self.send(&line);
        }
        let (ms, result) = (run.started.elapsed().as_secs_f64() * 1_000.0, std::mem::take(&mut run.result));
        self.runs.remove(id);
        self.send_outcome(id, "fine", ms, &result);
    }

    /// Sends the outcome of a run.
    fn send_outcome(&mut self, id: &str, end: &str, ms: f64, body: &str) {
        self.seq += 1;
        self.send(&json!({"op": "outcome", "seq": self.seq, "id": id, "end": end, "ms": ms, "body": body}));
    }

    /// Sends one line of JSON if there is a link.
    fn send(&mut self, line: &Value) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }
}

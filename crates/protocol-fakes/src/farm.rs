//! A render farm agent that works by itself: so many cores, runs that take a drawn time, ask for their call half way
//! and end with what they were given.

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

/// How it works.
#[derive(Clone, Debug)]
pub struct Work {
    /// Runs that make progress at once.
    pub cores: usize,
    /// Work of a run before its call and after it: median in milliseconds, and sigma.
    pub median_ms: f64,
    pub sigma: f64,
    /// Classes whose runs make no call.
    pub without_calls: Vec<String>,
    /// A run that waits for its call is broken off so long after its launch: its request is over.
    pub call_timeout: Duration,
}

/// The agent. It ends with the process.
pub struct Farm {
    pub address: SocketAddr,
    tell: Sender<Heard>,
}

/// Tells an agent of requests that are over, as the platform does.
#[derive(Clone)]
pub struct CompletionNotifier(Sender<Heard>);

impl CompletionNotifier {
    /// The request of this name was answered: a run of it that waits for a call is broken off.
    pub fn notify(&self, id: &str) {
        let _ = self.0.send(Heard::Over(id.to_owned()));
    }
}

enum Heard {
    Link(TcpStream),
    Line(Value),
    Over(String),
}

struct Run {
    calls: bool,
    started: Instant,
    /// The number of the notice by which it asked for its call, while it waits.
    waits: Option<u64>,
    result: String,
}

struct Inside {
    work: Work,
    times: LogNormal<f64>,
    random: ChaCha8Rng,
    link: Option<TcpStream>,
    seq: u64,
    runs: BTreeMap<String, Run>,
    /// Parts of runs that wait for a core, and those that have one, by their ends.
    ready: VecDeque<String>,
    on_cores: BinaryHeap<Reverse<(Instant, String)>>,
    /// When runs that were launched are over, in the order of their launches.
    waiting: VecDeque<(Instant, String)>,
}

impl Farm {
    /// Starts on a port of its own.
    pub fn start(work: Work) -> Farm {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, heard) = channel();
        let links = tell.clone();
        thread::spawn(move || listen(&listener, &links));
        let times = LogNormal::new(work.median_ms.ln(), work.sigma).expect("a sound distribution");
        let inside = Inside {
            work,
            times,
            random: ChaCha8Rng::seed_from_u64(5),
            link: None,
            seq: 0,
            runs: BTreeMap::new(),
            ready: VecDeque::new(),
            on_cores: BinaryHeap::new(),
            waiting: VecDeque::new(),
        };
        thread::spawn(move || inside.live(&heard));
        Farm { address, tell }
    }

    /// By which it is told of requests that are over.
    pub fn completion_notifier(&self) -> CompletionNotifier {
        CompletionNotifier(self.tell.clone())
    }
}

fn listen(listener: &TcpListener, tell: &Sender<Heard>) {
    for link in listener.incoming().map_while(Result::ok) {
        let Ok(copy) = link.try_clone() else { return };
        if tell.send(Heard::Link(link)).is_err() {
            return;
        }
        for line in BufReader::new(copy).lines().map_while(Result::ok) {
            let Ok(value) = serde_json::from_str(&line) else { break };
            if tell.send(Heard::Line(value)).is_err() {
                return;
            }
        }
    }
}

impl Inside {
    fn live(mut self, heard: &Receiver<Heard>) {
        loop {
            let now = Instant::now();
            let waiting = self.waiting.front().map(|(at, _)| *at);
            let next = self.on_cores.peek().map(|Reverse((at, _))| *at).into_iter().chain(waiting).min();
            let next = next.map(|at| at.saturating_duration_since(now));
            match heard.recv_timeout(next.unwrap_or(Duration::from_secs(3_600))) {
                Ok(Heard::Link(link)) => self.link = Some(link),
                Ok(Heard::Line(line)) => self.obey(&line),
                Ok(Heard::Over(id)) if self.runs.get(&id).is_some_and(|run| run.waits.is_some()) => {
                    self.freeze(&id);
                }
                Ok(Heard::Over(_)) => {}
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.work_on(Instant::now());
        }
    }

    fn obey(&mut self, line: &Value) {
        let id = line["id"].as_str().unwrap_or_default().to_owned();
        match line["op"].as_str() {
            Some("subscribe") => self.say(&json!({"op": "greeting", "end": "running", "ms": 1_000})),
            Some("launch") if !self.runs.contains_key(&id) => {
                let class = line["class"].as_str().unwrap_or_default().to_owned();
                let calls = !self.work.without_calls.contains(&class);
                let result = line["body"].as_str().unwrap_or_default().to_owned();
                self.runs.insert(id.clone(), Run { calls, started: Instant::now(), waits: None, result });
                self.waiting.push_back((Instant::now() + self.work.call_timeout, id.clone()));
                self.ready.push_back(id);
            }
            Some("deliver") => {
                if let Some(run) = self.runs.get_mut(&id).filter(|run| run.waits.is_some()) {
                    run.waits = None;
                    run.result = line["body"].as_str().unwrap_or_default().to_owned();
                    self.ready.push_back(id);
                }
            }
            Some("forgo") => {
                let waited = self.runs.get_mut(&id).and_then(|run| run.waits.take());
                self.ready.extend(waited.map(|_| id));
            }
            Some("freeze") => self.freeze(&id),
            Some("sample") => {
                let busy = self.on_cores.len() as f64 / self.work.cores as f64;
                let wants = (self.on_cores.len() + self.ready.len()) as f64;
                self.say(
                    &json!({"op": "sampled", "tag": line["tag"], "values": [busy.min(1.0), wants, 0.1, 3]}),
                );
            }
            Some("exercise") => self.say(&json!({"op": "exercised", "tag": line["tag"], "end": "fine"})),
            _ => {}
        }
    }

    fn freeze(&mut self, id: &str) {
        if self.runs.remove(id).is_some() {
            self.ready.retain(|other| other != id);
            self.outcome(id, "broken_off", 0.0, "");
        }
    }

    fn work_on(&mut self, now: Instant) {
        while self.waiting.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.waiting.pop_front() else { return };
            if self.runs.get(&id).is_some_and(|run| run.waits.is_some()) {
                self.freeze(&id);
            }
        }
        while self.on_cores.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, id))) = self.on_cores.pop() else { return };
            self.part_done(&id);
        }
        while self.on_cores.len() < self.work.cores {
            let Some(id) = self.ready.pop_front() else { return };
            let took = Duration::from_secs_f64(self.times.sample(&mut self.random).min(5_000.0) / 1_000.0);
            self.on_cores.push(Reverse((now + took, id)));
        }
    }

    fn part_done(&mut self, id: &str) {
        let Some(run) = self.runs.get_mut(id) else { return };
        if std::mem::take(&mut run.calls) {
            self.seq += 1;
            run.waits = Some(self.seq);
            let line = json!({"op": "request", "seq": self.seq, "id": id, "body": base64(id.as_bytes())});
            return self.say(&line);
        }
        let (took, result) = (run.started.elapsed().as_secs_f64() * 1_000.0, std::mem::take(&mut run.result));
        self.runs.remove(id);
        self.outcome(id, "fine", took, &result);
    }

    fn outcome(&mut self, id: &str, end: &str, ms: f64, body: &str) {
        self.seq += 1;
        self.say(&json!({"op": "outcome", "seq": self.seq, "id": id, "end": end, "ms": ms, "body": body}));
    }

    fn say(&mut self, line: &Value) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }
}

//! A render farm agent whose runs take a random time or go on until the kill, and which can be gone, late,
//! moved or silent. It keeps its notices for a new link, as the protocol asks.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use umberloom_protocol_fakes::balancer::base64;

use super::lock;

/// Interval at which runs are looked at for their end.
const TICK: Duration = Duration::from_millis(2);
/// Shortest and longest run, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 5..80;
/// Share of the runs that make a call.
const CALL_SHARE: f64 = 0.3;
/// Number of addresses at which the agent listens.
const ADDRESSES: usize = 2;

/// The result of the run of a request.
pub fn result_of(id: &str) -> Vec<u8> {
    format!("result of {id}").into_bytes()
}

struct Run {
    /// When the run ends or makes its call; `None` if it goes on or waits for its call.
    due_at: Option<Instant>,
    /// The run has yet to make its call.
    calls: bool,
    ended: bool,
}

struct State {
    link: Option<TcpStream>,
    /// The last notice that the server has read, as it said on the present link.
    subscribed_at: u64,
    greeted: bool,
    /// The agent accepts links.
    reachable: bool,
    /// The agent is up: it greets.
    up: bool,
    silent: bool,
    notices: Vec<String>,
    runs: BTreeMap<String, Run>,
    launched_again: BTreeSet<String>,
    endless_share: f64,
    random: ChaCha8Rng,
}

/// The agent. Dropping it stops its threads.
pub struct Agent {
    /// The addresses at which it listens; it is the same agent at both.
    pub addresses: [SocketAddr; ADDRESSES],
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

impl Agent {
    /// Starts on free ports. It greets once [`Agent::set_up`] says so.
    pub fn start(seed: u64, endless_share: f64) -> std::io::Result<Agent> {
        let state = Arc::new(Mutex::new(State {
            link: None,
            subscribed_at: 0,
            greeted: false,
            reachable: true,
            up: false,
            silent: false,
            notices: Vec::new(),
            runs: BTreeMap::new(),
            launched_again: BTreeSet::new(),
            endless_share,
            random: ChaCha8Rng::seed_from_u64(seed),
        }));
        let stopped = Arc::new(AtomicBool::new(false));
        let listeners = [TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?];
        let addresses = [listeners[0].local_addr()?, listeners[1].local_addr()?];
        for listener in listeners {
            let (state, stopped) = (state.clone(), stopped.clone());
            thread::spawn(move || accept_links(&listener, &state, &stopped));
        }
        let (ticking_state, ticking_stopped) = (state.clone(), stopped.clone());
        thread::spawn(move || {
            while !ticking_stopped.load(Ordering::SeqCst) {
                lock(&ticking_state).advance(Instant::now());
                thread::sleep(TICK);
            }
        });
        Ok(Agent { addresses, state, stopped })
    }

    /// Makes the agent send its greeting on the present link and on each later one.
    pub fn set_up(&self) {
        let mut state = lock(&self.state);
        state.up = true;
        state.greet();
    }

    /// Makes the agent lose its link and accept none, or accept links again.
    pub fn set_reachable(&self, reachable: bool) {
        let mut state = lock(&self.state);
        state.reachable = reachable;
        if !reachable {
            state.disconnect();
        }
    }

    /// Makes the agent answer no sample and its runs make no progress.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silent = silent;
    }

    /// Ids of all requests whose runs were launched.
    pub fn launched(&self) -> BTreeSet<String> {
        lock(&self.state).runs.keys().cloned().collect()
    }

    /// Ids of requests that were launched again after their run had ended.
    pub fn launched_again(&self) -> BTreeSet<String> {
        lock(&self.state).launched_again.clone()
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        lock(&self.state).disconnect();
        // Each connection makes one thread look at the flag.
        for address in self.addresses {
            let _ = TcpStream::connect(address);
        }
    }
}

fn accept_links(listener: &TcpListener, state: &Arc<Mutex<State>>, stopped: &AtomicBool) {
    for link in listener.incoming().map_while(Result::ok) {
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(reader) = link.try_clone() else { return };
        {
            let mut state = lock(state);
            if !state.reachable {
                continue;
            }
            state.disconnect();
            state.link = Some(link);
        }
        let state = state.clone();
        thread::spawn(move || read_commands(reader, &state));
    }
}

fn read_commands(link: TcpStream, state: &Mutex<State>) {
    let Ok(own_address) = link.peer_addr() else { return };
    for line in BufReader::new(link).lines().map_while(Result::ok) {
        let Ok(command) = serde_json::from_str::<Value>(&line) else { return };
        let mut state = lock(state);
        let is_present = state.link.as_ref().is_some_and(|link| link.peer_addr().ok() == Some(own_address));
        if !is_present {
            return;
        }
        state.handle_command(&command);
    }
}

impl State {
    fn disconnect(&mut self) {
        if let Some(link) = self.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        self.greeted = false;
    }

    fn handle_command(&mut self, command: &Value) {
        let id = command["id"].as_str().unwrap_or_default().to_owned();
        match command["op"].as_str() {
            Some("subscribe") => {
                self.subscribed_at = command["seq"].as_u64().unwrap_or(0);
                self.greet();
            }
            Some("launch") => self.launch(id),
            Some("deliver" | "forgo") => {
                if let Some(run) = self.runs.get_mut(&id).filter(|run| !run.ended) {
                    run.due_at = Some(Instant::now());
                }
            }
            Some("sample") if !self.silent => {
                let line = json!({"op": "sampled", "tag": command["tag"], "values": [0.5, 2, 0.1, 3]});
                self.send(&line.to_string());
            }
            Some("exercise") if !self.silent => {
                let line = json!({"op": "exercised", "tag": command["tag"], "end": "fine"});
                self.send(&line.to_string());
            }
            _ => {}
        }
    }

    /// Sends the greeting and all notices that the server has not read, once the agent is up and the server
    /// has subscribed.
    fn greet(&mut self) {
        if !self.up || self.link.is_none() || self.greeted {
            return;
        }
        self.greeted = true;
        self.send(&json!({"op": "greeting", "end": "running", "ms": 1_000}).to_string());
        for index in self.subscribed_at as usize..self.notices.len() {
            let line = self.notices[index].clone();
            self.send(&line);
        }
    }

    fn launch(&mut self, id: String) {
        if let Some(run) = self.runs.get(&id) {
            if run.ended {
                self.launched_again.insert(id);
            }
            return;
        }
        let endless = self.random.random_bool(self.endless_share);
        let duration = Duration::from_millis(self.random.random_range(RUN_MS));
        let due_at = (!endless).then(|| Instant::now() + duration);
        let calls = self.random.random_bool(CALL_SHARE);
        self.runs.insert(id, Run { due_at, calls, ended: false });
    }

    /// Ends the runs that are due, or makes their calls.
    fn advance(&mut self, now: Instant) {
        if self.silent {
            return;
        }
        let is_due = |run: &Run| run.due_at.is_some_and(|at| now >= at);
        let due: Vec<String> =
            self.runs.iter().filter(|(_, run)| is_due(run)).map(|(id, _)| id.clone()).collect();
        for id in due {
            let Some(run) = self.runs.get_mut(&id) else { continue };
            run.due_at = None;
            if std::mem::take(&mut run.calls) {
                self.notify(json!({"op": "request", "id": id, "body": base64(b"call")}));
            } else {
                run.ended = true;
                let body = base64(&result_of(&id));
                self.notify(json!({"op": "outcome", "id": id, "end": "fine", "ms": 20.0, "body": body}));
            }
        }
    }

    /// Numbers a notice, keeps it and sends it if there is a link.
    fn notify(&mut self, mut notice: Value) {
        notice["seq"] = (self.notices.len() + 1).into();
        let line = notice.to_string();
        self.notices.push(line.clone());
        if self.greeted {
            self.send(&line);
        }
    }

    fn send(&mut self, line: &str) {
        let Some(link) = &mut self.link else { return };
        if link.write_all(format!("{line}\n").as_bytes()).is_err() {
            self.disconnect();
        }
    }
}

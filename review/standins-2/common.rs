//! Small stand-ins for the review's cases: a balancer (FastCGI), the render farm agent (JSON lines), HTTP
//! services (records, announce, dependencies), and a server process. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of pseudo-random numbers.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// An exponentially distributed time.
    pub fn exp_ms(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64((-(1.0 - self.unit()).ln() * mean).min(mean * 6.0) / 1000.0)
    }
}

/// The record of a case: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    pub fn create(path: &Path) -> Record {
        Record(Arc::new(Mutex::new((File::create(path).expect("record.txt"), Instant::now()))))
    }
    pub fn line(&self, text: &str) {
        let mut guard = self.0.lock().unwrap();
        let at = guard.1.elapsed().as_secs_f64();
        let _ = writeln!(guard.0, "{at:10.4} {text}");
    }
}

/// Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run.
pub struct CaseDirs {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

/// Arguments: the repository's root, the case's folder, a temporary folder.
pub fn case_dirs() -> CaseDirs {
    let args: Vec<String> = std::env::args().collect();
    let (root, case, temp) = (PathBuf::from(&args[1]), PathBuf::from(&args[2]), PathBuf::from(&args[3]));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&case.join("record.txt"));
    record.line(&format!("start, trouble={trouble}"));
    CaseDirs { root, temp, record, trouble }
}

/// An address for a server to listen on. Each is on a loopback host of its own, so that no other socket takes its port
/// before the server has bound it.
pub fn free_address() -> SocketAddr {
    static HOSTS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let host = HOSTS.fetch_add(1, std::sync::atomic::Ordering::SeqCst) + 1;
    let pid = std::process::id();
    let ip = std::net::Ipv4Addr::new(127, 1 + (pid / 250 % 250) as u8, (pid % 250) as u8, host as u8);
    TcpListener::bind((ip, 0)).expect("a port").local_addr().unwrap()
}

// ---------------------------------------------------------------- text helpers

/// The text of a field in a flat JSON object as the server writes it.
pub fn text_field(line: &str, name: &str) -> String {
    let marker = format!("\"{name}\":\"");
    let Some(start) = line.find(&marker).map(|at| at + marker.len()) else { return String::new() };
    line[start..].split('"').next().unwrap_or("").to_owned()
}

pub fn number_field(line: &str, name: &str) -> u64 {
    let marker = format!("\"{name}\":");
    let Some(start) = line.find(&marker).map(|at| at + marker.len()) else { return 0 };
    let digits: String = line[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(ALPHABET[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let values: Vec<u32> = text
        .bytes()
        .filter_map(|b| ALPHABET.iter().position(|&a| a == b).map(|p| p as u32))
        .collect();
    for chunk in values.chunks(4) {
        let mut n = 0;
        for i in 0..4 {
            n = (n << 6) | chunk.get(i).copied().unwrap_or(0);
        }
        let bytes = [(n >> 16) as u8, (n >> 8) as u8, n as u8];
        out.extend_from_slice(&bytes[..chunk.len().saturating_sub(1)]);
    }
    out
}

// ---------------------------------------------------------------- the server under test

pub struct Server {
    pub child: Child,
    pub pid: u32,
    pub log: PathBuf,
}

/// The command that the deploy file names for one server.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy file");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run");
    line.split('"').nth(1).expect("quoted").to_owned()
}

impl Server {
    /// Starts a server as the deploy page says. `extra` is added to the command line.
    pub fn start(dirs: &CaseDirs, name: &str, listen: SocketAddr, config: &Path, extra: &str) -> Server {
        let own_temp = dirs.temp.join(format!("{name}-tmp"));
        std::fs::create_dir_all(&own_temp).expect("folder");
        let log = dirs.temp.join(format!("{name}.log"));
        let out = File::create(&log).expect("log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{}{extra}", run_command(&dirs.root)))
            .current_dir(&dirs.root)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_CONFIG", config)
            .env("TMPDIR", &own_temp)
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("log"))
            .stderr(out)
            .spawn()
            .expect("server");
        let pid = child.id();
        let mut pids =
            std::fs::OpenOptions::new().create(true).append(true).open(dirs.temp.join("pids")).expect("pids");
        writeln!(pids, "{pid}").expect("pids");
        dirs.record.line(&format!("server {name} started, pid {pid}"));
        Server { child, pid, log }
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.pid)).status();
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------- the balancer

pub fn fcgi_record(kind: u8, slot: u16, content: &[u8]) -> Vec<u8> {
    let mut out = vec![1, kind];
    out.extend_from_slice(&slot.to_be_bytes());
    out.extend_from_slice(&(content.len() as u16).to_be_bytes());
    out.extend_from_slice(&[0, 0]);
    out.extend_from_slice(content);
    out
}

pub fn fcgi_request(slot: u16, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut params = Vec::new();
    for (name, value) in fields {
        params.push(name.len() as u8);
        assert!(value.len() < 128);
        params.push(value.len() as u8);
        params.extend_from_slice(name.as_bytes());
        params.extend_from_slice(value.as_bytes());
    }
    let mut out = fcgi_record(1, slot, &[0, 1, 1, 0, 0, 0, 0, 0]);
    out.extend(fcgi_record(4, slot, &params));
    out.extend(fcgi_record(4, slot, &[]));
    if !body.is_empty() {
        out.extend(fcgi_record(5, slot, body));
    }
    out.extend(fcgi_record(5, slot, &[]));
    out
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub slot: u16,
    /// The protocol status of FastCGI; 2 is OVERLOADED.
    pub protocol_status: u8,
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    /// What the answer means by the protocol page.
    pub fn meaning(&self) -> &'static str {
        match (self.protocol_status, self.status) {
            (2, _) | (0, 429) | (0, 503) => "refused",
            (0, 200) => "served",
            _ => "failed",
        }
    }
}

/// Reads one complete answer; `None` at the end of the connection.
pub struct AnswerReader {
    stream: TcpStream,
    unread: Vec<u8>,
    streams: HashMap<u16, Vec<u8>>,
}

impl AnswerReader {
    pub fn new(stream: TcpStream) -> AnswerReader {
        AnswerReader { stream, unread: Vec::new(), streams: HashMap::new() }
    }

    pub fn next(&mut self) -> Option<Answer> {
        loop {
            while self.unread.len() >= 8 {
                let length = usize::from(u16::from_be_bytes([self.unread[4], self.unread[5]]));
                let size = 8 + length + usize::from(self.unread[6]);
                if self.unread.len() < size {
                    break;
                }
                let (kind, slot) = (self.unread[1], u16::from_be_bytes([self.unread[2], self.unread[3]]));
                let content = self.unread[8..8 + length].to_vec();
                self.unread.drain(..size);
                if kind == 6 {
                    self.streams.entry(slot).or_default().extend(content);
                } else if kind == 3 {
                    let stream = self.streams.remove(&slot).unwrap_or_default();
                    return Some(parse_answer(slot, content[4], &stream));
                }
            }
            let mut bytes = [0; 8192];
            match self.stream.read(&mut bytes) {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.unread.extend_from_slice(&bytes[..n]),
            }
        }
    }
}

fn parse_answer(slot: u16, protocol_status: u8, stream: &[u8]) -> Answer {
    let split = stream.windows(4).position(|w| w == b"\r\n\r\n");
    let (head, body) = match split {
        Some(at) => (String::from_utf8_lossy(&stream[..at]).into_owned(), stream[at + 4..].to_vec()),
        None => (String::new(), Vec::new()),
    };
    let status = head
        .split("\r\n")
        .find_map(|line| line.strip_prefix("Status: "))
        .and_then(|value| value.split(' ').next()?.parse().ok())
        .unwrap_or(0);
    Answer { slot, protocol_status, status, head, body }
}

pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        if let Ok(stream) = TcpStream::connect(address) {
            let _ = stream.set_nodelay(true);
            return Some(stream);
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Asks for a health check until it is good; `false` if it never is.
pub fn wait_until_healthy(address: SocketAddr) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if let Some(mut stream) = connect(address) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            let fields = [
                ("REQUEST_METHOD", "GET".to_owned()),
                ("SCRIPT_NAME", "/status/live".to_owned()),
                ("QUERY_STRING", String::new()),
            ];
            let _ = stream.write_all(&fcgi_request(1, &fields, &[]));
            if AnswerReader::new(stream).next().is_some_and(|answer| answer.status == 200) {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

// ---------------------------------------------------------------- HTTP services

/// What an HTTP stand-in does with one call.
pub struct HttpReply {
    pub delay: Duration,
    /// `None`: the connection is closed without a reply.
    pub bytes: Option<Vec<u8>>,
    /// Bytes that follow the reply, and after which time.
    pub behind: Option<(Duration, Vec<u8>)>,
}

pub fn http_bytes(status: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves HTTP on a free port; `handle` gets the head and the body of each call.
pub fn http_service(handle: impl Fn(&str, &[u8]) -> HttpReply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = handle.clone();
            thread::spawn(move || serve_http(stream, &*handle));
        }
    });
    address
}

fn serve_http(mut stream: TcpStream, handle: &dyn Fn(&str, &[u8]) -> HttpReply) {
    let _ = stream.set_nodelay(true);
    let mut unread: Vec<u8> = Vec::new();
    loop {
        let head_end = loop {
            if let Some(at) = unread.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            let mut bytes = [0; 4096];
            match stream.read(&mut bytes) {
                Ok(0) | Err(_) => return,
                Ok(n) => unread.extend_from_slice(&bytes[..n]),
            }
        };
        let head = String::from_utf8_lossy(&unread[..head_end]).into_owned();
        let length: usize = head
            .lines()
            .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok())
            .unwrap_or(0);
        while unread.len() < head_end + length {
            let mut bytes = [0; 4096];
            match stream.read(&mut bytes) {
                Ok(0) | Err(_) => return,
                Ok(n) => unread.extend_from_slice(&bytes[..n]),
            }
        }
        let body = unread[head_end..head_end + length].to_vec();
        unread.drain(..head_end + length);
        let reply = handle(&head, &body);
        thread::sleep(reply.delay);
        let Some(bytes) = reply.bytes else { return };
        if stream.write_all(&bytes).is_err() {
            return;
        }
        if let Some((after, bytes)) = reply.behind {
            thread::sleep(after);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

pub fn header(head: &str, name: &str) -> String {
    let prefix = format!("{}:", name.to_ascii_lowercase());
    head.lines()
        .find(|line| line.to_ascii_lowercase().starts_with(&prefix))
        .map(|line| line[prefix.len()..].trim().to_owned())
        .unwrap_or_default()
}

/// The announce service: every report counts.
pub fn announce_service(record: &Record) -> SocketAddr {
    let record = record.clone();
    let last = Mutex::new(String::new());
    http_service(move |_, body| {
        let text = String::from_utf8_lossy(body).into_owned();
        let mut last = last.lock().unwrap();
        if *last != text {
            record.line(&format!("announce: {text}"));
            *last = text;
        }
        HttpReply {
            delay: Duration::ZERO,
            bytes: Some(b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()),
            behind: None,
        }
    })
}

// ---------------------------------------------------------------- the render farm agent

pub enum AgentInput {
    Link(u64, TcpStream),
    Line(u64, String),
}

/// Accepts links of the server and passes on their lines, with the number of the link.
pub fn agent_listener() -> (SocketAddr, Receiver<AgentInput>, Sender<AgentInput>) {
    let (sender, receiver) = channel();
    (listen_for_links(&sender), receiver, sender)
}

/// Accepts links at one more address.
pub fn listen_for_links(sender: &Sender<AgentInput>) -> SocketAddr {
    static LINKS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().unwrap();
    let sender = sender.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let number = LINKS.fetch_add(1, std::sync::atomic::Ordering::SeqCst) + 1;
            let _ = stream.set_nodelay(true);
            let Ok(copy) = stream.try_clone() else { continue };
            if sender.send(AgentInput::Link(number, stream)).is_err() {
                return;
            }
            let sender = sender.clone();
            thread::spawn(move || {
                for line in BufReader::new(copy).lines().map_while(Result::ok) {
                    if sender.send(AgentInput::Line(number, line)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// What a run does next.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Doing {
    /// It works until this time.
    Working(Instant),
    /// It waits for the reply to its call with this number (from 1).
    Waiting(u32),
}

pub struct Run {
    pub class: String,
    pub body: Vec<u8>,
    pub doing: Doing,
    pub frozen: bool,
    /// Calls that the run has made so far.
    pub calls: u32,
    /// The replies that it was given, in order.
    pub replies: Vec<Vec<u8>>,
}

/// A reply that a run was given for a call.
pub struct Delivered {
    pub id: String,
    pub call: u32,
    pub reply: Vec<u8>,
}

/// How the runs of a class go.
#[derive(Clone)]
pub struct Plan {
    pub calls: u32,
    /// Mean work before the first call, between calls, and after the last one, in milliseconds.
    pub work_ms: f64,
    /// Work is drawn anew for each part (exponential) or is always the same.
    pub random: bool,
}

/// The render farm agent. It works by itself, as the protocol page says.
pub struct Agent {
    pub record: Record,
    input: Receiver<AgentInput>,
    /// For further addresses, by [`listen_for_links`].
    pub sender: Sender<AgentInput>,
    link: Option<TcpStream>,
    link_number: u64,
    subscribed: bool,
    seq: u64,
    notices: Vec<(u64, String)>,
    pub runs: BTreeMap<String, Run>,
    plans: HashMap<String, Plan>,
    rng: Rng,
    started: Instant,
    /// Ids of requests that the balancers have an answer for.
    pub over: Arc<Mutex<HashSet<String>>>,
    pub delivered: Vec<Delivered>,
    /// How often each request was launched.
    pub launches: HashMap<String, u32>,
    pub first_launch: HashMap<String, Instant>,
    pub breaks: u32,
    pub break_every: Option<Duration>,
    pub call_body: fn(&str, u32) -> Vec<u8>,
    /// Runs at work that take up the cores: most of a run's time may be waits for disk.
    pub room: f64,
    /// A run that is stopped loses its work (`drop`) instead of being paused.
    pub drops: bool,
}

impl Agent {
    pub fn new(record: &Record, plans: &[(&str, Plan)], seed: u64) -> (SocketAddr, Agent) {
        let (address, input, sender) = agent_listener();
        let agent = Agent {
            record: record.clone(),
            input,
            sender,
            link: None,
            link_number: 0,
            subscribed: false,
            seq: 0,
            notices: Vec::new(),
            runs: BTreeMap::new(),
            plans: plans.iter().map(|(class, plan)| ((*class).to_owned(), plan.clone())).collect(),
            rng: Rng(seed),
            started: Instant::now(),
            over: Arc::default(),
            delivered: Vec::new(),
            launches: HashMap::new(),
            first_launch: HashMap::new(),
            breaks: 0,
            break_every: None,
            call_body: |id, call| format!("call {call} of {id}").into_bytes(),
            room: 6.0,
            drops: false,
        };
        (address, agent)
    }

    fn write(&mut self, bytes: &[u8]) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(bytes);
        }
    }

    fn notice(&mut self, make: impl Fn(u64) -> String) {
        self.seq += 1;
        let line = make(self.seq);
        self.notices.push((self.seq, line.clone()));
        if self.notices.len() > 4_000 {
            self.notices.remove(0);
        }
        if self.subscribed {
            self.write(line.as_bytes());
        }
    }

    fn work(&mut self, class: &str) -> Duration {
        let plan = self.plans[class].clone();
        if plan.random {
            self.rng.exp_ms(plan.work_ms)
        } else {
            Duration::from_secs_f64(plan.work_ms / 1000.0)
        }
    }

    /// Breaks the link, at times in the middle of a notice.
    pub fn break_link(&mut self) {
        self.breaks += 1;
        if self.link.is_none() {
            return;
        }
        if self.breaks % 2 == 0 && self.subscribed {
            self.seq += 1;
            let line = format!("{{\"op\":\"aside\",\"seq\":{},\"end\":\"remark\"}}\n", self.seq);
            self.notices.push((self.seq, line.clone()));
            self.write(&line.as_bytes()[..line.len() / 2]);
        }
        if let Some(link) = self.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        self.subscribed = false;
    }

    /// Works until `end`.
    pub fn work_until(&mut self, end: Instant) {
        let mut next_break = self.break_every.map(|every| Instant::now() + every);
        loop {
            let now = Instant::now();
            if now >= end {
                return;
            }
            if next_break.is_some_and(|at| now >= at) {
                self.break_link();
                next_break = self.break_every.map(|every| now + every);
            }
            self.advance(now);
            let next_work = self
                .runs
                .values()
                .filter(|run| !run.frozen)
                .filter_map(|run| match run.doing {
                    Doing::Working(at) => Some(at),
                    Doing::Waiting(_) => None,
                })
                .chain(next_break)
                .chain([end, now + Duration::from_millis(20)])
                .min()
                .unwrap();
            match self.input.recv_timeout(next_work.saturating_duration_since(now)) {
                Ok(AgentInput::Link(number, stream)) => {
                    // A new link replaces the one before.
                    if let Some(old) = self.link.take() {
                        let _ = old.shutdown(Shutdown::Both);
                    }
                    self.link_number = number;
                    self.link = Some(stream);
                    self.subscribed = false;
                }
                Ok(AgentInput::Line(number, line)) if number == self.link_number && self.link.is_some() => {
                    self.handle(&line);
                }
                // Read from a link that has ended: the command is lost with it.
                Ok(AgentInput::Line(..)) => {}
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle(&mut self, line: &str) {
        let id = text_field(line, "id");
        match text_field(line, "op").as_str() {
            "subscribe" => {
                let last = number_field(line, "seq");
                self.subscribed = true;
                let ms = self.started.elapsed().as_millis();
                let mut out = format!("{{\"op\":\"greeting\",\"end\":\"running\",\"ms\":{ms}}}\n");
                for (_, notice) in self.notices.iter().filter(|(seq, _)| *seq > last) {
                    out.push_str(notice);
                }
                self.write(out.as_bytes());
            }
            "sample" => {
                let busy = self.runs.values().filter(|run| matches!(run.doing, Doing::Working(_))).count();
                let line = format!(
                    "{{\"op\":\"sampled\",\"tag\":\"{}\",\"values\":[{:.3},{:.2},{:.3},3]}}\n",
                    text_field(line, "tag"),
                    (busy as f64 / self.room).min(1.0),
                    busy as f64 * 6.0 / self.room,
                    (self.runs.len() as f64 / 200.0).min(1.0),
                );
                self.write(line.as_bytes());
            }
            "exercise" => {
                let line = format!(
                    "{{\"op\":\"exercised\",\"tag\":\"{}\",\"end\":\"fine\"}}\n",
                    text_field(line, "tag")
                );
                self.write(line.as_bytes());
            }
            "launch" if self.runs.contains_key(&id) => {}
            "launch" if self.over.lock().unwrap().contains(&id) => {
                self.outcome(&id, "late", &[]);
            }
            "launch" => {
                let class = text_field(line, "class");
                if !self.plans.contains_key(&class) {
                    self.write(
                        format!("{{\"op\":\"refusal\",\"end\":\"launch\",\"id\":\"{id}\"}}\n").as_bytes(),
                    );
                    return;
                }
                *self.launches.entry(id.clone()).or_default() += 1;
                self.first_launch.entry(id.clone()).or_insert_with(Instant::now);
                let work = self.work(&class);
                let run = Run {
                    class,
                    body: unbase64(&text_field(line, "body")),
                    doing: Doing::Working(Instant::now() + work),
                    frozen: false,
                    calls: 0,
                    replies: Vec::new(),
                };
                self.record.line(&format!("agent: run {id} starts"));
                self.runs.insert(id, run);
            }
            "deliver" => {
                let reply = unbase64(&text_field(line, "body"));
                let Some(Doing::Waiting(call)) = self.runs.get(&id).map(|run| run.doing) else {
                    self.record.line(&format!("agent: deliver for {id}, which waits for no call: ignored"));
                    return;
                };
                let text = String::from_utf8_lossy(&reply).into_owned();
                self.record.line(&format!("agent: run {id} waits for call {call}, gets [{text}]"));
                let class = self.runs[&id].class.clone();
                let work = self.work(&class);
                if let Some(run) = self.runs.get_mut(&id) {
                    run.replies.push(reply.clone());
                    run.doing = Doing::Working(Instant::now() + work);
                }
                self.delivered.push(Delivered { id, call, reply });
            }
            "forgo" => {
                let class = self.runs.get(&id).map(|run| run.class.clone());
                let Some(class) = class else { return };
                let work = self.work(&class);
                if let Some(run) = self.runs.get_mut(&id) {
                    if matches!(run.doing, Doing::Waiting(_)) {
                        run.replies.push(b"none".to_vec());
                        run.doing = Doing::Working(Instant::now() + work);
                    }
                }
            }
            "freeze" if self.drops => {
                if self.runs.remove(&id).is_some() {
                    self.outcome(&id, "broken_off", &[]);
                }
            }
            "freeze" => {
                if let Some(run) = self.runs.get_mut(&id) {
                    run.frozen = true;
                }
            }
            "thaw" => {
                if let Some(run) = self.runs.get_mut(&id) {
                    run.frozen = false;
                }
            }
            _ => {}
        }
    }

    fn outcome(&mut self, id: &str, end: &str, body: &[u8]) {
        let (id, end, body) = (id.to_owned(), end.to_owned(), base64(body));
        self.record.line(&format!("agent: run {id} ends: {end}"));
        self.notice(|seq| {
            format!(
                "{{\"op\":\"outcome\",\"seq\":{seq},\"id\":\"{id}\",\"end\":\"{end}\",\"ms\":20,\"body\":\"{body}\"}}\n"
            )
        });
    }

    fn advance(&mut self, now: Instant) {
        // A request that is over: its run ends at its call, or when it is stopped.
        let over: Vec<String> = {
            let over = self.over.lock().unwrap();
            let ends = |run: &Run| run.frozen || matches!(run.doing, Doing::Waiting(_));
            self.runs.iter().filter(|(id, run)| ends(run) && over.contains(*id)).map(|(id, _)| id.clone()).collect()
        };
        for id in over {
            self.runs.remove(&id);
            self.outcome(&id, "broken_off", &[]);
        }
        let due: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.frozen && matches!(run.doing, Doing::Working(at) if at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let run = self.runs.get_mut(&id).unwrap();
            if run.calls < self.plans[&run.class].calls {
                run.calls += 1;
                let call = run.calls;
                run.doing = Doing::Waiting(call);
                let body = base64(&(self.call_body)(&id, call));
                self.record.line(&format!("agent: run {id} makes call {call}"));
                self.notice(|seq| {
                    format!("{{\"op\":\"request\",\"seq\":{seq},\"id\":\"{id}\",\"body\":\"{body}\"}}\n")
                });
            } else {
                let run = self.runs.remove(&id).unwrap();
                let mut result = run.body.clone();
                for reply in &run.replies {
                    result.push(b'|');
                    result.extend_from_slice(reply);
                }
                self.outcome(&id, "fine", &result);
            }
        }
    }
}

//! Stand-ins for the platform of one or more servers: the render farm agent, the records service, the
//! announce service and the balancers, after the protocol page. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// What a run does.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Work(u64),
    Call,
}

/// Final answer as the balancer sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(u16),
    /// The connection ended without a whole answer.
    Lost,
}

pub struct Request {
    pub server: usize,
    pub class: String,
    pub body: Vec<u8>,
    pub sent: Instant,
    pub gives_up: Instant,
    pub answers: Vec<(Instant, Answer)>,
}

#[derive(Default)]
pub struct Run {
    pub starts: u32,
    pub ended: bool,
    pub waiting_call: Option<u64>,
    pub calls: u64,
    pub reply: Option<Option<Vec<u8>>>,
    pub result: Option<Vec<u8>>,
    /// Replies delivered to a call that are not what the records service answered to that call.
    pub wrong_replies: Vec<String>,
}

/// One server's machine: its agent.
#[derive(Default)]
pub struct Machine {
    pub notices: Vec<String>,
    pub link: Option<TcpStream>,
    pub link_number: u64,
}

pub struct State {
    pub requests: HashMap<String, Request>,
    pub runs: HashMap<String, Run>,
    pub machines: Vec<Machine>,
    /// Calls in hand at the records service: number, and its changes.
    pub in_hand: i64,
    pub in_hand_log: Vec<(Instant, i64)>,
    pub calls_seen: u64,
    pub calls_given_up: u64,
}

pub struct World {
    pub start: Instant,
    pub state: Mutex<State>,
    pub script: Box<dyn Fn(&str, &[u8]) -> Vec<Step> + Send + Sync>,
    /// How long a call takes, in ms, by the time since the start.
    pub call_ms: Box<dyn Fn(Duration) -> u64 + Send + Sync>,
    /// How long a call that was given up stays in hand.
    pub linger_ms: u64,
    /// The agent looks at its link this often.
    pub agent_tick_ms: u64,
    /// How long after a reply its second copy comes, in ms; `None`: the reply brings nothing more.
    pub copy_after_ms: Box<dyn Fn(u64) -> Option<u64> + Send + Sync>,
    pub record: Mutex<File>,
    pub stop: AtomicBool,
    pub ids: AtomicU64,
}

impl World {
    pub fn new(
        record: &str,
        machines: usize,
        script: Box<dyn Fn(&str, &[u8]) -> Vec<Step> + Send + Sync>,
    ) -> World {
        World {
            start: Instant::now(),
            state: Mutex::new(State {
                requests: HashMap::new(),
                runs: HashMap::new(),
                machines: (0..machines).map(|_| Machine::default()).collect(),
                in_hand: 0,
                in_hand_log: Vec::new(),
                calls_seen: 0,
                calls_given_up: 0,
            }),
            script,
            call_ms: Box::new(|_| 50),
            linger_ms: 200,
            agent_tick_ms: 0,
            copy_after_ms: Box::new(|_| None),
            record: Mutex::new(File::create(record).expect("record")),
            stop: AtomicBool::new(false),
            ids: AtomicU64::new(unix_ms() << 20),
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at:9.4} {text}");
    }

    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }

    pub fn new_id(&self) -> String {
        let n = self.ids.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", n.wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

// ---------------------------------------------------------------------------------------------- base64, JSON

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(B64[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn decode64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> =
        text.bytes().filter_map(|b| B64.iter().position(|&c| c == b)).map(|p| p as u32).collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let n = chunk.iter().enumerate().fold(0u32, |n, (i, d)| n | (d << (18 - 6 * i)));
        for i in 0..chunk.len().saturating_sub(1) {
            out.push((n >> (16 - 8 * i)) as u8);
        }
    }
    out
}

/// The value of a field in a flat JSON object without escapes.
pub fn field(line: &str, name: &str) -> Option<String> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = line[start..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next().map(str::to_owned);
    }
    rest.split([',', '}']).next().map(|v| v.trim().to_owned())
}

// ---------------------------------------------------------------------------------------------- agent

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub fn free_port() -> SocketAddr {
    listen().1
}

/// Starts the agent of a machine; returns its address.
pub fn start_agent(world: &Arc<World>, machine: usize) -> SocketAddr {
    let (listener, address) = listen();
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            if world.stopped() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let world = world.clone();
            thread::spawn(move || serve_link(&world, machine, stream));
        }
    });
    address
}

fn write_line(stream: &mut TcpStream, line: &str) -> bool {
    stream.write_all(format!("{line}\n").as_bytes()).is_ok()
}

fn serve_link(world: &Arc<World>, machine: usize, mut stream: TcpStream) {
    let mut bytes = Vec::new();
    let mut chunk = [0u8; 65536];
    let mut number = 0;
    loop {
        let n = match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(n) => n,
        };
        bytes.extend_from_slice(&chunk[..n]);
        while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
            bytes.drain(..=end);
            let op = field(&line, "op").unwrap_or_default();
            let mut state = world.state.lock().unwrap();
            if op == "subscribe" {
                let seq: usize = field(&line, "seq").unwrap_or_default().parse().unwrap_or(0);
                let uptime = world.start.elapsed().as_millis() + 60_000;
                let m = &mut state.machines[machine];
                m.link_number += 1;
                number = m.link_number;
                if let Some(old) = m.link.take() {
                    let _ = old.shutdown(std::net::Shutdown::Both);
                }
                let _ = write_line(
                    &mut stream,
                    &format!("{{\"op\":\"greeting\",\"end\":\"running\",\"ms\":{uptime}}}"),
                );
                for notice in m.notices.iter().skip(seq) {
                    let _ = write_line(&mut stream, notice);
                }
                m.link = stream.try_clone().ok();
                world.note(&format!("agent {machine}: link {number}, subscribed after notice {seq}"));
                continue;
            }
            if state.machines[machine].link_number != number {
                return;
            }
            handle_command(world, &mut state, machine, &mut stream, &op, &line);
        }
        if world.agent_tick_ms > 0 {
            thread::sleep(ms(world.agent_tick_ms));
        }
    }
}

/// Breaks the link of a machine's agent. The agent has carried out all that it has read.
pub fn break_link(world: &World, machine: usize) {
    let mut state = world.state.lock().unwrap();
    let m = &mut state.machines[machine];
    m.link_number += 1;
    if let Some(link) = m.link.take() {
        let _ = link.shutdown(std::net::Shutdown::Both);
    }
    world.note(&format!("agent {machine}: link broken"));
}

fn handle_command(
    world: &Arc<World>,
    state: &mut State,
    machine: usize,
    stream: &mut TcpStream,
    op: &str,
    line: &str,
) {
    let id = field(line, "id").unwrap_or_default();
    let tag = field(line, "tag").unwrap_or_default();
    let refuse = |stream: &mut TcpStream| {
        world.note(&format!("agent {machine}: refusal of {op} {id}"));
        let _ = write_line(stream, &format!("{{\"op\":\"refusal\",\"end\":\"{op}\",\"id\":\"{id}\"}}"));
    };
    match op {
        "sample" => {
            let running = state.runs.values().filter(|r| !r.ended && r.waiting_call.is_none()).count();
            let busy = (running as f64 / 2.0).min(1.0);
            let _ = write_line(
                stream,
                &format!("{{\"op\":\"sampled\",\"tag\":\"{tag}\",\"values\":[{busy:.2},{running},0.2,4]}}"),
            );
        }
        "exercise" => {
            let _ =
                write_line(stream, &format!("{{\"op\":\"exercised\",\"tag\":\"{tag}\",\"end\":\"fine\"}}"));
        }
        "launch" => {
            let body = decode64(&field(line, "body").unwrap_or_default());
            let class = field(line, "class").unwrap_or_default();
            let Some(request) = state.requests.get(&id) else { return refuse(stream) };
            if request.server != machine || request.class != class || request.body != body {
                return refuse(stream);
            }
            let is_over = !request.answers.is_empty() || Instant::now() > request.gives_up;
            let run = state.runs.entry(id.clone()).or_default();
            if run.starts > 0 && !run.ended {
                return;
            }
            if is_over {
                world.note(&format!("agent {machine}: launch of {id} is late"));
                return notice(state, machine, "outcome", &id, ",\"end\":\"late\",\"ms\":0");
            }
            run.starts += 1;
            run.ended = false;
            world.note(&format!("agent {machine}: run of {id} starts, start number {}", run.starts));
            let (world, id) = (world.clone(), id.clone());
            thread::spawn(move || run_request(&world, machine, &id, &class, &body));
        }
        "deliver" | "forgo" => {
            let Some(run) = state.runs.get_mut(&id) else { return refuse(stream) };
            if run.waiting_call.is_none() || run.reply.is_some() {
                return refuse(stream);
            }
            run.reply = Some((op == "deliver").then(|| decode64(&field(line, "body").unwrap_or_default())));
        }
        // Running work can't be stopped at the deployments of these cases.
        _ => refuse(stream),
    }
}

fn notice(state: &mut State, machine: usize, op: &str, id: &str, rest: &str) {
    let m = &mut state.machines[machine];
    let seq = m.notices.len() + 1;
    let line = format!("{{\"op\":\"{op}\",\"seq\":{seq},\"id\":\"{id}\"{rest}}}");
    m.notices.push(line.clone());
    if let Some(link) = &mut m.link {
        let _ = write_line(link, &line);
    }
}

/// Whether the request is answered, or nobody waits for it any more.
fn is_over(state: &State, id: &str) -> bool {
    state.requests.get(id).is_none_or(|r| !r.answers.is_empty() || Instant::now() > r.gives_up)
}

fn run_request(world: &Arc<World>, machine: usize, id: &str, class: &str, body: &[u8]) {
    let started = Instant::now();
    let mut end = "fine";
    'steps: for step in (world.script)(class, body) {
        match step {
            Step::Work(time) => thread::sleep(ms(time)),
            Step::Call => {
                let mut state = world.state.lock().unwrap();
                if is_over(&state, id) {
                    end = "broken_off";
                    break 'steps;
                }
                let run = state.runs.get_mut(id).unwrap();
                run.calls += 1;
                let number = run.calls;
                run.waiting_call = Some(number);
                run.reply = None;
                let call = format!("call {number} of {id}");
                notice(
                    &mut state,
                    machine,
                    "request",
                    id,
                    &format!(",\"body\":\"{}\"", encode64(call.as_bytes())),
                );
                drop(state);
                loop {
                    let mut state = world.state.lock().unwrap();
                    let over = is_over(&state, id);
                    let run = state.runs.get_mut(id).unwrap();
                    if let Some(reply) = run.reply.take() {
                        run.waiting_call = None;
                        if let Some(reply) = reply {
                            let wanted = format!("reply to {call}");
                            if reply != wanted.as_bytes() {
                                let got = String::from_utf8_lossy(&reply).into_owned();
                                world.note(&format!("agent {machine}: {call} got the reply '{got}'"));
                                run.wrong_replies.push(format!("{call} got '{got}'"));
                            }
                        }
                        break;
                    }
                    if over {
                        run.waiting_call = None;
                        end = "broken_off";
                        break 'steps;
                    }
                    drop(state);
                    thread::sleep(ms(1));
                }
            }
        }
    }
    let mut state = world.state.lock().unwrap();
    if !state.requests[id].answers.is_empty() {
        end = "broken_off";
    }
    let result = format!("result of {id}").into_bytes();
    let run = state.runs.get_mut(id).unwrap();
    run.ended = true;
    let took = started.elapsed().as_millis();
    world.note(&format!("agent {machine}: run of {id} ends, {end}, {took} ms"));
    if end == "fine" {
        run.result = Some(result.clone());
        let rest = format!(",\"end\":\"fine\",\"ms\":{took},\"body\":\"{}\"", encode64(&result));
        notice(&mut state, machine, "outcome", id, &rest);
    } else {
        notice(&mut state, machine, "outcome", id, &format!(",\"end\":\"{end}\",\"ms\":{took}"));
    }
}

// ---------------------------------------------------------------------------------------------- HTTP services

/// Reads one HTTP request: head and body. `None` once the peer has closed.
fn read_http(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0u8; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => return None,
        }
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (n, v) = line.split_once(':')?;
        n.trim().eq_ignore_ascii_case(name).then(|| v.trim().to_owned())
    })
}

pub fn start_announce(world: &Arc<World>) -> SocketAddr {
    let (listener, address) = listen();
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            thread::spawn(move || {
                let mut stream = stream;
                let mut bytes = Vec::new();
                let mut last = String::new();
                while let Some((head, body)) = read_http(&mut stream, &mut bytes) {
                    let line = head.lines().next().unwrap_or_default().to_owned();
                    let text = format!("announce: {line} {}", String::from_utf8_lossy(&body));
                    if text != last {
                        world.note(&text);
                        last = text;
                    }
                    if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn change_in_hand(world: &World, change: i64) {
    let mut state = world.state.lock().unwrap();
    state.in_hand += change;
    let entry = (Instant::now(), state.in_hand);
    state.in_hand_log.push(entry);
}

/// The records service.
pub fn start_records(world: &Arc<World>) -> SocketAddr {
    let (listener, address) = listen();
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let world = world.clone();
            thread::spawn(move || serve_records(&world, stream));
        }
    });
    address
}

fn serve_records(world: &Arc<World>, mut stream: TcpStream) {
    let mut bytes = Vec::new();
    while let Some((head, body)) = read_http(&mut stream, &mut bytes) {
        let id = header(&head, "op-of").unwrap_or_default();
        let wait: u64 = header(&head, "op-wait-ms").and_then(|v| v.parse().ok()).unwrap_or(u64::MAX);
        let (number, waits) = {
            let mut state = world.state.lock().unwrap();
            state.calls_seen += 1;
            let number = state.calls_seen;
            (number, state.runs.get(&id).is_some_and(|r| r.waiting_call.is_some()))
        };
        if !waits {
            world.note(&format!("records: call {number} for {id}: no run waits"));
            let reply = b"HTTP/1.1 409 Conflict\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(reply).is_err() {
                return;
            }
            continue;
        }
        change_in_hand(world, 1);
        let service = (world.call_ms)(world.start.elapsed());
        let begun = Instant::now();
        let _ = stream.set_read_timeout(Some(ms(1)));
        let mut probe = [0u8; 1];
        let mut given_up = false;
        while begun.elapsed() < ms(service) {
            // A call is given up when its connection is closed.
            match stream.peek(&mut probe) {
                Ok(0) => given_up = true,
                Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => given_up = true,
                _ => {}
            }
            if given_up {
                break;
            }
        }
        let _ = stream.set_read_timeout(None);
        let took = begun.elapsed().as_millis();
        if given_up {
            let left = ms(service).saturating_sub(begun.elapsed());
            thread::sleep(left.min(ms(world.linger_ms)));
            change_in_hand(world, -1);
            world.state.lock().unwrap().calls_given_up += 1;
            world.note(&format!("records: call {number} for {id}: given up after {took} of {wait} ms"));
            return;
        }
        change_in_hand(world, -1);
        let reply = format!("reply to {}", String::from_utf8_lossy(&body));
        let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{reply}", reply.len());
        world.note(&format!("records: call {number} for {id}: replied after {took} ms"));
        if stream.write_all(reply.as_bytes()).is_err() {
            return;
        }
        if let Some(after) = (world.copy_after_ms)(number) {
            thread::sleep(ms(after));
            world.note(&format!("records: second copy of the reply to call {number}"));
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// The mean of the calls in hand over the worst window.
pub fn worst_mean(log: &[(Instant, i64)], window: Duration, end: Instant) -> (f64, Instant) {
    let mut worst = (0.0, end);
    let area = |from: Instant, to: Instant| {
        let mut sum = 0.0;
        for (i, (at, n)) in log.iter().enumerate() {
            let next = log.get(i + 1).map_or(end, |e| e.0);
            let (a, b) = ((*at).max(from), next.min(to));
            if b > a {
                sum += (b - a).as_secs_f64() * *n as f64;
            }
        }
        sum / window.as_secs_f64()
    };
    let Some(first) = log.first() else { return worst };
    let mut to = first.0 + window;
    while to <= end {
        let mean = area(to - window, to);
        if mean > worst.0 {
            worst = (mean, to);
        }
        to += ms(50);
    }
    worst
}

// ---------------------------------------------------------------------------------------------- balancer

pub struct Connection {
    writer: Mutex<TcpStream>,
    slots: Mutex<BTreeMap<u16, String>>,
    pub closed: AtomicBool,
    /// The connection is reset just as its next answer comes, which the balancer then does not see.
    pub reset_at_answer: AtomicBool,
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
}

/// Makes the close of a socket a reset.
fn reset_at_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let linger = [1, 0];
    // SOL_SOCKET and SO_LINGER of Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

fn record(out: &mut Vec<u8>, kind: u8, slot: u16, content: &[u8]) {
    out.extend_from_slice(&[1, kind, (slot >> 8) as u8, slot as u8]);
    out.extend_from_slice(&[(content.len() >> 8) as u8, content.len() as u8, 0, 0]);
    out.extend_from_slice(content);
}

fn pair(out: &mut Vec<u8>, name: &str, value: &str) {
    for text in [name, value] {
        if text.len() < 128 {
            out.push(text.len() as u8);
        } else {
            out.extend_from_slice(&(text.len() as u32 | 0x8000_0000).to_be_bytes());
        }
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(value.as_bytes());
}

/// Connects a balancer; answers go into the world's requests.
pub fn connect(world: &Arc<World>, address: SocketAddr) -> Option<Arc<Connection>> {
    let stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
    let _ = stream.set_nodelay(true);
    let reader = stream.try_clone().ok()?;
    let connection = Arc::new(Connection {
        writer: Mutex::new(stream),
        slots: Mutex::new(BTreeMap::new()),
        closed: AtomicBool::new(false),
        reset_at_answer: AtomicBool::new(false),
    });
    let (world, shared) = (world.clone(), connection.clone());
    thread::spawn(move || read_answers(&world, &shared, reader));
    Some(connection)
}

fn read_answers(world: &Arc<World>, connection: &Arc<Connection>, mut reader: TcpStream) {
    let mut bytes: Vec<u8> = Vec::new();
    let mut chunk = [0u8; 16384];
    let mut contents: BTreeMap<u16, Vec<u8>> = BTreeMap::new();
    loop {
        let n = match reader.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(n) => n,
        };
        if connection.reset_at_answer.load(Ordering::Relaxed) {
            reset_at_close(&reader);
            // The other handle of the socket is replaced, so that dropping the reader closes it.
            let (spare, address) = listen();
            if let Ok(other) = TcpStream::connect(address) {
                *connection.writer.lock().unwrap() = other;
            }
            drop((reader, spare));
            break;
        }
        bytes.extend_from_slice(&chunk[..n]);
        while bytes.len() >= 8 {
            let length = usize::from(bytes[4]) << 8 | usize::from(bytes[5]);
            let size = 8 + length + usize::from(bytes[6]);
            if bytes.len() < size {
                break;
            }
            let slot = u16::from(bytes[2]) << 8 | u16::from(bytes[3]);
            let content = bytes[8..8 + length].to_vec();
            let kind = bytes[1];
            bytes.drain(..size);
            if kind == 6 {
                contents.entry(slot).or_default().extend_from_slice(&content);
            } else if kind == 3 {
                let text = contents.remove(&slot).unwrap_or_default();
                let answer = parse_answer(&text, content.get(4).copied().unwrap_or(0));
                let id = connection.slots.lock().unwrap().remove(&slot);
                if let Some(id) = id {
                    give_answer(world, &id, answer);
                }
            }
        }
    }
    connection.closed.store(true, Ordering::Relaxed);
    let lost: Vec<String> = std::mem::take(&mut *connection.slots.lock().unwrap()).into_values().collect();
    for id in lost {
        give_answer(world, &id, Answer::Lost);
    }
}

fn parse_answer(text: &[u8], protocol_status: u8) -> Answer {
    if protocol_status == 2 {
        return Answer::Refused;
    }
    let Some(end) = text.windows(4).position(|w| w == b"\r\n\r\n") else { return Answer::Failed(0) };
    let head = format!("\n{}", String::from_utf8_lossy(&text[..end]));
    let status = header(&head, "status").unwrap_or_default();
    match status.split(' ').next().and_then(|s| s.parse().ok()).unwrap_or(0) {
        200 => Answer::Served(text[end + 4..].to_vec()),
        429 | 503 => Answer::Refused,
        other => Answer::Failed(other),
    }
}

fn give_answer(world: &World, id: &str, answer: Answer) {
    let mut state = world.state.lock().unwrap();
    let text = match &answer {
        Answer::Served(body) => format!("served '{}'", String::from_utf8_lossy(body)),
        other => format!("{other:?}"),
    };
    if let Some(request) = state.requests.get_mut(id) {
        world.note(&format!(
            "balancer: {id} answered after {} ms: {text}",
            request.sent.elapsed().as_millis()
        ));
        request.answers.push((Instant::now(), answer));
    }
}

pub struct Try<'a> {
    pub server: usize,
    pub class: &'a str,
    pub body: &'a [u8],
    pub budget_ms: u64,
    /// Whether the request states its budget.
    pub states_budget: bool,
    pub once_key: Option<&'a str>,
    pub rank: f64,
    pub again: bool,
}

/// Sends a request; returns its id.
pub fn send(world: &Arc<World>, connection: &Connection, t: &Try) -> String {
    let id = world.new_id();
    let slot = {
        let mut slots = connection.slots.lock().unwrap();
        let slot = (1..=32).find(|s| !slots.contains_key(s)).expect("32 requests are open");
        slots.insert(slot, id.clone());
        slot
    };
    let mut params = Vec::new();
    pair(&mut params, "REQUEST_METHOD", "POST");
    pair(&mut params, "SCRIPT_NAME", &format!("/svc/{}", t.class));
    pair(&mut params, "HTTP_REQUEST_ID", &id);
    pair(&mut params, "HTTP_RECEIVED_AT", &unix_ms().to_string());
    pair(&mut params, "HTTP_SENT_BY", "4");
    if t.states_budget {
        pair(&mut params, "HTTP_BUDGET_MS", &t.budget_ms.to_string());
    }
    pair(&mut params, "HTTP_FOOTPRINT_KB", "24.5");
    pair(&mut params, "HTTP_PRIORITY_RANK", &format!("{:.4}", t.rank));
    if let Some(key) = t.once_key {
        pair(&mut params, "HTTP_ONCE_KEY", key);
    }
    if t.again {
        pair(&mut params, "HTTP_ATTEMPT_AGAIN", "1");
    }
    let mut out = Vec::new();
    record(&mut out, 1, slot, &[0, 1, 1, 0, 0, 0, 0, 0]);
    record(&mut out, 4, slot, &params);
    record(&mut out, 4, slot, &[]);
    record(&mut out, 5, slot, t.body);
    record(&mut out, 5, slot, &[]);
    let now = Instant::now();
    let request = Request {
        server: t.server,
        class: t.class.to_owned(),
        body: t.body.to_vec(),
        sent: now,
        gives_up: now + ms(t.budget_ms),
        answers: Vec::new(),
    };
    world.state.lock().unwrap().requests.insert(id.clone(), request);
    let key = t.once_key.map(|k| format!(", key {k}")).unwrap_or_default();
    world.note(&format!(
        "balancer: {id} sent to server {}, class {}, budget {} ms{key}",
        t.server, t.class, t.budget_ms
    ));
    let _ = connection.writer.lock().unwrap().write_all(&out);
    id
}

/// Asks for a health check; returns whether it was good.
pub fn is_healthy(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(300)) else { return false };
    let _ = stream.set_read_timeout(Some(ms(500)));
    let mut params = Vec::new();
    pair(&mut params, "REQUEST_METHOD", "GET");
    pair(&mut params, "SCRIPT_NAME", "/status/live");
    let mut out = Vec::new();
    record(&mut out, 1, 1, &[0, 1, 0, 0, 0, 0, 0, 0]);
    record(&mut out, 4, 1, &params);
    record(&mut out, 4, 1, &[]);
    record(&mut out, 5, 1, &[]);
    if stream.write_all(&out).is_err() {
        return false;
    }
    let mut bytes = Vec::new();
    let mut chunk = [0u8; 1024];
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..n]);
    }
    String::from_utf8_lossy(&bytes).contains("Status: 200")
}

// ---------------------------------------------------------------------------------------------- processes

/// A server process, started with the command of the deploy file; killed when dropped.
pub struct Server {
    pub child: Child,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(folder: &str, name: &str, config: &str, address: SocketAddr) -> Server {
        let path = format!("{folder}/{name}.json");
        std::fs::write(&path, config).expect("configuration");
        let log = File::create(format!("{folder}/{name}.log")).expect("log");
        let child = Command::new("/bin/sh")
            .args(["-c", "exec target/release/umberloom serve"])
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("server");
        // run-case.sh ends what is named here, should this program not come to it.
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(format!("{folder}/pids"));
        let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        Server { child, address }
    }

    pub fn wait_until_healthy(&self) -> bool {
        (0..100).any(|_| {
            thread::sleep(ms(50));
            is_healthy(self.address)
        })
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What differs between the configurations of the cases.
pub struct Site {
    pub servers: usize,
    /// The `classes` of the settings, as JSON.
    pub classes: String,
    /// `class_calls` and what belongs to it: with calls to a shared dependency or without.
    pub calls: String,
    pub stop_ms: u64,
    pub drain_grace_ms: u64,
}

/// Starts the servers of a site with an agent each; exits with 2 if one does not start.
pub fn start_site(world: &Arc<World>, folder: &str, site: &Site) -> Vec<Server> {
    let announce = start_announce(world);
    let records = start_records(world);
    let Site { servers, classes, calls, stop_ms, drain_grace_ms } = site;
    let grace = drain_grace_ms * 1000;
    let started: Vec<Server> = (0..*servers)
        .map(|i| {
            let agent = start_agent(world, i);
            let address = free_port();
            let config = format!(
                r#"{{"name":"n{i}","listen":"{address}","agent":"{agent}","announce":"{announce}","records":"{records}",
"seed":"8c1f30d27a5be96{i}","stop_ms":{stop_ms},"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"classes":[{classes}],"family":"server","family_info":{{"callers":3,{calls},
"fresh_start":false,"fresh_us":0,"idle_us":30000000,"key_kb":170.0,"mem_limit_kb":110652.0,
"meters":["core_use","on_cores","heap_share","links"],"n_cores":2,"preemption":"silent","run_factor":16.0,
"say":"silent"}},"guarantees":{{"cold_from":0.2,"cold_us":17000000,"drain_grace_us":{grace},"fall_multiple":6.0,
"fall_us":2000000,"grace_to_answer_us":80000}},"client_habits":{{"marks_retry":false}},
"limits":{{"max_retry_after_us":1000000,"retry_after":true}},"over_share_worth":0.1,"prices":{{"handshake":0.02}},
"realms":[],"servers":{servers},"tick_us":4000,"tier":0}}}}"#
            );
            Server::start(folder, &format!("n{i}"), &config, address)
        })
        .collect();
    if started.iter().all(Server::wait_until_healthy) {
        return started;
    }
    println!("a server did not start");
    drop(started);
    std::process::exit(2);
}

/// Counts the answers and writes them down.
pub fn count_answers(world: &World) {
    let (mut served, mut refused, mut failed, mut lost, mut none) = (0, 0, 0, 0, 0);
    let state = world.state.lock().unwrap();
    for request in state.requests.values() {
        match request.answers.first() {
            Some((_, Answer::Served(_))) => served += 1,
            Some((_, Answer::Refused)) => refused += 1,
            Some((_, Answer::Failed(_))) => failed += 1,
            Some((_, Answer::Lost)) => lost += 1,
            None => none += 1,
        }
    }
    let text = format!(
        "sent {}: served {served}, refused {refused}, failed {failed}, lost {lost}, unanswered {none}; \
         calls {}, of which given up {}",
        state.requests.len(),
        state.calls_seen,
        state.calls_given_up
    );
    drop(state);
    world.say(&text);
}

/// Sends one request to each server every `interval`, over two connections each, for `time`. `each` is told
/// the number of the round before it is sent.
pub fn steady_load(
    world: &Arc<World>,
    servers: &[Server],
    (class, budget_ms): (&str, u64),
    (interval, time): (Duration, Duration),
    mut each: impl FnMut(usize),
) {
    let connections: Vec<Vec<_>> = servers
        .iter()
        .map(|s| (0..2).map(|_| connect(world, s.address).expect("connection")).collect())
        .collect();
    let begin = Instant::now();
    let mut next = begin;
    let mut round = 0;
    while begin.elapsed() < time {
        each(round);
        for (server, list) in connections.iter().enumerate() {
            let body = format!("body {round}");
            let request = Try {
                server,
                class,
                body: body.as_bytes(),
                budget_ms,
                states_budget: true,
                once_key: None,
                rank: 0.5,
                again: false,
            };
            send(world, &list[round % 2], &request);
        }
        round += 1;
        next += interval;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    thread::sleep(ms(budget_ms + 500));
    world.stop.store(true, Ordering::Relaxed);
}

/// Ends the servers and the case.
pub fn finish(servers: Vec<Server>, broken: bool) -> ! {
    drop(servers);
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}

/// Takes the arguments of run-case.sh: goes to the repository's root, and returns the file of the record and the
/// temporary folder.
pub fn arguments() -> (String, String) {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [root, case_folder, temp] = arguments.as_slice() else {
        println!("usage: PROGRAM ROOT CASE_FOLDER TEMPORARY_FOLDER");
        std::process::exit(2);
    };
    std::env::set_current_dir(root).expect("the repository's root");
    (format!("{case_folder}/record.txt"), temp.clone())
}

/// Whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

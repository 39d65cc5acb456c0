//! A render farm agent that a test controls.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::test_environment::WAIT_TIMEOUT;

/// What arrives from the server: a new link, or one line on a link.
enum Incoming {
    Link(TcpStream),
    Line(Value),
}

/// The agent's end of the link. Messages from the server are processed only while a test waits for one;
/// sample requests are answered then, in their order among the commands.
pub struct Agent {
    pub address: SocketAddr,
    incoming: Receiver<Incoming>,
    link: Option<TcpStream>,
    /// Commands that were received and not yet returned.
    commands: VecDeque<Value>,
    /// The number of the latest notice.
    seq: u64,
    /// For each subscription: the number of the last notice that the server reports as read.
    pub subscribed_seqs: Vec<u64>,
    /// Whether sample requests are answered; if not, they are discarded.
    pub answers_samples: bool,
}

/// Accepts links and passes on what arrives on them, one link after the other.
fn listen(listener: &TcpListener, incoming: &Sender<Incoming>) {
    for link in listener.incoming().map_while(Result::ok) {
        let lines = BufReader::new(link.try_clone().expect("a second handle"));
        if incoming.send(Incoming::Link(link)).is_err() {
            return;
        }
        for line in lines.lines().map_while(Result::ok) {
            let value = serde_json::from_str(&line).expect("commands are JSON");
            if incoming.send(Incoming::Line(value)).is_err() {
                return;
            }
        }
    }
}

impl Agent {
    /// Starts on a free port.
    pub fn start() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, incoming) = channel();
        std::thread::spawn(move || listen(&listener, &sender));
        let (commands, subscribed) = (VecDeque::new(), Vec::new());
        Agent {
            address,
            incoming,
            link: None,
            commands,
            seq: 0,
            subscribed_seqs: subscribed,
            answers_samples: true,
        }
    }

    /// Processes the next message from the server, or a new link.
    fn process_next(&mut self) {
        let incoming = self.incoming.recv_timeout(WAIT_TIMEOUT).expect("a message from the server");
        self.process(incoming);
    }

    /// Processes messages until the server has sent none for this long.
    pub fn process_until_quiet(&mut self, quiet: Duration) {
        while let Ok(incoming) = self.incoming.recv_timeout(quiet) {
            self.process(incoming);
        }
    }

    fn process(&mut self, incoming: Incoming) {
        match incoming {
            Incoming::Link(link) => self.link = Some(link),
            Incoming::Line(line) => match line["op"].as_str() {
                Some("subscribe") => self.subscribed_seqs.push(line["seq"].as_u64().expect("a number")),
                Some("sample") if !self.answers_samples => {}
                // One value for each of the `meters` in the settings.
                Some("sample") => {
                    self.send(&json!({"op": "sampled", "tag": line["tag"], "values": [0.5, 1, 0.1, 3]}));
                }
                _ => self.commands.push_back(line),
            },
        }
    }

    /// Waits until the server has subscribed on a link.
    pub fn wait_for_link(&mut self) {
        let before = self.subscribed_seqs.len();
        while self.subscribed_seqs.len() == before {
            self.process_next();
        }
    }

    /// Waits for a link and sends the initial notice on it.
    pub fn send_initial_notice(&mut self) {
        self.wait_for_link();
        self.resend_initial_notice();
    }

    /// Waits for the link of a restarted server. Commands of its earlier process are dropped, and the numbers
    /// of notices start anew.
    pub fn wait_for_restarted_server(&mut self) {
        self.wait_for_link();
        self.seq = 0;
        self.commands.clear();
    }

    /// Sends the initial notice on the present link.
    pub fn resend_initial_notice(&mut self) {
        self.send(&json!({"op": "greeting", "end": "running", "ms": 5}));
    }

    /// Closes the link.
    pub fn disconnect(&mut self) {
        let _ = self.link.take().expect("a link").shutdown(Shutdown::Both);
    }

    /// Sends one line of JSON.
    pub fn send(&mut self, line: &Value) {
        self.send_bytes(format!("{line}\n").as_bytes());
    }

    /// Sends bytes that need not be valid. Does nothing if the link has just ended.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(bytes);
        }
    }

    /// Waits for the next command other than a sample request.
    pub fn next_command(&mut self) -> Value {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(command) = self.commands.pop_front() {
                return command;
            }
            // Sample requests never cease, so the receive timeout alone would not end this loop.
            assert!(Instant::now() < end, "timed out waiting for a command");
            self.process_next();
        }
    }

    /// Asserts that the next command is `op`. Returns the id of its request and the command.
    pub fn expect_command(&mut self, op: &str) -> (String, Value) {
        let command = self.next_command();
        assert_eq!(command["op"], op, "{command}");
        (command["id"].as_str().unwrap_or("").to_owned(), command)
    }

    /// Takes the next number for a notice.
    pub fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Sends the outcome of a run with its result, as the notice with this number. `end` says how the run
    /// ended: `fine`, `fault`, `late` or `broken_off`.
    pub fn send_outcome_with_seq(&mut self, seq: u64, id: &str, end: &str, body: &[u8]) {
        let body = crate::balancer::base64(body);
        self.send(&json!({"op": "outcome", "seq": seq, "id": id, "end": end, "ms": 18.5, "body": body}));
    }

    /// Sends the outcome of a run as the next notice, like [`Agent::send_outcome_with_seq`].
    pub fn send_outcome(&mut self, id: &str, end: &str, body: &[u8]) {
        let seq = self.next_seq();
        self.send_outcome_with_seq(seq, id, end, body);
    }

    /// Sends the notice that a run waits for a call. Returns the number of the notice.
    pub fn send_call_request(&mut self, id: &str, body: &[u8]) -> u64 {
        let seq = self.next_seq();
        let body = crate::balancer::base64(body);
        self.send(&json!({"op": "request", "seq": seq, "id": id, "body": body}));
        seq
    }

    /// Waits for this many more sample requests. The admission controller evaluates its state with each of
    /// them.
    pub fn wait_for_samples(&mut self, count: usize) {
        self.answers_samples = false;
        let mut seen = 0;
        while seen < count {
            let Incoming::Line(line) = self.incoming.recv_timeout(WAIT_TIMEOUT).expect("samples go on")
            else {
                panic!("a new link");
            };
            if line["op"] == "sample" {
                seen += 1;
                self.send(&json!({"op": "sampled", "tag": line["tag"], "values": [0.5, 1, 0.1, 3]}));
            } else {
                self.commands.push_back(line);
            }
        }
        self.answers_samples = true;
    }
}

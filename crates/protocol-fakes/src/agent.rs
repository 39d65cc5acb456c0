//! A render farm agent that does what a test tells it.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Instant;

use serde_json::{json, Value};

use crate::test_environment::WAIT_TIMEOUT;

enum Heard {
    Link(TcpStream),
    Line(Value),
}

/// The agent's end of the link. Samples are answered as they come, in the order of the commands.
pub struct Agent {
    pub address: SocketAddr,
    heard: Receiver<Heard>,
    link: Option<TcpStream>,
    commands: VecDeque<Value>,
    seq: u64,
    /// Numbers of the last notice that the server said it had read, for each link.
    pub subscribed_seqs: Vec<u64>,
    /// Whether samples are answered; if not, it is as if they were never read.
    pub answers_samples: bool,
}

fn listen(listener: &TcpListener, heard: &Sender<Heard>) {
    for link in listener.incoming().map_while(Result::ok) {
        let lines = BufReader::new(link.try_clone().expect("a second handle"));
        if heard.send(Heard::Link(link)).is_err() {
            return;
        }
        for line in lines.lines().map_while(Result::ok) {
            let value = serde_json::from_str(&line).expect("commands are JSON");
            if heard.send(Heard::Line(value)).is_err() {
                return;
            }
        }
    }
}

impl Agent {
    pub fn start() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, heard) = channel();
        std::thread::spawn(move || listen(&listener, &tell));
        let (commands, subscribed) = (VecDeque::new(), Vec::new());
        Agent {
            address,
            heard,
            link: None,
            commands,
            seq: 0,
            subscribed_seqs: subscribed,
            answers_samples: true,
        }
    }

    /// Takes in one thing the server did.
    fn hear(&mut self) {
        match self.heard.recv_timeout(WAIT_TIMEOUT).expect("the server says something") {
            Heard::Link(link) => self.link = Some(link),
            Heard::Line(line) => match line["op"].as_str() {
                Some("subscribe") => self.subscribed_seqs.push(line["seq"].as_u64().expect("a number")),
                Some("sample") if !self.answers_samples => {}
                Some("sample") => {
                    self.send(&json!({"op": "sampled", "tag": line["tag"], "values": [0.5, 1, 0.1, 3]}));
                }
                _ => self.commands.push_back(line),
            },
        }
    }

    /// Waits for a link that has been subscribed to.
    pub fn wait_for_link(&mut self) {
        let before = self.subscribed_seqs.len();
        while self.subscribed_seqs.len() == before {
            self.hear();
        }
    }

    /// Comes up on a new link.
    pub fn send_initial_notice(&mut self) {
        self.wait_for_link();
        self.resend_initial_notice();
    }

    /// Waits for the link of another process of the server: what the one before said is over, and notices are numbered anew.
    pub fn wait_for_restarted_server(&mut self) {
        self.wait_for_link();
        self.seq = 0;
        self.commands.clear();
    }

    /// Greets on the present link.
    pub fn resend_initial_notice(&mut self) {
        self.send(&json!({"op": "greeting", "end": "running", "ms": 5}));
    }

    /// Breaks the link.
    pub fn disconnect(&mut self) {
        let _ = self.link.take().expect("a link").shutdown(Shutdown::Both);
    }

    /// Writes one line.
    pub fn send(&mut self, line: &Value) {
        self.send_bytes(format!("{line}\n").as_bytes());
    }

    /// Writes bytes, whatever they are. A link that has just ended takes none.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(bytes);
        }
    }

    /// The next command that is no sample.
    pub fn next_command(&mut self) -> Value {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(command) = self.commands.pop_front() {
                return command;
            }
            // Samples go on whatever happens.
            assert!(Instant::now() < end, "waited in vain for a command");
            self.hear();
        }
    }

    /// The next command, which must be this one; the request it names.
    pub fn expect_command(&mut self, op: &str) -> (String, Value) {
        let command = self.next_command();
        assert_eq!(command["op"], op, "{command}");
        (command["id"].as_str().unwrap_or("").to_owned(), command)
    }

    /// The number of a notice that the server is yet to see.
    pub fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// An outcome with a result, as a notice under this number.
    pub fn send_outcome_with_seq(&mut self, seq: u64, id: &str, end: &str, body: &[u8]) {
        let body = crate::balancer::base64(body);
        self.send(&json!({"op": "outcome", "seq": seq, "id": id, "end": end, "ms": 18.5, "body": body}));
    }

    /// A run is over.
    pub fn send_outcome(&mut self, id: &str, end: &str, body: &[u8]) {
        let seq = self.next_seq();
        self.send_outcome_with_seq(seq, id, end, body);
    }

    /// A run waits for a call; the number of the notice.
    pub fn send_call_request(&mut self, id: &str, body: &[u8]) -> u64 {
        let seq = self.next_seq();
        let body = crate::balancer::base64(body);
        self.send(&json!({"op": "request", "seq": seq, "id": id, "body": body}));
        seq
    }

    /// Waits for so many more samples, and so for as many looks of the module at what there is.
    pub fn wait_for_samples(&mut self, count: usize) {
        self.answers_samples = false;
        let mut seen = 0;
        while seen < count {
            let Heard::Line(line) = self.heard.recv_timeout(WAIT_TIMEOUT).expect("samples go on") else {
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

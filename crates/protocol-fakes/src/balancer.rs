//! A balancer that sends requests over FastCGI.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use crate::test_environment::{eventually, unix_ms, WAIT_TIMEOUT};

// The types of FastCGI records.
const BEGIN_REQUEST: u8 = 1;
const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;

/// Encodes bytes in base64, as the agent protocol does.
pub fn base64(bytes: &[u8]) -> String {
    use base64::engine::general_purpose::STANDARD;
    use base64::Engine;
    STANDARD.encode(bytes)
}

/// Encodes one FastCGI record, with three bytes of padding.
pub fn encode_record(kind: u8, slot: u16, content: &[u8]) -> Vec<u8> {
    let mut out = vec![1, kind];
    out.extend_from_slice(&slot.to_be_bytes());
    out.extend_from_slice(&(content.len() as u16).to_be_bytes());
    out.extend_from_slice(&[3, 0]);
    out.extend_from_slice(content);
    out.extend_from_slice(&[0; 3]);
    out
}

/// Appends a name and its value with their lengths.
fn encode_pair(out: &mut Vec<u8>, name: &str, value: &str) {
    for size in [name.len(), value.len()] {
        if size < 128 {
            out.push(size as u8);
        } else {
            out.extend_from_slice(&(size as u32 | 0x8000_0000).to_be_bytes());
        }
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(value.as_bytes());
}

/// A request of a balancer.
#[derive(Clone)]
pub struct Request {
    /// The FastCGI request id.
    pub slot: u16,
    /// The FastCGI flags; 1 keeps the connection open.
    pub flags: u8,
    pub body: Vec<u8>,
    /// The FastCGI parameters.
    pub fields: BTreeMap<&'static str, String>,
}

impl Request {
    /// A request of class `search` with a time budget that no test exceeds.
    pub fn new(slot: u16, id: &str) -> Request {
        let fields = [
            ("REQUEST_METHOD", "POST".to_owned()),
            ("SCRIPT_NAME", "/svc/search".to_owned()),
            ("HTTP_REQUEST_ID", id.to_owned()),
            ("HTTP_RECEIVED_AT", unix_ms().to_string()),
            ("HTTP_SENT_BY", "4".to_owned()),
            ("HTTP_BUDGET_MS", "150000".to_owned()),
            ("HTTP_FOOTPRINT_KB", "24.5".to_owned()),
            ("HTTP_PRIORITY_RANK", "0.6250".to_owned()),
        ];
        Request { slot, flags: 1, body: b"body".to_vec(), fields: BTreeMap::from(fields) }
    }

    /// A health check.
    pub fn health_check(slot: u16, query: &str) -> Request {
        let fields = [
            ("REQUEST_METHOD", "GET".to_owned()),
            ("SCRIPT_NAME", "/status/live".to_owned()),
            ("QUERY_STRING", query.to_owned()),
        ];
        Request { slot, flags: 1, body: Vec::new(), fields: BTreeMap::from(fields) }
    }

    /// Sets a FastCGI parameter.
    pub fn with(mut self, field: &'static str, value: &str) -> Request {
        self.fields.insert(field, value.to_owned());
        self
    }

    /// Removes a FastCGI parameter.
    pub fn without(mut self, field: &str) -> Request {
        self.fields.remove(field);
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: &[u8]) -> Request {
        self.body = body.to_vec();
        self
    }

    /// Encodes all records of the request.
    pub fn bytes(&self) -> Vec<u8> {
        let mut params = Vec::new();
        self.fields.iter().for_each(|(name, value)| encode_pair(&mut params, name, value));
        let mut out = encode_record(BEGIN_REQUEST, self.slot, &[0, 1, self.flags, 0, 0, 0, 0, 0]);
        out.extend(encode_record(PARAMS, self.slot, &params));
        out.extend(encode_record(PARAMS, self.slot, &[]));
        if !self.body.is_empty() {
            out.extend(encode_record(STDIN, self.slot, &self.body));
        }
        out.extend(encode_record(STDIN, self.slot, &[]));
        out
    }
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The FastCGI request id.
    pub slot: u16,
    /// The FastCGI protocol status; 0 for a completed request.
    pub protocol_status: u8,
    /// The HTTP status; 0 for an answer without output.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// One connection of a balancer.
pub struct Balancer {
    pub stream: TcpStream,
    unread: Vec<u8>,
    /// Output of requests without an end record so far, by request id.
    streams: BTreeMap<u16, Vec<u8>>,
    /// Whether a failed read counts as the end of the connection, because its server may be killed at any
    /// time.
    tolerant: bool,
}

impl Balancer {
    /// Connects, and retries while the server does not listen yet.
    pub fn connect(to: SocketAddr) -> Balancer {
        let stream = eventually("a connection", || TcpStream::connect(to).ok());
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit");
        Balancer { stream, unread: Vec::new(), streams: BTreeMap::new(), tolerant: false }
    }

    /// Uses a connection to a server that may be killed or suspended at any time: a failed read counts as its
    /// end.
    pub fn tolerant(stream: TcpStream) -> Balancer {
        Balancer { stream, unread: Vec::new(), streams: BTreeMap::new(), tolerant: true }
    }

    /// Sends a request.
    pub fn send(&mut self, request: &Request) {
        self.send_bytes(&request.bytes());
    }

    /// Sends bytes that need not be valid.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// The type, request id and content of the next record, or `None` at the end of the connection.
    pub fn next_record(&mut self) -> Option<(u8, u16, Vec<u8>)> {
        loop {
            if let [1, kind, id_high, id_low, length_high, length_low, padding, _, rest @ ..] =
                self.unread.as_slice()
            {
                let length = usize::from(u16::from_be_bytes([*length_high, *length_low]));
                let size = 8 + length + usize::from(*padding);
                if self.unread.len() >= size {
                    let record = (*kind, u16::from_be_bytes([*id_high, *id_low]), rest[..length].to_vec());
                    self.unread.drain(..size);
                    return Some(record);
                }
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => {
                    assert!(self.tolerant || self.unread.is_empty(), "the connection ends within a record");
                    return None;
                }
                Ok(n) => self.unread.extend_from_slice(&bytes[..n]),
                Err(_) if self.tolerant => return None,
                Err(e) => panic!("reading an answer: {e}"),
            }
        }
    }

    /// The next complete answer, or `None` at the end of the connection.
    pub fn try_answer(&mut self) -> Option<Answer> {
        loop {
            let (kind, slot, content) = self.next_record()?;
            match kind {
                STDOUT => self.streams.entry(slot).or_default().extend(content),
                END_REQUEST => {
                    let stream = self.streams.remove(&slot).unwrap_or_default();
                    return Some(parse(slot, content[4], &stream));
                }
                _ => panic!("a record of kind {kind}"),
            }
        }
    }

    /// The next complete answer; panics at the end of the connection.
    pub fn answer(&mut self) -> Answer {
        self.try_answer().expect("an answer before the end of the connection")
    }

    /// Sends a request and waits for its answer.
    pub fn round_trip(&mut self, request: &Request) -> Answer {
        self.send(request);
        let answer = self.answer();
        assert_eq!(answer.slot, request.slot);
        answer
    }
}

/// Parses the status, headers and body of an answer; an answer without output keeps status 0.
fn parse(slot: u16, protocol_status: u8, stream: &[u8]) -> Answer {
    let mut answer = Answer { slot, protocol_status, status: 0, headers: BTreeMap::new(), body: Vec::new() };
    if stream.is_empty() {
        return answer;
    }
    let end = stream.windows(4).position(|w| w == b"\r\n\r\n").expect("an empty line");
    for line in std::str::from_utf8(&stream[..end]).expect("text").split("\r\n") {
        let (name, value) = line.split_once(": ").expect("a header");
        answer.headers.insert(name.to_owned(), value.to_owned());
    }
    let status = answer.headers["Status"].split(' ').next().expect("a status");
    answer.status = status.parse().expect("a number");
    answer.body = stream[end + 4..].to_vec();
    answer
}

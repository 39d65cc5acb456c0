//! Both ends of AJP/1.3, with an encoder of their own: a front end that sends requests and a server that
//! answers them. Either can misbehave.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::test_environment::{eventually, unix_ms, WAIT_TIMEOUT};

/// The first bytes of a packet from the front end.
const REQUEST_MAGIC: [u8; 2] = [0x12, 0x34];
/// The first bytes of a packet from the server.
const ANSWER_MAGIC: [u8; 2] = [0x41, 0x42];
// The codes of packets.
const FORWARD_REQUEST: u8 = 2;
const SEND_BODY_CHUNK: u8 = 3;
const SEND_HEADERS: u8 = 4;
const END_RESPONSE: u8 = 5;
const GET_BODY_CHUNK: u8 = 6;
const PONG: u8 = 9;
const PING: u8 = 10;
/// The coded name of the header `Content-Length`.
const CONTENT_LENGTH: [u8; 2] = [0xa0, 0x08];
// The codes of a request's attributes, which follow its headers.
const QUERY_STRING: u8 = 5;
const SECRET: u8 = 12;
const END_OF_ATTRIBUTES: u8 = 0xff;
/// Largest number of body bytes in one packet.
const MAX_BODY_CHUNK: usize = 8_192 - 6;

/// Encodes a packet.
fn encode_packet(magic: [u8; 2], content: &[u8]) -> Vec<u8> {
    let mut out = magic.to_vec();
    out.extend((content.len() as u16).to_be_bytes());
    out.extend(content);
    out
}

/// Appends a string with its length and its terminating zero.
fn encode_string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u16).to_be_bytes());
    out.extend(text);
    out.push(0);
}

/// A request of a front end.
#[derive(Clone, Debug)]
pub struct AjpRequest {
    /// The code of the method.
    pub method: u8,
    pub uri: String,
    pub headers: Vec<(String, String)>,
    pub query: Option<String>,
    pub secret: Option<String>,
    pub body: Vec<u8>,
    /// The stated length of the body; `None` states its actual length.
    pub stated_length: Option<usize>,
}

impl AjpRequest {
    /// A request of class `search` with a time budget that no test exceeds.
    pub fn new(id: &str) -> AjpRequest {
        let headers = [
            ("Request-Id", id.to_owned()),
            ("Received-At", unix_ms().to_string()),
            ("Sent-By", "4".to_owned()),
            ("Budget-Ms", "150000".to_owned()),
            ("Footprint-Kb", "24.5".to_owned()),
            ("Priority-Rank", "0.6250".to_owned()),
        ];
        AjpRequest {
            method: 4,
            uri: "/svc/search".to_owned(),
            headers: headers.map(|(n, v)| (n.to_owned(), v)).into(),
            query: None,
            secret: None,
            body: b"body".to_vec(),
            stated_length: None,
        }
    }

    /// A health check.
    pub fn health_check(query: &str) -> AjpRequest {
        let (uri, query) = ("/status/live".to_owned(), Some(query.to_owned()));
        AjpRequest { method: 2, uri, headers: vec![], query, secret: None, body: vec![], stated_length: None }
    }

    /// Sets a header.
    pub fn with(mut self, name: &str, value: &str) -> AjpRequest {
        self.headers.retain(|(n, _)| n != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: &[u8]) -> AjpRequest {
        self.body = body.to_vec();
        self
    }

    /// Sets the secret.
    pub fn secret(mut self, secret: &str) -> AjpRequest {
        self.secret = Some(secret.to_owned());
        self
    }

    /// The first packet, with the headers.
    pub fn first_packet(&self) -> Vec<u8> {
        let mut out = vec![FORWARD_REQUEST, self.method];
        // The protocol, the path, the client's address and name, and the name of the server.
        for text in ["HTTP/1.1", &self.uri, "10.0.0.9", "client", "desks.example"] {
            encode_string(&mut out, text.as_bytes());
        }
        // The port 80, and that the client used no TLS.
        out.extend([0, 80, 0]);
        let stated = self.stated_length.unwrap_or(self.body.len());
        let count = self.headers.len() + usize::from(stated > 0);
        out.extend((count as u16).to_be_bytes());
        for (name, value) in &self.headers {
            encode_string(&mut out, name.as_bytes());
            encode_string(&mut out, value.as_bytes());
        }
        if stated > 0 {
            out.extend(CONTENT_LENGTH);
            encode_string(&mut out, stated.to_string().as_bytes());
        }
        if let Some(query) = &self.query {
            out.push(QUERY_STRING);
            encode_string(&mut out, query.as_bytes());
        }
        if let Some(secret) = &self.secret {
            out.push(SECRET);
            encode_string(&mut out, secret.as_bytes());
        }
        out.push(END_OF_ATTRIBUTES);
        encode_packet(REQUEST_MAGIC, &out)
    }

    /// The packet with the next bytes of the body from `from` on, at most `max`.
    pub fn body_packet(&self, from: usize, max: usize) -> Vec<u8> {
        let unsent = self.body.get(from..).unwrap_or_default();
        let chunk = &unsent[..unsent.len().min(MAX_BODY_CHUNK).min(max)];
        let mut content = Vec::new();
        if !chunk.is_empty() {
            content.extend((chunk.len() as u16).to_be_bytes());
            content.extend(chunk);
        }
        encode_packet(REQUEST_MAGIC, &content)
    }
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AjpAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the connection may carry another request.
    pub reuse: bool,
}

impl AjpAnswer {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// One connection of a front end.
pub struct FrontEnd {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl FrontEnd {
    /// Connects, and retries while the server does not listen yet.
    pub fn connect(to: SocketAddr) -> FrontEnd {
        let stream = eventually("a connection", || TcpStream::connect(to).ok());
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit");
        let _ = stream.set_nodelay(true);
        FrontEnd { stream, unread: Vec::new() }
    }

    /// Sends bytes that need not be valid.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// Sends the headers and, if there is a body, its first packet.
    pub fn send(&mut self, request: &AjpRequest) {
        self.send_bytes(&request.first_packet());
        if !request.body.is_empty() {
            self.send_bytes(&request.body_packet(0, MAX_BODY_CHUNK));
        }
    }

    /// The content of the next packet, or `None` at the end of the connection.
    pub fn next_packet(&mut self) -> Option<Vec<u8>> {
        loop {
            if let [first, second, high, low, rest @ ..] = self.unread.as_slice() {
                assert_eq!([*first, *second], ANSWER_MAGIC, "the start of an answer's packet");
                let length = usize::from(u16::from_be_bytes([*high, *low]));
                if rest.len() >= length {
                    let content = rest[..length].to_vec();
                    self.unread.drain(..4 + length);
                    return Some(content);
                }
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => {
                    assert!(self.unread.is_empty(), "the connection ends within a packet");
                    return None;
                }
                Ok(n) => self.unread.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("reading an answer: {e}"),
            }
        }
    }

    /// The next complete answer, or `None` at the end of the connection. Sends more of the body as the server
    /// requests it.
    pub fn try_answer(&mut self, request: &AjpRequest) -> Option<AjpAnswer> {
        let mut sent = request.body.len().min(MAX_BODY_CHUNK);
        let mut answer = AjpAnswer { status: 0, headers: vec![], body: vec![], reuse: false };
        loop {
            let content = self.next_packet()?;
            match content[0] {
                SEND_HEADERS => (answer.status, answer.headers) = parse_headers(&content[1..]),
                SEND_BODY_CHUNK => {
                    let length = usize::from(u16::from_be_bytes([content[1], content[2]]));
                    answer.body.extend(&content[3..3 + length]);
                }
                GET_BODY_CHUNK => {
                    let max = usize::from(u16::from_be_bytes([content[1], content[2]]));
                    let chunk = request.body_packet(sent, max);
                    // The packet's header and the length of the chunk take six bytes.
                    sent += chunk.len().saturating_sub(6);
                    self.send_bytes(&chunk);
                }
                END_RESPONSE => {
                    answer.reuse = content[1] == 1;
                    return Some(answer);
                }
                other => panic!("a packet with the code {other}"),
            }
        }
    }

    /// The next complete answer; panics at the end of the connection.
    pub fn answer(&mut self, request: &AjpRequest) -> AjpAnswer {
        self.try_answer(request).expect("an answer before the end of the connection")
    }

    /// Sends a request and waits for its answer.
    pub fn round_trip(&mut self, request: &AjpRequest) -> AjpAnswer {
        self.send(request);
        self.answer(request)
    }

    /// Sends a ping. Returns whether it is answered; `false` if the connection ends instead.
    pub fn ping(&mut self) -> bool {
        self.send_bytes(&encode_packet(REQUEST_MAGIC, &[PING]));
        self.next_packet().is_some_and(|content| content == [PONG])
    }
}

/// Splits a string off the front of `bytes`.
fn take_string(bytes: &mut &[u8]) -> String {
    let length = usize::from(u16::from_be_bytes([bytes[0], bytes[1]]));
    let text = String::from_utf8_lossy(&bytes[2..2 + length]).into_owned();
    *bytes = &bytes[3 + length..];
    text
}

/// Parses the status and headers of an answer. `NAMES` lists the coded header names in the order of their
/// codes.
fn parse_headers(mut bytes: &[u8]) -> (u16, Vec<(String, String)>) {
    const NAMES: [&str; 11] = [
        "Content-Type",
        "Content-Language",
        "Content-Length",
        "Date",
        "Last-Modified",
        "Location",
        "Set-Cookie",
        "Set-Cookie2",
        "Servlet-Engine",
        "Status",
        "WWW-Authenticate",
    ];
    let status = u16::from_be_bytes([bytes[0], bytes[1]]);
    bytes = &bytes[2..];
    take_string(&mut bytes);
    let count = u16::from_be_bytes([bytes[0], bytes[1]]);
    bytes = &bytes[2..];
    let mut headers = Vec::new();
    for _ in 0..count {
        let name = match bytes[0] {
            0xa0 => {
                let name = NAMES[usize::from(bytes[1]) - 1].to_owned();
                bytes = &bytes[2..];
                name
            }
            _ => take_string(&mut bytes),
        };
        headers.push((name, take_string(&mut bytes)));
    }
    (status, headers)
}

/// How an AJP server treats calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AjpBehaviour {
    /// Answers with this status and body.
    Answer(u16, Vec<u8>),
    /// Answers with this status and the header that says that the operation did not begin.
    NotBegun(u16),
    /// Never answers a call.
    Hang,
    /// Closes the connection in the middle of the answer.
    TruncatedAnswer,
    /// Answers with bytes that are not AJP.
    InvalidBytes,
    /// Answers calls, but not pings.
    IgnorePings,
}

/// A server that answers over AJP, one call at a time on a connection.
pub struct AjpServer {
    pub address: SocketAddr,
    behaviour: Arc<Mutex<AjpBehaviour>>,
    /// The bodies of all calls.
    calls: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl AjpServer {
    /// Starts on a free port.
    pub fn start(behaviour: AjpBehaviour) -> AjpServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (behaviour, calls) = (Arc::new(Mutex::new(behaviour)), Arc::new(Mutex::new(Vec::new())));
        let (shared_behaviour, shared_calls) = (behaviour.clone(), calls.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (behaviour, calls) = (shared_behaviour.clone(), shared_calls.clone());
                thread::spawn(move || serve(stream, &behaviour, &calls));
            }
        });
        AjpServer { address, behaviour, calls }
    }

    /// Changes the behaviour from the next packet on.
    pub fn set_behaviour(&self, behaviour: AjpBehaviour) {
        *self.behaviour.lock().expect("no panic") = behaviour;
    }

    /// The bodies of the calls received so far.
    pub fn calls(&self) -> Vec<Vec<u8>> {
        self.calls.lock().expect("no panic").clone()
    }
}

/// The content of the next packet from the front end.
fn read_packet(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut header = [0; 4];
    stream.read_exact(&mut header).ok()?;
    let mut content = vec![0; usize::from(u16::from_be_bytes([header[2], header[3]]))];
    stream.read_exact(&mut content).ok()?;
    (header[..2] == REQUEST_MAGIC).then_some(content)
}

/// The stated body length of a forward request: the value that follows the coded name of its header.
fn stated_length(content: &[u8]) -> usize {
    let at = content.windows(2).position(|w| w == CONTENT_LENGTH);
    at.map_or(0, |at| take_string(&mut &content[at + 2..]).parse().unwrap_or(0))
}

/// Answers the calls of one connection.
fn serve(mut stream: TcpStream, behaviour: &Mutex<AjpBehaviour>, calls: &Mutex<Vec<Vec<u8>>>) {
    while let Some(content) = read_packet(&mut stream) {
        let current = behaviour.lock().expect("no panic").clone();
        if content == [PING] {
            if current != AjpBehaviour::IgnorePings
                && stream.write_all(&encode_packet(ANSWER_MAGIC, &[PONG])).is_err()
            {
                return;
            }
            continue;
        }
        let (length, mut body) = (stated_length(&content), Vec::new());
        while body.len() < length {
            if !body.is_empty() {
                // 0x1ffa is `MAX_BODY_CHUNK`.
                let _ = stream.write_all(&encode_packet(ANSWER_MAGIC, &[GET_BODY_CHUNK, 0x1f, 0xfa]));
            }
            let Some(chunk) = read_packet(&mut stream).filter(|p| p.len() > 2) else { return };
            body.extend(&chunk[2..]);
        }
        calls.lock().expect("no panic").push(body);
        let (status, reply, not_begun) = match current {
            AjpBehaviour::Answer(status, reply) => (status, reply, false),
            AjpBehaviour::NotBegun(status) => (status, vec![], true),
            AjpBehaviour::IgnorePings => (200, b"well".to_vec(), false),
            AjpBehaviour::Hang => {
                let _ = read_packet(&mut stream);
                return;
            }
            AjpBehaviour::TruncatedAnswer => {
                let _ = stream.write_all(&encode_packet(ANSWER_MAGIC, &[SEND_HEADERS, 0, 200])[..5]);
                return;
            }
            AjpBehaviour::InvalidBytes => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                return;
            }
        };
        let mut head = vec![SEND_HEADERS];
        head.extend(status.to_be_bytes());
        encode_string(&mut head, b"x");
        head.extend([0, u8::from(not_begun)]);
        if not_begun {
            encode_string(&mut head, b"Op-Not-Begun");
            encode_string(&mut head, b"1");
        }
        let mut out = encode_packet(ANSWER_MAGIC, &head);
        for chunk in reply.chunks(8_000) {
            let mut content = vec![SEND_BODY_CHUNK];
            encode_string(&mut content, chunk);
            out.extend(encode_packet(ANSWER_MAGIC, &content));
        }
        out.extend(encode_packet(ANSWER_MAGIC, &[END_RESPONSE, 1]));
        if stream.write_all(&out).is_err() {
            return;
        }
    }
}

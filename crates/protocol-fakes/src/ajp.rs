//! AJP/1.3 from both ends, with an encoder of its own: a front end that asks, and a server that answers. Either can
//! misbehave.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::test_environment::{eventually, unix_ms, WAIT_TIMEOUT};

/// Packets from the end that asks begin so, those from the end that answers so.
const ASKS: [u8; 2] = [0x12, 0x34];
const ANSWERS: [u8; 2] = [0x41, 0x42];
/// Bytes of a body in one packet.
const PART: usize = 8_192 - 6;

fn packet(magic: [u8; 2], content: &[u8]) -> Vec<u8> {
    let mut out = magic.to_vec();
    out.extend((content.len() as u16).to_be_bytes());
    out.extend(content);
    out
}

fn string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u16).to_be_bytes());
    out.extend(text);
    out.push(0);
}

/// A request as a front end would send it.
#[derive(Clone, Debug)]
pub struct AjpRequest {
    pub method: u8,
    pub uri: String,
    pub headers: Vec<(String, String)>,
    pub query: Option<String>,
    pub secret: Option<String>,
    pub body: Vec<u8>,
    /// The length that is stated; unless set, that of the body.
    pub stated_length: Option<usize>,
}

impl AjpRequest {
    /// Work of class `search`, with time enough.
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

    pub fn with(mut self, name: &str, value: &str) -> AjpRequest {
        self.headers.retain(|(n, _)| n != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn body(mut self, body: &[u8]) -> AjpRequest {
        self.body = body.to_vec();
        self
    }

    pub fn secret(mut self, secret: &str) -> AjpRequest {
        self.secret = Some(secret.to_owned());
        self
    }

    /// The first packet.
    pub fn first_packet(&self) -> Vec<u8> {
        let mut out = vec![2, self.method];
        for text in ["HTTP/1.1", &self.uri, "10.0.0.9", "client", "desks.example"] {
            string(&mut out, text.as_bytes());
        }
        out.extend([0, 80, 0]);
        let stated = self.stated_length.unwrap_or(self.body.len());
        let count = self.headers.len() + usize::from(stated > 0);
        out.extend((count as u16).to_be_bytes());
        for (name, value) in &self.headers {
            string(&mut out, name.as_bytes());
            string(&mut out, value.as_bytes());
        }
        if stated > 0 {
            out.extend([0xa0, 0x08]);
            string(&mut out, stated.to_string().as_bytes());
        }
        if let Some(query) = &self.query {
            out.push(5);
            string(&mut out, query.as_bytes());
        }
        if let Some(secret) = &self.secret {
            out.push(12);
            string(&mut out, secret.as_bytes());
        }
        out.push(0xff);
        packet(ASKS, &out)
    }

    /// The packet with the part of the body from `from` on.
    pub fn body_packet(&self, from: usize, most: usize) -> Vec<u8> {
        let rest = self.body.get(from..).unwrap_or_default();
        let part = &rest[..rest.len().min(PART).min(most)];
        let mut content = Vec::new();
        if !part.is_empty() {
            content.extend((part.len() as u16).to_be_bytes());
            content.extend(part);
        }
        packet(ASKS, &content)
    }
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AjpAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub reuse: bool,
}

impl AjpAnswer {
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
    /// Connects, for as long as the server is not listening yet.
    pub fn connect(to: SocketAddr) -> FrontEnd {
        let stream = eventually("a connection", || TcpStream::connect(to).ok());
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit");
        let _ = stream.set_nodelay(true);
        FrontEnd { stream, unread: Vec::new() }
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// Sends the head and, if there is a body, its first part.
    pub fn send(&mut self, request: &AjpRequest) {
        self.send_bytes(&request.first_packet());
        if !request.body.is_empty() {
            self.send_bytes(&request.body_packet(0, PART));
        }
    }

    /// The content of the next packet, or `None` at the end of the connection.
    pub fn packet(&mut self) -> Option<Vec<u8>> {
        loop {
            if let [a, b, high, low, rest @ ..] = self.unread.as_slice() {
                assert_eq!([*a, *b], ANSWERS, "the start of an answer's packet");
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

    /// The next whole answer; more of the body is sent as it is asked for.
    pub fn try_answer(&mut self, request: &AjpRequest) -> Option<AjpAnswer> {
        let mut sent = request.body.len().min(PART);
        let mut answer = AjpAnswer { status: 0, headers: vec![], body: vec![], reuse: false };
        loop {
            let content = self.packet()?;
            match content[0] {
                4 => (answer.status, answer.headers) = head(&content[1..]),
                3 => {
                    let length = usize::from(u16::from_be_bytes([content[1], content[2]]));
                    answer.body.extend(&content[3..3 + length]);
                }
                6 => {
                    let wanted = usize::from(u16::from_be_bytes([content[1], content[2]]));
                    let part = request.body_packet(sent, wanted);
                    sent += part.len().saturating_sub(6);
                    self.send_bytes(&part);
                }
                5 => {
                    answer.reuse = content[1] == 1;
                    return Some(answer);
                }
                other => panic!("a packet with the code {other}"),
            }
        }
    }

    pub fn answer(&mut self, request: &AjpRequest) -> AjpAnswer {
        self.try_answer(request).expect("an answer before the end of the connection")
    }

    /// Sends a request and waits for its answer.
    pub fn round_trip(&mut self, request: &AjpRequest) -> AjpAnswer {
        self.send(request);
        self.answer(request)
    }

    /// Whether a ping is answered; `false` where the connection ends instead.
    pub fn ping(&mut self) -> bool {
        self.send_bytes(&[0x12, 0x34, 0, 1, 10]);
        self.packet().is_some_and(|content| content == [9])
    }
}

fn take_string(bytes: &mut &[u8]) -> String {
    let length = usize::from(u16::from_be_bytes([bytes[0], bytes[1]]));
    let text = String::from_utf8_lossy(&bytes[2..2 + length]).into_owned();
    *bytes = &bytes[3 + length..];
    text
}

/// Status and headers; coded names of answers stand in the order of the reference.
fn head(mut bytes: &[u8]) -> (u16, Vec<(String, String)>) {
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
    /// This status and body.
    Answer(u16, Vec<u8>),
    /// The same with a header that says that nothing ran.
    NotBegun(u16),
    /// Nothing.
    Hang,
    /// The connection ends in the middle of the answer.
    TruncatedAnswer,
    /// What is no AJP.
    InvalidBytes,
    /// Pings are not answered; calls are.
    IgnorePings,
}

/// A server that answers over AJP, one call at a time on a connection.
pub struct AjpServer {
    pub address: SocketAddr,
    behaviour: Arc<Mutex<AjpBehaviour>>,
    calls: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl AjpServer {
    pub fn start(behaviour: AjpBehaviour) -> AjpServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (behaviour, calls) = (Arc::new(Mutex::new(behaviour)), Arc::new(Mutex::new(Vec::new())));
        let (its, seen) = (behaviour.clone(), calls.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (its, seen) = (its.clone(), seen.clone());
                thread::spawn(move || serve(stream, &its, &seen));
            }
        });
        AjpServer { address, behaviour, calls }
    }

    pub fn set_behaviour(&self, behaviour: AjpBehaviour) {
        *self.behaviour.lock().expect("no panic") = behaviour;
    }

    /// Bodies of the calls that came.
    pub fn calls(&self) -> Vec<Vec<u8>> {
        self.calls.lock().expect("no panic").clone()
    }
}

/// The content of the next packet from the end that asks.
fn asked(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut header = [0; 4];
    stream.read_exact(&mut header).ok()?;
    let mut content = vec![0; usize::from(u16::from_be_bytes([header[2], header[3]]))];
    stream.read_exact(&mut content).ok()?;
    (header[..2] == ASKS).then_some(content)
}

/// The stated length of a body in a forward request: the value behind the coded header's name.
fn stated_length(content: &[u8]) -> usize {
    let at = content.windows(2).position(|w| w == [0xa0, 0x08]);
    at.map_or(0, |at| take_string(&mut &content[at + 2..]).parse().unwrap_or(0))
}

fn serve(mut stream: TcpStream, behaviour: &Mutex<AjpBehaviour>, calls: &Mutex<Vec<Vec<u8>>>) {
    while let Some(content) = asked(&mut stream) {
        let now = behaviour.lock().expect("no panic").clone();
        if content == [10] {
            if now != AjpBehaviour::IgnorePings && stream.write_all(&packet(ANSWERS, &[9])).is_err() {
                return;
            }
            continue;
        }
        let (length, mut body) = (stated_length(&content), Vec::new());
        while body.len() < length {
            if !body.is_empty() {
                let _ = stream.write_all(&packet(ANSWERS, &[6, 0x1f, 0xfa]));
            }
            let Some(part) = asked(&mut stream).filter(|p| p.len() > 2) else { return };
            body.extend(&part[2..]);
        }
        calls.lock().expect("no panic").push(body);
        let (status, reply, mark) = match now {
            AjpBehaviour::Answer(status, reply) => (status, reply, false),
            AjpBehaviour::NotBegun(status) => (status, vec![], true),
            AjpBehaviour::IgnorePings => (200, b"well".to_vec(), false),
            AjpBehaviour::Hang => {
                let _ = asked(&mut stream);
                return;
            }
            AjpBehaviour::TruncatedAnswer => {
                let _ = stream.write_all(&packet(ANSWERS, &[4, 0, 200])[..5]);
                return;
            }
            AjpBehaviour::InvalidBytes => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                return;
            }
        };
        let mut head = vec![4];
        head.extend(status.to_be_bytes());
        string(&mut head, b"x");
        head.extend([0, u8::from(mark)]);
        if mark {
            string(&mut head, b"Op-Not-Begun");
            string(&mut head, b"1");
        }
        let mut out = packet(ANSWERS, &head);
        for part in reply.chunks(8_000) {
            let mut content = vec![3];
            string(&mut content, part);
            out.extend(packet(ANSWERS, &content));
        }
        out.extend(packet(ANSWERS, &[5, 1]));
        if stream.write_all(&out).is_err() {
            return;
        }
    }
}

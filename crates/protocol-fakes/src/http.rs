//! The records service and the announce service.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

use crate::test_environment::WAIT_TIMEOUT;

/// One HTTP request.
#[derive(Debug)]
pub struct ReceivedRequest {
    pub request_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> &str {
        self.find(name).expect("the header")
    }

    pub fn find(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

pub(crate) fn receive(from: &mut impl BufRead) -> Option<ReceivedRequest> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|&n| n > 0)?;
    let (mut headers, mut length) = (Vec::new(), 0);
    loop {
        let mut header = String::new();
        from.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim_end().split_once(": ") else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().expect("a length");
        }
        headers.push((name.to_owned(), value.to_owned()));
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(ReceivedRequest { request_line: line.trim_end().to_owned(), headers, body })
}

/// A call that was made, and the connection on which it is to be answered.
pub struct Call {
    pub request: ReceivedRequest,
    pub stream: TcpStream,
}

impl Call {
    /// Answers it.
    pub fn reply(&mut self, status: &str, more: &str, body: &[u8]) {
        let head = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat()).expect("written");
    }

    /// Waits until the server has closed the connection.
    pub fn wait_for_close(&mut self) {
        self.stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit");
        let mut byte = [0];
        // A close may show as an end or as a reset.
        match self.stream.read(&mut byte) {
            Ok(n) => assert_eq!(n, 0, "more bytes on a call's connection"),
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "{e}"),
        }
    }
}

fn calls(stream: &TcpStream, tell: &Sender<Call>) {
    let mut from = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(request) = receive(&mut from) {
        let stream = stream.try_clone().expect("a second handle");
        if tell.send(Call { request, stream }).is_err() {
            return;
        }
        if from.buffer().is_empty() {
            // The next request, or the end, is read by whoever answers this one.
            let mut byte = [0];
            let _ = from.get_ref().peek(&mut byte);
        }
    }
}

/// The records service.
pub struct Records {
    pub address: SocketAddr,
    calls: Receiver<Call>,
}

impl Records {
    pub fn start() -> Records {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, calls_made) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let tell = tell.clone();
                std::thread::spawn(move || calls(&stream, &tell));
            }
        });
        Records { address, calls: calls_made }
    }

    /// The next call.
    pub fn next_call(&self) -> Call {
        self.calls.recv_timeout(WAIT_TIMEOUT).expect("a call")
    }
}

/// The announce service.
pub struct Announce {
    pub address: SocketAddr,
    reports: Receiver<String>,
    down: Arc<AtomicBool>,
}

impl Announce {
    pub fn start() -> Announce {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, reports) = channel();
        let down = Arc::new(AtomicBool::new(false));
        let is_down = down.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (tell, is_down) = (tell.clone(), is_down.clone());
                std::thread::spawn(move || hear_reports(&stream, &tell, &is_down));
            }
        });
        Announce { address, reports, down }
    }

    /// From now on it ends connections instead of answering, or answers again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        while self.reports.try_recv().is_ok() {}
    }

    /// The word of the next report.
    pub fn next_report(&self) -> String {
        self.reports.recv_timeout(WAIT_TIMEOUT).expect("a report")
    }

    /// Waits for a report with this word.
    pub fn wait_for_report(&self, word: &str) {
        while self.next_report() != word {}
    }
}

fn hear_reports(stream: &TcpStream, tell: &Sender<String>, is_down: &AtomicBool) {
    let mut from = BufReader::new(stream);
    while let Some(request) = receive(&mut from) {
        if is_down.load(Ordering::SeqCst) {
            let _ = tell.send("unheard".to_owned());
            return;
        }
        let mut to = stream;
        let _ = to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        if tell.send(word(&request)).is_err() {
            return;
        }
    }
}

fn word(request: &ReceivedRequest) -> String {
    assert!(
        request.request_line.starts_with("PUT /announce/n") && request.request_line.ends_with(" HTTP/1.1"),
        "{}",
        request.request_line
    );
    let value: serde_json::Value = serde_json::from_slice(&request.body).expect("JSON");
    value["accepting"].as_str().expect("a word").to_owned()
}

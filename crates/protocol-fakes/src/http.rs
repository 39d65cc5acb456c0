//! Stand-ins for the records service and the announce service, which both use HTTP/1.1.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

use crate::test_environment::WAIT_TIMEOUT;

/// One received HTTP request.
#[derive(Debug)]
pub struct ReceivedRequest {
    pub request_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// The value of a header, which must be present.
    pub fn header(&self, name: &str) -> &str {
        self.find(name).expect("the header")
    }

    /// The value of a header, if present.
    pub fn find(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one request; `None` if the connection ends before it is complete.
pub(crate) fn receive(reader: &mut impl BufRead) -> Option<ReceivedRequest> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
    let (mut headers, mut length) = (Vec::new(), 0);
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim_end().split_once(": ") else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().expect("a length");
        }
        headers.push((name.to_owned(), value.to_owned()));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(ReceivedRequest { request_line: line.trim_end().to_owned(), headers, body })
}

/// A call to the records service and the connection on which to answer it.
pub struct Call {
    pub request: ReceivedRequest,
    pub stream: TcpStream,
}

impl Call {
    /// Answers the call. `headers` are complete header lines besides the length.
    pub fn reply(&mut self, status: &str, headers: &str, body: &[u8]) {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat()).expect("written");
    }

    /// Waits until the server has closed the connection.
    pub fn wait_for_close(&mut self) {
        self.stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit");
        let mut byte = [0];
        // A close can appear as an end or as a reset.
        match self.stream.read(&mut byte) {
            Ok(n) => assert_eq!(n, 0, "more bytes on a call's connection"),
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset, "{e}"),
        }
    }
}

/// Reads the calls of one connection.
fn read_calls(stream: &TcpStream, sender: &Sender<Call>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(request) = receive(&mut reader) {
        let stream = stream.try_clone().expect("a second handle");
        if sender.send(Call { request, stream }).is_err() {
            return;
        }
        if reader.buffer().is_empty() {
            // Whoever answers this call may read the end of the connection, so wait without consuming bytes.
            let mut byte = [0];
            let _ = reader.get_ref().peek(&mut byte);
        }
    }
}

/// The records service. A test answers each of its calls.
pub struct Records {
    pub address: SocketAddr,
    calls: Receiver<Call>,
}

impl Records {
    /// Starts on a free port.
    pub fn start() -> Records {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                std::thread::spawn(move || read_calls(&stream, &sender));
            }
        });
        Records { address, calls }
    }

    /// Waits for the next call.
    pub fn next_call(&self) -> Call {
        self.calls.recv_timeout(WAIT_TIMEOUT).expect("a call")
    }
}

/// The announce service. It accepts every report unless it is down.
pub struct Announce {
    pub address: SocketAddr,
    reports: Receiver<String>,
    down: Arc<AtomicBool>,
}

impl Announce {
    /// Starts on a free port.
    pub fn start() -> Announce {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, reports) = channel();
        let down = Arc::new(AtomicBool::new(false));
        let is_down = down.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (sender, is_down) = (sender.clone(), is_down.clone());
                std::thread::spawn(move || read_reports(&stream, &sender, &is_down));
            }
        });
        Announce { address, reports, down }
    }

    /// Makes the service close connections instead of answering, or answer again. Discards the reports so
    /// far.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        while self.reports.try_recv().is_ok() {}
    }

    /// Waits for the next report and returns its state: the value of `accepting`, or `unheard` if the service
    /// is down.
    pub fn next_report(&self) -> String {
        self.reports.recv_timeout(WAIT_TIMEOUT).expect("a report")
    }

    /// Waits for a report with this state.
    pub fn wait_for_report(&self, state: &str) {
        while self.next_report() != state {}
    }
}

/// Reads and answers the reports of one connection.
fn read_reports(stream: &TcpStream, sender: &Sender<String>, is_down: &AtomicBool) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = receive(&mut reader) {
        if is_down.load(Ordering::SeqCst) {
            let _ = sender.send("unheard".to_owned());
            return;
        }
        let mut writer = stream;
        let _ = writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        if sender.send(reported_state(&request)).is_err() {
            return;
        }
    }
}

/// The state in a report, after asserting its request line.
fn reported_state(request: &ReceivedRequest) -> String {
    assert!(
        request.request_line.starts_with("PUT /announce/n") && request.request_line.ends_with(" HTTP/1.1"),
        "{}",
        request.request_line
    );
    let value: serde_json::Value = serde_json::from_slice(&request.body).expect("JSON");
    value["accepting"].as_str().expect("a word").to_owned()
}

//! An announce service that notes when each report arrived.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use super::lock;

/// A report that a server is accepting work, or that it is not.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// When it had arrived completely.
    pub at: Instant,
    pub accepting: bool,
}

/// The announce service. Dropping it stops its threads.
pub struct Announce {
    /// The addresses at which it listens; it is the same service at both.
    pub addresses: [SocketAddr; 2],
    reports: Arc<Mutex<Vec<Report>>>,
    down: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl Announce {
    /// Starts on free ports.
    pub fn start() -> std::io::Result<Announce> {
        let reports = Arc::<Mutex<Vec<Report>>>::default();
        let (down, stopped) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let listeners = [TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?];
        let addresses = [listeners[0].local_addr()?, listeners[1].local_addr()?];
        for listener in listeners {
            let (reports, down, stopped) = (reports.clone(), down.clone(), stopped.clone());
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    if stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let (reports, down) = (reports.clone(), down.clone());
                    thread::spawn(move || read_reports(&stream, &reports, &down));
                }
            });
        }
        Ok(Announce { addresses, reports, down, stopped })
    }

    /// Makes the service close connections instead of answering, or answer again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// All reports so far, in the order of their arrival.
    pub fn reports(&self) -> Vec<Report> {
        lock(&self.reports).clone()
    }
}

impl Drop for Announce {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Each connection makes one thread look at the flag.
        for address in self.addresses {
            let _ = TcpStream::connect(address);
        }
    }
}

fn read_reports(stream: &TcpStream, reports: &Mutex<Vec<Report>>, down: &AtomicBool) {
    let mut reader = BufReader::new(stream);
    while let Some(body) = read_body(&mut reader) {
        if down.load(Ordering::SeqCst) {
            return;
        }
        let accepting = body.windows(4).any(|bytes| bytes == b"true");
        lock(reports).push(Report { at: Instant::now(), accepting });
        let mut writer = stream;
        if writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Reads one request and returns its body; `None` at the end of the connection.
fn read_body(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

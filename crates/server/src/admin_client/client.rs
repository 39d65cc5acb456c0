//! The client of a server's fleet port: each request has a connection of its own.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use umberloom_membership::wire::Key;
use umberloom_operator_config::Fleet;

use super::error::AdminError;
use crate::wire::fleet::{
    encode_frame, parse_header, FleetReply, FleetRequest, FleetRequestKind, FleetResponse, FrameKind,
    HEADER_BYTES,
};

/// Time limit for connecting and for each read and write. If the response has not arrived after this time, no
/// further frame is read.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends requests to one server of a fleet.
pub struct AdminClient {
    key: Key,
    server: SocketAddr,
}

impl AdminClient {
    /// Creates a client for the server whose fleet address is `server`.
    pub fn new(fleet: &Fleet, server: SocketAddr) -> AdminClient {
        let key = Key::new(&fleet.membership.fleet, &fleet.membership.secret);
        AdminClient { key, server }
    }

    /// The server's address.
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// The error for a response that does not fit the request.
    pub fn unexpected_response(&self) -> AdminError {
        AdminError::UnexpectedResponse { server: self.server }
    }

    /// Sends a request, and waits for the response.
    pub fn request(&self, kind: FleetRequestKind) -> Result<FleetReply, AdminError> {
        let mut stream = self.connect().map_err(|e| self.connection_error(e))?;
        let number = request_number();
        let sealed = self.key.seal(&FleetRequest { number, kind });
        stream.write_all(&encode_frame(FrameKind::Request, &sealed)).map_err(|e| self.connection_error(e))?;
        self.read_response(&mut stream, number)
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.server, TIMEOUT)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.set_write_timeout(Some(TIMEOUT))?;
        Ok(stream)
    }

    /// Reads frames until the response to the request with this number arrives.
    fn read_response(&self, stream: &mut TcpStream, number: u64) -> Result<FleetReply, AdminError> {
        let server = self.server;
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            let mut header = [0; HEADER_BYTES];
            stream.read_exact(&mut header).map_err(|source| AdminError::NoResponse { server, source })?;
            let (kind, length) = parse_header(header).ok_or(AdminError::InvalidFrame { server })?;
            let mut content = vec![0; length];
            stream.read_exact(&mut content).map_err(|e| self.connection_error(e))?;
            match self.key.open::<FleetResponse>(&content, content.len()) {
                Ok(response) if kind == FrameKind::Response && response.number == number => {
                    return Ok(response.reply);
                }
                Ok(_) => {}
                Err(reason) => {
                    return Err(AdminError::Untrusted { server, reason: format!("{reason:?}") });
                }
            }
        }
        Err(AdminError::Timeout { server, seconds: TIMEOUT.as_secs() })
    }

    fn connection_error(&self, source: io::Error) -> AdminError {
        AdminError::Connection { server: self.server, source }
    }
}

/// A request number, taken from the time. It only has to differ from the numbers of other clients' requests.
fn request_number() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}

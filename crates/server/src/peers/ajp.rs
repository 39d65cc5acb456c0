//! Calls to a dependency over AJP: one at a time on a connection, as over HTTP.

use std::io::{Error, ErrorKind};
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use umberloom_ajp::client::{ClientConnection, Event};
use umberloom_ajp::request::Request;

use super::stream::{self, ReadResult};
use crate::wire::buffer::Buffer;
use crate::wire::http::{self, Reply};

/// A connection that was idle for at least this long is pinged before it is reused.
pub const PING_AFTER_IDLE: Duration = Duration::from_secs(1);
/// Time limit for the answer to a ping. A connection without one is closed; no call was sent on it.
pub const PING_TIMEOUT: Duration = Duration::from_millis(100);

/// How a dependency is called over AJP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AjpConfig {
    /// The secret that the dependency requires, if any.
    pub secret: Option<String>,
    /// Maximum size of a packet in bytes, configured alike at both ends.
    pub packet_bytes: usize,
}

/// Whether the peer answers a ping within [`PING_TIMEOUT`].
pub async fn is_alive(stream: &Async<TcpStream>, ajp: &AjpConfig) -> bool {
    let mut client = ClientConnection::new(ajp.packet_bytes);
    let ping = async {
        client.send_ping().map_err(|_| Error::from(ErrorKind::InvalidInput))?;
        match next_event(stream, &mut client, &mut Buffer::new(ajp.packet_bytes)).await? {
            Event::Pong => Ok(()),
            _ => Err(Error::from(ErrorKind::InvalidData)),
        }
    };
    matches!(stream::with_timeout(PING_TIMEOUT, ping).await, Some(Ok(())))
}

/// Makes one call and returns its reply in the form of an HTTP reply.
pub async fn exchange(
    stream: &Async<TcpStream>,
    ajp: &AjpConfig,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<Reply> {
    let mut request = Request::new("POST", path);
    request.headers =
        headers.iter().map(|(name, value)| (name.to_ascii_lowercase(), (*value).to_owned())).collect();
    request.secret = ajp.secret.as_ref().map(|secret| secret.clone().into_bytes());
    let mut client = ClientConnection::new(ajp.packet_bytes);
    client.send_request(&request, body).map_err(|e| Error::new(ErrorKind::InvalidInput, e))?;
    let mut buffer = Buffer::new(ajp.packet_bytes);
    let mut reply =
        Reply { status: 0, headers: Vec::new(), body: Vec::new(), keep_alive: false, encoded_bytes: 0 };
    loop {
        match next_event(stream, &mut client, &mut buffer).await? {
            Event::Head(head) => {
                reply.status = head.status;
                reply.headers = head.headers;
            }
            Event::Body(part) if reply.body.len() + part.len() <= http::MAX_BODY_BYTES => {
                reply.body.extend(part);
            }
            Event::Body(_) => return Err(ErrorKind::InvalidData.into()),
            Event::End(reuse) => {
                // Bytes after the end belong to no call, so the connection is not reused.
                reply.keep_alive = reuse && buffer.unread().is_empty();
                return Ok(reply);
            }
            Event::Pong => return Err(ErrorKind::InvalidData.into()),
        }
    }
}

/// Writes the queued packets and reads until the next event.
async fn next_event(
    stream: &Async<TcpStream>,
    client: &mut ClientConnection,
    buffer: &mut Buffer,
) -> std::io::Result<Event> {
    loop {
        let out = std::mem::take(&mut client.output);
        stream::write_all(stream, &out).await?;
        let (used, event) =
            client.decode(buffer.unread()).map_err(|e| Error::new(ErrorKind::InvalidData, e))?;
        buffer.consume(used);
        match event {
            Some(event) => return Ok(event),
            None if used > 0 => continue,
            None => {}
        }
        match stream::read(stream, buffer)? {
            ReadResult::Bytes(_) => {}
            ReadResult::Closed => return Err(ErrorKind::UnexpectedEof.into()),
            ReadResult::WouldBlock => stream.readable().await?,
        }
    }
}

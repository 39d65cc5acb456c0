//! The server side of a connection.

use crate::data::Reader;
use crate::packet::{self, Sender};
use crate::request::{self, Request};
use crate::response::{self, code};
use crate::{DecodeError, EncodeError};

/// The packet code of a request to shut down.
const SHUTDOWN: u8 = 7;
/// The packet code of a ping.
const CPING: u8 = 10;
/// Bytes of a packet around a chunk of the response body: packet header, code, length and the terminating
/// zero byte.
const RESPONSE_CHUNK_OVERHEAD_BYTES: usize = packet::HEADER_BYTES + 4;
/// Bytes of a packet around a chunk of the request body: packet header and length.
const REQUEST_CHUNK_OVERHEAD_BYTES: usize = packet::HEADER_BYTES + 2;

/// What a decoded packet contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request. [`ServerConnection::awaits_body`] tells whether a body follows.
    Request(Box<Request>),
    /// A chunk of the request body; `true` for the last one.
    Body(Vec<u8>, bool),
    /// A ping, to be answered with [`ServerConnection::send_pong`].
    Ping,
    /// A request to shut down. It must be ignored, since anybody who can connect can send it.
    Shutdown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No request is open: the next one can be received.
    Idle,
    /// The request body is being received. `remaining` is the number of bytes to come, if the length is
    /// known; `chunk_requested` tells whether the next chunk was requested.
    Body { remaining: Option<u64>, chunk_requested: bool },
    /// The request is complete and not answered yet.
    AwaitingResponse,
    /// The connection can't carry another request.
    Closed,
}

/// The server side of one connection.
#[derive(Clone, Debug)]
pub struct ServerConnection {
    max_packet_bytes: usize,
    state: State,
    /// Bytes to be sent to the client. The application writes and empties it.
    pub output: Vec<u8>,
}

impl ServerConnection {
    /// Returns the state of a new connection with this maximum packet size, which is clamped to the allowed
    /// range.
    pub fn new(max_packet_bytes: usize) -> ServerConnection {
        let max_packet_bytes = max_packet_bytes.clamp(packet::DEFAULT_PACKET_BYTES, packet::MAX_PACKET_BYTES);
        ServerConnection { max_packet_bytes, state: State::Idle, output: Vec::new() }
    }

    /// Decodes the packet at the start of `bytes`. Returns the number of bytes consumed (0 if the packet is
    /// incomplete) and the event. After an error the connection must not be used any more.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<(usize, Option<Event>), DecodeError> {
        let Some(packet) = packet::parse_packet(bytes, Sender::Client, self.max_packet_bytes)? else {
            return Ok((0, None));
        };
        let content = &bytes[packet.content.clone()];
        let event = match self.state {
            State::Idle => self.handle_idle_packet(content)?,
            State::Body { remaining, chunk_requested: true } => self.handle_body_chunk(content, remaining)?,
            State::Body { chunk_requested: false, .. } => {
                return Err(DecodeError("body chunk that was not requested"))
            }
            State::AwaitingResponse => {
                return Err(DecodeError("packet received before the previous request was answered"))
            }
            State::Closed => return Err(DecodeError("packet received after the last response")),
        };
        Ok((packet.size, Some(event)))
    }

    /// Handles a packet on an idle connection, which must be a request, a ping or a request to shut down.
    fn handle_idle_packet(&mut self, content: &[u8]) -> Result<Event, DecodeError> {
        let mut reader = Reader::new(content);
        match (reader.byte()?, reader.remaining()) {
            (request::FORWARD, _) => {
                let request = Request::read(&mut reader)?;
                let length = request.content_length()?;
                if length.is_some() && request.is_chunked() {
                    return Err(DecodeError("request has both Content-Length and Transfer-Encoding"));
                }
                self.state = match length {
                    // The client sends the first chunk of a body of known length without a request for it.
                    Some(length) if length > 0 => {
                        State::Body { remaining: Some(length), chunk_requested: true }
                    }
                    None if request.is_chunked() => State::Body { remaining: None, chunk_requested: false },
                    _ => State::AwaitingResponse,
                };
                Ok(Event::Request(Box::new(request)))
            }
            (CPING, []) => Ok(Event::Ping),
            (SHUTDOWN, []) => Ok(Event::Shutdown),
            _ => Err(DecodeError("unknown packet code from the client")),
        }
    }

    fn handle_body_chunk(&mut self, content: &[u8], remaining: Option<u64>) -> Result<Event, DecodeError> {
        let chunk = match *content {
            [] => &[][..],
            [high, low, ref chunk @ ..] if usize::from(u16::from_be_bytes([high, low])) == chunk.len() => {
                chunk
            }
            _ => return Err(DecodeError("length of a body chunk does not match its packet")),
        };
        let size = chunk.len() as u64;
        let is_last = match remaining {
            Some(remaining) if size > remaining => {
                return Err(DecodeError("body is longer than its Content-Length"))
            }
            Some(remaining) if size == 0 && remaining > 0 => {
                return Err(DecodeError("body is shorter than its Content-Length"))
            }
            Some(remaining) => remaining == size,
            None => size == 0,
        };
        let remaining = remaining.map(|remaining| remaining - size);
        self.state =
            if is_last { State::AwaitingResponse } else { State::Body { remaining, chunk_requested: false } };
        Ok(Event::Body(chunk.to_vec(), is_last))
    }

    /// Whether chunks of the request body are still to be received.
    pub fn awaits_body(&self) -> bool {
        matches!(self.state, State::Body { .. })
    }

    /// Whether no request is open, so that the connection can be reused or closed.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle
    }

    /// Whether the connection must be closed once the output is written.
    pub fn should_close(&self) -> bool {
        self.state == State::Closed
    }

    /// Requests the next chunk of the request body, unless it was already requested.
    pub fn request_body_chunk(&mut self) {
        if let State::Body { remaining, chunk_requested: false } = self.state {
            let max_chunk_bytes = (self.max_packet_bytes - REQUEST_CHUNK_OVERHEAD_BYTES) as u64;
            let chunk_bytes = remaining.unwrap_or(max_chunk_bytes).min(max_chunk_bytes) as u16;
            let [high, low] = chunk_bytes.to_be_bytes();
            packet::write_packet(&mut self.output, Sender::Server, &[code::GET_BODY, high, low]);
            self.state = State::Body { remaining, chunk_requested: true };
        }
    }

    /// Answers a ping.
    pub fn send_pong(&mut self) {
        packet::write_packet(&mut self.output, Sender::Server, &[code::CPONG]);
    }

    /// Sends the complete response. With `reuse` the connection can carry another request, unless the body of
    /// this one was not received completely. Nothing is sent if the headers do not fit a packet.
    pub fn send_response(
        &mut self,
        status: u16,
        reason: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        reuse: bool,
    ) -> Result<(), EncodeError> {
        if matches!(self.state, State::Idle | State::Closed) {
            return Err(EncodeError::OutOfTurn);
        }
        let mut head = Vec::new();
        response::write_head(&mut head, status, reason, headers)?;
        if head.len() + packet::HEADER_BYTES > self.max_packet_bytes {
            return Err(EncodeError::TooLong);
        }
        packet::write_packet(&mut self.output, Sender::Server, &head);
        for chunk in body.chunks(self.max_packet_bytes - RESPONSE_CHUNK_OVERHEAD_BYTES) {
            let mut content = Vec::with_capacity(chunk.len() + RESPONSE_CHUNK_OVERHEAD_BYTES);
            response::write_body(&mut content, chunk);
            packet::write_packet(&mut self.output, Sender::Server, &content);
        }
        self.write_end(reuse);
        Ok(())
    }

    /// Writes the packet that ends a response.
    fn write_end(&mut self, reuse: bool) {
        let reuse = reuse && self.state == State::AwaitingResponse;
        packet::write_packet(&mut self.output, Sender::Server, &[code::END, u8::from(reuse)]);
        self.state = if reuse { State::Idle } else { State::Closed };
    }
}

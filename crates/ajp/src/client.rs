//! The client side of a connection.

use crate::packet::{self, Sender};
use crate::request::Request;
use crate::response::{Head, Response};
use crate::{DecodeError, EncodeError};

/// The packet code of a ping.
const CPING: u8 = 10;
/// Bytes of a packet around a chunk of the request body: packet header and length.
const REQUEST_CHUNK_OVERHEAD_BYTES: usize = packet::HEADER_BYTES + 2;

/// What a decoded packet contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The status and the headers of the response.
    Head(Head),
    /// A chunk of the response body.
    Body(Vec<u8>),
    /// The end of the response; `true` if the connection can carry another request.
    End(bool),
    /// The answer to a ping.
    Pong,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// A request or a ping can be sent.
    Idle,
    /// A ping was sent and not answered yet.
    AwaitingPong,
    /// A request was sent and its response is not complete.
    AwaitingResponse {
        /// The whole request body.
        body: Vec<u8>,
        /// How many bytes of the body were sent.
        sent_bytes: usize,
        /// Whether the status and the headers of the response were received.
        head_received: bool,
    },
    /// The connection can't carry another request.
    Closed,
}

/// The client side of one connection.
#[derive(Clone, Debug)]
pub struct ClientConnection {
    max_packet_bytes: usize,
    state: State,
    /// Bytes to be sent to the server. The application writes and empties it.
    pub output: Vec<u8>,
}

impl ClientConnection {
    /// Returns the state of a new connection with this maximum packet size, which is clamped to the allowed
    /// range.
    pub fn new(max_packet_bytes: usize) -> ClientConnection {
        let max_packet_bytes = max_packet_bytes.clamp(packet::DEFAULT_PACKET_BYTES, packet::MAX_PACKET_BYTES);
        ClientConnection { max_packet_bytes, state: State::Idle, output: Vec::new() }
    }

    /// Sends a request. If it has a body, its Content-Length is set and the first chunk is sent along; the
    /// other chunks are sent when the server requests them. Nothing is sent if the headers do not fit a
    /// packet.
    pub fn send_request(&mut self, request: &Request, body: &[u8]) -> Result<(), EncodeError> {
        if self.state != State::Idle {
            return Err(EncodeError::OutOfTurn);
        }
        let mut content = Vec::new();
        if body.is_empty() {
            request.write(&mut content)?;
        } else {
            let mut with_length = request.clone();
            with_length.headers.retain(|(name, _)| name != "content-length" && name != "transfer-encoding");
            with_length.headers.push(("content-length".to_owned(), body.len().to_string()));
            with_length.write(&mut content)?;
        }
        if content.len() + packet::HEADER_BYTES > self.max_packet_bytes {
            return Err(EncodeError::TooLong);
        }
        packet::write_packet(&mut self.output, Sender::Client, &content);
        self.state = State::AwaitingResponse { body: body.to_vec(), sent_bytes: 0, head_received: false };
        if !body.is_empty() {
            self.send_body_chunk(usize::from(u16::MAX));
        }
        Ok(())
    }

    /// Sends a ping, to check a connection that was idle for long.
    pub fn send_ping(&mut self) -> Result<(), EncodeError> {
        if self.state != State::Idle {
            return Err(EncodeError::OutOfTurn);
        }
        packet::write_packet(&mut self.output, Sender::Client, &[CPING]);
        self.state = State::AwaitingPong;
        Ok(())
    }

    /// Sends the next chunk of the request body, of at most `requested_bytes`.
    fn send_body_chunk(&mut self, requested_bytes: usize) {
        let max_chunk_bytes = self.max_packet_bytes - REQUEST_CHUNK_OVERHEAD_BYTES;
        let State::AwaitingResponse { body, sent_bytes, .. } = &mut self.state else { return };
        let unsent = &body[*sent_bytes..];
        let chunk = &unsent[..unsent.len().min(requested_bytes).min(max_chunk_bytes)];
        let mut content = Vec::with_capacity(chunk.len() + 2);
        if !chunk.is_empty() {
            content.extend_from_slice(&(chunk.len() as u16).to_be_bytes());
            content.extend_from_slice(chunk);
        }
        *sent_bytes += chunk.len();
        // Without bytes left to send, the empty packet tells the server that the body is complete.
        packet::write_packet(&mut self.output, Sender::Client, &content);
    }

    /// Decodes the packet at the start of `bytes`. Returns the number of bytes consumed (0 if the packet is
    /// incomplete) and the event. A request for a body chunk is answered here and gives no event. After an
    /// error the connection must not be used any more.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<(usize, Option<Event>), DecodeError> {
        let Some(packet) = packet::parse_packet(bytes, Sender::Server, self.max_packet_bytes)? else {
            return Ok((0, None));
        };
        let response = Response::read(&bytes[packet.content.clone()])?;
        Ok((packet.size, self.handle_response(response)?))
    }

    fn handle_response(&mut self, response: Response) -> Result<Option<Event>, DecodeError> {
        match (&mut self.state, response) {
            (State::AwaitingPong, Response::Pong) => {
                self.state = State::Idle;
                Ok(Some(Event::Pong))
            }
            (State::AwaitingResponse { .. }, Response::GetBody(requested_bytes)) => {
                self.send_body_chunk(usize::from(requested_bytes));
                Ok(None)
            }
            (State::AwaitingResponse { head_received, .. }, Response::Head(head)) if !*head_received => {
                *head_received = true;
                Ok(Some(Event::Head(head)))
            }
            (State::AwaitingResponse { head_received: true, .. }, Response::Body(chunk)) => {
                Ok(Some(Event::Body(chunk)))
            }
            (State::AwaitingResponse { head_received: true, .. }, Response::End(reuse)) => {
                self.state = if reuse { State::Idle } else { State::Closed };
                Ok(Some(Event::End(reuse)))
            }
            _ => Err(DecodeError("unexpected packet from the server")),
        }
    }

    /// Whether another request can be sent.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle
    }
}

//! The end that asks.

use crate::packet::{self, Sender};
use crate::request::Request;
use crate::response::{Head, Response};
use crate::{DecodeError, EncodeError};

const CPING: u8 = 10;
/// What a part of a request's body takes besides its bytes.
const AROUND: usize = packet::HEADER_BYTES + 2;

/// What came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Status and headers of the answer.
    Head(Head),
    /// A part of its body.
    Body(Vec<u8>),
    /// The end; `true`: the connection can carry another request.
    End(bool),
    /// Somebody is there.
    Pong,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Idle,
    /// A ping is out.
    Pinged,
    /// A request is out, with what is left of its body and whether the head of its answer has come.
    Asked {
        left: Vec<u8>,
        sent: usize,
        head: bool,
    },
    Over,
}

/// One connection, seen from the end that asks.
#[derive(Clone, Debug)]
pub struct ClientConnection {
    largest: usize,
    state: State,
    /// What is to be written to the other end; the host empties it.
    pub output: Vec<u8>,
}

impl ClientConnection {
    /// A new connection, whose packets are no larger than this; out of range it is brought into it.
    pub fn new(largest: usize) -> ClientConnection {
        let largest = largest.clamp(packet::DEFAULT_PACKET_BYTES, packet::MAX_PACKET_BYTES);
        ClientConnection { largest, state: State::Idle, output: Vec::new() }
    }

    /// Sends a request. A body is stated by its length and its first part goes along; the rest is sent as it is asked
    /// for. Headers that do not fit a packet change nothing.
    pub fn send_request(&mut self, request: &Request, body: &[u8]) -> Result<(), EncodeError> {
        if self.state != State::Idle {
            return Err(EncodeError::OutOfTurn);
        }
        let mut content = Vec::new();
        if body.is_empty() {
            request.write(&mut content)?;
        } else {
            let mut stated = request.clone();
            stated.headers.retain(|(name, _)| name != "content-length" && name != "transfer-encoding");
            stated.headers.push(("content-length".to_owned(), body.len().to_string()));
            stated.write(&mut content)?;
        }
        if content.len() + packet::HEADER_BYTES > self.largest {
            return Err(EncodeError::TooLong);
        }
        packet::write_packet(&mut self.output, Sender::Client, &content);
        self.state = State::Asked { left: body.to_vec(), sent: 0, head: false };
        if !body.is_empty() {
            self.send_part(usize::from(u16::MAX));
        }
        Ok(())
    }

    /// Asks whether anybody is there, on a connection that was idle for long.
    pub fn send_ping(&mut self) -> Result<(), EncodeError> {
        if self.state != State::Idle {
            return Err(EncodeError::OutOfTurn);
        }
        packet::write_packet(&mut self.output, Sender::Client, &[CPING]);
        self.state = State::Pinged;
        Ok(())
    }

    fn send_part(&mut self, wanted: usize) {
        let room = self.largest - AROUND;
        let State::Asked { left, sent, .. } = &mut self.state else { return };
        let part = &left[*sent..];
        let part = &part[..part.len().min(wanted).min(room)];
        let mut content = Vec::with_capacity(part.len() + 2);
        if !part.is_empty() {
            content.extend_from_slice(&(part.len() as u16).to_be_bytes());
            content.extend_from_slice(part);
        }
        *sent += part.len();
        // Without anything left an empty packet says so.
        packet::write_packet(&mut self.output, Sender::Client, &content);
    }

    /// Takes the first packet off `bytes`: how many bytes it took (0: it is not yet whole) and what came of it. What
    /// asks for more of the body is answered here. After an error nothing more may be taken.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<(usize, Option<Event>), DecodeError> {
        let Some(packet) = packet::parse_packet(bytes, Sender::Server, self.largest)? else {
            return Ok((0, None));
        };
        let response = Response::read(&bytes[packet.content.clone()])?;
        Ok((packet.size, self.heed(response)?))
    }

    fn heed(&mut self, response: Response) -> Result<Option<Event>, DecodeError> {
        match (&mut self.state, response) {
            (State::Pinged, Response::Pong) => {
                self.state = State::Idle;
                Ok(Some(Event::Pong))
            }
            (State::Asked { .. }, Response::GetBody(wanted)) => {
                self.send_part(usize::from(wanted));
                Ok(None)
            }
            (State::Asked { head, .. }, Response::Head(found)) if !*head => {
                *head = true;
                Ok(Some(Event::Head(found)))
            }
            (State::Asked { head: true, .. }, Response::Body(part)) => Ok(Some(Event::Body(part))),
            (State::Asked { head: true, .. }, Response::End(reuse)) => {
                self.state = if reuse { State::Idle } else { State::Over };
                Ok(Some(Event::End(reuse)))
            }
            _ => Err(DecodeError("an answer out of turn")),
        }
    }

    /// Whether another request may be sent.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle
    }
}

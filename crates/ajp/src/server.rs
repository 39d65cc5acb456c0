//! The end that answers.

use crate::data::Reader;
use crate::packet::{self, Sender};
use crate::request::{self, Request};
use crate::response::{self, code};
use crate::{DecodeError, EncodeError};

const SHUTDOWN: u8 = 7;
const CPING: u8 = 10;
/// What a part of a body takes besides its bytes: header, code, length and the zero byte behind it.
const AROUND: usize = packet::HEADER_BYTES + 4;
/// The same in a part of a request's body: header and length.
const AROUND_ASKED: usize = packet::HEADER_BYTES + 2;

/// What came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request. Whether a body follows is said by [`ServerConnection::awaits_body`].
    Request(Box<Request>),
    /// A part of its body; `true` with the last.
    Body(Vec<u8>, bool),
    /// The other end wants to know whether anybody is here; [`ServerConnection::send_pong`] says so.
    Ping,
    /// The other end wants this one to shut down. It is not to be obeyed: anybody who can connect can say it.
    Shutdown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A request may come.
    Idle,
    /// A body comes: so much of it is left, where its length was stated, and whether the next part was asked for.
    Body { left: Option<u64>, asked: bool },
    /// The request is whole and its answer is owed.
    Owing,
    /// The connection can't carry another request.
    Over,
}

/// One connection, seen from the end that answers.
#[derive(Clone, Debug)]
pub struct ServerConnection {
    largest: usize,
    state: State,
    /// What is to be written to the other end; the host empties it.
    pub output: Vec<u8>,
}

impl ServerConnection {
    /// A new connection, whose packets are no larger than this; out of range it is brought into it.
    pub fn new(largest: usize) -> ServerConnection {
        let largest = largest.clamp(packet::DEFAULT_PACKET_BYTES, packet::MAX_PACKET_BYTES);
        ServerConnection { largest, state: State::Idle, output: Vec::new() }
    }

    /// Takes the first packet off `bytes`: how many bytes it took (0: it is not yet whole) and what came of it.
    /// After an error nothing more may be taken.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<(usize, Option<Event>), DecodeError> {
        let Some(packet) = packet::parse_packet(bytes, Sender::Client, self.largest)? else {
            return Ok((0, None));
        };
        let content = &bytes[packet.content.clone()];
        let event = match self.state {
            State::Idle => self.begin(content)?,
            State::Body { left, asked: true } => self.part(content, left)?,
            State::Body { asked: false, .. } => {
                return Err(DecodeError("a part of a body that was not asked for"))
            }
            State::Owing => return Err(DecodeError("a packet before the end of the request before it")),
            State::Over => return Err(DecodeError("a packet behind the last answer")),
        };
        Ok((packet.size, Some(event)))
    }

    fn begin(&mut self, content: &[u8]) -> Result<Event, DecodeError> {
        let mut reader = Reader::new(content);
        match (reader.byte()?, reader.remaining()) {
            (request::FORWARD, _) => {
                let request = Request::read(&mut reader)?;
                let length = request.content_length()?;
                if length.is_some() && request.is_chunked() {
                    return Err(DecodeError("a body with a length and in chunks"));
                }
                self.state = match length {
                    // The first part of a body whose length is stated comes without being asked for.
                    Some(left) if left > 0 => State::Body { left: Some(left), asked: true },
                    None if request.is_chunked() => State::Body { left: None, asked: false },
                    _ => State::Owing,
                };
                Ok(Event::Request(Box::new(request)))
            }
            (CPING, []) => Ok(Event::Ping),
            (SHUTDOWN, []) => Ok(Event::Shutdown),
            _ => Err(DecodeError("no known packet")),
        }
    }

    fn part(&mut self, content: &[u8], left: Option<u64>) -> Result<Event, DecodeError> {
        let part = match *content {
            [] => &[][..],
            [high, low, ref part @ ..] if usize::from(u16::from_be_bytes([high, low])) == part.len() => part,
            _ => return Err(DecodeError("a part of a body whose length does not fit")),
        };
        let size = part.len() as u64;
        let last = match left {
            Some(left) if size > left => return Err(DecodeError("a body longer than stated")),
            Some(left) if size == 0 && left > 0 => return Err(DecodeError("a body shorter than stated")),
            Some(left) => left == size,
            None => size == 0,
        };
        let left = left.map(|left| left - size);
        self.state = if last { State::Owing } else { State::Body { left, asked: false } };
        Ok(Event::Body(part.to_vec(), last))
    }

    /// Whether parts of a body are still to come.
    pub fn awaits_body(&self) -> bool {
        matches!(self.state, State::Body { .. })
    }

    /// Whether nothing is open: a request may come, or the connection be closed.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle
    }

    /// Whether the connection is to be closed once all is written.
    pub fn should_close(&self) -> bool {
        self.state == State::Over
    }

    /// Asks for the next part of the body, unless it is on its way.
    pub fn request_body_chunk(&mut self) {
        if let State::Body { left, asked: false } = self.state {
            let room = (self.largest - AROUND_ASKED) as u64;
            let wanted = left.unwrap_or(room).min(room) as u16;
            let [high, low] = wanted.to_be_bytes();
            packet::write_packet(&mut self.output, Sender::Server, &[code::GET_BODY, high, low]);
            self.state = State::Body { left, asked: true };
        }
    }

    /// Says that somebody is here.
    pub fn send_pong(&mut self) {
        packet::write_packet(&mut self.output, Sender::Server, &[code::CPONG]);
    }

    /// Gives the whole answer. The connection can carry another request where `reuse` is wanted and the body of this
    /// one has come whole. Headers that do not fit a packet change nothing.
    pub fn send_response(
        &mut self,
        status: u16,
        reason: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        reuse: bool,
    ) -> Result<(), EncodeError> {
        if matches!(self.state, State::Idle | State::Over) {
            return Err(EncodeError::OutOfTurn);
        }
        let mut head = Vec::new();
        response::write_head(&mut head, status, reason, headers)?;
        if head.len() + packet::HEADER_BYTES > self.largest {
            return Err(EncodeError::TooLong);
        }
        packet::write_packet(&mut self.output, Sender::Server, &head);
        for part in body.chunks(self.largest - AROUND) {
            let mut content = Vec::with_capacity(part.len() + AROUND);
            response::write_body(&mut content, part);
            packet::write_packet(&mut self.output, Sender::Server, &content);
        }
        self.end(reuse);
        Ok(())
    }

    fn end(&mut self, reuse: bool) {
        let reuse = reuse && self.state == State::Owing;
        packet::write_packet(&mut self.output, Sender::Server, &[code::END, u8::from(reuse)]);
        self.state = if reuse { State::Idle } else { State::Over };
    }
}

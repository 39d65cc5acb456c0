//! The Responder role of a FastCGI connection: records in, complete requests out.

use std::collections::BTreeMap;

use super::fastcgi::{self, kind, ProtocolStatus};
use super::MalformedInput;

/// Requests that may be open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Most bytes of parameters that a request may have.
pub const MAX_PARAMS_BYTES: usize = 16 * 1024;
/// Most bytes of a request's body.
pub const MAX_BODY_BYTES: usize = 2 * 1024;

const RESPONDER_ROLE: u16 = 1;
const KEEP_CONNECTION_FLAG: u8 = 1;

/// What the records of a connection add up to.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A whole request.
    Request {
        /// Its number on this connection, free for another once it is answered.
        slot: u16,
        /// Its parameters, not yet taken apart.
        params: Vec<u8>,
        /// Its body.
        body: Vec<u8>,
        /// Parameters or body are longer than allowed. They were thrown away, and what of the request is
        /// still to come is read past: its answer need not wait for that.
        too_long: bool,
    },
    /// The balancer gives an open request up.
    Abort(u16),
}

#[derive(Default)]
struct PartialRequest {
    params: Vec<u8>,
    body: Vec<u8>,
    too_long: bool,
    params_done: bool,
    complete: bool,
    keep_connection: bool,
}

impl PartialRequest {
    fn add(&mut self, kind: u8, bytes: &[u8]) {
        let (to, most) = match kind {
            kind::PARAMS => (&mut self.params, MAX_PARAMS_BYTES),
            _ => (&mut self.body, MAX_BODY_BYTES),
        };
        if to.len() + bytes.len() > most {
            // Lengths are checked before memory is taken.
            self.too_long = true;
        }
        if !self.too_long {
            to.extend_from_slice(bytes);
        }
    }
}

/// The requests under way on one connection, and the bytes to be written on it.
#[derive(Default)]
pub struct Responder {
    max_connections: usize,
    slots: BTreeMap<u16, PartialRequest>,
    /// What is to be written to the peer.
    pub output: Vec<u8>,
    close_requested: bool,
}

impl Responder {
    /// For one of so many connections.
    pub fn new(max_connections: usize) -> Responder {
        Responder { max_connections, ..Responder::default() }
    }

    /// Handles the first record of `bytes`: how many bytes it took (0 if it is not complete yet), and what it
    /// completed.
    pub fn handle_record(&mut self, bytes: &[u8]) -> Result<(usize, Option<Incoming>), MalformedInput> {
        let Some(record) = fastcgi::parse_record(bytes)? else { return Ok((0, None)) };
        let content = &bytes[record.content.clone()];
        let news = match (record.kind, record.request) {
            (kind::GET_VALUES, 0) => self.answer_get_values(content).map(|()| None)?,
            (unknown, 0) => {
                fastcgi::write_record(
                    &mut self.output,
                    kind::UNKNOWN_TYPE,
                    0,
                    &[unknown, 0, 0, 0, 0, 0, 0, 0],
                );
                None
            }
            (kind::BEGIN_REQUEST, slot) => self.begin_request(slot, content).map(|()| None)?,
            (kind::ABORT_REQUEST, slot) => self.handle_abort(slot),
            (kind @ (kind::PARAMS | kind::STDIN), slot) => self.handle_stream_data(kind, slot, content),
            // Kinds that no Responder needs, or of requests that are over.
            _ => None,
        };
        Ok((record.size, news))
    }

    /// Requests that are begun and not answered.
    pub fn open_requests(&self) -> usize {
        self.slots.len()
    }

    /// Bytes that requests still on their way in take.
    pub fn buffered_bytes(&self) -> usize {
        self.slots.values().map(|s| s.params.len() + s.body.len()).sum()
    }

    /// Requests that are complete and not answered.
    pub fn complete_requests(&self) -> usize {
        self.slots.values().filter(|slot| slot.complete).count()
    }

    /// Whether the peer asked for the connection to be closed after an answer that has been given.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested
    }

    /// Forgets requests of which the end will never come.
    pub fn drop_partial(&mut self) {
        self.slots.retain(|_, slot| slot.complete);
    }

    /// Answers a request.
    pub fn respond(&mut self, slot: u16, content: &[u8]) {
        if self.remove_request(slot) {
            fastcgi::write_record(&mut self.output, kind::STDOUT, slot, content);
            fastcgi::write_record(&mut self.output, kind::STDOUT, slot, &[]);
            fastcgi::write_end_request(&mut self.output, slot, 0, ProtocolStatus::Complete);
        }
    }

    /// Rejects a request by protocol status.
    pub fn reject(&mut self, slot: u16, status: ProtocolStatus) {
        self.remove_request(slot);
        fastcgi::write_end_request(&mut self.output, slot, 0, status);
    }

    fn remove_request(&mut self, slot: u16) -> bool {
        let ended = self.slots.remove(&slot);
        self.close_requested |= ended.as_ref().is_some_and(|s| !s.keep_connection);
        ended.is_some()
    }

    fn begin_request(&mut self, slot: u16, content: &[u8]) -> Result<(), MalformedInput> {
        let [role_high, role_low, flags, ..] = *content else {
            return Err(MalformedInput::ShortBeginRequest);
        };
        if self.slots.contains_key(&slot) {
            return Err(MalformedInput::DuplicateRequest);
        }
        if u16::from_be_bytes([role_high, role_low]) != RESPONDER_ROLE {
            self.reject(slot, ProtocolStatus::UnknownRole);
        } else if self.slots.len() >= MAX_OPEN_REQUESTS {
            self.reject(slot, ProtocolStatus::Overloaded);
        } else {
            self.slots.insert(
                slot,
                PartialRequest {
                    keep_connection: flags & KEEP_CONNECTION_FLAG != 0,
                    ..PartialRequest::default()
                },
            );
        }
        Ok(())
    }

    /// Ends a request that the load balancer has aborted, without a response.
    pub fn end_aborted(&mut self, slot: u16) {
        if self.remove_request(slot) {
            fastcgi::write_end_request(&mut self.output, slot, 1, ProtocolStatus::Complete);
        }
    }

    /// A request that is not complete ends here; the others are known elsewhere, and have to be released there first.
    fn handle_abort(&mut self, slot: u16) -> Option<Incoming> {
        if self.slots.get(&slot)?.complete {
            return Some(Incoming::Abort(slot));
        }
        self.end_aborted(slot);
        None
    }

    fn handle_stream_data(&mut self, kind: u8, slot: u16, content: &[u8]) -> Option<Incoming> {
        let open = self.slots.get_mut(&slot).filter(|s| !s.complete)?;
        if kind == kind::PARAMS && content.is_empty() {
            open.params_done = true;
        } else if kind == kind::STDIN && content.is_empty() {
            // A request without any parameters has no stream of them that could end.
            open.complete = true;
            let (params, body) = (std::mem::take(&mut open.params), std::mem::take(&mut open.body));
            return Some(Incoming::Request { slot, params, body, too_long: open.too_long });
        } else if kind == kind::STDIN || !open.params_done {
            open.add(kind, content);
            if open.too_long {
                // With more behind it than anybody may send, the connection is of no more use after this.
                (open.complete, open.keep_connection) = (true, false);
                (open.params, open.body) = Default::default();
                let (params, body) = Default::default();
                return Some(Incoming::Request { slot, params, body, too_long: true });
            }
        }
        None
    }

    fn answer_get_values(&mut self, content: &[u8]) -> Result<(), MalformedInput> {
        let mut answer = Vec::new();
        for (name, _) in fastcgi::parse_pairs(content)? {
            let value = match name {
                b"FCGI_MAX_CONNS" => self.max_connections.to_string(),
                b"FCGI_MAX_REQS" => (self.max_connections * MAX_OPEN_REQUESTS).to_string(),
                b"FCGI_MPXS_CONNS" => "1".to_owned(),
                _ => continue,
            };
            fastcgi::write_pair(&mut answer, name, value.as_bytes());
        }
        fastcgi::write_record(&mut self.output, kind::GET_VALUES_RESULT, 0, &answer);
        Ok(())
    }
}

#[cfg(test)]
mod tests;

//! The Responder role of a FastCGI connection: assembles records into requests and encodes the responses.

use std::collections::BTreeMap;

use super::fastcgi::{self, kind, ProtocolStatus};
use super::MalformedInput;

/// Limit on the requests that are open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Limit on the parameters of a request, in bytes.
pub const MAX_PARAMS_BYTES: usize = 16 * 1024;
/// Limit on the body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 2 * 1024;

/// The number of the Responder role in a begin-request record.
const RESPONDER_ROLE: u16 = 1;
/// The flag of a begin-request record that keeps the connection open after the response.
const KEEP_CONNECTION_FLAG: u8 = 1;

/// An event decoded from the records received on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A complete request.
    Request {
        /// The request id on this connection, which can be used again once the request is answered.
        slot: u16,
        /// The encoded parameters.
        params: Vec<u8>,
        /// The body.
        body: Vec<u8>,
        /// Whether the parameters or the body exceed their limit. Both are then empty, and the records of the
        /// request that still arrive are skipped: it can be answered without waiting for them.
        too_long: bool,
    },
    /// The load balancer aborts a complete request, given by its id, that is not answered yet.
    Abort(u16),
}

/// A request that was begun and not answered yet.
#[derive(Default)]
struct OpenRequest {
    params: Vec<u8>,
    body: Vec<u8>,
    too_long: bool,
    /// Whether the end of the parameters was received.
    params_done: bool,
    /// Whether the request was handed out as [`Incoming::Request`], which empties `params` and `body`.
    complete: bool,
    keep_connection: bool,
}

impl OpenRequest {
    /// Appends the content of a `PARAMS` or `STDIN` record.
    fn append(&mut self, kind: u8, bytes: &[u8]) {
        let (stream, max_bytes) = match kind {
            kind::PARAMS => (&mut self.params, MAX_PARAMS_BYTES),
            _ => (&mut self.body, MAX_BODY_BYTES),
        };
        // Checked before the bytes are copied, so that no memory is allocated beyond the limit.
        if stream.len() + bytes.len() > max_bytes {
            self.too_long = true;
        }
        if !self.too_long {
            stream.extend_from_slice(bytes);
        }
    }
}

/// The open requests of one connection, and the bytes to be written on it.
#[derive(Default)]
pub struct Responder {
    max_connections: usize,
    /// The open requests by request id.
    slots: BTreeMap<u16, OpenRequest>,
    /// Bytes to be written to the peer.
    pub output: Vec<u8>,
    close_requested: bool,
}

impl Responder {
    /// Returns the state of a new connection. The peer is told on request that `max_connections` are
    /// possible.
    pub fn new(max_connections: usize) -> Responder {
        Responder { max_connections, ..Responder::default() }
    }

    /// Handles the record at the start of `bytes`. Returns the number of bytes consumed (0 if the record is
    /// incomplete), and the request that the record completes or aborts.
    pub fn handle_record(&mut self, bytes: &[u8]) -> Result<(usize, Option<Incoming>), MalformedInput> {
        let Some(record) = fastcgi::parse_record(bytes)? else { return Ok((0, None)) };
        let content = &bytes[record.content.clone()];
        let incoming = match (record.kind, record.request) {
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
            // Record types that the Responder role does not use.
            _ => None,
        };
        Ok((record.size, incoming))
    }

    /// Number of requests that were begun and are not answered.
    pub fn open_requests(&self) -> usize {
        self.slots.len()
    }

    /// Bytes of parameters and bodies held for requests that are not complete.
    pub fn buffered_bytes(&self) -> usize {
        self.slots.values().map(|request| request.params.len() + request.body.len()).sum()
    }

    /// Number of requests that are complete and not answered.
    pub fn complete_requests(&self) -> usize {
        self.slots.values().filter(|request| request.complete).count()
    }

    /// Whether the connection is to be closed: a request without the keep-connection flag, or one that was
    /// too long, has been answered.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested
    }

    /// Drops the incomplete requests, as when the peer will send nothing more.
    pub fn drop_partial(&mut self) {
        self.slots.retain(|_, request| request.complete);
    }

    /// Writes the response to a request. Does nothing if the request is not open.
    pub fn respond(&mut self, slot: u16, content: &[u8]) {
        if self.remove_request(slot) {
            fastcgi::write_record(&mut self.output, kind::STDOUT, slot, content);
            fastcgi::write_record(&mut self.output, kind::STDOUT, slot, &[]);
            fastcgi::write_end_request(&mut self.output, slot, 0, ProtocolStatus::Complete);
        }
    }

    /// Ends a request with a protocol status and without a response.
    pub fn reject(&mut self, slot: u16, status: ProtocolStatus) {
        self.remove_request(slot);
        fastcgi::write_end_request(&mut self.output, slot, 0, status);
    }

    fn remove_request(&mut self, slot: u16) -> bool {
        let removed = self.slots.remove(&slot);
        self.close_requested |= removed.as_ref().is_some_and(|request| !request.keep_connection);
        removed.is_some()
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
                OpenRequest { keep_connection: flags & KEEP_CONNECTION_FLAG != 0, ..OpenRequest::default() },
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

    /// Ends an incomplete request at once. A complete one has been handed out, so its abort is passed on, and
    /// it stays open until it is answered or [`Responder::end_aborted`] is called.
    fn handle_abort(&mut self, slot: u16) -> Option<Incoming> {
        if self.slots.get(&slot)?.complete {
            return Some(Incoming::Abort(slot));
        }
        self.end_aborted(slot);
        None
    }

    fn handle_stream_data(&mut self, kind: u8, slot: u16, content: &[u8]) -> Option<Incoming> {
        let request = self.slots.get_mut(&slot).filter(|request| !request.complete)?;
        if kind == kind::PARAMS && content.is_empty() {
            request.params_done = true;
        } else if kind == kind::STDIN && content.is_empty() {
            // `params_done` is not required: a request without parameters may have no such stream.
            request.complete = true;
            let (params, body) = (std::mem::take(&mut request.params), std::mem::take(&mut request.body));
            return Some(Incoming::Request { slot, params, body, too_long: request.too_long });
        } else if kind == kind::STDIN || !request.params_done {
            request.append(kind, content);
            if request.too_long {
                // The peer exceeds the limits, so the connection is closed after the response.
                (request.complete, request.keep_connection) = (true, false);
                (request.params, request.body) = Default::default();
                let (params, body) = Default::default();
                return Some(Incoming::Request { slot, params, body, too_long: true });
            }
        }
        None
    }

    fn answer_get_values(&mut self, content: &[u8]) -> Result<(), MalformedInput> {
        let mut values = Vec::new();
        for (name, _) in fastcgi::parse_pairs(content)? {
            let value = match name {
                b"FCGI_MAX_CONNS" => self.max_connections.to_string(),
                b"FCGI_MAX_REQS" => (self.max_connections * MAX_OPEN_REQUESTS).to_string(),
                b"FCGI_MPXS_CONNS" => "1".to_owned(),
                _ => continue,
            };
            fastcgi::write_pair(&mut values, name, value.as_bytes());
        }
        fastcgi::write_record(&mut self.output, kind::GET_VALUES_RESULT, 0, &values);
        Ok(())
    }
}

#[cfg(test)]
mod tests;

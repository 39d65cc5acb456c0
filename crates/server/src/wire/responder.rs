//! The Responder role of a FastCGI connection: assembles records into requests and encodes the responses.
//!
//! The content of parameters and bodies is taken as it arrives, so that no record has to be buffered whole.
//! What can't be kept, because it is too long or there is no memory for it, is skipped, and the records
//! behind it are read as usual.

mod open_request;

use std::collections::BTreeMap;

use self::open_request::OpenRequest;
use super::fastcgi::{self, kind, ProtocolStatus, RecordHeader, HEADER_BYTES};
use super::MalformedInput;

pub use self::open_request::DroppedContent;

/// Limit on the requests that are open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Limit on the parameters of a request, in bytes.
pub const MAX_PARAMS_BYTES: usize = 16 * 1024;
/// Limit on the body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 2 * 1024;
/// Limit on the content of a record that is handled as a whole, in bytes: one that begins a request, or
/// queries variables.
pub const MAX_CONTROL_BYTES: usize = 1024;
/// The most bytes that [`Responder::handle_bytes`] leaves unconsumed.
pub const MAX_UNCONSUMED_BYTES: usize = HEADER_BYTES + MAX_CONTROL_BYTES + fastcgi::MAX_PADDING_BYTES;

/// The number of the Responder role in a begin-request record.
const RESPONDER_ROLE: u16 = 1;
/// The flag of a begin-request record that keeps the connection open after the response.
const KEEP_CONNECTION_FLAG: u8 = 1;

/// An event decoded from the records received on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A request that was received completely, or that is too long.
    Request {
        /// The request id on this connection, which can be used again once the request is answered.
        slot: u16,
        /// The encoded parameters.
        params: Vec<u8>,
        /// The body.
        body: Vec<u8>,
        /// Why `params` and `body` are empty; `None` if they were kept.
        dropped: Option<DroppedContent>,
    },
    /// The load balancer aborts a complete request, given by its id, that is not answered yet.
    Abort(u16),
    /// A request, given by its id, was begun beyond [`MAX_OPEN_REQUESTS`]. It is not open, and its further
    /// records are skipped; [`Responder::respond_unopened`] or [`Responder::reject`] answers it.
    TooManyOpen(u16),
}

/// A record whose header was read and whose content is taken as it arrives.
#[derive(Clone, Copy)]
struct PartialRecord {
    /// [`kind::PARAMS`] or [`kind::STDIN`].
    kind: u8,
    slot: u16,
    remaining_bytes: usize,
    padding_bytes: usize,
}

/// The open requests of one connection, and the bytes to be written on it.
#[derive(Default)]
pub struct Responder {
    max_connections: usize,
    /// The open requests by request id.
    slots: BTreeMap<u16, OpenRequest>,
    /// The record whose content comes next.
    partial_record: Option<PartialRecord>,
    /// Bytes to be skipped: padding, and the content of records that are not used.
    skipped_bytes: usize,
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

    /// Handles what is at the start of `bytes`: a record's header, some of its content, or a record that is
    /// handled as a whole. Returns the number of bytes consumed, and the request that is completed or
    /// aborted.
    ///
    /// 0 bytes are consumed if more have to be received first; then [`MAX_UNCONSUMED_BYTES`] are enough. A
    /// request for which [`Responder::buffered_bytes`] would exceed `max_buffered_bytes` loses its content.
    pub fn handle_bytes(
        &mut self,
        bytes: &[u8],
        max_buffered_bytes: usize,
    ) -> Result<(usize, Option<Incoming>), MalformedInput> {
        if self.skipped_bytes > 0 {
            let skipped = self.skipped_bytes.min(bytes.len());
            self.skipped_bytes -= skipped;
            return Ok((skipped, None));
        }
        if let Some(record) = self.partial_record {
            return Ok(self.handle_content(record, bytes, max_buffered_bytes));
        }
        let Some(header) = fastcgi::parse_header(bytes)? else { return Ok((0, None)) };
        match (header.kind, header.request) {
            (kind::GET_VALUES, 0) => self.handle_control(header, bytes),
            (unknown, 0) => {
                let content = [unknown, 0, 0, 0, 0, 0, 0, 0];
                fastcgi::write_record(&mut self.output, kind::UNKNOWN_TYPE, 0, &content);
                Ok((self.skip_record(header), None))
            }
            (kind @ (kind::PARAMS | kind::STDIN), slot) if header.content_bytes > 0 => {
                let (remaining_bytes, padding_bytes) = (header.content_bytes, header.padding_bytes);
                let record = PartialRecord { kind, slot, remaining_bytes, padding_bytes };
                let (consumed, incoming) =
                    self.handle_content(record, &bytes[HEADER_BYTES..], max_buffered_bytes);
                Ok((HEADER_BYTES + consumed, incoming))
            }
            (kind::BEGIN_REQUEST | kind::ABORT_REQUEST | kind::PARAMS | kind::STDIN, _) => {
                self.handle_control(header, bytes)
            }
            // Record types that the Responder role does not use.
            _ => Ok((self.skip_record(header), None)),
        }
    }

    /// Skips the content and padding of a record. Returns the size of its header.
    fn skip_record(&mut self, header: RecordHeader) -> usize {
        self.skipped_bytes = header.content_bytes + header.padding_bytes;
        HEADER_BYTES
    }

    /// Handles a record as a whole, once all of it has been received: what it completes must not be answered
    /// before its last byte has arrived.
    fn handle_control(
        &mut self,
        header: RecordHeader,
        bytes: &[u8],
    ) -> Result<(usize, Option<Incoming>), MalformedInput> {
        if header.content_bytes > MAX_CONTROL_BYTES {
            return Err(MalformedInput::ControlRecordTooLong);
        }
        let content_end = HEADER_BYTES + header.content_bytes;
        let size = content_end + header.padding_bytes;
        if bytes.len() < size {
            return Ok((0, None));
        }
        let content = &bytes[HEADER_BYTES..content_end];
        let slot = header.request;
        let incoming = match header.kind {
            kind::GET_VALUES => self.answer_get_values(content).map(|()| None)?,
            kind::BEGIN_REQUEST => self.begin_request(slot, content)?,
            kind::ABORT_REQUEST => self.handle_abort(slot),
            kind => self.handle_stream_end(kind, slot),
        };
        Ok((size, incoming))
    }

    /// Takes content of a record from the start of `bytes`, and its padding as far as it has been received.
    fn handle_content(
        &mut self,
        record: PartialRecord,
        bytes: &[u8],
        max_buffered_bytes: usize,
    ) -> (usize, Option<Incoming>) {
        let (content, after) = bytes.split_at(record.remaining_bytes.min(bytes.len()));
        let incoming = self.handle_stream_data(record.kind, record.slot, content, max_buffered_bytes);
        let remaining_bytes = record.remaining_bytes - content.len();
        if remaining_bytes > 0 {
            self.partial_record = Some(PartialRecord { remaining_bytes, ..record });
            return (content.len(), incoming);
        }
        let padding_bytes = record.padding_bytes.min(after.len());
        self.partial_record = None;
        self.skipped_bytes = record.padding_bytes - padding_bytes;
        (content.len() + padding_bytes, incoming)
    }

    /// Number of requests that were begun and are not answered.
    pub fn open_requests(&self) -> usize {
        self.slots.len()
    }

    /// Memory allocated for the parameters and bodies of requests that are not complete.
    pub fn buffered_bytes(&self) -> usize {
        self.slots.values().map(OpenRequest::buffered_bytes).sum()
    }

    /// Whether the bytes handled so far end within a record.
    pub fn is_within_record(&self) -> bool {
        self.partial_record.is_some() || self.skipped_bytes > 0
    }

    /// Number of requests that are complete and not answered.
    pub fn complete_requests(&self) -> usize {
        self.slots.values().filter(|request| request.complete).count()
    }

    /// Whether the connection is to be closed once nothing is open on it: a request without the keep-connection
    /// flag, or one that was too long, has been answered.
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
            self.respond_unopened(slot, content);
        }
    }

    /// Writes the response to a request that was not opened (see [`Incoming::TooManyOpen`]).
    pub fn respond_unopened(&mut self, slot: u16, content: &[u8]) {
        fastcgi::write_record(&mut self.output, kind::STDOUT, slot, content);
        fastcgi::write_record(&mut self.output, kind::STDOUT, slot, &[]);
        fastcgi::write_end_request(&mut self.output, slot, 0, ProtocolStatus::Complete);
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

    fn begin_request(&mut self, slot: u16, content: &[u8]) -> Result<Option<Incoming>, MalformedInput> {
        let [role_high, role_low, flags, ..] = *content else {
            return Err(MalformedInput::ShortBeginRequest);
        };
        if self.slots.contains_key(&slot) {
            return Err(MalformedInput::DuplicateRequest);
        }
        if u16::from_be_bytes([role_high, role_low]) != RESPONDER_ROLE {
            self.reject(slot, ProtocolStatus::UnknownRole);
        } else if self.slots.len() >= MAX_OPEN_REQUESTS {
            return Ok(Some(Incoming::TooManyOpen(slot)));
        } else {
            self.slots.insert(slot, OpenRequest::new(flags & KEEP_CONNECTION_FLAG != 0));
        }
        Ok(None)
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

    /// Handles the end of a request's parameters or of its body, which completes the request.
    fn handle_stream_end(&mut self, kind: u8, slot: u16) -> Option<Incoming> {
        let request = self.slots.get_mut(&slot).filter(|request| !request.complete)?;
        if kind == kind::PARAMS {
            request.params_done = true;
            return None;
        }
        // `params_done` is not required: a request without parameters may have no such stream.
        Some(request.complete(slot))
    }

    fn handle_stream_data(
        &mut self,
        kind: u8,
        slot: u16,
        content: &[u8],
        max_buffered_bytes: usize,
    ) -> Option<Incoming> {
        let mut request = self.slots.get_mut(&slot).filter(|request| !request.complete)?;
        if kind == kind::PARAMS && request.params_done {
            return None;
        }
        let mut has_memory = true;
        let growth = request.growth(kind, content.len());
        if growth > 0 {
            has_memory = self.buffered_bytes() + growth <= max_buffered_bytes;
            request = self.slots.get_mut(&slot)?;
        }
        request.append(kind, content, has_memory);
        if request.dropped != Some(DroppedContent::TooLong) {
            return None;
        }
        // The peer exceeds the limits, so the connection is closed after the response.
        request.keep_connection = false;
        Some(request.complete(slot))
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

//! Turns received bytes into messages for admission, and limits how long a request may take to arrive.

use std::time::Instant;

use slog::{debug, warn};
use umberloom::interface::Micros;

use super::{Connection, OpenRequest, MAX_BYTES_WITHOUT_REQUEST, MAX_OVERDUE_BYTES, REQUEST_TIMEOUT};
use crate::wire::responder::{DroppedContent, Incoming};
use crate::wire::MalformedInput;

/// Why nothing more is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum InputEnd {
    #[error("closed by the peer")]
    ClosedByPeer,
    #[error("no complete request received in time")]
    RequestOverdue,
    #[error("a new connection needs the table entry")]
    Evicted,
    #[error("too many bytes received without a complete request")]
    TooManyBytes,
    #[error("malformed input: {0}")]
    Malformed(#[from] MalformedInput),
}

impl Connection {
    /// Whether to read from the socket: not after its input was closed, and not while too much waits to be
    /// written.
    pub(super) fn wants_input(&self) -> bool {
        !self.input_closed && self.memory.may_read(self.unwritten_bytes())
    }

    /// Handles the buffer's content after `bytes` more bytes were read into it.
    pub(super) async fn handle_input(&mut self, bytes: usize) {
        self.bytes_without_request += bytes;
        self.handle_records().await;
        self.track_partial_request();
        self.limit_useless_bytes(bytes);
    }

    /// Stops reading for good and drops requests that are not complete.
    pub(super) fn stop_reading(&mut self, reason: InputEnd) {
        self.log_input_end(reason);
        self.input_closed = true;
        self.request_awaited_since = None;
        self.responder.drop_partial();
        self.buffer.consume(usize::MAX);
    }

    /// Logs that nothing more is read. What the peer writes from then on is never answered, so this is a
    /// warning if requests are open and the peer has not closed its side.
    fn log_input_end(&self, reason: InputEnd) {
        let complete = self.responder.complete_requests();
        let incomplete = self.responder.open_requests() - complete;
        debug!(self.context.log, "stopped reading connection"; "incomplete_requests" => incomplete,
            "complete_requests" => complete, "bytes" => self.bytes_without_request, "reason" => %reason);
        if complete == 0 || reason == InputEnd::ClosedByPeer {
            return;
        }
        let Some(suppressed) = self.context.input_end_throttle.borrow_mut().record(Instant::now()) else {
            return;
        };
        warn!(self.context.log, "stopped reading connection with open requests"; "suppressed" => suppressed,
            "incomplete_requests" => incomplete, "complete_requests" => complete, "reason" => %reason);
    }

    /// Whether [`Connection::request_deadline`] has passed.
    pub(super) fn is_request_overdue(&self) -> bool {
        self.request_deadline().is_some_and(|deadline| self.context.clock.now() >= deadline)
    }

    /// When the connection is closed if no complete request arrives; `None` if there is no limit now.
    ///
    /// While responses are awaited there is none: the connection could not be closed, and whatever the peer
    /// writes on it until then has to be answered.
    pub(super) fn request_deadline(&self) -> Option<Micros> {
        let awaited_since = self.request_awaited_since.filter(|_| self.responder.complete_requests() == 0);
        let complete_by = awaited_since.map(|since| since + REQUEST_TIMEOUT);
        complete_by.into_iter().chain(self.reject_until).min()
    }

    /// Gives a request that is being received all its time again, from the response to another one on.
    pub(super) fn restart_request_timeout(&mut self) {
        let now = self.context.clock.now();
        self.request_awaited_since = self.request_awaited_since.map(|_| now);
    }

    /// Starts the timeout of a partly received request.
    fn track_partial_request(&mut self) {
        let has_partial_request = self.responder.open_requests() > self.responder.complete_requests();
        let is_within_record = self.responder.is_within_record() || !self.buffer.unread().is_empty();
        if has_partial_request || is_within_record {
            self.request_awaited_since = self.request_awaited_since.or(Some(self.context.clock.now()));
        } else if self.activity.has_requested.get() {
            self.request_awaited_since = None;
        }
    }

    /// Stops reading from a peer that sends without end: without completing a request, or after the time limit.
    /// What is read after the time limit may have arrived before it, if the process stood still meanwhile.
    fn limit_useless_bytes(&mut self, bytes: usize) {
        self.overdue_bytes = if self.is_request_overdue() { self.overdue_bytes + bytes } else { 0 };
        // A connection whose requests are all rejected may have sent all that a peer may have open.
        let max_overdue_bytes =
            if self.reject_until.is_some() { MAX_BYTES_WITHOUT_REQUEST } else { MAX_OVERDUE_BYTES };
        if self.overdue_bytes > max_overdue_bytes {
            self.stop_reading(InputEnd::RequestOverdue);
        } else if self.bytes_without_request > MAX_BYTES_WITHOUT_REQUEST {
            self.stop_reading(InputEnd::TooManyBytes);
        }
    }

    /// Handles the bytes in the buffer and removes them from it, as far as they need no further ones.
    async fn handle_records(&mut self) {
        let mut max_buffered_bytes = self.memory.receive_limit();
        loop {
            match self.responder.handle_bytes(self.buffer.unread(), max_buffered_bytes) {
                Ok((0, _)) => return,
                Ok((consumed, incoming)) => {
                    self.buffer.consume(consumed);
                    if let Some(incoming) = incoming {
                        self.update_memory();
                        self.handle_incoming(incoming).await;
                        max_buffered_bytes = self.memory.receive_limit();
                    }
                }
                Err(e) => return self.stop_reading(e.into()),
            }
        }
    }

    async fn handle_incoming(&mut self, incoming: Incoming) {
        let message = match incoming {
            // The slot stays in use until admission has answered the cancellation, so that the responses in
            // transit never outnumber the open requests that the mailbox has room for.
            Incoming::Abort(slot) => {
                self.open_requests.get(&slot).cloned().and_then(OpenRequest::into_cancellation)
            }
            Incoming::TooManyOpen(slot) => {
                self.answer_unopened(slot);
                None
            }
            Incoming::Request { slot, params, body, dropped } => {
                if dropped != Some(DroppedContent::TooLong) {
                    // Any complete request proves that the peer speaks the protocol.
                    self.activity.has_requested.set(true);
                }
                self.request_awaited_since = None;
                self.bytes_without_request = 0;
                let serial = self.context.last_serial.get() + 1;
                self.context.last_serial.set(serial);
                self.open_requests.insert(slot, OpenRequest { serial, id: None });
                self.accept_request(slot, serial, &params, body, dropped)
            }
        };
        if let Some(message) = message {
            // Fails only if admission has ended, which happens at process exit.
            let _ = self.context.admission.send(message).await;
        }
    }
}

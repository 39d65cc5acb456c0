//! Queues responses and writes them to the socket.

use super::Connection;
use crate::messages::caller::Response;
use crate::peers::stream;
use crate::wire::cgi;

/// The output buffer shrinks to this many bytes once all of it is written.
const IDLE_OUTPUT_CAPACITY: usize = 8 * 1024;

impl Connection {
    /// Queues the response to the request in `slot`, unless that request was answered already.
    pub(super) fn respond(&mut self, slot: u16, serial: u64, response: &Response) {
        if self.open_requests.get(&slot).is_none_or(|request| request.serial != serial) {
            return;
        }
        self.open_requests.remove(&slot);
        self.restart_request_timeout();
        if *response == Response::Aborted {
            return self.responder.end_aborted(slot);
        }
        let content = cgi::encode_response(response, self.context.load_hint.get());
        self.responder.respond(slot, &content);
    }

    /// Bytes queued and not written yet.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.responder.output.len() - self.written_bytes
    }

    /// Writes as much queued output as the socket accepts without waiting.
    pub(super) fn write(&mut self) -> std::io::Result<()> {
        let written = stream::write(&self.stream, &self.responder.output[self.written_bytes..])?;
        self.written_bytes += written;
        if written > 0 {
            self.record_activity();
            self.has_written = true;
        }
        if written > 0 || self.unwritten_bytes() == 0 {
            self.last_write_progress = self.context.clock.now();
        }
        if self.unwritten_bytes() == 0 {
            self.written_bytes = 0;
            self.responder.output.clear();
            self.responder.output.shrink_to(IDLE_OUTPUT_CAPACITY);
        }
        Ok(())
    }
}

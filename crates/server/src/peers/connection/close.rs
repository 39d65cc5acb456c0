//! Decides when a connection is finished, and closes it without losing a response.

use std::net::Shutdown;
use std::time::Duration;

use futures_lite::future;

use super::Connection;
use crate::peers::stream::{self, ReadResult};
use crate::wire::buffer::Buffer;

/// How long the peer has to close its side after this server has closed its own. This is well over the time
/// in which a request can cross the close on the network.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Limit on the bytes read and discarded while waiting for the peer to close.
const MAX_LINGER_BYTES: usize = 1024 * 1024;

impl Connection {
    /// Whether nothing is left to do on the connection. `has_read` says whether bytes were read in this step.
    pub(super) fn is_finished(&self, has_read: bool) -> bool {
        let responses_written = self.responder.complete_requests() == 0 && self.unwritten_bytes() == 0;
        let input_idle = !has_read && self.responder.open_requests() == 0 && self.buffer.unread().is_empty();
        let closes_when_idle = self.draining || self.responder.is_close_requested();
        responses_written && (self.input_closed || (closes_when_idle && input_idle))
    }

    /// Whether a new connection needs the table entry and no complete request has arrived on this one.
    pub(super) fn is_evictable(&self) -> bool {
        self.evicted && self.responder.complete_requests() == 0 && !self.activity.has_requested.get()
    }

    /// Rejects the requests that are complete by now, without waiting for more, and closes. Used when the
    /// table and its overflow are full: the request may have been written long ago, and a close without a
    /// response would lose it.
    pub async fn reject_received_and_close(mut self) {
        self.reject_until = Some(0);
        while let Ok(ReadResult::Bytes(bytes)) = stream::read(&self.stream, &mut self.buffer) {
            if self.input_closed {
                break;
            }
            self.handle_input(bytes).await;
        }
        // The connection is dropped in any case, so errors of the last write and the shutdown are ignored.
        let _ = self.write();
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Closes without losing a response: shuts down the sending side, then reads until the peer closes.
    /// Closing with unread bytes would send a reset, which may overtake a response or the end of the stream;
    /// and a load balancer resends a request that crosses the close only if it sees an orderly end.
    pub(super) async fn close(&mut self) {
        self.activity.awaiting_peer_close.set(true);
        // Fails if the connection is already lost, and then there is nothing to shut down.
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        // If nothing was written, no response is in transit: only bytes already received are read, without
        // waiting, as the table entry may be needed.
        let timeout = if self.has_written { LINGER_TIMEOUT } else { Duration::ZERO };
        stream::with_timeout(timeout, self.discard_input()).await;
    }

    /// Reads and discards until the peer closes or has sent [`MAX_LINGER_BYTES`].
    async fn discard_input(&self) {
        let mut buffer = Buffer::new(4 * 1024);
        let mut remaining = MAX_LINGER_BYTES;
        while let Ok(result) = stream::read(&self.stream, &mut buffer) {
            match result {
                _ if remaining == 0 => return,
                ReadResult::Bytes(bytes) => {
                    buffer.consume(bytes);
                    remaining = remaining.saturating_sub(bytes);
                    // A peer that never stops sending must not block the other connections.
                    future::yield_now().await;
                }
                ReadResult::Closed => return,
                ReadResult::WouldBlock if self.stream.readable().await.is_err() => return,
                ReadResult::WouldBlock => {}
            }
        }
    }
}

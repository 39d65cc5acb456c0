//! When a connection is over, and how it is closed without losing a response.

use std::net::Shutdown;
use std::time::Duration;

use futures_lite::future;

use super::Connection;
use crate::peers::stream::{self, ReadResult};
use crate::wire::buffer::Buffer;

/// After our end of the stream, the peer has this long to end its own: well over the time within which a request may
/// cross a close.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// And no more bytes than this are read from it meanwhile.
const MAX_LINGER_BYTES: usize = 1024 * 1024;

impl Connection {
    /// Whether nothing is left to do on the connection, given whether something has just been read.
    pub(super) fn is_finished(&self, busy: bool) -> bool {
        let nothing_owed = self.responder.complete_requests() == 0 && self.unwritten_bytes() == 0;
        let quiet = !busy && self.responder.open_requests() == 0 && self.buffer.unread().is_empty();
        nothing_owed && (self.input_closed || self.responder.is_close_requested() || (self.draining && quiet))
    }

    /// Its place is needed, and it never sent a complete request.
    pub(super) fn is_evictable(&self) -> bool {
        self.evicted && self.responder.complete_requests() == 0 && !self.activity.has_requested.get()
    }

    /// Rejects the requests that are complete by now, without waiting for more, and closes: for a peer that finds no
    /// place at all. Its request may have been written long ago, and a close without an answer would lose it.
    pub async fn reject_received_and_close(mut self) {
        self.reject_until = Some(0);
        while let Ok(ReadResult::Bytes(bytes)) = stream::read(&self.stream, &mut self.buffer) {
            if self.input_closed {
                break;
            }
            self.handle_input(bytes).await;
        }
        // The connection ends here in any case: what can't be written or shut down is lost with it.
        let _ = self.write();
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Closes so that no response is lost: our end first, then all that the peer still sends is read. A close with
    /// unread bytes would be a reset, which may overtake a response or our end of the stream; and a load balancer
    /// sends a request that crosses the close again only if it sees an orderly end.
    pub(super) async fn close(&mut self) {
        // A stream that is gone already needs no end.
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        // Where nothing was written, no response is on its way: only what is there is read, as its place is needed.
        let timeout = if self.has_written { LINGER_TIMEOUT } else { Duration::ZERO };
        stream::with_timeout(timeout, self.discard_input()).await;
    }

    /// Reads until the peer closes, or has sent [`MAX_LINGER_BYTES`].
    async fn discard_input(&self) {
        let mut buffer = Buffer::new(4 * 1024);
        let mut remaining = MAX_LINGER_BYTES;
        while let Ok(read) = stream::read(&self.stream, &mut buffer) {
            match read {
                _ if remaining == 0 => return,
                ReadResult::Bytes(bytes) => {
                    buffer.consume(bytes);
                    remaining = remaining.saturating_sub(bytes);
                    // A peer that never stops sending would keep all others waiting.
                    future::yield_now().await;
                }
                ReadResult::Closed => return,
                ReadResult::WouldBlock if self.stream.readable().await.is_err() => return,
                ReadResult::WouldBlock => {}
            }
        }
    }
}

//! The tasks of streams between servers: one writes to a peer, one serves a stream that another process
//! opened to this server.

use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt};

use super::streams::InboundFrame;
use crate::peers::stream;
use crate::wire::fleet::{self, FrameKind, HEADER_BYTES};

/// Number of frames that may wait to be written to a member; further ones are dropped, as on a lossy network.
pub(super) const QUEUE_CAPACITY: usize = 64;
/// Number of bulk frames that may wait to be written to a member; further ones are dropped.
pub(super) const BULK_QUEUE_CAPACITY: usize = 16;
/// Time limit for connecting to a peer and for writing one frame. After a timed-out write the connection is
/// closed and the frame lost; after a failed attempt to connect all queued frames are lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed attempt to connect to a peer.
const CONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// The opener closes a stream that was idle for this long; the other end closes it after twice as long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit for receiving the rest of a frame after its first byte.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes read at once.
const READ_BYTES: usize = 4_096;

/// What was received on a stream that another process opened.
pub(super) enum Received {
    /// The kind and content of a frame.
    Frame(FrameKind, Vec<u8>),
    /// The stream has ended.
    Closed,
}

/// Writes frames to a peer, over a connection that is opened when there is a frame to write. A peer that
/// accepts the connection and never reads delays only its own frames. Bulk frames are written only when no
/// other frame waits: a snapshot in transfer must not delay the messages that show this server to be alive.
pub(super) async fn write_to(address: SocketAddr, urgent: Receiver<Vec<u8>>, bulk: Receiver<Vec<u8>>) {
    let mut connection: Option<Async<TcpStream>> = None;
    loop {
        let frame = match next_frame(&urgent, &bulk).await {
            NextFrame::Frame(frame) => frame,
            NextFrame::Idle => {
                connection = None;
                continue;
            }
            NextFrame::QueueClosed => return,
        };
        // A connection that the peer has closed, after a restart or as idle, is replaced by a new one.
        let open = match connection.take().filter(stream::is_silent) {
            Some(open) => Ok(open),
            None => connect(address).await,
        };
        match open {
            Ok(open) => {
                let written = stream::with_timeout(WRITE_TIMEOUT, stream::write_all(&open, &frame)).await;
                connection = matches!(written, Some(Ok(()))).then_some(open);
            }
            Err(_) => {
                Timer::after(CONNECT_BACKOFF).await;
                // Frames that were queued meanwhile are outdated.
                while urgent.try_recv().is_ok() || bulk.try_recv().is_ok() {}
            }
        }
    }
}

/// What [`next_frame`] returns.
enum NextFrame {
    Frame(Vec<u8>),
    /// There was no frame for [`IDLE_TIMEOUT`].
    Idle,
    /// The queue is closed.
    QueueClosed,
}

/// Waits for the next frame to write; urgent frames go before bulk frames.
async fn next_frame(urgent: &Receiver<Vec<u8>>, bulk: &Receiver<Vec<u8>>) -> NextFrame {
    let urgent = async { urgent.recv().await.map_or(NextFrame::QueueClosed, NextFrame::Frame) };
    let bulk = async {
        match bulk.recv().await {
            Ok(frame) => NextFrame::Frame(frame),
            Err(_) => future::pending().await,
        }
    };
    let idle = async {
        Timer::after(IDLE_TIMEOUT).await;
        NextFrame::Idle
    };
    future::or(urgent, future::or(bulk, idle)).await
}

async fn connect(address: SocketAddr) -> Result<Async<TcpStream>> {
    let connected = stream::with_timeout(WRITE_TIMEOUT, Async::<TcpStream>::connect(address)).await;
    let connection = connected.ok_or(ErrorKind::TimedOut)??;
    // If this fails, frames are only delayed.
    let _ = connection.get_ref().set_nodelay(true);
    Ok(connection)
}

/// Reads frames from a stream that another process opened until it ends, and writes replies to it.
pub(super) async fn serve(
    stream_id: u64,
    stream: Async<TcpStream>,
    inbound: Sender<InboundFrame>,
    replies: Receiver<Vec<u8>>,
) {
    let read = async {
        while let Ok(Some((kind, content))) = read_frame(&stream).await {
            let received = Received::Frame(kind, content);
            if inbound.send(InboundFrame { stream_id, received }).await.is_err() {
                return;
            }
        }
    };
    let write = async {
        while let Ok(reply) = replies.recv().await {
            let written = stream::with_timeout(WRITE_TIMEOUT, stream::write_all(&stream, &reply)).await;
            if !matches!(written, Some(Ok(()))) {
                return;
            }
        }
    };
    future::or(read, write).await;
    // Fails only if the actor has ended, which happens at process exit.
    let _ = inbound.send(InboundFrame { stream_id, received: Received::Closed }).await;
}

/// Reads the next frame; `None` if the stream was idle for too long, the frame took too long, or its header
/// is invalid.
async fn read_frame(stream: &Async<TcpStream>) -> Result<Option<(FrameKind, Vec<u8>)>> {
    let mut reader = stream;
    let mut first_byte = [0; 1];
    let first_read = stream::with_timeout(2 * IDLE_TIMEOUT, reader.read_exact(&mut first_byte)).await;
    let Some(first_read) = first_read else { return Ok(None) };
    first_read?;
    stream::with_timeout(FRAME_TIMEOUT, read_remaining_frame(stream, first_byte[0])).await.unwrap_or(Ok(None))
}

/// Reads the rest of the frame whose first byte is `first_byte`.
async fn read_remaining_frame(
    stream: &Async<TcpStream>,
    first_byte: u8,
) -> Result<Option<(FrameKind, Vec<u8>)>> {
    let mut reader = stream;
    let mut header = [0; HEADER_BYTES];
    header[0] = first_byte;
    reader.read_exact(&mut header[1..]).await?;
    let Some((kind, length)) = fleet::parse_header(header) else { return Ok(None) };
    // The length is bounded, and memory beyond the first read is allocated only for bytes that arrive.
    let mut content = Vec::with_capacity(length.min(READ_BYTES));
    let mut bytes = [0; READ_BYTES];
    while content.len() < length {
        let max_read = (length - content.len()).min(bytes.len());
        let read = reader.read(&mut bytes[..max_read]).await?;
        if read == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        content.extend_from_slice(&bytes[..read]);
    }
    Ok(Some((kind, content)))
}

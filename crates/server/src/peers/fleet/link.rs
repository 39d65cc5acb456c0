//! The tasks of streams between servers: one writes to a peer, one serves a stream that somebody opened to this server.

use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt};

use super::streams::InboundFrame;
use crate::peers::stream;
use crate::wire::fleet::{self, FrameKind, HEADER_BYTES};

/// Frames that may wait to be written to a member; more are dropped, as on a network.
pub(super) const QUEUE_CAPACITY: usize = 64;
/// The same for bulk frames.
pub(super) const BULK_QUEUE_CAPACITY: usize = 16;
/// A peer that takes no bytes for this long, or does not accept a connection, is given up; what waits is lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connection to a peer that failed.
const CONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// A stream that carries nothing for this long is closed by its opener; the other end waits twice as long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// A frame must be complete within this time of its first byte.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes read at once.
const READ_BYTES: usize = 4_096;

/// What was received on a stream that somebody opened.
pub(super) enum Received {
    Frame(FrameKind, Vec<u8>),
    /// The stream is over.
    Closed,
}

/// Writes frames to a peer, over a connection made when there is one to write. A peer that accepts and never reads
/// holds up nobody but itself. Bulk frames go when nothing else waits: a snapshot on its way must make nobody look
/// dead.
pub(super) async fn write_to(address: SocketAddr, urgent: Receiver<Vec<u8>>, bulk: Receiver<Vec<u8>>) {
    let mut connection: Option<Async<TcpStream>> = None;
    loop {
        let frame = match next_frame(&urgent, &bulk).await {
            Next::Frame(frame) => frame,
            Next::Idle => {
                connection = None;
                continue;
            }
            Next::Done => return,
        };
        // A connection whose end has arrived is made anew: the peer has restarted, or closed it as idle.
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
                // What has waited meanwhile is outdated.
                while urgent.try_recv().is_ok() || bulk.try_recv().is_ok() {}
            }
        }
    }
}

enum Next {
    Frame(Vec<u8>),
    /// There was none for [`IDLE_TIMEOUT`].
    Idle,
    /// There will be none.
    Done,
}

async fn next_frame(urgent: &Receiver<Vec<u8>>, bulk: &Receiver<Vec<u8>>) -> Next {
    let urgent = async { urgent.recv().await.map_or(Next::Done, Next::Frame) };
    let bulk = async {
        match bulk.recv().await {
            Ok(frame) => Next::Frame(frame),
            Err(_) => future::pending().await,
        }
    };
    let idle = async {
        Timer::after(IDLE_TIMEOUT).await;
        Next::Idle
    };
    future::or(urgent, future::or(bulk, idle)).await
}

async fn connect(address: SocketAddr) -> Result<Async<TcpStream>> {
    let connected = stream::with_timeout(WRITE_TIMEOUT, Async::<TcpStream>::connect(address)).await;
    let connection = connected.ok_or(ErrorKind::TimedOut)??;
    // Without it frames are only later.
    let _ = connection.get_ref().set_nodelay(true);
    Ok(connection)
}

/// Reads frames from a stream that somebody opened until it ends, and writes replies to it.
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
    // The actor is gone only when the program ends.
    let _ = inbound.send(InboundFrame { stream_id, received: Received::Closed }).await;
}

/// The next frame; `None` if the stream has been idle, or sends what is no frame.
async fn read_frame(stream: &Async<TcpStream>) -> Result<Option<(FrameKind, Vec<u8>)>> {
    let mut reader = stream;
    let mut first = [0; 1];
    let begun = stream::with_timeout(2 * IDLE_TIMEOUT, reader.read_exact(&mut first)).await;
    let Some(begun) = begun else { return Ok(None) };
    begun?;
    stream::with_timeout(FRAME_TIMEOUT, read_rest(stream, first[0])).await.unwrap_or(Ok(None))
}

/// The frame that begins with this byte.
async fn read_rest(stream: &Async<TcpStream>, first: u8) -> Result<Option<(FrameKind, Vec<u8>)>> {
    let mut reader = stream;
    let mut header = [0; HEADER_BYTES];
    header[0] = first;
    reader.read_exact(&mut header[1..]).await?;
    let Some((kind, length)) = fleet::parse_header(header) else { return Ok(None) };
    // The length is bounded, and only what arrives takes memory beyond the first read.
    let mut content = Vec::with_capacity(length.min(READ_BYTES));
    let mut bytes = [0; READ_BYTES];
    while content.len() < length {
        let wanted = (length - content.len()).min(bytes.len());
        let read = reader.read(&mut bytes[..wanted]).await?;
        if read == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        content.extend_from_slice(&bytes[..read]);
    }
    Ok(Some((kind, content)))
}

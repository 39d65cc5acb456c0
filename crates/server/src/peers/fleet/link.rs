//! Streams between servers: one that this server opened to each peer, and those that were opened to it.

use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt};

use crate::peers::stream;
use crate::wire::fleet::{self, FrameKind, HEADER_BYTES};

/// Frames that may wait to be written to a member; more are lost, as on a network.
pub const WAITING: usize = 64;
/// The same for what is long and may wait.
pub const BULK: usize = 16;
/// A peer that takes nothing for so long, or does not let us connect, is given up; what waits is lost.
const PATIENCE: Duration = Duration::from_secs(2);
/// Between two connections to a peer that did not come about.
const BACK_OFF: Duration = Duration::from_millis(250);
/// A stream that carries nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(15);
/// A frame that has begun must have come whole within this time.
const WHOLE: Duration = Duration::from_secs(5);

/// What came over a stream that others opened.
pub enum Came {
    /// A frame.
    Frame(FrameKind, Vec<u8>),
    /// Its end.
    End,
}

/// Writes what is given to a peer, over a connection made when something is to be written. A peer that accepts and
/// never reads holds up nobody but itself. What is `bulk` goes when nothing else waits: a snapshot on its way must make
/// nobody look dead.
pub async fn write_to(address: SocketAddr, frames: Receiver<Vec<u8>>, bulk: Receiver<Vec<u8>>) {
    let mut link: Option<Async<TcpStream>> = None;
    loop {
        let first = async { Some(frames.recv().await) };
        let next = future::or(first, async {
            match bulk.recv().await {
                Ok(frame) => Some(Ok(frame)),
                Err(_) => future::pending().await,
            }
        });
        let idle = async {
            Timer::after(IDLE).await;
            None
        };
        let frame = match future::or(next, idle).await {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return,
            None => {
                link = None;
                continue;
            }
        };
        // One whose end has come is made anew: the peer has started again, or closed it as idle.
        let kept = link.take().filter(stream::is_silent);
        let open = match kept {
            Some(open) => Ok(open),
            None => connect(address).await,
        };
        match open {
            Ok(open) => {
                let written = stream::with_timeout(PATIENCE, stream::write_all(&open, &frame)).await;
                link = matches!(written, Some(Ok(()))).then_some(open);
            }
            Err(_) => {
                Timer::after(BACK_OFF).await;
                // What has waited meanwhile is old.
                while frames.try_recv().is_ok() || bulk.try_recv().is_ok() {}
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Async<TcpStream>> {
    let made = stream::with_timeout(PATIENCE, Async::<TcpStream>::connect(address)).await;
    let made = made.ok_or(ErrorKind::TimedOut)??;
    let _ = made.get_ref().set_nodelay(true);
    Ok(made)
}

/// Reads frames from a stream that somebody opened until it ends, and writes answers to it.
pub async fn serve(id: u64, stream: Async<TcpStream>, came: Sender<(u64, Came)>, answers: Receiver<Vec<u8>>) {
    let read = async {
        while let Ok(Some((kind, content))) = frame(&stream).await {
            if came.send((id, Came::Frame(kind, content))).await.is_err() {
                return;
            }
        }
    };
    let write = async {
        while let Ok(answer) = answers.recv().await {
            let written = stream::with_timeout(PATIENCE, stream::write_all(&stream, &answer)).await;
            if !matches!(written, Some(Ok(()))) {
                return;
            }
        }
    };
    future::or(read, write).await;
    let _ = came.send((id, Came::End)).await;
}

/// The next frame; `None` if the stream has been idle, or says what makes no sense.
async fn frame(stream: &Async<TcpStream>) -> Result<Option<(FrameKind, Vec<u8>)>> {
    let mut reader = stream;
    let mut first = [0; 1];
    let Some(begun) = stream::with_timeout(2 * IDLE, reader.read_exact(&mut first)).await else {
        return Ok(None);
    };
    begun?;
    let rest = async {
        let mut start = [first[0], 0, 0, 0, 0];
        reader.read_exact(&mut start[1..HEADER_BYTES]).await?;
        let Some((kind, length)) = fleet::parse_header(start) else { return Ok(None) };
        // What is stated is bounded, and only what comes takes memory beyond a page.
        let mut content = Vec::with_capacity(length.min(4_096));
        let mut part = [0; 4_096];
        while content.len() < length {
            let want = (length - content.len()).min(part.len());
            let got = reader.read(&mut part[..want]).await?;
            if got == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            content.extend_from_slice(&part[..got]);
        }
        Ok(Some((kind, content)))
    };
    stream::with_timeout(WHOLE, rest).await.unwrap_or(Ok(None))
}

//! One call to a dependency, over HTTP or AJP.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::Async;
use umberloom::interface::Outcome;

use super::pool::SharedIdlePool;
use super::CallTarget;
use crate::messages::calls::Call;
use crate::peers::ajp;
use crate::peers::stream::{self, ReadResult};
use crate::wire::buffer::Buffer;
use crate::wire::http::{self, Reply};

/// A call with less time left than this is not sent.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Makes one call; returns its outcome and the body of the reply, if there was one.
pub(super) async fn make_call(
    address: SocketAddr,
    target: &CallTarget,
    pool: &SharedIdlePool,
    call: &Call,
    timeout: Duration,
) -> (Outcome, Vec<u8>) {
    let started_at = Instant::now();
    let Some(stream) = connect(address, target, pool, timeout).await else {
        // Nothing was written, so the call never ran.
        return (Outcome::Unreachable, Vec::new());
    };
    // If this fails, the call is only delayed.
    let _ = stream.get_ref().set_nodelay(true);
    let remaining = timeout.saturating_sub(started_at.elapsed());
    if remaining < MIN_TIMEOUT {
        // Connecting took too long, or the process was stalled. A call whose time is over is not sent, as its
        // capacity at the dependency may already be in use for another call.
        return (Outcome::Unreachable, Vec::new());
    }
    let exchange = send_call(&stream, address, target, call, remaining);
    match stream::with_timeout(remaining, exchange).await {
        // Dropping the stream closes the connection.
        None => (Outcome::TimedOut, Vec::new()),
        Some(Err(_)) => (Outcome::ConnectionLost, Vec::new()),
        Some(Ok(reply)) => {
            if reply.keep_alive {
                pool.borrow_mut().put(address, stream);
            }
            (classify_reply(&reply), reply.body)
        }
    }
}

/// An idle connection, or else a new one; `None` if connecting fails or takes longer than `timeout`.
async fn connect(
    address: SocketAddr,
    target: &CallTarget,
    pool: &SharedIdlePool,
    timeout: Duration,
) -> Option<Async<TcpStream>> {
    loop {
        let idle_connection = pool.borrow_mut().take(address);
        let Some((stream, idle)) = idle_connection else { break };
        let Some(ajp) = target.ajp.as_ref().filter(|_| idle >= ajp::PING_AFTER_IDLE) else {
            return Some(stream);
        };
        if ajp::is_alive(&stream, ajp).await {
            return Some(stream);
        }
        // Nothing of the call has been written, so a connection that does not answer is closed and the next
        // one tried.
    }
    stream::with_timeout(timeout, Async::<TcpStream>::connect(address)).await?.ok()
}

/// Sends the call over the target's protocol and reads its reply.
async fn send_call(
    stream: &Async<TcpStream>,
    address: SocketAddr,
    target: &CallTarget,
    call: &Call,
    remaining: Duration,
) -> std::io::Result<Reply> {
    let remaining_ms = remaining.as_millis().to_string();
    let headers = [("Op-Of", &*call.id.request), ("Op-Wait-Ms", &remaining_ms)];
    if let Some(ajp) = &target.ajp {
        return ajp::exchange(stream, ajp, &target.path, &headers, &call.body).await;
    }
    let request = http::encode_request("POST", &target.path, &address.to_string(), &headers, &call.body);
    exchange(stream, &request).await
}

/// Sends one request over HTTP and reads its reply.
///
/// # Errors
/// If the connection fails or ends before the reply does, or the reply is malformed.
pub async fn exchange(stream: &Async<TcpStream>, request: &[u8]) -> std::io::Result<Reply> {
    stream::write_all(stream, request).await?;
    let mut buffer = Buffer::new(http::MAX_HEAD_BYTES + 2 * http::MAX_BODY_BYTES);
    loop {
        let closed = match stream::read(stream, &mut buffer)? {
            ReadResult::Bytes(_) => false,
            ReadResult::Closed => true,
            ReadResult::WouldBlock => {
                stream.readable().await?;
                continue;
            }
        };
        let unread_bytes = buffer.unread().len();
        match http::parse_reply(buffer.unread(), closed) {
            // A reply without an explicit length that ends with the connection may have been truncated.
            Ok(Some(reply))
                if closed && reply.encoded_bytes == unread_bytes && !reply.has_explicit_length() =>
            {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            Ok(Some(reply)) => {
                let is_reusable = reply.encoded_bytes == unread_bytes && !closed;
                return Ok(Reply { keep_alive: reply.keep_alive && is_reusable, ..reply });
            }
            Ok(None) if closed || buffer.is_full() => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(None) => {}
            Err(_) => return Err(ErrorKind::InvalidData.into()),
        }
    }
}

/// The outcome that a reply reports. Only the header `Op-Not-Begun` proves that the call never ran.
pub(super) fn classify_reply(reply: &Reply) -> Outcome {
    let not_begun = reply.header("op-not-begun") == Some("1");
    match reply.status {
        200 => Outcome::Ok,
        503 if not_begun => Outcome::Rejected,
        409 if not_begun => Outcome::NotStarted,
        504 => Outcome::TimedOut,
        _ => Outcome::Error,
    }
}

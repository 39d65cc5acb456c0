//! Non-blocking reads and writes of a TCP stream, and timeouts.

use std::future::Future;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use crate::wire::buffer::Buffer;

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The number of bytes that were read.
    Bytes(usize),
    /// There is nothing to read at present.
    WouldBlock,
    /// The peer has closed its sending side.
    Closed,
}

/// Reads once, without waiting, into a buffer that must have room.
pub fn read(stream: &Async<TcpStream>, buffer: &mut Buffer) -> io::Result<ReadResult> {
    loop {
        match stream.get_ref().read(buffer.spare_capacity()) {
            Ok(0) => return Ok(ReadResult::Closed),
            Ok(n) => {
                buffer.advance(n);
                return Ok(ReadResult::Bytes(n));
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadResult::WouldBlock),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

/// Writes as much as the socket accepts without waiting; returns the number of bytes written. An error after
/// some bytes were written is left to the next call.
pub fn write(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.get_ref().write(&bytes[written..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => written += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) if written > 0 => break,
            Err(e) => return Err(e),
        }
    }
    Ok(written)
}

/// Writes all bytes, waiting as needed.
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    loop {
        bytes = &bytes[write(stream, bytes)?..];
        if bytes.is_empty() {
            return Ok(());
        }
        stream.writable().await?;
    }
}

/// The result of `work`, or `None` if it takes longer than `timeout`. Work that finished during a stall of
/// the process counts as in time.
pub async fn with_timeout<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::after(timeout).await;
        None
    })
    .await
}

/// Whether an idle connection can be reused: it was not closed by the peer and has nothing to read.
pub fn is_silent(stream: &Async<TcpStream>) -> bool {
    let mut byte = [0];
    matches!(stream.get_ref().peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

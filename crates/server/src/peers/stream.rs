//! Reading and writing a stream a step at a time, never waiting.

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
    /// So many bytes were read.
    Bytes(usize),
    /// Nothing has arrived.
    WouldBlock,
    /// The peer will send no more.
    Closed,
}

/// Reads once into a buffer that has room.
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

/// Writes as much as the socket takes without waiting; returns the number of bytes.
pub fn write(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    let mut done = 0;
    while done < bytes.len() {
        match stream.get_ref().write(&bytes[done..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => done += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(done)
}

/// Writes all of it, waiting as needed.
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    loop {
        bytes = &bytes[write(stream, bytes)?..];
        if bytes.is_empty() {
            return Ok(());
        }
        stream.writable().await?;
    }
}

/// The result of `work`, or `None` if it takes longer. After a stall, work that has ended meanwhile counts.
pub async fn with_timeout<T>(span: Duration, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::after(span).await;
        None
    })
    .await
}

/// Whether a connection that should be silent still is: neither ended nor with anything to read.
pub fn is_silent(stream: &Async<TcpStream>) -> bool {
    let mut byte = [0];
    matches!(stream.get_ref().peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

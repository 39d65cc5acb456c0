//! The client side of HTTP/1.1: encodes requests and parses replies.

use std::fmt::Write;

use super::MalformedInput;

/// Limit on the status line and headers of a reply, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Limit on the decoded body of a reply, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Encodes a request with a body. `Host` and `Content-Length` are added to the given headers.
pub fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        // Writing into a `String` can't fail.
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// A complete reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers in the order sent, their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The decoded body.
    pub body: Vec<u8>,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
    /// Size of the encoded reply, with interim replies before it, in bytes.
    pub encoded_bytes: usize,
}

impl Reply {
    /// Whether the status or the headers state where the reply ends, without the connection being closed.
    pub fn has_explicit_length(&self) -> bool {
        self.status == 204 || self.header("content-length").or(self.header("transfer-encoding")).is_some()
    }

    /// The value of the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// Parses the reply at the start of `bytes`; `None` while it is incomplete. Interim (1xx) replies are
/// skipped. `ended` says that the peer has closed the connection, which completes a body without a stated
/// length.
///
/// # Errors
///
/// Fails if the reply is malformed, if its head with all interim replies before it is longer than
/// [`MAX_HEAD_BYTES`], or if its body is longer than [`MAX_BODY_BYTES`].
pub fn parse_reply(bytes: &[u8], ended: bool) -> Result<Option<Reply>, MalformedInput> {
    let Some(reply) = parse_final_head(bytes)? else { return Ok(None) };
    let body = parse_body(&reply, &bytes[reply.encoded_bytes..], ended)?;
    Ok(body.map(|body| Reply {
        body: body.bytes,
        keep_alive: reply.keep_alive && body.keep_alive,
        encoded_bytes: reply.encoded_bytes + body.encoded_bytes,
        ..reply
    }))
}

/// Parses the head of the first reply that is not an interim one; `None` while it is incomplete. Its encoded
/// size includes the interim replies, and its body is empty.
fn parse_final_head(bytes: &[u8]) -> Result<Option<Reply>, MalformedInput> {
    let mut position = 0;
    loop {
        let Some(mut head) = parse_head(&bytes[position..])? else {
            return if bytes.len() > MAX_HEAD_BYTES { Err(MalformedInput::HeadTooLong) } else { Ok(None) };
        };
        head.encoded_bytes += position;
        if head.encoded_bytes > MAX_HEAD_BYTES {
            return Err(MalformedInput::HeadTooLong);
        }
        if !(100..200).contains(&head.status) {
            return Ok(Some(head));
        }
        position = head.encoded_bytes;
    }
}

/// Parses one head, interim or not; `None` while it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<Reply>, MalformedInput> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head.parse(bytes).map_err(|_| MalformedInput::InvalidReply)?;
    let httparse::Status::Complete(head_bytes) = parsed else { return Ok(None) };
    let owned_header = |header: &httparse::Header| {
        (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value).into_owned())
    };
    let headers: Vec<_> = head.headers.iter().map(owned_header).collect();
    let mut reply = Reply {
        status: head.code.unwrap_or(0),
        headers,
        body: Vec::new(),
        keep_alive: head.version == Some(1),
        encoded_bytes: head_bytes,
    };
    if reply.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
        reply.keep_alive = false;
    }
    Ok(Some(reply))
}

/// The parsed body of a reply.
struct Body {
    bytes: Vec<u8>,
    /// Size of the body as encoded, in bytes.
    encoded_bytes: usize,
    /// Whether the connection can carry another request.
    keep_alive: bool,
}

/// Parses the body at the start of `bytes`; `None` while it is incomplete.
fn parse_body(reply: &Reply, bytes: &[u8], ended: bool) -> Result<Option<Body>, MalformedInput> {
    if matches!(reply.status, 204 | 304) {
        return Ok(Some(Body { bytes: Vec::new(), encoded_bytes: 0, keep_alive: true }));
    }
    match body_framing(reply)? {
        Framing::Chunked => parse_chunks(bytes),
        Framing::Length(length) if length > MAX_BODY_BYTES => Err(MalformedInput::BodyTooLong),
        Framing::Length(length) => Ok(bytes.get(..length).map(|bytes| Body {
            bytes: bytes.to_vec(),
            encoded_bytes: length,
            keep_alive: true,
        })),
        Framing::ConnectionClose if bytes.len() > MAX_BODY_BYTES => Err(MalformedInput::BodyTooLong),
        Framing::ConnectionClose => {
            Ok(ended.then(|| Body { bytes: bytes.to_vec(), encoded_bytes: bytes.len(), keep_alive: false }))
        }
    }
}

/// How the end of a body is determined.
enum Framing {
    /// By Content-Length, in bytes.
    Length(usize),
    /// By the chunked transfer coding.
    Chunked,
    /// By the peer closing the connection, which can't be told from a lost connection.
    ConnectionClose,
}

/// Determines how the body is framed. Replies with conflicting lengths are rejected: one of the lengths is
/// wrong, so whichever is used, the body that is read may not be the one that was sent.
fn body_framing(reply: &Reply) -> Result<Framing, MalformedInput> {
    let values =
        |name: &'static str| reply.headers.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.trim());
    let mut lengths = values("content-length");
    let (length, coding) = (lengths.next(), values("transfer-encoding").next());
    if lengths.any(|other| Some(other) != length) || (length.is_some() && coding.is_some()) {
        return Err(MalformedInput::ConflictingLengths);
    }
    match (length, coding) {
        (_, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (_, Some(_)) => Err(MalformedInput::UnknownTransferCoding),
        // Checked because `parse` also accepts a leading sign.
        (Some(length), _) if length.bytes().all(|b| b.is_ascii_digit()) => {
            length.parse().map(Framing::Length).map_err(|_| MalformedInput::InvalidLength)
        }
        (Some(_), _) => Err(MalformedInput::InvalidLength),
        (None, None) => Ok(Framing::ConnectionClose),
    }
}

/// Parses the chunked body at the start of `bytes`; `None` while it is incomplete. Trailers are not
/// supported.
fn parse_chunks(bytes: &[u8]) -> Result<Option<Body>, MalformedInput> {
    let (mut body, mut position) = (Vec::new(), 0);
    loop {
        let parsed =
            httparse::parse_chunk_size(&bytes[position..]).map_err(|_| MalformedInput::InvalidChunkSize)?;
        let httparse::Status::Complete((size_line_bytes, size)) = parsed else { return Ok(None) };
        if size as usize > MAX_BODY_BYTES || body.len() + size as usize > MAX_BODY_BYTES {
            return Err(MalformedInput::BodyTooLong);
        }
        let start = position + size_line_bytes;
        let end = start + size as usize;
        let Some(terminator) = bytes.get(end..end + 2) else { return Ok(None) };
        if terminator != b"\r\n" {
            return Err(MalformedInput::UnterminatedChunk);
        }
        body.extend_from_slice(&bytes[start..end]);
        position = end + 2;
        if size == 0 {
            return Ok(Some(Body { bytes: body, encoded_bytes: position, keep_alive: true }));
        }
    }
}

#[cfg(test)]
mod tests;

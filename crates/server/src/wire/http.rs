//! HTTP/1.1 as a client: requests out, replies in.

use std::fmt::Write;

use super::MalformedInput;

/// The longest head of a reply.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest body of a reply.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A request with a body.
pub fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        // Writing into a text can't fail.
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// A complete reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
    /// Bytes that it took.
    pub encoded_bytes: usize,
}

impl Reply {
    /// Whether its headers state where it ends.
    pub fn has_explicit_length(&self) -> bool {
        self.status == 204 || self.header("content-length").or(self.header("transfer-encoding")).is_some()
    }

    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// The reply at the start of `bytes`, `None` until all of it is there. Interim replies are passed over.
pub fn parse_reply(bytes: &[u8], ended: bool) -> Result<Option<Reply>, MalformedInput> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let size = match head.parse(bytes).map_err(|_| MalformedInput::InvalidReply)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => return Err(MalformedInput::HeadTooLong),
        httparse::Status::Partial => return Ok(None),
    };
    let status = head.code.unwrap_or(0);
    if (100..200).contains(&status) {
        let after = parse_reply(&bytes[size..], ended)?;
        return Ok(after.map(|r| Reply { encoded_bytes: r.encoded_bytes + size, ..r }));
    }
    let text =
        |h: &httparse::Header| (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).into_owned());
    let headers: Vec<_> = head.headers.iter().map(text).collect();
    let mut reply =
        Reply { status, headers, body: Vec::new(), keep_alive: head.version == Some(1), encoded_bytes: size };
    if reply.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
        reply.keep_alive = false;
    }
    let rest = &bytes[size..];
    let found = parse_body(&reply, rest, ended)?;
    Ok(found.map(|body| Reply {
        body: body.bytes,
        keep_alive: reply.keep_alive && body.keep_alive,
        encoded_bytes: reply.encoded_bytes + body.encoded_bytes,
        ..reply
    }))
}

/// A body that was parsed.
struct Body {
    bytes: Vec<u8>,
    /// Bytes that it took as encoded.
    encoded_bytes: usize,
    /// Whether the connection can carry another request.
    keep_alive: bool,
}

/// The body at the start of `rest`, `None` until all of it is there.
fn parse_body(reply: &Reply, rest: &[u8], ended: bool) -> Result<Option<Body>, MalformedInput> {
    if matches!(reply.status, 204 | 304) {
        return Ok(Some(Body { bytes: Vec::new(), encoded_bytes: 0, keep_alive: true }));
    }
    match body_framing(reply)? {
        Framing::Chunked => parse_chunks(rest),
        Framing::Length(length) if length > MAX_BODY_BYTES => Err(MalformedInput::BodyTooLong),
        Framing::Length(length) => Ok(rest.get(..length).map(|bytes| Body {
            bytes: bytes.to_vec(),
            encoded_bytes: length,
            keep_alive: true,
        })),
        Framing::ConnectionClose if rest.len() > MAX_BODY_BYTES => Err(MalformedInput::BodyTooLong),
        Framing::ConnectionClose => {
            Ok(ended.then(|| Body { bytes: rest.to_vec(), encoded_bytes: rest.len(), keep_alive: false }))
        }
    }
}

/// How the end of a body is marked.
enum Framing {
    Length(usize),
    Chunked,
    /// By the end of the connection, which a break can't be told from.
    ConnectionClose,
}

/// A reply must say in one way only how long it is: of two statements that differ one is wrong, and whichever
/// is believed, what is read may not be what was sent.
fn body_framing(reply: &Reply) -> Result<Framing, MalformedInput> {
    let all =
        |name: &'static str| reply.headers.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.trim());
    let mut lengths = all("content-length");
    let (length, coding) = (lengths.next(), all("transfer-encoding").next());
    if lengths.any(|other| Some(other) != length) || (length.is_some() && coding.is_some()) {
        return Err(MalformedInput::ConflictingLengths);
    }
    match (length, coding) {
        (_, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (_, Some(_)) => Err(MalformedInput::UnknownTransferCoding),
        // Digits alone: parsing takes a sign as well.
        (Some(length), _) if length.bytes().all(|b| b.is_ascii_digit()) => {
            length.parse().map(Framing::Length).map_err(|_| MalformedInput::InvalidLength)
        }
        (Some(_), _) => Err(MalformedInput::InvalidLength),
        (None, None) => Ok(Framing::ConnectionClose),
    }
}

fn parse_chunks(rest: &[u8]) -> Result<Option<Body>, MalformedInput> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let parsed = httparse::parse_chunk_size(&rest[at..]).map_err(|_| MalformedInput::InvalidChunkSize)?;
        let httparse::Status::Complete((head, size)) = parsed else { return Ok(None) };
        if size as usize > MAX_BODY_BYTES || body.len() + size as usize > MAX_BODY_BYTES {
            return Err(MalformedInput::BodyTooLong);
        }
        let (from, to) = (at + head, at + head + size as usize);
        let Some(end) = rest.get(to..to + 2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err(MalformedInput::UnterminatedChunk);
        }
        body.extend_from_slice(&rest[from..to]);
        at = to + 2;
        if size == 0 {
            return Ok(Some(Body { bytes: body, encoded_bytes: at, keep_alive: true }));
        }
    }
}

#[cfg(test)]
mod tests;

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

/// A whole reply.
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
    /// Whether it says itself where it ends.
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
    let size = match head.parse(bytes).map_err(|_| MalformedInput("not a reply in HTTP"))? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
            return Err(MalformedInput("a head too long"))
        }
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
    Ok(found.map(|(body, used, keep)| {
        reply.encoded_bytes += used;
        reply.keep_alive &= keep;
        Reply { body, ..reply }
    }))
}

type Body = (Vec<u8>, usize, bool);

/// The body at the start of `rest`: its bytes, how many were used, and whether the connection can go on.
fn parse_body(reply: &Reply, rest: &[u8], ended: bool) -> Result<Option<Body>, MalformedInput> {
    if matches!(reply.status, 204 | 304) {
        return Ok(Some((Vec::new(), 0, true)));
    }
    match body_framing(reply)? {
        Framing::Chunked => parse_chunks(rest),
        Framing::Length(length) if length > MAX_BODY_BYTES => Err(MalformedInput("a body too long")),
        Framing::Length(length) => Ok(rest.get(..length).map(|b| (b.to_vec(), length, true))),
        Framing::ConnectionClose if rest.len() > MAX_BODY_BYTES => Err(MalformedInput("a body too long")),
        Framing::ConnectionClose => Ok(ended.then(|| (rest.to_vec(), rest.len(), false))),
    }
}

/// How the end of a body is told.
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
        return Err(MalformedInput("lengths that contradict each other"));
    }
    match (length, coding) {
        (_, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (_, Some(_)) => Err(MalformedInput("a transfer coding that is not known")),
        // Digits alone: parsing takes a sign as well.
        (Some(length), _) if length.bytes().all(|b| b.is_ascii_digit()) => {
            length.parse().map(Framing::Length).map_err(|_| MalformedInput("a length that is no number"))
        }
        (Some(_), _) => Err(MalformedInput("a length that is no number")),
        (None, None) => Ok(Framing::ConnectionClose),
    }
}

fn parse_chunks(rest: &[u8]) -> Result<Option<Body>, MalformedInput> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let parsed =
            httparse::parse_chunk_size(&rest[at..]).map_err(|_| MalformedInput("a chunk without a size"))?;
        let httparse::Status::Complete((head, size)) = parsed else { return Ok(None) };
        if size as usize > MAX_BODY_BYTES || body.len() + size as usize > MAX_BODY_BYTES {
            return Err(MalformedInput("a body too long"));
        }
        let (from, to) = (at + head, at + head + size as usize);
        let Some(end) = rest.get(to..to + 2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err(MalformedInput("a chunk without an end"));
        }
        body.extend_from_slice(&rest[from..to]);
        at = to + 2;
        if size == 0 {
            return Ok(Some((body, at, true)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::test_bytes;
    use super::*;

    #[test]
    fn a_request_has_its_head_and_body() {
        let bytes = encode_request("POST", "/records/op", "127.0.0.1:8900", &[("Op-Of", "9b")], &[0, 255]);
        let wanted = b"POST /records/op HTTP/1.1\r\nHost: 127.0.0.1:8900\r\nOp-Of: 9b\r\nContent-Length: 2\r\n\r\n\x00\xff";
        assert_eq!(bytes, wanted);
    }

    #[test]
    fn a_reply_is_read_only_when_whole() {
        let bytes = b"HTTP/1.1 503 No\r\nOp-Not-Begun: 1\r\nContent-Length: 3\r\n\r\nabcHTTP";
        for cut in 0..bytes.len() - 4 {
            assert_eq!(parse_reply(&bytes[..cut], false), Ok(None), "{cut}");
        }
        let read = parse_reply(bytes, false).expect("sound").expect("whole");
        assert_eq!((read.status, read.header("op-not-begun"), read.keep_alive), (503, Some("1"), true));
        assert_eq!((read.body.as_slice(), read.encoded_bytes), (&b"abc"[..], bytes.len() - 4));
    }

    #[test]
    fn bodies_come_in_every_framing() {
        let chunked =
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
        for cut in 0..chunked.len() {
            assert_eq!(parse_reply(&chunked[..cut], false), Ok(None), "{cut}");
        }
        assert_eq!(parse_reply(chunked, false).expect("sound").expect("whole").body, b"abcde");
        let open = b"HTTP/1.1 200 OK\r\n\r\nabc";
        assert_eq!(parse_reply(open, false), Ok(None));
        let read = parse_reply(open, true).expect("sound").expect("whole");
        assert_eq!((read.body.as_slice(), read.keep_alive), (&b"abc"[..], false));
        let none = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
        let read = parse_reply(none, false).expect("sound").expect("whole");
        assert_eq!((read.status, read.keep_alive, read.encoded_bytes), (204, false, none.len()));
    }

    #[test]
    fn damaged_replies_end_in_some_way_and_within_bounds() {
        let length = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nOp-Not-Begun: 1\r\n\r\nabcdefghijkl";
        let chunked =
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        let mut kinds = [0; 3];
        for bytes in test_bytes::damaged_copies(length).chain(test_bytes::damaged_copies(chunked)) {
            for ended in [false, true] {
                match parse_reply(&bytes, ended) {
                    Ok(Some(read)) => {
                        assert!(read.encoded_bytes <= bytes.len() && read.body.len() <= MAX_BODY_BYTES);
                        kinds[0] += 1;
                    }
                    Ok(None) => kinds[1] += 1,
                    Err(_) => kinds[2] += 1,
                }
            }
        }
        assert!(kinds.iter().all(|&count| count > 20), "{kinds:?}");
    }

    #[test]
    fn one_length_said_twice_is_one_length() {
        let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc";
        assert_eq!(parse_reply(twice, false).expect("sound").expect("whole").body, b"abc");
    }

    #[test]
    fn hostile_replies_are_refused() {
        let bad: [&[u8]; 10] = [
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nabcde",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nabc",
            b"SSH-2.0-x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        ];
        for bytes in bad {
            assert!(parse_reply(bytes, false).is_err(), "{}", String::from_utf8_lossy(bytes));
        }
        let endless = [&b"HTTP/1.1 200 OK\r\nX: "[..], &vec![b'a'; MAX_HEAD_BYTES]].concat();
        assert!(parse_reply(&endless, false).is_err());
    }
}

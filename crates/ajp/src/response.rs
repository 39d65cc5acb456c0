//! Packets from the server (reference, "Response Packet Structure").

use crate::codes;
use crate::data::{self, Reader};
use crate::{DecodeError, EncodeError};

/// Packet codes.
pub mod code {
    /// A chunk of the response body.
    pub const BODY: u8 = 3;
    /// The status and the headers of a response.
    pub const HEADERS: u8 = 4;
    /// The end of a response, and whether the connection can carry another request.
    pub const END: u8 = 5;
    /// Requests the next chunk of the request body.
    pub const GET_BODY: u8 = 6;
    /// Answers a ping.
    pub const CPONG: u8 = 9;
}

/// Limit on the number of headers of a response.
pub const MAX_HEADERS: usize = 256;

/// The status and the headers of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// The headers in the order sent, their names in lower case.
    pub headers: Vec<(String, String)>,
}

/// A packet from the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The status and the headers of a response.
    Head(Head),
    /// A chunk of the response body.
    Body(Vec<u8>),
    /// The end of a response; `true` if the connection can carry another request.
    End(bool),
    /// Requests the next chunk of the request body, of at most this many bytes.
    GetBody(u16),
    /// The answer to a ping.
    Pong,
}

impl Response {
    /// Decodes the content of a packet.
    pub fn read(content: &[u8]) -> Result<Response, DecodeError> {
        let mut reader = Reader::new(content);
        let response = match reader.byte()? {
            code::HEADERS => Response::Head(read_head(&mut reader)?),
            code::BODY => {
                let length = usize::from(reader.integer()?);
                let chunk = reader.bytes(length)?.to_vec();
                // Implementations add a zero byte after the chunk, which the reference does not mention.
                let trailing = reader.remaining();
                if trailing != b"\0" && !trailing.is_empty() {
                    return Err(DecodeError("unexpected bytes after a chunk of the response body"));
                }
                return Ok(Response::Body(chunk));
            }
            code::END => Response::End(reader.boolean()?),
            code::GET_BODY => Response::GetBody(reader.integer()?),
            code::CPONG => Response::Pong,
            _ => return Err(DecodeError("unknown packet code from the server")),
        };
        match reader.remaining() {
            [] => Ok(response),
            _ => Err(DecodeError("unexpected bytes after the end of a response packet")),
        }
    }
}

fn read_head(reader: &mut Reader) -> Result<Head, DecodeError> {
    let (status, reason) = (reader.integer()?, reader.text()?);
    if !(100..1_000).contains(&status) {
        return Err(DecodeError("status code is out of range"));
    }
    let count = usize::from(reader.integer()?);
    if count > MAX_HEADERS {
        return Err(DecodeError("too many response headers"));
    }
    let mut headers = Vec::new();
    for _ in 0..count {
        let length = reader.integer()?;
        let name = if length & 0xff00 == codes::CODED_HEADER_PREFIX {
            codes::response_header(length)
                .map(String::from)
                .ok_or(DecodeError("unknown response header code"))?
        } else {
            data::text(reader.string_with_length(length)?.unwrap_or_default())?.to_ascii_lowercase()
        };
        headers.push((name, reader.text()?));
    }
    Ok(Head { status, reason, headers })
}

/// Writes the content of a packet with the status and the headers of a response.
pub fn write_head(
    out: &mut Vec<u8>,
    status: u16,
    reason: &str,
    headers: &[(&str, &str)],
) -> Result<(), EncodeError> {
    out.push(code::HEADERS);
    data::write_integer(out, status);
    data::write_string(out, reason)?;
    if headers.len() > MAX_HEADERS {
        return Err(EncodeError::TooLong);
    }
    data::write_integer(out, headers.len() as u16);
    for (name, value) in headers {
        match codes::response_header_code(name) {
            Some(code) => data::write_integer(out, code),
            None => data::write_string(out, name)?,
        }
        data::write_string(out, value)?;
    }
    Ok(())
}

/// Writes the content of a packet with a chunk of the response body, which must fit the packet.
pub fn write_body(out: &mut Vec<u8>, chunk: &[u8]) {
    out.push(code::BODY);
    data::write_integer(out, chunk.len() as u16);
    out.extend_from_slice(chunk);
    out.push(0);
}

//! What the end that answers writes (reference, "Response Packet Structure").

use crate::codes;
use crate::data::{self, Reader};
use crate::{DecodeError, EncodeError};

/// Codes of its packets.
pub mod code {
    /// A part of the body.
    pub const BODY: u8 = 3;
    /// Status and headers.
    pub const HEADERS: u8 = 4;
    /// The end, and whether the connection can carry another request.
    pub const END: u8 = 5;
    /// More of the request's body is wanted.
    pub const GET_BODY: u8 = 6;
    /// It is there.
    pub const CPONG: u8 = 9;
}

/// Headers that one answer may have.
pub const MAX_HEADERS: usize = 256;

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Status.
    pub status: u16,
    /// Its reason.
    pub reason: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
}

/// One packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Status and headers.
    Head(Head),
    /// A part of the body.
    Body(Vec<u8>),
    /// The end; `true`: another request may follow.
    End(bool),
    /// So many bytes of the request's body are wanted.
    GetBody(u16),
    /// It is there.
    Pong,
}

impl Response {
    /// Reads the content of a packet.
    pub fn read(content: &[u8]) -> Result<Response, DecodeError> {
        let mut reader = Reader::new(content);
        let response = match reader.byte()? {
            code::HEADERS => Response::Head(read_head(&mut reader)?),
            code::BODY => {
                let length = usize::from(reader.integer()?);
                let part = reader.bytes(length)?.to_vec();
                // Implementations put a zero byte behind it, of which the reference says nothing.
                let end = reader.remaining();
                if end != b"\0" && !end.is_empty() {
                    return Err(DecodeError("bytes behind a part of a body"));
                }
                return Ok(Response::Body(part));
            }
            code::END => Response::End(reader.boolean()?),
            code::GET_BODY => Response::GetBody(reader.integer()?),
            code::CPONG => Response::Pong,
            _ => return Err(DecodeError("no known answer")),
        };
        match reader.remaining() {
            [] => Ok(response),
            _ => Err(DecodeError("bytes behind the end of an answer")),
        }
    }
}

fn read_head(reader: &mut Reader) -> Result<Head, DecodeError> {
    let (status, reason) = (reader.integer()?, reader.text()?);
    if !(100..1_000).contains(&status) {
        return Err(DecodeError("a status that is none"));
    }
    let count = usize::from(reader.integer()?);
    if count > MAX_HEADERS {
        return Err(DecodeError("too many headers"));
    }
    let mut headers = Vec::new();
    for _ in 0..count {
        let length = reader.integer()?;
        let name = if length & 0xff00 == codes::CODED_HEADER_PREFIX {
            codes::response_header(length).map(String::from).ok_or(DecodeError("no known header code"))?
        } else {
            data::text(reader.string_with_length(length)?.unwrap_or_default())?.to_ascii_lowercase()
        };
        headers.push((name, reader.text()?));
    }
    Ok(Head { status, reason, headers })
}

/// The content of a packet with status and headers.
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

/// The content of a packet with a part of a body, which must fit.
pub fn write_body(out: &mut Vec<u8>, part: &[u8]) {
    out.push(code::BODY);
    data::write_integer(out, part.len() as u16);
    out.extend_from_slice(part);
    out.push(0);
}

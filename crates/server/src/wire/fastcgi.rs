//! FastCGI 1.0 records and name-value pairs.

#[cfg(test)]
use std::ops::Range;

use super::MalformedInput;

/// Size of a record's header, in bytes.
pub const HEADER_BYTES: usize = 8;
/// Size of the longest padding of a record, in bytes.
pub const MAX_PADDING_BYTES: usize = 255;

/// Record types, with their numbers in the specification.
pub mod kind {
    /// Begins a request.
    pub const BEGIN_REQUEST: u8 = 1;
    /// The load balancer aborts a request.
    pub const ABORT_REQUEST: u8 = 2;
    /// Ends a request that was answered, rejected or aborted.
    pub const END_REQUEST: u8 = 3;
    /// Part of a request's parameters; empty at their end.
    pub const PARAMS: u8 = 4;
    /// Part of a request's body; empty at its end.
    pub const STDIN: u8 = 5;
    /// Part of a response; empty at its end.
    pub const STDOUT: u8 = 6;
    /// Queries variables of the application, such as its connection limit.
    pub const GET_VALUES: u8 = 9;
    /// The response to [`GET_VALUES`].
    pub const GET_VALUES_RESULT: u8 = 10;
    /// The response to a management record of an unknown type.
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// The protocol status of an end-request record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// The request was answered or aborted.
    Complete = 0,
    /// The request was rejected because the application is overloaded.
    Overloaded = 2,
    /// The request was rejected: the application does not support its role.
    UnknownRole = 3,
}

/// The header of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    /// The record type; [`kind`] has the known ones.
    pub kind: u8,
    /// The id of the request that the record belongs to; 0 for management records.
    pub request: u16,
    /// Size of the content that follows, in bytes.
    pub content_bytes: usize,
    /// Size of the padding behind the content, in bytes.
    pub padding_bytes: usize,
}

/// Parses the header at the start of `bytes`; `None` while it is incomplete.
pub fn parse_header(bytes: &[u8]) -> Result<Option<RecordHeader>, MalformedInput> {
    match bytes.first() {
        None => return Ok(None),
        Some(1) => {}
        Some(_) => return Err(MalformedInput::FastCgiVersion),
    }
    let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    Ok(Some(RecordHeader {
        kind: header[1],
        request: u16::from_be_bytes([header[2], header[3]]),
        content_bytes: usize::from(u16::from_be_bytes([header[4], header[5]])),
        padding_bytes: usize::from(header[6]),
    }))
}

/// The position of one record within the bytes that it was parsed from.
#[cfg(test)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The record type; [`kind`] has the known ones.
    pub kind: u8,
    /// The id of the request that it belongs to; 0 for management records.
    pub request: u16,
    /// The range of the content within the parsed bytes.
    pub content: Range<usize>,
    /// Size of the whole record with header and padding, in bytes.
    pub size: usize,
}

/// Parses the record at the start of `bytes`; `None` while it is incomplete.
#[cfg(test)]
pub fn parse_record(bytes: &[u8]) -> Result<Option<Record>, MalformedInput> {
    let Some(header) = parse_header(bytes)? else { return Ok(None) };
    let content = HEADER_BYTES..HEADER_BYTES + header.content_bytes;
    let size = content.end + header.padding_bytes;
    let record = Record { kind: header.kind, request: header.request, content, size };
    Ok((bytes.len() >= size).then_some(record))
}

/// Writes content as one record, or as several if it is too long for one. Records are padded to a multiple of
/// 8 bytes.
pub fn write_record(out: &mut Vec<u8>, kind: u8, request: u16, content: &[u8]) {
    let mut remaining = content;
    loop {
        // 65,528 is the largest multiple of 8 that a record's content can have.
        let (part, after) = remaining.split_at(remaining.len().min(65_528));
        let padding = (8 - part.len() % 8) % 8;
        out.extend_from_slice(&[1, kind]);
        out.extend_from_slice(&request.to_be_bytes());
        out.extend_from_slice(&(part.len() as u16).to_be_bytes());
        out.extend_from_slice(&[padding as u8, 0]);
        out.extend_from_slice(part);
        out.extend_from_slice(&[0; 8][..padding]);
        remaining = after;
        if remaining.is_empty() {
            return;
        }
    }
}

/// Writes the record that ends a request.
pub fn write_end_request(out: &mut Vec<u8>, request: u16, app_status: u32, status: ProtocolStatus) {
    let mut content = [0; 8];
    content[..4].copy_from_slice(&app_status.to_be_bytes());
    content[4] = status as u8;
    write_record(out, kind::END_REQUEST, request, &content);
}

/// Reads the length of a name or value: one byte, or four if the top bit of the first is set.
fn read_length(bytes: &mut &[u8]) -> Option<usize> {
    let (&first, rest) = bytes.split_first()?;
    if first < 0x80 {
        *bytes = rest;
        return Some(usize::from(first));
    }
    let (four, rest) = bytes.split_first_chunk::<4>()?;
    *bytes = rest;
    Some((u32::from_be_bytes(*four) & 0x7fff_ffff) as usize)
}

/// The name and the value of a parameter or variable.
pub type NameValuePair<'a> = (&'a [u8], &'a [u8]);

/// Parses all name-value pairs in `bytes`.
pub fn parse_pairs(mut bytes: &[u8]) -> Result<Vec<NameValuePair<'_>>, MalformedInput> {
    const TRUNCATED: MalformedInput = MalformedInput::TruncatedPair;
    let mut pairs = Vec::new();
    while !bytes.is_empty() {
        let name_length = read_length(&mut bytes).ok_or(TRUNCATED)?;
        let value_length = read_length(&mut bytes).ok_or(TRUNCATED)?;
        let pair_length = name_length.checked_add(value_length).filter(|&length| length <= bytes.len());
        let (pair, rest) = bytes.split_at(pair_length.ok_or(TRUNCATED)?);
        pairs.push(pair.split_at(name_length));
        bytes = rest;
    }
    Ok(pairs)
}

/// Writes one name-value pair.
pub fn write_pair(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for size in [name.len(), value.len()] {
        match u8::try_from(size) {
            Ok(short) if short < 0x80 => out.push(short),
            _ => out.extend_from_slice(&(size as u32 | 0x8000_0000).to_be_bytes()),
        }
    }
    out.extend_from_slice(name);
    out.extend_from_slice(value);
}

#[cfg(test)]
mod tests;

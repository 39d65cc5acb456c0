//! FastCGI 1.0 records and name-value pairs.

use std::ops::Range;

use super::MalformedInput;

/// Size of a record's header.
pub const HEADER_BYTES: usize = 8;
/// The largest record: header, content and padding.
pub const MAX_RECORD_BYTES: usize = HEADER_BYTES + 65_535 + 255;

/// Kinds of records, by their numbers in the specification.
pub mod kind {
    /// A request begins.
    pub const BEGIN_REQUEST: u8 = 1;
    /// The balancer gives a request up.
    pub const ABORT_REQUEST: u8 = 2;
    /// A request has been answered.
    pub const END_REQUEST: u8 = 3;
    /// Parameters.
    pub const PARAMS: u8 = 4;
    /// Body of a request.
    pub const STDIN: u8 = 5;
    /// Body of an answer.
    pub const STDOUT: u8 = 6;
    /// A question about the application.
    pub const GET_VALUES: u8 = 9;
    /// Its answer.
    pub const GET_VALUES_RESULT: u8 = 10;
    /// A management record of a kind that is not known here.
    pub const UNKNOWN_TYPE: u8 = 11;
}

/// How a request ended as far as the protocol is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// In the ordinary way.
    Complete = 0,
    /// Turned away: too much at once.
    Overloaded = 2,
    /// Turned away: this application has no such role.
    UnknownRole = 3,
}

/// One record; the content stands at these places of the bytes it was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its kind.
    pub kind: u8,
    /// The request it belongs to, 0 for the application as a whole.
    pub request: u16,
    /// Its content.
    pub content: Range<usize>,
    /// Bytes it takes in all.
    pub size: usize,
}

/// The record at the start of `bytes`; `None` until all of it is there.
pub fn parse_record(bytes: &[u8]) -> Result<Option<Record>, MalformedInput> {
    match bytes.first() {
        None => return Ok(None),
        Some(1) => {}
        Some(_) => return Err(MalformedInput::FastCgiVersion),
    }
    if bytes.len() < HEADER_BYTES {
        return Ok(None);
    }
    let content = usize::from(u16::from_be_bytes([bytes[4], bytes[5]]));
    let size = HEADER_BYTES + content + usize::from(bytes[6]);
    if bytes.len() < size {
        return Ok(None);
    }
    let request = u16::from_be_bytes([bytes[2], bytes[3]]);
    Ok(Some(Record { kind: bytes[1], request, content: HEADER_BYTES..HEADER_BYTES + content, size }))
}

/// Writes one record; what is longer than a record can be becomes several.
pub fn write_record(out: &mut Vec<u8>, kind: u8, request: u16, content: &[u8]) {
    let mut rest = content;
    loop {
        let (part, after) = rest.split_at(rest.len().min(65_528));
        let padding = (8 - part.len() % 8) % 8;
        out.extend_from_slice(&[1, kind]);
        out.extend_from_slice(&request.to_be_bytes());
        out.extend_from_slice(&(part.len() as u16).to_be_bytes());
        out.extend_from_slice(&[padding as u8, 0]);
        out.extend_from_slice(part);
        out.extend_from_slice(&[0; 8][..padding]);
        rest = after;
        if rest.is_empty() {
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

fn take_length(bytes: &mut &[u8]) -> Option<usize> {
    let (&first, rest) = bytes.split_first()?;
    if first < 0x80 {
        *bytes = rest;
        return Some(usize::from(first));
    }
    let (four, rest) = bytes.split_first_chunk::<4>()?;
    *bytes = rest;
    Some((u32::from_be_bytes(*four) & 0x7fff_ffff) as usize)
}

/// A name and its value.
pub type NameValuePair<'a> = (&'a [u8], &'a [u8]);

/// The name-value pairs that `bytes` hold.
pub fn parse_pairs(mut bytes: &[u8]) -> Result<Vec<NameValuePair<'_>>, MalformedInput> {
    const CUT: MalformedInput = MalformedInput::TruncatedPair;
    let mut all = Vec::new();
    while !bytes.is_empty() {
        let name = take_length(&mut bytes).ok_or(CUT)?;
        let value = take_length(&mut bytes).ok_or(CUT)?;
        let both = name.checked_add(value).filter(|&n| n <= bytes.len()).ok_or(CUT)?;
        let (pair, rest) = bytes.split_at(both);
        all.push(pair.split_at(name));
        bytes = rest;
    }
    Ok(all)
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

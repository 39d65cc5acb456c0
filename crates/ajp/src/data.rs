//! Values within packets: bytes, booleans, two-byte integers and strings (reference, "Basic Packet
//! Structure").

use crate::{DecodeError, EncodeError};

/// The length that encodes an absent string.
pub const NULL_LENGTH: u16 = 0xffff;

/// Reads values from the content of a packet in sequence.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    remaining: &'a [u8],
}

const TRUNCATED: DecodeError = DecodeError("packet ends within a value");

impl<'a> Reader<'a> {
    /// Returns a reader of this content.
    pub fn new(content: &'a [u8]) -> Reader<'a> {
        Reader { remaining: content }
    }

    /// The bytes that are not read yet.
    pub fn remaining(&self) -> &'a [u8] {
        self.remaining
    }

    /// Reads one byte.
    pub fn byte(&mut self) -> Result<u8, DecodeError> {
        let (&first, rest) = self.remaining.split_first().ok_or(TRUNCATED)?;
        self.remaining = rest;
        Ok(first)
    }

    /// Reads a boolean, encoded as 0 or 1.
    pub fn boolean(&mut self) -> Result<bool, DecodeError> {
        match self.byte()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError("boolean is neither 0 nor 1")),
        }
    }

    /// Reads a two-byte integer.
    pub fn integer(&mut self) -> Result<u16, DecodeError> {
        let (integer, rest) = self.remaining.split_first_chunk::<2>().ok_or(TRUNCATED)?;
        self.remaining = rest;
        Ok(u16::from_be_bytes(*integer))
    }

    /// Reads `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        if count > self.remaining.len() {
            return Err(TRUNCATED);
        }
        let (bytes, rest) = self.remaining.split_at(count);
        self.remaining = rest;
        Ok(bytes)
    }

    /// Reads a string of this length and its terminating zero byte. Returns `None` for [`NULL_LENGTH`].
    pub fn string_with_length(&mut self, length: u16) -> Result<Option<&'a [u8]>, DecodeError> {
        if length == NULL_LENGTH {
            return Ok(None);
        }
        let text = self.bytes(usize::from(length))?;
        match self.byte()? {
            0 => Ok(Some(text)),
            _ => Err(DecodeError("string is not terminated by a zero byte")),
        }
    }

    /// Reads a string with its length; `None` if it is absent.
    pub fn string(&mut self) -> Result<Option<&'a [u8]>, DecodeError> {
        let length = self.integer()?;
        self.string_with_length(length)
    }

    /// Reads a string that must be text without control characters, as names and values of headers are. An
    /// absent string is read as an empty one.
    pub fn text(&mut self) -> Result<String, DecodeError> {
        text(self.string()?.unwrap_or_default())
    }
}

/// Checks that bytes are text without control characters other than tab: a line break in a header's name or
/// value could end the header.
pub fn text(bytes: &[u8]) -> Result<String, DecodeError> {
    let text = std::str::from_utf8(bytes).map_err(|_| DecodeError("string is not UTF-8"))?;
    if text.bytes().any(|b| (b < 0x20 && b != b'\t') || b == 0x7f) {
        return Err(DecodeError("string contains a control character"));
    }
    Ok(text.to_owned())
}

/// Writes a two-byte integer.
pub fn write_integer(out: &mut Vec<u8>, value: u16) {
    out.extend_from_slice(&value.to_be_bytes());
}

/// Writes a string. A string of 0xA000 bytes or more is rejected: its length would be read as the code of a
/// header or as an absent string.
pub fn write_string(out: &mut Vec<u8>, text: &str) -> Result<(), EncodeError> {
    let length =
        u16::try_from(text.len()).ok().filter(|&length| length < 0xa000).ok_or(EncodeError::TooLong)?;
    write_integer(out, length);
    out.extend_from_slice(text.as_bytes());
    out.push(0);
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_are_read_in_sequence() {
        let mut out = vec![7, 1];
        write_integer(&mut out, 0x1234);
        write_string(&mut out, "desk").expect("short");
        write_integer(&mut out, NULL_LENGTH);
        let mut reader = Reader::new(&out);
        assert_eq!((reader.byte(), reader.boolean(), reader.integer()), (Ok(7), Ok(true), Ok(0x1234)));
        assert_eq!((reader.text(), reader.string()), (Ok("desk".to_owned()), Ok(None)));
        assert!(reader.remaining().is_empty());
        assert_eq!(reader.byte(), Err(TRUNCATED));
    }

    #[test]
    fn invalid_values_are_rejected() {
        let mut reader = Reader::new(&[0xff, 0xfe, b'x', 0]);
        assert_eq!(reader.string(), Err(TRUNCATED));
        assert!(Reader::new(&[0, 1, b'x', 1]).string().is_err());
        assert!(Reader::new(&[0, 2, b'\r', b'\n', 0]).text().is_err());
        assert!(Reader::new(&[2]).boolean().is_err());
        assert_eq!(write_string(&mut Vec::new(), &"x".repeat(0xa000)), Err(EncodeError::TooLong));
    }
}

//! Values in a packet: bytes, booleans, integers of two bytes, and strings (reference, "Basic Packet Structure").

use crate::{DecodeError, EncodeError};

/// The length that stands for no string.
pub const NULL_LENGTH: u16 = 0xffff;

/// Takes values off the content of a packet, one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    left: &'a [u8],
}

const TRUNCATED: DecodeError = DecodeError("a packet that ends within a value");

impl<'a> Reader<'a> {
    /// Of this content.
    pub fn new(content: &'a [u8]) -> Reader<'a> {
        Reader { left: content }
    }

    /// What has not been taken yet.
    pub fn remaining(&self) -> &'a [u8] {
        self.left
    }

    /// One byte.
    pub fn byte(&mut self) -> Result<u8, DecodeError> {
        let (&first, left) = self.left.split_first().ok_or(TRUNCATED)?;
        self.left = left;
        Ok(first)
    }

    /// A boolean: 0 or 1.
    pub fn boolean(&mut self) -> Result<bool, DecodeError> {
        match self.byte()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError("a boolean that is neither 0 nor 1")),
        }
    }

    /// An integer of two bytes.
    pub fn integer(&mut self) -> Result<u16, DecodeError> {
        let (two, left) = self.left.split_first_chunk::<2>().ok_or(TRUNCATED)?;
        self.left = left;
        Ok(u16::from_be_bytes(*two))
    }

    /// So many bytes.
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        if count > self.left.len() {
            return Err(TRUNCATED);
        }
        let (taken, left) = self.left.split_at(count);
        self.left = left;
        Ok(taken)
    }

    /// A string of the stated length, with the zero byte behind it.
    pub fn string_with_length(&mut self, length: u16) -> Result<Option<&'a [u8]>, DecodeError> {
        if length == NULL_LENGTH {
            return Ok(None);
        }
        let text = self.bytes(usize::from(length))?;
        match self.byte()? {
            0 => Ok(Some(text)),
            _ => Err(DecodeError("a string without its zero byte")),
        }
    }

    /// A string, or none.
    pub fn string(&mut self) -> Result<Option<&'a [u8]>, DecodeError> {
        let length = self.integer()?;
        self.string_with_length(length)
    }

    /// A string that must be text without control characters, as in names and values of headers; none is empty.
    pub fn text(&mut self) -> Result<String, DecodeError> {
        text(self.string()?.unwrap_or_default())
    }
}

/// Text without control characters but tab: what could end a line of a header has no place in one.
pub fn text(bytes: &[u8]) -> Result<String, DecodeError> {
    let text = std::str::from_utf8(bytes).map_err(|_| DecodeError("a string that is no text"))?;
    if text.bytes().any(|b| (b < 0x20 && b != b'\t') || b == 0x7f) {
        return Err(DecodeError("a control character in a string"));
    }
    Ok(text.to_owned())
}

/// Writes an integer.
pub fn write_integer(out: &mut Vec<u8>, value: u16) {
    out.extend_from_slice(&value.to_be_bytes());
}

/// Writes a string. Strings whose length would read as a code or as none can't be written.
pub fn write_string(out: &mut Vec<u8>, text: &str) -> Result<(), EncodeError> {
    let length = u16::try_from(text.len()).ok().filter(|&l| l < 0xa000).ok_or(EncodeError::TooLong)?;
    write_integer(out, length);
    out.extend_from_slice(text.as_bytes());
    out.push(0);
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_are_read_in_turn() {
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
    fn lengths_beyond_the_packet_take_nothing() {
        let mut reader = Reader::new(&[0xff, 0xfe, b'x', 0]);
        assert_eq!(reader.string(), Err(TRUNCATED));
        assert!(Reader::new(&[0, 1, b'x', 1]).string().is_err());
        assert!(Reader::new(&[0, 2, b'\r', b'\n', 0]).text().is_err());
        assert!(Reader::new(&[2]).boolean().is_err());
        assert_eq!(write_string(&mut Vec::new(), &"x".repeat(0xa000)), Err(EncodeError::TooLong));
    }
}

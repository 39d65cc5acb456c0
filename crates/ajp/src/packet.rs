//! Frames: two bytes that say which end wrote them, a length, and the content (reference, "Packet Structure").

use std::ops::Range;

use crate::Malformed;

/// Bytes before the content.
pub const HEADER: usize = 4;
/// The size of a packet unless both ends agreed on another, and the smallest one.
pub const USUAL: usize = 8 * 1024;
/// The largest that both ends may agree on.
pub const LARGEST: usize = 64 * 1024 - 1;

/// Which end wrote a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum From {
    /// The one that asks.
    Caller,
    /// The one that answers.
    Callee,
}

impl From {
    fn magic(self) -> [u8; 2] {
        match self {
            From::Caller => [0x12, 0x34],
            From::Callee => *b"AB",
        }
    }
}

/// A whole packet at the start of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Where its content stands.
    pub content: Range<usize>,
    /// Bytes it takes in all.
    pub size: usize,
}

/// The packet at the start of `bytes`, no larger than `largest`; `None` until all of it is there. A wrong start and a
/// length that is too large are told from the first bytes that show them.
pub fn packet(bytes: &[u8], from: From, largest: usize) -> Result<Option<Packet>, Malformed> {
    let magic = from.magic();
    let seen = bytes.len().min(magic.len());
    if bytes[..seen] != magic[..seen] {
        return Err(Malformed("not the start of an AJP packet"));
    }
    let [_, _, high, low, ..] = *bytes else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([high, low]));
    let size = HEADER + length;
    if size > largest {
        return Err(Malformed("a packet longer than agreed on"));
    }
    Ok((bytes.len() >= size).then_some(Packet { content: HEADER..size, size }))
}

/// Writes a packet with this content, which must fit.
pub fn write(out: &mut Vec<u8>, from: From, content: &[u8]) {
    debug_assert!(content.len() + HEADER <= LARGEST);
    out.extend_from_slice(&from.magic());
    out.extend_from_slice(&(content.len() as u16).to_be_bytes());
    out.extend_from_slice(content);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_packet_is_whole_or_awaited() {
        let mut bytes = Vec::new();
        write(&mut bytes, From::Caller, b"abc");
        assert_eq!(bytes, [0x12, 0x34, 0, 3, b'a', b'b', b'c']);
        for end in 0..bytes.len() {
            assert_eq!(packet(&bytes[..end], From::Caller, USUAL), Ok(None));
        }
        assert_eq!(packet(&bytes, From::Caller, USUAL), Ok(Some(Packet { content: 4..7, size: 7 })));
    }

    #[test]
    fn what_is_wrong_is_told_as_soon_as_it_shows() {
        assert!(packet(b"A", From::Caller, USUAL).is_err());
        assert!(packet(&[0x12, 0x35], From::Caller, USUAL).is_err());
        assert!(packet(&[0x12], From::Callee, USUAL).is_err());
        assert!(
            packet(&[0x12, 0x34, 0x20, 0x00], From::Caller, USUAL).is_err(),
            "8192 of content is too long"
        );
        assert_eq!(packet(&[0x12, 0x34, 0x1f, 0xfc], From::Caller, USUAL), Ok(None));
    }
}

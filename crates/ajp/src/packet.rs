//! Frames: two bytes that say which end wrote them, a length, and the content (reference, "Packet Structure").

use std::ops::Range;

use crate::DecodeError;

/// Bytes before the content.
pub const HEADER_BYTES: usize = 4;
/// The size of a packet unless both ends agreed on another, and the smallest one.
pub const DEFAULT_PACKET_BYTES: usize = 8 * 1024;
/// The largest that both ends may agree on.
pub const MAX_PACKET_BYTES: usize = 64 * 1024 - 1;

/// Which end wrote a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The one that asks.
    Client,
    /// The one that answers.
    Server,
}

impl Sender {
    fn magic(self) -> [u8; 2] {
        match self {
            Sender::Client => [0x12, 0x34],
            Sender::Server => *b"AB",
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
pub fn parse_packet(bytes: &[u8], sender: Sender, largest: usize) -> Result<Option<Packet>, DecodeError> {
    let magic = sender.magic();
    let seen = bytes.len().min(magic.len());
    if bytes[..seen] != magic[..seen] {
        return Err(DecodeError("not the start of an AJP packet"));
    }
    let [_, _, high, low, ..] = *bytes else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([high, low]));
    let size = HEADER_BYTES + length;
    if size > largest {
        return Err(DecodeError("a packet longer than agreed on"));
    }
    Ok((bytes.len() >= size).then_some(Packet { content: HEADER_BYTES..size, size }))
}

/// Writes a packet with this content, which must fit.
pub fn write_packet(out: &mut Vec<u8>, sender: Sender, content: &[u8]) {
    debug_assert!(content.len() + HEADER_BYTES <= MAX_PACKET_BYTES);
    out.extend_from_slice(&sender.magic());
    out.extend_from_slice(&(content.len() as u16).to_be_bytes());
    out.extend_from_slice(content);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_packet_is_whole_or_awaited() {
        let mut bytes = Vec::new();
        write_packet(&mut bytes, Sender::Client, b"abc");
        assert_eq!(bytes, [0x12, 0x34, 0, 3, b'a', b'b', b'c']);
        for end in 0..bytes.len() {
            assert_eq!(parse_packet(&bytes[..end], Sender::Client, DEFAULT_PACKET_BYTES), Ok(None));
        }
        assert_eq!(
            parse_packet(&bytes, Sender::Client, DEFAULT_PACKET_BYTES),
            Ok(Some(Packet { content: 4..7, size: 7 }))
        );
    }

    #[test]
    fn what_is_wrong_is_told_as_soon_as_it_shows() {
        assert!(parse_packet(b"A", Sender::Client, DEFAULT_PACKET_BYTES).is_err());
        assert!(parse_packet(&[0x12, 0x35], Sender::Client, DEFAULT_PACKET_BYTES).is_err());
        assert!(parse_packet(&[0x12], Sender::Server, DEFAULT_PACKET_BYTES).is_err());
        assert!(
            parse_packet(&[0x12, 0x34, 0x20, 0x00], Sender::Client, DEFAULT_PACKET_BYTES).is_err(),
            "8192 of content is too long"
        );
        assert_eq!(parse_packet(&[0x12, 0x34, 0x1f, 0xfc], Sender::Client, DEFAULT_PACKET_BYTES), Ok(None));
    }
}

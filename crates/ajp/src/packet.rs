//! Framing: a packet consists of two magic bytes, which identify the side that sent it, the length of the
//! content, and the content (reference, "Packet Structure").

use std::ops::Range;

use crate::DecodeError;

/// Size of the header of a packet, in bytes.
pub const HEADER_BYTES: usize = 4;
/// The default of the maximum packet size, and the smallest value that it may have, in bytes.
pub const DEFAULT_PACKET_BYTES: usize = 8 * 1024;
/// The largest value that the maximum packet size may have, in bytes. Both sides must use the same value.
pub const MAX_PACKET_BYTES: usize = 64 * 1024 - 1;

/// The side that sent a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The side that sends requests.
    Client,
    /// The side that answers them.
    Server,
}

impl Sender {
    /// The magic bytes at the start of its packets.
    fn magic(self) -> [u8; 2] {
        match self {
            Sender::Client => [0x12, 0x34],
            Sender::Server => *b"AB",
        }
    }
}

/// The position of a complete packet at the start of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The range of the content within these bytes.
    pub content: Range<usize>,
    /// Size of the whole packet with its header, in bytes.
    pub size: usize,
}

/// Parses the packet at the start of `bytes`, which must not exceed `max_packet_bytes`; `None` while it is
/// incomplete. Wrong magic bytes and a length that is too large are reported as soon as they are received.
pub fn parse_packet(
    bytes: &[u8],
    sender: Sender,
    max_packet_bytes: usize,
) -> Result<Option<Packet>, DecodeError> {
    let magic = sender.magic();
    let received = bytes.len().min(magic.len());
    if bytes[..received] != magic[..received] {
        return Err(DecodeError("invalid magic bytes of a packet"));
    }
    let [_, _, high, low, ..] = *bytes else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([high, low]));
    let size = HEADER_BYTES + length;
    if size > max_packet_bytes {
        return Err(DecodeError("packet exceeds the maximum size"));
    }
    Ok((bytes.len() >= size).then_some(Packet { content: HEADER_BYTES..size, size }))
}

/// Writes a packet. The content must fit the maximum packet size.
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
    fn incomplete_packet_is_not_parsed() {
        let mut bytes = Vec::new();
        write_packet(&mut bytes, Sender::Client, b"abc");
        assert_eq!(bytes, [0x12, 0x34, 0, 3, b'a', b'b', b'c']);
        for length in 0..bytes.len() {
            assert_eq!(parse_packet(&bytes[..length], Sender::Client, DEFAULT_PACKET_BYTES), Ok(None));
        }
        assert_eq!(
            parse_packet(&bytes, Sender::Client, DEFAULT_PACKET_BYTES),
            Ok(Some(Packet { content: 4..7, size: 7 }))
        );
    }

    #[test]
    fn invalid_packet_is_rejected_at_the_first_invalid_byte() {
        assert!(parse_packet(b"A", Sender::Client, DEFAULT_PACKET_BYTES).is_err());
        assert!(parse_packet(&[0x12, 0x35], Sender::Client, DEFAULT_PACKET_BYTES).is_err());
        assert!(parse_packet(&[0x12], Sender::Server, DEFAULT_PACKET_BYTES).is_err());
        assert!(
            parse_packet(&[0x12, 0x34, 0x20, 0x00], Sender::Client, DEFAULT_PACKET_BYTES).is_err(),
            "8192 bytes of content do not fit with the header"
        );
        assert_eq!(parse_packet(&[0x12, 0x34, 0x1f, 0xfc], Sender::Client, DEFAULT_PACKET_BYTES), Ok(None));
    }
}

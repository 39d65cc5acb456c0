use super::*;

#[test]
fn frame_header_round_trips_and_lengths_are_bounded() {
    let frame = encode_frame(FrameKind::Request, b"abc");
    let header: [u8; HEADER_BYTES] = frame[..HEADER_BYTES].try_into().expect("a header");
    assert_eq!((parse_header(header), &frame[HEADER_BYTES..]), (Some((FrameKind::Request, 3)), &b"abc"[..]));
    assert_eq!(parse_header([0, 0, 0, 0, 0]), None);
    assert_eq!(parse_header([0, 0, 0, 2, 9]), None);
    assert_eq!(parse_header([255, 255, 255, 255, 0]), None);
}

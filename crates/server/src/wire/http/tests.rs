use super::*;
use crate::wire::test_bytes;

#[test]
fn request_is_encoded_with_headers_and_body() {
    let bytes = encode_request("POST", "/records/op", "127.0.0.1:8900", &[("Op-Of", "9b")], &[0, 255]);
    let expected = b"POST /records/op HTTP/1.1\r\nHost: 127.0.0.1:8900\r\nOp-Of: 9b\r\nContent-Length: 2\r\n\r\n\x00\xff";
    assert_eq!(bytes, expected);
}

#[test]
fn incomplete_reply_is_not_parsed() {
    let bytes = b"HTTP/1.1 503 No\r\nOp-Not-Begun: 1\r\nContent-Length: 3\r\n\r\nabcHTTP";
    for length in 0..bytes.len() - 4 {
        assert_eq!(parse_reply(&bytes[..length], false), Ok(None), "{length}");
    }
    let reply = parse_reply(bytes, false).expect("valid").expect("complete");
    assert_eq!((reply.status, reply.header("op-not-begun"), reply.keep_alive), (503, Some("1"), true));
    assert_eq!((reply.body.as_slice(), reply.encoded_bytes), (&b"abc"[..], bytes.len() - 4));
}

#[test]
fn bodies_of_every_framing_are_parsed() {
    let chunked =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    for length in 0..chunked.len() {
        assert_eq!(parse_reply(&chunked[..length], false), Ok(None), "{length}");
    }
    assert_eq!(parse_reply(chunked, false).expect("valid").expect("complete").body, b"abcde");
    let unframed = b"HTTP/1.1 200 OK\r\n\r\nabc";
    assert_eq!(parse_reply(unframed, false), Ok(None));
    let reply = parse_reply(unframed, true).expect("valid").expect("complete");
    assert_eq!((reply.body.as_slice(), reply.keep_alive), (&b"abc"[..], false));
    let without_body = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
    let reply = parse_reply(without_body, false).expect("valid").expect("complete");
    assert_eq!((reply.status, reply.keep_alive, reply.encoded_bytes), (204, false, without_body.len()));
}

#[test]
fn damaged_replies_stay_within_bounds() {
    let with_length = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nOp-Not-Begun: 1\r\n\r\nabcdefghijkl";
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    // Counts of complete, incomplete and malformed replies.
    let mut outcomes = [0; 3];
    for bytes in test_bytes::damaged_copies(with_length).chain(test_bytes::damaged_copies(chunked)) {
        for ended in [false, true] {
            match parse_reply(&bytes, ended) {
                Ok(Some(reply)) => {
                    assert!(reply.encoded_bytes <= bytes.len() && reply.body.len() <= MAX_BODY_BYTES);
                    outcomes[0] += 1;
                }
                Ok(None) => outcomes[1] += 1,
                Err(_) => outcomes[2] += 1,
            }
        }
    }
    assert!(outcomes.iter().all(|&count| count > 20), "{outcomes:?}");
}

#[test]
fn repeated_equal_content_length_is_accepted() {
    let repeated = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc";
    assert_eq!(parse_reply(repeated, false).expect("valid").expect("complete").body, b"abc");
}

#[test]
fn conflicting_invalid_or_oversized_replies_are_malformed() {
    let malformed: [&[u8]; 10] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nabcde",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nabc",
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
    ];
    for bytes in malformed {
        assert!(parse_reply(bytes, false).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
    let endless_header = [&b"HTTP/1.1 200 OK\r\nX: "[..], &vec![b'a'; MAX_HEAD_BYTES]].concat();
    assert!(parse_reply(&endless_header, false).is_err());
}

/// Guards against a peer that ends the process: each interim reply took a part of the stack.
#[test]
fn interim_replies_without_end_are_rejected() {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
    let parsed = parse_reply(&interim.repeat(100_000), false);
    assert_eq!(parsed, Err(MalformedInput::HeadTooLong));
    let few = [&interim.repeat(20)[..], b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"].concat();
    let reply = parse_reply(&few, false).expect("valid").expect("complete");
    assert_eq!((reply.status, reply.body, reply.encoded_bytes), (200, b"x".to_vec(), few.len()));
}

/// Guards against a head over the limit that is accepted because it arrives at once.
#[test]
fn a_complete_head_over_the_limit_is_rejected() {
    let reply = |filler: usize| {
        format!("HTTP/1.1 200 OK\r\nX-Filler: {}\r\nContent-Length: 0\r\n\r\n", "x".repeat(filler))
            .into_bytes()
    };
    assert_eq!(parse_reply(&reply(MAX_HEAD_BYTES), false), Err(MalformedInput::HeadTooLong));
    assert!(parse_reply(&reply(MAX_HEAD_BYTES - 100), false).is_ok_and(|reply| reply.is_some()));
}

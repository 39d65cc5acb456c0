use super::*;
use crate::wire::test_bytes;

#[test]
fn request_has_its_head_and_body() {
    let bytes = encode_request("POST", "/records/op", "127.0.0.1:8900", &[("Op-Of", "9b")], &[0, 255]);
    let wanted = b"POST /records/op HTTP/1.1\r\nHost: 127.0.0.1:8900\r\nOp-Of: 9b\r\nContent-Length: 2\r\n\r\n\x00\xff";
    assert_eq!(bytes, wanted);
}

#[test]
fn incomplete_reply_is_not_parsed() {
    let bytes = b"HTTP/1.1 503 No\r\nOp-Not-Begun: 1\r\nContent-Length: 3\r\n\r\nabcHTTP";
    for cut in 0..bytes.len() - 4 {
        assert_eq!(parse_reply(&bytes[..cut], false), Ok(None), "{cut}");
    }
    let read = parse_reply(bytes, false).expect("sound").expect("whole");
    assert_eq!((read.status, read.header("op-not-begun"), read.keep_alive), (503, Some("1"), true));
    assert_eq!((read.body.as_slice(), read.encoded_bytes), (&b"abc"[..], bytes.len() - 4));
}

#[test]
fn bodies_of_every_framing_are_parsed() {
    let chunked =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    for cut in 0..chunked.len() {
        assert_eq!(parse_reply(&chunked[..cut], false), Ok(None), "{cut}");
    }
    assert_eq!(parse_reply(chunked, false).expect("sound").expect("whole").body, b"abcde");
    let open = b"HTTP/1.1 200 OK\r\n\r\nabc";
    assert_eq!(parse_reply(open, false), Ok(None));
    let read = parse_reply(open, true).expect("sound").expect("whole");
    assert_eq!((read.body.as_slice(), read.keep_alive), (&b"abc"[..], false));
    let none = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
    let read = parse_reply(none, false).expect("sound").expect("whole");
    assert_eq!((read.status, read.keep_alive, read.encoded_bytes), (204, false, none.len()));
}

#[test]
fn damaged_replies_stay_within_bounds() {
    let length = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nOp-Not-Begun: 1\r\n\r\nabcdefghijkl";
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let mut kinds = [0; 3];
    for bytes in test_bytes::damaged_copies(length).chain(test_bytes::damaged_copies(chunked)) {
        for ended in [false, true] {
            match parse_reply(&bytes, ended) {
                Ok(Some(read)) => {
                    assert!(read.encoded_bytes <= bytes.len() && read.body.len() <= MAX_BODY_BYTES);
                    kinds[0] += 1;
                }
                Ok(None) => kinds[1] += 1,
                Err(_) => kinds[2] += 1,
            }
        }
    }
    assert!(kinds.iter().all(|&count| count > 20), "{kinds:?}");
}

#[test]
fn repeated_equal_content_length_is_accepted() {
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc";
    assert_eq!(parse_reply(twice, false).expect("sound").expect("whole").body, b"abc");
}

#[test]
fn hostile_replies_are_malformed() {
    let bad: [&[u8]; 10] = [
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
    for bytes in bad {
        assert!(parse_reply(bytes, false).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
    let endless = [&b"HTTP/1.1 200 OK\r\nX: "[..], &vec![b'a'; MAX_HEAD_BYTES]].concat();
    assert!(parse_reply(&endless, false).is_err());
}

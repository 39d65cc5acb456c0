//! Both ends against each other, and against bytes that nobody meant.

use proptest::collection::vec;
use proptest::prelude::*;
use umberloom_ajp::client::{self, ClientConnection};
use umberloom_ajp::packet::{self, Sender};
use umberloom_ajp::request::Request;
use umberloom_ajp::response::Response;
use umberloom_ajp::server::{Event, ServerConnection};
use umberloom_ajp::EncodeError;

const USUAL: usize = packet::DEFAULT_PACKET_BYTES;

/// Everything that both ends say until neither has more, the callee answering as soon as the request is whole. The
/// request that came, its body, and the answer's body.
fn exchange(request: &Request, body: &[u8], answer: &[u8], cut: usize) -> (Request, Vec<u8>, Vec<u8>) {
    let (mut caller, mut callee) = (ClientConnection::new(USUAL), ServerConnection::new(USUAL));
    caller.send_request(request, body).expect("it fits");
    let (mut came, mut heard, mut replied) = (None, Vec::new(), Vec::new());
    let (mut up, mut down) = (Vec::new(), Vec::new());
    loop {
        up.append(&mut caller.output);
        down.append(&mut callee.output);
        if up.is_empty() && down.is_empty() {
            break;
        }
        // Bytes come in pieces, as on a socket.
        let mut seen = 0;
        while seen < up.len() {
            seen = (seen + cut).min(up.len());
            while let (used @ 1.., event) = callee.decode(&up[..seen]).expect("sound") {
                up.drain(..used);
                seen -= used;
                match event {
                    Some(Event::Request(request)) => came = Some(*request),
                    Some(Event::Body(part, _)) => heard.extend(part),
                    other => panic!("{other:?}"),
                }
                if callee.awaits_body() {
                    callee.request_body_chunk();
                } else {
                    callee
                        .send_response(200, "OK", &[("Content-Type", "x/y"), ("X-Own", "z")], answer, true)
                        .expect("owed");
                }
            }
        }
        assert!(up.is_empty());
        while let (used @ 1.., event) = caller.decode(&down).expect("sound") {
            down.drain(..used);
            match event {
                Some(client::Event::Head(head)) => {
                    assert_eq!(head.headers[0], ("content-type".to_owned(), "x/y".to_owned()));
                    assert_eq!((head.status, head.headers[1].0.as_str()), (200, "x-own"));
                }
                Some(client::Event::Body(part)) => replied.extend(part),
                Some(client::Event::End(reuse)) => assert!(reuse),
                Some(client::Event::Pong) => panic!("no ping was sent"),
                None => {}
            }
        }
    }
    assert!(caller.is_idle() && callee.is_idle());
    (came.expect("a request"), heard, replied)
}

fn full() -> Request {
    let mut request = Request::new("POST", "/svc/book-room");
    request.headers = vec![("host".into(), "a".into()), ("request-id".into(), "9b1f".into())];
    (request.query, request.secret) = (Some("q=1".into()), Some(b"\0\xff".to_vec()));
    request.is_ssl = true;
    let attributes =
        [("ssl_key_size", "2048"), ("ssl_cipher", "c"), ("route", "r"), ("AJP_REMOTE_PORT", "1234")];
    request.attributes = attributes.map(|(n, v)| (n.to_owned(), v.to_owned())).into();
    request
}

#[test]
fn a_request_with_everything_comes_through_whole() {
    let body = vec![7; 3 * USUAL];
    let (came, heard, replied) = exchange(&full(), &body, &vec![8; 2 * USUAL], 1_000);
    let mut wanted = full();
    wanted.headers.push(("content-length".into(), body.len().to_string()));
    assert_eq!(came, wanted);
    assert_eq!((heard, replied), (body, vec![8; 2 * USUAL]));
}

#[test]
fn methods_without_a_code_are_stored() {
    let (came, ..) = exchange(&Request::new("PATCH", "/x"), b"", b"", 7);
    assert_eq!(came.method, "PATCH");
}

#[test]
fn pings_are_answered_between_requests_only() {
    let (mut caller, mut callee) = (ClientConnection::new(USUAL), ServerConnection::new(USUAL));
    caller.send_ping().expect("idle");
    assert_eq!(caller.send_request(&full(), b""), Err(EncodeError::OutOfTurn));
    assert_eq!(callee.decode(&caller.output), Ok((5, Some(Event::Ping))));
    callee.send_pong();
    assert_eq!(caller.decode(&callee.output), Ok((5, Some(client::Event::Pong))));
    caller.output.clear();
    caller.send_request(&full(), b"").expect("idle again");
    assert!(matches!(callee.decode(&caller.output), Ok((_, Some(Event::Request(_))))));
    let ping = [0x12, 0x34, 0, 1, 10];
    assert!(callee.decode(&ping).is_err(), "in the middle of a request");
    // While a body is awaited a ping is no part of it either.
    let mut callee = ServerConnection::new(USUAL);
    let mut caller = ClientConnection::new(USUAL);
    caller.send_request(&full(), &[1; 10]).expect("idle");
    let (used, _) = callee.decode(&caller.output).expect("sound");
    assert!(callee.decode(&ping).is_err() && callee.decode(&caller.output[used..]).is_ok());
}

#[test]
fn shutdown_is_an_event_and_nothing_more() {
    let mut callee = ServerConnection::new(USUAL);
    assert_eq!(callee.decode(&[0x12, 0x34, 0, 1, 7]), Ok((5, Some(Event::Shutdown))));
    assert!(callee.is_idle() && callee.output.is_empty());
}

fn with_body(stated: &str, parts: &[&[u8]]) -> Result<Vec<u8>, &'static str> {
    let mut request = Request::new("POST", "/x");
    request.headers.push(("content-length".into(), stated.to_owned()));
    let mut content = Vec::new();
    request.write(&mut content).expect("short");
    let (mut callee, mut bytes, mut heard) = (ServerConnection::new(USUAL), Vec::new(), Vec::new());
    packet::write_packet(&mut bytes, Sender::Client, &content);
    callee.decode(&bytes).map_err(|e| e.0)?;
    for part in parts {
        bytes.clear();
        let content = [&(part.len() as u16).to_be_bytes()[..], part].concat();
        packet::write_packet(&mut bytes, Sender::Client, &content);
        if let (_, Some(Event::Body(part, _))) = callee.decode(&bytes).map_err(|e| e.0)? {
            heard.extend(part);
        }
        callee.request_body_chunk();
    }
    Ok(heard)
}

#[test]
fn bodies_are_as_long_as_stated() {
    assert_eq!(with_body("4", &[b"ab", b"cd"]), Ok(b"abcd".to_vec()));
    assert_eq!(with_body("4", &[b"abcde"]), Err("a body longer than stated"));
    assert_eq!(with_body("4", &[b"ab", b""]), Err("a body shorter than stated"));
    assert_eq!(with_body("2", &[b"ab", b"c"]), Err("a packet before the end of the request before it"));
    for bad in ["-1", "+1", "", " 4", "99999999999999999999", "4,4"] {
        assert_eq!(with_body(bad, &[]), Err("a content length that is no number"), "{bad:?}");
    }
}

#[test]
fn a_part_that_nobody_asked_for_is_an_error() {
    let (mut caller, mut callee) = (ClientConnection::new(USUAL), ServerConnection::new(USUAL));
    caller.send_request(&full(), &[1; 2 * USUAL]).expect("idle");
    let (used, _) = callee.decode(&caller.output).expect("sound");
    let part = caller.output[used..].to_vec();
    callee.decode(&part).expect("the first comes by itself");
    assert!(callee.decode(&part).is_err());
}

#[test]
fn a_request_refused_before_its_body_ends_the_connection() {
    let (mut caller, mut callee) = (ClientConnection::new(USUAL), ServerConnection::new(USUAL));
    caller.send_request(&full(), &[1; 10 * USUAL]).expect("idle");
    let (_, event) = callee.decode(&caller.output).expect("sound");
    assert!(matches!(event, Some(Event::Request(_))) && callee.awaits_body());
    callee.send_response(503, "No", &[], b"", true).expect("owed");
    assert!(callee.should_close() && !callee.output.is_empty());
    assert_eq!(callee.send_response(200, "OK", &[], b"", true), Err(EncodeError::OutOfTurn));
}

#[test]
fn answers_out_of_turn_are_errors() {
    let mut body = vec![3, 0, 1, b'x', 0];
    for content in [&mut body, &mut vec![5, 1], &mut vec![9], &mut vec![6, 0, 9]] {
        let mut bytes = Vec::new();
        packet::write_packet(&mut bytes, Sender::Server, content);
        assert!(ClientConnection::new(USUAL).decode(&bytes).is_err(), "{content:?} on an idle connection");
    }
}

fn text() -> impl Strategy<Value = String> {
    "[ -~]{0,40}"
}

prop_compose! {
    fn requests()(
        method in "[A-Z]{1,12}", uri in text(), addr in text(), port in any::<u16>(), is_ssl in any::<bool>(),
        headers in vec(("[a-z][a-z0-9-]{0,20}", text()), 0..20), query in prop::option::of(text()),
        secret in prop::option::of(vec(any::<u8>(), 0..40)),
        attributes in vec(("[A-Z_]{1,20}", text()), 0..10), size in prop::option::of(any::<u16>()),
    ) -> Request {
        let mut request = Request::new(&method, &uri);
        (request.remote_addr, request.server_port, request.is_ssl) = (addr, port, is_ssl);
        request.headers = headers.into_iter().filter(|(n, _)| !n.starts_with("content-") && !n.starts_with("transfer")).collect();
        (request.query, request.secret, request.attributes) = (query, secret, attributes);
        request.attributes.extend(size.map(|s| ("ssl_key_size".to_owned(), s.to_string())));
        request
    }
}

proptest! {
    #[test]
    fn what_is_written_is_read_the_same(
        request in requests(), body in vec(any::<u8>(), 0..20_000), answer in vec(any::<u8>(), 0..20_000),
        cut in 1usize..5_000,
    ) {
        let (came, heard, replied) = exchange(&request, &body, &answer, cut);
        let mut wanted = request;
        if !body.is_empty() {
            wanted.headers.push(("content-length".into(), body.len().to_string()));
        }
        prop_assert_eq!(came, wanted);
        prop_assert!(heard == body && replied == answer);
    }

    /// Nothing panics, and what is taken is never more than what is there.
    #[test]
    fn any_bytes_are_an_event_an_error_or_awaited(bytes in vec(any::<u8>(), 0..600), magic in any::<bool>()) {
        let mut bytes = bytes;
        if magic && bytes.len() > 4 {
            let length = bytes.len() - 4;
            bytes[..2].copy_from_slice(&[0x12, 0x34]);
            bytes[2..4].copy_from_slice(&(length as u16).to_be_bytes());
            bytes[4] = [2, 7, 8, 10][length % 4];
        }
        let mut callee = ServerConnection::new(USUAL);
        if let Ok((used, _)) = callee.decode(&bytes) {
            prop_assert!(used <= bytes.len());
        }
        if let Some(content) = bytes.get(4..) {
            let _ = Response::read(content);
        }
    }

    /// A sound conversation with some bytes changed.
    #[test]
    fn changed_bytes_are_never_worse_than_an_error(
        request in requests(), changes in vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut caller = ClientConnection::new(USUAL);
        caller.send_request(&request, b"body").expect("it fits");
        let mut bytes = std::mem::take(&mut caller.output);
        changes.iter().for_each(|(at, to)| { let at = at.index(bytes.len()); bytes[at] = *to; });
        let mut callee = ServerConnection::new(USUAL);
        let mut at = 0;
        while let Ok((used @ 1.., _)) = callee.decode(&bytes[at..]) {
            at += used;
            callee.request_body_chunk();
        }
        prop_assert!(at <= bytes.len());
    }
}

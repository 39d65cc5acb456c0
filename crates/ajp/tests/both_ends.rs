//! Tests the server side against the client side, and both against random and damaged bytes.

use proptest::collection::vec;
use proptest::prelude::*;
use umberloom_ajp::client::{self, ClientConnection};
use umberloom_ajp::packet::{self, Sender};
use umberloom_ajp::request::Request;
use umberloom_ajp::response::Response;
use umberloom_ajp::server::{Event, ServerConnection};
use umberloom_ajp::EncodeError;

const PACKET_BYTES: usize = packet::DEFAULT_PACKET_BYTES;

/// Exchanges one request and its response between a client and a server, which responds as soon as the
/// request is complete. The server receives the bytes in pieces of `piece_bytes`. Returns the request and the
/// body that the server received, and the body that the client received.
fn exchange(
    request: &Request,
    body: &[u8],
    response: &[u8],
    piece_bytes: usize,
) -> (Request, Vec<u8>, Vec<u8>) {
    let (mut client, mut server) = (ClientConnection::new(PACKET_BYTES), ServerConnection::new(PACKET_BYTES));
    client.send_request(request, body).expect("fits a packet");
    let (mut received_request, mut request_body, mut response_body) = (None, Vec::new(), Vec::new());
    let (mut to_server, mut to_client) = (Vec::new(), Vec::new());
    loop {
        to_server.append(&mut client.output);
        to_client.append(&mut server.output);
        if to_server.is_empty() && to_client.is_empty() {
            break;
        }
        // Bytes arrive in pieces, as on a socket.
        let mut available = 0;
        while available < to_server.len() {
            available = (available + piece_bytes).min(to_server.len());
            while let (used @ 1.., event) = server.decode(&to_server[..available]).expect("valid") {
                to_server.drain(..used);
                available -= used;
                match event {
                    Some(Event::Request(request)) => received_request = Some(*request),
                    Some(Event::Body(chunk, _)) => request_body.extend(chunk),
                    other => panic!("{other:?}"),
                }
                if server.awaits_body() {
                    server.request_body_chunk();
                } else {
                    server
                        .send_response(200, "OK", &[("Content-Type", "x/y"), ("X-Own", "z")], response, true)
                        .expect("a request is open");
                }
            }
        }
        assert!(to_server.is_empty());
        while let (used @ 1.., event) = client.decode(&to_client).expect("valid") {
            to_client.drain(..used);
            match event {
                Some(client::Event::Head(head)) => {
                    assert_eq!(head.headers[0], ("content-type".to_owned(), "x/y".to_owned()));
                    assert_eq!((head.status, head.headers[1].0.as_str()), (200, "x-own"));
                }
                Some(client::Event::Body(chunk)) => response_body.extend(chunk),
                Some(client::Event::End(reuse)) => assert!(reuse),
                Some(client::Event::Pong) => panic!("no ping was sent"),
                None => {}
            }
        }
    }
    assert!(client.is_idle() && server.is_idle());
    (received_request.expect("a request"), request_body, response_body)
}

/// A request with a query, a secret and attributes.
fn full_request() -> Request {
    let mut request = Request::new("POST", "/svc/book-room");
    request.headers = vec![("host".into(), "a".into()), ("request-id".into(), "9b1f".into())];
    (request.query, request.secret) = (Some("q=1".into()), Some(b"\0\xff".to_vec()));
    request.is_ssl = true;
    let attributes =
        [("ssl_key_size", "2048"), ("ssl_cipher", "c"), ("route", "r"), ("AJP_REMOTE_PORT", "1234")];
    request.attributes = attributes.map(|(name, value)| (name.to_owned(), value.to_owned())).into();
    request
}

#[test]
fn request_with_every_field_round_trips() {
    let body = vec![7; 3 * PACKET_BYTES];
    let response = vec![8; 2 * PACKET_BYTES];
    let (received, request_body, response_body) = exchange(&full_request(), &body, &response, 1_000);
    let mut expected = full_request();
    expected.headers.push(("content-length".into(), body.len().to_string()));
    assert_eq!(received, expected);
    assert_eq!((request_body, response_body), (body, response));
}

#[test]
fn method_without_a_code_is_sent_by_name() {
    let (received, ..) = exchange(&Request::new("PATCH", "/x"), b"", b"", 7);
    assert_eq!(received.method, "PATCH");
}

#[test]
fn ping_is_valid_only_between_requests() {
    let (mut client, mut server) = (ClientConnection::new(PACKET_BYTES), ServerConnection::new(PACKET_BYTES));
    client.send_ping().expect("idle");
    assert_eq!(client.send_request(&full_request(), b""), Err(EncodeError::OutOfTurn));
    assert_eq!(server.decode(&client.output), Ok((5, Some(Event::Ping))));
    server.send_pong();
    assert_eq!(client.decode(&server.output), Ok((5, Some(client::Event::Pong))));
    client.output.clear();
    client.send_request(&full_request(), b"").expect("idle again");
    assert!(matches!(server.decode(&client.output), Ok((_, Some(Event::Request(_))))));
    let ping = [0x12, 0x34, 0, 1, 10];
    assert!(server.decode(&ping).is_err(), "in the middle of a request");
    // While a body chunk is expected, a ping is not taken for one.
    let mut server = ServerConnection::new(PACKET_BYTES);
    let mut client = ClientConnection::new(PACKET_BYTES);
    client.send_request(&full_request(), &[1; 10]).expect("idle");
    let (used, _) = server.decode(&client.output).expect("valid");
    assert!(server.decode(&ping).is_err() && server.decode(&client.output[used..]).is_ok());
}

#[test]
fn shutdown_is_reported_and_not_obeyed() {
    let mut server = ServerConnection::new(PACKET_BYTES);
    assert_eq!(server.decode(&[0x12, 0x34, 0, 1, 7]), Ok((5, Some(Event::Shutdown))));
    assert!(server.is_idle() && server.output.is_empty());
}

/// Sends a request with this Content-Length and these body chunks. Returns the body that the server received,
/// or the text of the error.
fn receive_body(content_length: &str, chunks: &[&[u8]]) -> Result<Vec<u8>, &'static str> {
    let mut request = Request::new("POST", "/x");
    request.headers.push(("content-length".into(), content_length.to_owned()));
    let mut content = Vec::new();
    request.write(&mut content).expect("fits a packet");
    let (mut server, mut bytes, mut body) = (ServerConnection::new(PACKET_BYTES), Vec::new(), Vec::new());
    packet::write_packet(&mut bytes, Sender::Client, &content);
    server.decode(&bytes).map_err(|error| error.0)?;
    for chunk in chunks {
        bytes.clear();
        let content = [&(chunk.len() as u16).to_be_bytes()[..], chunk].concat();
        packet::write_packet(&mut bytes, Sender::Client, &content);
        if let (_, Some(Event::Body(chunk, _))) = server.decode(&bytes).map_err(|error| error.0)? {
            body.extend(chunk);
        }
        server.request_body_chunk();
    }
    Ok(body)
}

#[test]
fn body_must_match_its_content_length() {
    assert_eq!(receive_body("4", &[b"ab", b"cd"]), Ok(b"abcd".to_vec()));
    assert_eq!(receive_body("4", &[b"abcde"]), Err("body is longer than its Content-Length"));
    assert_eq!(receive_body("4", &[b"ab", b""]), Err("body is shorter than its Content-Length"));
    assert_eq!(
        receive_body("2", &[b"ab", b"c"]),
        Err("packet received before the previous request was answered")
    );
    for invalid in ["-1", "+1", "", " 4", "99999999999999999999", "4,4"] {
        assert_eq!(receive_body(invalid, &[]), Err("Content-Length is not a number"), "{invalid:?}");
    }
}

#[test]
fn body_chunk_that_was_not_requested_is_an_error() {
    let (mut client, mut server) = (ClientConnection::new(PACKET_BYTES), ServerConnection::new(PACKET_BYTES));
    client.send_request(&full_request(), &[1; 2 * PACKET_BYTES]).expect("idle");
    let (used, _) = server.decode(&client.output).expect("valid");
    let chunk = client.output[used..].to_vec();
    server.decode(&chunk).expect("the first chunk is sent without a request");
    assert!(server.decode(&chunk).is_err());
}

#[test]
fn response_before_the_body_was_received_closes_the_connection() {
    let (mut client, mut server) = (ClientConnection::new(PACKET_BYTES), ServerConnection::new(PACKET_BYTES));
    client.send_request(&full_request(), &[1; 10 * PACKET_BYTES]).expect("idle");
    let (_, event) = server.decode(&client.output).expect("valid");
    assert!(matches!(event, Some(Event::Request(_))) && server.awaits_body());
    server.send_response(503, "No", &[], b"", true).expect("a request is open");
    assert!(server.should_close() && !server.output.is_empty());
    assert_eq!(server.send_response(200, "OK", &[], b"", true), Err(EncodeError::OutOfTurn));
}

#[test]
fn response_without_a_request_is_an_error() {
    let mut body = vec![3, 0, 1, b'x', 0];
    for content in [&mut body, &mut vec![5, 1], &mut vec![9], &mut vec![6, 0, 9]] {
        let mut bytes = Vec::new();
        packet::write_packet(&mut bytes, Sender::Server, content);
        assert!(
            ClientConnection::new(PACKET_BYTES).decode(&bytes).is_err(),
            "{content:?} on an idle connection"
        );
    }
}

/// Printable ASCII text.
fn text() -> impl Strategy<Value = String> {
    "[ -~]{0,40}"
}

prop_compose! {
    fn requests()(
        method in "[A-Z]{1,12}", uri in text(), addr in text(), port in any::<u16>(), is_ssl in any::<bool>(),
        headers in vec(("[a-z][a-z0-9-]{0,20}", text()), 0..20), query in prop::option::of(text()),
        secret in prop::option::of(vec(any::<u8>(), 0..40)),
        attributes in vec(("[A-Z_]{1,20}", text()), 0..10), key_size in prop::option::of(any::<u16>()),
    ) -> Request {
        let mut request = Request::new(&method, &uri);
        (request.remote_addr, request.server_port, request.is_ssl) = (addr, port, is_ssl);
        request.headers = headers
            .into_iter()
            .filter(|(name, _)| !name.starts_with("content-") && !name.starts_with("transfer"))
            .collect();
        (request.query, request.secret, request.attributes) = (query, secret, attributes);
        request.attributes.extend(key_size.map(|size| ("ssl_key_size".to_owned(), size.to_string())));
        request
    }
}

proptest! {
    #[test]
    fn request_and_response_round_trip(
        request in requests(), body in vec(any::<u8>(), 0..20_000), response in vec(any::<u8>(), 0..20_000),
        piece_bytes in 1usize..5_000,
    ) {
        let (received, request_body, response_body) = exchange(&request, &body, &response, piece_bytes);
        let mut expected = request;
        if !body.is_empty() {
            expected.headers.push(("content-length".into(), body.len().to_string()));
        }
        prop_assert_eq!(received, expected);
        prop_assert!(request_body == body && response_body == response);
    }

    /// Decoding never panics and never consumes more bytes than there are.
    #[test]
    fn arbitrary_bytes_are_decoded_without_a_panic(
        bytes in vec(any::<u8>(), 0..600), magic in any::<bool>(),
    ) {
        let mut bytes = bytes;
        if magic && bytes.len() > 4 {
            let length = bytes.len() - 4;
            bytes[..2].copy_from_slice(&[0x12, 0x34]);
            bytes[2..4].copy_from_slice(&(length as u16).to_be_bytes());
            bytes[4] = [2, 7, 8, 10][length % 4];
        }
        let mut server = ServerConnection::new(PACKET_BYTES);
        if let Ok((used, _)) = server.decode(&bytes) {
            prop_assert!(used <= bytes.len());
        }
        if let Some(content) = bytes.get(4..) {
            let _ = Response::read(content);
        }
    }

    /// Decodes a valid request in which some bytes were changed.
    #[test]
    fn changed_bytes_give_an_event_or_an_error(
        request in requests(), changes in vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut client = ClientConnection::new(PACKET_BYTES);
        client.send_request(&request, b"body").expect("fits a packet");
        let mut bytes = std::mem::take(&mut client.output);
        for (index, value) in &changes {
            let index = index.index(bytes.len());
            bytes[index] = *value;
        }
        let mut server = ServerConnection::new(PACKET_BYTES);
        let mut position = 0;
        while let Ok((used @ 1.., _)) = server.decode(&bytes[position..]) {
            position += used;
            server.request_body_chunk();
        }
        prop_assert!(position <= bytes.len());
    }
}

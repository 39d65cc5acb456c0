//! Tests the server side against the stand-in for a load balancer, whose codec was written independently.

use std::io::{Read, Write};
use std::net::TcpListener;

use umberloom_ajp::server::{Event, ServerConnection};
use umberloom_protocol_fakes::ajp::{AjpRequest, FrontEnd};

/// Serves this many requests on one connection, answering each with its own body. Returns the requests
/// without their bodies.
fn serve(listener: &TcpListener, requests: usize) -> Vec<umberloom_ajp::request::Request> {
    let (mut stream, _) = listener.accept().expect("a connection");
    let (mut connection, mut bytes, mut received, mut body) =
        (ServerConnection::new(8192), Vec::new(), Vec::new(), Vec::new());
    while received.len() < requests || !connection.is_idle() {
        let (used, event) = connection.decode(&bytes).expect("valid");
        bytes.drain(..used);
        match event {
            Some(Event::Request(request)) => received.push(*request),
            Some(Event::Body(chunk, _)) => body.extend(chunk),
            Some(Event::Ping) => connection.send_pong(),
            Some(other) => panic!("{other:?}"),
            None => {
                let mut buffer = [0; 3_000];
                let n = stream.read(&mut buffer).expect("bytes");
                assert!(n > 0, "the connection was closed");
                bytes.extend_from_slice(&buffer[..n]);
            }
        }
        if !received.is_empty() && !connection.is_idle() {
            if connection.awaits_body() {
                connection.request_body_chunk();
            } else if !connection.should_close() {
                let response_body = std::mem::take(&mut body);
                connection
                    .send_response(
                        200,
                        "OK",
                        &[("Content-Type", "x/y"), ("X-Own", "z")],
                        &response_body,
                        true,
                    )
                    .expect("a request is open");
            }
        }
        stream.write_all(&std::mem::take(&mut connection.output)).expect("written");
    }
    received
}

#[test]
fn independent_front_end_exchanges_requests_and_responses() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || serve(&listener, 3));
    let mut front_end = FrontEnd::connect(address);
    assert!(front_end.ping());
    let long_body = vec![b'x'; 30_000];
    let first = front_end.round_trip(&AjpRequest::new("9b1f").body(&long_body).secret("s"));
    assert_eq!((first.status, first.body == long_body, first.reuse), (200, true, true));
    assert_eq!((first.header("Content-Type"), first.header("x-own")), (Some("x/y"), Some("z")));
    assert!(front_end.ping());
    let second = front_end.round_trip(&AjpRequest::health_check("full=1"));
    assert_eq!((second.status, second.body.len()), (200, 0));
    let third = front_end.round_trip(&AjpRequest::new("9b20").with("Resource-Key", "k"));
    assert_eq!(third.body, b"body");
    let received = server.join().expect("no panic");
    assert_eq!((received[0].method.as_str(), received[0].uri.as_str()), ("POST", "/svc/search"));
    assert_eq!(
        (received[0].header("request-id"), received[0].header("content-length")),
        (Some("9b1f"), Some("30000"))
    );
    assert_eq!(received[0].secret.as_deref(), Some(&b"s"[..]));
    assert_eq!((received[1].method.as_str(), received[1].query.as_deref()), ("GET", Some("full=1")));
    assert_eq!(received[2].header("resource-key"), Some("k"));
}

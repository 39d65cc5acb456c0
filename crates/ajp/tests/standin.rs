//! The codec against an encoder that was written apart from it.

use std::io::{Read, Write};
use std::net::TcpListener;

use umberloom_ajp::server::{Event, ServerConnection};
use umberloom_protocol_fakes::ajp::{AjpRequest, FrontEnd};

/// Serves one connection: every request is answered with its body, by the headers and the query it came with. The heads
/// of the requests that came.
fn serve(listener: &TcpListener, requests: usize) -> Vec<umberloom_ajp::request::Request> {
    let (mut stream, _) = listener.accept().expect("a connection");
    let (mut callee, mut bytes, mut heads, mut body) =
        (ServerConnection::new(8192), Vec::new(), Vec::new(), Vec::new());
    while heads.len() < requests || !callee.is_idle() {
        let (used, event) = callee.decode(&bytes).expect("sound");
        bytes.drain(..used);
        match event {
            Some(Event::Request(request)) => heads.push(*request),
            Some(Event::Body(part, _)) => body.extend(part),
            Some(Event::Ping) => callee.send_pong(),
            Some(other) => panic!("{other:?}"),
            None => {
                let mut more = [0; 3_000];
                let n = stream.read(&mut more).expect("bytes");
                assert!(n > 0, "the connection ended");
                bytes.extend_from_slice(&more[..n]);
            }
        }
        if !heads.is_empty() && !callee.is_idle() {
            if callee.awaits_body() {
                callee.request_body_chunk();
            } else if !callee.should_close() {
                let reply = std::mem::take(&mut body);
                callee
                    .send_response(200, "OK", &[("Content-Type", "x/y"), ("X-Own", "z")], &reply, true)
                    .expect("owed");
            }
        }
        stream.write_all(&std::mem::take(&mut callee.output)).expect("written");
    }
    heads
}

#[test]
fn a_front_end_of_its_own_kind_is_understood_and_understands() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let served = std::thread::spawn(move || serve(&listener, 3));
    let mut front_end = FrontEnd::connect(address);
    assert!(front_end.ping());
    let long = vec![b'x'; 30_000];
    let first = front_end.round_trip(&AjpRequest::new("9b1f").body(&long).secret("s"));
    assert_eq!((first.status, first.body == long, first.reuse), (200, true, true));
    assert_eq!((first.header("Content-Type"), first.header("x-own")), (Some("x/y"), Some("z")));
    assert!(front_end.ping());
    let second = front_end.round_trip(&AjpRequest::health_check("full=1"));
    assert_eq!((second.status, second.body.len()), (200, 0));
    let third = front_end.round_trip(&AjpRequest::new("9b20").with("Resource-Key", "k"));
    assert_eq!(third.body, b"body");
    let heads = served.join().expect("no panic");
    assert_eq!((heads[0].method.as_str(), heads[0].uri.as_str()), ("POST", "/svc/search"));
    assert_eq!(
        (heads[0].header("request-id"), heads[0].header("content-length")),
        (Some("9b1f"), Some("30000"))
    );
    assert_eq!(heads[0].secret.as_deref(), Some(&b"s"[..]));
    assert_eq!((heads[1].method.as_str(), heads[1].query.as_deref()), ("GET", Some("full=1")));
    assert_eq!(heads[2].header("resource-key"), Some("k"));
}

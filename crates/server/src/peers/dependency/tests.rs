use std::net::TcpStream;

use async_io::Async;
use futures_lite::AsyncReadExt;
use umberloom::interface::Micros;

use super::call::classify_reply;
use super::*;
use crate::peers::stream;
use crate::wire::http;

/// Runs `script` with an actor for the dependency at a local listener, the actor's mailbox and that of
/// admission.
fn with_dependency<F: std::future::Future<Output = ()>>(
    max_calls: usize,
    script: impl FnOnce(Async<std::net::TcpListener>, Sender<DependencyCommand>, Receiver<AdmissionMessage>) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let (commands, received) = async_channel::bounded(MAILBOX_CAPACITY);
    let (admission, messages) = async_channel::bounded(8);
    let log = Logger::root(slog::Discard, slog::o!());
    let target = (CallTarget::records_service(address), SocketBudget::new(max_calls));
    let client = DependencyClient::new(executor.clone(), target, received, admission, Clock::default(), log);
    executor.spawn(client.run()).detach();
    async_io::block_on(executor.run(script(listener, commands, messages)));
}

fn call(id: &str, deadline: Micros) -> DependencyCommand {
    let id = CallId::without_plan(id.into());
    DependencyCommand::Call(Call { id, address: None, body: Rc::from(&[][..]), deadline })
}

fn far_deadline() -> Micros {
    Clock::default().now() + 100_000_000
}

/// Reads one request without a body; `false` if the connection ends before the request does.
async fn read_request(stream: &mut Async<TcpStream>) -> bool {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte).await, Ok(1)) {
            return false;
        }
        bytes.push(byte[0]);
    }
    true
}

async fn next_outcome(messages: &Receiver<AdmissionMessage>) -> (String, Outcome) {
    match messages.recv().await {
        Ok(AdmissionMessage::CallEnded { id, outcome, .. }) => (id.request.to_string(), outcome),
        other => panic!("{other:?}"),
    }
}

#[test]
fn second_call_with_the_same_id_cancels_the_first() {
    with_dependency(4, |listener, commands, messages| async move {
        commands.send(call("a", far_deadline())).await.expect("mailbox open");
        let (mut first, _) = listener.accept().await.expect("a connection");
        assert!(read_request(&mut first).await);
        commands.send(call("a", far_deadline())).await.expect("mailbox open");
        let (mut second, _) = listener.accept().await.expect("a connection");
        assert!(read_request(&mut second).await);
        assert!(!read_request(&mut first).await);
        let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream::write_all(&second, reply).await.expect("written");
        assert_eq!(next_outcome(&messages).await, ("a".to_owned(), Outcome::Ok));
        assert!(messages.is_empty());
    });
}

#[test]
fn calls_beyond_the_socket_budget_are_rejected() {
    with_dependency(1, |listener, commands, messages| async move {
        commands.send(call("a", far_deadline())).await.expect("mailbox open");
        let (mut stream, _) = listener.accept().await.expect("a connection");
        assert!(read_request(&mut stream).await);
        commands.send(call("b", far_deadline())).await.expect("mailbox open");
        assert_eq!(next_outcome(&messages).await, ("b".to_owned(), Outcome::Rejected));
        drop(stream);
        assert_eq!(next_outcome(&messages).await, ("a".to_owned(), Outcome::ConnectionLost));
    });
}

#[test]
fn refused_connection_is_unreachable_and_silence_times_out() {
    with_dependency(4, |listener, commands, messages| async move {
        let near_deadline = Clock::default().now() + 2_000_000;
        commands.send(call("silent", near_deadline)).await.expect("mailbox open");
        assert_eq!(next_outcome(&messages).await, ("silent".to_owned(), Outcome::TimedOut));
        drop(listener);
        commands.send(call("refused", far_deadline())).await.expect("mailbox open");
        assert_eq!(next_outcome(&messages).await, ("refused".to_owned(), Outcome::Unreachable));
    });
}

#[test]
fn connection_closed_while_idle_is_not_reused() {
    with_dependency(4, |listener, commands, messages| async move {
        for _ in 0..3 {
            commands.send(call("a", far_deadline())).await.expect("mailbox open");
            let (mut stream, _) = listener.accept().await.expect("a connection");
            assert!(read_request(&mut stream).await);
            let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            stream::write_all(&stream, reply).await.expect("written");
            assert_eq!(next_outcome(&messages).await, ("a".to_owned(), Outcome::Ok));
            // Closes the idle connection, so that the next call needs a new one.
            drop(stream);
        }
    });
}

#[test]
fn malformed_reply_ends_the_call_and_its_connection_is_not_reused() {
    with_dependency(4, |listener, commands, messages| async move {
        let malformed_replies = [
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\nabcabcabc",
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
            "HTTP/1.1 200 OK\r\n\r\nabc",
            "HTTP/1.1 OK 200\r\nContent-Length: 3\r\n\r\nabc",
        ];
        for reply in malformed_replies {
            commands.send(call("a", far_deadline())).await.expect("mailbox open");
            let (mut stream, _) = listener.accept().await.expect("a connection");
            assert!(read_request(&mut stream).await);
            stream::write_all(&stream, reply.as_bytes()).await.expect("written");
            stream.get_ref().shutdown(std::net::Shutdown::Write).expect("shut");
            assert_eq!(next_outcome(&messages).await, ("a".to_owned(), Outcome::ConnectionLost), "{reply}");
        }
    });
}

#[test]
fn bytes_after_a_reply_are_not_taken_for_the_next_reply() {
    with_dependency(4, |listener, commands, messages| async move {
        for trailing in ["HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz", "noise", ""] {
            commands.send(call("a", far_deadline())).await.expect("mailbox open");
            let (mut stream, _) = listener.accept().await.expect("a connection");
            assert!(read_request(&mut stream).await);
            let interim_replies = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n";
            let reply = format!("{interim_replies}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na{trailing}");
            stream::write_all(&stream, reply.as_bytes()).await.expect("written");
            assert_eq!(next_outcome(&messages).await, ("a".to_owned(), Outcome::Ok));
        }
    });
}

#[test]
fn only_the_not_begun_header_proves_that_a_call_never_ran() {
    let classify = |text: &str| {
        let bytes = format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n");
        classify_reply(
            &http::parse_reply(bytes.as_bytes(), false).expect("valid reply").expect("complete reply"),
        )
    };
    assert_eq!(classify("200 OK"), Outcome::Ok);
    assert_eq!(classify("503 No\r\nOp-Not-Begun: 1"), Outcome::Rejected);
    assert_eq!(classify("409 No\r\nOp-Not-Begun: 1"), Outcome::NotStarted);
    assert_eq!(classify("504 Late"), Outcome::TimedOut);
    for text in ["500 Error", "503 No", "409 No", "404 What", "503 No\r\nOp-Not-Begun: 0"] {
        assert!(!classify(text).never_ran(), "{text}");
    }
}

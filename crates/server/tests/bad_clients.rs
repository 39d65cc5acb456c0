//! Clients that do not behave like load balancers: their requests are rejected or their connections closed,
//! and no other client is affected.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::balancer::encode_record;
use common::{Balancer, Request, TestEnvironment, WAIT_TIMEOUT};
use serde_json::{json, Value};

/// Sets the idle timeout to 300 s, far longer than a test waits, so that no connection is closed as idle.
fn with_long_idle_timeout(config: &mut Value) {
    config["settings"]["family_info"]["idle_us"] = json!(300_000_000);
}

/// Waits until the server closes the connection, also by a reset, and returns the bytes that it sent before.
fn read_until_closed(mut stream: TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit");
    let mut received = Vec::new();
    match stream.read_to_end(&mut received) {
        Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("not closed: {e}"),
        _ => received,
    }
}

/// A FastCGI record that begins a request and asks for the connection to be kept open.
fn begin_request_record(slot: u16) -> Vec<u8> {
    encode_record(1, slot, &[0, 1, 1, 0, 0, 0, 0, 0])
}

/// Sends the first half of a request and returns the second one.
fn send_first_half(balancer: &mut Balancer, request: &Request) -> Vec<u8> {
    let bytes = request.bytes();
    let (first_half, second_half) = bytes.split_at(bytes.len() / 2);
    balancer.send_bytes(first_half);
    second_half.to_vec()
}

#[test]
fn connection_without_a_complete_request_is_closed() {
    let env = TestEnvironment::start_registered(with_long_idle_timeout);
    let request = Request::new(1, "half").bytes();
    let partial_inputs = [
        Vec::new(),
        request[..5].to_vec(),
        request[..request.len() / 2].to_vec(),
        [begin_request_record(1), encode_record(4, 1, b"")].concat(),
        // A record that belongs to no request.
        encode_record(11, 0, &[0; 8]),
    ];
    let connect_and_send = |bytes: &Vec<u8>| {
        let mut stream = TcpStream::connect(env.listen).expect("connected");
        stream.write_all(bytes).expect("written");
        stream
    };
    let connections: Vec<TcpStream> = partial_inputs.iter().map(connect_and_send).collect();
    connections.into_iter().for_each(|stream| drop(read_until_closed(stream)));
}

#[test]
fn connection_with_a_partial_second_request_is_closed() {
    let mut env = TestEnvironment::start_registered(with_long_idle_timeout);
    let mut balancer = env.launch_request("a");
    send_first_half(&mut balancer, &Request::new(2, "half"));
    // Longer than the 2 s in which the second request must be complete.
    std::thread::sleep(Duration::from_millis(2_200));
    // The request in flight on the connection is still answered.
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert_eq!(balancer.try_answer(), None);
}

/// Guards against requests without an answer: one is written slowly behind an open one, and another follows it.
#[test]
fn request_written_slowly_behind_an_open_one_is_answered() {
    let mut env = TestEnvironment::start_registered(with_long_idle_timeout);
    let mut balancer = env.launch_request("open");
    let second_half = send_first_half(&mut balancer, &Request::new(2, "slow"));
    // Longer than the 2 s in which a request must be complete when nothing else is open.
    std::thread::sleep(Duration::from_millis(2_300));
    balancer.send_bytes(&[second_half, Request::new(3, "usual").bytes()].concat());
    for (slot, id) in [(2, "slow"), (3, "usual")] {
        assert_eq!(env.agent.expect_command("launch").0, id);
        env.agent.send_outcome(id, "fine", b"r");
        let answer = balancer.answer();
        assert_eq!((answer.slot, answer.status), (slot, 200));
    }
    env.agent.send_outcome("open", "fine", b"r");
    assert_eq!(balancer.answer().slot, 1);
}

/// Guards against a close right after the last response, while a request is being received for longer than 2 s:
/// from that response on it has this time again.
#[test]
fn half_received_request_may_be_completed_after_the_open_one_is_answered() {
    let mut env = TestEnvironment::start_registered(with_long_idle_timeout);
    let mut balancer = env.launch_request("open");
    let second_half = send_first_half(&mut balancer, &Request::new(2, "slow"));
    std::thread::sleep(Duration::from_millis(2_300));
    env.agent.send_outcome("open", "fine", b"r");
    assert_eq!(balancer.answer().slot, 1);
    std::thread::sleep(Duration::from_millis(500));
    balancer.send_bytes(&second_half);
    assert_eq!(env.agent.expect_command("launch").0, "slow");
    env.agent.send_outcome("slow", "fine", b"r");
    assert_eq!(balancer.answer().slot, 2);
}

#[test]
fn connection_may_be_idle_between_requests() {
    let mut env = TestEnvironment::start_registered(with_long_idle_timeout);
    let mut balancer = env.balancer();
    for id in ["a", "b"] {
        balancer.send(&Request::new(1, id));
        assert_eq!(env.agent.expect_command("launch").0, id);
        env.agent.send_outcome(id, "fine", b"r");
        assert_eq!(balancer.answer().body, b"r");
        // Longer than the 2 s in which a new connection must complete its first request.
        std::thread::sleep(Duration::from_millis(2_300));
    }
}

#[test]
fn run_may_take_longer_than_the_request_timeout() {
    let mut env = TestEnvironment::start_registered(with_long_idle_timeout);
    let mut balancer = env.launch_request("a");
    std::thread::sleep(Duration::from_millis(2_300));
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
}

#[test]
fn endless_records_outside_a_request_close_the_connection() {
    let env = TestEnvironment::start_registered(with_long_idle_timeout);
    for flood in [encode_record(9, 0, &[]), encode_record(5, 7, &[0; 4096]), encode_record(11, 0, &[0; 8])] {
        let mut stream = TcpStream::connect(env.listen).expect("connected");
        let flood = flood.repeat((1 << 20) / flood.len());
        let mut sent_mb = 0;
        while sent_mb < 64 && stream.write_all(&flood).is_ok() {
            sent_mb += 1;
        }
        assert!(sent_mb < 64, "64 MB were read");
    }
}

#[test]
fn oversized_body_is_rejected_before_its_end() {
    let mut env = TestEnvironment::start_registered(with_long_idle_timeout);
    let memory_before_kb = env.memory_kb();
    let mut balancer = env.balancer();
    let request = Request::new(1, "a").bytes();
    // All but the record that ends the body (8 bytes of header, 3 of padding), then a record that makes the
    // body longer than allowed and does not end it.
    balancer.send_bytes(&request[..request.len() - 11]);
    balancer.send_bytes(&encode_record(5, 1, &[7; 65_000]));
    assert_eq!(balancer.answer().status, 400);
    assert_eq!(balancer.try_answer(), None);
    assert!(env.memory_kb() < memory_before_kb + 4_096);
    assert!(env.is_alive());
}

/// Begins a request in every slot, each with parameters that stay just within their limit and never end, and
/// does the same again once the server has closed the connection.
fn send_endless_requests(listen: SocketAddr, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(listen) else { continue };
        stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a time limit");
        for slot in 1..=32 {
            let params = encode_record(4, slot, &[0; 1_000]).repeat(16);
            if stream.write_all(&[begin_request_record(slot), params].concat()).is_err() {
                break;
            }
        }
        let is_waiting = |e: &std::io::Error| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        while stream.read(&mut [0; 64]).as_ref().is_err_and(is_waiting) && !stop.load(Ordering::Relaxed) {}
    }
}

/// Ends the bad clients, also when a check fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Guards against requests without an answer: bad clients use up the memory for messages from peers, and a
/// load balancer's connection with open requests must still be read.
#[test]
fn requests_behind_an_open_one_are_answered_while_bad_clients_use_up_the_memory() {
    const BAD_CLIENTS: usize = 60;
    const MEMORY_MB: usize = 16;
    let mut env = TestEnvironment::start_registered(|config| {
        with_long_idle_timeout(config);
        config["limits"]["memory_mb"] = MEMORY_MB.into();
        config["limits"]["sockets"] = 128.into();
    });
    let mut balancer = env.launch_request("open");
    let (listen, stop) = (env.listen, AtomicBool::new(false));
    let mut peak_memory_kb = 0;
    std::thread::scope(|scope| {
        for _ in 0..BAD_CLIENTS {
            scope.spawn(|| send_endless_requests(listen, &stop));
        }
        let _stop = StopOnDrop(&stop);
        for _ in 0..300 {
            // Several requests in one write, with bodies of the largest size that the protocol allows. They
            // are answered at once, as their class does not exist.
            let burst = (2..=7).flat_map(|slot| {
                let request = Request::new(slot, &format!("{slot:016x}")).body(&[7; 2_048]);
                request.with("SCRIPT_NAME", "/svc/unknown").bytes()
            });
            balancer.send_bytes(&burst.collect::<Vec<u8>>());
            let answers: Vec<Option<u16>> =
                (2..=7).map(|_| balancer.try_answer().map(|a| a.status)).collect();
            assert_eq!(answers, [Some(400); 6]);
            peak_memory_kb = env.memory_kb().max(peak_memory_kb);
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    assert!(peak_memory_kb < MEMORY_MB * 1_024, "{peak_memory_kb} KB");
    env.agent.send_outcome("open", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert!(env.is_alive());
}

#[test]
fn silent_connections_do_not_keep_load_balancers_out() {
    let mut env = TestEnvironment::start_registered(|config| {
        with_long_idle_timeout(config);
        config["limits"]["sockets"] = 64.into();
    });
    let mut established = env.balancer();
    assert_eq!(established.round_trip(&Request::health_check(1, "")).status, 200);
    let silent_connections: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(env.listen).expect("connected")).collect();
    // Once a later connection is served, all the silent ones have been accepted.
    let mut new_client = Balancer::connect(env.listen);
    assert_eq!(new_client.round_trip(&Request::health_check(1, "")).status, 200);
    // The connection that made a request before them is kept, though it has been idle longer than any of
    // them.
    assert_eq!(established.round_trip(&Request::health_check(2, "")).status, 200);
    assert!(env.descriptor_count() <= 64, "{}", env.descriptor_count());
    drop(silent_connections);
    assert!(env.is_alive());
}

#[test]
fn requests_rejected_by_the_agent_do_not_affect_health() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut rejected_client = env.balancer();
    for n in 0..40 {
        let id = format!("{n:016x}");
        rejected_client.send(&Request::new(1, &id));
        assert_eq!(env.agent.expect_command("launch").0, id);
        env.agent.send(&json!({"op": "refusal", "end": "launch", "id": id}));
        assert_eq!(rejected_client.answer().status, 500);
    }
    // If these counted as failed runs, the server would be unhealthy and admit at most two probe requests.
    let mut balancer = env.balancer();
    for slot in 1..=5 {
        balancer.send(&Request::new(slot, &format!("sound{slot}")));
    }
    for _ in 1..=5 {
        env.agent.expect_command("launch");
    }
}

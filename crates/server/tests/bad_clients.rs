//! Clients that do not behave like load balancers: their requests are rejected or their connections closed,
//! and no other client is affected.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::balancer::record;
use common::{Balancer, Request, TestEnvironment, WAIT_TIMEOUT};
use serde_json::{json, Value};

/// Sets the idle timeout to 300 s, far longer than a test waits, so that no connection is closed as idle.
fn patient(config: &mut Value) {
    config["settings"]["family_info"]["idle_us"] = json!(300_000_000);
}

/// Waits until the server closes the connection, also by a reset, and returns the bytes that it sent before.
fn closed(mut stream: TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit");
    let mut all = Vec::new();
    match stream.read_to_end(&mut all) {
        Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("not closed: {e}"),
        _ => all,
    }
}

/// A FastCGI record that begins a request and asks for the connection to be kept open.
fn begin(slot: u16) -> Vec<u8> {
    record(1, slot, &[0, 1, 1, 0, 0, 0, 0, 0])
}

#[test]
fn connection_without_a_complete_request_is_closed() {
    let world = TestEnvironment::start_registered(patient);
    let whole = Request::new(1, "half").bytes();
    let starts = [
        Vec::new(),
        whole[..5].to_vec(),
        whole[..whole.len() / 2].to_vec(),
        [begin(1), record(4, 1, b"")].concat(),
        // A record that belongs to no request.
        record(11, 0, &[0; 8]),
    ];
    let sent = |bytes: &Vec<u8>| {
        let mut stream = TcpStream::connect(world.listen).expect("connected");
        stream.write_all(bytes).expect("written");
        stream
    };
    let all: Vec<TcpStream> = starts.iter().map(sent).collect();
    all.into_iter().for_each(|stream| drop(closed(stream)));
}

#[test]
fn connection_with_a_partial_second_request_is_closed() {
    let mut world = TestEnvironment::start_registered(patient);
    let mut balancer = world.launch_request("a");
    let half = Request::new(2, "half").bytes();
    balancer.send_bytes(&half[..half.len() / 2]);
    std::thread::sleep(Duration::from_millis(2_200));
    // The request in flight on the connection is still answered.
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert_eq!(balancer.try_answer(), None);
}

#[test]
fn connection_may_be_idle_between_requests() {
    let mut world = TestEnvironment::start_registered(patient);
    let mut balancer = world.balancer();
    for id in ["a", "b"] {
        balancer.send(&Request::new(1, id));
        assert_eq!(world.agent.expect_command("launch").0, id);
        world.agent.send_outcome(id, "fine", b"r");
        assert_eq!(balancer.answer().body, b"r");
        // Longer than the 2 s in which a new connection must complete its first request.
        std::thread::sleep(Duration::from_millis(2_300));
    }
}

#[test]
fn run_may_take_longer_than_the_request_timeout() {
    let mut world = TestEnvironment::start_registered(patient);
    let mut balancer = world.launch_request("a");
    std::thread::sleep(Duration::from_millis(2_300));
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
}

#[test]
fn endless_useless_records_end_the_connection() {
    let world = TestEnvironment::start_registered(patient);
    for flood in [record(9, 0, &[]), record(5, 7, &[0; 4096]), record(11, 0, &[0; 8])] {
        let mut stream = TcpStream::connect(world.listen).expect("connected");
        let flood = flood.repeat((1 << 20) / flood.len());
        let mut sent = 0;
        while sent < 64 && stream.write_all(&flood).is_ok() {
            sent += 1;
        }
        assert!(sent < 64, "64 MB were read");
    }
}

#[test]
fn oversized_body_is_rejected_before_its_end() {
    let mut world = TestEnvironment::start_registered(patient);
    let before = world.memory_kb();
    let mut balancer = world.balancer();
    let sound = Request::new(1, "a").bytes();
    // All but the record that ends the body (8 bytes of header, 3 of padding), then a record that makes the
    // body longer than allowed and does not end it.
    balancer.send_bytes(&sound[..sound.len() - 11]);
    balancer.send_bytes(&record(5, 1, &[7; 65_000]));
    assert_eq!(balancer.answer().status, 400);
    assert_eq!(balancer.try_answer(), None);
    assert!(world.memory_kb() < before + 4_096);
    assert!(world.is_alive());
}

#[test]
fn silent_connections_do_not_keep_load_balancers_out() {
    let mut world = TestEnvironment::start_registered(|config| {
        patient(config);
        config["limits"]["sockets"] = 64.into();
    });
    let mut usual = world.balancer();
    assert_eq!(usual.round_trip(&Request::health_check(1, "")).status, 200);
    let crowd: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(world.listen).expect("connected")).collect();
    // Once a later connection is served, all the silent ones have been accepted.
    let mut last = Balancer::connect(world.listen);
    assert_eq!(last.round_trip(&Request::health_check(1, "")).status, 200);
    // The connection that made a request before them is kept, though it has been idle longer than any of
    // them.
    assert_eq!(usual.round_trip(&Request::health_check(2, "")).status, 200);
    assert!(world.descriptor_count() <= 64, "{}", world.descriptor_count());
    drop(crowd);
    assert!(world.is_alive());
}

#[test]
fn requests_rejected_by_the_agent_do_not_affect_health() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut stranger = world.balancer();
    for n in 0..40 {
        let id = format!("{n:016x}");
        stranger.send(&Request::new(1, &id));
        assert_eq!(world.agent.expect_command("launch").0, id);
        world.agent.send(&json!({"op": "refusal", "end": "launch", "id": id}));
        assert_eq!(stranger.answer().status, 500);
    }
    // If these counted as failed runs, the server would be unhealthy and admit at most two probe requests.
    let mut balancer = world.balancer();
    for slot in 1..=5 {
        balancer.send(&Request::new(slot, &format!("sound{slot}")));
    }
    for _ in 1..=5 {
        world.agent.expect_command("launch");
    }
}

//! Failures of peers over real sockets (cut links, floods, malformed bytes), and stalls and the exit of the
//! process.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;

use common::balancer::encode_record;
use common::{eventually, Balancer, Request, TestEnvironment};

/// Pseudo-random bytes; the same seed gives the same bytes.
fn pseudo_random_bytes(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 24) as u8
    };
    (0..length).map(|_| next()).collect()
}

#[test]
fn a_new_agent_link_resumes_where_the_last_one_was_cut() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    env.agent.wait_for_samples(2);
    env.agent.answers_samples = false;
    for (slot, id) in [(1, "ended"), (2, "unread")] {
        balancer.send(&Request::new(slot, id));
        assert_eq!(env.agent.expect_command("launch").0, id);
    }
    env.agent.disconnect();
    env.agent.answers_samples = true;
    env.agent.wait_for_link();
    assert_eq!(env.agent.subscribed_seqs, [0, 0]);
    env.agent.resend_initial_notice();
    // The agent had read one launch, whose run ended while there was no link; it had never read the other.
    env.agent.send_outcome("ended", "fine", b"r1");
    let (id, command) = env.agent.expect_command("launch");
    assert_eq!((id.as_str(), command["class"].as_str()), ("unread", Some("search")));
    env.agent.send_outcome("unread", "fine", b"r2");
    let (first, second) = (balancer.answer(), balancer.answer());
    assert_eq!((first.slot, first.body.as_slice()), (1, &b"r1"[..]));
    assert_eq!((second.slot, second.body.as_slice()), (2, &b"r2"[..]));
}

#[test]
fn notices_seen_before_are_dropped_and_confirmed_commands_are_not_repeated() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"x");
    env.records.next_call().reply("200 OK", "", b"y");
    env.agent.expect_command("deliver");
    // The answers to later samples show that all of this has been read.
    env.agent.wait_for_samples(3);
    env.agent.disconnect();
    env.agent.wait_for_link();
    assert_eq!(env.agent.subscribed_seqs, [0, 1]);
    env.agent.resend_initial_notice();
    let body = common::balancer::base64(b"x");
    env.agent.send(&serde_json::json!({"op": "request", "seq": 1, "id": "a", "body": body}));
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    // Neither the launch nor the reply is repeated on the new link: the next command is for another request.
    balancer.send(&Request::new(1, "b"));
    assert_eq!(env.agent.expect_command("launch").0, "b");
}

#[test]
fn requests_that_arrive_without_an_agent_link_are_launched_on_the_next() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    env.agent.disconnect();
    env.agent.wait_for_link();
    balancer.send(&Request::new(1, "a"));
    // Meanwhile health checks are answered from the server's readiness.
    assert_eq!(env.balancer().round_trip(&Request::health_check(1, "")).status, 200);
    env.agent.resend_initial_notice();
    assert_eq!(env.agent.expect_command("launch").0, "a");
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn malformed_lines_from_the_agent_close_only_the_link() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    let overlong_line = vec![b'x'; 70_000];
    for (slot, malformed) in [(1, &b"nonsense\n"[..]), (2, b"{\"op\":7}\n"), (3, &overlong_line)] {
        let id = format!("r{slot}");
        balancer.send(&Request::new(slot, &id));
        assert_eq!(env.agent.expect_command("launch").0, id);
        env.agent.wait_for_samples(3);
        env.agent.send_bytes(malformed);
        env.agent.send_initial_notice();
        env.agent.send_outcome(&id, "fine", b"r");
        assert_eq!(balancer.answer().status, 200);
    }
}

#[test]
fn malformed_bytes_close_only_their_connection() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut healthy = env.launch_request("healthy");
    for seed in 0..40 {
        let mut stream = TcpStream::connect(env.listen).expect("connected");
        let bytes = pseudo_random_bytes(seed, 600);
        let request = Request::new(2, &format!("bad{seed}")).bytes();
        // Random bytes alone, a valid start cut off, and a valid start followed by random bytes.
        let _ = match seed % 3 {
            0 => stream.write_all(&bytes),
            1 => stream.write_all(&request[..bytes[0] as usize % request.len()]),
            _ => stream.write_all(&[&request[..request.len() / 2], &bytes].concat()),
        };
    }
    assert!(env.is_alive());
    env.agent.send_outcome("healthy", "fine", b"r");
    assert_eq!(healthy.answer().body, b"r");
}

#[test]
fn requests_in_flight_on_a_connection_with_malformed_bytes_are_still_answered() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    // The malformed bytes follow a valid record in the same write.
    balancer.send_bytes(&[encode_record(9, 0, &[]), b"GET / HTTP/1.1\r\n\r\n".to_vec()].concat());
    assert_eq!(balancer.next_record().map(|(kind, ..)| kind), Some(10));
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert_eq!(balancer.try_answer(), None);
}

#[test]
fn a_balancer_that_shuts_down_its_sending_side_still_gets_its_answers() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    balancer.send(&Request::new(1, "a"));
    balancer.stream.shutdown(std::net::Shutdown::Write).expect("shut");
    env.agent.expect_command("launch");
    env.agent.send_outcome("a", "fine", &[7; 4096]);
    assert_eq!(balancer.answer().body, [7; 4096]);
    assert_eq!(balancer.try_answer(), None);
}

#[test]
fn an_aborted_request_ends_and_its_run_is_stopped() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    balancer.send_bytes(&encode_record(2, 1, &[]));
    assert_eq!(balancer.answer().status, 0);
    assert_eq!(env.agent.expect_command("freeze").0, "a");
    env.agent.send_outcome("a", "broken_off", b"");
    // The slot is reused by another request, which gets only its own answer.
    balancer.send(&Request::new(1, "b"));
    let mut next_command = env.agent.next_command();
    while next_command["op"] == "freeze" {
        next_command = env.agent.next_command();
    }
    assert_eq!(next_command["id"], "b");
    env.agent.send_outcome("b", "fine", b"rb");
    assert_eq!(balancer.answer().body, b"rb");
}

#[test]
fn requests_beyond_the_limit_of_a_connection_are_answered_as_overloaded() {
    let env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    for slot in 1..=33 {
        balancer.send_bytes(&encode_record(1, slot, &[0, 1, 1, 0, 0, 0, 0, 0]));
    }
    let answer = balancer.answer();
    assert_eq!((answer.slot, answer.protocol_status), (33, 2));
}

#[test]
fn a_full_connection_table_delays_no_established_connection() {
    let mut env = TestEnvironment::start_registered(|config| config["limits"]["sockets"] = 64.into());
    let mut established = env.launch_request("a");
    let other_connections: Vec<TcpStream> =
        (0..80).map(|_| TcpStream::connect(env.listen).expect("connected")).collect();
    // The established connections are idle, so they are closed one by one to make room for new ones.
    let mut new_client = env.balancer();
    assert_eq!(new_client.round_trip(&Request::health_check(1, "")).status, 200);
    assert!(env.descriptor_count() <= 64, "{}", env.descriptor_count());
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(established.answer().body, b"r");
    assert_eq!(env.announce.next_report(), "true");
    drop(other_connections);
}

#[test]
fn a_peer_that_does_not_read_delays_no_other_peer() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut non_reading = env.balancer();
    non_reading.stream.set_write_timeout(Some(std::time::Duration::from_millis(300))).expect("a time limit");
    let get_values = encode_record(9, 0, b"\x0f\x00FCGI_MPXS_CONNS");
    let flood = get_values.repeat(1_000);
    // Writes until the server accepts no more: the unread answers fill all buffers between the two.
    let mut sent_bytes = 0;
    while sent_bytes < 256 << 20 && non_reading.stream.write_all(&flood).is_ok() {
        sent_bytes += flood.len();
    }
    assert!(sent_bytes < 256 << 20);
    let mut other = env.balancer();
    assert_eq!(other.round_trip(&Request::health_check(1, "")).status, 200);
    assert!(env.is_alive());
}

#[test]
fn a_peer_that_keeps_sending_malformed_bytes_is_disconnected() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut flooder = env.balancer();
    let flood = vec![0; 1 << 20];
    let mut sent_mb = 0;
    // No more can be written than the server reads while it closes the connection, and what fits into the
    // buffers.
    while sent_mb < 256 && flooder.stream.write_all(&flood).is_ok() {
        sent_mb += 1;
    }
    assert!(sent_mb < 256);
    assert_eq!(env.balancer().round_trip(&Request::health_check(1, "")).status, 200);
    assert!(env.is_alive());
}

#[test]
fn half_sent_requests_stay_within_the_memory_limit() {
    let mut env = TestEnvironment::start_registered(|config| config["limits"]["memory_mb"] = 32.into());
    let memory_before_kb = env.memory_kb();
    let partial_requests: Vec<u8> = (1..=32)
        .flat_map(|slot| {
            [encode_record(1, slot, &[0, 1, 1, 0, 0, 0, 0, 0]), encode_record(4, slot, &[0; 16_000])].concat()
        })
        .collect();
    // Ten times as much as may be buffered; the server may close some connections while they send.
    let mut connections = Vec::new();
    for _ in 0..300 {
        let mut stream = TcpStream::connect(env.listen).expect("connected");
        let _ = stream.write_all(&partial_requests);
        connections.push(stream);
    }
    let mut other = env.balancer();
    assert_eq!(other.round_trip(&Request::health_check(1, "")).status, 200);
    assert!(env.memory_kb() - memory_before_kb < 32 * 1024, "{} KB", env.memory_kb());
    assert!(env.is_alive());
}

#[test]
fn a_second_request_with_the_same_id_cannot_abort_the_first() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let (mut owner, mut other) = (env.balancer(), env.balancer());
    owner.send(&Request::new(1, "a"));
    env.agent.expect_command("launch");
    other.send_bytes(&[Request::new(1, "a").bytes(), encode_record(2, 1, &[])].concat());
    assert!(matches!(other.answer().status, 0 | 400));
    drop(other);
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(owner.answer().body, b"r");
}

#[test]
fn a_draining_server_answers_all_requests_and_exits_with_success() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("before");
    env.terminate();
    env.announce.wait_for_report("false");
    balancer.send(&Request::new(2, "after"));
    let mut new_connection = env.balancer();
    assert_eq!(new_connection.round_trip(&Request::health_check(1, "full=1")).status, 500);
    env.agent.send_outcome("before", "fine", b"r");
    let mut answers = [balancer.answer(), balancer.answer()];
    answers.sort_by_key(|a| a.slot);
    assert_eq!((answers[0].status, answers[0].body.as_slice()), (200, &b"r"[..]));
    // Rejected, or failed if it was launched, as its run never ended.
    assert!(matches!(answers[1].status, 500 | 503), "{:?}", answers[1]);
    assert!(env.wait_for_exit().success());
    assert_eq!(balancer.try_answer(), None);
    assert!(TcpStream::connect(env.listen).is_err());
}

#[test]
fn idle_connections_are_closed_without_a_reset() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut idle = env.balancer();
    assert_eq!(idle.round_trip(&Request::health_check(1, "")).status, 200);
    env.terminate();
    let mut received = Vec::new();
    assert_eq!(idle.stream.read_to_end(&mut received).expect("no reset"), 0);
    assert!(env.wait_for_exit().success());
}

#[test]
fn a_connection_without_keep_conn_is_closed_after_its_answer() {
    let env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    let mut check = Request::health_check(1, "");
    check.flags = 0;
    assert_eq!(balancer.round_trip(&check).status, 200);
    assert_eq!(balancer.try_answer(), None);
}

#[test]
fn a_server_waits_for_an_agent_that_comes_up_late() {
    let mut env = TestEnvironment::start(|_| ());
    env.agent.wait_for_link();
    eventually("the listening socket", || TcpStream::connect(env.listen).ok());
    env.agent.resend_initial_notice();
    assert_eq!(env.announce.next_report(), "true");
    let mut balancer = Balancer::connect(env.listen);
    balancer.send(&Request::new(1, "a"));
    assert_eq!(env.agent.expect_command("launch").0, "a");
}

#[test]
fn a_stall_of_the_process_closes_no_connection() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"x");
    let mut call = env.records.next_call();
    env.signal("STOP");
    // When the process continues, it finds what its peers sent meanwhile and all the timers that came due.
    call.reply("200 OK", "", b"y");
    balancer.send(&Request::new(2, "b"));
    std::thread::sleep(std::time::Duration::from_millis(700));
    env.signal("CONT");
    let mut commands = [env.agent.next_command(), env.agent.next_command()];
    commands.sort_by_key(|c| c["op"].as_str().map(String::from));
    assert_eq!((&commands[0]["op"], &commands[0]["id"]), (&"deliver".into(), &"a".into()));
    assert_eq!((&commands[1]["op"], &commands[1]["id"]), (&"launch".into(), &"b".into()));
    for id in ["a", "b"] {
        env.agent.send_outcome(id, "fine", id.as_bytes());
        assert_eq!(balancer.answer().body, id.as_bytes());
    }
    assert_eq!(env.agent.subscribed_seqs, [0]);
}

//! Failures of peers over real sockets (cut links, floods, malformed bytes), and stalls and the exit of the
//! process.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;

use common::balancer::record;
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
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.balancer();
    world.agent.wait_for_samples(2);
    world.agent.answers_samples = false;
    for (slot, id) in [(1, "ended"), (2, "unread")] {
        balancer.send(&Request::new(slot, id));
        assert_eq!(world.agent.expect_command("launch").0, id);
    }
    world.agent.disconnect();
    world.agent.answers_samples = true;
    world.agent.wait_for_link();
    assert_eq!(world.agent.subscribed_seqs, [0, 0]);
    world.agent.resend_initial_notice();
    // The agent had read one launch, whose run ended while there was no link; it had never read the other.
    world.agent.send_outcome("ended", "fine", b"r1");
    let (id, command) = world.agent.expect_command("launch");
    assert_eq!((id.as_str(), command["class"].as_str()), ("unread", Some("search")));
    world.agent.send_outcome("unread", "fine", b"r2");
    let (first, second) = (balancer.answer(), balancer.answer());
    assert_eq!((first.slot, first.body.as_slice()), (1, &b"r1"[..]));
    assert_eq!((second.slot, second.body.as_slice()), (2, &b"r2"[..]));
}

#[test]
fn notices_seen_before_are_dropped_and_confirmed_commands_are_not_repeated() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.launch_request("a");
    world.agent.send_call_request("a", b"x");
    world.records.next_call().reply("200 OK", "", b"y");
    world.agent.expect_command("deliver");
    // The answers to later samples show that all of this has been read.
    world.agent.wait_for_samples(3);
    world.agent.disconnect();
    world.agent.wait_for_link();
    assert_eq!(world.agent.subscribed_seqs, [0, 1]);
    world.agent.resend_initial_notice();
    let body = common::balancer::base64(b"x");
    world.agent.send(&serde_json::json!({"op": "request", "seq": 1, "id": "a", "body": body}));
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    // Neither the launch nor the reply is repeated on the new link: the next command is for another request.
    balancer.send(&Request::new(1, "b"));
    assert_eq!(world.agent.expect_command("launch").0, "b");
}

#[test]
fn requests_that_arrive_without_an_agent_link_are_launched_on_the_next() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.balancer();
    world.agent.disconnect();
    world.agent.wait_for_link();
    balancer.send(&Request::new(1, "a"));
    // Meanwhile health checks are answered from the server's readiness.
    assert_eq!(world.balancer().round_trip(&Request::health_check(1, "")).status, 200);
    world.agent.resend_initial_notice();
    assert_eq!(world.agent.expect_command("launch").0, "a");
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn malformed_lines_from_the_agent_close_only_the_link() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.balancer();
    let endless = vec![b'x'; 70_000];
    for (slot, bad) in [(1, &b"nonsense\n"[..]), (2, b"{\"op\":7}\n"), (3, &endless)] {
        let id = format!("r{slot}");
        balancer.send(&Request::new(slot, &id));
        assert_eq!(world.agent.expect_command("launch").0, id);
        world.agent.wait_for_samples(3);
        world.agent.send_bytes(bad);
        world.agent.send_initial_notice();
        world.agent.send_outcome(&id, "fine", b"r");
        assert_eq!(balancer.answer().status, 200);
    }
}

#[test]
fn malformed_bytes_close_only_their_connection() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut healthy = world.launch_request("healthy");
    for seed in 0..40 {
        let mut stream = TcpStream::connect(world.listen).expect("connected");
        let bytes = pseudo_random_bytes(seed, 600);
        let sent = Request::new(2, &format!("bad{seed}")).bytes();
        // Random bytes alone, a valid start cut off, and a valid start followed by random bytes.
        let _ = match seed % 3 {
            0 => stream.write_all(&bytes),
            1 => stream.write_all(&sent[..bytes[0] as usize % sent.len()]),
            _ => stream.write_all(&[&sent[..sent.len() / 2], &bytes].concat()),
        };
    }
    assert!(world.is_alive());
    world.agent.send_outcome("healthy", "fine", b"r");
    assert_eq!(healthy.answer().body, b"r");
}

#[test]
fn requests_in_flight_on_a_connection_with_malformed_bytes_are_still_answered() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.launch_request("a");
    // The malformed bytes follow a valid record in the same write.
    balancer.send_bytes(&[record(9, 0, &[]), b"GET / HTTP/1.1\r\n\r\n".to_vec()].concat());
    assert_eq!(balancer.record().map(|(kind, ..)| kind), Some(10));
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert_eq!(balancer.try_answer(), None);
}

#[test]
fn a_balancer_that_shuts_down_its_side_still_gets_its_answers() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.balancer();
    balancer.send(&Request::new(1, "a"));
    balancer.stream.shutdown(std::net::Shutdown::Write).expect("shut");
    world.agent.expect_command("launch");
    world.agent.send_outcome("a", "fine", &[7; 4096]);
    assert_eq!(balancer.answer().body, [7; 4096]);
    assert_eq!(balancer.try_answer(), None);
}

#[test]
fn an_aborted_request_ends_and_its_run_is_stopped() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.launch_request("a");
    balancer.send_bytes(&record(2, 1, &[]));
    assert_eq!(balancer.answer().status, 0);
    assert_eq!(world.agent.expect_command("freeze").0, "a");
    world.agent.send_outcome("a", "broken_off", b"");
    // The slot is reused by another request, which gets only its own answer.
    balancer.send(&Request::new(1, "b"));
    let mut next = world.agent.next_command();
    while next["op"] == "freeze" {
        next = world.agent.next_command();
    }
    assert_eq!(next["id"], "b");
    world.agent.send_outcome("b", "fine", b"rb");
    assert_eq!(balancer.answer().body, b"rb");
}

#[test]
fn requests_beyond_the_limit_of_a_connection_are_overloaded() {
    let world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.balancer();
    for slot in 1..=33 {
        balancer.send_bytes(&record(1, slot, &[0, 1, 1, 0, 0, 0, 0, 0]));
    }
    let answer = balancer.answer();
    assert_eq!((answer.slot, answer.protocol_status), (33, 2));
}

#[test]
fn a_full_connection_table_delays_no_established_connection() {
    let mut world = TestEnvironment::start_registered(|config| config["limits"]["sockets"] = 64.into());
    let mut first = world.launch_request("a");
    let crowd: Vec<TcpStream> =
        (0..80).map(|_| TcpStream::connect(world.listen).expect("connected")).collect();
    // The established connections are idle, so they are closed one by one to make room for new ones.
    let mut last = world.balancer();
    assert_eq!(last.round_trip(&Request::health_check(1, "")).status, 200);
    assert!(world.descriptor_count() <= 64, "{}", world.descriptor_count());
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(first.answer().body, b"r");
    assert_eq!(world.announce.next_report(), "true");
    drop(crowd);
}

#[test]
fn a_peer_that_does_not_read_delays_no_other_peer() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut stuck = world.balancer();
    stuck.stream.set_write_timeout(Some(std::time::Duration::from_millis(300))).expect("a time limit");
    let question = record(9, 0, b"\x0f\x00FCGI_MPXS_CONNS");
    let flood = question.repeat(1_000);
    // Writes until the server accepts no more: the unread answers fill all buffers between the two.
    let mut sent = 0;
    while sent < 256 << 20 && stuck.stream.write_all(&flood).is_ok() {
        sent += flood.len();
    }
    assert!(sent < 256 << 20);
    let mut other = world.balancer();
    assert_eq!(other.round_trip(&Request::health_check(1, "")).status, 200);
    assert!(world.is_alive());
}

#[test]
fn a_peer_that_keeps_sending_malformed_bytes_is_disconnected() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut flooder = world.balancer();
    let flood = vec![0; 1 << 20];
    let mut sent = 0;
    // No more can be written than the server reads while it closes the connection, and what fits into the
    // buffers.
    while sent < 256 && flooder.stream.write_all(&flood).is_ok() {
        sent += 1;
    }
    assert!(sent < 256);
    assert_eq!(world.balancer().round_trip(&Request::health_check(1, "")).status, 200);
    assert!(world.is_alive());
}

#[test]
fn half_sent_requests_stay_within_the_memory_limit() {
    let mut world = TestEnvironment::start_registered(|config| config["limits"]["memory_mb"] = 32.into());
    let before = world.memory_kb();
    let half: Vec<u8> = (1..=32)
        .flat_map(|slot| [record(1, slot, &[0, 1, 1, 0, 0, 0, 0, 0]), record(4, slot, &[0; 16_000])].concat())
        .collect();
    // Ten times as much as may be buffered; the server may close some connections while they send.
    let mut crowd = Vec::new();
    for _ in 0..300 {
        let mut stream = TcpStream::connect(world.listen).expect("connected");
        let _ = stream.write_all(&half);
        crowd.push(stream);
    }
    let mut other = world.balancer();
    assert_eq!(other.round_trip(&Request::health_check(1, "")).status, 200);
    assert!(world.memory_kb() - before < 32 * 1024, "{} KB", world.memory_kb());
    assert!(world.is_alive());
}

#[test]
fn a_second_request_of_the_same_id_cannot_abort_the_first() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let (mut owner, mut other) = (world.balancer(), world.balancer());
    owner.send(&Request::new(1, "a"));
    world.agent.expect_command("launch");
    other.send_bytes(&[Request::new(1, "a").bytes(), record(2, 1, &[])].concat());
    assert!(matches!(other.answer().status, 0 | 400));
    drop(other);
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(owner.answer().body, b"r");
}

#[test]
fn a_draining_server_answers_all_requests_and_exits_with_success() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.launch_request("before");
    world.terminate();
    world.announce.wait_for_report("false");
    balancer.send(&Request::new(2, "after"));
    let mut fresh = world.balancer();
    assert_eq!(fresh.round_trip(&Request::health_check(1, "full=1")).status, 500);
    world.agent.send_outcome("before", "fine", b"r");
    let mut answers = [balancer.answer(), balancer.answer()];
    answers.sort_by_key(|a| a.slot);
    assert_eq!((answers[0].status, answers[0].body.as_slice()), (200, &b"r"[..]));
    // Rejected, or failed if it was launched, as its run never ended.
    assert!(matches!(answers[1].status, 500 | 503), "{:?}", answers[1]);
    assert!(world.wait_for_exit().success());
    assert_eq!(balancer.try_answer(), None);
    assert!(TcpStream::connect(world.listen).is_err());
}

#[test]
fn idle_connections_are_closed_without_a_reset() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut idle = world.balancer();
    assert_eq!(idle.round_trip(&Request::health_check(1, "")).status, 200);
    world.terminate();
    let mut rest = Vec::new();
    assert_eq!(idle.stream.read_to_end(&mut rest).expect("no reset"), 0);
    assert!(world.wait_for_exit().success());
}

#[test]
fn a_connection_without_keep_conn_is_closed_after_its_answer() {
    let world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.balancer();
    let mut check = Request::health_check(1, "");
    check.flags = 0;
    assert_eq!(balancer.round_trip(&check).status, 200);
    assert_eq!(balancer.try_answer(), None);
}

#[test]
fn a_server_waits_for_an_agent_that_comes_up_late() {
    let mut world = TestEnvironment::start(|_| ());
    world.agent.wait_for_link();
    eventually("the listening socket", || TcpStream::connect(world.listen).ok());
    world.agent.resend_initial_notice();
    assert_eq!(world.announce.next_report(), "true");
    let mut balancer = Balancer::connect(world.listen);
    balancer.send(&Request::new(1, "a"));
    assert_eq!(world.agent.expect_command("launch").0, "a");
}

#[test]
fn a_stall_of_the_process_closes_no_connection() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.launch_request("a");
    world.agent.send_call_request("a", b"x");
    let mut call = world.records.next_call();
    world.signal("STOP");
    // When the process continues, it finds what its peers sent meanwhile and all the timers that came due.
    call.reply("200 OK", "", b"y");
    balancer.send(&Request::new(2, "b"));
    std::thread::sleep(std::time::Duration::from_millis(700));
    world.signal("CONT");
    let mut commands = [world.agent.next_command(), world.agent.next_command()];
    commands.sort_by_key(|c| c["op"].as_str().map(String::from));
    assert_eq!((&commands[0]["op"], &commands[0]["id"]), (&"deliver".into(), &"a".into()));
    assert_eq!((&commands[1]["op"], &commands[1]["id"]), (&"launch".into(), &"b".into()));
    for id in ["a", "b"] {
        world.agent.send_outcome(id, "fine", id.as_bytes());
        assert_eq!(balancer.answer().body, id.as_bytes());
    }
    assert_eq!(world.agent.subscribed_seqs, [0]);
}

//! Races that the tests force to happen on every run: input that arrives between two steps of a server that
//! drains, is stalled, waits for a peer or has no descriptor left.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::json;

use common::{
    classes_by_idempotency, eventually, request_of_class, Announce, Balancer, Request, TestEnvironment,
    WAIT_TIMEOUT,
};

/// Lowers the descriptor limit of the running server so that it can't open any further descriptor.
fn exhaust_descriptors(env: &TestEnvironment) {
    let first_free = (0..).find(|n| !env.has_open_descriptor(*n)).expect("a free number");
    limit_descriptors(env, first_free);
}

/// Sets the operating system's limit on the descriptors of the running server.
fn limit_descriptors(env: &TestEnvironment, max_descriptors: usize) {
    let limit = format!("--nofile={max_descriptors}:{max_descriptors}");
    let status = Command::new("prlimit").args(["--pid", &env.pid().to_string(), &limit]).status();
    assert!(status.expect("prlimit").success());
}

/// Reads until the server closes the connection. It must do so without a reset, as a reset may discard an
/// answer.
fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time limit");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("an end in order");
    bytes
}

/// Guards against a reset of the connections in the accept queue, which happens if the listening socket is
/// closed while no descriptor is free. Their requests were sent completely, and each must be answered once
/// other connections are closed.
#[test]
fn requests_in_the_accept_queue_are_answered_by_a_draining_server_without_descriptors() {
    let mut env = TestEnvironment::start_registered(|config| config["stop_ms"] = 1_500.into());
    let mut idle: Vec<Balancer> = (0..8).map(|_| env.balancer()).collect();
    idle.iter_mut().for_each(|b| assert_eq!(b.round_trip(&Request::health_check(1, "")).status, 200));
    exhaust_descriptors(&env);
    let mut waiting: Vec<Balancer> = (0..4).map(|_| env.balancer()).collect();
    waiting.iter_mut().enumerate().for_each(|(n, b)| b.send(&Request::new(1, &format!("waiting{n}"))));
    env.terminate();
    for balancer in &mut waiting {
        let answer = balancer.answer();
        assert!(answer.protocol_status == 2 || matches!(answer.status, 500 | 503), "{answer:?}");
        assert_eq!(balancer.try_answer(), None);
    }
    idle.iter_mut().for_each(|b| assert_eq!(read_to_end(&mut b.stream), b""));
    assert!(env.wait_for_exit().success());
}

/// Guards against a server that idle clients make unreachable. While the announce service is down and idle
/// clients take every descriptor that the system allows, requests in flight continue, calls and the agent
/// link get new connections, signals are handled, and new connections are accepted as idle ones are closed.
/// The registration resumes by itself.
#[test]
fn idle_clients_that_take_all_descriptors_block_nothing_while_the_announce_service_is_down() {
    let mut env = TestEnvironment::start_with_descriptor_limit(64, |config| {
        config["limits"]["sockets"] = 1_024.into();
        config["settings"]["family_info"]["idle_us"] = 300_000_000.into();
    });
    let mut live = env.launch_request("live");
    env.announce.set_down(true);
    let mut idle_clients: Vec<Balancer> = Vec::new();
    for _ in 0..100 {
        let mut idle = Balancer::tolerant(TcpStream::connect(env.listen).expect("connected"));
        idle.send(&Request::health_check(1, ""));
        idle_clients.push(idle);
    }
    // A client that connects after them is served within `WAIT_TIMEOUT`, if not at its first attempt.
    eventually("a new connection to be served", || {
        let mut new_client = Balancer::tolerant(TcpStream::connect(env.listen).expect("connected"));
        new_client.stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a time limit");
        new_client.stream.write_all(&Request::health_check(1, "").bytes()).ok()?;
        new_client.try_answer().filter(|answer| answer.status == 200)
    });
    // A call on a new connection, and a new link to the agent.
    env.agent.send_call_request("live", b"x");
    env.records.next_call().reply("200 OK", "Connection: close\r\n", b"y");
    assert_eq!(env.agent.expect_command("deliver").0, "live");
    env.agent.wait_for_samples(2);
    env.agent.disconnect();
    env.agent.send_initial_notice();
    live.send(&Request::new(2, "more"));
    assert_eq!(env.agent.expect_command("launch").0, "more");
    for (slot, id) in [(1, "live"), (2, "more")] {
        env.agent.send_outcome(id, "fine", id.as_bytes());
        assert_eq!((live.answer().slot, slot), (slot, slot));
    }
    // A reload signal with a new address of the announce service: the server connects to that address.
    let announce = Announce::start();
    env.reconfigure(|config| config["announce"] = serde_json::json!(announce.address));
    let old_announce = std::mem::replace(&mut env.announce, announce);
    env.announce.wait_for_report("true");
    assert!(env.descriptor_count() <= 64, "{}", env.descriptor_count());
    assert!(env.log().contains("fewer descriptors than configured"));
    drop((old_announce, idle_clients));
    env.terminate();
    env.announce.wait_for_report("false");
    assert!(env.wait_for_exit().success());
}

/// Waits until a health check succeeds, then checks that one request is served.
fn wait_until_ready(env: &mut TestEnvironment, id: &str) {
    let mut balancer = env.balancer();
    eventually("a successful health check", || {
        (balancer.round_trip(&Request::health_check(1, "")).status == 200).then_some(())
    });
    balancer.send(&Request::new(2, id));
    assert_eq!(env.agent.expect_command("launch").0, id);
    env.agent.send_outcome(id, "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
}

/// Checks the operators' bound for restarts: of all servers that restart together, with the announce service
/// down or up, with requests in flight and with an agent that comes up late, nine in ten are ready within
/// 10 s. A server is ready when a health check succeeds and a request is served.
#[test]
fn nine_in_ten_restarted_processes_are_ready_within_ten_seconds() {
    let mut environments: Vec<TestEnvironment> = (0..6)
        .map(|_| TestEnvironment::start_registered(|config| config["stop_ms"] = 2_000.into()))
        .collect();
    let mut ready_in_time = 0;
    for round in 0..5 {
        let in_flight: Vec<Balancer> =
            environments.iter_mut().map(|env| env.launch_request("in flight")).collect();
        environments.iter().for_each(|env| env.announce.set_down(round % 3 != 1));
        // The servers are killed in three rounds and drained until they exit in two; all start together.
        if round % 2 == 1 {
            environments.iter().for_each(|env| env.terminate());
            environments.iter_mut().for_each(|env| assert!(env.wait_for_exit().success()));
            environments.iter_mut().for_each(|env| env.restart());
        } else {
            environments.iter_mut().for_each(|env| env.kill_and_restart());
        }
        let restarted_at = Instant::now();
        drop(in_flight);
        for (index, env) in environments.iter_mut().enumerate() {
            env.agent.wait_for_restarted_server();
            if index % 3 == 0 {
                // This server's agent comes up late. Until then its health check fails, and the server keeps
                // running.
                assert_eq!(env.balancer().round_trip(&Request::health_check(1, "")).status, 500);
                std::thread::sleep(Duration::from_millis(300));
            }
            env.agent.resend_initial_notice();
        }
        for env in &mut environments {
            wait_until_ready(env, &format!("round {round}"));
            ready_in_time += usize::from(restarted_at.elapsed() < Duration::from_secs(10));
        }
        environments.iter().for_each(|env| env.announce.set_down(false));
        environments.iter().for_each(|env| env.announce.wait_for_report("true"));
    }
    assert!(ready_in_time >= 27, "{ready_in_time} of 30");
}

/// Guards against a call that takes effect twice: the records service closes a pooled connection after it has
/// read the next call on it. Only an idempotent call is retried.
#[test]
fn a_call_on_a_pooled_connection_that_closes_is_retried_only_if_idempotent() {
    let mut env = TestEnvironment::start_registered(classes_by_idempotency);
    let mut balancer = env.balancer();
    for class in ["book", "room", "search"] {
        balancer.send(&request_of_class(1, class, class));
        assert_eq!(env.agent.expect_command("launch").0, class);
        env.agent.send_call_request(class, b"first");
        env.records.next_call().reply("200 OK", "", b"y");
        assert_eq!(env.agent.expect_command("deliver").0, class);
        // The next call arrives on the same connection, is read completely, and gets no reply.
        env.agent.send_call_request(class, b"second");
        let call = env.records.next_call();
        assert_eq!(call.request.header("Op-Of"), class);
        call.stream.shutdown(Shutdown::Both).expect("closed");
        if class == "search" {
            env.records.next_call().reply("200 OK", "", b"z");
            assert_eq!(env.agent.expect_command("deliver").0, class);
            env.agent.send_outcome(class, "fine", b"r");
            assert_eq!(balancer.answer().status, 200);
        } else {
            // A retry would come before the next class's call.
            assert_eq!(balancer.answer().status, 500, "{class}");
        }
    }
    assert!(env.is_alive());
}

/// Guards against a second run under one idempotency key: the duplicate arrives on another connection as the
/// run of the first attempt ends, before or after the server has read the outcome, or when the first caller
/// has disconnected.
#[test]
fn a_duplicate_that_arrives_as_the_run_ends_gets_its_result_and_never_runs() {
    let mut env = TestEnvironment::start_registered(classes_by_idempotency);
    for round in 0..8 {
        let id = format!("first{round}");
        let first_attempt = request_of_class(1, &id, "room");
        let duplicate = request_of_class(1, &format!("again{round}"), "room").with("HTTP_ONCE_KEY", &id);
        let (mut first_client, mut second_client) = (env.balancer(), env.balancer());
        first_client.send(&first_attempt);
        assert_eq!(env.agent.expect_command("launch").0, id);
        match round % 4 {
            0 => {
                // Both are unread while the server is stopped, the outcome first.
                env.signal("STOP");
                env.agent.send_outcome(&id, "fine", b"once");
                second_client.send(&duplicate);
                env.signal("CONT");
            }
            1 => {
                env.signal("STOP");
                second_client.send(&duplicate);
                env.agent.send_outcome(&id, "fine", b"once");
                env.signal("CONT");
            }
            2 => {
                // The first caller disconnects as the run ends; the run has taken effect nevertheless.
                drop(first_client);
                env.agent.send_outcome(&id, "fine", b"once");
                second_client.send(&duplicate);
                let answer = second_client.answer();
                assert!(answer.body == b"once" || answer.status == 500, "{answer:?}");
                continue;
            }
            _ => {
                // The server has certainly read the outcome, as it has answered the result.
                env.agent.send_outcome(&id, "fine", b"once");
                assert_eq!(first_client.answer().body, b"once");
                second_client.send(&duplicate);
                assert_eq!(second_client.answer().body, b"once");
                continue;
            }
        }
        assert_eq!(first_client.answer().body, b"once");
        assert_eq!(second_client.answer().body, b"once");
    }
    // Only the first attempts were launched: the next command other than `freeze` is for another request.
    let mut balancer = env.balancer();
    balancer.send(&request_of_class(1, "last", "search"));
    let mut next_command = env.agent.next_command();
    while next_command["op"] == "freeze" {
        next_command = env.agent.next_command();
    }
    assert_eq!((&next_command["op"], &next_command["id"]), (&json!("launch"), &json!("last")));
}

/// Guards against two faults when the notice to drain arrives before the agent is up: callers are sent to the
/// draining server, or its drain grace begins only once the agent is up.
#[test]
fn a_server_that_drains_before_its_agent_is_up_takes_no_work() {
    let mut env = TestEnvironment::start(|config| {
        config["stop_ms"] = 2_000.into();
        config["settings"]["guarantees"]["drain_grace_us"] = 100_000.into();
    });
    env.agent.wait_for_link();
    env.terminate();
    eventually("the draining phase in the log", || env.log().contains("to: Draining").then_some(()));
    std::thread::sleep(Duration::from_millis(150));
    env.agent.resend_initial_notice();
    assert_eq!(env.announce.next_report(), "false");
    let mut balancer = env.balancer();
    // The request arrives after the drain grace, which began with the notice, so it is not run.
    assert_eq!(balancer.round_trip(&Request::new(1, "late")).status, 503);
    assert!(env.wait_for_exit().success());
}

/// Signals that arrive twice, between two others or while the program starts: the process exits once and in
/// order, or is ended by the signal before it has served anything.
#[test]
fn signals_at_any_moment_end_the_process_once_and_in_order() {
    let mut env = TestEnvironment::start_registered(|config| config["stop_ms"] = 1_500.into());
    let mut balancer = env.launch_request("a");
    env.reconfigure(|config| config["records"] = "127.0.0.1:9".into());
    env.terminate();
    env.reconfigure(|config| config["announce"] = "127.0.0.1:9".into());
    env.terminate();
    env.signal("INT");
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert!(env.wait_for_exit().success());
    for wait_ms in [0, 1, 2, 4, 8, 16, 32] {
        env.restart();
        std::thread::sleep(Duration::from_millis(wait_ms));
        env.terminate();
        let exit_status = env.wait_for_exit();
        assert!(exit_status.success() || exit_status.signal() == Some(15), "{wait_ms}: {exit_status}");
    }
}

/// Connections that are closed at any byte of a request, with a reset or without, and one whose bytes arrive
/// one by one, do not affect other connections.
#[test]
fn a_request_cut_at_any_byte_closes_only_its_connection() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut neighbour = env.launch_request("neighbour");
    let bytes = Request::health_check(7, "").bytes();
    for cut in 0..bytes.len() {
        let mut stream = TcpStream::connect(env.listen).expect("connected");
        stream.write_all(&bytes[..cut]).expect("written");
        if cut % 2 == 0 {
            stream.shutdown(Shutdown::Write).expect("ended");
            assert_eq!(read_to_end(&mut stream), b"", "{cut}");
        }
    }
    let mut slow = env.balancer();
    for byte in &bytes {
        slow.send_bytes(std::slice::from_ref(byte));
    }
    assert_eq!(slow.answer().status, 200);
    env.agent.send_outcome("neighbour", "fine", b"r");
    assert_eq!(neighbour.answer().body, b"r");
    assert!(env.is_alive());
}

/// A reply of the records service that is cut off at any byte is not delivered, and its call is retried.
#[test]
fn a_reply_cut_at_any_byte_is_never_delivered() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let reply = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes";
    let mut balancer = env.balancer();
    for cut in (0..reply.len()).step_by(3) {
        let id = format!("cut{cut}");
        balancer.send(&Request::new(1, &id));
        assert_eq!(env.agent.expect_command("launch").0, id);
        env.agent.send_call_request(&id, b"x");
        let mut call = env.records.next_call();
        call.stream.write_all(&reply[..cut]).expect("written");
        call.stream.shutdown(Shutdown::Both).expect("closed");
        let mut retry = env.records.next_call();
        retry.reply("200 OK", "", b"whole");
        let (delivered_to, command) = env.agent.expect_command("deliver");
        let body = common::balancer::base64(b"whole");
        assert_eq!((delivered_to, command["body"].as_str()), (id.clone(), Some(body.as_str())));
        env.agent.send_outcome(&id, "fine", b"r");
        assert_eq!(balancer.answer().status, 200);
    }
}

/// A client is served while one peer floods a single connection and another floods a new connection each
/// time.
#[test]
fn floods_on_one_connection_and_on_many_delay_no_other_client() {
    let mut env = TestEnvironment::start_registered(|config| config["limits"]["sockets"] = 128.into());
    let mut regular_client = env.balancer();
    assert_eq!(regular_client.round_trip(&Request::health_check(1, "")).status, 200);
    let flooded_connection = TcpStream::connect(env.listen).expect("connected");
    let flood: Vec<u8> = (1..=32).flat_map(|slot| Request::health_check(slot, "").bytes()).collect();
    let (listen, finished) = (env.listen, std::sync::atomic::AtomicBool::new(false));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (mut writer, mut discarded) = (&flooded_connection, [0; 4096]);
            flooded_connection.set_read_timeout(Some(Duration::from_millis(50))).expect("a time limit");
            for _ in 0..2_000 {
                if finished.load(Ordering::Relaxed) || writer.write_all(&flood).is_err() {
                    return;
                }
                let _ = (&flooded_connection).read(&mut discarded);
            }
        });
        scope.spawn(|| {
            for _ in 0..2_000 {
                if finished.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(mut stream) = TcpStream::connect(listen) {
                    let _ = stream.write_all(&flood);
                }
            }
        });
        for slot in 1..=50 {
            assert_eq!(regular_client.round_trip(&Request::health_check(slot, "")).status, 200);
        }
        finished.store(true, Ordering::Relaxed);
    });
    assert!(env.descriptor_count() <= 128 && env.is_alive());
}

/// Guards against a server that exits right after a stall and leaves requests unanswered: the time to stop
/// has passed during the stall, the platform has not killed the process, and requests are unread on a
/// connection and in the accept queue.
#[test]
fn requests_unread_after_a_stall_past_the_time_to_stop_are_answered() {
    let mut env = TestEnvironment::start_registered(|config| config["stop_ms"] = 1_000.into());
    let mut idle = env.balancer();
    assert_eq!(idle.round_trip(&Request::health_check(1, "")).status, 200);
    env.terminate();
    eventually("the draining phase in the log", || env.log().contains("to: Draining").then_some(()));
    env.signal("STOP");
    idle.send(&Request::new(2, "unread"));
    let mut waiting = env.balancer();
    waiting.send(&Request::new(1, "waiting"));
    std::thread::sleep(Duration::from_millis(1_200));
    env.signal("CONT");
    for (connection, balancer) in [("idle", &mut idle), ("waiting", &mut waiting)] {
        let answer =
            balancer.try_answer().unwrap_or_else(|| panic!("{connection}: no answer\n{}", env.log()));
        assert!(answer.protocol_status == 2 || matches!(answer.status, 500 | 503), "{answer:?}");
        assert_eq!(balancer.try_answer(), None);
    }
    assert!(env.wait_for_exit().success());
}

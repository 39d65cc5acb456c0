//! Requests, downstream calls, health checks and registration over real sockets.

mod common;

use common::{Balancer, Request, TestEnvironment};

/// Pseudo-random bytes, the same on every call.
fn pseudo_random_bytes(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

fn decode_base64(value: &serde_json::Value) -> Vec<u8> {
    use base64::engine::general_purpose::STANDARD;
    use base64::Engine;
    STANDARD.decode(value.as_str().expect("a body")).expect("base64")
}

#[test]
fn bodies_and_results_pass_unchanged() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let (body, result) = (pseudo_random_bytes(2 * 1024), pseudo_random_bytes(4 * 1024));
    let mut balancer = env.balancer();
    balancer.send(&Request::new(7, "9b1f03aa5c7e2d41").body(&body));
    let (id, command) = env.agent.expect_command("launch");
    assert_eq!((id.as_str(), command["class"].as_str()), ("9b1f03aa5c7e2d41", Some("search")));
    assert_eq!(decode_base64(&command["body"]), body);
    env.agent.send_outcome(&id, "fine", &result);
    let answer = balancer.answer();
    assert_eq!((answer.slot, answer.status, answer.protocol_status), (7, 200, 0));
    assert_eq!(answer.body, result);
}

#[test]
fn many_requests_share_a_connection_and_are_answered_in_any_order() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    let requests: Vec<u8> = (1..=4).flat_map(|n| Request::new(n, &format!("{n:016x}")).bytes()).collect();
    // Chunks of 11 bytes, which end at arbitrary points within records.
    requests.chunks(11).for_each(|chunk| balancer.send_bytes(chunk));
    let mut launched: Vec<String> = (0..4).map(|_| env.agent.expect_command("launch").0).collect();
    launched.reverse();
    for id in &launched {
        env.agent.send_outcome(id, "fine", id.as_bytes());
    }
    for id in launched {
        let answer = balancer.answer();
        assert_eq!((answer.body.as_slice(), answer.status), (id.as_bytes(), 200));
        assert_eq!(format!("{:016x}", answer.slot), id);
    }
}

#[test]
fn a_run_that_ends_twice_is_answered_once() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    env.agent.send_outcome("a", "fine", b"first");
    env.agent.send_outcome("a", "fine", b"second");
    assert_eq!(balancer.answer().body, b"first");
    // A second response to the run would arrive before the answer to the health check.
    assert_eq!(balancer.round_trip(&Request::health_check(2, "")).status, 200);
}

#[test]
fn a_result_after_the_final_response_is_dropped() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    balancer.send(&Request::new(1, "a").with("HTTP_BUDGET_MS", "1500"));
    // The run never ends, so the final response comes at the deadline, however slow the machine is.
    let answer = balancer.answer();
    assert!(matches!(answer.status, 500 | 503), "{answer:?}");
    env.agent.send_outcome("a", "fine", b"late");
    assert_eq!(balancer.round_trip(&Request::health_check(2, "")).status, 200);
}

#[test]
fn a_failed_run_is_answered_500_and_not_rejected() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    for end in ["fault", "broken_off", "late"] {
        balancer.send(&Request::new(1, end));
        let (id, _) = env.agent.expect_command("launch");
        env.agent.send_outcome(&id, end, b"");
        let answer = balancer.answer();
        assert_eq!((answer.status, answer.protocol_status), (500, 0), "{end}");
    }
}

#[test]
fn a_request_whose_caller_no_longer_waits_is_rejected_without_a_run() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    let received_at = (common::unix_ms() - 60_000).to_string();
    let expired = Request::new(1, "a").with("HTTP_RECEIVED_AT", &received_at).with("HTTP_BUDGET_MS", "5");
    assert_eq!(balancer.round_trip(&expired).status, 503);
    balancer.send(&Request::new(2, "b"));
    // This request's run is the first that the agent is told to start.
    assert_eq!(env.agent.expect_command("launch").0, "b");
}

#[test]
fn malformed_requests_are_answered_400_and_never_launched() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    let valid = Request::new(1, "a");
    let malformed = [
        valid.clone().without("HTTP_RECEIVED_AT"),
        valid.clone().without("HTTP_BUDGET_MS"),
        valid.clone().without("HTTP_SENT_BY"),
        valid.clone().without("HTTP_FOOTPRINT_KB"),
        valid.clone().without("HTTP_PRIORITY_RANK"),
        valid.clone().without("HTTP_REQUEST_ID"),
        valid.clone().with("HTTP_RECEIVED_AT", "1000"),
        valid.clone().with("HTTP_BUDGET_MS", "18446744073709551"),
        valid.clone().with("SCRIPT_NAME", "/svc/unheard-of"),
        valid.clone().with("SCRIPT_NAME", "/else"),
    ];
    for request in &malformed {
        assert_eq!(balancer.round_trip(request).status, 400);
    }
    // A request that is too long is not read to its end, so its connection is closed.
    let mut other = env.balancer();
    assert_eq!(other.round_trip(&valid.clone().body(&pseudo_random_bytes(2 * 1024 + 1))).status, 400);
    assert_eq!(other.try_answer(), None);
    balancer.send(&Request::new(1, "sound"));
    assert_eq!(env.agent.expect_command("launch").0, "sound");
    // A request whose id is in use is rejected as well.
    assert_eq!(balancer.round_trip(&Request::new(2, "sound")).status, 400);
    env.agent.send_outcome("sound", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
}

#[test]
fn a_call_and_its_reply_pass_unchanged() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let (call_body, reply) = (pseudo_random_bytes(96), pseudo_random_bytes(700));
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", &call_body);
    let mut call = env.records.next_call();
    assert_eq!(call.request.request_line, "POST /records/op HTTP/1.1");
    assert_eq!((call.request.header("Op-Of"), &call.request.body), ("a", &call_body));
    assert!(call.request.header("Op-Wait-Ms").parse::<u64>().expect("a number") > 0);
    call.reply("200 OK", "", &reply);
    let (id, command) = env.agent.expect_command("deliver");
    assert_eq!((id.as_str(), decode_base64(&command["body"])), ("a", reply));
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn consecutive_calls_share_one_connection() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let _balancer = env.launch_request("a");
    let mut peers = Vec::new();
    for _ in 0..3 {
        env.agent.send_call_request("a", b"x");
        let mut call = env.records.next_call();
        peers.push(call.stream.peer_addr().expect("a peer"));
        call.reply("200 OK", "", b"");
        env.agent.expect_command("deliver");
    }
    assert!(peers.iter().all(|p| *p == peers[0]), "{peers:?}");
}

#[test]
fn a_call_that_was_not_begun_is_retried() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"x");
    env.records.next_call().reply("503 Busy", "Op-Not-Begun: 1\r\n", b"");
    env.records.next_call().reply("200 OK", "", b"y");
    env.agent.expect_command("deliver");
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn a_run_goes_on_without_a_call_that_keeps_failing() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    let seq = env.agent.send_call_request("a", b"x");
    // A reply that is cut off does not prove that the call never ran, and neither does an error.
    env.records.next_call().reply("500 Error", "", b"");
    drop(env.records.next_call().stream.shutdown(std::net::Shutdown::Both));
    env.records.next_call().reply("504 Late", "", b"");
    let (id, command) = env.agent.expect_command("forgo");
    assert_eq!((id.as_str(), command["seq"].as_u64()), ("a", Some(seq)));
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn a_run_goes_on_without_a_call_to_an_unreachable_service() {
    let mut env = TestEnvironment::start_registered(|config| config["records"] = "127.0.0.1:1".into());
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"x");
    env.agent.expect_command("forgo");
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn a_call_is_cancelled_when_its_run_ends() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"x");
    let mut call = env.records.next_call();
    env.agent.send_outcome("a", "broken_off", b"");
    call.wait_for_close();
    assert_eq!(balancer.answer().status, 500);
}

#[test]
fn a_launch_that_the_agent_rejects_fails_its_request() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    env.agent.send(&serde_json::json!({"op": "refusal", "end": "launch", "id": "a"}));
    assert_eq!(balancer.answer().status, 500);
}

#[test]
fn an_invalid_notice_fails_its_request_and_keeps_the_link() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    env.agent.send_outcome("a", "never heard of", b"");
    assert_eq!(balancer.answer().status, 500);
    balancer.send(&Request::new(1, "b"));
    env.agent.expect_command("launch");
    env.agent.send_outcome("b", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert_eq!(env.agent.subscribed_seqs, [0]);
}

#[test]
fn health_checks_fail_and_requests_are_rejected_until_the_agent_is_up() {
    let mut env = TestEnvironment::start(|_| ());
    env.agent.wait_for_link();
    let mut balancer = env.balancer();
    assert_eq!(balancer.round_trip(&Request::health_check(1, "")).status, 500);
    assert_eq!(balancer.round_trip(&Request::health_check(1, "full=1")).status, 500);
    assert_eq!(balancer.round_trip(&Request::new(1, "a")).status, 503);
    env.agent.resend_initial_notice();
    assert_eq!(env.announce.next_report(), "true");
    assert_eq!(balancer.round_trip(&Request::health_check(1, "")).status, 200);
}

#[test]
fn a_deep_health_check_makes_the_agent_work_until_readiness_is_set() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    for (end, status) in [("fine", 200), ("fault", 500)] {
        balancer.send(&Request::health_check(1, "full=1"));
        let (_, command) = env.agent.expect_command("exercise");
        env.agent.send(&serde_json::json!({"op": "exercised", "tag": command["tag"], "end": end}));
        assert_eq!(balancer.answer().status, status);
    }
}

#[test]
fn the_registration_is_repeated_and_goes_on_after_an_outage() {
    let env = TestEnvironment::start_registered(|_| ());
    for _ in 0..3 {
        assert_eq!(env.announce.next_report(), "true");
    }
    env.announce.set_down(true);
    env.announce.wait_for_report("unheard");
    env.announce.wait_for_report("unheard");
    env.announce.set_down(false);
    env.announce.wait_for_report("true");
    env.announce.wait_for_report("true");
}

#[test]
fn a_killed_server_restarts_under_its_address() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let _balancer = env.launch_request("a");
    env.kill_and_restart();
    env.agent.wait_for_link();
    assert_eq!(env.agent.subscribed_seqs, [0, 0]);
    env.agent.resend_initial_notice();
    env.announce.wait_for_report("true");
    let mut balancer = Balancer::connect(env.listen);
    assert_eq!(balancer.round_trip(&Request::health_check(1, "")).status, 200);
}

/// Settings under which no request states a deadline and running work can't be preempted.
fn without_deadlines(config: &mut serde_json::Value) {
    let settings = &mut config["settings"];
    settings["family_info"]["passes_deadline"] = false.into();
    settings["family_info"]["preemption"] = "silent".into();
    settings["load_report"] = serde_json::json!({"how": "piggyback", "names": ["backlog"]});
    settings["client_habits"] = serde_json::json!({"marks_retry": true});
    // The deadline of `room` is 0.6 s.
    settings["classes"][2]["aim_us"] = 600_000.into();
    settings["classes"][2]["hard_limit_us"] = 600_000.into();
}

#[test]
fn without_stated_deadlines_the_deadline_of_the_class_counts() {
    let mut env = TestEnvironment::start_registered(without_deadlines);
    let mut balancer = env.balancer();
    balancer.send(&Request::new(1, "a").without("HTTP_BUDGET_MS").with("HTTP_ATTEMPT", "2"));
    assert_eq!(env.agent.expect_command("launch").0, "a");
    // A deadline that a request states nevertheless is ignored: this one would have passed at once.
    balancer.send(&Request::new(2, "b").with("HTTP_BUDGET_MS", "1"));
    assert_eq!(env.agent.expect_command("launch").0, "b");
    for id in ["a", "b"] {
        env.agent.send_outcome(id, "fine", id.as_bytes());
        assert_eq!((balancer.answer().status), 200);
    }
    let room_request = Request::new(3, "c").without("HTTP_BUDGET_MS").with("SCRIPT_NAME", "/svc/room");
    let sent_at = std::time::Instant::now();
    balancer.send(&room_request);
    assert_eq!(env.agent.expect_command("launch").0, "c");
    // The run does not end: the final response comes by the deadline of the class.
    let answer = balancer.answer();
    assert_eq!(answer.status, 500, "a request that has run is never rejected");
    let elapsed_ms = sent_at.elapsed().as_millis();
    assert!((400..5_000).contains(&elapsed_ms), "{elapsed_ms} ms");
    assert!(env.is_alive());
}

#[test]
fn a_request_without_a_deadline_is_malformed_only_where_deadlines_are_stated() {
    let env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    assert_eq!(balancer.round_trip(&Request::new(1, "a").without("HTTP_BUDGET_MS")).status, 400);
    let mut env = TestEnvironment::start_registered(without_deadlines);
    let mut balancer = env.balancer();
    assert_eq!(balancer.round_trip(&Request::new(1, "a").with("HTTP_ATTEMPT", "0")).status, 400);
    balancer.send(&Request::new(2, "b").without("HTTP_BUDGET_MS"));
    assert_eq!(env.agent.expect_command("launch").0, "b");
}

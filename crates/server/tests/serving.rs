//! Requests, calls, health and the list, on sockets.

mod common;

use common::{Balancer, Request, World};

fn noise(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

fn decoded(value: &serde_json::Value) -> Vec<u8> {
    use base64::engine::general_purpose::STANDARD;
    use base64::Engine;
    STANDARD.decode(value.as_str().expect("a body")).expect("base64")
}

#[test]
fn bodies_and_results_pass_unchanged() {
    let mut world = World::up(|_| ());
    let (body, result) = (noise(2 * 1024), noise(4 * 1024));
    let mut balancer = world.balancer();
    balancer.send(&Request::new(7, "9b1f03aa5c7e2d41").body(&body));
    let (id, command) = world.agent.expect("launch");
    assert_eq!((id.as_str(), command["class"].as_str()), ("9b1f03aa5c7e2d41", Some("search")));
    assert_eq!(decoded(&command["body"]), body);
    world.agent.outcome(&id, "fine", &result);
    let answer = balancer.answer();
    assert_eq!((answer.slot, answer.status, answer.protocol_status), (7, 200, 0));
    assert_eq!(answer.body, result);
}

#[test]
fn many_requests_share_a_connection_and_are_answered_in_any_order() {
    let mut world = World::up(|_| ());
    let mut balancer = world.balancer();
    let all: Vec<u8> = (1..=4).flat_map(|n| Request::new(n, &format!("{n:016x}")).bytes()).collect();
    // In pieces that end anywhere.
    all.chunks(11).for_each(|piece| balancer.send_bytes(piece));
    let mut launched: Vec<String> = (0..4).map(|_| world.agent.expect("launch").0).collect();
    launched.reverse();
    for id in &launched {
        world.agent.outcome(id, "fine", id.as_bytes());
    }
    for id in launched {
        let answer = balancer.answer();
        assert_eq!((answer.body.as_slice(), answer.status), (id.as_bytes(), 200));
        assert_eq!(format!("{:016x}", answer.slot), id);
    }
}

#[test]
fn one_request_gets_one_answer() {
    let mut world = World::up(|_| ());
    let mut balancer = world.running("a");
    world.agent.outcome("a", "fine", b"first");
    world.agent.outcome("a", "fine", b"second");
    assert_eq!(balancer.answer().body, b"first");
    // Whatever more were written for it would come before the next answer.
    assert_eq!(balancer.ask(&Request::check(2, "")).status, 200);
}

#[test]
fn a_result_after_the_final_answer_is_dropped() {
    let mut world = World::up(|_| ());
    let mut balancer = world.balancer();
    balancer.send(&Request::new(1, "a").with("HTTP_BUDGET_MS", "1500"));
    // However slow the machine is, the answer is given by then: served it can't be.
    let answer = balancer.answer();
    assert!(matches!(answer.status, 500 | 503), "{answer:?}");
    world.agent.outcome("a", "fine", b"late");
    assert_eq!(balancer.ask(&Request::check(2, "")).status, 200);
}

#[test]
fn failures_after_a_run_are_no_refusals() {
    let mut world = World::up(|_| ());
    let mut balancer = world.balancer();
    for end in ["fault", "broken_off", "late"] {
        balancer.send(&Request::new(1, end));
        let (id, _) = world.agent.expect("launch");
        world.agent.outcome(&id, end, b"");
        let answer = balancer.answer();
        assert_eq!((answer.status, answer.protocol_status), (500, 0), "{end}");
    }
}

#[test]
fn what_nobody_waits_for_any_more_is_refused_unrun() {
    let mut world = World::up(|_| ());
    let mut balancer = world.balancer();
    let past = (common::unix_ms() - 60_000).to_string();
    let old = Request::new(1, "a").with("HTTP_RECEIVED_AT", &past).with("HTTP_BUDGET_MS", "5");
    assert_eq!(balancer.ask(&old).status, 503);
    balancer.send(&Request::new(2, "b"));
    // Its run is the first that the agent hears of.
    assert_eq!(world.agent.expect("launch").0, "b");
}

#[test]
fn requests_without_sense_never_reach_the_module() {
    let mut world = World::up(|_| ());
    let mut balancer = world.balancer();
    let sound = Request::new(1, "a");
    let senseless = [
        sound.clone().without("HTTP_RECEIVED_AT"),
        sound.clone().without("HTTP_BUDGET_MS"),
        sound.clone().without("HTTP_SENT_BY"),
        sound.clone().without("HTTP_FOOTPRINT_KB"),
        sound.clone().without("HTTP_PRIORITY_RANK"),
        sound.clone().without("HTTP_REQUEST_ID"),
        sound.clone().with("HTTP_RECEIVED_AT", "1000"),
        sound.clone().with("HTTP_BUDGET_MS", "18446744073709551"),
        sound.clone().with("SCRIPT_NAME", "/svc/unheard-of"),
        sound.clone().with("SCRIPT_NAME", "/else"),
    ];
    for request in &senseless {
        assert_eq!(balancer.ask(request).status, 400);
    }
    // Of one that is too long the rest is not waited for, so its connection is of no more use.
    let mut other = world.balancer();
    assert_eq!(other.ask(&sound.clone().body(&noise(2 * 1024 + 1))).status, 400);
    assert_eq!(other.try_answer(), None);
    balancer.send(&Request::new(1, "sound"));
    assert_eq!(world.agent.expect("launch").0, "sound");
    // A name that is in use is not given to the module either.
    assert_eq!(balancer.ask(&Request::new(2, "sound")).status, 400);
    world.agent.outcome("sound", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
}

#[test]
fn a_call_and_its_reply_pass_unchanged() {
    let mut world = World::up(|_| ());
    let (asked, reply) = (noise(96), noise(700));
    let mut balancer = world.running("a");
    world.agent.needs_call("a", &asked);
    let mut call = world.records.call();
    assert_eq!(call.request.line, "POST /records/op HTTP/1.1");
    assert_eq!((call.request.header("Op-Of"), &call.request.body), ("a", &asked));
    assert!(call.request.header("Op-Wait-Ms").parse::<u64>().expect("a number") > 0);
    call.reply("200 OK", "", &reply);
    let (id, command) = world.agent.expect("deliver");
    assert_eq!((id.as_str(), decoded(&command["body"])), ("a", reply));
    world.agent.outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn calls_go_over_one_connection_after_another_is_done() {
    let mut world = World::up(|_| ());
    let _balancer = world.running("a");
    let mut peers = Vec::new();
    for _ in 0..3 {
        world.agent.needs_call("a", b"x");
        let mut call = world.records.call();
        peers.push(call.stream.peer_addr().expect("a peer"));
        call.reply("200 OK", "", b"");
        world.agent.expect("deliver");
    }
    assert!(peers.iter().all(|p| *p == peers[0]), "{peers:?}");
}

#[test]
fn a_call_that_never_began_is_made_again() {
    let mut world = World::up(|_| ());
    let mut balancer = world.running("a");
    world.agent.needs_call("a", b"x");
    world.records.call().reply("503 Busy", "Op-Not-Begun: 1\r\n", b"");
    world.records.call().reply("200 OK", "", b"y");
    world.agent.expect("deliver");
    world.agent.outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn a_run_goes_on_without_a_call_that_keeps_failing() {
    let mut world = World::up(|_| ());
    let mut balancer = world.running("a");
    let seq = world.agent.needs_call("a", b"x");
    // An answer that breaks off proves nothing, as little as an error does.
    world.records.call().reply("500 Error", "", b"");
    drop(world.records.call().stream.shutdown(std::net::Shutdown::Both));
    world.records.call().reply("504 Late", "", b"");
    let (id, command) = world.agent.expect("forgo");
    assert_eq!((id.as_str(), command["seq"].as_u64()), ("a", Some(seq)));
    world.agent.outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn a_run_goes_on_without_a_call_that_nobody_takes() {
    let mut world = World::up(|config| config["records"] = "127.0.0.1:1".into());
    let mut balancer = world.running("a");
    world.agent.needs_call("a", b"x");
    world.agent.expect("forgo");
    world.agent.outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().status, 200);
}

#[test]
fn a_call_is_given_up_with_its_request() {
    let mut world = World::up(|_| ());
    let mut balancer = world.running("a");
    world.agent.needs_call("a", b"x");
    let mut call = world.records.call();
    world.agent.outcome("a", "broken_off", b"");
    call.given_up();
    assert_eq!(balancer.answer().status, 500);
}

#[test]
fn a_command_the_agent_refuses_fails_its_request() {
    let mut world = World::up(|_| ());
    let mut balancer = world.running("a");
    world.agent.say(&serde_json::json!({"op": "refusal", "end": "launch", "id": "a"}));
    assert_eq!(balancer.answer().status, 500);
}

#[test]
fn a_notice_without_sense_fails_its_request_and_is_met_once() {
    let mut world = World::up(|_| ());
    let mut balancer = world.running("a");
    world.agent.outcome("a", "never heard of", b"");
    assert_eq!(balancer.answer().status, 500);
    balancer.send(&Request::new(1, "b"));
    world.agent.expect("launch");
    world.agent.outcome("b", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert_eq!(world.agent.subscribed, [0]);
}

#[test]
fn nothing_is_good_before_the_greeting() {
    let mut world = World::start(|_| ());
    world.agent.linked();
    let mut balancer = world.balancer();
    assert_eq!(balancer.ask(&Request::check(1, "")).status, 500);
    assert_eq!(balancer.ask(&Request::check(1, "full=1")).status, 500);
    assert_eq!(balancer.ask(&Request::new(1, "a")).status, 503);
    world.agent.greet_again();
    assert_eq!(world.announce.report(), "true");
    assert_eq!(balancer.ask(&Request::check(1, "")).status, 200);
}

#[test]
fn a_deep_check_does_work_until_the_module_has_spoken() {
    let mut world = World::up(|_| ());
    let mut balancer = world.balancer();
    for (end, status) in [("fine", 200), ("fault", 500)] {
        balancer.send(&Request::check(1, "full=1"));
        let (_, command) = world.agent.expect("exercise");
        world.agent.say(&serde_json::json!({"op": "exercised", "tag": command["tag"], "end": end}));
        assert_eq!(balancer.answer().status, status);
    }
}

#[test]
fn the_list_is_told_steadily_and_again_after_it_was_down() {
    let world = World::up(|_| ());
    for _ in 0..3 {
        assert_eq!(world.announce.report(), "true");
    }
    world.announce.set_down(true);
    world.announce.expect("unheard");
    world.announce.expect("unheard");
    world.announce.set_down(false);
    world.announce.expect("true");
    world.announce.expect("true");
}

#[test]
fn a_killed_server_starts_afresh_under_its_address() {
    let mut world = World::up(|_| ());
    let _balancer = world.running("a");
    world.kill_and_restart();
    world.agent.linked();
    assert_eq!(world.agent.subscribed, [0, 0]);
    world.agent.greet_again();
    world.announce.expect("true");
    let mut balancer = Balancer::connect(world.listen);
    assert_eq!(balancer.ask(&Request::check(1, "")).status, 200);
}

/// The new shape: no request states how long its caller waits, and running work can't be stopped.
fn untold(config: &mut serde_json::Value) {
    let settings = &mut config["settings"];
    settings["family_info"]["passes_deadline"] = false.into();
    settings["family_info"]["preemption"] = "silent".into();
    settings["load_report"] = serde_json::json!({"how": "piggyback", "names": ["backlog"]});
    settings["client_habits"] = serde_json::json!({"marks_retry": true});
    // `room` is given up after 0.6 s.
    settings["classes"][2]["aim_us"] = 600_000.into();
    settings["classes"][2]["hard_limit_us"] = 600_000.into();
}

#[test]
fn without_stated_waits_the_limit_of_the_class_counts() {
    let mut world = World::up(untold);
    let mut balancer = world.balancer();
    balancer.send(&Request::new(1, "a").without("HTTP_BUDGET_MS").with("HTTP_ATTEMPT", "2"));
    assert_eq!(world.agent.expect("launch").0, "a");
    // A wait that is stated all the same is no part of the agreement: this one would be over at once.
    balancer.send(&Request::new(2, "b").with("HTTP_BUDGET_MS", "1"));
    assert_eq!(world.agent.expect("launch").0, "b");
    for id in ["a", "b"] {
        world.agent.outcome(id, "fine", id.as_bytes());
        assert_eq!((balancer.answer().status), 200);
    }
    let room = Request::new(3, "c").without("HTTP_BUDGET_MS").with("SCRIPT_NAME", "/svc/room");
    let sent = std::time::Instant::now();
    balancer.send(&room);
    assert_eq!(world.agent.expect("launch").0, "c");
    // It runs and runs: its final answer comes by the limit of its class, and names a time to come back.
    let answer = balancer.answer();
    assert_eq!(answer.status, 500, "what has run is never turned away");
    let took = sent.elapsed().as_millis();
    assert!((400..5_000).contains(&took), "{took} ms");
    assert!(world.is_alive());
}

#[test]
fn a_request_without_a_stated_wait_makes_no_sense_where_waits_are_stated() {
    let world = World::up(|_| ());
    let mut balancer = world.balancer();
    assert_eq!(balancer.ask(&Request::new(1, "a").without("HTTP_BUDGET_MS")).status, 400);
    let mut world = World::up(untold);
    let mut balancer = world.balancer();
    assert_eq!(balancer.ask(&Request::new(1, "a").with("HTTP_ATTEMPT", "0")).status, 400);
    balancer.send(&Request::new(2, "b").without("HTTP_BUDGET_MS"));
    assert_eq!(world.agent.expect("launch").0, "b");
}

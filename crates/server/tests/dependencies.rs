//! Call plans with several dependencies over real sockets, with each kind of failure.

mod common;

use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use common::dependency::Behaviour;
use common::{eventually, Dependency, Request, TestEnvironment};
use serde_json::{json, Value};
use umberloom_dependencies::aggregation::{AggregateResponse, Part};

/// The parts of the aggregated response in a `deliver` command, as one line of text.
fn format_parts(deliver: &Value) -> String {
    let body = STANDARD.decode(deliver["body"].as_str().expect("a body")).expect("base64");
    let response = AggregateResponse::decode(&body).expect("an aggregated response");
    let describe = |part: &Part| match part {
        Part::Fresh(body) => String::from_utf8_lossy(body).into_owned(),
        Part::Cached { body, .. } => format!("cached {}", String::from_utf8_lossy(body)),
        Part::Constant(body) => format!("constant {}", String::from_utf8_lossy(body)),
        Part::Missing(cause) => format!("{cause:?}"),
    };
    let descriptions: Vec<String> =
        response.parts.iter().map(|named| format!("{}: {}", named.name, describe(&named.part))).collect();
    descriptions.join(", ")
}

/// An operator's file whose plan for class `search` has one stage of at most 400 ms: it requires the
/// platform's records service, and `extra` is optional. `extra_nodes` holds further nodes of `extra`.
fn operator_config(endpoints: &[&Dependency], extra_nodes: &str) -> String {
    let addresses: Vec<String> = endpoints.iter().map(|d| format!("\"{}\"", d.address)).collect();
    format!(
        "dependency \"records\" {{ platform; }}\n\
         dependency \"extra\" {{\n endpoints {}\n path \"/extra\"\n {extra_nodes}\n}}\n\
         plan \"search\" {{ stage most-ms=400 {{ needs \"records\"; wants \"extra\"; }}; }}\n",
        addresses.join(" ")
    )
}

/// Performs one run that requests a call and returns the parts of its aggregated response. The records
/// service replies at once.
fn run_with_call(env: &mut TestEnvironment, id: &str) -> String {
    let mut balancer = env.balancer();
    balancer.send(&Request::new(1, id).with("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"));
    assert_eq!(env.agent.expect_command("launch").0, id);
    env.agent.send_call_request(id, b"what");
    env.records.next_call().reply("200 OK", "", b"booked");
    let (request_id, deliver) = env.agent.expect_command("deliver");
    assert_eq!(request_id, id);
    env.agent.send_outcome(id, "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    format_parts(&deliver)
}

#[test]
fn calls_of_a_stage_are_concurrent_and_delivered_as_one_response() {
    let extra = Dependency::start(Behaviour::quick(b"notes"));
    let mut env = TestEnvironment::start_registered_with(|_| (), &operator_config(&[&extra], ""));
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"what");
    let mut call = env.records.next_call();
    assert_eq!(call.request.request_line, "POST /records/op HTTP/1.1");
    assert_eq!((call.request.header("Op-Of"), call.request.body.as_slice()), ("a", &b"what"[..]));
    // The call to `extra` does not wait for the reply of the records service.
    eventually("the other call", || (extra.call_count() == 1).then_some(()));
    assert_eq!(extra.bodies(), [b"what"]);
    assert!(extra.stated_timeouts_ms().iter().all(|&ms| ms <= 400), "{:?}", extra.stated_timeouts_ms());
    call.reply("200 OK", "", b"booked");
    let (_, deliver) = env.agent.expect_command("deliver");
    assert_eq!(format_parts(&deliver), "records: booked, extra: notes");
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
}

#[test]
fn a_class_without_a_plan_gets_its_reply_unchanged() {
    let extra = Dependency::start(Behaviour::quick(b"notes"));
    let mut env = TestEnvironment::start_registered_with(|_| (), &operator_config(&[&extra], ""));
    let mut balancer = env.balancer();
    balancer.send(&Request::new(1, "a").with("SCRIPT_NAME", "/svc/room"));
    assert_eq!(env.agent.expect_command("launch").0, "a");
    env.agent.send_call_request("a", b"what");
    env.records.next_call().reply("200 OK", "", b"booked");
    let (_, deliver) = env.agent.expect_command("deliver");
    assert_eq!(deliver["body"], STANDARD.encode(b"booked"));
    assert_eq!(extra.call_count(), 0);
}

#[test]
fn other_replies_of_a_stage_are_delivered_in_time_whatever_an_optional_dependency_does() {
    let extra = Dependency::start(Behaviour::Hang);
    // No circuit breaker and no retries, so that a call is made under every behaviour.
    let extra_nodes = "retry most=0 share=0\n no-breaker";
    let mut env = TestEnvironment::start_registered_with(|_| (), &operator_config(&[&extra], extra_nodes));
    let memory_before_kb = env.memory_kb();
    let cases = [
        (Behaviour::quick(b"notes"), "notes"),
        (Behaviour::Hang, "DeadlineExceeded"),
        (Behaviour::Reset, "ConnectionLost"),
        (Behaviour::failing(), "Failed"),
        (Behaviour::rejecting(), "Rejected"),
        (Behaviour::ByteByByte { body: vec![b'x'; 100], every_ms: 20 }, "DeadlineExceeded"),
        (Behaviour::WrongLength { body: b"short".to_vec(), by: 5 }, "ConnectionLost"),
        (Behaviour::Endless, "ConnectionLost"),
        (Behaviour::Status { line: "200 OK", headers: "Content-Length: 7\r\n" }, "ConnectionLost"),
        (Behaviour::Status { line: "nonsense", headers: "" }, "ConnectionLost"),
        (Behaviour::Answer { body: b"late".to_vec(), median_ms: 600.0, sigma: 0.01 }, "DeadlineExceeded"),
    ];
    for (number, (behaviour, expected)) in cases.into_iter().enumerate() {
        extra.set_behaviour(behaviour.clone());
        let start = Instant::now();
        let parts = run_with_call(&mut env, &format!("r{number}"));
        assert_eq!(parts, format!("records: booked, extra: {expected}"), "{behaviour:?}");
        // Far less than the request's budget of 150 s, but enough for a slow machine.
        assert!(start.elapsed() < Duration::from_secs(10), "{behaviour:?}");
    }
    extra.set_behaviour(Behaviour::Down);
    eventually("a closed port", || std::net::TcpStream::connect(extra.address).is_err().then_some(()));
    assert_eq!(run_with_call(&mut env, "down"), "records: booked, extra: Unreachable");
    assert!(env.memory_kb() < memory_before_kb + 8_192, "a reply of 3 GB is not buffered");
    assert!(env.is_alive());
}

#[test]
fn a_request_whose_required_dependency_fails_is_not_served() {
    let mut env = TestEnvironment::start_registered_with(
        |config| {
            // No call may be skipped, so a failed call fails its request.
            config["settings"]["family_info"]["class_skip_worth"] = json!([0.0, 0.0, 0.0]);
            config["settings"]["classes"][0]["effect"] = json!("non_idempotent");
        },
        &operator_config(&[&Dependency::start(Behaviour::quick(b"notes"))], ""),
    );
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"what");
    env.records.next_call().reply("500 Internal Server Error", "", b"");
    assert_eq!(balancer.answer().status, 500);
}

#[test]
fn calls_to_an_endpoint_that_is_down_go_to_another() {
    let (down, up) = (Dependency::start(Behaviour::Down), Dependency::start(Behaviour::quick(b"notes")));
    eventually("a closed port", || std::net::TcpStream::connect(down.address).is_err().then_some(()));
    let mut env =
        TestEnvironment::start_registered_with(|_| (), &operator_config(&[&down, &up], "retry burst=20"));
    for number in 0..12 {
        assert_eq!(run_with_call(&mut env, &format!("r{number}")), "records: booked, extra: notes");
    }
    assert_eq!(up.call_count(), 12);
}

#[test]
fn a_failed_call_falls_back_to_the_cached_reply() {
    let extra = Dependency::start(Behaviour::quick(b"notes"));
    let extra_nodes = "retry most=0\n fallback {\n kept max-age-ms=60000\n constant \"none\"\n }";
    let mut env = TestEnvironment::start_registered_with(|_| (), &operator_config(&[&extra], extra_nodes));
    assert_eq!(run_with_call(&mut env, "first"), "records: booked, extra: notes");
    extra.set_behaviour(Behaviour::failing());
    assert_eq!(run_with_call(&mut env, "second"), "records: booked, extra: cached notes");
}

#[test]
fn calls_in_flight_to_a_removed_dependency_end_normally() {
    let extra =
        Dependency::start(Behaviour::Answer { body: b"notes".to_vec(), median_ms: 300.0, sigma: 0.01 });
    let other = Dependency::start(Behaviour::quick(b"other"));
    let mut env = TestEnvironment::start_registered_with(
        |_| (),
        &operator_config(&[&extra], "").replace("most-ms=400", "most-ms=20000"),
    );
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"what");
    eventually("the call", || (extra.call_count() == 1).then_some(()));
    env.replace_operator_config(&operator_config(&[&other], "").replace("extra", "new"));
    eventually("the reloaded dependencies", || env.log().contains("dependencies reloaded").then_some(()));
    env.records.next_call().reply("200 OK", "", b"booked");
    let (_, deliver) = env.agent.expect_command("deliver");
    assert_eq!(format_parts(&deliver), "records: booked, extra: notes");
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert_eq!(run_with_call(&mut env, "b"), "records: booked, new: other");
    assert_eq!(extra.call_count(), 1);
}

#[test]
fn an_invalid_operator_file_changes_nothing() {
    let extra = Dependency::start(Behaviour::quick(b"notes"));
    let mut env = TestEnvironment::start_registered_with(|_| (), &operator_config(&[&extra], ""));
    for invalid in
        ["plan \"search\" {\n  stage { needs \"nobody\"; }\n}\n", "dependency \"a\" {", "kept kb=999999\n"]
    {
        let rejections_before = env.log().matches("configuration reload rejected").count();
        env.replace_operator_config(invalid);
        eventually("a rejected reload in the log", || {
            (env.log().matches("configuration reload rejected").count() > rejections_before).then_some(())
        });
    }
    assert!(env.log().contains("operator.kdl:2:11: no dependency is called"), "{}", env.log());
    assert_eq!(run_with_call(&mut env, "a"), "records: booked, extra: notes");
}

#[test]
fn calls_follow_the_configured_address_of_the_records_service() {
    let extra = Dependency::start(Behaviour::quick(b"notes"));
    let mut env = TestEnvironment::start_registered_with(|_| (), &operator_config(&[&extra], ""));
    assert_eq!(run_with_call(&mut env, "a"), "records: booked, extra: notes");
    let records = common::Records::start();
    env.reconfigure(|config| config["records"] = json!(records.address));
    let old_records = std::mem::replace(&mut env.records, records);
    eventually("the reloaded dependencies", || env.log().contains("dependencies reloaded").then_some(()));
    env.agent.wait_for_samples(3);
    assert_eq!(run_with_call(&mut env, "b"), "records: booked, extra: notes");
    drop(old_records);
}

#[test]
fn a_server_that_drains_during_a_stage_answers_and_exits() {
    let extra = Dependency::start(Behaviour::Hang);
    let mut env = TestEnvironment::start_registered_with(
        |_| (),
        &operator_config(&[&extra], "").replace("most-ms=400", "most-ms=20000"),
    );
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"what");
    eventually("the call", || (extra.call_count() == 1).then_some(()));
    env.terminate();
    // The request gets exactly one answer, and its calls are cancelled.
    assert!(matches!(balancer.answer().status, 500 | 503));
    assert!(env.wait_for_exit().success());
    assert_eq!(balancer.try_answer(), None);
}

#[test]
fn an_aborted_request_cancels_its_calls() {
    let extra = Dependency::start(Behaviour::Hang);
    let mut env = TestEnvironment::start_registered_with(
        |_| (),
        &operator_config(&[&extra], "").replace("most-ms=400", "most-ms=20000"),
    );
    let mut balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"what");
    let mut call = env.records.next_call();
    eventually("the call", || (extra.call_count() == 1).then_some(()));
    balancer.send_bytes(&common::balancer::encode_record(2, 1, &[]));
    assert_eq!(balancer.answer().status, 0);
    call.wait_for_close();
    assert!(env.is_alive());
}

#[test]
fn a_dependency_over_ajp_has_the_same_outcomes() {
    use umberloom_protocol_fakes::{AjpBehaviour, AjpServer};
    let server = AjpServer::start(AjpBehaviour::Answer(200, vec![b'n'; 20_000]));
    let extra_nodes = "transport \"ajp\" secret=\"s\"\n retry most=0 share=0\n no-breaker";
    let config =
        operator_config(&[], extra_nodes).replace("endpoints ", &format!("endpoints \"{}\"", server.address));
    let mut env = TestEnvironment::start_registered_with(|_| (), &config);
    let expected_parts = format!("records: booked, extra: {}", "n".repeat(20_000));
    assert_eq!(run_with_call(&mut env, "first"), expected_parts);
    assert_eq!(server.calls(), [b"what"]);
    let cases = [
        (AjpBehaviour::Answer(200, b"notes".to_vec()), "notes"),
        (AjpBehaviour::Answer(500, vec![]), "Failed"),
        (AjpBehaviour::NotBegun(503), "Rejected"),
        (AjpBehaviour::Hang, "DeadlineExceeded"),
        (AjpBehaviour::TruncatedAnswer, "ConnectionLost"),
        (AjpBehaviour::InvalidBytes, "ConnectionLost"),
        (AjpBehaviour::Answer(200, vec![b'x'; 70_000]), "ConnectionLost"),
        (AjpBehaviour::Answer(200, b"again".to_vec()), "again"),
    ];
    for (number, (behaviour, expected)) in cases.into_iter().enumerate() {
        server.set_behaviour(behaviour.clone());
        let parts = run_with_call(&mut env, &format!("r{number}"));
        assert_eq!(parts, format!("records: booked, extra: {expected}"), "{behaviour:?}");
    }
    // A connection idle for 1 s or longer is pinged before its next call. If it does not answer, it is
    // replaced and the call is not lost.
    server.set_behaviour(AjpBehaviour::IgnorePings);
    std::thread::sleep(Duration::from_millis(1_300));
    assert_eq!(run_with_call(&mut env, "after a pause"), "records: booked, extra: well");
}

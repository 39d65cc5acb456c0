//! Configuration reloads of a running server.

mod common;

use common::{Agent, Announce, Records, Request, TestEnvironment};
use serde_json::json;

#[test]
fn new_addresses_of_all_peers_lose_no_request() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.launch_request("before");
    world.agent.wait_for_samples(3);
    let (agent, records, announce) = (Agent::start(), Records::start(), Announce::start());
    let addresses = [agent.address, records.address, announce.address];
    world.reconfigure(|config| {
        for (field, address) in ["agent", "records", "announce"].into_iter().zip(addresses) {
            config[field] = json!(address);
        }
    });
    let (old, _old_records, _old_announce) = (
        std::mem::replace(&mut world.agent, agent),
        std::mem::replace(&mut world.records, records),
        std::mem::replace(&mut world.announce, announce),
    );
    // Runs and notice numbers continue at the new address: nothing is launched again.
    world.agent.send_initial_notice();
    assert_eq!(world.agent.subscribed_seqs, [0]);
    assert_eq!(world.announce.next_report(), "true");
    world.agent.send_call_request("before", b"x");
    world.records.next_call().reply("200 OK", "", b"y");
    assert_eq!(world.agent.expect_command("deliver").0, "before");
    balancer.send(&Request::new(2, "after"));
    assert_eq!(world.agent.expect_command("launch").0, "after");
    for (slot, id) in [(1, "before"), (2, "after")] {
        world.agent.send_outcome(id, "fine", id.as_bytes());
        let answer = balancer.answer();
        assert_eq!((answer.slot, answer.status, answer.body.as_slice()), (slot, 200, id.as_bytes()));
    }
    drop(old);
}

#[test]
fn call_in_flight_ends_on_its_old_connection() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let _balancer = world.launch_request("a");
    world.agent.send_call_request("a", b"x");
    let mut call = world.records.next_call();
    let records = Records::start();
    world.reconfigure(|config| config["records"] = json!(records.address));
    let old = std::mem::replace(&mut world.records, records);
    world.agent.wait_for_samples(3);
    call.reply("200 OK", "", b"y");
    world.agent.expect_command("deliver");
    // The old connection carries no further calls: the next one goes to the new address.
    world.agent.send_call_request("a", b"z");
    assert_eq!(world.records.next_call().request.body, b"z");
    drop(old);
}

#[test]
fn invalid_or_unsupported_reload_changes_nothing() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.launch_request("a");
    let sound = world.config().clone();
    let with = |field: &str, value: serde_json::Value| {
        let mut config = sound.clone();
        config["agent"] = json!("127.0.0.1:1");
        *config.pointer_mut(field).expect("a field") = value;
        config.to_string()
    };
    let half = &sound.to_string()[..300];
    let bad = [
        half.to_owned(),
        String::new(),
        with("/name", json!("other")),
        with("/listen", json!("127.0.0.1:1")),
        with("/announce", json!("nowhere")),
        with("/limits/sockets", json!(512)),
        with("/settings/family_info/n_cores", json!(2)),
        with("/settings/classes/0/name", json!("other")),
    ];
    for text in &bad {
        world.replace_config_file(text);
        world.agent.wait_for_samples(3);
    }
    world.remove_config_file();
    world.agent.wait_for_samples(3);
    // The first link is still in use, and the server has subscribed on it only once.
    assert_eq!(world.agent.subscribed_seqs, [0]);
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert_eq!(world.announce.next_report(), "true");
}

#[test]
fn consecutive_reloads_end_at_the_last_address() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.balancer();
    // Nothing listens at this address: connection attempts fail until the next reload.
    world.reconfigure(|config| config["agent"] = json!("127.0.0.1:1"));
    balancer.send(&Request::new(1, "a"));
    let (passed, last) = (Agent::start(), Agent::start());
    world.reconfigure(|config| config["agent"] = json!(passed.address));
    world.reconfigure(|config| config["agent"] = json!(last.address));
    world.agent = last;
    world.agent.send_initial_notice();
    assert_eq!(world.agent.expect_command("launch").0, "a");
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    drop(passed);
}

#[test]
fn draining_server_still_reloads() {
    let mut world = TestEnvironment::start_registered(|_| ());
    let mut balancer = world.launch_request("a");
    world.terminate();
    world.announce.wait_for_report("false");
    let (agent, announce) = (Agent::start(), Announce::start());
    let addresses = [agent.address, announce.address];
    world.reconfigure(|config| {
        (config["agent"], config["announce"]) = (json!(addresses[0]), json!(addresses[1]));
    });
    (world.agent, world.announce) = (agent, announce);
    world.agent.send_initial_notice();
    world.announce.wait_for_report("false");
    world.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert!(world.wait_for_exit().success());
}

#[test]
fn reload_before_the_agent_is_connected_takes_effect() {
    let mut world = TestEnvironment::start(|_| ());
    world.agent.wait_for_link();
    let agent = Agent::start();
    let address = agent.address;
    world.reconfigure(|config| config["agent"] = json!(address));
    world.agent = agent;
    world.agent.send_initial_notice();
    assert_eq!(world.announce.next_report(), "true");
}

//! Configuration reloads of a running server.

mod common;

use common::{Agent, Announce, Records, Request, TestEnvironment};
use serde_json::json;

#[test]
fn new_addresses_of_all_peers_lose_no_request() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("before");
    env.agent.wait_for_samples(3);
    let (agent, records, announce) = (Agent::start(), Records::start(), Announce::start());
    let addresses = [agent.address, records.address, announce.address];
    env.reconfigure(|config| {
        for (field, address) in ["agent", "records", "announce"].into_iter().zip(addresses) {
            config[field] = json!(address);
        }
    });
    let (old_agent, _old_records, _old_announce) = (
        std::mem::replace(&mut env.agent, agent),
        std::mem::replace(&mut env.records, records),
        std::mem::replace(&mut env.announce, announce),
    );
    // Runs and notice numbers continue at the new address: nothing is launched again.
    env.agent.send_initial_notice();
    assert_eq!(env.agent.subscribed_seqs, [0]);
    assert_eq!(env.announce.next_report(), "true");
    env.agent.send_call_request("before", b"x");
    env.records.next_call().reply("200 OK", "", b"y");
    assert_eq!(env.agent.expect_command("deliver").0, "before");
    balancer.send(&Request::new(2, "after"));
    assert_eq!(env.agent.expect_command("launch").0, "after");
    for (slot, id) in [(1, "before"), (2, "after")] {
        env.agent.send_outcome(id, "fine", id.as_bytes());
        let answer = balancer.answer();
        assert_eq!((answer.slot, answer.status, answer.body.as_slice()), (slot, 200, id.as_bytes()));
    }
    drop(old_agent);
}

#[test]
fn call_in_flight_ends_on_its_old_connection() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let _balancer = env.launch_request("a");
    env.agent.send_call_request("a", b"x");
    let mut call = env.records.next_call();
    let records = Records::start();
    env.reconfigure(|config| config["records"] = json!(records.address));
    let old_records = std::mem::replace(&mut env.records, records);
    env.agent.wait_for_samples(3);
    call.reply("200 OK", "", b"y");
    env.agent.expect_command("deliver");
    // The old connection carries no further calls: the next one goes to the new address.
    env.agent.send_call_request("a", b"z");
    assert_eq!(env.records.next_call().request.body, b"z");
    drop(old_records);
}

#[test]
fn invalid_or_unsupported_reload_changes_nothing() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    let valid = env.config().clone();
    let config_with = |field: &str, value: serde_json::Value| {
        let mut config = valid.clone();
        config["agent"] = json!("127.0.0.1:1");
        *config.pointer_mut(field).expect("a field") = value;
        config.to_string()
    };
    let truncated = &valid.to_string()[..300];
    let rejected = [
        truncated.to_owned(),
        String::new(),
        config_with("/name", json!("other")),
        config_with("/listen", json!("127.0.0.1:1")),
        config_with("/announce", json!("nowhere")),
        config_with("/limits/sockets", json!(512)),
        config_with("/settings/family_info/n_cores", json!(2)),
        config_with("/settings/classes/0/name", json!("other")),
    ];
    for text in &rejected {
        env.replace_config_file(text);
        env.agent.wait_for_samples(3);
    }
    env.remove_config_file();
    env.agent.wait_for_samples(3);
    // The first link is still in use, and the server has subscribed on it only once.
    assert_eq!(env.agent.subscribed_seqs, [0]);
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert_eq!(env.announce.next_report(), "true");
}

#[test]
fn consecutive_reloads_take_the_last_address() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.balancer();
    // Nothing listens at this address: connection attempts fail until the next reload.
    env.reconfigure(|config| config["agent"] = json!("127.0.0.1:1"));
    balancer.send(&Request::new(1, "a"));
    let (skipped_agent, last_agent) = (Agent::start(), Agent::start());
    env.reconfigure(|config| config["agent"] = json!(skipped_agent.address));
    env.reconfigure(|config| config["agent"] = json!(last_agent.address));
    env.agent = last_agent;
    env.agent.send_initial_notice();
    assert_eq!(env.agent.expect_command("launch").0, "a");
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    drop(skipped_agent);
}

#[test]
fn draining_server_still_reloads() {
    let mut env = TestEnvironment::start_registered(|_| ());
    let mut balancer = env.launch_request("a");
    env.terminate();
    env.announce.wait_for_report("false");
    let (agent, announce) = (Agent::start(), Announce::start());
    let addresses = [agent.address, announce.address];
    env.reconfigure(|config| {
        (config["agent"], config["announce"]) = (json!(addresses[0]), json!(addresses[1]));
    });
    (env.agent, env.announce) = (agent, announce);
    env.agent.send_initial_notice();
    env.announce.wait_for_report("false");
    env.agent.send_outcome("a", "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
    assert!(env.wait_for_exit().success());
}

#[test]
fn reload_before_the_agent_is_connected_takes_effect() {
    let mut env = TestEnvironment::start(|_| ());
    env.agent.wait_for_link();
    let agent = Agent::start();
    let address = agent.address;
    env.reconfigure(|config| config["agent"] = json!(address));
    env.agent = agent;
    env.agent.send_initial_notice();
    assert_eq!(env.announce.next_report(), "true");
}

//! Twenty-four servers without a fleet call one service, a fake that counts the calls.

mod common;

use std::time::{Duration, Instant};

use common::{server_executable, sleep_ms};
use serde_json::json;
use umberloom_fault_harness::history::History;
use umberloom_fault_harness::server::Server;
use umberloom_fault_harness::traffic::Traffic;
use umberloom_protocol_fakes::dependency::Behaviour;
use umberloom_protocol_fakes::Dependency;

const SERVERS: usize = 24;
/// Calls at once that the service survives, of all servers: less than one for each.
const CAPACITY: f64 = 12.0;

/// Calls take a tenth of a second.
fn healthy() -> Behaviour {
    Behaviour::Answer { body: b"booked".to_vec(), median_ms: 100.0, sigma: 0.05 }
}

/// Calls of all servers while `span` passes, and what the budget allows for as long as that took: N in each 100 ms, as a call
/// takes as long, and 2 x root of N + 2 for chance. Servers wait by their own clocks between calls, so that a
/// machine that is slow makes it fewer.
fn count_calls(service: &Dependency, span: Duration) -> (f64, f64) {
    service.take_counts();
    let started_at = Instant::now();
    sleep_ms(span.as_millis() as u64);
    let calls = service.take_counts().0 as f64;
    let expected = CAPACITY * (started_at.elapsed().as_secs_f64() / 0.1);
    (calls, expected + 2.0 * expected.sqrt() + 2.0)
}

#[test]
fn probes_and_first_calls_of_24_servers_stay_within_the_capacity_of_the_service() {
    let folder = std::env::temp_dir().join(format!("umberloom-calls-{}", std::process::id()));
    let service = Dependency::start(healthy());
    let mut servers: Vec<Server> = (0..SERVERS)
        .map(|index| {
            let mut server =
                Server::new(&format!("n{index}"), server_executable(), &folder, History::default())
                    .expect("a place");
            server.config_overrides = vec![
                ("/records", json!(service.address)),
                ("/seed", json!(format!("8c1f30d27a5b{index:04x}"))),
                ("/settings/servers", json!(SERVERS)),
                ("/settings/family_info/dep_share", json!(CAPACITY / SERVERS as f64)),
            ];
            server
        })
        .collect();
    servers.iter_mut().for_each(|server| server.start().expect("a process"));
    servers.iter_mut().for_each(|server| server.wait_until_healthy().expect("well"));
    let targets: Vec<_> =
        servers.iter().map(|server| (server.listen, server.farm.completion_notifier())).collect();
    let traffic = Traffic::start(&targets, 2, Duration::from_millis(10));
    // First calls after a start; then all lose the service at one moment, and find it back.
    let (calls, max_calls) = count_calls(&service, Duration::from_secs(2));
    assert!(calls > 0.0 && calls <= max_calls, "{calls} first calls, {max_calls} allowed");
    service.set_behaviour(Behaviour::failing());
    let (calls, max_calls) = count_calls(&service, Duration::from_secs(4));
    assert!(calls > 0.0 && calls <= max_calls, "{calls} calls while it was down, {max_calls} allowed");
    service.set_behaviour(healthy());
    let (calls, max_calls) = count_calls(&service, Duration::from_secs(3));
    assert!(calls > 0.0 && calls <= max_calls, "{calls} calls after it returned, {max_calls} allowed");
    drop(traffic);
    assert!(servers.iter_mut().all(|server| !server.has_crashed()));
    servers.iter_mut().for_each(Server::kill);
    let _ = std::fs::remove_dir_all(folder);
}

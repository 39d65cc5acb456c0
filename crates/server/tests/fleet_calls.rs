//! Twenty-four servers that do not form a fleet call one service, a fake that counts the calls.

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
/// Concurrent calls, from all servers together, that the service survives: less than one per server.
const CAPACITY: f64 = 12.0;

/// The service answers in 100 ms.
fn healthy() -> Behaviour {
    Behaviour::Answer { body: b"booked".to_vec(), median_ms: 100.0, sigma: 0.05 }
}

/// Counts the calls of all servers during `span`, and returns with them the most calls allowed in the time
/// that has passed: [`CAPACITY`] in each 100 ms, the duration of a call, plus 2 * sqrt(expected) + 2 for
/// random variation. Servers pace their calls by their own clocks, so a slow machine only makes the calls
/// fewer.
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
                    .expect("the server is prepared");
            server.config_overrides = vec![
                ("/records", json!(service.address)),
                ("/seed", json!(format!("8c1f30d27a5b{index:04x}"))),
                ("/settings/servers", json!(SERVERS)),
                ("/settings/family_info/dep_share", json!(CAPACITY / SERVERS as f64)),
            ];
            server
        })
        .collect();
    servers.iter_mut().for_each(|server| server.start().expect("the server starts"));
    servers.iter_mut().for_each(|server| server.wait_until_healthy().expect("the server is healthy"));
    let targets: Vec<_> =
        servers.iter().map(|server| (server.listen, server.farm.completion_notifier())).collect();
    let traffic = Traffic::start(&targets, 2, Duration::from_millis(10));
    // The first calls after the start. Then the service fails for all servers at once, and recovers later.
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

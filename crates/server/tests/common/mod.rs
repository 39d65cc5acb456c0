//! Starts the server that was built with these tests, alone with fakes of all its peers or as a fleet.
#![allow(dead_code, unused_imports)]

pub mod replicated_store;

use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::process::Output;

use serde_json::{json, Value};

pub use umberloom_protocol_fakes::test_environment::{
    eventually, settings, unix_ms, ConfigChange, WAIT_TIMEOUT,
};
pub use umberloom_protocol_fakes::{
    balancer, dependency, Agent, Announce, Balancer, Dependency, Records, Request,
};

/// The server and the fakes of its peers.
pub struct TestEnvironment(umberloom_protocol_fakes::TestEnvironment);

/// The path of the server that was built with these tests.
pub fn server_executable() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_umberloom"))
}

impl TestEnvironment {
    /// Starts a server and waits until it has connected to its agent and is registered.
    pub fn start_registered(change: ConfigChange) -> TestEnvironment {
        TestEnvironment(umberloom_protocol_fakes::TestEnvironment::start_registered(
            server_executable(),
            change,
        ))
    }

    /// Like [`TestEnvironment::start_registered`], with an operator configuration.
    pub fn start_registered_with(change: ConfigChange, operator: &str) -> TestEnvironment {
        TestEnvironment(umberloom_protocol_fakes::TestEnvironment::start_registered_with(
            server_executable(),
            change,
            Some(operator),
        ))
    }

    /// Like [`TestEnvironment::start_registered`], with a limit of the operating system on the descriptors of
    /// the server's process.
    pub fn start_with_descriptor_limit(descriptors: usize, change: ConfigChange) -> TestEnvironment {
        let environment = umberloom_protocol_fakes::TestEnvironment::start_with_descriptor_limit(
            server_executable(),
            change,
            None,
            Some(descriptors),
        );
        let mut environment = TestEnvironment(environment);
        environment.agent.send_initial_notice();
        assert_eq!(environment.announce.next_report(), "true");
        environment
    }

    /// Starts a server whose agent accepts the connection but has not sent its initial notice.
    pub fn start(change: ConfigChange) -> TestEnvironment {
        TestEnvironment(umberloom_protocol_fakes::TestEnvironment::start(server_executable(), change))
    }
}

impl Deref for TestEnvironment {
    type Target = umberloom_protocol_fakes::TestEnvironment;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl DerefMut for TestEnvironment {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}

/// Makes class `book` non-idempotent, gives `room` idempotency keys, and leaves `search` idempotent. No call
/// may be skipped.
pub fn classes_by_idempotency(config: &mut Value) {
    config["stop_ms"] = 3_000.into();
    config["settings"]["family_info"]["class_skip_worth"] = json!([0.0, 0.0, 0.0]);
    config["settings"]["family_info"]["class_calls"] = json!([true, true, true]);
    config["settings"]["classes"][1]["effect"] = "non_idempotent".into();
    config["settings"]["classes"][2]["effect"] = "idempotency_key".into();
}

/// A request of the given class, with its id as the idempotency key.
pub fn request_of_class(slot: u16, id: &str, class: &str) -> Request {
    Request::new(slot, id).with("SCRIPT_NAME", &format!("/svc/{class}")).with("HTTP_ONCE_KEY", id)
}

/// Runs the program with these arguments, and with a configuration if given, until it exits.
pub fn run_program(arguments: &[&str], config: Option<&str>) -> Output {
    umberloom_protocol_fakes::test_environment::run_program(server_executable(), arguments, config)
}

/// The default options of a fleet of this server.
pub fn fleet_options(servers: usize) -> umberloom_fault_harness::Options {
    umberloom_fault_harness::Options::new(server_executable(), servers)
}

/// Starts a fleet, waits until every server's partition status is whole, and starts traffic at every server.
pub fn start_converged_fleet(servers: usize) -> umberloom_fault_harness::Fleet {
    let mut fleet = umberloom_fault_harness::Fleet::start(fleet_options(servers))
        .unwrap_or_else(|error| panic!("{error}"));
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_else(|error| panic!("{error}"));
    fleet.start_traffic(2, std::time::Duration::from_millis(20));
    fleet
}

/// Fails the test with the message of an error.
pub trait UnwrapOrPanic {
    fn unwrap_or_panic(self);
}

impl UnwrapOrPanic for Result<(), String> {
    fn unwrap_or_panic(self) {
        self.unwrap_or_else(|error| panic!("{error}"));
    }
}

/// Stops the traffic and asserts that no invariant was violated.
pub fn assert_invariants(mut fleet: umberloom_fault_harness::Fleet) {
    let violations = fleet.finish_and_check();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Sleeps for this many milliseconds, so that a fault can take effect.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

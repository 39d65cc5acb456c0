//! The server that was built with these tests, with fakes of all its peers around it.
#![allow(dead_code, unused_imports)]

pub mod replicated_store;

use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::process::Output;

pub use umberloom_protocol_fakes::test_environment::{
    eventually, settings, unix_ms, ConfigChange, WAIT_TIMEOUT,
};
pub use umberloom_protocol_fakes::{
    balancer, dependency, Agent, Announce, Balancer, Dependency, Records, Request,
};

/// That server and its fakes.
pub struct TestEnvironment(umberloom_protocol_fakes::TestEnvironment);

pub fn server_executable() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_umberloom"))
}

impl TestEnvironment {
    /// A server whose agent is up and that is registered.
    pub fn start_registered(change: ConfigChange) -> TestEnvironment {
        TestEnvironment(umberloom_protocol_fakes::TestEnvironment::start_registered(
            server_executable(),
            change,
        ))
    }

    /// The same with an operator's file.
    pub fn start_registered_with(change: ConfigChange, operator: &str) -> TestEnvironment {
        TestEnvironment(umberloom_protocol_fakes::TestEnvironment::start_registered_with(
            server_executable(),
            change,
            Some(operator),
        ))
    }

    /// A server that is up under a limit of the system itself on its descriptors.
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

    /// A server whose agent accepts its link and has not greeted yet.
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

/// Runs the program to its end with these arguments, and a configuration if there is one.
pub fn run_program(arguments: &[&str], config: Option<&str>) -> Output {
    umberloom_protocol_fakes::test_environment::run_program(server_executable(), arguments, config)
}

/// Options of a fleet of this server.
pub fn fleet_options(servers: usize) -> umberloom_fault_harness::Options {
    umberloom_fault_harness::Options::new(server_executable(), servers)
}

/// A fleet that is complete and gets requests all the time.
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

/// Asserts that no invariant was broken.
pub fn assert_invariants(mut fleet: umberloom_fault_harness::Fleet) {
    let violations = fleet.finish_and_check();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Gives a fault time to show.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

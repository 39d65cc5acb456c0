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
pub struct World(umberloom_protocol_fakes::TestEnvironment);

pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_umberloom"))
}

impl World {
    /// A server whose agent is up and that is registered.
    pub fn up(change: ConfigChange) -> World {
        World(umberloom_protocol_fakes::TestEnvironment::start_registered(program(), change))
    }

    /// The same with an operator's file.
    pub fn up_with(change: ConfigChange, operator: &str) -> World {
        World(umberloom_protocol_fakes::TestEnvironment::start_registered_with(
            program(),
            change,
            Some(operator),
        ))
    }

    /// A server that is up under a limit of the system itself on its descriptors.
    pub fn up_within(descriptors: usize, change: ConfigChange) -> World {
        let world = umberloom_protocol_fakes::TestEnvironment::start_with_descriptor_limit(
            program(),
            change,
            None,
            Some(descriptors),
        );
        let mut world = World(world);
        world.agent.send_initial_notice();
        assert_eq!(world.announce.next_report(), "true");
        world
    }

    /// A server whose agent accepts its link and has not greeted yet.
    pub fn start(change: ConfigChange) -> World {
        World(umberloom_protocol_fakes::TestEnvironment::start(program(), change))
    }
}

impl Deref for World {
    type Target = umberloom_protocol_fakes::TestEnvironment;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl DerefMut for World {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}

/// Runs the program to its end with these arguments, and a configuration if there is one.
pub fn run(arguments: &[&str], config: Option<&str>) -> Output {
    umberloom_protocol_fakes::test_environment::run_program(program(), arguments, config)
}

/// Options of a fleet of this server.
pub fn options(servers: usize) -> umberloom_fault_harness::Options {
    umberloom_fault_harness::Options::new(program(), servers)
}

/// A fleet that is complete and gets requests all the time.
pub fn whole(servers: usize) -> umberloom_fault_harness::Fleet {
    let mut fleet =
        umberloom_fault_harness::Fleet::start(options(servers)).unwrap_or_else(|why| panic!("{why}"));
    fleet.wait_for_partition_status_everywhere("whole").unwrap_or_else(|why| panic!("{why}"));
    fleet.start_traffic(2, std::time::Duration::from_millis(20));
    fleet
}

/// Fails the test with the message of an error.
pub trait UnwrapOrPanic {
    fn unwrap_or_panic(self);
}

impl UnwrapOrPanic for Result<(), String> {
    fn unwrap_or_panic(self) {
        self.unwrap_or_else(|why| panic!("{why}"));
    }
}

/// Asserts that no invariant was broken.
pub fn sound(mut fleet: umberloom_fault_harness::Fleet) {
    let breaches = fleet.finish_and_check();
    assert!(breaches.is_empty(), "{}", breaches.join("\n"));
}

/// Gives a fault time to show.
pub fn rest(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

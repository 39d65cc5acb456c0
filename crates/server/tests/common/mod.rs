//! The stand-ins around the server that was built with these tests.
#![allow(dead_code, unused_imports)]

use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::process::Output;

pub use umberloom_protocol_fakes::world::{eventually, settings, unix_ms, Change, PATIENCE};
pub use umberloom_protocol_fakes::{
    balancer, dependency, Agent, Announce, Balancer, Dependency, Records, Request,
};

/// A world around that server.
pub struct World(umberloom_protocol_fakes::World);

pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_umberloom"))
}

impl World {
    /// A server whose agent is up and whose list has heard of it.
    pub fn up(change: Change) -> World {
        World(umberloom_protocol_fakes::World::up(program(), change))
    }

    /// The same with an operator's file.
    pub fn up_with(change: Change, operator: &str) -> World {
        World(umberloom_protocol_fakes::World::up_with(program(), change, Some(operator)))
    }

    /// A server that is up under a limit of the system itself on its descriptors.
    pub fn up_within(descriptors: usize, change: Change) -> World {
        let world = umberloom_protocol_fakes::World::start_within(program(), change, None, Some(descriptors));
        let mut world = World(world);
        world.agent.greet();
        assert_eq!(world.announce.report(), "true");
        world
    }

    /// A server whose agent accepts its link and says nothing yet.
    pub fn start(change: Change) -> World {
        World(umberloom_protocol_fakes::World::start(program(), change))
    }
}

impl Deref for World {
    type Target = umberloom_protocol_fakes::World;

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
    umberloom_protocol_fakes::world::run(program(), arguments, config)
}

/// What a fleet of servers of this program is to be.
pub fn options(servers: usize) -> umberloom_fault_harness::Options {
    umberloom_fault_harness::Options::new(program(), servers)
}

/// A fleet that stands whole, asked all the while.
pub fn whole(servers: usize) -> umberloom_fault_harness::Fleet {
    let mut fleet =
        umberloom_fault_harness::Fleet::start(options(servers)).unwrap_or_else(|why| panic!("{why}"));
    fleet.until_all("whole").unwrap_or_else(|why| panic!("{why}"));
    fleet.ask(2, std::time::Duration::from_millis(20));
    fleet
}

/// Waits are bounded within; what they say is the failure.
pub trait OrPanic {
    fn done(self);
}

impl OrPanic for Result<(), String> {
    fn done(self) {
        self.unwrap_or_else(|why| panic!("{why}"));
    }
}

/// Nothing that must always hold was broken.
pub fn sound(mut fleet: umberloom_fault_harness::Fleet) {
    let breaches = fleet.breaches();
    assert!(breaches.is_empty(), "{}", breaches.join("\n"));
}

/// Time for a fault to show.
pub fn rest(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

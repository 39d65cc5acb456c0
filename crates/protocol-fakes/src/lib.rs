//! Stand-ins for the peers of umberloom in every protocol that it speaks, for tests and demonstrations on
//! loopback.
//!
//! Each stand-in is written from the protocol's specification, with its own encoders and decoders, so that a
//! mistake in the product's interpretation of a protocol is not repeated here:
//!
//! - [`Balancer`] sends requests over FastCGI and reads the answers;
//! - [`Agent`] is a render farm agent that a test controls, [`farm::Farm`] one that works by itself;
//! - [`Records`] is the records service and [`Announce`] the announce service;
//! - [`Dependency`] is a service that can be slow, hang, reject, send invalid replies and recover;
//! - [`AjpServer`] answers calls over AJP, and [`ajp::FrontEnd`] sends them;
//! - [`TestEnvironment`] runs a real server process with stand-ins for its peers;
//! - [`loopback`] hands out addresses for such processes, [`signals`] sends them signals;
//! - [`standstill`] records when the process of the tests itself was not run.
//!
//! Nothing here depends on the machine's speed: every wait is for something that must happen, and has a limit
//! only so that a failing test ends. All addresses are on loopback.
#![allow(missing_docs)]

pub mod agent;
pub mod ajp;
pub mod balancer;
pub mod dependency;
pub mod farm;
pub mod http;
pub mod loopback;
pub mod signals;
pub mod standstill;
pub mod test_environment;

pub use agent::Agent;
pub use ajp::{AjpBehaviour, AjpServer};
pub use balancer::{Balancer, Request};
pub use dependency::Dependency;
pub use http::{Announce, Records};
pub use test_environment::TestEnvironment;

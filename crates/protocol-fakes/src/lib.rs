//! The other side of every protocol that umberloom speaks, for tests and demonstrations on loopback.
//!
//! Each stand-in is written from the protocol's specification, with encoders and decoders of its own, so that a
//! mistake in the product's reading of a protocol is not made here again:
//!
//! - [`Balancer`] sends requests over FastCGI and reads answers;
//! - [`Agent`] is a render farm agent that does what a test tells it, [`farm::Farm`] one that works by itself;
//! - [`Records`] and [`Announce`] are the records and the announce service, call by call;
//! - [`Dependency`] is a service that can be slow, hang, refuse, lie and come back;
//! - [`AjpServer`] answers calls over AJP, and [`ajp::FrontEnd`] asks;
//! - [`TestEnvironment`] puts a real server process in their middle.
//!
//! Nothing here depends on the machine's speed: every wait is for something that must come, and is bounded only so
//! that a failure ends. All addresses are on loopback.
#![allow(missing_docs)]

pub mod agent;
pub mod ajp;
pub mod balancer;
pub mod dependency;
pub mod farm;
pub mod http;
pub mod test_environment;

pub use agent::Agent;
pub use ajp::{AjpBehaviour, AjpServer};
pub use balancer::{Balancer, Request};
pub use dependency::Dependency;
pub use http::{Announce, Records};
pub use test_environment::TestEnvironment;

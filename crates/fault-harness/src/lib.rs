//! Runs a fleet of server processes with stand-ins for their peers, injects faults and records a history.
//!
//! - [`Fleet`] starts `umberloom serve` processes, each on its own loopback address with stand-ins for the
//!   agent, the records service and the announce service, and one shared dependency. A [`relay`] connects
//!   each ordered pair of servers for datagrams and streams; each of its directions can fail independently.
//! - [`script`] represents faults as lines of text that can be printed, parsed, generated from a seed and
//!   played.
//! - [`traffic`] sends requests to every server and records the outcome of each.
//! - [`history`] records the servers' log lines and all faults on one clock.
//! - [`check`] searches the history for violated invariants.
//! - [`virtual_fleet`] runs up to a thousand members in one process on virtual time, and
//!   [`virtual_replicated_store`] a replicated store with simulated disks. [`linear`] checks whether the
//!   results that its clients saw are linearizable.
//! - [`golden`] compares encoded bytes with those of an earlier version.
//!
//! All waits are bounded, all addresses are on loopback, and every process is ended by its own id.
#![allow(missing_docs)]

pub mod check;
pub mod fleet;
pub mod golden;
pub mod history;
pub mod linear;
pub mod relay;
pub mod script;
pub mod server;
pub mod traffic;
pub mod virtual_fleet;
pub mod virtual_replicated_store;

pub use fleet::{Fleet, Options};
pub use history::History;
pub use relay::Faults;
pub use script::{FaultAction, Script};

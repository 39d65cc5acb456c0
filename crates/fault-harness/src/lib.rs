//! Several server processes with everything around them, faults between them, and one history of all of it.
//!
//! - [`Fleet`] starts `umberloom serve` processes, each on a loopback address of its own with stand-ins of agent,
//!   records and announce service, and a shared dependency; between each ordered pair of servers a [`relay`] for
//!   datagrams and streams, each direction of which can fail by itself;
//! - [`script`] has faults as lines that can be printed, read and drawn from a seed, and plays them;
//! - [`traffic`] asks every server all the while and notes how each request ended;
//! - [`history`] keeps what every server said, every fault and every answer, on one clock;
//! - [`check`] reads the history and says what was broken;
//! - [`virtual_fleet`] has up to a thousand members in one process, on virtual time, and [`virtual_replicated_store`] a record with
//!   its disks; [`linear`] says whether what clients saw of it is linearizable.
//!
//! [`golden`] compares encoded bytes with those of an earlier version.
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

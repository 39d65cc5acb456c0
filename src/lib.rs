//! umberloom decides, inside each server of a fleet, what that server admits, runs and rejects.
//!
//! The decisions are in [`admission`]; what goes in and comes out is in [`interface`]. The library reads no
//! clock, starts no thread and does no I/O: time and events come in, actions go out.

pub mod admission;
pub mod interface;

pub use admission::AdmissionController;

//! umberloom decides, inside each server of a fleet, what that server takes, runs and turns away.
//!
//! The decisions are in [`choice`]; what goes in and comes out is in [`interface`]. The library
//! reads no clock, starts no thread and does no I/O: time and events come in, actions go out.

pub mod choice;
pub mod interface;

pub use choice::AdmissionController;

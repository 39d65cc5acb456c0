//! One record that the servers of a fleet keep together.
//!
//! A log of [`entry`]s replicated by Raft (the `raft` crate: pre-vote, check-quorum, learners, joint changes), and the
//! [`State`] that it comes to. Some members vote, the rest learn. Around the library:
//!
//! - [`log`]: its storage, in memory, with the batches that make it durable;
//! - [`words`]: what members say; what can't go directly goes by one other member, so that whoever some server reaches a
//!   quorum with can lead and be led (`docs/design/record.md` has the measured reason);
//! - [`witness`]: a copy whose disk was set back does not vote under its old number;
//! - [`compare`]: copies that differ are found by rolling digests; which one is wrong, and when nobody can tell;
//! - [`rule`]: who is taken in, promoted and replaced, one change at a time, never losing a quorum by it;
//! - [`transfer`]: snapshots in pieces, resumed after a cut, at a bounded rate, from whoever has them and is least loaded.
//!
//! There is no socket, file or clock here: [`Record`] takes what has come with its time, and gives [`Action`]s. What it
//! promises always: no two states at one index but by damage, which is found; an entry that was told to be done is in the
//! state of a majority of disks; an entry written twice is applied once. What it promises while a majority of the voters
//! reach each other within two hops and their disks write: a leader within four and a half election times (two until
//! someone asks for votes, and as much again where votes split).

pub mod divergence;
pub mod entry;
pub mod export;
pub mod log;
pub mod message;
mod replica;
pub mod rollback;
pub mod state;
pub mod transfer;
pub mod voter_selection;

pub use entry::{Entry, EntryId};
pub use export::Export;
pub use log::StoredReplica;
pub use replica::{
    Action, Config, Event, Priority, ReadOutcome, Replica, ReplicaStatus, ReplicaView, RequestError, Role,
};
pub use state::{Outcome, State};

pub use umberloom_membership::Micros;

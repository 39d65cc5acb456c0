//! A replicated store: named documents that the servers of a fleet keep together.
//!
//! A log of [`entry`]s is replicated by Raft (the `raft` crate: pre-vote, check-quorum, learners, joint membership changes),
//! and the [`State`] is what its entries lead to. Some members vote, the rest are learners. Around the Raft library:
//!
//! - [`log`]: its storage, in memory, with the write batches that make it durable;
//! - [`message`]: messages between members. Where two do not reach each other one other member relays, so that a server
//!   that reaches a quorum within two hops can lead and be led (`docs/design/record.md` has the measured reason);
//! - [`rollback`]: a replica whose disk was set back does not vote under its old id;
//! - [`divergence`]: replicas that differ are found by rolling digests; which one is wrong, and when nobody can tell;
//! - [`voter_selection`]: which replicas are admitted, promoted and replaced, one change at a time, never losing a quorum;
//! - [`transfer`]: snapshots in chunks, resumed after a restart, at a bounded rate, from the least loaded member;
//! - [`export`]: a file with the state and the log, which can be verified without a server.
//!
//! There is no socket, file or clock here: a [`Replica`] is given messages and the time, and gives [`Action`]s and
//! [`Event`]s. Times are in microseconds.
//!
//! Always: no two states at one index but by damage, which is found; an entry that was reported as applied is durable at a
//! majority of the voters; an entry proposed twice is applied once. While a majority of the voters reach each other within
//! two hops and their disks write: a leader within four and a half election timeouts (two until someone asks for votes, and
//! as much again where votes split).
//!
//! A store of a single server, without a disk:
//!
//! ```
//! use umberloom_replicated_store::{Action, Config, Entry, Outcome, Replica, Role};
//!
//! let config = Config { voters: 1, ..Config::new("server-a", &[]) };
//! let mut replica = Replica::new(0, config, None, 1).expect("a valid configuration");
//! let mut proposed = false;
//! while replica.outcome(7).is_none() {
//!     let now = replica.next_timeout();
//!     replica.handle_timeout(now);
//!     if replica.role() == Role::Leader && !proposed {
//!         let entry = &Entry::document("limits", b"forty".to_vec(), None)[0];
//!         replica.propose(now, 7, 0, entry).expect("it leads");
//!         proposed = true;
//!     }
//!     for action in replica.take_actions() {
//!         if let Action::Persist { number, .. } = action {
//!             replica.persisted(now, number);
//!         }
//!     }
//! }
//! assert_eq!(replica.outcome(7), Some(Outcome::Applied(1)));
//! ```

pub mod divergence;
pub mod entry;
pub mod export;
mod ids;
pub mod log;
pub mod message;
mod replica;
pub mod rollback;
pub mod state;
pub mod transfer;
pub mod voter_selection;

pub use entry::{Entry, EntryId};
pub use export::Export;
pub use ids::StoreId;
pub use log::{StoredReplica, StoredReplicaError};
pub use replica::{
    Action, Config, ConfigError, Event, InvalidConfig, InvariantViolation, Priority, ReadOutcome, Replica,
    ReplicaStatus, ReplicaView, RequestError, Role,
};
pub use state::{Outcome, State};
pub use umberloom_membership::Micros;

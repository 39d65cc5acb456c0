//! A replicated store: named documents that the servers of a fleet keep together.
//!
//! Raft replicates a log of entries ([`entry`]), and every replica applies it to its [`State`]. Some members
//! are voters, the others are learners. The `raft` crate is used with pre-vote, check-quorum and joint
//! membership changes.
//!
//! The modules around the Raft library:
//!
//! - [`log`]: the library's storage in memory, and the write batches that make it durable;
//! - [`message`]: messages between members. If two members do not reach each other, one other member relays,
//!   so that a server that reaches a quorum within two hops can lead or follow (the measurements behind this
//!   are in `docs/design/record.md`);
//! - [`rollback`]: a replica whose disk was rolled back does not vote under its old id;
//! - [`divergence`]: detects by rolling digests that replicas differ, and decides which of them are wrong or
//!   that this cannot be decided;
//! - [`voter_selection`]: which replicas are admitted, promoted and replaced, one change at a time, never
//!   losing a quorum;
//! - [`transfer`]: snapshots in chunks, resumed after a restart, at a bounded rate, from the least loaded
//!   member;
//! - [`export`]: a file with the state and the log, which can be verified without a server.
//!
//! The crate uses no socket, file or clock: a [`Replica`] receives messages and the time, and returns
//! [`Action`]s and [`Event`]s. Times are in microseconds.
//!
//! Guarantees: replicas have the same state at the same index unless one is damaged, which is detected; an
//! entry that was reported as applied is durable at a majority of the voters; an entry proposed twice is
//! applied once, as long as its outcome is remembered ([`State::outcome`]). While a majority of the voters
//! reach each other within two hops and can write to their disks, a leader is elected within four and a half
//! election timeouts (two until a replica requests votes, and as much again if votes split).
//!
//! Example of a store on a single server, without a disk:
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

//! SWIM membership of a fleet of servers: who is present, on what evidence, and how much of the fleet is
//! reachable.
//!
//! The operator's configuration lists the members of the fleet (the *roster*). Each server detects by itself
//! which of them are present. It runs SWIM with suspicions and incarnations on the `foca` crate, with time
//! limits that are scaled up while the server itself is slow ([`health`], as in Lifeguard), and exchanges
//! *heartbeats* with every other server, which report who receives messages from whom directly. The results
//! are:
//!
//! - a [`MemberView`] for each member: present, suspected, failed, leaving, left or never seen, since when
//!   and why;
//! - a [`PartitionStatus`]: whole, majority, minority, alone or unsure, based on direct evidence only
//!   ([`partition`]);
//! - an event when the view of another live member stays different from this server's ([`view`]).
//!
//! Messages are authenticated with the fleet's key ([`wire`]) and belong to a session in which both ends have
//! proven that they are live ([`session`]). Messages that are foreign, damaged, replayed, from an earlier
//! process or in a newer format are counted and rejected. When two processes use the same name, the earlier
//! one is *fenced*.
//!
//! This crate opens no sockets and reads no clock. [`Membership`] is given messages with their time of
//! arrival and returns [`Action`]s and [`Event`]s. Times are in microseconds on a monotonic clock whose rate
//! may be off by a few percent.
//!
//! ```
//! use umberloom_membership::{Config, Membership, PartitionStatus, ReturnPath};
//!
//! let server = |name: &str, others: &[&str], boot_id| {
//!     let config = Config::new("desks", name, others);
//!     Membership::new(0, config, boot_id, 7).expect("a valid configuration")
//! };
//! let mut a = server("a", &["b"], 1_700_000_000_000_001);
//! let mut b = server("b", &["a"], 1_700_000_000_000_002);
//! for now in (0..8_000_000).step_by(10_000) {
//!     a.handle_timeout(now);
//!     b.handle_timeout(now);
//!     for action in a.take_actions() {
//!         b.handle_message(now, action.bytes(), ReturnPath::Datagram(1));
//!     }
//!     for action in b.take_actions() {
//!         a.handle_message(now, action.bytes(), ReturnPath::Datagram(2));
//!     }
//! }
//! assert_eq!(a.partition_status(), PartitionStatus::Whole);
//! assert_eq!(b.partition_status(), PartitionStatus::Whole);
//! ```

pub mod config;
pub mod health;
mod identity;
mod interface;
mod member;
mod membership;
pub mod partition;
mod rejections;
pub mod session;
mod swim;
pub mod view;
pub mod wire;

pub use config::Config;
pub use identity::MemberName;
pub use interface::{Action, Event, MessageCounts, ReceivedMessage, ReturnPath};
pub use member::{Evidence, MemberState, MemberView};
pub use membership::{InvariantViolation, Membership, STALL_THRESHOLD};
pub use partition::PartitionStatus;
pub use umberloom::interface::Micros;

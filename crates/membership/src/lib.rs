//! SWIM membership of a fleet of servers: who is present, on what evidence, and how much of the fleet is reachable.
//!
//! The operator's file names who belongs to the fleet (the *roster*). From then on each server finds out by itself who
//! is present: SWIM with suspicion and incarnations on the `foca` crate, its time limits scaled while the server itself
//! is slow ([`health`], as in Lifeguard), and *heartbeats* between each two servers, which say who hears whom
//! directly. The results are:
//!
//! - a [`MemberView`] for each member: present, suspected, failed, leaving, left or never seen, since when and why;
//! - a [`PartitionStatus`]: whole, majority, minority, alone or unsure, by direct evidence only ([`partition`]);
//! - an event where two living members hold different views for long ([`view`]).
//!
//! Messages are sealed with the fleet's key ([`wire`]) and belong to a session in which both ends have proven that they
//! answer now ([`session`]): what is foreign, damaged, replayed, from an earlier process or of a newer format is
//! counted and rejected. Where two processes have one name, the earlier one is *fenced*.
//!
//! There is no socket and no clock here. [`Membership`] takes messages with the time at which they came, and gives
//! [`Action`]s and [`Event`]s. Times are in microseconds on a clock that goes forward only, at a rate within a few
//! percent.
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

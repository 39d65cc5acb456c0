//! Who is there in a fleet of servers, what may be believed of it, and the standing that follows.
//!
//! Each server is told in its operator's file who belongs to the fleet (the *roster*). From then on it finds out by
//! itself who is there: SWIM with suspicion and incarnations on `foca`, its time limits stretched while the server
//! itself is slow ([`health`], as in Lifeguard), and *beats* between each two servers, which tell who hears whom
//! directly. What comes of it:
//!
//! - a [`MemberView`] for each member: present, suspected, failed, leaving, left or never seen, since when and why;
//! - a [`Standing`]: whole, majority, minority, alone or unsure ([`standing`]), by direct evidence only;
//! - a named condition where two living members hold different views for long ([`view`]).
//!
//! Messages are sealed with the fleet's key ([`wire`]) and belong to a session in which both ends have proven that
//! they answer now ([`session`]): what is foreign, damaged, replayed, from an older start or of a newer form is
//! counted and never believed. `failed` is a belief with evidence and an age, never a fact.
//!
//! There is no socket and no clock here. [`Membership`] takes what has come with its time, and gives [`Action`]s and
//! [`Told`] lines. Times are in microseconds on a clock that goes forward only, at a rate within a few percent.
//!
//! ```
//! use umberloom_membership::{Config, Membership, Standing, Via};
//!
//! let server = |name: &str, others: &[&str]| {
//!     let config = Config::new("desks", name, others);
//!     Membership::new(0, config, 1_700_000_000_000_000 + name.len() as u64, 7).expect("no mistakes")
//! };
//! let (mut a, mut bb) = (server("a", &["bb"]), server("bb", &["a"]));
//! for now in (0..8_000_000).step_by(10_000) {
//!     a.pass(now);
//!     bb.pass(now);
//!     for action in a.take_actions() {
//!         bb.hear(now, action.bytes(), Via::Datagram(1));
//!     }
//!     for action in bb.take_actions() {
//!         a.hear(now, action.bytes(), Via::Datagram(2));
//!     }
//! }
//! assert_eq!((a.standing(), bb.standing()), (Standing::Whole, Standing::Whole));
//! ```

pub mod config;
pub mod health;
mod identity;
mod member;
mod membership;
pub mod partition;
pub mod session;
mod swim;
pub mod view;
pub mod wire;

pub use config::Config;
pub use identity::MemberName;
pub use member::{Evidence, MemberState, MemberView};
pub use membership::{Action, Event, Membership, MessageCounts, ReturnPath};
pub use partition::PartitionStatus;

/// Microseconds, on a clock that goes forward only.
pub type Micros = u64;

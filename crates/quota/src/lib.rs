//! A distributed quota with leases: how several servers share the calls at once that a dependency survives, without
//! agreeing on anything.
//!
//! A dependency survives so many calls at once from all servers together (the *total*). Each server that the operator
//! named owns a *quota share* of it, by a rule that all of them can work out alone, and may lend permits that it does
//! not need to another server that does, by a *lease* for a stated time (Gray and Cheriton, "Leases"). What must hold,
//! whatever is cut, paused, killed, duplicated or reordered:
//!
//! > at no instant do the calls in use of all processes together exceed the total.
//!
//! A call is *in use* from its sending until it has ended, or the time that it stated has run out. It holds by four
//! rules that each server keeps alone:
//!
//! 1. What is lent is not used. The lender counts a lease from when it granted it, for its duration and a bound on
//!    clock drift on top; the borrower from before it requested it, for its duration less that bound. So the borrower's
//!    time ends first on any two clocks whose rates are within the bound ([`Config::clock_drift`]).
//! 2. A borrowed permit serves only calls whose stated time, and [`Config::max_delivery_delay`] on top, ends before the
//!    lease does. A call that is given up keeps its permit until its stated time has run out.
//! 3. A process that starts uses nothing of its own share for as long as leases and calls of an earlier process under
//!    its name may still be in use ([`Config::quarantine`]). It may borrow meanwhile.
//! 4. A share grows only once all servers have said that they go by the same shares, and after that time; it shrinks at
//!    once.
//!
//! Liveness is promised less: a server that is cut off falls back to its own share within one lease, and one with
//! demand gets what others can spare while they hear each other.
//!
//! There is no I/O and no clock: [`SharedQuota`] takes events with their times, on a monotonic clock, and gives messages
//! for other servers.
//!
//! ```
//! use umberloom_quota::{Config, SharedQuota};
//!
//! let config = Config::new(10, &["a", "b", "c"], "a");
//! let settled_at = config.quarantine();
//! let mut quota = SharedQuota::new(0, config, 1).expect("a valid configuration");
//! assert_eq!(quota.available(0), 0);
//! quota.handle_timeout(settled_at);
//! assert_eq!(quota.available(settled_at), 4);
//! let until = quota.acquire(settled_at, 1, settled_at + 300_000).expect("a permit");
//! assert_eq!((until, quota.available(settled_at)), (settled_at + 300_000, 3));
//! quota.release(1);
//! assert_eq!(quota.available(settled_at), 4);
//! ```

mod config;
mod ledger;
mod message;
mod quota;
mod status;
mod usage;

pub use config::{quota_shares, Config, ConfigError, QuotaShare};
pub use ledger::{CallId, LeaseId};
pub use message::Message;
pub use quota::{InvariantViolation, SharedQuota};
pub use status::{ChangeCause, QuotaStatus};

/// Microseconds, on a clock that goes forward only and at the rate of time within [`Config::clock_drift`].
pub type Micros = u64;
/// The name of a server.
pub type MemberName = std::rc::Rc<str>;

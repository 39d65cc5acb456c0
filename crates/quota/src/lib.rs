//! A distributed quota with leases: several servers share the concurrent calls that a dependency can serve,
//! without a consensus protocol.
//!
//! The *total* is the number of concurrent calls, from all servers together, that the dependency can serve.
//! Each server of the configured roster owns a *quota share* of it, which every server computes by itself
//! with the same rule. A server can lend permits that it does not need to another server, by a *lease* with a
//! limited duration (Gray and Cheriton, "Leases"). One invariant must hold under partitions, pauses, crashes,
//! and duplicated or reordered messages:
//!
//! > at no instant do the calls in use of all processes together exceed the total.
//!
//! A call is *in use* from when it is sent until it has ended or its stated time has run out. Four rules,
//! which each server follows without coordination, maintain the invariant:
//!
//! 1. A permit that is lent is not used by its owner. The lender counts a lease from the time of the grant,
//!    for its duration plus a bound on clock drift. The borrower counts it from a time before the request,
//!    for its duration minus that bound. The borrower's lease therefore ends first on any two clocks whose
//!    rates are within the bound ([`Config::clock_drift`]).
//! 2. A borrowed permit serves only calls whose stated time plus [`Config::max_delivery_delay`] ends before
//!    the lease does. An abandoned call keeps its permit until its stated time has run out.
//! 3. A process that has just started uses nothing of its own share while leases and calls of an earlier
//!    process with the same name may still be in use ([`Config::quarantine`]). It can borrow during that
//!    time.
//! 4. A share grows only once all servers have reported that they use the same shares, and the quarantine has
//!    passed since; it shrinks at once.
//!
//! Liveness is guaranteed only in part: a server that is cut off falls back to its own share within one lease
//! duration, and a server with demand gets what others can spare as long as they can exchange messages.
//!
//! The crate does no I/O and reads no clock: [`SharedQuota`] takes events with their times, on a monotonic
//! clock, and returns messages for other servers.
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

/// Microseconds on a monotonic clock whose rate is accurate within [`Config::clock_drift`].
pub type Micros = u64;
/// The name of a server.
pub type MemberName = std::rc::Rc<str>;

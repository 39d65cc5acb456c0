//! Decides how several servers share what a dependency survives, without agreeing on anything.
//!
//! A dependency survives so many calls at once from all servers together (the *whole*). Each server that the operator
//! named owns a *part* of it, by a rule that all of them can work out alone, and may *lend* places that it does not
//! need to one that does, for a stated time. What must hold, whatever is cut, paused, killed, doubled or reordered:
//!
//! > at no instant do the calls in use of all processes together pass the whole.
//!
//! A call is *in use* from its sending until it has ended, or the time that it stated has run out. It holds by four
//! rules that each server keeps alone:
//!
//! 1. What is lent is not used. The lender counts a loan from when it granted it, for its time and a bound on drift on
//!    top; the borrower from before it asked, for its time less that bound. So the borrower's time ends first on any
//!    two clocks whose rates are within the bound ([`Config::drift`]).
//! 2. A borrowed place serves only calls whose stated time, and [`Config::delivery`] on top, ends before the loan
//!    does. A call that is given up keeps its place until its stated time has run out.
//! 3. A process that starts uses nothing of its own part for as long as loans and calls of an earlier process under
//!    its name may still be in use ([`Config::quiet`]). It may borrow meanwhile.
//! 4. A part grows only once all servers have said that they go by the same parts, and after that time; it shrinks at
//!    once.
//!
//! Liveness is promised less: a server that is cut off falls back to its own part within one loan, and one in need
//! gets what others can spare while they hear each other.
//!
//! There is no I/O and no clock of its own: [`Allowance`] takes events with their times, on a monotonic clock, and
//! gives messages for other servers.
//!
//! ```
//! use umberloom_quota::{Allowance, Config};
//!
//! let config = Config::new(10, &["a", "b", "c"], "a");
//! let quiet = config.quiet();
//! let mut allowance = Allowance::new(0, config, 1).expect("no mistakes");
//! assert_eq!(allowance.free(0), 0);
//! allowance.pass(quiet);
//! assert_eq!(allowance.free(quiet), 4);
//! let until = allowance.take(quiet, 1, quiet + 300_000).expect("a place");
//! assert_eq!((until, allowance.free(quiet)), (quiet + 300_000, 3));
//! allowance.end(1);
//! assert_eq!(allowance.free(quiet), 4);
//! ```

mod config;
mod ledger;
mod quota;

pub use config::{quota_shares, Config};
pub use ledger::CallId;
pub use quota::{ChangeCause, Message, QuotaStatus, SharedQuota};

/// Microseconds, on a clock that goes forward only and at the rate of time within [`Config::drift`].
pub type Micros = u64;
/// The name of a server.
pub type MemberName = std::rc::Rc<str>;

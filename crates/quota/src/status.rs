//! The status of a quota for operators. The names of fields and variants appear in the command line's
//! `--json` output.

use serde::{Deserialize, Serialize};

/// The cause of a change in the number of permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeCause {
    /// The process has just started and does not use its own share yet.
    Started,
    /// The quarantine, in which an earlier process may still have used the share, has ended.
    Settled,
    /// Permits were lent to another server.
    Lent,
    /// A lease that this server granted has ended or was returned.
    LoanBack,
    /// Permits were borrowed from another server.
    Borrowed,
    /// A lease that this server held has ended.
    LoanOver,
    /// The own share has changed.
    Part,
    /// This server was fenced: another process has its name.
    Silenced,
}

/// The state of one quota on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// The total: concurrent calls allowed from all servers together.
    pub whole: u32,
    /// Permits of this server's own share that it may use or lend now.
    pub part: u32,
    /// Permits of the own share by the configuration; more than `part` until the share may be used or may
    /// grow.
    pub wanted: u32,
    /// Permits lent to other servers.
    pub lent: u32,
    /// Permits borrowed from other servers.
    pub borrowed: u32,
    /// Calls in use, including abandoned calls whose stated time has not run out.
    pub used: u32,
    /// Calls that wait for a permit.
    pub waiting: u32,
    /// The cause of the last change in the number of permits, and the time since then in milliseconds.
    pub moved: (ChangeCause, u64),
    /// Milliseconds until the own share may be used or may grow; 0 if no change is pending.
    pub quiet_ms: u64,
}

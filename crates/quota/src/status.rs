//! Reports to people. Names of fields and variants are those of the command line's `--json`.

use serde::{Deserialize, Serialize};

/// What changed the number of permits last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeCause {
    /// The process has just started, and uses nothing of its own share yet.
    Started,
    /// The quarantine is over in which an earlier process may still have used the share.
    Settled,
    /// Permits were lent.
    Lent,
    /// A lease that was granted is over, or was returned.
    LoanBack,
    /// Permits were borrowed.
    Borrowed,
    /// A lease that was held is over.
    LoanOver,
    /// The own share has changed.
    Part,
    /// Another process has this server's name.
    Silenced,
}

/// The state of one quota on one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// Calls at once from all servers.
    pub whole: u32,
    /// Permits of this server's own share.
    pub part: u32,
    /// What the share is by the configuration; it may be more than what may be used yet.
    pub wanted: u32,
    /// Permits lent to others.
    pub lent: u32,
    /// Permits borrowed from others.
    pub borrowed: u32,
    /// Calls in use, those included that were given up and have not run out.
    pub used: u32,
    /// Calls that wait for a permit.
    pub waiting: u32,
    /// What changed the permits last, and how long ago in milliseconds.
    pub moved: (ChangeCause, u64),
    /// Milliseconds until the own share may be used, or may grow.
    pub quiet_ms: u64,
}

//! What is in use, lent and borrowed, and until when.

use std::collections::BTreeMap;

use crate::{MemberName, Micros};

/// What a host calls a call; each under way has a name of its own.
pub type CallId = u64;
/// A loan by its lender, the start of the lender's process and its number there.
pub(crate) type LeaseId = (MemberName, u64, u64);

/// Places that others use of ours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Loan {
    pub borrower: MemberName,
    pub boot: u64,
    pub permits: u32,
    pub until: Micros,
}

/// Places of others that we use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Borrowed {
    pub permits: u32,
    pub until: Micros,
    /// When it last served a call.
    pub last_used_at: Micros,
}

/// A call in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallPermit {
    /// Its stated time, and the time on its way, have run out.
    pub until: Micros,
    /// The loan whose place it has; none is our own part.
    pub lease: Option<LeaseId>,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    pub lent: BTreeMap<u64, Loan>,
    pub borrowed: BTreeMap<LeaseId, Borrowed>,
    pub calls: BTreeMap<CallId, CallPermit>,
}

impl Ledger {
    /// Forgets what has run out by now.
    pub fn expire(&mut self, now: Micros) {
        self.calls.retain(|_, call| now < call.until);
        self.lent.retain(|_, loan| now < loan.until);
        // Calls of a loan end before it does.
        self.borrowed.retain(|_, loan| now < loan.until);
    }

    pub fn lent(&self) -> u32 {
        self.lent.values().map(|loan| loan.permits).sum()
    }

    pub fn borrowed(&self) -> u32 {
        self.borrowed.values().map(|loan| loan.permits).sum()
    }

    pub fn used_of(&self, loan: Option<&LeaseId>) -> u32 {
        self.calls.values().filter(|call| call.lease.as_ref() == loan).count() as u32
    }

    /// The loan with a free place that lasts longest.
    pub fn longest_free(&self) -> Option<(LeaseId, Micros)> {
        let free = |(key, loan): &(&LeaseId, &Borrowed)| self.used_of(Some(key)) < loan.permits;
        let all = self.borrowed.iter().filter(free);
        all.max_by_key(|(_, loan)| loan.until).map(|(key, loan)| (key.clone(), loan.until))
    }
}

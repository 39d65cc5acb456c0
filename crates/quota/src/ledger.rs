//! Calls in use, leases granted and leases held, and until when.

use std::collections::BTreeMap;

use crate::{MemberName, Micros};

/// The host's number of a call; each call in use has a number of its own.
pub type CallId = u64;

/// Names one lease in the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId {
    /// The server that lends.
    pub lender: MemberName,
    /// The start of its process.
    pub lender_boot_id: u64,
    /// The number that this process gave it.
    pub number: u64,
}

/// A lease of our own permits to another server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GrantedLease {
    pub borrower: MemberName,
    pub borrower_boot_id: u64,
    pub permits: u32,
    pub until: Micros,
}

/// A lease of another server's permits to us.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldLease {
    pub permits: u32,
    pub until: Micros,
    /// When it last served a call.
    pub last_used_at: Micros,
}

/// The permit of a call in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallPermit {
    /// By then the call's stated time, and the time on its way, have run out.
    pub until: Micros,
    /// The lease that the permit is of; `None` is the own share.
    pub lease: Option<LeaseId>,
}

/// All calls and leases of one quota on one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    /// Leases that we granted, by our own number.
    pub granted: BTreeMap<u64, GrantedLease>,
    /// Leases that we hold.
    pub held: BTreeMap<LeaseId, HeldLease>,
    pub calls: BTreeMap<CallId, CallPermit>,
}

impl Ledger {
    /// Forgets what has run out by now.
    pub fn expire(&mut self, now: Micros) {
        self.calls.retain(|_, call| now < call.until);
        self.granted.retain(|_, lease| now < lease.until);
        // Calls of a lease end before it does.
        self.held.retain(|_, lease| now < lease.until);
    }

    /// Permits lent to others.
    pub fn lent(&self) -> u32 {
        self.granted.values().map(|lease| lease.permits).sum()
    }

    /// Permits borrowed from others.
    pub fn borrowed(&self) -> u32 {
        self.held.values().map(|lease| lease.permits).sum()
    }

    /// Calls that use permits of the own share.
    pub fn used_of_own_share(&self) -> u32 {
        self.calls.values().filter(|call| call.lease.is_none()).count() as u32
    }

    /// Calls that use permits of this lease.
    pub fn used_of(&self, id: &LeaseId) -> u32 {
        self.calls.values().filter(|call| call.lease.as_ref() == Some(id)).count() as u32
    }

    /// Permits of leases that are free, where the lease lasts until `needed_until` at least.
    pub fn free_of_leases(&self, needed_until: Micros) -> u32 {
        self.held
            .iter()
            .filter(|(_, lease)| lease.until >= needed_until)
            .map(|(id, lease)| lease.permits.saturating_sub(self.used_of(id)))
            .sum()
    }

    /// The lease with a free permit that lasts longest, and its end.
    pub fn longest_free_lease(&self) -> Option<(LeaseId, Micros)> {
        self.held
            .iter()
            .filter(|(id, lease)| self.used_of(id) < lease.permits)
            .max_by_key(|(_, lease)| lease.until)
            .map(|(id, lease)| (id.clone(), lease.until))
    }
}

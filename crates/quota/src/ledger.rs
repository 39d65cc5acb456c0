//! The ledger of a quota: calls in use, leases granted and leases held, each with its end.

use std::collections::BTreeMap;

use crate::{MemberName, Micros};

/// The host's number for a call, unique among the calls in use.
pub type CallId = u64;

/// Identifies a lease within the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId {
    /// The server that granted the lease.
    pub lender: MemberName,
    /// The boot id of the lender's process.
    pub lender_boot_id: u64,
    /// The lender's number for the lease, unique within that process.
    pub number: u64,
}

/// A lease of own permits to another server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GrantedLease {
    pub borrower: MemberName,
    pub borrower_boot_id: u64,
    pub permits: u32,
    /// When the permits may be used here again.
    pub until: Micros,
}

/// A lease of another server's permits to this server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldLease {
    pub permits: u32,
    /// When the permits may no longer be used here.
    pub until: Micros,
    /// When it last served a call, or when it was granted if it has served none.
    pub last_used_at: Micros,
}

/// The permit of a call in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallPermit {
    /// When the call's stated time plus the maximum delivery delay has run out.
    pub until: Micros,
    /// The lease that the permit belongs to; `None` if it is of the own share.
    pub lease: Option<LeaseId>,
}

/// All calls and leases of one quota on one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    /// Leases granted to other servers, by lease number.
    pub granted: BTreeMap<u64, GrantedLease>,
    /// Leases held from other servers.
    pub held: BTreeMap<LeaseId, HeldLease>,
    /// Calls in use, with their permits.
    pub calls: BTreeMap<CallId, CallPermit>,
}

impl Ledger {
    /// Removes the calls and leases that have ended by `now`.
    pub fn expire(&mut self, now: Micros) {
        self.calls.retain(|_, call| now < call.until);
        self.granted.retain(|_, lease| now < lease.until);
        // A call that uses a lease ends before the lease does, so no call is left without its lease.
        self.held.retain(|_, lease| now < lease.until);
    }

    /// The number of permits lent to other servers.
    pub fn lent(&self) -> u32 {
        self.granted.values().map(|lease| lease.permits).sum()
    }

    /// The number of permits borrowed from other servers.
    pub fn borrowed(&self) -> u32 {
        self.held.values().map(|lease| lease.permits).sum()
    }

    /// The number of calls that use permits of the own share.
    pub fn used_of_own_share(&self) -> u32 {
        self.calls.values().filter(|call| call.lease.is_none()).count() as u32
    }

    /// The number of calls that use permits of this lease.
    pub fn used_of_lease(&self, id: &LeaseId) -> u32 {
        self.calls.values().filter(|call| call.lease.as_ref() == Some(id)).count() as u32
    }

    /// The number of free permits of the leases that last at least until `needed_until`.
    pub fn free_of_leases(&self, needed_until: Micros) -> u32 {
        self.held
            .iter()
            .filter(|(_, lease)| lease.until >= needed_until)
            .map(|(id, lease)| lease.permits.saturating_sub(self.used_of_lease(id)))
            .sum()
    }

    /// Of the leases with a free permit, the one that lasts longest, and its end.
    pub fn longest_free_lease(&self) -> Option<(LeaseId, Micros)> {
        self.held
            .iter()
            .filter(|(id, lease)| self.used_of_lease(id) < lease.permits)
            .max_by_key(|(_, lease)| lease.until)
            .map(|(id, lease)| (id.clone(), lease.until))
    }
}

//! The lender's side: what can be spared is lent to servers with more demand.

use super::{SharedQuota, MAX_LEASES};
use crate::ledger::GrantedLease;
use crate::message::Message;
use crate::status::ChangeCause;
use crate::{MemberName, Micros};

/// A lender keeps one permit in so many of its share beyond its recent use, and one at least.
const SHARE_PER_RESERVED_PERMIT: u32 = 8;

/// A borrower's request that has been answered. In ascending order of the borrower's processes and their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnsweredRequest {
    /// The start of the borrower's process.
    pub boot_id: u64,
    /// That process's number of the request.
    pub request_number: u64,
}

impl SharedQuota {
    /// Grants a lease, or denies it.
    pub(super) fn handle_request(
        &mut self,
        now: Micros,
        borrower: &MemberName,
        request: AnsweredRequest,
        permits: u32,
        priority_level: u16,
    ) {
        // A request that comes twice gets one answer: a second lease would be wasted.
        if self.answered_requests.get(borrower).is_some_and(|last| *last >= request) {
            return;
        }
        self.answered_requests.insert(borrower.clone(), request);
        self.answered_requests.retain(|name, _| self.config.roster.contains(name));
        let AnsweredRequest { boot_id, request_number } = request;
        // Half of what can be spared, so that the next one with demand finds something too.
        let permits = permits.min(self.spare_permits(priority_level).div_ceil(2));
        if permits == 0 || self.ledger.granted.len() >= MAX_LEASES {
            self.outbox.push((borrower.clone(), Message::Deny { request_number }));
            return;
        }
        let lease_number = self.next_number();
        let duration = self.config.lease_duration;
        let lease = GrantedLease {
            borrower: borrower.clone(),
            borrower_boot_id: boot_id,
            permits,
            until: now + self.config.scale_up_for_drift(duration),
        };
        self.ledger.granted.insert(lease_number, lease);
        self.record_change(now, ChangeCause::Lent);
        let grant = Message::Grant { request_number, lease_number, permits, duration };
        self.outbox.push((borrower.clone(), grant));
    }

    /// What can be spared: nothing while our own calls wait, unless theirs are of a higher priority level.
    fn spare_permits(&self, priority_level: u16) -> u32 {
        let own_calls_first = self.demand.waiting > 0 && self.demand.priority_level >= priority_level;
        if self.fenced || own_calls_first {
            return 0;
        }
        let peak = self.recent_peak.get().max(self.ledger.used_of_own_share());
        let reserved = peak + (self.share / SHARE_PER_RESERVED_PERMIT).max(1);
        self.share.saturating_sub(self.ledger.lent() + reserved)
    }

    /// A lease comes back early. The borrower stopped using it before it said so.
    pub(super) fn handle_return(
        &mut self,
        now: Micros,
        borrower: &MemberName,
        boot_id: u64,
        lease_number: u64,
    ) {
        let is_borrower =
            |lease: &GrantedLease| lease.borrower == *borrower && lease.borrower_boot_id == boot_id;
        if self.ledger.granted.get(&lease_number).is_some_and(is_borrower) {
            self.ledger.granted.remove(&lease_number);
            self.record_change(now, ChangeCause::LoanBack);
        }
    }
}

//! The lender's side: permits that this server does not need are lent to servers with more demand.

use super::{SharedQuota, MAX_LEASES};
use crate::ledger::GrantedLease;
use crate::message::Message;
use crate::status::ChangeCause;
use crate::{MemberName, Micros};

/// Beyond its recent use, a lender keeps one permit per this many permits of its share, and at least one.
const SHARE_PER_RESERVED_PERMIT: u32 = 8;

/// A borrower's request that has been answered. Ordered by the borrower's boot id, then by request number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnsweredRequest {
    /// The boot id of the borrower's process.
    pub boot_id: u64,
    /// The borrower's number for the request.
    pub request_number: u64,
}

impl SharedQuota {
    /// Answers a request for a lease with a grant or a denial.
    pub(super) fn handle_request(
        &mut self,
        now: Micros,
        borrower: &MemberName,
        request: AnsweredRequest,
        permits: u32,
        priority_level: u16,
    ) {
        // A duplicate of a request is ignored: a second lease would be wasted.
        if self.answered_requests.get(borrower).is_some_and(|last| *last >= request) {
            return;
        }
        self.answered_requests.insert(borrower.clone(), request);
        self.answered_requests.retain(|name, _| self.config.roster.contains(name));
        let AnsweredRequest { boot_id, request_number } = request;
        // Lends at most half of the spare permits, so that the next borrower can get some too.
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

    /// Permits that can be lent to a borrower whose waiting calls have this priority level: none while own
    /// calls of the same or a higher level wait.
    fn spare_permits(&self, priority_level: u16) -> u32 {
        let own_calls_first = self.demand.waiting > 0 && self.demand.priority_level >= priority_level;
        if self.fenced || own_calls_first {
            return 0;
        }
        let peak = self.recent_peak.get().max(self.ledger.used_of_own_share());
        let reserved = peak + (self.share / SHARE_PER_RESERVED_PERMIT).max(1);
        self.share.saturating_sub(self.ledger.lent() + reserved)
    }

    /// Removes a lease that the borrower returned early; the borrower stopped using it before it sent the
    /// message.
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

//! The borrower's side: leases are requested while calls wait, and returned early when nothing needs them.

use rand::seq::SliceRandom;

use super::{SharedQuota, MAX_LEASES, MAX_PENDING_REQUESTS};
use crate::ledger::{HeldLease, LeaseId};
use crate::message::Message;
use crate::status::ChangeCause;
use crate::{MemberName, Micros};

/// Minimum time between two rounds of requests: a few round trips.
pub(super) const REQUEST_INTERVAL: Micros = 20_000;
/// How long a server that denied a lease is not asked again.
const DENIED_BACKOFF: Micros = 200_000;
/// Servers asked in one round. More than one, so that a slow server does not delay the waiting calls (power
/// of two choices).
const REQUESTS_PER_ROUND: usize = 2;

/// A request that has not been answered yet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PendingRequest {
    lender: MemberName,
    request_number: u64,
}

impl SharedQuota {
    /// Removes requests whose lease would have ended by now, and denials whose backoff is over.
    pub(super) fn expire_requests(&mut self, now: Micros) {
        let lifetime = self.config.lease_duration;
        self.pending_requests.retain(|_, sent_at| now < *sent_at + lifetime);
        self.denied_until.retain(|_, until| now < *until);
    }

    /// Requests leases if calls wait and no permit is free, or if a lease in use is about to end.
    pub(super) fn request_leases(&mut self, now: Micros) {
        let too_early = now < self.last_request_at + REQUEST_INTERVAL;
        if self.fenced || too_early || !self.needs_leases(now) {
            return;
        }
        let lenders = self.choose_lenders();
        if lenders.is_empty() {
            return;
        }
        self.last_request_at = now;
        let waiting = self.demand.waiting.max(1);
        let permits = waiting.div_ceil(lenders.len() as u32).min(self.config.total);
        let priority_level = self.demand.priority_level;
        for lender in lenders {
            let request_number = self.next_number();
            let pending = PendingRequest { lender: lender.clone(), request_number };
            self.pending_requests.insert(pending, now);
            self.outbox.push((lender, Message::Request { request_number, permits, priority_level }));
        }
    }

    fn needs_leases(&self, now: Micros) -> bool {
        if self.demand.waiting > 0 && self.available(now) == 0 {
            return true;
        }
        let ends_before = now + self.config.lease_duration / 4;
        let is_ending = |(id, lease): (&LeaseId, &HeldLease)| {
            lease.until < ends_before && self.ledger.used_of_lease(id) > 0
        };
        self.ledger.held.iter().any(is_ending)
    }

    /// Chooses servers to ask, at random among those that have no unanswered request and no recent denial.
    fn choose_lenders(&mut self) -> Vec<MemberName> {
        let mut lenders = self.reachable.clone();
        lenders.retain(|name| {
            let is_pending = self.pending_requests.keys().any(|pending| pending.lender == *name);
            !is_pending && !self.denied_until.contains_key(name)
        });
        lenders.shuffle(&mut self.random);
        let capacity = MAX_PENDING_REQUESTS.saturating_sub(self.pending_requests.len());
        lenders.truncate(REQUESTS_PER_ROUND.min(capacity));
        lenders
    }

    /// Returns leases that have served no call for a quarter of the lease duration, unless calls wait for a
    /// permit.
    pub(super) fn return_unused_leases(&mut self, now: Micros) {
        if self.demand.waiting > 0 {
            return;
        }
        let idle_timeout = self.config.lease_duration / 4;
        let is_unused = |(id, lease): &(&LeaseId, &HeldLease)| {
            now >= lease.last_used_at + idle_timeout && self.ledger.used_of_lease(id) == 0
        };
        let unused: Vec<LeaseId> =
            self.ledger.held.iter().filter(is_unused).map(|(id, _)| id.clone()).collect();
        for id in unused {
            self.ledger.held.remove(&id);
            self.outbox.push((id.lender, Message::Return { lease_number: id.number }));
        }
    }

    /// Adds a granted lease. Ignores it if it answers no pending request, has ended already, would exceed
    /// [`MAX_LEASES`], or if this server is fenced.
    pub(super) fn handle_grant(
        &mut self,
        now: Micros,
        request_number: u64,
        id: LeaseId,
        permits: u32,
        duration: Micros,
    ) {
        let pending = PendingRequest { lender: id.lender.clone(), request_number };
        let Some(requested_at) = self.pending_requests.remove(&pending) else { return };
        // The lease counts from before the request was sent, and this server's clock may run slow.
        let duration = duration.min(self.config.lease_duration);
        let until = requested_at + self.config.scale_down_for_drift(duration);
        if now < until && self.ledger.held.len() < MAX_LEASES && !self.fenced {
            self.ledger.held.insert(id, HeldLease { permits, until, last_used_at: now });
            self.record_change(now, ChangeCause::Borrowed);
        }
    }

    /// Handles a denial: the lender is not asked again for [`DENIED_BACKOFF`].
    pub(super) fn handle_deny(&mut self, now: Micros, lender: &MemberName, request_number: u64) {
        let pending = PendingRequest { lender: lender.clone(), request_number };
        if self.pending_requests.remove(&pending).is_some() {
            self.denied_until.insert(lender.clone(), now + DENIED_BACKOFF);
        }
    }
}

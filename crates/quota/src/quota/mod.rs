//! One server's side of one distributed quota. `borrowing` and `lending` have the two sides of a lease.

mod borrowing;
mod lending;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::borrowing::PendingRequest;
use self::lending::AnsweredRequest;
use crate::config::{Config, ConfigError};
use crate::ledger::{CallId, CallPermit, LeaseId, Ledger};
use crate::message::Message;
use crate::status::{ChangeCause, QuotaStatus};
use crate::usage::RecentPeak;
use crate::{MemberName, Micros};

/// Requests that may be without an answer: two rounds to everyone in a large fleet.
const MAX_PENDING_REQUESTS: usize = 64;
/// Leases that may be granted, and that may be held; more would be of a permit or two each.
const MAX_LEASES: usize = 256;
/// A call that would get less time than this of a lease does not take a permit of it.
const MIN_CALL_DURATION: Micros = 20_000;

/// Calls that wait for a permit.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    waiting: u32,
    /// The highest priority level among them.
    priority_level: u16,
}

/// What changed the permits last.
#[derive(Clone, Copy, Debug)]
struct LastChange {
    cause: ChangeCause,
    at: Micros,
}

/// One server's side of one distributed quota.
#[derive(Debug)]
pub struct SharedQuota {
    config: Config,
    /// Permits of the own share that may be used or lent: none in quarantine, and never more than all have agreed on.
    share: u32,
    /// From then on a greater share may be used, if all go by the same shares.
    share_grows_at: Option<Micros>,
    /// The quarantine after the start, or after being fenced, is over. Growing out of it takes nothing from others, so
    /// that being cut off does not hinder it.
    settled: bool,
    fenced: bool,
    ledger: Ledger,
    /// Servers that can be asked for a lease.
    reachable: Vec<MemberName>,
    pending_requests: BTreeMap<PendingRequest, Micros>,
    /// Servers that had nothing to lend, and until when they are not asked again.
    denied_until: BTreeMap<MemberName, Micros>,
    /// The last request of each borrower that was answered.
    answered_requests: BTreeMap<MemberName, AnsweredRequest>,
    /// The last number that was given to a request or a lease.
    last_number: u64,
    last_request_at: Micros,
    demand: Demand,
    recent_peak: RecentPeak,
    last_change: LastChange,
    random: ChaCha8Rng,
    outbox: Vec<(MemberName, Message)>,
}

impl SharedQuota {
    /// The side of a process that starts now. `seed` is for the choice of servers that are asked for a lease.
    ///
    /// # Errors
    ///
    /// All that is wrong with the configuration.
    pub fn new(now: Micros, config: Config, seed: u64) -> Result<SharedQuota, Vec<ConfigError>> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(SharedQuota {
            share: 0,
            share_grows_at: Some(now + config.quarantine()),
            settled: false,
            fenced: false,
            ledger: Ledger::default(),
            reachable: Vec::new(),
            pending_requests: BTreeMap::new(),
            denied_until: BTreeMap::new(),
            answered_requests: BTreeMap::new(),
            last_number: 0,
            last_request_at: 0,
            demand: Demand::default(),
            recent_peak: RecentPeak::new(now),
            last_change: LastChange { cause: ChangeCause::Started, at: now },
            random: ChaCha8Rng::seed_from_u64(seed),
            outbox: Vec::new(),
            config,
        })
    }

    /// Takes up another configuration. A smaller share holds at once, a larger one by [`SharedQuota::set_reachable`].
    ///
    /// # Errors
    ///
    /// All that is wrong with the configuration; then the one before stays.
    pub fn reconfigure(&mut self, now: Micros, config: Config) -> Result<(), Vec<ConfigError>> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(errors);
        }
        if config == self.config {
            return Ok(());
        }
        // What runs by the longer of the old and the new times has run out after the longer quarantine.
        let quarantine = config.quarantine().max(self.config.quarantine());
        self.config = config;
        let new_share = self.config.own_share();
        if new_share < self.share {
            self.share = new_share;
            self.record_change(now, ChangeCause::Part);
        }
        if self.settled && new_share > self.share {
            self.share_grows_at = Some(now + quarantine);
        }
        Ok(())
    }

    /// Which servers can be asked for a lease, with the starts of their processes, and whether all that own a share go
    /// by the same shares: `any_differs` says that a reachable one does not, `all_agree` that everyone is reachable and
    /// does.
    pub fn set_reachable(
        &mut self,
        now: Micros,
        reachable: Vec<(MemberName, u64)>,
        any_differs: bool,
        all_agree: bool,
    ) {
        self.reachable = reachable.into_iter().map(|(name, _)| name).collect();
        let Some(grows_at) = self.share_grows_at else { return };
        // A share that grows takes from others: not before all have shrunk theirs. After the start nobody has to have
        // heard of this process for its share to be its own.
        if self.settled && !all_agree {
            self.share_grows_at = Some(now + self.config.quarantine());
        }
        if !self.settled && any_differs {
            self.share_grows_at = Some(grows_at.max(now + 1));
        }
    }

    /// Another process has this server's name, or no longer has. What is in use runs out; nothing new begins.
    pub fn set_fenced(&mut self, now: Micros, fenced: bool) {
        if self.fenced && !fenced {
            // As after a start: the other process may still use what it had.
            self.share = 0;
            self.settled = false;
            self.share_grows_at = Some(now + self.config.quarantine());
        }
        if fenced && !self.fenced {
            self.record_change(now, ChangeCause::Silenced);
        }
        self.fenced = fenced;
    }

    /// Calls that wait for a permit, and the highest priority level among them.
    pub fn set_demand(&mut self, waiting: u32, priority_level: u16) {
        self.demand = Demand { waiting, priority_level };
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Micros) {
        self.expire_leases(now);
        self.grow_share(now);
        self.recent_peak.record(now, self.ledger.used_of_own_share());
        self.expire_requests(now);
        self.request_leases(now);
        self.return_unused_leases(now);
    }

    fn expire_leases(&mut self, now: Micros) {
        let (lent, borrowed) = (self.ledger.lent(), self.ledger.borrowed());
        self.ledger.expire(now);
        if self.ledger.lent() < lent {
            self.record_change(now, ChangeCause::LoanBack);
        }
        if self.ledger.borrowed() < borrowed {
            self.record_change(now, ChangeCause::LoanOver);
        }
    }

    fn grow_share(&mut self, now: Micros) {
        if self.share_grows_at.is_none_or(|at| now < at) {
            return;
        }
        let cause = if self.settled { ChangeCause::Part } else { ChangeCause::Settled };
        self.record_change(now, cause);
        self.share_grows_at = None;
        self.share = self.config.own_share();
        self.settled = true;
    }

    /// When [`SharedQuota::handle_timeout`] is to be called next.
    pub fn next_timeout(&self, now: Micros) -> Micros {
        let calls = self.ledger.calls.values().map(|call| call.until);
        let granted = self.ledger.granted.values().map(|lease| lease.until);
        let held = self.ledger.held.values().map(|lease| lease.until);
        let next_request = (self.demand.waiting > 0).then_some(now + borrowing::REQUEST_INTERVAL);
        calls
            .chain(granted)
            .chain(held)
            .chain(self.share_grows_at)
            .chain(next_request)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Calls that may begin now. A permit of a lease that is nearly over serves none.
    pub fn available(&self, now: Micros) -> u32 {
        if self.fenced {
            return 0;
        }
        let needed_until = now + self.config.max_delivery_delay + MIN_CALL_DURATION;
        self.free_of_own_share() + self.ledger.free_of_leases(needed_until)
    }

    fn free_of_own_share(&self) -> u32 {
        self.share.saturating_sub(self.ledger.lent() + self.ledger.used_of_own_share())
    }

    /// A permit for a call that would like to state a time up to `until`. The result is the time that it may state,
    /// `None` if there is no permit. The own share goes first, as it does not run out; a lease where that takes nothing
    /// from the call, or nothing else is there.
    pub fn acquire(&mut self, now: Micros, call: CallId, until: Micros) -> Option<Micros> {
        self.ledger.expire(now);
        if self.fenced || self.ledger.calls.contains_key(&call) {
            return None;
        }
        let until = until.min(now + self.config.max_call_duration);
        let permit = self.choose_permit(now, until)?;
        if let Some(lease) = permit.lease.as_ref().and_then(|id| self.ledger.held.get_mut(id)) {
            lease.last_used_at = now;
        }
        let stated = permit.until;
        let until = stated + self.config.max_delivery_delay;
        self.ledger.calls.insert(call, CallPermit { until, ..permit });
        Some(stated)
    }

    /// The permit for a call, until the time that the call may state.
    fn choose_permit(&self, now: Micros, until: Micros) -> Option<CallPermit> {
        let own_share = (self.free_of_own_share() > 0).then_some(CallPermit { until, lease: None });
        let Some((id, lease_ends)) = self.ledger.longest_free_lease() else { return own_share };
        let call_ends = lease_ends.saturating_sub(self.config.max_delivery_delay);
        if call_ends >= until {
            // A lease that lasts for all of the call leaves the own share to calls that it would not last for.
            return Some(CallPermit { until, lease: Some(id) });
        }
        let lasts_long_enough = call_ends >= now + MIN_CALL_DURATION;
        let of_lease = lasts_long_enough.then_some(CallPermit { until: call_ends, lease: Some(id) });
        own_share.or(of_lease)
    }

    /// A call has ended, and the dependency has confirmed it. A call that was given up is not released: it may go on
    /// there until its stated time has run out.
    pub fn release(&mut self, call: CallId) {
        self.ledger.calls.remove(&call);
    }

    /// Takes in a message of another server; `boot_id` is the start of its process.
    pub fn handle_message(&mut self, now: Micros, from: &MemberName, boot_id: u64, message: &Message) {
        self.ledger.expire(now);
        match *message {
            Message::Request { request_number, permits, priority_level } => {
                let request = AnsweredRequest { boot_id, request_number };
                self.handle_request(now, from, request, permits, priority_level);
            }
            Message::Grant { request_number, lease_number, permits, duration } => {
                let lender = from.clone();
                let id = LeaseId { lender, lender_boot_id: boot_id, number: lease_number };
                self.handle_grant(now, request_number, id, permits, duration);
            }
            Message::Deny { request_number } => self.handle_deny(now, from, request_number),
            Message::Return { lease_number } => self.handle_return(now, from, boot_id, lease_number),
        }
    }

    fn record_change(&mut self, now: Micros, cause: ChangeCause) {
        self.last_change = LastChange { cause, at: now };
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Messages for other servers, with their receivers.
    pub fn take_messages(&mut self) -> Vec<(MemberName, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// The state of the quota here, and what changed it last.
    pub fn status(&self, now: Micros) -> QuotaStatus {
        let LastChange { cause, at } = self.last_change;
        QuotaStatus {
            whole: self.config.total,
            part: self.share,
            wanted: self.config.own_share(),
            lent: self.ledger.lent(),
            borrowed: self.ledger.borrowed(),
            used: self.ledger.calls.len() as u32,
            waiting: self.demand.waiting,
            moved: (cause, now.saturating_sub(at) / 1_000),
            quiet_ms: self.share_grows_at.map_or(0, |at| at.saturating_sub(now) / 1_000),
        }
    }

    /// Checks what must hold between any two calls; for tests.
    ///
    /// # Errors
    ///
    /// The first condition that does not hold.
    pub fn check_invariants(&self, now: Micros) -> Result<(), InvariantViolation> {
        let ledger = &self.ledger;
        let (used, lent) = (ledger.used_of_own_share(), ledger.lent());
        // A share that has just shrunk may still be in use beyond it, but nothing begins then.
        if used + lent > self.share && self.available(now) > ledger.borrowed() {
            return Err(InvariantViolation::ShareExceeded { used, lent, share: self.share });
        }
        for (id, lease) in &ledger.held {
            let mut calls = ledger.calls.values().filter(|call| call.lease.as_ref() == Some(id));
            if calls.any(|call| call.until > lease.until) || ledger.used_of(id) > lease.permits {
                return Err(InvariantViolation::LeaseExceeded { lease: id.clone() });
            }
        }
        let (granted, held) = (ledger.granted.len(), ledger.held.len());
        let requests = self.pending_requests.len();
        if granted > MAX_LEASES || held > MAX_LEASES || requests > MAX_PENDING_REQUESTS {
            return Err(InvariantViolation::BoundExceeded { granted, held, requests });
        }
        Ok(())
    }
}

/// A condition that must hold between any two calls does not: a fault of this package.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// More of the own share is used and lent than there is, and calls could still begin.
    #[error("{used} used and {lent} lent of a share of {share}")]
    ShareExceeded {
        /// Calls that use permits of the own share.
        used: u32,
        /// Permits that are lent.
        lent: u32,
        /// Permits of the own share.
        share: u32,
    },
    /// A lease serves more calls than it has permits, or calls that end after it.
    #[error("the lease {lease:?} serves more than it may")]
    LeaseExceeded {
        /// The lease.
        lease: LeaseId,
    },
    /// A table has grown beyond its bound.
    #[error("{granted} leases granted, {held} held, {requests} requests: more than there may be")]
    BoundExceeded {
        /// Leases granted.
        granted: usize,
        /// Leases held.
        held: usize,
        /// Requests without an answer.
        requests: usize,
    },
}

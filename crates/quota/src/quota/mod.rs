//! One server's side of one distributed quota. The modules `borrowing` and `lending` implement the two sides
//! of a lease.

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

/// Maximum number of unanswered requests: two for each server of a large fleet.
const MAX_PENDING_REQUESTS: usize = 64;
/// Maximum number of leases granted, and of leases held. More leases would be of one or two permits each.
const MAX_LEASES: usize = 256;
/// Minimum time that a lease must leave for a call to use a permit of it.
const MIN_CALL_DURATION: Micros = 20_000;

/// Calls that wait for a permit.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    waiting: u32,
    /// The highest priority level among them.
    priority_level: u16,
}

/// The last change in the number of permits.
#[derive(Clone, Copy, Debug)]
struct LastChange {
    cause: ChangeCause,
    at: Micros,
}

/// One server's side of one distributed quota.
#[derive(Debug)]
pub struct SharedQuota {
    config: Config,
    /// Permits of the own share that may be used or lent: none in quarantine, and never more than all servers
    /// have agreed on.
    share: u32,
    /// When the share may grow to the configured one, if all servers use the same shares by then.
    share_grows_at: Option<Micros>,
    /// Whether the quarantine after the start, or after being fenced, is over. Taking up the own share after
    /// it takes nothing from other servers, so a server that is cut off can do so too.
    settled: bool,
    fenced: bool,
    ledger: Ledger,
    /// Servers that can be asked for a lease.
    reachable: Vec<MemberName>,
    /// Unanswered requests, with the times when they were sent.
    pending_requests: BTreeMap<PendingRequest, Micros>,
    /// Servers that denied a lease, and until when they are not asked again.
    denied_until: BTreeMap<MemberName, Micros>,
    /// The last answered request of each borrower.
    answered_requests: BTreeMap<MemberName, AnsweredRequest>,
    /// The last number assigned to a request or a lease.
    last_number: u64,
    last_request_at: Micros,
    demand: Demand,
    recent_peak: RecentPeak,
    last_change: LastChange,
    random: ChaCha8Rng,
    outbox: Vec<(MemberName, Message)>,
}

impl SharedQuota {
    /// Creates the quota of a process that starts at `now`. `seed` determines the random choice of servers
    /// that are asked for a lease.
    ///
    /// # Errors
    ///
    /// All faults in the configuration.
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

    /// Replaces the configuration. A smaller share applies at once, a larger one once
    /// [`SharedQuota::set_reachable`] allows it.
    ///
    /// # Errors
    ///
    /// All faults in the configuration; the previous one then stays in effect.
    pub fn reconfigure(&mut self, now: Micros, config: Config) -> Result<(), Vec<ConfigError>> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(errors);
        }
        if config == self.config {
            return Ok(());
        }
        // Calls and leases may have either the old or the new durations; both have ended after the longer
        // quarantine.
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

    /// Sets the servers that can be asked for a lease, with their boot ids, and whether the servers that own
    /// a share use the same shares: `any_differs` is set if a reachable server uses others, `all_agree` if
    /// every server is reachable and uses the same ones.
    pub fn set_reachable(
        &mut self,
        now: Micros,
        reachable: Vec<(MemberName, u64)>,
        any_differs: bool,
        all_agree: bool,
    ) {
        self.reachable = reachable.into_iter().map(|(name, _)| name).collect();
        let Some(grows_at) = self.share_grows_at else { return };
        // A share grows at the expense of other servers, so all of them must have shrunk theirs first. After
        // a start the configured share is this server's own, whether or not others know of this process yet;
        // only a server that is known to use other shares delays it.
        if self.settled && !all_agree {
            self.share_grows_at = Some(now + self.config.quarantine());
        }
        if !self.settled && any_differs {
            self.share_grows_at = Some(grows_at.max(now + 1));
        }
    }

    /// Sets whether this server is fenced, as another process has its name. While it is, calls in use go on
    /// until they end, and no new ones start.
    pub fn set_fenced(&mut self, now: Micros, fenced: bool) {
        if self.fenced && !fenced {
            // The quarantine applies as after a start: the other process may still use the share.
            self.share = 0;
            self.settled = false;
            self.share_grows_at = Some(now + self.config.quarantine());
        }
        if fenced && !self.fenced {
            self.record_change(now, ChangeCause::Silenced);
        }
        self.fenced = fenced;
    }

    /// Sets the number of calls that wait for a permit, and the highest priority level among them.
    pub fn set_demand(&mut self, waiting: u32, priority_level: u16) {
        self.demand = Demand { waiting, priority_level };
    }

    /// Does the work that is due at `now`: ends calls and leases, grows the share, requests and returns
    /// leases.
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

    /// The time at which [`SharedQuota::handle_timeout`] must be called next.
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

    /// The number of calls that may start at `now`. Permits of a lease that is about to end are not counted.
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

    /// Acquires a permit for a call that requests time until `until`. Returns the end of the time that the
    /// call may state; `None` if there is no permit, if this server is fenced or if the call already has a
    /// permit. A lease that lasts for all of the call is preferred. Otherwise the own share is used, as it
    /// does not expire, and after that a lease that shortens the call.
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
        let stated_until = permit.until;
        let until = stated_until + self.config.max_delivery_delay;
        self.ledger.calls.insert(call, CallPermit { until, ..permit });
        Some(stated_until)
    }

    /// Chooses the permit for a call; its `until` is the end of the time that the call may state.
    fn choose_permit(&self, now: Micros, until: Micros) -> Option<CallPermit> {
        let own_share = (self.free_of_own_share() > 0).then_some(CallPermit { until, lease: None });
        let Some((id, lease_end)) = self.ledger.longest_free_lease() else { return own_share };
        let latest_call_end = lease_end.saturating_sub(self.config.max_delivery_delay);
        if latest_call_end >= until {
            // Using a lease that lasts for all of this call leaves the own share for calls that outlast the
            // lease.
            return Some(CallPermit { until, lease: Some(id) });
        }
        let lasts_long_enough = latest_call_end >= now + MIN_CALL_DURATION;
        let leased = lasts_long_enough.then_some(CallPermit { until: latest_call_end, lease: Some(id) });
        own_share.or(leased)
    }

    /// Releases the permit of a call whose end the dependency has confirmed. An abandoned call must not be
    /// released: the dependency may go on with it until its stated time has run out.
    pub fn release(&mut self, call: CallId) {
        self.ledger.calls.remove(&call);
    }

    /// Handles a message from another server; `boot_id` is the boot id of that server's process.
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

    /// Removes and returns the messages to send, each with the name of its receiver.
    pub fn take_messages(&mut self) -> Vec<(MemberName, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// The status of the quota on this server.
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

    /// Checks the invariants that hold between any two calls of this type's methods; for tests.
    ///
    /// # Errors
    ///
    /// The first invariant that is violated.
    pub fn check_invariants(&self, now: Micros) -> Result<(), InvariantViolation> {
        let ledger = &self.ledger;
        let (used, lent) = (ledger.used_of_own_share(), ledger.lent());
        // After a share has shrunk, more than the share may still be in use, but no new call may start on it.
        if used + lent > self.share && self.available(now) > ledger.borrowed() {
            return Err(InvariantViolation::ShareExceeded { used, lent, share: self.share });
        }
        for (id, lease) in &ledger.held {
            let mut calls = ledger.calls.values().filter(|call| call.lease.as_ref() == Some(id));
            if calls.any(|call| call.until > lease.until) || ledger.used_of_lease(id) > lease.permits {
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

/// A violated invariant, which is a bug in this crate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// More permits of the own share are used and lent than it has, and calls could still start.
    #[error("{used} permits used and {lent} lent of a share of {share}")]
    ShareExceeded {
        /// Calls that use permits of the own share.
        used: u32,
        /// Permits lent to other servers.
        lent: u32,
        /// Permits of the own share.
        share: u32,
    },
    /// A lease serves more calls than it has permits, or calls that end after it.
    #[error("lease {lease:?} serves too many calls, or calls that end after it")]
    LeaseExceeded {
        /// The lease.
        lease: LeaseId,
    },
    /// A table has grown beyond its limit.
    #[error("{granted} leases granted, {held} held, {requests} requests pending: a limit is exceeded")]
    BoundExceeded {
        /// The number of leases granted.
        granted: usize,
        /// The number of leases held.
        held: usize,
        /// The number of unanswered requests.
        requests: usize,
    },
}

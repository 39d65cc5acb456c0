//! The distributed quotas of this server. `umberloom_quota` makes the decisions, the call plans' engine
//! supplies the demand, and the fleet's actor carries the messages to and from other servers.
//!
//! Times in this module are of the system's monotonic clock, unlike those of requests, which follow the Unix
//! clock: if that clock were set forward, granted leases would seem to have expired.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use async_channel::Sender;
use slog::{info, warn, Logger};
use umberloom_dependencies::Demand;
use umberloom_quota::{CallId, Message, Micros, SharedQuota};

use crate::messages::calls::SharedQuotaConfig;
use crate::messages::fleet::{FleetCommand, FleetEvent, QuotaReport, Reachability, QUOTA_CHANNEL};

/// Time between two reports to the fleet's actor.
const REPORT_INTERVAL: Micros = 200_000;
/// Minimum time until the next timeout.
const MIN_TIMEOUT: Micros = 1_000;

/// The distributed quotas of this server's dependencies.
pub struct QuotaLeases {
    /// Quotas by the dependency's name.
    quotas: BTreeMap<Rc<str>, SharedQuota>,
    /// The dependency whose quota the permit of a call in flight came from, by the id of the call.
    dependency_by_call: BTreeMap<CallId, Rc<str>>,
    reachability: Reachability,
    /// The origin of this module's monotonic time.
    clock_start: Instant,
    /// Random seed of the quota that was added last.
    seed: u64,
    fleet: Option<Sender<FleetCommand>>,
    last_report_at: Micros,
    last_reports: Vec<QuotaReport>,
    log: Logger,
}

impl QuotaLeases {
    /// Creates the state without any quota.
    pub fn new(fleet: Option<Sender<FleetCommand>>, seed: u64, log: Logger) -> QuotaLeases {
        QuotaLeases {
            quotas: BTreeMap::new(),
            dependency_by_call: BTreeMap::new(),
            reachability: Reachability::default(),
            clock_start: Instant::now(),
            seed,
            fleet,
            last_report_at: 0,
            last_reports: Vec::new(),
            log,
        }
    }

    /// Replaces the set of quotas. A quota that remains keeps its leases. Returns the names of the
    /// dependencies that no longer have a quota: calls to them are no longer bounded by one.
    pub fn reconfigure(&mut self, configs: Vec<SharedQuotaConfig>) -> Vec<Rc<str>> {
        let is_configured = |name: &Rc<str>| configs.iter().any(|config| config.dependency == *name);
        let removed: Vec<Rc<str>> = self.quotas.keys().filter(|name| !is_configured(name)).cloned().collect();
        for dependency in &removed {
            self.quotas.remove(dependency);
        }
        for config in configs {
            self.configure(config);
        }
        removed
    }

    /// Adds a quota, or changes the settings of an existing one.
    fn configure(&mut self, quota: SharedQuotaConfig) {
        let now = self.now();
        let SharedQuotaConfig { dependency, config } = quota;
        let result = match self.quotas.get_mut(&dependency) {
            Some(existing) => existing.reconfigure(now, config),
            None => {
                self.seed = self.seed.wrapping_add(1);
                SharedQuota::new(now, config, self.seed).map(|added| {
                    self.quotas.insert(dependency.clone(), added);
                })
            }
        };
        if let Err(errors) = result {
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            warn!(self.log, "quota settings rejected";
                "dependency" => &*dependency, "errors" => errors.join("; "));
        }
    }

    /// Names of the dependencies that have a quota.
    pub fn dependencies(&self) -> Vec<Rc<str>> {
        self.quotas.keys().cloned().collect()
    }

    /// Acquires a permit for a call that wants this timeout. Returns the timeout that the call is allowed, or
    /// `None` if there is no permit. Calls to a dependency without a quota need no permit and get the full
    /// timeout.
    pub fn acquire(&mut self, dependency: &str, call: CallId, timeout: Micros) -> Option<Micros> {
        let now = self.now();
        let Some(quota) = self.quotas.get_mut(dependency) else { return Some(timeout) };
        let permit_end = quota.acquire(now, call, now + timeout)?;
        self.dependency_by_call.insert(call, Rc::from(dependency));
        Some(permit_end - now)
    }

    /// Handles the end of a call at this server. Its permit is released only if the call has also ended at
    /// the dependency; otherwise the permit stays in use until the call's deadline.
    pub fn release(&mut self, call: CallId, ended_at_dependency: bool) {
        let Some(dependency) = self.dependency_by_call.remove(&call) else { return };
        if !ended_at_dependency {
            return;
        }
        if let Some(quota) = self.quotas.get_mut(&dependency) {
            quota.release(call);
        }
    }

    /// Handles an event of the fleet.
    pub fn handle_fleet_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::ReachabilityChanged(reachability) => {
                let now = self.now();
                for quota in self.quotas.values_mut() {
                    quota.set_fenced(now, reachability.fenced);
                }
                self.reachability = reachability;
            }
            FleetEvent::MessageReceived { from, boot_id, channel: QUOTA_CHANNEL, payload } => {
                let now = self.now();
                // A message that can't be decoded comes from a newer version and is ignored.
                let Ok((dependency, message)) = postcard::from_bytes::<(String, Message)>(&payload) else {
                    return;
                };
                if let Some(quota) = self.quotas.get_mut(dependency.as_str()) {
                    quota.handle_message(now, &from, boot_id, &message);
                }
            }
            FleetEvent::MessageReceived { .. } => {}
        }
    }

    /// Updates a dependency's quota with its present demand, and performs the quota's actions that are due.
    /// Returns the number of calls that may be in flight, `usize::MAX` without a quota.
    pub fn update(&mut self, dependency: &Rc<str>, demand: Demand) -> usize {
        let now = self.now();
        let Some(quota) = self.quotas.get_mut(dependency) else { return usize::MAX };
        let Reachability { reachable, quota_basis_differs, all_agree, fenced } = &self.reachability;
        quota.set_fenced(now, *fenced);
        quota.set_reachable(now, reachable.clone(), *quota_basis_differs, *all_agree);
        quota.set_demand(demand.queued as u32, demand.max_priority_level);
        quota.handle_timeout(now);
        let available = quota.available(now) as usize;
        let messages = quota.take_messages();
        if let Some(fleet) = &self.fleet {
            for (to, message) in messages {
                let payload = postcard::to_stdvec(&(&**dependency, message)).unwrap_or_default();
                // A message dropped because the mailbox is full is sent again, like one lost in the network.
                let _ = fleet.try_send(FleetCommand::Send { to, channel: QUOTA_CHANNEL, payload });
            }
        }
        demand.in_flight + available
    }

    /// Time until [`QuotaLeases::update`] is due next, in microseconds; `None` without quotas.
    pub fn time_to_next_timeout(&self) -> Option<Micros> {
        let now = self.now();
        let next = self.quotas.values().map(|quota| quota.next_timeout(now)).min()?;
        Some(next.saturating_sub(now).clamp(MIN_TIMEOUT, REPORT_INTERVAL))
    }

    /// Once per [`REPORT_INTERVAL`], reports the use of the quotas to the fleet's actor, which answers
    /// operators' requests from it, and logs quota shares that have changed.
    pub fn report(&mut self) {
        let now = self.now();
        if self.quotas.is_empty() || now < self.last_report_at + REPORT_INTERVAL {
            return;
        }
        self.last_report_at = now;
        let reports: Vec<QuotaReport> = self
            .quotas
            .iter()
            .map(|(name, quota)| QuotaReport { dependency: name.clone(), status: quota.status(now) })
            .collect();
        for report in &reports {
            self.log_share_change(report);
        }
        self.last_reports.clone_from(&reports);
        if let Some(fleet) = &self.fleet {
            // A report dropped because the mailbox is full is superseded by the next one.
            let _ = fleet.try_send(FleetCommand::PublishQuotas(reports));
        }
    }

    fn log_share_change(&self, report: &QuotaReport) {
        let previous = self.last_reports.iter().find(|previous| previous.dependency == report.dependency);
        let status = &report.status;
        if previous.is_some_and(|previous| previous.status.part != status.part) {
            info!(self.log, "quota share changed"; "dependency" => &*report.dependency,
                "share" => status.part, "quota" => status.whole, "cause" => ?status.moved.0);
        }
    }

    /// Microseconds of the monotonic clock since this object was created.
    fn now(&self) -> Micros {
        self.clock_start.elapsed().as_micros() as Micros
    }
}

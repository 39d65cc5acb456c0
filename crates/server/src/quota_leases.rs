//! Distributed quotas of this server: `umberloom_quota` decides, the call plans' engine has calls to make, and the
//! fleet's actor carries messages to other servers.
//!
//! Times here are of the system's monotonic clock and not of the Unix clock that requests are timed by: that one may be
//! set forward, and leases that were granted would seem to have expired.

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
/// Bound on how soon a timeout is due.
const MIN_TIMEOUT: Micros = 1_000;

/// The distributed quotas, by their dependency's name.
pub struct QuotaLeases {
    quotas: BTreeMap<Rc<str>, SharedQuota>,
    /// The dependency whose quota each call in flight has its permit from.
    dependency_by_call: BTreeMap<CallId, Rc<str>>,
    reachability: Reachability,
    /// When this server's monotonic time began.
    clock_start: Instant,
    /// Seed of the quota that was added last.
    seed: u64,
    fleet: Option<Sender<FleetCommand>>,
    last_report_at: Micros,
    last_reports: Vec<QuotaReport>,
    log: Logger,
}

impl QuotaLeases {
    /// No quotas yet.
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

    /// Changes the quotas. One that stays keeps its leases. Gives the names of those that are gone: calls to them are no
    /// longer bounded by a quota.
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

    /// Adds a quota or changes the settings of one.
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

    /// Acquires a permit for a call with this timeout; gives the timeout that the call may have, or `None` where there is
    /// no permit. A dependency without a quota has permits for all calls.
    pub fn acquire(&mut self, dependency: &str, call: CallId, timeout: Micros) -> Option<Micros> {
        let now = self.now();
        let Some(quota) = self.quotas.get_mut(dependency) else { return Some(timeout) };
        let permit_end = quota.acquire(now, call, now + timeout)?;
        self.dependency_by_call.insert(call, Rc::from(dependency));
        Some(permit_end - now)
    }

    /// Releases the permit of a call that has ended here. Where the call may go on at the dependency (`ended_at_dependency` is
    /// false), the permit stays in use until the call's deadline.
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
                // A message that can't be decoded is from a newer version, which this one need not understand.
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

    /// Does what is due for a dependency's quota, with its demand now; gives how many calls may be in flight.
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
                // One that finds no room is lost, as the network may lose it, and is sent again.
                let _ = fleet.try_send(FleetCommand::Send { to, channel: QUOTA_CHANNEL, payload });
            }
        }
        demand.in_flight + available
    }

    /// How long until something is due; `None` where there are no quotas.
    pub fn time_to_next_timeout(&self) -> Option<Micros> {
        let now = self.now();
        let next = self.quotas.values().map(|quota| quota.next_timeout(now)).min()?;
        Some(next.saturating_sub(now).clamp(MIN_TIMEOUT, REPORT_INTERVAL))
    }

    /// Tells the fleet's actor how the quotas are used, for operators who ask, and logs quota shares that have changed;
    /// once an interval.
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
            // One that finds no room is followed by the next.
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

    /// Microseconds of the monotonic clock since the start.
    fn now(&self) -> Micros {
        self.clock_start.elapsed().as_micros() as Micros
    }
}

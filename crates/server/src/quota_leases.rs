//! Allowances that this server shares with others: what `crates/quota` decides, between the plans' engine, which
//! has calls to make, and the fleet's actor, which carries messages.
//!
//! Its clock is the system's monotonic one, not the Unix clock that requests are timed by: that one may be set
//! forward, and loans that were lent would seem to be over.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use async_channel::Sender;
use slog::{info, warn, Logger};
use umberloom_dependencies::Demand;
use umberloom_quota::{CallId, Message, Micros, SharedQuota};

use crate::messages::calls::SharedQuotaConfig;
use crate::messages::fleet::{FleetCommand, FleetEvent, QuotaReport, Reachability, QUOTA_CHANNEL};

/// Time between two words to the fleet's actor about how they stand.
const TELL_EVERY: Micros = 200_000;

/// What is shared, by the dependency's name.
pub struct QuotaLeases {
    all: BTreeMap<Rc<str>, SharedQuota>,
    /// Which one each call under way has its place from.
    calls: BTreeMap<CallId, Rc<str>>,
    present: Reachability,
    start: Instant,
    seed: u64,
    fleet: Option<Sender<FleetCommand>>,
    told: Micros,
    said: Vec<QuotaReport>,
    log: Logger,
}

impl QuotaLeases {
    /// None yet.
    pub fn new(fleet: Option<Sender<FleetCommand>>, seed: u64, log: Logger) -> QuotaLeases {
        let (all, calls, present) = (BTreeMap::new(), BTreeMap::new(), Reachability::default());
        QuotaLeases {
            all,
            calls,
            present,
            start: Instant::now(),
            seed,
            fleet,
            told: 0,
            said: Vec::new(),
            log,
        }
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// What is shared from now on. One that stays keeps what it has lent and borrowed; those that are gone are
    /// returned: no bound holds for their calls any more.
    pub fn set(&mut self, wanted: Vec<SharedQuotaConfig>) -> Vec<Rc<str>> {
        let now = self.now();
        let named = |name: &Rc<str>| wanted.iter().any(|quota| quota.dependency == *name);
        let gone: Vec<Rc<str>> = self.all.keys().filter(|name| !named(name)).cloned().collect();
        gone.iter().for_each(|name| drop(self.all.remove(name)));
        for SharedQuotaConfig { dependency: name, config } in wanted {
            let done = match self.all.get_mut(&name) {
                Some(there) => there.reconfigure(now, config),
                None => {
                    self.seed = self.seed.wrapping_add(1);
                    SharedQuota::new(now, config, self.seed)
                        .map(|new| drop(self.all.insert(name.clone(), new)))
                }
            };
            if let Err(mistakes) = done {
                warn!(self.log, "allowance not taken up"; "dependency" => &*name, "why" => mistakes.join("; "));
            }
        }
        gone
    }

    /// Their names.
    pub fn names(&self) -> Vec<Rc<str>> {
        self.all.keys().cloned().collect()
    }

    /// A place for a call that would state a time of so long at most; the time that it may state. A dependency that is
    /// not shared has places for all.
    pub fn take(&mut self, dependency: &str, call: CallId, span: Micros) -> Option<Micros> {
        let now = self.now();
        let Some((name, allowance)) = self.all.get_key_value(dependency) else { return Some(span) };
        let (name, _) = (name.clone(), allowance);
        let until = self.all.get_mut(&name)?.acquire(now, call, now + span)?;
        self.calls.insert(call, name);
        Some(until - now)
    }

    /// A call is over here. `known`: it is over at the dependency too, by its own word or because it never came there;
    /// else its place stays taken until the time that it stated has run out.
    pub fn end(&mut self, call: CallId, known: bool) {
        let Some(name) = self.calls.remove(&call) else { return };
        if let Some(allowance) = self.all.get_mut(&name).filter(|_| known) {
            allowance.release(call);
        }
    }

    /// News of the fleet.
    pub fn hear(&mut self, news: FleetEvent) {
        let now = self.now();
        match news {
            FleetEvent::ReachabilityChanged(present) => {
                self.all.values_mut().for_each(|allowance| allowance.set_fenced(now, present.fenced));
                self.present = present;
            }
            FleetEvent::MessageReceived {
                from: name,
                boot_id: boot,
                channel: QUOTA_CHANNEL,
                payload: bytes,
            } => {
                // What can't be read is of a program that says more than this one knows.
                let Ok((about, message)) = postcard::from_bytes::<(String, Message)>(&bytes) else { return };
                if let Some(allowance) = self.all.get_mut(about.as_str()) {
                    allowance.handle_message(now, &name, boot, &message);
                }
            }
            FleetEvent::MessageReceived { .. } => {}
        }
    }

    /// What is due, with what is asked of a dependency now: how many calls may be in flight there.
    pub fn pass(&mut self, dependency: &Rc<str>, demand: Demand) -> usize {
        let now = self.now();
        let Reachability {
            reachable: reached,
            quota_basis_differs: differ,
            all_agree: all,
            fenced: silenced,
        } = &self.present;
        let Some(allowance) = self.all.get_mut(dependency) else { return usize::MAX };
        allowance.set_fenced(now, *silenced);
        allowance.set_reachable(now, reached.clone(), *differ, *all);
        allowance.set_demand(demand.queued as u32, demand.max_priority_level);
        allowance.handle_timeout(now);
        let free = allowance.available(now) as usize;
        for (to, message) in allowance.take_messages() {
            let bytes = postcard::to_stdvec(&(&**dependency, message)).unwrap_or_default();
            if let Some(fleet) = &self.fleet {
                // A mailbox without room loses it, and the question is asked again.
                let _ = fleet.try_send(FleetCommand::Send { to, channel: QUOTA_CHANNEL, payload: bytes });
            }
        }
        demand.in_flight + free
    }

    /// How long until something is due; `None` where nothing is shared.
    pub fn next_in(&self) -> Option<Micros> {
        let now = self.now();
        let next = self.all.values().map(|allowance| allowance.next_timeout(now)).min()?;
        Some(next.saturating_sub(now).clamp(1_000, TELL_EVERY))
    }

    /// Tells the fleet's actor how they stand, for those who ask, and the log of what moved parts.
    pub fn tell(&mut self) {
        let now = self.now();
        if self.all.is_empty() || now < self.told + TELL_EVERY {
            return;
        }
        self.told = now;
        let report = |(name, allowance): (&Rc<str>, &SharedQuota)| QuotaReport {
            dependency: name.clone(),
            status: allowance.status(now),
        };
        let views: Vec<QuotaReport> = self.all.iter().map(report).collect();
        for QuotaReport { dependency: name, status: view } in &views {
            let before = self.said.iter().find(|said| said.dependency == *name).map(|said| said.status.part);
            if before.is_some_and(|part| part != view.part) {
                info!(self.log, "allowance"; "dependency" => &**name, "part" => view.part, "whole" => view.whole,
                    "moved_by" => ?view.moved.0);
            }
        }
        self.said = views.clone();
        if let Some(fleet) = &self.fleet {
            let _ = fleet.try_send(FleetCommand::PublishQuotas(views));
        }
    }
}

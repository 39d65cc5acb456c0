//! Answers to health checks.

use umberloom::interface::Micros;

use super::AdmissionActor;
use crate::messages::agent::AgentCommand;
use crate::messages::caller::{HealthCheck, ReplyTo, Response};

/// How long the agent may take to answer a deep health check.
pub(super) const HEALTH_CHECK_TIMEOUT: Micros = 5_000_000;
/// Maximum number of deep health checks that wait for the agent.
const MAX_PENDING_HEALTH_CHECKS: usize = 64;

/// A deep health check that waits for the agent.
pub(super) struct PendingHealthCheck {
    /// When the check fails if the agent has not answered.
    deadline: Micros,
    reply_to: ReplyTo,
}

impl AdmissionActor {
    /// Answers a health check with the controller's readiness. Until the controller has set one, a deep check
    /// makes the agent do some work.
    pub(super) fn handle_health_check(&mut self, now: Micros, check: HealthCheck) {
        match self.known_health(check.is_deep) {
            Some(healthy) => check.reply_to.respond(Response::Health(healthy)),
            None => self.run_health_check(now, check.reply_to),
        }
    }

    /// Whether this server is healthy, if that can be decided without asking the agent.
    fn known_health(&self, is_deep: bool) -> Option<bool> {
        if self.controller.is_none() {
            return Some(false);
        }
        if self.ready.is_some() {
            return self.ready;
        }
        if !is_deep {
            return Some(true);
        }
        let is_full = self.health_checks.len() >= MAX_PENDING_HEALTH_CHECKS;
        is_full.then_some(false)
    }

    fn run_health_check(&mut self, now: Micros, reply_to: ReplyTo) {
        let tag = self.next_tag();
        let deadline = now + HEALTH_CHECK_TIMEOUT;
        self.health_checks.insert(tag, PendingHealthCheck { deadline, reply_to });
        self.send_to_agent(AgentCommand::RunHealthCheck(tag));
    }

    /// Handles the agent's answer to a deep health check.
    pub(super) fn handle_health_check_end(&mut self, tag: u64, healthy: bool) {
        if let Some(check) = self.health_checks.remove(&tag) {
            check.reply_to.respond(Response::Health(healthy));
        }
    }

    /// Fails all pending deep health checks, as the link on which the agent would have answered them is lost.
    pub(super) fn fail_health_checks(&mut self) {
        for check in std::mem::take(&mut self.health_checks).into_values() {
            check.reply_to.respond(Response::Health(false));
        }
    }

    pub(super) fn next_health_check_deadline(&self) -> Option<Micros> {
        self.health_checks.values().map(|check| check.deadline).min()
    }

    /// Fails the deep health checks that the agent has not answered in time. The lowest tag has the earliest
    /// deadline, as both increase with each check.
    pub(super) fn expire_health_checks(&mut self, now: Micros) {
        while let Some(oldest) = self.health_checks.first_entry() {
            if now < oldest.get().deadline {
                break;
            }
            oldest.remove().reply_to.respond(Response::Health(false));
        }
    }
}

//! Log lines about circuit breakers that open or close, and endpoints that are ejected or restored.

use slog::{info, Logger};
use umberloom::interface::Micros;
use umberloom_dependencies::{breaker, load_balancer, DependencyStatus, Engine};

/// Time between two checks for changes.
const CHECK_INTERVAL: Micros = 1_000_000;

/// Compares the status of the dependencies with that of the last check, and logs changes.
pub struct StatusLog {
    next_check_at: Micros,
    previous: Vec<DependencyStatus>,
}

impl StatusLog {
    /// Creates a log whose first check is due one interval from now.
    pub fn new(now: Micros) -> StatusLog {
        StatusLog { next_check_at: now + CHECK_INTERVAL, previous: Vec::new() }
    }

    /// Logs the changes since the last check, if a check is due.
    pub fn handle_timeout(&mut self, now: Micros, engine: &Engine, log: &Logger) {
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + CHECK_INTERVAL;
        let current = engine.status(now);
        for dependency in &current {
            if let Some(previous) = self.previous.iter().find(|previous| previous.name == dependency.name) {
                log_breaker(previous, dependency, log);
                log_endpoints(previous, dependency, log);
            }
        }
        self.previous = current;
    }
}

fn log_breaker(previous: &DependencyStatus, current: &DependencyStatus, log: &Logger) {
    let is_closed = |dependency: &DependencyStatus| dependency.breaker == breaker::BreakerState::Closed;
    if is_closed(previous) != is_closed(current) {
        info!(log, "circuit breaker changed"; "dependency" => &*current.name, "closed" => is_closed(current),
            "retry_budget" => current.retry_budget, "limit" => current.limit.value,
            "limit_cause" => ?current.limit.last_change.cause);
    }
}

fn log_endpoints(previous: &DependencyStatus, current: &DependencyStatus, log: &Logger) {
    let is_in_use = |endpoint: &load_balancer::EndpointStatus| {
        matches!(endpoint.state, load_balancer::EndpointState::Active { .. })
    };
    for endpoint in &current.endpoints {
        let previous = previous.endpoints.iter().find(|previous| previous.address == endpoint.address);
        if previous.is_some_and(|previous| is_in_use(previous) != is_in_use(endpoint)) {
            info!(log, "endpoint ejection changed"; "dependency" => &*current.name,
                "address" => &*endpoint.address, "in_use" => is_in_use(endpoint),
                "cause" => ?endpoint.last_ejection);
        }
    }
}

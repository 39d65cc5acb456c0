//! Status and counters of the engine.

use umberloom::interface::Micros;

use super::{CallCounts, Engine};
use crate::dependency::{Demand, Dependency, DependencyStatus};

impl Engine {
    /// Returns the demand for a dependency, which is zero if it is not configured.
    pub fn demand(&self, dependency: &str) -> Demand {
        let found = self.dependencies.iter().find(|d| *d.name == *dependency && !d.retired);
        found.map(Dependency::demand).unwrap_or_default()
    }

    /// Returns the counters since the engine was created.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Returns the status of each configured dependency, with the causes of the last changes of its limits.
    pub fn status(&self, now: Micros) -> Vec<DependencyStatus> {
        let configured = self.dependencies.iter().filter(|d| !d.retired);
        configured.map(|dependency| dependency.status(now)).collect()
    }

    /// Returns the number of plans and the number of attempts in flight.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.plans.len(), self.attempts.len())
    }
}

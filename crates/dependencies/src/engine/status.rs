//! What the engine reports of itself.

use umberloom::interface::Micros;

use super::{CallCounts, Engine};
use crate::dependency::{Demand, Dependency, DependencyStatus};

impl Engine {
    /// The demand for a dependency; none if it is not configured.
    pub fn demand(&self, dependency: &str) -> Demand {
        let found = self.dependencies.iter().find(|d| *d.name == *dependency && !d.retired);
        found.map(Dependency::demand).unwrap_or_default()
    }

    /// Counts since the start.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// What is known of each configured dependency, and what its limits last changed for.
    pub fn status(&self, now: Micros) -> Vec<DependencyStatus> {
        let configured = self.dependencies.iter().filter(|d| !d.retired);
        configured.map(|dependency| dependency.status(now)).collect()
    }

    /// How many plans and how many attempts are in flight.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.plans.len(), self.attempts.len())
    }
}

//! How many file descriptors the process may have, and how they are divided.

/// Descriptors for what the program itself needs: the agent, the registration, the log and the executor.
const OWN_DESCRIPTORS: usize = 24;
/// The largest number of descriptors for connections to dependencies.
const MAX_CALL_DESCRIPTORS: usize = 64;

/// The descriptors that connections of each kind may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Connections that balancers open.
    pub connections: usize,
    /// Connections to dependencies.
    pub calls: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors. Balancers get at least half; of the rest a part is set aside for the program
    /// itself and `fleet` descriptors for streams between servers.
    pub fn divide(limit: usize, fleet: usize) -> DescriptorBudget {
        let own = OWN_DESCRIPTORS.min(limit / 4) + fleet;
        let calls = MAX_CALL_DESCRIPTORS.min(limit / 8);
        DescriptorBudget { connections: limit.saturating_sub(own + calls).max(2), calls }
    }
}

/// The smaller of the configured number and the system's soft limit. Without the latter, connections could take all
/// descriptors and leave none for the agent, the registration and calls.
pub fn effective_limit(configured: usize) -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    soft_limit(&limits).map_or(configured, |limit| limit.min(configured))
}

/// The soft limit, in the form of `/proc/PID/limits`; `None` where there is no such limit.
fn soft_limit(limits: &str) -> Option<usize> {
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;

//! The limit on the process's file descriptors, and how they are divided.

/// Descriptors that the program itself needs: for the agent, the registration, the log and the executor.
const RESERVED_DESCRIPTORS: usize = 24;
/// Maximum number of descriptors for connections to dependencies.
const MAX_CALL_DESCRIPTORS: usize = 64;

/// The number of descriptors available to each kind of connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Connections that balancers open.
    pub connections: usize,
    /// Connections to dependencies.
    pub calls: usize,
}

impl DescriptorBudget {
    /// Divides `limit` descriptors: some are reserved for the program itself, `fleet_descriptors` of them for
    /// streams between servers and some for calls; balancers get all others, which without a fleet are at
    /// least half.
    pub fn divide(limit: usize, fleet_descriptors: usize) -> DescriptorBudget {
        let reserved = RESERVED_DESCRIPTORS.min(limit / 4) + fleet_descriptors;
        let calls = MAX_CALL_DESCRIPTORS.min(limit / 8);
        DescriptorBudget { connections: limit.saturating_sub(reserved + calls).max(2), calls }
    }
}

/// The smaller of the configured number and the system's soft limit. If the soft limit were ignored,
/// connections could use up all descriptors and leave none for the agent, the registration and calls.
pub fn effective_limit(configured: usize) -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    parse_soft_limit(&limits).map_or(configured, |limit| limit.min(configured))
}

/// Parses the soft limit on open files from the text of `/proc/PID/limits`; `None` if there is no such limit.
fn parse_soft_limit(limits: &str) -> Option<usize> {
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;

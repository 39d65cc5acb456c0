//! What the system itself allows this process of descriptors.

/// The configured number, or what the system allows where that is less: were more parted than there are, the agent, the list
/// and calls would find none once connections have taken them all.
pub fn descriptors(configured: usize) -> usize {
    let told = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    soft_limit(&told).map_or(configured, |most| most.min(configured))
}

/// The soft limit, in the form of `/proc/PID/limits`; `None` where there is no such limit.
fn soft_limit(text: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;

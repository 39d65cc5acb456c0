//! Logs when this process was not run for a while: no response can be in time then, and nothing else reveals
//! it.

use std::time::{Duration, Instant};

use async_io::Timer;
use slog::{warn, Logger};

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A check that is more than this overdue is logged as a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);
/// Nanoseconds in a millisecond.
pub const NANOS_PER_MILLI: u64 = 1_000_000;

/// Times that the kernel's scheduler has counted for this process's first thread, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStats {
    /// Time on a core.
    pub running_ns: u64,
    /// Time ready to run, without a core.
    pub waiting_ns: u64,
}

impl SchedulerStats {
    /// Parses the text of `/proc/PID/schedstat`; all zero where the system has no such file.
    fn parse(text: &str) -> SchedulerStats {
        let mut numbers = text.split_whitespace().map(|n| n.parse().unwrap_or(0));
        let running_ns = numbers.next().unwrap_or(0);
        let waiting_ns = numbers.next().unwrap_or(0);
        SchedulerStats { running_ns, waiting_ns }
    }

    /// The times since the start of the process.
    pub fn now() -> SchedulerStats {
        SchedulerStats::parse(&std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default())
    }
}

/// Runs until the process ends. Each log line has the duration of the stall, and for how long the process ran
/// and waited for a core since the previous check; if both are far less than the stall, the process was
/// stopped from outside.
pub async fn watch(log: Logger) {
    let mut previous = SchedulerStats::now();
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        Timer::at(due).await;
        let delay = due.elapsed();
        let current = SchedulerStats::now();
        if delay > STALL_THRESHOLD {
            warn!(log, "process stalled";
                "stall_ms" => delay.as_millis() as u64,
                "ran_ms" => millis_between(previous.running_ns, current.running_ns),
                "waited_ms" => millis_between(previous.waiting_ns, current.waiting_ns));
        }
        previous = current;
    }
}

fn millis_between(from_ns: u64, to_ns: u64) -> u64 {
    to_ns.saturating_sub(from_ns) / NANOS_PER_MILLI
}

#[cfg(test)]
mod tests;

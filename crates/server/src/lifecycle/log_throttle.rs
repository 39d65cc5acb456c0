//! Limits log lines about an event that may occur thousands of times a second to one line a second.

use std::time::{Duration, Instant};

/// Minimum time between two lines about the same event.
const INTERVAL: Duration = Duration::from_secs(1);

/// Decides when a log line about a repeated event is due.
#[derive(Debug, Default)]
pub struct LogThrottle {
    last_logged: Option<Instant>,
    suppressed: u64,
}

impl LogThrottle {
    /// Counts an event at `now`. Returns `Some` if a line is due, with the number of events suppressed since
    /// the last line.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        if self.last_logged.is_some_and(|last| now < last + INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last_logged = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests;

//! Limits log lines about what may happen thousands of times a second to one a second.

use std::time::{Duration, Instant};

/// Time between two lines about the same thing.
const INTERVAL: Duration = Duration::from_secs(1);

/// Decides when a line about one repeated event is due.
#[derive(Debug, Default)]
pub struct LogThrottle {
    last_logged: Option<Instant>,
    suppressed: u64,
}

impl LogThrottle {
    /// Counts an event at `now`. `Some` if a line is due, with the number of events since the last line that had none.
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

//! The recent peak use of the own share: permits that a lender keeps for itself.

use crate::Micros;

/// Length of one window. A peak is remembered for one to two windows.
const WINDOW: Micros = 1_000_000;

/// The peak use in one window.
#[derive(Clone, Copy, Debug)]
struct PeakWindow {
    /// When the window started.
    since: Micros,
    peak: u32,
}

/// The highest use in the current and the previous window.
#[derive(Debug)]
pub(crate) struct RecentPeak {
    current: PeakWindow,
    previous: PeakWindow,
}

impl RecentPeak {
    pub fn new(now: Micros) -> RecentPeak {
        let empty = PeakWindow { since: now, peak: 0 };
        RecentPeak { current: empty, previous: empty }
    }

    /// Records the number of permits in use at `now`.
    pub fn record(&mut self, now: Micros, used: u32) {
        if now >= self.current.since + WINDOW {
            self.previous = self.current;
            self.current = PeakWindow { since: now, peak: used };
        }
        self.current.peak = self.current.peak.max(used);
    }

    /// The highest use that is remembered.
    pub fn get(&self) -> u32 {
        self.current.peak.max(self.previous.peak)
    }
}

//! The most permits of the own share that were used of late: what a lender should keep for itself.

use crate::Micros;

/// Length of one window. Use is remembered for one to two of them.
const WINDOW: Micros = 1_000_000;

#[derive(Clone, Copy, Debug)]
struct PeakWindow {
    since: Micros,
    peak: u32,
}

/// The peaks of the current window and of the one before.
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

    /// Takes in how many permits are used now.
    pub fn record(&mut self, now: Micros, used: u32) {
        if now >= self.current.since + WINDOW {
            self.previous = self.current;
            self.current = PeakWindow { since: now, peak: used };
        }
        self.current.peak = self.current.peak.max(used);
    }

    pub fn get(&self) -> u32 {
        self.current.peak.max(self.previous.peak)
    }
}

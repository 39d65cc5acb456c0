//! Limits how often rejected messages are reported, so that a flood of them does not flood the log.

use std::collections::BTreeMap;

use crate::wire::RejectReason;
use crate::Micros;

/// The least time between two reports with the same reason.
const REPORT_INTERVAL: Micros = 1_000_000;

/// Rejected messages with one reason since its last report.
#[derive(Debug)]
struct Unreported {
    count: u64,
    /// When this reason was last reported.
    reported_at: Micros,
}

/// Counts of rejected messages that have not been reported yet, by reason.
#[derive(Debug, Default)]
pub(crate) struct RejectionLog {
    by_reason: BTreeMap<RejectReason, Unreported>,
}

/// A number of rejected messages with the same reason, to be reported.
pub(crate) struct RejectionReport {
    pub reason: RejectReason,
    pub count: u64,
}

impl RejectionLog {
    /// Counts a rejected message. Returns true if it is the first with its reason: the caller then reports it
    /// at once, and it is not counted for a later report.
    pub fn record(&mut self, now: Micros, reason: RejectReason) -> bool {
        if let Some(unreported) = self.by_reason.get_mut(&reason) {
            unreported.count += 1;
            return false;
        }
        self.by_reason.insert(reason, Unreported { count: 0, reported_at: now });
        true
    }

    /// Returns the reports that are due. A reason without messages since its last report is forgotten, so
    /// that its next message is reported at once.
    pub fn take_due(&mut self, now: Micros) -> Vec<RejectionReport> {
        let mut reports = Vec::new();
        self.by_reason.retain(|&reason, unreported| {
            if now < unreported.reported_at + REPORT_INTERVAL {
                return true;
            }
            if unreported.count == 0 {
                return false;
            }
            reports.push(RejectionReport { reason, count: unreported.count });
            *unreported = Unreported { count: 0, reported_at: now };
            true
        });
        reports
    }
}

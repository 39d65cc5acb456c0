//! The phases of the process, from start to exit.

use std::fmt;

use slog::{info, Logger};
use umberloom::interface::Micros;

/// A phase of the process. Phases are passed in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The configuration is read; nothing is served.
    Starting,
    /// Balancers may connect; the render farm agent is not available yet.
    WaitingForAgent,
    /// Requests are served.
    Serving,
    /// A shutdown was requested; everything that arrives is still answered.
    Draining,
    /// No new connections; existing ones close as their requests are answered.
    Closing,
    /// The process exits.
    Stopped,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// The closing phase begins this long before the stop time.
const CLOSE_BEFORE_STOP: Micros = 350_000;
/// The process exits this long before the stop time.
const EXIT_BEFORE_STOP: Micros = 15_000;
/// Minimum duration of the closing phase where the stop time has passed already, as after a stall: requests
/// that lay unread during the stall are answered as long as the process is not killed.
const MIN_CLOSING_AFTER_STALL: Micros = 500_000;

/// Tracks the current phase, and when the next one is due.
pub struct PhaseTracker {
    phase: Phase,
    /// The stop time, when the process is killed from outside; `None` until a shutdown is requested.
    stop_at: Option<Micros>,
    /// Earliest end of the closing phase after a stall past the stop time; 0 without such a stall.
    closing_until: Micros,
    log: Logger,
}

impl PhaseTracker {
    /// Starts in [`Phase::Starting`].
    pub fn new(log: Logger) -> PhaseTracker {
        PhaseTracker { phase: Phase::Starting, stop_at: None, closing_until: 0, log }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Changes to a later phase; an earlier one is ignored.
    pub fn enter(&mut self, phase: Phase) {
        if phase > self.phase {
            info!(self.log, "phase changed"; "from" => %self.phase, "to" => %phase);
            self.phase = phase;
        }
    }

    /// Handles a shutdown request at `now`: the process will be killed `stop_after` later. Returns whether
    /// this is the first request; later ones are ignored.
    pub fn begin_drain(&mut self, now: Micros, stop_after: Micros) -> bool {
        let first = self.stop_at.is_none();
        if first {
            self.stop_at = Some(now.saturating_add(stop_after));
            self.enter(Phase::Draining);
        }
        first
    }

    /// The time at which the next phase begins, if it begins by time alone.
    pub fn next_timeout(&self) -> Option<Micros> {
        let stop_at = self.stop_at?;
        match self.phase {
            Phase::Draining => Some(stop_at.saturating_sub(CLOSE_BEFORE_STOP)),
            Phase::Closing => Some(stop_at.saturating_sub(EXIT_BEFORE_STOP).max(self.closing_until)),
            _ => None,
        }
    }

    /// Changes to the next phase if it is due, and returns whether it was.
    pub fn handle_timeout(&mut self, now: Micros) -> bool {
        let due = self.next_timeout().is_some_and(|at| now >= at);
        if due {
            if self.phase == Phase::Draining {
                let past_stop = self.stop_at.is_some_and(|stop_at| now > stop_at);
                self.closing_until = if past_stop { now + MIN_CLOSING_AFTER_STALL } else { 0 };
                self.enter(Phase::Closing);
            } else {
                self.enter(Phase::Stopped);
            }
        }
        due
    }
}

#[cfg(test)]
mod tests;

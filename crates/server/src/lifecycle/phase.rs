//! The phases of the process, from start to exit.

use std::fmt;

use slog::{info, Logger};
use umberloom::interface::Micros;

/// What the process does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The configuration is read; nothing is served.
    Starting,
    /// Balancers may connect; the render farm agent is not up yet.
    WaitingForAgent,
    /// Requests are served.
    Serving,
    /// A shutdown was requested: all that arrives is still answered.
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

/// Closing begins so long before the stop.
const CLOSE_BEFORE_STOP: Micros = 350_000;
/// The process exits so long before the stop.
const EXIT_BEFORE_STOP: Micros = 15_000;
/// Closing lasts so long where the stop has passed already, as after a stall: what lay unread meanwhile is to be answered
/// as long as nobody kills the process.
const MIN_CLOSING_AFTER_STALL: Micros = 500_000;

/// The present phase, and when the next one is due.
pub struct PhaseTracker {
    phase: Phase,
    /// When the process is killed from outside, once a shutdown was requested.
    stop_at: Option<Micros>,
    /// After a stall, closing lasts until then at least.
    closing_until: Micros,
    log: Logger,
}

impl PhaseTracker {
    /// Starts in [`Phase::Starting`].
    pub fn new(log: Logger) -> PhaseTracker {
        PhaseTracker { phase: Phase::Starting, stop_at: None, closing_until: 0, log }
    }

    /// The present phase.
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

    /// A shutdown was requested at `now`: the process is killed `stop_after` later. Whether this is the first request;
    /// later ones are ignored.
    pub fn begin_drain(&mut self, now: Micros, stop_after: Micros) -> bool {
        let first = self.stop_at.is_none();
        if first {
            self.stop_at = Some(now.saturating_add(stop_after));
            self.enter(Phase::Draining);
        }
        first
    }

    /// When the next phase begins by itself.
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

//! The program's phases, from start to exit.

use std::fmt;

use slog::{info, Logger};
use umberloom::interface::Micros;

/// Where the program is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The configuration is read, nothing is served.
    Starting,
    /// Balancers may connect; the render farm agent is not up yet.
    Waiting,
    /// Requests are served.
    Serving,
    /// Notice to drain has come: all that arrives is still answered.
    Leaving,
    /// Nothing new is let in; connections close as their requests are answered.
    Closing,
    /// All is done.
    Ended,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// The phase a program is in, with the moments that the later ones depend on.
pub struct Life {
    phase: Phase,
    /// When the process is stopped, once that is known.
    stop: Option<Micros>,
    /// Closing goes on until then at least, after a standstill.
    closes_until: Micros,
    log: Logger,
}

/// Before the stop, nothing new is let in for so long.
const CLOSE_BEFORE: Micros = 350_000;
/// Before the stop, the process has ended for so long.
const END_BEFORE: Micros = 15_000;
/// But where the stop has passed already, as after a standstill, closing takes so long: what lay unread meanwhile is to be
/// answered as long as nobody stops the process.
const CLOSE_LEAST: Micros = 500_000;

impl Life {
    /// A program that starts.
    pub fn new(log: Logger) -> Life {
        Life { phase: Phase::Starting, stop: None, closes_until: 0, log }
    }

    /// Goes on to a later phase; an earlier one is passed over.
    pub fn enter(&mut self, phase: Phase) {
        if phase > self.phase {
            info!(self.log, "phase"; "from" => %self.phase, "to" => %phase);
            self.phase = phase;
        }
    }

    /// Notice to drain: the process is stopped `span` from now. Only the first counts.
    pub fn leave(&mut self, now: Micros, span: Micros) -> bool {
        let first = self.stop.is_none();
        if first {
            self.stop = Some(now.saturating_add(span));
            self.enter(Phase::Leaving);
        }
        first
    }

    /// When the next phase begins by itself.
    pub fn next_at(&self) -> Option<Micros> {
        let stop = self.stop?;
        match self.phase {
            Phase::Leaving => Some(stop.saturating_sub(CLOSE_BEFORE)),
            Phase::Closing => Some(stop.saturating_sub(END_BEFORE).max(self.closes_until)),
            _ => None,
        }
    }

    /// Goes on to the next phase if its time has come; tells whether it did.
    pub fn pass(&mut self, now: Micros) -> bool {
        let due = self.next_at().is_some_and(|at| now >= at);
        if due {
            if self.phase == Phase::Leaving {
                let past = self.stop.is_some_and(|stop| now > stop);
                self.closes_until = if past { now + CLOSE_LEAST } else { 0 };
                self.enter(Phase::Closing);
            } else {
                self.enter(Phase::Ended);
            }
        }
        due
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }
}

#[cfg(test)]
mod tests;

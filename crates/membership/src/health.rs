//! The local health score of this server (Lifeguard's local health multiplier, section IV.A).
//!
//! A server that gets too little CPU time observes the answers of all others as late. Each sign of that
//! raises the score by one, up to [`MAX_HEALTH_SCORE`], and each answered probe lowers it by one. Time limits
//! are multiplied by the score plus one.

#[cfg(test)]
mod tests;

/// The highest score. Time limits are then nine times as long, as in the paper.
pub const MAX_HEALTH_SCORE: u32 = 8;

/// An observation that raises or lowers the local health score.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// A probe sent by this server was answered in time.
    ProbeAnswered,
    /// A probe sent by this server went unanswered, both directly and through other members.
    ProbeFailed,
    /// Other members suspected this server, and it refuted the suspicion.
    Suspected,
    /// A timer ran more than half a probe interval late.
    TimerLate,
}

/// The local health score; 0 is healthy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Updates the score.
    pub fn record(&mut self, signal: HealthSignal) {
        self.0 = match signal {
            HealthSignal::ProbeAnswered => self.0.saturating_sub(1),
            HealthSignal::ProbeFailed | HealthSignal::Suspected | HealthSignal::TimerLate => {
                (self.0 + 1).min(MAX_HEALTH_SCORE)
            }
        };
    }

    /// The score, from 0 to [`MAX_HEALTH_SCORE`].
    pub fn score(self) -> u32 {
        self.0
    }

    /// Returns the time limit multiplied by the score plus one.
    pub fn scale(self, limit: u64) -> u64 {
        limit.saturating_mul(u64::from(self.0) + 1)
    }
}

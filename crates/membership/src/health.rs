//! How far this server may trust its own sense of time (Lifeguard's local health multiplier, section IV.A).
//!
//! A server that is starved of its core sees everyone else as late. Each sign of that makes its time limits longer, by
//! whole multiples up to [`MAX_HEALTH_SCORE`]; each probe that goes well takes one back.

#[cfg(test)]
mod tests;

/// The largest score: time limits are then nine times as long, as in the paper.
pub const MAX_HEALTH_SCORE: u32 = 8;

/// A sign of how well this server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// A probe of its own was answered in time.
    ProbeAnswered,
    /// A probe of its own brought no answer, neither directly nor by way of others.
    ProbeFailed,
    /// Others suspected it, and it had to refute that.
    Suspected,
    /// It came to a timer later than half a probe interval.
    TimerLate,
}

/// The local health score: 0 is well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Takes a signal in.
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

    /// A time limit, scaled by the score.
    pub fn scale(self, limit: u64) -> u64 {
        limit.saturating_mul(u64::from(self.0) + 1)
    }
}

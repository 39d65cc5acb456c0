//! How far this server may trust its own sense of time (Lifeguard's local health multiplier, section IV.A).
//!
//! A server that is starved of its core sees everyone else as late. Each sign of it makes all its time limits longer,
//! by whole multiples up to [`MOST`]; each probe that goes well takes one back.

/// The largest multiple on top: limits are then nine times as long, as in the paper.
pub const MAX_HEALTH_SCORE: u32 = 8;

/// A sign of how well this server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// A probe of its own was answered in time.
    ProbeAnswered,
    /// A probe of its own brought nothing, neither directly nor by others.
    ProbeFailed,
    /// Others suspected it and it had to refute that.
    Suspected,
    /// It came to a timer later than half a probe's span.
    TimerLate,
}

/// The multiple.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Takes a sign in.
    pub fn record(&mut self, sign: HealthSignal) {
        self.0 = match sign {
            HealthSignal::ProbeAnswered => self.0.saturating_sub(1),
            HealthSignal::ProbeFailed | HealthSignal::Suspected | HealthSignal::TimerLate => {
                (self.0 + 1).min(MAX_HEALTH_SCORE)
            }
        };
    }

    /// How sick it is, from 0 to [`MOST`].
    pub fn score(self) -> u32 {
        self.0
    }

    /// A time limit as it is to be taken now.
    pub fn scale(self, span: u64) -> u64 {
        span.saturating_mul(u64::from(self.0) + 1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_grow_with_bad_signs_and_shrink_with_good_ones() {
        let mut health = LocalHealth::default();
        assert_eq!(health.scale(10), 10);
        [HealthSignal::ProbeFailed, HealthSignal::TimerLate, HealthSignal::Suspected]
            .into_iter()
            .for_each(|sign| health.record(sign));
        assert_eq!((health.score(), health.scale(10)), (3, 40));
        (0..20).for_each(|_| health.record(HealthSignal::TimerLate));
        assert_eq!(health.score(), MAX_HEALTH_SCORE);
        (0..20).for_each(|_| health.record(HealthSignal::ProbeAnswered));
        assert_eq!(health.score(), 0);
    }
}

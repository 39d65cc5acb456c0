//! How far this server may trust its own sense of time (Lifeguard's local health multiplier, section IV.A).
//!
//! A server that is starved of its core sees everyone else as late. Each sign of it makes all its time limits longer,
//! by whole multiples up to [`MOST`]; each probe that goes well takes one back.

/// The largest multiple on top: limits are then nine times as long, as in the paper.
pub const MOST: u32 = 8;

/// A sign of how well this server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A probe of its own was answered in time.
    ProbeAnswered,
    /// A probe of its own brought nothing, neither directly nor by others.
    ProbeFailed,
    /// Others suspected it and it had to refute that.
    Suspected,
    /// It came to a timer later than half a probe's span.
    Late,
}

/// The multiple.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health(u32);

impl Health {
    /// Takes a sign in.
    pub fn note(&mut self, sign: Sign) {
        self.0 = match sign {
            Sign::ProbeAnswered => self.0.saturating_sub(1),
            Sign::ProbeFailed | Sign::Suspected | Sign::Late => (self.0 + 1).min(MOST),
        };
    }

    /// How sick it is, from 0 to [`MOST`].
    pub fn sick(self) -> u32 {
        self.0
    }

    /// A time limit as it is to be taken now.
    pub fn stretch(self, span: u64) -> u64 {
        span.saturating_mul(u64::from(self.0) + 1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_grow_with_bad_signs_and_shrink_with_good_ones() {
        let mut health = Health::default();
        assert_eq!(health.stretch(10), 10);
        [Sign::ProbeFailed, Sign::Late, Sign::Suspected].into_iter().for_each(|sign| health.note(sign));
        assert_eq!((health.sick(), health.stretch(10)), (3, 40));
        (0..20).for_each(|_| health.note(Sign::Late));
        assert_eq!(health.sick(), MOST);
        (0..20).for_each(|_| health.note(Sign::ProbeAnswered));
        assert_eq!(health.sick(), 0);
    }
}

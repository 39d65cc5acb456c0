//! Lines about what may happen thousands of times a second, told once a second.

use std::time::{Duration, Instant};

/// Time between two lines about the same thing.
const EVERY: Duration = Duration::from_secs(1);

/// What keeps the lines about one thing apart.
#[derive(Debug, Default)]
pub struct LogThrottle {
    told: Option<Instant>,
    not_told: u64,
}

impl LogThrottle {
    /// Notes that it happened at `now`. `Some` if a line is due, with how often it happened since the last line
    /// without one.
    pub fn tell(&mut self, now: Instant) -> Option<u64> {
        if self.told.is_some_and(|told| now < told + EVERY) {
            self.not_told += 1;
            return None;
        }
        self.told = Some(now);
        Some(std::mem::take(&mut self.not_told))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_line_a_second_says_how_many_it_stands_for() {
        let (mut rare, start) = (LogThrottle::default(), Instant::now());
        let at = |ms| start + Duration::from_millis(ms);
        assert_eq!(rare.tell(at(0)), Some(0));
        assert_eq!((rare.tell(at(1)), rare.tell(at(999))), (None, None));
        assert_eq!(rare.tell(at(1000)), Some(2));
        assert_eq!(rare.tell(at(1001)), None);
    }
}

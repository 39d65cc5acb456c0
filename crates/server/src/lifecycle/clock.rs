//! The system's Unix clock, made to go only forward.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use umberloom::interface::Micros;

/// A clock in Unix microseconds that stands still where the system's is set back.
#[derive(Clone, Debug, Default)]
pub struct Clock(Rc<Cell<Micros>>);

impl Clock {
    /// The time.
    pub fn now(&self) -> Micros {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        self.forward(unix.as_micros() as Micros)
    }

    fn forward(&self, unix: Micros) -> Micros {
        self.0.set(self.0.get().max(unix));
        self.0.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_never_goes_back() {
        let clock = Clock::default();
        let other = clock.clone();
        assert_eq!((clock.forward(50), other.forward(40), clock.forward(60)), (50, 50, 60));
        assert!(clock.now() > 1_600_000_000_000_000);
    }
}

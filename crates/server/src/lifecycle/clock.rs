//! The system's Unix clock, made to go only forward.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use umberloom::interface::Micros;

/// A clock in microseconds that follows the Unix clock but never goes back: where the system's is set back, it
/// goes on from where it was, ahead of the Unix clock from then on. Standing still until the other has caught up
/// would stop all timers.
#[derive(Clone, Debug, Default)]
pub struct Clock(Rc<Cell<Reading>>);

#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    last: Micros,
    /// How far it is ahead of the Unix clock.
    ahead: Micros,
}

impl Clock {
    /// The time, for spans between moments of this process.
    pub fn now(&self) -> Micros {
        self.read(unix())
    }

    /// The Unix time now, for moments that others have stated.
    pub fn unix(&self) -> Micros {
        self.now() - self.0.get().ahead
    }

    fn read(&self, unix: Micros) -> Micros {
        let Reading { last, ahead } = self.0.get();
        let now = (unix + ahead).max(last);
        self.0.set(Reading { last: now, ahead: now - unix });
        now
    }
}

fn unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros() as Micros
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_never_goes_back_and_never_stands_still() {
        let clock = Clock::default();
        let other = clock.clone();
        assert_eq!((clock.read(50), other.read(60)), (50, 60));
        // Set back by 40: it goes on from 60, as fast as the other.
        assert_eq!((clock.read(20), clock.read(25), clock.read(70)), (60, 65, 110));
        // Set forward, it follows.
        assert_eq!(clock.read(500), 540);
        assert_eq!(clock.0.get().ahead, 40);
    }

    #[test]
    fn it_tells_unix_time_as_well() {
        let clock = Clock::default();
        let before = unix();
        let (now, told) = (clock.now(), clock.unix());
        assert!(now >= before && told >= before && told <= unix());
    }
}

//! A monotonic clock derived from the system's Unix clock.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use umberloom::interface::Micros;

/// A clock in microseconds that follows the Unix clock but never goes back. When the system clock is set
/// back, this one continues from its last reading and stays ahead by that difference; standing still until
/// the system clock has caught up would stop all timers. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Clock(Rc<Cell<Reading>>);

#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    /// The last time returned.
    last: Micros,
    /// How far the clock is ahead of the Unix clock.
    ahead: Micros,
}

impl Clock {
    /// The monotonic time, for intervals within this process.
    pub fn now(&self) -> Micros {
        self.advance(system_time())
    }

    /// The Unix time, for comparison with timestamps from other processes.
    pub fn unix(&self) -> Micros {
        self.now() - self.0.get().ahead
    }

    fn advance(&self, unix: Micros) -> Micros {
        let Reading { last, ahead } = self.0.get();
        let now = (unix + ahead).max(last);
        self.0.set(Reading { last: now, ahead: now - unix });
        now
    }
}

fn system_time() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros() as Micros
}

#[cfg(test)]
mod tests;

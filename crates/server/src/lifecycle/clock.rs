//! A monotonic clock derived from the system's Unix clock.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use umberloom::interface::Micros;

/// A clock in microseconds that follows the Unix clock but never goes back. When the system clock is set
/// back, this one continues from its last reading and stays ahead by that difference; standing still until
/// the system clock has caught up would stop all timers. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Clock(Rc<Cell<ClockState>>);

#[derive(Clone, Copy, Debug, Default)]
struct ClockState {
    /// The last time returned.
    last_time: Micros,
    /// How far the clock is ahead of the Unix clock.
    offset: Micros,
}

impl Clock {
    /// The monotonic time, for intervals within this process.
    pub fn now(&self) -> Micros {
        self.advance(system_time())
    }

    /// The Unix time, for comparison with timestamps from other processes.
    pub fn unix(&self) -> Micros {
        self.now() - self.0.get().offset
    }

    fn advance(&self, unix_time: Micros) -> Micros {
        let ClockState { last_time, offset } = self.0.get();
        let now = (unix_time + offset).max(last_time);
        self.0.set(ClockState { last_time: now, offset: now - unix_time });
        now
    }
}

fn system_time() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros() as Micros
}

#[cfg(test)]
mod tests;

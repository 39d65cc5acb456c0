//! When a dependency is not called for a while.

use std::collections::VecDeque;

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::BreakerConfig as Settings;
use crate::probe_pacing;

/// Probes in a row that must go well before it closes.
const PROBES_TO_CLOSE: u32 = 3;
/// Each time that a probe fails it stays open twice as long, up to so many times as long as at first: after
/// a long outage service is to be back within seconds.
const MAX_OPEN_TIME_FACTOR: u32 = 4;
/// Fewer calls than this tell nothing, or all that are looked back on where that is fewer.
const MIN_CALLS: usize = 5;

/// Whether calls may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// They may.
    Closed,
    /// Not before this time.
    Open(Micros),
    /// One at a time, to see; so many have gone well.
    HalfOpen(u32),
}

/// Looks back on the last calls. It is for dependencies that are down: what turns calls away is told by the limit.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    config: Option<Settings>,
    state: BreakerState,
    /// Whether each of the last calls failed.
    recent_failures: VecDeque<bool>,
    failed_count: usize,
    /// How often it has opened without closing in between.
    consecutive_opens: u32,
    probes_in_flight: usize,
}

impl CircuitBreaker {
    /// Closed; without settings it stays so.
    pub fn new(config: Option<Settings>) -> CircuitBreaker {
        CircuitBreaker {
            config,
            state: BreakerState::Closed,
            recent_failures: VecDeque::new(),
            failed_count: 0,
            consecutive_opens: 0,
            probes_in_flight: 0,
        }
    }

    /// New settings.
    pub fn reconfigure(&mut self, settings: Option<Settings>) {
        self.config = settings;
        match settings {
            Some(settings) => self.trim_window(settings),
            None => (self.state, self.consecutive_opens) = (BreakerState::Closed, 0),
        }
    }

    /// Where it stands now.
    pub fn state(&self, now: Micros) -> BreakerState {
        match self.state {
            BreakerState::Open(until) if now >= until => BreakerState::HalfOpen(0),
            state => state,
        }
    }

    /// Whether a call may start now.
    pub fn allows(&self, now: Micros) -> bool {
        match self.state(now) {
            BreakerState::Closed => true,
            BreakerState::Open(_) => false,
            BreakerState::HalfOpen(_) => self.probes_in_flight == 0,
        }
    }

    /// A call starts that was allowed; whether it is a probe, to be told again at its end.
    pub fn start(&mut self, now: Micros) -> bool {
        self.state = self.state(now);
        let probe = matches!(self.state, BreakerState::HalfOpen(_));
        self.probes_in_flight += usize::from(probe);
        probe
    }

    /// A call is over. `failed` is `None` where it says nothing, as when nobody waited for it any more.
    pub fn end(
        &mut self,
        now: Micros,
        probe: bool,
        failed: Option<bool>,
        (servers, random): (u32, &mut impl Rng),
    ) {
        self.probes_in_flight -= usize::from(probe);
        let Some(failed) = failed else { return };
        match self.state(now) {
            BreakerState::Closed => self.record(now, failed, (servers, random)),
            // Calls from before it opened say nothing about now.
            BreakerState::HalfOpen(well) if probe && !failed => {
                self.state = if well + 1 >= PROBES_TO_CLOSE {
                    BreakerState::Closed
                } else {
                    BreakerState::HalfOpen(well + 1)
                };
                if self.state == BreakerState::Closed {
                    self.consecutive_opens = 0;
                    self.clear_window();
                }
            }
            BreakerState::HalfOpen(_) if probe => self.open(now, (servers, random)),
            BreakerState::HalfOpen(_) | BreakerState::Open(_) => {}
        }
    }

    fn record(&mut self, now: Micros, failed: bool, among: (u32, &mut impl Rng)) {
        let Some(settings) = self.config else { return };
        self.recent_failures.push_back(failed);
        self.failed_count += usize::from(failed);
        self.trim_window(settings);
        let enough = MIN_CALLS.min(settings.window_calls as usize);
        if self.recent_failures.len() >= enough
            && self.failed_count as f64 >= settings.failure_ratio * self.recent_failures.len() as f64
        {
            self.open(now, among);
        }
    }

    /// Servers that saw it fail at one moment must not all look again at one moment.
    fn open(&mut self, now: Micros, (servers, random): (u32, &mut impl Rng)) {
        let Some(settings) = self.config else { return };
        let span = settings.open_time
            * Micros::from((1 << self.consecutive_opens.min(16)).min(MAX_OPEN_TIME_FACTOR));
        self.consecutive_opens += 1;
        self.state = BreakerState::Open(now + probe_pacing::spread_delay(servers, span, random));
        self.clear_window();
    }

    fn clear_window(&mut self) {
        self.recent_failures.clear();
        self.failed_count = 0;
    }

    fn trim_window(&mut self, settings: Settings) {
        while self.recent_failures.len() > settings.window_calls as usize {
            self.failed_count -= usize::from(self.recent_failures.pop_front().unwrap_or(false));
        }
    }
}

#[cfg(test)]
mod tests;

//! The circuit breaker of a dependency (Nygard, "Release It!").

use std::collections::VecDeque;

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::BreakerConfig;
use crate::probe_pacing;

/// Probes in a row that must succeed before it closes.
const PROBES_TO_CLOSE: u32 = 3;
/// Each time that a probe fails it stays open twice as long, up to this many times the configured time: after a long
/// outage service is to be back within seconds.
const MAX_OPEN_TIME_FACTOR: u32 = 4;
/// Fewer calls than this show nothing, or the whole window where that is smaller.
const MIN_CALLS: usize = 5;

/// Whether calls may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// They may.
    Closed,
    /// Not now.
    Open {
        /// When the first probe may be made.
        until: Micros,
    },
    /// Single probes only.
    HalfOpen {
        /// Probes in a row that succeeded.
        successes: u32,
    },
}

/// Opens when too many of the last calls failed. It is for dependencies that are down: rejections by one that is
/// overloaded lower the concurrency limit instead.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    /// `None`: it never opens.
    config: Option<BreakerConfig>,
    state: BreakerState,
    /// Whether each of the last calls failed.
    recent_failures: VecDeque<bool>,
    failed_count: usize,
    /// How often it has opened without closing in between.
    consecutive_opens: u32,
    probes_in_flight: usize,
}

impl CircuitBreaker {
    /// A closed breaker; without a configuration it stays so.
    pub fn new(config: Option<BreakerConfig>) -> CircuitBreaker {
        CircuitBreaker {
            config,
            state: BreakerState::Closed,
            recent_failures: VecDeque::new(),
            failed_count: 0,
            consecutive_opens: 0,
            probes_in_flight: 0,
        }
    }

    /// Applies a new configuration.
    pub fn reconfigure(&mut self, config: Option<BreakerConfig>) {
        self.config = config;
        match config {
            Some(config) => self.trim_window(config),
            None => {
                self.state = BreakerState::Closed;
                self.consecutive_opens = 0;
            }
        }
    }

    /// Its state now.
    pub fn state(&self, now: Micros) -> BreakerState {
        match self.state {
            BreakerState::Open { until } if now >= until => BreakerState::HalfOpen { successes: 0 },
            state => state,
        }
    }

    /// Whether a call may start now.
    pub fn allows(&self, now: Micros) -> bool {
        match self.state(now) {
            BreakerState::Closed => true,
            BreakerState::Open { .. } => false,
            BreakerState::HalfOpen { .. } => self.probes_in_flight == 0,
        }
    }

    /// A call that is allowed starts; returns whether it is a probe, which [`CircuitBreaker::end`] must be passed.
    pub fn start(&mut self, now: Micros) -> bool {
        self.state = self.state(now);
        let is_probe = matches!(self.state, BreakerState::HalfOpen { .. });
        self.probes_in_flight += usize::from(is_probe);
        is_probe
    }

    /// A call is over. `failed` is `None` where it shows nothing, as when nobody waited for it any more. `servers` is
    /// the number of servers that call the same dependency.
    pub fn end(
        &mut self,
        now: Micros,
        is_probe: bool,
        failed: Option<bool>,
        servers: u32,
        random: &mut impl Rng,
    ) {
        self.probes_in_flight -= usize::from(is_probe);
        let Some(failed) = failed else { return };
        match self.state(now) {
            BreakerState::Closed => self.record(now, failed, servers, random),
            // Calls from before it opened show nothing about now.
            BreakerState::HalfOpen { successes } if is_probe && !failed => {
                self.count_success(successes + 1);
            }
            BreakerState::HalfOpen { .. } if is_probe => self.open(now, servers, random),
            BreakerState::HalfOpen { .. } | BreakerState::Open { .. } => {}
        }
    }

    fn count_success(&mut self, successes: u32) {
        if successes < PROBES_TO_CLOSE {
            self.state = BreakerState::HalfOpen { successes };
            return;
        }
        self.state = BreakerState::Closed;
        self.consecutive_opens = 0;
        self.clear_window();
    }

    fn record(&mut self, now: Micros, failed: bool, servers: u32, random: &mut impl Rng) {
        let Some(config) = self.config else { return };
        self.recent_failures.push_back(failed);
        self.failed_count += usize::from(failed);
        self.trim_window(config);
        let calls = self.recent_failures.len();
        let min_calls = MIN_CALLS.min(config.window_calls as usize);
        if calls >= min_calls && self.failed_count as f64 >= config.failure_ratio * calls as f64 {
            self.open(now, servers, random);
        }
    }

    /// Servers that saw the dependency fail at one moment must not all probe it at one moment.
    fn open(&mut self, now: Micros, servers: u32, random: &mut impl Rng) {
        let Some(config) = self.config else { return };
        let factor = (1 << self.consecutive_opens.min(16)).min(MAX_OPEN_TIME_FACTOR);
        let open_time = config.open_time * Micros::from(factor);
        self.consecutive_opens += 1;
        let until = now + probe_pacing::spread_delay(servers, open_time, random);
        self.state = BreakerState::Open { until };
        self.clear_window();
    }

    fn clear_window(&mut self) {
        self.recent_failures.clear();
        self.failed_count = 0;
    }

    fn trim_window(&mut self, config: BreakerConfig) {
        while self.recent_failures.len() > config.window_calls as usize {
            self.failed_count -= usize::from(self.recent_failures.pop_front().unwrap_or(false));
        }
    }
}

#[cfg(test)]
mod tests;

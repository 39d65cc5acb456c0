//! The circuit breaker of a dependency (Nygard, "Release It!").

use std::collections::VecDeque;

use rand::Rng;
use umberloom::interface::Micros;

use crate::config::BreakerConfig;
use crate::probe_pacing;

/// Number of successful probes in a row that close the breaker.
const PROBES_TO_CLOSE: u32 = 3;
/// Maximum open time as a multiple of the configured time. Each failed probe doubles the open time up to
/// this, so that service is restored within seconds even after a long outage.
const MAX_OPEN_TIME_FACTOR: u32 = 4;
/// Minimum number of calls in the window before the breaker may open, or the whole window if that is smaller.
/// Fewer calls say nothing about the failure ratio.
const MIN_CALLS: usize = 5;

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Calls may be made.
    Closed,
    /// No calls may be made.
    Open {
        /// Time from which a probe may be made.
        until: Micros,
    },
    /// One probe at a time may be made.
    HalfOpen {
        /// Number of probes in a row that succeeded.
        successes: u32,
    },
}

/// A circuit breaker, which opens when too many of the last calls failed. It protects against dependencies
/// that are down; rejections by an overloaded dependency lower the concurrency limit instead.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    /// `None` if the breaker never opens.
    config: Option<BreakerConfig>,
    state: BreakerState,
    /// Window of the last calls, oldest first: `true` for each that failed.
    recent_failures: VecDeque<bool>,
    /// Number of failed calls in the window.
    failed_count: usize,
    /// Number of times that it has opened since it was last closed.
    consecutive_opens: u32,
    probes_in_flight: usize,
}

impl CircuitBreaker {
    /// Creates a closed breaker; without a configuration it stays closed.
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

    /// Applies a new configuration; without one the breaker closes.
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

    /// Returns the current state.
    pub fn state(&self, now: Micros) -> BreakerState {
        match self.state {
            BreakerState::Open { until } if now >= until => BreakerState::HalfOpen { successes: 0 },
            state => state,
        }
    }

    /// Returns whether a call may start now.
    pub fn allows(&self, now: Micros) -> bool {
        match self.state(now) {
            BreakerState::Closed => true,
            BreakerState::Open { .. } => false,
            BreakerState::HalfOpen { .. } => self.probes_in_flight == 0,
        }
    }

    /// Records the start of a call that is allowed. Returns whether it is a probe, which is to be passed to
    /// [`CircuitBreaker::end`].
    pub fn start(&mut self, now: Micros) -> bool {
        self.state = self.state(now);
        let is_probe = matches!(self.state, BreakerState::HalfOpen { .. });
        self.probes_in_flight += usize::from(is_probe);
        is_probe
    }

    /// Records the end of a call. `failed` is `None` if the call says nothing about the dependency's health,
    /// for example because its result was no longer needed. `servers` is the number of servers that call the
    /// same dependency.
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
            BreakerState::HalfOpen { successes } if is_probe && !failed => {
                self.count_success(successes + 1);
            }
            BreakerState::HalfOpen { .. } if is_probe => self.open(now, servers, random),
            // Calls that started before the breaker opened say nothing about the dependency's present state.
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

    /// Opens the breaker. The open time is spread at random: servers that saw the dependency fail at the same
    /// time must not all probe it at the same time.
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

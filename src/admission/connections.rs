//! Callers' connections: which callers have one already, and how long idle connections stay open.

use super::*;

/// Share of arrivals from returning callers above which more connections are kept open.
const MIN_RETURNING_SHARE: f64 = 0.75;

#[derive(Default)]
pub struct Connections {
    /// The time of the latest arrival of each caller seen within the longest idle timeout.
    pub caller_last_seen: BTreeMap<u64, Micros>,
    /// Share of arrivals from callers without an open connection; 0 where connections cost nothing.
    pub new_caller_share: f64,
    /// Share of arrivals from callers seen within the longest idle timeout.
    pub returning_share: f64,
    /// Idle time after which connections are closed.
    pub idle_timeout: Micros,
}

impl Connections {
    /// Counts an arrival of this caller.
    pub fn record_arrival(&mut self, now: Micros, caller: u64, settings: &Settings) {
        let last_seen = self.caller_last_seen.insert(caller, now);
        let was_seen_within = |duration: Micros| last_seen.is_some_and(|seen| seen + duration >= now);
        let is_new = settings.connection_cost > 0.0 && !was_seen_within(self.idle_timeout);
        self.new_caller_share = ewma(self.new_caller_share, f64::from(is_new));
        let is_returning = was_seen_within(settings.idle_timeout_max);
        self.returning_share = ewma(self.returning_share, f64::from(is_returning));
    }

    /// Halves the idle timeout when there are too many open connections and doubles it when there are few.
    /// Returns it if it has changed.
    pub fn adjust_idle_timeout(&mut self, open_connections: f64, settings: &Settings) -> Option<Micros> {
        // Where most callers return within the longest idle timeout, connections that are kept save more
        // handshakes.
        let factor = if self.returning_share > MIN_RETURNING_SHARE { 2.0 } else { 0.5 };
        let max_useful = f64::from(settings.cores) * settings.overload_per_core * factor;
        let timeout = match self.idle_timeout {
            timeout if open_connections < max_useful / 2.0 => timeout * 2,
            // Behind the first tier the callers are the few servers before it, and they always return.
            timeout if open_connections > max_useful && settings.tier == 0 => timeout / 2,
            timeout => timeout,
        };
        let timeout = timeout.max(CONTROL_INTERVAL).min(settings.idle_timeout_max);
        let previous = std::mem::replace(&mut self.idle_timeout, timeout);
        (timeout != previous).then_some(timeout)
    }
}

//! Callers' connections: who has one already, and how long idle ones stay open.

use super::*;

const MIN_RETURNING_SHARE: f64 = 0.75; // above it connections stay open for longer

#[derive(Default)]
pub struct Connections {
    pub caller_last_seen: BTreeMap<u64, Micros>,
    pub new_caller_share: f64, // of arrivals: from callers without an open connection
    pub returning_share: f64,  // of arrivals: from callers seen within the longest idle timeout
    pub idle_timeout: Micros,
}

impl Connections {
    pub fn record_arrival(&mut self, now: Micros, caller: u64, settings: &Settings) {
        let last_seen = self.caller_last_seen.insert(caller, now);
        let was_seen_within = |span: Micros| last_seen.is_some_and(|seen| seen + span >= now);
        let is_new = settings.connection_cost > 0.0 && !was_seen_within(self.idle_timeout);
        self.new_caller_share = ewma(self.new_caller_share, f64::from(is_new));
        let is_returning = was_seen_within(settings.idle_timeout_max);
        self.returning_share = ewma(self.returning_share, f64::from(is_returning));
    }

    /// A changed timeout: halved when open connections take too many places, doubled when there are few.
    pub fn adjust_idle_timeout(&mut self, open: f64, settings: &Settings) -> Option<Micros> {
        // Where most callers return before their connections would end, each one kept saves more.
        let factor = if self.returning_share > MIN_RETURNING_SHARE { 2.0 } else { 0.5 };
        let useful = f64::from(settings.cores) * settings.overload_per_core * factor;
        let timeout = match self.idle_timeout {
            timeout if open < useful / 2.0 => timeout * 2,
            // Behind the first tier the callers are the few servers before it, and they always return.
            timeout if open > useful && settings.tier == 0 => timeout / 2,
            timeout => timeout,
        };
        let timeout = timeout.max(CONTROL_INTERVAL).min(settings.idle_timeout_max);
        let previous = std::mem::replace(&mut self.idle_timeout, timeout);
        (timeout != previous).then_some(timeout)
    }
}

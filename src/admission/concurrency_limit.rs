//! The concurrency limit: how many requests may run at once.

use super::*;

/// CPU use, as a share of all cores, under which free cores are filled (SWDS).
const BUSY_CPU_SHARE: f64 = 0.8;

/// Finds the limit by hill climbing on completions per control interval. Free cores are filled at once
/// (SWDS).
#[derive(Default)]
pub struct ConcurrencyLimit {
    /// The limit: how many requests may run at once.
    pub slots: usize,
    /// The next change of the limit while it climbs: 1 or -1.
    pub step: isize,
    /// Runs that ended with a success or an error in this control interval.
    pub completions: u32,
    /// The completions of the previous control interval; 0 if cores were free in it.
    pub previous_completions: f64,
    /// Mean number of tasks that want a core.
    pub core_demand: f64,
}

impl ConcurrencyLimit {
    /// The number of running requests that the server survives, which is lower while it is warming up.
    pub fn survivable(settings: &Settings, uptime: Micros) -> f64 {
        let warmed_up = uptime as f64 / settings.warm_up_time.max(1) as f64;
        let warmed_up = if settings.starts_cold { warmed_up.min(1.0) } else { 1.0 };
        let speed = settings.warm_up_initial_speed + (1.0 - settings.warm_up_initial_speed) * warmed_up;
        f64::from(settings.cores) * (1.0 + (settings.overload_per_core - 1.0) * speed)
    }

    /// Adjusts the limit at the end of a control interval. It stays between the number of cores and the safe
    /// share of what the server survives.
    pub fn adjust(&mut self, gauges: Gauges, running: usize, uptime: Micros, settings: &Settings) {
        let (cores, core_count) = (settings.cores as usize, f64::from(settings.cores));
        let max_slots = ((ConcurrencyLimit::survivable(settings, uptime) * SAFE_SHARE) as usize).max(cores);
        // The CPU gauge shows the past. No core is free where core demand, in the mean or now, exceeds the
        // cores.
        let excess = self.core_demand - core_count;
        let is_overloaded =
            excess > 0.0 || gauges.core_demand.is_some_and(|core_demand| core_demand > core_count);
        let completions = f64::from(std::mem::take(&mut self.completions));
        if gauges.cpu.unwrap_or(1.0) < BUSY_CPU_SHARE && !is_overloaded {
            (self.slots, self.step, self.previous_completions) = (running + cores, -1, 0.0);
        } else {
            self.climb(completions, excess);
        }
        self.slots = self.slots.clamp(cores, max_slots);
    }

    /// One step of hill climbing; `excess` is the mean core demand above the number of cores.
    fn climb(&mut self, completions: f64, excess: f64) {
        // Counts differ by chance: a difference within their standard deviation is no change.
        let noise = (self.previous_completions + completions).sqrt();
        let got_worse = completions < self.previous_completions - noise;
        self.step = if got_worse { -self.step } else { self.step };
        // Under excess core demand completions depend on other work too: only twice that difference is
        // significant.
        let significance_threshold = if excess > 0.0 { 2.0 * noise } else { noise };
        if (completions - self.previous_completions).abs() > significance_threshold {
            self.slots = self.slots.saturating_add_signed(self.step);
        } else if excess > 0.0 {
            // Completions are flat under overload: slots that were added while cores were free only add
            // contention, which the counts don't show.
            self.slots = self.slots.saturating_sub((excess / 4.0).max(1.0) as usize);
        }
        self.previous_completions = completions;
    }
}

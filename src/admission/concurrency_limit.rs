//! The concurrency limit: how many requests may run at once.

use super::*;

const BUSY_CPU: f64 = 0.8; // under this use free cores are filled (SWDS)

/// Hill climbing on completions per interval; where cores are free they are filled at once (SWDS).
#[derive(Default)]
pub struct ConcurrencyLimit {
    pub slots: usize,
    pub step: isize,
    pub completions: u32,
    pub previous_completions: f64,
    pub core_demand: f64, // mean of what wants a core
}

impl ConcurrencyLimit {
    /// Running requests that a server survives: fewer while it is warming up.
    pub fn survivable(settings: &Settings, uptime: Micros) -> f64 {
        let warmed_up = uptime as f64 / settings.warm_up_time.max(1) as f64;
        let warmed_up = if settings.starts_cold { warmed_up.min(1.0) } else { 1.0 };
        let speed = settings.warm_up_initial_speed + (1.0 - settings.warm_up_initial_speed) * warmed_up;
        f64::from(settings.cores) * (1.0 + (settings.overload_per_core - 1.0) * speed)
    }

    pub fn adjust(&mut self, gauges: Gauges, running: usize, uptime: Micros, settings: &Settings) {
        let (cores, core_count) = (settings.cores as usize, f64::from(settings.cores));
        let most = ((ConcurrencyLimit::survivable(settings, uptime) * SAFE_SHARE) as usize).max(cores);
        // The gauge looks back: where more wants a core than there are, in the mean or now, none is free.
        let excess = self.core_demand - core_count;
        let is_taken = excess > 0.0 || gauges.core_demand.is_some_and(|core_demand| core_demand > core_count);
        let completions = f64::from(std::mem::take(&mut self.completions));
        if gauges.cpu.unwrap_or(1.0) < BUSY_CPU && !is_taken {
            (self.slots, self.step, self.previous_completions) = (running + cores, -1, 0.0);
        } else {
            self.climb(completions, excess);
        }
        self.slots = self.slots.clamp(cores, most);
    }

    fn climb(&mut self, completions: f64, excess: f64) {
        // Counts differ by chance: less than their spread is flat.
        let noise = (self.previous_completions + completions).sqrt();
        let got_worse = completions < self.previous_completions - noise;
        self.step = if got_worse { -self.step } else { self.step };
        // Where cores are in demand counts follow other work too: only what is well beyond chance shows.
        let significant = if excess > 0.0 { 2.0 * noise } else { noise };
        if (completions - self.previous_completions).abs() > significant {
            self.slots = self.slots.saturating_add_signed(self.step);
        } else if excess > 0.0 {
            // Flat, yet overloaded: slots added while cores were free get in the way. Counts don't show it.
            self.slots = self.slots.saturating_sub((excess / 4.0).max(1.0) as usize);
        }
        self.previous_completions = completions;
    }
}

//! Tenant quotas: how much of its quota each tenant has used at this server.

use super::*;

const RATE_WINDOW: f64 = 10e6; // time constant of rates, in microseconds
const QUOTA_SLACK: f64 = 1.25; // of its share a tenant may use, as shares are uneven

#[derive(Default)]
pub struct TenantRates {
    pub rates: Vec<TenantRate>, // in the order of the settings
    pub median_use: f64,
}

#[derive(Clone, Default)]
pub struct TenantRate {
    starts_per_s: f64,
    updated_at: Micros,
}

impl TenantRate {
    fn at(&self, now: Micros) -> f64 {
        self.starts_per_s * (-((now - self.updated_at) as f64) / RATE_WINDOW).exp()
    }
}

impl TenantRates {
    pub fn record_start(&mut self, now: Micros, tenant: usize) {
        let Some(rate) = self.rates.get_mut(tenant) else { return };
        *rate = TenantRate { starts_per_s: rate.at(now) + 1e6 / RATE_WINDOW, updated_at: now };
    }

    /// What a tenant has used here, as a multiple of this server's share of its quota.
    fn quota_use(&self, now: Micros, tenant: usize, settings: &Settings) -> Option<f64> {
        let (quota, rate) = (settings.tenants.get(tenant)?.quota_per_s, self.rates.get(tenant)?.at(now));
        Some(rate * f64::from(settings.servers) / quota.max(1e-9))
    }

    pub fn update_median(&mut self, now: Micros, settings: &Settings) {
        let quota_use = |tenant| self.quota_use(now, tenant, settings);
        let mut uses: Vec<f64> = (0..self.rates.len()).filter_map(quota_use).collect();
        uses.sort_by(f64::total_cmp);
        self.median_use = uses.get(uses.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
    }

    /// A server that draws more than its share of all traffic compares each tenant with the median one.
    pub fn is_over_quota(&self, now: Micros, tenant: usize, settings: &Settings) -> bool {
        let limit = QUOTA_SLACK * self.median_use.max(1.0);
        self.quota_use(now, tenant, settings).is_some_and(|used| used > limit)
    }
}

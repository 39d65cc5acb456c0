//! Tenant quotas: how much of its quota each tenant has used at this server.

use super::*;

/// Time constant, in microseconds, with which the rates of starts decay.
const RATE_WINDOW_US: f64 = 10e6;
/// Multiple of its quota share that a tenant may use, as its requests spread unevenly over the servers.
const QUOTA_SLACK: f64 = 1.25;

#[derive(Default)]
pub struct TenantRates {
    /// One rate for each tenant, in the order of the settings.
    pub rates: Vec<TenantRate>,
    /// Quota use of the median tenant at the latest adjustment, as a multiple of this server's share.
    pub median_use: f64,
}

#[derive(Clone, Default)]
pub struct TenantRate {
    starts_per_s: f64,
    updated_at: Micros,
}

impl TenantRate {
    fn starts_per_s_at(&self, now: Micros) -> f64 {
        self.starts_per_s * (-((now - self.updated_at) as f64) / RATE_WINDOW_US).exp()
    }
}

impl TenantRates {
    /// Counts a request of this tenant that starts now.
    pub fn record_start(&mut self, now: Micros, tenant: usize) {
        let Some(rate) = self.rates.get_mut(tenant) else { return };
        *rate =
            TenantRate { starts_per_s: rate.starts_per_s_at(now) + 1e6 / RATE_WINDOW_US, updated_at: now };
    }

    /// The tenant's rate of starts here, as a multiple of this server's share of its quota.
    fn quota_use(&self, now: Micros, tenant: usize, settings: &Settings) -> Option<f64> {
        let (quota, rate) =
            (settings.tenants.get(tenant)?.quota_per_s, self.rates.get(tenant)?.starts_per_s_at(now));
        Some(rate * f64::from(settings.servers) / quota.max(1e-9))
    }

    /// Updates the quota use of the median tenant.
    pub fn update_median(&mut self, now: Micros, settings: &Settings) {
        let quota_use = |tenant| self.quota_use(now, tenant, settings);
        let mut uses: Vec<f64> = (0..self.rates.len()).filter_map(quota_use).collect();
        uses.sort_by(f64::total_cmp);
        self.median_use = uses.get(uses.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
    }

    /// Whether a tenant has used more than its quota share and the slack. On a server that gets more than its
    /// share of all traffic, each tenant is compared with the median tenant instead of its own share.
    pub fn is_over_quota(&self, now: Micros, tenant: usize, settings: &Settings) -> bool {
        let limit = QUOTA_SLACK * self.median_use.max(1.0);
        self.quota_use(now, tenant, settings).is_some_and(|quota_use| quota_use > limit)
    }
}

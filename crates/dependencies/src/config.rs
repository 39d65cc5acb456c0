//! What the operator configures about dependencies and call plans.

mod validation;

use umberloom::interface::Micros;

pub use validation::{ConfigError, ConfigLocation};

/// One millisecond, in the unit of all times here.
const MS: Micros = 1_000;

/// All dependencies and plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The services that requests depend on.
    pub dependencies: Vec<DependencyConfig>,
    /// The calls that requests of each class make.
    pub plans: Vec<PlanConfig>,
    /// Bounds on cached results.
    pub fallback_cache: FallbackCacheLimits,
}

/// One service, behind one or more endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct DependencyConfig {
    /// Its name, different from all others.
    pub name: String,
    /// Addresses of its endpoints. Here they are only names.
    pub endpoints: Vec<String>,
    /// A call may take effect more than once, so that an attempt that may have run is retried.
    pub idempotent: bool,
    /// Retries of a call.
    pub retry: RetryPolicy,
    /// When a slow call gets a hedged request; only for idempotent calls.
    pub hedge: Option<HedgePolicy>,
    /// Bounds on calls in flight.
    pub concurrency_limit: LimitBounds,
    /// Bounds on calls in flight at one endpoint.
    pub endpoint_concurrency_limit: LimitBounds,
    /// What the dependency survives from all servers together; this server's part of it is a ceiling on its limit.
    pub capacity: Option<SharedCapacity>,
    /// When calls stop for a while; `None`: never.
    pub breaker: Option<BreakerConfig>,
    /// How endpoints are chosen and ejected.
    pub load_balancing: LoadBalancerConfig,
    /// What stands in for a missing result, in this order.
    pub fallbacks: Vec<Fallback>,
}

impl DependencyConfig {
    /// A dependency with this name and these endpoints, and defaults for all else.
    pub fn new(name: &str, endpoints: &[&str]) -> DependencyConfig {
        let default_limit = LimitBounds { initial: 8, min: 1, max: 64 };
        DependencyConfig {
            name: name.to_owned(),
            endpoints: endpoints.iter().map(|&e| e.to_owned()).collect(),
            idempotent: false,
            retry: RetryPolicy::default(),
            hedge: None,
            concurrency_limit: default_limit,
            endpoint_concurrency_limit: default_limit,
            capacity: None,
            breaker: Some(BreakerConfig::default()),
            load_balancing: LoadBalancerConfig::default(),
            fallbacks: Vec::new(),
        }
    }

    /// The most calls in flight that this server is allowed.
    pub fn concurrency_ceiling(&self) -> usize {
        let capacity_share = self.capacity.map_or(f64::MAX, SharedCapacity::per_server);
        self.concurrency_limit.max.min(capacity_share.max(1.0) as usize)
    }
}

/// Concurrent calls that a dependency survives, and how many servers share them equally. One server stands for all
/// where they share by quota leases, which [`crate::Engine::set_concurrency_cap`] brings in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedCapacity {
    /// Concurrent calls from all servers.
    pub calls: f64,
    /// The number of servers.
    pub servers: u32,
}

impl SharedCapacity {
    fn per_server(self) -> f64 {
        self.calls / f64::from(self.servers.max(1))
    }
}

/// Retries of a call, out of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Attempts that may follow the first one.
    pub max_retries: u32,
    /// Retries for each first attempt, over all calls.
    pub budget_ratio: f64,
    /// Retries that can be saved up.
    pub budget_burst: f64,
    /// Mean wait before the first retry, in microseconds; it doubles with each.
    pub base_backoff: Micros,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy { max_retries: 2, budget_ratio: 0.1, budget_burst: 10.0, base_backoff: 10 * MS }
    }
}

/// When a hedged request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgePolicy {
    /// Once the call has taken longer than this share of calls.
    pub quantile: f64,
    /// But not sooner than this, in microseconds.
    pub min_delay: Micros,
}

/// Bounds of an adaptive concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Where it starts.
    pub initial: usize,
    /// It never falls below this.
    pub min: usize,
    /// It never rises above this.
    pub max: usize,
}

/// When the circuit breaker of a dependency opens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// Share of failed calls at which it opens.
    pub failure_ratio: f64,
    /// The number of last calls that the share is taken of.
    pub window_calls: u32,
    /// How long it stays open at first, in microseconds.
    pub open_time: Micros,
}

impl Default for BreakerConfig {
    fn default() -> BreakerConfig {
        BreakerConfig { failure_ratio: 0.5, window_calls: 20, open_time: 1_000 * MS }
    }
}

/// How endpoints are chosen, ejected and taken back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBalancerConfig {
    /// Failures in a row after which an endpoint is ejected.
    pub consecutive_failures: u32,
    /// An endpoint is ejected when it takes this many times the median latency of the others.
    pub latency_factor: f64,
    /// How long it is ejected at first, in microseconds.
    pub base_ejection_time: Micros,
    /// Share of the endpoints that may be ejected at once.
    pub max_ejected_share: f64,
    /// Time over which an endpoint that comes back gets its full weight again, in microseconds.
    pub recovery_ramp: Micros,
    /// Servers that call the same endpoints, this one included; probes are spread by it. It comes from the platform's
    /// settings, not from the operator's file.
    pub servers: u32,
}

impl Default for LoadBalancerConfig {
    fn default() -> LoadBalancerConfig {
        LoadBalancerConfig {
            consecutive_failures: 5,
            latency_factor: 5.0,
            base_ejection_time: 1_000 * MS,
            max_ejected_share: 0.5,
            recovery_ramp: 5_000 * MS,
            servers: 1,
        }
    }
}

/// What stands in for a missing result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// An earlier result about the same resource, no older than this in microseconds.
    Cached(Micros),
    /// Always the same.
    Constant(Vec<u8>),
    /// Nothing; the response says why the part is missing.
    Omit,
}

/// Bounds on cached results, over all dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FallbackCacheLimits {
    /// Results.
    pub max_entries: usize,
    /// Bytes, keys included.
    pub max_bytes: usize,
}

impl Default for FallbackCacheLimits {
    fn default() -> FallbackCacheLimits {
        FallbackCacheLimits { max_entries: 4_096, max_bytes: 1 << 20 }
    }
}

/// The calls that a request of one class makes.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanConfig {
    /// Name of the class.
    pub class: String,
    /// One after the other.
    pub stages: Vec<StageConfig>,
}

/// Calls that are made side by side.
#[derive(Clone, Debug, PartialEq)]
pub struct StageConfig {
    /// Its weight among the stages that are left when it starts.
    pub weight: f64,
    /// With less time than this, in microseconds, it is not begun.
    pub min_time: Micros,
    /// More time than this, in microseconds, it never gets.
    pub max_time: Micros,
    /// The calls.
    pub calls: Vec<CallConfig>,
}

/// One call of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallConfig {
    /// Name of the dependency.
    pub dependency: String,
    /// Without it the request fails; without an optional one the response is partial.
    pub required: bool,
}

#[cfg(test)]
mod tests;

//! Configuration of dependencies and call plans by the operator.

mod validation;

use umberloom::interface::Micros;

pub use validation::{ConfigError, ConfigLocation};

/// One millisecond, in microseconds as all times of the configuration.
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
    /// Unique name of the dependency.
    pub name: String,
    /// Addresses of the endpoints. This package does not interpret them.
    pub endpoints: Vec<String>,
    /// Whether a call may safely run more than once, so that an attempt that may have run can be retried.
    pub idempotent: bool,
    /// Policy for retries of calls.
    pub retry: RetryPolicy,
    /// When a slow call gets a hedged request, for idempotent calls only; `None` if never.
    pub hedge: Option<HedgePolicy>,
    /// Bounds on calls in flight.
    pub concurrency_limit: LimitBounds,
    /// Bounds on calls in flight at one endpoint.
    pub endpoint_concurrency_limit: LimitBounds,
    /// Capacity of the dependency for calls from all servers together. This server's share is a ceiling on
    /// its concurrency limit; `None` if only `concurrency_limit` applies.
    pub capacity: Option<SharedCapacity>,
    /// Configuration of the circuit breaker; `None` if there is none.
    pub breaker: Option<BreakerConfig>,
    /// How endpoints are chosen and ejected.
    pub load_balancing: LoadBalancerConfig,
    /// Fallbacks for a missing result, in the order in which they are tried.
    pub fallbacks: Vec<Fallback>,
}

impl DependencyConfig {
    /// Creates a configuration with this name and these endpoints, and defaults for everything else.
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

    /// Returns the maximum number of calls in flight from this server.
    pub fn concurrency_ceiling(&self) -> usize {
        let capacity_share = self.capacity.map_or(f64::MAX, SharedCapacity::per_server);
        self.concurrency_limit.max.min(capacity_share.max(1.0) as usize)
    }
}

/// Number of concurrent calls that a dependency can handle, shared equally by a number of servers. If the
/// servers share it by quota leases, `servers` is 1 and each server's share is applied by
/// [`crate::Engine::set_concurrency_cap`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedCapacity {
    /// Number of concurrent calls from all servers together.
    pub calls: f64,
    /// Number of servers that share the capacity.
    pub servers: u32,
}

impl SharedCapacity {
    fn per_server(self) -> f64 {
        self.calls / f64::from(self.servers.max(1))
    }
}

/// Policy for retries of calls, which are limited by a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Maximum number of retries of one call.
    pub max_retries: u32,
    /// Number of retries that each first attempt adds to the budget, from 0 to 1.
    pub budget_ratio: f64,
    /// Maximum number of retries that the budget can accumulate.
    pub budget_burst: f64,
    /// Mean wait before the first retry, in microseconds; it doubles with each further retry.
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
    /// Quantile of the recent latencies after which the hedged request is sent, from 0.5 to below 1.
    pub quantile: f64,
    /// Minimum delay before the hedged request, in microseconds.
    pub min_delay: Micros,
}

/// Bounds of an adaptive concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Initial value of the limit.
    pub initial: usize,
    /// Minimum value of the limit.
    pub min: usize,
    /// Maximum value of the limit.
    pub max: usize,
}

/// When the circuit breaker of a dependency opens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// Share of failed calls at which the breaker opens.
    pub failure_ratio: f64,
    /// Number of last calls over which the share is computed.
    pub window_calls: u32,
    /// Time for which the breaker first stays open, in microseconds; it doubles with each failed probe.
    pub open_time: Micros,
}

impl Default for BreakerConfig {
    fn default() -> BreakerConfig {
        BreakerConfig { failure_ratio: 0.5, window_calls: 20, open_time: 1_000 * MS }
    }
}

/// How endpoints are ejected and readmitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBalancerConfig {
    /// Number of failures in a row after which an endpoint is ejected.
    pub consecutive_failures: u32,
    /// Factor by which the latency of an endpoint must exceed the median of the others for it to be ejected.
    pub latency_factor: f64,
    /// Time for which an endpoint is first ejected, in microseconds; it doubles with further ejections in a
    /// row.
    pub base_ejection_time: Micros,
    /// Maximum share of the endpoints that may be ejected at the same time.
    pub max_ejected_share: f64,
    /// Time until a readmitted endpoint has its full weight again, in microseconds.
    pub recovery_ramp: Micros,
    /// Number of servers that call the same endpoints, this one included, by which probes are spread. It
    /// comes from the platform's settings, not from the operator's file.
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

/// Fallback for a missing result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// A cached result for the same resource that is no older than this, in microseconds.
    Cached(Micros),
    /// A constant body.
    Constant(Vec<u8>),
    /// No body; the response says why the part is missing.
    Omit,
}

/// Bounds on cached results, over all dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FallbackCacheLimits {
    /// Maximum number of results.
    pub max_entries: usize,
    /// Maximum size of all results in bytes, including their keys and overhead.
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
    /// Stages of the plan, which run one after the other.
    pub stages: Vec<StageConfig>,
}

/// A stage of a plan, whose calls are made in parallel.
#[derive(Clone, Debug, PartialEq)]
pub struct StageConfig {
    /// Weight of the stage among the stages that remain when it starts.
    pub weight: f64,
    /// Minimum time for the stage, in microseconds; it is not started with less.
    pub min_time: Micros,
    /// Maximum time for the stage, in microseconds.
    pub max_time: Micros,
    /// Calls of the stage.
    pub calls: Vec<CallConfig>,
}

/// One call of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallConfig {
    /// Name of the dependency.
    pub dependency: String,
    /// Whether the request fails without a result of this call. If an optional call has no result, the
    /// response is partial.
    pub required: bool,
}

#[cfg(test)]
mod tests;

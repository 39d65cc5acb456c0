//! Validation of the configuration.

use std::collections::BTreeSet;

use super::{
    BreakerConfig, Config, DependencyConfig, Fallback, HedgePolicy, LoadBalancerConfig, PlanConfig,
    StageConfig, MS,
};

/// Maximum number of dependencies, of endpoints of a dependency, of stages of a plan and of calls of a stage.
/// It is enough for any site, and few enough for the linear searches of the engine.
const MAX_NAMED_ITEMS: usize = 64;
/// Maximum length of a constant in bytes; the same as for a reply.
const MAX_CONSTANT_BYTES: usize = 4 * 1024;
/// Maximum number of results that may be configured for the fallback cache.
const MAX_CACHE_ENTRIES: usize = 1 << 20;
/// Maximum number of retries that may be configured for one call.
const MAX_RETRIES: u32 = 10;

/// Location of an error in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigLocation {
    /// In the limits of the fallback cache.
    FallbackCache,
    /// In the dependency at this index.
    Dependency {
        /// Index of the dependency.
        dependency: usize,
    },
    /// In a plan.
    Plan {
        /// Index of the plan.
        plan: usize,
    },
    /// In a stage of a plan.
    Stage {
        /// Index of the plan.
        plan: usize,
        /// Index of the stage in the plan.
        stage: usize,
    },
    /// In a call of a stage of a plan.
    Call {
        /// Index of the plan.
        plan: usize,
        /// Index of the stage in the plan.
        stage: usize,
        /// Index of the call in the stage.
        call: usize,
    },
}

/// An error in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct ConfigError {
    /// Where the error is.
    pub location: ConfigLocation,
    /// What was found and what was expected.
    pub reason: String,
}

impl Config {
    /// Returns all errors: first those of the fallback cache, then of the dependencies, then of the plans.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        if self.fallback_cache.max_entries > MAX_CACHE_ENTRIES {
            let found = self.fallback_cache.max_entries;
            errors.push(ConfigError {
                location: ConfigLocation::FallbackCache,
                reason: format!("{found} kept results, at most {MAX_CACHE_ENTRIES}"),
            });
        }
        let names = self.validate_dependencies(&mut errors);
        self.validate_plans(&names, &mut errors);
        errors
    }

    /// Validates the dependencies and returns their names.
    fn validate_dependencies(&self, errors: &mut Vec<ConfigError>) -> BTreeSet<&str> {
        let mut names = BTreeSet::new();
        for (index, dependency) in self.dependencies.iter().enumerate() {
            let location = ConfigLocation::Dependency { dependency: index };
            let mut report = |reason: String| errors.push(ConfigError { location, reason });
            if !names.insert(dependency.name.as_str()) {
                report(format!("a second dependency {:?}; each has a name of its own", dependency.name));
            }
            dependency.validate(&mut report);
        }
        let count = self.dependencies.len();
        if count > MAX_NAMED_ITEMS {
            errors.push(ConfigError {
                location: ConfigLocation::Dependency { dependency: MAX_NAMED_ITEMS },
                reason: format!("{count} dependencies, at most {MAX_NAMED_ITEMS}"),
            });
        }
        names
    }

    fn validate_plans(&self, names: &BTreeSet<&str>, errors: &mut Vec<ConfigError>) {
        let mut classes = BTreeSet::new();
        for (index, plan) in self.plans.iter().enumerate() {
            if !classes.insert(plan.class.as_str()) {
                errors.push(ConfigError {
                    location: ConfigLocation::Plan { plan: index },
                    reason: format!("a second plan for the class {:?}", plan.class),
                });
            }
            plan.validate(index, names, errors);
        }
    }
}

impl DependencyConfig {
    fn validate(&self, report: &mut impl FnMut(String)) {
        if self.name.is_empty() || self.name.len() > 64 {
            report("a name of 1 to 64 bytes is expected".to_owned());
        }
        self.validate_endpoints(report);
        self.validate_attempts(report);
        self.validate_limits(report);
        if !self.breaker.is_none_or(BreakerConfig::is_valid) {
            report(
                "the breaker opens at a failure share over 0 and up to 1, of the last 1 to 1000 calls"
                    .to_owned(),
            );
        }
        if !self.load_balancing.is_valid() {
            report(
                "endpoints are ejected at 1 or more failures or a lag over 1, a share from 0 to 1 at most"
                    .to_owned(),
            );
        }
        self.validate_fallbacks(report);
    }

    fn validate_endpoints(&self, report: &mut impl FnMut(String)) {
        let count = self.endpoints.len();
        if count == 0 || count > MAX_NAMED_ITEMS {
            report(format!("{count} endpoints, 1 to {MAX_NAMED_ITEMS} are expected"));
        }
        let distinct: BTreeSet<&String> = self.endpoints.iter().collect();
        if distinct.len() < count {
            report("an endpoint is named twice".to_owned());
        }
    }

    fn validate_attempts(&self, report: &mut impl FnMut(String)) {
        let retry = self.retry;
        if !(0.0..=1.0).contains(&retry.budget_ratio) || !(0.0..=1_000.0).contains(&retry.budget_burst) {
            report("the retry budget is a share from 0 to 1, with a burst from 0 to 1000".to_owned());
        }
        if retry.max_retries > MAX_RETRIES {
            report(format!("{} further attempts, at most {MAX_RETRIES}", retry.max_retries));
        }
        let Some(HedgePolicy { quantile, .. }) = self.hedge else { return };
        if !(0.5..1.0).contains(&quantile) {
            report(format!("a hedge after the quantile {quantile}, from 0.5 to under 1 is expected"));
        }
        if !self.idempotent {
            report("a hedge makes a call twice: the dependency must be declared safe to repeat".to_owned());
        }
    }

    fn validate_limits(&self, report: &mut impl FnMut(String)) {
        for bounds in [self.concurrency_limit, self.endpoint_concurrency_limit] {
            if bounds.min == 0 || bounds.min > bounds.initial || bounds.initial > bounds.max {
                report(format!(
                    "a limit from {} over {} to {}: the least is over 0, and none is over the next",
                    bounds.min, bounds.initial, bounds.max
                ));
            }
        }
        let Some(capacity) = self.capacity else { return };
        if !capacity.calls.is_finite() || capacity.calls < 1.0 || capacity.servers == 0 {
            report(
                "the calls that a dependency survives must be 1 or more, shared by 1 or more servers"
                    .to_owned(),
            );
        }
    }

    fn validate_fallbacks(&self, report: &mut impl FnMut(String)) {
        let is_too_long = |fallback: &Fallback| matches!(fallback, Fallback::Constant(body) if body.len() > MAX_CONSTANT_BYTES);
        if self.fallbacks.iter().any(is_too_long) {
            report(format!("a constant of more than {MAX_CONSTANT_BYTES} bytes"));
        }
        let last_used = self.fallbacks.iter().position(|f| !matches!(f, Fallback::Cached(_)));
        if last_used.is_some_and(|last| last + 1 < self.fallbacks.len()) {
            report("a fallback after a constant or a part left out is never used".to_owned());
        }
    }
}

impl BreakerConfig {
    fn is_valid(self) -> bool {
        let is_share = self.failure_ratio > 0.0 && self.failure_ratio <= 1.0;
        is_share && (1..=1_000).contains(&self.window_calls)
    }
}

impl LoadBalancerConfig {
    fn is_valid(&self) -> bool {
        // The comparisons are written so that NaN is invalid.
        self.consecutive_failures > 0
            && self.latency_factor > 1.0
            && (0.0..=1.0).contains(&self.max_ejected_share)
    }
}

impl PlanConfig {
    fn validate(&self, plan: usize, names: &BTreeSet<&str>, errors: &mut Vec<ConfigError>) {
        if self.stages.is_empty() || self.stages.len() > MAX_NAMED_ITEMS {
            errors.push(ConfigError {
                location: ConfigLocation::Plan { plan },
                reason: format!("{} stages, 1 to {MAX_NAMED_ITEMS} are expected", self.stages.len()),
            });
        }
        let mut called = BTreeSet::new();
        for (stage_index, stage) in self.stages.iter().enumerate() {
            let location = ConfigLocation::Stage { plan, stage: stage_index };
            stage.validate(&mut |reason| errors.push(ConfigError { location, reason }));
            for (call_index, call) in stage.calls.iter().enumerate() {
                let location = ConfigLocation::Call { plan, stage: stage_index, call: call_index };
                let mut report = |reason: String| errors.push(ConfigError { location, reason });
                let name = call.dependency.as_str();
                if !names.contains(name) {
                    report(format!("no dependency is called {name:?}"));
                }
                if !called.insert(name) {
                    report(format!("{name:?} is called a second time in this plan"));
                }
            }
        }
    }
}

impl StageConfig {
    fn validate(&self, report: &mut impl FnMut(String)) {
        if !self.weight.is_finite() || self.weight <= 0.0 {
            report(format!("a share of {}, over 0 is expected", self.weight));
        }
        if self.min_time > self.max_time {
            let (min_ms, max_ms) = (self.min_time / MS, self.max_time / MS);
            report(format!("at least {min_ms} ms and at most {max_ms} ms: the minimum exceeds the maximum"));
        }
        if self.calls.is_empty() || self.calls.len() > MAX_NAMED_ITEMS {
            report(format!("{} calls, 1 to {MAX_NAMED_ITEMS} are expected", self.calls.len()));
        }
    }
}

//! What the operator says about dependencies and plans, and what is wrong with it.

use std::collections::BTreeSet;

use umberloom::interface::Micros;

/// One millisecond, in the unit of all times here.
const MS: Micros = 1_000;

/// All dependencies and plans.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The services that runs depend on.
    pub dependencies: Vec<DependencyConfig>,
    /// What runs of each class ask of them.
    pub plans: Vec<PlanConfig>,
    /// Bounds on kept results.
    pub fallback_cache: FallbackCacheLimits,
}

/// One service, behind one or more endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct DependencyConfig {
    /// Its name, told apart from all others.
    pub name: String,
    /// Addresses of its endpoints. Here they are only names.
    pub endpoints: Vec<String>,
    /// A call may be made again although it may have run.
    pub idempotent: bool,
    /// Further attempts of a call.
    pub retry: RetryPolicy,
    /// When a slow call gets a second copy; only for what is repeatable.
    pub hedge: Option<HedgePolicy>,
    /// Calls in flight.
    pub concurrency_limit: LimitBounds,
    /// Calls in flight at one endpoint.
    pub endpoint_concurrency_limit: LimitBounds,
    /// Calls at once that the dependency survives from all servers, and the number of those servers: one server's
    /// share is a ceiling on its limit. One server stands for all where they share it by loans, which
    /// [`crate::Engine::cap`] brings in.
    pub capacity: Option<(f64, u32)>,
    /// When calls stop for a while; never without.
    pub breaker: Option<BreakerConfig>,
    /// How endpoints are chosen and left out.
    pub load_balancing: LoadBalancerConfig,
    /// What stands in for a reply, in this order.
    pub fallbacks: Vec<Fallback>,
}

impl DependencyConfig {
    /// A dependency with this name and these endpoints, and all else as it is unless set.
    pub fn new(name: &str, endpoints: &[&str]) -> DependencyConfig {
        DependencyConfig {
            name: name.to_owned(),
            endpoints: endpoints.iter().map(|&e| e.to_owned()).collect(),
            idempotent: false,
            retry: RetryPolicy::default(),
            hedge: None,
            concurrency_limit: LimitBounds { initial: 8, min: 1, max: 64 },
            endpoint_concurrency_limit: LimitBounds { initial: 8, min: 1, max: 64 },
            capacity: None,
            breaker: Some(BreakerConfig::default()),
            load_balancing: LoadBalancerConfig::default(),
            fallbacks: Vec::new(),
        }
    }

    /// The most calls in flight that the operator allows this server.
    pub fn concurrency_ceiling(&self) -> usize {
        let share = self.capacity.map_or(f64::MAX, |(calls, servers)| calls / f64::from(servers.max(1)));
        self.concurrency_limit.max.min(share.max(1.0) as usize)
    }
}

/// Further attempts of a call, out of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Attempts that may follow a first one.
    pub max_retries: u32,
    /// Further attempts for each first one, over all calls.
    pub budget_ratio: f64,
    /// Further attempts that can be saved up.
    pub budget_burst: f64,
    /// Mean wait before the first of them; it doubles with each.
    pub base_backoff: Micros,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy { max_retries: 2, budget_ratio: 0.1, budget_burst: 10.0, base_backoff: 10 * MS }
    }
}

/// When a second copy of a call is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgePolicy {
    /// Once the call has taken longer than this share of calls take.
    pub quantile: f64,
    /// But not sooner than this.
    pub min_delay: Micros,
}

/// Bounds of a limit that climbs and falls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Where it starts.
    pub initial: usize,
    /// It never falls below this.
    pub min: usize,
    /// It never climbs above this.
    pub max: usize,
}

/// When a dependency is not called for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// Share of failed calls at which it opens.
    pub failure_ratio: f64,
    /// Calls that are looked back on.
    pub window_calls: u32,
    /// How long it stays open at first.
    pub open_time: Micros,
}

impl Default for BreakerConfig {
    fn default() -> BreakerConfig {
        BreakerConfig { failure_ratio: 0.5, window_calls: 20, open_time: 1_000 * MS }
    }
}

/// How endpoints are chosen and left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBalancerConfig {
    /// Failures in a row after which an endpoint is left out.
    pub consecutive_failures: u32,
    /// It lags when it takes so many times what the middle one of the others takes.
    pub latency_factor: f64,
    /// How long it is left out at first.
    pub base_ejection_time: Micros,
    /// Share of the endpoints that may be out at once.
    pub max_ejected_share: f64,
    /// Time over which one that comes back gets its full share again.
    pub recovery_ramp: Micros,
    /// Servers that route to the same endpoints, this one included: by the platform's settings, not by the operator's file.
    /// Their probes are spread by it.
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

/// What stands in for a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// An earlier reply about the same resource, no older than this.
    Cached(Micros),
    /// Always the same.
    Constant(Vec<u8>),
    /// Nothing; the part is named as left out.
    Omit,
}

/// Bounds on kept results, over all dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FallbackCacheLimits {
    /// Results at most.
    pub max_entries: usize,
    /// Bytes at most, keys included.
    pub max_bytes: usize,
}

impl Default for FallbackCacheLimits {
    fn default() -> FallbackCacheLimits {
        FallbackCacheLimits { max_entries: 4_096, max_bytes: 1 << 20 }
    }
}

/// What a run of one class asks for.
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
    /// With less time than this it is not begun.
    pub min_time: Micros,
    /// More time than this it never gets.
    pub max_time: Micros,
    /// The calls.
    pub calls: Vec<CallConfig>,
}

/// One call of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallConfig {
    /// Name of the dependency.
    pub dependency: String,
    /// Without it the request fails; else the answer is partial.
    pub required: bool,
}

/// Where a mistake is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfigLocation {
    /// In the bounds on kept results.
    FallbackCache,
    /// In the dependency at this place.
    Dependency(usize),
    /// In the plan at this place.
    Plan(usize),
    /// In this stage of a plan.
    Stage(usize, usize),
    /// In this call of a stage of a plan.
    Call(usize, usize, usize),
}

/// One thing that is wrong, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Where.
    pub location: ConfigLocation,
    /// What was found and what was expected.
    pub reason: String,
}

/// The most of anything that is named: enough for any site, and few enough to pass over in a step.
const MAX_NAMED_ITEMS: usize = 64;
/// The longest constant, as the longest reply.
const MAX_CONSTANT_BYTES: usize = 4 * 1024;

impl Config {
    /// All that is wrong with it, in the order of the file.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut found = Vec::new();
        if self.fallback_cache.max_entries > 1 << 20 {
            found.push(ConfigError {
                location: ConfigLocation::FallbackCache,
                reason: format!("{} kept results, at most 1048576", self.fallback_cache.max_entries),
            });
        }
        let mut names = BTreeSet::new();
        for (place, dependency) in self.dependencies.iter().enumerate() {
            let mut say = |what: String| {
                found.push(ConfigError { location: ConfigLocation::Dependency(place), reason: what })
            };
            if !names.insert(dependency.name.as_str()) {
                say(format!("a second dependency {:?}; each has a name of its own", dependency.name));
            }
            dependency.check(&mut say);
        }
        if self.dependencies.len() > MAX_NAMED_ITEMS {
            let what = format!("{} dependencies, at most {MAX_NAMED_ITEMS}", self.dependencies.len());
            found.push(ConfigError { location: ConfigLocation::Dependency(MAX_NAMED_ITEMS), reason: what });
        }
        let mut classes = BTreeSet::new();
        for (place, plan) in self.plans.iter().enumerate() {
            if !classes.insert(plan.class.as_str()) {
                let what = format!("a second plan for the class {:?}", plan.class);
                found.push(ConfigError { location: ConfigLocation::Plan(place), reason: what });
            }
            plan.check(place, &names, &mut found);
        }
        found
    }
}

fn is_share(share: f64) -> bool {
    share > 0.0 && share <= 1.0
}

impl DependencyConfig {
    fn check(&self, say: &mut impl FnMut(String)) {
        if self.name.is_empty() || self.name.len() > 64 {
            say("a name of 1 to 64 bytes is expected".to_owned());
        }
        let count = self.endpoints.len();
        if count == 0 || count > MAX_NAMED_ITEMS {
            say(format!("{count} endpoints, 1 to {MAX_NAMED_ITEMS} are expected"));
        }
        let distinct: BTreeSet<&String> = self.endpoints.iter().collect();
        if distinct.len() < count {
            say("an endpoint is named twice".to_owned());
        }
        if !(0.0..=1.0).contains(&self.retry.budget_ratio)
            || !(0.0..=1_000.0).contains(&self.retry.budget_burst)
        {
            say("the retry budget is a share from 0 to 1, with a burst from 0 to 1000".to_owned());
        }
        if self.retry.max_retries > 10 {
            say(format!("{} further attempts, at most 10", self.retry.max_retries));
        }
        if let Some(hedge) = self.hedge {
            if !(0.5..1.0).contains(&hedge.quantile) {
                say(format!(
                    "a hedge after the quantile {}, from 0.5 to under 1 is expected",
                    hedge.quantile
                ));
            }
            if !self.idempotent {
                say("a hedge makes a call twice: the dependency must be declared safe to repeat".to_owned());
            }
        }
        for bounds in [self.concurrency_limit, self.endpoint_concurrency_limit] {
            if bounds.min == 0 || bounds.min > bounds.initial || bounds.initial > bounds.max {
                say(format!(
                    "a limit from {} over {} to {}: the least is over 0, and none is over the next",
                    bounds.min, bounds.initial, bounds.max
                ));
            }
        }
        if self.capacity.is_some_and(|(calls, servers)| !calls.is_finite() || calls < 1.0 || servers == 0) {
            say("what the dependency survives is a number of calls from 1, over one or more servers"
                .to_owned());
        }
        let sound = |b: BreakerConfig| is_share(b.failure_ratio) && (1..=1_000).contains(&b.window_calls);
        if !self.breaker.is_none_or(sound) {
            say("the breaker opens at a share over 0 up to 1, of 1 to 1000 calls".to_owned());
        }
        let LoadBalancerConfig {
            consecutive_failures: failures,
            latency_factor: lag,
            max_ejected_share: out_most,
            ..
        } = self.load_balancing;
        if failures == 0 || lag.is_nan() || lag <= 1.0 || !(0.0..=1.0).contains(&out_most) {
            say("an endpoint is out after 1 failure or more or a lag over 1, and a share from 0 to 1 may be"
                .to_owned());
        }
        if self
            .fallbacks
            .iter()
            .any(|f| matches!(f, Fallback::Constant(text) if text.len() > MAX_CONSTANT_BYTES))
        {
            say(format!("a constant of more than {MAX_CONSTANT_BYTES} bytes"));
        }
        let last = self.fallbacks.iter().position(|f| !matches!(f, Fallback::Cached(_)));
        if last.is_some_and(|last| last + 1 < self.fallbacks.len()) {
            say("what comes behind a constant or a part left out is never reached".to_owned());
        }
    }
}

impl PlanConfig {
    fn check(&self, place: usize, names: &BTreeSet<&str>, found: &mut Vec<ConfigError>) {
        if self.stages.is_empty() || self.stages.len() > MAX_NAMED_ITEMS {
            let what = format!("{} stages, 1 to {MAX_NAMED_ITEMS} are expected", self.stages.len());
            found.push(ConfigError { location: ConfigLocation::Plan(place), reason: what });
        }
        let mut seen = BTreeSet::new();
        for (number, stage) in self.stages.iter().enumerate() {
            let mut say = |what: String| {
                found.push(ConfigError { location: ConfigLocation::Stage(place, number), reason: what })
            };
            if !stage.weight.is_finite() || stage.weight <= 0.0 {
                say(format!("a share of {}, over 0 is expected", stage.weight));
            }
            if stage.min_time > stage.max_time {
                say(format!("at least {} ms and at most {} ms", stage.min_time / MS, stage.max_time / MS));
            }
            if stage.calls.is_empty() || stage.calls.len() > MAX_NAMED_ITEMS {
                say(format!("{} calls, 1 to {MAX_NAMED_ITEMS} are expected", stage.calls.len()));
            }
            for (which, call) in stage.calls.iter().enumerate() {
                let mut say = |what: String| {
                    found.push(ConfigError {
                        location: ConfigLocation::Call(place, number, which),
                        reason: what,
                    })
                };
                let name = call.dependency.as_str();
                if !names.contains(name) {
                    say(format!("no dependency is called {name:?}"));
                }
                if !seen.insert(name) {
                    say(format!("{name:?} is called a second time in this plan"));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sound() -> Config {
        let call = |name: &str, needed| CallConfig { dependency: name.to_owned(), required: needed };
        let stage = |calls| StageConfig { weight: 1.0, min_time: 0, max_time: 1_000_000, calls };
        let stages = vec![stage(vec![call("a", true), call("b", false)])];
        Config {
            dependencies: vec![DependencyConfig::new("a", &["x", "y"]), DependencyConfig::new("b", &["z"])],
            plans: vec![PlanConfig { class: "book".to_owned(), stages }],
            fallback_cache: FallbackCacheLimits::default(),
        }
    }

    #[test]
    fn a_sound_one_has_no_mistakes() {
        assert_eq!(sound().validate(), []);
    }

    #[test]
    fn every_mistake_is_told_with_its_place() {
        type Spoil = fn(&mut Config);
        let cases: [(Spoil, ConfigLocation, &str); 14] = [
            (|c| c.fallback_cache.max_entries = usize::MAX, ConfigLocation::FallbackCache, "kept results"),
            (
                |c| c.dependencies[1].name = "a".to_owned(),
                ConfigLocation::Dependency(1),
                "a second dependency",
            ),
            (|c| c.dependencies[0].endpoints.clear(), ConfigLocation::Dependency(0), "0 endpoints"),
            (|c| c.dependencies[0].endpoints[1] = "x".to_owned(), ConfigLocation::Dependency(0), "twice"),
            (
                |c| c.dependencies[0].retry.budget_ratio = f64::NAN,
                ConfigLocation::Dependency(0),
                "retry budget",
            ),
            (|c| c.dependencies[0].retry.max_retries = 11, ConfigLocation::Dependency(0), "11 further"),
            (
                |c| c.dependencies[1].hedge = Some(HedgePolicy { quantile: 0.9, min_delay: 0 }),
                ConfigLocation::Dependency(1),
                "safe to",
            ),
            (
                |c| c.dependencies[1].concurrency_limit.min = 0,
                ConfigLocation::Dependency(1),
                "a limit from 0",
            ),
            (|c| c.dependencies[1].capacity = Some((0.5, 3)), ConfigLocation::Dependency(1), "survives"),
            (
                |c| {
                    c.dependencies[0].breaker =
                        Some(BreakerConfig { failure_ratio: 0.0, ..BreakerConfig::default() })
                },
                ConfigLocation::Dependency(0),
                "breaker",
            ),
            (
                |c| c.dependencies[0].load_balancing.latency_factor = f64::NAN,
                ConfigLocation::Dependency(0),
                "lag",
            ),
            (|c| c.plans[0].stages[0].weight = 0.0, ConfigLocation::Stage(0, 0), "a share of 0"),
            (|c| c.plans[0].stages[0].min_time = 2_000_000, ConfigLocation::Stage(0, 0), "at least 2000 ms"),
            (
                |c| c.plans[0].stages[0].calls[1].dependency = "c".to_owned(),
                ConfigLocation::Call(0, 0, 1),
                "no dependency",
            ),
        ];
        for (spoil, at, what) in cases {
            let mut config = sound();
            spoil(&mut config);
            let found = config.validate();
            assert!(found.iter().any(|m| m.location == at && m.reason.contains(what)), "{what}: {found:?}");
        }
    }

    #[test]
    fn all_mistakes_come_at_once() {
        let mut config = sound();
        config.dependencies[0].fallbacks = vec![Fallback::Omit, Fallback::Cached(1)];
        config.plans[0].stages[0].calls[1].dependency = "a".to_owned();
        config.plans.push(PlanConfig { class: "book".to_owned(), stages: vec![] });
        let places: Vec<ConfigLocation> = config.validate().iter().map(|m| m.location).collect();
        assert_eq!(
            places,
            [
                ConfigLocation::Dependency(0),
                ConfigLocation::Call(0, 0, 1),
                ConfigLocation::Plan(1),
                ConfigLocation::Plan(1)
            ]
        );
    }

    #[test]
    fn one_servers_share_is_a_ceiling() {
        let mut dependency = DependencyConfig::new("a", &["x"]);
        assert_eq!(dependency.concurrency_ceiling(), 64);
        dependency.capacity = Some((40.0, 10));
        assert_eq!(dependency.concurrency_ceiling(), 4);
        dependency.capacity = Some((4.0, 10));
        assert_eq!(dependency.concurrency_ceiling(), 1);
    }
}

//! The text from which the digests of a server's configuration are computed.
//!
//! Members compare these digests, so servers of different versions must compute them from the same text: the
//! `Debug` form of the types as version 0.2.0 named them. The types here keep those names and are used for
//! nothing else.

use umberloom::interface::{self, Downstream, Idempotency, LoadHintKind};
use umberloom_dependencies::config;
use umberloom_operator_config::Operator;

/// The text of the settings object. The seed and whether the server starts cold differ from process to
/// process: both have a fixed value in the text.
pub fn settings_text(settings: &interface::Settings) -> String {
    format!("{:?}", Settings::from(settings))
}

/// The text of the dependencies, call plans and services of the operator's file.
pub fn dependencies_text(operator: &Operator) -> String {
    format!("{:?}", (Config::from(&operator.dependencies), &operator.services))
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Settings {
    seed: u64,
    cores: u32,
    memory_kb: f64,
    run_factor: f64,
    key_kb: f64,
    cold: bool,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    over_share_worth: f64,
    tier: u32,
    servers: u32,
    callers: u32,
    below: Below,
    call_share: f64,
    call_window: u64,
    call_linger: u64,
    halt: Halt,
    signal: Signal,
    shared_reads: u64,
    advice_max: u64,
    idle_max: u64,
    connect_price: f64,
    answer_slack: u64,
    drain_grace: u64,
    crowd: f64,
    crowd_window: u64,
    cold_from: f64,
    cold_for: u64,
    tick: u64,
}

impl From<&interface::Settings> for Settings {
    fn from(settings: &interface::Settings) -> Settings {
        Settings {
            seed: 0,
            cores: settings.cores,
            memory_kb: settings.memory_kb,
            run_factor: settings.run_memory_factor,
            key_kb: settings.key_kb,
            cold: false,
            classes: settings.classes.iter().map(Class::from).collect(),
            tenants: settings.tenants.iter().map(Tenant::from).collect(),
            over_share_worth: settings.over_quota_weight_share,
            tier: settings.tier,
            servers: settings.servers,
            callers: settings.callers,
            below: settings.downstream.into(),
            call_share: settings.call_quota,
            call_window: settings.call_window,
            call_linger: settings.abandoned_call_lifetime,
            halt: settings.preemption.into(),
            signal: settings.load_hint.into(),
            shared_reads: settings.shared_read_ttl,
            advice_max: settings.retry_after_max,
            idle_max: settings.idle_timeout_max,
            connect_price: settings.connection_cost,
            answer_slack: settings.answer_slack,
            drain_grace: settings.drain_grace,
            crowd: settings.overload_per_core,
            crowd_window: settings.overload_window,
            cold_from: settings.warm_up_initial_speed,
            cold_for: settings.warm_up_time,
            tick: settings.tick,
        }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Class {
    aim: u64,
    aim_stretch: f64,
    deadline: u64,
    worth: f64,
    late_worth: f64,
    effect: Effect,
    window: u64,
    calls: bool,
    skip_worth: f64,
}

impl From<&interface::Class> for Class {
    fn from(class: &interface::Class) -> Class {
        Class {
            aim: class.latency_objective,
            aim_stretch: class.objective_per_cost,
            deadline: class.deadline,
            worth: class.priority_weight,
            late_worth: class.late_weight_share,
            effect: class.idempotency.into(),
            window: class.idempotency_window,
            calls: class.calls_downstream,
            skip_worth: class.degraded_weight_share,
        }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Tenant {
    quota_per_s: f64,
}

impl From<&interface::Tenant> for Tenant {
    fn from(tenant: &interface::Tenant) -> Tenant {
        Tenant { quota_per_s: tenant.quota_per_s }
    }
}

#[derive(Debug)]
enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

impl From<Idempotency> for Effect {
    fn from(idempotency: Idempotency) -> Effect {
        match idempotency {
            Idempotency::Idempotent => Effect::Safe,
            Idempotency::WithKey => Effect::Keyed,
            Idempotency::NotIdempotent => Effect::Unsafe,
        }
    }
}

#[derive(Debug)]
enum Below {
    Nothing,
    Common,
    NextTier,
}

impl From<Downstream> for Below {
    fn from(downstream: Downstream) -> Below {
        match downstream {
            Downstream::None => Below::Nothing,
            Downstream::Shared => Below::Common,
            Downstream::NextTier => Below::NextTier,
        }
    }
}

#[derive(Debug)]
enum Halt {
    Never,
    Drop,
    Pause,
}

impl From<interface::Preemption> for Halt {
    fn from(preemption: interface::Preemption) -> Halt {
        match preemption {
            interface::Preemption::Never => Halt::Never,
            interface::Preemption::Abort => Halt::Drop,
            interface::Preemption::Pause => Halt::Pause,
        }
    }
}

#[derive(Debug)]
enum Signal {
    Silent,
    MinRank,
    Tokens,
    Weight,
}

impl From<LoadHintKind> for Signal {
    fn from(kind: LoadHintKind) -> Signal {
        match kind {
            LoadHintKind::None => Signal::Silent,
            LoadHintKind::MinRank => Signal::MinRank,
            LoadHintKind::Tokens => Signal::Tokens,
            LoadHintKind::Weight => Signal::Weight,
        }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Config<'c> {
    dependencies: Vec<Dependency<'c>>,
    plans: Vec<Plan<'c>>,
    kept: KeptBounds,
}

impl<'c> From<&'c config::Config> for Config<'c> {
    fn from(config: &'c config::Config) -> Config<'c> {
        let cache = &config.fallback_cache;
        Config {
            dependencies: config.dependencies.iter().map(Dependency::from).collect(),
            plans: config.plans.iter().map(Plan::from).collect(),
            kept: KeptBounds { entries: cache.max_entries, bytes: cache.max_bytes },
        }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct KeptBounds {
    entries: usize,
    bytes: usize,
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Dependency<'c> {
    name: &'c str,
    endpoints: &'c [String],
    repeatable: bool,
    retry: Retry,
    hedge: Option<Hedge>,
    limit: Bounds,
    endpoint_limit: Bounds,
    survives: Option<(f64, u32)>,
    breaker: Option<Breaker>,
    route: Route,
    fallbacks: Vec<Fallback<'c>>,
}

impl<'c> From<&'c config::DependencyConfig> for Dependency<'c> {
    fn from(dependency: &'c config::DependencyConfig) -> Dependency<'c> {
        Dependency {
            name: &dependency.name,
            endpoints: &dependency.endpoints,
            repeatable: dependency.idempotent,
            retry: Retry::from(&dependency.retry),
            hedge: dependency.hedge.as_ref().map(Hedge::from),
            limit: Bounds::from(&dependency.concurrency_limit),
            endpoint_limit: Bounds::from(&dependency.endpoint_concurrency_limit),
            survives: dependency.capacity.as_ref().map(|capacity| (capacity.calls, capacity.servers)),
            breaker: dependency.breaker.as_ref().map(Breaker::from),
            route: Route::from(&dependency.load_balancing),
            fallbacks: dependency.fallbacks.iter().map(Fallback::from).collect(),
        }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Retry {
    most: u32,
    share: f64,
    burst: f64,
    back_off: u64,
}

impl From<&config::RetryPolicy> for Retry {
    fn from(policy: &config::RetryPolicy) -> Retry {
        Retry {
            most: policy.max_retries,
            share: policy.budget_ratio,
            burst: policy.budget_burst,
            back_off: policy.base_backoff,
        }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Hedge {
    quantile: f64,
    least: u64,
}

impl From<&config::HedgePolicy> for Hedge {
    fn from(policy: &config::HedgePolicy) -> Hedge {
        Hedge { quantile: policy.quantile, least: policy.min_delay }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Bounds {
    start: usize,
    least: usize,
    most: usize,
}

impl From<&config::LimitBounds> for Bounds {
    fn from(bounds: &config::LimitBounds) -> Bounds {
        Bounds { start: bounds.initial, least: bounds.min, most: bounds.max }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Breaker {
    share: f64,
    calls: u32,
    open: u64,
}

impl From<&config::BreakerConfig> for Breaker {
    fn from(breaker: &config::BreakerConfig) -> Breaker {
        Breaker { share: breaker.failure_ratio, calls: breaker.window_calls, open: breaker.open_time }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Route {
    failures: u32,
    lag: f64,
    out: u64,
    out_most: f64,
    ramp: u64,
    servers: u32,
}

impl From<&config::LoadBalancerConfig> for Route {
    fn from(balancing: &config::LoadBalancerConfig) -> Route {
        Route {
            failures: balancing.consecutive_failures,
            lag: balancing.latency_factor,
            out: balancing.base_ejection_time,
            out_most: balancing.max_ejected_share,
            ramp: balancing.recovery_ramp,
            servers: balancing.servers,
        }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
enum Fallback<'c> {
    Kept(u64),
    Constant(&'c [u8]),
    LeftOut,
}

impl<'c> From<&'c config::Fallback> for Fallback<'c> {
    fn from(fallback: &'c config::Fallback) -> Fallback<'c> {
        match fallback {
            config::Fallback::Cached(max_age) => Fallback::Kept(*max_age),
            config::Fallback::Constant(bytes) => Fallback::Constant(bytes),
            config::Fallback::Omit => Fallback::LeftOut,
        }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Plan<'c> {
    class: &'c str,
    stages: Vec<Stage<'c>>,
}

impl<'c> From<&'c config::PlanConfig> for Plan<'c> {
    fn from(plan: &'c config::PlanConfig) -> Plan<'c> {
        Plan { class: &plan.class, stages: plan.stages.iter().map(Stage::from).collect() }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Stage<'c> {
    share: f64,
    least: u64,
    most: u64,
    calls: Vec<Call<'c>>,
}

impl<'c> From<&'c config::StageConfig> for Stage<'c> {
    fn from(stage: &'c config::StageConfig) -> Stage<'c> {
        let call =
            |call: &'c config::CallConfig| Call { dependency: &call.dependency, needed: call.required };
        Stage {
            share: stage.weight,
            least: stage.min_time,
            most: stage.max_time,
            calls: stage.calls.iter().map(call).collect(),
        }
    }
}

#[derive(Debug)]
#[expect(dead_code, reason = "read by its debug form alone")]
struct Call<'c> {
    dependency: &'c str,
    needed: bool,
}

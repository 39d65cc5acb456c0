//! The nodes `kept`, `dependency` and `plan`.

use std::net::SocketAddr;

use kdl::{KdlDocument, KdlNode};
use umberloom_dependencies::config::{
    BreakerConfig, CallConfig, Config, ConfigLocation, DependencyConfig, Fallback, FallbackCacheLimits,
    HedgePolicy, LimitBounds, LoadBalancerConfig, PlanConfig, RetryPolicy, SharedCapacity, StageConfig,
};

use crate::node::{list, show, Reader};
use crate::{Ajp, Operator, Service, PLATFORM};

/// Path of the platform's records service.
const RECORDS: &str = "/records/op";
/// Endpoints that one node may name.
const ENDPOINTS: usize = 64;
/// The longest share of time for a stage, unless set: a minute.
const LONGEST: u64 = 60_000_000;

/// Where the stages of a plan stand, and the calls in each.
type StagePlaces = Vec<(usize, Vec<usize>)>;

/// Where nodes stand, so that mistakes in what they say together have a place too.
#[derive(Default)]
struct Places {
    kept: usize,
    dependencies: Vec<usize>,
    plans: Vec<(usize, StagePlaces)>,
}

impl Places {
    fn of(&self, at: ConfigLocation) -> usize {
        let plan = |p: usize| self.plans.get(p);
        let stage = |p: usize, s: usize| plan(p).and_then(|(_, stages)| stages.get(s));
        let found = match at {
            ConfigLocation::FallbackCache => Some(self.kept),
            ConfigLocation::Dependency { dependency: d } => {
                self.dependencies.get(d).or(self.dependencies.last()).copied()
            }
            ConfigLocation::Plan { plan: p } => plan(p).map(|(at, _)| *at),
            ConfigLocation::Stage { plan: p, stage: s } => stage(p, s).map(|(at, _)| *at),
            ConfigLocation::Call { plan: p, stage: s, call: c } => {
                stage(p, s).and_then(|(_, calls)| calls.get(c).copied())
            }
        };
        found.unwrap_or(0)
    }
}

pub fn read(reader: &mut Reader, document: &KdlDocument, classes: Option<&[String]>) -> Operator {
    let (mut places, mut config, mut services) = (Places::default(), Config::default(), Vec::new());
    if let Some(node) = reader.one(Some(document), "kept") {
        places.kept = node.span().offset();
        config.fallback_cache = kept(reader, node);
    }
    for node in document.nodes() {
        match node.name().value() {
            "dependency" => {
                let (dependency, service) = dependency(reader, node);
                places.dependencies.push(node.span().offset());
                config.dependencies.push(dependency);
                services.push(service);
            }
            "plan" => {
                let (plan, stages) = plan(reader, node, classes);
                places.plans.push((node.span().offset(), stages));
                config.plans.push(plan);
            }
            _ => {}
        }
    }
    for mistake in config.validate() {
        reader.fault(places.of(mistake.location), mistake.reason);
    }
    Operator { dependencies: config, services, fleet: None }
}

fn kept(reader: &mut Reader, node: &KdlNode) -> FallbackCacheLimits {
    let unless_set = FallbackCacheLimits::default();
    reader.leaf(node);
    let mut from = reader.properties(node);
    let entries = from.whole("entries", unless_set.max_entries as u64, (0, 1 << 20)) as usize;
    let bytes = from.whole("kb", unless_set.max_bytes as u64 / 1_024, (0, 1 << 20)) as usize * 1_024;
    from.done();
    FallbackCacheLimits { max_entries: entries, max_bytes: bytes }
}

fn dependency(reader: &mut Reader, node: &KdlNode) -> (DependencyConfig, Service) {
    let name = reader.text(node, "a name").unwrap_or_default();
    reader.properties(node).with_arguments().done();
    let within = node.children();
    let names = [
        "platform",
        "endpoints",
        "path",
        "transport",
        "safe-to-repeat",
        "retry",
        "hedge",
        "limit",
        "endpoint-limit",
        "survives",
        "breaker",
        "no-breaker",
        "route",
        "fallback",
    ];
    if let Some(within) = within {
        reader.only(within, &names);
    }
    let mut found = DependencyConfig::new(&name, &[]);
    let (addresses, path) = reached(reader, node, within);
    found.endpoints = addresses.iter().map(SocketAddr::to_string).collect();
    if reader.one(within, "platform").is_some() {
        found.endpoints = vec![PLATFORM.to_owned()];
    }
    if let Some(node) = reader.one(within, "safe-to-repeat") {
        found.idempotent = true;
        reader.leaf(node);
        reader.texts(node, 0);
        reader.properties(node).done();
    }
    if let Some(node) = reader.one(within, "retry") {
        found.retry = retry(reader, node);
    }
    if let Some(node) = reader.one(within, "hedge") {
        let mut from = reader.properties(node);
        found.hedge = Some(HedgePolicy {
            quantile: from.number("quantile", 0.95),
            min_delay: from.millis("least-ms", 1_000),
        });
        from.done();
    }
    if let Some(node) = reader.one(within, "limit") {
        found.concurrency_limit = bounds(reader, node, found.concurrency_limit);
    }
    if let Some(node) = reader.one(within, "endpoint-limit") {
        found.endpoint_concurrency_limit = bounds(reader, node, found.endpoint_concurrency_limit);
    }
    if let Some(node) = reader.one(within, "survives") {
        let mut from = reader.properties(node);
        let calls = from.required("calls");
        let servers = from.whole("servers", 1, (1, 1_000_000)) as u32;
        found.capacity = Some(SharedCapacity { calls, servers });
        from.done();
    }
    if let Some(node) = reader.one(within, "breaker") {
        found.breaker = Some(breaker(reader, node));
    }
    if let Some(node) = reader.one(within, "no-breaker") {
        reader.leaf(node);
        if found.breaker != DependencyConfig::new("", &[]).breaker {
            reader.fault(
                node.span().offset(),
                "found \"no-breaker\" with a breaker, expected one or the other",
            );
        }
        found.breaker = None;
    }
    if let Some(node) = reader.one(within, "route") {
        found.load_balancing = route(reader, node);
    }
    if let Some(node) = reader.one(within, "fallback") {
        found.fallbacks = fallbacks(reader, node);
    }
    let ajp = reader.one(within, "transport").and_then(|node| transport(reader, node));
    let service = Service { name, path, endpoints: addresses, ajp };
    (found, service)
}

/// Endpoints and path. The platform's records service has both of its own.
fn reached(reader: &mut Reader, node: &KdlNode, within: Option<&KdlDocument>) -> (Vec<SocketAddr>, String) {
    let platform = reader.one(within, "platform");
    let (endpoints, path) = (reader.one(within, "endpoints"), reader.one(within, "path"));
    let mut addresses = Vec::new();
    for entry in endpoints.iter().flat_map(|n| n.entries()) {
        let text = entry.value().as_string();
        match text.and_then(|t| t.parse().ok()).filter(|_| entry.name().is_none()) {
            Some(address) if addresses.len() < ENDPOINTS => addresses.push(address),
            Some(_) => reader.fault(entry.span().offset(), format!("found more than {ENDPOINTS} endpoints")),
            None => {
                let what = format!(
                    "found {}, expected an address and port such as \"127.0.0.1:9001\"",
                    show(entry.value())
                );
                reader.fault(entry.span().offset(), what);
            }
        }
    }
    let found = path.and_then(|n| reader.text(n, "a path"));
    if let Some(node) = path {
        reader.properties(node).with_arguments().done();
    }
    if let (Some(node), Some(path)) = (path, &found) {
        let plain = path.bytes().all(|b| b.is_ascii_graphic());
        if !path.starts_with('/') || !plain || path.len() > 1_024 {
            reader.fault(
                node.span().offset(),
                format!("found the path {path:?}, expected \"/…\" without spaces"),
            );
        }
    }
    let other = endpoints.or(path).or(reader.one(within, "transport"));
    match platform {
        Some(platform) if other.is_some() => {
            let what = "found \"platform\" with endpoints, a path or a transport, expected one or the other";
            reader.fault(platform.span().offset(), what);
        }
        Some(platform) => reader.leaf(platform),
        None if endpoints.is_none() => {
            let what = "found a dependency without endpoints, expected \"endpoints\" or \"platform\"";
            reader.fault(node.span().offset(), what);
        }
        None => {}
    }
    (addresses, found.unwrap_or_else(|| if platform.is_some() { RECORDS } else { "/" }.to_owned()))
}

/// `http`, which is the same as none, or `ajp`.
fn transport(reader: &mut Reader, node: &KdlNode) -> Option<Ajp> {
    let name = reader.text(node, "a transport")?;
    reader.leaf(node);
    let mut from = reader.properties(node).with_arguments();
    if name == "http" {
        from.done();
        return None;
    }
    let packet = from.whole("packet", 8_192, (8_192, 65_535)) as usize;
    let secret = from.text("secret");
    from.done();
    if name != "ajp" {
        reader.fault(
            node.span().offset(),
            format!("found the transport {name:?}, expected \"http\" or \"ajp\""),
        );
    }
    Some(Ajp { secret, packet })
}

fn retry(reader: &mut Reader, node: &KdlNode) -> RetryPolicy {
    let unless_set = RetryPolicy::default();
    reader.leaf(node);
    let mut from = reader.properties(node);
    let found = RetryPolicy {
        max_retries: from.whole("most", unless_set.max_retries.into(), (0, 10)) as u32,
        budget_ratio: from.number("share", unless_set.budget_ratio),
        budget_burst: from.number("burst", unless_set.budget_burst),
        base_backoff: from.millis("back-off-ms", unless_set.base_backoff),
    };
    from.done();
    found
}

fn bounds(reader: &mut Reader, node: &KdlNode, unless_set: LimitBounds) -> LimitBounds {
    reader.leaf(node);
    let mut from = reader.properties(node);
    let mut take = |name, unless_set: usize| from.whole(name, unless_set as u64, (1, 65_536)) as usize;
    let (least, most) = (take("least", unless_set.min), take("most", unless_set.max));
    let start = take("start", unless_set.initial.clamp(least, most.max(least)));
    from.done();
    LimitBounds { initial: start, min: least, max: most }
}

fn breaker(reader: &mut Reader, node: &KdlNode) -> BreakerConfig {
    let unless_set = BreakerConfig::default();
    reader.leaf(node);
    let mut from = reader.properties(node);
    let found = BreakerConfig {
        failure_ratio: from.number("share", unless_set.failure_ratio),
        window_calls: from.whole("calls", unless_set.window_calls.into(), (1, 1_000)) as u32,
        open_time: from.millis("open-ms", unless_set.open_time),
    };
    from.done();
    found
}

fn route(reader: &mut Reader, node: &KdlNode) -> LoadBalancerConfig {
    let unless_set = LoadBalancerConfig::default();
    reader.leaf(node);
    let mut from = reader.properties(node);
    let found = LoadBalancerConfig {
        consecutive_failures: from.whole("failures", unless_set.consecutive_failures.into(), (1, 1_000))
            as u32,
        latency_factor: from.number("lag", unless_set.latency_factor),
        base_ejection_time: from.millis("out-ms", unless_set.base_ejection_time),
        max_ejected_share: from.number("out-most", unless_set.max_ejected_share),
        recovery_ramp: from.millis("ramp-ms", unless_set.recovery_ramp),
        servers: unless_set.servers,
    };
    from.done();
    found
}

fn fallbacks(reader: &mut Reader, node: &KdlNode) -> Vec<Fallback> {
    let Some(within) = node.children() else { return Vec::new() };
    reader.only(within, &["kept", "constant", "left-out"]);
    let mut found = Vec::new();
    for node in within.nodes() {
        reader.leaf(node);
        match node.name().value() {
            "kept" => {
                let mut from = reader.properties(node);
                from.required("max-age-ms");
                let oldest = from.whole("max-age-ms", 0, (0, 86_400_000));
                from.done();
                found.push(Fallback::Cached(oldest * 1_000));
            }
            "constant" => {
                let text = reader.text(node, "a text").unwrap_or_default();
                reader.properties(node).with_arguments().done();
                found.push(Fallback::Constant(text.into_bytes()));
            }
            "left-out" => {
                reader.texts(node, 0);
                found.push(Fallback::Omit);
            }
            _ => {}
        }
    }
    found
}

fn plan(reader: &mut Reader, node: &KdlNode, classes: Option<&[String]>) -> (PlanConfig, StagePlaces) {
    let class = reader.text(node, "a class").unwrap_or_default();
    reader.properties(node).with_arguments().done();
    if let Some(known) = classes.filter(|known| !known.contains(&class)) {
        let known: Vec<&str> = known.iter().map(String::as_str).collect();
        let what = format!("found a plan for {class:?}, expected a class of the settings: {}", list(&known));
        reader.fault(node.span().offset(), what);
    }
    let (mut stages, mut places) = (Vec::new(), Vec::new());
    if let Some(within) = node.children() {
        reader.only(within, &["stage"]);
        for node in within.nodes().iter().filter(|n| n.name().value() == "stage") {
            let (stage, calls) = stage(reader, node);
            stages.push(stage);
            places.push((node.span().offset(), calls));
        }
    }
    (PlanConfig { class, stages }, places)
}

fn stage(reader: &mut Reader, node: &KdlNode) -> (StageConfig, Vec<usize>) {
    reader.texts(node, 0);
    let mut from = reader.properties(node);
    let share = from.number("share", 1.0);
    let (least, most) = (from.millis("least-ms", 0), from.millis("most-ms", LONGEST));
    from.done();
    let (mut calls, mut places) = (Vec::new(), Vec::new());
    if let Some(within) = node.children() {
        reader.only(within, &["needs", "wants"]);
        for node in within.nodes() {
            let needed = node.name().value() == "needs";
            if !needed && node.name().value() != "wants" {
                continue;
            }
            reader.leaf(node);
            reader.properties(node).with_arguments().done();
            for dependency in reader.texts(node, ENDPOINTS) {
                calls.push(CallConfig { dependency, required: needed });
                places.push(node.span().offset());
            }
        }
    }
    (StageConfig { weight: share, min_time: least, max_time: most, calls }, places)
}

//! Reads the node `dependency`: how a service is reached and how its failures are handled.

use std::net::SocketAddr;

use kdl::{KdlDocument, KdlNode};
use umberloom_dependencies::config::{
    BreakerConfig, DependencyConfig, Fallback, HedgePolicy, LimitBounds, LoadBalancerConfig, RetryPolicy,
    SharedCapacity,
};

use super::MAX_NAMES;
use crate::reader::{format_value, Reader};
use crate::{Ajp, Service, PLATFORM};

/// The path of the platform's records service.
const RECORDS_PATH: &str = "/records/op";
/// The maximum length of a path, in bytes.
const MAX_PATH_BYTES: usize = 1_024;
/// The maximum age at which a cached result may be used, in milliseconds: one day.
const MAX_CACHE_AGE_MS: u64 = 86_400_000;
/// The smallest allowed and the default value of the maximum AJP packet size, in bytes.
const MIN_AJP_PACKET_BYTES: u64 = 8_192;
/// The largest allowed value of the maximum AJP packet size, in bytes.
const MAX_AJP_PACKET_BYTES: u64 = 65_535;

/// The names of the allowed child nodes.
const CHILD_NODES: [&str; 14] = [
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

/// Reads the node.
pub fn read(reader: &mut Reader, node: &KdlNode) -> (DependencyConfig, Service) {
    let name = reader.string(node, "a name").unwrap_or_default();
    reader.expect_no_properties(node);
    let children = node.children();
    if let Some(children) = children {
        reader.allow_only(children, &CHILD_NODES);
    }
    let mut dependency = DependencyConfig::new(&name, &[]);
    let (endpoints, path) = endpoints_and_path(reader, node, children);
    dependency.endpoints = endpoints.iter().map(SocketAddr::to_string).collect();
    if reader.single(children, "platform").is_some() {
        dependency.endpoints = vec![PLATFORM.to_owned()];
    }
    attempts(reader, children, &mut dependency);
    limits(reader, children, &mut dependency);
    circuit_breaker(reader, children, &mut dependency);
    if let Some(node) = reader.single(children, "route") {
        dependency.load_balancing = load_balancing(reader, node);
    }
    if let Some(node) = reader.single(children, "fallback") {
        dependency.fallbacks = fallbacks(reader, node);
    }
    let ajp = reader.single(children, "transport").and_then(|node| transport(reader, node));
    (dependency, Service { name, path, endpoints, ajp })
}

/// Reads endpoints and path. For the platform's records service neither may be stated: both are fixed.
fn endpoints_and_path(
    reader: &mut Reader,
    node: &KdlNode,
    children: Option<&KdlDocument>,
) -> (Vec<SocketAddr>, String) {
    let platform = reader.single(children, "platform");
    let endpoints = reader.single(children, "endpoints");
    let path = reader.single(children, "path");
    let addresses = endpoints.map_or_else(Vec::new, |node| addresses(reader, node));
    let path_text = path.and_then(|node| path_text(reader, node));
    let explicit_target = endpoints.or(path).or(reader.single(children, "transport"));
    match platform {
        Some(platform) if explicit_target.is_some() => {
            let reason =
                "found \"platform\" with endpoints, a path or a transport, expected one or the other";
            reader.report_node(platform, reason);
        }
        Some(platform) => reader.expect_no_children(platform),
        None if endpoints.is_none() => {
            let reason = "found a dependency without endpoints, expected \"endpoints\" or \"platform\"";
            reader.report_node(node, reason);
        }
        None => {}
    }
    let default_path = if platform.is_some() { RECORDS_PATH } else { "/" };
    (addresses, path_text.unwrap_or_else(|| default_path.to_owned()))
}

fn addresses(reader: &mut Reader, node: &KdlNode) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for entry in node.entries() {
        let offset = entry.span().offset();
        let text = entry.value().as_string();
        match text.and_then(|t| t.parse().ok()).filter(|_| entry.name().is_none()) {
            Some(address) if addresses.len() < MAX_NAMES => addresses.push(address),
            Some(_) => reader.report(offset, format!("found more than {MAX_NAMES} endpoints")),
            None => {
                let found = format_value(entry.value());
                let reason =
                    format!("found {found}, expected an address and port such as \"127.0.0.1:9001\"");
                reader.report(offset, reason);
            }
        }
    }
    addresses
}

fn path_text(reader: &mut Reader, node: &KdlNode) -> Option<String> {
    let path = reader.string(node, "a path");
    reader.expect_no_properties(node);
    if let Some(path) = &path {
        let visible = path.bytes().all(|b| b.is_ascii_graphic());
        if !path.starts_with('/') || !visible || path.len() > MAX_PATH_BYTES {
            reader.report_node(node, format!("found the path {path:?}, expected \"/…\" without spaces"));
        }
    }
    path
}

/// Reads the transport: `ajp`, or `http`, which is the default and gives `None`.
fn transport(reader: &mut Reader, node: &KdlNode) -> Option<Ajp> {
    let name = reader.string(node, "a transport")?;
    reader.expect_no_children(node);
    let mut properties = reader.properties(node).with_arguments();
    if name == "http" {
        properties.finish();
        return None;
    }
    let packet =
        properties.integer("packet", MIN_AJP_PACKET_BYTES, MIN_AJP_PACKET_BYTES..=MAX_AJP_PACKET_BYTES)
            as usize;
    let secret = properties.string("secret");
    properties.finish();
    if name != "ajp" {
        reader.report_node(node, format!("found the transport {name:?}, expected \"http\" or \"ajp\""));
    }
    Some(Ajp { secret, packet })
}

/// Reads the settings of retries and hedged requests.
fn attempts(reader: &mut Reader, children: Option<&KdlDocument>, dependency: &mut DependencyConfig) {
    if let Some(node) = reader.single(children, "safe-to-repeat") {
        dependency.idempotent = true;
        reader.expect_no_children(node);
        reader.strings(node, 0);
        reader.properties(node).finish();
    }
    if let Some(node) = reader.single(children, "retry") {
        dependency.retry = retry(reader, node);
    }
    if let Some(node) = reader.single(children, "hedge") {
        let mut properties = reader.properties(node);
        let quantile = properties.number("quantile", 0.95);
        let min_delay = properties.millis("least-ms", 1_000);
        properties.finish();
        dependency.hedge = Some(HedgePolicy { quantile, min_delay });
    }
}

fn retry(reader: &mut Reader, node: &KdlNode) -> RetryPolicy {
    let defaults = RetryPolicy::default();
    reader.expect_no_children(node);
    let mut properties = reader.properties(node);
    let retry = RetryPolicy {
        max_retries: properties.integer("most", defaults.max_retries.into(), 0..=10) as u32,
        budget_ratio: properties.number("share", defaults.budget_ratio),
        budget_burst: properties.number("burst", defaults.budget_burst),
        base_backoff: properties.millis("back-off-ms", defaults.base_backoff),
    };
    properties.finish();
    retry
}

/// Reads the limits on concurrent calls.
fn limits(reader: &mut Reader, children: Option<&KdlDocument>, dependency: &mut DependencyConfig) {
    if let Some(node) = reader.single(children, "limit") {
        dependency.concurrency_limit = bounds(reader, node, dependency.concurrency_limit);
    }
    if let Some(node) = reader.single(children, "endpoint-limit") {
        dependency.endpoint_concurrency_limit = bounds(reader, node, dependency.endpoint_concurrency_limit);
    }
    if let Some(node) = reader.single(children, "survives") {
        let mut properties = reader.properties(node);
        let calls = properties.required_number("calls");
        let servers = properties.integer("servers", 1, 1..=1_000_000) as u32;
        dependency.capacity = Some(SharedCapacity { calls, servers });
        properties.finish();
    }
}

fn bounds(reader: &mut Reader, node: &KdlNode, defaults: LimitBounds) -> LimitBounds {
    reader.expect_no_children(node);
    let mut properties = reader.properties(node);
    let mut limit = |name, default: usize| properties.integer(name, default as u64, 1..=65_536) as usize;
    let min = limit("least", defaults.min);
    let max = limit("most", defaults.max);
    let initial = limit("start", defaults.initial.clamp(min, max.max(min)));
    properties.finish();
    LimitBounds { initial, min, max }
}

fn circuit_breaker(reader: &mut Reader, children: Option<&KdlDocument>, dependency: &mut DependencyConfig) {
    if let Some(node) = reader.single(children, "breaker") {
        dependency.breaker = Some(breaker(reader, node));
    }
    if let Some(node) = reader.single(children, "no-breaker") {
        reader.expect_no_children(node);
        if dependency.breaker != DependencyConfig::new("", &[]).breaker {
            reader.report_node(node, "found \"no-breaker\" with a breaker, expected one or the other");
        }
        dependency.breaker = None;
    }
}

fn breaker(reader: &mut Reader, node: &KdlNode) -> BreakerConfig {
    let defaults = BreakerConfig::default();
    reader.expect_no_children(node);
    let mut properties = reader.properties(node);
    let breaker = BreakerConfig {
        failure_ratio: properties.number("share", defaults.failure_ratio),
        window_calls: properties.integer("calls", defaults.window_calls.into(), 1..=1_000) as u32,
        open_time: properties.millis("open-ms", defaults.open_time),
    };
    properties.finish();
    breaker
}

fn load_balancing(reader: &mut Reader, node: &KdlNode) -> LoadBalancerConfig {
    let defaults = LoadBalancerConfig::default();
    reader.expect_no_children(node);
    let mut properties = reader.properties(node);
    let load_balancing = LoadBalancerConfig {
        consecutive_failures: properties.integer("failures", defaults.consecutive_failures.into(), 1..=1_000)
            as u32,
        latency_factor: properties.number("lag", defaults.latency_factor),
        base_ejection_time: properties.millis("out-ms", defaults.base_ejection_time),
        max_ejected_share: properties.number("out-most", defaults.max_ejected_share),
        recovery_ramp: properties.millis("ramp-ms", defaults.recovery_ramp),
        servers: defaults.servers,
    };
    properties.finish();
    load_balancing
}

fn fallbacks(reader: &mut Reader, node: &KdlNode) -> Vec<Fallback> {
    let Some(children) = node.children() else { return Vec::new() };
    reader.allow_only(children, &["kept", "constant", "left-out"]);
    let mut fallbacks = Vec::new();
    for node in children.nodes() {
        reader.expect_no_children(node);
        match node.name().value() {
            "kept" => {
                let mut properties = reader.properties(node);
                // Reports an absent property, for which `integer` only returns its default.
                properties.required_number("max-age-ms");
                let max_age_ms = properties.integer("max-age-ms", 0, 0..=MAX_CACHE_AGE_MS);
                properties.finish();
                fallbacks.push(Fallback::Cached(max_age_ms * 1_000));
            }
            "constant" => {
                let text = reader.string(node, "a text").unwrap_or_default();
                reader.expect_no_properties(node);
                fallbacks.push(Fallback::Constant(text.into_bytes()));
            }
            "left-out" => {
                reader.strings(node, 0);
                fallbacks.push(Fallback::Omit);
            }
            _ => {}
        }
    }
    fallbacks
}

use super::*;

/// Makes a valid configuration invalid.
type MakeInvalid = fn(&mut Config);

fn valid_config() -> Config {
    let call = |name: &str, required| CallConfig { dependency: name.to_owned(), required };
    let stage = |calls| StageConfig { weight: 1.0, min_time: 0, max_time: 1_000_000, calls };
    let stages = vec![stage(vec![call("a", true), call("b", false)])];
    Config {
        dependencies: vec![DependencyConfig::new("a", &["x", "y"]), DependencyConfig::new("b", &["z"])],
        plans: vec![PlanConfig { class: "book".to_owned(), stages }],
        fallback_cache: FallbackCacheLimits::default(),
    }
}

#[test]
fn valid_configuration_has_no_errors() {
    assert_eq!(valid_config().validate(), []);
}

/// Makes a valid configuration invalid, and expects an error at this location with this text.
fn assert_reported(make_invalid: MakeInvalid, location: ConfigLocation, text: &str) {
    let mut config = valid_config();
    make_invalid(&mut config);
    let found = config.validate();
    assert!(
        found.iter().any(|error| error.location == location && error.reason.contains(text)),
        "{text}: {found:?}"
    );
}

#[test]
fn error_in_the_cache_limits_is_reported_with_its_location() {
    let location = ConfigLocation::FallbackCache;
    assert_reported(|c| c.fallback_cache.max_entries = usize::MAX, location, "kept results");
}

#[test]
fn errors_in_a_dependency_are_reported_with_its_location() {
    let first = ConfigLocation::Dependency { dependency: 0 };
    let second = ConfigLocation::Dependency { dependency: 1 };
    let cases: [(MakeInvalid, ConfigLocation, &str); 10] = [
        (|c| c.dependencies[1].name = "a".to_owned(), second, "a second dependency"),
        (|c| c.dependencies[0].endpoints.clear(), first, "0 endpoints"),
        (|c| c.dependencies[0].endpoints[1] = "x".to_owned(), first, "twice"),
        (|c| c.dependencies[0].retry.budget_ratio = f64::NAN, first, "retry budget"),
        (|c| c.dependencies[0].retry.max_retries = 11, first, "11 further"),
        (|c| c.dependencies[1].hedge = Some(HedgePolicy { quantile: 0.9, min_delay: 0 }), second, "safe to"),
        (|c| c.dependencies[1].concurrency_limit.min = 0, second, "a limit from 0"),
        (
            |c| c.dependencies[1].capacity = Some(SharedCapacity { calls: 0.5, servers: 3 }),
            second,
            "survives",
        ),
        (
            |c| {
                c.dependencies[0].breaker =
                    Some(BreakerConfig { failure_ratio: 0.0, ..BreakerConfig::default() });
            },
            first,
            "breaker",
        ),
        (|c| c.dependencies[0].load_balancing.latency_factor = f64::NAN, first, "lag"),
    ];
    for (make_invalid, location, text) in cases {
        assert_reported(make_invalid, location, text);
    }
}

#[test]
fn errors_in_a_plan_are_reported_with_their_location() {
    let stage = ConfigLocation::Stage { plan: 0, stage: 0 };
    let second_call = ConfigLocation::Call { plan: 0, stage: 0, call: 1 };
    let cases: [(MakeInvalid, ConfigLocation, &str); 3] = [
        (|c| c.plans[0].stages[0].weight = 0.0, stage, "a share of 0"),
        (|c| c.plans[0].stages[0].min_time = 2_000_000, stage, "at least 2000 ms"),
        (|c| c.plans[0].stages[0].calls[1].dependency = "c".to_owned(), second_call, "no dependency"),
    ];
    for (make_invalid, location, text) in cases {
        assert_reported(make_invalid, location, text);
    }
}

#[test]
fn all_errors_are_reported_together() {
    let mut config = valid_config();
    config.dependencies[0].fallbacks = vec![Fallback::Omit, Fallback::Cached(1)];
    config.plans[0].stages[0].calls[1].dependency = "a".to_owned();
    config.plans.push(PlanConfig { class: "book".to_owned(), stages: vec![] });
    let locations: Vec<ConfigLocation> = config.validate().iter().map(|error| error.location).collect();
    assert_eq!(
        locations,
        [
            ConfigLocation::Dependency { dependency: 0 },
            ConfigLocation::Call { plan: 0, stage: 0, call: 1 },
            ConfigLocation::Plan { plan: 1 },
            ConfigLocation::Plan { plan: 1 }
        ]
    );
}

#[test]
fn ceiling_is_this_servers_share_of_the_capacity() {
    let mut dependency = DependencyConfig::new("a", &["x"]);
    assert_eq!(dependency.concurrency_ceiling(), 64);
    dependency.capacity = Some(SharedCapacity { calls: 40.0, servers: 10 });
    assert_eq!(dependency.concurrency_ceiling(), 4);
    dependency.capacity = Some(SharedCapacity { calls: 4.0, servers: 10 });
    assert_eq!(dependency.concurrency_ceiling(), 1);
}

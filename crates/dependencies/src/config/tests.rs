use super::*;

fn valid_config() -> Config {
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
fn valid_configuration_has_no_mistakes() {
    assert_eq!(valid_config().validate(), []);
}

#[test]
fn every_mistake_is_reported_with_its_location() {
    type Mistake = fn(&mut Config);
    let cases: [(Mistake, ConfigLocation, &str); 14] = [
        (|c| c.fallback_cache.max_entries = usize::MAX, ConfigLocation::FallbackCache, "kept results"),
        (
            |c| c.dependencies[1].name = "a".to_owned(),
            ConfigLocation::Dependency { dependency: 1 },
            "a second dependency",
        ),
        (
            |c| c.dependencies[0].endpoints.clear(),
            ConfigLocation::Dependency { dependency: 0 },
            "0 endpoints",
        ),
        (
            |c| c.dependencies[0].endpoints[1] = "x".to_owned(),
            ConfigLocation::Dependency { dependency: 0 },
            "twice",
        ),
        (
            |c| c.dependencies[0].retry.budget_ratio = f64::NAN,
            ConfigLocation::Dependency { dependency: 0 },
            "retry budget",
        ),
        (
            |c| c.dependencies[0].retry.max_retries = 11,
            ConfigLocation::Dependency { dependency: 0 },
            "11 further",
        ),
        (
            |c| c.dependencies[1].hedge = Some(HedgePolicy { quantile: 0.9, min_delay: 0 }),
            ConfigLocation::Dependency { dependency: 1 },
            "safe to",
        ),
        (
            |c| c.dependencies[1].concurrency_limit.min = 0,
            ConfigLocation::Dependency { dependency: 1 },
            "a limit from 0",
        ),
        (
            |c| c.dependencies[1].capacity = Some(SharedCapacity { calls: 0.5, servers: 3 }),
            ConfigLocation::Dependency { dependency: 1 },
            "survives",
        ),
        (
            |c| {
                c.dependencies[0].breaker =
                    Some(BreakerConfig { failure_ratio: 0.0, ..BreakerConfig::default() })
            },
            ConfigLocation::Dependency { dependency: 0 },
            "breaker",
        ),
        (
            |c| c.dependencies[0].load_balancing.latency_factor = f64::NAN,
            ConfigLocation::Dependency { dependency: 0 },
            "lag",
        ),
        (|c| c.plans[0].stages[0].weight = 0.0, ConfigLocation::Stage { plan: 0, stage: 0 }, "a share of 0"),
        (
            |c| c.plans[0].stages[0].min_time = 2_000_000,
            ConfigLocation::Stage { plan: 0, stage: 0 },
            "at least 2000 ms",
        ),
        (
            |c| c.plans[0].stages[0].calls[1].dependency = "c".to_owned(),
            ConfigLocation::Call { plan: 0, stage: 0, call: 1 },
            "no dependency",
        ),
    ];
    for (make_mistake, at, what) in cases {
        let mut config = valid_config();
        make_mistake(&mut config);
        let found = config.validate();
        assert!(found.iter().any(|m| m.location == at && m.reason.contains(what)), "{what}: {found:?}");
    }
}

#[test]
fn all_mistakes_are_reported_together() {
    let mut config = valid_config();
    config.dependencies[0].fallbacks = vec![Fallback::Omit, Fallback::Cached(1)];
    config.plans[0].stages[0].calls[1].dependency = "a".to_owned();
    config.plans.push(PlanConfig { class: "book".to_owned(), stages: vec![] });
    let places: Vec<ConfigLocation> = config.validate().iter().map(|m| m.location).collect();
    assert_eq!(
        places,
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

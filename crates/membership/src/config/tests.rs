use super::*;

#[test]
fn validate_names_each_fault_and_its_peer() {
    let errors_of = |config: &Config| -> Vec<(Option<usize>, String)> {
        config.validate().into_iter().map(|error| (error.peer_index(), error.to_string())).collect()
    };
    let valid = Config::new("f", "a", &["b", "c"]);
    assert_eq!(errors_of(&valid), []);
    let cases: [(Config, Option<usize>, &str); 5] = [
        (Config::new("f", "a", &["b", "a"]), Some(1), "itself"),
        (Config::new("f", "a", &["b", "b"]), Some(1), "second"),
        (Config::new("", "a", &["b"]), None, "1 to 64"),
        (Config::new("f", "a", &[""]), Some(0), "1 to 64"),
        (
            Config { timing: Timing { suspicion_timeout: 100 * MS, ..Timing::default() }, ..valid.clone() },
            None,
            "refuted",
        ),
    ];
    for (config, peer, expected) in cases {
        let errors = errors_of(&config);
        assert!(
            errors.iter().any(|(at, text)| *at == peer && text.contains(expected)),
            "{errors:?} for {expected}"
        );
    }
    let large: Vec<String> = (0..=MAX_PEERS).map(|n| format!("m{n}")).collect();
    let large: Vec<&str> = large.iter().map(String::as_str).collect();
    assert!(!errors_of(&Config::new("f", "a", &large)).is_empty());
}

#[test]
fn intervals_grow_with_the_size_of_the_fleet() {
    let small = Config::new("f", "a", &["b", "c"]);
    let large: Vec<String> = (0..299).map(|n| format!("m{n}")).collect();
    let large = Config::new("f", "a", &large.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!((small.heartbeat_interval(), small.evidence_timeout()), (400_000, 1_200_000));
    assert_eq!(large.heartbeat_interval(), 299 * 15_000);
    assert!(large.suspicion_timeout() > 2 * small.suspicion_timeout());
}

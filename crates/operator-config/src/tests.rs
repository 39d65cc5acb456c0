use super::*;
use umberloom_dependencies::config::{Fallback, HedgePolicy};

fn mistakes(text: &str) -> Vec<String> {
    let classes = ["book-room".to_owned(), "desk-search".to_owned()];
    match parse("f", text, Some(&classes)) {
        Ok(operator) => panic!("no mistakes in {operator:?}"),
        Err(error) => error.to_string().lines().map(String::from).collect(),
    }
}

/// A fleet of three servers, with a quota that they share and a quota that is divided into equal parts.
const FLEET: &str = r#"
dependency "billing" { endpoints "127.0.0.1:1"; survives calls=40; }
dependency "notes" { endpoints "127.0.0.1:2"; survives calls=40 servers=4; }
fleet "desks" {
    listen "127.0.0.1:7400"
    secret "s"
    zone "west"
    peer "n2" address="127.0.0.1:7402" zone="west"
    peer "n3" address="127.0.0.1:7403"
    timing probe-ms=250 beat-ms=200
    loans loan-ms=1500 call-ms=800
}
"#;

#[test]
fn fleet_names_its_members_and_shared_quotas() {
    let context = ServerContext { class_names: None, server_name: Some("n1") };
    let operator = parse_in_context("f", FLEET, context).unwrap_or_else(|e| panic!("{e}"));
    let fleet = operator.fleet.expect("a fleet");
    assert_eq!((&*fleet.membership.name, &*fleet.membership.zone), ("n1", "west"));
    assert_eq!(fleet.addresses[1], "127.0.0.1:7403".parse().expect("an address"));
    assert_eq!(fleet.shared, [("billing".to_owned(), 40)]);
    assert_eq!((fleet.membership.timing.probe_interval, fleet.leases.max_call_duration), (250_000, 800_000));
    assert_eq!(
        (fleet.quota_config(40).own_share(), operator.dependencies.dependencies[1].concurrency_ceiling()),
        (14, 10)
    );
    // A peer with the server's own name can be detected only if the platform's configuration is known.
    let own_name = ServerContext { class_names: None, server_name: Some("n2") };
    let error = parse_in_context("f", FLEET, own_name).expect_err("its own name").to_string();
    assert!(error.contains("f:8:5: the peer \"n2\" is this server itself"), "{error}");
}

#[test]
fn mistakes_in_a_fleet_are_reported_with_their_positions() {
    let cases = [
        ("listen \"127.0.0.1:7400\"", "", "f:4:1: found a fleet without \"listen\""),
        ("127.0.0.1:7400", "localhost:1", "f:5:5: found \"localhost:1\", expected an address and port"),
        ("127.0.0.1:7402", "127.0.0.1:7400", "f:8:5: found 127.0.0.1:7400 a second time"),
        ("peer \"n3\"", "peer \"n2\"", "f:9:5: a second peer \"n2\""),
        ("address=\"127.0.0.1:7403\"", "", "f:9:5: found a peer without an address"),
        ("address=\"127.0.0.1:7403\"", "address=\"127.0.0.1:7403\" port=1", "found port, expected one of"),
        ("probe-ms=250", "probe-ms=5", "f:4:1: probe-ms is 5, expected at least 20"),
        ("probe-ms=250", "tick-ms=5", "f:10:12: found tick-ms, expected one of"),
        ("loan-ms=1500", "loan-ms=90000", "f:11:11: found loan-ms=90000"),
        ("loan-ms=1500", "loan-ms=100", "f:2:49: \"billing\": a loan lasts for a quarter of a call"),
        ("calls=40; }\ndependency", "calls=2; }\ndependency", "f:2:49: \"billing\": 2 calls over 3 servers"),
        ("secret \"s\"", "secret 7", "f:6:12: found 7, expected a text"),
        ("fleet \"desks\"", "fleet", "f:4:1: found \"fleet\" without a name"),
        ("zone \"west\"\n", "zone \"west\"; zone \"east\"\n", "found a second \"zone\""),
    ];
    for (original, replacement, expected) in cases {
        let text = FLEET.replacen(original, replacement, 1);
        assert_ne!(text, FLEET, "{original}");
        let found = mistakes(&text);
        assert!(found.iter().any(|f| f.contains(expected)), "{text}\n{found:#?}\nexpected {expected}");
    }
}

#[test]
fn mistakes_in_a_record_are_reported_with_their_positions() {
    let node = "  record voters=3 election-ms=500 replace-after-s=9 catch-up-kb=100 {\n    folder \"r\" most-mb=4 scrub-s=7\n  }\n}";
    let text = format!("{}{node}", FLEET.trim_end().trim_end_matches('}'));
    let operator = parse("f", &text, None).unwrap_or_else(|e| panic!("{e}"));
    let record = operator.fleet.and_then(|fleet| fleet.record).expect("a record");
    assert_eq!(
        (
            record.config.election_timeout,
            record.config.replace_after,
            record.config.catch_up_bytes_per_second
        ),
        (500_000, 9_000_000, 102_400)
    );
    assert_eq!((record.max_bytes, record.scrub_interval, record.config.peers.len()), (4 << 20, 7_000_000, 2));
    assert_eq!(record.folder, Some("r".into()));
    let cases = [
        ("voters=3", "voters=2", "found 2 voters, expected 3 or 5"),
        ("voters=3", "voters=5", "found 5 voters, expected one for each of 3"),
        ("voters=3", "voters=9", "found voters=9, expected a whole number from 1 to 5"),
        ("election-ms=500", "election-ms=20", "found an election of 20 ms, expected 100 to 60000"),
        ("replace-after-s=9", "replace-after-s=1", "a voter is replaced after three elections at least"),
        ("catch-up-kb=100", "catch-up-kb=1", "found catch-up-kb=1, expected a whole number from 64"),
        ("scrub-s=7", "scrub-s=0", "found scrub-s=0, expected a whole number from 1"),
        ("most-mb=4", "most-gb=4", "found most-gb, expected"),
        ("folder \"r\"", "folder", "without a path"),
        ("folder \"r\"", "disk \"r\"", "found \"disk\", expected"),
        ("folder \"r\"", "folder 7", "found 7, expected a text"),
    ];
    for (original, replacement, expected) in cases {
        let found = mistakes(&text.replacen(original, replacement, 1));
        let is_expected = |mistake: &String| mistake.contains(expected) && mistake.starts_with("f:1");
        assert!(found.iter().any(is_expected), "{replacement}: {found:#?}\nexpected {expected}");
    }
}

const VALID: &str = "dependency \"a\" { endpoints \"127.0.0.1:1\"; }\n";

#[test]
fn example_file_is_valid_and_its_values_are_read() {
    let text = include_str!("../../../deploy/operator.kdl");
    let classes = ["book-room".to_owned(), "desk-search".to_owned()];
    let operator = parse("operator.kdl", text, Some(&classes)).unwrap_or_else(|e| panic!("{e}"));
    let [records, billing, equipment, notes] = &operator.dependencies.dependencies[..] else {
        panic!("expected four dependencies")
    };
    assert_eq!(
        (records.endpoints.as_slice(), operator.services[0].path.as_str()),
        (&[PLATFORM.into()][..], "/records/op")
    );
    assert!(operator.services[0].is_platform() && !operator.services[1].is_platform());
    assert_eq!((billing.idempotent, billing.concurrency_ceiling()), (false, 10));
    assert_eq!(equipment.endpoints.len(), 3);
    assert_eq!(equipment.hedge, Some(HedgePolicy { quantile: 0.95, min_delay: 5_000 }));
    assert_eq!(equipment.fallbacks, [Fallback::Cached(30_000_000), Fallback::Omit]);
    assert_eq!(notes.fallbacks, [Fallback::Constant(b"{}".to_vec())]);
    let plan = &operator.dependencies.plans[0];
    assert_eq!((plan.class.as_str(), plan.stages.len()), ("book-room", 2));
    assert_eq!(
        (plan.stages[0].weight, plan.stages[0].min_time, plan.stages[1].max_time),
        (3.0, 20_000, 200_000)
    );
    assert!(plan.stages[0].calls.iter().all(|c| c.required) && !plan.stages[1].calls[0].required);
}

#[test]
fn empty_file_configures_nothing() {
    let operator = parse("f", "// nothing\n", None).expect("valid");
    assert_eq!(operator.dependencies, Config::default());
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, one a line")]
fn mistakes_in_dependencies_and_plans_are_reported_with_their_positions() {
    let cases = [
        ("dependencies \"a\"\n", "f:1:1: found \"dependencies\", expected one of"),
        ("kept entries=-1\n", "f:1:6: found entries=-1, expected a whole number from 0 to 1048576"),
        ("kept entries=1.5\n", "f:1:6: found entries=1.5"),
        ("dependency \"a\" { endpoints \"[::1]:1\"; retry 5; }\n", "found 5, expected NAME=VALUE"),
        ("dependency \"a\" { endpoints \"[::1]:1\"; path \"/x\" y=1; }\n", "found y, expected none"),
        (
            "dependency \"a\" { endpoints \"[::1]:1\"; fallback { kept max-age-ms=-5; }; }\n",
            "found max-age-ms=-5",
        ),
        ("kept size=1\n", "f:1:6: found size, expected one of \"entries\" or \"kb\""),
        ("dependency {\n endpoints \"127.0.0.1:1\"\n}\n", "f:1:1: found \"dependency\" without a name"),
        ("dependency \"a\"\n", "f:1:1: found a dependency without endpoints"),
        (
            "dependency \"a\" {\n    endpoints \"localhost:1\"\n}\n",
            "f:2:15: found \"localhost:1\", expected an address",
        ),
        ("dependency \"a\" {\n    endpoints 7\n}\n", "f:2:15: found 7"),
        ("dependency \"a\" {\n  platform\n  path \"/x\"\n}\n", "f:2:3: found \"platform\" with"),
        ("dependency \"a\" { endpoints \"[::1]:1\"; path \"x y\"; }\n", "f:1:39: found the path \"x y\""),
        (
            "dependency \"a\" { endpoints \"[::1]:1\"; path \"/x\"; path \"/y\"; }\n",
            "f:1:50: found a second \"path\"",
        ),
        ("dependency \"a\" { endpoints \"[::1]:1\"; retry most=11; }\n", "f:1:45: found most=11"),
        ("dependency \"a\" { endpoints \"[::1]:1\"; retry most=#true; }\n", "found most=#true"),
        (
            "dependency \"a\" { endpoints \"[::1]:1\"; retry share=2; }\n",
            "f:1:1: the retry budget is a share",
        ),
        ("dependency \"a\" { endpoints \"[::1]:1\"; limit least=9 most=3; }\n", "f:1:1: a limit from 9"),
        (
            "dependency \"a\" { endpoints \"[::1]:1\"; survives servers=2; }\n",
            "without calls, expected calls=NUMBER",
        ),
        ("dependency \"a\" { endpoints \"[::1]:1\"; transport \"spdy\"; }\n", "found the transport \"spdy\""),
        ("dependency \"a\" { endpoints \"[::1]:1\"; transport \"ajp\" packet=10; }\n", "found packet=10"),
        (
            "dependency \"a\" { endpoints \"[::1]:1\"; transport \"http\" secret=\"x\"; }\n",
            "found secret, expected none",
        ),
        ("dependency \"a\" { platform; transport \"ajp\"; }\n", "f:1:18: found \"platform\" with"),
        ("dependency \"a\" { endpoints \"[::1]:1\"; hedge; }\n", "must be declared safe to repeat"),
        (
            "dependency \"a\" { endpoints \"[::1]:1\"; fallback { none; }; }\n",
            "found \"none\", expected one of \"kept\"",
        ),
        (
            "plan \"other\" { stage { needs \"a\"; }; }\n",
            "f:1:1: found a plan for \"other\", expected a class",
        ),
        ("plan \"book-room\"\n", "f:1:1: 0 stages"),
        ("plan \"book-room\" {\n  stage\n}\n", "f:2:3: 0 calls"),
        (
            "plan \"book-room\" {\n  stage {\n    needs \"x\"\n  }\n}\n",
            "f:3:5: no dependency is called \"x\"",
        ),
        ("plan \"book-room\" {\n  stage least-ms=70000 { needs \"a\"; }\n}\n", "f:2:9: found least-ms=70000"),
        (
            "plan \"book-room\" {\n  stage { uses \"a\"; }\n}\n",
            "found \"uses\", expected one of \"needs\" or \"wants\"",
        ),
    ];
    for (text, expected) in cases {
        let found = mistakes(text);
        assert!(found.iter().any(|f| f.contains(expected)), "{text}\n{found:#?}\nexpected {expected}");
    }
}

#[test]
fn syntax_errors_are_reported_with_their_line() {
    let found = mistakes(&format!("{VALID}dependency \"b\" {{\n  endpoints \"127.0.0.1:1\n}}\n"));
    assert!(found.iter().all(|f| f.starts_with("f:")) && !found.is_empty(), "{found:?}");
    assert!(
        found.iter().any(|f| f.starts_with("f:2:") || f.starts_with("f:3:") || f.starts_with("f:4:")),
        "{found:?}"
    );
}

#[test]
fn mistakes_are_reported_together_in_the_order_of_the_file() {
    let found = mistakes("kept kb=x\ndependency \"a\"\nplan \"no\" {\n  stage { needs \"z\"; }\n}\n");
    let lines: Vec<&str> = found.iter().map(|f| &f[2..3]).collect();
    assert_eq!(lines, ["1", "2", "2", "3", "4"], "{found:?}");
}

#[test]
fn missing_file_is_reported() {
    let error = load(Path::new("no/such/file.kdl"), ServerContext::default()).expect_err("no file");
    assert!(error.to_string().starts_with("no/such/file.kdl:1:1: can't be read"), "{error}");
}

#[test]
fn mistakes_name_the_key_they_are_about() {
    let cases = [
        ("kept entries=-1\n", "kept.entries"),
        ("dependency \"a\" { endpoints \"[::1]:1\"; retry most=11; }\n", "dependency.retry.most"),
        ("fleet \"f\" { listen \"[::1]:1\"; secret 7; }\n", "fleet.secret"),
    ];
    for (text, expected) in cases {
        let error = parse("f", text, None).expect_err(text);
        assert!(error.mistakes.iter().any(|mistake| mistake.key == expected), "{expected}: {error:?}");
    }
}

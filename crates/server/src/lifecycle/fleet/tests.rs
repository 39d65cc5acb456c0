use std::path::Path;

use super::*;
use crate::lifecycle::config_files::load_operator;

/// The fleet of `deploy/fleet.kdl`, with parts of its text replaced.
fn fleet_config(changes: &[(&str, &str)]) -> FleetConfig {
    let mut text = include_str!("../../../../../deploy/fleet.kdl").to_owned();
    for (old_text, new_text) in changes {
        assert!(text.contains(old_text), "{old_text}");
        text = text.replacen(old_text, new_text, 1);
    }
    let operator =
        umberloom_operator_config::parse("fleet.kdl", &text, None).unwrap_or_else(|e| panic!("{e}"));
    operator.fleet.expect("a fleet")
}

/// The configuration of `deploy/example.json`, with parts of its text replaced.
fn server_config(changes: &[(&str, &str)]) -> Config {
    let mut text = include_str!("../../../../../deploy/example.json").to_owned();
    changes.iter().for_each(|(old_text, new_text)| text = text.replacen(old_text, new_text, 1));
    Config::parse(text.as_bytes()).expect("a valid example")
}

#[test]
fn fleets_beyond_the_limits_are_rejected_with_their_position() {
    let mut many_peers = fleet_config(&[]);
    many_peers.membership.peers = vec![many_peers.membership.peers[0].clone(); 100];
    let cases = [
        (fleet_config(&[]), server_config(&[]), None),
        (
            fleet_config(&[]),
            server_config(&[("\"sockets\": 1024", "\"sockets\": 48")]),
            Some("14 descriptors, expected 12 at most"),
        ),
        (
            many_peers,
            server_config(&[("\"memory_mb\": 192", "\"memory_mb\": 17")]),
            Some("2560 kb, expected 2176 at most"),
        ),
        (
            fleet_config(&[("127.0.0.1:7401", "127.0.0.1:10080")]),
            server_config(&[]),
            Some("where balancers connect"),
        ),
    ];
    for (fleet, server, expected) in cases {
        let found = check_limits(&fleet, &server).err().map(|e| e.to_string());

        let start = format!("{}:{}: found", fleet.position.line, fleet.position.column);
        let as_expected = match (&found, expected) {
            (None, None) => true,
            (Some(message), Some(part)) => message.starts_with(&start) && message.contains(part),
            _ => false,
        };
        assert!(as_expected, "{found:?}, expected {expected:?}");
    }
}

#[test]
fn only_peers_and_shared_quotas_may_change_on_reload() {
    let old = fleet_config(&[]);
    let allowed =
        [("127.0.0.1:7402", "127.0.0.1:7409"), ("calls=40", "calls=50"), ("loan-ms=2000", "loan-ms=900")];
    for change in allowed {
        assert_eq!(check_reload("f", Some(&old), Some(&fleet_config(&[change]))), Ok(()), "{change:?}");
    }
    let rejected = [
        ("127.0.0.1:7401", "127.0.0.1:7409", "listen"),
        ("fleet \"desks\"", "fleet \"others\"", "name"),
        ("secret \"change", "secret \"changed", "secret"),
        ("zone \"west\"", "zone \"north\"", "zone"),
        ("probe-ms=500", "probe-ms=400", "timing"),
    ];
    for (old_text, new_text, field) in rejected {
        let new = fleet_config(&[(old_text, new_text)]);
        let message = check_reload("f", Some(&old), Some(&new)).expect_err(field).to_string();
        assert!(message.contains(&format!("the fleet's {field} has changed")), "{message}");
    }
    assert!(check_reload("f", None, Some(&old)).is_err() && check_reload("f", Some(&old), None).is_err());
    assert_eq!(check_reload("f", None, None), Ok(()));
}

#[test]
fn digests_of_the_configuration_are_those_of_version_0_2_0() {
    // Digests that commit 604394b computes for the same files. Members of both versions compare digests
    // during a rolling update.
    let golden = [
        ("operator.kdl", 13_024_996_230_927_598_769, 1_230_908_082_770_570_781, 0),
        ("fleet.kdl", 13_024_996_230_927_598_769, 6_669_981_574_053_675_783, 18_249_752_022_403_950_875),
    ];
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let server = Config::load(&deploy.join("example.json")).expect("a valid configuration");
    for (file, config_digest, operator_digest, quota_digest) in golden {
        let operator = load_operator(&deploy.join(file), Some(&server)).expect("a valid operator's file");
        let info = build_info(&server, &operator);
        assert_eq!((info.config, info.operator), (config_digest, operator_digest), "{file}");
        assert_eq!(info.shares, quota_digest, "{file}");
    }
}

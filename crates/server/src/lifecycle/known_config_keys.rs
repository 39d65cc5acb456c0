//! Finds keys of the platform's configuration that this program does not know.
//!
//! An unknown key may be a typing error, such as `wirte` for `write`, that leaves a setting at its default
//! unnoticed. It is reported and never rejected: the protocol says that further keys may be added and are to
//! be ignored, and the fleet's own files have additional keys (`admin`). Rejecting unknown keys once kept
//! servers with such files from starting.

use serde_json::Value;
use umberloom_settings::fields::Object;

const TOP_LEVEL_KEYS: &[&str] =
    &["name", "listen", "agent", "announce", "records", "seed", "stop_ms", "limits", "settings"];
const LIMITS_KEYS: &[&str] = &["cores", "memory_mb", "sockets"];
/// Keys of the settings object, as the simulator's protocol names them (`power_on` in `WIRE-umberloom.md`).
const SETTINGS_KEYS: &[&str] = &[
    "servers",
    "classes",
    "client_habits",
    "family",
    "family_info",
    "result_mix",
    "limits",
    "self_index",
    "over_share_worth",
    "prices",
    "load_report",
    "guarantees",
    "realms",
    "tick_us",
    "tier",
    "tiers",
    "value_by",
    "locality",
    "failure_domains",
];
const CLASS_KEYS: &[&str] = &[
    "name",
    "aim_us",
    "aim_stretch",
    "hard_limit_us",
    "credit",
    "late_worth",
    "effect",
    "repeat_window_us",
    "write",
];
const FAMILY_INFO_KEYS: &[&str] = &[
    "downstream",
    "callers",
    "dep_share",
    "calls_over_us",
    "class_calls",
    "class_skip_worth",
    "fresh_start",
    "n_cores",
    "deep_checks",
    "fresh_us",
    "meters",
    "preemption",
    "heeded_us",
    "idle_us",
    "key_kb",
    "linger_us",
    "mem_limit_kb",
    "passes_deadline",
    "readiness",
    "run_factor",
    "say",
    "cancel_seen",
];
const GUARANTEES_KEYS: &[&str] =
    &["grace_to_answer_us", "cold_from", "cold_us", "drain_grace_us", "fall_multiple", "fall_us"];
const SETTINGS_LIMITS_KEYS: &[&str] =
    &["cpu_us_per_request", "cpu_us_per_s", "max_retry_after_us", "retry_after"];
const REALM_KEYS: &[&str] = &["name", "quota_rps", "share"];

/// The paths of all unknown keys of a configuration, in the order of the checks.
pub fn unknown_paths(top: &Object) -> Vec<String> {
    let mut paths = Vec::new();
    check_object(top, TOP_LEVEL_KEYS, "", &mut paths);
    check_member(top, "limits", LIMITS_KEYS, "", &mut paths);
    if let Some(settings) = top.get("settings").and_then(Value::as_object) {
        check_object(settings, SETTINGS_KEYS, "settings", &mut paths);
        check_list(settings, "classes", CLASS_KEYS, "settings.", &mut paths);
        check_list(settings, "realms", REALM_KEYS, "settings.", &mut paths);
        check_member(settings, "family_info", FAMILY_INFO_KEYS, "settings.", &mut paths);
        check_member(settings, "guarantees", GUARANTEES_KEYS, "settings.", &mut paths);
        check_member(settings, "limits", SETTINGS_LIMITS_KEYS, "settings.", &mut paths);
    }
    paths
}

/// Adds the paths of the unknown keys of `object`, whose own path is `path`.
fn check_object(object: &Object, known: &[&str], path: &str, paths: &mut Vec<String>) {
    let unknown = object.keys().filter(|key| !known.contains(&key.as_str()));
    paths.extend(unknown.map(|key| if path.is_empty() { key.clone() } else { format!("{path}.{key}") }));
}

/// Adds the paths of the unknown keys of each object in the list `field`. `prefix` is the path of `object`
/// with a dot at its end; empty for the top level.
fn check_list(object: &Object, field: &str, known: &[&str], prefix: &str, paths: &mut Vec<String>) {
    let list = object.get(field).and_then(Value::as_array).into_iter().flatten();
    for (index, item) in list.enumerate() {
        if let Some(item) = item.as_object() {
            check_object(item, known, &format!("{prefix}{field}[{index}]"), paths);
        }
    }
}

/// Adds the paths of the unknown keys of the object `field`. `prefix` is as in [`check_list`].
fn check_member(object: &Object, field: &str, known: &[&str], prefix: &str, paths: &mut Vec<String>) {
    if let Some(inner) = object.get(field).and_then(Value::as_object) {
        check_object(inner, known, &format!("{prefix}{field}"), paths);
    }
}

#[cfg(test)]
mod tests;

//! Finds keys of the platform's configuration that this program does not know.
//!
//! An unknown key may be a typing error, such as `wirte` for `write`, that leaves a setting at its default
//! unnoticed. It is reported and never rejected: the protocol says that further keys may be added and are to
//! be ignored, and the fleet's own files have additional keys (`admin`). Rejecting unknown keys once kept
//! servers with such files from starting.

use serde_json::Value;
use umberloom_settings::fields::Object;

const TOP: &[&str] =
    &["name", "listen", "agent", "announce", "records", "seed", "stop_ms", "limits", "settings"];
const LIMITS: &[&str] = &["cores", "memory_mb", "sockets"];
/// Keys of the settings object, as the simulator's protocol names them (`power_on` in `WIRE-umberloom.md`).
const SETTINGS: &[&str] = &[
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
const CLASS: &[&str] = &[
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
const FAMILY_INFO: &[&str] = &[
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
const GUARANTEES: &[&str] =
    &["grace_to_answer_us", "cold_from", "cold_us", "drain_grace_us", "fall_multiple", "fall_us"];
const SETTINGS_LIMITS: &[&str] = &["cpu_us_per_request", "cpu_us_per_s", "max_retry_after_us", "retry_after"];
const REALM: &[&str] = &["name", "quota_rps", "share"];

/// The paths of all unknown keys of a configuration, in the order of the checks.
pub fn unknown(top: &Object) -> Vec<String> {
    let mut paths = Vec::new();
    in_object(top, TOP, "", &mut paths);
    in_member(top, "limits", LIMITS, "", &mut paths);
    if let Some(settings) = top.get("settings").and_then(Value::as_object) {
        in_object(settings, SETTINGS, "settings", &mut paths);
        in_list(settings, "classes", CLASS, "settings.", &mut paths);
        in_list(settings, "realms", REALM, "settings.", &mut paths);
        in_member(settings, "family_info", FAMILY_INFO, "settings.", &mut paths);
        in_member(settings, "guarantees", GUARANTEES, "settings.", &mut paths);
        in_member(settings, "limits", SETTINGS_LIMITS, "settings.", &mut paths);
    }
    paths
}

/// Adds the paths of the unknown keys of `object`, whose own path is `path`.
fn in_object(object: &Object, known: &[&str], path: &str, paths: &mut Vec<String>) {
    let unknown = object.keys().filter(|key| !known.contains(&key.as_str()));
    paths.extend(unknown.map(|key| if path.is_empty() { key.clone() } else { format!("{path}.{key}") }));
}

/// Adds the paths of the unknown keys of each object in the list `field`.
fn in_list(object: &Object, field: &str, known: &[&str], prefix: &str, paths: &mut Vec<String>) {
    let list = object.get(field).and_then(Value::as_array).into_iter().flatten();
    for (n, item) in list.enumerate() {
        if let Some(item) = item.as_object() {
            in_object(item, known, &format!("{prefix}{field}[{n}]"), paths);
        }
    }
}

/// Adds the paths of the unknown keys of the object `field`.
fn in_member(object: &Object, field: &str, known: &[&str], prefix: &str, paths: &mut Vec<String>) {
    if let Some(inner) = object.get(field).and_then(Value::as_object) {
        in_object(inner, known, &format!("{prefix}{field}"), paths);
    }
}

#[cfg(test)]
mod tests;

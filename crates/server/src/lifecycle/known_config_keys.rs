//! The keys that a configuration is known to hold: a key that is none of them may be a slip of the pen, such as
//! `wirte` for `write`, that leaves a setting at its default unseen. It is told, never refused: the wire says that
//! further keys may come and are to be disregarded, and the fleet's own files carry keys of their own (`admin`),
//! which a refusal kept from starting (GATE failed: calm+mass, herd+mass and split+mass).

use serde_json::Value;
use umberloom_settings::fields::Object;

const TOP: &[&str] =
    &["name", "listen", "agent", "announce", "records", "seed", "stop_ms", "limits", "settings"];
const LIMITS: &[&str] = &["cores", "memory_mb", "sockets"];
/// The settings, as `WIRE-umberloom.md` names them for `power_on`.
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

fn strays(o: &Object, known: &[&str], at: &str, out: &mut Vec<String>) {
    let stray = o.keys().filter(|key| !known.contains(&key.as_str()));
    out.extend(stray.map(|key| if at.is_empty() { key.clone() } else { format!("{at}.{key}") }));
}

fn in_list(o: &Object, field: &str, known: &[&str], at: &str, out: &mut Vec<String>) {
    let list = o.get(field).and_then(Value::as_array).into_iter().flatten();
    for (n, item) in list.enumerate().filter_map(|(n, item)| Some((n, item.as_object()?))) {
        strays(item, known, &format!("{at}{field}[{n}]"), out);
    }
}

fn within(o: &Object, field: &str, known: &[&str], at: &str, out: &mut Vec<String>) {
    if let Some(inner) = o.get(field).and_then(Value::as_object) {
        strays(inner, known, &format!("{at}{field}"), out);
    }
}

/// The paths of the keys that a configuration is not known to hold, in the order of the checks.
pub fn unknown(top: &Object) -> Vec<String> {
    let mut out = Vec::new();
    strays(top, TOP, "", &mut out);
    within(top, "limits", LIMITS, "", &mut out);
    if let Some(s) = top.get("settings").and_then(Value::as_object) {
        strays(s, SETTINGS, "settings", &mut out);
        in_list(s, "classes", CLASS, "settings.", &mut out);
        in_list(s, "realms", REALM, "settings.", &mut out);
        within(s, "family_info", FAMILY_INFO, "settings.", &mut out);
        within(s, "guarantees", GUARANTEES, "settings.", &mut out);
        within(s, "limits", SETTINGS_LIMITS, "settings.", &mut out);
    }
    out
}

#[cfg(test)]
mod tests;

//! Converts the settings object into the admission controller's settings.

use serde_json::Value;
use umberloom::interface::{Class, Downstream, Idempotency, LoadHintKind, Preemption, Settings, Tenant};

use crate::fields::{
    flag, integer, integer_or, list, number, number_or, object, objects, one_of, optional, Object,
};
use crate::SettingsError;

const IDEMPOTENCY_VALUES: [(&str, Idempotency); 3] = [
    ("read_like", Idempotency::Idempotent),
    ("idempotency_key", Idempotency::WithKey),
    ("non_idempotent", Idempotency::NotIdempotent),
];
const DOWNSTREAM_VALUES: [(&str, Downstream); 3] =
    [("silent", Downstream::None), ("common", Downstream::Shared), ("next_hop", Downstream::NextTier)];
const PREEMPTION_VALUES: [(&str, Preemption); 3] =
    [("silent", Preemption::Never), ("drop", Preemption::Abort), ("pause", Preemption::Pause)];
const LOAD_HINT_VALUES: [(&str, LoadHintKind); 4] = [
    ("silent", LoadHintKind::None),
    ("min_rank", LoadHintKind::MinRank),
    ("tokens", LoadHintKind::Tokens),
    ("bias", LoadHintKind::Weight),
];

/// Reads the admission controller's settings from the settings object `options`, for a server with this seed.
///
/// # Errors
/// Reports the first field that is absent or has a wrong value. [`Settings::validate`] checks the ranges of
/// values.
pub fn settings(options: &Object, seed: u64) -> Result<Settings, SettingsError> {
    let info = object(options, "family_info")?;
    let guarantees = object(options, "guarantees")?;
    let empty = Object::new();
    let limits = optional(options, "limits", "an object", Value::as_object)?.unwrap_or(&empty);
    let prices = optional(options, "prices", "an object", Value::as_object)?.unwrap_or(&empty);
    let passes_retry_after = flag(limits, "retry_after")?;
    Ok(Settings {
        seed,
        cores: integer(info, "n_cores")? as u32,
        memory_kb: number(info, "mem_limit_kb")?,
        run_memory_factor: number(info, "run_factor")?,
        key_kb: number_or(info, "key_kb", 0.0)?,
        starts_cold: flag(info, "fresh_start")?,
        classes: classes(options, info)?,
        tenants: tenants(options)?,
        over_quota_weight_share: number_or(options, "over_share_worth", 1.0)?,
        tier: integer_or(options, "tier", 0)? as u32,
        servers: integer(options, "servers")? as u32,
        callers: integer_or(info, "callers", 0)? as u32,
        downstream: one_of(info, "downstream", "silent", &DOWNSTREAM_VALUES)?,
        call_quota: number_or(info, "dep_share", 0.0)?,
        call_window: integer_or(info, "calls_over_us", 0)?,
        abandoned_call_lifetime: integer_or(info, "linger_us", 0)?,
        preemption: one_of(info, "preemption", "silent", &PREEMPTION_VALUES)?,
        load_hint: one_of(info, "say", "silent", &LOAD_HINT_VALUES)?,
        shared_read_ttl: integer_or(info, "fresh_us", 0)?,
        retry_after_max: if passes_retry_after { integer_or(limits, "max_retry_after_us", 0)? } else { 0 },
        connection_cost: number_or(prices, "handshake", 0.0)?,
        idle_timeout_max: integer_or(info, "idle_us", 0)?,
        answer_slack: integer(guarantees, "grace_to_answer_us")?,
        drain_grace: integer(guarantees, "drain_grace_us")?,
        overload_per_core: number(guarantees, "fall_multiple")?,
        overload_window: integer(guarantees, "fall_us")?,
        warm_up_initial_speed: number_or(guarantees, "cold_from", 1.0)?,
        warm_up_time: integer_or(guarantees, "cold_us", 0)?,
        tick: integer_or(options, "tick_us", 0)?,
    })
}

fn classes(options: &Object, info: &Object) -> Result<Vec<Class>, SettingsError> {
    let calls_downstream = list(info, "class_calls")?;
    let degraded_weight_shares = list(info, "class_skip_worth")?;
    let mut classes = Vec::new();
    for (index, class) in objects(options, "classes")?.into_iter().enumerate() {
        let idempotency = one_of(class, "effect", "read_like", &IDEMPOTENCY_VALUES)?;
        let idempotency_window = integer_or(class, "repeat_window_us", 0)?;
        // Only `effect` states whether requests may be repeated: idempotent writes are `read_like` as well.
        // Settings of customers may contain `write`, so its type is checked, but its value is not used.
        flag(class, "write")?;
        if idempotency == Idempotency::WithKey && idempotency_window == 0 {
            return Err(SettingsError::MissingIdempotencyWindow { class: index });
        }
        classes.push(Class {
            latency_objective: integer(class, "aim_us")?,
            objective_per_cost: number_or(class, "aim_stretch", 0.0)?,
            deadline: integer(class, "hard_limit_us")?,
            priority_weight: number(class, "credit")?,
            late_weight_share: number_or(class, "late_worth", 0.0)?,
            idempotency,
            idempotency_window,
            calls_downstream: calls_downstream.get(index).and_then(Value::as_bool).unwrap_or(false),
            degraded_weight_share: degraded_weight_shares.get(index).and_then(Value::as_f64).unwrap_or(0.0),
        });
    }
    Ok(classes)
}

fn tenants(options: &Object) -> Result<Vec<Tenant>, SettingsError> {
    let realms = objects(options, "realms")?;
    realms.into_iter().map(|realm| Ok(Tenant { quota_per_s: number(realm, "quota_rps")? })).collect()
}

//! Reads the settings object that an instance is given when it starts, for the simulator's adapter and
//! the real server alike.

pub mod fields;
pub mod locate;
mod names;
pub mod shape;

use serde_json::Value;
use umberloom::interface::{Class, Downstream, Idempotency, LoadHintKind, Preemption, Settings, Tenant};

use fields::{flag, list, number, number_or, object, objects, one_of, optional, whole, whole_or};
use fields::{Object, Read};
pub use names::{class_names, tenant_names, GaugeNames};

fn classes(options: &Object, info: &Object) -> Read<Vec<Class>> {
    let calls = list(info, "class_calls")?;
    let skips = list(info, "class_skip_worth")?;
    let mut classes = Vec::new();
    for (at, o) in objects(options, "classes")?.into_iter().enumerate() {
        let effects = [
            ("read_like", Idempotency::Idempotent),
            ("idempotency_key", Idempotency::WithKey),
            ("non_idempotent", Idempotency::NotIdempotent),
        ];
        let effect = one_of(o, "effect", "read_like", &effects)?;
        let window = whole_or(o, "repeat_window_us", 0)?;
        // What may be repeated is said by `effect` alone. A write that does no harm when it is repeated is `read_like`
        // too: another customer's class may be one, and must not keep the server from starting.
        flag(o, "write")?;
        if effect == Idempotency::WithKey && window == 0 {
            return Err(format!(
                "field `classes[{at}].repeat_window_us`: a keyed class needs a window above 0"
            ));
        }
        classes.push(Class {
            latency_objective: whole(o, "aim_us")?,
            objective_per_cost: number_or(o, "aim_stretch", 0.0)?,
            deadline: whole(o, "hard_limit_us")?,
            priority_weight: number(o, "credit")?,
            late_weight_share: number_or(o, "late_worth", 0.0)?,
            idempotency: effect,
            idempotency_window: window,
            calls_downstream: calls.get(at).and_then(Value::as_bool).unwrap_or(false),
            degraded_weight_share: skips.get(at).and_then(Value::as_f64).unwrap_or(0.0),
        });
    }
    Ok(classes)
}

fn tenants(options: &Object) -> Read<Vec<Tenant>> {
    let all = objects(options, "realms")?;
    all.into_iter().map(|o| Ok(Tenant { quota_per_s: number(o, "quota_rps")? })).collect()
}

/// The settings in `options`, for an instance with this seed.
pub fn settings(options: &Object, seed: u64) -> Read<Settings> {
    let info = object(options, "family_info")?;
    let rules = object(options, "guarantees")?;
    let empty = Object::new();
    let limits = optional(options, "limits", "an object", Value::as_object)?.unwrap_or(&empty);
    let prices = optional(options, "prices", "an object", Value::as_object)?.unwrap_or(&empty);
    let below =
        [("silent", Downstream::None), ("common", Downstream::Shared), ("next_hop", Downstream::NextTier)];
    let halts = [("silent", Preemption::Never), ("drop", Preemption::Abort), ("pause", Preemption::Pause)];
    let signals = [
        ("silent", LoadHintKind::None),
        ("min_rank", LoadHintKind::MinRank),
        ("tokens", LoadHintKind::Tokens),
        ("bias", LoadHintKind::Weight),
    ];
    let advice = flag(limits, "retry_after")?;
    Ok(Settings {
        seed,
        cores: whole(info, "n_cores")? as u32,
        memory_kb: number(info, "mem_limit_kb")?,
        run_memory_factor: number(info, "run_factor")?,
        key_kb: number_or(info, "key_kb", 0.0)?,
        starts_cold: flag(info, "fresh_start")?,
        classes: classes(options, info)?,
        tenants: tenants(options)?,
        over_quota_weight_share: number_or(options, "over_share_worth", 1.0)?,
        tier: whole_or(options, "tier", 0)? as u32,
        servers: whole(options, "servers")? as u32,
        callers: whole_or(info, "callers", 0)? as u32,
        downstream: one_of(info, "downstream", "silent", &below)?,
        call_quota: number_or(info, "dep_share", 0.0)?,
        call_window: whole_or(info, "calls_over_us", 0)?,
        abandoned_call_lifetime: whole_or(info, "linger_us", 0)?,
        preemption: one_of(info, "preemption", "silent", &halts)?,
        load_hint: one_of(info, "say", "silent", &signals)?,
        shared_read_ttl: whole_or(info, "fresh_us", 0)?,
        retry_after_max: if advice { whole_or(limits, "max_retry_after_us", 0)? } else { 0 },
        connection_cost: number_or(prices, "handshake", 0.0)?,
        idle_timeout_max: whole_or(info, "idle_us", 0)?,
        answer_slack: whole(rules, "grace_to_answer_us")?,
        drain_grace: whole(rules, "drain_grace_us")?,
        overload_per_core: number(rules, "fall_multiple")?,
        overload_window: whole(rules, "fall_us")?,
        warm_up_initial_speed: number_or(rules, "cold_from", 1.0)?,
        warm_up_time: whole_or(rules, "cold_us", 0)?,
        tick: whole_or(options, "tick_us", 0)?,
    })
}

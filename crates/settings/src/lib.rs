//! Reads the settings object that an instance is given when it starts, for the simulator's adapter and
//! the real server alike.

pub mod fields;
pub mod locate;
mod names;
pub mod shape;

use serde_json::Value;
use umberloom::interface::{Below, Class, Effect, Halt, Settings, Signal, Tenant};

use fields::{flag, list, number, number_or, object, objects, one_of, optional, whole, whole_or};
use fields::{Object, Read};
pub use names::{class_names, tenant_names, GaugeNames};

fn classes(options: &Object, info: &Object) -> Read<Vec<Class>> {
    let calls = list(info, "class_calls")?;
    let skips = list(info, "class_skip_worth")?;
    let mut classes = Vec::new();
    for (at, o) in objects(options, "classes")?.into_iter().enumerate() {
        let effects = [
            ("read_like", Effect::Safe),
            ("idempotency_key", Effect::Keyed),
            ("non_idempotent", Effect::Unsafe),
        ];
        let effect = one_of(o, "effect", "read_like", &effects)?;
        let window = whole_or(o, "repeat_window_us", 0)?;
        // What may be repeated is said by `effect` alone. A write that does no harm when it is repeated is `read_like`
        // too: another customer's class may be one, and must not keep the server from starting.
        flag(o, "write")?;
        if effect == Effect::Keyed && window == 0 {
            return Err(format!(
                "field `classes[{at}].repeat_window_us`: a keyed class needs a window above 0"
            ));
        }
        classes.push(Class {
            aim: whole(o, "aim_us")?,
            aim_stretch: number_or(o, "aim_stretch", 0.0)?,
            deadline: whole(o, "hard_limit_us")?,
            worth: number(o, "credit")?,
            late_worth: number_or(o, "late_worth", 0.0)?,
            effect,
            window,
            calls: calls.get(at).and_then(Value::as_bool).unwrap_or(false),
            skip_worth: skips.get(at).and_then(Value::as_f64).unwrap_or(0.0),
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
    let below = [("silent", Below::Nothing), ("common", Below::Common), ("next_hop", Below::NextTier)];
    let halts = [("silent", Halt::Never), ("drop", Halt::Drop), ("pause", Halt::Pause)];
    let signals = [
        ("silent", Signal::Silent),
        ("min_rank", Signal::MinRank),
        ("tokens", Signal::Tokens),
        ("bias", Signal::Weight),
    ];
    let advice = flag(limits, "retry_after")?;
    Ok(Settings {
        seed,
        cores: whole(info, "n_cores")? as u32,
        memory_kb: number(info, "mem_limit_kb")?,
        run_factor: number(info, "run_factor")?,
        key_kb: number_or(info, "key_kb", 0.0)?,
        cold: flag(info, "fresh_start")?,
        classes: classes(options, info)?,
        tenants: tenants(options)?,
        over_share_worth: number_or(options, "over_share_worth", 1.0)?,
        tier: whole_or(options, "tier", 0)? as u32,
        servers: whole(options, "servers")? as u32,
        callers: whole_or(info, "callers", 0)? as u32,
        below: one_of(info, "downstream", "silent", &below)?,
        call_share: number_or(info, "dep_share", 0.0)?,
        call_window: whole_or(info, "calls_over_us", 0)?,
        call_linger: whole_or(info, "linger_us", 0)?,
        halt: one_of(info, "preemption", "silent", &halts)?,
        signal: one_of(info, "say", "silent", &signals)?,
        shared_reads: whole_or(info, "fresh_us", 0)?,
        advice_max: if advice { whole_or(limits, "max_retry_after_us", 0)? } else { 0 },
        connect_price: number_or(prices, "handshake", 0.0)?,
        idle_max: whole_or(info, "idle_us", 0)?,
        answer_slack: whole(rules, "grace_to_answer_us")?,
        drain_grace: whole(rules, "drain_grace_us")?,
        crowd: number(rules, "fall_multiple")?,
        crowd_window: whole(rules, "fall_us")?,
        cold_from: number_or(rules, "cold_from", 1.0)?,
        cold_for: whole_or(rules, "cold_us", 0)?,
        tick: whole_or(options, "tick_us", 0)?,
    })
}

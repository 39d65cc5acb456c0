//! larch-ca68 batches to events and settings.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Map, Value};
use umberloom::interface::{
    Arrival, Below, Class, Effect, Event, Gauges, Halt, Micros, Outcome, RequestId, Settings, Signal, Tenant,
};

type Object = Map<String, Value>;
type Read<T> = Result<T, String>;

/// One line of input.
pub struct Batch {
    /// The clock.
    pub now: Micros,
    /// What happened, and to which instance.
    pub news: Vec<(u64, News)>,
}

/// What can happen to an instance.
pub enum News {
    /// It starts with these settings.
    Start(Settings),
    /// Its process has died.
    Stop,
    /// It is told something.
    Event(Event),
}

/// The names of the gauges of each instance, in the order in which they come.
#[derive(Default)]
pub struct Layouts(BTreeMap<u64, Vec<String>>);

fn wrong<T>(field: &str, expected: &str) -> Read<T> {
    Err(format!("field `{field}`: expected {expected}"))
}

/// A field's value; absent and null are the same.
fn get<'a>(o: &'a Object, field: &str) -> Option<&'a Value> {
    o.get(field).filter(|v| !v.is_null())
}

fn optional<'a, T>(
    o: &'a Object,
    field: &str,
    expected: &str,
    read: fn(&'a Value) -> Option<T>,
) -> Read<Option<T>> {
    match get(o, field) {
        None => Ok(None),
        Some(v) => read(v).map_or_else(|| wrong(field, expected), |t| Ok(Some(t))),
    }
}

fn required<'a, T>(o: &'a Object, field: &str, expected: &str, read: fn(&'a Value) -> Option<T>) -> Read<T> {
    optional(o, field, expected, read)?.map_or_else(|| wrong(field, expected), Ok)
}

fn whole(o: &Object, field: &str) -> Read<u64> {
    required(o, field, "a whole number of 0 or more", Value::as_u64)
}

fn whole_or(o: &Object, field: &str, absent: u64) -> Read<u64> {
    Ok(optional(o, field, "a whole number of 0 or more", Value::as_u64)?.unwrap_or(absent))
}

fn number(o: &Object, field: &str) -> Read<f64> {
    required(o, field, "a number", Value::as_f64)
}

fn number_or(o: &Object, field: &str, absent: f64) -> Read<f64> {
    Ok(optional(o, field, "a number", Value::as_f64)?.unwrap_or(absent))
}

fn flag(o: &Object, field: &str) -> Read<bool> {
    Ok(optional(o, field, "true or false", Value::as_bool)?.unwrap_or(false))
}

fn text<'a>(o: &'a Object, field: &str) -> Read<&'a str> {
    required(o, field, "a text", Value::as_str)
}

fn text_or<'a>(o: &'a Object, field: &str, absent: &'a str) -> Read<&'a str> {
    Ok(optional(o, field, "a text", Value::as_str)?.unwrap_or(absent))
}

fn object<'a>(o: &'a Object, field: &str) -> Read<&'a Object> {
    required(o, field, "an object", Value::as_object)
}

fn list<'a>(o: &'a Object, field: &str) -> Read<&'a [Value]> {
    Ok(optional(o, field, "an array", Value::as_array)?.map_or(&[], Vec::as_slice))
}

fn objects<'a>(o: &'a Object, field: &str) -> Read<Vec<&'a Object>> {
    let items = list(o, field)?.iter().map(Value::as_object).collect::<Option<Vec<_>>>();
    items.map_or_else(|| wrong(field, "an array of objects"), Ok)
}

fn one_of<T: Copy>(o: &Object, field: &str, absent: &str, known: &[(&str, T)]) -> Read<T> {
    let word = text_or(o, field, absent)?;
    known.iter().find(|(name, _)| *name == word).map_or_else(
        || wrong(field, &known.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(" or ")),
        |(_, value)| Ok(*value),
    )
}

fn id(o: &Object) -> Read<RequestId> {
    Ok(Arc::from(text(o, "txn")?))
}

/// An id that may be left out or written as 0.
fn repeats(o: &Object) -> Read<Option<RequestId>> {
    match get(o, "forerunner") {
        None => Ok(None),
        Some(Value::Number(n)) if n.as_u64() == Some(0) => Ok(None),
        Some(Value::String(s)) => Ok(Some(Arc::from(s.as_str()))),
        Some(_) => wrong("forerunner", "a text"),
    }
}

fn outcome(o: &Object) -> Read<Outcome> {
    match whole(o, "disposition")? {
        0 => Ok(Outcome::Ok),
        5 => Ok(Outcome::Error),
        11 => Ok(Outcome::Refused),
        110 => Ok(Outcome::TimedOut),
        111 => Ok(Outcome::Unreachable),
        104 => Ok(Outcome::Cut),
        125 => Ok(Outcome::Stopped),
        114 => Ok(Outcome::Moot),
        _ => wrong("disposition", "one of 0, 5, 11, 104, 110, 111, 114, 125"),
    }
}

/// Reads one line of input.
pub fn batch(line: &str, layouts: &mut Layouts) -> Read<Batch> {
    let value: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
    let Value::Object(top) = value else { return Err("expected an object".into()) };
    let now = whole(&top, "sim_time_us")?;
    let all = required(&top, "news", "an array", Value::as_array)?;
    let mut news = Vec::with_capacity(all.len());
    for item in all {
        let Some(o) = item.as_object() else { return wrong("news", "an array of objects") };
        let who = whole(o, "who")?;
        news.push((who, one(o, who, layouts)?));
    }
    Ok(Batch { now, news })
}

fn one(o: &Object, who: u64, layouts: &mut Layouts) -> Read<News> {
    let event = match text(o, "op")? {
        "power_on" => {
            let options = object(o, "options")?;
            layouts.0.insert(who, meters(options)?);
            return Ok(News::Start(settings(options, whole(o, "init_seed")?)?));
        }
        "crash_now" => return Ok(News::Stop),
        "ingress" => Event::Arrived(arrival(o)?),
        "completed" => Event::Ended(id(o)?, outcome(o)?, whole_or(o, "wait_time_us", 0)?),
        "stalled_on_call" => Event::NeedsCall(id(o)?),
        "call_result" => Event::Called(id(o)?, outcome(o)?, whole_or(o, "wait_time_us", 0)?),
        "left" => Event::Gone(id(o)?),
        "notice" => Event::Leave(whole(o, "grace_us")?),
        "bell" => Event::Timer(gauges(o, layouts.0.get(&who).map_or(&[], Vec::as_slice))?),
        _ => return wrong("op", "an event of the wire"),
    };
    Ok(News::Event(event))
}

fn arrival(o: &Object) -> Read<Arrival> {
    Ok(Arrival {
        id: id(o)?,
        class: whole(o, "tier_class")? as usize,
        tenant: whole_or(o, "billing", 0)? as usize,
        caller: whole_or(o, "author", 0)?,
        waits: Some(whole_or(o, "grace_us", 0)?).filter(|&w| w > 0),
        queued: whole_or(o, "queued_for_us", 0)?,
        held_kb: number_or(o, "footprint", 0.0)?,
        rank: number_or(o, "precedence", 0.0)?,
        cost: optional(o, "cost_us", "a whole number of 0 or more", Value::as_u64)?.filter(|&c| c > 0),
        repeats: repeats(o)?,
        retry: flag(o, "retry")?,
    })
}

fn meters(options: &Object) -> Read<Vec<String>> {
    let names = list(object(options, "family_info")?, "meters")?;
    let names = names.iter().map(|v| v.as_str().map(String::from)).collect::<Option<Vec<_>>>();
    names.map_or_else(|| wrong("family_info.meters", "an array of texts"), Ok)
}

fn gauges(o: &Object, names: &[String]) -> Read<Gauges> {
    let mut gauges = Gauges::default();
    for (name, value) in names.iter().zip(list(o, "feedback")?) {
        let Some(value) = value.as_f64() else { return wrong("feedback", "an array of numbers") };
        match name.as_str() {
            "core_use" => gauges.cpu = Some(value),
            "on_cores" => gauges.on_cores = Some(value),
            "heap_share" => gauges.memory = Some(value),
            "links" => gauges.connections = Some(value),
            _ => {}
        }
    }
    Ok(gauges)
}

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
        classes.push(Class {
            aim: whole(o, "aim_us")?,
            aim_stretch: number_or(o, "aim_stretch", 0.0)?,
            deadline: whole(o, "hard_limit_us")?,
            worth: number(o, "credit")?,
            late_worth: number_or(o, "late_worth", 0.0)?,
            effect: one_of(o, "effect", "read_like", &effects)?,
            window: whole_or(o, "repeat_window_us", 0)?,
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

fn settings(options: &Object, seed: u64) -> Read<Settings> {
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

//! larch-ca68 batches to events and settings.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::Value;
use umberloom::interface::{Arrival, Event, Gauges, Micros, Outcome, RequestId, Settings};
use umberloom_settings::fields::{
    flag, get, list, number_or, object, optional, required, text, whole, whole_or, wrong, Object, Read,
};
use umberloom_settings::{settings, GaugeNames};

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
pub struct Layouts(BTreeMap<u64, GaugeNames>);

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
        11 => Ok(Outcome::Rejected),
        110 => Ok(Outcome::TimedOut),
        111 => Ok(Outcome::Unreachable),
        104 => Ok(Outcome::ConnectionLost),
        125 => Ok(Outcome::Aborted),
        114 => Ok(Outcome::NotStarted),
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
            layouts.0.insert(who, GaugeNames::read(options)?);
            return Ok(News::Start(settings(options, whole(o, "init_seed")?)?));
        }
        "crash_now" => return Ok(News::Stop),
        "ingress" => Event::Arrived(arrival(o)?),
        "completed" => Event::RunEnded(id(o)?, outcome(o)?, whole_or(o, "wait_time_us", 0)?),
        "stalled_on_call" => Event::NeedsCall(id(o)?),
        "call_result" => Event::CallEnded(id(o)?, outcome(o)?, whole_or(o, "wait_time_us", 0)?),
        "left" => Event::Cancelled(id(o)?),
        "notice" => Event::Drain { time_left: whole(o, "grace_us")?, notified_ago: 0 },
        "bell" => Event::Timer(gauges(o, layouts.0.get(&who))?),
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
        caller_timeout: Some(whole_or(o, "grace_us", 0)?).filter(|&w| w > 0),
        read_delay: whole_or(o, "queued_for_us", 0)?,
        queued_kb: number_or(o, "footprint", 0.0)?,
        rank: number_or(o, "precedence", 0.0)?,
        cost: optional(o, "cost_us", "a whole number of 0 or more", Value::as_u64)?.filter(|&c| c > 0),
        duplicate_of: repeats(o)?,
        is_retry: flag(o, "retry")?,
    })
}

fn gauges(o: &Object, names: Option<&GaugeNames>) -> Read<Gauges> {
    let values = list(o, "feedback")?.iter().map(Value::as_f64).collect::<Option<Vec<_>>>();
    let Some(values) = values else { return wrong("feedback", "an array of numbers") };
    Ok(names.map(|names| names.gauges(values)).unwrap_or_default())
}

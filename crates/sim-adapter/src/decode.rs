//! Decodes lines of the simulator's larch-ca68 protocol into events and settings.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::Value;
use thiserror::Error;
use umberloom::interface::{Arrival, Event, Gauges, Micros, Outcome, RequestId, Settings};
use umberloom_settings::fields::{
    flag, get, integer, integer_or, list, number_or, object, optional, required, text, Object,
};
use umberloom_settings::{settings, GaugeNames, SettingsError};

/// A line that can't be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("expected an object")]
    NotAnObject,
    #[error(transparent)]
    Field(#[from] SettingsError),
}

/// The content of one line of input.
pub struct Batch {
    /// The simulator's time, in microseconds.
    pub now: Micros,
    /// The inputs, in the order in which they occurred.
    pub inputs: Vec<Input>,
}

/// An input for one instance.
pub struct Input {
    pub instance: u64,
    pub kind: InputKind,
}

/// The kinds of input for an instance.
pub enum InputKind {
    /// The instance starts with these settings.
    Start(Settings),
    /// The process of the instance has crashed.
    Stop,
    /// An event for its admission controller.
    Event(Event),
}

/// Decodes lines. It stores the gauge names of each instance, because timer events list only the values, in
/// the order of the names.
#[derive(Default)]
pub struct Decoder {
    gauge_names: BTreeMap<u64, GaugeNames>,
}

impl Decoder {
    /// Decodes one line of input.
    pub fn decode(&mut self, line: &str) -> Result<Batch, DecodeError> {
        let Value::Object(top) = serde_json::from_str(line)? else { return Err(DecodeError::NotAnObject) };
        let now = integer(&top, "sim_time_us")?;
        let news = required(&top, "news", "an array", Value::as_array)?;
        let mut inputs = Vec::with_capacity(news.len());
        for item in news {
            let item =
                item.as_object().ok_or_else(|| SettingsError::unexpected("news", "an array of objects"))?;
            let instance = integer(item, "who")?;
            inputs.push(Input { instance, kind: self.input_kind(item, instance)? });
        }
        Ok(Batch { now, inputs })
    }

    fn input_kind(&mut self, item: &Object, instance: u64) -> Result<InputKind, SettingsError> {
        let event = match text(item, "op")? {
            "power_on" => {
                let options = object(item, "options")?;
                self.gauge_names.insert(instance, GaugeNames::read(options)?);
                return Ok(InputKind::Start(settings(options, integer(item, "init_seed")?)?));
            }
            "crash_now" => return Ok(InputKind::Stop),
            "ingress" => Event::Arrived(arrival(item)?),
            "completed" => {
                Event::RunEnded(request_id(item)?, outcome(item)?, integer_or(item, "wait_time_us", 0)?)
            }
            "stalled_on_call" => Event::NeedsCall(request_id(item)?),
            "call_result" => {
                Event::CallEnded(request_id(item)?, outcome(item)?, integer_or(item, "wait_time_us", 0)?)
            }
            "left" => Event::Cancelled(request_id(item)?),
            "notice" => Event::Drain { time_left: integer(item, "grace_us")?, notified_ago: 0 },
            "bell" => Event::Timer(self.gauges(item, instance)?),
            _ => return Err(SettingsError::unexpected("op", "the name of an event")),
        };
        Ok(InputKind::Event(event))
    }

    fn gauges(&self, item: &Object, instance: u64) -> Result<Gauges, SettingsError> {
        let values = list(item, "feedback")?.iter().map(Value::as_f64).collect::<Option<Vec<_>>>();
        let values = values.ok_or_else(|| SettingsError::unexpected("feedback", "an array of numbers"))?;
        Ok(self.gauge_names.get(&instance).map(|names| names.gauges(values)).unwrap_or_default())
    }
}

fn request_id(item: &Object) -> Result<RequestId, SettingsError> {
    Ok(Arc::from(text(item, "txn")?))
}

/// Reads the id of the request that an arrival duplicates. The field is absent or 0 for other arrivals.
fn duplicate_of(item: &Object) -> Result<Option<RequestId>, SettingsError> {
    match get(item, "forerunner") {
        None => Ok(None),
        Some(Value::Number(number)) if number.as_u64() == Some(0) => Ok(None),
        Some(Value::String(id)) => Ok(Some(Arc::from(id.as_str()))),
        Some(_) => Err(SettingsError::unexpected("forerunner", "a text")),
    }
}

fn outcome(item: &Object) -> Result<Outcome, SettingsError> {
    match integer(item, "disposition")? {
        0 => Ok(Outcome::Ok),
        5 => Ok(Outcome::Error),
        11 => Ok(Outcome::Rejected),
        104 => Ok(Outcome::ConnectionLost),
        110 => Ok(Outcome::TimedOut),
        111 => Ok(Outcome::Unreachable),
        114 => Ok(Outcome::NotStarted),
        125 => Ok(Outcome::Aborted),
        _ => Err(SettingsError::unexpected("disposition", "one of 0, 5, 11, 104, 110, 111, 114, 125")),
    }
}

fn arrival(item: &Object) -> Result<Arrival, SettingsError> {
    let cost = optional(item, "cost_us", "a whole number of 0 or more", Value::as_u64)?;
    Ok(Arrival {
        id: request_id(item)?,
        class: integer(item, "tier_class")? as usize,
        tenant: integer_or(item, "billing", 0)? as usize,
        caller: integer_or(item, "author", 0)?,
        caller_timeout: Some(integer_or(item, "grace_us", 0)?).filter(|&timeout| timeout > 0),
        read_delay: integer_or(item, "queued_for_us", 0)?,
        queued_kb: number_or(item, "footprint", 0.0)?,
        rank: number_or(item, "precedence", 0.0)?,
        cost: cost.filter(|&cost| cost > 0),
        duplicate_of: duplicate_of(item)?,
        is_retry: flag(item, "retry")?,
    })
}

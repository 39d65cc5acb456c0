//! What happened, on one clock: Unix microseconds, which all processes on this machine share.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

/// Unix time in microseconds.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// One thing that happened.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_us: u64,
    /// A server by its name, or `rig`.
    pub source: String,
    /// `log`, `fault`, `answer`, `process`.
    pub kind: &'static str,
    pub details: Value,
}

/// All of it. Copies share it.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Event>>>);

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl History {
    /// Something happened now.
    pub fn record(&self, who: &str, kind: &'static str, what: Value) {
        lock(&self.0).push(Event { at_us: now_us(), source: who.to_owned(), kind, details: what });
    }

    pub fn add(&self, event: Event) {
        lock(&self.0).push(event);
    }

    /// Everything so far, in the order of its times.
    pub fn events(&self) -> Vec<Event> {
        let mut events = lock(&self.0).clone();
        events.sort_by_key(|event| event.at_us);
        events
    }

    /// Log lines of a server with this message.
    pub fn log_lines(&self, who: &str, message: &str) -> Vec<Event> {
        let fits = |e: &Event| e.source == who && e.kind == "log" && e.details["msg"] == message;
        self.events().into_iter().filter(fits).collect()
    }

    /// Writes it down, one JSON object a line.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for Event { at_us, source, kind, details } in self.events() {
            writeln!(file, "{}", json!({"at": at_us, "who": source, "kind": kind, "what": details}))?;
        }
        file.flush()
    }
}

//! The recorded history of a run, on one clock: Unix microseconds, which all processes on this machine share.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

/// Unix time in microseconds.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// One event of a history.
#[derive(Clone, Debug)]
pub struct Event {
    /// Unix time in microseconds.
    pub at_us: u64,
    /// The name of a server, or `rig` for the harness itself.
    pub source: String,
    /// `log` for a log line, `fault` for an injected fault, `process` for the start of a process.
    pub kind: &'static str,
    /// A log line as the server wrote it, or the properties of the fault or the process.
    pub details: Value,
}

/// All events of a run. Clones share the same events.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Event>>>);

/// Locks a mutex, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl History {
    /// Adds an event with the present time.
    pub fn record(&self, source: &str, kind: &'static str, details: Value) {
        lock(&self.0).push(Event { at_us: now_us(), source: source.to_owned(), kind, details });
    }

    /// Adds an event with a time of its own.
    pub fn add(&self, event: Event) {
        lock(&self.0).push(event);
    }

    /// All events so far, ordered by time.
    pub fn events(&self) -> Vec<Event> {
        let mut events = lock(&self.0).clone();
        events.sort_by_key(|event| event.at_us);
        events
    }

    /// The log lines of a server with this message.
    pub fn log_lines(&self, server: &str, message: &str) -> Vec<Event> {
        let matches = |e: &Event| e.source == server && e.kind == "log" && e.details["msg"] == message;
        self.events().into_iter().filter(matches).collect()
    }

    /// Writes the events to a file, one JSON object per line.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for Event { at_us, source, kind, details } in self.events() {
            writeln!(file, "{}", json!({"at": at_us, "who": source, "kind": kind, "what": details}))?;
        }
        file.flush()
    }
}

//! Log lines, written by a thread of their own so that a slow reader never blocks the executor.

use std::sync::Mutex;

use slog::{o, Drain, Level, Logger};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_term::{FullFormat, PlainSyncDecorator};
use thiserror::Error;

/// Lines that may wait to be written; what comes on top is counted and dropped.
const MAX_PENDING_LINES: usize = 1024;

/// Keeps the log's thread running; the last lines are written when it is dropped.
pub struct LogGuard {
    _guard: Mutex<AsyncGuard>,
}

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line, with `ts`, `level` and `msg`.
    Json,
}

/// A word that names no format.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("found {found:?}, expected \"text\" or \"json\"")]
pub struct UnknownLogFormat {
    found: String,
}

impl std::str::FromStr for LogFormat {
    type Err = UnknownLogFormat;

    fn from_str(text: &str) -> Result<LogFormat, UnknownLogFormat> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            other => Err(UnknownLogFormat { found: other.to_owned() }),
        }
    }
}

type LineDrain = Box<dyn Drain<Ok = (), Err = slog::Never> + Send>;

/// A log on standard error that shows lines of `level` and above; `server` is a field of each line.
pub fn start(server: &str, level: Level, format: LogFormat) -> (Logger, LogGuard) {
    let lines: LineDrain = match format {
        LogFormat::Text => {
            let decorator = PlainSyncDecorator::new(std::io::stderr());
            Box::new(FullFormat::new(decorator).build().ignore_res())
        }
        LogFormat::Json => {
            let lines = slog_json::Json::default(std::io::stderr());
            Box::new(Mutex::new(lines).ignore_res())
        }
    };
    let (drain, guard) = Async::new(lines)
        .chan_size(MAX_PENDING_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("log".to_owned())
        .build_with_guard();
    let drain = drain.filter_level(level).ignore_res();
    let logger = Logger::root(drain, o!("server" => server.to_owned()));
    (logger, LogGuard { _guard: Mutex::new(guard) })
}

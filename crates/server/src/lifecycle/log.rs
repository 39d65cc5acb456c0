//! Logging to standard error, by a thread of its own so that a slow reader never blocks the executor.

use std::sync::Mutex;

use slog::{o, Drain, Level, Logger};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_term::{FullFormat, PlainSyncDecorator};
use thiserror::Error;

/// Maximum number of lines waiting to be written; further lines are dropped and counted.
const MAX_PENDING_LINES: usize = 1024;

/// Keeps the log's thread running; dropping it writes the last lines.
pub struct LogGuard {
    _guard: Mutex<AsyncGuard>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line, with `ts`, `level` and `msg`.
    Json,
}

/// The given word is not the name of a log format.
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

/// Starts a log on standard error with the lines of `level` and above; each line has the server's name as the
/// field `server`.
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

//! Log lines, written by a thread of their own so that a slow reader never holds the executor up.

use std::sync::Mutex;

use slog::{o, Drain, Level, Logger};
use slog_async::{Async, OverflowStrategy};
use slog_term::{FullFormat, PlainSyncDecorator};

/// Lines that may wait to be written; what comes on top is counted and dropped.
const WAITING: usize = 1024;

/// Keeps the log going; the last lines are written when it is dropped.
pub struct Guard(#[allow(dead_code)] Mutex<slog_async::AsyncGuard>);

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line, with `ts`, `level` and `msg`.
    Json,
}

impl std::str::FromStr for Form {
    type Err = String;

    fn from_str(text: &str) -> Result<Form, String> {
        match text {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            other => Err(format!("found {other:?}, expected \"text\" or \"json\"")),
        }
    }
}

/// Either kind of lines.
type Lines = Box<dyn Drain<Ok = (), Err = slog::Never> + Send>;

/// A log on standard error that shows lines of `level` and above.
pub fn start(name: &str, level: Level, form: Form) -> (Logger, Guard) {
    let lines: Lines = match form {
        Form::Text => {
            Box::new(FullFormat::new(PlainSyncDecorator::new(std::io::stderr())).build().ignore_res())
        }
        Form::Json => {
            let lines = slog_json::Json::default(std::io::stderr());
            Box::new(Mutex::new(lines).ignore_res())
        }
    };
    let (drain, guard) = Async::new(lines)
        .chan_size(WAITING)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("log".to_owned())
        .build_with_guard();
    let drain = drain.filter_level(level).ignore_res();
    (Logger::root(drain, o!("server" => name.to_owned())), Guard(Mutex::new(guard)))
}

//! Log lines, written by a thread of their own so that a slow reader never holds the executor up.

use std::sync::Mutex;

use slog::{o, Drain, Level, Logger};
use slog_async::{Async, OverflowStrategy};
use slog_term::{FullFormat, PlainSyncDecorator};

/// Lines that may wait to be written; what comes on top is counted and dropped.
const WAITING: usize = 1024;

/// Keeps the log going; the last lines are written when it is dropped.
pub struct Guard(#[allow(dead_code)] Mutex<slog_async::AsyncGuard>);

/// A log on standard error that shows lines of `level` and above.
pub fn start(name: &str, level: Level) -> (Logger, Guard) {
    let lines = FullFormat::new(PlainSyncDecorator::new(std::io::stderr())).build().ignore_res();
    let (drain, guard) = Async::new(lines)
        .chan_size(WAITING)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("log".to_owned())
        .build_with_guard();
    let drain = drain.filter_level(level).ignore_res();
    (Logger::root(drain, o!("server" => name.to_owned())), Guard(Mutex::new(guard)))
}

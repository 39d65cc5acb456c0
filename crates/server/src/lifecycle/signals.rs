//! Notices from the system.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// The notices to leave.
pub struct Notices(Signals);

impl Notices {
    /// Begins to listen.
    pub fn new() -> std::io::Result<Notices> {
        Signals::new([Signal::Term, Signal::Int]).map(Notices)
    }

    /// The next notice.
    pub async fn next(&mut self) {
        // The stream has no end; were reading it to fail, no notice could come any more.
        while !matches!(self.0.next().await, Some(Ok(_))) {}
    }
}

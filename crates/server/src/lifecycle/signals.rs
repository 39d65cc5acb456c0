//! Notices from the system.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// What the system may ask of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Drain, then end.
    Leave,
    /// The configuration has been replaced: read it again.
    Reload,
}

/// The notices, from the moment they are listened to.
pub struct Notices(Signals);

impl Notices {
    /// Begins to listen.
    pub fn new() -> std::io::Result<Notices> {
        // Unheard, each of them would end the process.
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map(Notices)
    }

    /// The next notice.
    pub async fn next(&mut self) -> Notice {
        loop {
            // The stream has no end; were reading it to fail, no notice could come any more.
            match self.0.next().await {
                Some(Ok(Signal::Hup)) => return Notice::Reload,
                Some(Ok(_)) => return Notice::Leave,
                Some(Err(_)) | None => {}
            }
        }
    }
}

//! Signals of the operating system.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// What a signal asks of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT: drain, then exit.
    Shutdown,
    /// SIGHUP: read the configuration files again.
    Reload,
}

/// Receives signals from the moment it is created.
pub struct SignalListener(Signals);

impl SignalListener {
    /// Starts to listen. Without a listener each of these signals would end the process.
    pub fn new() -> std::io::Result<SignalListener> {
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map(SignalListener)
    }

    /// The next request.
    pub async fn next(&mut self) -> SignalRequest {
        loop {
            // The stream has no end; were reading it to fail, no signal could come any more.
            match self.0.next().await {
                Some(Ok(Signal::Hup)) => return SignalRequest::Reload,
                Some(Ok(_)) => return SignalRequest::Shutdown,
                Some(Err(_)) | None => {}
            }
        }
    }
}

//! Receives the signals of the operating system.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// The request that a signal stands for.
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
    /// Starts to listen for SIGTERM, SIGINT and SIGHUP. Without a listener each of these would end the
    /// process.
    pub fn new() -> std::io::Result<SignalListener> {
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map(SignalListener)
    }

    /// Waits for the next request.
    pub async fn next(&mut self) -> SignalRequest {
        loop {
            // The stream never ends. If reading it failed, no further signal could be received.
            match self.0.next().await {
                Some(Ok(Signal::Hup)) => return SignalRequest::Reload,
                Some(Ok(_)) => return SignalRequest::Shutdown,
                Some(Err(_)) | None => {}
            }
        }
    }
}

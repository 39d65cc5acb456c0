//! Receives the signals of the operating system.

use std::io::{ErrorKind, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::signal::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::low_level::pipe;
use umberloom::interface::Micros;

use super::clock::Clock;

/// Longest time between two checks of a running process. A shutdown signal may have come up to this much
/// later than it is taken to have come.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The request that a signal stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT: drain, then exit.
    Shutdown {
        /// The last time at which no such signal had come. The process does not learn when a signal was sent
        /// while it was not run, only that it was after this time.
        not_before: Micros,
    },
    /// SIGHUP: read the configuration files again. It stands for all SIGHUPs since the last one returned.
    Reload,
}

/// Receives signals from the moment it is created.
///
/// The signal handlers set flags, of which none can be lost however many signals come, and write to a socket
/// only to wake the server.
pub struct SignalListener {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wakeups: Async<UnixStream>,
    clock: Clock,
    /// The last time at which no shutdown signal had come.
    last_check: Micros,
}

impl SignalListener {
    /// Starts to listen for SIGTERM, SIGINT and SIGHUP. Without a listener each of these would end the
    /// process.
    pub fn new(clock: Clock) -> std::io::Result<SignalListener> {
        let last_check = clock.now();
        let (wakeups, wake_sender) = UnixStream::pair()?;
        let wakeups = Async::new(wakeups)?;
        let (shutdown, reload) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        for (signal, flag) in [(SIGTERM, &shutdown), (SIGINT, &shutdown), (SIGHUP, &reload)] {
            // Handlers run in the order of their registration: the flag is set before the server wakes.
            flag::register(signal, flag.clone())?;
            pipe::register(signal, wake_sender.try_clone()?)?;
        }
        Ok(SignalListener { shutdown, reload, wakeups, clock, last_check })
    }

    /// Waits for the next request. A shutdown takes precedence over a reload.
    pub async fn next(&mut self) -> SignalRequest {
        loop {
            if let Some(request) = self.check() {
                return request;
            }
            let woken = async {
                // If the socket failed, signals would still be found at the next check.
                if self.wakeups.readable().await.is_err() {
                    future::pending::<()>().await;
                }
            };
            let check_due = async {
                Timer::after(CHECK_INTERVAL).await;
            };
            future::or(woken, check_due).await;
            self.discard_wakeups();
        }
    }

    /// Checks for signals without waiting.
    fn check(&mut self) -> Option<SignalRequest> {
        // The time is read before the flag: a signal that is not found comes later than that.
        let now = self.clock.now();
        if self.shutdown.swap(false, Ordering::SeqCst) {
            return Some(SignalRequest::Shutdown { not_before: self.last_check });
        }
        self.last_check = now;
        self.reload.swap(false, Ordering::SeqCst).then_some(SignalRequest::Reload)
    }

    fn discard_wakeups(&self) {
        let mut buffer = [0; 256];
        loop {
            match self.wakeups.get_ref().read(&mut buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }
}

#[cfg(test)]
mod tests;

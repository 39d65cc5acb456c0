//! Receives the signals of the operating system.

use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use nix::sys::signal::{SigSet, Signal};
use nix::sys::signalfd::{SfdFlags, SignalFd};
use umberloom::interface::Micros;

use super::clock::Clock;

/// Longest time between two checks of a running process. A shutdown signal may have come up to this much
/// later than it is taken to have come.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How late the checks were: the time in which the process was not run, or was busy with something else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CheckLateness {
    /// Sum over all checks, in microseconds.
    pub total: Micros,
    /// The latest check, in microseconds.
    pub longest: Micros,
}

impl CheckLateness {
    /// Counts a check that comes this long after the one before.
    fn record(&mut self, interval: Micros) {
        let late = interval.saturating_sub(CHECK_INTERVAL.as_micros() as Micros);
        self.total += late;
        self.longest = self.longest.max(late);
    }
}

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
/// The signals are blocked in all threads and read from a descriptor, not handled: a check then finds each
/// signal that has come. A handler would run on any thread, and a check that comes before it would miss a
/// signal that has come long ago.
pub struct SignalListener {
    signals: Async<SignalFd>,
    clock: Clock,
    /// The last time at which no shutdown signal had come.
    last_check: Micros,
    /// A reload was requested and not returned yet.
    reload_requested: bool,
    lateness: CheckLateness,
}

impl SignalListener {
    /// Starts to listen for SIGTERM, SIGINT and SIGHUP. Without a listener each of these would end the
    /// process. This must be called before any other thread is started, as threads inherit which signals are
    /// blocked.
    pub fn new(clock: Clock) -> std::io::Result<SignalListener> {
        let last_check = clock.now();
        let signals: SigSet = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP].into_iter().collect();
        signals.thread_block()?;
        let descriptor = SignalFd::with_flags(&signals, SfdFlags::SFD_CLOEXEC | SfdFlags::SFD_NONBLOCK)?;
        Ok(SignalListener {
            signals: Async::new(descriptor)?,
            clock,
            last_check,
            reload_requested: false,
            lateness: CheckLateness::default(),
        })
    }

    /// How late the checks have been so far.
    pub fn lateness(&self) -> CheckLateness {
        self.lateness
    }

    /// Waits for the next request. A shutdown takes precedence over a reload.
    pub async fn next(&mut self) -> SignalRequest {
        loop {
            if let Some(request) = self.check() {
                return request;
            }
            let woken = async {
                // If the wait failed, signals would still be found at the next check.
                if self.signals.readable().await.is_err() {
                    future::pending::<()>().await;
                }
            };
            let check_due = async {
                Timer::after(CHECK_INTERVAL).await;
            };
            future::or(woken, check_due).await;
        }
    }

    /// Checks for signals without waiting.
    fn check(&mut self) -> Option<SignalRequest> {
        // The time is read first: a signal that is not found comes later than that.
        let now = self.clock.now();
        self.lateness.record(now.saturating_sub(self.last_check));
        let mut shutdown_requested = false;
        while let Ok(Some(signal)) = self.signals.get_ref().read_signal() {
            if signal.ssi_signo == Signal::SIGHUP as u32 {
                self.reload_requested = true;
            } else {
                shutdown_requested = true;
            }
        }
        if shutdown_requested {
            return Some(SignalRequest::Shutdown { not_before: self.last_check });
        }
        self.last_check = now;
        std::mem::take(&mut self.reload_requested).then_some(SignalRequest::Reload)
    }
}

#[cfg(test)]
mod tests;

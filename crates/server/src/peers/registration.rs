//! This server's entry at the announce service, from which load balancers learn the list of servers. The
//! actor reports periodically whether this server accepts work, as an entry expires without reports.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, info, Logger};
use umberloom::interface::Micros;
use umberloom_dependencies::probe_pacing::{ProbePacer, ProbeRate};

use super::{dependency, stream};
use crate::messages::registration::RegistrationCommand;
use crate::wire::http;

/// Capacity of the mailbox in commands.
pub const MAILBOX_CAPACITY: usize = 16;
/// Interval between reports; an entry expires 3 s after the last one.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Time limit for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit on the attempts of all servers together while the service is down: no more than these arrive at once
/// when it returns, and no entry expires until then. The times of each server's attempts are random.
const FLEET_RETRY_RATE: ProbeRate = ProbeRate { window: 100_000, max_probes: 10.0 };
/// Longest delay of a server between two attempts while the service is down, in microseconds.
const MAX_RETRY_INTERVAL: Micros = 1_050_000;
/// Number of consecutive unconfirmed reports after which the service counts as unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 4;

/// The actor that reports to the announce service.
pub struct Registration {
    address: SocketAddr,
    path: String,
    commands: Receiver<RegistrationCommand>,
    /// Whether this server accepts work; `None` until the first command says so.
    accepting: Option<bool>,
    /// Number of consecutive reports that were not confirmed.
    failed_reports: u32,
    /// The state in the last unconfirmed report: the service may still read it after a newer report.
    unconfirmed_state: Option<bool>,
    /// Randomizes the times of attempts while the service is down.
    pacer: ProbePacer,
    /// The connection of the last report, if it can be reused.
    connection: Option<Async<TcpStream>>,
    log: Logger,
}

impl Registration {
    /// Creates the actor for the server `name`, one of `servers`. All of them may have the same seed, as
    /// their names differ.
    pub fn new(
        address: SocketAddr,
        name: &str,
        (servers, seed): (u32, u64),
        commands: Receiver<RegistrationCommand>,
        log: Logger,
    ) -> Registration {
        let path = format!("/announce/{name}");
        let pacer = ProbePacer::new(servers, seed, name);
        Registration {
            address,
            path,
            commands,
            accepting: None,
            failed_reports: 0,
            unconfirmed_state: None,
            pacer,
            connection: None,
            log,
        }
    }

    /// Reports periodically from the first command on, and at once when a command arrives.
    pub async fn run(mut self) {
        while let Some(command) = self.next_command().await {
            if let Some(command) = command {
                self.handle_command(command);
            }
            while let Ok(newer) = self.commands.try_recv() {
                self.handle_command(newer);
            }
            if let Some(accepting) = self.accepting {
                let confirmed =
                    stream::with_timeout(REPORT_TIMEOUT, self.send_report(accepting)).await.unwrap_or(false);
                self.handle_report_result(accepting, confirmed);
            }
        }
    }

    /// Waits until the next report is due (`Some(None)`) or a command arrives before that; `None` once all
    /// senders are gone.
    async fn next_command(&mut self) -> Option<Option<RegistrationCommand>> {
        let delay = self.report_delay();
        let report_due = async {
            if self.accepting.is_none() {
                return future::pending().await;
            }
            Timer::after(delay).await;
            Some(None)
        };
        future::or(async { self.commands.recv().await.ok().map(Some) }, report_due).await
    }

    /// Delay until the next report. The service may still read a report that timed out, which would replace a
    /// newer state, so the newer state is reported again soon.
    fn report_delay(&mut self) -> Duration {
        let may_be_overwritten = self.unconfirmed_state.is_some_and(|state| self.accepting != Some(state));
        if self.failed_reports == 0 && !may_be_overwritten {
            return REPORT_INTERVAL;
        }
        if self.failed_reports == 0 {
            self.unconfirmed_state = None;
        }
        Duration::from_micros(self.pacer.next_delay(FLEET_RETRY_RATE, MAX_RETRY_INTERVAL))
    }

    fn handle_command(&mut self, command: RegistrationCommand) {
        match command {
            RegistrationCommand::SetAccepting(accepting) => self.accepting = Some(accepting),
            RegistrationCommand::SetAddress(address) => (self.address, self.connection) = (address, None),
        }
    }

    /// Records the result of a report. An unconfirmed report may have taken effect all the same. It is
    /// repeated soon on a new connection, because on the old one its late reply would be taken for that of
    /// the next report. Only several in a row are logged as an unreachable service.
    fn handle_report_result(&mut self, reported_state: bool, confirmed: bool) {
        if !confirmed {
            self.connection = None;
            self.unconfirmed_state = Some(reported_state);
        }
        let previous_failures = self.failed_reports;
        self.failed_reports = if confirmed { 0 } else { previous_failures.saturating_add(1) };
        if self.failed_reports == UNREACHABLE_AFTER_FAILURES {
            info!(self.log, "announce service unreachable"; "failed_reports" => self.failed_reports);
        } else if confirmed && previous_failures >= UNREACHABLE_AFTER_FAILURES {
            info!(self.log, "announce service reachable"; "failed_reports" => previous_failures);
        }
    }

    /// Sends one report; returns whether the service has confirmed it.
    async fn send_report(&mut self, accepting: bool) -> bool {
        let body = format!("{{\"accepting\":\"{accepting}\"}}");
        let host = self.address.to_string();
        let request = http::encode_request("PUT", &self.path, &host, &[], body.as_bytes());
        let connection = match self.connection.take().filter(stream::is_silent) {
            Some(connection) => Ok(connection),
            None => Async::<TcpStream>::connect(self.address).await,
        };
        let Ok(connection) = connection else { return false };
        match dependency::exchange(&connection, &request).await {
            Ok(reply) => {
                self.connection = reply.keep_alive.then_some(connection);
                (200..300).contains(&reply.status)
            }
            Err(e) => {
                debug!(self.log, "report to announce service failed"; "error" => %e);
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;

//! This server's entry at the announce service, from which load balancers learn the list of servers: the actor reports
//! steadily whether this server accepts work, as an entry lapses without reports.

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

/// Commands that may wait in the mailbox.
pub const MAILBOX_CAPACITY: usize = 16;
/// Time between reports; an entry lapses 3 s after the last.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Time for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// While the service is down all servers together make no more attempts than this: no more
/// than these meet it when it returns, and no entry lapses until then. Each server's own attempts are drawn at random.
const FLEET_RETRY_RATE: ProbeRate = ProbeRate { window: 100_000, max_probes: 10.0 };
/// No server waits longer than this between two attempts.
const MAX_RETRY_INTERVAL: Micros = 1_050_000;
/// After so many reports in a row without an answer the service counts as unreachable.
const UNREACHABLE_AFTER: u32 = 4;

/// The actor.
pub struct Registration {
    address: SocketAddr,
    path: String,
    commands: Receiver<RegistrationCommand>,
    /// Whether this server takes work, once that is known.
    accepting: Option<bool>,
    /// Reports in a row that got no answer.
    failed_reports: u32,
    /// The state in the last of these: the service may read it yet, after a newer one.
    unconfirmed_state: Option<bool>,
    /// Draws the times of attempts while the service is down.
    pacer: ProbePacer,
    connection: Option<Async<TcpStream>>,
    log: Logger,
}

impl Registration {
    /// Reports of the server `name`, one of so many; the seed may be the same for all of them.
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

    /// Reports steadily from the first command on, and at once when the state changes.
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

    /// Waits until it is time to report, or for a command that comes before that; `None` at the end.
    async fn next_command(&mut self) -> Option<Option<RegistrationCommand>> {
        let span = self.report_delay();
        let pause = async {
            if self.accepting.is_none() {
                return future::pending().await;
            }
            Timer::after(span).await;
            Some(None)
        };
        future::or(async { self.commands.recv().await.ok().map(Some) }, pause).await
    }

    /// Time until the next report. One that timed out may still be read, and replaces a newer state then: that is
    /// reported again soon.
    fn report_delay(&mut self) -> Duration {
        let overtaken = self.unconfirmed_state.is_some_and(|state| self.accepting != Some(state));
        if self.failed_reports == 0 && !overtaken {
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

    /// A report without an answer may have counted all the same; it is repeated soon, on a connection of its own, as its
    /// reply would be taken for that of the next. Only several in a row are logged.
    fn handle_report_result(&mut self, reported: bool, confirmed: bool) {
        if !confirmed {
            self.connection = None;
            self.unconfirmed_state = Some(reported);
        }
        let failed_before = self.failed_reports;
        self.failed_reports = if confirmed { 0 } else { failed_before.saturating_add(1) };
        if self.failed_reports == UNREACHABLE_AFTER {
            info!(self.log, "announce service unreachable"; "failed_reports" => self.failed_reports);
        } else if confirmed && failed_before >= UNREACHABLE_AFTER {
            info!(self.log, "announce service reachable"; "failed_reports" => failed_before);
        }
    }

    /// Sends one report; whether the service has confirmed it.
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

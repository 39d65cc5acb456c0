//! Reports to the announce service, which keeps the list of servers for the balancers.

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

/// Words that may wait to be taken.
pub const MAILBOX_CAPACITY: usize = 16;
/// Time between reports; an entry lapses 3 s after the last.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Time for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// While the service is down all servers together try it so often in so long: it is met by no more when it returns, and
/// no entry lapses until then. Each server's own tries are drawn, at least one in a second and a half.
const TRIES: ProbeRate = ProbeRate { window: 100_000, max_probes: 10.0 };
const MAX_RETRY_INTERVAL: Micros = 1_050_000;
/// Reports in a row without an answer after which the service counts as not reached.
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
    /// The word of the last one of these: the service may read it yet, after a newer word.
    unconfirmed_state: Option<bool>,
    /// Of the tries of all servers, those of this one.
    pacer: ProbePacer,
    link: Option<Async<TcpStream>>,
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
            link: None,
            log,
        }
    }

    /// Reports steadily from the first word on, and at once when it changes.
    pub async fn run(mut self) {
        while let Some(word) = self.next_command().await {
            word.into_iter().for_each(|word| self.handle_command(word));
            while let Ok(newer) = self.commands.try_recv() {
                self.handle_command(newer);
            }
            if let Some(accepting) = self.accepting {
                let good =
                    stream::with_timeout(REPORT_TIMEOUT, self.send_report(accepting)).await.unwrap_or(false);
                self.handle_report_result(accepting, good);
            }
        }
    }

    /// Waits until it is time to report, for a word that comes before that; `None` at the end.
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

    /// Time until the next report. One that was given up may still be read, and takes the place of a newer word then: that
    /// is said again soon.
    fn report_delay(&mut self) -> Duration {
        let overtaken = self.unconfirmed_state.is_some_and(|word| self.accepting != Some(word));
        if self.failed_reports == 0 && !overtaken {
            return REPORT_INTERVAL;
        }
        if self.failed_reports == 0 {
            self.unconfirmed_state = None;
        }
        Duration::from_micros(self.pacer.next_delay(TRIES, MAX_RETRY_INTERVAL))
    }

    fn handle_command(&mut self, word: RegistrationCommand) {
        match word {
            RegistrationCommand::SetAccepting(accepting) => self.accepting = Some(accepting),
            RegistrationCommand::SetAddress(address) => (self.address, self.link) = (address, None),
        }
    }

    /// A report without an answer may have counted all the same; it is repeated soon, on a connection of its
    /// own, as its reply would be taken for that of the next. Only several in a row are worth a line.
    fn handle_report_result(&mut self, word: bool, good: bool) {
        if !good {
            self.link = None;
            self.unconfirmed_state = Some(word);
        }
        let before = self.failed_reports;
        self.failed_reports = if good { 0 } else { before.saturating_add(1) };
        if self.failed_reports == UNREACHABLE_AFTER || (good && before >= UNREACHABLE_AFTER) {
            info!(self.log, "announce service"; "reached" => good);
        }
    }

    async fn send_report(&mut self, word: bool) -> bool {
        let body = format!("{{\"accepting\":\"{word}\"}}");
        let host = self.address.to_string();
        let request = http::encode_request("PUT", &self.path, &host, &[], body.as_bytes());
        let kept = self.link.take().filter(stream::is_silent);
        let link = match kept {
            Some(link) => Ok(link),
            None => Async::<TcpStream>::connect(self.address).await,
        };
        let Ok(link) = link else { return false };
        let reply = dependency::exchange(&link, &request).await;
        match reply {
            Ok(reply) => {
                self.link = reply.keep_alive.then_some(link);
                (200..300).contains(&reply.status)
            }
            Err(e) => {
                debug!(self.log, "report failed"; "why" => %e);
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;

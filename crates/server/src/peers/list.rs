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
use crate::exchange::list::Word;
use crate::wire::http;

/// Words that may wait to be taken.
pub const MAILBOX: usize = 16;
/// Time between reports; an entry lapses 3 s after the last.
const EVERY: Duration = Duration::from_millis(700);
/// Time for one report.
const LIMIT: Duration = Duration::from_millis(300);
/// While the service is down all servers together try it so often in so long: it is met by no more when it returns, and
/// no entry lapses until then. Each server's own tries are drawn, at least one in a second and a half.
const TRIES: ProbeRate = ProbeRate { window: 100_000, max_probes: 10.0 };
const LONGEST: Micros = 1_050_000;
/// Reports in a row without an answer after which the service counts as not reached.
const LOST: u32 = 4;

/// The actor.
pub struct List {
    address: SocketAddr,
    path: String,
    words: Receiver<Word>,
    /// Whether this server takes work, once that is known.
    accepting: Option<bool>,
    /// Reports in a row that got no answer.
    unheard: u32,
    /// The word of the last one of these: the service may read it yet, after a newer word.
    given_up: Option<bool>,
    /// Of the tries of all servers, those of this one.
    pace: ProbePacer,
    link: Option<Async<TcpStream>>,
    log: Logger,
}

impl List {
    /// Reports of the server `name`, one of so many; the seed may be the same for all of them.
    pub fn new(
        address: SocketAddr,
        name: &str,
        (servers, seed): (u32, u64),
        words: Receiver<Word>,
        log: Logger,
    ) -> List {
        let path = format!("/announce/{name}");
        let pace = ProbePacer::new(servers, seed, name);
        List { address, path, words, accepting: None, unheard: 0, given_up: None, pace, link: None, log }
    }

    /// Reports steadily from the first word on, and at once when it changes.
    pub async fn run(mut self) {
        while let Some(word) = self.next_word().await {
            word.into_iter().for_each(|word| self.heed(word));
            while let Ok(newer) = self.words.try_recv() {
                self.heed(newer);
            }
            if let Some(accepting) = self.accepting {
                let good = stream::within(LIMIT, self.report(accepting)).await.unwrap_or(false);
                self.judge(accepting, good);
            }
        }
    }

    /// Waits until it is time to report, for a word that comes before that; `None` at the end.
    async fn next_word(&mut self) -> Option<Option<Word>> {
        let span = self.pause();
        let pause = async {
            if self.accepting.is_none() {
                return future::pending().await;
            }
            Timer::after(span).await;
            Some(None)
        };
        future::or(async { self.words.recv().await.ok().map(Some) }, pause).await
    }

    /// Time until the next report. One that was given up may still be read, and takes the place of a newer word then: that
    /// is said again soon.
    fn pause(&mut self) -> Duration {
        let overtaken = self.given_up.is_some_and(|word| self.accepting != Some(word));
        if self.unheard == 0 && !overtaken {
            return EVERY;
        }
        if self.unheard == 0 {
            self.given_up = None;
        }
        Duration::from_micros(self.pace.next_delay(TRIES, LONGEST))
    }

    fn heed(&mut self, word: Word) {
        match word {
            Word::Accepting(accepting) => self.accepting = Some(accepting),
            Word::Address(address) => (self.address, self.link) = (address, None),
        }
    }

    /// A report without an answer may have counted all the same; it is repeated soon, on a connection of its
    /// own, as its reply would be taken for that of the next. Only several in a row are worth a line.
    fn judge(&mut self, word: bool, good: bool) {
        if !good {
            self.link = None;
            self.given_up = Some(word);
        }
        let before = self.unheard;
        self.unheard = if good { 0 } else { before.saturating_add(1) };
        if self.unheard == LOST || (good && before >= LOST) {
            info!(self.log, "announce service"; "reached" => good);
        }
    }

    async fn report(&mut self, word: bool) -> bool {
        let body = format!("{{\"accepting\":\"{word}\"}}");
        let host = self.address.to_string();
        let request = http::request("PUT", &self.path, &host, &[], body.as_bytes());
        let kept = self.link.take().filter(stream::is_silent);
        let link = match kept {
            Some(link) => Ok(link),
            None => Async::<TcpStream>::connect(self.address).await,
        };
        let Ok(link) = link else { return false };
        let reply = dependency::exchange(&link, &request).await;
        match reply {
            Ok(reply) => {
                self.link = reply.keep.then_some(link);
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

//! Reports to the announce service, which keeps the list of servers for the balancers.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, info, Logger};

use super::{records, stream};
use crate::wire::http;

/// Words that may wait to be taken: a newer one takes the place of one that was not taken yet.
pub const MAILBOX: usize = 1;
/// Time between reports; an entry lapses 3 s after the last.
const EVERY: Duration = Duration::from_millis(700);
/// Time for one report, and between a failed one and the next try.
const LIMIT: Duration = Duration::from_millis(300);
const RETRY: Duration = Duration::from_millis(100);

/// The actor.
pub struct List {
    address: SocketAddr,
    path: String,
    /// Whether this server takes work.
    words: Receiver<bool>,
    link: Option<Async<TcpStream>>,
    log: Logger,
}

impl List {
    /// Reports of the server `name`.
    pub fn new(address: SocketAddr, name: &str, words: Receiver<bool>, log: Logger) -> List {
        List { address, path: format!("/announce/{name}"), words, link: None, log }
    }

    /// Reports steadily from the first word on, and at once when it changes.
    pub async fn run(mut self) {
        let Ok(mut word) = self.words.recv().await else { return };
        let mut was_good = true;
        loop {
            while let Ok(newer) = self.words.try_recv() {
                word = newer;
            }
            let good = stream::within(LIMIT, self.report(word)).await.unwrap_or(false);
            if !good {
                // A report cut short would leave its reply to be taken for that of the next.
                self.link = None;
            }
            if good != was_good {
                was_good = good;
                info!(self.log, "announce service"; "reached" => good);
            }
            let pause = async {
                Timer::after(if good { EVERY } else { RETRY }).await;
                Some(word)
            };
            match future::or(async { self.words.recv().await.ok() }, pause).await {
                Some(newer) => word = newer,
                None => return,
            }
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
        let reply = records::exchange(&link, &request).await;
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

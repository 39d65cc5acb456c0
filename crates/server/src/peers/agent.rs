//! The link to the render farm agent.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, info, warn, Logger};

use super::command_log::Journal;
use super::stream::{self, Got};
use crate::messages::agent::AgentActorMessage;
use crate::messages::AdmissionMessage;
use crate::wire::buffer::Buffer;
use crate::wire::jsonl::{self, Command, Notice};
use crate::wire::Malformed;

/// Orders that may wait to be taken.
pub const MAILBOX: usize = 4096;
/// Bytes written at once.
const BATCH: usize = 32 * 1024;
/// Time between tries to connect.
const RETRY: Duration = Duration::from_millis(20);
/// Time until the next try after bytes that made no sense.
const AFTER_NONSENSE: Duration = Duration::from_millis(200);

/// Time for one try to connect.
const CONNECT: Duration = Duration::from_secs(1);

/// The actor.
pub struct Agent {
    address: SocketAddr,
    words: Receiver<AgentActorMessage>,
    module: Sender<AdmissionMessage>,
    journal: Journal,
    /// Number of the last notice that was read.
    last: u64,
    log: Logger,
}

/// One link.
struct Link {
    stream: Async<TcpStream>,
    buffer: Buffer,
    out: Vec<u8>,
    greeted: bool,
}

/// Why a link is over.
enum Broken {
    Lost(std::io::Error),
    Ended,
    Malformed(Malformed),
    /// The agent is at another address now.
    Moved,
    /// The module is gone: so is the program.
    Alone,
}

impl Broken {
    /// Time until the next try. The same bytes may come again after nonsense: no need to meet them at full
    /// speed. An agent that had greeted was there a moment ago, and what it has to say need not wait.
    fn pause(&self, greeted: bool) -> Duration {
        match self {
            Broken::Malformed(_) => AFTER_NONSENSE,
            _ if greeted => Duration::ZERO,
            _ => RETRY,
        }
    }
}

impl Agent {
    /// A link that is not made yet.
    pub fn new(
        address: SocketAddr,
        words: Receiver<AgentActorMessage>,
        module: Sender<AdmissionMessage>,
        log: Logger,
    ) -> Agent {
        Agent { address, words, module, journal: Journal::default(), last: 0, log }
    }

    /// Keeps a link up for as long as the module is there.
    pub async fn run(mut self) {
        loop {
            // Without a link too the address may change.
            self.heed_all();
            let connected = stream::within(CONNECT, Async::<TcpStream>::connect(self.address)).await;
            let pause = match connected.unwrap_or_else(|| Err(ErrorKind::TimedOut.into())) {
                Ok(stream) => {
                    let (why, greeted) = self.link(stream).await;
                    self.tell(&why);
                    let gone = matches!(why, Broken::Alone);
                    if gone || self.module.send(AdmissionMessage::AgentLinkLost).await.is_err() {
                        return;
                    }
                    why.pause(greeted)
                }
                Err(e) => {
                    debug!(self.log, "agent not reached"; "why" => %e);
                    RETRY
                }
            };
            Timer::after(pause).await;
        }
    }

    fn tell(&self, why: &Broken) {
        match why {
            Broken::Alone => {}
            Broken::Lost(e) => warn!(self.log, "agent link lost"; "why" => %e),
            Broken::Moved => info!(self.log, "agent moved"; "to" => %self.address),
            Broken::Ended => warn!(self.log, "agent link ended by the agent"),
            Broken::Malformed(e) => warn!(self.log, "agent link closed"; "why" => %e),
        }
    }

    /// Serves one link until it is over; whether the agent has greeted on it.
    async fn link(&mut self, stream: Async<TcpStream>) -> (Broken, bool) {
        let subscribe = Command::Subscribe { seq: self.last }.line();
        let buffer = Buffer::new(jsonl::LONGEST);
        let mut link = Link { stream, buffer, out: subscribe, greeted: false };
        loop {
            if let Err(why) = self.turn(&mut link).await {
                return (why, link.greeted);
            }
            // An agent that never stops talking must not keep all others waiting.
            future::yield_now().await;
        }
    }

    /// Writes what is to be written, reads what has come, or waits for either.
    async fn turn(&mut self, link: &mut Link) -> Result<(), Broken> {
        if self.heed_all() {
            return Err(Broken::Moved);
        }
        if link.greeted && link.out.is_empty() {
            link.out = self.journal.take(BATCH);
        }
        let written = stream::write(&link.stream, &link.out).map_err(Broken::Lost)?;
        link.out.drain(..written);
        match stream::read(&link.stream, &mut link.buffer).map_err(Broken::Lost)? {
            Got::Bytes(_) => return self.lines(link).await,
            Got::End => return Err(Broken::Ended),
            Got::Nothing => {}
        }
        if written > 0 {
            return Ok(());
        }
        let full = self.journal.len() >= MAILBOX;
        let word = async {
            if full {
                return future::pending().await;
            }
            let word = self.words.recv().await.map_err(|_| Broken::Alone)?;
            Ok(Some(word))
        };
        let readable = async { link.stream.readable().await.map(|()| None).map_err(Broken::Lost) };
        let writable = async {
            if link.out.is_empty() {
                return future::pending().await;
            }
            link.stream.writable().await.map(|()| None).map_err(Broken::Lost)
        };
        match future::or(readable, future::or(writable, word)).await? {
            Some(word) if self.heed_word(&word) => Err(Broken::Moved),
            _ => Ok(()),
        }
    }

    /// Takes in all that was said; `true` if the agent has moved. What was written to the old address and may
    /// not have been read there is in the journal, which restates it on the new link.
    fn heed_all(&mut self) -> bool {
        let mut moved = false;
        while self.journal.len() < MAILBOX {
            let Ok(word) = self.words.try_recv() else { break };
            moved |= self.heed_word(&word);
        }
        moved
    }

    fn heed_word(&mut self, word: &AgentActorMessage) -> bool {
        match word {
            AgentActorMessage::Command(order) => {
                self.journal.add(order);
                false
            }
            AgentActorMessage::SetAddress(address) => {
                self.address = *address;
                true
            }
        }
    }

    async fn lines(&mut self, link: &mut Link) -> Result<(), Broken> {
        while let Some(end) = link.buffer.unread().iter().position(|&b| b == b'\n') {
            let read = jsonl::notice(&link.buffer.unread()[..end]);
            link.buffer.consume(end + 1);
            let (notice, number) = read.map_err(Broken::Malformed)?;
            if matches!(notice, Notice::Greeting(..)) && !link.greeted {
                link.greeted = true;
                self.journal.restart();
            }
            if number.is_some_and(|n| n <= self.last) {
                continue;
            }
            if let Some(n) = number {
                if n > self.last + 1 {
                    warn!(self.log, "notices were missed"; "last" => self.last, "next" => n);
                }
                self.last = n;
            }
            self.heed(notice).await?;
        }
        if link.buffer.is_full() {
            return Err(Broken::Malformed(Malformed("a line too long")));
        }
        Ok(())
    }

    async fn heed(&mut self, notice: Notice) -> Result<(), Broken> {
        let message = match notice {
            Notice::Greeting(starting, since) => {
                info!(self.log, "agent is up"; "starting" => starting, "since_us" => since);
                AdmissionMessage::AgentUp { uptime: since }
            }
            Notice::Outcome(id, end, took) => {
                self.journal.ended(&id);
                AdmissionMessage::RunEnded { id, outcome: end, duration: took }
            }
            Notice::Request(id, seq, body) => {
                self.journal.waits(&id);
                AdmissionMessage::NeedsCall { id, notice_seq: seq, body }
            }
            Notice::Sampled(name, values) => match self.journal.answered(&name) {
                Some(tag) => AdmissionMessage::GaugesSampled { tag, values },
                None => return Ok(()),
            },
            Notice::Exercised(name, fine) => match self.journal.exercised(&name) {
                Some(tag) => AdmissionMessage::HealthCheckEnded { tag, healthy: fine },
                None => return Ok(()),
            },
            Notice::Refusal(command, id) => {
                debug!(self.log, "agent refused"; "command" => &command, "request" => &id);
                AdmissionMessage::AgentRejected { command, id }
            }
            // Were the link closed over it, the next one would bring it again.
            Notice::Senseless(id) => {
                warn!(self.log, "a notice without sense"; "request" => &id);
                self.journal.ended(&id);
                AdmissionMessage::InvalidAgentNotice { id }
            }
            Notice::Aside => return Ok(()),
        };
        self.module.send(message).await.map_err(|_| Broken::Alone)
    }
}

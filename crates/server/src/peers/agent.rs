//! The link to the render farm agent: sends commands, receives notices, and reconnects when the link is lost.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, info, warn, Logger};

use super::command_log::CommandLog;
use super::stream::{self, ReadResult};
use crate::messages::agent::AgentActorMessage;
use crate::messages::diagnostics::{AgentLinkState, AgentLinkStatus};
use crate::messages::AdmissionMessage;
use crate::wire::buffer::Buffer;
use crate::wire::jsonl::{self, Command, Notice};
use crate::wire::MalformedInput;

/// Capacity of the mailbox in messages, and of the command log in commands.
pub const MAILBOX_CAPACITY: usize = 4096;
/// Maximum size in bytes of the commands taken from the command log at once; a longer command is taken alone.
const MAX_WRITE_BYTES: usize = 32 * 1024;
/// Delay before the next attempt to connect, after a failed one or a link that ended before its greeting. A
/// link that did not last as long as this is followed by the same delay.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(20);
/// Delay before the next attempt to connect after malformed input.
const MALFORMED_BACKOFF: Duration = Duration::from_millis(200);
/// Time limit for one attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a link to the agent's old address stays open for the acknowledgement of the commands written on
/// it.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);

/// The actor that keeps the link to the agent.
pub struct AgentActor {
    address: SocketAddr,
    mailbox: Receiver<AgentActorMessage>,
    admission: Sender<AdmissionMessage>,
    command_log: CommandLog,
    /// Sequence number of the last notice that was read; 0 before the first.
    last_notice: u64,
    status: AgentLinkStatus,
    log: Logger,
}

/// One connection to the agent.
struct Link {
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// Bytes to be written.
    output: Vec<u8>,
    /// Whether the agent's greeting has arrived; the commands of the log are sent only after it.
    greeted: bool,
    /// Once the agent's address has changed: when the link is closed even if the commands written on it have
    /// not been acknowledged.
    handover_deadline: Option<Instant>,
}

/// Why a link ended.
enum LinkEnd {
    Lost(std::io::Error),
    ClosedByAgent,
    Malformed(MalformedInput),
    /// The agent is at another address now.
    AddressChanged,
    /// Admission has ended, which happens at process exit.
    ShuttingDown,
}

impl LinkEnd {
    /// Delay before the next attempt to connect. After malformed input the agent may send the same bytes
    /// again, so the delay limits how often they are read. An agent that had sent its greeting was running a
    /// moment ago: the next attempt is made at once, so that its notices are not delayed, unless the link ended
    /// so soon that the next one may do the same.
    fn backoff(&self, greeted: bool, lasted: Duration) -> Duration {
        match self {
            LinkEnd::Malformed(_) => MALFORMED_BACKOFF,
            LinkEnd::AddressChanged if greeted => Duration::ZERO,
            _ if greeted && lasted >= RECONNECT_BACKOFF => Duration::ZERO,
            _ => RECONNECT_BACKOFF,
        }
    }
}

impl AgentActor {
    /// Creates the actor; it connects once it runs.
    pub fn new(
        address: SocketAddr,
        mailbox: Receiver<AgentActorMessage>,
        admission: Sender<AdmissionMessage>,
        status: AgentLinkStatus,
        log: Logger,
    ) -> AgentActor {
        let command_log = CommandLog::default();
        AgentActor { address, mailbox, admission, command_log, last_notice: 0, status, log }
    }

    /// Keeps a link up until admission has ended.
    pub async fn run(mut self) {
        loop {
            // The address may also change while there is no link.
            self.drain_mailbox();
            let connected =
                stream::with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(self.address)).await;
            let backoff = match connected.unwrap_or_else(|| Err(ErrorKind::TimedOut.into())) {
                Ok(stream) => {
                    let connected_at = Instant::now();
                    let (end, greeted) = self.serve_link(stream).await;
                    self.status.set(AgentLinkState::Disconnected);
                    self.log_link_end(&end);
                    let shutting_down = matches!(end, LinkEnd::ShuttingDown);
                    if shutting_down || self.admission.send(AdmissionMessage::AgentLinkLost).await.is_err() {
                        return;
                    }
                    end.backoff(greeted, connected_at.elapsed())
                }
                Err(e) => {
                    debug!(self.log, "agent connect failed"; "error" => %e);
                    RECONNECT_BACKOFF
                }
            };
            Timer::after(backoff).await;
        }
    }

    fn log_link_end(&self, end: &LinkEnd) {
        match end {
            LinkEnd::ShuttingDown => {}
            LinkEnd::Lost(e) => warn!(self.log, "agent link lost"; "error" => %e),
            LinkEnd::AddressChanged => {
                let unacknowledged = self.command_log.unacknowledged();
                info!(self.log, "agent address changed";
                    "address" => %self.address, "unacknowledged_commands" => unacknowledged);
            }
            LinkEnd::ClosedByAgent => warn!(self.log, "agent link closed by agent"),
            LinkEnd::Malformed(e) => warn!(self.log, "agent link closed: malformed input"; "error" => %e),
        }
    }

    /// Serves one link until it ends; returns why it ended and whether the agent has sent its greeting on it.
    async fn serve_link(&mut self, stream: Async<TcpStream>) -> (LinkEnd, bool) {
        let subscribe = Command::Subscribe { seq: self.last_notice }.encode();
        let buffer = Buffer::new(jsonl::MAX_LINE_BYTES);
        self.status.set(AgentLinkState::AwaitingGreeting);
        let mut link = Link { stream, buffer, output: subscribe, greeted: false, handover_deadline: None };
        let end = loop {
            if let Err(end) = self.step(&mut link).await {
                break end;
            }
            // An agent that never stops sending must not block the other actors.
            future::yield_now().await;
        };
        if link.greeted {
            self.command_log.end_link(link.output.len());
        }
        (end, link.greeted)
    }

    /// Writes commands and handles what has arrived; waits if there was neither.
    async fn step(&mut self, link: &mut Link) -> Result<(), LinkEnd> {
        if self.drain_mailbox() {
            self.begin_handover(link)?;
        }
        if link.handover_deadline.is_some() && !self.command_log.awaits_marker() {
            return Err(LinkEnd::AddressChanged);
        }
        // The agent reads nothing that is written after it has closed the link, so its end is looked for first.
        let read = stream::read(&link.stream, &mut link.buffer).map_err(LinkEnd::Lost)?;
        if read == ReadResult::Closed {
            return Err(LinkEnd::ClosedByAgent);
        }
        if link.greeted && link.output.is_empty() {
            link.output = self.command_log.take_lines(MAX_WRITE_BYTES);
        }
        let written = stream::write(&link.stream, &link.output).map_err(LinkEnd::Lost)?;
        link.output.drain(..written);
        if matches!(read, ReadResult::Bytes(_)) {
            return self.handle_lines(link).await;
        }
        if link.handover_deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            return Err(LinkEnd::AddressChanged);
        }
        if written > 0 {
            return Ok(());
        }
        match self.wait(link).await? {
            Some(message) if self.handle_message(&message) => self.begin_handover(link),
            _ => Ok(()),
        }
    }

    /// Prepares for the end of a link whose agent is at another address now.
    ///
    /// Commands that the agent may not have read would be replayed on the next link, and a run can end
    /// between the agent's last notice there and its reading of the replayed launch. So the link is closed
    /// only once all commands written on it have been acknowledged, or after [`HANDOVER_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// [`LinkEnd::AddressChanged`] if there is nothing to wait for.
    fn begin_handover(&mut self, link: &mut Link) -> Result<(), LinkEnd> {
        if link.handover_deadline.is_some() {
            return Ok(());
        }
        if !link.greeted || !self.command_log.request_acknowledgement() {
            return Err(LinkEnd::AddressChanged);
        }
        link.handover_deadline = Some(Instant::now() + HANDOVER_TIMEOUT);
        Ok(())
    }

    /// Waits until the link can be read or written or its handover is over (`None`), or a message arrives. A
    /// full command log takes no messages.
    async fn wait(&self, link: &Link) -> Result<Option<AgentActorMessage>, LinkEnd> {
        let has_room = self.command_log.len() < MAILBOX_CAPACITY;
        let message = async {
            if !has_room {
                return future::pending().await;
            }
            self.mailbox.recv().await.map(Some).map_err(|_| LinkEnd::ShuttingDown)
        };
        let readable = async { link.stream.readable().await.map(|()| None).map_err(LinkEnd::Lost) };
        let writable = async {
            if link.output.is_empty() {
                return future::pending().await;
            }
            link.stream.writable().await.map(|()| None).map_err(LinkEnd::Lost)
        };
        let handover_over = async {
            match link.handover_deadline {
                Some(deadline) => drop(Timer::at(deadline).await),
                None => future::pending().await,
            }
            Ok(None)
        };
        future::or(readable, future::or(writable, future::or(message, handover_over))).await
    }

    /// Handles waiting messages while the command log has room; returns whether the agent's address has
    /// changed.
    fn drain_mailbox(&mut self) -> bool {
        let mut address_changed = false;
        while self.command_log.len() < MAILBOX_CAPACITY {
            let Ok(message) = self.mailbox.try_recv() else { break };
            address_changed |= self.handle_message(&message);
        }
        address_changed
    }

    /// Handles one message; returns whether the agent's address has changed.
    fn handle_message(&mut self, message: &AgentActorMessage) -> bool {
        match message {
            AgentActorMessage::Command(command) => {
                self.command_log.push(command);
                false
            }
            AgentActorMessage::SetAddress(address) => {
                self.address = *address;
                true
            }
        }
    }

    /// Handles all complete lines in the buffer.
    async fn handle_lines(&mut self, link: &mut Link) -> Result<(), LinkEnd> {
        while let Some(line_end) = link.buffer.unread().iter().position(|&b| b == b'\n') {
            let parsed = jsonl::parse_notice(&link.buffer.unread()[..line_end]);
            link.buffer.consume(line_end + 1);
            let (notice, seq) = parsed.map_err(LinkEnd::Malformed)?;
            if matches!(notice, Notice::Greeting { .. }) && !link.greeted {
                link.greeted = true;
                self.status.set(AgentLinkState::AwaitingMissedNotices);
                self.restart_command_log().await?;
            }
            if seq.is_some_and(|seq| seq <= self.last_notice) {
                continue;
            }
            if let Some(seq) = seq {
                if seq > self.last_notice + 1 {
                    warn!(self.log, "agent notices missed"; "last" => self.last_notice, "next" => seq);
                }
                self.last_notice = seq;
            }
            self.handle_notice(notice).await?;
        }
        if link.buffer.is_full() {
            return Err(LinkEnd::Malformed(MalformedInput::LineTooLong));
        }
        Ok(())
    }

    /// Prepares the command log for a new link, and tells admission which launches are not repeated on it.
    async fn restart_command_log(&mut self) -> Result<(), LinkEnd> {
        for id in self.command_log.restart_link() {
            warn!(self.log, "launch may not have been read by the agent"; "request" => &*id);
            let message = AdmissionMessage::LaunchUncertain { id };
            self.admission.send(message).await.map_err(|_| LinkEnd::ShuttingDown)?;
        }
        Ok(())
    }

    /// Updates the command log and passes the notice on to admission.
    async fn handle_notice(&mut self, notice: Notice) -> Result<(), LinkEnd> {
        let message = match notice {
            Notice::Greeting { starting, uptime } => {
                info!(self.log, "agent connected"; "starting" => starting, "uptime_us" => uptime);
                AdmissionMessage::AgentUp { uptime }
            }
            Notice::RunEnded { id, outcome, duration } => {
                self.command_log.run_ended(&id);
                AdmissionMessage::RunEnded { id, outcome, duration }
            }
            Notice::NeedsCall { id, notice_seq, body } => {
                self.command_log.run_waits_for_call(&id);
                AdmissionMessage::NeedsCall { id, notice_seq, body }
            }
            Notice::GaugesSampled { tag, values } => {
                let admission_tag = self.command_log.sample_answered(&tag);
                self.status.record_sample();
                if !self.command_log.awaits_marker() {
                    self.status.set(AgentLinkState::Up);
                }
                match admission_tag {
                    Some(tag) => AdmissionMessage::GaugesSampled { tag, values },
                    None => return Ok(()),
                }
            }
            Notice::HealthCheckEnded { tag, healthy } => match self.command_log.health_check_answered(&tag) {
                Some(tag) => AdmissionMessage::HealthCheckEnded { tag, healthy },
                None => return Ok(()),
            },
            Notice::CommandRejected { command, id } => {
                debug!(self.log, "agent rejected command"; "command" => &command, "request" => &id);
                AdmissionMessage::AgentRejected { command, id }
            }
            // An invalid notice does not close the link: the agent would send it again on the next one.
            Notice::Invalid { id } => {
                warn!(self.log, "invalid notice from agent"; "request" => &id);
                self.command_log.run_ended(&id);
                AdmissionMessage::InvalidAgentNotice { id }
            }
            Notice::Ignored => return Ok(()),
        };
        self.admission.send(message).await.map_err(|_| LinkEnd::ShuttingDown)
    }
}

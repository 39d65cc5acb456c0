//! One FastCGI connection of a load balancer: an actor with a mailbox for responses and for the listener's commands.
//!
//! [`Connection::run`] writes what is queued, reads what has arrived, and waits for either; [`input`] turns records
//! into messages for admission, [`request`] checks a request's parameters, [`output`] queues and writes responses, and
//! [`close`] ends the stream so that no response is lost.

mod close;
mod input;
mod output;
mod request;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, warn, Logger};
use umberloom::interface::{Micros, RequestId};
use umberloom_settings::shape::Shape;

use super::stream::{self, ReadResult};
use crate::lifecycle::clock::Clock;
use crate::memory::budget::{Budget, Charge};
use crate::messages::caller::{ConnectionActivity, ConnectionCommand, LoadHint};
use crate::messages::AdmissionMessage;
use crate::wire::buffer::Buffer;
use crate::wire::fastcgi;
use crate::wire::responder::{Responder, MAX_BODY_BYTES, MAX_OPEN_REQUESTS, MAX_PARAMS_BYTES};

/// Messages that may wait: a response for each open request, and at most one of each kind of the listener's commands.
pub(super) const MAILBOX_CAPACITY: usize = 2 * MAX_OPEN_REQUESTS;
/// Nothing more is read while more than this waits to be written.
const MAX_UNWRITTEN_BYTES: usize = 256 * 1024;
/// A peer that takes no bytes for this long is disconnected.
const WRITE_TIMEOUT: Micros = 30_000_000;
/// The first request of a new connection, and any later request once its first byte is there, must be complete within
/// this time. Load balancers connect when they have something to send and send it in one go; a peer that sends nothing,
/// or never completes a request, must be closed within 3 s and takes a place that others need. After its first request a
/// connection may be silent for as long as the listener's idle timeout.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// Bytes read without completing a request: those of [`MAX_OPEN_REQUESTS`] requests of the greatest length. A peer that
/// sends more is closed.
const MAX_BYTES_WITHOUT_REQUEST: usize = MAX_OPEN_REQUESTS * (MAX_PARAMS_BYTES + MAX_BODY_BYTES);
/// Memory of an open request besides its body: its fields, and later its result.
const REQUEST_OVERHEAD_BYTES: usize = 6 * 1024;

/// What all connections share.
#[derive(Clone)]
pub struct ConnectionContext {
    /// Mailbox of the admission actor.
    pub admission: Sender<AdmissionMessage>,
    /// Names of the request classes, in the order of the settings.
    pub classes: Rc<Vec<String>>,
    /// Names of the tenants, in the order of the settings; may be empty.
    pub tenants: Rc<Vec<String>>,
    /// The load hint that goes with every response.
    pub load_hint: LoadHint,
    /// Which optional fields requests carry here.
    pub shape: Shape,
    /// Most connections at once.
    pub max_connections: usize,
    /// The last serial that was given to a request.
    pub last_serial: Rc<Cell<u64>>,
    /// The bound on memory.
    pub budget: Budget,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

/// A request that was received and not answered.
#[derive(Clone)]
struct OpenRequest {
    serial: u64,
    /// Set once admission knows the request.
    id: Option<RequestId>,
}

impl OpenRequest {
    /// The message that nobody waits for this request any more; `None` if admission does not know it.
    fn into_cancellation(self) -> Option<AdmissionMessage> {
        let serial = self.serial;
        self.id.map(|id| AdmissionMessage::Cancelled { id, serial })
    }
}

/// Why [`Connection::wait`] returned.
enum Wakeup {
    Command(ConnectionCommand),
    Ready,
    WriteTimeout,
}

/// The actor of one connection.
pub struct Connection {
    stream: Async<TcpStream>,
    context: ConnectionContext,
    activity: Rc<ConnectionActivity>,
    commands: Receiver<ConnectionCommand>,
    own_mailbox: Sender<ConnectionCommand>,
    buffer: Buffer,
    responder: Responder,
    open_requests: BTreeMap<u16, OpenRequest>,
    charge: Charge,
    /// Bytes at the front of the responder's output that are written already.
    written_bytes: usize,
    /// When the peer last took bytes, or had taken all.
    last_write_progress: Micros,
    /// Since when a complete request is awaited.
    request_awaited_since: Option<Micros>,
    /// Bytes read since the last complete request.
    bytes_without_request: usize,
    /// The peer sends no more, or nothing more is read from it.
    input_closed: bool,
    /// Closes as soon as no request is open.
    draining: bool,
    /// Its place is needed: it closes unless a complete request has arrived by now.
    evicted: bool,
    has_written: bool,
    /// There is no place for it: until then a request on it is rejected, and nothing is served.
    reject_until: Option<Micros>,
}

impl Connection {
    /// A connection that was just accepted, with its mailbox; `None` if there is no memory for it.
    pub fn new(
        stream: Async<TcpStream>,
        context: ConnectionContext,
        activity: Rc<ConnectionActivity>,
    ) -> Option<(Connection, Sender<ConnectionCommand>)> {
        let (own_mailbox, commands) = async_channel::bounded(MAILBOX_CAPACITY);
        let charge = context.budget.charge(0)?;
        let now = context.clock.now();
        activity.last_active.set(now);
        let responder = Responder::new(context.max_connections);
        let connection = Connection {
            stream,
            context,
            activity,
            commands,
            own_mailbox: own_mailbox.clone(),
            buffer: Buffer::new(fastcgi::MAX_RECORD_BYTES),
            responder,
            open_requests: BTreeMap::new(),
            charge,
            written_bytes: 0,
            last_write_progress: now,
            request_awaited_since: Some(now),
            bytes_without_request: 0,
            input_closed: false,
            draining: false,
            evicted: false,
            has_written: false,
            reject_until: None,
        };
        Some((connection, own_mailbox))
    }

    /// The same connection, which rejects requests received within `period` and then closes.
    pub fn rejecting_for(mut self, period: Micros) -> Connection {
        self.reject_until = Some(self.context.clock.now() + period);
        self
    }

    /// Serves the connection until it is over.
    pub async fn run(mut self) {
        let ended = loop {
            match self.step().await {
                Ok(false) => {}
                Ok(true) => break Ok(()),
                Err(e) => break Err(e),
            }
        };
        match ended {
            Ok(()) => self.close().await,
            Err(e) => debug!(self.context.log, "connection lost"; "error" => %e),
        }
        // Nobody can receive responses to requests that are still open.
        let open_requests = std::mem::take(&mut self.open_requests);
        for message in open_requests.into_values().filter_map(OpenRequest::into_cancellation) {
            if self.context.admission.send(message).await.is_err() {
                return;
            }
        }
    }

    /// One round of writing, reading and waiting; `true` when the connection is to be closed.
    async fn step(&mut self) -> std::io::Result<bool> {
        while let Ok(command) = self.commands.try_recv() {
            self.handle_command(command);
        }
        self.draining |= self.activity.closing.get();
        self.write()?;
        let busy = self.wants_input() && self.read().await?;
        self.update_charge();
        if self.is_finished(busy) {
            return Ok(true);
        }
        if busy {
            future::yield_now().await;
            return Ok(false);
        }
        self.wait().await?;
        Ok(false)
    }

    /// Reads once and handles what has arrived; whether anything has.
    async fn read(&mut self) -> std::io::Result<bool> {
        match stream::read(&self.stream, &mut self.buffer)? {
            ReadResult::Bytes(bytes) => {
                self.record_activity();
                self.handle_input(bytes).await;
                return Ok(true);
            }
            ReadResult::Closed => self.stop_reading(),
            // Only now, so that after a stall what lies in the socket is read first.
            ReadResult::WouldBlock if self.is_request_overdue() || self.is_evictable() => {
                debug!(self.context.log, "closed: no complete request received");
                self.stop_reading();
            }
            ReadResult::WouldBlock => {}
        }
        Ok(false)
    }

    /// Waits until there is something to do.
    async fn wait(&mut self) -> std::io::Result<()> {
        let now = self.context.clock.now();
        let command = async { Ok(self.commands.recv().await.map_or(Wakeup::Ready, Wakeup::Command)) };
        let readable = async {
            if !self.wants_input() {
                return future::pending().await;
            }
            self.stream.readable().await.map(|()| Wakeup::Ready)
        };
        let writable = async {
            if self.unwritten_bytes() == 0 {
                return future::pending().await;
            }
            self.stream.writable().await.map(|()| Wakeup::Ready)
        };
        let write_timeout = async {
            if self.unwritten_bytes() == 0 {
                return future::pending().await;
            }
            let until = self.last_write_progress + WRITE_TIMEOUT;
            Timer::after(Duration::from_micros(until.saturating_sub(now))).await;
            Ok(Wakeup::WriteTimeout)
        };
        let request_overdue = async {
            let Some(until) = self.request_deadline().filter(|_| self.wants_input()) else {
                return future::pending().await;
            };
            Timer::after(Duration::from_micros(until.saturating_sub(now))).await;
            Ok(Wakeup::Ready)
        };
        let timeout = future::or(write_timeout, request_overdue);
        let socket = future::or(readable, future::or(writable, timeout));
        match future::or(command, socket).await? {
            Wakeup::Command(command) => self.handle_command(command),
            Wakeup::Ready => {}
            Wakeup::WriteTimeout => return Err(std::io::ErrorKind::TimedOut.into()),
        }
        Ok(())
    }

    fn handle_command(&mut self, command: ConnectionCommand) {
        match command {
            ConnectionCommand::Respond { slot, serial, response } => self.respond(slot, serial, &response),
            // A connection that never sent a complete request loses its place even with a part of one received, but a
            // complete request that lies unread in the socket was given to this server and gets its response.
            ConnectionCommand::CloseIfIdle if !self.activity.has_requested.get() => self.evicted = true,
            ConnectionCommand::CloseIfIdle => self.draining |= self.responder.open_requests() == 0,
            ConnectionCommand::Close => {}
        }
    }

    fn record_activity(&self) {
        self.activity.last_active.set(self.context.clock.now());
    }

    /// Books the memory that the connection takes; if there is no room for it, nothing more is read.
    fn update_charge(&mut self) {
        let bytes = self.buffer.allocated_bytes()
            + self.responder.buffered_bytes()
            + self.responder.output.capacity();
        if !self.charge.resize(bytes) && !self.input_closed {
            warn!(self.context.log, "connection closed: out of memory"; "bytes" => bytes);
            self.stop_reading();
        }
        self.activity.open_requests.set(self.responder.complete_requests());
    }
}

//! One FastCGI connection of a load balancer: an actor with a mailbox for responses and for the listener's
//! commands.
//!
//! [`Connection::run`] writes what is queued, reads what has arrived, and waits for either; [`input`] turns
//! records into messages for admission, [`request`] checks a request's parameters, [`output`] queues and
//! writes responses, and [`close`] ends the stream so that no response is lost.

mod close;
mod input;
mod output;
mod request;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, Logger};
use umberloom::interface::{Micros, RequestId};
use umberloom_settings::shape::Shape;

use self::input::InputEnd;
use super::stream::{self, ReadResult};
use crate::lifecycle::clock::Clock;
use crate::lifecycle::log_throttle::LogThrottle;
use crate::memory::budget::{Budget, ConnectionMemory};
use crate::memory::known_attempts::KnownAttempts;
use crate::messages::caller::{ConnectionActivity, ConnectionCommand, LoadHint};
use crate::messages::diagnostics::{ConnectionRegistration, OpenConnections};
use crate::messages::AdmissionMessage;
use crate::wire::buffer::Buffer;
use crate::wire::responder::{
    Responder, MAX_BODY_BYTES, MAX_OPEN_REQUESTS, MAX_PARAMS_BYTES, MAX_UNCONSUMED_BYTES,
};

/// Capacity of the mailbox in messages: a response for each open request, and at most one of each kind of
/// listener command.
pub(super) const MAILBOX_CAPACITY: usize = 2 * MAX_OPEN_REQUESTS;
/// Size of the buffer to read into. It is not charged, as the number of connections is limited.
const READ_BUFFER_BYTES: usize = 2 * MAX_UNCONSUMED_BYTES;
/// A connection whose peer accepts no bytes for this long is closed.
const WRITE_TIMEOUT: Micros = 30_000_000;
/// Time limit for receiving a complete request while none is in flight: on a new connection from its start,
/// later from a request's first byte or the last response, whichever is later. Load balancers connect when
/// they have a request and send it in one go. A peer that sends nothing, or never completes a request, must
/// be disconnected within 3 s, as it occupies a table entry that others need. After its first request a
/// connection may be silent for as long as the listener's idle timeout.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// Limit on the bytes read without completing a request: the size of [`MAX_OPEN_REQUESTS`] requests of
/// maximum length. The connection of a peer that sends more is closed.
const MAX_BYTES_WITHOUT_REQUEST: usize = MAX_OPEN_REQUESTS * (MAX_PARAMS_BYTES + MAX_BODY_BYTES);
/// Limit on the bytes read after the time limit without completing a request: the rest of one, and the
/// headers of its records.
const MAX_OVERDUE_BYTES: usize = 2 * (MAX_PARAMS_BYTES + MAX_BODY_BYTES);
/// Memory charged for an open request in addition to its parameters and body: its fields, and later its
/// result.
const REQUEST_OVERHEAD_BYTES: usize = 6 * 1024;

/// Configuration and state that all connections share.
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
    /// Which optional fields the requests of this deployment carry.
    pub shape: Shape,
    /// Maximum number of simultaneous connections.
    pub max_connections: usize,
    /// All open connections, as the log tells them at the exit.
    pub open_connections: OpenConnections,
    /// The serial number most recently assigned to a request; unique within this process.
    pub last_serial: Rc<Cell<u64>>,
    /// Limits the memory that peers can make this process use.
    pub budget: Budget,
    /// Tells which requests must not be rejected, as another attempt of them may have run.
    pub known_attempts: KnownAttempts,
    /// Clock for timeouts and request times.
    pub clock: Clock,
    /// Limits the warnings about connections that are not read any further while requests are open on them.
    pub input_end_throttle: Rc<RefCell<LogThrottle>>,
    /// Limits the warnings about requests for which there was no memory.
    pub out_of_memory_throttle: Rc<RefCell<LogThrottle>>,
    /// Logger for events of connections.
    pub log: Logger,
}

/// A request that was received and is not answered yet.
#[derive(Clone)]
struct OpenRequest {
    /// Distinguishes the request from all others of this process.
    serial: u64,
    /// `None` until the request is passed to admission.
    id: Option<RequestId>,
}

impl OpenRequest {
    /// The message that cancels the request in admission; `None` if it was not passed to admission.
    fn into_cancellation(self) -> Option<AdmissionMessage> {
        let serial = self.serial;
        self.id.map(|id| AdmissionMessage::Cancelled { id, serial })
    }
}

/// Why [`Connection::wait`] returned.
enum Wakeup {
    Command(ConnectionCommand),
    /// The socket can be read or written, a request is overdue, or the mailbox is closed.
    Ready,
    /// The peer has accepted no bytes for [`WRITE_TIMEOUT`].
    WriteTimeout,
}

/// The actor that serves one connection.
pub struct Connection {
    stream: Async<TcpStream>,
    context: ConnectionContext,
    activity: Rc<ConnectionActivity>,
    commands: Receiver<ConnectionCommand>,
    /// Sender to this actor's own mailbox, copied into each request so that its response arrives here.
    own_mailbox: Sender<ConnectionCommand>,
    /// Bytes read from the socket that are not parsed yet.
    buffer: Buffer,
    responder: Responder,
    /// Requests that are not answered yet, by their slot on the connection.
    open_requests: BTreeMap<u16, OpenRequest>,
    /// Memory that the connection takes for requests that are not complete and for its output.
    memory: ConnectionMemory,
    /// Bytes at the front of the responder's output that are written already.
    written_bytes: usize,
    /// When the peer last accepted bytes, or when nothing was left to write.
    last_write_progress: Micros,
    /// Start of the timeout for a complete request; `None` while no request is awaited.
    request_awaited_since: Option<Micros>,
    /// Bytes read since the last complete request.
    bytes_without_request: usize,
    /// Bytes read since the time limit has passed.
    overdue_bytes: usize,
    /// The peer has closed its side, or nothing more is read from it.
    input_closed: bool,
    /// The connection closes as soon as no request is open on it.
    draining: bool,
    /// A new connection needs this one's table entry: this one closes unless a complete request has already
    /// arrived.
    evicted: bool,
    /// Whether any bytes were written to the peer.
    has_written: bool,
    /// Set on a connection beyond the table's capacity: requests received until this time are rejected, then
    /// it closes.
    reject_until: Option<Micros>,
    /// Keeps the connection among the open ones until it is dropped.
    _registration: ConnectionRegistration,
}

impl Connection {
    /// Creates the actor of an accepted connection, and its mailbox.
    pub fn new(
        stream: Async<TcpStream>,
        context: ConnectionContext,
        activity: Rc<ConnectionActivity>,
    ) -> (Connection, Sender<ConnectionCommand>) {
        let (own_mailbox, commands) = async_channel::bounded(MAILBOX_CAPACITY);
        let memory = context.budget.open_connection();
        let now = context.clock.now();
        activity.last_active.set(now);
        let responder = Responder::new(context.max_connections);
        let registration = context.open_connections.register(activity.clone());
        let connection = Connection {
            stream,
            context,
            activity,
            commands,
            own_mailbox: own_mailbox.clone(),
            buffer: Buffer::new(READ_BUFFER_BYTES),
            responder,
            open_requests: BTreeMap::new(),
            memory,
            written_bytes: 0,
            last_write_progress: now,
            request_awaited_since: Some(now),
            bytes_without_request: 0,
            overdue_bytes: 0,
            input_closed: false,
            draining: false,
            evicted: false,
            has_written: false,
            reject_until: None,
            _registration: registration,
        };
        (connection, own_mailbox)
    }

    /// Changes the connection to reject requests received within `period` microseconds and then close.
    pub fn rejecting_for(mut self, period: Micros) -> Connection {
        self.reject_until = Some(self.context.clock.now() + period);
        self
    }

    /// Serves the connection until it is closed or lost.
    pub async fn run(mut self) {
        let result = loop {
            match self.step().await {
                Ok(false) => {}
                Ok(true) => break Ok(()),
                Err(e) => break Err(e),
            }
        };
        match result {
            Ok(()) => self.close().await,
            Err(e) => debug!(self.context.log, "connection lost"; "error" => %e),
        }
        // Requests that are still open can no longer be answered: they are cancelled.
        let open_requests = std::mem::take(&mut self.open_requests);
        for message in open_requests.into_values().filter_map(OpenRequest::into_cancellation) {
            if self.context.admission.send(message).await.is_err() {
                return;
            }
        }
    }

    /// Handles commands, writes, and reads or waits once; returns `true` when the connection is to be closed.
    async fn step(&mut self) -> std::io::Result<bool> {
        while let Ok(command) = self.commands.try_recv() {
            self.handle_command(command);
        }
        self.draining |= self.activity.closing.get();
        self.write()?;
        let has_read = self.wants_input() && self.read().await?;
        self.update_memory();
        if self.is_finished(has_read) {
            return Ok(true);
        }
        if has_read {
            future::yield_now().await;
            return Ok(false);
        }
        self.wait().await?;
        Ok(false)
    }

    /// Reads once and handles the bytes received; returns whether there were any.
    async fn read(&mut self) -> std::io::Result<bool> {
        match stream::read(&self.stream, &mut self.buffer)? {
            ReadResult::Bytes(bytes) => {
                self.record_activity();
                self.handle_input(bytes).await;
                return Ok(true);
            }
            ReadResult::Closed => self.stop_reading(InputEnd::ClosedByPeer),
            // Checked only when the socket is empty, so that after a stall requests already received are read
            // first.
            ReadResult::WouldBlock if self.is_request_overdue() => {
                self.stop_reading(InputEnd::RequestOverdue);
            }
            ReadResult::WouldBlock if self.is_evictable() => self.stop_reading(InputEnd::Evicted),
            ReadResult::WouldBlock => {}
        }
        Ok(false)
    }

    /// Waits for a command, the socket, or a timeout.
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
            let deadline = self.last_write_progress + WRITE_TIMEOUT;
            Timer::after(Duration::from_micros(deadline.saturating_sub(now))).await;
            Ok(Wakeup::WriteTimeout)
        };
        let request_overdue = async {
            let Some(deadline) = self.request_deadline().filter(|_| self.wants_input()) else {
                return future::pending().await;
            };
            Timer::after(Duration::from_micros(deadline.saturating_sub(now))).await;
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

    /// Handles a response or a command of the listener.
    fn handle_command(&mut self, command: ConnectionCommand) {
        match command {
            ConnectionCommand::Respond { slot, serial, response } => self.respond(slot, serial, &response),
            // A connection that never sent a complete request is evicted even if part of one was received. A
            // complete request that is still unread in the socket was handed to this server and gets its
            // response.
            ConnectionCommand::CloseIfIdle if !self.activity.has_requested.get() => self.evicted = true,
            ConnectionCommand::CloseIfIdle => self.draining |= self.responder.open_requests() == 0,
            ConnectionCommand::Close => {}
        }
    }

    /// Notes the time at which the connection last carried bytes.
    fn record_activity(&self) {
        self.activity.last_active.set(self.context.clock.now());
    }

    /// Notes the memory that the connection takes, the requests in flight that the listener sees, and the
    /// unwritten bytes.
    fn update_memory(&mut self) {
        self.memory.update(self.responder.buffered_bytes(), self.responder.output.capacity());
        self.activity.open_requests.set(self.responder.complete_requests());
        self.activity.unwritten_bytes.set(self.unwritten_bytes());
    }
}

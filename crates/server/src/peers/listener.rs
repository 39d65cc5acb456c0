//! The listening socket and the connections accepted from it.
//!
//! [`ConnectionTable`] decides how many connections there may be and which one is closed to make room for
//! another. This actor accepts connections, starts an actor for each and carries out those decisions.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, warn, Logger};
use umberloom::interface::Micros;
use umberloom_connection_admission::connection_table::{Admission, ConnectionState, ConnectionTable};

use super::connection::{Connection, ConnectionContext};
use crate::lifecycle::log_throttle::LogThrottle;
use crate::messages::caller::{ConnectionActivity, ConnectionCommand};
use crate::messages::listener::ListenerCommand;

/// Capacity of the mailbox in commands.
pub const MAILBOX_CAPACITY: usize = 64;
/// Interval between checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a connection beyond the table's capacity may send requests, which are all rejected.
const REJECT_PERIOD: Micros = 250_000;
/// Delay before accepting again after an error, such as a lack of descriptors, and between checks of the
/// accept queue while draining.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The listener's record of a connection.
struct ConnectionEntry {
    mailbox: Sender<ConnectionCommand>,
    activity: Rc<ConnectionActivity>,
    /// It is beyond the table's capacity: its requests are rejected.
    rejecting: bool,
    /// When it was first asked to close since it last was active.
    close_requested_at: Cell<Option<Micros>>,
}

impl ConnectionEntry {
    /// Asks the connection to close if it is idle. The command is sent only to an empty mailbox: a connection
    /// that is slow to take its messages must keep room there for its responses.
    fn close_if_idle(&self, now: Micros) {
        if !self.mailbox.is_empty() || self.mailbox.try_send(ConnectionCommand::CloseIfIdle).is_err() {
            return;
        }
        let last_active = self.activity.last_active.get();
        let earlier_request_at = self.close_requested_at.get().filter(|at| *at >= last_active);
        self.close_requested_at.set(earlier_request_at.or(Some(now)));
    }

    fn state(&self, id: u64) -> ConnectionState {
        ConnectionState {
            id,
            listener: 0,
            requests_in_flight: self.activity.open_requests.get(),
            has_sent_request: self.activity.has_requested.get(),
            last_active: self.activity.last_active.get(),
            close_requested_at: self.close_requested_at.get(),
            in_overflow: self.rejecting,
        }
    }
}

/// Why [`Listener::wait`] returned.
enum Wakeup {
    Accepted(TcpStream),
    /// `None` if all senders are gone.
    Command(Option<ListenerCommand>),
    ConnectionClosed(u64),
    IdleCheck,
    /// It is time to accept from the backlog again; only while draining.
    Backlog,
}

/// The actor that accepts connections of load balancers.
pub struct Listener<'a> {
    executor: Rc<LocalExecutor<'a>>,
    /// `None` once draining has closed it.
    socket: Option<Async<TcpListener>>,
    context: ConnectionContext,
    commands: Receiver<ListenerCommand>,
    table: ConnectionTable,
    idle_timeout: Micros,
    connections: BTreeMap<u64, ConnectionEntry>,
    draining: bool,
    last_id: u64,
    /// Each connection sends its id here when it ends.
    closed_sender: Sender<u64>,
    closed_receiver: Receiver<u64>,
    /// When the next check for idle connections is due.
    next_idle_check: Instant,
    table_full_throttle: LogThrottle,
    accept_error_throttle: RefCell<LogThrottle>,
    log: Logger,
}

impl<'a> Listener<'a> {
    /// Creates the actor, which accepts from `socket` within the capacity of `table`. `idle_timeout` is in
    /// microseconds.
    pub fn new(
        executor: Rc<LocalExecutor<'a>>,
        (socket, table): (Async<TcpListener>, ConnectionTable),
        context: ConnectionContext,
        commands: Receiver<ListenerCommand>,
        idle_timeout: Micros,
    ) -> Listener<'a> {
        let (closed_sender, closed_receiver) = async_channel::bounded(table.total_capacity().max(1));
        let log = context.log.clone();
        Listener {
            executor,
            socket: Some(socket),
            context,
            commands,
            table,
            idle_timeout,
            connections: BTreeMap::new(),
            draining: false,
            last_id: 0,
            closed_sender,
            closed_receiver,
            next_idle_check: Instant::now() + IDLE_CHECK_INTERVAL,
            table_full_throttle: LogThrottle::default(),
            accept_error_throttle: RefCell::default(),
            log,
        }
    }

    /// Accepts connections until draining has closed the socket and no connection is left.
    pub async fn run(mut self) {
        while self.socket.is_some() || !self.connections.is_empty() {
            match self.wait().await {
                Wakeup::Accepted(stream) => {
                    self.admit(stream).await;
                    // Lets the new connection read what it has received before the next one may evict it.
                    future::yield_now().await;
                }
                Wakeup::ConnectionClosed(id) => drop(self.connections.remove(&id)),
                Wakeup::IdleCheck => {
                    self.next_idle_check = Instant::now() + IDLE_CHECK_INTERVAL;
                    self.close_idle();
                }
                Wakeup::Command(Some(ListenerCommand::CloseIdle(timeout))) => self.idle_timeout = timeout,
                Wakeup::Command(Some(ListenerCommand::Drain)) => self.drain().await,
                Wakeup::Backlog => self.accept_backlog().await,
                Wakeup::Command(None) => return,
            }
        }
    }

    /// Waits for the next event. An idle check that is due comes first: it keeps table entries free and must
    /// not depend on a pause in the traffic.
    async fn wait(&self) -> Wakeup {
        if Instant::now() >= self.next_idle_check {
            return Wakeup::IdleCheck;
        }
        let closed =
            async { self.closed_receiver.recv().await.map_or(Wakeup::IdleCheck, Wakeup::ConnectionClosed) };
        let command = async { Wakeup::Command(self.commands.recv().await.ok()) };
        let accepted = async {
            match &self.socket {
                Some(_) if self.draining => {
                    Timer::after(ACCEPT_BACKOFF).await;
                    Wakeup::Backlog
                }
                Some(socket) if !self.should_pause_accept() => self.accept(socket).await,
                _ => future::pending().await,
            }
        };
        let idle_check = async {
            Timer::at(self.next_idle_check).await;
            Wakeup::IdleCheck
        };
        future::or(closed, future::or(command, future::or(accepted, idle_check))).await
    }

    fn connection_states(&self) -> Vec<ConnectionState> {
        self.connections.iter().map(|(id, entry)| entry.state(*id)).collect()
    }

    fn is_table_full(&self) -> bool {
        self.connections.len() >= self.table.capacity()
    }

    /// Whether to pause accepting: the table is full and a connection that was asked to close is about to
    /// make room, so the next connection waits instead of being rejected.
    fn should_pause_accept(&self) -> bool {
        self.is_table_full()
            && self.table.should_pause_accept(self.context.clock.now(), &self.connection_states())
    }

    async fn accept(&self, socket: &Async<TcpListener>) -> Wakeup {
        loop {
            match socket.accept().await {
                Ok((stream, _)) => match stream.into_inner() {
                    Ok(stream) => return Wakeup::Accepted(stream),
                    Err(e) => debug!(self.log, "accepted connection lost"; "error" => %e),
                },
                // The peer closed the connection before it was accepted.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    self.log_accept_error(&e);
                    Timer::after(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Starts the actor of a new connection. If there is no room even to reject its requests later, rejects
    /// those already received and closes it.
    async fn admit(&mut self, stream: TcpStream) {
        let admission = self.decide_admission();
        // If this fails, responses are only delayed.
        let _ = stream.set_nodelay(true);
        // Also makes the stream non-blocking, however it was accepted.
        let Ok(stream) = Async::new(stream) else { return };
        let activity = Rc::new(ConnectionActivity::default());
        activity.closing.set(self.draining);
        let (connection, mailbox) = Connection::new(stream, self.context.clone(), activity.clone());
        match admission {
            Admission::Accept => self.start(connection, mailbox, activity, false),
            Admission::RejectRequests => {
                self.start(connection.rejecting_for(REJECT_PERIOD), mailbox, activity, true);
            }
            // No request runs, and its caller learns at once to try another server.
            Admission::Close => connection.reject_received_and_close().await,
        }
    }

    fn start(
        &mut self,
        connection: Connection,
        mailbox: Sender<ConnectionCommand>,
        activity: Rc<ConnectionActivity>,
        rejecting: bool,
    ) {
        self.last_id += 1;
        let id = self.last_id;
        let entry = ConnectionEntry { mailbox, activity, rejecting, close_requested_at: Cell::new(None) };
        self.connections.insert(id, entry);
        let closed = self.closed_sender.clone();
        let task = async move {
            connection.run().await;
            // Fails only if the listener has ended, which happens at process exit.
            let _ = closed.send(id).await;
        };
        self.executor.spawn(task).detach();
        if self.is_table_full() {
            self.close_idle();
        }
    }

    /// Decides whether a new connection is served, and asks another one to close if it has to make room.
    fn decide_admission(&mut self) -> Admission {
        if !self.is_table_full() {
            return Admission::Accept;
        }
        let now = self.context.clock.now();
        let decision = self.table.admit(now, 0, &self.connection_states());
        if let Some(entry) = decision.close_first.and_then(|id| self.connections.get(&id)) {
            entry.close_if_idle(now);
        }
        if decision.admission != Admission::Accept {
            self.log_table_full();
        }
        decision.admission
    }

    /// Logs that the table is full, at a limited rate.
    fn log_table_full(&mut self) {
        let Some(suppressed) = self.table_full_throttle.record(Instant::now()) else { return };
        let is_busy = |entry: &&ConnectionEntry| entry.activity.open_requests.get() > 0;
        let busy = self.connections.values().filter(is_busy).count();
        let rejecting = self.connections.values().filter(|entry| entry.rejecting).count();
        warn!(self.log, "connection table full"; "suppressed" => suppressed, "rejecting" => rejecting,
            "busy" => busy, "capacity" => self.table.capacity());
    }

    fn log_accept_error(&self, error: &std::io::Error) {
        if let Some(suppressed) = self.accept_error_throttle.borrow_mut().record(Instant::now()) {
            warn!(self.log, "accept failed"; "error" => %error, "suppressed" => suppressed);
        }
    }

    /// Asks idle connections to close: those past the idle timeout, and as many more as the table needs.
    fn close_idle(&self) {
        let now = self.context.clock.now();
        let states = self.connection_states();
        for id in self.table.idle_connections_to_close(now, &[self.idle_timeout], &states) {
            if let Some(entry) = self.connections.get(&id) {
                entry.close_if_idle(now);
            }
        }
    }

    /// Stops serving new requests; each connection closes once no request is open on it.
    async fn drain(&mut self) {
        self.draining = true;
        for entry in self.connections.values() {
            entry.activity.closing.set(true);
            // Only wakes the actor: if the mailbox is full, its other messages do that.
            let _ = entry.mailbox.try_send(ConnectionCommand::Close);
        }
        self.accept_backlog().await;
    }

    /// Accepts all connections of the backlog before the socket closes, as they may carry complete requests
    /// that this server already holds. An aborted connection does not stop this. If no descriptor is free,
    /// the socket stays open until connections have ended.
    async fn accept_backlog(&mut self) {
        // The socket is deregistered from the reactor first, so that the close immediately follows the last
        // accept: a connection that arrives between the two is reset.
        let Some(Ok(socket)) = self.socket.take().map(Async::into_inner) else { return };
        loop {
            match socket.accept() {
                Ok((stream, _)) => {
                    self.admit(stream).await;
                    // Peers that keep connecting must not stop the open connections from finishing.
                    future::yield_now().await;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    self.log_accept_error(&e);
                    self.socket = Async::new_nonblocking(socket).ok();
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;

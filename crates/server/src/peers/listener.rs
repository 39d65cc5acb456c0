//! The listening socket, and the connections that came from it.

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

/// Words that may wait to be taken.
pub const MAILBOX_CAPACITY: usize = 64;
/// Time between looks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A connection at the door has this long to ask.
const REJECT_PERIOD: Micros = 250_000;
/// Time after which accepting is tried again when the system had no descriptor for it.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

struct ConnectionEntry {
    mailbox: Sender<ConnectionCommand>,
    activity: Rc<ConnectionActivity>,
    rejecting: bool,
    /// When it was told to close.
    told: Cell<Option<Micros>>,
}

impl ConnectionEntry {
    /// One such word at a time: a connection that is slow to take its mail must keep room there for its answers.
    fn close_if_idle(&self, now: Micros) {
        if self.mailbox.is_empty() && self.mailbox.try_send(ConnectionCommand::CloseIfIdle).is_ok() {
            let since = self.told.get().filter(|told| *told >= self.activity.last_active.get());
            self.told.set(since.or(Some(now)));
        }
    }

    fn state(&self, id: u64) -> ConnectionState {
        ConnectionState {
            id,
            listener: 0,
            requests_in_flight: self.activity.open_requests.get(),
            has_sent_request: self.activity.has_requested.get(),
            last_active: self.activity.last_active.get(),
            close_requested_at: self.told.get(),
            in_overflow: self.rejecting,
        }
    }
}

enum Wakeup {
    Accepted(TcpStream),
    Command(Option<ListenerCommand>),
    Closed(u64),
    IdleCheck,
    /// What waits to be accepted is to be looked at again, after the word to finish.
    Backlog,
}

/// The actor.
pub struct Listener<'a> {
    executor: Rc<LocalExecutor<'a>>,
    listener: Option<Async<TcpListener>>,
    context: ConnectionContext,
    commands: Receiver<ListenerCommand>,
    /// Most connections at once, so that descriptors last.
    table: ConnectionTable,
    idle_timeout: Micros,
    connections: BTreeMap<u64, ConnectionEntry>,
    /// The word to finish has come.
    draining: bool,
    last_id: u64,
    closed: (Sender<u64>, Receiver<u64>),
    /// When idle connections are looked for next, whatever else happens.
    next_idle_check: Instant,
    table_full_throttle: LogThrottle,
    /// Nothing could be accepted.
    accept_error_throttle: RefCell<LogThrottle>,
    log: Logger,
}

impl<'a> Listener<'a> {
    /// Connections from `listener`, as many at once as there are places.
    pub fn new(
        executor: Rc<LocalExecutor<'a>>,
        (listener, table): (Async<TcpListener>, ConnectionTable),
        context: ConnectionContext,
        commands: Receiver<ListenerCommand>,
        idle_timeout: Micros,
    ) -> Listener<'a> {
        let closed = async_channel::bounded(table.total_capacity().max(1));
        let log = context.log.clone();
        Listener {
            executor,
            listener: Some(listener),
            context,
            commands,
            table,
            idle_timeout,
            connections: BTreeMap::new(),
            draining: false,
            last_id: 0,
            closed,
            next_idle_check: Instant::now() + IDLE_CHECK_INTERVAL,
            table_full_throttle: LogThrottle::default(),
            accept_error_throttle: RefCell::default(),
            log,
        }
    }

    /// Accepts and looks after connections until, after the word to finish, none is left.
    pub async fn run(mut self) {
        while self.listener.is_some() || !self.connections.is_empty() {
            match self.wait().await {
                Wakeup::Accepted(stream) => {
                    self.admit(stream).await;
                    // What has come with it is read before the next one needs its place.
                    future::yield_now().await;
                }
                Wakeup::Closed(number) => drop(self.connections.remove(&number)),
                Wakeup::IdleCheck => {
                    self.next_idle_check = Instant::now() + IDLE_CHECK_INTERVAL;
                    self.close_idle();
                }
                Wakeup::Command(Some(ListenerCommand::CloseIdle(span))) => self.idle_timeout = span,
                Wakeup::Command(Some(ListenerCommand::Drain)) => self.drain().await,
                Wakeup::Backlog => self.accept_backlog().await,
                Wakeup::Command(None) => return,
            }
        }
    }

    /// The next thing to do. A look that is due comes first, however much else there is: what keeps places free
    /// must not depend on a lull.
    async fn wait(&self) -> Wakeup {
        if Instant::now() >= self.next_idle_check {
            return Wakeup::IdleCheck;
        }
        let over = async { self.closed.1.recv().await.map_or(Wakeup::IdleCheck, Wakeup::Closed) };
        let order = async { Wakeup::Command(self.commands.recv().await.ok()) };
        let accepted = async {
            match &self.listener {
                Some(_) if self.draining => {
                    Timer::after(ACCEPT_BACKOFF).await;
                    Wakeup::Backlog
                }
                Some(listener) if !self.is_place_expected() => self.accept(listener).await,
                _ => future::pending().await,
            }
        };
        let look = async {
            Timer::at(self.next_idle_check).await;
            Wakeup::IdleCheck
        };
        future::or(over, future::or(order, future::or(accepted, look))).await
    }

    fn connection_states(&self) -> Vec<ConnectionState> {
        self.connections.iter().map(|(id, entry)| entry.state(*id)).collect()
    }

    fn is_place_expected(&self) -> bool {
        self.connections.len() >= self.table.capacity()
            && self.table.should_pause_accept(self.context.clock.now(), &self.connection_states())
    }

    async fn accept(&self, listener: &Async<TcpListener>) -> Wakeup {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => match stream.into_inner() {
                    Ok(stream) => return Wakeup::Accepted(stream),
                    Err(e) => debug!(self.log, "accepted in vain"; "why" => %e),
                },
                // The peer has left already.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    self.log_accept_error(&e);
                    Timer::after(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn admit(&mut self, stream: TcpStream) {
        let lot = self.admission();
        let _ = stream.set_nodelay(true);
        // Sets it non-blocking too, whichever way it was accepted.
        let Ok(stream) = Async::new(stream) else { return };
        let activity = Rc::new(ConnectionActivity::default());
        activity.closing.set(self.draining);
        let Some((connection, words)) = Connection::new(stream, self.context.clone(), activity.clone())
        else {
            return;
        };
        if lot == Admission::Close {
            // With nothing run: its caller learns at once that it is to go elsewhere.
            return connection.reject_received_and_close().await;
        }
        let at_door = lot == Admission::RejectRequests;
        let connection = if at_door { connection.rejecting_for(REJECT_PERIOD) } else { connection };
        self.last_id += 1;
        let (number, over) = (self.last_id, self.closed.0.clone());
        self.connections.insert(
            number,
            ConnectionEntry { mailbox: words, activity, rejecting: at_door, told: Cell::new(None) },
        );
        let served = async move {
            connection.run().await;
            let _ = over.send(number).await;
        };
        self.executor.spawn(served).detach();
        if self.connections.len() >= self.table.capacity() {
            self.close_idle();
        }
    }

    /// Where a new connection finds its place.
    fn admission(&mut self) -> Admission {
        if self.connections.len() < self.table.capacity() {
            return Admission::Accepted;
        }
        let now = self.context.clock.now();
        let (lot, closed) = self.table.admit(now, 0, &self.connection_states());
        if let Some(entry) = closed.and_then(|id| self.connections.get(&id)) {
            entry.close_if_idle(now);
        }
        if lot != Admission::Accepted {
            self.log_table_full();
        }
        lot
    }

    fn log_table_full(&mut self) {
        if let Some(more) = self.table_full_throttle.tell(Instant::now()) {
            let busy =
                self.connections.values().filter(|entry| entry.activity.open_requests.get() > 0).count();
            let at_door = self.connections.values().filter(|entry| entry.rejecting).count();
            warn!(self.log, "no place for a connection"; "not_told" => more, "at_door" => at_door,
                "busy" => busy, "places" => self.table.capacity());
        }
    }

    fn log_accept_error(&self, why: &std::io::Error) {
        if let Some(more) = self.accept_error_throttle.borrow_mut().tell(Instant::now()) {
            warn!(self.log, "not accepted"; "why" => %why, "not_told" => more);
        }
    }

    fn close_idle(&self) {
        let now = self.context.clock.now();
        for id in self.table.idle_connections_to_close(now, &[self.idle_timeout], &self.connection_states()) {
            if let Some(entry) = self.connections.get(&id) {
                entry.close_if_idle(now);
            }
        }
    }

    /// Nothing new is let in; each connection closes once nothing is open on it.
    async fn drain(&mut self) {
        self.draining = true;
        for entry in self.connections.values() {
            entry.activity.closing.set(true);
            // Only to wake it: where there is no room it has other words to wake for.
            let _ = entry.mailbox.try_send(ConnectionCommand::Close);
        }
        self.accept_backlog().await;
    }

    /// Connections that wait to be accepted may carry whole requests, which this server has: all are taken before the
    /// socket closes. An error of one of them is not the end of the others, and without a descriptor the socket stays
    /// open until connections have ended.
    async fn accept_backlog(&mut self) {
        // Out of the reactor first, so that the close follows the last look at once: who comes between them is reset.
        let Some(Ok(listener)) = self.listener.take().map(Async::into_inner) else { return };
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    self.admit(stream).await;
                    // Who connects without end must not keep the others from ending.
                    future::yield_now().await;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    self.log_accept_error(&e);
                    self.listener = Async::new_nonblocking(listener).ok();
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;

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

use super::connection::{Connection, Shared};
use crate::lifecycle::log_throttle::LogThrottle;
use crate::messages::caller::{ConnectionActivity, ConnectionCommand};
use crate::messages::listener::ListenerCommand;

/// Words that may wait to be taken.
pub const MAILBOX: usize = 64;
/// Time between looks for idle connections.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A connection at the door has this long to ask.
const AT_DOOR: Micros = 250_000;
/// Time after which accepting is tried again when the system had no descriptor for it.
const RETRY: Duration = Duration::from_millis(20);

struct Entry {
    words: Sender<ConnectionCommand>,
    activity: Rc<ConnectionActivity>,
    at_door: bool,
    /// When it was told to close.
    told: Cell<Option<Micros>>,
}

impl Entry {
    /// One such word at a time: a connection that is slow to take its mail must keep room there for its answers.
    fn close_if_idle(&self, now: Micros) {
        if self.words.is_empty() && self.words.try_send(ConnectionCommand::CloseIfIdle).is_ok() {
            let since = self.told.get().filter(|told| *told >= self.activity.last_active.get());
            self.told.set(since.or(Some(now)));
        }
    }

    fn seen(&self, id: u64) -> ConnectionState {
        ConnectionState {
            id,
            listener: 0,
            requests_in_flight: self.activity.open_requests.get(),
            has_sent_request: self.activity.has_requested.get(),
            last_active: self.activity.last_active.get(),
            close_requested_at: self.told.get(),
            in_overflow: self.at_door,
        }
    }
}

enum Next {
    Accepted(TcpStream),
    Order(Option<ListenerCommand>),
    Over(u64),
    Look,
    /// What waits to be accepted is to be looked at again, after the word to finish.
    Backlog,
}

/// The actor.
pub struct Front<'a> {
    executor: Rc<LocalExecutor<'a>>,
    listener: Option<Async<TcpListener>>,
    shared: Shared,
    orders: Receiver<ListenerCommand>,
    /// Most connections at once, so that descriptors last.
    places: ConnectionTable,
    idle: Micros,
    all: BTreeMap<u64, Entry>,
    /// The word to finish has come.
    finishing: bool,
    next: u64,
    over: (Sender<u64>, Receiver<u64>),
    /// When idle connections are looked for next, whatever else happens.
    look_at: Instant,
    full: LogThrottle,
    /// Nothing could be accepted.
    short: RefCell<LogThrottle>,
    log: Logger,
}

impl<'a> Front<'a> {
    /// Connections from `listener`, as many at once as there are places.
    pub fn new(
        executor: Rc<LocalExecutor<'a>>,
        (listener, places): (Async<TcpListener>, ConnectionTable),
        shared: Shared,
        orders: Receiver<ListenerCommand>,
        idle: Micros,
    ) -> Front<'a> {
        let over = async_channel::bounded(places.total_capacity().max(1));
        let log = shared.log.clone();
        Front {
            executor,
            listener: Some(listener),
            shared,
            orders,
            places,
            idle,
            all: BTreeMap::new(),
            finishing: false,
            next: 0,
            over,
            look_at: Instant::now() + LOOK_EVERY,
            full: LogThrottle::default(),
            short: RefCell::default(),
            log,
        }
    }

    /// Accepts and looks after connections until, after the word to finish, none is left.
    pub async fn run(mut self) {
        while self.listener.is_some() || !self.all.is_empty() {
            match self.wait().await {
                Next::Accepted(stream) => {
                    self.admit(stream).await;
                    // What has come with it is read before the next one needs its place.
                    future::yield_now().await;
                }
                Next::Over(number) => drop(self.all.remove(&number)),
                Next::Look => {
                    self.look_at = Instant::now() + LOOK_EVERY;
                    self.close_idle();
                }
                Next::Order(Some(ListenerCommand::CloseIdle(span))) => self.idle = span,
                Next::Order(Some(ListenerCommand::Drain)) => self.finish().await,
                Next::Backlog => self.take_backlog().await,
                Next::Order(None) => return,
            }
        }
    }

    /// The next thing to do. A look that is due comes first, however much else there is: what keeps places free
    /// must not depend on a lull.
    async fn wait(&self) -> Next {
        if Instant::now() >= self.look_at {
            return Next::Look;
        }
        let over = async { self.over.1.recv().await.map_or(Next::Look, Next::Over) };
        let order = async { Next::Order(self.orders.recv().await.ok()) };
        let accepted = async {
            match &self.listener {
                Some(_) if self.finishing => {
                    Timer::after(RETRY).await;
                    Next::Backlog
                }
                Some(listener) if !self.place_is_coming() => self.accept(listener).await,
                _ => future::pending().await,
            }
        };
        let look = async {
            Timer::at(self.look_at).await;
            Next::Look
        };
        future::or(over, future::or(order, future::or(accepted, look))).await
    }

    fn seen(&self) -> Vec<ConnectionState> {
        self.all.iter().map(|(id, entry)| entry.seen(*id)).collect()
    }

    fn place_is_coming(&self) -> bool {
        self.all.len() >= self.places.capacity()
            && self.places.should_pause_accept(self.shared.clock.now(), &self.seen())
    }

    async fn accept(&self, listener: &Async<TcpListener>) -> Next {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => match stream.into_inner() {
                    Ok(stream) => return Next::Accepted(stream),
                    Err(e) => debug!(self.log, "accepted in vain"; "why" => %e),
                },
                // The peer has left already.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    self.tell_short(&e);
                    Timer::after(RETRY).await;
                }
            }
        }
    }

    async fn admit(&mut self, stream: TcpStream) {
        let lot = self.lot();
        let _ = stream.set_nodelay(true);
        // Sets it non-blocking too, whichever way it was accepted.
        let Ok(stream) = Async::new(stream) else { return };
        let activity = Rc::new(ConnectionActivity::default());
        activity.closing.set(self.finishing);
        let Some((connection, words)) = Connection::new(stream, self.shared.clone(), activity.clone()) else {
            return;
        };
        if lot == Admission::Close {
            // With nothing run: its caller learns at once that it is to go elsewhere.
            return connection.turn_away_now().await;
        }
        let at_door = lot == Admission::RejectRequests;
        let connection = if at_door { connection.turned_away(AT_DOOR) } else { connection };
        self.next += 1;
        let (number, over) = (self.next, self.over.0.clone());
        self.all.insert(number, Entry { words, activity, at_door, told: Cell::new(None) });
        let served = async move {
            connection.run().await;
            let _ = over.send(number).await;
        };
        self.executor.spawn(served).detach();
        if self.all.len() >= self.places.capacity() {
            self.close_idle();
        }
    }

    /// Where a new connection finds its place.
    fn lot(&mut self) -> Admission {
        if self.all.len() < self.places.capacity() {
            return Admission::Accepted;
        }
        let now = self.shared.clock.now();
        let (lot, closed) = self.places.admit(now, 0, &self.seen());
        if let Some(entry) = closed.and_then(|id| self.all.get(&id)) {
            entry.close_if_idle(now);
        }
        if lot != Admission::Accepted {
            self.tell_full();
        }
        lot
    }

    fn tell_full(&mut self) {
        if let Some(more) = self.full.tell(Instant::now()) {
            let busy = self.all.values().filter(|entry| entry.activity.open_requests.get() > 0).count();
            let at_door = self.all.values().filter(|entry| entry.at_door).count();
            warn!(self.log, "no place for a connection"; "not_told" => more, "at_door" => at_door,
                "busy" => busy, "places" => self.places.capacity());
        }
    }

    fn tell_short(&self, why: &std::io::Error) {
        if let Some(more) = self.short.borrow_mut().tell(Instant::now()) {
            warn!(self.log, "not accepted"; "why" => %why, "not_told" => more);
        }
    }

    fn close_idle(&self) {
        let now = self.shared.clock.now();
        for id in self.places.idle_connections_to_close(now, &[self.idle], &self.seen()) {
            if let Some(entry) = self.all.get(&id) {
                entry.close_if_idle(now);
            }
        }
    }

    /// Nothing new is let in; each connection closes once nothing is open on it.
    async fn finish(&mut self) {
        self.finishing = true;
        for entry in self.all.values() {
            entry.activity.closing.set(true);
            // Only to wake it: where there is no room it has other words to wake for.
            let _ = entry.words.try_send(ConnectionCommand::Close);
        }
        self.take_backlog().await;
    }

    /// Connections that wait to be accepted may carry whole requests, which this server has: all are taken before the
    /// socket closes. An error of one of them is not the end of the others, and without a descriptor the socket stays
    /// open until connections have ended.
    async fn take_backlog(&mut self) {
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
                    self.tell_short(&e);
                    self.listener = Async::new_nonblocking(listener).ok();
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;

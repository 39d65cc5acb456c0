//! The listening socket, and the connections that came from it.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, warn, Logger};
use umberloom::interface::Micros;

use super::balancer::{Activity, Connection, Shared, Word};

/// Words that may wait to be taken.
pub const MAILBOX: usize = 64;
/// Time between looks for idle connections.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Part of all places that is kept free for new connections: one in so many.
const SPARE: usize = 5;
/// A connection that carried something within this time may be about to carry more: a request that crosses a
/// close by less than 50 ms is sent again, a later one is not.
const SETTLED: Micros = 100_000;
/// Time after which accepting is tried again when the system had no descriptor for it.
const RETRY: Duration = Duration::from_millis(20);

/// What the front is told.
#[derive(Debug)]
pub enum Order {
    /// Close connections that have carried nothing for this long.
    CloseIdle(Micros),
    /// Let nothing new in, and close each connection once nothing is open on it.
    Finish,
}

struct Entry {
    words: Sender<Word>,
    activity: Rc<Activity>,
}

enum Next {
    Accepted(TcpStream),
    Order(Option<Order>),
    Over(u64),
    Look,
}

/// The actor.
pub struct Front<'a> {
    executor: Rc<LocalExecutor<'a>>,
    listener: Option<Async<TcpListener>>,
    shared: Shared,
    orders: Receiver<Order>,
    /// Most connections at once, so that descriptors last.
    most: usize,
    idle: Micros,
    all: BTreeMap<u64, Entry>,
    next: u64,
    over: (Sender<u64>, Receiver<u64>),
    log: Logger,
}

impl<'a> Front<'a> {
    /// Connections from `listener`, at most `most` at once.
    pub fn new(
        executor: Rc<LocalExecutor<'a>>,
        (listener, most): (Async<TcpListener>, usize),
        shared: Shared,
        orders: Receiver<Order>,
        idle: Micros,
    ) -> Front<'a> {
        let over = async_channel::bounded(most.max(1));
        let log = shared.log.clone();
        let (listener, all) = (Some(listener), BTreeMap::new());
        Front { executor, listener, shared, orders, most, idle, all, next: 0, over, log }
    }

    /// Accepts and looks after connections until, after the word to finish, none is left.
    pub async fn run(mut self) {
        while self.listener.is_some() || !self.all.is_empty() {
            match self.wait().await {
                Next::Accepted(stream) => self.admit(stream),
                Next::Over(number) => drop(self.all.remove(&number)),
                Next::Look => self.close_idle(),
                Next::Order(Some(Order::CloseIdle(span))) => self.idle = span,
                Next::Order(Some(Order::Finish)) => self.finish(),
                Next::Order(None) => return,
            }
        }
    }

    async fn wait(&self) -> Next {
        let over = async { self.over.1.recv().await.map_or(Next::Look, Next::Over) };
        let order = async { Next::Order(self.orders.recv().await.ok()) };
        let accepted = async {
            match &self.listener {
                Some(listener) if self.all.len() < self.most => self.accept(listener).await,
                _ => future::pending().await,
            }
        };
        let look = async {
            Timer::after(LOOK_EVERY).await;
            Next::Look
        };
        future::or(over, future::or(order, future::or(accepted, look))).await
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
                    warn!(self.log, "not accepted"; "why" => %e);
                    Timer::after(RETRY).await;
                }
            }
        }
    }

    fn admit(&mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(stream) = Async::new_nonblocking(stream) else { return };
        let activity = Rc::new(Activity::default());
        let Some((connection, words)) = Connection::new(stream, self.shared.clone(), activity.clone()) else {
            return;
        };
        self.next += 1;
        let (number, over) = (self.next, self.over.0.clone());
        self.all.insert(number, Entry { words, activity });
        let served = async move {
            connection.run().await;
            let _ = over.send(number).await;
        };
        self.executor.spawn(served).detach();
        if self.all.len() >= self.most {
            self.make_room();
        }
    }

    /// Places run out: those that never asked leave theirs first, then those idle longest, so that a new peer
    /// finds one without waiting for another to go. Peers that connect and say nothing, or ask once and stay,
    /// would otherwise keep the usual ones out. One that has only just carried something stays: its next
    /// request may be on its way.
    fn make_room(&self) {
        let now = self.shared.clock.now();
        let excess = self.all.len().saturating_sub(self.most - self.most.div_ceil(SPARE));
        let settled = |e: &&Entry| e.activity.open.get() == 0 && now >= e.activity.last.get() + SETTLED;
        let mut idle: Vec<&Entry> = self.all.values().filter(settled).collect();
        idle.sort_by_key(|e| (e.activity.asked.get(), e.activity.last.get()));
        for entry in idle.iter().take(excess) {
            let _ = entry.words.try_send(Word::CloseIfIdle);
        }
    }

    fn close_idle(&self) {
        let now = self.shared.clock.now();
        for entry in self.all.values() {
            if entry.activity.open.get() == 0 && now - entry.activity.last.get() >= self.idle {
                let _ = entry.words.try_send(Word::CloseIfIdle);
            }
        }
        self.make_room();
    }

    /// Connections that wait to be accepted may carry requests: they are taken before the socket closes.
    fn finish(&mut self) {
        if let Some(listener) = self.listener.take() {
            while let Ok((stream, _)) = listener.get_ref().accept() {
                if stream.set_nonblocking(true).is_ok() {
                    self.admit(stream);
                }
            }
        }
        for entry in self.all.values() {
            let _ = entry.words.try_send(Word::Finish);
        }
    }
}

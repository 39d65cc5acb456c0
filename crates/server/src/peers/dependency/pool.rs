//! Sockets of calls to dependencies: a budget that all dependencies share, and connections kept open for
//! reuse.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;

use crate::peers::stream;

/// An idle connection is not reused after this time, as the service closes it after 10 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections over all dependencies.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The socket descriptors that calls to all dependencies share.
#[derive(Clone, Debug)]
pub struct SocketBudget {
    /// Number of further calls that may start.
    available: Rc<Cell<usize>>,
    /// Number of idle connections over all dependencies.
    idle: Rc<Cell<usize>>,
}

impl SocketBudget {
    /// A budget for `calls` calls at once.
    pub fn new(calls: usize) -> SocketBudget {
        SocketBudget { available: Rc::new(Cell::new(calls)), idle: Rc::default() }
    }

    /// A descriptor for one call, if one is available.
    pub(super) fn acquire(&self) -> Option<SocketPermit> {
        let available = self.available.get().checked_sub(1)?;
        self.available.set(available);
        Some(SocketPermit { available: self.available.clone() })
    }
}

/// A descriptor for one call, given back when dropped.
pub(super) struct SocketPermit {
    available: Rc<Cell<usize>>,
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.available.set(self.available.get() + 1);
    }
}

/// The idle connections of one dependency, shared with its calls in flight.
pub(super) type SharedIdlePool = Rc<RefCell<IdlePool>>;

/// Idle connections by endpoint, the most recently used one last.
#[derive(Debug)]
pub(super) struct IdlePool {
    by_address: BTreeMap<SocketAddr, VecDeque<IdleConnection>>,
    /// Number of idle connections over all pools.
    count: Rc<Cell<usize>>,
}

#[derive(Debug)]
struct IdleConnection {
    /// When it became idle.
    since: Instant,
    stream: Async<TcpStream>,
}

impl IdlePool {
    pub(super) fn new(sockets: &SocketBudget) -> SharedIdlePool {
        let pool = IdlePool { by_address: BTreeMap::new(), count: sockets.idle.clone() };
        Rc::new(RefCell::new(pool))
    }

    /// Takes an idle connection that can still be used; returns it with the time it was idle.
    pub(super) fn take(&mut self, address: SocketAddr) -> Option<(Async<TcpStream>, Duration)> {
        let connections = self.by_address.get_mut(&address)?;
        while let Some(IdleConnection { since, stream }) = connections.pop_back() {
            self.count.set(self.count.get() - 1);
            if since.elapsed() < IDLE_TIMEOUT && stream::is_silent(&stream) {
                return Some((stream, since.elapsed()));
            }
        }
        None
    }

    /// Keeps a connection for later calls, or closes it if there are [`MAX_IDLE_CONNECTIONS`] already.
    pub(super) fn put(&mut self, address: SocketAddr, stream: Async<TcpStream>) {
        if self.count.get() < MAX_IDLE_CONNECTIONS {
            self.count.set(self.count.get() + 1);
            let connection = IdleConnection { since: Instant::now(), stream };
            self.by_address.entry(address).or_default().push_back(connection);
        }
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn expire(&mut self) {
        let count = self.count.clone();
        self.by_address.retain(|_, connections| {
            let count_before = connections.len();
            connections.retain(|connection| connection.since.elapsed() < IDLE_TIMEOUT);
            count.set(count.get() + connections.len() - count_before);
            !connections.is_empty()
        });
    }
}

impl Drop for IdlePool {
    fn drop(&mut self) {
        let remaining: usize = self.by_address.values().map(VecDeque::len).sum();
        self.count.set(self.count.get() - remaining);
    }
}

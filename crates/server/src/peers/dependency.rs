//! Calls to one dependency: one at a time on a connection, over a few connections kept open to each of its
//! endpoints. The platform's records service is one of them, at the address that the configuration says.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, Logger};
use umberloom::interface::Outcome;

use super::ajp::{self, AjpConfig};
use super::stream::{self, ReadResult};
use crate::lifecycle::clock::Clock;
use crate::messages::calls::{Call, CallId, DependencyCommand};
use crate::messages::AdmissionMessage;
use crate::wire::buffer::Buffer;
use crate::wire::http::{self, Reply};

/// Orders that may wait to be taken.
pub const MAILBOX_CAPACITY: usize = 4096;
/// An idle connection is not used after this: the service closes it after 10 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between looks for connections that have been idle for so long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Idle connections that are kept, over all dependencies.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The descriptors that all dependencies share.
#[derive(Clone, Debug)]
pub struct SocketBudget {
    /// Calls that may still begin.
    left: Rc<Cell<usize>>,
    /// Connections that stand idle.
    idle: Rc<Cell<usize>>,
}

impl SocketBudget {
    /// For so many calls at once.
    pub fn new(calls: usize) -> SocketBudget {
        SocketBudget { left: Rc::new(Cell::new(calls)), idle: Rc::default() }
    }

    fn take(&self) -> Option<SocketPermit> {
        let left = self.left.get().checked_sub(1)?;
        self.left.set(left);
        Some(SocketPermit(self.left.clone()))
    }
}

/// A descriptor for a call, given back when dropped.
struct SocketPermit(Rc<Cell<usize>>);

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

/// Connections that stand idle, by endpoint, each with the one used last at the end.
#[derive(Debug)]
struct IdlePool {
    by_address: BTreeMap<SocketAddr, VecDeque<(Instant, Async<TcpStream>)>>,
    count: Rc<Cell<usize>>,
}

impl IdlePool {
    fn new(count: Rc<Cell<usize>>) -> SharedIdlePool {
        Rc::new(RefCell::new(IdlePool { by_address: BTreeMap::new(), count }))
    }

    /// An idle connection that is still good, and for how long it was idle.
    fn take(&mut self, address: SocketAddr) -> Option<(Async<TcpStream>, Duration)> {
        let there = self.by_address.get_mut(&address)?;
        while let Some((since, stream)) = there.pop_back() {
            self.count.set(self.count.get() - 1);
            if since.elapsed() < IDLE_TIMEOUT && stream::is_silent(&stream) {
                return Some((stream, since.elapsed()));
            }
        }
        None
    }

    fn put(&mut self, address: SocketAddr, stream: Async<TcpStream>) {
        if self.count.get() < MAX_IDLE_CONNECTIONS {
            self.count.set(self.count.get() + 1);
            self.by_address.entry(address).or_default().push_back((Instant::now(), stream));
        }
    }

    fn expire(&mut self) {
        let count = self.count.clone();
        self.by_address.retain(|_, there| {
            let before = there.len();
            there.retain(|(since, _)| since.elapsed() < IDLE_TIMEOUT);
            count.set(count.get() + there.len() - before);
            !there.is_empty()
        });
    }
}

impl Drop for IdlePool {
    fn drop(&mut self) {
        let there: usize = self.by_address.values().map(VecDeque::len).sum();
        self.count.set(self.count.get() - there);
    }
}

type SharedIdlePool = Rc<RefCell<IdlePool>>;

/// Where an actor's calls go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTarget {
    /// Path of its calls.
    pub path: Rc<str>,
    /// The platform's address, where this is its records service.
    pub platform: Option<SocketAddr>,
    /// How it is spoken to, where that is not HTTP.
    pub ajp: Option<Rc<AjpConfig>>,
}

impl CallTarget {
    /// The platform's records service.
    pub fn records_service(address: SocketAddr) -> CallTarget {
        CallTarget { path: "/records/op".into(), platform: Some(address), ajp: None }
    }
}

/// The actor.
pub struct DependencyClient<'a> {
    executor: Rc<LocalExecutor<'a>>,
    target: CallTarget,
    sockets: SocketBudget,
    commands: Receiver<DependencyCommand>,
    admission: Sender<AdmissionMessage>,
    clock: Clock,
    log: Logger,
    pool: SharedIdlePool,
    calls: BTreeMap<CallId, Task<()>>,
}

impl<'a> DependencyClient<'a> {
    /// Calls to `target`, as long as there are sockets for them.
    pub fn new(
        executor: Rc<LocalExecutor<'a>>,
        (target, sockets): (CallTarget, SocketBudget),
        commands: Receiver<DependencyCommand>,
        admission: Sender<AdmissionMessage>,
        clock: Clock,
        log: Logger,
    ) -> DependencyClient<'a> {
        let (pool, calls) = (IdlePool::new(sockets.idle.clone()), BTreeMap::new());
        DependencyClient { executor, target, sockets, commands, admission, clock, log, pool, calls }
    }

    /// Makes calls for as long as anybody may order them, and then until the last has ended.
    pub async fn run(mut self) {
        let mut look_at = Instant::now() + IDLE_CHECK_INTERVAL;
        loop {
            let order = async { Some(self.commands.recv().await) };
            let look = async {
                Timer::at(look_at).await;
                None
            };
            let order = match future::or(order, look).await {
                Some(Ok(order)) => Some(order),
                Some(Err(_)) => break,
                None => None,
            };
            if Instant::now() >= look_at {
                look_at = Instant::now() + IDLE_CHECK_INTERVAL;
                self.calls.retain(|_, task| !task.is_finished());
                self.pool.borrow_mut().expire();
            }
            match order {
                Some(DependencyCommand::Call(call)) => {
                    // A second call of the same name gives up the first: dropping it closes its connection.
                    self.calls.remove(&call.id);
                    if !self.start_call(call).await {
                        return;
                    }
                }
                Some(DependencyCommand::Cancel(id)) => drop(self.calls.remove(&id)),
                Some(DependencyCommand::SetAddress(address)) => {
                    // Connections of calls still under way go back to the old pool, which ends with them.
                    self.target.platform = Some(address);
                    self.pool = IdlePool::new(self.sockets.idle.clone());
                }
                None => {}
            }
        }
        // The file no longer names it: what is under way ends as it began.
        for (_, call) in std::mem::take(&mut self.calls) {
            call.await;
        }
    }

    /// Begins a call, or says that it can't begin; `false` at the end of the module.
    async fn start_call(&mut self, call: Call) -> bool {
        let address = call.address.or(self.target.platform);
        let (Some(address), Some(taken)) = (address, self.sockets.take()) else {
            debug!(self.log, "too many calls at once"; "request" => &*call.id.request);
            let refused = AdmissionMessage::CallEnded {
                id: call.id,
                outcome: Outcome::Rejected,
                duration: 0,
                body: Vec::new(),
            };
            return self.admission.send(refused).await.is_ok();
        };
        let id = call.id.clone();
        let work = self.call(address, call, taken);
        self.calls.insert(id, self.executor.spawn(work));
        true
    }

    fn call(
        &self,
        address: SocketAddr,
        call: Call,
        taken: SocketPermit,
    ) -> impl std::future::Future<Output = ()> + 'a {
        let (target, pool) = (self.target.clone(), self.pool.clone());
        let (module, clock) = (self.admission.clone(), self.clock.clone());
        async move {
            let from = clock.now();
            let span = Duration::from_micros(call.deadline.saturating_sub(from));
            let (outcome, reply) = make_call(address, &target, &pool, &call, span).await;
            drop(taken);
            let took = clock.now() - from;
            let ended = AdmissionMessage::CallEnded { id: call.id, outcome, duration: took, body: reply };
            let _ = module.send(ended).await;
        }
    }
}

/// Makes one call and tells how it ended, with the body of a good reply.
async fn make_call(
    address: SocketAddr,
    target: &CallTarget,
    pool: &SharedIdlePool,
    call: &Call,
    span: Duration,
) -> (Outcome, Vec<u8>) {
    let before = Instant::now();
    let idle = loop {
        let taken = pool.borrow_mut().take(address);
        match (taken, &target.ajp) {
            // Nothing of the call has been written: what does not answer is closed, and the next one tried.
            (Some((stream, idle)), Some(ajp)) if idle >= ajp::PING_AFTER_IDLE => {
                if ajp::is_alive(&stream, ajp).await {
                    break Some(stream);
                }
            }
            (taken, _) => break taken.map(|(stream, _)| stream),
        }
    };
    let stream = match idle {
        Some(stream) => stream,
        None => match stream::with_timeout(span, Async::<TcpStream>::connect(address)).await {
            Some(Ok(stream)) => stream,
            // Nothing was written, so nothing ran.
            Some(Err(_)) | None => return (Outcome::Unreachable, Vec::new()),
        },
    };
    let _ = stream.get_ref().set_nodelay(true);
    let left = span.saturating_sub(before.elapsed());
    if left < Duration::from_millis(1) {
        // Connected too late, or stopped meanwhile: a call whose time is over is not sent, as its place may be another's.
        return (Outcome::Unreachable, Vec::new());
    }
    let wait = left.as_millis().to_string();
    let headers = [("Op-Of", &*call.id.request), ("Op-Wait-Ms", &wait)];
    let made = async {
        match &target.ajp {
            Some(ajp) => ajp::exchange(&stream, ajp, &target.path, &headers, &call.body).await,
            None => {
                let request =
                    http::encode_request("POST", &target.path, &address.to_string(), &headers, &call.body);
                exchange(&stream, &request).await
            }
        }
    };
    match stream::with_timeout(left, made).await {
        // Given up: dropping the stream closes the connection.
        None => (Outcome::TimedOut, Vec::new()),
        Some(Err(_)) => (Outcome::ConnectionLost, Vec::new()),
        Some(Ok(reply)) => {
            if reply.keep_alive {
                pool.borrow_mut().put(address, stream);
            }
            (classify_reply(&reply), reply.body)
        }
    }
}

/// One request and its reply.
pub async fn exchange(stream: &Async<TcpStream>, request: &[u8]) -> std::io::Result<Reply> {
    stream::write_all(stream, request).await?;
    let mut buffer = Buffer::new(http::MAX_HEAD_BYTES + 2 * http::MAX_BODY_BYTES);
    loop {
        let ended = match stream::read(stream, &mut buffer)? {
            ReadResult::Bytes(_) => false,
            ReadResult::Closed => true,
            ReadResult::WouldBlock => {
                stream.readable().await?;
                continue;
            }
        };
        match http::parse_reply(buffer.unread(), ended) {
            // Its length was not stated: it may as well have been cut off here.
            Ok(Some(reply))
                if ended && reply.encoded_bytes == buffer.unread().len() && !reply.has_explicit_length() =>
            {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            Ok(Some(reply)) => {
                let clean = reply.encoded_bytes == buffer.unread().len() && !ended;
                return Ok(Reply { keep_alive: reply.keep_alive && clean, ..reply });
            }
            Ok(None) if ended || buffer.is_full() => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(None) => {}
            Err(_) => return Err(ErrorKind::InvalidData.into()),
        }
    }
}

/// What a reply says about the call. Only a mark proves that it never ran.
fn classify_reply(reply: &Reply) -> Outcome {
    let not_begun = reply.header("op-not-begun") == Some("1");
    match reply.status {
        200 => Outcome::Ok,
        503 if not_begun => Outcome::Rejected,
        409 if not_begun => Outcome::NotStarted,
        504 => Outcome::TimedOut,
        _ => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;

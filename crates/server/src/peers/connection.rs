//! A balancer's connection.

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
use crate::messages::caller::{
    ConnectionActivity, ConnectionCommand, HealthCheck, LoadHint, ReplyTo, Request, Response, WorkRequest,
};
use crate::messages::AdmissionMessage;
use crate::wire::buffer::Buffer;
use crate::wire::cgi::{self, CgiRequest};
use crate::wire::fastcgi::{self, ProtocolStatus};
use crate::wire::responder::{Incoming, Responder, MAX_BODY_BYTES, MAX_OPEN_REQUESTS, MAX_PARAMS_BYTES};

/// Messages that may wait: an answer for each open request, and words of the front, of which one of each kind
/// waits at most.
pub(super) const MAILBOX_CAPACITY: usize = 2 * MAX_OPEN_REQUESTS;
/// Beyond this much to be written nothing more is read.
const UNWRITTEN: usize = 256 * 1024;
/// A peer that takes nothing for so long is closed.
const STALLED: Micros = 30_000_000;
/// Within this a new connection has sent its first whole request, and any request has come whole once it has
/// begun. Balancers connect when they have something to send and send it in one go; who says nothing, or never
/// comes to an end, is owed a close within 3 s and takes a place that others need. A connection that has asked
/// once may be silent for as long as the front lets it.
const WHOLE: Micros = 2_000_000;
/// Bytes read for which no whole request came: those of a full number of requests at once, each as long as
/// allowed. Whoever sends more is not about to ask.
const USELESS: usize = MAX_OPEN_REQUESTS * (MAX_PARAMS_BYTES + MAX_BODY_BYTES);
/// After our end of the stream, the peer has this long to end its own: well over the time within which a
/// request may cross a close.
const LINGER: Duration = Duration::from_millis(200);
/// And no more bytes than this are read from it meanwhile.
const DRAINED: usize = 1024 * 1024;
/// What an open request takes besides its body: its fields, and its result when it comes.
const PER_REQUEST: usize = 6 * 1024;

/// What all connections share.
#[derive(Clone)]
pub struct ConnectionContext {
    /// The module's mailbox.
    pub admission: Sender<AdmissionMessage>,
    /// Names of the classes, in their order.
    pub classes: Rc<Vec<String>>,
    /// Names of the tenants, in their order; may be empty.
    pub tenants: Rc<Vec<String>>,
    /// The free value that goes with every answer.
    pub load_hint: LoadHint,
    /// What requests say of themselves here.
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

/// An open request, and its name if the module knows it.
#[derive(Clone)]
struct Pending {
    serial: u64,
    id: Option<RequestId>,
}

impl Pending {
    /// What the module is told when nobody waits any more.
    fn gone(self) -> Option<AdmissionMessage> {
        self.id.map(|id| AdmissionMessage::Cancelled { id, serial: self.serial })
    }
}

/// What a request that makes sense asks for.
enum Meant {
    /// Whether this server is well.
    Check(bool),
    /// Work, of the class and the tenant at these places.
    Work(Box<WorkRequest>, usize, usize),
}

/// The actor of one connection.
pub struct Connection {
    stream: Async<TcpStream>,
    shared: ConnectionContext,
    activity: Rc<ConnectionActivity>,
    words: Receiver<ConnectionCommand>,
    me: Sender<ConnectionCommand>,
    buffer: Buffer,
    responder: Responder,
    pending: BTreeMap<u16, Pending>,
    charge: Charge,
    written: usize,
    /// When the peer last took something, or had taken all.
    taken_at: Micros,
    /// Since when a whole request is awaited, and how many bytes came meanwhile.
    awaits: Option<Micros>,
    useless: usize,
    /// The peer sends no more, or nothing of use.
    deaf: bool,
    finishing: bool,
    /// Its place is needed: it closes unless a whole request has come by now.
    leaving: bool,
    /// Something was written on it.
    told: bool,
    /// There is no place for it: until then it may ask, and is told so.
    door: Option<Micros>,
}

impl Connection {
    /// A connection that was just accepted, with its mailbox; `None` if there is no memory for it.
    pub fn new(
        stream: Async<TcpStream>,
        shared: ConnectionContext,
        activity: Rc<ConnectionActivity>,
    ) -> Option<(Connection, Sender<ConnectionCommand>)> {
        let (me, words) = async_channel::bounded(MAILBOX_CAPACITY);
        let charge = shared.budget.take(0)?;
        let now = shared.clock.now();
        activity.last_active.set(now);
        let responder = Responder::new(shared.max_connections);
        let connection = Connection {
            stream,
            shared,
            activity,
            words,
            me: me.clone(),
            buffer: Buffer::new(fastcgi::MAX_RECORD_BYTES),
            responder,
            pending: BTreeMap::new(),
            charge,
            written: 0,
            taken_at: now,
            awaits: Some(now),
            useless: 0,
            deaf: false,
            finishing: false,
            leaving: false,
            told: false,
            door: None,
        };
        Some((connection, me))
    }

    /// The same connection, but all that it asks within `span` is turned away, and then it ends.
    pub fn rejecting_for(mut self, span: Micros) -> Connection {
        self.door = Some(self.shared.clock.now() + span);
        self
    }

    /// Turns away what has come whole by now, without waiting for more, and ends: for who finds no place at all. Its
    /// request may have been written long ago, and a close without an answer would lose it.
    pub async fn reject_received_and_close(mut self) {
        self.door = Some(0);
        while let (Ok(ReadResult::Bytes(n)), false) =
            (stream::read(&self.stream, &mut self.buffer), self.deaf)
        {
            self.useless += n;
            self.take().await;
            self.expect_whole();
        }
        let _ = self.write();
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// Serves the connection until it is over.
    pub async fn run(mut self) {
        let ended = loop {
            match self.turn().await {
                Ok(false) => {}
                Ok(true) => break Ok(()),
                Err(e) => break Err(e),
            }
        };
        match ended {
            Ok(()) => self.end().await,
            Err(e) => debug!(self.shared.log, "connection lost"; "why" => %e),
        }
        // Nobody is left to hear the answers of what is still open.
        for gone in std::mem::take(&mut self.pending).into_values().filter_map(Pending::gone) {
            if self.shared.admission.send(gone).await.is_err() {
                return;
            }
        }
    }

    /// One round of writing, reading and waiting; `true` when the connection is to be closed.
    async fn turn(&mut self) -> std::io::Result<bool> {
        while let Ok(word) = self.words.try_recv() {
            self.heed(word);
        }
        self.finishing |= self.activity.closing.get();
        self.write()?;
        let mut busy = false;
        if self.reads() {
            match stream::read(&self.stream, &mut self.buffer)? {
                ReadResult::Bytes(n) => {
                    self.touch();
                    self.useless += n;
                    self.take().await;
                    self.expect_whole();
                    busy = true;
                }
                ReadResult::Closed => self.hear_no_more(),
                // Only now, so that after a standstill what lies in the socket is read first.
                ReadResult::WouldBlock if self.is_late() || self.is_to_go() => {
                    debug!(self.shared.log, "no whole request came");
                    self.hear_no_more();
                }
                ReadResult::WouldBlock => {}
            }
        }
        self.account();
        if self.is_over(busy) {
            return Ok(true);
        }
        if busy {
            future::yield_now().await;
            return Ok(false);
        }
        self.wait().await
    }

    fn reads(&self) -> bool {
        !self.deaf && self.unwritten() < UNWRITTEN
    }

    fn unwritten(&self) -> usize {
        self.responder.output.len() - self.written
    }

    fn is_over(&self, busy: bool) -> bool {
        let done = self.responder.complete_requests() == 0 && self.unwritten() == 0;
        let quiet = !busy && self.responder.open_requests() == 0 && self.buffer.unread().is_empty();
        done && (self.deaf || self.responder.is_close_requested() || (self.finishing && quiet))
    }

    /// Its place is needed, and it has not asked.
    fn is_to_go(&self) -> bool {
        self.leaving && self.responder.complete_requests() == 0 && !self.activity.has_requested.get()
    }

    fn touch(&mut self) {
        self.activity.last_active.set(self.shared.clock.now());
    }

    fn hear_no_more(&mut self) {
        self.deaf = true;
        self.awaits = None;
        self.responder.drop_partial();
        self.buffer.consume(usize::MAX);
    }

    /// Begins to wait for a request of which a part has come. A peer that sends on and on must not be read
    /// for ever either.
    fn expect_whole(&mut self) {
        let partial = self.responder.open_requests() > self.responder.complete_requests()
            || !self.buffer.unread().is_empty();
        if partial {
            self.awaits = self.awaits.or(Some(self.shared.clock.now()));
        } else if self.activity.has_requested.get() {
            self.awaits = None;
        }
        if self.useless > USELESS || self.is_late() {
            debug!(self.shared.log, "much was sent and no whole request");
            self.hear_no_more();
        }
    }

    /// When patience with a peer that has not asked ends.
    fn asks_until(&self) -> Option<Micros> {
        let whole = self.awaits.map(|since| since + WHOLE);
        whole.into_iter().chain(self.door).min()
    }

    fn is_late(&self) -> bool {
        self.asks_until().is_some_and(|until| self.shared.clock.now() >= until)
    }

    /// Books the memory that the connection takes; without room for it, it is of no more use.
    fn account(&mut self) {
        let size = self.buffer.allocated_bytes()
            + self.responder.buffered_bytes()
            + self.responder.output.capacity();
        if !self.charge.resize(size) && !self.deaf {
            warn!(self.shared.log, "no memory for a connection"; "bytes" => size);
            self.hear_no_more();
        }
        self.activity.open_requests.set(self.responder.complete_requests());
    }

    fn write(&mut self) -> std::io::Result<()> {
        let n = stream::write(&self.stream, &self.responder.output[self.written..])?;
        self.written += n;
        if n > 0 {
            self.touch();
            self.told = true;
        }
        if n > 0 || self.unwritten() == 0 {
            self.taken_at = self.shared.clock.now();
        }
        if self.written == self.responder.output.len() {
            self.written = 0;
            self.responder.output.clear();
            self.responder.output.shrink_to(8 * 1024);
        }
        Ok(())
    }

    /// Waits until there is something to do.
    async fn wait(&mut self) -> std::io::Result<bool> {
        enum Next {
            Word(ConnectionCommand),
            Ready,
            Stalled,
        }
        let now = self.shared.clock.now();
        let word = async { Ok(self.words.recv().await.map_or(Next::Ready, Next::Word)) };
        let readable = async {
            if !self.reads() {
                return future::pending().await;
            }
            self.stream.readable().await.map(|()| Next::Ready)
        };
        let writable = async {
            if self.unwritten() == 0 {
                return future::pending().await;
            }
            self.stream.writable().await.map(|()| Next::Ready)
        };
        let stalled = async {
            if self.unwritten() == 0 {
                return future::pending().await;
            }
            let until = self.taken_at + STALLED;
            Timer::after(Duration::from_micros(until.saturating_sub(now))).await;
            Ok(Next::Stalled)
        };
        let late = async {
            let Some(until) = self.asks_until().filter(|_| self.reads()) else {
                return future::pending().await;
            };
            Timer::after(Duration::from_micros(until.saturating_sub(now))).await;
            Ok(Next::Ready)
        };
        let moment = future::or(stalled, late);
        match future::or(word, future::or(readable, future::or(writable, moment))).await? {
            Next::Word(word) => self.heed(word),
            Next::Ready => {}
            Next::Stalled => return Err(std::io::ErrorKind::TimedOut.into()),
        }
        Ok(false)
    }

    fn heed(&mut self, word: ConnectionCommand) {
        match word {
            ConnectionCommand::Respond { slot, serial, response } => self.answer(slot, serial, &response),
            // Its place is needed: one that never asked loses it even with a part of a request sent, but a whole one that
            // lies unread in the socket was given to this server and gets its answer.
            ConnectionCommand::CloseIfIdle if !self.activity.has_requested.get() => self.leaving = true,
            ConnectionCommand::CloseIfIdle => self.finishing |= self.responder.open_requests() == 0,
            ConnectionCommand::Close => {}
        }
    }

    fn answer(&mut self, slot: u16, serial: u64, answer: &Response) {
        if self.pending.get(&slot).is_some_and(|p| p.serial == serial) {
            self.pending.remove(&slot);
            match answer {
                Response::Aborted => self.responder.end_aborted(slot),
                answer => {
                    self.responder.respond(slot, &cgi::encode_response(answer, self.shared.load_hint.get()))
                }
            }
        }
    }

    /// Takes all whole records off the buffer.
    async fn take(&mut self) {
        loop {
            match self.responder.handle_record(self.buffer.unread()) {
                Ok((0, _)) => return,
                Ok((used, news)) => {
                    self.buffer.consume(used);
                    if let Some(news) = news {
                        self.pass(news).await;
                    }
                }
                Err(why) => {
                    debug!(self.shared.log, "connection closed"; "why" => %why);
                    return self.hear_no_more();
                }
            }
        }
    }

    async fn pass(&mut self, news: Incoming) {
        let message = match news {
            // Its number stays taken until the module has let go: no more answers can be on their way than
            // requests may be open.
            Incoming::Abort(slot) => self.pending.get(&slot).cloned().and_then(Pending::gone),
            Incoming::Request { slot, params, body, too_long } => {
                // Any whole request shows a peer that speaks the protocol, except one longer than that allows.
                self.activity.has_requested.set(self.activity.has_requested.get() || !too_long);
                (self.awaits, self.useless) = (None, 0);
                let serial = self.shared.last_serial.get() + 1;
                self.shared.last_serial.set(serial);
                self.pending.insert(slot, Pending { serial, id: None });
                self.read_request((slot, serial), &params, body, too_long)
            }
        };
        if let Some(message) = message {
            // The module is gone only when the program ends.
            let _ = self.shared.admission.send(message).await;
        }
    }

    /// The message for the module, unless the request is answered here: one that can't be understood, or
    /// for which there is no memory.
    fn read_request(
        &mut self,
        (slot, serial): (u16, u64),
        params: &[u8],
        body: Vec<u8>,
        too_long: bool,
    ) -> Option<AdmissionMessage> {
        // Once the front lets nothing in, what is still read is turned away here: an answer that waited for the module
        // might not be written before the process ends.
        if self.door.is_some() || self.activity.closing.get() {
            self.pending.remove(&slot);
            self.responder.reject(slot, ProtocolStatus::Overloaded);
            self.finishing = true;
            return None;
        }
        let reply_to = ReplyTo::new(self.me.clone(), slot, serial);
        let (work, class, tenant) = match self.understand(params, too_long) {
            Ok(Meant::Check(full)) => {
                return Some(AdmissionMessage::HealthCheck(HealthCheck { is_deep: full, reply_to }))
            }
            Ok(Meant::Work(work, class, tenant)) => (work, class, tenant),
            Err(why) => {
                debug!(self.shared.log, "a request without sense"; "why" => why);
                self.answer(slot, serial, &Response::BadRequest);
                return None;
            }
        };
        let Some(charge) = self.shared.budget.take(params.len() + body.len() + PER_REQUEST) else {
            self.pending.remove(&slot);
            self.responder.reject(slot, ProtocolStatus::Overloaded);
            return None;
        };
        let id: RequestId = work.id.as_str().into();
        self.pending.insert(slot, Pending { serial, id: Some(id.clone()) });
        Some(AdmissionMessage::Request(Box::new(Request {
            id,
            class,
            tenant,
            work: *work,
            body,
            reply_to,
            charge,
        })))
    }

    fn understand(&self, params: &[u8], too_long: bool) -> Result<Meant, &'static str> {
        if too_long {
            return Err("longer than allowed");
        }
        let work = match cgi::parse_request(params)? {
            CgiRequest::HealthCheck(full) => return Ok(Meant::Check(full)),
            CgiRequest::Work(work) if work.is_timely(self.shared.clock.unix()) => work,
            CgiRequest::Work(_) => return Err("times far from now"),
        };
        if self.shared.shape.passes_deadline && work.timeout.is_none() {
            return Err("no budget");
        }
        let class = self.shared.classes.iter().position(|name| *name == work.class);
        let class = class.ok_or("no known class")?;
        // Where there are tenants each request is one's: whose it is decides what it may have.
        let known = |name: &String| self.shared.tenants.iter().position(|tenant| tenant == name);
        let tenant = match work.tenant.as_ref().filter(|_| !self.shared.tenants.is_empty()) {
            Some(name) => known(name).ok_or("no known tenant")?,
            None if self.shared.tenants.is_empty() => 0,
            None => return Err("no tenant"),
        };
        Ok(Meant::Work(Box::new(work), class, tenant))
    }

    /// Closes so that no answer is lost: our end first, then all that the peer still sends is read, as a
    /// close with bytes unread would be a reset that may overtake an answer, or our end of the stream: a request
    /// that crosses it is sent again only by who sees an orderly end.
    async fn end(&mut self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
        let stream = &self.stream;
        // Where nothing was said, no answer is on its way: its place is needed, and only what is there is read.
        let span = if self.told { LINGER } else { Duration::ZERO };
        let drained = stream::with_timeout(span, async {
            let mut sink = Buffer::new(4 * 1024);
            let mut left = DRAINED;
            while let (Ok(got), true) = (stream::read(stream, &mut sink), left > 0) {
                match got {
                    ReadResult::Bytes(n) => {
                        sink.consume(n);
                        left = left.saturating_sub(n);
                        // A peer that never stops sending would keep all others waiting.
                        future::yield_now().await;
                    }
                    ReadResult::Closed => return,
                    ReadResult::WouldBlock if stream.readable().await.is_err() => return,
                    ReadResult::WouldBlock => {}
                }
            }
        });
        drained.await;
    }
}

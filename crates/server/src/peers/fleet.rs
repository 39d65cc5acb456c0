//! This server's part in its fleet: the sockets around [`Membership`], which decides what is believed.
//!
//! Requests never wait for any of it. Every queue here has a bound and loses what does not fit, which the protocol
//! takes for a network that loses; what others send is bounded in length before it is read.

mod link;
mod replication;

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{bounded, Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{debug, info, warn, Logger};
use umberloom_membership::wire::{BuildInfo, Key, MAX_DATAGRAM_LEN};
use umberloom_membership::{Action, Event, MemberName, Membership, Micros, ReturnPath};

use crate::memory::budget::Charge;
use crate::messages::fleet::{
    FleetCommand, FleetConfig, FleetEvent, QuotaReport, Reachability, REPLICATION_CHANNEL,
};
use crate::messages::AdmissionMessage;
use crate::wire::fleet::{
    encode_frame, FleetReply, FleetRequest, FleetRequestKind, FleetResponse, FleetView, FrameKind,
};
use crate::wire::replicated_store::StoreResponse as record_told;
use link::Came;
use replication::{Keeper, Word};

/// Orders that may wait to be taken.
pub const MAILBOX_CAPACITY: usize = 512;
/// Frames that may wait to be taken, from all streams.
const FRAMES: usize = 64;
/// Streams that others may have open beyond one for each peer: guests, operators, and those that a restart left.
const MORE: usize = 8;
/// Memory of one stream: its longest frame, read and waiting.
const STREAM: usize = 2 * crate::wire::fleet::MAX_CONTENT_BYTES;
/// Ways back that are remembered.
const WAYS: usize = 256;
/// Time between two words to the module about who is there, while nothing changes.
const TELL_EVERY: Micros = 100_000;
/// Datagrams taken in before others have their turn.
const AT_ONCE: usize = 32;

/// Descriptors that a fleet of so many peers takes: two sockets, a stream to and from each, and some more.
pub fn descriptor_count(peers: usize) -> usize {
    2 + 2 * peers + MORE
}

/// Memory that it may take: streams are short, so a part of them is full at a time. With a record, what is long waits
/// for each peer too.
pub fn memory_bytes(peers: usize, record: bool) -> usize {
    (peers / 8 + MORE) * STREAM
        + if record { peers * link::BULK * crate::wire::fleet::MAX_CONTENT_BYTES / 2 } else { 0 }
}

/// The sockets, bound before anything is served.
pub struct FleetSockets {
    datagrams: Async<UdpSocket>,
    listener: Async<TcpListener>,
}

impl FleetSockets {
    /// Datagrams and streams at the same address.
    pub fn bind(address: SocketAddr) -> Result<FleetSockets, String> {
        let fail = |e: std::io::Error| format!("fleet: listen on {address}: {e}");
        let datagrams = UdpSocket::bind(address).and_then(Async::new).map_err(fail)?;
        let listener = TcpListener::bind(address).and_then(Async::new).map_err(fail)?;
        Ok(FleetSockets { datagrams, listener })
    }
}

/// A stream to a peer: what is urgent, what is long, and what writes them.
type Out = (Sender<Vec<u8>>, Sender<Vec<u8>>, Task<()>);

/// From which stream something came.
type From = (u64, Came);

enum Next {
    Order(Option<FleetCommand>),
    Datagram,
    Frame(u64, Came),
    Accepted(TcpStream),
    Disk(Word),
    Time,
}

/// The actor.
pub struct FleetActor<'a> {
    executor: Rc<LocalExecutor<'a>>,
    membership: Membership,
    key: Key,
    name: MemberName,
    peers: usize,
    sockets: Rc<FleetSockets>,
    orders: Receiver<FleetCommand>,
    module: Sender<AdmissionMessage>,
    addresses: BTreeMap<MemberName, SocketAddr>,
    /// Streams to peers.
    outs: BTreeMap<MemberName, Out>,
    /// Streams that others opened.
    ins: BTreeMap<u64, (Sender<Vec<u8>>, Task<()>)>,
    came: (Sender<From>, Receiver<From>),
    next: u64,
    /// Where datagrams came from, for answers: the newest at the end.
    ways: VecDeque<(u64, SocketAddr)>,
    start: Instant,
    told: (Reachability, Micros),
    shares: Vec<QuotaReport>,
    mine: BuildInfo,
    record: Option<Keeper>,
    load: u8,
    log: Logger,
    _charge: Charge,
}

impl<'a> FleetActor<'a> {
    /// A server of this fleet, whose process started at `boot`, a Unix time in microseconds.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        executor: Rc<LocalExecutor<'a>>,
        sockets: FleetSockets,
        config: FleetConfig,
        (boot, seed): (u64, u64),
        orders: Receiver<FleetCommand>,
        module: Sender<AdmissionMessage>,
        charge: Charge,
        log: Logger,
    ) -> Result<FleetActor<'a>, String> {
        let FleetConfig {
            membership: config,
            peer_addresses: addresses,
            build_info: about,
            replicated_store: kept,
        } = config;
        let name = config.name.clone();
        let key = Key::new(&config.fleet, &config.secret);
        let peers = config.peers.len();
        let addresses = config.peers.iter().map(|peer| peer.name.clone()).zip(addresses).collect();
        let membership = Membership::new(0, config, boot, seed);
        let mut membership =
            membership.map_err(|all| all.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
        membership.set_build_info(0, about.clone());
        Ok(FleetActor {
            executor,
            membership,
            key,
            name,
            peers,
            sockets: Rc::new(sockets),
            orders,
            module,
            addresses,
            outs: BTreeMap::new(),
            ins: BTreeMap::new(),
            came: bounded(FRAMES),
            next: 0,
            ways: VecDeque::new(),
            start: Instant::now(),
            told: (Reachability::default(), 0),
            shares: Vec::new(),
            mine: about,
            record: kept.map(|settings| Keeper::new(0, settings, seed ^ boot, log.clone())),
            load: 0,
            log,
            _charge: charge,
        })
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Goes on until the last word has been said.
    pub async fn run(mut self) {
        loop {
            let next = self.wait().await;
            let now = self.now();
            match next {
                Next::Order(None) => return,
                Next::Order(Some(FleetCommand::AnnounceDeparture)) => {
                    self.membership.announce_departure(now);
                    self.carry_out(now);
                    return;
                }
                Next::Order(Some(order)) => self.obey(now, order),
                Next::Datagram => self.datagrams(now),
                Next::Frame(id, came) => self.frame(now, id, came),
                Next::Accepted(stream) => self.accepted(stream),
                Next::Disk(done) => {
                    if let Some(keeper) = &mut self.record {
                        keeper.done(now, done);
                    }
                }
                Next::Time => {}
            }
            self.membership.handle_timeout(now);
            self.keep(now);
            self.carry_out(now);
            self.tell(now);
        }
    }

    /// The next thing, without preference: a flood of one kind must not hide the others.
    async fn wait(&self) -> Next {
        let order = async { Next::Order(self.orders.recv().await.ok()) };
        let datagram = async {
            match self.sockets.datagrams.readable().await {
                Ok(()) => Next::Datagram,
                Err(_) => future::pending().await,
            }
        };
        let frame = async {
            match self.came.1.recv().await {
                Ok((id, came)) => Next::Frame(id, came),
                Err(_) => future::pending().await,
            }
        };
        let accepted = async {
            loop {
                match self.sockets.listener.accept().await {
                    Ok((stream, _)) => match stream.into_inner() {
                        Ok(stream) => return Next::Accepted(stream),
                        Err(e) => debug!(self.log, "fleet: accepted in vain"; "why" => %e),
                    },
                    Err(_) => drop(Timer::after(Duration::from_millis(20)).await),
                }
            }
        };
        let kept = self.record.as_ref().map_or(Micros::MAX, Keeper::next_at);
        let due = self.membership.next_timeout().min(kept).saturating_sub(self.now());
        let time = async {
            Timer::after(Duration::from_micros(due)).await;
            Next::Time
        };
        let words = self.record.as_ref().map(Keeper::disk);
        let disk = async {
            match words {
                Some(words) => match words.recv().await {
                    Ok(done) => Next::Disk(done),
                    Err(_) => future::pending().await,
                },
                None => future::pending().await,
            }
        };
        let own = future::race(accepted, future::race(disk, time));
        future::race(order, future::race(future::race(datagram, frame), own)).await
    }

    /// The record's turn, and answers about it.
    fn keep(&mut self, now: Micros) {
        let Some(keeper) = &mut self.record else { return };
        keeper.pass(now, &mut self.membership, self.load);
        for ((id, number), told) in keeper.take_answers() {
            self.reply(id, number, FleetReply::Store(told));
        }
    }

    fn obey(&mut self, now: Micros, order: FleetCommand) {
        match order {
            FleetCommand::Send { to, channel, payload } => self.membership.send(now, &to, channel, payload),
            FleetCommand::SetLoad(percent) => {
                self.load = percent;
                self.membership.set_load(percent);
            }
            FleetCommand::PublishQuotas(shares) => self.shares = shares,
            FleetCommand::Reconfigure(config) => {
                let FleetConfig {
                    membership: config,
                    peer_addresses: addresses,
                    build_info: about,
                    replicated_store: kept,
                } = *config;
                if let (Some(keeper), Some(settings)) = (&mut self.record, kept) {
                    keeper.set(settings);
                }
                self.peers = config.peers.len();
                self.addresses = config.peers.iter().map(|peer| peer.name.clone()).zip(addresses).collect();
                // Streams to those who are gone, or elsewhere, end with what they carry.
                self.outs.clear();
                self.membership.reconfigure(now, config);
                self.membership.set_build_info(now, about.clone());
                self.mine = about;
            }
            FleetCommand::Leave => {
                self.membership.leave(now);
                self.record.iter_mut().for_each(|keeper| keeper.leave(now));
            }
            FleetCommand::AnnounceDeparture => {}
        }
    }

    fn datagrams(&mut self, now: Micros) {
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..AT_ONCE {
            let Ok((size, from)) = self.sockets.datagrams.get_ref().recv_from(&mut bytes) else { return };
            let way = self.way(from);
            self.membership.handle_message(now, &bytes[..size], ReturnPath::Datagram(way));
        }
    }

    /// The number of a way back.
    fn way(&mut self, from: SocketAddr) -> u64 {
        if let Some((way, _)) = self.ways.iter().rev().find(|(_, address)| *address == from) {
            return *way;
        }
        if self.ways.len() == WAYS {
            self.ways.pop_front();
        }
        self.next += 1;
        self.ways.push_back((self.next, from));
        self.next
    }

    fn accepted(&mut self, stream: TcpStream) {
        if self.ins.len() >= self.peers + MORE {
            // The oldest are those that a restart or a cut has left behind.
            self.ins.pop_first();
        }
        let Ok(stream) = Async::new(stream) else { return };
        let _ = stream.get_ref().set_nodelay(true);
        self.next += 1;
        let (answers, taken) = bounded(link::WAITING);
        let served = link::serve(self.next, stream, self.came.0.clone(), taken);
        self.ins.insert(self.next, (answers, self.executor.spawn(served)));
    }

    fn frame(&mut self, now: Micros, id: u64, came: Came) {
        match came {
            Came::End => drop(self.ins.remove(&id)),
            Came::Frame(FrameKind::Message, content) => {
                self.membership.handle_message(now, &content, ReturnPath::Stream(id))
            }
            Came::Frame(FrameKind::Request, content) => {
                match self.key.open::<FleetRequest>(&content, content.len()) {
                    Ok(question) => self.answer(now, id, question),
                    Err(why) => debug!(self.log, "fleet: a question that is not believed"; "why" => ?why),
                }
            }
            Came::Frame(FrameKind::Response, _) => {}
        }
    }

    fn answer(&mut self, now: Micros, id: u64, question: FleetRequest) {
        let reply = match question.kind {
            FleetRequestKind::Store(asked) => {
                let Some(keeper) = &mut self.record else {
                    let why = "this server's file has no `record` in its fleet".to_owned();
                    return self.reply(id, question.number, FleetReply::Store(record_told::Rejected(why)));
                };
                let unix =
                    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
                return keeper.ask(now, unix, (id, question.number), asked);
            }
            FleetRequestKind::Members => FleetReply::Members(self.view(now)),
            FleetRequestKind::Explain(name) => match self.membership.explain(now, &name) {
                Some(evidence) => FleetReply::Explain(evidence),
                None => {
                    let members = self.membership.members(now);
                    FleetReply::UnknownMember(members.iter().map(|m| m.name.to_string()).collect())
                }
            },
        };
        self.reply(id, question.number, reply);
    }

    fn reply(&mut self, id: u64, number: u64, reply: FleetReply) {
        let answer = self.key.seal(&FleetResponse { number, reply });
        if let Some((answers, _)) = self.ins.get(&id) {
            let _ = answers.try_send(encode_frame(FrameKind::Response, &answer));
        }
    }

    fn view(&self, now: Micros) -> FleetView {
        let member = &self.membership;
        FleetView {
            name: self.name.to_string(),
            boot: member.boot_id(),
            standing: member.partition_status(),
            sick: member.health_score(),
            silenced: member.is_fenced(),
            members: member.members(now),
            allowances: self
                .shares
                .iter()
                .map(|quota| (quota.dependency.to_string(), quota.status.clone()))
                .collect(),
            disagreements: member.view_divergences().map(|d| (d.peer.to_string(), d.differences())).collect(),
            counts: member.counts().clone(),
        }
    }

    fn carry_out(&mut self, now: Micros) {
        for action in self.membership.take_actions() {
            match action {
                Action::Datagram { to, bytes } => {
                    if let Some(address) = self.addresses.get(&to) {
                        // A send queue that is full loses it, as the network might.
                        let _ = self.sockets.datagrams.get_ref().send_to(&bytes, address);
                    }
                }
                Action::Stream { to, bytes } => {
                    self.stream(&to, encode_frame(FrameKind::Message, &bytes), false)
                }
                Action::Bulk { to, bytes } => {
                    self.stream(&to, encode_frame(FrameKind::Message, &bytes), true)
                }
                Action::Reply { path: ReturnPath::Datagram(way), bytes } => {
                    if let Some((_, address)) = self.ways.iter().find(|(number, _)| *number == way) {
                        let _ = self.sockets.datagrams.get_ref().send_to(&bytes, address);
                    }
                }
                Action::Reply { path: ReturnPath::Stream(id), bytes } => {
                    if let Some((answers, _)) = self.ins.get(&id) {
                        let _ = answers.try_send(encode_frame(FrameKind::Message, &bytes));
                    }
                }
            }
        }
        for matter in self.membership.take_messages() {
            if let (REPLICATION_CHANNEL, Some(keeper)) = (matter.channel, &mut self.record) {
                keeper.hear(now, &matter.from, matter.boot, &matter.payload);
                continue;
            }
            let news = FleetEvent::MessageReceived {
                from: matter.from,
                boot_id: matter.boot,
                channel: matter.channel,
                payload: matter.payload,
            };
            // A module that has no time for it now is one whose loans have to wait.
            let _ = self.module.try_send(AdmissionMessage::Fleet(news));
        }
        for told in self.membership.take_events() {
            self.log(now, told);
        }
    }

    fn stream(&mut self, to: &MemberName, frame: Vec<u8>, may_wait: bool) {
        let Some(address) = self.addresses.get(to).copied() else { return };
        let executor = &self.executor;
        let (out, bulk, _) = self.outs.entry(to.clone()).or_insert_with(|| {
            let ((out, taken), (bulk, long)) = (bounded(link::WAITING), bounded(link::BULK));
            (out, bulk, executor.spawn(link::write_to(address, taken, long)))
        });
        let _ = if may_wait { bulk.try_send(frame) } else { out.try_send(frame) };
    }

    fn tell(&mut self, now: Micros) {
        if now < self.told.1 + TELL_EVERY {
            return;
        }
        let reached = self.membership.reachable(now);
        let members = self.membership.members(now);
        let named = || members.iter().filter(|m| m.named);
        let same = |shares: u64| shares == self.mine.shares;
        let present = Reachability {
            quota_basis_differs: named().any(|m| m.reached && !same(m.about.shares)),
            all_agree: named().all(|m| m.reached && same(m.about.shares)),
            fenced: self.membership.is_fenced(),
            reachable: reached,
        };
        self.told.1 = now;
        if present != self.told.0
            && self
                .module
                .try_send(AdmissionMessage::Fleet(FleetEvent::ReachabilityChanged(present.clone())))
                .is_ok()
        {
            self.told.0 = present;
        }
    }

    fn log(&self, now: Micros, told: Event) {
        match told {
            Event::PartitionStatusChanged { from, to, cause } => {
                info!(self.log, "standing"; "from" => %from, "to" => %to, "cause" => cause, "ms" => now / 1_000);
            }
            Event::MemberStateChanged { name, from, to, cause } => {
                info!(self.log, "member"; "name" => &*name, "from" => %from, "to" => %to, "cause" => cause);
            }
            Event::NameConflict { name, earlier_boot_id: older, later_boot_id: newer } => {
                warn!(self.log, "two processes of one name"; "name" => &*name, "older" => older, "newer" => newer);
            }
            Event::Fenced { by_boot_id: by } => {
                warn!(self.log, "another process has this server's name"; "started" => by);
            }
            Event::Unfenced { boot_id: boot } => {
                warn!(self.log, "this server goes on under a new start"; "started" => boot)
            }
            Event::ViewsDiverged { peer: with } => {
                warn!(self.log, "views differ"; "with" => &*with, "for_long" => true)
            }
            Event::ViewsConverged { peer: with } => info!(self.log, "views agree again"; "with" => &*with),
            Event::MessagesRejected { reason: why, count, claimed_sender: from } => {
                let from = from.map_or_else(String::new, |name| name.to_string());
                warn!(self.log, "message not believed"; "why" => ?why, "count" => count, "said_to_be_from" => from);
            }
        }
    }
}

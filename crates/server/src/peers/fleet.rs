//! Runs this server's membership in its fleet: does the network I/O for [`Membership`], which decides who is
//! reachable.
//!
//! Requests for work never wait for this actor. Every queue here is bounded and drops what does not fit,
//! which the protocol handles like messages lost on the network. The length of what others send is checked
//! before it is read.

mod event_log;
mod link;
mod operator_requests;
mod replication;
mod sockets;
mod streams;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use slog::{debug, Logger};
use umberloom_membership::wire::{BuildInfo, Key};
use umberloom_membership::{Action, MemberName, Membership, Micros, ReturnPath};

use crate::memory::budget::Charge;
use crate::messages::fleet::{
    FleetCommand, FleetConfig, FleetEvent, QuotaReport, Reachability, REPLICATION_CHANNEL,
};
use crate::messages::AdmissionMessage;
use crate::wire::fleet::{encode_frame, FleetReply, FrameKind, MAX_CONTENT_BYTES};
use link::Received;
use replication::{DiskEvent, ReplicationActor};
pub use sockets::FleetSockets;
use sockets::ReturnAddresses;
use streams::{InboundFrame, InboundStreams, OutboundStreams};

/// Capacity of the mailbox in commands.
pub const MAILBOX_CAPACITY: usize = 512;
/// Number of inbound streams allowed beyond one for each peer: for guests (members outside of the roster),
/// operators, and streams left open by a restarted peer.
const EXTRA_STREAMS: usize = 8;
/// Memory of one stream: a frame of maximum length being read, and another one waiting to be handled.
const STREAM_BYTES: usize = 2 * MAX_CONTENT_BYTES;
/// Of the peers' streams, one in this number is assumed to use its memory at a time, as streams are
/// short-lived.
const PEERS_PER_STREAM_IN_USE: usize = 8;
/// Minimum interval between two reports to admission of which members are reachable.
const REACHABILITY_REPORT_INTERVAL: Micros = 100_000;
/// Delay before accepting again after an error.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// File descriptors that a fleet with this number of peers needs: two sockets, a stream to and from each
/// peer, and [`EXTRA_STREAMS`].
pub fn descriptor_count(peers: usize) -> usize {
    2 + 2 * peers + EXTRA_STREAMS
}

/// Memory in bytes that a fleet with this number of peers needs. With a replicated store, bulk frames wait
/// for each peer too.
pub fn memory_bytes(peers: usize, replicated_store: bool) -> usize {
    let streams = (peers / PEERS_PER_STREAM_IN_USE + EXTRA_STREAMS) * STREAM_BYTES;
    let bulk = peers * link::BULK_QUEUE_CAPACITY * MAX_CONTENT_BYTES / 2;
    streams + if replicated_store { bulk } else { 0 }
}

/// Why [`FleetActor::wait`] returned.
enum Wakeup {
    /// `None` if all senders are gone.
    Command(Option<FleetCommand>),
    /// Datagrams can be read.
    DatagramsReady,
    /// A frame, or the end, of a stream that another process opened to this server.
    Inbound(InboundFrame),
    Accepted(TcpStream),
    Disk(DiskEvent),
    /// A timeout of membership or replication is due.
    Timeout,
}

/// The actor that connects this server with the other members of its fleet.
pub struct FleetActor<'a> {
    membership: Membership,
    key: Key,
    name: MemberName,
    sockets: FleetSockets,
    commands: Receiver<FleetCommand>,
    admission: Sender<AdmissionMessage>,
    /// Addresses of the peers.
    addresses: BTreeMap<MemberName, SocketAddr>,
    outbound: OutboundStreams<'a>,
    inbound: InboundStreams<'a>,
    return_addresses: ReturnAddresses,
    started_at: Instant,
    /// The reachability last reported to admission.
    reported_reachability: Reachability,
    /// When reachability was last checked for a report.
    reachability_checked_at: Micros,
    /// Usage of the distributed quotas, for operators' requests.
    quotas: Vec<QuotaReport>,
    build_info: BuildInfo,
    replication: Option<ReplicationActor>,
    /// Load of this server.
    load_percent: u8,
    log: Logger,
    /// Memory charged until the actor ends.
    _charge: Charge,
}

impl<'a> FleetActor<'a> {
    /// Creates the actor of this server, whose process started at `boot_id`, a Unix time in microseconds.
    ///
    /// # Errors
    /// If the configuration is invalid; the text lists all errors.
    #[expect(clippy::too_many_arguments, reason = "unrelated values, each passed once at startup")]
    pub fn new(
        executor: Rc<LocalExecutor<'a>>,
        sockets: FleetSockets,
        config: FleetConfig,
        (boot_id, seed): (u64, u64),
        commands: Receiver<FleetCommand>,
        admission: Sender<AdmissionMessage>,
        charge: Charge,
        log: Logger,
    ) -> Result<FleetActor<'a>, String> {
        let FleetConfig { membership: config, peer_addresses, build_info, replicated_store } = config;
        let name = config.name.clone();
        let key = Key::new(&config.fleet, &config.secret);
        let max_inbound = config.peers.len() + EXTRA_STREAMS;
        let addresses = addresses_by_name(&config, peer_addresses);
        let membership = Membership::new(0, config, boot_id, seed);
        let mut membership = membership
            .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
        membership.set_build_info(0, build_info.clone());
        let replication =
            replicated_store.map(|settings| ReplicationActor::new(0, settings, seed ^ boot_id, log.clone()));
        Ok(FleetActor {
            membership,
            key,
            name,
            sockets,
            commands,
            admission,
            addresses,
            outbound: OutboundStreams::new(executor.clone()),
            inbound: InboundStreams::new(executor, max_inbound),
            return_addresses: ReturnAddresses::default(),
            started_at: Instant::now(),
            reported_reachability: Reachability::default(),
            reachability_checked_at: 0,
            quotas: Vec::new(),
            build_info,
            replication,
            load_percent: 0,
            log,
            _charge: charge,
        })
    }

    /// Microseconds since the actor was created.
    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Runs until this server's departure has been announced or all senders of commands are gone.
    pub async fn run(mut self) {
        loop {
            let wakeup = self.wait().await;
            let now = self.now();
            match wakeup {
                Wakeup::Command(None) => return,
                Wakeup::Command(Some(FleetCommand::AnnounceDeparture)) => {
                    self.membership.announce_departure(now);
                    self.execute_actions(now);
                    return;
                }
                Wakeup::Command(Some(command)) => self.handle_command(now, command),
                Wakeup::DatagramsReady => self.handle_datagrams(now),
                Wakeup::Inbound(frame) => self.handle_inbound(now, frame),
                Wakeup::Accepted(stream) => self.inbound.accept(stream),
                Wakeup::Disk(event) => {
                    if let Some(replication) = &mut self.replication {
                        replication.handle_disk_event(now, event);
                    }
                }
                Wakeup::Timeout => {}
            }
            self.membership.handle_timeout(now);
            self.run_replication(now);
            self.execute_actions(now);
            self.report_reachability(now);
        }
    }

    /// Waits for the next event. No kind has priority, so that a flood of one kind does not delay the others.
    async fn wait(&self) -> Wakeup {
        let command = async { Wakeup::Command(self.commands.recv().await.ok()) };
        let datagrams = async {
            match self.sockets.datagrams.readable().await {
                Ok(()) => Wakeup::DatagramsReady,
                Err(_) => future::pending().await,
            }
        };
        let inbound = async { Wakeup::Inbound(self.inbound.receive().await) };
        let timeout = async {
            let replication = self.replication.as_ref().map_or(Micros::MAX, ReplicationActor::next_timeout);
            let next = self.membership.next_timeout().min(replication);
            Timer::after(Duration::from_micros(next.saturating_sub(self.now()))).await;
            Wakeup::Timeout
        };
        let disk_events = self.replication.as_ref().map(ReplicationActor::disk_events);
        let disk = async {
            let Some(events) = disk_events else { return future::pending().await };
            match events.recv().await {
                Ok(event) => Wakeup::Disk(event),
                Err(_) => future::pending().await,
            }
        };
        let local = future::race(self.accept(), future::race(disk, timeout));
        future::race(command, future::race(future::race(datagrams, inbound), local)).await
    }

    async fn accept(&self) -> Wakeup {
        loop {
            match self.sockets.listener.accept().await {
                Ok((stream, _)) => match stream.into_inner() {
                    Ok(stream) => return Wakeup::Accepted(stream),
                    Err(e) => debug!(self.log, "fleet: accepted connection lost"; "error" => %e),
                },
                Err(_) => drop(Timer::after(ACCEPT_BACKOFF).await),
            }
        }
    }

    fn handle_command(&mut self, now: Micros, command: FleetCommand) {
        match command {
            FleetCommand::Send { to, channel, payload } => self.membership.send(now, &to, channel, payload),
            FleetCommand::SetLoad(percent) => {
                self.load_percent = percent;
                self.membership.set_load(percent);
            }
            FleetCommand::PublishQuotas(quotas) => self.quotas = quotas,
            FleetCommand::Reconfigure(config) => self.reconfigure(now, *config),
            FleetCommand::Leave => {
                self.membership.leave(now);
                if let Some(replication) = &mut self.replication {
                    replication.leave(now);
                }
            }
            // Handled by `run`, which ends the actor.
            FleetCommand::AnnounceDeparture => {}
        }
    }

    /// Changes the peers, their addresses and the settings while the actor runs.
    fn reconfigure(&mut self, now: Micros, config: FleetConfig) {
        let FleetConfig { membership: config, peer_addresses, build_info, replicated_store } = config;
        if let (Some(replication), Some(settings)) = (&mut self.replication, replicated_store) {
            replication.reconfigure(settings);
        }
        self.inbound.set_max_streams(config.peers.len() + EXTRA_STREAMS);
        self.addresses = addresses_by_name(&config, peer_addresses);
        // All outbound streams are closed and their queued frames lost, as peers may be gone or have a new
        // address.
        self.outbound.close_all();
        self.membership.reconfigure(now, config);
        self.membership.set_build_info(now, build_info.clone());
        self.build_info = build_info;
    }

    fn handle_datagrams(&mut self, now: Micros) {
        self.sockets.receive_datagrams(|bytes, from| {
            let return_path = self.return_addresses.id_of(from);
            self.membership.handle_message(now, bytes, ReturnPath::Datagram(return_path));
        });
    }

    fn handle_inbound(&mut self, now: Micros, frame: InboundFrame) {
        let InboundFrame { stream_id, received } = frame;
        match received {
            Received::Closed => self.inbound.remove(stream_id),
            Received::Frame(FrameKind::Message, content) => {
                self.membership.handle_message(now, &content, ReturnPath::Stream(stream_id));
            }
            Received::Frame(FrameKind::Request, content) => self.handle_request(now, stream_id, &content),
            Received::Frame(FrameKind::Response, _) => {}
        }
    }

    /// Handles due timeouts of replication and sends responses to requests about the replicated store.
    fn run_replication(&mut self, now: Micros) {
        let Some(replication) = &mut self.replication else { return };
        replication.handle_timeout(now, &mut self.membership, self.load_percent);
        for (source, response) in replication.take_responses() {
            self.respond(source.stream_id, source.number, FleetReply::Store(response));
        }
    }

    fn execute_actions(&mut self, now: Micros) {
        for action in self.membership.take_actions() {
            self.execute_action(action);
        }
        for message in self.membership.take_messages() {
            if let (REPLICATION_CHANNEL, Some(replication)) = (message.channel, &mut self.replication) {
                replication.handle_message(now, &message.from, message.boot, &message.payload);
                continue;
            }
            let event = FleetEvent::MessageReceived {
                from: message.from,
                boot_id: message.boot,
                channel: message.channel,
                payload: message.payload,
            };
            // If admission's mailbox is full, the message is dropped: requests for leases are repeated.
            let _ = self.admission.try_send(AdmissionMessage::Fleet(event));
        }
        for event in self.membership.take_events() {
            event_log::log_event(&self.log, now, event);
        }
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Datagram { to, bytes } => {
                if let Some(address) = self.addresses.get(&to) {
                    self.sockets.send_datagram(&bytes, *address);
                }
            }
            Action::Stream { to, bytes } => {
                if let Some(address) = self.addresses.get(&to) {
                    self.outbound.send(&to, *address, encode_frame(FrameKind::Message, &bytes));
                }
            }
            Action::Bulk { to, bytes } => {
                if let Some(address) = self.addresses.get(&to) {
                    self.outbound.send_bulk(&to, *address, encode_frame(FrameKind::Message, &bytes));
                }
            }
            Action::Reply { path: ReturnPath::Datagram(id), bytes } => {
                if let Some(address) = self.return_addresses.get(id) {
                    self.sockets.send_datagram(&bytes, address);
                }
            }
            Action::Reply { path: ReturnPath::Stream(id), bytes } => {
                self.inbound.send(id, encode_frame(FrameKind::Message, &bytes));
            }
        }
    }

    /// Tells admission which members are reachable, if that has changed.
    fn report_reachability(&mut self, now: Micros) {
        if now < self.reachability_checked_at + REACHABILITY_REPORT_INTERVAL {
            return;
        }
        self.reachability_checked_at = now;
        let reachability = self.reachability(now);
        if reachability == self.reported_reachability {
            return;
        }
        let event = FleetEvent::ReachabilityChanged(reachability.clone());
        // If admission's mailbox is full, the report is tried again after the next interval.
        if self.admission.try_send(AdmissionMessage::Fleet(event)).is_ok() {
            self.reported_reachability = reachability;
        }
    }

    fn reachability(&mut self, now: Micros) -> Reachability {
        let reachable = self.membership.reachable(now);
        let members = self.membership.members(now);
        let named = || members.iter().filter(|member| member.named);
        let same_basis = |shares: u64| shares == self.build_info.shares;
        Reachability {
            quota_basis_differs: named().any(|member| member.reached && !same_basis(member.about.shares)),
            all_agree: named().all(|member| member.reached && same_basis(member.about.shares)),
            fenced: self.membership.is_fenced(),
            reachable,
        }
    }
}

/// Maps each peer's name to its address; `addresses` is in the order of the configured peers.
fn addresses_by_name(
    config: &umberloom_membership::Config,
    addresses: Vec<SocketAddr>,
) -> BTreeMap<MemberName, SocketAddr> {
    config.peers.iter().map(|peer| peer.name.clone()).zip(addresses).collect()
}

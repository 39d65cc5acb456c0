//! One server's replica of the store.
//!
//! [`Replica`] uses no socket, file or clock: it receives messages and the time, and returns [`Action`]s and
//! [`Event`]s.

mod actions;
mod comparison;
mod config;
mod events;
mod membership;
mod raft_driver;
mod requests;
mod snapshots;
mod status;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use protobuf::Message as _;
use raft::eraftpb::Message;
use raft::{RawNode, StateRole};
use rand::rngs::ChaCha8Rng;
use rand::{Rng, SeedableRng};
use umberloom_membership::MemberName;

use self::actions::{push_bounded, ActionQueue};
pub use self::actions::{Action, Priority};
use self::comparison::Comparison;
pub use self::config::{Config, ConfigError, InvalidConfig};
pub use self::events::{Event, ReadOutcome, RequestError, Role};
use self::membership::JoinRequest;
use self::raft_driver::Persistence;
use self::requests::Reads;
use self::snapshots::Snapshots;
pub use self::status::{InvariantViolation, ReplicaStatus, ReplicaView};
use crate::entry::EntryId;
use crate::ids::StoreId;
use crate::log::{identity_batch, Log, ReplicaIdentity, StoredReplica};
use crate::message::{self, PeerMessage, StatusMessage};
use crate::rollback::{DurableProgress, PeerProgress, RollbackCheck};
use crate::state::{Outcome, State};
use crate::Micros;

/// Raft ticks in one election timeout.
const ELECTION_TICKS: usize = 10;
/// Raft ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Upper bound of the Raft ticks in one call of [`Replica::handle_timeout`]. After a stall the other missed
/// ticks are skipped: they would start an election before a message of the leader could prevent it.
const MAX_TICKS_PER_TIMEOUT: usize = 2;
/// A replica that lacks at most this number of entries has caught up.
const CAUGHT_UP_LAG: u64 = 64;
/// Upper bound of the bytes of entries in one Raft message with more than one entry: with its frame the
/// message stays below the limit of the fleet's streams.
const MAX_MESSAGE_BYTES: u64 = 16 << 10;
/// Upper bound of the reads that wait at the same time.
const MAX_PENDING_READS: usize = 1_024;

/// What this server knows about another member.
struct Peer {
    boot_id: u64,
    /// When its last status was received.
    heard_at: Micros,
    status: StatusMessage,
}

/// The leader as far as this server knows.
struct KnownLeader {
    /// Name of the leader's server; `None` if no leader is known.
    name: Option<String>,
    /// When a leader was last heard from.
    heard_at: Micros,
}

/// One server's replica.
pub struct Replica {
    config: Config,
    random: ChaCha8Rng,
    identity: ReplicaIdentity,
    /// The Raft library's node; `None` if this server has no replica.
    node: Option<RawNode<Log>>,
    state: State,
    /// Set from the start with a stored replica until enough peers have reported what they remember of it.
    rollback_check: Option<RollbackCheck>,
    /// Durable progress that this server remembers of its peers' replicas.
    peer_progress: PeerProgress,
    peers: BTreeMap<MemberName, Peer>,
    /// Members that this server reaches directly now.
    reachable: BTreeSet<MemberName>,
    /// Load of this server in percent.
    load_percent: u8,
    snapshots: Snapshots,
    persistence: Persistence,
    /// Requests to be admitted to the store, by the name of the sending server.
    join_requests: BTreeMap<String, JoinRequest>,
    reads: Reads,
    comparison: Comparison,
    /// The other store that was reported last in [`Event::CompetingStore`]; [`StoreId::NONE`] if there is
    /// none now.
    competing_store: StoreId,
    role: Role,
    leader: KnownLeader,
    /// When this server last became leader.
    leads_since: Micros,
    /// When this server last knew a leader.
    leaderless_since: Micros,
    next_tick_at: Micros,
    next_status_at: Micros,
    /// The Raft library's current election timeout in ticks, drawn from `random`.
    election_ticks: usize,
    /// Whether this process has ended its use of the replica.
    stopped: bool,
    /// Outcomes of entries that this process has applied, the latest last.
    outcomes: VecDeque<(EntryId, Outcome)>,
    actions: ActionQueue,
    events: VecDeque<Event>,
}

impl fmt::Debug for Replica {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Replica")
            .field("me", &self.config.me)
            .field("role", &self.role)
            .finish_non_exhaustive()
    }
}

impl Replica {
    /// Starts a server's replica, from the stored one if there is one. `seed` determines the ids and election
    /// timeouts that it draws.
    pub fn new(
        now: Micros,
        config: Config,
        stored: Option<StoredReplica>,
        seed: u64,
    ) -> Result<Replica, InvalidConfig> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(InvalidConfig(errors));
        }
        let mut replica = Replica::empty(now, config, seed);
        if let Some(stored) = stored {
            replica.resume(now, stored);
        }
        Ok(replica)
    }

    fn empty(now: Micros, config: Config, seed: u64) -> Replica {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let reads = Reads::new(random.next_u64());
        Replica {
            config,
            random,
            identity: ReplicaIdentity::default(),
            node: None,
            state: State::default(),
            rollback_check: None,
            peer_progress: PeerProgress::default(),
            peers: BTreeMap::new(),
            reachable: BTreeSet::new(),
            load_percent: 0,
            snapshots: Snapshots::new(),
            persistence: Persistence::default(),
            join_requests: BTreeMap::new(),
            reads,
            comparison: Comparison::new(now),
            competing_store: StoreId::NONE,
            role: Role::Outside,
            leader: KnownLeader { name: None, heard_at: now },
            leads_since: now,
            leaderless_since: now,
            next_tick_at: now,
            next_status_at: now,
            election_ticks: 0,
            stopped: false,
            outcomes: VecDeque::new(),
            actions: ActionQueue::default(),
            events: VecDeque::new(),
        }
    }

    /// Loads a stored replica. It takes part in Raft only after the rollback check.
    fn resume(&mut self, now: Micros, mut stored: StoredReplica) {
        if stored.identity.server != *self.config.me {
            let reason = format!("the replica belongs to server {:?}", stored.identity.server);
            self.quarantine(reason);
            return;
        }
        stored.identity.starts += 1;
        self.identity = stored.identity.clone();
        let position = stored.last_position();
        self.persistence.durable = position;
        self.snapshots.resumable_chunks = std::mem::take(&mut stored.incoming_chunks);
        if let Some(state) = stored.state.take() {
            self.state = state;
        }
        self.persist(identity_batch(&stored.identity));
        self.rollback_check = Some(RollbackCheck::new(DurableProgress {
            starts: stored.identity.starts,
            term: position.term,
            last_index: position.index,
        }));
        self.start_raft(Log::load(stored));
        self.process_ready(now);
    }

    /// Sets the members that this server reaches directly now, and its load in percent.
    pub fn set_reachable(&mut self, reachable: impl IntoIterator<Item = MemberName>, load_percent: u8) {
        self.reachable = reachable.into_iter().collect();
        self.load_percent = load_percent;
    }

    /// Replaces the configured peers.
    pub fn set_peers(&mut self, peers: Vec<MemberName>) {
        self.peers.retain(|name, _| peers.contains(name));
        self.config.peers = peers;
    }

    /// Handles a message from a member. `boot_id` identifies the sending process; later processes have higher
    /// ones.
    pub fn handle_message(&mut self, now: Micros, from: &MemberName, boot_id: u64, bytes: &[u8]) {
        if self.stopped {
            return;
        }
        match message::decode(bytes) {
            Some(PeerMessage::Relay { to, message }) if self.reachable.contains(&to) => {
                let relayed = PeerMessage::Relayed { from: from.clone(), boot_id, message };
                let bytes = message::encode(&relayed);
                self.actions.push_message(to, bytes, Priority::Entry);
            }
            // This server does not reach the receiver either. The message is lost, as it could be on the
            // network.
            Some(PeerMessage::Relay { .. }) => {}
            Some(PeerMessage::Relayed { from: origin, boot_id, message }) => {
                // A message is relayed once only.
                match message::decode(&message) {
                    Some(PeerMessage::Relay { .. } | PeerMessage::Relayed { .. }) | None => {}
                    Some(message) => self.dispatch_message(now, &origin, boot_id, message),
                }
            }
            Some(message) => self.dispatch_message(now, from, boot_id, message),
            None => {}
        }
        self.process_ready(now);
    }

    fn dispatch_message(&mut self, now: Micros, from: &MemberName, boot_id: u64, message: PeerMessage) {
        if *from == self.config.me || !self.config.peers.contains(from) {
            return;
        }
        match message {
            PeerMessage::Status(status) => self.handle_status(now, from, boot_id, *status),
            PeerMessage::Raft { to, message } => {
                let message = Message::parse_from_bytes(&message).ok();
                if let Some(message) = message.filter(|_| to == self.identity.replica_id) {
                    self.handle_raft_message(now, message);
                }
            }
            PeerMessage::Join { replica_id, zone } => {
                let request = JoinRequest { replica_id, zone: zone.to_string(), received_at: now };
                self.join_requests.insert(from.to_string(), request);
            }
            PeerMessage::SetVoter { member, is_voter } => {
                // The server that forwarded the request has already answered its operator, so no one receives
                // an error.
                let _ = self.set_voter(now, &member, is_voter);
            }
            PeerMessage::ChunkRequest { digest, index } => self.handle_chunk_request(from, digest, index),
            PeerMessage::Chunk(chunk) => self.handle_chunk(now, &chunk),
            PeerMessage::Relay { .. } | PeerMessage::Relayed { .. } => {}
        }
    }

    /// Runs everything that is due at `now`: the rollback check, Raft ticks, status messages and snapshot
    /// transfers.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.stopped {
            return;
        }
        self.check_rollback(now);
        self.tick(now);
        if now >= self.next_status_at {
            self.next_status_at = now + self.status_interval();
            self.run_periodic_checks(now);
        }
        self.continue_transfer(now);
        self.process_ready(now);
    }

    /// Runs the Raft ticks that are due, up to [`MAX_TICKS_PER_TIMEOUT`]. None is run while the replica must
    /// not start an election.
    fn tick(&mut self, now: Micros) {
        let may_tick = self.rollback_check.is_none() && !self.persistence.is_installing_snapshot();
        let interval = self.config.election_timeout / ELECTION_TICKS as Micros;
        let mut ticks = 0;
        while now >= self.next_tick_at && ticks < MAX_TICKS_PER_TIMEOUT {
            if may_tick {
                self.with_raft(RawNode::tick);
            }
            self.next_tick_at += interval;
            ticks += 1;
        }
        if now >= self.next_tick_at {
            self.next_tick_at = now + interval;
        }
    }

    /// Time at which [`Replica::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Micros {
        if self.stopped {
            return Micros::MAX;
        }
        self.next_tick_at.min(self.next_status_at)
    }

    /// Prepares for the stop of this server: if it leads, it transfers the leadership to a voter that has
    /// caught up.
    pub fn leave(&mut self, now: Micros) {
        if self.role != Role::Leader {
            return;
        }
        let own_id = self.identity.replica_id;
        let successor = self
            .candidates(now)
            .into_iter()
            .filter(|candidate| candidate.is_voter && candidate.replica_id != own_id && candidate.caught_up)
            .min_by_key(|candidate| (candidate.silent_for, candidate.load));
        if let Some(successor) = successor {
            self.with_raft(|node| node.transfer_leader(successor.replica_id));
            self.process_ready(now);
        }
    }

    /// The actions for the host since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.take()
    }

    /// The events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    fn emit(&mut self, event: Event) {
        push_bounded(&mut self.events, event);
    }

    /// Whether a replica votes, according to the configuration applied at this replica.
    fn is_voter(&self, replica_id: u64) -> bool {
        self.node.as_ref().is_some_and(|node| node.store().conf_state().voters.contains(&replica_id))
    }

    /// Sends a message directly, or through a member that reaches the receiver if this server does not.
    fn send(&mut self, to: &MemberName, message: &PeerMessage, priority: Priority) {
        let bytes = message::encode(message);
        let reaches_receiver =
            |name: &&MemberName| self.peers.get(*name).is_some_and(|peer| peer.status.reachable.contains(to));
        let relay =
            if self.reachable.contains(to) { None } else { self.reachable.iter().find(reaches_receiver) };
        match relay {
            Some(relay) => {
                let message = PeerMessage::Relay { to: to.clone(), message: bytes };
                self.actions.push_message(relay.clone(), message::encode(&message), priority);
            }
            None => self.actions.push_message(to.clone(), bytes, priority),
        }
    }

    /// Updates the role and the leader, and emits events for changes.
    fn update_role(&mut self, now: Micros) {
        let (role, leader) = self.current_role(now);
        if role != self.role {
            if role == Role::Leader {
                self.leads_since = now;
            }
            self.emit(Event::RoleChanged { from: self.role, to: role });
            self.role = role;
        }
        if role == Role::Leader {
            self.leader.heard_at = now;
        }
        if leader.is_some() {
            self.leaderless_since = now;
        }
        if leader != self.leader.name {
            self.emit(Event::LeaderChanged { leader: leader.clone() });
            self.leader.name = leader;
        }
    }

    /// The role of this replica, and the name of the leader if one is known.
    fn current_role(&self, now: Micros) -> (Role, Option<String>) {
        let Some(node) = &self.node else { return (Role::Outside, None) };
        if self.rollback_check.is_some() {
            return (Role::Returning, None);
        }
        let role = if node.raft.state == StateRole::Leader {
            Role::Leader
        } else if self.is_voter(self.identity.replica_id) {
            Role::Voter
        } else if self.state.members.contains_key(&self.identity.replica_id) {
            Role::Learner
        } else {
            Role::Outside
        };
        // In the Raft library a learner keeps its leader forever, so a leader counts only while it is heard
        // from.
        let is_alive = role == Role::Leader || now < self.leader.heard_at + 2 * self.config.election_timeout;
        let leader = self.state.members.get(&node.raft.leader_id).filter(|_| is_alive);
        (role, leader.map(|member| member.name.clone()))
    }
}

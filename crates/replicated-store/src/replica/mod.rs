//! One server's part in the record.

mod events;
mod membership;
mod raft_driver;
mod requests;
mod status;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

use protobuf::Message as _;
use raft::eraftpb::Message;
use raft::{RawNode, StateRole};
use rand::rngs::ChaCha8Rng;
use rand::{Rng, SeedableRng};
use umberloom_membership::MemberName;
use umberloom_store::WriteBatch;

pub use self::events::{Event, ReadOutcome, ReplicaStatus, ReplicaView, RequestError, Role};
use crate::divergence::Verdict as Found;
use crate::entry::{Digest, EntryId};
use crate::log::{chunk_batch, identity_batch, Log, Manifest, ReplicaIdentity, StoredReplica};
use crate::message::{self, PeerMessage, StatusMessage};
use crate::rollback::{DurableProgress, PeerProgress, RollbackCheck};
use crate::state::{Outcome, State};
use crate::transfer::{chunk, SnapshotTransfer};
use crate::Micros;

/// Ticks of the library in one election time, and in one beat of a leader.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Ticks done at once after a standstill: more would be elections that nobody could have prevented.
const MAX_TICKS_PER_TIMEOUT: usize = 2;
/// Entries applied since the last snapshot after which a new one is made, and bytes of them.
const COMPACT_AFTER: (u64, u64) = (4_096, 8 << 20);
/// A copy that lacks no more than so many entries has caught up.
const CAUGHT_UP_LAG: u64 = 64;
/// Bytes of entries in one message: with its frame it stays under what the fleet's streams carry.
const MAX_MESSAGE_BYTES: u64 = 16 << 10;
/// Reads that wait.
const MAX_PENDING_READS: usize = 1_024;
/// Lines and actions that wait to be taken.
const MAX_QUEUED: usize = 16_384;

/// What a server is told of the record.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name and zone.
    pub me: MemberName,
    /// See `me`.
    pub zone: MemberName,
    /// Everyone else who belongs to the fleet.
    pub peers: Vec<MemberName>,
    /// How many vote: 3 or 5.
    pub voters: usize,
    /// A leader that has not been heard for so long is replaced.
    pub election_timeout: Micros,
    /// A voter that is gone for so long is replaced.
    pub replace_after: Micros,
    /// Bytes a second that this server takes of a snapshot.
    pub catch_up_bytes_per_second: u64,
}

impl Config {
    /// Three voters, and times for a network of some milliseconds.
    pub fn new(me: &str, others: &[&str]) -> Config {
        Config {
            me: me.into(),
            zone: "".into(),
            peers: others.iter().map(|other| MemberName::from(*other)).collect(),
            voters: 3,
            election_timeout: 1_000_000,
            replace_after: 30_000_000,
            catch_up_bytes_per_second: 8 << 20,
        }
    }

    /// All that is wrong with it.
    pub fn validate(&self) -> Vec<String> {
        let mut found = Vec::new();
        if ![1, 3, 5].contains(&self.voters) {
            found.push(format!("found {} voters, expected 3 or 5 (1 for a trial)", self.voters));
        }
        if self.voters > self.peers.len() + 1 {
            found.push(format!(
                "found {} voters, expected one for each of {}",
                self.voters,
                self.peers.len() + 1
            ));
        }
        if !(100_000..=60_000_000).contains(&self.election_timeout) {
            found.push(format!(
                "found an election of {} ms, expected 100 to 60000",
                self.election_timeout / 1_000
            ));
        }
        if self.replace_after < 3 * self.election_timeout {
            found.push(
                "a voter is replaced after three elections at least, so that a leader can be found".into(),
            );
        }
        found
    }
}

/// How urgent a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Signs of life.
    Heartbeat,
    /// Votes.
    Vote,
    /// Entries.
    Entry,
    /// Pieces of a snapshot: they may wait for all others.
    Snapshot,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say this to a member.
    Send(MemberName, Vec<u8>, Priority),
    /// Make this durable, in the order of the numbers, and say [`Record::persisted`].
    Persist(u64, WriteBatch),
    /// This copy is not to be used any more, for this reason: set the store aside and begin anew without it.
    Quarantine(String),
}

struct Peer {
    boot_id: u64,
    heard_at: Micros,
    status: StatusMessage,
}

/// A step of the library that waits for its disk.
struct PendingStep {
    ready_number: u64,
    required_batch: u64,
    messages: Vec<Message>,
    seen: (u64, u64),
}

/// A read that waits: since when, when it was last asked for and how often, and what the leader said.
struct PendingRead {
    requested_at: Micros,
    last_attempt_at: Micros,
    attempts: u32,
    read_index: Option<u64>,
}

/// One server's part in the record.
pub struct Replica {
    config: Config,
    random: ChaCha8Rng,
    identity: ReplicaIdentity,
    node: Option<RawNode<Log>>,
    state: State,
    rollback_check: Option<RollbackCheck>,
    peer_progress: PeerProgress,
    peers: BTreeMap<MemberName, Peer>,
    reachable: BTreeSet<MemberName>,
    load_percent: u8,
    transfer: Option<(SnapshotTransfer, Message)>,
    resumable_chunks: Vec<(Digest, u32, Vec<u8>)>,
    fetched_snapshot: Option<(Manifest, Rc<Vec<u8>>)>,
    pending_steps: VecDeque<PendingStep>,
    last_batch: u64,
    durable_batch: u64,
    durable: (u64, u64),
    join_requests: BTreeMap<String, (u64, String, Micros)>,
    pending_reads: BTreeMap<u64, PendingRead>,
    finished_reads: Vec<(u64, ReadOutcome)>,
    last_read_ticket: u64,
    /// Drawn by this process, for the names of its questions.
    read_nonce: u64,
    digest_matches: BTreeMap<u64, bool>,
    reported_divergence: Vec<u64>,
    /// What comparing has come to, and since when.
    found: (Found, Micros),
    frozen: bool,
    /// The other record that was told of last.
    competing_store: u64,
    role: Role,
    leader: (Option<String>, Micros),
    leads_since: Micros,
    /// Since when nobody has led it, as far as this server knows.
    leaderless_since: Micros,
    next_tick_at: Micros,
    next_status_at: Micros,
    election_ticks: usize,
    quarantined: bool,
    wants_snapshot: bool,
    stores_chunks: bool,
    /// Snapshots of earlier entries than this one are not taken.
    min_snapshot_index: u64,
    installed_snapshot: u64,
    outcomes: VecDeque<(EntryId, Outcome)>,
    actions: VecDeque<Action>,
    events: VecDeque<Event>,
}

impl fmt::Debug for Replica {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Record")
            .field("me", &self.config.me)
            .field("role", &self.role)
            .finish_non_exhaustive()
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= MAX_QUEUED {
        queue.pop_front();
    }
    queue.push_back(item);
}

impl Replica {
    /// A server that starts now, with what its store holds.
    pub fn new(
        now: Micros,
        config: Config,
        image: Option<StoredReplica>,
        seed: u64,
    ) -> Result<Replica, String> {
        let mistakes = config.validate();
        if !mistakes.is_empty() {
            return Err(mistakes.join("; "));
        }
        let mut record = Replica {
            random: ChaCha8Rng::seed_from_u64(seed),
            identity: ReplicaIdentity::default(),
            node: None,
            state: State::default(),
            rollback_check: None,
            peer_progress: PeerProgress::default(),
            peers: BTreeMap::new(),
            reachable: BTreeSet::new(),
            load_percent: 0,
            transfer: None,
            resumable_chunks: Vec::new(),
            fetched_snapshot: None,
            pending_steps: VecDeque::new(),
            last_batch: 0,
            durable_batch: 0,
            durable: (0, 0),
            join_requests: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            finished_reads: Vec::new(),
            last_read_ticket: 0,
            read_nonce: 0,
            digest_matches: BTreeMap::new(),
            reported_divergence: Vec::new(),
            found: (Found::NoDivergence, now),
            frozen: false,
            competing_store: 0,
            role: Role::Outside,
            leader: (None, now),
            leads_since: now,
            leaderless_since: now,
            next_tick_at: now,
            next_status_at: now,
            election_ticks: 0,
            quarantined: false,
            wants_snapshot: false,
            stores_chunks: true,
            min_snapshot_index: 0,
            installed_snapshot: 0,
            outcomes: VecDeque::new(),
            actions: VecDeque::new(),
            events: VecDeque::new(),
            config,
        };
        record.read_nonce = record.random.next_u64();
        let Some(mut image) = image else { return Ok(record) };
        if image.identity.server != *record.config.me {
            let why = format!("the copy belongs to {:?}", image.identity.server);
            record.quarantine(why);
            return Ok(record);
        }
        image.identity.starts += 1;
        record.identity = image.identity.clone();
        let (term, last) = image.last();
        record.durable = (term, last);
        record.resumable_chunks = std::mem::take(&mut image.incoming_chunks);
        if let Some(state) = image.state.take() {
            record.state = state;
        }
        record.persist(identity_batch(&image.identity));
        record.rollback_check = Some(RollbackCheck::new(DurableProgress {
            starts: image.identity.starts,
            term,
            last_index: last,
        }));
        record.start_raft(Log::load(image));
        record.process_ready(now);
        Ok(record)
    }

    pub(super) fn emit(&mut self, line: Event) {
        push_bounded(&mut self.events, line);
    }

    /// Members that this server reaches now, and how loaded it is.
    pub fn set_reachable(&mut self, reached: impl IntoIterator<Item = MemberName>, load: u8) {
        self.reachable = reached.into_iter().collect();
        self.load_percent = load;
    }

    /// A member says something.
    pub fn handle_message(&mut self, now: Micros, from: &MemberName, boot: u64, bytes: &[u8]) {
        if self.quarantined {
            return;
        }
        match message::decode(bytes) {
            Some(PeerMessage::Relay(to, inner)) if self.reachable.contains(&to) => {
                let passed = message::encode(&PeerMessage::Relayed(from.clone(), boot, inner));
                push_bounded(&mut self.actions, Action::Send(to, passed, Priority::Entry));
            }
            // Nor does this server reach it: lost, as on a network.
            Some(PeerMessage::Relay(..)) => {}
            Some(PeerMessage::Relayed(origin, boot, inner)) => {
                // One hop and no more.
                match message::decode(&inner) {
                    Some(PeerMessage::Relay(..) | PeerMessage::Relayed(..)) | None => {}
                    Some(word) => self.dispatch_message(now, &origin, boot, word),
                }
            }
            Some(word) => self.dispatch_message(now, from, boot, word),
            None => {}
        }
        self.process_ready(now);
    }

    fn dispatch_message(&mut self, now: Micros, from: &MemberName, boot: u64, word: PeerMessage) {
        if *from == self.config.me || !self.config.peers.contains(from) {
            return;
        }
        match word {
            PeerMessage::Status(status) => self.handle_status(now, from, boot, *status),
            PeerMessage::Raft(to, bytes) => {
                let message = Message::parse_from_bytes(&bytes).ok();
                if let Some(message) = message.filter(|_| to == self.identity.replica_id) {
                    self.handle_raft_message(now, message);
                }
            }
            PeerMessage::Join(copy, zone) => {
                self.join_requests.insert(from.to_string(), (copy, zone.to_string(), now));
            }
            PeerMessage::SetVoter(name, votes) => drop(self.set_voter(now, &name, votes)),
            PeerMessage::ChunkRequest(of, number) => {
                let found = self.node.as_ref().and_then(|node| node.store().snapshot_with_digest(&of));
                if let Some(bytes) = found.and_then(|all| chunk(&all, number).map(<[u8]>::to_vec)) {
                    self.send(from, PeerMessage::Chunk(of, number, bytes), Priority::Snapshot);
                }
            }
            PeerMessage::Chunk(of, number, bytes) => {
                let Some((transfer, _)) = &mut self.transfer else { return };
                if transfer.handle_chunk(&of, number, bytes.clone()) {
                    // Durable, so that a process that ends in the middle does not begin from nothing.
                    if self.stores_chunks {
                        self.persist(chunk_batch(&of, number, &bytes));
                    }
                    self.continue_transfer(now);
                }
            }
            PeerMessage::Relay(..) | PeerMessage::Relayed(..) => {}
        }
    }

    /// What is due by now.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.quarantined {
            return;
        }
        self.check_rollback(now);
        let tick = self.config.election_timeout / ELECTION_TICKS as Micros;
        let mut ticks = 0;
        while now >= self.next_tick_at && ticks < MAX_TICKS_PER_TIMEOUT {
            if self.rollback_check.is_none() {
                self.with_raft(RawNode::tick);
            }
            self.next_tick_at += tick;
            ticks += 1;
        }
        if now >= self.next_tick_at {
            self.next_tick_at = now + tick;
        }
        if now >= self.next_status_at {
            self.next_status_at = now + self.status_interval();
            self.run_periodic_checks(now);
        }
        self.continue_transfer(now);
        self.process_ready(now);
    }

    /// When something is due next.
    pub fn next_timeout(&self) -> Micros {
        if self.quarantined {
            return Micros::MAX;
        }
        self.next_tick_at.min(self.next_status_at)
    }

    /// Sends directly, or by one other member where that way is closed.
    pub(super) fn send(&mut self, to: &MemberName, word: PeerMessage, class: Priority) {
        let bytes = message::encode(&word);
        if self.reachable.contains(to) {
            return push_bounded(&mut self.actions, Action::Send(to.clone(), bytes, class));
        }
        let way = |name: &&MemberName| self.peers.get(*name).is_some_and(|o| o.status.reachable.contains(to));
        let by = self.reachable.iter().find(way).cloned();
        match by {
            Some(by) => {
                let hop = message::encode(&PeerMessage::Relay(to.clone(), bytes));
                push_bounded(&mut self.actions, Action::Send(by, hop, class));
            }
            None => push_bounded(&mut self.actions, Action::Send(to.clone(), bytes, class)),
        }
    }

    pub(super) fn note_role(&mut self, now: Micros) {
        let (role, leader) = match &self.node {
            None => (Role::Outside, None),
            Some(_) if self.rollback_check.is_some() => (Role::Returning, None),
            Some(node) => {
                let voter = node.store().conf_state().voters.contains(&self.identity.replica_id);
                let role = match node.raft.state {
                    StateRole::Leader => Role::Leader,
                    _ if voter => Role::Voter,
                    _ if self.state.members.contains_key(&self.identity.replica_id) => Role::Learner,
                    _ => Role::Outside,
                };
                // The library lets one that learns believe in its leader for ever.
                let heard = role == Role::Leader || now < self.leader.1 + 2 * self.config.election_timeout;
                let leader = self.state.members.get(&node.raft.leader_id).filter(|_| heard);
                (role, leader.map(|member| member.name.clone()))
            }
        };
        if role != self.role {
            if role == Role::Leader {
                self.leads_since = now;
            }
            self.emit(Event::RoleChanged(self.role, role));
            self.role = role;
        }
        if role == Role::Leader {
            self.leader.1 = now;
        }
        if leader.is_some() {
            self.leaderless_since = now;
        }
        if leader != self.leader.0 {
            self.emit(Event::LeaderChanged(leader.clone()));
            self.leader.0 = leader;
        }
    }

    /// This server ends: if it leads, another is to take over at once.
    pub fn leave(&mut self, now: Micros) {
        if self.role != Role::Leader {
            return;
        }
        let best = self
            .candidates(now)
            .into_iter()
            .filter(|c| c.is_voter && c.replica_id != self.identity.replica_id && c.caught_up);
        if let Some(next) = best.min_by_key(|c| (c.silent_for, c.load)) {
            self.with_raft(|node| node.transfer_leader(next.replica_id));
            self.process_ready(now);
        }
    }

    /// Others belong to the fleet from now on.
    pub fn set_peers(&mut self, others: Vec<MemberName>) {
        self.peers.retain(|name, _| others.contains(name));
        self.config.peers = others;
    }

    /// What is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    /// What is to be logged.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }
}

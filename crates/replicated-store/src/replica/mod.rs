//! One server's part in the record.

mod asking;
mod library;
mod membership;
mod told;
mod view;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

use protobuf::Message as _;
use raft::eraftpb::Message;
use raft::{RawNode, StateRole};
use rand::rngs::ChaCha8Rng;
use rand::{Rng, SeedableRng};
use umberloom_membership::MemberName;
use umberloom_store::Batch;

pub use self::told::{Event, ReadOutcome, ReplicaStatus, ReplicaView, RequestError, Role};
use crate::divergence::Verdict as Found;
use crate::entry::{Digest, EntryId};
use crate::log::{coming_batch, copy_batch, Copy, Log, Manifest, StoredReplica};
use crate::message::{self, PeerMessage, Status};
use crate::rollback::{Memory, Returning, Seen};
use crate::state::{Outcome, State};
use crate::transfer::{piece, Transfer};
use crate::Micros;

/// Ticks of the library in one election time, and in one beat of a leader.
const TICKS: usize = 10;
const BEAT_TICKS: usize = 2;
/// Ticks done at once after a standstill: more would be elections that nobody could have prevented.
const AT_ONCE: usize = 2;
/// Entries applied since the last snapshot after which a new one is made, and bytes of them.
const COMPACT_AFTER: (u64, u64) = (4_096, 8 << 20);
/// A copy that lacks no more than so many entries has caught up.
const CAUGHT_UP: u64 = 64;
/// Bytes of entries in one message: with its frame it stays under what the fleet's streams carry.
const MESSAGE: u64 = 16 << 10;
/// Reads that wait.
const READS: usize = 1_024;
/// Lines and actions that wait to be taken.
const WAITING: usize = 16_384;

/// What a server is told of the record.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name and zone.
    pub me: MemberName,
    /// See `me`.
    pub zone: MemberName,
    /// Everyone else who belongs to the fleet.
    pub others: Vec<MemberName>,
    /// How many vote: 3 or 5.
    pub voters: usize,
    /// A leader that has not been heard for so long is replaced.
    pub election: Micros,
    /// A voter that is gone for so long is replaced.
    pub replace_after: Micros,
    /// Bytes a second that this server takes of a snapshot.
    pub catch_up: u64,
}

impl Config {
    /// Three voters, and times for a network of some milliseconds.
    pub fn new(me: &str, others: &[&str]) -> Config {
        Config {
            me: me.into(),
            zone: "".into(),
            others: others.iter().map(|other| MemberName::from(*other)).collect(),
            voters: 3,
            election: 1_000_000,
            replace_after: 30_000_000,
            catch_up: 8 << 20,
        }
    }

    /// All that is wrong with it.
    pub fn validate(&self) -> Vec<String> {
        let mut found = Vec::new();
        if ![1, 3, 5].contains(&self.voters) {
            found.push(format!("found {} voters, expected 3 or 5 (1 for a trial)", self.voters));
        }
        if self.voters > self.others.len() + 1 {
            found.push(format!(
                "found {} voters, expected one for each of {}",
                self.voters,
                self.others.len() + 1
            ));
        }
        if !(100_000..=60_000_000).contains(&self.election) {
            found.push(format!("found an election of {} ms, expected 100 to 60000", self.election / 1_000));
        }
        if self.replace_after < 3 * self.election {
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
    Persist(u64, Batch),
    /// This copy is not to be used any more, for this reason: set the store aside and begin anew without it.
    Quarantine(String),
}

struct Other {
    boot: u64,
    heard: Micros,
    status: Status,
}

/// A step of the library that waits for its disk.
struct Step {
    ready: u64,
    needs: u64,
    messages: Vec<Message>,
    seen: (u64, u64),
}

/// A read that waits: since when, when it was last asked for and how often, and what the leader said.
struct Waiting {
    since: Micros,
    asked: Micros,
    tries: u32,
    index: Option<u64>,
}

/// One server's part in the record.
pub struct Replica {
    config: Config,
    random: ChaCha8Rng,
    copy: Copy,
    node: Option<RawNode<Log>>,
    state: State,
    returning: Option<Returning>,
    memory: Memory,
    others: BTreeMap<MemberName, Other>,
    reached: BTreeSet<MemberName>,
    load: u8,
    transfer: Option<(Transfer, Message)>,
    had: Vec<(Digest, u32, Vec<u8>)>,
    fetched: Option<(Manifest, Rc<Vec<u8>>)>,
    steps: VecDeque<Step>,
    given: u64,
    done: u64,
    durable: (u64, u64),
    asks: BTreeMap<String, (u64, String, Micros)>,
    reads: BTreeMap<u64, Waiting>,
    finished: Vec<(u64, ReadOutcome)>,
    next_read: u64,
    /// Drawn by this process, for the names of its questions.
    nonce: u64,
    compared: BTreeMap<u64, bool>,
    differing: Vec<u64>,
    /// What comparing has come to, and since when.
    found: (Found, Micros),
    frozen: bool,
    /// The other record that was told of last.
    another: u64,
    role: Role,
    leader: (Option<String>, Micros),
    leads_since: Micros,
    /// Since when nobody has led it, as far as this server knows.
    alone_since: Micros,
    tick_at: Micros,
    status_at: Micros,
    timeout: usize,
    ended: bool,
    wants_snapshot: bool,
    keeps_pieces: bool,
    /// Snapshots of earlier entries than this one are not taken.
    least: u64,
    installed: u64,
    outcomes: VecDeque<(EntryId, Outcome)>,
    actions: VecDeque<Action>,
    told: VecDeque<Event>,
}

impl fmt::Debug for Replica {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Record")
            .field("me", &self.config.me)
            .field("role", &self.role)
            .finish_non_exhaustive()
    }
}

fn bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= WAITING {
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
            copy: Copy::default(),
            node: None,
            state: State::default(),
            returning: None,
            memory: Memory::default(),
            others: BTreeMap::new(),
            reached: BTreeSet::new(),
            load: 0,
            transfer: None,
            had: Vec::new(),
            fetched: None,
            steps: VecDeque::new(),
            given: 0,
            done: 0,
            durable: (0, 0),
            asks: BTreeMap::new(),
            reads: BTreeMap::new(),
            finished: Vec::new(),
            next_read: 0,
            nonce: 0,
            compared: BTreeMap::new(),
            differing: Vec::new(),
            found: (Found::Fine, now),
            frozen: false,
            another: 0,
            role: Role::Outside,
            leader: (None, now),
            leads_since: now,
            alone_since: now,
            tick_at: now,
            status_at: now,
            timeout: 0,
            ended: false,
            wants_snapshot: false,
            keeps_pieces: true,
            least: 0,
            installed: 0,
            outcomes: VecDeque::new(),
            actions: VecDeque::new(),
            told: VecDeque::new(),
            config,
        };
        record.nonce = record.random.next_u64();
        let Some(mut image) = image else { return Ok(record) };
        if image.copy.name != *record.config.me {
            let why = format!("the copy belongs to {:?}", image.copy.name);
            record.set_aside(why);
            return Ok(record);
        }
        image.copy.starts += 1;
        record.copy = image.copy.clone();
        let (term, last) = image.last();
        record.durable = (term, last);
        record.had = std::mem::take(&mut image.coming);
        if let Some(state) = image.state.take() {
            record.state = state;
        }
        record.persist(copy_batch(&image.copy));
        record.returning = Some(Returning::new(Seen { starts: image.copy.starts, term, last }));
        record.begin(Log::load(image));
        record.settle(now);
        Ok(record)
    }

    pub(super) fn tell(&mut self, line: Event) {
        bounded(&mut self.told, line);
    }

    /// Members that this server reaches now, and how loaded it is.
    pub fn set_reachable(&mut self, reached: impl IntoIterator<Item = MemberName>, load: u8) {
        self.reached = reached.into_iter().collect();
        self.load = load;
    }

    /// A member says something.
    pub fn handle_message(&mut self, now: Micros, from: &MemberName, boot: u64, bytes: &[u8]) {
        if self.ended {
            return;
        }
        match message::read(bytes) {
            Some(PeerMessage::Hop(to, inner)) if self.reached.contains(&to) => {
                let passed = message::write(&PeerMessage::Passed(from.clone(), boot, inner));
                bounded(&mut self.actions, Action::Send(to, passed, Priority::Entry));
            }
            // Nor does this server reach it: lost, as on a network.
            Some(PeerMessage::Hop(..)) => {}
            Some(PeerMessage::Passed(origin, boot, inner)) => {
                // One hop and no more.
                match message::read(&inner) {
                    Some(PeerMessage::Hop(..) | PeerMessage::Passed(..)) | None => {}
                    Some(word) => self.take(now, &origin, boot, word),
                }
            }
            Some(word) => self.take(now, from, boot, word),
            None => {}
        }
        self.settle(now);
    }

    fn take(&mut self, now: Micros, from: &MemberName, boot: u64, word: PeerMessage) {
        if *from == self.config.me || !self.config.others.contains(from) {
            return;
        }
        match word {
            PeerMessage::Status(status) => self.handle_status(now, from, boot, *status),
            PeerMessage::Raft(to, bytes) => {
                let message = Message::parse_from_bytes(&bytes).ok();
                if let Some(message) = message.filter(|_| to == self.copy.id) {
                    self.step(now, message);
                }
            }
            PeerMessage::Join(copy, zone) => {
                self.asks.insert(from.to_string(), (copy, zone.to_string(), now));
            }
            PeerMessage::Hand(name, votes) => drop(self.set_voter(now, &name, votes)),
            PeerMessage::Ask(of, number) => {
                let found = self.node.as_ref().and_then(|node| node.store().snapshot_by(&of));
                if let Some(bytes) = found.and_then(|all| piece(&all, number).map(<[u8]>::to_vec)) {
                    self.send(from, PeerMessage::Piece(of, number, bytes), Priority::Snapshot);
                }
            }
            PeerMessage::Piece(of, number, bytes) => {
                let Some((transfer, _)) = &mut self.transfer else { return };
                if transfer.take(&of, number, bytes.clone()) {
                    // Durable, so that a process that ends in the middle does not begin from nothing.
                    if self.keeps_pieces {
                        self.persist(coming_batch(&of, number, &bytes));
                    }
                    self.fetch(now);
                }
            }
            PeerMessage::Hop(..) | PeerMessage::Passed(..) => {}
        }
    }

    /// What is due by now.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.ended {
            return;
        }
        self.returned(now);
        let tick = self.config.election / TICKS as Micros;
        let mut ticks = 0;
        while now >= self.tick_at && ticks < AT_ONCE {
            if self.returning.is_none() {
                self.with(RawNode::tick);
            }
            self.tick_at += tick;
            ticks += 1;
        }
        if now >= self.tick_at {
            self.tick_at = now + tick;
        }
        if now >= self.status_at {
            self.status_at = now + self.status_every();
            self.look(now);
        }
        self.fetch(now);
        self.settle(now);
    }

    /// When something is due next.
    pub fn next_timeout(&self) -> Micros {
        if self.ended {
            return Micros::MAX;
        }
        self.tick_at.min(self.status_at)
    }

    /// Sends directly, or by one other member where that way is closed.
    pub(super) fn send(&mut self, to: &MemberName, word: PeerMessage, class: Priority) {
        let bytes = message::write(&word);
        if self.reached.contains(to) {
            return bounded(&mut self.actions, Action::Send(to.clone(), bytes, class));
        }
        let way = |name: &&MemberName| self.others.get(*name).is_some_and(|o| o.status.reaches.contains(to));
        let by = self.reached.iter().find(way).cloned();
        match by {
            Some(by) => {
                let hop = message::write(&PeerMessage::Hop(to.clone(), bytes));
                bounded(&mut self.actions, Action::Send(by, hop, class));
            }
            None => bounded(&mut self.actions, Action::Send(to.clone(), bytes, class)),
        }
    }

    pub(super) fn note_role(&mut self, now: Micros) {
        let (role, leader) = match &self.node {
            None => (Role::Outside, None),
            Some(_) if self.returning.is_some() => (Role::Returning, None),
            Some(node) => {
                let voter = node.store().conf().voters.contains(&self.copy.id);
                let role = match node.raft.state {
                    StateRole::Leader => Role::Leader,
                    _ if voter => Role::Voter,
                    _ if self.state.members.contains_key(&self.copy.id) => Role::Learner,
                    _ => Role::Outside,
                };
                // The library lets one that learns believe in its leader for ever.
                let heard = role == Role::Leader || now < self.leader.1 + 2 * self.config.election;
                let leader = self.state.members.get(&node.raft.leader_id).filter(|_| heard);
                (role, leader.map(|member| member.name.clone()))
            }
        };
        if role != self.role {
            if role == Role::Leader {
                self.leads_since = now;
            }
            self.tell(Event::RoleChanged(self.role, role));
            self.role = role;
        }
        if role == Role::Leader {
            self.leader.1 = now;
        }
        if leader.is_some() {
            self.alone_since = now;
        }
        if leader != self.leader.0 {
            self.tell(Event::LeaderChanged(leader.clone()));
            self.leader.0 = leader;
        }
    }

    /// This server ends: if it leads, another is to take over at once.
    pub fn leave(&mut self, now: Micros) {
        if self.role != Role::Leader {
            return;
        }
        let best =
            self.candidates(now).into_iter().filter(|c| c.votes && c.copy != self.copy.id && c.caught_up);
        if let Some(next) = best.min_by_key(|c| (c.silent, c.burden)) {
            self.with(|node| node.transfer_leader(next.copy));
            self.settle(now);
        }
    }

    /// Others belong to the fleet from now on.
    pub fn set_peers(&mut self, others: Vec<MemberName>) {
        self.others.retain(|name, _| others.contains(name));
        self.config.others = others;
    }

    /// What is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    /// What is to be logged.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.told.drain(..).collect()
    }
}

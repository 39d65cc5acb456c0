//! One server's part in the record.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, EntryType, Message, MessageType};
use raft::{RawNode, SnapshotStatus, StateRole};
use rand::rngs::ChaCha8Rng;
use rand::{Rng, RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use umberloom_membership::Name;
use umberloom_store::{guarded, Batch};

use crate::compare;
use crate::entry::{Digest, Entry, EntryId};
use crate::export::Export;
use crate::log::{coming_batch, copy_batch, Copy, Image, Log, Manifest};
use crate::rule::{self, Candidate, Change};
use crate::state::{Member, Outcome, State};
use crate::transfer::{piece, Transfer};
use crate::witness::{Memory, Returning, Seen, Verdict};
use crate::words::{self, Status, Word};
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
    pub me: Name,
    /// See `me`.
    pub zone: Name,
    /// Everyone else who belongs to the fleet.
    pub others: Vec<Name>,
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
            others: others.iter().map(|other| Name::from(*other)).collect(),
            voters: 3,
            election: 1_000_000,
            replace_after: 30_000_000,
            catch_up: 8 << 20,
        }
    }

    /// All that is wrong with it.
    pub fn mistakes(&self) -> Vec<String> {
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
pub enum Class {
    /// Signs of life.
    Beat,
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
    Send(Name, Vec<u8>, Class),
    /// Make this durable, in the order of the numbers, and say [`Record::persisted`].
    Persist(u64, Batch),
    /// This copy is not to be used any more, for this reason: set the store aside and begin anew without it.
    SetAside(String),
}

/// What a server is to the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It has no copy, and there is none to join, or none has taken it in yet.
    Outside,
    /// It has a copy that was on its disk, and asks others what they remember of it.
    Returning,
    /// It learns.
    Learner,
    /// It votes.
    Voter,
    /// It votes, and leads.
    Leader,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Role::Outside => "outside",
            Role::Returning => "returning",
            Role::Learner => "learner",
            Role::Voter => "voter",
            Role::Leader => "leader",
        })
    }
}

/// A change that an operator should be able to read of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// A new record has begun, by its number: whatever an earlier one held is not in it.
    Founded(u64),
    /// This server is something else to the record.
    Role(Role, Role),
    /// Who leads now, by its own word or others'.
    Leader(Option<String>),
    /// A member is taken in, promoted, replaced or demoted.
    Change(String),
    /// Others remember this copy further than it is.
    SetBack(Seen),
    /// This copy is not the same as those of a majority.
    WeDiffer(Vec<u64>),
    /// These copies are not the same as ours and a majority's.
    TheyDiffer(Vec<u64>),
    /// Copies differ and nobody can tell which is right: nothing more is written.
    Frozen,
    /// This copy is of another record than the one that is led now.
    Foreign(u64, u64),
    /// The library could not go on with this copy.
    Broken(String),
    /// A snapshot has come: its index, bytes, and how long that took.
    CaughtUp(u64, u64, Micros),
}

/// Why something can't be written or read now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    /// This server has no part in the record (yet).
    Outside,
    /// Nobody leads, as far as it knows.
    NoLeader,
    /// Copies differ: an operator has to decide.
    Frozen,
    /// Too much waits already.
    Busy,
    /// It took too long; a write may still be applied.
    TimedOut,
    /// No rule allows it: why.
    Rule(String),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::Outside => f.write_str("this server has no part in the record"),
            Refused::NoLeader => f.write_str("nobody leads the record, as far as this server knows"),
            Refused::Frozen => {
                f.write_str("copies of the record differ, nothing is written until an operator decides")
            }
            Refused::Busy => f.write_str("too much waits already"),
            Refused::TimedOut => f.write_str("it took too long; a write may still be applied"),
            Refused::Rule(why) => f.write_str(why),
        }
    }
}

/// What became of a read of the latest state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Everything that was done before the read was asked for is in the state now.
    Ready,
    /// No majority has said so in time.
    Refused(Refused),
}

/// How this server's part stands, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The record's number; 0 is none.
    pub record: u64,
    /// This copy's number.
    pub copy: u64,
    /// What this server is to it.
    pub role: Role,
    /// The term.
    pub term: u64,
    /// Who leads, as it knows.
    pub leader: Option<String>,
    /// The last entry applied here, the last one known to be agreed on, and the last in the log.
    pub applied: u64,
    /// See `applied`.
    pub commit: u64,
    /// See `applied`.
    pub last: u64,
    /// How long ago a leader was heard, in milliseconds; by that the age of a local read is known.
    pub leader_heard_ms: Option<u64>,
    /// Digest after the last applied entry.
    pub chain: Digest,
    /// All copies that belong to it.
    pub copies: Vec<CopyView>,
    /// Pieces of a snapshot that are there, of how many.
    pub catching_up: Option<(u32, u32)>,
    /// Entries kept for a newer program.
    pub unknown: u64,
    /// Nothing is written: copies differ.
    pub frozen: bool,
}

/// One copy, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyView {
    /// Its number.
    pub copy: u64,
    /// Its server, and the zone of that.
    pub name: String,
    /// See `name`.
    pub zone: String,
    /// Whether it votes.
    pub votes: bool,
    /// What it last said that it had applied, and how long ago that was, in milliseconds.
    pub applied: Option<u64>,
    /// See `applied`.
    pub heard_ms: Option<u64>,
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

/// A read that waits.
struct Waiting {
    since: Micros,
    asked: Micros,
    tries: u32,
    index: Option<u64>,
}

/// One server's part in the record.
pub struct Record {
    config: Config,
    random: ChaCha8Rng,
    copy: Copy,
    node: Option<RawNode<Log>>,
    state: State,
    returning: Option<Returning>,
    memory: Memory,
    others: BTreeMap<Name, Other>,
    reached: BTreeSet<Name>,
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
    finished: Vec<(u64, Read)>,
    next_read: u64,
    /// Drawn by this process, for the names of its questions.
    nonce: u64,
    compared: BTreeMap<u64, bool>,
    differing: Vec<u64>,
    frozen: bool,
    role: Role,
    leader: (Option<String>, Micros),
    leads_since: Micros,
    alone_since: Micros,
    tick_at: Micros,
    status_at: Micros,
    timeout: usize,
    ended: bool,
    outcomes: VecDeque<(EntryId, Outcome)>,
    actions: VecDeque<Action>,
    told: VecDeque<Told>,
}

impl fmt::Debug for Record {
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

impl Record {
    /// A server that starts now, with what its store holds.
    pub fn new(now: Micros, config: Config, image: Option<Image>, seed: u64) -> Result<Record, String> {
        let mistakes = config.mistakes();
        if !mistakes.is_empty() {
            return Err(mistakes.join("; "));
        }
        let mut record = Record {
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
            frozen: false,
            role: Role::Outside,
            leader: (None, now),
            leads_since: now,
            alone_since: now,
            tick_at: now,
            status_at: now,
            timeout: 0,
            ended: false,
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
        if !image.state.is_empty() {
            match State::read(&image.state) {
                Some(state) => record.state = state,
                None => {
                    record.set_aside("the state can't be read".to_owned());
                    return Ok(record);
                }
            }
        }
        record.persist(copy_batch(&image.copy));
        record.returning = Some(Returning::new(Seen { starts: image.copy.starts, term, last }));
        record.begin(Log::load(image));
        record.settle(now);
        Ok(record)
    }

    /// Gives the log to the library.
    fn begin(&mut self, log: Log) {
        let config = raft::Config {
            id: self.copy.id,
            election_tick: TICKS,
            heartbeat_tick: BEAT_TICKS,
            applied: self.state.index,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 16 << 20,
            max_committed_size_per_ready: 4 << 20,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        match guarded(|| RawNode::new(&config, log, &logger)) {
            Ok(Ok(node)) => self.node = Some(node),
            Ok(Err(e)) => self.set_aside(format!("the log makes no sense: {e}")),
            Err(why) => self.set_aside(format!("the log makes no sense: {why}")),
        }
    }

    /// This copy ends here; the host begins anew without it.
    fn set_aside(&mut self, why: String) {
        (self.node, self.ended) = (None, true);
        self.steps.clear();
        bounded(&mut self.actions, Action::SetAside(why));
    }

    fn tell(&mut self, line: Told) {
        bounded(&mut self.told, line);
    }

    fn persist(&mut self, batch: Batch) {
        self.given += 1;
        bounded(&mut self.actions, Action::Persist(self.given, batch));
    }

    /// Calls the library. What it can't go on with is this copy's end, not the server's.
    fn with<T>(&mut self, act: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        let node = self.node.as_mut()?;
        match guarded(|| act(node)) {
            Ok(found) => {
                // The library draws its election times from the machine; drawn here, a run can be played again.
                if node.raft.randomized_election_timeout() != self.timeout {
                    self.timeout = self.random.random_range(TICKS..2 * TICKS);
                    node.raft.set_randomized_election_timeout(self.timeout);
                }
                Some(found)
            }
            Err(why) => {
                self.tell(Told::Broken(why.clone()));
                self.set_aside(format!("the log and what others say of it do not fit: {why}"));
                None
            }
        }
    }

    /// Members that this server reaches now, and how loaded it is.
    pub fn reach(&mut self, now: Micros, reached: impl IntoIterator<Item = Name>, load: u8) {
        self.reached = reached.into_iter().collect();
        self.load = load;
        if !self.reached.is_empty() {
            self.alone_since = now;
        }
    }

    /// A member says something.
    pub fn hear(&mut self, now: Micros, from: &Name, boot: u64, bytes: &[u8]) {
        if self.ended {
            return;
        }
        match words::read(bytes) {
            Some(Word::Hop(to, inner)) if self.reached.contains(&to) => {
                let passed = words::write(&Word::Passed(from.clone(), boot, inner));
                bounded(&mut self.actions, Action::Send(to, passed, Class::Entry));
            }
            // Nor does this server reach it: lost, as on a network.
            Some(Word::Hop(..)) => {}
            Some(Word::Passed(origin, boot, inner)) => {
                // One hop and no more.
                match words::read(&inner) {
                    Some(Word::Hop(..) | Word::Passed(..)) | None => {}
                    Some(word) => self.take(now, &origin, boot, word),
                }
            }
            Some(word) => self.take(now, from, boot, word),
            None => {}
        }
        self.settle(now);
    }

    fn take(&mut self, now: Micros, from: &Name, boot: u64, word: Word) {
        if *from == self.config.me || !self.config.others.contains(from) {
            return;
        }
        match word {
            Word::Status(status) => self.status(now, from, boot, *status),
            Word::Raft(to, bytes) => {
                let message = Message::parse_from_bytes(&bytes).ok();
                if let Some(message) = message.filter(|_| to == self.copy.id) {
                    self.step(now, message);
                }
            }
            Word::Join(copy, zone) => {
                self.asks.insert(from.to_string(), (copy, zone.to_string(), now));
            }
            Word::Hand(name, votes) => drop(self.by_hand(now, &name, votes)),
            Word::Ask(of, number) => {
                let found = self.node.as_ref().and_then(|node| node.store().snapshot_by(&of));
                if let Some(bytes) = found.and_then(|all| piece(&all, number).map(<[u8]>::to_vec)) {
                    self.send(from, Word::Piece(of, number, bytes), Class::Snapshot);
                }
            }
            Word::Piece(of, number, bytes) => {
                let Some((transfer, _)) = &mut self.transfer else { return };
                if transfer.take(&of, number, bytes.clone()) {
                    // Durable, so that a process that ends in the middle does not begin from nothing.
                    self.persist(coming_batch(&of, number, &bytes));
                    self.fetch(now);
                }
            }
            Word::Hop(..) | Word::Passed(..) => {}
        }
    }

    fn status(&mut self, now: Micros, from: &Name, boot: u64, status: Status) {
        if self.others.get(from).is_some_and(|other| other.boot > boot) {
            return;
        }
        self.memory.note(status.copy, status.seen);
        if let Some(returning) = &mut self.returning {
            returning.hear(from, status.of_you);
        }
        let ours = status.record == self.copy.record && self.copy.record != 0;
        if ours && status.copy != 0 {
            if let Some(chain) = self.state.digest_at(status.applied).filter(|_| status.applied > 0) {
                self.compared.insert(status.copy, chain == status.chain);
            }
        }
        // A copy that waits for a snapshot that it is not getting: the leader sends anew.
        let waits = self.node.as_ref().and_then(|node| node.raft.prs().get(status.copy));
        let stuck = waits.is_some_and(|progress| progress.state == raft::ProgressState::Snapshot);
        if ours && stuck && !status.fetches && self.role == Role::Leader {
            let copy = status.copy;
            self.with(|node| node.report_snapshot(copy, SnapshotStatus::Failure));
        }
        self.others.insert(from.clone(), Other { boot, heard: now, status });
    }

    /// A message of the library.
    fn step(&mut self, now: Micros, message: Message) {
        if self.returning.is_some() || self.node.is_none() {
            return;
        }
        // A leader never says this to a copy that has not told it to have so much: one that has, and has not any more,
        // was set back. The library would end the process over it.
        let last = self.node.as_ref().map_or(0, |node| node.store().last());
        let beat = message.get_msg_type() == MessageType::MsgHeartbeat;
        if beat && message.commit > last {
            let seen = Seen { starts: self.copy.starts, term: message.term, last: message.commit };
            self.tell(Told::SetBack(seen));
            return self
                .set_aside(format!("a leader counts on entry {}, the last here is {last}", message.commit));
        }
        if matches!(
            message.get_msg_type(),
            MessageType::MsgHeartbeat | MessageType::MsgAppend | MessageType::MsgSnapshot
        ) {
            self.leader.1 = now;
        }
        if message.get_msg_type() == MessageType::MsgSnapshot {
            return self.snapshot(now, message);
        }
        self.with(|node| drop(node.step(message)));
    }

    /// A leader wants us to take a snapshot: its pieces are fetched first.
    fn snapshot(&mut self, now: Micros, message: Message) {
        let Ok(manifest) = postcard::from_bytes::<Manifest>(&message.get_snapshot().data) else { return };
        let (index, held) = match &self.node {
            Some(node) => (message.get_snapshot().get_metadata().index, node.raft.raft_log.committed),
            None => return,
        };
        if index <= held {
            self.with(|node| drop(node.step(message)));
            return;
        }
        match &mut self.transfer {
            Some((transfer, waiting)) if transfer.manifest() == manifest => *waiting = message,
            _ => {
                let had = std::mem::take(&mut self.had);
                self.transfer = Transfer::new(now, manifest, self.config.catch_up, had).map(|t| (t, message));
            }
        }
        self.fetch(now);
    }

    fn fetch(&mut self, now: Micros) {
        let Some((transfer, message)) = &mut self.transfer else { return };
        if let Some(whole) = transfer.finish() {
            let (manifest, took, message) = (transfer.manifest(), now - transfer.began(), message.clone());
            self.transfer = None;
            let index = message.get_snapshot().get_metadata().index;
            self.tell(Told::CaughtUp(index, whole.len() as u64, took));
            self.fetched = Some((manifest, Rc::new(whole)));
            self.with(|node| drop(node.step(message)));
            return;
        }
        if transfer.is_stuck(now) {
            // Nobody has this one any more: without it the leader sees that we wait for nothing, and offers another.
            self.transfer = None;
            return;
        }
        // Whoever has it; the least loaded first, and the leader that offers it after those.
        let wanted = transfer.manifest();
        let has = |other: &&(&Name, &Other)| other.1.status.snapshot.1 == wanted;
        let mut sources: Vec<(&Name, &Other)> =
            self.others.iter().collect::<Vec<_>>().iter().filter(has).copied().collect();
        sources.sort_by_key(|(_, other)| (Some(other.status.copy) == Some(message.from), other.status.load));
        let sources: Vec<Name> = sources.into_iter().map(|(name, _)| name.clone()).collect();
        for (from, number) in transfer.ask(now, &sources) {
            self.send(&from, Word::Ask(wanted.digest, number), Class::Entry);
        }
    }

    /// What is due by now.
    pub fn pass(&mut self, now: Micros) {
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

    fn status_every(&self) -> Micros {
        // As beats of the membership: with many members each says it more seldom.
        (self.config.election / 4).max(10_000 * self.config.others.len() as Micros)
    }

    /// When something is due next.
    pub fn next_at(&self) -> Micros {
        if self.ended {
            return Micros::MAX;
        }
        self.tick_at.min(self.status_at)
    }

    /// Whether a returning copy may take part.
    fn returned(&mut self, now: Micros) {
        let Some(returning) = &self.returning else { return };
        let Some(node) = &self.node else { return };
        let conf = node.store().conf();
        let name = |id: &u64| self.state.members.get(id).map(|member| Name::from(member.name.as_str()));
        let others: Vec<Name> =
            conf.voters.iter().filter(|id| **id != self.copy.id).filter_map(name).collect();
        match returning.verdict(&others) {
            Verdict::Wait => {}
            Verdict::Sound => {
                self.returning = None;
                self.tick_at = now;
            }
            Verdict::SetBack(seen) => {
                self.tell(Told::SetBack(seen));
                self.set_aside(format!("others remember term {} and entry {} of it", seen.term, seen.last));
            }
        }
    }

    /// Now and then: what we are is said, and what is due is done.
    fn look(&mut self, now: Micros) {
        let fresh = 4 * self.status_every();
        self.asks.retain(|_, (.., at)| now < *at + fresh);
        if self.copy.id == 0 || self.copy.record == 0 {
            self.join_or_found(now, fresh);
        } else {
            self.stay(now, fresh);
        }
        self.compare(now, fresh);
        if self.role == Role::Leader {
            self.lead(now, fresh);
        }
        let names: Vec<Name> = self.config.others.clone();
        for name in names {
            let status = self.say(&name);
            self.send(&name, Word::Status(Box::new(status)), Class::Beat);
        }
    }

    fn say(&self, to: &Name) -> Status {
        let node = self.node.as_ref();
        let copy = self.others.get(to).map_or(0, |other| other.status.copy);
        Status {
            record: self.copy.record,
            copy: self.copy.id,
            seen: Seen { starts: self.copy.starts, term: self.durable.0, last: self.durable.1 },
            votes: matches!(self.role, Role::Voter | Role::Leader),
            applied: self.state.index,
            chain: self.state.chain,
            leader: self.leader.0.as_deref().map(Name::from),
            reaches: self.reached.iter().take(64).cloned().collect(),
            of_you: self.memory.of(copy),
            same: self.compared.iter().filter(|(_, same)| **same).map(|(copy, _)| *copy).take(16).collect(),
            fetches: self.transfer.is_some(),
            snapshot: node.map_or_else(Default::default, |node| {
                let (index, manifest, _) = node.store().snapshot_bytes();
                (index, manifest)
            }),
            load: self.load,
        }
    }

    /// Without a copy: one of a record that others have; or, if nobody of the whole roster has one, a new record.
    fn join_or_found(&mut self, now: Micros, fresh: Micros) {
        let live = |other: &&Other| now < other.heard + fresh;
        let known = self.others.values().filter(live).find(|o| o.status.record != 0);
        if let Some(record) = known.map(|other| other.status.record) {
            let id = self.random.next_u64().max(1);
            self.copy = Copy { record, id, name: self.config.me.to_string(), starts: 1 };
            let batch = copy_batch(&self.copy);
            self.persist(batch);
            return self.begin(Log::default());
        }
        let all = self
            .config
            .others
            .iter()
            .all(|name| self.others.get(name).is_some_and(|o| now < o.heard + fresh));
        // All are there and none has a record: the first by name begins one, so that no two do.
        let first = self.config.others.iter().all(|name| self.config.me < *name);
        if !all || !first {
            return;
        }
        let (record, id) = (self.random.next_u64().max(1), self.random.next_u64().max(1));
        self.copy = Copy { record, id, name: self.config.me.to_string(), starts: 1 };
        let member = Member { name: self.config.me.to_string(), zone: self.config.zone.to_string() };
        self.state = State::found(record, id, member);
        let (log, batch) = Log::found(id, self.state.bytes());
        let batch = copy_batch(&self.copy).then(batch);
        self.persist(batch);
        self.begin(log);
        self.tell(Told::Founded(record));
    }

    /// With a copy: asks to be taken in where it is not yet, and sees when its record is another than the one that lives.
    fn stay(&mut self, now: Micros, fresh: Micros) {
        let inside = self.state.members.contains_key(&self.copy.id);
        let live = |other: &&Other| now < other.heard + fresh;
        if !inside {
            let leader = self.others.values().filter(live).find_map(|o| {
                (o.status.record == self.copy.record).then(|| o.status.leader.clone()).flatten()
            });
            if let Some(leader) = leader {
                let word = Word::Join(self.copy.id, self.config.zone.clone());
                self.send(&leader, word, Class::Entry);
            }
        }
        // Another record is led, and ours has no leader for long: ours is the old one.
        let led = self.others.values().filter(live).find(|o| {
            o.status.record != 0 && o.status.record != self.copy.record && o.status.leader.is_some()
        });
        let led = led.map(|other| other.status.record);
        let lone = self.leader.0.is_none() && now >= self.leader.1 + 5 * self.config.election;
        if let Some(record) = led.filter(|_| lone) {
            self.tell(Told::Foreign(self.copy.record, record));
            self.set_aside(format!("another record ({record:016x}) is led, this one is not"));
        }
    }

    fn compare(&mut self, now: Micros, fresh: Micros) {
        let Some(node) = &self.node else { return };
        let voters = &node.store().conf().voters;
        let status = |id: &u64| self.others.values().find(|o| o.status.copy == *id && now < o.heard + fresh);
        let others: Vec<compare::Other> = voters
            .iter()
            .filter(|id| **id != self.copy.id)
            .map(|id| compare::Other {
                copy: *id,
                same: self.compared.get(id).copied(),
                agrees: status(id).map(|o| o.status.same.clone()).unwrap_or_default(),
            })
            .collect();
        let verdict = compare::verdict(voters.contains(&self.copy.id), &others);
        let frozen = verdict == compare::Verdict::NobodyKnows;
        if frozen && !self.frozen {
            self.tell(Told::Frozen);
        }
        self.frozen = frozen;
        match verdict {
            compare::Verdict::WeDiffer(group) => {
                self.tell(Told::WeDiffer(group));
                self.set_aside("it differs from the copies of a majority".to_owned());
            }
            compare::Verdict::TheyDiffer(copies) if copies != self.differing => {
                self.differing.clone_from(&copies);
                self.tell(Told::TheyDiffer(copies));
            }
            compare::Verdict::Fine => self.differing.clear(),
            _ => {}
        }
    }

    fn settings(&self) -> rule::Settings {
        let there = (2 * self.config.election).max(4 * self.status_every());
        rule::Settings { voters: self.config.voters, replace_after: self.config.replace_after, there }
    }

    fn candidates(&self, now: Micros) -> Vec<Candidate> {
        let Some(node) = &self.node else { return Vec::new() };
        let commit = node.raft.raft_log.committed;
        let one = |(copy, member): (&u64, &Member)| {
            let other = self.others.get(member.name.as_str()).filter(|o| o.status.copy == *copy);
            let heard = other.map_or(0, |o| o.heard).max(self.leads_since);
            let me = *copy == self.copy.id;
            Candidate {
                copy: *copy,
                name: member.name.clone(),
                zone: member.zone.clone(),
                votes: node.store().conf().voters.contains(copy),
                silent: if me { 0 } else { now.saturating_sub(heard) },
                caught_up: me || {
                    let progress = node.raft.prs().get(*copy);
                    let goes =
                        |p: &&raft::Progress| p.state != raft::ProgressState::Snapshot && p.matched > 0;
                    progress.filter(goes).is_some_and(|p| p.matched + CAUGHT_UP >= commit)
                },
                burden: other.map_or(0, |o| u32::from(o.status.load)),
            }
        };
        self.state.members.iter().map(one).collect()
    }

    /// A leader sees to who is in the record.
    fn lead(&mut self, now: Micros, _fresh: Micros) {
        let Some(node) = &self.node else { return };
        if node.raft.has_pending_conf() || !node.store().conf().voters_outgoing.is_empty() {
            return;
        }
        let asks = self.asks.iter().map(|(name, (copy, ..))| (name.clone(), *copy)).collect();
        if let Some(change) = rule::due(&self.settings(), &self.candidates(now), &asks) {
            self.change(&change);
        }
    }

    fn change(&mut self, change: &Change) {
        use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};
        let (steps, member): (Vec<_>, Option<Member>) = match change {
            Change::Admit(copy, old) => {
                let gone = old.iter().map(|old| (RemoveNode, *old));
                let asked = self.asks.iter().find(|(_, (asks, ..))| asks == copy);
                let member =
                    asked.map(|(name, (_, zone, _))| Member { name: name.clone(), zone: zone.clone() });
                (gone.chain([(AddLearnerNode, *copy)]).collect(), member)
            }
            Change::Promote(copy) => (vec![(AddNode, *copy)], None),
            Change::Demote(copy) => (vec![(AddLearnerNode, *copy)], None),
            Change::Replace(new, old) => (vec![(AddNode, *new), (AddLearnerNode, *old)], None),
        };
        let mut all = ConfChangeV2::default();
        for (kind, id) in steps {
            let mut one = ConfChangeSingle::default();
            one.set_change_type(kind);
            one.node_id = id;
            all.changes.push(one);
        }
        all.context = postcard::to_allocvec(&member).unwrap_or_default().into();
        let proposed = self.with(|node| node.propose_conf_change(vec![], all).is_ok());
        if proposed == Some(true) {
            self.tell(Told::Change(format!("{change:?}")));
        }
    }

    /// An operator wants a member to vote, or not to. Only a leader can do that; others pass it on.
    pub fn by_hand(&mut self, now: Micros, name: &str, votes: bool) -> Result<(), Refused> {
        if self.role != Role::Leader {
            let leader = self.leader.0.clone().ok_or(Refused::NoLeader)?;
            self.send(&Name::from(leader.as_str()), Word::Hand(name.into(), votes), Class::Entry);
            return Ok(());
        }
        let (settings, all) = (self.settings(), self.candidates(now));
        let change = rule::by_hand(&settings, &all, self.copy.id, name, votes).map_err(Refused::Rule)?;
        self.change(&change);
        self.settle(now);
        Ok(())
    }

    /// Sends directly, or by one other member where that way is closed.
    fn send(&mut self, to: &Name, word: Word, class: Class) {
        let bytes = words::write(&word);
        if self.reached.contains(to) {
            return bounded(&mut self.actions, Action::Send(to.clone(), bytes, class));
        }
        let way = |name: &&Name| self.others.get(*name).is_some_and(|o| o.status.reaches.contains(to));
        let by = self.reached.iter().find(way).cloned();
        match by {
            Some(by) => {
                let hop = words::write(&Word::Hop(to.clone(), bytes));
                bounded(&mut self.actions, Action::Send(by, hop, class));
            }
            None => bounded(&mut self.actions, Action::Send(to.clone(), bytes, class)),
        }
    }

    fn send_raft(&mut self, messages: Vec<Message>) {
        for message in messages {
            let known = self.state.members.get(&message.to).map(|member| Name::from(member.name.as_str()));
            let said =
                || self.others.iter().find(|(_, o)| o.status.copy == message.to).map(|(n, _)| n.clone());
            let Some(to) = known.or_else(said) else { continue };
            let class = match message.get_msg_type() {
                MessageType::MsgHeartbeat | MessageType::MsgHeartbeatResponse => Class::Beat,
                MessageType::MsgRequestVote
                | MessageType::MsgRequestVoteResponse
                | MessageType::MsgRequestPreVote
                | MessageType::MsgRequestPreVoteResponse
                | MessageType::MsgTimeoutNow => Class::Vote,
                _ => Class::Entry,
            };
            let bytes = message.write_to_bytes().unwrap_or_default();
            self.send(&to, Word::Raft(message.to, bytes), class);
        }
    }

    /// All batches up to this number are durable.
    pub fn persisted(&mut self, now: Micros, number: u64) {
        self.done = self.done.max(number);
        self.release();
        self.settle(now);
    }

    fn release(&mut self) {
        while self.steps.front().is_some_and(|step| step.needs <= self.done) {
            let Some(step) = self.steps.pop_front() else { return };
            self.durable = step.seen;
            self.with(|node| node.on_persist_ready(step.ready));
            self.send_raft(step.messages);
        }
    }

    /// Takes out of the library all that it has ready.
    fn settle(&mut self, now: Micros) {
        for _ in 0..1_000 {
            if self.ended || self.returning.is_some() {
                break;
            }
            let Some(mut ready) = self.with(|node| node.has_ready().then(|| node.ready())).flatten() else {
                break;
            };
            let messages = ready.take_messages();
            let mut batch = Batch::new();
            if !ready.snapshot().is_empty() {
                let meta = ready.snapshot().get_metadata().clone();
                let fetched = self.fetched.take().map(|(_, bytes)| bytes);
                let state = fetched.as_ref().and_then(|bytes| State::read(bytes));
                let (Some(bytes), Some(state)) = (fetched, state) else {
                    return self.set_aside("a snapshot can't be read".to_owned());
                };
                self.state = state;
                self.compared.clear();
                batch =
                    batch.then(self.with(|node| node.mut_store().install(meta, bytes)).unwrap_or_default());
            }
            let (entries, hard) = (ready.take_entries(), ready.hs().cloned());
            let must = ready.must_sync() || !entries.is_empty();
            let wrote = self.with(|node| node.mut_store().append(entries, hard.as_ref())).unwrap_or_default();
            if must {
                // A commit index alone is learned again from the others.
                batch = batch.then(wrote);
            }
            let committed = ready.take_committed_entries();
            let kept = ready.take_persisted_messages();
            for read in ready.take_read_states() {
                let told = postcard::from_bytes::<(u64, u64, u32)>(&read.request_ctx);
                let Ok((nonce, ticket, _)) = told else { continue };
                if let Some(waiting) = self.reads.get_mut(&ticket).filter(|_| nonce == self.nonce) {
                    waiting.index = Some(read.index);
                }
            }
            let number = ready.number();
            self.with(|node| node.advance_append_async(ready));
            self.send_raft(messages);
            if !batch.is_empty() {
                self.persist(batch);
            }
            let seen = self.node.as_ref().map_or((0, 0), |n| (n.store().hard().term, n.store().last()));
            self.steps.push_back(Step { ready: number, needs: self.given, messages: kept, seen });
            self.apply(committed);
            self.release();
        }
        self.compact();
        self.answer(now);
        self.note_role(now);
    }

    fn apply(&mut self, committed: Vec<raft::eraftpb::Entry>) {
        let Some(last) = committed.last().map(|entry| entry.index) else { return };
        let mut changed = false;
        for entry in committed {
            match entry.get_entry_type() {
                EntryType::EntryNormal => {
                    if let Some(done) = self.state.apply(entry.index, &entry.data) {
                        bounded(&mut self.outcomes, done);
                    }
                }
                EntryType::EntryConfChange => self.state.apply_members(entry.index, &entry.data, |_| {}),
                EntryType::EntryConfChangeV2 => {
                    let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
                    let member: Option<Member> = postcard::from_bytes(&change.context).ok().flatten();
                    let conf = self.with(|node| {
                        let conf = node.apply_conf_change(&change);
                        if let Ok(conf) = &conf {
                            node.mut_store().set_conf(conf.clone());
                        }
                        conf.ok()
                    });
                    let Some(Some(conf)) = conf else { continue };
                    let ids: BTreeSet<u64> =
                        [&conf.voters, &conf.learners, &conf.learners_next, &conf.voters_outgoing]
                            .into_iter()
                            .flatten()
                            .copied()
                            .collect();
                    self.state.apply_members(entry.index, &entry.data, |members| {
                        members.retain(|id, _| ids.contains(id));
                        let added =
                            change.changes.iter().map(|one| one.node_id).filter(|id| ids.contains(id));
                        for id in added {
                            if let Some(member) = &member {
                                members.entry(id).or_insert_with(|| member.clone());
                            }
                        }
                    });
                    changed = true;
                }
            }
        }
        self.with(|node| node.advance_apply_to(last));
        if changed {
            // Who votes must be known before the next election even if nobody says it: a snapshot has it, and one from
            // before a member came means nothing to that member.
            self.make_snapshot();
        }
    }

    fn make_snapshot(&mut self) {
        let (index, state) = (self.state.index, self.state.bytes());
        if let Some(batch) = self.with(|node| node.mut_store().compact(index, state)) {
            if !batch.is_empty() {
                self.persist(batch);
            }
        }
    }

    fn compact(&mut self) {
        let Some(node) = &self.node else { return };
        let (index, ..) = node.store().snapshot_bytes();
        let since = self.state.index.saturating_sub(index);
        let (_, bytes) = node.store().size();
        let large = since >= COMPACT_AFTER.0 || bytes >= COMPACT_AFTER.1;
        if since > 0 && (large || node.store().is_wanted()) {
            self.make_snapshot();
        }
    }

    /// Writes an entry: it is on its way, and [`Record::outcome`] tells what becomes of it.
    pub fn propose(&mut self, now: Micros, id: EntryId, at_ms: u64, entry: &Entry) -> Result<(), Refused> {
        if self.node.is_none() || self.returning.is_some() {
            return Err(Refused::Outside);
        }
        if self.frozen {
            return Err(Refused::Frozen);
        }
        let bytes = entry.seal(id, &self.config.me, at_ms).bytes();
        let given = self.with(|node| node.propose(vec![], bytes));
        let result = match given {
            Some(Ok(())) => Ok(()),
            Some(Err(raft::Error::ProposalDropped)) if self.leader.0.is_some() => Err(Refused::Busy),
            Some(Err(_)) => Err(Refused::NoLeader),
            None => Err(Refused::Outside),
        };
        self.settle(now);
        result
    }

    /// What became of an entry, if it has been applied here.
    pub fn outcome(&self, id: EntryId) -> Option<Outcome> {
        let late = self.outcomes.iter().rev().find(|(done, _)| *done == id).map(|(_, outcome)| outcome);
        late.or_else(|| self.state.outcome(id)).cloned()
    }

    /// Asks for the latest state: once [`Record::take_reads`] says that the read of this number is ready, the state holds
    /// all that was done before now.
    pub fn read(&mut self, now: Micros) -> Result<u64, Refused> {
        if self.node.is_none() || self.returning.is_some() {
            return Err(Refused::Outside);
        }
        if self.reads.len() >= READS {
            return Err(Refused::Busy);
        }
        self.next_read += 1;
        let ticket = self.next_read;
        self.reads.insert(ticket, Waiting { since: now, asked: now, tries: 0, index: None });
        self.ask_index(ticket, 0);
        self.settle(now);
        Ok(ticket)
    }

    /// Asks the leader for its index. The name of the question is this process's, this read's and this try's alone: the
    /// library keeps questions by name, and the answer to one of an earlier process is an old index.
    fn ask_index(&mut self, ticket: u64, tries: u32) {
        let name = postcard::to_allocvec(&(self.nonce, ticket, tries)).unwrap_or_default();
        self.with(|node| node.read_index(name));
    }

    /// Reads that are ready or over.
    pub fn take_reads(&mut self) -> Vec<(u64, Read)> {
        std::mem::take(&mut self.finished)
    }

    fn answer(&mut self, now: Micros) {
        let (again, most) = (self.config.election / 2, 4 * self.config.election);
        let mut ask = Vec::new();
        let (index, finished) = (self.state.index, &mut self.finished);
        self.reads.retain(|ticket, waiting| {
            if waiting.index.is_some_and(|wanted| wanted <= index) {
                finished.push((*ticket, Read::Ready));
                return false;
            }
            if now >= waiting.since + most {
                finished.push((*ticket, Read::Refused(Refused::TimedOut)));
                return false;
            }
            if waiting.index.is_none() && now >= waiting.asked + again {
                (waiting.asked, waiting.tries) = (now, waiting.tries + 1);
                ask.push((*ticket, waiting.tries));
            }
            true
        });
        for (ticket, tries) in ask {
            self.ask_index(ticket, tries);
        }
    }

    fn note_role(&mut self, now: Micros) {
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
                let leader = node.raft.leader_id;
                (role, self.state.members.get(&leader).map(|member| member.name.clone()))
            }
        };
        if role != self.role {
            if role == Role::Leader {
                self.leads_since = now;
            }
            self.tell(Told::Role(self.role, role));
            self.role = role;
        }
        if role == Role::Leader {
            self.leader.1 = now;
        }
        if leader != self.leader.0 {
            self.tell(Told::Leader(leader.clone()));
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

    /// The state, as it is here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// What this server is to the record.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The number of its copy, and of its record.
    pub fn numbers(&self) -> (u64, u64) {
        (self.copy.id, self.copy.record)
    }

    /// How its part stands.
    pub fn standing(&self, now: Micros) -> Standing {
        let node = self.node.as_ref();
        let heard = |copy: &u64, name: &str| {
            let other = self.others.get(name).filter(|o| o.status.copy == *copy);
            other.map(|o| (o.status.applied, now.saturating_sub(o.heard) / 1_000))
        };
        let copies = self.state.members.iter().map(|(copy, member)| {
            let votes = node.is_some_and(|n| n.store().conf().voters.contains(copy));
            let said = heard(copy, &member.name);
            CopyView {
                copy: *copy,
                name: member.name.clone(),
                zone: member.zone.clone(),
                votes,
                applied: said.map(|(applied, _)| applied),
                heard_ms: said.map(|(_, ms)| ms),
            }
        });
        Standing {
            record: self.copy.record,
            copy: self.copy.id,
            role: self.role,
            term: node.map_or(0, |n| n.raft.term),
            leader: self.leader.0.clone(),
            applied: self.state.index,
            commit: node.map_or(0, |n| n.raft.raft_log.committed),
            last: node.map_or(0, |n| n.store().last()),
            leader_heard_ms: self.leader.0.as_ref().map(|_| now.saturating_sub(self.leader.1) / 1_000),
            chain: self.state.chain,
            copies: copies.collect(),
            catching_up: self.transfer.as_ref().map(|(transfer, _)| transfer.progress()),
            unknown: self.state.unknown,
            frozen: self.frozen,
        }
    }

    /// A copy for an operator who wants to keep or check it; `None` without one.
    pub fn export(&self) -> Option<Export> {
        let log = self.node.as_ref()?.store();
        let (_, _, state) = log.snapshot_bytes();
        Some(Export {
            from: self.config.me.to_string(),
            applied: self.state.index,
            chain: self.state.chain,
            state: state.to_vec(),
            entries: log.entries_to(self.state.index),
        })
    }

    /// Others belong to the fleet from now on.
    pub fn set_others(&mut self, others: Vec<Name>) {
        self.others.retain(|name, _| others.contains(name));
        self.config.others = others;
    }

    /// What is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    /// What is to be logged.
    pub fn take_told(&mut self) -> Vec<Told> {
        self.told.drain(..).collect()
    }

    /// What must hold between any two calls; tests call it after each.
    pub fn check(&self) -> Result<(), String> {
        if let Some(node) = &self.node {
            let (applied, last) = (self.state.index, node.store().last());
            if applied > last {
                return Err(format!("applied {applied}, the last entry is {last}"));
            }
            if self.returning.is_some() && self.role == Role::Leader {
                return Err("it leads, and has not heard what others remember of it".to_owned());
            }
        }
        if self.reads.len() > READS || self.actions.len() > WAITING {
            return Err(format!("{} reads, {} actions", self.reads.len(), self.actions.len()));
        }
        Ok(())
    }

    /// Turns a bit of the state over, as bad memory might: for tests that want a copy to differ.
    #[doc(hidden)]
    pub fn spoil(&mut self) {
        self.state.chain[0] ^= 1;
    }
}

//! The fleet's record at this server: [`Record`] decides, a thread of its own writes, and operators' questions wait here.
//!
//! Nothing that a request needs comes by here. A disk that fails, is full or holds what can't be read costs this server
//! its part in the record until it is well again, and nothing else.

use std::collections::VecDeque;

use async_channel::{bounded, Receiver, Sender};
use slog::{error, info, warn, Logger};
use umberloom_membership::{MemberName, Membership};
use umberloom_operator_config::Record as Settings;
use umberloom_replicated_store::log::KEYSPACES;
use umberloom_replicated_store::{
    Action, Entry, EntryId, Event, Micros, Priority, ReadOutcome, Replica, RequestError, StoredReplica,
    StoredReplicaError,
};
use umberloom_store::disk::RealDisk;
use umberloom_store::writer::{OpenedStore, Quarantined, Writer, WriterEvent};
use umberloom_store::{Config as StoreConfig, StoreError, WriteBatch};

use crate::exchange::fleet::RECORD;
use crate::wire::record::{Asked, Told as Answer, PART};

/// Batches that may wait for the disk's thread.
const QUEUE: usize = 64;
/// Words of that thread that may wait to be taken; it waits itself where there are more.
const WORDS: usize = 256;
/// After a disk that failed it is opened again, after a time that doubles up to the second.
const BACK_OFF: (Micros, Micros) = (250_000, 8_000_000);
/// A disk that has been in use for so long makes up for failures before.
const CALM: Micros = 10_000_000;
/// Time between two looks at who is reached.
const REACH_EVERY: Micros = 50_000;
/// How long an operator's question may wait, and how often a write without a leader is tried again.
const PATIENCE: Micros = 4_000_000;
const AGAIN: Micros = 100_000;
/// Questions that wait.
const WAITING: usize = 256;

/// A question that waits: the stream that it came by and its number there.
struct Pending {
    to: (u64, u64),
    what: What,
    until: Micros,
}

enum What {
    /// A write; whether the library has taken it, and when it was last tried.
    Write { id: EntryId, at_ms: u64, entry: Entry, taken: Option<Result<(), RequestError>>, tried: Micros },
    /// A read of the latest state.
    Show { ticket: u64, name: String, from: u64 },
}

/// What the disk's thread says.
pub enum Word {
    /// The store is open: what it holds, read there as that may take long.
    Opened(Box<(Result<Option<StoredReplica>, StoredReplicaError>, OpenedStore)>),
    /// Anything else.
    Done(WriterEvent),
}

/// The record's host.
pub struct Keeper {
    settings: Settings,
    record: Option<Replica>,
    writer: Option<Writer>,
    disk: (Sender<Word>, Receiver<Word>),
    /// Batches that the thread's queue has no room for yet.
    held: VecDeque<(u64, WriteBatch)>,
    reopen: Option<Micros>,
    back_off: Micros,
    opened_at: Micros,
    /// The copy on the disk is not to be used.
    fresh: bool,
    /// What was to be written found no room under the bound: the snapshot that it was, if it was one.
    full: Option<u64>,
    reach_at: Micros,
    scrub_at: Micros,
    seed: u64,
    pending: Vec<Pending>,
    answers: Vec<((u64, u64), Answer)>,
    log: Logger,
}

impl Keeper {
    /// Begins; the disk is opened by its own thread.
    pub fn new(now: Micros, settings: Settings, seed: u64, log: Logger) -> Keeper {
        let mut keeper = Keeper {
            record: None,
            writer: None,
            disk: bounded(WORDS),
            held: VecDeque::new(),
            reopen: None,
            back_off: BACK_OFF.0,
            opened_at: now,
            fresh: false,
            full: None,
            reach_at: now,
            scrub_at: now + settings.scrub,
            seed,
            pending: Vec::new(),
            answers: Vec::new(),
            settings,
            log,
        };
        keeper.open(now);
        keeper
    }

    fn open(&mut self, now: Micros) {
        self.reopen = None;
        let Some(folder) = self.settings.folder.clone() else {
            // Without a disk each start is one from nothing.
            return self.begin(now, None);
        };
        let config = StoreConfig { max_bytes: self.settings.most, ..StoreConfig::new(folder) };
        let (told, fresh) = (self.disk.0.clone(), std::mem::take(&mut self.fresh));
        let tell = move |done| {
            let word = match done {
                WriterEvent::Opened(mut found) => {
                    let image = StoredReplica::read(std::mem::take(&mut found.rows));
                    Word::Opened(Box::new((image, found)))
                }
                other => Word::Done(other),
            };
            // Nobody hears it any more: this store was closed.
            let _ = told.send_blocking(word);
        };
        match Writer::open(RealDisk, config, &KEYSPACES, fresh, QUEUE, tell) {
            Ok(writer) => self.writer = Some(writer),
            Err(e) => {
                warn!(self.log, "record: no thread for its disk"; "why" => %e);
                self.retry(now);
            }
        }
    }

    fn begin(&mut self, now: Micros, image: Option<StoredReplica>) {
        self.seed = self.seed.wrapping_add(1);
        match Replica::new(now, self.settings.config.clone(), image, self.seed) {
            Ok(mut record) => {
                if let Some(after) = self.full {
                    record.request_snapshot_after(after);
                }
                self.record = Some(record);
            }
            Err(why) => error!(self.log, "record: its settings make no sense"; "why" => %why),
        }
    }

    fn retry(&mut self, now: Micros) {
        // The old thread ends by itself once it has done what it was given.
        (self.record, self.writer) = (None, None);
        self.held.clear();
        // What it still says is about a store that is closed.
        self.disk = bounded(WORDS);
        self.reopen = Some(now + self.back_off);
        self.back_off = (2 * self.back_off).min(BACK_OFF.1);
    }

    /// What the disk's thread says next.
    pub fn disk(&self) -> Receiver<Word> {
        self.disk.1.clone()
    }

    /// The disk's thread has said something.
    pub fn done(&mut self, now: Micros, word: Word) {
        let done = match word {
            Word::Opened(all) => return self.opened(now, *all),
            Word::Done(done) => done,
        };
        match done {
            WriterEvent::Opened(_) => {}
            WriterEvent::Durable { number, .. } => {
                if self.record.as_ref().is_some_and(|record| record.installed_snapshot() > 0) {
                    // A snapshot has found room.
                    self.full = None;
                }
                if let Some(record) = &mut self.record {
                    record.persisted(now, number);
                }
            }
            WriterEvent::Failed { error: why, .. } | WriterEvent::Closed(why) => self.failed(now, &why),
            WriterEvent::Scrubbed(Ok(())) => {}
            WriterEvent::Scrubbed(Err(why)) => {
                self.fresh |= why.is_damage();
                self.failed(now, &why);
            }
        }
    }

    fn opened(
        &mut self,
        now: Micros,
        (image, found): (Result<Option<StoredReplica>, StoredReplicaError>, OpenedStore),
    ) {
        self.opened_at = now;
        if let Some(Quarantined { path, reason }) = &found.quarantined {
            error!(self.log, "record: what was on the disk is set aside"; "why" => reason, "now" => %path.display());
        }
        match image {
            Ok(image) => {
                info!(self.log, "record: its disk is open"; "commits" => found.generation, "copy" => image.is_some());
                self.begin(now, image);
            }
            Err(why) => {
                error!(self.log, "record: what was on the disk makes no sense"; "why" => %why);
                self.fresh = true;
                self.retry(now);
            }
        }
    }

    fn failed(&mut self, now: Micros, why: &StoreError) {
        if now >= self.opened_at + CALM {
            self.back_off = BACK_OFF.0;
        }
        let again = self.back_off / 1_000;
        warn!(self.log, "record: its disk can't be used"; "why" => %why, "again_in_ms" => again);
        if matches!(why, StoreError::Full { .. }) {
            let tried = self.record.as_ref().map_or(0, Replica::installed_snapshot);
            self.full = Some(tried.max(self.full.unwrap_or(0)));
        }
        // A thread that found damage while it wrote has said so; the next one sets it aside.
        self.retry(now);
    }

    /// A member says something about the record.
    pub fn hear(&mut self, now: Micros, from: &MemberName, boot: u64, bytes: &[u8]) {
        if let Some(record) = &mut self.record {
            record.handle_message(now, from, boot, bytes);
        }
    }

    /// Others belong to the fleet from now on.
    pub fn set(&mut self, settings: Settings) {
        if let Some(record) = &mut self.record {
            record.set_peers(settings.config.peers.clone());
        }
        self.settings = settings;
    }

    /// This server ends.
    pub fn leave(&mut self, now: Micros) {
        if let Some(record) = &mut self.record {
            record.leave(now);
        }
    }

    /// When something is due next.
    pub fn next_at(&self) -> Micros {
        let record = self.record.as_ref().map_or(Micros::MAX, Replica::next_timeout);
        let waits = if self.pending.is_empty() { Micros::MAX } else { self.reach_at };
        record.min(self.reopen.unwrap_or(Micros::MAX)).min(waits)
    }

    /// What is due by now is done, and what there is to say is said.
    pub fn pass(&mut self, now: Micros, membership: &mut Membership, load: u8) {
        if self.reopen.is_some_and(|at| now >= at) {
            self.open(now);
        }
        if let (Some(record), true) = (&mut self.record, now >= self.reach_at) {
            self.reach_at = now + REACH_EVERY;
            record.set_reachable(membership.reachable(now).into_iter().map(|(name, _)| name), load);
        }
        if let Some(record) = self.record.as_mut().filter(|record| now >= record.next_timeout()) {
            record.handle_timeout(now);
        }
        if now >= self.scrub_at {
            self.scrub_at = now + self.settings.scrub;
            let _asked = self.writer.as_ref().is_some_and(Writer::scrub);
        }
        self.carry_out(now, membership);
        self.wait(now);
        // What waited may have had the library say more.
        self.carry_out(now, membership);
    }

    fn carry_out(&mut self, now: Micros, membership: &mut Membership) {
        // Each round may bring more, as without a disk all is durable at once.
        for _ in 0..64 {
            let Some(record) = &mut self.record else { return };
            let (actions, told) = (record.take_actions(), record.take_events());
            told.into_iter().for_each(|told| self.tell(told));
            if actions.is_empty() && self.held.is_empty() {
                return;
            }
            let mut aside = None;
            for action in actions {
                match action {
                    Action::Send { to, bytes, priority: Priority::Heartbeat | Priority::Vote } => {
                        membership.send(now, &to, RECORD, bytes)
                    }
                    Action::Send { to, bytes, priority: Priority::Entry | Priority::Snapshot } => {
                        membership.send_bulk(now, &to, RECORD, bytes)
                    }
                    Action::Persist { number, batch } => self.held.push_back((number, batch)),
                    Action::Quarantine { reason: why } => aside = Some(why),
                }
            }
            if let Some(why) = aside {
                warn!(self.log, "record: this copy is set aside"; "why" => why);
                self.fresh = true;
                return self.retry(now);
            }
            let before = self.held.len();
            while let Some((number, batch)) = self.held.pop_front() {
                match (&self.writer, &mut self.record) {
                    (None, Some(record)) => record.persisted(now, number),
                    (Some(writer), _) => {
                        if let Err(batch) = writer.commit(number, batch) {
                            self.held.push_front((number, batch));
                            break;
                        }
                    }
                    _ => {}
                }
            }
            if self.held.len() == before && before > 0 {
                return;
            }
        }
    }

    fn tell(&self, told: Event) {
        let log = &self.log;
        match told {
            Event::Bootstrapped { store_id: record } => {
                warn!(log, "a new record begins: what an earlier one held is not in it";
                    "record" => format!("{record:016x}"));
            }
            Event::RoleChanged { from, to } => info!(log, "record role"; "from" => %from, "to" => %to),
            Event::LeaderChanged { leader: name } => {
                info!(log, "record leader"; "name" => name.unwrap_or_else(|| "nobody".to_owned()))
            }
            Event::ConfigurationChange { change } => {
                info!(log, "record members change"; "what" => %change);
            }
            Event::RollbackDetected { remembered: seen } => {
                error!(log, "record: this copy was set back"; "term" => seen.term, "entry" => seen.last_index);
            }
            Event::LocalDivergence { majority: from } => {
                error!(log, "record: this copy differs from a majority's"; "copies" => format!("{from:x?}"));
            }
            Event::PeerDivergence { replicas: copies } => {
                warn!(log, "record: copies differ from ours and a majority's"; "copies" => format!("{copies:x?}"));
            }
            Event::Frozen => error!(log, "record: copies differ and nobody can tell which is right"),
            Event::Obsolete { own_store: ours, led_store: led } => {
                error!(log, "record: ours is an old one";
                    "ours" => format!("{ours:016x}"), "led" => format!("{led:016x}"));
            }
            Event::CompetingStore { own_store: ours, led_store: led } => {
                error!(log, "record: another one is led beside ours";
                    "ours" => format!("{ours:016x}"), "led" => format!("{led:016x}"));
            }
            Event::LogFailed { reason: why } => error!(log, "record: its log can't go on"; "why" => why),
            Event::CaughtUp { index, bytes, took } => {
                info!(log, "record caught up"; "entry" => index, "bytes" => bytes, "ms" => took / 1_000);
            }
        }
    }

    /// An operator asks; the answer comes with [`Keeper::take_answers`].
    pub fn ask(&mut self, now: Micros, at_ms: u64, to: (u64, u64), asked: Asked) {
        let refuse = |why: RequestError| Answer::Refused(why.to_string());
        let Some(record) = &mut self.record else {
            let why =
                if self.reopen.is_some() { "its disk can't be used now" } else { "its disk is being opened" };
            return self
                .answers
                .push((to, Answer::Refused(format!("this server has no part in the record: {why}"))));
        };
        if self.pending.len() >= WAITING {
            return self.answers.push((to, refuse(RequestError::Busy)));
        }
        let answer = match asked {
            Asked::Status => Answer::Status(Box::new(record.status(now))),
            Asked::History(most) => {
                let lines = record.state().history().rev().take(most as usize).cloned().collect();
                Answer::History(lines)
            }
            Asked::Hand(name, votes) => match record.set_voter(now, &name, votes) {
                Ok(()) => Answer::Taken,
                Err(why) => refuse(why),
            },
            Asked::Adopt => match record.adopt(now, at_ms) {
                Ok(_) => Answer::Taken,
                Err(why) => refuse(why),
            },
            Asked::Show { name, latest: false, from } => show(record, now, &name, from),
            Asked::Show { name, latest: true, from } => match record.request_read(now) {
                Ok(ticket) => {
                    let what = What::Show { ticket, name, from };
                    return self.pending.push(Pending { to, what, until: now + PATIENCE });
                }
                Err(why) => refuse(why),
            },
            Asked::Write { id, entry } => {
                let what = What::Write { id, at_ms, entry, taken: None, tried: 0 };
                return self.pending.push(Pending { to, what, until: now + PATIENCE });
            }
            Asked::Export(from) => match record.export().map(|export| export.to_bytes()) {
                Some(all) => Answer::Bytes(part(&all, from), all.len() as u64),
                None => refuse(RequestError::Outside),
            },
        };
        self.answers.push((to, answer));
    }

    /// Sees to the questions that wait.
    fn wait(&mut self, now: Micros) {
        let Some(record) = &mut self.record else {
            let gone = || Answer::Refused(RequestError::Outside.to_string());
            return self.answers.extend(self.pending.drain(..).map(|pending| (pending.to, gone())));
        };
        let reads = record.take_finished_reads();
        let answers = &mut self.answers;
        self.pending.retain_mut(|pending| {
            let late = now >= pending.until;
            let answer = match &mut pending.what {
                What::Show { ticket, name, from } => match reads.iter().find(|(done, _)| done == ticket) {
                    Some((_, ReadOutcome::Ready)) => show(record, now, name, *from),
                    Some((_, ReadOutcome::Failed(why))) => Answer::Refused(why.to_string()),
                    None if late => Answer::Refused(RequestError::TimedOut.to_string()),
                    None => return true,
                },
                What::Write { id, at_ms, entry, taken, tried } => match record.outcome(*id) {
                    Some(outcome) => Answer::Done(outcome),
                    None if late => match taken.take() {
                        // It may be applied yet: whoever asked must not take it for refused.
                        Some(Ok(())) => Answer::Refused(RequestError::TimedOut.to_string()),
                        Some(Err(why)) => Answer::Refused(why.to_string()),
                        None => Answer::Refused(RequestError::NoLeader.to_string()),
                    },
                    None => {
                        // Lost on the way or with a leader: tried again under its number, it is applied once.
                        let again = if matches!(taken, Some(Ok(()))) { 10 * AGAIN } else { AGAIN };
                        if taken.is_none() || now >= *tried + again {
                            let ever = matches!(taken, Some(Ok(())));
                            let given = record.propose(now, *id, *at_ms, entry);
                            (*taken, *tried) = (Some(if ever { Ok(()) } else { given }), now);
                        }
                        return true;
                    }
                },
            };
            answers.push((pending.to, answer));
            false
        });
    }

    /// Answers for operators, by stream and number.
    pub fn take_answers(&mut self) -> Vec<((u64, u64), Answer)> {
        std::mem::take(&mut self.answers)
    }
}

fn part(all: &[u8], from: u64) -> Vec<u8> {
    let from = (from as usize).min(all.len());
    all[from..all.len().min(from + PART)].to_vec()
}

fn show(record: &Replica, now: Micros, name: &str, from: u64) -> Answer {
    let age = record.status(now).leader_heard_ms;
    match record.state().get(name) {
        None => Answer::Nothing(record.state().documents().map(|(name, _)| name.clone()).take(64).collect()),
        Some(held) => {
            let bytes = held.bytes.as_deref().unwrap_or_default();
            Answer::Document {
                version: held.version,
                index: held.index,
                by: held.author.clone(),
                length: bytes.len() as u64,
                part: part(bytes, from),
                age_ms: age,
            }
        }
    }
}

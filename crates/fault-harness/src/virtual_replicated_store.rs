//! A record on a virtual network, clock and disks: the same seed gives the same run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom_membership::MemberName;
use umberloom_replicated_store::entry::{Content, DocumentUpdate};
use umberloom_replicated_store::log::KEYSPACES;
use umberloom_replicated_store::{
    Action, Config, Entry, Event, Micros, Outcome, ReadOutcome, Replica, Role, StoreId, StoredReplica,
};
use umberloom_store::fault_disk::{FaultInjectingDisk, Faults};
use umberloom_store::{Config as StoreConfig, Store, WriteBatch};

use crate::linear::Operation;

const MS: Micros = 1_000;

enum Due {
    Mail { from: usize, boot: u64, to: usize, bytes: Vec<u8> },
    Pass(usize, u64),
    Synced(usize, u64, u64),
}

/// One server.
struct Place {
    record: Option<Replica>,
    /// Counts processes, as the start of one does.
    boot: u64,
    disk: FaultInjectingDisk,
    store: Option<Store>,
    stopped: Micros,
    /// How long a sync takes at most.
    sync: Micros,
}

/// What a client waits for.
struct Asked {
    at: usize,
    boot: u64,
    operation: usize,
    what: Ask,
    until: Micros,
}

enum Ask {
    Write(u128),
    Read(u64),
}

/// All of it.
pub struct VirtualReplicatedStore {
    pub now: Micros,
    places: Vec<Place>,
    names: Vec<MemberName>,
    adjust: fn(&mut Config),
    /// Directions that carry nothing.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// The share of messages that is lost, and how late they come at most.
    pub loss: f64,
    pub max_delay: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    due: BTreeMap<u64, Due>,
    next: u64,
    random: ChaCha8Rng,
    pub events: Vec<(Micros, usize, Event)>,
    /// What clients asked for and were told, for the checker.
    pub operations: Vec<Operation>,
    asked: Vec<Asked>,
    next_id: u128,
    pub bytes: u64,
    /// How often a copy was set aside, and why.
    pub quarantined: Vec<(usize, String)>,
    leaders: BTreeMap<(StoreId, u64), usize>,
}

impl VirtualReplicatedStore {
    /// So many servers, each with a disk.
    pub fn new(count: usize, seed: u64, adjust: fn(&mut Config)) -> VirtualReplicatedStore {
        let names: Vec<MemberName> = (0..count).map(|n| MemberName::from(format!("m{n}"))).collect();
        let place = |n: usize| Place {
            record: None,
            boot: 0,
            disk: FaultInjectingDisk::new(seed ^ (n as u64) << 32),
            store: None,
            stopped: 0,
            sync: 2 * MS,
        };
        let mut all = VirtualReplicatedStore {
            now: 0,
            places: (0..count).map(place).collect(),
            names,
            adjust,
            cut_links: BTreeSet::new(),
            loss: 0.0,
            max_delay: 2 * MS,
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            next: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            events: Vec::new(),
            operations: Vec::new(),
            asked: Vec::new(),
            next_id: 1,
            bytes: 0,
            quarantined: Vec::new(),
            leaders: BTreeMap::new(),
        };
        (0..count).for_each(|n| all.start(n));
        all
    }

    fn plan(&mut self, at: Micros, due: Due) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.due.insert(self.next, due);
    }

    /// A process starts with what its disk holds.
    pub fn start(&mut self, n: usize) {
        let others: Vec<&str> = self.names.iter().filter(|o| **o != self.names[n]).map(|o| &**o).collect();
        let mut config = Config::new(&self.names[n], &others);
        config.zone = format!("z{}", n % 3).as_str().into();
        (self.adjust)(&mut config);
        let (now, seed) = (self.now, self.random.random());
        let place = &mut self.places[n];
        place.boot += 1;
        place.store = None;
        let told = StoreConfig { max_bytes: 64 << 20, ..StoreConfig::new("record") };
        let mut store = Store::open(&place.disk, &told);
        if store.as_ref().is_err_and(umberloom_store::StoreError::is_damage) {
            self.quarantined.push((n, store.as_ref().map_or_else(ToString::to_string, |_| String::new())));
            let _ = Store::quarantine(&place.disk, &told);
            store = Store::open(&place.disk, &told);
        }
        let Ok(store) = store else { return };
        let rows =
            KEYSPACES.map(|space| (space, store.range(space, &[], None, usize::MAX).unwrap_or_default()));
        let image = StoredReplica::read(rows.to_vec());
        place.store = Some(store);
        place.record = image.ok().and_then(|image| Replica::new(now, config, image, seed).ok());
        let boot = place.boot;
        self.plan(now, Due::Pass(n, boot));
        self.carry_out(n);
    }

    /// A process ends as by SIGKILL, or with the power: then what was not synced may be lost.
    pub fn kill(&mut self, n: usize, power: bool) {
        let place = &mut self.places[n];
        (place.record, place.store) = (None, None);
        if power {
            place.disk.cut_power();
        }
    }

    /// Its disk is gone.
    pub fn lose_disk(&mut self, n: usize) {
        self.kill(n, false);
        self.places[n].disk = FaultInjectingDisk::new(self.next);
    }

    /// How its disk is now, to be put back later.
    pub fn disk_image(&self, n: usize) -> BTreeMap<std::path::PathBuf, Vec<u8>> {
        self.places[n].disk.image()
    }

    /// Its disk is what it was; the process has ended before.
    pub fn restore_disk(&mut self, n: usize, image: BTreeMap<std::path::PathBuf, Vec<u8>>) {
        self.kill(n, false);
        self.places[n].disk.restore(image);
    }

    /// It is not run until then; what comes for it waits.
    pub fn pause(&mut self, n: usize, span: Micros) {
        self.places[n].stopped = self.now + span;
    }

    pub fn is_running(&self, n: usize) -> bool {
        self.places[n].record.is_some()
    }

    pub fn replica(&self, n: usize) -> Option<&Replica> {
        self.places[n].record.as_ref()
    }

    /// An operator decides for this copy.
    pub fn adopt(&mut self, n: usize) -> Result<StoreId, String> {
        let now = self.now;
        let adopted = self.places[n].record.as_mut().map(|record| record.adopt(now, 0));
        self.carry_out(n);
        adopted.ok_or("it is down".to_owned())?.map_err(|why| why.to_string())
    }

    /// Turns a bit of a copy's state over.
    pub fn corrupt_state(&mut self, n: usize, bit: u8) {
        if let Some(record) = &mut self.places[n].record {
            record.corrupt(bit);
        }
    }

    fn open(&self, from: usize, to: usize) -> bool {
        !self.cut_links.contains(&(from, to)) && self.places[to].record.is_some()
    }

    /// Goes on until then; an error is something that must never be.
    pub fn run_until(&mut self, until: Micros) -> Result<(), String> {
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            let Some(due) = self.due.remove(&number) else { continue };
            self.now = self.now.max(at);
            let n = match &due {
                Due::Mail { to, .. } => *to,
                Due::Pass(n, _) | Due::Synced(n, ..) => *n,
            };
            if self.places[n].stopped > self.now {
                let later = self.places[n].stopped;
                self.plan(later, due);
                continue;
            }
            self.step(n, due)?;
        }
        self.now = until;
        Ok(())
    }

    /// Goes on for so many events.
    pub fn run_events(&mut self, count: usize) -> Result<(), String> {
        for _ in 0..count {
            let Some(Reverse((at, _))) = self.queue.peek().copied() else { break };
            // All that is due at this very time is one event.
            self.run_until(at)?;
        }
        Ok(())
    }

    /// Its disk says that it has synced, and has not, from now on.
    pub fn ignore_syncs(&mut self, n: usize) {
        self.places[n].disk.set_faults(Faults { ignore_syncs: true, ..Faults::default() });
    }

    fn step(&mut self, n: usize, due: Due) -> Result<(), String> {
        let now = self.now;
        let boot = self.places[n].boot;
        let reached: Vec<MemberName> = (0..self.names.len())
            .filter(|o| *o != n && self.open(n, *o) && self.open(*o, n))
            .map(|o| self.names[o].clone())
            .collect();
        let Some(record) = &mut self.places[n].record else { return Ok(()) };
        let mut again = None;
        match due {
            Due::Mail { from, boot, bytes, .. } => {
                record.handle_message(now, &self.names[from], boot, &bytes);
            }
            Due::Pass(_, of) if of == boot => {
                record.set_reachable(reached, 0);
                record.handle_timeout(now);
                again = Some(record.next_timeout().max(now + 1).min(now + 20 * MS));
            }
            Due::Synced(_, of, number) if of == boot => record.persisted(now, number),
            _ => return Ok(()),
        }
        record.check_invariants().map_err(|why| format!("{} at {now}: {why}", self.names[n]))?;
        if record.role() == Role::Leader {
            // One leader a term, of one record.
            let standing = record.status(now);
            let first = *self.leaders.entry((standing.store_id, standing.term)).or_insert(n);
            if first != n {
                return Err(format!("m{first} and m{n} both lead in term {}", standing.term));
            }
        }
        if let Some(at) = again {
            self.plan(at, Due::Pass(n, boot));
        }
        self.carry_out(n);
        Ok(())
    }

    fn carry_out(&mut self, n: usize) {
        let now = self.now;
        let Some(record) = &mut self.places[n].record else { return };
        let (actions, told, reads) =
            (record.take_actions(), record.take_events(), record.take_finished_reads());
        self.events.extend(told.into_iter().map(|line| (now, n, line)));
        let mut aside = None;
        for action in actions {
            match action {
                Action::Send { to, bytes, .. } => {
                    let to = self.names.iter().position(|name| *name == to).unwrap_or(n);
                    self.bytes += bytes.len() as u64;
                    if self.cut_links.contains(&(n, to)) || self.random.random_bool(self.loss) {
                        continue;
                    }
                    let at = now + 300 + self.random.random_range(0..=self.max_delay);
                    let boot = self.places[n].boot;
                    self.plan(at, Due::Mail { from: n, boot, to, bytes });
                }
                Action::Persist { number, batch } => self.persist(n, number, batch),
                Action::Quarantine { reason: why } => aside = Some(why),
            }
        }
        self.finish(n, &reads);
        if let Some(why) = aside {
            self.quarantined.push((n, why));
            let place = &mut self.places[n];
            (place.record, place.store) = (None, None);
            let _ = Store::quarantine(&place.disk, &StoreConfig::new("record"));
            self.start(n);
        }
    }

    fn persist(&mut self, n: usize, number: u64, batch: WriteBatch) {
        let place = &mut self.places[n];
        let wrote = place.store.as_mut().map(|store| store.commit(&batch));
        if matches!(wrote, Some(Ok(_))) {
            let (boot, sync) = (place.boot, place.sync);
            let at = self.now + self.random.random_range(0..=sync);
            self.plan(at, Due::Synced(n, boot, number));
        }
    }

    /// A client writes a register at a server: `expect` is the version that must be there.
    pub fn write(&mut self, n: usize, name: &str, expect: Option<u64>) {
        self.next_id += 1;
        let id = self.next_id;
        let content = Content::Inline(id.to_le_bytes().to_vec());
        let entry =
            Entry::Document(DocumentUpdate { name: name.to_owned(), expected_version: expect, content });
        let (now, boot) = (self.now, self.places[n].boot);
        let Some(record) = &mut self.places[n].record else { return };
        let given = record.propose(now, id, 0, &entry);
        self.operations.push(Operation::write(name, now, id));
        let operation = self.operations.len() - 1;
        if given.is_ok() {
            let until = now + 5_000 * MS;
            self.asked.push(Asked { at: n, boot, operation, what: Ask::Write(id), until });
        } else {
            self.operations[operation].reject(now);
        }
        self.carry_out(n);
    }

    /// A client writes these entries at a server, and does not wait for them.
    pub fn propose(&mut self, n: usize, entries: Vec<Entry>) {
        let now = self.now;
        for entry in entries {
            self.next_id += 1;
            if let Some(record) = &mut self.places[n].record {
                let _ = record.propose(now, self.next_id, 0, &entry);
            }
        }
        self.carry_out(n);
    }

    /// A client reads the latest value of a register at a server.
    pub fn read(&mut self, n: usize, name: &str) {
        let (now, boot) = (self.now, self.places[n].boot);
        let Some(record) = &mut self.places[n].record else { return };
        if let Ok(ticket) = record.request_read(now) {
            self.operations.push(Operation::read(name, now));
            let (operation, until) = (self.operations.len() - 1, now + 20_000 * MS);
            self.asked.push(Asked { at: n, boot, operation, what: Ask::Read(ticket), until });
        }
        self.carry_out(n);
    }

    fn finish(&mut self, n: usize, reads: &[(u64, ReadOutcome)]) {
        let (now, place) = (self.now, &self.places[n]);
        let Some(record) = &place.record else { return };
        let operations = &mut self.operations;
        let boot = place.boot;
        self.asked.retain(|asked| {
            if asked.at != n {
                return true;
            }
            if asked.boot != boot || now > asked.until {
                // Nobody tells the client what became of it.
                return false;
            }
            match &asked.what {
                Ask::Write(id) => match record.outcome(*id) {
                    Some(Outcome::Applied(version)) => {
                        operations[asked.operation].complete(now, version, *id);
                    }
                    Some(_) => operations[asked.operation].reject(now),
                    None => return true,
                },
                Ask::Read(ticket) => match reads.iter().find(|(done, _)| done == ticket) {
                    Some((_, ReadOutcome::Ready)) => {
                        let name = operations[asked.operation].register.clone();
                        let held = record.state().get(&name);
                        let value =
                            held.and_then(|h| h.bytes.as_deref()?.try_into().ok()).map(u128::from_le_bytes);
                        operations[asked.operation].complete(
                            now,
                            held.map_or(0, |h| h.version),
                            value.unwrap_or(0),
                        );
                    }
                    Some(_) => operations[asked.operation].reject(now),
                    None => return true,
                },
            }
            false
        });
    }

    /// Who leads, by its own word.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            let place = &self.places[*n];
            place.stopped <= self.now && place.record.as_ref().is_some_and(|r| r.role() == Role::Leader)
        };
        let term = |n: &usize| self.places[*n].record.as_ref().map_or(0, |r| r.status(self.now).term);
        (0..self.places.len()).filter(leads).max_by_key(term)
    }

    /// Goes on until something holds; how long that took.
    pub fn run_until_condition(
        &mut self,
        most: Micros,
        holds: impl Fn(&VirtualReplicatedStore) -> bool,
    ) -> Result<Micros, String> {
        let start = self.now;
        while self.now < start + most {
            if holds(self) {
                return Ok(self.now - start);
            }
            self.run_until(self.now + 10 * MS)?;
        }
        let stand = |n: usize| {
            let Some(record) = self.places[n].record.as_ref() else { return format!("m{n} is down") };
            let s = record.status(self.now);
            let copies =
                s.replicas.iter().map(|c| format!("{}{}", c.server, if c.is_voter { "*" } else { "" }));
            let copies: Vec<String> = copies.collect();
            format!(
                "m{n} {} of {:04x} term {} leader {:?} applied {} commit {} last {} frozen {} fetching {:?}: {}",
                s.role, s.store_id.0 as u16, s.term, s.leader, s.applied, s.commit, s.last_index, s.frozen, s.catching_up,
                copies.join(" ")
            )
        };
        let all: Vec<_> = (0..self.places.len()).map(stand).collect();
        Err(format!("not within {} ms, set aside {:?}\n{}", most / MS, self.quarantined, all.join("\n")))
    }

    /// Every server that runs is in the record, so many vote, and all have applied the same.
    pub fn is_converged(&self, voters: usize) -> bool {
        let records: Vec<&Replica> = self.places.iter().filter_map(|place| place.record.as_ref()).collect();
        let Some(leader) = self.leader().and_then(|n| self.replica(n)) else { return false };
        let stands = leader.status(self.now);
        let votes = stands.replicas.iter().filter(|c| c.is_voter).count();
        let same = |r: &&Replica| {
            r.state().applied == leader.state().applied
                && r.state().rolling_digest == leader.state().rolling_digest
                && matches!(r.role(), Role::Learner | Role::Voter | Role::Leader)
        };
        votes == voters && stands.replicas.len() == records.len() && records.iter().all(same)
    }
}

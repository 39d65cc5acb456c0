//! A replicated store on a virtual network, clock and disks. Equal seeds give equal runs.
//!
//! `clients` has the operations of clients, and their results.

mod clients;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom_membership::MemberName;
use umberloom_replicated_store::log::KEYSPACES;
use umberloom_replicated_store::{Action, Config, Event, Micros, Replica, Role, StoreId, StoredReplica};
use umberloom_store::fault_disk::{FaultInjectingDisk, Faults};
use umberloom_store::{Config as StoreConfig, Store, WriteBatch};

use self::clients::PendingOperation;
use crate::linear::Operation;

/// One millisecond in microseconds.
const MS: Micros = 1_000;
/// Time until a server starts a replica again that has ended by itself.
const RESTART_PAUSE: Micros = 250 * MS;

/// A scheduled event. The first two numbers of `Timeout` and `Synced` are a server and its process.
enum ScheduledEvent {
    /// A message arrives that process `process` of server `from` sent.
    Message { from: usize, process: u64, to: usize, bytes: Vec<u8> },
    /// The timeout of a server's process is due.
    Timeout(usize, u64),
    /// The disk of a server has synced the batch with this number, written by this process.
    Synced(usize, u64, u64),
    /// A server starts its replica again, whose use this process has ended.
    Restart(usize, u64),
}

/// One server.
struct Node {
    /// The replica; `None` while no process runs.
    replica: Option<Replica>,
    /// Number of processes started so far; stands for the boot id of the present one.
    process: u64,
    disk: FaultInjectingDisk,
    store: Option<Store>,
    /// The time until which the process is suspended.
    paused_until: Micros,
    /// Longest duration of a sync.
    max_sync: Micros,
    /// The replica has ended by itself, and its server will start it again.
    awaits_restart: bool,
}

/// All servers, their disks and the network between them. Servers are identified by their index.
pub struct VirtualReplicatedStore {
    /// The virtual time in microseconds.
    pub now: Micros,
    nodes: Vec<Node>,
    names: Vec<MemberName>,
    /// Changes the default configuration of each replica.
    adjust: fn(&mut Config),
    /// Directions, as sender and receiver, in which every message is lost.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Share of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// Largest random delay of a message, in microseconds. A fixed 300 is added.
    pub max_delay: Micros,
    /// Times and numbers of scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Scheduled events by number.
    scheduled: BTreeMap<u64, ScheduledEvent>,
    last_number: u64,
    random: ChaCha8Rng,
    /// Events that replicas reported, with the virtual time and the index of the server.
    pub events: Vec<(Micros, usize, Event)>,
    /// The operations of all clients with their results, for [`crate::linear::violations`].
    pub operations: Vec<Operation>,
    pending: Vec<PendingOperation>,
    /// The id of the latest entry.
    last_id: u128,
    /// Bytes of all messages sent.
    pub bytes: u64,
    /// Every quarantined replica: the index of its server and the reason.
    pub quarantined: Vec<(usize, String)>,
    /// Every replica that was started again from its disk by itself: the index of its server and the reason.
    pub restarted: Vec<(usize, String)>,
    /// The first leader seen in each term of each store.
    leaders: BTreeMap<(StoreId, u64), usize>,
}

/// Why a store was not opened.
enum OpenError {
    /// Its file is damaged, or has an invalid replica, for this reason.
    Unusable(String),
    /// The disk failed.
    DiskFailed,
}

/// Opens a store and reads the replica in it.
fn open_store(
    disk: &FaultInjectingDisk,
    config: &StoreConfig,
) -> Result<(Store, Option<StoredReplica>), OpenError> {
    let store = Store::open(disk, config).map_err(|error| {
        if error.is_damage() {
            OpenError::Unusable(error.to_string())
        } else {
            OpenError::DiskFailed
        }
    })?;
    let rows = KEYSPACES.map(|space| (space, store.range(space, &[], None, usize::MAX).unwrap_or_default()));
    let stored =
        StoredReplica::read(rows.to_vec()).map_err(|error| OpenError::Unusable(error.to_string()))?;
    Ok((store, stored))
}

impl VirtualReplicatedStore {
    /// Starts `count` servers, each with an empty disk, configured by `adjust`.
    pub fn new(count: usize, seed: u64, adjust: fn(&mut Config)) -> VirtualReplicatedStore {
        let names: Vec<MemberName> = (0..count).map(|n| MemberName::from(format!("m{n}"))).collect();
        let new_node = |n: usize| Node {
            replica: None,
            process: 0,
            disk: FaultInjectingDisk::new(seed ^ (n as u64) << 32),
            store: None,
            paused_until: 0,
            max_sync: 2 * MS,
            awaits_restart: false,
        };
        let mut store = VirtualReplicatedStore {
            now: 0,
            nodes: (0..count).map(new_node).collect(),
            names,
            adjust,
            cut_links: BTreeSet::new(),
            loss: 0.0,
            max_delay: 2 * MS,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_number: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            events: Vec::new(),
            operations: Vec::new(),
            pending: Vec::new(),
            last_id: 1,
            bytes: 0,
            quarantined: Vec::new(),
            restarted: Vec::new(),
            leaders: BTreeMap::new(),
        };
        (0..count).for_each(|n| store.start(n));
        store
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.last_number += 1;
        self.queue.push(Reverse((at, self.last_number)));
        self.scheduled.insert(self.last_number, event);
    }

    /// Starts a process with the replica on its disk. A damaged store, or one with an invalid replica, is
    /// quarantined and replaced by an empty one.
    pub fn start(&mut self, n: usize) {
        let others: Vec<&str> = self.names.iter().filter(|o| **o != self.names[n]).map(|o| &**o).collect();
        let mut config = Config::new(&self.names[n], &others);
        config.zone = format!("z{}", n % 3).as_str().into();
        (self.adjust)(&mut config);
        let (now, seed) = (self.now, self.random.random());
        let node = &mut self.nodes[n];
        node.process += 1;
        (node.store, node.awaits_restart) = (None, false);
        let store_config = StoreConfig { max_bytes: 64 << 20, ..StoreConfig::new("record") };
        let mut opened = open_store(&node.disk, &store_config);
        if let Err(OpenError::Unusable(reason)) = opened {
            self.quarantined.push((n, reason));
            let _ = Store::quarantine(&node.disk, &store_config);
            opened = open_store(&node.disk, &store_config);
        }
        let Ok((store, stored)) = opened else { return };
        node.store = Some(store);
        node.replica = Replica::new(now, config, stored, seed).ok();
        let process = node.process;
        self.schedule(now, ScheduledEvent::Timeout(n, process));
        self.execute_actions(n);
    }

    /// Ends a process as by SIGKILL or, with `power_loss`, by a power failure, which may lose data not
    /// synced.
    pub fn kill(&mut self, n: usize, power_loss: bool) {
        let node = &mut self.nodes[n];
        (node.replica, node.store, node.awaits_restart) = (None, None, false);
        if power_loss {
            node.disk.cut_power();
        }
    }

    /// Ends a process and replaces its disk by an empty one.
    pub fn lose_disk(&mut self, n: usize) {
        self.kill(n, false);
        self.nodes[n].disk = FaultInjectingDisk::new(self.last_number);
    }

    /// The present content of a server's disk, for [`VirtualReplicatedStore::restore_disk`].
    pub fn disk_image(&self, n: usize) -> BTreeMap<std::path::PathBuf, Vec<u8>> {
        self.nodes[n].disk.image()
    }

    /// Ends a process and replaces the content of its disk by an earlier one.
    pub fn restore_disk(&mut self, n: usize, image: BTreeMap<std::path::PathBuf, Vec<u8>>) {
        self.kill(n, false);
        self.nodes[n].disk.restore(image);
    }

    /// Suspends a process for `duration`. Messages to it wait.
    pub fn pause(&mut self, n: usize, duration: Micros) {
        self.nodes[n].paused_until = self.now + duration;
    }

    /// Whether a server has a process with a replica.
    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].replica.is_some()
    }

    /// The replica of a server, if it runs.
    pub fn replica(&self, n: usize) -> Option<&Replica> {
        self.nodes[n].replica.as_ref()
    }

    /// Adopts the replica of this server, as an operator would.
    pub fn adopt(&mut self, n: usize) -> Result<StoreId, String> {
        let now = self.now;
        let adopted = self.nodes[n].replica.as_mut().map(|replica| replica.adopt(now, 0));
        self.execute_actions(n);
        adopted.ok_or("it is down".to_owned())?.map_err(|error| error.to_string())
    }

    /// Flips a bit of a replica's state in memory.
    pub fn corrupt_state(&mut self, n: usize, bit: u8) {
        if let Some(replica) = &mut self.nodes[n].replica {
            replica.corrupt(bit);
        }
    }

    /// Whether a message from one server to another arrives: the direction is not cut and the receiver runs.
    fn can_reach(&self, from: usize, to: usize) -> bool {
        !self.cut_links.contains(&(from, to)) && self.nodes[to].replica.is_some()
    }

    /// Runs until this virtual time. The error describes a violated invariant.
    pub fn run_until(&mut self, until: Micros) -> Result<(), String> {
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            let Some(event) = self.scheduled.remove(&number) else { continue };
            self.now = self.now.max(at);
            let n = match &event {
                ScheduledEvent::Message { to, .. } => *to,
                ScheduledEvent::Timeout(n, _)
                | ScheduledEvent::Synced(n, ..)
                | ScheduledEvent::Restart(n, _) => *n,
            };
            if self.nodes[n].paused_until > self.now {
                let later = self.nodes[n].paused_until;
                self.schedule(later, event);
                continue;
            }
            if let ScheduledEvent::Restart(_, process) = event {
                if self.nodes[n].process == process && self.nodes[n].awaits_restart {
                    self.start(n);
                }
                continue;
            }
            self.step(n, event)?;
        }
        self.now = until;
        Ok(())
    }

    /// Runs `count` events. Events with equal times count as one.
    pub fn run_events(&mut self, count: usize) -> Result<(), String> {
        for _ in 0..count {
            let Some(Reverse((at, _))) = self.queue.peek().copied() else { break };
            self.run_until(at)?;
        }
        Ok(())
    }

    /// Passes bytes to the replica of server `to` as a message from server `from`.
    pub fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) -> Result<(), String> {
        let process = self.nodes[from].process;
        self.step(to, ScheduledEvent::Message { from, process, to, bytes })
    }

    /// Makes a server's replica request a snapshot from after this entry, as a server does after its disk was
    /// full.
    pub fn request_snapshot_after(&mut self, n: usize, index: u64) {
        if let Some(replica) = &mut self.nodes[n].replica {
            replica.request_snapshot_after(index);
        }
    }

    /// From now on each sync of a server's disk takes up to `max_sync` microseconds.
    pub fn set_max_sync(&mut self, n: usize, max_sync: Micros) {
        self.nodes[n].max_sync = max_sync;
    }

    /// From now on a server's disk reports syncs as done without doing them.
    pub fn ignore_syncs(&mut self, n: usize) {
        self.nodes[n].disk.set_faults(Faults { ignore_syncs: true, ..Faults::default() });
    }

    /// Passes an event to a replica, checks the invariants and executes the resulting actions. Timeouts and
    /// syncs of an earlier process of the server are ignored.
    fn step(&mut self, n: usize, event: ScheduledEvent) -> Result<(), String> {
        let now = self.now;
        let process = self.nodes[n].process;
        let reachable: Vec<MemberName> = (0..self.names.len())
            .filter(|o| *o != n && self.can_reach(n, *o) && self.can_reach(*o, n))
            .map(|o| self.names[o].clone())
            .collect();
        let Some(replica) = &mut self.nodes[n].replica else { return Ok(()) };
        let mut next_timeout = None;
        match event {
            ScheduledEvent::Message { from, process, bytes, .. } => {
                replica.handle_message(now, &self.names[from], process, &bytes);
            }
            ScheduledEvent::Timeout(_, of) if of == process => {
                replica.set_reachable(reachable, 0);
                replica.handle_timeout(now);
                next_timeout = Some(replica.next_timeout().max(now + 1).min(now + 20 * MS));
            }
            ScheduledEvent::Synced(_, of, number) if of == process => replica.persisted(now, number),
            _ => return Ok(()),
        }
        replica.check_invariants().map_err(|error| format!("{} at {now}: {error}", self.names[n]))?;
        if replica.role() == Role::Leader {
            // Each term of a store has at most one leader.
            let status = replica.status(now);
            let first = *self.leaders.entry((status.store_id, status.term)).or_insert(n);
            if first != n {
                return Err(format!("m{first} and m{n} both lead in term {}", status.term));
            }
        }
        if let Some(at) = next_timeout {
            self.schedule(at, ScheduledEvent::Timeout(n, process));
        }
        self.execute_actions(n);
        Ok(())
    }

    /// Executes the actions of a replica and collects its events and finished reads.
    fn execute_actions(&mut self, n: usize) {
        let now = self.now;
        let Some(replica) = &mut self.nodes[n].replica else { return };
        let (actions, events, reads) =
            (replica.take_actions(), replica.take_events(), replica.take_finished_reads());
        self.events.extend(events.into_iter().map(|event| (now, n, event)));
        let (mut quarantine_reason, mut restart_reason) = (None, None);
        for action in actions {
            match action {
                Action::Send { to, bytes, .. } => {
                    let to = self.names.iter().position(|name| *name == to).unwrap_or(n);
                    self.bytes += bytes.len() as u64;
                    if self.cut_links.contains(&(n, to)) || self.random.random_bool(self.loss) {
                        continue;
                    }
                    let at = now + 300 + self.random.random_range(0..=self.max_delay);
                    let process = self.nodes[n].process;
                    self.schedule(at, ScheduledEvent::Message { from: n, process, to, bytes });
                }
                Action::Persist { number, batch } => self.persist(n, number, batch),
                Action::Quarantine { reason } => quarantine_reason = Some(reason),
                Action::Restart { reason } => restart_reason = Some(reason),
            }
        }
        self.finish_operations(n, &reads);
        if let Some(reason) = restart_reason {
            self.restarted.push((n, reason));
            let node = &mut self.nodes[n];
            (node.replica, node.store, node.awaits_restart) = (None, None, true);
            let process = node.process;
            self.schedule(now + RESTART_PAUSE, ScheduledEvent::Restart(n, process));
        }
        if let Some(reason) = quarantine_reason {
            self.quarantined.push((n, reason));
            let node = &mut self.nodes[n];
            (node.replica, node.store) = (None, None);
            let _ = Store::quarantine(&node.disk, &StoreConfig::new("record"));
            self.start(n);
        }
    }

    /// Commits a batch to a server's disk and schedules the end of its sync.
    fn persist(&mut self, n: usize, number: u64, batch: WriteBatch) {
        let node = &mut self.nodes[n];
        let committed = node.store.as_mut().map(|store| store.commit(&batch));
        if matches!(committed, Some(Ok(_))) {
            let (process, max_sync) = (node.process, node.max_sync);
            let at = self.now + self.random.random_range(0..=max_sync);
            self.schedule(at, ScheduledEvent::Synced(n, process, number));
        }
    }

    /// The server that considers itself leader in the highest term, unless it is suspended.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            let node = &self.nodes[*n];
            node.paused_until <= self.now && node.replica.as_ref().is_some_and(|r| r.role() == Role::Leader)
        };
        let term = |n: &usize| self.nodes[*n].replica.as_ref().map_or(0, |r| r.status(self.now).term);
        (0..self.nodes.len()).filter(leads).max_by_key(term)
    }

    /// Runs until a condition holds. Returns the time that it took; the error contains the status of all
    /// servers.
    pub fn run_until_condition(
        &mut self,
        timeout: Micros,
        condition: impl Fn(&VirtualReplicatedStore) -> bool,
    ) -> Result<Micros, String> {
        let start = self.now;
        while self.now < start + timeout {
            if condition(self) {
                return Ok(self.now - start);
            }
            self.run_until(self.now + 10 * MS)?;
        }
        let status_text = |n: usize| {
            let Some(replica) = self.nodes[n].replica.as_ref() else { return format!("m{n} is down") };
            let s = replica.status(self.now);
            let replicas = s
                .replicas
                .iter()
                .map(|replica| format!("{}{}", replica.server, if replica.is_voter { "*" } else { "" }));
            let replicas: Vec<String> = replicas.collect();
            format!(
                "m{n} {} of {:04x} term {} leader {:?} applied {} commit {} last {} frozen {} fetching {:?}: {}",
                s.role, s.store_id.0 as u16, s.term, s.leader, s.applied, s.commit, s.last_index, s.frozen, s.catching_up,
                replicas.join(" ")
            )
        };
        let statuses: Vec<_> = (0..self.nodes.len()).map(status_text).collect();
        Err(format!(
            "not within {} ms, quarantined {:?}\n{}",
            timeout / MS,
            self.quarantined,
            statuses.join("\n")
        ))
    }

    /// Whether every running server has a replica of the store, `voters` of them vote, and all have applied
    /// the same entries.
    pub fn is_converged(&self, voters: usize) -> bool {
        let replicas: Vec<&Replica> = self.nodes.iter().filter_map(|node| node.replica.as_ref()).collect();
        let Some(leader) = self.leader().and_then(|n| self.replica(n)) else { return false };
        let status = leader.status(self.now);
        let voter_count = status.replicas.iter().filter(|replica| replica.is_voter).count();
        let same = |r: &&Replica| {
            r.state().applied == leader.state().applied
                && r.state().rolling_digest == leader.state().rolling_digest
                && matches!(r.role(), Role::Learner | Role::Voter | Role::Leader)
        };
        voter_count == voters && status.replicas.len() == replicas.len() && replicas.iter().all(same)
    }
}

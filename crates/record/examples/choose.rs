//! Which consensus library: both behind one small trait, on a virtual network with partial connectivity.
//! `cargo run --release -p umberloom-record --example choose`

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, BTreeMap};

use omnipaxos::messages::Message as PaxosMessage;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use omnipaxos_storage::memory_storage::MemoryStorage;
use raft::eraftpb::{ConfState, Message as RaftMessage};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole};
use rand09::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What the comparison needs of either.
trait Engine {
    type Message;
    fn new(id: u64, ids: &[u64]) -> Self;
    fn tick(&mut self);
    fn step(&mut self, message: Self::Message);
    /// Whether it took it.
    fn propose(&mut self, value: u64) -> bool;
    fn take(&mut self) -> Vec<(u64, Self::Message)>;
    fn leads(&self) -> bool;
    fn decided(&self) -> usize;
    /// A link has come back.
    fn reconnected(&mut self, _other: u64) {}
}

struct Raft {
    node: RawNode<MemStorage>,
    decided: usize,
}

impl Engine for Raft {
    type Message = RaftMessage;
    fn new(id: u64, ids: &[u64]) -> Raft {
        let config = Config { id, election_tick: 10, heartbeat_tick: 2, pre_vote: true, check_quorum: true, max_inflight_msgs: 256, ..Config::default() };
        let mut state = ConfState::default();
        state.voters = ids.to_vec();
        let storage = MemStorage::new_with_conf_state(state);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        Raft { node: RawNode::new(&config, storage, &logger).expect("sound"), decided: 0 }
    }
    fn tick(&mut self) {
        self.node.tick();
    }
    fn step(&mut self, message: RaftMessage) {
        let _ = self.node.step(message);
    }
    fn propose(&mut self, value: u64) -> bool {
        self.leads() && self.node.propose(vec![], value.to_le_bytes().to_vec()).is_ok()
    }
    fn take(&mut self) -> Vec<(u64, RaftMessage)> {
        let mut out = Vec::new();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            out.extend(ready.take_messages());
            let store = self.node.mut_store().clone();
            let mut done = ready.take_committed_entries();
            let _ = store.wl().append(ready.entries());
            if let Some(hs) = ready.hs() {
                store.wl().set_hardstate(hs.clone());
            }
            out.extend(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            out.extend(light.take_messages());
            done.extend(light.take_committed_entries());
            self.decided += done.iter().filter(|e| !e.data.is_empty()).count();
            self.node.advance_apply();
        }
        out.into_iter().map(|m| (m.to, m)).collect()
    }
    fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }
    fn decided(&self) -> usize {
        self.decided
    }
}

#[derive(Clone, Debug)]
struct Value(#[allow(dead_code)] u64);
impl omnipaxos::storage::Entry for Value {
    type Snapshot = omnipaxos::storage::NoSnapshot;
}

struct Paxos {
    node: OmniPaxos<Value, MemoryStorage<Value>>,
    id: u64,
}

impl Engine for Paxos {
    type Message = PaxosMessage<Value>;
    fn new(id: u64, ids: &[u64]) -> Paxos {
        let cluster_config = ClusterConfig { configuration_id: 1, nodes: ids.to_vec(), ..Default::default() };
        let server_config = ServerConfig { pid: id, election_tick_timeout: 10, resend_message_tick_timeout: 10, ..Default::default() };
        let config = OmniPaxosConfig { cluster_config, server_config };
        Paxos { node: config.build(MemoryStorage::default()).expect("sound"), id }
    }
    fn tick(&mut self) {
        self.node.tick();
    }
    fn step(&mut self, message: Self::Message) {
        self.node.handle_incoming(message);
    }
    fn propose(&mut self, value: u64) -> bool {
        self.leads() && self.node.append(Value(value)).is_ok()
    }
    fn take(&mut self) -> Vec<(u64, Self::Message)> {
        let mut out = Vec::new();
        self.node.take_outgoing_messages(&mut out);
        out.into_iter().map(|m| (m.get_receiver(), m)).collect()
    }
    fn leads(&self) -> bool {
        self.node.get_current_leader().is_some_and(|(l, accepts)| l == self.id && accepts)
    }
    fn decided(&self) -> usize {
        self.node.get_decided_idx()
    }
    fn reconnected(&mut self, other: u64) {
        self.node.reconnected(other);
    }
}

const MS: u64 = 1_000;
const TICK: u64 = 20 * MS;

struct Net<E: Engine> {
    now: u64,
    nodes: BTreeMap<u64, E>,
    dead: BTreeSet<u64>,
    cut: BTreeSet<(u64, u64)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    mail: BTreeMap<u64, (u64, u64, E::Message)>,
    next: u64,
    random: ChaCha8Rng,
    leader: Option<u64>,
    led: BTreeSet<u64>,
    /// What can't go directly goes by one other.
    hop: bool,
    changes: u32,
    best: usize,
    last: u64,
    gap: u64,
}

impl<E: Engine> Net<E> {
    fn new(count: u64, seed: u64) -> Net<E> {
        let ids: Vec<u64> = (1..=count).collect();
        Net {
            now: 0, nodes: ids.iter().map(|id| (*id, E::new(*id, &ids))).collect(), dead: BTreeSet::new(), cut: BTreeSet::new(),
            queue: BinaryHeap::new(), mail: BTreeMap::new(), next: 0, random: ChaCha8Rng::seed_from_u64(seed), leader: None, led: BTreeSet::new(), hop: false, changes: 0, best: 0, last: 0, gap: 0,
        }
    }
    fn both(&mut self, a: u64, b: u64) { self.cut.insert((a, b)); self.cut.insert((b, a)); }
    fn flush(&mut self, id: u64) {
        let out = self.nodes.get_mut(&id).expect("there").take();
        for (to, m) in out {
            let by = |h: &u64| !self.dead.contains(h) && !self.cut.contains(&(id, *h)) && !self.cut.contains(&(*h, to));
            let direct = !self.cut.contains(&(id, to));
            if self.dead.contains(&to) || !(direct || (self.hop && self.nodes.keys().any(by))) { continue; }
            self.next += 1;
            let wait = 500 + self.random.random_range(0..2 * MS);
            let at = self.now + if direct { wait } else { 2 * wait };
            self.queue.push(Reverse((at, self.next)));
            self.mail.insert(self.next, (id, to, m));
        }
    }
    fn run(&mut self, until: u64) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        let mut value = 0;
        while self.now < until {
            let end = self.now + TICK;
            while let Some(Reverse((at, n))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at < end) {
                self.queue.pop();
                self.now = at;
                let Some((_, to, m)) = self.mail.remove(&n) else { continue };
                if self.dead.contains(&to) { continue; }
                self.nodes.get_mut(&to).expect("there").step(m);
                self.flush(to);
            }
            self.now = end;
            for id in ids.iter().filter(|id| !self.dead.contains(id)).copied().collect::<Vec<_>>() {
                let node = self.nodes.get_mut(&id).expect("there");
                node.tick();
                value += 1;
                node.propose(value);
                match (node.leads(), self.led.contains(&id)) {
                    (true, false) => {
                        (self.leader, self.changes) = (Some(id), self.changes + 1);
                        self.led.insert(id);
                    }
                    (false, true) => drop(self.led.remove(&id)),
                    _ => {}
                }
                self.flush(id);
            }
            let best = self.nodes.values().map(E::decided).max().unwrap_or(0);
            if best > self.best { self.gap = self.gap.max(self.now - self.last); (self.best, self.last) = (best, self.now); }
        }
        self.gap = self.gap.max(self.now - self.last);
    }
}

fn scenario<E: Engine>(name: &str, hop: bool, seeds: u64) -> (Vec<u64>, Vec<u32>, Vec<usize>) {
    let (mut gaps, mut changes, mut done) = (vec![], vec![], vec![]);
    for seed in 0..seeds {
        let count = if name.starts_with("chain") { 3 } else { 5 };
        let mut net: Net<E> = Net::new(count, seed);
        net.hop = hop;
        net.run(5_000 * MS);
        let leader = net.leader.unwrap_or(1);
        let others: Vec<u64> = (1..=count).filter(|n| *n != leader).collect();
        let (h, rest) = (others[0], others[1..].to_vec());
        match name {
            "leader killed" => { net.dead.insert(leader); }
            "one way: the leader's words to all but one are lost" => for o in &rest { net.cut.insert((leader, *o)); },
            "one way: nothing reaches the leader" => for o in &others { net.cut.insert((*o, leader)); },
            "one way: one follower hears nothing" => for n in 1..=count { net.cut.insert((n, h)); },
            "bridge: two halves through one that does not lead" => { for a in [leader, rest[0]] { for b in [rest[1], rest[2]] { net.both(a, b); } } }
            "bridge: two halves through the leader" => { for a in [h, rest[0]] { for b in [rest[1], rest[2]] { net.both(a, b); } } }
            "star: all only through one that does not lead" => { let all: Vec<u64> = (1..=count).filter(|n| *n != h).collect(); for a in &all { for b in &all { if a < b { net.both(*a, *b); } } } }
            "hub behind: first cut from the leader alone, then a star, the leader gone" => {
                net.both(leader, h); net.run(6_000 * MS);
                for o in &others { net.both(leader, *o); }
                for a in &rest { for b in &rest { if a < b { net.both(*a, *b); } } }
            }
            "chain of three, the leader at an end" => { net.both(leader, rest[0]); }
            "chain of three, the leader between" => { net.both(h, rest[0]); }
            _ => {}
        }
        let before = (net.best, net.changes);
        net.gap = 0; net.last = net.now;
        let end = net.now + 30_000 * MS;
        net.run(end);
        gaps.push(net.gap / MS); changes.push(net.changes - before.1); done.push(net.best - before.0);
    }
    gaps.sort(); changes.sort(); done.sort();
    (gaps, changes, done)
}

fn main() {
    let names = ["all well", "leader killed", "one way: the leader's words to all but one are lost", "one way: nothing reaches the leader", "one way: one follower hears nothing",
        "bridge: two halves through one that does not lead", "bridge: two halves through the leader", "star: all only through one that does not lead",
        "hub behind: first cut from the leader alone, then a star, the leader gone", "chain of three, the leader at an end", "chain of three, the leader between"];
    println!("| for 30 s | library | longest time without a commit, p50 ms | most ms | leaders after it, p50 | most | commits, p50 |\n| --- | --- | --- | --- | --- | --- | --- |");
    for name in names {
        let row = |lib: &str, (g, c, d): (Vec<u64>, Vec<u32>, Vec<usize>)| {
            let m = g.len() / 2;
            println!("| {name} | {lib} | {} | {} | {} | {} | {} |", g[m], g[g.len() - 1], c[m], c[c.len() - 1], d[m]);
        };
        row("raft", scenario::<Raft>(name, false, 20));
        row("raft, one hop", scenario::<Raft>(name, true, 20));
        row("omnipaxos", scenario::<Paxos>(name, false, 20));
    }
}

//! Who is in the record: how this server comes in, what it says of itself, and what it sees to while it leads.

use std::collections::BTreeMap;

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use raft::SnapshotStatus;
use rand::Rng;
use umberloom_membership::MemberName;

use super::{Event, Other, Priority, Replica, RequestError, Role, CAUGHT_UP};
use crate::divergence;
use crate::entry::Digest;
use crate::log::{copy_batch, Copy, Log};
use crate::message::{PeerMessage, Status};
use crate::rollback::{Seen, Verdict};
use crate::state::{Member, State};
use crate::voter_selection::{self, Candidate, Change};
use crate::Micros;

impl Replica {
    pub(super) fn handle_status(&mut self, now: Micros, from: &MemberName, boot: u64, status: Status) {
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

    pub(super) fn status_every(&self) -> Micros {
        // As beats of the membership: with many members each says it more seldom.
        (self.config.election / 4).max(10_000 * self.config.others.len() as Micros)
    }

    /// Whether a returning copy may take part.
    pub(super) fn returned(&mut self, now: Micros) {
        let Some(returning) = &self.returning else { return };
        let Some(node) = &self.node else { return };
        let conf = node.store().conf();
        let name = |id: &u64| self.state.members.get(id).map(|member| MemberName::from(member.name.as_str()));
        let others: Vec<MemberName> =
            conf.voters.iter().filter(|id| **id != self.copy.id).filter_map(name).collect();
        match returning.verdict(&others) {
            Verdict::Wait => {}
            Verdict::Sound => {
                self.returning = None;
                self.tick_at = now;
            }
            Verdict::SetBack(seen) => {
                self.tell(Event::RollbackDetected(seen));
                self.set_aside(format!("others remember term {} and entry {} of it", seen.term, seen.last));
            }
        }
    }

    /// Now and then: what we are is said, and what is due is done.
    pub(super) fn look(&mut self, now: Micros) {
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
        let names: Vec<MemberName> = self.config.others.clone();
        for name in names {
            let status = self.say(&name);
            self.send(&name, PeerMessage::Status(Box::new(status)), Priority::Heartbeat);
        }
    }

    pub(super) fn say(&self, to: &MemberName) -> Status {
        let node = self.node.as_ref();
        let copy = self.others.get(to).map_or(0, |other| other.status.copy);
        Status {
            record: self.copy.record,
            copy: self.copy.id,
            from: self.state.from,
            seen: Seen { starts: self.copy.starts, term: self.durable.0, last: self.durable.1 },
            votes: matches!(self.role, Role::Voter | Role::Leader),
            applied: self.state.index,
            chain: self.state.chain,
            leader: self.leader.0.as_deref().map(MemberName::from),
            reaches: self.reached.iter().take(64).cloned().collect(),
            of_you: self.memory.of(copy),
            fetches: self.transfer.is_some(),
            snapshot: node.map_or_else(Default::default, |node| {
                let (index, manifest, _) = node.store().snapshot_bytes();
                (index, manifest)
            }),
            load: self.load,
        }
    }

    /// Without a copy: one of a record that others have; or, if nobody of the whole roster has one, a new record.
    pub(super) fn join_or_found(&mut self, now: Micros, fresh: Micros) {
        let live = |other: &&Other| now < other.heard + fresh;
        // Two records are led only where an operator decided twice: the one that more servers hold is joined.
        let mut held: BTreeMap<u64, usize> = BTreeMap::new();
        for other in self.others.values().filter(live).filter(|o| o.status.record != 0) {
            *held.entry(other.status.record).or_default() += 1;
        }
        if let Some((record, _)) = held.into_iter().max_by_key(|(_, servers)| *servers) {
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
        self.state = State::bootstrap(record, id, member);
        let (log, batch) = Log::bootstrap(id, 1, self.state.bytes());
        let batch = copy_batch(&self.copy).then(batch);
        self.persist(batch);
        self.begin(log);
        self.tell(Event::Bootstrapped(record));
    }

    /// With a copy: asks to be taken in where it is not yet, and sees when its record is another than the one that lives.
    pub(super) fn stay(&mut self, now: Micros, fresh: Micros) {
        let inside = self.state.members.contains_key(&self.copy.id);
        let live = |other: &&Other| now < other.heard + fresh;
        if !inside {
            let leader = self.others.values().filter(live).find_map(|o| {
                (o.status.record == self.copy.record).then(|| o.status.leader.clone()).flatten()
            });
            if let Some(leader) = leader {
                let word = PeerMessage::Join(self.copy.id, self.config.zone.clone());
                self.send(&leader, word, Priority::Entry);
            }
        }
        let led = |other: &&Other| {
            let record = other.status.record;
            live(other) && record != 0 && record != self.copy.record && other.status.leader.is_some()
        };
        let lone = self.leader.0.is_none() && now >= self.leader.1 + 5 * self.config.election;
        let decided = |other: &&Other| self.frozen && other.status.from == self.copy.record;
        let Some(other) = self.others.values().filter(led).max_by_key(|o| decided(o)) else {
            self.another = 0;
            return;
        };
        let record = other.status.record;
        // Ours has no leader for long, or can't go on and an operator has decided for that one: it is the old one. One that
        // is led and goes on yields to nobody: an operator who decided at a server that was only cut off must not undo
        // what a majority agrees on.
        if lone || decided(&other) {
            self.tell(Event::Obsolete(self.copy.record, record));
            self.set_aside(format!("another record ({record:016x}) is led, this one is not"));
        } else if record != self.another {
            self.another = record;
            self.tell(Event::CompetingStore(self.copy.record, record));
        }
    }

    /// An operator decides that this copy is the record from now on: a new one begins with its state. For the day on which
    /// no majority of the old one will ever come back, or all its copies differ.
    pub fn adopt(&mut self, now: Micros, at_ms: u64) -> Result<u64, RequestError> {
        if self.node.is_none() || self.state.record == 0 {
            return Err(RequestError::Outside);
        }
        let rule = |why: &str| Err(RequestError::Rule(why.to_owned()));
        if !self.frozen && self.leader.0.is_some() && self.returning.is_none() {
            return rule("a majority goes on with the record as it is: nothing is to be decided");
        }
        if !self.frozen && now < self.alone_since + 5 * self.config.election {
            return rule("a leader may still be found: ask again in a few seconds");
        }
        let (record, id) = (self.random.next_u64().max(1), self.random.next_u64().max(1));
        let member = Member { name: self.config.me.to_string(), zone: self.config.zone.to_string() };
        self.state = self.state.adopt(record, id, member, at_ms);
        self.copy = Copy { record, id, name: self.config.me.to_string(), starts: 1 };
        let (log, batch) = Log::bootstrap(id, self.state.index, self.state.bytes());
        self.steps.clear();
        (self.returning, self.transfer, self.frozen) = (None, None, false);
        self.compared.clear();
        self.durable = (1, self.state.index);
        self.persist(copy_batch(&self.copy).then(batch));
        self.begin(log);
        self.tell(Event::Bootstrapped(record));
        self.settle(now);
        Ok(record)
    }

    /// Compares copies by what their servers say. What is found must still hold once everyone has said it anew: a word from
    /// before the others went wrong too must not cost the last copy that is right.
    pub(super) fn compare(&mut self, now: Micros, fresh: Micros) {
        // Copies that are no more need no comparing; servers without disks draw a new number at each start.
        self.compared.retain(|copy, _| self.state.members.contains_key(copy));
        let Some(node) = &self.node else { return };
        let voters = &node.store().conf().voters;
        let live = |id: &u64| self.others.values().find(|o| o.status.copy == *id && now < o.heard + fresh);
        let one = |id: &u64| {
            let other = live(id);
            let same = other.and_then(|_| self.compared.get(id).copied());
            (
                divergence::Other {
                    copy: *id,
                    same,
                    says: other.map_or((0, Digest::default()), |o| (o.status.applied, o.status.chain)),
                },
                other.map_or(0, |o| o.heard),
            )
        };
        let (others, heard): (Vec<_>, Vec<_>) =
            voters.iter().filter(|id| **id != self.copy.id).map(one).unzip();
        let verdict = divergence::verdict(voters.contains(&self.copy.id), &others);
        if verdict != self.found.0 {
            self.found = (verdict.clone(), now);
        }
        let since = self.found.1;
        let anew = heard.iter().all(|at| *at == 0 || *at > since + self.status_every());
        if verdict != divergence::Verdict::Fine && !anew {
            return;
        }
        // Until all are the same again: one that leaves decides nothing for those that stay.
        let apart = others.iter().any(|other| other.same != Some(true));
        let frozen = verdict == divergence::Verdict::NobodyKnows || (self.frozen && apart);
        if frozen && !self.frozen {
            self.tell(Event::Frozen);
        }
        self.frozen = frozen;
        match verdict {
            divergence::Verdict::WeDiffer(group) => {
                self.tell(Event::LocalDivergence(group));
                self.set_aside("it differs from the copies of a majority".to_owned());
            }
            divergence::Verdict::TheyDiffer(copies) if copies != self.differing => {
                self.differing.clone_from(&copies);
                self.tell(Event::PeerDivergence(copies));
            }
            divergence::Verdict::Fine => self.differing.clear(),
            _ => {}
        }
    }

    pub(super) fn settings(&self) -> voter_selection::Settings {
        let there = (2 * self.config.election).max(4 * self.status_every());
        voter_selection::Settings {
            voters: self.config.voters,
            replace_after: self.config.replace_after,
            there,
        }
    }

    pub(super) fn candidates(&self, now: Micros) -> Vec<Candidate> {
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
                belongs: me || self.config.others.iter().any(|other| **other == *member.name),
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
    pub(super) fn lead(&mut self, now: Micros, _fresh: Micros) {
        let Some(node) = &self.node else { return };
        if node.raft.has_pending_conf() || !node.store().conf().voters_outgoing.is_empty() {
            return;
        }
        let asks = self.asks.iter().map(|(name, (copy, ..))| (name.clone(), *copy)).collect();
        if let Some(change) = voter_selection::due(&self.settings(), &self.candidates(now), &asks) {
            self.change(&change);
        }
    }

    pub(super) fn change(&mut self, change: &Change) {
        use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};
        let (steps, member): (Vec<_>, Option<Member>) = match change {
            Change::Admit(copy, old) => {
                let gone = old.iter().map(|old| (RemoveNode, *old));
                let asked = self.asks.iter().find(|(_, (asks, ..))| asks == copy);
                let member =
                    asked.map(|(name, (_, zone, _))| Member { name: name.clone(), zone: zone.clone() });
                (gone.chain([(AddLearnerNode, *copy)]).collect(), member)
            }
            Change::Remove(copy) => (vec![(RemoveNode, *copy)], None),
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
            self.tell(Event::ConfigurationChange(format!("{change:?}")));
        }
    }

    /// An operator wants a member to vote, or not to. Only a leader can do that; others pass it on.
    pub fn set_voter(&mut self, now: Micros, name: &str, votes: bool) -> Result<(), RequestError> {
        if self.role != Role::Leader {
            let leader = self.leader.0.clone().ok_or(RequestError::NoLeader)?;
            self.send(
                &MemberName::from(leader.as_str()),
                PeerMessage::Hand(name.into(), votes),
                Priority::Entry,
            );
            return Ok(());
        }
        let (settings, all) = (self.settings(), self.candidates(now));
        let change = voter_selection::by_hand(&settings, &all, self.copy.id, name, votes)
            .map_err(RequestError::Rule)?;
        self.change(&change);
        self.settle(now);
        Ok(())
    }
}

//! Who is in the record: how this server comes in, what it says of itself, and what it sees to while it leads.

use std::collections::BTreeMap;

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use raft::SnapshotStatus;
use rand::Rng;
use umberloom_membership::MemberName;

use super::{Event, Peer, Priority, Replica, RequestError, Role, CAUGHT_UP_LAG};
use crate::divergence;
use crate::entry::Digest;
use crate::log::{identity_batch, Log, ReplicaIdentity};
use crate::message::{PeerMessage, StatusMessage};
use crate::rollback::{DurableProgress, Verdict};
use crate::state::{Member, State};
use crate::voter_selection::{self, Candidate, MembershipChange};
use crate::Micros;

impl Replica {
    pub(super) fn handle_status(&mut self, now: Micros, from: &MemberName, boot: u64, status: StatusMessage) {
        if self.peers.get(from).is_some_and(|other| other.boot_id > boot) {
            return;
        }
        self.peer_progress.record(status.replica_id, status.durable);
        if let Some(returning) = &mut self.rollback_check {
            returning.handle_answer(from, status.receiver_progress);
        }
        let ours = status.store_id == self.identity.store_id && self.identity.store_id != 0;
        if ours && status.replica_id != 0 {
            if let Some(chain) = self.state.digest_at(status.applied).filter(|_| status.applied > 0) {
                self.digest_matches.insert(status.replica_id, chain == status.rolling_digest);
            }
        }
        // A copy that waits for a snapshot that it is not getting: the leader sends anew.
        let waits = self.node.as_ref().and_then(|node| node.raft.prs().get(status.replica_id));
        let stuck = waits.is_some_and(|progress| progress.state == raft::ProgressState::Snapshot);
        if ours && stuck && !status.fetching_snapshot && self.role == Role::Leader {
            let copy = status.replica_id;
            self.with_raft(|node| node.report_snapshot(copy, SnapshotStatus::Failure));
        }
        self.peers.insert(from.clone(), Peer { boot_id: boot, heard_at: now, status });
    }

    pub(super) fn status_interval(&self) -> Micros {
        // As beats of the membership: with many members each says it more seldom.
        (self.config.election_timeout / 4).max(10_000 * self.config.peers.len() as Micros)
    }

    /// Whether a returning copy may take part.
    pub(super) fn check_rollback(&mut self, now: Micros) {
        let Some(returning) = &self.rollback_check else { return };
        let Some(node) = &self.node else { return };
        let conf = node.store().conf_state();
        let name = |id: &u64| self.state.members.get(id).map(|member| MemberName::from(member.name.as_str()));
        let others: Vec<MemberName> =
            conf.voters.iter().filter(|id| **id != self.identity.replica_id).filter_map(name).collect();
        match returning.verdict(&others) {
            Verdict::Undecided => {}
            Verdict::UpToDate => {
                self.rollback_check = None;
                self.next_tick_at = now;
            }
            Verdict::RolledBack(seen) => {
                self.emit(Event::RollbackDetected(seen));
                self.quarantine(format!(
                    "others remember term {} and entry {} of it",
                    seen.term, seen.last_index
                ));
            }
        }
    }

    /// Now and then: what we are is said, and what is due is done.
    pub(super) fn run_periodic_checks(&mut self, now: Micros) {
        let fresh = 4 * self.status_interval();
        self.join_requests.retain(|_, (.., at)| now < *at + fresh);
        if self.identity.replica_id == 0 || self.identity.store_id == 0 {
            self.join_or_bootstrap(now, fresh);
        } else {
            self.check_standing(now, fresh);
        }
        self.check_divergence(now, fresh);
        if self.role == Role::Leader {
            self.adjust_membership(now, fresh);
        }
        let names: Vec<MemberName> = self.config.peers.clone();
        for name in names {
            let status = self.status_for(&name);
            self.send(&name, PeerMessage::Status(Box::new(status)), Priority::Heartbeat);
        }
    }

    pub(super) fn status_for(&self, to: &MemberName) -> StatusMessage {
        let node = self.node.as_ref();
        let copy = self.peers.get(to).map_or(0, |other| other.status.replica_id);
        StatusMessage {
            store_id: self.identity.store_id,
            replica_id: self.identity.replica_id,
            adopted_from: self.state.adopted_from,
            durable: DurableProgress {
                starts: self.identity.starts,
                term: self.durable.0,
                last_index: self.durable.1,
            },
            is_voter: matches!(self.role, Role::Voter | Role::Leader),
            applied: self.state.applied,
            rolling_digest: self.state.rolling_digest,
            leader: self.leader.0.as_deref().map(MemberName::from),
            reachable: self.reachable.iter().take(64).cloned().collect(),
            receiver_progress: self.peer_progress.progress_of(copy),
            fetching_snapshot: self.transfer.is_some(),
            snapshot: node.map_or_else(Default::default, |node| {
                let (index, manifest, _) = node.store().latest_snapshot();
                (index, manifest)
            }),
            load_percent: self.load_percent,
        }
    }

    /// Without a copy: one of a record that others have; or, if nobody of the whole roster has one, a new record.
    pub(super) fn join_or_bootstrap(&mut self, now: Micros, fresh: Micros) {
        let live = |other: &&Peer| now < other.heard_at + fresh;
        // Two records are led only where an operator decided twice: the one that more servers hold is joined.
        let mut held: BTreeMap<u64, usize> = BTreeMap::new();
        for other in self.peers.values().filter(live).filter(|o| o.status.store_id != 0) {
            *held.entry(other.status.store_id).or_default() += 1;
        }
        if let Some((record, _)) = held.into_iter().max_by_key(|(_, servers)| *servers) {
            let id = self.random.next_u64().max(1);
            self.identity = ReplicaIdentity {
                store_id: record,
                replica_id: id,
                server: self.config.me.to_string(),
                starts: 1,
            };
            let batch = identity_batch(&self.identity);
            self.persist(batch);
            return self.start_raft(Log::default());
        }
        let all = self
            .config
            .peers
            .iter()
            .all(|name| self.peers.get(name).is_some_and(|o| now < o.heard_at + fresh));
        // All are there and none has a record: the first by name begins one, so that no two do.
        let first = self.config.peers.iter().all(|name| self.config.me < *name);
        if !all || !first {
            return;
        }
        let (record, id) = (self.random.next_u64().max(1), self.random.next_u64().max(1));
        self.identity = ReplicaIdentity {
            store_id: record,
            replica_id: id,
            server: self.config.me.to_string(),
            starts: 1,
        };
        let member = Member { name: self.config.me.to_string(), zone: self.config.zone.to_string() };
        self.state = State::bootstrap(record, id, member);
        let (log, batch) = Log::bootstrap(id, 1, self.state.to_bytes());
        let batch = identity_batch(&self.identity).then(batch);
        self.persist(batch);
        self.start_raft(log);
        self.emit(Event::Bootstrapped(record));
    }

    /// With a copy: asks to be taken in where it is not yet, and sees when its record is another than the one that lives.
    pub(super) fn check_standing(&mut self, now: Micros, fresh: Micros) {
        let inside = self.state.members.contains_key(&self.identity.replica_id);
        let live = |other: &&Peer| now < other.heard_at + fresh;
        if !inside {
            let leader = self.peers.values().filter(live).find_map(|o| {
                (o.status.store_id == self.identity.store_id).then(|| o.status.leader.clone()).flatten()
            });
            if let Some(leader) = leader {
                let word = PeerMessage::Join(self.identity.replica_id, self.config.zone.clone());
                self.send(&leader, word, Priority::Entry);
            }
        }
        let led = |other: &&Peer| {
            let record = other.status.store_id;
            live(other) && record != 0 && record != self.identity.store_id && other.status.leader.is_some()
        };
        let lone = self.leader.0.is_none() && now >= self.leader.1 + 5 * self.config.election_timeout;
        let decided = |other: &&Peer| self.frozen && other.status.adopted_from == self.identity.store_id;
        let Some(other) = self.peers.values().filter(led).max_by_key(|o| decided(o)) else {
            self.competing_store = 0;
            return;
        };
        let record = other.status.store_id;
        // Ours has no leader for long, or can't go on and an operator has decided for that one: it is the old one. One that
        // is led and goes on yields to nobody: an operator who decided at a server that was only cut off must not undo
        // what a majority agrees on.
        if lone || decided(&other) {
            self.emit(Event::Obsolete(self.identity.store_id, record));
            self.quarantine(format!("another record ({record:016x}) is led, this one is not"));
        } else if record != self.competing_store {
            self.competing_store = record;
            self.emit(Event::CompetingStore(self.identity.store_id, record));
        }
    }

    /// An operator decides that this copy is the record from now on: a new one begins with its state. For the day on which
    /// no majority of the old one will ever come back, or all its copies differ.
    pub fn adopt(&mut self, now: Micros, at_ms: u64) -> Result<u64, RequestError> {
        if self.node.is_none() || self.state.store_id == 0 {
            return Err(RequestError::Outside);
        }
        let rule = |why: &str| Err(RequestError::NotAllowed(why.to_owned()));
        if !self.frozen && self.leader.0.is_some() && self.rollback_check.is_none() {
            return rule("a majority goes on with the record as it is: nothing is to be decided");
        }
        if !self.frozen && now < self.leaderless_since + 5 * self.config.election_timeout {
            return rule("a leader may still be found: ask again in a few seconds");
        }
        let (record, id) = (self.random.next_u64().max(1), self.random.next_u64().max(1));
        let member = Member { name: self.config.me.to_string(), zone: self.config.zone.to_string() };
        self.state = self.state.adopt(record, id, member, at_ms);
        self.identity = ReplicaIdentity {
            store_id: record,
            replica_id: id,
            server: self.config.me.to_string(),
            starts: 1,
        };
        let (log, batch) = Log::bootstrap(id, self.state.applied, self.state.to_bytes());
        self.pending_steps.clear();
        (self.rollback_check, self.transfer, self.frozen) = (None, None, false);
        self.digest_matches.clear();
        self.durable = (1, self.state.applied);
        self.persist(identity_batch(&self.identity).then(batch));
        self.start_raft(log);
        self.emit(Event::Bootstrapped(record));
        self.process_ready(now);
        Ok(record)
    }

    /// Compares copies by what their servers say. What is found must still hold once everyone has said it anew: a word from
    /// before the others went wrong too must not cost the last copy that is right.
    pub(super) fn check_divergence(&mut self, now: Micros, fresh: Micros) {
        // Copies that are no more need no comparing; servers without disks draw a new number at each start.
        self.digest_matches.retain(|copy, _| self.state.members.contains_key(copy));
        let Some(node) = &self.node else { return };
        let voters = &node.store().conf_state().voters;
        let live =
            |id: &u64| self.peers.values().find(|o| o.status.replica_id == *id && now < o.heard_at + fresh);
        let one = |id: &u64| {
            let other = live(id);
            let same = other.and_then(|_| self.digest_matches.get(id).copied());
            (
                divergence::PeerComparison {
                    replica_id: *id,
                    matches: same,
                    position: other
                        .map_or((0, Digest::default()), |o| (o.status.applied, o.status.rolling_digest)),
                },
                other.map_or(0, |o| o.heard_at),
            )
        };
        let (others, heard): (Vec<_>, Vec<_>) =
            voters.iter().filter(|id| **id != self.identity.replica_id).map(one).unzip();
        let verdict = divergence::verdict(voters.contains(&self.identity.replica_id), &others);
        if verdict != self.found.0 {
            self.found = (verdict.clone(), now);
        }
        let since = self.found.1;
        let anew = heard.iter().all(|at| *at == 0 || *at > since + self.status_interval());
        if verdict != divergence::Verdict::NoDivergence && !anew {
            return;
        }
        // Until all are the same again: one that leaves decides nothing for those that stay.
        let apart = others.iter().any(|other| other.matches != Some(true));
        let frozen = verdict == divergence::Verdict::NoMajority || (self.frozen && apart);
        if frozen && !self.frozen {
            self.emit(Event::Frozen);
        }
        self.frozen = frozen;
        match verdict {
            divergence::Verdict::LocalDiverged(group) => {
                self.emit(Event::LocalDivergence(group));
                self.quarantine("it differs from the copies of a majority".to_owned());
            }
            divergence::Verdict::PeersDiverged(copies) if copies != self.reported_divergence => {
                self.reported_divergence.clone_from(&copies);
                self.emit(Event::PeerDivergence(copies));
            }
            divergence::Verdict::NoDivergence => self.reported_divergence.clear(),
            _ => {}
        }
    }

    pub(super) fn voter_policy(&self) -> voter_selection::VoterPolicy {
        let there = (2 * self.config.election_timeout).max(4 * self.status_interval());
        voter_selection::VoterPolicy {
            voters: self.config.voters,
            replace_after: self.config.replace_after,
            reachable_within: there,
        }
    }

    pub(super) fn candidates(&self, now: Micros) -> Vec<Candidate> {
        let Some(node) = &self.node else { return Vec::new() };
        let commit = node.raft.raft_log.committed;
        let one = |(copy, member): (&u64, &Member)| {
            let other = self.peers.get(member.name.as_str()).filter(|o| o.status.replica_id == *copy);
            let heard = other.map_or(0, |o| o.heard_at).max(self.leads_since);
            let me = *copy == self.identity.replica_id;
            Candidate {
                replica_id: *copy,
                name: member.name.clone(),
                zone: member.zone.clone(),
                is_voter: node.store().conf_state().voters.contains(copy),
                is_configured: me || self.config.peers.iter().any(|other| **other == *member.name),
                silent_for: if me { 0 } else { now.saturating_sub(heard) },
                caught_up: me || {
                    let progress = node.raft.prs().get(*copy);
                    let goes =
                        |p: &&raft::Progress| p.state != raft::ProgressState::Snapshot && p.matched > 0;
                    progress.filter(goes).is_some_and(|p| p.matched + CAUGHT_UP_LAG >= commit)
                },
                load: other.map_or(0, |o| u32::from(o.status.load_percent)),
            }
        };
        self.state.members.iter().map(one).collect()
    }

    /// A leader sees to who is in the record.
    pub(super) fn adjust_membership(&mut self, now: Micros, _fresh: Micros) {
        let Some(node) = &self.node else { return };
        if node.raft.has_pending_conf() || !node.store().conf_state().voters_outgoing.is_empty() {
            return;
        }
        let asks = self.join_requests.iter().map(|(name, (copy, ..))| (name.clone(), *copy)).collect();
        if let Some(change) = voter_selection::next_change(&self.voter_policy(), &self.candidates(now), &asks)
        {
            self.propose_change(&change);
        }
    }

    pub(super) fn propose_change(&mut self, change: &MembershipChange) {
        use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};
        let (steps, member): (Vec<_>, Option<Member>) = match change {
            MembershipChange::AddLearner(copy, old) => {
                let gone = old.iter().map(|old| (RemoveNode, *old));
                let asked = self.join_requests.iter().find(|(_, (asks, ..))| asks == copy);
                let member =
                    asked.map(|(name, (_, zone, _))| Member { name: name.clone(), zone: zone.clone() });
                (gone.chain([(AddLearnerNode, *copy)]).collect(), member)
            }
            MembershipChange::Remove(copy) => (vec![(RemoveNode, *copy)], None),
            MembershipChange::Promote(copy) => (vec![(AddNode, *copy)], None),
            MembershipChange::Demote(copy) => (vec![(AddLearnerNode, *copy)], None),
            MembershipChange::Replace(new, old) => (vec![(AddNode, *new), (AddLearnerNode, *old)], None),
        };
        let mut all = ConfChangeV2::default();
        for (kind, id) in steps {
            let mut one = ConfChangeSingle::default();
            one.set_change_type(kind);
            one.node_id = id;
            all.changes.push(one);
        }
        all.context = postcard::to_allocvec(&member).unwrap_or_default().into();
        let proposed = self.with_raft(|node| node.propose_conf_change(vec![], all).is_ok());
        if proposed == Some(true) {
            self.emit(Event::ConfigurationChange(format!("{change:?}")));
        }
    }

    /// An operator wants a member to vote, or not to. Only a leader can do that; others pass it on.
    pub fn set_voter(&mut self, now: Micros, name: &str, votes: bool) -> Result<(), RequestError> {
        if self.role != Role::Leader {
            let leader = self.leader.0.clone().ok_or(RequestError::NoLeader)?;
            self.send(
                &MemberName::from(leader.as_str()),
                PeerMessage::SetVoter(name.into(), votes),
                Priority::Entry,
            );
            return Ok(());
        }
        let (settings, all) = (self.voter_policy(), self.candidates(now));
        let change =
            voter_selection::requested_change(&settings, &all, self.identity.replica_id, name, votes)
                .map_err(RequestError::NotAllowed)?;
        self.propose_change(&change);
        self.process_ready(now);
        Ok(())
    }
}

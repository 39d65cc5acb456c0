//! Membership of the store: how this server joins, bootstraps or adopts a store, and which membership changes
//! it makes while it leads.

use std::collections::BTreeMap;

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use raft::{Progress, ProgressState};
use rand::Rng;
use umberloom_membership::MemberName;

use super::{Event, Peer, Priority, Replica, RequestError, Role, CAUGHT_UP_LAG};
use crate::ids::StoreId;
use crate::log::{identity_batch, Log, LogPosition, ReplicaIdentity};
use crate::message::{OfferedSnapshot, PeerMessage, StatusMessage};
use crate::rollback::DurableProgress;
use crate::state::{Member, State};
use crate::voter_selection::{self, Candidate, MembershipChange, VoterPolicy};
use crate::Micros;

/// Upper bound of the reachable members in a status message.
const MAX_REPORTED_REACHABLE: usize = 64;
/// Number of election timeouts without a leader after which no election is expected to succeed.
const LEADERLESS_ELECTION_TIMEOUTS: u64 = 5;

/// A request of a replica to be admitted to the store.
pub(super) struct JoinRequest {
    pub(super) replica_id: u64,
    pub(super) zone: String,
    pub(super) received_at: Micros,
}

impl Replica {
    /// Time between two status messages to each peer: a quarter of the election timeout, and at least 10 ms
    /// per peer. As with the membership's heartbeats, the interval grows with the number of members.
    pub(super) fn status_interval(&self) -> Micros {
        (self.config.election_timeout / 4).max(10_000 * self.config.peers.len() as Micros)
    }

    /// Runs at each status interval: joins or bootstraps a store, looks for competing stores and divergence,
    /// changes the membership if this server leads, and sends a status to all peers.
    pub(super) fn run_periodic_checks(&mut self, now: Micros) {
        let status_max_age = 4 * self.status_interval();
        self.join_requests.retain(|_, request| now < request.received_at + status_max_age);
        if self.identity.replica_id == 0 || self.identity.store_id.is_none() {
            self.join_or_bootstrap(now, status_max_age);
        } else {
            self.request_admission(now, status_max_age);
            self.check_competing_stores(now, status_max_age);
        }
        self.check_divergence(now, status_max_age);
        if self.role == Role::Leader {
            self.adjust_membership(now);
        }
        for peer in self.config.peers.clone() {
            let status = self.status_for(&peer);
            self.send(&peer, &PeerMessage::Status(Box::new(status)), Priority::Heartbeat);
        }
    }

    fn status_for(&self, receiver: &MemberName) -> StatusMessage {
        let receiver_id = self.peers.get(receiver).map_or(0, |peer| peer.status.replica_id);
        let durable = self.persistence.durable;
        let snapshot = self.node.as_ref().map(|node| {
            let snapshot = node.store().latest_snapshot();
            OfferedSnapshot { index: snapshot.index, manifest: snapshot.manifest }
        });
        StatusMessage {
            store_id: self.identity.store_id,
            replica_id: self.identity.replica_id,
            adopted_from: self.state.adopted_from,
            durable: DurableProgress {
                starts: self.identity.starts,
                term: durable.term,
                last_index: durable.index,
            },
            is_voter: matches!(self.role, Role::Voter | Role::Leader),
            applied: self.state.applied,
            rolling_digest: self.state.rolling_digest,
            leader: self.leader.name.as_deref().map(MemberName::from),
            reachable: self.reachable.iter().take(MAX_REPORTED_REACHABLE).cloned().collect(),
            receiver_progress: self.peer_progress.progress_of(receiver_id),
            fetching_snapshot: self.snapshots.transfer.is_some(),
            snapshot: snapshot.unwrap_or_default(),
            load_percent: self.load_percent,
        }
    }

    /// The identity of a new replica of this server.
    fn new_identity(&self, store_id: StoreId, replica_id: u64) -> ReplicaIdentity {
        ReplicaIdentity { store_id, replica_id, server: self.config.me.to_string(), starts: 1 }
    }

    fn own_member(&self) -> Member {
        Member { name: self.config.me.to_string(), zone: self.config.zone.to_string() }
    }

    fn draw_id(&mut self) -> u64 {
        // Id 0 stands for no replica or store.
        self.random.next_u64().max(1)
    }

    /// Runs while this server has no replica: joins the store of other members, or bootstraps one if no
    /// member of the complete fleet has one.
    fn join_or_bootstrap(&mut self, now: Micros, status_max_age: Micros) {
        let is_live = |peer: &Peer| now < peer.heard_at + status_max_age;
        // Members have more than one store only after adoptions by an operator: the one on more servers is
        // joined.
        let mut servers_by_store: BTreeMap<StoreId, usize> = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| is_live(peer) && !peer.status.store_id.is_none()) {
            *servers_by_store.entry(peer.status.store_id).or_default() += 1;
        }
        if let Some((store_id, _)) = servers_by_store.into_iter().max_by_key(|(_, servers)| *servers) {
            return self.join(store_id);
        }
        let is_complete = self.config.peers.iter().all(|name| self.peers.get(name).is_some_and(is_live));
        // All members are live and none has a store: the first by name bootstraps it, so that only one does.
        let is_first = self.config.peers.iter().all(|name| self.config.me < *name);
        if is_complete && is_first {
            self.bootstrap();
        }
    }

    fn join(&mut self, store_id: StoreId) {
        let replica_id = self.draw_id();
        self.identity = self.new_identity(store_id, replica_id);
        self.persist(identity_batch(&self.identity));
        self.start_raft(Log::default());
    }

    fn bootstrap(&mut self) {
        let store_id = StoreId(self.draw_id());
        let replica_id = self.draw_id();
        self.identity = self.new_identity(store_id, replica_id);
        self.state = State::bootstrap(store_id, replica_id, self.own_member());
        let (log, batch) = Log::bootstrap(replica_id, 1, self.state.to_bytes());
        self.persist(identity_batch(&self.identity).then(batch));
        self.start_raft(log);
        self.emit(Event::Bootstrapped { store_id });
    }

    /// Asks the leader to admit this replica, unless it is a member already.
    fn request_admission(&mut self, now: Micros, status_max_age: Micros) {
        if self.state.members.contains_key(&self.identity.replica_id) {
            return;
        }
        let leader = self
            .peers
            .values()
            .filter(|peer| now < peer.heard_at + status_max_age)
            .filter(|peer| peer.status.store_id == self.identity.store_id)
            .find_map(|peer| peer.status.leader.clone());
        if let Some(leader) = leader {
            let replica_id = self.identity.replica_id;
            let join = PeerMessage::Join { replica_id, zone: self.config.zone.clone() };
            self.send(&leader, &join, Priority::Entry);
        }
    }

    /// Looks for another store that has a leader, and decides whether it has replaced this one or competes
    /// with it.
    fn check_competing_stores(&mut self, now: Micros, status_max_age: Micros) {
        let own_store = self.identity.store_id;
        let reports_other_leader = |peer: &&Peer| {
            let status = &peer.status;
            let is_other_store = !status.store_id.is_none() && status.store_id != own_store;
            now < peer.heard_at + status_max_age && is_other_store && status.leader.is_some()
        };
        let election_timeout = self.config.election_timeout;
        let is_leaderless = self.leader.name.is_none()
            && now >= self.leader.heard_at + LEADERLESS_ELECTION_TIMEOUTS * election_timeout;
        let frozen = self.comparison.frozen;
        let has_adopted = |peer: &Peer| frozen && peer.status.adopted_from == own_store;
        let Some(peer) =
            self.peers.values().filter(reports_other_leader).max_by_key(|peer| has_adopted(peer))
        else {
            self.competing_store = StoreId::NONE;
            return;
        };
        let led_store = peer.status.store_id;
        // Our store is obsolete if it has had no leader for long, or if it is frozen and an operator has
        // adopted the other one. A store that has a leader and is not frozen stays: an operator who adopted a
        // replica that was only partitioned must not undo what a majority has committed.
        if is_leaderless || has_adopted(peer) {
            self.emit(Event::Obsolete { own_store, led_store });
            self.quarantine(format!("record {led_store:016x} has replaced this one"));
        } else if led_store != self.competing_store {
            self.competing_store = led_store;
            self.emit(Event::CompetingStore { own_store, led_store });
        }
    }

    /// Adopts this replica on an operator's request: a new store starts from its state. This is for a store
    /// whose majority is lost for good, or whose replicas all differ. `at_ms` is Unix time in milliseconds,
    /// for the history.
    pub fn adopt(&mut self, now: Micros, at_ms: u64) -> Result<StoreId, RequestError> {
        if self.node.is_none() || self.state.store_id.is_none() {
            return Err(RequestError::Outside);
        }
        self.check_adoption(now)?;
        let store_id = StoreId(self.draw_id());
        let replica_id = self.draw_id();
        self.state = self.state.adopt(store_id, replica_id, self.own_member(), at_ms);
        self.identity = self.new_identity(store_id, replica_id);
        let (log, batch) = Log::bootstrap(replica_id, self.state.applied, self.state.to_bytes());
        self.persistence.clear();
        self.persistence.durable = LogPosition { term: 1, index: self.state.applied };
        self.rollback_check = None;
        self.snapshots.transfer = None;
        self.comparison.frozen = false;
        self.comparison.forget_matches();
        self.persist(identity_batch(&self.identity).then(batch));
        self.start_raft(log);
        self.emit(Event::Bootstrapped { store_id });
        self.process_ready(now);
        Ok(store_id)
    }

    /// Rejects an adoption while the store has a leader or may still elect one, unless it is frozen.
    fn check_adoption(&self, now: Micros) -> Result<(), RequestError> {
        let reject = |reason: &str| Err(RequestError::NotAllowed(reason.to_owned()));
        if self.comparison.frozen {
            return Ok(());
        }
        if self.leader.name.is_some() && self.rollback_check.is_none() {
            return reject("the record has a leader and continues: nothing is to be decided");
        }
        if now < self.leaderless_since + LEADERLESS_ELECTION_TIMEOUTS * self.config.election_timeout {
            return reject("a leader may still be elected: try again in a few seconds");
        }
        Ok(())
    }

    fn voter_policy(&self) -> VoterPolicy {
        VoterPolicy {
            voters: self.config.voters,
            replace_after: self.config.replace_after,
            reachable_within: (2 * self.config.election_timeout).max(4 * self.status_interval()),
        }
    }

    /// All replicas of the store as this leader sees them; empty if this server has no replica.
    pub(super) fn candidates(&self, now: Micros) -> Vec<Candidate> {
        self.state.members.iter().filter_map(|(id, member)| self.candidate(now, *id, member)).collect()
    }

    fn candidate(&self, now: Micros, replica_id: u64, member: &Member) -> Option<Candidate> {
        let node = self.node.as_ref()?;
        let peer = self.peers.get(member.name.as_str()).filter(|peer| peer.status.replica_id == replica_id);
        let is_self = replica_id == self.identity.replica_id;
        let last_heard_at = peer.map_or(0, |peer| peer.heard_at).max(self.leads_since);
        let committed = node.raft.raft_log.committed;
        let has_caught_up = |progress: &Progress| {
            progress.state != ProgressState::Snapshot
                && progress.matched > 0
                && progress.matched + CAUGHT_UP_LAG >= committed
        };
        Some(Candidate {
            replica_id,
            name: member.name.clone(),
            zone: member.zone.clone(),
            is_voter: self.is_voter(replica_id),
            is_configured: is_self || self.config.peers.iter().any(|peer| **peer == *member.name),
            silent_for: if is_self { 0 } else { now.saturating_sub(last_heard_at) },
            caught_up: is_self || node.raft.prs().get(replica_id).is_some_and(has_caught_up),
            load: peer.map_or(0, |peer| u32::from(peer.status.load_percent)),
        })
    }

    /// Proposes the membership change that is due, if any, unless another one is in progress. Called on the
    /// leader.
    fn adjust_membership(&mut self, now: Micros) {
        let Some(node) = &self.node else { return };
        if node.raft.has_pending_conf() || !node.store().conf_state().voters_outgoing.is_empty() {
            return;
        }
        let join_requests =
            self.join_requests.iter().map(|(name, request)| (name.clone(), request.replica_id)).collect();
        let candidates = self.candidates(now);
        if let Some(change) = voter_selection::next_change(&self.voter_policy(), &candidates, &join_requests)
        {
            self.propose_change(change);
        }
    }

    fn propose_change(&mut self, change: MembershipChange) {
        let mut proposal = ConfChangeV2::default();
        for (kind, replica_id) in conf_change_steps(&change) {
            let mut step = ConfChangeSingle::default();
            step.set_change_type(kind);
            step.node_id = replica_id;
            proposal.changes.push(step);
        }
        let new_member = self.member_to_add(&change);
        proposal.context = postcard::to_allocvec(&new_member).unwrap_or_default().into();
        let proposed = self.with_raft(|node| node.propose_conf_change(vec![], proposal).is_ok());
        if proposed == Some(true) {
            self.emit(Event::ConfigurationChange { change });
        }
    }

    /// The member that a change adds. It is part of the proposal, so that all replicas learn its name and
    /// zone.
    fn member_to_add(&self, change: &MembershipChange) -> Option<Member> {
        let MembershipChange::AddLearner { replica_id, .. } = change else { return None };
        let request = self.join_requests.iter().find(|(_, request)| request.replica_id == *replica_id);
        request.map(|(name, request)| Member { name: name.clone(), zone: request.zone.clone() })
    }

    /// Makes a member a voter or a learner on an operator's request. Only the leader can do that; other
    /// members forward the request to it without waiting for the result.
    pub fn set_voter(&mut self, now: Micros, name: &str, is_voter: bool) -> Result<(), RequestError> {
        if self.role != Role::Leader {
            let leader = self.leader.name.as_deref().ok_or(RequestError::NoLeader)?;
            let leader = MemberName::from(leader);
            let request = PeerMessage::SetVoter { member: name.into(), is_voter };
            self.send(&leader, &request, Priority::Entry);
            return Ok(());
        }
        let candidates = self.candidates(now);
        let own_id = self.identity.replica_id;
        let change =
            voter_selection::requested_change(&self.voter_policy(), &candidates, own_id, name, is_voter)
                .map_err(|error| RequestError::NotAllowed(error.to_string()))?;
        self.propose_change(change);
        self.process_ready(now);
        Ok(())
    }
}

/// The steps of a membership change for the Raft library, in order.
fn conf_change_steps(change: &MembershipChange) -> Vec<(ConfChangeType, u64)> {
    use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};
    match change {
        MembershipChange::AddLearner { replica_id, replaces } => {
            let mut steps: Vec<_> = replaces.iter().map(|old| (RemoveNode, *old)).collect();
            steps.push((AddLearnerNode, *replica_id));
            steps
        }
        MembershipChange::Remove { replica_id } => vec![(RemoveNode, *replica_id)],
        MembershipChange::Promote { replica_id } => vec![(AddNode, *replica_id)],
        MembershipChange::Demote { replica_id } => vec![(AddLearnerNode, *replica_id)],
        MembershipChange::Replace { new_voter, old_voter } => {
            vec![(AddNode, *new_voter), (AddLearnerNode, *old_voter)]
        }
    }
}

//! The states of members, this server's partition status, and the comparison of views with other members.

use super::{Delivery, Membership};
use crate::identity::{Identity, MemberName};
use crate::interface::Event;
use crate::member::{MemberRecord, MemberState};
use crate::partition::ReachCount;
use crate::session::Session;
use crate::view::ViewDivergence;
use crate::wire::{Body, ViewRow};
use crate::Micros;

/// The identity and state of a member according to gossip.
struct GossipState {
    identity: Identity,
    incarnation: u16,
    state: foca::State,
}

/// Returns the member's state and its cause as shown to operators, from the state in gossip and whether the
/// process has announced that it will leave.
fn state_and_cause(state: foca::State, leaving: bool) -> (MemberState, &'static str) {
    match state {
        foca::State::Alive if leaving => (MemberState::Leaving, "it said that it leaves"),
        foca::State::Alive => (MemberState::Present, "it answers, to us or to others"),
        foca::State::Suspect => (MemberState::Suspected, "a probe brought nothing, by us or by others"),
        foca::State::Down if leaving => (MemberState::Left, "it said that it leaves, and is gone"),
        foca::State::Down => (MemberState::Failed, "a suspicion was not refuted in time"),
    }
}

impl Membership {
    /// Updates the states of members from gossip, and the partition status from direct evidence.
    pub(super) fn refresh_members(&mut self, now: Micros) {
        let mut changed = self.view.rows.len() != self.config.roster_size();
        let gossip: Vec<GossipState> = self
            .swim
            .members()
            .filter(|member| self.sessions.contains_key(&member.id().name))
            .map(|member| GossipState {
                identity: member.id().clone(),
                incarnation: member.incarnation(),
                state: member.state(),
            })
            .collect();
        for member in gossip {
            changed |= self.refresh_member(now, &member);
        }
        if changed {
            self.rebuild_view();
        }
        self.refresh_partition_status(now);
    }

    /// Updates one member. Returns whether its process or state has changed.
    fn refresh_member(&mut self, now: Micros, member: &GossipState) -> bool {
        let GossipState { identity, incarnation, state } = member;
        let record = self.records.entry(identity.name.clone()).or_insert_with(|| MemberRecord::new(now));
        let process_changed = record.boot_id != identity.boot_id;
        record.boot_id = identity.boot_id;
        record.incarnation = *incarnation;
        record.renewal = identity.renewal;
        let leaving = record.leaving_boot_id == Some(identity.boot_id);
        let (to, cause) = state_and_cause(*state, leaving);
        let from = record.state;
        if from == to {
            return process_changed;
        }
        record.set_state(now, to, cause.to_owned());
        let (name, cause) = (identity.name.clone(), cause.to_owned());
        self.outbox.push_event(Event::MemberStateChanged { name, from, to, cause });
        true
    }

    fn refresh_partition_status(&mut self, now: Micros) {
        if self.fencing.is_fenced() {
            return;
        }
        let count = self.count_reachable(now);
        if let Some(change) = self.partition.update(now, count) {
            let cause = self.describe_reach(now, count);
            let event = Event::PartitionStatusChanged { from: change.from, to: change.to, cause };
            self.outbox.push_event(event);
        }
    }

    /// Rebuilds this server's view from the states of the members of the roster.
    fn rebuild_view(&mut self) {
        let row = |name: &MemberName, boot_id: u64, present: bool| ViewRow {
            name: name.clone(),
            boot_id: if present { boot_id } else { 0 },
            present,
        };
        let mut rows = vec![row(&self.config.name, self.boot_id(), true)];
        rows.extend(self.config.peers.iter().map(|peer| match self.records.get(&peer.name) {
            Some(record) => row(&peer.name, record.boot_id, record.state.is_present()),
            None => row(&peer.name, 0, false),
        }));
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        self.view.replace(rows);
    }

    /// Compares the digest of a member's view with that of this server's, and reports divergence or
    /// convergence.
    pub(super) fn compare_views(
        &mut self,
        now: Micros,
        peer: &MemberName,
        own_digest: u64,
        their_digest: u64,
    ) {
        let Some(session) = self.sessions.get_mut(peer).filter(|session| session.in_roster) else { return };
        if their_digest == own_digest {
            session.views_differ_since = None;
            if self.divergences.remove(peer).is_some() {
                self.outbox.push_event(Event::ViewsConverged { peer: peer.clone() });
            }
            return;
        }
        let since = *session.views_differ_since.get_or_insert(now);
        let is_past_timeout = now - since >= self.config.timing.divergence_timeout;
        let (valid_from, timeout) = (self.clock.evidence_valid_from, self.config.evidence_timeout());
        let reachable = session.is_reachable(now, valid_from, timeout);
        if is_past_timeout && reachable && !self.divergences.contains_key(peer) {
            let (ours, theirs) = (self.view.rows.clone(), Vec::new());
            let divergence = ViewDivergence { peer: peer.clone(), since, ours, theirs };
            self.divergences.insert(peer.clone(), divergence);
            self.outbox.push_event(Event::ViewsDiverged { peer: peer.clone() });
            self.send_body(now, peer, Body::ViewRequest, Delivery::DatagramAndStream);
        }
    }

    pub(super) fn is_session_reachable(&self, now: Micros, session: &Session) -> bool {
        session.is_reachable(now, self.clock.evidence_valid_from, self.config.evidence_timeout())
    }

    pub(super) fn roster_sessions(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values().filter(|session| session.in_roster)
    }

    /// Counts the reachable members of the roster by direct evidence, and those that have left.
    pub(super) fn count_reachable(&self, now: Micros) -> ReachCount {
        let has_left = |session: &Session| {
            self.records.get(&session.name).is_some_and(|record| record.state == MemberState::Left)
        };
        let mut count = ReachCount { roster: self.config.roster_size(), reached: 1, left: 0 };
        for session in self.roster_sessions() {
            if self.is_session_reachable(now, session) {
                count.reached += 1;
            } else if has_left(session) {
                count.left += 1;
            }
        }
        count
    }
}

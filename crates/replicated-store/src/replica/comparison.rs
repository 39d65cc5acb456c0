//! Status messages of peers: rollback check and comparison of replicas.

use std::collections::BTreeMap;

use raft::{ProgressState, SnapshotStatus};
use umberloom_membership::MemberName;

use super::{Event, Peer, Replica, Role};
use crate::divergence::{self, PeerComparison, Position, Verdict as Divergence};
use crate::message::StatusMessage;
use crate::rollback::Verdict as RollbackVerdict;
use crate::Micros;

/// State of the comparison with other replicas.
pub(super) struct Comparison {
    /// By replica id, whether the rolling digest of the replica's last comparable status equals ours at that
    /// index.
    matches: BTreeMap<u64, bool>,
    /// Ids of the diverged replicas that were reported last.
    reported: Vec<u64>,
    verdict: Divergence,
    /// When the verdict last changed.
    verdict_since: Micros,
    /// Whether writes are rejected because replicas differ and no majority agrees.
    pub(super) frozen: bool,
}

impl Comparison {
    pub(super) fn new(now: Micros) -> Comparison {
        Comparison {
            matches: BTreeMap::new(),
            reported: Vec::new(),
            verdict: Divergence::NoDivergence,
            verdict_since: now,
            frozen: false,
        }
    }

    /// Discards all comparisons, because this replica's state was replaced.
    pub(super) fn forget_matches(&mut self) {
        self.matches.clear();
    }
}

impl Replica {
    /// Handles a member's status, unless it is from an earlier process of that member.
    pub(super) fn handle_status(
        &mut self,
        now: Micros,
        from: &MemberName,
        boot_id: u64,
        status: StatusMessage,
    ) {
        if self.peers.get(from).is_some_and(|peer| peer.boot_id > boot_id) {
            return;
        }
        self.peer_progress.record(status.replica_id, status.durable);
        if let Some(rollback_check) = &mut self.rollback_check {
            rollback_check.handle_answer(from, status.receiver_progress);
        }
        if status.store_id == self.identity.store_id && !self.identity.store_id.is_none() {
            self.compare_digest(&status);
            self.restart_stalled_snapshot(&status);
        }
        self.peers.insert(from.clone(), Peer { boot_id, heard_at: now, status });
    }

    /// Compares the rolling digest of a status with ours at the same index, if we still remember it.
    fn compare_digest(&mut self, status: &StatusMessage) {
        if status.replica_id == 0 || status.applied == 0 {
            return;
        }
        if let Some(own_digest) = self.state.digest_at(status.applied) {
            self.comparison.matches.insert(status.replica_id, own_digest == status.rolling_digest);
        }
    }

    /// On the leader: makes the library offer its snapshot again if it waits for a replica that is not
    /// fetching one.
    fn restart_stalled_snapshot(&mut self, status: &StatusMessage) {
        if status.fetching_snapshot || self.role != Role::Leader {
            return;
        }
        let progress = self.node.as_ref().and_then(|node| node.raft.prs().get(status.replica_id));
        if progress.is_some_and(|progress| progress.state == ProgressState::Snapshot) {
            self.with_raft(|node| node.report_snapshot(status.replica_id, SnapshotStatus::Failure));
        }
    }

    /// Acts on the result of the rollback check, if one is in progress.
    pub(super) fn check_rollback(&mut self, now: Micros) {
        let Some(rollback_check) = &self.rollback_check else { return };
        let Some(node) = &self.node else { return };
        let own_id = self.identity.replica_id;
        let other_voters: Vec<MemberName> = node
            .store()
            .conf_state()
            .voters
            .iter()
            .filter(|id| **id != own_id)
            .filter_map(|id| self.state.members.get(id))
            .map(|member| MemberName::from(member.name.as_str()))
            .collect();
        match rollback_check.verdict(&other_voters) {
            RollbackVerdict::Undecided => {}
            RollbackVerdict::UpToDate => {
                self.rollback_check = None;
                self.next_tick_at = now;
            }
            RollbackVerdict::RolledBack(remembered) => {
                self.emit(Event::RollbackDetected { remembered });
                let (term, index) = (remembered.term, remembered.last_index);
                self.quarantine(format!("peers remember term {term} and entry {index} of this replica"));
            }
        }
    }

    /// Compares replicas by their statuses. A verdict is acted on only if it still holds after all live
    /// voters have reported again: otherwise a status from before the other replicas went wrong too could
    /// quarantine the last replica that is right.
    pub(super) fn check_divergence(&mut self, now: Micros, status_max_age: Micros) {
        // Removed replicas are forgotten. Servers without disks draw a new replica id at each start, so the
        // map would grow.
        let members = &self.state.members;
        self.comparison.matches.retain(|id, _| members.contains_key(id));
        let Some(node) = &self.node else { return };
        let voters = &node.store().conf_state().voters;
        let own_id = self.identity.replica_id;
        let others: Vec<(u64, Option<&Peer>)> = voters
            .iter()
            .filter(|id| **id != own_id)
            .map(|id| (*id, self.live_peer(now, status_max_age, *id)))
            .collect();
        let comparisons: Vec<PeerComparison> =
            others.iter().map(|(id, peer)| self.compare_with(*id, *peer)).collect();
        let verdict = divergence::verdict(voters.contains(&own_id), &comparisons);
        let verdict_since =
            if verdict == self.comparison.verdict { self.comparison.verdict_since } else { now };
        let recheck_after = verdict_since + self.status_interval();
        let confirmed = others.iter().all(|(_, peer)| {
            let heard_at = peer.map_or(0, |peer| peer.heard_at);
            heard_at == 0 || heard_at > recheck_after
        });
        let all_match = comparisons.iter().all(|other| other.matches == Some(true));
        self.comparison.verdict = verdict.clone();
        self.comparison.verdict_since = verdict_since;
        if verdict == Divergence::NoDivergence || confirmed {
            self.act_on_divergence(verdict, all_match);
        }
    }

    /// The peer with this replica, if its last status is recent.
    fn live_peer(&self, now: Micros, status_max_age: Micros, replica_id: u64) -> Option<&Peer> {
        self.peers
            .values()
            .find(|peer| peer.status.replica_id == replica_id && now < peer.heard_at + status_max_age)
    }

    fn compare_with(&self, replica_id: u64, peer: Option<&Peer>) -> PeerComparison {
        let position = peer.map(|peer| Position {
            applied: peer.status.applied,
            rolling_digest: peer.status.rolling_digest,
        });
        PeerComparison {
            replica_id,
            matches: peer.and_then(|_| self.comparison.matches.get(&replica_id).copied()),
            position: position.unwrap_or_default(),
        }
    }

    fn act_on_divergence(&mut self, verdict: Divergence, all_match: bool) {
        // Frozen until all voters match again: a voter that leaves must not turn the others into a majority.
        let frozen = verdict == Divergence::NoMajority || (self.comparison.frozen && !all_match);
        if frozen && !self.comparison.frozen {
            self.emit(Event::Frozen);
        }
        self.comparison.frozen = frozen;
        match verdict {
            Divergence::LocalDiverged(majority) => {
                self.emit(Event::LocalDivergence { majority });
                self.quarantine("this replica differs from those of a majority".to_owned());
            }
            Divergence::PeersDiverged(replicas) if replicas != self.comparison.reported => {
                self.comparison.reported.clone_from(&replicas);
                self.emit(Event::PeerDivergence { replicas });
            }
            Divergence::NoDivergence => self.comparison.reported.clear(),
            _ => {}
        }
    }
}

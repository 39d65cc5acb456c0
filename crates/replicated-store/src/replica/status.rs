//! What can be seen of it.

use super::{Replica, ReplicaStatus, ReplicaView, Role, MAX_PENDING_READS, MAX_QUEUED};
use crate::export::Export;
use crate::state::State;
use crate::Micros;

impl Replica {
    /// The state, as it is here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// What this server is to the record.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The number of its copy, and of its record.
    pub fn ids(&self) -> (u64, u64) {
        (self.identity.replica_id, self.identity.store_id)
    }

    /// How its part stands.
    pub fn status(&self, now: Micros) -> ReplicaStatus {
        let node = self.node.as_ref();
        let heard = |copy: &u64, name: &str| {
            let other = self.peers.get(name).filter(|o| o.status.replica_id == *copy);
            other.map(|o| (o.status.applied, now.saturating_sub(o.heard_at) / 1_000))
        };
        let copies = self.state.members.iter().map(|(copy, member)| {
            let votes = node.is_some_and(|n| n.store().conf_state().voters.contains(copy));
            let said = heard(copy, &member.name);
            ReplicaView {
                replica_id: *copy,
                server: member.name.clone(),
                zone: member.zone.clone(),
                is_voter: votes,
                applied: said.map(|(applied, _)| applied),
                heard_ms: said.map(|(_, ms)| ms),
            }
        });
        ReplicaStatus {
            store_id: self.identity.store_id,
            replica_id: self.identity.replica_id,
            role: self.role,
            term: node.map_or(0, |n| n.raft.term),
            leader: self.leader.0.clone(),
            applied: self.state.applied,
            commit: node.map_or(0, |n| n.raft.raft_log.committed),
            last_index: node.map_or(0, |n| n.store().last_entry_index()),
            leader_heard_ms: self.leader.0.as_ref().map(|_| now.saturating_sub(self.leader.1) / 1_000),
            rolling_digest: self.state.rolling_digest,
            replicas: copies.collect(),
            catching_up: self.transfer.as_ref().map(|(transfer, _)| transfer.progress()),
            unsupported_entries: self.state.unsupported_entries,
            frozen: self.frozen,
        }
    }

    /// A copy for an operator who wants to keep or check it; `None` without one.
    pub fn export(&self) -> Option<Export> {
        let log = self.node.as_ref()?.store();
        let (_, _, state) = log.latest_snapshot();
        Some(Export {
            exported_by: self.config.me.to_string(),
            applied: self.state.applied,
            rolling_digest: self.state.rolling_digest,
            snapshot: state.to_vec(),
            entries: log.entries_through(self.state.applied),
        })
    }

    /// What must hold between any two calls; tests call it after each.
    pub fn check_invariants(&self) -> Result<(), String> {
        if let Some(node) = &self.node {
            let (applied, last) = (self.state.applied, node.store().last_entry_index());
            if applied > last {
                return Err(format!("applied {applied}, the last entry is {last}"));
            }
            if self.rollback_check.is_some() && self.role == Role::Leader {
                return Err("it leads, and has not heard what others remember of it".to_owned());
            }
        }
        if self.pending_reads.len() > MAX_PENDING_READS || self.actions.len() > MAX_QUEUED {
            return Err(format!("{} reads, {} actions", self.pending_reads.len(), self.actions.len()));
        }
        Ok(())
    }

    /// Turns a bit of the state over, as bad memory might: for tests that want a copy to differ.
    #[doc(hidden)]
    pub fn corrupt(&mut self, bit: u8) {
        self.state.rolling_digest[0] ^= 1 << bit;
    }
}

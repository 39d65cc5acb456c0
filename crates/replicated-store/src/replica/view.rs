//! What can be seen of it.

use super::{Replica, ReplicaStatus, ReplicaView, Role, READS, WAITING};
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
        (self.copy.id, self.copy.record)
    }

    /// How its part stands.
    pub fn status(&self, now: Micros) -> ReplicaStatus {
        let node = self.node.as_ref();
        let heard = |copy: &u64, name: &str| {
            let other = self.others.get(name).filter(|o| o.status.copy == *copy);
            other.map(|o| (o.status.applied, now.saturating_sub(o.heard) / 1_000))
        };
        let copies = self.state.members.iter().map(|(copy, member)| {
            let votes = node.is_some_and(|n| n.store().conf().voters.contains(copy));
            let said = heard(copy, &member.name);
            ReplicaView {
                copy: *copy,
                name: member.name.clone(),
                zone: member.zone.clone(),
                votes,
                applied: said.map(|(applied, _)| applied),
                heard_ms: said.map(|(_, ms)| ms),
            }
        });
        ReplicaStatus {
            record: self.copy.record,
            copy: self.copy.id,
            role: self.role,
            term: node.map_or(0, |n| n.raft.term),
            leader: self.leader.0.clone(),
            applied: self.state.index,
            commit: node.map_or(0, |n| n.raft.raft_log.committed),
            last: node.map_or(0, |n| n.store().last()),
            leader_heard_ms: self.leader.0.as_ref().map(|_| now.saturating_sub(self.leader.1) / 1_000),
            chain: self.state.chain,
            copies: copies.collect(),
            catching_up: self.transfer.as_ref().map(|(transfer, _)| transfer.progress()),
            unknown: self.state.unknown,
            frozen: self.frozen,
        }
    }

    /// A copy for an operator who wants to keep or check it; `None` without one.
    pub fn export(&self) -> Option<Export> {
        let log = self.node.as_ref()?.store();
        let (_, _, state) = log.snapshot_bytes();
        Some(Export {
            from: self.config.me.to_string(),
            applied: self.state.index,
            chain: self.state.chain,
            state: state.to_vec(),
            entries: log.entries_to(self.state.index),
        })
    }

    /// What must hold between any two calls; tests call it after each.
    pub fn check_invariants(&self) -> Result<(), String> {
        if let Some(node) = &self.node {
            let (applied, last) = (self.state.index, node.store().last());
            if applied > last {
                return Err(format!("applied {applied}, the last entry is {last}"));
            }
            if self.returning.is_some() && self.role == Role::Leader {
                return Err("it leads, and has not heard what others remember of it".to_owned());
            }
        }
        if self.reads.len() > READS || self.actions.len() > WAITING {
            return Err(format!("{} reads, {} actions", self.reads.len(), self.actions.len()));
        }
        Ok(())
    }

    /// Turns a bit of the state over, as bad memory might: for tests that want a copy to differ.
    #[doc(hidden)]
    pub fn corrupt(&mut self, bit: u8) {
        self.state.chain[0] ^= 1 << bit;
    }
}

//! Fleets of replicated stores on virtual time.
#![allow(dead_code)]

use umberloom_fault_harness::virtual_replicated_store::VirtualReplicatedStore;
use umberloom_replicated_store::{Config, Role};

/// One second in microseconds.
pub const SECOND: u64 = 1_000_000;

/// Sets short timeouts, so that a run has many elections.
pub fn short_timeouts(config: &mut Config) {
    (config.election_timeout, config.replace_after) = (200_000, 2 * SECOND);
}

/// Runs a new fleet until all servers have joined and `voters` of them vote.
pub fn settled_fleet(
    servers: usize,
    voters: usize,
    seed: u64,
    adjust: fn(&mut Config),
) -> VirtualReplicatedStore {
    let mut fleet = VirtualReplicatedStore::new(servers, seed, adjust);
    fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(voters)).expect("settled");
    fleet
}

/// Some server that is a voter and not the leader.
pub fn any_follower(fleet: &VirtualReplicatedStore, servers: usize) -> usize {
    (0..servers).find(|server| has_role(fleet, *server, Role::Voter)).expect("a voter")
}

/// Whether a server's replica has this role.
pub fn has_role(fleet: &VirtualReplicatedStore, server: usize, role: Role) -> bool {
    fleet.replica(server).is_some_and(|replica| replica.role() == role)
}

//! A panic in the Raft library, or in the code that it calls, shows an error in a program: the replica goes
//! on from its disk, with its copy and its vote.

mod common;

use common::{has_role, settled_fleet, short_timeouts, SECOND};
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use umberloom_fault_harness::virtual_replicated_store::VirtualReplicatedStore;
use umberloom_replicated_store::log::Manifest;
use umberloom_replicated_store::message::{encode, PeerMessage};
use umberloom_replicated_store::{Replica, Role};

/// A message on which the library panics: the leader offers a snapshot at the receiver's commit index, in
/// which the receiver is both a voter and a learner.
fn impossible_snapshot(leader: &Replica, receiver: &Replica, now: u64) -> Vec<u8> {
    let (to, status) = (receiver.replica_id(), receiver.status(now));
    let mut message = Message { to, from: leader.replica_id(), term: status.term, ..Message::default() };
    message.set_msg_type(MessageType::MsgSnapshot);
    let snapshot = message.mut_snapshot();
    snapshot.data = postcard::to_allocvec(&Manifest::default()).expect("encoded").into();
    let metadata = snapshot.mut_metadata();
    // No entry of the log has this term.
    (metadata.index, metadata.term) = (status.commit, status.term + 1);
    metadata.mut_conf_state().voters.push(to);
    metadata.mut_conf_state().learners.push(to);
    let message = message.write_to_bytes().expect("encoded");
    encode(&PeerMessage::Raft { to, message })
}

/// Makes the library panic at a server.
fn fail_library(fleet: &mut VirtualReplicatedStore, server: usize) {
    let leader = fleet.leader().expect("a leader");
    let replicas = (fleet.replica(leader), fleet.replica(server));
    let (Some(leader_replica), Some(receiver)) = replicas else { panic!("a server is down") };
    let bytes = impossible_snapshot(leader_replica, receiver, fleet.now);
    fleet.deliver(leader, server, bytes).expect("no violation");
}

/// Guards against a store that is lost though no disk is damaged: each replica in whose process the library
/// panicked was quarantined, and with it its vote and its copy of acknowledged writes.
#[test]
fn a_majority_whose_library_fails_keeps_its_copies_and_goes_on() {
    let mut fleet = settled_fleet(3, 3, 5, short_timeouts);
    fleet.write(0, "x", None);
    fleet.run_until(fleet.now + SECOND).expect("no violation");
    let replica_ids = |fleet: &VirtualReplicatedStore| -> Vec<Option<u64>> {
        (0..3).map(|server| fleet.replica(server).map(Replica::replica_id)).collect()
    };
    let before = replica_ids(&fleet);
    let followers: Vec<usize> = (0..3).filter(|server| has_role(&fleet, *server, Role::Voter)).collect();
    followers.iter().for_each(|server| fail_library(&mut fleet, *server));
    let failures = fleet.restarted.len() + fleet.quarantined.len();
    assert_eq!(failures, followers.len(), "the library does not panic on this message any more");
    fleet.run_until_condition(20 * SECOND, |fleet| fleet.is_converged(3)).expect("settled");
    assert!(fleet.quarantined.is_empty(), "{:?}", fleet.quarantined);
    assert_eq!(replica_ids(&fleet), before);
    let leader = fleet.leader().expect("a leader");
    fleet.write(leader, "x", Some(1));
    fleet.run_until(fleet.now + SECOND).expect("no violation");
    let versions = (0..3).map(|server| {
        let replica = fleet.replica(server).expect("the server runs");
        replica.state().get("x").map(|document| document.version)
    });
    assert_eq!(versions.collect::<Vec<_>>(), [Some(2); 3]);
}

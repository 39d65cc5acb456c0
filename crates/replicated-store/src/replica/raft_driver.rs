//! Drives the Raft library: passes messages in and out, applies committed entries, and holds back messages
//! until the rows that they depend on are durable.

use std::collections::{BTreeSet, VecDeque};

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, ConfState, Entry, EntryType, Message, MessageType};
use raft::{RawNode, Ready, Storage};
use rand::RngExt;
use umberloom_membership::MemberName;
use umberloom_store::{catch_panic, WriteBatch};

use super::{
    push_bounded, Action, Event, Priority, Replica, ELECTION_TICKS, HEARTBEAT_TICKS, MAX_MESSAGE_BYTES,
};
use crate::log::{Log, LogPosition};
use crate::message::PeerMessage;
use crate::rollback::DurableProgress;
use crate::state::Member;
use crate::Micros;

/// Upper bound of the `Ready`s that one call of [`Replica::process_ready`] handles.
const MAX_READY_ROUNDS: usize = 1_000;

/// A `Ready` of the Raft library that waits until its rows are durable.
struct PendingStep {
    ready_number: u64,
    /// Number of the batch that must be durable first.
    required_batch: u64,
    /// Messages that must not be sent before that.
    messages: Vec<Message>,
    /// Index of the snapshot that this step installs, if it installs one.
    snapshot_index: Option<u64>,
    /// End of the log after this step.
    position: LogPosition,
}

/// Progress of the write batches that the host makes durable.
#[derive(Default)]
pub(super) struct Persistence {
    /// Number of the last batch that was given to the host.
    last_batch: u64,
    /// Number of the last batch that is durable.
    durable_batch: u64,
    pending_steps: VecDeque<PendingStep>,
    /// Durable end of the log.
    pub(super) durable: LogPosition,
}

impl Persistence {
    /// Discards the waiting steps, whose log is no longer used.
    pub(super) fn clear(&mut self) {
        self.pending_steps.clear();
    }

    /// Whether a snapshot is installed in memory and not durable yet. Until it is, the library can't be told
    /// that the snapshot is applied, and would look for the entries before it if it started an election.
    pub(super) fn is_installing_snapshot(&self) -> bool {
        self.pending_steps.iter().any(|step| step.snapshot_index.is_some())
    }

    fn next_durable_step(&mut self) -> Option<PendingStep> {
        let durable_batch = self.durable_batch;
        self.pending_steps.pop_front_if(|step| step.required_batch <= durable_batch)
    }
}

impl Replica {
    /// Starts the Raft library with this log.
    pub(super) fn start_raft(&mut self, log: Log) {
        let config = raft::Config {
            id: self.identity.replica_id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: self.state.applied,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 16 << 20,
            max_committed_size_per_ready: 4 << 20,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        match catch_panic(|| RawNode::new(&config, log, &logger)) {
            Ok(Ok(node)) => self.node = Some(node),
            Ok(Err(error)) => self.restart(format!("the Raft library did not start: {error}")),
            Err(reason) => self.handle_library_panic(&reason),
        }
    }

    /// Stops using this replica and asks the host to start again without it. Only for a replica that is known
    /// to be wrong, as its vote and its copy of acknowledged entries are lost.
    pub(super) fn quarantine(&mut self, reason: String) {
        self.stop(Action::Quarantine { reason });
    }

    /// Stops using this replica and asks the host to start it again from its on-disk store, as after a crash.
    pub(super) fn restart(&mut self, reason: String) {
        self.stop(Action::Restart { reason });
    }

    fn stop(&mut self, action: Action) {
        self.node = None;
        self.stopped = true;
        self.persistence.clear();
        self.actions.push_last(action);
    }

    /// Handles a panic of the library or of the code that it calls. It shows an error in a program and not in
    /// the stored replica, which was checked when it was read.
    fn handle_library_panic(&mut self, reason: &str) {
        self.emit(Event::LibraryFailed { reason: reason.to_owned() });
        self.restart(format!("the Raft library failed: {reason}"));
    }

    /// Gives a write batch to the host to make durable, unless the replica is stopped.
    pub(super) fn persist(&mut self, batch: WriteBatch) {
        if self.stopped {
            return;
        }
        self.persistence.last_batch += 1;
        let number = self.persistence.last_batch;
        if self.actions.push_batch(number, batch).is_err() {
            self.restart("the host does not take its actions".to_owned());
        }
    }

    /// Calls the Raft library, if this server has a replica. A panic in the library restarts the replica and
    /// does not stop the server.
    pub(super) fn with_raft<T>(&mut self, call: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        let node = self.node.as_mut()?;
        match catch_panic(|| call(node)) {
            Ok(result) => {
                // The library draws its election timeouts from the system's random numbers. They are replaced
                // by ones drawn from the seed, so that a test run can be reproduced.
                if node.raft.randomized_election_timeout() != self.election_ticks {
                    self.election_ticks = self.random.random_range(ELECTION_TICKS..2 * ELECTION_TICKS);
                    node.raft.set_randomized_election_timeout(self.election_ticks);
                }
                Some(result)
            }
            Err(reason) => {
                self.handle_library_panic(&reason);
                None
            }
        }
    }

    /// Handles a message of the Raft library.
    pub(super) fn handle_raft_message(&mut self, now: Micros, message: Message) {
        if self.rollback_check.is_some() {
            return;
        }
        let Some(node) = &self.node else { return };
        let last_index = node.store().last_entry_index();
        let kind = message.get_msg_type();
        if kind == MessageType::MsgTimeoutNow && self.persistence.is_installing_snapshot() {
            // The leader asks this replica to start an election. It is as if the message were lost.
            return;
        }
        // A leader's heartbeat has a commit index only up to what the replica has acknowledged, so a replica
        // that lacks that entry was rolled back. The library would panic on the heartbeat.
        if kind == MessageType::MsgHeartbeat && message.commit > last_index {
            return self.handle_rollback(&message, last_index);
        }
        if matches!(kind, MessageType::MsgHeartbeat | MessageType::MsgAppend | MessageType::MsgSnapshot) {
            self.leader.heard_at = now;
        }
        if kind == MessageType::MsgSnapshot {
            return self.handle_snapshot_offer(now, message);
        }
        if kind == MessageType::MsgAppend && self.snapshots.request_pending {
            let has_entry_of_term = node.store().term(last_index).is_ok_and(|term| term == message.term);
            if has_entry_of_term {
                // The entries would not fit on the disk either, and the request is about to be made.
                return;
            }
            // The library makes no request before the log has an entry of the leader's term.
        }
        self.step(message);
        if self.snapshots.request_pending
            && self.with_raft(|node| node.request_snapshot().is_ok()) == Some(true)
        {
            self.snapshots.request_pending = false;
        }
    }

    /// Passes a message to the library. Errors are ignored: a rejected message is the same as a lost one, and
    /// Raft retransmits what it needs.
    pub(super) fn step(&mut self, message: Message) {
        self.with_raft(|node| drop(node.step(message)));
    }

    fn handle_rollback(&mut self, heartbeat: &Message, last_index: u64) {
        let remembered = DurableProgress {
            starts: self.identity.starts,
            term: heartbeat.term,
            last_index: heartbeat.commit,
        };
        self.emit(Event::RollbackDetected { remembered });
        let reason =
            format!("the leader counts on entry {}, the last one here is {last_index}", heartbeat.commit);
        self.quarantine(reason);
    }

    fn send_raft(&mut self, messages: Vec<Message>) {
        for message in messages {
            let Some(to) = self.server_of(message.to) else { continue };
            let priority = match message.get_msg_type() {
                MessageType::MsgHeartbeat | MessageType::MsgHeartbeatResponse => Priority::Heartbeat,
                MessageType::MsgRequestVote
                | MessageType::MsgRequestVoteResponse
                | MessageType::MsgRequestPreVote
                | MessageType::MsgRequestPreVoteResponse
                | MessageType::MsgTimeoutNow => Priority::Vote,
                _ => Priority::Entry,
            };
            let bytes = message.write_to_bytes().unwrap_or_default();
            self.send(&to, &PeerMessage::Raft { to: message.to, message: bytes }, priority);
        }
    }

    /// The server of a replica, from the state's members or else from the statuses of peers.
    fn server_of(&self, replica_id: u64) -> Option<MemberName> {
        if let Some(member) = self.state.members.get(&replica_id) {
            return Some(MemberName::from(member.name.as_str()));
        }
        let peer = self.peers.iter().find(|(_, peer)| peer.status.replica_id == replica_id);
        peer.map(|(name, _)| name.clone())
    }

    /// Tells the replica that all batches up to this number are durable.
    pub fn persisted(&mut self, now: Micros, number: u64) {
        self.persistence.durable_batch = self.persistence.durable_batch.max(number);
        self.complete_durable_steps();
        self.process_ready(now);
    }

    /// Reports the steps whose rows are durable to the library and sends their messages.
    fn complete_durable_steps(&mut self) {
        while let Some(step) = self.persistence.next_durable_step() {
            self.persistence.durable = step.position;
            self.with_raft(|node| {
                node.on_persist_ready(step.ready_number);
                if let Some(index) = step.snapshot_index {
                    node.advance_apply_to(index);
                }
            });
            self.send_raft(step.messages);
        }
    }

    /// Handles every `Ready` of the library, then compacts the log, finishes reads and updates the role.
    pub(super) fn process_ready(&mut self, now: Micros) {
        for _ in 0..MAX_READY_ROUNDS {
            if self.stopped || self.rollback_check.is_some() {
                break;
            }
            let ready = self.with_raft(|node| node.has_ready().then(|| node.ready())).flatten();
            let Some(ready) = ready else { break };
            if !self.handle_ready(ready) {
                return;
            }
        }
        self.compact_if_due();
        self.finish_reads(now);
        self.update_role(now);
    }

    /// Handles one `Ready` of the library; `false` if its snapshot could not be installed and the replica is
    /// stopped.
    fn handle_ready(&mut self, mut ready: Ready) -> bool {
        let messages = ready.take_messages();
        let mut batch = WriteBatch::new();
        let mut snapshot_index = None;
        if !ready.snapshot().is_empty() {
            snapshot_index = Some(ready.snapshot().get_metadata().index);
            let Some(installed) = self.install_snapshot(ready.snapshot()) else { return false };
            batch = batch.then(installed);
        }
        let entries = ready.take_entries();
        let hard_state = ready.hs().cloned();
        let must_sync = ready.must_sync() || !entries.is_empty();
        let appended = self.with_raft(|node| node.mut_store().append(entries, hard_state.as_ref()));
        if must_sync {
            // A change of the commit index alone is not made durable: after a restart it is learned from the
            // other members.
            batch = batch.then(appended.unwrap_or_default());
        }
        let committed = ready.take_committed_entries();
        let persisted_messages = ready.take_persisted_messages();
        for read in ready.take_read_states() {
            self.reads.handle_read_index(&read.request_ctx, read.index);
        }
        let ready_number = ready.number();
        self.with_raft(|node| node.advance_append_async(ready));
        self.send_raft(messages);
        if !batch.is_empty() {
            self.persist(batch);
        }
        let position = self.node.as_ref().map_or(LogPosition::default(), |node| node.store().position());
        self.persistence.pending_steps.push_back(PendingStep {
            ready_number,
            required_batch: self.persistence.last_batch,
            messages: persisted_messages,
            snapshot_index,
            position,
        });
        self.apply_committed(committed);
        self.complete_durable_steps();
        true
    }

    fn apply_committed(&mut self, committed: Vec<Entry>) {
        let Some(last_index) = committed.last().map(|entry| entry.index) else { return };
        let mut membership_changed = false;
        for entry in committed {
            match entry.get_entry_type() {
                EntryType::EntryNormal => {
                    if let Some(outcome) = self.state.apply(entry.index, &entry.data) {
                        push_bounded(&mut self.outcomes, outcome);
                    }
                }
                EntryType::EntryConfChange => self.state.apply_members(entry.index, &entry.data, |_| {}),
                EntryType::EntryConfChangeV2 => membership_changed |= self.apply_membership_change(&entry),
            }
        }
        self.with_raft(|node| node.advance_apply_to(last_index));
        if membership_changed {
            // After a restart the voters must be known without help from other members, and the snapshot has
            // them. Also, a snapshot from before a member was admitted is of no use to that member.
            self.make_snapshot();
        }
    }

    /// Applies a membership change. Returns whether the library has accepted it.
    fn apply_membership_change(&mut self, entry: &Entry) -> bool {
        let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
        let new_member: Option<Member> = postcard::from_bytes(&change.context).ok().flatten();
        let conf_state = self.with_raft(|node| {
            let conf_state = node.apply_conf_change(&change).ok()?;
            node.mut_store().set_conf_state(conf_state.clone());
            Some(conf_state)
        });
        let Some(conf_state) = conf_state.flatten() else { return false };
        let ids = replica_ids(&conf_state);
        self.state.apply_members(entry.index, &entry.data, |members| {
            members.retain(|id, _| ids.contains(id));
            let Some(new_member) = &new_member else { return };
            for id in change.changes.iter().map(|single| single.node_id).filter(|id| ids.contains(id)) {
                members.entry(id).or_insert_with(|| new_member.clone());
            }
        });
        true
    }
}

/// Ids of all replicas in a Raft configuration.
fn replica_ids(conf_state: &ConfState) -> BTreeSet<u64> {
    let groups =
        [&conf_state.voters, &conf_state.learners, &conf_state.learners_next, &conf_state.voters_outgoing];
    groups.into_iter().flatten().copied().collect()
}

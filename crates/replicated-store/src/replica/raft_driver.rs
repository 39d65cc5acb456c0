//! Drives the Raft library: messages in and out, entries to apply, and what has to be durable in between.

use std::collections::{BTreeSet, VecDeque};

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, ConfState, Entry, EntryType, Message, MessageType};
use raft::{RawNode, Ready};
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

/// Rounds of [`Replica::process_ready`] in one call.
const MAX_READY_ROUNDS: usize = 1_000;

/// A step of the Raft library that waits for its rows to be durable.
struct PendingStep {
    ready_number: u64,
    /// The batch that has to be durable before.
    required_batch: u64,
    /// Messages that must not be sent earlier.
    messages: Vec<Message>,
    /// The end of the log after this step.
    position: LogPosition,
}

/// What was given to the host to make durable, and how far it has.
#[derive(Default)]
pub(super) struct Persistence {
    last_batch: u64,
    durable_batch: u64,
    pending_steps: VecDeque<PendingStep>,
    /// The durable end of the log.
    pub(super) durable: LogPosition,
}

impl Persistence {
    /// Forgets the steps that wait; their log is not used any more.
    pub(super) fn clear(&mut self) {
        self.pending_steps.clear();
    }

    fn next_durable_step(&mut self) -> Option<PendingStep> {
        let durable_batch = self.durable_batch;
        self.pending_steps.pop_front_if(|step| step.required_batch <= durable_batch)
    }
}

impl Replica {
    /// Gives the log to the Raft library.
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
            Ok(Err(error)) => self.quarantine(format!("the log makes no sense: {error}")),
            Err(reason) => self.quarantine(format!("the log makes no sense: {reason}")),
        }
    }

    /// Ends this replica; the host starts anew without it.
    pub(super) fn quarantine(&mut self, reason: String) {
        self.node = None;
        self.quarantined = true;
        self.persistence.clear();
        push_bounded(&mut self.actions, Action::Quarantine { reason });
    }

    pub(super) fn persist(&mut self, batch: WriteBatch) {
        self.persistence.last_batch += 1;
        let number = self.persistence.last_batch;
        push_bounded(&mut self.actions, Action::Persist { number, batch });
    }

    /// Calls the Raft library. A panic in it ends this replica, not the server.
    pub(super) fn with_raft<T>(&mut self, act: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        let node = self.node.as_mut()?;
        match catch_panic(|| act(node)) {
            Ok(result) => {
                // The library draws its election timeouts from the system; drawn here, a run can be repeated.
                if node.raft.randomized_election_timeout() != self.election_ticks {
                    self.election_ticks = self.random.random_range(ELECTION_TICKS..2 * ELECTION_TICKS);
                    node.raft.set_randomized_election_timeout(self.election_ticks);
                }
                Some(result)
            }
            Err(reason) => {
                self.emit(Event::LogFailed { reason: reason.clone() });
                self.quarantine(format!("the log and what others say of it do not fit: {reason}"));
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
        // A leader sends a commit index only to a replica that has acknowledged that entry: one that lacks it was rolled
        // back. The library would panic over it.
        if kind == MessageType::MsgHeartbeat && message.commit > last_index {
            return self.handle_rollback(&message, last_index);
        }
        if matches!(kind, MessageType::MsgHeartbeat | MessageType::MsgAppend | MessageType::MsgSnapshot) {
            self.leader.heard_at = now;
        }
        if kind == MessageType::MsgSnapshot {
            return self.handle_snapshot_offer(now, message);
        }
        if self.snapshots.request_pending && kind == MessageType::MsgAppend {
            // It would not fit, as the one before did not.
            return;
        }
        self.step(message);
        if self.snapshots.request_pending
            && self.with_raft(|node| node.request_snapshot().is_ok()) == Some(true)
        {
            self.snapshots.request_pending = false;
        }
    }

    /// Passes a message to the library. One that it refuses is as good as lost, and Raft repeats what it needs.
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
        let reason = format!("a leader counts on entry {}, the last here is {last_index}", heartbeat.commit);
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

    /// The server of a replica: by the state, or by what peers say of themselves.
    fn server_of(&self, replica_id: u64) -> Option<MemberName> {
        if let Some(member) = self.state.members.get(&replica_id) {
            return Some(MemberName::from(member.name.as_str()));
        }
        let peer = self.peers.iter().find(|(_, peer)| peer.status.replica_id == replica_id);
        peer.map(|(name, _)| name.clone())
    }

    /// The host has made all batches up to this number durable.
    pub fn persisted(&mut self, now: Micros, number: u64) {
        self.persistence.durable_batch = self.persistence.durable_batch.max(number);
        self.complete_durable_steps();
        self.process_ready(now);
    }

    fn complete_durable_steps(&mut self) {
        while let Some(step) = self.persistence.next_durable_step() {
            self.persistence.durable = step.position;
            self.with_raft(|node| node.on_persist_ready(step.ready_number));
            self.send_raft(step.messages);
        }
    }

    /// Handles all that the library has ready, and what follows from it.
    pub(super) fn process_ready(&mut self, now: Micros) {
        for _ in 0..MAX_READY_ROUNDS {
            if self.quarantined || self.rollback_check.is_some() {
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

    /// Handles one `Ready` of the library; `false` if this replica has ended by it.
    fn handle_ready(&mut self, mut ready: Ready) -> bool {
        let messages = ready.take_messages();
        let mut batch = WriteBatch::new();
        if !ready.snapshot().is_empty() {
            let metadata = ready.snapshot().get_metadata().clone();
            let Some(installed) = self.install_snapshot(metadata) else { return false };
            batch = batch.then(installed);
        }
        let entries = ready.take_entries();
        let hard_state = ready.hs().cloned();
        let must_sync = ready.must_sync() || !entries.is_empty();
        let appended = self.with_raft(|node| node.mut_store().append(entries, hard_state.as_ref()));
        if must_sync {
            // A commit index alone is learned again from the others.
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
            // The voters must be known before the next election even if nobody says who they are: a snapshot has them. And
            // one from before a member was admitted is of no use to that member.
            self.make_snapshot();
        }
    }

    /// Applies a change of members; whether the library has accepted it.
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

/// All replicas of a configuration.
fn replica_ids(conf_state: &ConfState) -> BTreeSet<u64> {
    let groups =
        [&conf_state.voters, &conf_state.learners, &conf_state.learners_next, &conf_state.voters_outgoing];
    groups.into_iter().flatten().copied().collect()
}

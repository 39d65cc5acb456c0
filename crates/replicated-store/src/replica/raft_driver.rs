//! The library's part: what goes in, what comes out, and what has to be durable in between.

use std::collections::BTreeSet;
use std::rc::Rc;

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, EntryType, Message, MessageType};
use raft::RawNode;
use rand::RngExt;
use umberloom_membership::MemberName;
use umberloom_store::{catch_panic, WriteBatch};

use super::{
    push_bounded, Action, Event, Peer, PendingStep, Priority, Replica, COMPACT_AFTER, ELECTION_TICKS,
    HEARTBEAT_TICKS, MAX_MESSAGE_BYTES,
};
use crate::log::{Log, Manifest};
use crate::message::PeerMessage;
use crate::rollback::DurableProgress;
use crate::state::{Member, State};
use crate::transfer::SnapshotTransfer;
use crate::Micros;

impl Replica {
    /// Gives the log to the library.
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
            Ok(Err(e)) => self.quarantine(format!("the log makes no sense: {e}")),
            Err(why) => self.quarantine(format!("the log makes no sense: {why}")),
        }
    }

    /// This copy ends here; the host begins anew without it.
    pub(super) fn quarantine(&mut self, why: String) {
        (self.node, self.quarantined) = (None, true);
        self.pending_steps.clear();
        push_bounded(&mut self.actions, Action::Quarantine(why));
    }

    pub(super) fn persist(&mut self, batch: WriteBatch) {
        self.last_batch += 1;
        push_bounded(&mut self.actions, Action::Persist(self.last_batch, batch));
    }

    /// Calls the library. What it can't go on with is this copy's end, not the server's.
    pub(super) fn with_raft<T>(&mut self, act: impl FnOnce(&mut RawNode<Log>) -> T) -> Option<T> {
        let node = self.node.as_mut()?;
        match catch_panic(|| act(node)) {
            Ok(found) => {
                // The library draws its election times from the machine; drawn here, a run can be played again.
                if node.raft.randomized_election_timeout() != self.election_ticks {
                    self.election_ticks = self.random.random_range(ELECTION_TICKS..2 * ELECTION_TICKS);
                    node.raft.set_randomized_election_timeout(self.election_ticks);
                }
                Some(found)
            }
            Err(why) => {
                self.emit(Event::LogFailed(why.clone()));
                self.quarantine(format!("the log and what others say of it do not fit: {why}"));
                None
            }
        }
    }

    /// A message of the library.
    pub(super) fn handle_raft_message(&mut self, now: Micros, message: Message) {
        if self.rollback_check.is_some() || self.node.is_none() {
            return;
        }
        // A leader never says this to a copy that has not told it to have so much: one that has, and has not any more,
        // was set back. The library would end the process over it.
        let last = self.node.as_ref().map_or(0, |node| node.store().last_entry_index());
        let beat = message.get_msg_type() == MessageType::MsgHeartbeat;
        if beat && message.commit > last {
            let seen = DurableProgress {
                starts: self.identity.starts,
                term: message.term,
                last_index: message.commit,
            };
            self.emit(Event::RollbackDetected(seen));
            return self
                .quarantine(format!("a leader counts on entry {}, the last here is {last}", message.commit));
        }
        if matches!(
            message.get_msg_type(),
            MessageType::MsgHeartbeat | MessageType::MsgAppend | MessageType::MsgSnapshot
        ) {
            self.leader.1 = now;
        }
        if message.get_msg_type() == MessageType::MsgSnapshot {
            return self.handle_snapshot_offer(now, message);
        }
        if self.wants_snapshot && message.get_msg_type() == MessageType::MsgAppend {
            // It would not fit, as the one before did not.
            return;
        }
        self.with_raft(|node| drop(node.step(message)));
        if self.wants_snapshot && self.with_raft(|node| node.request_snapshot().is_ok()) == Some(true) {
            self.wants_snapshot = false;
        }
    }

    /// What came has found no room on the disk: a snapshot of a later entry than this one is asked for in its place, which
    /// may be smaller. Its pieces are not kept then: they would not fit beside what is there.
    pub fn request_snapshot_after(&mut self, after: u64) {
        (self.wants_snapshot, self.stores_chunks, self.min_snapshot_index) = (true, false, after + 1);
    }

    /// The last snapshot that was to be installed; 0 is none.
    pub fn installed_snapshot(&self) -> u64 {
        self.installed_snapshot
    }

    /// A leader wants us to take a snapshot: its pieces are fetched first.
    pub(super) fn handle_snapshot_offer(&mut self, now: Micros, message: Message) {
        let Ok(manifest) = postcard::from_bytes::<Manifest>(&message.get_snapshot().data) else { return };
        let (index, held) = match &self.node {
            Some(node) => (message.get_snapshot().get_metadata().index, node.raft.raft_log.committed),
            None => return,
        };
        if index < self.min_snapshot_index {
            // The one that had no room, once more; the leader sees that we wait for nothing.
            return;
        }
        if index <= held {
            self.with_raft(|node| drop(node.step(message)));
            return;
        }
        match &mut self.transfer {
            Some((transfer, waiting)) if transfer.manifest() == manifest => *waiting = message,
            _ => {
                let had = std::mem::take(&mut self.resumable_chunks);
                self.transfer =
                    SnapshotTransfer::new(now, manifest, self.config.catch_up_bytes_per_second, had)
                        .map(|t| (t, message));
            }
        }
        self.continue_transfer(now);
    }

    pub(super) fn continue_transfer(&mut self, now: Micros) {
        let Some((transfer, message)) = &mut self.transfer else { return };
        if let Some(whole) = transfer.take_snapshot() {
            let (manifest, took, message) =
                (transfer.manifest(), now - transfer.started_at(), message.clone());
            self.transfer = None;
            let index = message.get_snapshot().get_metadata().index;
            self.emit(Event::CaughtUp(index, whole.len() as u64, took));
            self.fetched_snapshot = Some((manifest, Rc::new(whole)));
            self.with_raft(|node| drop(node.step(message)));
            return;
        }
        if transfer.is_stalled(now) {
            // Nobody has this one any more: without it the leader sees that we wait for nothing, and offers another.
            self.transfer = None;
            return;
        }
        // Whoever has it; the least loaded first, and the leader that offers it after those.
        let wanted = transfer.manifest();
        let has = |other: &&(&MemberName, &Peer)| other.1.status.snapshot.1 == wanted;
        let mut sources: Vec<(&MemberName, &Peer)> =
            self.peers.iter().collect::<Vec<_>>().iter().filter(has).copied().collect();
        sources.sort_by_key(|(_, other)| {
            (Some(other.status.replica_id) == Some(message.from), other.status.load_percent)
        });
        let sources: Vec<MemberName> = sources.into_iter().map(|(name, _)| name.clone()).collect();
        for (from, number) in transfer.next_requests(now, &sources) {
            self.send(&from, PeerMessage::ChunkRequest(wanted.digest, number), Priority::Entry);
        }
    }

    pub(super) fn send_raft(&mut self, messages: Vec<Message>) {
        for message in messages {
            let known =
                self.state.members.get(&message.to).map(|member| MemberName::from(member.name.as_str()));
            let said =
                || self.peers.iter().find(|(_, o)| o.status.replica_id == message.to).map(|(n, _)| n.clone());
            let Some(to) = known.or_else(said) else { continue };
            let class = match message.get_msg_type() {
                MessageType::MsgHeartbeat | MessageType::MsgHeartbeatResponse => Priority::Heartbeat,
                MessageType::MsgRequestVote
                | MessageType::MsgRequestVoteResponse
                | MessageType::MsgRequestPreVote
                | MessageType::MsgRequestPreVoteResponse
                | MessageType::MsgTimeoutNow => Priority::Vote,
                _ => Priority::Entry,
            };
            let bytes = message.write_to_bytes().unwrap_or_default();
            self.send(&to, PeerMessage::Raft(message.to, bytes), class);
        }
    }

    /// All batches up to this number are durable.
    pub fn persisted(&mut self, now: Micros, number: u64) {
        self.durable_batch = self.durable_batch.max(number);
        self.complete_durable_steps();
        self.process_ready(now);
    }

    pub(super) fn complete_durable_steps(&mut self) {
        while self.pending_steps.front().is_some_and(|step| step.required_batch <= self.durable_batch) {
            let Some(step) = self.pending_steps.pop_front() else { return };
            self.durable = step.seen;
            self.with_raft(|node| node.on_persist_ready(step.ready_number));
            self.send_raft(step.messages);
        }
    }

    /// Takes out of the library all that it has ready.
    pub(super) fn process_ready(&mut self, now: Micros) {
        for _ in 0..1_000 {
            if self.quarantined || self.rollback_check.is_some() {
                break;
            }
            let Some(mut ready) = self.with_raft(|node| node.has_ready().then(|| node.ready())).flatten()
            else {
                break;
            };
            let messages = ready.take_messages();
            let mut batch = WriteBatch::new();
            if !ready.snapshot().is_empty() {
                let meta = ready.snapshot().get_metadata().clone();
                let fetched = self.fetched_snapshot.take().map(|(_, bytes)| bytes);
                let state = fetched.as_ref().and_then(|bytes| State::from_bytes(bytes));
                let (Some(bytes), Some(state)) = (fetched, state) else {
                    return self.quarantine("a snapshot can't be read".to_owned());
                };
                self.state = state;
                self.installed_snapshot = meta.index;
                self.digest_matches.clear();
                batch = batch
                    .then(self.with_raft(|node| node.mut_store().install(meta, bytes)).unwrap_or_default());
            }
            let (entries, hard) = (ready.take_entries(), ready.hs().cloned());
            let must = ready.must_sync() || !entries.is_empty();
            let wrote =
                self.with_raft(|node| node.mut_store().append(entries, hard.as_ref())).unwrap_or_default();
            if must {
                // A commit index alone is learned again from the others.
                batch = batch.then(wrote);
            }
            let committed = ready.take_committed_entries();
            let kept = ready.take_persisted_messages();
            for read in ready.take_read_states() {
                let told = postcard::from_bytes::<(u64, u64, u32)>(&read.request_ctx);
                let Ok((nonce, ticket, _)) = told else { continue };
                if let Some(waiting) =
                    self.pending_reads.get_mut(&ticket).filter(|_| nonce == self.read_nonce)
                {
                    waiting.read_index = Some(read.index);
                }
            }
            let number = ready.number();
            self.with_raft(|node| node.advance_append_async(ready));
            self.send_raft(messages);
            if !batch.is_empty() {
                self.persist(batch);
            }
            let seen = self
                .node
                .as_ref()
                .map_or((0, 0), |n| (n.store().hard_state().term, n.store().last_entry_index()));
            self.pending_steps.push_back(PendingStep {
                ready_number: number,
                required_batch: self.last_batch,
                messages: kept,
                seen,
            });
            self.apply_committed(committed);
            self.complete_durable_steps();
        }
        self.compact();
        self.finish_reads(now);
        self.note_role(now);
    }

    pub(super) fn apply_committed(&mut self, committed: Vec<raft::eraftpb::Entry>) {
        let Some(last) = committed.last().map(|entry| entry.index) else { return };
        let mut changed = false;
        for entry in committed {
            match entry.get_entry_type() {
                EntryType::EntryNormal => {
                    if let Some(done) = self.state.apply(entry.index, &entry.data) {
                        push_bounded(&mut self.outcomes, done);
                    }
                }
                EntryType::EntryConfChange => self.state.apply_members(entry.index, &entry.data, |_| {}),
                EntryType::EntryConfChangeV2 => {
                    let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
                    let member: Option<Member> = postcard::from_bytes(&change.context).ok().flatten();
                    let conf = self.with_raft(|node| {
                        let conf = node.apply_conf_change(&change);
                        if let Ok(conf) = &conf {
                            node.mut_store().set_conf_state(conf.clone());
                        }
                        conf.ok()
                    });
                    let Some(Some(conf)) = conf else { continue };
                    let ids: BTreeSet<u64> =
                        [&conf.voters, &conf.learners, &conf.learners_next, &conf.voters_outgoing]
                            .into_iter()
                            .flatten()
                            .copied()
                            .collect();
                    self.state.apply_members(entry.index, &entry.data, |members| {
                        members.retain(|id, _| ids.contains(id));
                        let added =
                            change.changes.iter().map(|one| one.node_id).filter(|id| ids.contains(id));
                        for id in added {
                            if let Some(member) = &member {
                                members.entry(id).or_insert_with(|| member.clone());
                            }
                        }
                    });
                    changed = true;
                }
            }
        }
        self.with_raft(|node| node.advance_apply_to(last));
        if changed {
            // Who votes must be known before the next election even if nobody says it: a snapshot has it, and one from
            // before a member came means nothing to that member.
            self.make_snapshot();
        }
    }

    pub(super) fn make_snapshot(&mut self) {
        let (index, state) = (self.state.applied, self.state.to_bytes());
        if let Some(batch) = self.with_raft(|node| node.mut_store().compact(index, state)) {
            if !batch.is_empty() {
                self.persist(batch);
            }
        }
    }

    pub(super) fn compact(&mut self) {
        let Some(node) = &self.node else { return };
        let (index, ..) = node.store().latest_snapshot();
        let since = self.state.applied.saturating_sub(index);
        let (_, bytes) = node.store().size();
        let large = since >= COMPACT_AFTER.0 || bytes >= COMPACT_AFTER.1;
        if since > 0 && (large || node.store().is_snapshot_requested()) {
            self.make_snapshot();
        }
    }
}

//! Actions that a replica requests from its host.

use std::collections::VecDeque;

use umberloom_membership::MemberName;
use umberloom_store::WriteBatch;

/// Upper bound of the queues of actions, events and outcomes; beyond it the oldest item is dropped.
pub(super) const MAX_QUEUED: usize = 16_384;

/// The priority of a message, highest first. Messages of a lower priority may wait for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Heartbeats and status messages.
    Heartbeat,
    /// Votes, vote requests and leadership transfers.
    Vote,
    /// Log entries, requests and all other messages.
    Entry,
    /// Chunks of a snapshot.
    Snapshot,
}

/// Something that the host must do for the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a member. The message may be lost.
    Send {
        /// The receiver.
        to: MemberName,
        /// The encoded message.
        bytes: Vec<u8>,
        /// Priority of the message.
        priority: Priority,
    },
    /// Make a write batch durable, then call [`crate::Replica::persisted`]. Batches must become durable in
    /// the order of their numbers.
    Persist {
        /// Number of the batch, from 1.
        number: u64,
        /// The rows to write.
        batch: WriteBatch,
    },
    /// This replica must no longer be used: quarantine its on-disk store and start again without it.
    Quarantine {
        /// The reason, for the log.
        reason: String,
    },
}

/// Appends to a queue that the host may not have drained for a long time; if it is full the oldest item is
/// dropped.
pub(super) fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= MAX_QUEUED {
        queue.pop_front();
    }
    queue.push_back(item);
}

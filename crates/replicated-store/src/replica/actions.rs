//! What a replica asks its host to do.

use std::collections::VecDeque;

use umberloom_membership::MemberName;
use umberloom_store::WriteBatch;

/// Actions, events and outcomes that wait to be taken; beyond that the oldest is dropped.
pub(super) const MAX_QUEUED: usize = 16_384;

/// The priority of a message; lower-priority messages may wait for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Heartbeats and status messages.
    Heartbeat,
    /// Votes.
    Vote,
    /// Log entries.
    Entry,
    /// Chunks of a snapshot.
    Snapshot,
}

/// Something that the host has to do for the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a member. It may be lost.
    Send {
        /// The receiver.
        to: MemberName,
        /// The encoded message.
        bytes: Vec<u8>,
        /// Its priority.
        priority: Priority,
    },
    /// Make a batch durable, in the order of the numbers, and then call [`crate::Replica::persisted`].
    Persist {
        /// The number of the batch.
        number: u64,
        /// The rows to write.
        batch: WriteBatch,
    },
    /// This replica must not be used any more: quarantine its store and start anew without it.
    Quarantine {
        /// Why, for the log.
        reason: String,
    },
}

/// Appends to a queue that nobody may have emptied for long.
pub(super) fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= MAX_QUEUED {
        queue.pop_front();
    }
    queue.push_back(item);
}

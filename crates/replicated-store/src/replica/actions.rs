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
    /// This process can't go on with the replica: start it again from its on-disk store, after a pause.
    /// Nothing is known to be wrong with that store.
    Restart {
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

/// The queue of actions for the host. If it is full, messages are dropped, as they may be on the network; no
/// batch is, as the confirmation of a later one counts for all before it.
#[derive(Debug, Default)]
pub(super) struct ActionQueue(VecDeque<Action>);

/// The queue is full of actions that must not be dropped: the host has not taken any for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueFull;

impl ActionQueue {
    /// Appends a message. If the queue is full, the oldest message is dropped for it.
    pub(super) fn push_message(&mut self, to: MemberName, bytes: Vec<u8>, priority: Priority) {
        if self.make_room().is_ok() {
            self.0.push_back(Action::Send { to, bytes, priority });
        }
    }

    /// Appends a write batch. If the queue is full, the oldest message is dropped for it.
    pub(super) fn push_batch(&mut self, number: u64, batch: WriteBatch) -> Result<(), QueueFull> {
        self.make_room()?;
        self.0.push_back(Action::Persist { number, batch });
        Ok(())
    }

    /// Appends an action that ends the use of this replica, which requests nothing more.
    pub(super) fn push_last(&mut self, action: Action) {
        if self.make_room().is_err() {
            // What depends on the last batch still waits for it to be durable, so the batch is not needed.
            self.0.pop_back();
        }
        self.0.push_back(action);
    }

    /// Number of actions that the host has not taken.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Takes all actions, in order.
    pub(super) fn take(&mut self) -> Vec<Action> {
        self.0.drain(..).collect()
    }

    fn make_room(&mut self) -> Result<(), QueueFull> {
        if self.0.len() < MAX_QUEUED {
            return Ok(());
        }
        let oldest_message = self.0.iter().position(|action| matches!(action, Action::Send { .. }));
        oldest_message.and_then(|index| self.0.remove(index)).map(drop).ok_or(QueueFull)
    }
}

#[cfg(test)]
mod tests;

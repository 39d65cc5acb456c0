//! What passes between [`crate::Membership`] and its host: actions to carry out, events to log, messages for others.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::member::MemberState;
use crate::partition::PartitionStatus;
use crate::wire::RejectReason;

/// Items that one queue of the [`Outbox`] holds; beyond it the oldest is dropped, as a network might lose it.
pub(crate) const MAX_QUEUED: usize = 16_384;

/// The way by which a message came, so that it can be answered there. The number is the host's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReturnPath {
    /// A datagram.
    Datagram(u64),
    /// A stream.
    Stream(u64),
}

/// Bytes that the host is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To the address of a peer, as a datagram.
    Datagram {
        /// The peer.
        to: MemberName,
        /// The sealed message.
        bytes: Vec<u8>,
    },
    /// To the address of a peer, over a stream.
    Stream {
        /// The peer.
        to: MemberName,
        /// The sealed message.
        bytes: Vec<u8>,
    },
    /// As [`Action::Stream`], but everything else that waits for that stream goes first.
    Bulk {
        /// The peer.
        to: MemberName,
        /// The sealed message.
        bytes: Vec<u8>,
    },
    /// Back by the way that a message came.
    Reply {
        /// That way.
        path: ReturnPath,
        /// The sealed message.
        bytes: Vec<u8>,
    },
}

impl Action {
    /// The sealed message.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Action::Datagram { bytes, .. }
            | Action::Stream { bytes, .. }
            | Action::Bulk { bytes, .. }
            | Action::Reply { bytes, .. } => bytes,
        }
    }
}

/// A change that operators should find in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The state of a member has changed.
    MemberStateChanged {
        /// The member.
        name: MemberName,
        /// The state before.
        from: MemberState,
        /// The state now.
        to: MemberState,
        /// Why.
        cause: String,
    },
    /// This server's partition status has changed.
    PartitionStatusChanged {
        /// The status before.
        from: PartitionStatus,
        /// The status now.
        to: PartitionStatus,
        /// Why.
        cause: String,
    },
    /// Two living processes have used the same name.
    NameConflict {
        /// The name.
        name: MemberName,
        /// Start of the earlier process, in Unix microseconds.
        earlier_boot_id: u64,
        /// Start of the later process, which has the name now.
        later_boot_id: u64,
    },
    /// A later process has this server's name: this server sends nothing more but handshakes.
    Fenced {
        /// Start of the other process, in Unix microseconds.
        by_boot_id: u64,
    },
    /// The process that had this server's name is gone; this server has taken the name again.
    Unfenced {
        /// The start under which this server goes on.
        boot_id: u64,
    },
    /// A living member has held another view than this server for [`crate::config::Timing::divergence_timeout`].
    ViewsDiverged {
        /// The member.
        peer: MemberName,
    },
    /// A member whose view had diverged holds the same view again.
    ViewsConverged {
        /// The member.
        peer: MemberName,
    },
    /// Messages were rejected; at most one event a second for each reason.
    MessagesRejected {
        /// Why.
        reason: RejectReason,
        /// Messages since the last event with this reason.
        count: u64,
        /// The name that the message carried, where it could be read. Anybody can write any name.
        claimed_sender: Option<MemberName>,
    },
}

/// Messages since the start of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    /// Messages sent, and their bytes.
    pub sent: (u64, u64),
    /// Messages accepted, and their bytes.
    pub heard: (u64, u64),
    /// Messages rejected, by reason.
    pub refused: BTreeMap<RejectReason, u64>,
    /// Stalls: times that this process was not run for [`crate::STALL_THRESHOLD`] or longer.
    pub standstills: u64,
}

/// A message of a member on a channel that other parts of the server use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The sender.
    pub from: MemberName,
    /// Start of the sending process, in Unix microseconds.
    pub boot: u64,
    /// The channel.
    pub channel: u8,
    /// The content.
    pub payload: Vec<u8>,
}

/// What waits for the host to take it, in bounded queues.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    actions: VecDeque<Action>,
    events: VecDeque<Event>,
    messages: VecDeque<ReceivedMessage>,
}

impl Outbox {
    pub fn push_action(&mut self, action: Action) {
        push_bounded(&mut self.actions, action);
    }

    pub fn push_event(&mut self, event: Event) {
        push_bounded(&mut self.events, event);
    }

    pub fn push_message(&mut self, message: ReceivedMessage) {
        push_bounded(&mut self.messages, message);
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    pub fn take_messages(&mut self) -> Vec<ReceivedMessage> {
        self.messages.drain(..).collect()
    }

    /// Length of the longest queue.
    pub fn longest_queue(&self) -> usize {
        self.actions.len().max(self.events.len()).max(self.messages.len())
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= MAX_QUEUED {
        queue.pop_front();
    }
    queue.push_back(item);
}

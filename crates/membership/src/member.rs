//! The state of one member and the evidence for that state.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::partition::PartitionStatus;
use crate::wire::BuildInfo;
use crate::Micros;

/// The state of a member from this server's point of view. It is inferred from evidence and may be out of
/// date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// In the roster, but nothing has been heard of it since this server started.
    NeverSeen,
    /// The member answers probes.
    Present,
    /// A probe of the member went unanswered, and it has not refuted the suspicion yet.
    Suspected,
    /// The member did not refute a suspicion in time.
    Failed,
    /// The member has announced that it will leave and is still present.
    Leaving,
    /// The member announced that it would leave and is gone.
    Left,
}

impl MemberState {
    /// Whether the member counts as present.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Present | MemberState::Suspected | MemberState::Leaving)
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            MemberState::NeverSeen => "never seen",
            MemberState::Present => "present",
            MemberState::Suspected => "suspected",
            MemberState::Failed => "failed",
            MemberState::Leaving => "leaving",
            MemberState::Left => "left",
        })
    }
}

/// One observation that explains a member's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// What was observed, as shown to operators.
    pub what: String,
    /// How long ago it was observed, in milliseconds; `None` if it has no time.
    pub age_ms: Option<u64>,
}

/// What this server knows about one member. The field names are those of the command line's `--json` output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The member's name.
    pub name: MemberName,
    /// Whether the member is in the roster; otherwise it is a guest.
    pub named: bool,
    /// The member's state.
    pub state: MemberState,
    /// How long the member has been in this state, in milliseconds.
    pub for_ms: u64,
    /// When its process started, in Unix microseconds; 0 if unknown.
    pub boot: u64,
    /// The SWIM incarnation, which is incremented each time the process refutes a suspicion.
    pub incarnation: u16,
    /// How often the process has rejoined after it was considered failed.
    pub renewal: u32,
    /// How long ago a message last came directly from the member, in milliseconds.
    pub heard_ms: Option<u64>,
    /// How long ago the member last received a message from this server, by its own report, in milliseconds.
    pub hears_us_ms: Option<u64>,
    /// Whether this server and the member receive each other's messages.
    pub reached: bool,
    /// What the member reports: its partition status, load in percent, and local health score from 0 to 8.
    pub says: Option<(PartitionStatus, u8, u8)>,
    /// The program version and configuration that the member runs.
    pub about: BuildInfo,
    /// How long its view has differed from this server's, in milliseconds.
    pub differs_ms: Option<u64>,
}

/// The number of state changes of one member that are kept for [`crate::Membership::explain`].
const MAX_CHANGES: usize = 8;

/// One change of a member's state.
#[derive(Clone, Debug)]
pub(crate) struct StateChange {
    pub at: Micros,
    pub state: MemberState,
    pub cause: String,
}

/// The state of one member and its recent changes.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    pub state: MemberState,
    pub since: Micros,
    /// When its process started according to gossip, in Unix microseconds; 0 if unknown.
    pub boot_id: u64,
    pub incarnation: u16,
    pub renewal: u32,
    /// The boot id of the process that has announced that it will leave.
    pub leaving_boot_id: Option<u64>,
    /// The last changes, oldest first, at most [`MAX_CHANGES`].
    pub changes: VecDeque<StateChange>,
}

impl MemberRecord {
    /// Creates the record of a member that has not been heard of.
    pub fn new(now: Micros) -> MemberRecord {
        MemberRecord {
            state: MemberState::NeverSeen,
            since: now,
            boot_id: 0,
            incarnation: 0,
            renewal: 0,
            leaving_boot_id: None,
            changes: VecDeque::new(),
        }
    }

    /// Changes the state and records the cause, dropping the oldest change when the list is full.
    pub fn set_state(&mut self, now: Micros, state: MemberState, cause: String) {
        self.state = state;
        self.since = now;
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(StateChange { at: now, state, cause });
    }
}

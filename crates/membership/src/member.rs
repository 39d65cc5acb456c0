//! The state of one member, and the evidence for it.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::partition::PartitionStatus;
use crate::wire::BuildInfo;
use crate::Micros;

/// The state of a member, as this server believes it. A belief has evidence and an age; it is never a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Named by the operator, and not heard of since this server started.
    NeverSeen,
    /// It answers.
    Present,
    /// A probe of it brought no answer, and it has not refuted the suspicion yet.
    Suspected,
    /// It did not refute a suspicion in time.
    Failed,
    /// It has announced that it will leave, and is still present.
    Leaving,
    /// It has announced that it leaves, and is gone.
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

/// One reason for a state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// What was seen or received.
    pub what: String,
    /// How long ago, in milliseconds, where that is known.
    pub age_ms: Option<u64>,
}

/// What this server knows of one member. The names of the fields are those of the command line's `--json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The member.
    pub name: MemberName,
    /// Named by the operator; else a guest.
    pub named: bool,
    /// Its state.
    pub state: MemberState,
    /// For how long it has been in this state, in milliseconds.
    pub for_ms: u64,
    /// Start of its process in Unix microseconds; 0 while unknown.
    pub boot: u64,
    /// SWIM's incarnation: it grows with each suspicion that the process refutes.
    pub incarnation: u16,
    /// How often the process has come back after it was held for failed.
    pub renewal: u32,
    /// How long ago it was heard directly, in milliseconds.
    pub heard_ms: Option<u64>,
    /// How long ago it heard this server, as it said itself, in milliseconds.
    pub hears_us_ms: Option<u64>,
    /// Whether both hear each other.
    pub reached: bool,
    /// What it says of itself: partition status, load in percent, local health score from 0 to 8.
    pub says: Option<(PartitionStatus, u8, u8)>,
    /// The program and configuration that it runs.
    pub about: BuildInfo,
    /// For how long its view has differed from this server's, in milliseconds.
    pub differs_ms: Option<u64>,
}

/// Changes of one member that are kept for [`crate::Membership::explain`].
const MAX_CHANGES: usize = 8;

/// A change of a member's state.
#[derive(Clone, Debug)]
pub(crate) struct StateChange {
    pub at: Micros,
    pub state: MemberState,
    pub cause: String,
}

/// What is kept of a member.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    pub state: MemberState,
    pub since: Micros,
    /// Start of its process, as gossip has it.
    pub boot_id: u64,
    pub incarnation: u16,
    pub renewal: u32,
    /// Start of the process that has announced that it leaves.
    pub leaving_boot_id: Option<u64>,
    /// The last changes, oldest first.
    pub changes: VecDeque<StateChange>,
}

impl MemberRecord {
    /// A member that has not been heard of.
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

    /// Takes up another state, and remembers why.
    pub fn set_state(&mut self, now: Micros, state: MemberState, cause: String) {
        self.state = state;
        self.since = now;
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(StateChange { at: now, state, cause });
    }
}

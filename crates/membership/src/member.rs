//! What is held of one member, and why.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::partition::PartitionStatus;
use crate::wire::BuildInfo;
use crate::Micros;

/// What a member is held to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Named by the operator, and never heard of since this server started.
    NeverSeen,
    /// There.
    Present,
    /// Somebody's probe of it brought nothing, and it has not said yet that it is there.
    Suspected,
    /// A suspicion that it did not refute in time.
    Failed,
    /// It said that it leaves, and is still there.
    Leaving,
    /// It said so, and is gone.
    Left,
}

impl MemberState {
    /// Whether it counts as there.
    pub fn is_there(self) -> bool {
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

/// One reason for a belief.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// What was seen or said.
    pub what: String,
    /// How long ago, in milliseconds, where that is known.
    pub age_ms: Option<u64>,
}

/// What is held of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: MemberName,
    /// Named by the operator; else a guest.
    pub named: bool,
    /// What it is held to be.
    pub state: MemberState,
    /// For how long, in milliseconds.
    pub for_ms: u64,
    /// Start of its process in Unix microseconds; 0 while unknown.
    pub boot: u64,
    /// By how much it has had to refute suspicions since.
    pub incarnation: u16,
    /// How often it has come back after it was held for failed.
    pub renewal: u32,
    /// How long ago it was heard directly, in milliseconds.
    pub heard_ms: Option<u64>,
    /// How long ago it heard this server, by its own word, in milliseconds.
    pub hears_us_ms: Option<u64>,
    /// Both hear each other.
    pub reached: bool,
    /// What it says of itself: standing, load in percent, how sick from 0 to 8.
    pub says: Option<(PartitionStatus, u8, u8)>,
    /// What it is made of.
    pub about: BuildInfo,
    /// For how long its view has differed from this server's, in milliseconds.
    pub differs_ms: Option<u64>,
}

/// The changes of one member that are kept for [`crate::Membership::explain`].
pub(crate) const CHANGES: usize = 8;

/// What is kept of a member between two looks.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub state: MemberState,
    pub since: Micros,
    /// Its process, as gossip has it.
    pub boot: u64,
    pub incarnation: u16,
    pub renewal: u32,
    /// The process that said it leaves.
    pub leaving: Option<u64>,
    /// The last changes, with their times and causes.
    pub changes: Vec<(Micros, MemberState, String)>,
}

impl Known {
    pub fn new(now: Micros) -> Known {
        Known {
            state: MemberState::NeverSeen,
            since: now,
            boot: 0,
            incarnation: 0,
            renewal: 0,
            leaving: None,
            changes: Vec::new(),
        }
    }

    pub fn change(&mut self, now: Micros, to: MemberState, cause: String) {
        (self.state, self.since) = (to, now);
        if self.changes.len() == CHANGES {
            self.changes.remove(0);
        }
        self.changes.push((now, to, cause));
    }
}

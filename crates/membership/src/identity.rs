//! Member names, and the identity that distinguishes successive processes with the same name.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// The configured name of a server; it stays the same across restarts.
pub type MemberName = Rc<str>;

/// The identity of one process. Of two processes with the same name, the one that started later wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The member's name.
    pub name: MemberName,
    /// When the process started, in Unix microseconds by its own clock.
    pub boot_id: u64,
    /// How often the process has rejoined after other members considered it failed.
    pub renewal: u32,
}

impl foca::Identity for Identity {
    type Addr = MemberName;

    /// Lets a process that others consider failed rejoin at once with a higher renewal number.
    fn renew(&self) -> Option<Identity> {
        Some(Identity { renewal: self.renewal.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> MemberName {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.boot_id, self.renewal) > (other.boot_id, other.renewal)
    }
}

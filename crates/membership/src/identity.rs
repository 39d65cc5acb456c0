//! Names of members, and what tells two processes of one name apart.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// The name by which operators know a server; the same after a restart.
pub type MemberName = Rc<str>;

/// One process under a name: a later start wins over an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The name.
    pub name: MemberName,
    /// The start of the process in Unix microseconds, by its own clock.
    pub boot_id: u64,
    /// How often the process has come back after others held it for failed.
    pub renewal: u32,
}

impl foca::Identity for Identity {
    type Addr = MemberName;

    /// A process that others hold for failed comes back at once under a higher number.
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

//! The id of a replicated store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Id of a store, drawn at random when the store is bootstrapped or adopted. Replica ids are plain `u64`s
/// because they are the Raft library's node ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreId(pub u64);

impl StoreId {
    /// The id that stands for no store.
    pub const NONE: StoreId = StoreId(0);

    /// Whether this id stands for no store.
    pub fn is_none(self) -> bool {
        self == StoreId::NONE
    }
}

/// Ids are shown to operators in hexadecimal.
impl fmt::LowerHex for StoreId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}

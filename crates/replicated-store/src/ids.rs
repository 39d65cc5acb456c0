//! Ids of stores.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Id of a store, drawn when it is bootstrapped or adopted. Replica ids are plain `u64`s, as the Raft library's node ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreId(pub u64);

impl StoreId {
    /// No store.
    pub const NONE: StoreId = StoreId(0);

    /// Whether this is the id of no store.
    pub fn is_none(self) -> bool {
        self == StoreId::NONE
    }
}

/// People see ids in hexadecimal.
impl fmt::LowerHex for StoreId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}

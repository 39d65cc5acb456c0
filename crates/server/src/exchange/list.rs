//! What the actor of the list is told.

use std::net::SocketAddr;

/// What the actor is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Whether this server takes work.
    Accepting(bool),
    /// Where the service is from now on.
    Address(SocketAddr),
}

//! What the actor of the list is told.

use std::net::SocketAddr;

/// What the actor is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationCommand {
    /// Whether this server takes work.
    SetAccepting(bool),
    /// Where the service is from now on.
    SetAddress(SocketAddr),
}

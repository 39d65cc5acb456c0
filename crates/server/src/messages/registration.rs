//! Messages to the actor that registers this server in the endpoint list.

use std::net::SocketAddr;

/// What the mailbox of the registration's actor takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationCommand {
    /// Whether this server takes work.
    SetAccepting(bool),
    /// The service that keeps the endpoint list is at this address from now on.
    SetAddress(SocketAddr),
}

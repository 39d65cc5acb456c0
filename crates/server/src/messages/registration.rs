//! Messages to the actor that registers this server with the announce service.

use std::net::SocketAddr;

/// Messages to the registration's actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationCommand {
    /// Sets whether this server accepts work.
    SetAccepting(bool),
    /// Changes the address of the announce service.
    SetAddress(SocketAddr),
}

//! Messages to the actor that accepts connections.

use umberloom::interface::Micros;

/// What the listener's mailbox takes.
#[derive(Debug)]
pub enum ListenerCommand {
    /// Close connections that have carried nothing for this long.
    CloseIdle(Micros),
    /// Accept no more connections, and close each one as soon as nothing is in flight on it.
    Drain,
}

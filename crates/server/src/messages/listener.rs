//! Messages to the actor that accepts connections.

use umberloom::interface::Micros;

/// Messages to the listener.
#[derive(Debug)]
pub enum ListenerCommand {
    /// Closes connections that have been idle for this time, in microseconds.
    CloseIdle(Micros),
    /// Stops accepting connections, and closes each one as soon as no request is in flight on it.
    Drain,
}

//! What the front is told.

use umberloom::interface::Micros;

/// What the front is told.
#[derive(Debug)]
pub enum ListenerCommand {
    /// Close connections that have carried nothing for this long.
    CloseIdle(Micros),
    /// Let nothing new in, and close each connection once nothing is open on it.
    Drain,
}

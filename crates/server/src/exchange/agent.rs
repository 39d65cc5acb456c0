//! What the render farm agent's actor is told.

use std::net::SocketAddr;

use umberloom::interface::RequestId;

/// Something the agent is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Run a request of this class with this body.
    Launch(RequestId, String, Vec<u8>),
    /// Stop its run.
    Freeze(RequestId),
    /// Go on with its run.
    Thaw(RequestId),
    /// The reply to the call that its run waits for.
    Deliver(RequestId, Vec<u8>),
    /// Go on without the call that this notice asked for.
    Forgo(RequestId, u64),
    /// Ask for the gauges.
    Sample(u64),
    /// Do the work of a deep health check.
    Exercise(u64),
}

/// What the actor is told.
#[derive(Debug, PartialEq, Eq)]
pub enum Word {
    /// Something the agent is to do.
    Order(Order),
    /// Where the agent is from now on.
    Address(SocketAddr),
}

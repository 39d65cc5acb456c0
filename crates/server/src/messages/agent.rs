//! What the render farm agent's actor is told.

use std::net::SocketAddr;

use umberloom::interface::RequestId;

/// Something the agent is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentCommand {
    /// Run a request of this class with this body.
    Launch(RequestId, String, Vec<u8>),
    /// Stop its run.
    Pause(RequestId),
    /// Go on with its run.
    Resume(RequestId),
    /// The reply to the call that its run waits for.
    DeliverReply(RequestId, Vec<u8>),
    /// Go on without the call that this notice asked for.
    SkipCall(RequestId, u64),
    /// Ask for the gauges.
    SampleGauges(u64),
    /// Do the work of a deep health check.
    RunHealthCheck(u64),
}

/// What the actor is told.
#[derive(Debug, PartialEq, Eq)]
pub enum AgentActorMessage {
    /// Something the agent is to do.
    Command(AgentCommand),
    /// Where the agent is from now on.
    SetAddress(SocketAddr),
}

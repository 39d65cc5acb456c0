//! Messages to the actor that keeps the link to the render farm agent.

use std::net::SocketAddr;

use umberloom::interface::RequestId;

/// A command to the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentCommand {
    /// Run a request.
    Launch {
        /// The request.
        id: RequestId,
        /// Name of its class.
        class: String,
        /// Its body.
        body: Vec<u8>,
    },
    /// Stop the run of this request.
    Pause(RequestId),
    /// Go on with the paused run of this request.
    Resume(RequestId),
    /// Give a run the reply to the call that it waits for.
    DeliverReply {
        /// The request.
        id: RequestId,
        /// Body of the reply.
        body: Vec<u8>,
    },
    /// Let a run go on without the call that it waits for.
    SkipCall {
        /// The request.
        id: RequestId,
        /// Number of the notice that asked for the call.
        notice_seq: u64,
    },
    /// Sample the gauges; the answer carries this tag.
    SampleGauges(u64),
    /// Do the work of a deep health check; the answer carries this tag.
    RunHealthCheck(u64),
}

/// What the mailbox of the agent's actor takes.
#[derive(Debug, PartialEq, Eq)]
pub enum AgentActorMessage {
    /// A command to pass on to the agent.
    Command(AgentCommand),
    /// The agent is at this address from now on.
    SetAddress(SocketAddr),
}

//! Messages to the actor that keeps the link to the render farm agent.

use std::net::SocketAddr;

use umberloom::interface::RequestId;

/// A command to the render farm agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentCommand {
    /// Starts a run for a request.
    Launch {
        /// Id of the request.
        id: RequestId,
        /// Name of the request's class.
        class: String,
        /// Body of the request.
        body: Vec<u8>,
        /// Whether the command may be repeated on a new link although the agent may have read it. The run may
        /// have ended by then, and would be started again.
        repeatable: bool,
    },
    /// Stops the run of this request (preemption).
    Pause(RequestId),
    /// Resumes the paused run of this request.
    Resume(RequestId),
    /// Delivers the reply to the downstream call that a run waits for.
    DeliverReply {
        /// Id of the run's request.
        id: RequestId,
        /// Body of the reply.
        body: Vec<u8>,
    },
    /// Lets a run continue without the downstream call that it waits for.
    SkipCall {
        /// Id of the run's request.
        id: RequestId,
        /// Sequence number of the agent's notice that asked for the call.
        notice_seq: u64,
    },
    /// Samples the gauges; the agent's answer carries this tag.
    SampleGauges(u64),
    /// Does the work of a deep health check; the agent's answer carries this tag.
    RunHealthCheck(u64),
}

/// Messages to the actor that keeps the link to the agent.
#[derive(Debug, PartialEq, Eq)]
pub enum AgentActorMessage {
    /// A command to pass on to the agent.
    Command(AgentCommand),
    /// Changes the address of the agent.
    SetAddress(SocketAddr),
}

//! Messages between actors.
//!
//! This module stands below all actors and knows no protocol: a request, its response and a health check are the same
//! by whichever protocol they came, and no actor knows who sends it its messages.

pub mod agent;
pub mod caller;
pub mod calls;
pub mod fleet;
pub mod listener;
pub mod registration;

use umberloom::interface::{Micros, Outcome, RequestId};

use caller::{HealthCheck, Request};
use calls::{CallId, DependencySettings};

/// How a run ended, as the agent reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It succeeded with this result.
    Success(Vec<u8>),
    /// It failed.
    Failed,
    /// It was stopped, or ended at a call as its request is over.
    Aborted,
    /// Nothing was started, as the request is over.
    NotStarted,
}

/// What the mailbox of the admission actor takes. Requests that the agent names are named by strings until they are
/// looked up in the request table.
#[derive(Debug)]
pub enum AdmissionMessage {
    /// A request has arrived.
    Request(Box<Request>),
    /// A health check has arrived.
    HealthCheck(HealthCheck),
    /// Nobody waits for a request any more.
    Cancelled {
        /// The request.
        id: RequestId,
        /// What tells it from others of the same name (see [`caller::ReplyTo::serial`]).
        serial: u64,
    },
    /// The link to the agent is up.
    AgentUp {
        /// How long ago the agent was started.
        uptime: Micros,
    },
    /// The link to the agent is lost.
    AgentLinkLost,
    /// A run has ended.
    RunEnded {
        /// The request.
        id: String,
        /// How the run ended.
        outcome: RunOutcome,
        /// How long it took.
        duration: Micros,
    },
    /// A run waits for a downstream call.
    NeedsCall {
        /// The request.
        id: String,
        /// Number of the notice that asks for the call.
        notice_seq: u64,
        /// Body of the call.
        body: Vec<u8>,
    },
    /// The answer to [`agent::AgentCommand::SampleGauges`].
    GaugesSampled {
        /// Tag of the command.
        tag: u64,
        /// The gauges, in the order of the settings.
        values: Vec<f64>,
    },
    /// The answer to [`agent::AgentCommand::RunHealthCheck`].
    HealthCheckEnded {
        /// Tag of the command.
        tag: u64,
        /// Whether the work was done well.
        healthy: bool,
    },
    /// The agent did not execute a command.
    AgentRejected {
        /// Name of the command in the agent's protocol.
        command: String,
        /// The request that it was about.
        id: String,
    },
    /// A notice from the agent about this request can't be true.
    InvalidAgentNotice {
        /// The request.
        id: String,
    },
    /// A downstream call has ended.
    CallEnded {
        /// The call.
        id: CallId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        duration: Micros,
        /// Body of a good reply.
        body: Vec<u8>,
    },
    /// The operator's file asks for this from now on.
    DependenciesReconfigured(Box<DependencySettings>),
    /// An event of the fleet.
    Fleet(fleet::FleetEvent),
    /// Notice to drain. These are moments and not spans, as the process may be stalled before the message is read.
    Drain {
        /// When the notice was received.
        noticed_at: Micros,
        /// When the process is stopped.
        stop_at: Micros,
    },
}

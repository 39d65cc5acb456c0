//! Messages between actors.
//!
//! All actors depend on this module; it depends on none of them and on no protocol: requests, responses and
//! health checks have the same types whichever protocol they arrive by, and no actor knows the senders of its
//! messages.

pub mod agent;
pub mod caller;
pub mod calls;
pub mod diagnostics;
pub mod fleet;
pub mod listener;
pub mod registration;

use umberloom::interface::{Micros, Outcome, RequestId};

use caller::{HealthCheck, Request};
use calls::{CallId, DependencySettings};

/// How a run ended, as the agent reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run succeeded with this result.
    Success(Vec<u8>),
    /// The run failed.
    Failed,
    /// The run was stopped, or ended at a downstream call because its request had ended.
    Aborted,
    /// No run was started, because the request had ended.
    NotStarted,
}

/// Messages to the admission actor. Requests that the agent refers to are identified by strings until they
/// are looked up in the request table.
#[derive(Debug)]
pub enum AdmissionMessage {
    /// A request has arrived.
    Request(Box<Request>),
    /// A health check has arrived.
    HealthCheck(HealthCheck),
    /// A caller no longer waits for its request.
    Cancelled {
        /// Id of the request.
        id: RequestId,
        /// Serial number, which differs between requests with the same id (see [`caller::ReplyTo::serial`]).
        serial: u64,
    },
    /// The link to the agent is up.
    AgentUp {
        /// Time since the agent was started, in microseconds.
        uptime: Micros,
    },
    /// The link to the agent is lost.
    AgentLinkLost,
    /// A link ended before the agent acknowledged the launch of a run that must not be launched again. The run
    /// may be in progress, or may never have been started.
    LaunchUncertain {
        /// Id of the request.
        id: RequestId,
    },
    /// A run has ended.
    RunEnded {
        /// Id of the request.
        id: String,
        /// How the run ended.
        outcome: RunOutcome,
        /// Duration of the run, in microseconds.
        duration: Micros,
    },
    /// A run waits for a downstream call.
    NeedsCall {
        /// Id of the run's request.
        id: String,
        /// Sequence number of the agent's notice that asks for the call.
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
        /// Whether the work succeeded.
        healthy: bool,
    },
    /// The agent did not execute a command.
    AgentRejected {
        /// Name of the command in the agent's protocol.
        command: String,
        /// Id of the request that the command was about.
        id: String,
    },
    /// The agent sent an invalid notice about a request.
    InvalidAgentNotice {
        /// Id of the request.
        id: String,
    },
    /// A downstream call has ended.
    CallEnded {
        /// Id of the call.
        id: CallId,
        /// How the call ended.
        outcome: Outcome,
        /// Duration of the call, in microseconds.
        duration: Micros,
        /// Body of the reply, if the call succeeded.
        body: Vec<u8>,
    },
    /// The dependencies or call plans in the operator's file have changed.
    DependenciesReconfigured(Box<DependencySettings>),
    /// An event from the fleet's actor.
    Fleet(fleet::FleetEvent),
    /// The notice to drain. It carries points in time and not durations, as the process may be stalled before
    /// the message is read.
    Drain {
        /// When the notice was received.
        noticed_at: Micros,
        /// When the process will be stopped.
        stop_at: Micros,
    },
}

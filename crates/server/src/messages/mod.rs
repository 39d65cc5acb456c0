//! What actors say to each other. It stands below them all and knows no protocol: a request, its answer and a health
//! check are the same by whichever way they came, and each actor takes its orders from here without knowing who gives
//! them.

pub mod agent;
pub mod caller;
pub mod calls;
pub mod fleet;
pub mod listener;
pub mod registration;

use umberloom::interface::{Micros, Outcome, RequestId};

use caller::{HealthCheck, Request};
use calls::{CallId, DependencySettings};

/// How a run ended, as the agent tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// Well, with this result.
    Success(Vec<u8>),
    /// It failed.
    Failed,
    /// It was stopped, or ended at a call as its request is over.
    Aborted,
    /// Nothing was started, as the request is over.
    NotStarted,
}

/// What the module's mailbox takes.
#[derive(Debug)]
pub enum AdmissionMessage {
    /// A request has come.
    Request(Box<Request>),
    /// A health check has come.
    HealthCheck(HealthCheck),
    /// Nobody waits for the request of this name and serial any more.
    Cancelled(RequestId, u64),
    /// The agent is up, since so long.
    AgentUp(Micros),
    /// The link to the agent is lost.
    AgentLinkLost,
    /// A run is over.
    RunEnded(String, RunOutcome, Micros),
    /// A run waits for a call.
    NeedsCall(String, u64, Vec<u8>),
    /// Gauges, as asked for under this tag.
    GaugesSampled(u64, Vec<f64>),
    /// End of the work of a deep health check.
    HealthCheckEnded(u64, bool),
    /// The agent did not carry out this command about this request.
    AgentRejected(String, String),
    /// What the agent said about this request can't be true.
    InvalidAgentNotice(String),
    /// A call is over, with the body of a good reply.
    CallEnded(CallId, Outcome, Micros, Vec<u8>),
    /// What the operator's file asks for from now on.
    DependenciesReconfigured(Box<DependencySettings>),
    /// News of the fleet.
    Fleet(fleet::FleetEvent),
    /// Notice to drain: when it came, and when the process is stopped. Moments, not spans: the process may stand still
    /// before this is taken.
    Drain {
        /// When the notice came.
        noticed_at: Micros,
        /// When the process is stopped.
        stop_at: Micros,
    },
}

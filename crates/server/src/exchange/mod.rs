//! What actors say to each other. It stands below them all and knows no protocol: a request, its answer and a health
//! check are the same by whichever way they came, and each actor takes its orders from here without knowing who gives
//! them.

pub mod agent;
pub mod caller;
pub mod calls;
pub mod fleet;
pub mod front;
pub mod list;

use umberloom::interface::{Micros, Outcome, RequestId};

use caller::{Check, Request};
use calls::{CallId, Wanted};

/// How a run ended, as the agent tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Well, with this result.
    Fine(Vec<u8>),
    /// It failed.
    Fault,
    /// It was stopped, or ended at a call as its request is over.
    BrokenOff,
    /// Nothing was started, as the request is over.
    Late,
}

/// What the module's mailbox takes.
#[derive(Debug)]
pub enum Message {
    /// A request has come.
    Request(Box<Request>),
    /// A health check has come.
    Check(Check),
    /// Nobody waits for the request of this name and serial any more.
    Gone(RequestId, u64),
    /// The agent is up, since so long.
    Greeted(Micros),
    /// The link to the agent is lost.
    LinkLost,
    /// A run is over.
    Outcome(String, RunEnd, Micros),
    /// A run waits for a call.
    NeedsCall(String, u64, Vec<u8>),
    /// Gauges, as asked for under this tag.
    Sampled(u64, Vec<f64>),
    /// End of the work of a deep health check.
    Exercised(u64, bool),
    /// The agent did not carry out this command about this request.
    AgentRefused(String, String),
    /// What the agent said about this request can't be true.
    Senseless(String),
    /// A call is over, with the body of a good reply.
    Called(CallId, Outcome, Micros, Vec<u8>),
    /// What the operator's file asks for from now on.
    Operator(Box<Wanted>),
    /// News of the fleet.
    Fleet(fleet::News),
    /// Notice to drain: when it came, and when the process is stopped. Moments, not spans: the process may stand still
    /// before this is taken.
    Leave {
        /// When the notice came.
        noticed_at: Micros,
        /// When the process is stopped.
        stop_at: Micros,
    },
}

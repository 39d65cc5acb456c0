//! Downstream calls, and the messages to the actors that make them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use umberloom::interface::{Micros, RequestId};
use umberloom_dependencies::config::Config;

use crate::memory::budget::Charge;

/// Names a call by the request it is made for and the number of the attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt. Calls of runs without a call plan have the number 0, so that a second call for a
    /// request takes the place of the first.
    pub attempt: u64,
}

impl CallId {
    /// The call of a run whose class has no call plan.
    pub fn without_plan(request: RequestId) -> CallId {
        CallId { request, attempt: 0 }
    }

    /// Whether this is the call of a run whose class has no call plan.
    pub fn is_without_plan(&self) -> bool {
        self.attempt == 0
    }
}

/// A call to be made.
#[derive(Debug)]
pub struct Call {
    /// Its name.
    pub id: CallId,
    /// The endpoint; `None` stands for the address of the platform's records service.
    pub address: Option<SocketAddr>,
    /// Its body.
    pub body: Rc<[u8]>,
    /// When it is given up.
    pub deadline: Micros,
}

/// What the mailbox of a dependency's actor takes.
#[derive(Debug)]
pub enum DependencyCommand {
    /// Make a call.
    Call(Call),
    /// Nobody waits for this call any more.
    Cancel(CallId),
    /// The platform's records service is at this address from now on. Calls in flight may end on their connections.
    SetAddress(SocketAddr),
}

/// The quota of a dependency whose concurrent calls several servers share.
#[derive(Clone, Debug)]
pub struct SharedQuotaConfig {
    /// Name of the dependency.
    pub dependency: Rc<str>,
    /// Its quota.
    pub config: umberloom_quota::Config,
}

/// The dependencies and call plans of the operator's file, with the actors that reach them.
pub struct DependencySettings {
    /// Dependencies and call plans, validated.
    pub config: Config,
    /// The mailbox of each dependency's actor, by the dependency's name.
    pub mailboxes: BTreeMap<Rc<str>, Sender<DependencyCommand>>,
    /// Quotas that are shared with other servers.
    pub shared_quotas: Vec<SharedQuotaConfig>,
    /// The memory of the fallback cache.
    pub charge: Charge,
}

impl std::fmt::Debug for DependencySettings {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("DependencySettings").field("config", &self.config).finish_non_exhaustive()
    }
}

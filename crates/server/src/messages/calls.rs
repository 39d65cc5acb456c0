//! Downstream calls, and the messages to the actors that make them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use umberloom::interface::{Micros, RequestId};
use umberloom_dependencies::config::Config;

use crate::memory::budget::Charge;

/// Identifies a downstream call by its request and the number of the attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    /// Id of the request that the call is made for.
    pub request: RequestId,
    /// Number of the attempt. Calls without a call plan have the number 0, so that a second call for a
    /// request replaces the first.
    pub attempt: u64,
}

impl CallId {
    /// The id of a call that is made without a call plan.
    pub fn without_plan(request: RequestId) -> CallId {
        CallId { request, attempt: 0 }
    }

    /// Whether the call is made without a call plan.
    pub fn is_without_plan(&self) -> bool {
        self.attempt == 0
    }
}

/// A downstream call to be made.
#[derive(Debug)]
pub struct Call {
    /// Id of the call.
    pub id: CallId,
    /// Address of the endpoint; `None` means the address of the platform's records service.
    pub address: Option<SocketAddr>,
    /// Body of the call.
    pub body: Rc<[u8]>,
    /// When the call is abandoned.
    pub deadline: Micros,
}

/// Messages to the actor of a dependency.
#[derive(Debug)]
pub enum DependencyCommand {
    /// Makes a call.
    Call(Call),
    /// Cancels a call, as nobody waits for it any more.
    Cancel(CallId),
    /// Changes the address of the platform's records service. Calls in flight may end on their present
    /// connections.
    SetAddress(SocketAddr),
}

/// The quota of a dependency: a limit on its concurrent calls that several servers share.
#[derive(Clone, Debug)]
pub struct SharedQuotaConfig {
    /// Name of the dependency.
    pub dependency: Rc<str>,
    /// Settings of the quota.
    pub config: umberloom_quota::Config,
}

/// The dependencies and call plans of the operator's file, with the mailboxes of the dependencies' actors.
pub struct DependencySettings {
    /// Dependencies and call plans, validated.
    pub config: Config,
    /// The mailbox of each dependency's actor, by the dependency's name.
    pub mailboxes: BTreeMap<Rc<str>, Sender<DependencyCommand>>,
    /// Quotas that are shared with other servers.
    pub shared_quotas: Vec<SharedQuotaConfig>,
    /// Memory charged for the fallback cache.
    pub charge: Charge,
}

impl std::fmt::Debug for DependencySettings {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("DependencySettings").field("config", &self.config).finish_non_exhaustive()
    }
}

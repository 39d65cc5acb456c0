//! Calls of runs, and what the actors of dependencies are told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use umberloom::interface::{Micros, RequestId};
use umberloom_dependencies::config::Config;

use crate::memory::budget::Charge;

/// Names a call: by the request it is for, and by its number. Calls of runs without a plan have the number 0, so
/// that a second one for a request takes the place of the first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    /// The request.
    pub request: RequestId,
    /// The number.
    pub attempt: u64,
}

impl CallId {
    /// The call of a run without a plan.
    pub fn plain(request: RequestId) -> CallId {
        CallId { request, attempt: 0 }
    }
}

/// A call to be made.
#[derive(Debug)]
pub struct Call {
    /// Its name.
    pub id: CallId,
    /// The endpoint; none is the platform's address.
    pub address: Option<SocketAddr>,
    /// Its body.
    pub body: Rc<[u8]>,
    /// When it is to be given up.
    pub until: Micros,
}

/// What the module wants.
#[derive(Debug)]
pub enum DependencyCommand {
    /// Make a call.
    Call(Call),
    /// Nobody waits for this call any more.
    Cancel(CallId),
    /// Where the platform's service is from now on. Calls under way may end on their connections.
    SetAddress(SocketAddr),
}

/// What the operator's file asks for, made ready.
pub struct DependencySettings {
    /// Dependencies and plans, without mistakes.
    pub config: Config,
    /// The mailbox of each dependency, by its name.
    pub mailboxes: BTreeMap<Rc<str>, Sender<DependencyCommand>>,
    /// What is shared with other servers, by dependency.
    pub shared_quotas: Vec<(Rc<str>, umberloom_quota::Config)>,
    /// The memory of kept results.
    pub charge: Charge,
}

impl std::fmt::Debug for DependencySettings {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Wanted").field("config", &self.config).finish_non_exhaustive()
    }
}

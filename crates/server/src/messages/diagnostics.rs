//! State that actors publish for the line that is logged at the exit. Nothing decides by it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::caller::ConnectionActivity;

/// The state of the link to the agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AgentLinkState {
    /// There is no link.
    #[default]
    Disconnected,
    /// The link is up, and the agent has not sent its greeting.
    AwaitingGreeting,
    /// The agent has sent its greeting; the notices missed without a link are not all received, and no command
    /// is sent.
    AwaitingMissedNotices,
    /// Commands are sent.
    Up,
}

impl fmt::Display for AgentLinkState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// The state of the link to the agent and when it changed. Clones share it.
#[derive(Clone, Debug)]
pub struct AgentLinkStatus(Rc<AgentLinkCells>);

#[derive(Debug)]
struct AgentLinkCells {
    state: Cell<AgentLinkState>,
    changed_at: Cell<Instant>,
    sample_answered_at: Cell<Option<Instant>>,
}

impl Default for AgentLinkStatus {
    fn default() -> AgentLinkStatus {
        AgentLinkStatus(Rc::new(AgentLinkCells {
            state: Cell::default(),
            changed_at: Cell::new(Instant::now()),
            sample_answered_at: Cell::new(None),
        }))
    }
}

impl AgentLinkStatus {
    /// Notes the state of the link.
    pub fn set(&self, state: AgentLinkState) {
        if self.0.state.replace(state) != state {
            self.0.changed_at.set(Instant::now());
        }
    }

    /// Notes that the agent has answered a sample.
    pub fn record_sample(&self) {
        self.0.sample_answered_at.set(Some(Instant::now()));
    }

    /// The state, and for how long it has lasted.
    pub fn state(&self) -> (AgentLinkState, Duration) {
        (self.0.state.get(), self.0.changed_at.get().elapsed())
    }

    /// How long ago the agent answered a sample; `None` if it never did.
    pub fn sample_age(&self) -> Option<Duration> {
        self.0.sample_answered_at.get().map(|at| at.elapsed())
    }
}

/// All open connections of callers. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections(Rc<RefCell<BTreeMap<u64, Rc<ConnectionActivity>>>>);

/// What the open connections wait for. A connection is counted once, at the first that applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// A request received completely has no response.
    pub awaiting_response: usize,
    /// Responses are not written completely.
    pub unwritten: usize,
    /// All is written and the sending side is closed; the peer has not closed its own.
    pub awaiting_peer_close: usize,
    /// Nothing is open.
    pub idle: usize,
}

impl OpenConnections {
    /// Adds a connection until the returned registration is dropped.
    pub fn register(&self, activity: Rc<ConnectionActivity>) -> ConnectionRegistration {
        let mut connections = self.0.borrow_mut();
        let id = connections.last_key_value().map_or(0, |(id, _)| id + 1);
        connections.insert(id, activity);
        ConnectionRegistration { connections: self.clone(), id }
    }

    /// Counts the connections by what they wait for.
    pub fn counts(&self) -> ConnectionCounts {
        let mut counts = ConnectionCounts::default();
        for activity in self.0.borrow().values() {
            let count = if activity.open_requests.get() > 0 {
                &mut counts.awaiting_response
            } else if activity.unwritten_bytes.get() > 0 {
                &mut counts.unwritten
            } else if activity.awaiting_peer_close.get() {
                &mut counts.awaiting_peer_close
            } else {
                &mut counts.idle
            };
            *count += 1;
        }
        counts
    }
}

/// Removes a connection from [`OpenConnections`] when dropped.
#[derive(Debug)]
pub struct ConnectionRegistration {
    connections: OpenConnections,
    id: u64,
}

impl Drop for ConnectionRegistration {
    fn drop(&mut self) {
        self.connections.0.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;

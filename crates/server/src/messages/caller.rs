//! Requests of callers, their responses, and messages to their connections.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::Sender;
use umberloom::interface::{Micros, RequestId};

use crate::memory::budget::Charge;

/// Bound on a request's timeout and on the distance of its arrival from now: an hour. Larger values are taken for
/// mistakes, as they would spoil the admission controller's statistics of waits.
pub const MAX_TIME_OFFSET: Micros = 3_600_000_000;

/// A request for work, as its parameters state it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRequest {
    /// Name of this attempt.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant, if it names one.
    pub tenant: Option<String>,
    /// The work that its caller expects it to take, if stated.
    pub cost: Option<Micros>,
    /// When it reached the machine, in Unix microseconds.
    pub received_at: Micros,
    /// How long its caller waits from then on, if stated.
    pub timeout: Option<Micros>,
    /// It is marked as a retry.
    pub is_retry: bool,
    /// Number of the balancer.
    pub sender: u64,
    /// Memory that it takes while it waits, in kilobytes.
    pub queued_kb: f64,
    /// Its place from 0 to under 1 among all requests.
    pub rank: f64,
    /// The key of what it reads: requests with the same one have the same result.
    pub dedup_key: Option<String>,
    /// The idempotency key (`Once-Key`): all attempts of one request carry the same.
    pub idempotency_key: Option<String>,
}

impl WorkRequest {
    /// Whether its times are within [`MAX_TIME_OFFSET`] at this Unix time.
    pub fn has_plausible_times(&self, unix_now: Micros) -> bool {
        let received_near_now = self.received_at.abs_diff(unix_now) <= MAX_TIME_OFFSET;
        received_near_now && self.timeout.unwrap_or(0) <= MAX_TIME_OFFSET
    }

    /// How long its caller still waits at this Unix time, if a timeout is stated.
    pub fn remaining_timeout(&self, unix_now: Micros) -> Option<Micros> {
        let timeout = self.timeout?;
        Some(self.received_at.saturating_add(timeout).saturating_sub(unix_now))
    }
}

/// The final response to a request or health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Served, with this result.
    Served(Vec<u8>),
    /// Rejected: this attempt never ran.
    Rejected {
        /// How long the caller should wait before its next attempt; 0 where nothing is advised.
        retry_after: Micros,
        /// The caller should not try another server.
        terminal: bool,
    },
    /// Failed; it may or may not have taken effect.
    Failed,
    /// The request is malformed.
    BadRequest,
    /// Answer to a health check: whether this server is well.
    Health(bool),
    /// The caller has aborted it.
    Aborted,
}

/// The load hint that goes with every answer, once the admission controller has set one.
pub type LoadHint = Rc<Cell<Option<f64>>>;

/// A complete, valid request.
#[derive(Debug)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Place of its class in the settings.
    pub class: usize,
    /// Place of its tenant in the settings, 0 where there are none.
    pub tenant: usize,
    /// Its parameters.
    pub work: WorkRequest,
    /// Its body.
    pub body: Vec<u8>,
    /// Where its response goes.
    pub reply_to: ReplyTo,
    /// The memory that it takes, released when the request is dropped.
    pub charge: Charge,
}

/// A health check.
#[derive(Debug)]
pub struct HealthCheck {
    /// Whether the agent has to show that work gets done.
    pub is_deep: bool,
    /// Where its response goes.
    pub reply_to: ReplyTo,
}

/// What a connection's mailbox takes.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Send the response to a request.
    Respond {
        /// The request's slot on the connection.
        slot: u16,
        /// What tells the request from all others of this process.
        serial: u64,
        /// The response.
        response: Response,
    },
    /// Close if nothing is in flight.
    CloseIfIdle,
    /// Look at [`ConnectionActivity::closing`].
    Close,
}

/// Where the response to one request goes.
#[derive(Clone, Debug)]
pub struct ReplyTo {
    connection: Sender<ConnectionCommand>,
    slot: u16,
    /// Tells this request from all others of this process.
    serial: u64,
}

impl ReplyTo {
    /// The place of request `slot` on the connection with this mailbox.
    pub fn new(connection: Sender<ConnectionCommand>, slot: u16, serial: u64) -> ReplyTo {
        ReplyTo { connection, slot, serial }
    }

    /// What tells the request from all others of this process, whatever their names.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Sends the response.
    pub fn respond(&self, response: Response) {
        let command = ConnectionCommand::Respond { slot: self.slot, serial: self.serial, response };
        // The mailbox has room for one response to each request in flight (tested in `peers/listener/tests.rs`), so
        // this fails only when the connection is closed, and then nobody waits for the response.
        let _ = self.connection.try_send(command);
    }
}

/// What the listener sees of a connection.
#[derive(Debug, Default)]
pub struct ConnectionActivity {
    /// When it last carried something.
    pub last_active: Cell<Micros>,
    /// Complete requests in flight on it.
    pub open_requests: Cell<usize>,
    /// It has carried a complete request.
    pub has_requested: Cell<bool>,
    /// Set by the listener: nothing new is accepted, and the connection closes as soon as nothing is in flight. It is
    /// a flag and not a message, as a message that finds the mailbox full would leave the connection open to the end.
    pub closing: Cell<bool>,
}

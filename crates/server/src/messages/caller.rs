//! Requests from callers, the responses to them, and messages to callers' connections.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::Sender;
use umberloom::interface::{Micros, RequestId};

use crate::memory::budget::Charge;

/// Upper bound on a request's timeout and on the difference between its arrival time and now: one hour, in
/// microseconds. Larger values are treated as errors, as they would distort the admission controller's wait
/// statistics.
pub const MAX_TIME_OFFSET: Micros = 3_600_000_000;

/// The parameters of a request for work, as the caller stated them.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRequest {
    /// Id of the request, different for each attempt.
    pub id: String,
    /// Name of the request's class.
    pub class: String,
    /// Name of the request's tenant, if stated.
    pub tenant: Option<String>,
    /// Processing time that the caller expects the request to take, in microseconds, if stated.
    pub cost: Option<Micros>,
    /// When the request reached this machine, in Unix microseconds.
    pub received_at: Micros,
    /// How long the caller waits from `received_at` on, in microseconds, if stated.
    pub timeout: Option<Micros>,
    /// Whether the caller marked the request as a retry.
    pub is_retry: bool,
    /// Number of the balancer that sent the request.
    pub sender: u64,
    /// Memory that the request occupies while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// Quantile of the request's priority weight among all requests, from 0 to below 1.
    pub rank: f64,
    /// Key by which duplicates are recognized: requests of one class with the same key get the same result.
    /// It is the caller's resource key, or in a class with idempotency keys the idempotency key, which
    /// replaces it on arrival.
    pub dedup_key: Option<String>,
    /// The idempotency key (`Once-Key`), which is the same for all attempts of one request.
    pub idempotency_key: Option<String>,
}

impl WorkRequest {
    /// Whether the arrival time is within [`MAX_TIME_OFFSET`] of `unix_now` (Unix microseconds), and the
    /// timeout at most as long.
    pub fn has_plausible_times(&self, unix_now: Micros) -> bool {
        let received_near_now = self.received_at.abs_diff(unix_now) <= MAX_TIME_OFFSET;
        received_near_now && self.timeout.unwrap_or(0) <= MAX_TIME_OFFSET
    }

    /// How much longer the caller waits from `unix_now` (Unix microseconds) on, if a timeout is stated.
    pub fn remaining_timeout(&self, unix_now: Micros) -> Option<Micros> {
        let timeout = self.timeout?;
        Some(self.received_at.saturating_add(timeout).saturating_sub(unix_now))
    }
}

/// The final response to a request or health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The request was served with this result.
    Served(Vec<u8>),
    /// The request was rejected; this attempt never ran.
    Rejected {
        /// How long the caller should wait before its next attempt, in microseconds; 0 means no advice.
        retry_after: Micros,
        /// Whether the caller should not try another server.
        terminal: bool,
    },
    /// The request failed; it may or may not have taken effect.
    Failed,
    /// The request is malformed.
    BadRequest,
    /// Answer to a health check: whether this server is healthy.
    Health(bool),
    /// The caller aborted the request.
    Aborted,
}

/// The load hint that is sent with every response, once the admission controller has set one.
pub type LoadHint = Rc<Cell<Option<f64>>>;

/// A request that was received in full and validated.
#[derive(Debug)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's tenant in the settings, 0 if the settings have no tenants.
    pub tenant: usize,
    /// Parameters of the request.
    pub work: WorkRequest,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Connection and slot that the response is sent to.
    pub reply_to: ReplyTo,
    /// Memory charged for the request, released when the request is dropped.
    pub charge: Charge,
}

/// A health check.
#[derive(Debug)]
pub struct HealthCheck {
    /// Whether the check is deep: the agent has to do some work to pass it.
    pub is_deep: bool,
    /// Connection and slot that the response is sent to.
    pub reply_to: ReplyTo,
}

/// Messages to the actor of a connection.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Sends the response to a request.
    Respond {
        /// The request's slot on the connection.
        slot: u16,
        /// Serial number of the request, unique in this process.
        serial: u64,
        /// The response.
        response: Response,
    },
    /// Closes the connection if no request is in flight, or if it never carried a complete request.
    CloseIfIdle,
    /// Wakes the connection to check [`ConnectionActivity::closing`].
    Close,
}

/// The connection and slot that the response to one request is sent to.
#[derive(Clone, Debug)]
pub struct ReplyTo {
    connection: Sender<ConnectionCommand>,
    slot: u16,
    /// Serial number of the request, unique in this process.
    serial: u64,
}

impl ReplyTo {
    /// Addresses the request in `slot` of the connection that has this mailbox.
    pub fn new(connection: Sender<ConnectionCommand>, slot: u16, serial: u64) -> ReplyTo {
        ReplyTo { connection, slot, serial }
    }

    /// Serial number of the request, unique in this process even where several requests have the same id.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Sends the response to the connection.
    pub fn respond(&self, response: Response) {
        let command = ConnectionCommand::Respond { slot: self.slot, serial: self.serial, response };
        // The mailbox has room for one response to each request in flight (tested in
        // `peers/listener/tests.rs`), so this fails only if the connection is closed, and then nobody waits
        // for the response.
        let _ = self.connection.try_send(command);
    }
}

/// State of a connection that it shares with the listener.
#[derive(Debug, Default)]
pub struct ConnectionActivity {
    /// When data was last received or sent on the connection.
    pub last_active: Cell<Micros>,
    /// Number of requests in flight that were received in full.
    pub open_requests: Cell<usize>,
    /// Bytes of responses that are not written yet.
    pub unwritten_bytes: Cell<usize>,
    /// All responses are written and the sending side is closed; the peer has not closed its own.
    pub awaiting_peer_close: Cell<bool>,
    /// Whether a complete request has been received on the connection.
    pub has_requested: Cell<bool>,
    /// Set by the listener: no new requests are accepted, and the connection closes as soon as none is in
    /// flight. This is a flag and not a message, as a message lost to a full mailbox would leave the
    /// connection open until the process ends.
    pub closing: Cell<bool>,
}

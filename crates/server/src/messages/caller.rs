//! Those who ask: their requests, the answers, and what their connections are told.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::Sender;
use umberloom::interface::{Micros, RequestId};

use crate::memory::budget::Charge;

/// Times of arrival and budgets further off than this make no sense, and would spoil what the module knows of
/// waits: an hour.
pub const MAX_TIME_OFFSET: Micros = 3_600_000_000;

/// A request for work, as its parameters state it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRequest {
    /// Name of this try.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant, if it names one.
    pub tenant: Option<String>,
    /// The work that its caller expects it to be, if it says so.
    pub cost: Option<Micros>,
    /// When it reached the machine, in Unix microseconds.
    pub received_at: Micros,
    /// How long its caller waits from then on, if it says so.
    pub budget: Option<Micros>,
    /// It is marked as a further try of its request.
    pub is_retry: bool,
    /// Number of the balancer.
    pub sender: u64,
    /// Memory while held, in kilobytes.
    pub queued_kb: f64,
    /// Its place from 0 to under 1 among all requests.
    pub rank: f64,
    /// What a read is about.
    pub subject_key: Option<String>,
    /// The idempotency key (`Once-Key`): tries of one keyed request carry the same.
    pub idempotency_key: Option<String>,
}

impl WorkRequest {
    /// Whether its times can be meant by anyone whose Unix clock reads `unix`.
    pub fn is_timely(&self, unix: Micros) -> bool {
        self.received_at.abs_diff(unix) <= MAX_TIME_OFFSET && self.budget.unwrap_or(0) <= MAX_TIME_OFFSET
    }

    /// How long its caller still waits at this Unix time, if it says so.
    pub fn waits(&self, unix: Micros) -> Option<Micros> {
        self.budget.map(|budget| self.received_at.saturating_add(budget).saturating_sub(unix))
    }
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Served, with this result.
    Served(Vec<u8>),
    /// Turned away: this try never ran.
    Rejected {
        /// How long the caller should stay away; 0: no advice.
        retry_after: Micros,
        /// No other server is to be tried.
        terminal: bool,
    },
    /// Failed, without a promise.
    Failed,
    /// A request that makes no sense.
    BadRequest,
    /// A health check: good or bad.
    Health(bool),
    /// The caller has given it up: it ends without a word.
    Aborted,
}

/// The free value that goes with every answer, once the module has set one.
pub type LoadHint = Rc<Cell<Option<f64>>>;

/// A request that has come whole and makes sense.
#[derive(Debug)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Place of its class in the settings.
    pub class: usize,
    /// Place of its tenant in the settings, 0 where there are none.
    pub tenant: usize,
    /// What it asks for.
    pub work: WorkRequest,
    /// Its body.
    pub body: Vec<u8>,
    /// Where its answer goes.
    pub reply_to: ReplyTo,
    /// The memory that it takes.
    pub charge: Charge,
}

/// A health check.
#[derive(Debug)]
pub struct HealthCheck {
    /// Whether it wants to know that work gets done.
    pub is_deep: bool,
    /// Where its answer goes.
    pub reply_to: ReplyTo,
}

/// What a connection is told.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// The answer to a request.
    Respond(u16, u64, Response),
    /// Close if nothing is open.
    CloseIfIdle,
    /// Look at [`Activity::finish`].
    Close,
}

/// Where the answer to one request goes.
#[derive(Clone, Debug)]
pub struct ReplyTo {
    to: Sender<ConnectionCommand>,
    slot: u16,
    /// Tells this request from all others of this process.
    serial: u64,
}

impl ReplyTo {
    /// The place of request `slot` on the connection with this mailbox.
    pub fn new(to: Sender<ConnectionCommand>, slot: u16, serial: u64) -> ReplyTo {
        ReplyTo { to, slot, serial }
    }

    /// What tells the request from all others of this process, whatever their names.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Gives the answer. There is room for one for each open request (`the_mailbox_has_room_for_every_answer`
    /// in `front.rs`); a connection that is gone has nobody left to hear it.
    pub fn respond(&self, answer: Response) {
        let _ = self.to.try_send(ConnectionCommand::Respond(self.slot, self.serial, answer));
    }
}

/// What the front sees of a connection.
#[derive(Debug, Default)]
pub struct ConnectionActivity {
    /// When it last carried something.
    pub last_active: Cell<Micros>,
    /// Whole requests open on it.
    pub open_requests: Cell<usize>,
    /// It has carried a whole request.
    pub has_requested: Cell<bool>,
    /// Set by the front: nothing new is let in, and the connection is to close as soon as nothing is open. It stands here
    /// and not in the mailbox, as a word that finds no room there must not leave a connection open to the end.
    pub closing: Cell<bool>,
}

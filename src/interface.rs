//! What the decision module is told and what it may ask for.
//!
//! Whoever hosts a [`crate::Server`] translates its own protocol into these types and carries out
//! the actions. Times are microseconds on one clock of the host, which only goes forward.

use std::fmt;
use std::sync::Arc;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// Names a request; means nothing beyond that.
pub type RequestId = Arc<str>;

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// Repeats carry a key; it must run once only within its window.
    WithKey,
    /// It must not run again once it may have run.
    NotIdempotent,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this span of the first try earns the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the request's own work.
    pub objective_per_cost: f64,
    /// How long a client waits in all, over all its tries.
    pub deadline: Micros,
    /// Worth of a request.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_weight_share: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: how long after its arrival a request may come again.
    pub idempotency_window: Micros,
    /// Its requests may call below.
    pub calls_downstream: bool,
    /// Share of the worth that an answer without the call earns; 0: the call can't be left out.
    pub degraded_weight_share: f64,
}

/// A tenant and its quota over the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all servers, within its share.
    pub quota_per_s: f64,
}

/// What requests call while they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Downstream {
    /// Nothing.
    None,
    /// One dependency that all servers share.
    Shared,
    /// A next tier of servers that run this code too.
    NextTier,
}

/// What can be done with running work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// It can't be stopped.
    Never,
    /// Stopped work is lost.
    Abort,
    /// Stopped work keeps its progress and its memory.
    Pause,
}

/// How callers understand the value sent with every answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadHintKind {
    /// No value is sent.
    None,
    /// Callers send nothing of lower rank.
    MinRank,
    /// Each caller has at most so many requests out here.
    Tokens,
    /// The chance that a caller does not pass this server over.
    Weight,
}

/// All that a server is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed for random numbers.
    pub seed: u64,
    /// Its cores.
    pub cores: u32,
    /// Its memory in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request over that of a held one.
    pub run_memory_factor: f64,
    /// Memory of a kept key.
    pub key_kb: f64,
    /// It has just been started and is cold.
    pub starts_cold: bool,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a share of its class's worth.
    pub over_quota_weight_share: f64,
    /// Place of this server's tier, 0 for the one that clients' callers reach.
    pub tier: u32,
    /// Servers of this tier.
    pub servers: u32,
    /// Callers of this tier.
    pub callers: u32,
    /// What requests call.
    pub downstream: Downstream,
    /// For [`Below::Common`]: this server's share of the calls that the dependency survives.
    pub call_quota: f64,
    /// The span over which calls in hand are averaged.
    pub call_window: Micros,
    /// How long at most an abandoned call stays in the dependency's hands.
    pub abandoned_call_lifetime: Micros,
    /// What can be done with running work.
    pub preemption: Preemption,
    /// How the free value is understood.
    pub load_hint: LoadHintKind,
    /// How long an answer to a read may serve other reads of its key; 0: never.
    pub shared_read_ttl: Micros,
    /// The longest advice to stay away that is heeded; 0: none is passed on.
    pub retry_after_max: Micros,
    /// Callers close connections that have carried nothing for this long.
    pub idle_timeout_max: Micros,
    /// Price of a new connection, in points of the result for one a request; 0: none.
    pub connection_cost: f64,
    /// After its due time an answer is still valid for this long.
    pub answer_slack: Micros,
    /// What arrives later than this after the notice to leave must not run.
    pub drain_grace: Micros,
    /// Requests on the cores, for each core, that a warm server survives.
    pub overload_per_core: f64,
    /// The span over which that crowd is averaged.
    pub overload_window: Micros,
    /// Share of its speed at which a cold server starts, at least.
    pub warm_up_initial_speed: f64,
    /// After this a cold server is warm.
    pub warm_up_time: Micros,
    /// Events come at most this often.
    pub tick: Micros,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings(pub &'static str);

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings make no sense: {}", self.0)
    }
}

impl std::error::Error for InvalidSettings {}

impl Settings {
    /// Refuses settings under which no decision could be right.
    pub fn validate(&self) -> Result<(), InvalidSettings> {
        let positive = |v: f64| v.is_finite() && v > 0.0;
        let share = |v: f64| v.is_finite() && v >= 0.0;
        let rules = [
            (self.cores > 0, "a server needs at least one core"),
            (!self.classes.is_empty(), "there is no request class"),
            (positive(self.memory_kb), "memory must be above 0"),
            (positive(self.run_memory_factor), "the memory factor of running work must be above 0"),
            (share(self.key_kb), "memory of a key must not be negative"),
            (self.servers > 0, "the tier has no server"),
            (share(self.connection_cost), "the price of a connection must not be negative"),
            (share(self.call_quota), "the share of calls must not be negative"),
            (
                self.overload_per_core.is_finite() && self.overload_per_core >= 1.0,
                "the survivable crowd is under one a core",
            ),
            ((0.0..=1.0).contains(&self.warm_up_initial_speed), "the cold share of speed is outside 0 to 1"),
            (self.classes.iter().all(|c| c.deadline > 0), "a class has no deadline"),
            (self.classes.iter().all(|c| share(c.priority_weight)), "a class has a negative worth"),
            (self.tenants.iter().all(|t| share(t.quota_per_s)), "a quota is negative"),
        ];
        rules.iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, why)| Err(InvalidSettings(why)))
    }
}

/// A request that has been read and is now held.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its name.
    pub id: RequestId,
    /// Place of its class in the settings.
    pub class: usize,
    /// Place of its tenant in the settings.
    pub tenant: usize,
    /// Number of the calling party.
    pub caller: u64,
    /// How long its caller still waits, where that is told.
    pub caller_timeout: Option<Micros>,
    /// Time since it reached the machine.
    pub read_delay: Micros,
    /// Memory while held, in kilobytes.
    pub queued_kb: f64,
    /// Its place from 0 to under 1 among all requests, the least worth first.
    pub rank: f64,
    /// Expected work, where that is told.
    pub cost: Option<Micros>,
    /// The kept request that this one repeats.
    pub duplicate_of: Option<RequestId>,
    /// Marked as a further try.
    pub is_retry: bool,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Well.
    Ok,
    /// Failed; a call may have taken effect.
    Error,
    /// A call was turned away without being looked at.
    Rejected,
    /// A call was given up; it may have taken effect.
    TimedOut,
    /// What lies below was not reached.
    Unreachable,
    /// A call was cut off; it may have taken effect.
    ConnectionLost,
    /// A run was stopped, or ended at a call. Of a call that covers several services: it ended without what was
    /// needed and may have had effects, which says nothing of the others.
    Aborted,
    /// Nothing was begun.
    NotStarted,
}

impl Outcome {
    /// Proves that the call never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotStarted)
    }
}

/// The server's own gauges; those that a host lacks are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores busy of late.
    pub cpu: Option<f64>,
    /// All that wants a core now.
    pub on_cores: Option<f64>,
    /// Share of the memory in use.
    pub memory: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// Something the server is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read and is held.
    Arrived(Arrival),
    /// A run or a shared answer has concluded.
    RunEnded(RequestId, Outcome, Micros),
    /// A running request can't go on without a call.
    NeedsCall(RequestId),
    /// A call ended.
    CallEnded(RequestId, Outcome, Micros),
    /// Nobody waits for the request any more.
    Cancelled(RequestId),
    /// Notice to leave.
    Drain {
        /// The process is stopped after this span.
        time_left: Micros,
        /// So long ago the notice came: its grace counts from then, however late a host could tell.
        notified_ago: Micros,
    },
    /// A timer is due.
    Timer(Gauges),
}

/// Something the server wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held request, or go on with a paused one.
    Admit(RequestId),
    /// Stop running work. Not an answer.
    Preempt(RequestId),
    /// Turn the request away; this try never ran.
    Reject {
        /// Which request.
        id: RequestId,
        /// How long the caller should stay away; 0: no advice.
        retry_after: Micros,
        /// Ask the caller not to try elsewhere.
        terminal: bool,
    },
    /// Answer with an error, without a promise.
    Fail(RequestId),
    /// Make the call that a request waits for, to be given up at the stated time.
    Call(RequestId, Micros),
    /// Go on without the call.
    SkipCall(RequestId),
    /// Keep the request's key for this span.
    RetainKey(RequestId, Micros),
    /// Forget the request's key.
    ReleaseKey(RequestId),
    /// Answer by the result of the request that this one repeats.
    AwaitDuplicate(RequestId),
    /// Set what health checks are told, from store.
    SetReady(bool),
    /// Set the free value.
    SetLoadHint(f64),
    /// Close connections that have carried nothing for this long.
    CloseIdle(Micros),
    /// Come back with a timer after this span.
    WakeAfter(Micros),
    /// A line for the log.
    Log(String),
}

//! Settings, events and actions of the admission controller.
//!
//! The host of an [`AdmissionController`](crate::AdmissionController) translates its own protocol into these
//! types and executes the actions. Times are microseconds on one monotonic clock of the host.

use std::fmt;
use std::sync::Arc;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// An opaque identifier of a request.
pub type RequestId = Arc<str>;

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Duplicates carry an idempotency key; it must run only once within the window.
    WithKey,
    /// It must not run again once it may have run, and its duplicates can't be recognised.
    NotIdempotent,
}

impl Idempotency {
    /// Whether an attempt may be rejected. A rejection tells the caller that the request may be run at
    /// another server, where it would take effect again. `may_have_run` says whether any attempt of the
    /// request, this one included, may have run at this server.
    pub fn may_reject(self, may_have_run: bool) -> bool {
        self == Idempotency::Idempotent || !may_have_run
    }
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time from the first attempt on earns the full priority weight.
    pub latency_objective: Micros,
    /// The latency objective of a request grows by this multiple of its stated cost.
    pub objective_per_cost: f64,
    /// How long a client waits in total, over all attempts of its request.
    pub deadline: Micros,
    /// What an answer is worth in comparison with the other classes.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the objective still earns.
    pub late_weight_share: f64,
    /// Whether its requests may take effect more than once.
    pub idempotency: Idempotency,
    /// With [`Idempotency::WithKey`]: how long after the arrival of a request its duplicates may arrive.
    pub idempotency_window: Micros,
    /// Its requests may make downstream calls.
    pub calls_downstream: bool,
    /// Share of the weight that a degraded answer, made without the downstream call, earns; 0: the call can't
    /// be skipped.
    pub degraded_weight_share: f64,
}

/// A tenant and its quota over the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second over all servers.
    pub quota_per_s: f64,
}

/// What requests call while they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Downstream {
    /// They make no downstream calls.
    None,
    /// One dependency that all servers share.
    Shared,
    /// A next tier of servers that have an admission controller too.
    NextTier,
}

/// What can be done with running work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// It can't be preempted.
    Never,
    /// Preempted work is lost.
    Abort,
    /// Preempted work keeps its progress and its memory.
    Pause,
}

/// How callers understand the load hint that goes with every answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadHintKind {
    /// No hint is sent.
    None,
    /// The least rank of the requests that callers send.
    MinRank,
    /// The number of requests that each caller may have in flight at this server.
    Tokens,
    /// The probability that a caller considers this server.
    Weight,
}

/// The configuration of one server, which is fixed when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of the jitter in probe times.
    pub seed: u64,
    /// Number of cores.
    pub cores: u32,
    /// Memory for requests, in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request as a multiple of that of a queued one.
    pub run_memory_factor: f64,
    /// Memory of a retained idempotency key, in kilobytes.
    pub key_kb: f64,
    /// The server has just been started and is warming up.
    pub starts_cold: bool,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Share of its class's weight that a request beyond its tenant's quota earns.
    pub over_quota_weight_share: f64,
    /// Index of this server's tier; 0 is the one that clients' callers reach.
    pub tier: u32,
    /// Number of servers in this tier.
    pub servers: u32,
    /// Number of callers of this tier.
    pub callers: u32,
    /// What requests call.
    pub downstream: Downstream,
    /// With [`Downstream::Shared`]: this server's share of the concurrent calls that the dependency survives.
    pub call_quota: f64,
    /// Time over which calls in flight are averaged.
    pub call_window: Micros,
    /// How long the dependency may still work on an abandoned call.
    pub abandoned_call_lifetime: Micros,
    /// How running work can be stopped.
    pub preemption: Preemption,
    /// How callers understand the load hint.
    pub load_hint: LoadHintKind,
    /// How long an answer to a read may be used for other reads of the same key; 0: never.
    pub shared_read_ttl: Micros,
    /// The longest Retry-After that callers honour; 0: no Retry-After reaches them.
    pub retry_after_max: Micros,
    /// Idle time after which callers close their connections.
    pub idle_timeout_max: Micros,
    /// Cost of a new connection, as a share of what an answered request is worth; 0: none.
    pub connection_cost: f64,
    /// How long after its deadline an answer is still valid.
    pub answer_slack: Micros,
    /// Requests that arrive later than this after the drain notice must not run.
    pub drain_grace: Micros,
    /// Core demand per core, in requests, above which a warm server fails.
    pub overload_per_core: f64,
    /// Time over which the core demand is averaged for that bound.
    pub overload_window: Micros,
    /// Share of its full speed that a server has at the start of warming up, at the least.
    pub warm_up_initial_speed: f64,
    /// Time from the start after which a server is warm.
    pub warm_up_time: Micros,
    /// Least time between steps.
    pub tick: Micros,
}

/// Settings that [`Settings::validate`] rejects, with the rule that they break.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings(pub &'static str);

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings make no sense: {}", self.0)
    }
}

impl std::error::Error for InvalidSettings {}

impl Settings {
    /// Checks the rules that the values must follow.
    ///
    /// # Errors
    /// The first rule that the settings break.
    pub fn validate(&self) -> Result<(), InvalidSettings> {
        let positive = |v: f64| v.is_finite() && v > 0.0;
        let non_negative = |v: f64| v.is_finite() && v >= 0.0;
        let rules = [
            (self.cores > 0, "a server needs at least one core"),
            (!self.classes.is_empty(), "there is no request class"),
            (positive(self.memory_kb), "memory must be above 0"),
            (positive(self.run_memory_factor), "the memory factor of running work must be above 0"),
            (non_negative(self.key_kb), "the memory of an idempotency key must not be negative"),
            (self.servers > 0, "the tier has no server"),
            (non_negative(self.connection_cost), "the cost of a connection must not be negative"),
            (non_negative(self.call_quota), "the call quota must not be negative"),
            (
                self.overload_per_core.is_finite() && self.overload_per_core >= 1.0,
                "the survivable core demand is below one per core",
            ),
            (
                (0.0..=1.0).contains(&self.warm_up_initial_speed),
                "the initial speed while warming up is outside 0 to 1",
            ),
            (self.classes.iter().all(|c| c.deadline > 0), "a class has no deadline"),
            (
                self.classes.iter().all(|c| non_negative(c.priority_weight)),
                "a class has a negative priority weight",
            ),
            (self.tenants.iter().all(|t| non_negative(t.quota_per_s)), "a tenant has a negative quota"),
        ];
        rules.iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, why)| Err(InvalidSettings(why)))
    }
}

/// A request that has been read and waits for a decision.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its identifier, which is new for each attempt.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: usize,
    /// Number that identifies the caller.
    pub caller: u64,
    /// The caller timeout: how long its caller still waits, if stated.
    pub caller_timeout: Option<Micros>,
    /// Time from its arrival at the machine until it was read.
    pub read_delay: Micros,
    /// Memory while queued, in kilobytes.
    pub queued_kb: f64,
    /// Its quantile among all requests by priority weight, from 0 to below 1.
    pub rank: f64,
    /// Its expected work, as a run time, if stated.
    pub cost: Option<Micros>,
    /// The known request with the same idempotency key, if there is one.
    pub duplicate_of: Option<RequestId>,
    /// Whether it is marked as a retry.
    pub is_retry: bool,
}

/// How a run or a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed; a call may have taken effect.
    Error,
    /// A call was rejected: it did not run.
    Rejected,
    /// A call did not end by its deadline; it may have taken effect.
    TimedOut,
    /// The dependency of a call was not reached: the call did not run.
    Unreachable,
    /// The connection of a call was lost; it may have taken effect.
    ConnectionLost,
    /// A run was preempted, or ended while it waited for a call. A call to several services ended without a
    /// required response and may have taken effect; this says nothing of the other services.
    Aborted,
    /// A run or a call was not started.
    NotStarted,
}

impl Outcome {
    /// Whether this outcome proves that a call never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotStarted)
    }
}

/// Readings of the server's gauges. A gauge that the host lacks is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores that was busy over the last half second.
    pub cpu: Option<f64>,
    /// Number of tasks that want a core now, whether they have one or wait for one.
    pub core_demand: Option<f64>,
    /// Share of the memory that is in use.
    pub memory: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}

/// An event that the host passes to the admission controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read.
    Arrived(Arrival),
    /// A run, or the wait for a duplicate's answer, ended after this time.
    RunEnded(RequestId, Outcome, Micros),
    /// A running request needs a downstream call before it can go on.
    NeedsCall(RequestId),
    /// A downstream call ended after this time.
    CallEnded(RequestId, Outcome, Micros),
    /// Nobody waits for the request any more.
    Cancelled(RequestId),
    /// The server is to drain.
    Drain {
        /// Time until the process is stopped.
        time_left: Micros,
        /// Time since the drain notice, from which the drain grace counts.
        notified_ago: Micros,
    },
    /// The timer of [`Action::WakeAfter`] is due.
    Timer(Gauges),
}

/// An action that the host must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a queued request.
    Admit(RequestId),
    /// Stop the work of a running request. This does not answer the request.
    Preempt(RequestId),
    /// Answer that this attempt is rejected.
    Reject {
        /// The request that is rejected.
        id: RequestId,
        /// How long the caller should wait before it retries; 0: no Retry-After is sent.
        retry_after: Micros,
        /// Whether to ask the caller not to try another server.
        terminal: bool,
    },
    /// Answer with an error; the request may have run.
    Fail(RequestId),
    /// Make the downstream call that a request waits for, with this point in time as its deadline.
    Call(RequestId, Micros),
    /// Let the request go on without its downstream call, to a degraded answer.
    SkipCall(RequestId),
    /// Retain the request's idempotency key for this time.
    RetainKey(RequestId, Micros),
    /// Forget the request's idempotency key.
    ReleaseKey(RequestId),
    /// Answer with the result of the request that this one duplicates.
    AwaitDuplicate(RequestId),
    /// Set the readiness that health checks are answered with from now on.
    SetReady(bool),
    /// Set the load hint that goes with every answer.
    SetLoadHint(f64),
    /// Close connections that have been idle for this time.
    CloseIdle(Micros),
    /// Send [`Event::Timer`] after this time.
    WakeAfter(Micros),
    /// Write a line to the log.
    Log(String),
}

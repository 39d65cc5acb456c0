//! State of one endpoint, as observed by this server.

use std::rc::Rc;

use umberloom::interface::Micros;

use super::ejection::Ejection;
use super::FAILURE_LATENCY_FACTOR;
use crate::config::LimitBounds;
use crate::latency::PeakLatency;
use crate::limit::{ConcurrencyLimit, LimitStatus};

/// Whether an endpoint is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint gets calls.
    Active {
        /// Time at which its recovery ramp ends and it has its full weight.
        full_weight_at: Micros,
    },
    /// The endpoint gets no calls, unless no endpoint is active.
    Ejected {
        /// Time from which it may be probed.
        until: Micros,
    },
    /// A single call is in flight that shows whether the endpoint has recovered.
    Probing,
}

/// Status of an endpoint, for logs and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Address of the endpoint.
    pub address: Rc<str>,
    /// Whether it is in use.
    pub state: EndpointState,
    /// Last ejection of the endpoint; `None` once it has been healthy for long enough afterwards.
    pub last_ejection: Option<Ejection>,
    /// Whether it is an outlier that was not ejected because too many endpoints are.
    pub ejection_withheld: bool,
    /// Concurrency limit of the endpoint.
    pub limit: LimitStatus,
}

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub address: Rc<str>,
    pub state: EndpointState,
    pub limit: ConcurrencyLimit,
    /// Latency of answered calls.
    pub answer_latency: PeakLatency,
    /// Latency of all calls, with a penalty as the latency of failed ones.
    pub penalized_latency: PeakLatency,
    /// Number of calls answered since it was added or readmitted.
    pub answered: u32,
    pub consecutive_failures: u32,
    pub last_ejection: Option<Ejection>,
    /// Whether it is an outlier that was not ejected because too many endpoints are.
    pub ejection_withheld: bool,
    /// Whether it is no longer configured. It gets no new calls, and its index is reused after its last call
    /// has ended.
    pub retired: bool,
}

impl Endpoint {
    pub fn new(address: &str, bounds: LimitBounds) -> Endpoint {
        Endpoint {
            address: address.into(),
            state: EndpointState::Active { full_weight_at: 0 },
            limit: ConcurrencyLimit::new(bounds),
            answer_latency: PeakLatency::default(),
            penalized_latency: PeakLatency::default(),
            answered: 0,
            consecutive_failures: 0,
            last_ejection: None,
            ejection_withheld: false,
            retired: false,
        }
    }

    /// Returns whether it is configured and its concurrency limit allows another call.
    pub fn is_usable(&self) -> bool {
        !self.retired && self.limit.has_capacity()
    }

    pub fn is_active(&self) -> bool {
        matches!(self.state, EndpointState::Active { .. })
    }

    /// Records a failed call, with a latency penalty. `median` is the median latency of the other endpoints,
    /// in microseconds.
    pub fn record_failure(&mut self, now: Micros, median: f64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let base_latency = median.max(self.answer_latency.value()).min(median * FAILURE_LATENCY_FACTOR);
        let penalty = base_latency * FAILURE_LATENCY_FACTOR;
        self.penalized_latency.record(now, penalty as Micros);
    }

    pub fn record_answer(&mut self, now: Micros, took: Micros) {
        self.consecutive_failures = 0;
        self.answered = self.answered.saturating_add(1);
        self.answer_latency.record(now, took);
        self.penalized_latency.record(now, took);
    }

    pub fn status(&self) -> EndpointStatus {
        EndpointStatus {
            address: self.address.clone(),
            state: self.state,
            last_ejection: self.last_ejection,
            ejection_withheld: self.ejection_withheld,
            limit: self.limit.status(),
        }
    }
}

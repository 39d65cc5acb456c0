//! One endpoint, as this server sees it.

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
    /// It is.
    Active {
        /// From when on it has its full weight.
        full_weight_at: Micros,
    },
    /// It gets no calls.
    Ejected {
        /// When it may be probed.
        until: Micros,
    },
    /// A single call shows whether it is back.
    Probing,
}

/// What is known of an endpoint, for reports to people.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Its address.
    pub address: Rc<str>,
    /// Whether it is in use.
    pub state: EndpointState,
    /// Its last ejection, until it has been well for long enough.
    pub last_ejection: Option<Ejection>,
    /// It would be ejected, but too many are.
    pub ejection_withheld: bool,
    /// Its concurrency limit.
    pub limit: LimitStatus,
}

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub address: Rc<str>,
    pub state: EndpointState,
    pub limit: ConcurrencyLimit,
    /// Latency of calls that were answered.
    pub answer_latency: PeakLatency,
    /// The same with what failed calls count as.
    pub penalized_latency: PeakLatency,
    /// Calls answered since it came into use.
    pub answered: u32,
    pub consecutive_failures: u32,
    pub last_ejection: Option<Ejection>,
    /// It would be ejected, but too many are.
    pub ejection_withheld: bool,
    /// No longer configured: it gets no new calls, and is dropped once its last call has ended.
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

    /// Whether it may get a call as far as its limit goes.
    pub fn is_usable(&self) -> bool {
        !self.retired && self.limit.has_capacity()
    }

    pub fn is_active(&self) -> bool {
        matches!(self.state, EndpointState::Active { .. })
    }

    /// `median` is the median latency of the other endpoints.
    pub fn record_failure(&mut self, now: Micros, median: f64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let usual = median.max(self.answer_latency.value()).min(median * FAILURE_LATENCY_FACTOR);
        let penalty = usual * FAILURE_LATENCY_FACTOR;
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

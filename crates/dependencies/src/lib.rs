//! Decides how the downstream calls of a request are spread over the services that it depends on.
//!
//! For each class of requests the operator configures a *call plan*: stages that follow each other, and in each stage
//! calls that are made side by side. A *required* call fails the request when it has no result; without an optional
//! one the response is partial. For every call the package decides
//!
//! - how much time it has ([`time_budget`]): a part of what is left by the weight of its stage, after the time for the
//!   request's own work has been reserved;
//! - whether a failed attempt is retried and when ([`retry`]), out of a retry budget that an outage empties, and
//!   whether a slow one gets a hedged request;
//! - which endpoint it goes to, and which endpoints are ejected as outliers ([`load_balancer`]);
//! - how many calls are in flight ([`limit`]), and which queued call is dispatched next;
//! - when a dependency is not called at all ([`breaker`]), and how far apart the probes of many servers are
//!   ([`probe_pacing`]);
//! - what stands in for a missing result ([`fallback_cache`], [`config::Fallback`]), and what the request gets
//!   ([`aggregation`]).
//!
//! There is no I/O, no clock and no entropy: [`Engine`] takes events with their times, returns actions, and draws from
//! a generator with a given seed. Times are in microseconds on any clock that does not go back. Whether a request may
//! make calls at all, and until when, is decided by the admission controller ([`PlanRequest::call_deadline`]).
//!
//! ```
//! use umberloom::interface::Outcome;
//! use umberloom_dependencies::config::{CallConfig, Config, DependencyConfig, PlanConfig, StageConfig};
//! use umberloom_dependencies::{Action, Engine, PlanRequest};
//!
//! let call = CallConfig { dependency: "billing".to_owned(), required: true };
//! let stage = StageConfig { weight: 1.0, min_time: 0, max_time: 500_000, calls: vec![call] };
//! let config = Config {
//!     dependencies: vec![DependencyConfig::new("billing", &["127.0.0.1:9001"])],
//!     plans: vec![PlanConfig { class: "book-room".to_owned(), stages: vec![stage] }],
//!     ..Config::default()
//! };
//! let mut engine = Engine::new(0, config, 1).expect("a valid configuration");
//! let mut actions = Vec::new();
//! let request = PlanRequest {
//!     plan: 7,
//!     class: "book-room",
//!     priority_level: 1,
//!     resource_key: None,
//!     call_deadline: 900_000,
//!     request_deadline: 1_000_000,
//!     is_retry: false,
//! };
//! engine.start_plan(0, &request, &mut actions);
//! let Some(Action::StartAttempt { attempt, deadline: 500_000, .. }) = actions.pop() else {
//!     panic!("an attempt is started")
//! };
//! engine.handle_attempt_end(20_000, attempt, Outcome::Ok, b"paid".to_vec(), &mut actions);
//! let Some(Action::FinishPlan { plan: 7, outcome: Outcome::Ok, response: Some(response) }) = actions.pop() else {
//!     panic!("the plan ends")
//! };
//! assert!(response.is_complete());
//! ```

pub mod aggregation;
pub mod breaker;
pub mod config;
mod dependency;
mod engine;
pub mod fallback_cache;
pub mod latency;
pub mod limit;
pub mod load_balancer;
mod plan;
pub mod probe_pacing;
pub mod retry;
pub mod time_budget;

pub use dependency::{Demand, DependencyStatus};
pub use engine::{Action, CallCounts, Engine, PlanRequest};

/// Names a plan in flight; chosen by the host.
pub type PlanId = u64;
/// Names an attempt; chosen by the engine.
pub type AttemptId = u64;

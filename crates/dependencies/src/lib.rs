//! Schedules the downstream calls of a request to the services that it depends on.
//!
//! For each class of requests the operator configures a *call plan*: a sequence of stages, each with calls
//! that are made in parallel. If a *required* call has no result, the request fails; if an optional one has
//! none, the response is partial. For every call this package decides
//!
//! - how much time it has ([`time_budget`]): a share of the remaining time by the weight of its stage, after
//!   time for the request's own work has been reserved;
//! - whether and when a failed attempt is retried ([`retry`]), within a retry budget that an outage empties,
//!   and whether a slow attempt gets a hedged request;
//! - which endpoint it goes to, and which endpoints are ejected as outliers ([`load_balancer`]);
//! - how many calls may be in flight ([`limit`]), and which queued call is dispatched next;
//! - when a dependency is not called at all ([`breaker`]), and how the probes of many servers are spaced
//!   ([`probe_pacing`]);
//! - which fallback replaces a missing result ([`fallback_cache`], [`config::Fallback`]), and which response
//!   the request gets ([`aggregation`]).
//!
//! The package does no I/O, reads no clock and uses no entropy: [`Engine`] takes events with their times and
//! returns actions, and its random number generator is seeded by the host. Times are in microseconds on any
//! clock that does not go back. The admission controller decides whether a request may make calls, and until
//! when ([`PlanRequest::call_deadline`]).
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

/// ID of a plan in flight, chosen by the host.
pub type PlanId = u64;
/// ID of an attempt, chosen by the engine.
pub type AttemptId = u64;

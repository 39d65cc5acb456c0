//! Decides how the calls of a run are spread over the services that it depends on.
//!
//! For each class of requests the operator names a *plan*: stages that follow each other, and in each stage calls
//! that are made side by side. A call that is *needed* fails the request when it brings nothing; one that is *wanted*
//! leaves a partial answer. The package decides for every call
//!
//! - how much time it has ([`time_budget`]): a share of what is left by the weight of its stage, after what the run itself
//!   still needs has been set aside;
//! - whether a failed attempt is repeated and when ([`retry`]), out of a budget that empties in an outage, and whether
//!   a slow one gets a second copy;
//! - which endpoint it goes to and which endpoints are left out ([`load_balancer`]);
//! - how many calls are in flight ([`limit`]), and who gets a scarce place;
//! - when a dependency is not called at all ([`breaker`]), and how far apart many servers look again ([`probe_pacing`]);
//! - what stands in for a reply ([`fallback_cache`], [`config::Fallback`]) and what the run is told ([`aggregation`]).
//!
//! There is no I/O, no clock and no source of chance of its own: [`Engine`] takes events with their times and gives
//! actions, and draws from a generator with a stated seed. Times are in microseconds, on any clock that does not go
//! back. Whether a run may call at all, and until when, is the decision module's word ([`PlanRequest::until`]).
//!
//! ```
//! use umberloom::interface::Outcome;
//! use umberloom_dependencies::config::{Call, Config, Dependency, Plan, Stage};
//! use umberloom_dependencies::{Action, Engine, PlanRequest};
//!
//! let call = Call { dependency: "billing".to_owned(), needed: true };
//! let stage = Stage { share: 1.0, least: 0, most: 500_000, calls: vec![call] };
//! let config = Config {
//!     dependencies: vec![Dependency::new("billing", &["127.0.0.1:9001"])],
//!     plans: vec![Plan { class: "book-room".to_owned(), stages: vec![stage] }],
//!     ..Config::default()
//! };
//! let mut engine = Engine::new(0, config, 1).expect("no mistakes");
//! let mut actions = Vec::new();
//! let ask = PlanRequest { plan: 7, class: "book-room", level: 1, key: None, until: 900_000, due: 1_000_000, again: false };
//! engine.start_plan(0, &ask, &mut actions);
//! let Some(Action::Start { attempt, until: 500_000, .. }) = actions.pop() else { panic!("a call") };
//! engine.handle_attempt_end(20_000, attempt, Outcome::Ok, b"paid".to_vec(), &mut actions);
//! let Some(Action::Done { plan: 7, outcome: Outcome::Ok, envelope: Some(envelope) }) = actions.pop() else {
//!     panic!("an end")
//! };
//! assert!(envelope.is_complete());
//! ```

pub mod aggregation;
pub mod breaker;
pub mod config;
mod engine;
pub mod fallback_cache;
pub mod latency;
pub mod limit;
pub mod load_balancer;
mod plan;
pub mod probe_pacing;
pub mod retry;
mod service;
pub mod time_budget;

pub use engine::{Action, CallCounts, Engine, PlanRequest};
pub use service::{Demand, ServiceView};

/// What a host calls a plan; each under way has a name of its own.
pub type PlanId = u64;
/// What the engine calls an attempt.
pub type AttemptId = u64;

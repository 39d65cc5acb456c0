//! Tests of the engine with a simulated host and scripted dependencies. Invariants are checked after every
//! event.

mod fault_scenarios;
mod outage;
mod properties;
mod simulated_host;

//! The engine in a host of scripted dependencies, with its rules checked after every event.

mod fault_scenarios;
mod outage;
mod properties;
mod simulated_host;

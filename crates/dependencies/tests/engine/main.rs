//! The engine in a world of scripted dependencies, with its rules checked after every event.

mod hard_cases;
mod outage;
mod properties;
mod world;

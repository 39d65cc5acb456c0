//! What is kept in memory: open requests, kept keys and results, and the bound on all of it.

pub mod budget;
pub mod idempotency_cache;
pub mod request_table;

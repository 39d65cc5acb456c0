//! What is kept in memory: requests in flight, idempotency keys with their results, and the bound on all of it.

pub mod budget;
pub mod idempotency_cache;
pub mod request_table;

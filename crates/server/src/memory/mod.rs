//! State that is held in memory: requests in flight, idempotency keys with their results, and the memory
//! budget.

pub mod budget;
pub mod idempotency_cache;
pub mod known_attempts;
pub mod request_table;

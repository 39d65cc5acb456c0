//! Those outside: one actor with a mailbox for each.

pub mod agent;
pub mod balancer;
pub mod front;
pub mod journal;
pub mod list;
pub mod records;
pub mod stream;

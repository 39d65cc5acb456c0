//! Those outside: one actor with a mailbox for each.

pub mod agent;
pub mod ajp;
pub mod balancer;
pub mod dependency;
pub mod fleet;
pub mod front;
pub mod journal;
pub mod list;
pub mod stream;

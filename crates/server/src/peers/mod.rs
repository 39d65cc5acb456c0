//! Those outside: one actor with a mailbox for each.

pub mod agent;
pub mod ajp;
pub mod command_log;
pub mod connection;
pub mod dependency;
pub mod fleet;
pub mod listener;
pub mod registration;
pub mod stream;

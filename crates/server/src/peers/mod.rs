//! The actors of everything outside the process, each with a mailbox: load balancers ([`listener`], [`connection`]), the
//! render farm agent ([`agent`]), dependencies ([`dependency`], [`ajp`]), the announce service ([`registration`]) and
//! the other servers ([`fleet`]). They alone do I/O; the bytes are those of [`crate::wire`].

pub mod agent;
pub mod ajp;
pub mod command_log;
pub mod connection;
pub mod dependency;
pub mod fleet;
pub mod listener;
pub mod registration;
pub mod stream;

//! The actors that talk to other processes, each with a mailbox: load balancers ([`listener`],
//! [`connection`]), the render farm agent ([`agent`]), dependencies ([`dependency`], [`ajp`]), the announce
//! service ([`registration`]) and the other servers ([`fleet`]). Only they do network I/O; [`crate::wire`]
//! encodes and decodes what they send and receive.

pub mod agent;
pub mod ajp;
pub mod command_log;
pub mod connection;
pub mod dependency;
pub mod fleet;
pub mod listener;
pub mod registration;
pub mod stream;

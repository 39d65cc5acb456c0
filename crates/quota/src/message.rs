//! Messages between servers. `postcard` encodes them by position: neither variants nor fields may be moved.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// What servers send each other about one quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a lease.
    Request {
        /// The sender's number of this request.
        request_number: u64,
        /// Permits that are wanted.
        permits: u32,
        /// The highest priority level among the sender's waiting calls.
        priority_level: u16,
    },
    /// Grants a lease.
    Grant {
        /// The request that is answered.
        request_number: u64,
        /// The lender's number of the lease.
        lease_number: u64,
        /// Permits that are lent.
        permits: u32,
        /// For how long, in microseconds.
        duration: Micros,
    },
    /// Nothing can be lent now.
    Deny {
        /// The request that is answered.
        request_number: u64,
    },
    /// The borrower does not use a lease any more.
    Return {
        /// The lender's number of the lease.
        lease_number: u64,
    },
}

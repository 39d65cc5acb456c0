//! Messages between servers. `postcard` encodes them by position, so variants and fields must not be
//! reordered.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// A message from one server to another about one quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a lease.
    Request {
        /// The borrower's number for this request.
        request_number: u64,
        /// The number of permits requested.
        permits: u32,
        /// The highest priority level among the borrower's waiting calls.
        priority_level: u16,
    },
    /// Grants a lease.
    Grant {
        /// The number of the request that this answers.
        request_number: u64,
        /// The lender's number for the lease.
        lease_number: u64,
        /// The number of permits lent.
        permits: u32,
        /// Duration of the lease in microseconds.
        duration: Micros,
    },
    /// Denies a lease: the lender has nothing to lend at the moment.
    Deny {
        /// The number of the request that this answers.
        request_number: u64,
    },
    /// Returns a lease that the borrower no longer uses.
    Return {
        /// The lender's number for the lease.
        lease_number: u64,
    },
}

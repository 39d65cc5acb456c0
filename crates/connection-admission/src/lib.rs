//! Connection admission: which connections a server accepts and closes, and whose request it reads next.
//!
//! A server has a bounded number of file descriptors for connections, and reads a bounded number of requests at once.
//! Several listeners, each with a protocol of its own, share both. None may starve another, and capacity that one
//! listener leaves idle is lent to the others.
//!
//! - [`connection_table`] decides whether a new connection is accepted, which idle connection is closed for it, and
//!   which connections are closed so that a listener gets back the quota that others borrowed.
//! - [`read_scheduler`] decides whose request is read next where more wait than the server reads at once.
//!
//! There is no I/O and no clock: the host passes in the connections that it sees with the time, and carries out what is
//! returned. Which *requests* are admitted, run and rejected is decided by the admission controller; this package is
//! about what reaches it.
//!
//! ```
//! use umberloom_connection_admission::connection_table::{Admission, ConnectionState, ConnectionTable};
//!
//! // 32 descriptors: 30 in the table, of which two thirds belong to the first listener, and 2 for overflow.
//! let table = ConnectionTable::new(32, &[2, 1]);
//! assert_eq!(table.guaranteed_quota(0), 20);
//! let busy = |id| ConnectionState { requests_in_flight: 1, ..ConnectionState::new(id, 0, 0) };
//! let connections: Vec<ConnectionState> = (0..30).map(busy).collect();
//! // The first listener has borrowed everything. Requests on a new connection of the second one are rejected, and the
//! // borrowed connections are closed after their request.
//! assert_eq!(table.admit(0, 1, &connections).admission, Admission::RejectRequests);
//! assert_eq!(table.borrowed_connections_to_close(&connections).len(), 10);
//! ```

pub mod connection_table;
pub mod read_scheduler;

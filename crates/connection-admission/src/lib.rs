//! Connection admission: decides which connections a server accepts and closes, and whose request it reads
//! next.
//!
//! A server has a limited number of file descriptors for connections, and reads a limited number of requests
//! concurrently. Several listeners, each with its own protocol, share both. No listener may starve another,
//! and capacity that one listener leaves idle is lent to the others.
//!
//! - [`connection_table`] decides whether a new connection is accepted, which idle connection is closed for
//!   it, and which connections are closed so that a listener gets back the quota that others have borrowed.
//! - [`peer_memory`] divides the memory that peers can make the server use among its connections.
//! - [`read_scheduler`] decides whose request is read next when more callers wait than the server reads
//!   concurrently.
//!
//! The crate does no I/O and reads no clock: the host passes in its connections and the time, and carries out
//! the decisions that are returned. The admission controller decides which *requests* are admitted, run and
//! rejected; this crate decides which requests reach it.
//!
//! ```
//! use umberloom_connection_admission::connection_table::{Admission, ConnectionState, ConnectionTable};
//!
//! // 32 descriptors: 30 in the table, two thirds of them for the first listener, and 2 for overflow.
//! let table = ConnectionTable::new(32, &[2, 1]);
//! assert_eq!(table.guaranteed_quota(0), 20);
//! let busy = |id| ConnectionState { requests_in_flight: 1, ..ConnectionState::new(id, 0, 0) };
//! let connections: Vec<ConnectionState> = (0..30).map(busy).collect();
//! // The first listener has borrowed all capacity. Requests on a new connection of the second one are
//! // rejected, and the borrowed connections are closed after their requests.
//! assert_eq!(table.admit(0, 1, &connections).admission, Admission::RejectRequests);
//! assert_eq!(table.borrowed_connections_to_close(&connections).len(), 10);
//! ```

pub mod connection_table;
pub mod peer_memory;
pub mod read_scheduler;

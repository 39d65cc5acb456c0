//! Decides how connections and reading are shared among listeners and callers.
//!
//! A server has so many descriptors for connections and reads so much at once. Several listeners, each with a protocol
//! of its own, share both: none may starve another, and what one leaves the others may use. [`connection_table`] decides which
//! new connection finds a place and which connections are closed for it; [`read_scheduler`] decides whose request is read
//! next where more come than the server takes.
//!
//! There is no I/O and no clock: a host tells what it sees and carries out what comes back. What is let in, run and
//! turned away among *requests* is the decision module's alone; this is about what reaches it.
//!
//! ```
//! use umberloom_connection_admission::connection_table::{Admission, ConnectionState, ConnectionTable};
//!
//! // 32 descriptors: 30 places, of which two thirds are the first listener's; 2 at the door.
//! let places = ConnectionTable::new(32, &[2, 1]);
//! assert_eq!(places.guaranteed(0), 20);
//! let all: Vec<ConnectionState> = (0..30).map(|id| ConnectionState { open: 1, ..ConnectionState::new(id, 0, 0) }).collect();
//! // The first listener has borrowed all; the second one's newcomer is told so, and places are asked back for the next.
//! assert_eq!(places.admit(0, 1, &all).0, Admission::TurnedAway);
//! assert_eq!(places.to_give_back(&all).len(), 10);
//! ```

pub mod connection_table;
pub mod read_scheduler;

//! AJP/1.3 from both ends, as state machines without I/O.
//!
//! Written from the published protocol reference of the Apache Tomcat Connectors ("AJPv13"). Bytes go in, events come
//! out; what is to be written collects in a buffer that the host empties. A connection carries one request at a time:
//!
//! - [`server::ServerConnection`] is the end that answers (a *container* in the reference): requests in, answers out;
//! - [`client::ClientConnection`] is the end that asks (a *web server* in the reference): requests out, answers in;
//! - [`request::Request`] and [`response`] are the messages, [`packet`] the frames, [`data`] the values in them.
//!
//! No allocation follows a length that has not been checked against the packet it stands in, and no packet is larger
//! than both ends agreed on. Every failure is a [`DecodeError`] that names what was wrong; a connection on which it
//! happened can't be read any further and is to be closed.
//!
//! ```
//! use umberloom_ajp::server::{ServerConnection, Event};
//! use umberloom_ajp::client::{self, ClientConnection};
//! use umberloom_ajp::request::Request;
//!
//! let (mut caller, mut callee) = (ClientConnection::new(8192), ServerConnection::new(8192));
//! caller.send_request(&Request::new("GET", "/desks"), b"").expect("it fits a packet");
//! let (used, event) = callee.decode(&caller.output).expect("sound");
//! assert_eq!(used, caller.output.len());
//! let Some(Event::Request(request)) = event else { panic!("a request") };
//! assert_eq!(request.uri, "/desks");
//! callee.send_response(200, "OK", &[("Content-Type", "text/plain")], b"two desks", true).expect("in turn");
//! let (mut at, mut body) = (0, Vec::new());
//! while let (used @ 1.., event) = caller.decode(&callee.output[at..]).expect("sound") {
//!     at += used;
//!     if let Some(client::Event::Body(part)) = event {
//!         body.extend(part);
//!     }
//! }
//! assert_eq!(body, b"two desks");
//! ```

pub mod client;
pub mod codes;
pub mod data;
pub mod packet;
pub mod request;
pub mod response;
pub mod server;

use std::fmt;

/// What was wrong with bytes that were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError(pub &'static str);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Why something can't be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EncodeError {
    /// It does not fit a packet of the size agreed on.
    TooLong,
    /// The other end expects something else now.
    OutOfTurn,
}

impl fmt::Display for EncodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            EncodeError::TooLong => "longer than a packet",
            EncodeError::OutOfTurn => "not what the other end expects now",
        })
    }
}

impl std::error::Error for EncodeError {}

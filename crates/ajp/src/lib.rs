//! AJP/1.3, server and client side, as state machines without I/O.
//!
//! Implemented from the published protocol reference of the Apache Tomcat Connectors ("AJPv13"), which the
//! comments call the reference. Received bytes are decoded into events; bytes to be sent are collected in an
//! output buffer that the application writes and empties. A connection carries one request at a time:
//!
//! - [`server::ServerConnection`] is the side that answers requests (the *container* in the reference);
//! - [`client::ClientConnection`] is the side that sends requests (the *web server* in the reference);
//! - [`request::Request`] and [`response`] are the messages, [`packet`] has the framing, and [`data`] has the
//!   values within packets.
//!
//! Lengths are checked against the packet that contains them before memory is allocated, and a packet that
//! exceeds the configured maximum size is rejected. Invalid input gives a [`DecodeError`]; the connection
//! can't be read any further and must be closed.
//!
//! ```
//! use umberloom_ajp::client::{self, ClientConnection};
//! use umberloom_ajp::request::Request;
//! use umberloom_ajp::server::{Event, ServerConnection};
//!
//! let (mut client, mut server) = (ClientConnection::new(8192), ServerConnection::new(8192));
//! client.send_request(&Request::new("GET", "/desks"), b"").expect("fits a packet");
//!
//! let (used, event) = server.decode(&client.output).expect("valid");
//! assert_eq!(used, client.output.len());
//! let Some(Event::Request(request)) = event else { panic!("a request") };
//! assert_eq!(request.uri, "/desks");
//! server
//!     .send_response(200, "OK", &[("Content-Type", "text/plain")], b"two desks", true)
//!     .expect("a request is open");
//!
//! let (mut position, mut body) = (0, Vec::new());
//! while let (used @ 1.., event) = client.decode(&server.output[position..]).expect("valid") {
//!     position += used;
//!     if let Some(client::Event::Body(chunk)) = event {
//!         body.extend(chunk);
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

/// Why received bytes are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError(pub &'static str);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Why a message can't be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EncodeError {
    /// It does not fit a packet of the maximum size.
    TooLong,
    /// The state of the connection does not allow it now.
    OutOfTurn,
}

impl fmt::Display for EncodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            EncodeError::TooLong => "message exceeds the maximum packet size",
            EncodeError::OutOfTurn => "message not allowed in the current state of the connection",
        })
    }
}

impl std::error::Error for EncodeError {}

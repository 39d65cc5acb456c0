//! What is spoken on sockets: codecs that take bytes and give bytes, without any I/O.

pub mod buffer;
pub mod cgi;
pub mod fastcgi;
pub mod fleet;
pub mod http;
pub mod jsonl;
pub mod replicated_store;
pub mod responder;

#[cfg(test)]
mod test_bytes;

use std::fmt;

/// Bytes that no sound peer sends. The connection they came on is of no more use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedInput(pub &'static str);

impl fmt::Display for MalformedInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for MalformedInput {}

#[cfg(test)]
mod tests;

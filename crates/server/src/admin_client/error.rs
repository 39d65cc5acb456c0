//! Errors of the commands `umberloom fleet …`.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::lifecycle::config_files::ConfigFileError;

/// The reason why a command of `umberloom fleet` failed; its text is printed.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The operator's file can't be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The operator's file has no fleet.
    #[error("{file}: found no fleet, expected the node \"fleet\"")]
    NoFleet { file: String },
    /// The connection failed.
    #[error("{server}: {source}; expected the fleet address of a running server")]
    Connection { server: SocketAddr, source: io::Error },
    /// The server closed the connection, or sent nothing in time.
    #[error(
        "{server}: no response ({source}); a server of another fleet, or with another secret, sends none"
    )]
    NoResponse { server: SocketAddr, source: io::Error },
    /// Other messages arrived, but no response in time.
    #[error("{server}: no response within {seconds} s")]
    Timeout { server: SocketAddr, seconds: u64 },
    /// The server does not speak the fleet's protocol.
    #[error("{server}: received data that is not a valid frame")]
    InvalidFrame { server: SocketAddr },
    /// The response is not authentic, or has another version.
    #[error("{server}: the response failed verification ({reason})")]
    Untrusted { server: SocketAddr, reason: String },
    /// The response does not fit the request.
    #[error("{server}: the response does not fit the request")]
    UnexpectedResponse { server: SocketAddr },
    /// The server knows no member with this name.
    #[error("{server} knows no such member, it knows: {}", known.join(", "))]
    UnknownMember { server: SocketAddr, known: Vec<String> },
    /// The server rejected the request.
    #[error("{server}: {reason}")]
    Rejected { server: SocketAddr, reason: String },
    /// The store has no document with this name.
    #[error("{server}: no document {name:?}; existing documents: {}", known.join(", "))]
    UnknownDocument { server: SocketAddr, name: String, known: Vec<String> },
    /// The document changed during each attempt to read all of it.
    #[error("{server}: {name:?} changed during each attempt to read it")]
    ConcurrentWrites { server: SocketAddr, name: String },
    /// The document does not have the expected version.
    #[error("{server}: it has version {version} now, nothing was written")]
    VersionConflict { server: SocketAddr, version: u64 },
    /// The leader runs an older program that does not support the entry.
    #[error("{server}: the fleet's program does not support such an entry yet")]
    UnsupportedEntry { server: SocketAddr },
    /// There were no entries to write.
    #[error("there is nothing to write")]
    NothingToWrite,
    /// The content of a file is too long for a document.
    #[error("{file}: found {length} bytes, expected {max} at most")]
    DocumentTooLong { file: String, length: usize, max: usize },
    /// A file can't be read or written.
    #[error("{file}: {source}")]
    File { file: String, source: io::Error },
    /// An export is damaged; `origin` is the file or the server that it was read from.
    #[error("{origin}: {reason}")]
    InvalidExport { origin: String, reason: String },
    /// A result can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

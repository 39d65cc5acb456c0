//! Codecs of the protocols on sockets: they take bytes and return bytes, without any I/O.

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

/// Bytes that no valid peer sends. The connection on which they arrived can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedInput {
    /// FastCGI: a record's first byte is not the version.
    #[error("not a record of FastCGI 1.0")]
    FastCgiVersion,
    /// FastCGI: the lengths of a name-value pair exceed its stream.
    #[error("a name-value pair is longer than its stream")]
    TruncatedPair,
    /// FastCGI: the record that begins a request has too few bytes.
    #[error("the start of a request is too short")]
    ShortBeginRequest,
    /// FastCGI: a request begins under the number of an open one.
    #[error("a request begins twice")]
    DuplicateRequest,
    /// Agent: a line is not a notice.
    #[error("not a notice in JSON")]
    InvalidNotice,
    /// Agent: a line exceeds [`jsonl::MAX_LINE_BYTES`].
    #[error("a line too long")]
    LineTooLong,
    /// HTTP: the head of a reply can't be parsed.
    #[error("not a reply in HTTP")]
    InvalidReply,
    /// HTTP: the head of a reply exceeds [`http::MAX_HEAD_BYTES`].
    #[error("a head too long")]
    HeadTooLong,
    /// HTTP: the body of a reply exceeds [`http::MAX_BODY_BYTES`].
    #[error("a body too long")]
    BodyTooLong,
    /// HTTP: a reply states its length in two ways that differ.
    #[error("lengths that contradict each other")]
    ConflictingLengths,
    /// HTTP: a transfer coding other than `chunked`.
    #[error("a transfer coding that is not known")]
    UnknownTransferCoding,
    /// HTTP: a Content-Length that is not a number.
    #[error("a length that is no number")]
    InvalidLength,
    /// HTTP: a chunk's size can't be parsed.
    #[error("a chunk without a size")]
    InvalidChunkSize,
    /// HTTP: a chunk is not followed by an end of line.
    #[error("a chunk without an end")]
    UnterminatedChunk,
}

#[cfg(test)]
mod tests;

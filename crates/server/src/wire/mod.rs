//! Codecs of the protocols that this server speaks on sockets. They work on bytes in memory and do no I/O.

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

/// Input that violates its protocol. The connection that it arrived on can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedInput {
    /// FastCGI: the first byte of a record is not protocol version 1.
    #[error("not a FastCGI 1.0 record")]
    FastCgiVersion,
    /// FastCGI: the stated lengths of a name-value pair exceed the bytes that are left.
    #[error("truncated FastCGI name-value pair")]
    TruncatedPair,
    /// FastCGI: the content of a `FCGI_BEGIN_REQUEST` record is too short.
    #[error("FastCGI begin-request record is too short")]
    ShortBeginRequest,
    /// FastCGI: the content of a record without request data is longer than
    /// [`responder::MAX_CONTROL_BYTES`].
    #[error("FastCGI control record is too long")]
    ControlRecordTooLong,
    /// FastCGI: a request begins under the request id of an open one.
    #[error("FastCGI request id is already in use")]
    DuplicateRequest,
    /// Agent: a line is not a JSON object with the fields of a notice.
    #[error("line from the agent is not a valid JSON notice")]
    InvalidNotice,
    /// Agent: a line exceeds [`jsonl::MAX_LINE_BYTES`].
    #[error("line from the agent is too long")]
    LineTooLong,
    /// HTTP: the status line or a header of a reply can't be parsed.
    #[error("invalid HTTP reply")]
    InvalidReply,
    /// HTTP: the head of a reply exceeds [`http::MAX_HEAD_BYTES`].
    #[error("head of an HTTP reply is too long")]
    HeadTooLong,
    /// HTTP: the body of a reply exceeds [`http::MAX_BODY_BYTES`].
    #[error("body of an HTTP reply is too long")]
    BodyTooLong,
    /// HTTP: a reply has Content-Length headers that differ, or both Content-Length and Transfer-Encoding.
    #[error("lengths that contradict each other")]
    ConflictingLengths,
    /// HTTP: a reply has a transfer coding other than `chunked`.
    #[error("unsupported transfer coding")]
    UnknownTransferCoding,
    /// HTTP: the Content-Length of a reply is not a number.
    #[error("Content-Length is not a number")]
    InvalidLength,
    /// HTTP: a chunk's size can't be parsed.
    #[error("invalid chunk size")]
    InvalidChunkSize,
    /// HTTP: the data of a chunk is not followed by CRLF.
    #[error("chunk is not terminated by CRLF")]
    UnterminatedChunk,
}

#[cfg(test)]
mod tests;

//! A request on a connection, from its first record to its response, and how much of its content is kept.

use super::{Incoming, MAX_BODY_BYTES, MAX_PARAMS_BYTES};
use crate::wire::fastcgi::kind;

/// Why the content of a request was not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DroppedContent {
    /// The parameters or the body exceed their limit. The records of the request that still arrive are
    /// skipped: it can be answered without waiting for them.
    TooLong,
    /// There was no memory for them. The request is complete.
    OutOfMemory,
}

/// The parameters or the body of a request that is being received.
struct Content {
    bytes: Vec<u8>,
    /// Bytes received, also of content that was not kept.
    received_bytes: usize,
    max_bytes: usize,
}

impl Content {
    fn new(max_bytes: usize) -> Content {
        Content { bytes: Vec::new(), received_bytes: 0, max_bytes }
    }

    /// Memory that the bytes take once `additional` ones are appended.
    fn capacity_with(&self, additional: usize) -> usize {
        let needed = self.bytes.len() + additional;
        if needed <= self.bytes.capacity() {
            return self.bytes.capacity();
        }
        // Doubled, so that bytes which arrive one at a time are not copied each time.
        needed.max(2 * self.bytes.capacity()).min(self.max_bytes)
    }

    fn append(&mut self, bytes: &[u8]) {
        let capacity = self.capacity_with(bytes.len());
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(bytes);
    }
}

/// A request that was begun and not answered yet.
pub(super) struct OpenRequest {
    params: Content,
    body: Content,
    /// Set once the content is not kept.
    pub(super) dropped: Option<DroppedContent>,
    /// Whether the end of the parameters was received.
    pub(super) params_done: bool,
    /// Whether the request was handed out as [`Incoming::Request`], which empties `params` and `body`.
    pub(super) complete: bool,
    pub(super) keep_connection: bool,
}

impl OpenRequest {
    /// A request that has just begun.
    pub(super) fn new(keep_connection: bool) -> OpenRequest {
        OpenRequest {
            params: Content::new(MAX_PARAMS_BYTES),
            body: Content::new(MAX_BODY_BYTES),
            dropped: None,
            params_done: false,
            complete: false,
            keep_connection,
        }
    }

    fn content(&mut self, kind: u8) -> &mut Content {
        if kind == kind::PARAMS {
            &mut self.params
        } else {
            &mut self.body
        }
    }

    /// Memory to be allocated before this many bytes of a `PARAMS` or `STDIN` record can be appended; none if the
    /// content is not kept.
    pub(super) fn growth(&self, kind: u8, bytes: usize) -> usize {
        if self.dropped.is_some() {
            return 0;
        }
        let content = if kind == kind::PARAMS { &self.params } else { &self.body };
        content.capacity_with(bytes).saturating_sub(content.bytes.capacity())
    }

    /// Appends content of a `PARAMS` or `STDIN` record. `has_memory` says whether the memory for it may be
    /// allocated.
    pub(super) fn append(&mut self, kind: u8, bytes: &[u8], has_memory: bool) {
        let content = self.content(kind);
        content.received_bytes += bytes.len();
        // Checked before the bytes are copied, so that no memory is allocated beyond the limits.
        if content.received_bytes > content.max_bytes {
            self.drop_content(DroppedContent::TooLong);
        } else if self.dropped.is_none() && !has_memory {
            self.drop_content(DroppedContent::OutOfMemory);
        } else if self.dropped.is_none() {
            self.content(kind).append(bytes);
        }
    }

    fn drop_content(&mut self, reason: DroppedContent) {
        self.dropped = Some(reason);
        (self.params.bytes, self.body.bytes) = Default::default();
    }

    /// Hands the request out.
    pub(super) fn complete(&mut self, slot: u16) -> Incoming {
        self.complete = true;
        let (params, body) = (std::mem::take(&mut self.params.bytes), std::mem::take(&mut self.body.bytes));
        Incoming::Request { slot, params, body, dropped: self.dropped }
    }

    /// Memory allocated for parameters and body.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.params.bytes.capacity() + self.body.bytes.capacity()
    }
}

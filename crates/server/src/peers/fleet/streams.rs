//! Outbound streams, one to each peer, and inbound streams that others opened to this server.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_channel::{bounded, Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::future;
use umberloom_membership::MemberName;

use super::link::{self, Received};

/// Number of frames from all inbound streams that may wait to be handled.
const INBOUND_CAPACITY: usize = 64;

/// Streams to peers, opened when the first frame is sent.
pub(super) struct OutboundStreams<'a> {
    executor: Rc<LocalExecutor<'a>>,
    streams: BTreeMap<MemberName, OutboundStream>,
}

struct OutboundStream {
    urgent: Sender<Vec<u8>>,
    bulk: Sender<Vec<u8>>,
    /// Writes the frames of both queues; dropping it closes the stream.
    _writer: Task<()>,
}

impl<'a> OutboundStreams<'a> {
    pub(super) fn new(executor: Rc<LocalExecutor<'a>>) -> OutboundStreams<'a> {
        OutboundStreams { executor, streams: BTreeMap::new() }
    }

    /// Queues a frame for a peer. If the queue is full the frame is dropped, as it might be on the network.
    pub(super) fn send(&mut self, to: &MemberName, address: SocketAddr, frame: Vec<u8>) {
        let _ = self.stream(to, address).urgent.try_send(frame);
    }

    /// Queues a bulk frame, which is written when no other frame waits. It is dropped if the queue is full.
    pub(super) fn send_bulk(&mut self, to: &MemberName, address: SocketAddr, frame: Vec<u8>) {
        let _ = self.stream(to, address).bulk.try_send(frame);
    }

    /// Closes all streams; their queued frames are lost.
    pub(super) fn close_all(&mut self) {
        self.streams.clear();
    }

    /// The queues of the stream to this peer, which is created if there is none.
    fn stream(&mut self, to: &MemberName, address: SocketAddr) -> &OutboundStream {
        let executor = &self.executor;
        self.streams.entry(to.clone()).or_insert_with(|| {
            let (urgent, urgent_frames) = bounded(link::QUEUE_CAPACITY);
            let (bulk, bulk_frames) = bounded(link::BULK_QUEUE_CAPACITY);
            let writer = executor.spawn(link::write_to(address, urgent_frames, bulk_frames));
            OutboundStream { urgent, bulk, _writer: writer }
        })
    }
}

/// A frame received on an inbound stream, or its end.
pub(super) struct InboundFrame {
    pub(super) stream_id: u64,
    pub(super) received: Received,
}

/// Streams that peers, guests and operators opened to this server.
pub(super) struct InboundStreams<'a> {
    executor: Rc<LocalExecutor<'a>>,
    streams: BTreeMap<u64, InboundStream>,
    max_streams: usize,
    last_id: u64,
    sender: Sender<InboundFrame>,
    frames: Receiver<InboundFrame>,
}

struct InboundStream {
    replies: Sender<Vec<u8>>,
    /// Reads and writes the stream; dropping it closes the stream.
    _task: Task<()>,
}

impl<'a> InboundStreams<'a> {
    pub(super) fn new(executor: Rc<LocalExecutor<'a>>, max_streams: usize) -> InboundStreams<'a> {
        let (sender, frames) = bounded(INBOUND_CAPACITY);
        InboundStreams { executor, streams: BTreeMap::new(), max_streams, last_id: 0, sender, frames }
    }

    pub(super) fn set_max_streams(&mut self, max_streams: usize) {
        self.max_streams = max_streams;
    }

    /// Serves a new stream. If there are too many, the oldest is closed: the oldest are those left over from
    /// a restart or a network partition.
    pub(super) fn accept(&mut self, stream: TcpStream) {
        if self.streams.len() >= self.max_streams {
            self.streams.pop_first();
        }
        let Ok(stream) = Async::new(stream) else { return };
        // If this fails, replies are only delayed.
        let _ = stream.get_ref().set_nodelay(true);
        self.last_id += 1;
        let (replies, queued_replies) = bounded(link::QUEUE_CAPACITY);
        let serve = link::serve(self.last_id, stream, self.sender.clone(), queued_replies);
        let task = self.executor.spawn(serve);
        self.streams.insert(self.last_id, InboundStream { replies, _task: task });
    }

    /// Waits for the next frame on any stream, or the end of one.
    pub(super) async fn receive(&self) -> InboundFrame {
        match self.frames.recv().await {
            Ok(frame) => frame,
            Err(_) => future::pending().await,
        }
    }

    /// Queues a frame on a stream. It is dropped if the stream has ended or its queue is full.
    pub(super) fn send(&self, stream_id: u64, frame: Vec<u8>) {
        if let Some(stream) = self.streams.get(&stream_id) {
            let _ = stream.replies.try_send(frame);
        }
    }

    /// Closes a stream.
    pub(super) fn remove(&mut self, stream_id: u64) {
        self.streams.remove(&stream_id);
    }
}

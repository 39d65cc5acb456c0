//! Streams to peers, one for each, and streams that others opened to this server.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_channel::{bounded, Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::future;
use umberloom_membership::MemberName;

use super::link::{self, Received};

/// Frames that may wait to be handled, from all inbound streams.
const INBOUND_CAPACITY: usize = 64;

/// Streams to peers, opened when the first frame is sent.
pub(super) struct OutboundStreams<'a> {
    executor: Rc<LocalExecutor<'a>>,
    streams: BTreeMap<MemberName, OutboundStream>,
}

struct OutboundStream {
    urgent: Sender<Vec<u8>>,
    bulk: Sender<Vec<u8>>,
    /// Writes both; dropping it closes the stream.
    _writer: Task<()>,
}

impl<'a> OutboundStreams<'a> {
    pub(super) fn new(executor: Rc<LocalExecutor<'a>>) -> OutboundStreams<'a> {
        OutboundStreams { executor, streams: BTreeMap::new() }
    }

    /// Queues a frame for a peer. Where no room is left it is dropped, as on a network.
    pub(super) fn send(&mut self, to: &MemberName, address: SocketAddr, frame: Vec<u8>) {
        let _ = self.stream(to, address).urgent.try_send(frame);
    }

    /// The same for a frame that may wait until nothing else does.
    pub(super) fn send_bulk(&mut self, to: &MemberName, address: SocketAddr, frame: Vec<u8>) {
        let _ = self.stream(to, address).bulk.try_send(frame);
    }

    /// Closes all streams, with what they carry.
    pub(super) fn close_all(&mut self) {
        self.streams.clear();
    }

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

/// What was received on an inbound stream.
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
    /// Reads and writes; dropping it closes the stream.
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

    /// Takes in a new stream. Where there are too many the oldest is closed: those are what a restart or a cut has
    /// left behind.
    pub(super) fn accept(&mut self, stream: TcpStream) {
        if self.streams.len() >= self.max_streams {
            self.streams.pop_first();
        }
        let Ok(stream) = Async::new(stream) else { return };
        // Without it answers are only later.
        let _ = stream.get_ref().set_nodelay(true);
        self.last_id += 1;
        let (replies, queued) = bounded(link::QUEUE_CAPACITY);
        let served = link::serve(self.last_id, stream, self.sender.clone(), queued);
        let task = self.executor.spawn(served);
        self.streams.insert(self.last_id, InboundStream { replies, _task: task });
    }

    /// The next frame on any stream.
    pub(super) async fn receive(&self) -> InboundFrame {
        match self.frames.recv().await {
            Ok(frame) => frame,
            Err(_) => future::pending().await,
        }
    }

    /// Queues a frame on a stream, if that is still open. Where no room is left it is dropped.
    pub(super) fn send(&self, stream_id: u64, frame: Vec<u8>) {
        if let Some(stream) = self.streams.get(&stream_id) {
            let _ = stream.replies.try_send(frame);
        }
    }

    pub(super) fn remove(&mut self, stream_id: u64) {
        self.streams.remove(&stream_id);
    }
}

//! Relays between servers. Every datagram and stream from one server to another passes a relay, and each
//! direction can fail independently.
//!
//! A relay forwards from one server to another and has an address of its own. Replies on the same path belong
//! to the opposite direction and are subject to its faults. A direction that is cut accepts streams and
//! forwards nothing, like a network that drops all packets.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::history::lock;

/// The faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Forwards nothing.
    pub cut: bool,
    /// Drops all datagrams.
    pub no_datagrams: bool,
    /// Accepts streams and forwards none of their bytes.
    pub stall: bool,
    /// Closes streams, and new ones as soon as they are accepted.
    pub refuse: bool,
    /// Share of datagrams that are lost, from 0 to 1.
    pub drop: f64,
    /// Share of datagrams that are duplicated, from 0 to 1.
    pub double: f64,
    /// Share of datagrams and of chunks of streams in which one bit is flipped, from 0 to 1.
    pub damage: f64,
    /// Share of datagrams that are delayed by four times [`Faults::late_ms`] (at least 80 ms), so that others
    /// overtake them, from 0 to 1.
    pub reorder: f64,
    /// Delay in milliseconds. A datagram is delayed by up to half as much again.
    pub late_ms: u64,
    /// Highest rate of a stream in bytes per second; `None` for no limit.
    pub slow: Option<u64>,
}

/// Number of recent datagrams that a direction keeps for replay.
const MAX_RECENT_DATAGRAMS: usize = 256;
/// Interval at which a stalled stream checks whether it may go on; also the pause after a failed system call.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One direction between two servers.
#[derive(Clone)]
pub struct Direction(Arc<Mutex<DirectionState>>);

struct DirectionState {
    faults: Faults,
    random: ChaCha8Rng,
    recent_datagrams: VecDeque<Vec<u8>>,
    /// Messages (datagrams and chunks of streams) and bytes that arrived, whether forwarded or not.
    carried: (u64, u64),
}

impl Direction {
    /// A direction without faults. `seed` determines its random draws.
    pub fn new(seed: u64) -> Direction {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let (faults, recent_datagrams) = (Faults::default(), VecDeque::new());
        let state = DirectionState { faults, random, recent_datagrams, carried: (0, 0) };
        Direction(Arc::new(Mutex::new(state)))
    }

    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        lock(&self.0).faults = faults;
    }

    /// The present faults.
    pub fn faults(&self) -> Faults {
        lock(&self.0).faults
    }

    /// The number of messages (datagrams and chunks of streams) and of bytes that arrived so far.
    pub fn carried(&self) -> (u64, u64) {
        lock(&self.0).carried
    }

    /// The latest datagrams that arrived, oldest first.
    pub fn recent_datagrams(&self) -> Vec<Vec<u8>> {
        lock(&self.0).recent_datagrams.iter().cloned().collect()
    }

    /// Applies the faults to a datagram. Returns the copies to forward, each with its delay.
    fn apply_to_datagram(&self, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        let state = &mut *lock(&self.0);
        let Faults { cut, no_datagrams, drop, double, reorder, late_ms, .. } = state.faults;
        state.carried = (state.carried.0 + 1, state.carried.1 + bytes.len() as u64);
        if state.recent_datagrams.len() == MAX_RECENT_DATAGRAMS {
            state.recent_datagrams.pop_front();
        }
        state.recent_datagrams.push_back(bytes.to_vec());
        if cut || no_datagrams || state.random.random_bool(drop) {
            return Vec::new();
        }
        let copies = if state.random.random_bool(double) { 2 } else { 1 };
        (0..copies)
            .map(|_| {
                let delay = if state.random.random_bool(reorder) { 4 * late_ms.max(20) } else { late_ms };
                let delay = if delay == 0 { 0 } else { delay + state.random.random_range(0..=delay / 2) };
                let mut bytes = bytes.to_vec();
                state.flip_bit(&mut bytes);
                (Duration::from_millis(delay), bytes)
            })
            .collect()
    }

    /// Applies the faults to a chunk of a stream. Returns its delay.
    fn apply_to_chunk(&self, bytes: &mut [u8]) -> Duration {
        let state = &mut *lock(&self.0);
        state.carried = (state.carried.0 + 1, state.carried.1 + bytes.len() as u64);
        state.flip_bit(bytes);
        let transfer_s = state.faults.slow.map_or(0.0, |rate| bytes.len() as f64 / rate.max(1) as f64);
        Duration::from_millis(state.faults.late_ms) + Duration::from_secs_f64(transfer_s)
    }

    fn refuses_streams(&self) -> bool {
        lock(&self.0).faults.refuse
    }

    fn stalls_streams(&self) -> bool {
        let faults = lock(&self.0).faults;
        faults.cut || faults.stall
    }
}

impl DirectionState {
    /// Flips one bit with the probability of [`Faults::damage`].
    fn flip_bit(&mut self, bytes: &mut [u8]) {
        if !bytes.is_empty() && self.random.random_bool(self.faults.damage) {
            let index = self.random.random_range(0..bytes.len());
            bytes[index] ^= 1 << self.random.random_range(0..8);
        }
    }
}

/// A relay from one server to another.
pub struct Relay {
    /// The address at which the first server reaches the second.
    pub address: SocketAddr,
    datagrams: Arc<Async<UdpSocket>>,
    upstream: Arc<Async<UdpSocket>>,
    target: Target,
}

/// The address to which a relay forwards; it can change, like that of a host that moves.
type Target = Arc<Mutex<SocketAddr>>;

impl Relay {
    /// Starts a relay with an address on `host`, from a server whose fleet address is `from` to one at `to`.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        host: Ipv4Addr,
        from: SocketAddr,
        to: SocketAddr,
        (outgoing, returning): (Direction, Direction),
    ) -> std::io::Result<Relay> {
        let (datagrams, listener) = bind_same_port(host)?;
        let target: Target = Arc::new(Mutex::new(to));
        let return_target = Arc::new(Mutex::new(from));
        let address = datagrams.local_addr()?;
        let upstream = Arc::new(Async::new(UdpSocket::bind((host, 0))?)?);
        let datagrams = Arc::new(Async::new(datagrams)?);
        let listener = Async::new(listener)?;
        executor
            .spawn(forward_datagrams(
                executor.clone(),
                datagrams.clone(),
                upstream.clone(),
                target.clone(),
                outgoing.clone(),
            ))
            .detach();
        executor
            .spawn(forward_datagrams(
                executor.clone(),
                upstream.clone(),
                datagrams.clone(),
                return_target,
                returning.clone(),
            ))
            .detach();
        executor
            .spawn(accept_streams(executor.clone(), listener, target.clone(), outgoing, returning))
            .detach();
        Ok(Relay { address, datagrams, upstream, target })
    }

    /// Sends datagrams to the second server as if the first one had sent them again.
    pub fn replay(&self, datagrams: &[Vec<u8>]) {
        for bytes in datagrams {
            let _ = self.upstream.get_ref().send_to(bytes, *lock(&self.target));
        }
    }

    /// Forwards to another address from now on.
    pub fn redirect(&self, to: SocketAddr) {
        *lock(&self.target) = to;
    }

    /// Whether the relay's sockets are still open.
    pub fn is_up(&self) -> bool {
        self.datagrams.get_ref().local_addr().is_ok()
    }
}

/// Binds one port for both datagrams and streams.
fn bind_same_port(host: Ipv4Addr) -> std::io::Result<(UdpSocket, TcpListener)> {
    let mut last_error = None;
    for _ in 0..64 {
        let datagrams = UdpSocket::bind((host, 0))?;
        match TcpListener::bind(datagrams.local_addr()?) {
            Ok(listener) => return Ok((datagrams, listener)),
            Err(e) => last_error = Some(e),
        }
    }
    Err(last_error.unwrap_or_else(|| ErrorKind::AddrInUse.into()))
}

/// Forwards datagrams from one socket through another, with the faults of the direction.
async fn forward_datagrams(
    executor: Arc<Executor<'static>>,
    from: Arc<Async<UdpSocket>>,
    to: Arc<Async<UdpSocket>>,
    target: Target,
    direction: Direction,
) {
    let mut bytes = [0; 2_048];
    loop {
        // If nobody listens on the target port, the next read fails: the peer is down, not this relay.
        let Ok((size, _)) = from.recv_from(&mut bytes).await else {
            Timer::after(POLL_INTERVAL).await;
            continue;
        };
        // A socket that is never empty must not occupy the thread. If a relay forwarded to itself, or two to
        // each other, one datagram would circulate endlessly, and whoever waits for the relays to end would
        // wait forever.
        future::yield_now().await;
        let address = *lock(&target);
        for (delay, copy) in direction.apply_to_datagram(&bytes[..size]) {
            if delay.is_zero() {
                let _ = to.get_ref().send_to(&copy, address);
                continue;
            }
            let to = to.clone();
            let send_later = async move {
                Timer::after(delay).await;
                let _ = to.get_ref().send_to(&copy, address);
            };
            executor.spawn(send_later).detach();
        }
    }
}

/// Accepts streams and forwards each of them in both directions.
async fn accept_streams(
    executor: Arc<Executor<'static>>,
    listener: Async<TcpListener>,
    target: Target,
    outgoing: Direction,
    returning: Direction,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            // Accepting fails while no descriptor is free; the pause keeps the loop from spinning.
            Timer::after(POLL_INTERVAL).await;
            continue;
        };
        future::yield_now().await;
        let (outgoing, returning, target) = (outgoing.clone(), returning.clone(), target.clone());
        let forward = async move {
            while outgoing.stalls_streams() {
                Timer::after(POLL_INTERVAL).await;
            }
            if outgoing.refuses_streams() {
                return;
            }
            let address = *lock(&target);
            // If the server is down, the client's connection is closed.
            let Ok(server) = Async::<TcpStream>::connect(address).await else { return };
            let (client, server) = (Arc::new(client), Arc::new(server));
            future::or(
                forward_stream(client.clone(), server.clone(), outgoing),
                forward_stream(server, client, returning),
            )
            .await;
        };
        executor.spawn(forward).detach();
    }
}

/// Forwards the bytes of one direction of a stream until an end closes it or the direction refuses streams.
async fn forward_stream(from: Arc<Async<TcpStream>>, to: Arc<Async<TcpStream>>, direction: Direction) {
    let mut bytes = vec![0; 4_096];
    let (mut reader, mut writer) = (&*from, &*to);
    loop {
        while direction.stalls_streams() {
            Timer::after(POLL_INTERVAL).await;
        }
        // As for datagrams: both ends may always be ready.
        future::yield_now().await;
        let Ok(size) = reader.read(&mut bytes).await else { return };
        if size == 0 || direction.refuses_streams() {
            return;
        }
        let delay = direction.apply_to_chunk(&mut bytes[..size]);
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        while direction.stalls_streams() {
            Timer::after(POLL_INTERVAL).await;
        }
        if writer.write_all(&bytes[..size]).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;

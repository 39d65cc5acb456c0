//! Relays between servers: every datagram and every stream from one to another passes one, and each direction can
//! fail by itself.
//!
//! A relay leads from one server to another at an address of its own. What the other sends back the same way belongs
//! to the other direction, and so to its faults. A direction that is cut takes streams and does not carry them on,
//! as a network would that drops all packets.

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

/// What is wrong with one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Nothing passes.
    pub cut: bool,
    /// No datagram passes.
    pub no_datagrams: bool,
    /// Streams are taken and not carried on.
    pub stall: bool,
    /// Streams are ended, and new ones too as soon as they come.
    pub refuse: bool,
    /// Shares of datagrams.
    pub drop: f64,
    pub double: f64,
    /// Of datagrams and of parts of streams: a bit is turned over.
    pub damage: f64,
    /// Of datagrams: late by up to four times [`Faults::late_ms`], so that others overtake them.
    pub reorder: f64,
    /// Everything is late by this, up to half as much again.
    pub late_ms: u64,
    /// Streams carry so many bytes a second at most.
    pub slow: Option<u64>,
}

/// Datagrams that a direction remembers for being played again.
const REMEMBERED: usize = 256;
/// How often a stream that is cut looks whether it is whole again.
const LOOK: Duration = Duration::from_millis(10);

/// One direction between two servers.
#[derive(Clone)]
pub struct Direction(Arc<Mutex<Inside>>);

struct Inside {
    faults: Faults,
    random: ChaCha8Rng,
    remembered: VecDeque<Vec<u8>>,
    /// Datagrams and bytes that came to be carried.
    carried: (u64, u64),
}

impl Direction {
    pub fn new(seed: u64) -> Direction {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let inside =
            Inside { faults: Faults::default(), random, remembered: VecDeque::new(), carried: (0, 0) };
        Direction(Arc::new(Mutex::new(inside)))
    }

    pub fn set(&self, faults: Faults) {
        lock(&self.0).faults = faults;
    }

    pub fn faults(&self) -> Faults {
        lock(&self.0).faults
    }

    /// Messages and bytes so far, streams by their parts.
    pub fn carried(&self) -> (u64, u64) {
        lock(&self.0).carried
    }

    /// Datagrams that passed of late.
    pub fn recent_datagrams(&self) -> Vec<Vec<u8>> {
        lock(&self.0).remembered.iter().cloned().collect()
    }

    /// What becomes of a datagram: copies with the time after which each goes on.
    fn datagram(&self, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        let inside = &mut *lock(&self.0);
        let Faults { cut, no_datagrams, drop, double, reorder, late_ms, .. } = inside.faults;
        inside.carried = (inside.carried.0 + 1, inside.carried.1 + bytes.len() as u64);
        if inside.remembered.len() == REMEMBERED {
            inside.remembered.pop_front();
        }
        inside.remembered.push_back(bytes.to_vec());
        if cut || no_datagrams || inside.random.random_bool(drop) {
            return Vec::new();
        }
        let copies = if inside.random.random_bool(double) { 2 } else { 1 };
        (0..copies)
            .map(|_| {
                let late = if inside.random.random_bool(reorder) { 4 * late_ms.max(20) } else { late_ms };
                let late = if late == 0 { 0 } else { late + inside.random.random_range(0..=late / 2) };
                let mut bytes = bytes.to_vec();
                inside.damage(&mut bytes);
                (Duration::from_millis(late), bytes)
            })
            .collect()
    }

    /// What becomes of a part of a stream: how long it waits.
    fn part(&self, bytes: &mut [u8]) -> Duration {
        let inside = &mut *lock(&self.0);
        inside.carried = (inside.carried.0 + 1, inside.carried.1 + bytes.len() as u64);
        inside.damage(bytes);
        let slow = inside.faults.slow.map_or(0.0, |rate| bytes.len() as f64 / rate.max(1) as f64);
        Duration::from_millis(inside.faults.late_ms) + Duration::from_secs_f64(slow)
    }

    fn refuses(&self) -> bool {
        lock(&self.0).faults.refuse
    }

    fn holds_streams(&self) -> bool {
        let faults = lock(&self.0).faults;
        faults.cut || faults.stall
    }
}

impl Inside {
    fn damage(&mut self, bytes: &mut [u8]) {
        if !bytes.is_empty() && self.random.random_bool(self.faults.damage) {
            let place = self.random.random_range(0..bytes.len());
            bytes[place] ^= 1 << self.random.random_range(0..8);
        }
    }
}

/// A relay from one server to another.
pub struct Relay {
    /// Where the first finds the second.
    pub address: SocketAddr,
    datagrams: Arc<Async<UdpSocket>>,
    upstream: Arc<Async<UdpSocket>>,
    to: Target,
}

/// Where a relay leads; it can be led elsewhere, as an address that moves.
type Target = Arc<Mutex<SocketAddr>>;

impl Relay {
    /// From a server whose fleet address is `from` to one at `to`, at an address on `host`.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        host: Ipv4Addr,
        from: SocketAddr,
        to: SocketAddr,
        (there, back): (Direction, Direction),
    ) -> std::io::Result<Relay> {
        let (datagrams, listener) = both(host)?;
        let to: Target = Arc::new(Mutex::new(to));
        let back_to = Arc::new(Mutex::new(from));
        let address = datagrams.local_addr()?;
        let upstream = Arc::new(Async::new(UdpSocket::bind((host, 0))?)?);
        let datagrams = Arc::new(Async::new(datagrams)?);
        let listener = Async::new(listener)?;
        executor
            .spawn(carry(executor.clone(), datagrams.clone(), upstream.clone(), to.clone(), there.clone()))
            .detach();
        executor
            .spawn(carry(executor.clone(), upstream.clone(), datagrams.clone(), back_to, back.clone()))
            .detach();
        executor.spawn(accept(executor.clone(), listener, to.clone(), there, back)).detach();
        Ok(Relay { address, datagrams, upstream, to })
    }

    /// Sends these datagrams to the second server as if the first had sent them again.
    pub fn replay(&self, datagrams: &[Vec<u8>]) {
        for bytes in datagrams {
            let _ = self.upstream.get_ref().send_to(bytes, *lock(&self.to));
        }
    }

    /// Leads to another server from now on.
    pub fn redirect(&self, to: SocketAddr) {
        *lock(&self.to) = to;
    }

    /// Whether its sockets are still there.
    pub fn is_up(&self) -> bool {
        self.datagrams.get_ref().local_addr().is_ok()
    }
}

/// A port that is free for datagrams and streams.
fn both(host: Ipv4Addr) -> std::io::Result<(UdpSocket, TcpListener)> {
    let mut last = None;
    for _ in 0..64 {
        let datagrams = UdpSocket::bind((host, 0))?;
        match TcpListener::bind(datagrams.local_addr()?) {
            Ok(listener) => return Ok((datagrams, listener)),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or_else(|| ErrorKind::AddrInUse.into()))
}

async fn carry(
    executor: Arc<Executor<'static>>,
    from: Arc<Async<UdpSocket>>,
    to: Arc<Async<UdpSocket>>,
    address: Target,
    direction: Direction,
) {
    let mut bytes = [0; 2_048];
    loop {
        // A port that nobody listens at shows as an error on the next read: the peer is down, not this relay.
        let Ok((size, _)) = from.recv_from(&mut bytes).await else {
            Timer::after(LOOK).await;
            continue;
        };
        // A socket that is never empty must not keep the thread: were a relay led to itself, or two to each other, a single
        // datagram would go round for ever, and whoever waits for the relays to end would wait for ever too.
        future::yield_now().await;
        let address = *lock(&address);
        for (late, copy) in direction.datagram(&bytes[..size]) {
            if late.is_zero() {
                let _ = to.get_ref().send_to(&copy, address);
                continue;
            }
            let to = to.clone();
            let later = async move {
                Timer::after(late).await;
                let _ = to.get_ref().send_to(&copy, address);
            };
            executor.spawn(later).detach();
        }
    }
}

async fn accept(
    executor: Arc<Executor<'static>>,
    listener: Async<TcpListener>,
    to: Target,
    there: Direction,
    back: Direction,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            // No descriptor: it may have one later, and must not spin until then.
            Timer::after(LOOK).await;
            continue;
        };
        future::yield_now().await;
        let (there, back, to) = (there.clone(), back.clone(), to.clone());
        let carried = async move {
            while there.holds_streams() {
                Timer::after(LOOK).await;
            }
            if there.refuses() {
                return;
            }
            let target = *lock(&to);
            // Who comes to a server that is down finds its connection ended.
            let Ok(far) = Async::<TcpStream>::connect(target).await else { return };
            let (near, far) = (Arc::new(near), Arc::new(far));
            future::or(pump(near.clone(), far.clone(), there), pump(far, near, back)).await;
        };
        executor.spawn(carried).detach();
    }
}

async fn pump(from: Arc<Async<TcpStream>>, to: Arc<Async<TcpStream>>, direction: Direction) {
    let mut bytes = vec![0; 4_096];
    let (mut reader, mut writer) = (&*from, &*to);
    loop {
        while direction.holds_streams() {
            Timer::after(LOOK).await;
        }
        // As above: both ends may always be ready.
        future::yield_now().await;
        let Ok(size) = reader.read(&mut bytes).await else { return };
        if size == 0 || direction.refuses() {
            return;
        }
        let wait = direction.part(&mut bytes[..size]);
        if !wait.is_zero() {
            Timer::after(wait).await;
        }
        while direction.holds_streams() {
            Timer::after(LOOK).await;
        }
        if writer.write_all(&bytes[..size]).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;

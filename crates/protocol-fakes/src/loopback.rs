//! Loopback addresses for the servers that tests and tools start.
//!
//! A server gets its address before it binds it, so the address has to stay free until then. No socket is
//! bound here to find a free one: a process that another thread starts in the meantime holds a copy of that
//! socket until its `exec`, and the server's own bind fails. Instead, no address is handed out twice.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The lowest second octet of a host.
const FIRST_SECOND_OCTET: u8 = 20;
/// Number of second octets, after which a process varies the third octet of its hosts.
const SECOND_OCTETS: u32 = 200;
/// The lowest port.
const FIRST_PORT: u16 = 10_080;
/// Number of ports of one process, after which it uses them again, on other hosts.
const PORTS_PER_PROCESS: u16 = 320;
/// Number of blocks of [`PORTS_PER_PROCESS`] ports: one for each value of a process id's bits from 16 on, of
/// which Linux has six. All of them end below 32,768, where ephemeral ports begin.
const PORT_BLOCKS: u8 = 64;
/// Bound of the connection attempt that shows whether a port is in use; on loopback the answer is immediate.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A loopback host that this process has not returned before, for the first 51,200 calls.
///
/// It is derived from the process id. Two processes whose ids differ above the lowest 16 bits can get the same
/// host, but [`free_address`] gives them different ports.
pub fn unique_host() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let second = FIRST_SECOND_OCTET + (number % SECOND_OCTETS) as u8;
    let [_, upper, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, second, high ^ (upper << 6) ^ (number / SECOND_OCTETS) as u8, low)
}

/// An address on `host` to which nothing is bound.
///
/// Its port is below the system's ephemeral ports, so that no outgoing connection from `host` takes it before
/// the server binds it.
///
/// # Errors
///
/// Fails if something listens on each of the process's ports.
pub fn free_address(host: Ipv4Addr) -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let [_, upper, _, _] = std::process::id().to_be_bytes();
    let first = FIRST_PORT + u16::from(upper % PORT_BLOCKS) * PORTS_PER_PROCESS;
    let mut candidates = (0..PORTS_PER_PROCESS).map(|_| {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) % u32::from(PORTS_PER_PROCESS);
        SocketAddr::from((host, first + number as u16))
    });
    candidates.find(is_free).ok_or_else(|| ErrorKind::AddrInUse.into())
}

/// Whether the system refuses connections to the address. A service that listens on all addresses of the
/// machine accepts them.
fn is_free(address: &SocketAddr) -> bool {
    let attempt = TcpStream::connect_timeout(address, CONNECT_TIMEOUT);
    attempt.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
}

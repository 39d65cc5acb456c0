//! The fleet's port: datagrams and streams at one address.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use async_io::Async;
use umberloom_membership::wire::MAX_DATAGRAM_LEN;

/// Datagrams received in a row before others have their turn.
const MAX_DATAGRAMS_IN_A_ROW: usize = 32;
/// Senders of datagrams that are remembered.
const MAX_RETURN_ADDRESSES: usize = 256;

/// The sockets, bound before anything is served.
pub struct FleetSockets {
    pub(super) datagrams: Async<UdpSocket>,
    pub(super) listener: Async<TcpListener>,
}

impl FleetSockets {
    /// Binds datagrams and streams to the same address.
    ///
    /// # Errors
    /// If either can't be bound; the text names the address.
    pub fn bind(address: SocketAddr) -> Result<FleetSockets, String> {
        let fail = |e: std::io::Error| format!("fleet: listen on {address}: {e}");
        let datagrams = UdpSocket::bind(address).and_then(Async::new).map_err(fail)?;
        let listener = TcpListener::bind(address).and_then(Async::new).map_err(fail)?;
        Ok(FleetSockets { datagrams, listener })
    }

    /// Hands over datagrams that have arrived, with their senders, until there is none or others have waited for long
    /// enough.
    pub(super) fn receive_datagrams(&self, mut handle: impl FnMut(&[u8], SocketAddr)) {
        // A byte more than allowed, so that a longer datagram is seen to be too long.
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..MAX_DATAGRAMS_IN_A_ROW {
            let Ok((size, from)) = self.datagrams.get_ref().recv_from(&mut bytes) else { return };
            handle(&bytes[..size], from);
        }
    }

    /// Sends without waiting.
    pub(super) fn send_datagram(&self, bytes: &[u8], to: SocketAddr) {
        // A send queue that is full drops it, as the network might.
        let _ = self.datagrams.get_ref().send_to(bytes, to);
    }
}

/// Where datagrams came from, for answers to them, under numbers that membership passes around.
#[derive(Default)]
pub(super) struct ReturnAddresses {
    /// The newest at the end.
    addresses: VecDeque<ReturnAddress>,
    last_id: u64,
}

struct ReturnAddress {
    id: u64,
    address: SocketAddr,
}

impl ReturnAddresses {
    /// The number of an address, which is remembered until [`MAX_RETURN_ADDRESSES`] others have come.
    pub(super) fn id_of(&mut self, address: SocketAddr) -> u64 {
        if let Some(known) = self.addresses.iter().rev().find(|known| known.address == address) {
            return known.id;
        }
        if self.addresses.len() == MAX_RETURN_ADDRESSES {
            self.addresses.pop_front();
        }
        self.last_id += 1;
        self.addresses.push_back(ReturnAddress { id: self.last_id, address });
        self.last_id
    }

    /// The address of this number, if it is remembered.
    pub(super) fn get(&self, id: u64) -> Option<SocketAddr> {
        self.addresses.iter().find(|known| known.id == id).map(|known| known.address)
    }
}

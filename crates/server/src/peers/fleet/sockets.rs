//! The fleet's port: datagrams and streams at one address.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use async_io::Async;
use umberloom_membership::wire::MAX_DATAGRAM_LEN;

/// Number of datagrams received in a row before other events are handled.
const MAX_DATAGRAMS_IN_A_ROW: usize = 32;
/// Number of sender addresses of datagrams that are remembered.
const MAX_RETURN_ADDRESSES: usize = 256;

/// The fleet's sockets, bound at startup before requests are served.
pub struct FleetSockets {
    pub(super) datagrams: Async<UdpSocket>,
    pub(super) listener: Async<TcpListener>,
}

impl FleetSockets {
    /// Binds the datagram socket and the stream listener to the same address.
    ///
    /// # Errors
    /// If either can't be bound; the text names the address.
    pub fn bind(address: SocketAddr) -> Result<FleetSockets, String> {
        let bind_error = |e: std::io::Error| format!("fleet: listen on {address}: {e}");
        let datagrams = UdpSocket::bind(address).and_then(Async::new).map_err(bind_error)?;
        let listener = TcpListener::bind(address).and_then(Async::new).map_err(bind_error)?;
        Ok(FleetSockets { datagrams, listener })
    }

    /// Calls `handle` with each received datagram and its sender, for at most [`MAX_DATAGRAMS_IN_A_ROW`]
    /// datagrams.
    pub(super) fn receive_datagrams(&self, mut handle: impl FnMut(&[u8], SocketAddr)) {
        // One byte more than the limit, so that membership sees when a datagram is too long.
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..MAX_DATAGRAMS_IN_A_ROW {
            let Ok((size, from)) = self.datagrams.get_ref().recv_from(&mut bytes) else { return };
            handle(&bytes[..size], from);
        }
    }

    /// Sends a datagram without waiting.
    pub(super) fn send_datagram(&self, bytes: &[u8], to: SocketAddr) {
        // If the send queue is full the datagram is dropped, as it might be on the network.
        let _ = self.datagrams.get_ref().send_to(bytes, to);
    }
}

/// Sender addresses of recent datagrams, for replies to them. Membership refers to them by id.
#[derive(Default)]
pub(super) struct ReturnAddresses {
    /// In order of their ids, the newest last.
    addresses: VecDeque<ReturnAddress>,
    last_id: u64,
}

struct ReturnAddress {
    id: u64,
    address: SocketAddr,
}

impl ReturnAddresses {
    /// The id of an address, which is remembered until [`MAX_RETURN_ADDRESSES`] others have been added after
    /// it.
    pub(super) fn id_of(&mut self, address: SocketAddr) -> u64 {
        if let Some(entry) = self.addresses.iter().rev().find(|entry| entry.address == address) {
            return entry.id;
        }
        if self.addresses.len() == MAX_RETURN_ADDRESSES {
            self.addresses.pop_front();
        }
        self.last_id += 1;
        self.addresses.push_back(ReturnAddress { id: self.last_id, address });
        self.last_id
    }

    /// The address with this id, if it is still remembered.
    pub(super) fn get(&self, id: u64) -> Option<SocketAddr> {
        self.addresses.iter().find(|entry| entry.id == id).map(|entry| entry.address)
    }
}

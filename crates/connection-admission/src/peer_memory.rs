//! Divides the memory that peers can make a server use.
//!
//! Three kinds of memory are counted: requests in flight, requests that are still being received, and
//! responses that are not written yet. A request in flight takes what is free. The other two depend on how
//! fast a peer sends or reads, so they are limited for each connection:
//!
//! - A part of the memory is divided equally among all connections that there may be. Each can always receive
//!   requests in its part, whatever the others do.
//! - Beyond that, a connection may hold a fixed share of what is free (dynamic thresholds, Choudhury and
//!   Hahne 1998), so that a single one can take much while the others take little.

/// One in this many bytes is divided equally among the connections.
const GUARANTEE_DIVISOR: usize = 8;
/// Requests that are still being received may take one in this many bytes beyond the guaranteed ones.
const RECEIVE_DIVISOR: usize = 8;
/// One connection may hold one byte for this many bytes that are free.
const CONNECTION_DIVISOR: usize = 8;
/// Limit on the bytes of responses that wait to be written on one connection, before its requests are read no
/// further.
const MAX_OUTPUT_BYTES: usize = 256 * 1024;

/// The memory of one server for its peers, in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMemory {
    capacity: usize,
    /// The bytes in which each connection can always receive requests.
    guaranteed_to_each: usize,
    /// The sum of these bytes over all connections that there may be.
    guaranteed: usize,
    in_flight: usize,
    /// Bytes of requests that are still being received.
    receiving: usize,
    /// The part of them that is beyond what is guaranteed to their connections.
    receiving_beyond: usize,
    output: usize,
}

impl PeerMemory {
    /// Creates the memory with this many bytes, all of them free, for at most `max_connections` connections.
    pub fn new(capacity: usize, max_connections: usize) -> PeerMemory {
        let guaranteed_to_each = (capacity / GUARANTEE_DIVISOR).checked_div(max_connections).unwrap_or(0);
        PeerMemory {
            capacity,
            guaranteed_to_each,
            guaranteed: guaranteed_to_each * max_connections,
            in_flight: 0,
            receiving: 0,
            receiving_beyond: 0,
            output: 0,
        }
    }

    /// The number of bytes that are neither guaranteed to connections nor in use.
    pub fn free(&self) -> usize {
        let in_use = self.guaranteed + self.in_flight + self.receiving_beyond + self.output;
        self.capacity.saturating_sub(in_use)
    }

    /// The number of bytes held for requests that are not received in full.
    pub fn receiving(&self) -> usize {
        self.receiving
    }

    /// Changes the bytes held by one holder of memory that is not shared by thresholds, such as a request in
    /// flight. Returns `false`, and changes nothing, if too few are free.
    pub fn resize_in_flight(&mut self, held: usize, bytes: usize) -> bool {
        if bytes.saturating_sub(held) > self.free() {
            return false;
        }
        self.in_flight = self.in_flight - held + bytes;
        true
    }

    /// The number of bytes that a connection may hold, in all, for requests that it has not received in full.
    /// It holds `held` bytes now; if that is more than the limit, it must not take any more.
    pub fn receive_limit(&self, held: usize) -> usize {
        let unused = (self.capacity / RECEIVE_DIVISOR).saturating_sub(self.receiving_beyond);
        // A connection with a share of x leaves x times the divisor free.
        let share = (unused.min(self.free()) + self.beyond_guarantee(held)) / (CONNECTION_DIVISOR + 1);
        self.guaranteed_to_each + share
    }

    /// Changes the bytes that a connection holds for requests that it has not received in full. The caller
    /// keeps within [`PeerMemory::receive_limit`].
    pub fn resize_receiving(&mut self, held: usize, bytes: usize) {
        self.receiving = self.receiving - held + bytes;
        let (beyond_before, beyond) = (self.beyond_guarantee(held), self.beyond_guarantee(bytes));
        self.receiving_beyond = self.receiving_beyond - beyond_before + beyond;
    }

    fn beyond_guarantee(&self, held: usize) -> usize {
        held.saturating_sub(self.guaranteed_to_each)
    }

    /// Whether a connection on which `unwritten` bytes of responses wait is read any further. A peer that
    /// does not read its responses has to wait until it does; one whose responses are all written never
    /// waits.
    pub fn may_read(&self, unwritten: usize) -> bool {
        unwritten == 0 || unwritten < MAX_OUTPUT_BYTES.min(self.free() / CONNECTION_DIVISOR)
    }

    /// Changes the bytes that the responses of a connection take. This never fails: a response takes the
    /// place of its request, and more requests are read only while [`PeerMemory::may_read`].
    pub fn resize_output(&mut self, held: usize, bytes: usize) {
        self.output = self.output - held + bytes;
    }
}

#[cfg(test)]
mod tests;

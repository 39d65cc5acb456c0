//! The memory that peers can make this process use, shared by all that hold some of it.
//!
//! [`PeerMemory`] decides who may hold how much. What is taken here is returned when its holder is dropped.

use std::cell::RefCell;
use std::rc::Rc;

use umberloom_connection_admission::peer_memory::PeerMemory;

/// A memory budget in bytes. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct Budget(Rc<RefCell<PeerMemory>>);

impl Budget {
    /// Creates a budget of this many bytes for at most `max_connections` connections.
    pub fn new(bytes: usize, max_connections: usize) -> Budget {
        Budget(Rc::new(RefCell::new(PeerMemory::new(bytes, max_connections))))
    }

    /// Takes `bytes` from the budget; `None` if fewer are available.
    pub fn charge(&self, bytes: usize) -> Option<Charge> {
        let mut charge = Charge { budget: self.clone(), bytes: 0 };
        charge.resize(bytes).then_some(charge)
    }

    /// The memory of a new connection, which holds nothing yet.
    pub fn open_connection(&self) -> ConnectionMemory {
        ConnectionMemory { budget: self.clone(), receiving: 0, output: 0 }
    }

    /// Number of bytes that are held for requests that are not received in full.
    pub fn receiving(&self) -> usize {
        self.0.borrow().receiving()
    }

    /// Number of bytes that are not charged.
    pub fn available(&self) -> usize {
        self.0.borrow().free()
    }
}

/// Bytes taken from a budget, returned to it on drop.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    bytes: usize,
}

impl Charge {
    /// Changes the charge to `bytes`. If the budget has too few bytes available, returns `false` and changes
    /// nothing.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let is_resized = self.budget.0.borrow_mut().resize_in_flight(self.bytes, bytes);
        if is_resized {
            self.bytes = bytes;
        }
        is_resized
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// The memory that the buffers of one connection take, returned on drop.
#[derive(Debug)]
pub struct ConnectionMemory {
    budget: Budget,
    receiving: usize,
    output: usize,
}

impl ConnectionMemory {
    /// The number of bytes that the connection may hold for requests that are not received in full.
    pub fn receive_limit(&self) -> usize {
        self.budget.0.borrow().receive_limit(self.receiving)
    }

    /// Whether the connection is read any further while this many bytes wait to be written on it.
    pub fn may_read(&self, unwritten: usize) -> bool {
        self.budget.0.borrow().may_read(unwritten)
    }

    /// Notes how many bytes the requests that are not received in full take now, and the responses that are
    /// not written.
    pub fn update(&mut self, receiving: usize, output: usize) {
        let mut memory = self.budget.0.borrow_mut();
        memory.resize_receiving(self.receiving, receiving);
        memory.resize_output(self.output, output);
        (self.receiving, self.output) = (receiving, output);
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.update(0, 0);
    }
}

#[cfg(test)]
mod tests;

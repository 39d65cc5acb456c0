//! A budget that bounds the memory that peers can make this process use.

use std::cell::Cell;
use std::rc::Rc;

/// A memory budget in bytes. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct Budget(Rc<Cell<usize>>);

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Budget {
        Budget(Rc::new(Cell::new(bytes)))
    }

    /// Takes `bytes` from the budget; `None` if fewer are available.
    pub fn charge(&self, bytes: usize) -> Option<Charge> {
        let mut charge = Charge { budget: self.clone(), bytes: 0 };
        charge.resize(bytes).then_some(charge)
    }

    /// Number of bytes that are not charged.
    pub fn available(&self) -> usize {
        self.0.get()
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
        let available = self.budget.available() + self.bytes;
        let Some(left) = available.checked_sub(bytes) else { return false };
        self.budget.0.set(left);
        self.bytes = bytes;
        true
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;

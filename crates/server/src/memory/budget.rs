//! One bound on the memory that peers can make this process use.

use std::cell::Cell;
use std::rc::Rc;

/// The bound, in bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Rc<Cell<usize>>);

impl Budget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Budget {
        Budget(Rc::new(Cell::new(bytes)))
    }

    /// Takes `bytes` from the budget; `None` where it has fewer left.
    pub fn charge(&self, bytes: usize) -> Option<Charge> {
        let mut charge = Charge { budget: self.clone(), bytes: 0 };
        charge.resize(bytes).then_some(charge)
    }

    /// Bytes that are left.
    pub fn available(&self) -> usize {
        self.0.get()
    }
}

/// Bytes taken from a budget, given back when dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    bytes: usize,
}

impl Charge {
    /// Changes the charge to `bytes`; `false`, and nothing changed, where the budget has too few left for that.
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

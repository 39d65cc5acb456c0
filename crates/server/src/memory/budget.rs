//! One bound on the memory that peers can make this process take.

use std::cell::Cell;
use std::rc::Rc;

/// The bound, shared by all that take from it.
#[derive(Clone, Debug)]
pub struct Budget(Rc<Cell<usize>>);

impl Budget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Budget {
        Budget(Rc::new(Cell::new(bytes)))
    }

    /// Takes `bytes`, if they are there.
    pub fn take(&self, bytes: usize) -> Option<Charge> {
        let mut charge = Charge { budget: self.clone(), bytes: 0 };
        charge.resize(bytes).then_some(charge)
    }

    /// What is left.
    pub fn left(&self) -> usize {
        self.0.get()
    }
}

/// A part of a budget, given back when dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    bytes: usize,
}

impl Charge {
    /// Makes it `bytes` large; `false`, and nothing changed, if the budget has no room for that.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let Some(left) = (self.budget.left() + self.bytes).checked_sub(bytes) else { return false };
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
mod tests {
    use super::*;

    #[test]
    fn what_is_taken_comes_back_when_dropped() {
        let budget = Budget::new(100);
        let mut charge = budget.take(60).expect("room");
        assert!(budget.take(41).is_none());
        assert_eq!(budget.left(), 40);
        assert!(charge.resize(100) && !charge.resize(101));
        assert_eq!(budget.left(), 0);
        assert!(charge.resize(10));
        drop(charge);
        assert_eq!(budget.left(), 100);
    }
}

//! Whose request is read next, where more wait than the server reads at once.

use std::collections::VecDeque;

/// Bounds the requests that are being read and not yet handed on, and shares them among listeners.
///
/// Where more callers wait, the listeners take turns by weight (deficit round robin, Shreedhar and Varghese 1995, with
/// one request as the unit), and what one leaves idle the others use.
#[derive(Clone, Debug)]
pub struct ReadScheduler {
    max_in_flight: usize,
    listeners: Vec<Listener>,
    in_flight: usize,
    /// The listener whose turn it is.
    current_listener: usize,
}

#[derive(Clone, Debug)]
struct Listener {
    weight: u32,
    /// Reads that it may still start in this turn.
    credit: u32,
    /// Callers that wait, in order of arrival.
    waiting: VecDeque<u64>,
    in_flight: usize,
}

/// A caller whose request is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextRead {
    /// Its listener.
    pub listener: usize,
    /// The caller.
    pub caller: u64,
}

impl ReadScheduler {
    /// At most `max_in_flight` reads at once, shared by these weights, each counted as at least 1.
    pub fn new(max_in_flight: usize, weights: &[u32]) -> ReadScheduler {
        let listener = |&weight: &u32| Listener {
            weight: weight.max(1),
            credit: 0,
            waiting: VecDeque::new(),
            in_flight: 0,
        };
        ReadScheduler {
            max_in_flight: max_in_flight.max(1),
            listeners: weights.iter().map(listener).collect(),
            in_flight: 0,
            current_listener: 0,
        }
    }

    /// A caller has a request to read; returns whether it may be read at once. Else [`ReadScheduler::next_read`] names
    /// the caller when it may.
    pub fn request_read(&mut self, listener: usize, caller: u64) -> bool {
        if !self.has_waiting() && self.in_flight < self.max_in_flight {
            self.start_read(listener);
            return true;
        }
        if let Some(listener) = self.listeners.get_mut(listener) {
            listener.waiting.push_back(caller);
        }
        false
    }

    /// A request of this listener has been read and handed on.
    pub fn handle_read_end(&mut self, listener: usize) {
        if let Some(listener) = self.listeners.get_mut(listener).filter(|l| l.in_flight > 0) {
            listener.in_flight -= 1;
            self.in_flight -= 1;
        }
    }

    /// A caller that waits is gone.
    pub fn cancel_read(&mut self, listener: usize, caller: u64) {
        if let Some(listener) = self.listeners.get_mut(listener) {
            listener.waiting.retain(|&other| other != caller);
        }
    }

    /// The next read that may start; to be called until there is none.
    pub fn next_read(&mut self) -> Option<NextRead> {
        if self.in_flight >= self.max_in_flight || !self.has_waiting() {
            return None;
        }
        loop {
            let index = self.current_listener;
            let listener = &mut self.listeners[index];
            if listener.credit > 0 {
                if let Some(caller) = listener.waiting.pop_front() {
                    listener.credit -= 1;
                    self.start_read(index);
                    return Some(NextRead { listener: index, caller });
                }
            }
            self.next_turn();
        }
    }

    fn next_turn(&mut self) {
        // Credit that nobody makes use of is not saved up.
        self.listeners[self.current_listener].credit = 0;
        self.current_listener = (self.current_listener + 1) % self.listeners.len();
        let next = &mut self.listeners[self.current_listener];
        next.credit = next.weight;
    }

    fn start_read(&mut self, listener: usize) {
        if let Some(listener) = self.listeners.get_mut(listener) {
            listener.in_flight += 1;
            self.in_flight += 1;
        }
    }

    fn has_waiting(&self) -> bool {
        self.listeners.iter().any(|listener| !listener.waiting.is_empty())
    }

    /// Reads in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Callers that wait.
    pub fn waiting(&self) -> usize {
        self.listeners.iter().map(|listener| listener.waiting.len()).sum()
    }

    /// Checks what must always hold.
    ///
    /// # Errors
    /// What does not hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let sum: usize = self.listeners.iter().map(|listener| listener.in_flight).sum();
        if sum != self.in_flight || sum > self.max_in_flight {
            return Err(format!(
                "{sum} reads in flight, counted as {}, at most {}",
                self.in_flight, self.max_in_flight
            ));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

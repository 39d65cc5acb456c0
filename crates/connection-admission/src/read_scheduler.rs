//! Decides whose request is read next when more callers wait than the server reads concurrently.

use std::collections::VecDeque;

/// Limits the number of requests that are being read and not yet handed on, and shares it among listeners.
///
/// While callers wait, the listeners take turns by weight (deficit round robin, Shreedhar and Varghese 1995,
/// with one request as the unit). Capacity that one listener leaves idle is available to the others.
#[derive(Clone, Debug)]
pub struct ReadScheduler {
    /// The maximum number of reads in flight.
    max_in_flight: usize,
    listeners: Vec<Listener>,
    /// Reads in flight, over all listeners.
    in_flight: usize,
    /// The index of the listener whose turn it is.
    current_listener: usize,
}

#[derive(Clone, Debug)]
struct Listener {
    weight: u32,
    /// The number of reads that it may still start in this turn.
    credit: u32,
    /// Waiting callers, in order of arrival.
    waiting: VecDeque<u64>,
    /// Reads in flight.
    in_flight: usize,
}

/// The caller whose request is to be read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextRead {
    /// The index of the caller's listener.
    pub listener: usize,
    /// The host's number for the caller.
    pub caller: u64,
}

impl ReadScheduler {
    /// Creates a scheduler for at most `max_in_flight` concurrent reads, and one listener for each weight.
    /// The limit and the weights are raised to 1 where they are 0.
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

    /// Requests a read for a caller. Returns whether the read starts at once; otherwise the caller waits
    /// until [`ReadScheduler::next_read`] returns it.
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

    /// Ends a read of this listener: the request has been read and handed on.
    pub fn handle_read_end(&mut self, listener: usize) {
        if let Some(listener) = self.listeners.get_mut(listener).filter(|l| l.in_flight > 0) {
            listener.in_flight -= 1;
            self.in_flight -= 1;
        }
    }

    /// Removes a waiting caller, whose connection is gone.
    pub fn cancel_read(&mut self, listener: usize, caller: u64) {
        if let Some(listener) = self.listeners.get_mut(listener) {
            listener.waiting.retain(|&other| other != caller);
        }
    }

    /// Starts the next read that the limit allows. The host calls it until it returns `None`.
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
        // Unused credit does not carry over to later turns.
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

    /// The number of reads in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// The number of waiting callers.
    pub fn waiting(&self) -> usize {
        self.listeners.iter().map(|listener| listener.waiting.len()).sum()
    }

    /// Checks the invariant: the reads in flight are counted correctly and are within the limit.
    ///
    /// # Errors
    /// A description of the violation.
    pub fn check_invariants(&self) -> Result<(), String> {
        let sum: usize = self.listeners.iter().map(|listener| listener.in_flight).sum();
        if sum != self.in_flight || sum > self.max_in_flight {
            return Err(format!(
                "{sum} reads in flight over all listeners, {} counted, limit {}",
                self.in_flight, self.max_in_flight
            ));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

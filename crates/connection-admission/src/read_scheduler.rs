//! Whose request is read next: a share of what the server takes in at once, by weight.

use std::collections::VecDeque;

/// Requests of several listeners on their way to the decisions. At most so many are on it; where more wait, the
/// listeners take turns by weight (deficit round robin, Shreedhar and Varghese 1995, with one request as the unit), and
/// what one leaves the others use.
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
    /// Requests that it may still pass in this turn.
    credit: u32,
    /// Who waits, the first at the front.
    waiting: VecDeque<u64>,
    in_flight: usize,
}

impl ReadScheduler {
    /// At most `most` on their way, shared by these weights, each at least 1.
    pub fn new(most: usize, weights: &[u32]) -> ReadScheduler {
        let listener = |&weight: &u32| Listener {
            weight: weight.max(1),
            credit: 0,
            waiting: VecDeque::new(),
            in_flight: 0,
        };
        ReadScheduler {
            max_in_flight: most.max(1),
            listeners: weights.iter().map(listener).collect(),
            in_flight: 0,
            current_listener: 0,
        }
    }

    /// A caller has something to pass; `true` if it may at once. Else [`Reading::next_up`] names it when it may.
    pub fn request_read(&mut self, listener: usize, caller: u64) -> bool {
        let alone = self.listeners.iter().all(|l| l.waiting.is_empty());
        if alone && self.in_flight < self.max_in_flight {
            self.start_read(listener);
            return true;
        }
        if let Some(listener) = self.listeners.get_mut(listener) {
            listener.waiting.push_back(caller);
        }
        false
    }

    /// A request of this listener has arrived.
    pub fn handle_request_read(&mut self, listener: usize) {
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

    /// The next one that may pass, with its listener; to be called until it gives none.
    pub fn next_reader(&mut self) -> Option<(usize, u64)> {
        if self.in_flight >= self.max_in_flight || self.listeners.iter().all(|l| l.waiting.is_empty()) {
            return None;
        }
        loop {
            let listener = &mut self.listeners[self.current_listener];
            if listener.credit > 0 {
                if let Some(caller) = listener.waiting.pop_front() {
                    listener.credit -= 1;
                    let turn = self.current_listener;
                    self.start_read(turn);
                    return Some((turn, caller));
                }
            }
            // Credit that nobody makes use of is not saved up.
            listener.credit = 0;
            self.current_listener = (self.current_listener + 1) % self.listeners.len();
            let next = &mut self.listeners[self.current_listener];
            next.credit = next.weight;
        }
    }

    fn start_read(&mut self, listener: usize) {
        if let Some(listener) = self.listeners.get_mut(listener) {
            listener.in_flight += 1;
            self.in_flight += 1;
        }
    }

    /// Requests on their way, and callers that wait.
    pub fn load(&self) -> (usize, usize) {
        (self.in_flight, self.listeners.iter().map(|l| l.waiting.len()).sum())
    }

    /// What must always hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let sum: usize = self.listeners.iter().map(|l| l.in_flight).sum();
        if sum != self.in_flight || sum > self.max_in_flight {
            return Err(format!(
                "{sum} on their way, counted as {}, at most {}",
                self.in_flight, self.max_in_flight
            ));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn who_is_alone_passes_at_once() {
        let mut reading = ReadScheduler::new(2, &[1, 1]);
        assert!(reading.request_read(0, 1) && reading.request_read(0, 2) && !reading.request_read(0, 3));
        assert_eq!(reading.next_reader(), None);
        reading.handle_request_read(0);
        assert_eq!((reading.next_reader(), reading.next_reader()), (Some((0, 3)), None));
    }

    #[test]
    fn a_flood_of_one_does_not_keep_the_other_waiting() {
        let mut reading = ReadScheduler::new(1, &[1, 1]);
        assert!(reading.request_read(0, 0));
        (1..1_000).for_each(|caller| assert!(!reading.request_read(0, caller)));
        assert!(!reading.request_read(1, 5_000));
        let mut passed = Vec::new();
        for _ in 0..3 {
            reading.handle_request_read(passed.last().map_or(0, |(listener, _)| *listener));
            passed.extend(reading.next_reader());
        }
        assert!(passed.contains(&(1, 5_000)), "{passed:?}");
    }

    #[test]
    fn turns_are_by_weight_while_both_wait() {
        let mut reading = ReadScheduler::new(1, &[3, 1]);
        assert!(reading.request_read(0, 0));
        for caller in 1..400 {
            reading.request_read((caller % 2) as usize, caller);
        }
        let (mut counts, mut last) = ([0; 2], 0);
        for _ in 0..100 {
            reading.handle_request_read(last);
            let (listener, _) = reading.next_reader().expect("many wait");
            counts[listener] += 1;
            last = listener;
        }
        assert_eq!(counts, [75, 25]);
    }

    #[test]
    fn who_is_gone_is_not_named() {
        let mut reading = ReadScheduler::new(1, &[1]);
        assert!(reading.request_read(0, 1) && !reading.request_read(0, 2) && !reading.request_read(0, 3));
        reading.cancel_read(0, 2);
        reading.handle_request_read(0);
        assert_eq!(reading.next_reader(), Some((0, 3)));
    }

    proptest! {
        /// Everybody who waits passes in the end, in turn within a listener, and never too many at once.
        #[test]
        fn all_pass_and_none_too_many(
            most in 1usize..5, weights in prop::collection::vec(0u32..4, 1..4),
            steps in prop::collection::vec((0usize..3, 0u8..3), 0..300),
        ) {
            let mut reading = ReadScheduler::new(most, &weights);
            let (mut flying, mut passed, mut asked) = (Vec::new(), Vec::new(), 0u64);
            for (listener, what) in steps {
                let listener = listener % weights.len();
                if what == 0 {
                    if let Some(listener) = flying.pop() {
                        reading.handle_request_read(listener);
                    }
                } else {
                    asked += 1;
                    if reading.request_read(listener, asked) {
                        flying.push(listener);
                        passed.push((listener, asked));
                    }
                }
                while let Some((listener, caller)) = reading.next_reader() {
                    flying.push(listener);
                    passed.push((listener, caller));
                }
                prop_assert_eq!(reading.check_invariants(), Ok(()));
            }
            while reading.load() != (0, 0) {
                flying.drain(..).for_each(|listener| reading.handle_request_read(listener));
                while let Some((listener, caller)) = reading.next_reader() {
                    flying.push(listener);
                    passed.push((listener, caller));
                }
            }
            prop_assert_eq!(passed.len() as u64, asked);
            for listener in 0..weights.len() {
                let mine: Vec<u64> = passed.iter().filter(|(l, _)| *l == listener).map(|(_, c)| *c).collect();
                prop_assert!(mine.windows(2).all(|w| w[0] < w[1]));
            }
        }
    }
}

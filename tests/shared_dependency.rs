//! Calls of many independent servers to one shared dependency.

mod common;
use common::*;
use std::collections::VecDeque;
use umberloom::interface::*;
use umberloom::AdmissionController;

/// A controller with its share of the concurrent calls that the dependency survives.
fn controller(number: u32, servers: u32, capacity: f64) -> AdmissionController {
    let mut settings = default_settings();
    settings.classes.iter_mut().for_each(|c| {
        (c.calls_downstream, c.degraded_weight_share) = (true, 0.0);
        (c.latency_objective, c.deadline) = (100 * SEC, 100 * SEC);
    });
    (settings.downstream, settings.call_quota, settings.seed) =
        (Downstream::Shared, capacity / f64::from(servers), u64::from(number));
    (settings.servers, settings.memory_kb) = (servers, 1e9);
    AdmissionController::new(0, settings).expect("sound settings")
}

/// A fleet in which each server always has requests that need a call.
struct Fleet {
    all: Vec<AdmissionController>,
    /// Calls under way, in the order in which they end: when, whose, and which.
    in_flight: VecDeque<(Micros, usize, RequestId)>,
    begun: VecDeque<Micros>,
    last: Micros,
    next: u64,
}

impl Fleet {
    fn new(servers: u32, capacity: f64) -> Fleet {
        let all = (0..servers).map(|n| controller(n, servers, capacity)).collect();
        Fleet { all, in_flight: VecDeque::new(), begun: VecDeque::new(), last: 0, next: 0 }
    }

    /// One step of all servers, with the ends of calls that take so long and end so.
    fn step(&mut self, now: Micros, took: Micros, outcome: Outcome) {
        let mut events: Vec<Vec<Event>> = self.all.iter().map(|_| vec![busy_timer()]).collect();
        while self.in_flight.front().is_some_and(|(end, ..)| *end <= now) {
            let (_, n, name) = self.in_flight.pop_front().expect("one");
            events[n].push(Event::CallEnded(name.clone(), outcome, took));
            if outcome == Outcome::Ok {
                events[n].push(Event::RunEnded(name, Outcome::Ok, took));
            }
        }
        for (n, mut events) in events.into_iter().enumerate() {
            if now.is_multiple_of(20 * MS) {
                self.next += 1;
                events.push(Event::Arrived(arrival(&format!("r{}", self.next), 0, 100 * SEC)));
            }
            // Events that follow from actions are sent at the same time.
            while !events.is_empty() {
                let actions = step(&mut self.all[n], now, std::mem::take(&mut events));
                for action in actions {
                    match action {
                        Action::Admit(name) => events.push(Event::NeedsCall(name)),
                        // A run that waits for a call ends when its request fails, and a preempted run ends
                        // at once.
                        Action::Preempt(name) | Action::Fail(name) => {
                            events.push(Event::RunEnded(name, Outcome::Aborted, 0));
                        }
                        Action::Call(name, _) => {
                            self.in_flight.push_back((now + took, n, name));
                            self.begun.push_back(now);
                            self.last = now;
                        }
                        _ => {}
                    }
                }
            }
        }
    }
}

/// Guards against a fleet that overloads its shared dependency at the start, while the dependency is down and
/// when it recovers: for 1 to 30 servers the sum of their calls stays within the N calls that the dependency
/// survives, plus 2 x root of N + 2 for chance. While it is down, for 3 s, each call fails at once; otherwise
/// calls take 100 ms. Calls that start within 100 ms count together, as each would take so long.
#[test]
fn probes_and_first_calls_of_all_servers_stay_within_the_capacity() {
    for (servers, capacity) in [1, 2, 5, 12, 20, 24, 30]
        .into_iter()
        .flat_map(|servers| [1.0, 2.0, 5.0, 10.0, 30.0, 100.0].map(|capacity| (servers, capacity)))
    {
        let most = capacity + 2.0 * f64::sqrt(capacity) + 2.0;
        let mut fleet = Fleet::new(servers, capacity);
        for now in (0..6 * SEC).step_by(5 * MS as usize) {
            let down = (SEC..4 * SEC).contains(&now);
            let (took, outcome) = if down { (5 * MS, Outcome::Unreachable) } else { (100 * MS, Outcome::Ok) };
            fleet.step(now, took, outcome);
            while fleet.begun.front().is_some_and(|at| at + 100 * MS <= now) {
                fleet.begun.pop_front();
            }
            // The tries by which each server learns that it is down are three, and end at once.
            let learns = (SEC..SEC + 500 * MS).contains(&now);
            let together = if learns { 0 } else { fleet.begun.len() };
            assert!(together as f64 <= most, "{servers} servers, {together} of {capacity} at {now}");
        }
        // A share so small that a single call that hangs would be more than it in the mean is not used at
        // all.
        let usable = capacity / f64::from(servers) > 0.2;
        assert!(!usable || fleet.last > 4 * SEC, "{servers} servers, {capacity}: calls are made again");
    }
}

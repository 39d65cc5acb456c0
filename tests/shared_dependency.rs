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
    AdmissionController::new(0, settings).expect("valid settings")
}

/// A fleet in which each server always has requests that need a call.
struct Fleet {
    servers: Vec<AdmissionController>,
    /// Calls in flight, in the order in which they started: the end, the index of the server and the request.
    in_flight: VecDeque<(Micros, usize, RequestId)>,
    /// Start times of recent calls.
    recent_starts: VecDeque<Micros>,
    /// When the latest call started.
    last_start: Micros,
    /// Number of requests so far.
    request_count: u64,
}

impl Fleet {
    fn new(size: u32, capacity: f64) -> Fleet {
        let servers = (0..size).map(|n| controller(n, size, capacity)).collect();
        Fleet {
            servers,
            in_flight: VecDeque::new(),
            recent_starts: VecDeque::new(),
            last_start: 0,
            request_count: 0,
        }
    }

    /// One step of all servers, in which calls take this time and end with this outcome.
    fn step(&mut self, now: Micros, call_time: Micros, outcome: Outcome) {
        let mut events: Vec<Vec<Event>> = self.servers.iter().map(|_| vec![busy_timer()]).collect();
        while self.in_flight.front().is_some_and(|(end, ..)| *end <= now) {
            let (_, n, name) = self.in_flight.pop_front().expect("a call");
            events[n].push(Event::CallEnded(name.clone(), outcome, call_time));
            if outcome == Outcome::Ok {
                events[n].push(Event::RunEnded(name, Outcome::Ok, call_time));
            }
        }
        for (n, mut events) in events.into_iter().enumerate() {
            if now.is_multiple_of(20 * MS) {
                self.request_count += 1;
                events.push(Event::Arrived(arrival(&format!("r{}", self.request_count), 0, 100 * SEC)));
            }
            // Events that follow from actions are sent at the same time.
            while !events.is_empty() {
                let actions = step(&mut self.servers[n], now, std::mem::take(&mut events));
                for action in actions {
                    match action {
                        Action::Admit(name) => events.push(Event::NeedsCall(name)),
                        // A run that waits for a call ends when its request fails, and a preempted run ends
                        // at once.
                        Action::Preempt(name) | Action::Fail(name) => {
                            events.push(Event::RunEnded(name, Outcome::Aborted, 0));
                        }
                        Action::Call(name, _) => {
                            self.in_flight.push_back((now + call_time, n, name));
                            self.recent_starts.push_back(now);
                            self.last_start = now;
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
        let max_calls = capacity + 2.0 * f64::sqrt(capacity) + 2.0;
        let mut fleet = Fleet::new(servers, capacity);
        for now in (0..6 * SEC).step_by(5 * MS as usize) {
            let is_down = (SEC..4 * SEC).contains(&now);
            let (call_time, outcome) =
                if is_down { (5 * MS, Outcome::Unreachable) } else { (100 * MS, Outcome::Ok) };
            fleet.step(now, call_time, outcome);
            while fleet.recent_starts.front().is_some_and(|at| at + 100 * MS <= now) {
                fleet.recent_starts.pop_front();
            }
            // Each server learns from three calls that the dependency is down, and these fail at once.
            let is_learning = (SEC..SEC + 500 * MS).contains(&now);
            let calls = if is_learning { 0 } else { fleet.recent_starts.len() };
            assert!(calls as f64 <= max_calls, "{servers} servers, {calls} of {capacity} calls at {now}");
        }
        // A quota so small that a single hanging call would exceed it in the mean is not used at all.
        let is_usable = capacity / f64::from(servers) > 0.2;
        assert!(
            !is_usable || fleet.last_start > 4 * SEC,
            "{servers} servers, {capacity}: no calls after the recovery"
        );
    }
}

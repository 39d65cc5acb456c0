//! Simulates several servers, each with its own clock, on a network that loses, duplicates, delays and
//! reorders messages. Processes stall, resume and restart. At no instant may the servers together use more
//! than the total.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom_quota::{Config, MemberName, Message, Micros, SharedQuota};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// True time that passes in one step of the simulation.
const STEP: Micros = 5_000;

struct Server {
    quota: Option<SharedQuota>,
    boot_id: u64,
    /// The rate of its clock relative to true time.
    clock_rate: f64,
    /// What its clock shows at true time 0.
    clock_offset: Micros,
    /// The process is stalled until this true time.
    stalled_until: Micros,
    /// The number of calls that wait for a permit.
    waiting: u32,
}

/// A call as the dependency sees it; times are in true time.
struct Call {
    caller: usize,
    id: u64,
    /// When the call ends by itself.
    ends_at: Micros,
    /// When the call ends at the latest, as its stated time has run out.
    deadline: Micros,
}

/// A message in flight.
struct InFlightMessage {
    from: usize,
    to: usize,
    sender_boot_id: u64,
    message: Message,
}

struct Simulation {
    now: Micros,
    total: u32,
    servers: Vec<Server>,
    calls: Vec<Call>,
    /// Messages in flight, by time of arrival and order of sending.
    in_flight: BTreeMap<(Micros, u64), InFlightMessage>,
    /// Pairs of sender and receiver whose messages are lost.
    cut: BTreeSet<(usize, usize)>,
    random: ChaCha8Rng,
    last_number: u64,
    /// The largest number of calls that were in use at once.
    peak_calls: usize,
    served: u64,
    /// Whether servers can ask each other for leases; if not, each has only its own share.
    leases_enabled: bool,
}

impl Simulation {
    fn new(seed: u64, total: u32, drift: f64) -> Simulation {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut servers = Vec::new();
        for _ in NAMES {
            servers.push(Server {
                quota: None,
                boot_id: 0,
                clock_rate: 1.0 + random.random_range(-drift..=drift),
                clock_offset: random.random_range(0..1_000_000_000),
                stalled_until: 0,
                waiting: 0,
            });
        }
        let mut simulation = Simulation {
            now: 0,
            total,
            servers,
            calls: Vec::new(),
            in_flight: BTreeMap::new(),
            cut: BTreeSet::new(),
            random,
            last_number: 0,
            peak_calls: 0,
            served: 0,
            leases_enabled: true,
        };
        (0..NAMES.len()).for_each(|server| simulation.start(server));
        simulation
    }

    fn clock(&self, server: usize) -> Micros {
        self.servers[server].clock_offset + (self.now as f64 * self.servers[server].clock_rate) as Micros
    }

    fn start(&mut self, server: usize) {
        let config = Config::new(self.total, &NAMES, NAMES[server]);
        let (now, seed) = (self.clock(server), self.random.random());
        self.servers[server].quota =
            Some(SharedQuota::new(now, config, seed).expect("a valid configuration"));
        self.last_number += 1;
        self.servers[server].boot_id = self.last_number;
    }

    fn kill(&mut self, server: usize) {
        self.servers[server].quota = None;
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Advances true time by one step: delivers messages, runs the servers and checks the total.
    fn step(&mut self) -> Result<(), String> {
        self.now += STEP;
        let now = self.now;
        self.calls.retain(|call| now < call.deadline.min(call.ends_at.max(1)));
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= now) {
            let InFlightMessage { from, to, sender_boot_id, message } = entry.remove();
            let clock = self.clock(to);
            let stalled = self.servers[to].stalled_until > now;
            if let Some(quota) = self.servers[to].quota.as_mut().filter(|_| !stalled) {
                quota.handle_message(clock, &MemberName::from(NAMES[from]), sender_boot_id, &message);
                quota.check_invariants(clock).map_err(|violation| violation.to_string())?;
            }
        }
        for server in 0..self.servers.len() {
            if self.servers[server].stalled_until <= now {
                self.run(server)?;
            }
        }
        self.peak_calls = self.peak_calls.max(self.calls.len());
        if self.calls.len() > self.total as usize {
            return Err(format!("{} calls in use, the total is {}", self.calls.len(), self.total));
        }
        Ok(())
    }

    /// Runs one step of a server: releases ended calls, starts waiting ones and sends its messages.
    fn run(&mut self, server: usize) -> Result<(), String> {
        let clock = self.clock(server);
        let peers = (0..NAMES.len()).filter(|other| *other != server && self.servers[*other].quota.is_some());
        let reachable =
            peers.map(|other| (MemberName::from(NAMES[other]), self.servers[other].boot_id)).collect();
        let reachable = if self.leases_enabled { reachable } else { Vec::new() };
        let waiting = self.servers[server].waiting;
        let is_over = |call: &&Call| call.caller == server && call.ends_at <= self.now + STEP;
        let ended: Vec<u64> = self.calls.iter().filter(is_over).map(|call| call.id).collect();
        let rate = self.servers[server].clock_rate;
        let Some(mut quota) = self.servers[server].quota.take() else { return Ok(()) };
        for id in ended {
            // The caller sees the reply a little after the dependency has counted the end of the call.
            self.calls.retain(|call| call.id != id);
            quota.release(id);
        }
        quota.set_reachable(clock, reachable, false, true);
        quota.set_demand(waiting, 1);
        quota.handle_timeout(clock);
        for _ in 0..waiting {
            let wanted_until = clock + self.random.random_range(30_000..1_500_000);
            self.last_number += 1;
            let Some(until) = quota.acquire(clock, self.last_number, wanted_until) else { break };
            self.servers[server].waiting -= 1;
            self.served += 1;
            // The dependency counts the stated time from the arrival of the call, in true time.
            let stated_duration = ((until - clock) as f64 / rate) as Micros;
            let arrives_at = self.now + self.random.random_range(0..20_000);
            let duration = if self.random.random_bool(0.1) {
                10_000_000
            } else {
                self.random.random_range(5_000..80_000)
            };
            self.calls.push(Call {
                caller: server,
                id: self.last_number,
                ends_at: arrives_at + duration,
                deadline: arrives_at + stated_duration,
            });
        }
        quota.check_invariants(clock).map_err(|violation| violation.to_string())?;
        let sender_boot_id = self.servers[server].boot_id;
        let messages = quota.take_messages();
        self.servers[server].quota = Some(quota);
        for (to, message) in messages {
            let to = NAMES.iter().position(|name| **name == *to).expect("a name");
            if self.is_cut(server, to) || self.random.random_bool(0.05) {
                continue;
            }
            let copies = if self.random.random_bool(0.1) { 2 } else { 1 };
            for _ in 0..copies {
                let max_delay = if self.random.random_bool(0.05) { 3_000_000 } else { 30_000 };
                self.last_number += 1;
                let at = self.now + self.random.random_range(0..max_delay);
                let in_flight =
                    InFlightMessage { from: server, to, sender_boot_id, message: message.clone() };
                self.in_flight.insert((at, self.last_number), in_flight);
            }
        }
        Ok(())
    }

    fn inject_fault(&mut self) {
        let (server, other) = (self.random.random_range(0..4), self.random.random_range(0..4));
        match self.random.random_range(0..5) {
            0 => self.servers[server].stalled_until = self.now + self.random.random_range(100_000..6_000_000),
            1 => self.kill(server),
            2 => {
                self.kill(server);
                self.start(server);
            }
            3 => {
                self.cut.insert((server, other));
            }
            _ => self.cut.clear(),
        }
        for server in 0..4 {
            if self.servers[server].quota.is_none() && self.random.random_bool(0.5) {
                self.start(server);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn calls_in_use_never_exceed_the_total_under_random_faults(
        seed in any::<u64>(), total in 4u32..60, faults in 0.0..0.03,
    ) {
        let mut simulation = Simulation::new(seed, total, 0.01);
        for _ in 0..4_000 {
            if simulation.random.random_bool(faults) {
                simulation.inject_fault();
            }
            // One server at a time has high demand; it changes every 3 s.
            let busy = (simulation.now / 3_000_000) as usize % 4;
            for server in 0..4 {
                let max_arrivals = if server == busy { 8 } else { 1 };
                let arrivals = simulation.random.random_range(0..=max_arrivals);
                simulation.servers[server].waiting = (simulation.servers[server].waiting + arrivals).min(100);
            }
            let stepped = simulation.step();
            prop_assert!(stepped.is_ok(), "{:?} at {}", stepped, simulation.now);
        }
        prop_assert!(simulation.served > 0);
    }
}

/// The result of a run in which one server has all the demand.
struct UnevenRun {
    served: u64,
    peak_calls: usize,
}

fn run_with_uneven_demand(leases_enabled: bool) -> UnevenRun {
    let mut simulation = Simulation::new(7, 40, 0.01);
    simulation.leases_enabled = leases_enabled;
    for _ in 0..4_000 {
        simulation.servers[0].waiting = 60;
        simulation.step().expect("within the total");
    }
    UnevenRun { served: simulation.served, peak_calls: simulation.peak_calls }
}

#[test]
fn leases_move_unneeded_permits_to_the_server_with_demand() {
    let (with, without) = (run_with_uneven_demand(true), run_with_uneven_demand(false));
    let (peak_with, peak_without) = (with.peak_calls, without.peak_calls);
    assert!(peak_with <= 40 && peak_without <= 10, "{peak_with} {peak_without}");
    let (with, without) = (with.served, without.served);
    assert!(with > 2 * without, "{with} calls with leases, {without} without");
}

#[test]
fn a_server_that_is_cut_off_falls_back_to_its_own_share_within_one_lease() {
    let mut simulation = Simulation::new(9, 40, 0.0);
    let borrowed = |simulation: &Simulation| {
        let clock = simulation.clock(0);
        simulation.servers[0].quota.as_ref().map_or(0, |quota| quota.status(clock).borrowed)
    };
    for _ in 0..1_500 {
        simulation.servers[0].waiting = 60;
        simulation.step().expect("within the total");
    }
    assert!(borrowed(&simulation) > 0);
    for other in 1..4 {
        simulation.cut.insert((0, other));
        simulation.cut.insert((other, 0));
    }
    // The duration of a lease, and the delay of messages in flight at the time of the cut.
    for _ in 0..(2_000_000 + 50_000) / STEP {
        simulation.servers[0].waiting = 60;
        simulation.step().expect("within the total");
    }
    assert_eq!(borrowed(&simulation), 0);
    let clock = simulation.clock(0);
    assert_eq!(simulation.servers[0].quota.as_ref().map(|quota| quota.status(clock).part), Some(10));
}

#[test]
fn a_share_grows_only_after_all_servers_agree_and_shrinks_at_once() {
    let roster = ["a", "b", "c", "d"];
    let config = |total, roster: &[&str]| Config::new(total, roster, "a");
    let quarantine = config(40, &roster).quarantine();
    let mut quota = SharedQuota::new(0, config(40, &roster), 1).expect("a valid configuration");
    quota.handle_timeout(quarantine);
    assert_eq!(quota.available(quarantine), 10);
    quota.reconfigure(quarantine, config(40, &roster[..2])).expect("a valid configuration");
    // Not all servers are reachable, or not all use the same shares.
    let mut now = quarantine;
    while now < 4 * quarantine {
        now += 50_000;
        quota.set_reachable(now, vec![], false, false);
        quota.handle_timeout(now);
        assert_eq!(quota.available(now), 10);
    }
    for _ in 0..quarantine / 50_000 + 2 {
        now += 50_000;
        quota.set_reachable(now, vec![], false, true);
        quota.handle_timeout(now);
    }
    assert_eq!(quota.available(now), 20);
    quota.reconfigure(now, config(8, &roster)).expect("a valid configuration");
    assert_eq!(quota.available(now), 2);
    quota.set_fenced(now, true);
    assert_eq!((quota.available(now), quota.acquire(now, 1, now + 100_000)), (0, None));
    quota.set_fenced(now, false);
    quota.handle_timeout(now + 1);
    assert_eq!(quota.available(now + 1), 0, "another process may still use the share");
}

#[test]
fn an_abandoned_call_keeps_its_permit_until_its_stated_time_has_run_out() {
    let config = Config::new(2, &["a", "b"], "a");
    let (settled_at, delivery) = (config.quarantine(), config.max_delivery_delay);
    let mut quota = SharedQuota::new(0, config, 1).expect("a valid configuration");
    quota.handle_timeout(settled_at);
    let until = quota.acquire(settled_at, 1, settled_at + 400_000).expect("a permit");
    // The call is abandoned, so its permit is not released.
    quota.handle_timeout(until);
    assert_eq!(quota.acquire(until, 2, until + 10_000), None);
    quota.handle_timeout(until + delivery);
    assert!(quota.acquire(until + delivery, 2, until + 100_000).is_some());
}

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

/// A message under way.
struct Mail {
    from: usize,
    to: usize,
    sender_boot_id: u64,
    message: Message,
}

struct World {
    now: Micros,
    total: u32,
    servers: Vec<Server>,
    calls: Vec<Call>,
    /// By arrival, and in the order of sending.
    mail: BTreeMap<(Micros, u64), Mail>,
    /// Directions, as sender and receiver, that carry nothing.
    cut: BTreeSet<(usize, usize)>,
    random: ChaCha8Rng,
    last_number: u64,
    /// The largest number of calls that were in use at once.
    peak_calls: usize,
    served: u64,
    /// Whether servers can ask each other for leases; if not, each has only its own share.
    leases_enabled: bool,
}

impl World {
    fn new(seed: u64, total: u32, drift: f64) -> World {
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
        let mut world = World {
            now: 0,
            total,
            servers,
            calls: Vec::new(),
            mail: BTreeMap::new(),
            cut: BTreeSet::new(),
            random,
            last_number: 0,
            peak_calls: 0,
            served: 0,
            leases_enabled: true,
        };
        (0..NAMES.len()).for_each(|n| world.start(n));
        world
    }

    fn clock(&self, n: usize) -> Micros {
        self.servers[n].clock_offset + (self.now as f64 * self.servers[n].clock_rate) as Micros
    }

    fn start(&mut self, n: usize) {
        let config = Config::new(self.total, &NAMES, NAMES[n]);
        let (now, seed) = (self.clock(n), self.random.random());
        self.servers[n].quota = Some(SharedQuota::new(now, config, seed).expect("a valid configuration"));
        self.last_number += 1;
        self.servers[n].boot_id = self.last_number;
    }

    fn kill(&mut self, n: usize) {
        self.servers[n].quota = None;
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Advances true time by one step: delivers messages, runs the servers and checks the total.
    fn step(&mut self) -> Result<(), String> {
        self.now += STEP;
        let now = self.now;
        self.calls.retain(|call| now < call.deadline.min(call.ends_at.max(1)));
        while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= now) {
            let Mail { from, to, sender_boot_id, message } = entry.remove();
            let clock = self.clock(to);
            let stalled = self.servers[to].stalled_until > now;
            if let Some(quota) = self.servers[to].quota.as_mut().filter(|_| !stalled) {
                quota.handle_message(clock, &MemberName::from(NAMES[from]), sender_boot_id, &message);
                quota.check_invariants(clock).map_err(|violation| violation.to_string())?;
            }
        }
        for n in 0..self.servers.len() {
            if self.servers[n].stalled_until <= now {
                self.run(n)?;
            }
        }
        self.peak_calls = self.peak_calls.max(self.calls.len());
        if self.calls.len() > self.total as usize {
            return Err(format!("{} calls at once of {}", self.calls.len(), self.total));
        }
        Ok(())
    }

    fn run(&mut self, n: usize) -> Result<(), String> {
        let clock = self.clock(n);
        let peers = (0..NAMES.len()).filter(|other| *other != n && self.servers[*other].quota.is_some());
        let reachable =
            peers.map(|other| (MemberName::from(NAMES[other]), self.servers[other].boot_id)).collect();
        let reachable = if self.leases_enabled { reachable } else { Vec::new() };
        let waiting = self.servers[n].waiting;
        let is_over = |call: &&Call| call.caller == n && call.ends_at <= self.now + STEP;
        let ended: Vec<u64> = self.calls.iter().filter(is_over).map(|call| call.id).collect();
        let rate = self.servers[n].clock_rate;
        let Some(mut quota) = self.servers[n].quota.take() else { return Ok(()) };
        for id in ended {
            // The reply is seen a little later than the dependency counts the end.
            self.calls.retain(|c| c.id != id);
            quota.release(id);
        }
        quota.set_reachable(clock, reachable, false, true);
        quota.set_demand(waiting, 1);
        quota.handle_timeout(clock);
        for _ in 0..waiting {
            let wanted_until = clock + self.random.random_range(30_000..1_500_000);
            self.last_number += 1;
            let Some(until) = quota.acquire(clock, self.last_number, wanted_until) else { break };
            self.servers[n].waiting -= 1;
            self.served += 1;
            // Its time counts at the dependency once it has come there, on a true clock.
            let stated_span = ((until - clock) as f64 / rate) as Micros;
            let arrives_at = self.now + self.random.random_range(0..20_000);
            let duration = if self.random.random_bool(0.1) {
                10_000_000
            } else {
                self.random.random_range(5_000..80_000)
            };
            self.calls.push(Call {
                caller: n,
                id: self.last_number,
                ends_at: arrives_at + duration,
                deadline: arrives_at + stated_span,
            });
        }
        quota.check_invariants(clock).map_err(|violation| violation.to_string())?;
        let sender_boot_id = self.servers[n].boot_id;
        let messages = quota.take_messages();
        self.servers[n].quota = Some(quota);
        for (to, message) in messages {
            let to = NAMES.iter().position(|name| **name == *to).expect("a name");
            if self.is_cut(n, to) || self.random.random_bool(0.05) {
                continue;
            }
            let copies = if self.random.random_bool(0.1) { 2 } else { 1 };
            for _ in 0..copies {
                let max_delay = if self.random.random_bool(0.05) { 3_000_000 } else { 30_000 };
                self.last_number += 1;
                let at = self.now + self.random.random_range(0..max_delay);
                let mail = Mail { from: n, to, sender_boot_id, message: message.clone() };
                self.mail.insert((at, self.last_number), mail);
            }
        }
        Ok(())
    }

    fn inject_fault(&mut self) {
        let (n, other) = (self.random.random_range(0..4), self.random.random_range(0..4));
        match self.random.random_range(0..5) {
            0 => self.servers[n].stalled_until = self.now + self.random.random_range(100_000..6_000_000),
            1 => self.kill(n),
            2 => {
                self.kill(n);
                self.start(n);
            }
            3 => {
                self.cut.insert((n, other));
            }
            _ => self.cut.clear(),
        }
        for n in 0..4 {
            if self.servers[n].quota.is_none() && self.random.random_bool(0.5) {
                self.start(n);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn calls_in_use_never_exceed_the_total_under_random_faults(seed in any::<u64>(), total in 4u32..60, faults in 0.0..0.03) {
        let mut world = World::new(seed, total, 0.01);
        for _ in 0..4_000 {
            if world.random.random_bool(faults) {
                world.inject_fault();
            }
            // Uneven and changing demand.
            let busy = (world.now / 3_000_000) as usize % 4;
            for n in 0..4 {
                let more = if n == busy { 8 } else { 1 };
                world.servers[n].waiting = (world.servers[n].waiting + world.random.random_range(0..=more)).min(100);
            }
            let stepped = world.step();
            prop_assert!(stepped.is_ok(), "{:?} at {}", stepped, world.now);
        }
        prop_assert!(world.served > 0);
    }
}

/// The result of a run in which one server has all the demand.
struct UnevenRun {
    served: u64,
    peak_calls: usize,
}

fn run_with_uneven_demand(leases_enabled: bool) -> UnevenRun {
    let mut world = World::new(7, 40, 0.01);
    world.leases_enabled = leases_enabled;
    for _ in 0..4_000 {
        world.servers[0].waiting = 60;
        world.step().expect("within the total");
    }
    UnevenRun { served: world.served, peak_calls: world.peak_calls }
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
    let mut world = World::new(9, 40, 0.0);
    let borrowed = |world: &World| {
        let clock = world.clock(0);
        world.servers[0].quota.as_ref().map_or(0, |a| a.status(clock).borrowed)
    };
    for _ in 0..1_500 {
        world.servers[0].waiting = 60;
        world.step().expect("within the total");
    }
    assert!(borrowed(&world) > 0);
    for other in 1..4 {
        world.cut.insert((0, other));
        world.cut.insert((other, 0));
    }
    // The duration of a lease, and the delay of messages in flight at the time of the cut.
    for _ in 0..(2_000_000 + 50_000) / STEP {
        world.servers[0].waiting = 60;
        world.step().expect("within the total");
    }
    assert_eq!(borrowed(&world), 0);
    let clock = world.clock(0);
    assert_eq!(world.servers[0].quota.as_ref().map(|a| a.status(clock).part), Some(10));
}

#[test]
fn a_share_grows_only_after_all_servers_agree_and_shrinks_at_once() {
    let all = ["a", "b", "c", "d"];
    let config = |total, roster: &[&str]| Config::new(total, roster, "a");
    let quarantine = config(40, &all).quarantine();
    let mut a = SharedQuota::new(0, config(40, &all), 1).expect("a valid configuration");
    a.handle_timeout(quarantine);
    assert_eq!(a.available(quarantine), 10);
    a.reconfigure(quarantine, config(40, &all[..2])).expect("a valid configuration");
    // Not all are reachable, or not all go by the same shares.
    let mut now = quarantine;
    while now < 4 * quarantine {
        now += 50_000;
        a.set_reachable(now, vec![], false, false);
        a.handle_timeout(now);
        assert_eq!(a.available(now), 10);
    }
    for _ in 0..quarantine / 50_000 + 2 {
        now += 50_000;
        a.set_reachable(now, vec![], false, true);
        a.handle_timeout(now);
    }
    assert_eq!(a.available(now), 20);
    a.reconfigure(now, config(8, &all)).expect("a valid configuration");
    assert_eq!(a.available(now), 2);
    a.set_fenced(now, true);
    assert_eq!((a.available(now), a.acquire(now, 1, now + 100_000)), (0, None));
    a.set_fenced(now, false);
    a.handle_timeout(now + 1);
    assert_eq!(a.available(now + 1), 0, "another process may still use the share");
}

#[test]
fn a_call_that_is_given_up_keeps_its_permit_until_its_stated_time_has_run_out() {
    let config = Config::new(2, &["a", "b"], "a");
    let (settled_at, delivery) = (config.quarantine(), config.max_delivery_delay);
    let mut a = SharedQuota::new(0, config, 1).expect("a valid configuration");
    a.handle_timeout(settled_at);
    let until = a.acquire(settled_at, 1, settled_at + 400_000).expect("a permit");
    // Given up: it is not released.
    a.handle_timeout(until);
    assert_eq!(a.acquire(until, 2, until + 10_000), None);
    a.handle_timeout(until + delivery);
    assert!(a.acquire(until + delivery, 2, until + 100_000).is_some());
}

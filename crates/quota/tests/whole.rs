//! Several servers with clocks of their own, on a network that loses, doubles, delays and reorders, with processes
//! that stop, wake and start anew: at no instant do they use more than the whole.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom_quota::{Config, MemberName, Message, Micros, SharedQuota};

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Steps of true time.
const STEP: Micros = 5_000;

struct Server {
    allowance: Option<SharedQuota>,
    boot: u64,
    /// Rate of its clock, and what it showed at its start.
    rate: f64,
    offset: Micros,
    /// Stopped until then, in true time.
    stopped: Micros,
    waiting: u32,
}

/// A call as the dependency sees it: it ends by itself at the first time, and in any case at the second.
struct Call {
    by: usize,
    id: u64,
    ends: Micros,
    stated: Micros,
}

struct World {
    now: Micros,
    whole: u32,
    servers: Vec<Server>,
    calls: Vec<Call>,
    mail: BTreeMap<(Micros, u64), (usize, usize, u64, Message)>,
    cut: BTreeMap<(usize, usize), bool>,
    random: ChaCha8Rng,
    next: u64,
    most: usize,
    served: u64,
    /// Loans are taken; without them every server is on its own.
    lends: bool,
}

impl World {
    fn new(seed: u64, whole: u32, drift: f64) -> World {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut servers = Vec::new();
        for _ in NAMES {
            let rate = 1.0 + random.random_range(-drift..=drift);
            let offset = random.random_range(0..1_000_000_000);
            servers.push(Server { allowance: None, boot: 0, rate, offset, stopped: 0, waiting: 0 });
        }
        let (calls, mail, cut) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        let mut world = World {
            now: 0,
            whole,
            servers,
            calls,
            mail,
            cut,
            random,
            next: 0,
            most: 0,
            served: 0,
            lends: true,
        };
        (0..NAMES.len()).for_each(|n| world.start(n));
        world
    }

    fn clock(&self, n: usize) -> Micros {
        self.servers[n].offset + (self.now as f64 * self.servers[n].rate) as Micros
    }

    fn start(&mut self, n: usize) {
        let config = Config::new(self.whole, &NAMES, NAMES[n]);
        let (now, seed) = (self.clock(n), self.random.random());
        self.servers[n].allowance = Some(SharedQuota::new(now, config, seed).expect("no mistakes"));
        self.next += 1;
        self.servers[n].boot = self.next;
    }

    fn kill(&mut self, n: usize) {
        self.servers[n].allowance = None;
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.get(&(from, to)).copied().unwrap_or(false)
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += STEP;
        let now = self.now;
        self.calls.retain(|call| now < call.stated.min(call.ends.max(1)));
        while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= now) {
            let (from, to, boot, message) = entry.remove();
            let clock = self.clock(to);
            let stopped = self.servers[to].stopped > now;
            if let Some(allowance) = self.servers[to].allowance.as_mut().filter(|_| !stopped) {
                allowance.handle_message(clock, &MemberName::from(NAMES[from]), boot, &message);
                allowance.check_invariants(clock)?;
            }
        }
        for n in 0..self.servers.len() {
            if self.servers[n].stopped <= now {
                self.run(n)?;
            }
        }
        self.most = self.most.max(self.calls.len());
        if self.calls.len() > self.whole as usize {
            return Err(format!("{} calls at once of {}", self.calls.len(), self.whole));
        }
        Ok(())
    }

    fn run(&mut self, n: usize) -> Result<(), String> {
        let clock = self.clock(n);
        let peers = (0..NAMES.len()).filter(|other| *other != n && self.servers[*other].allowance.is_some());
        let present = peers.map(|other| (MemberName::from(NAMES[other]), self.servers[other].boot)).collect();
        let present = if self.lends { present } else { Vec::new() };
        let (waiting, over) = (self.servers[n].waiting, &self.calls);
        let ended: Vec<u64> =
            over.iter().filter(|c| c.by == n && c.ends <= self.now + STEP).map(|c| c.id).collect();
        let rate = self.servers[n].rate;
        let Some(mut allowance) = self.servers[n].allowance.take() else { return Ok(()) };
        for id in ended {
            // The reply is seen a little later than the dependency counts the end.
            self.calls.retain(|c| c.id != id);
            allowance.release(id);
        }
        allowance.set_reachable(clock, present, false, true);
        allowance.set_demand(waiting, 1);
        allowance.handle_timeout(clock);
        for _ in 0..waiting {
            let wants = clock + self.random.random_range(30_000..1_500_000);
            self.next += 1;
            let Some(until) = allowance.acquire(clock, self.next, wants) else { break };
            self.servers[n].waiting -= 1;
            self.served += 1;
            // Its time counts at the dependency once it has come there, on a true clock.
            let stated = ((until - clock) as f64 / rate) as Micros;
            let arrives = self.now + self.random.random_range(0..20_000);
            let takes = if self.random.random_bool(0.1) {
                10_000_000
            } else {
                self.random.random_range(5_000..80_000)
            };
            self.calls.push(Call { by: n, id: self.next, ends: arrives + takes, stated: arrives + stated });
        }
        allowance.check_invariants(clock)?;
        let boot = self.servers[n].boot;
        let messages = allowance.take_messages();
        self.servers[n].allowance = Some(allowance);
        for (to, message) in messages {
            let to = NAMES.iter().position(|name| **name == *to).expect("a name");
            if self.is_cut(n, to) || self.random.random_bool(0.05) {
                continue;
            }
            let copies = if self.random.random_bool(0.1) { 2 } else { 1 };
            for _ in 0..copies {
                let late = if self.random.random_bool(0.05) { 3_000_000 } else { 30_000 };
                self.next += 1;
                let at = self.now + self.random.random_range(0..late);
                self.mail.insert((at, self.next), (n, to, boot, message.clone()));
            }
        }
        Ok(())
    }

    fn fault(&mut self) {
        let (n, other) = (self.random.random_range(0..4), self.random.random_range(0..4));
        match self.random.random_range(0..5) {
            0 => self.servers[n].stopped = self.now + self.random.random_range(100_000..6_000_000),
            1 => self.kill(n),
            2 => {
                self.kill(n);
                self.start(n);
            }
            3 => drop(self.cut.insert((n, other), true)),
            _ => self.cut.clear(),
        }
        for n in 0..4 {
            if self.servers[n].allowance.is_none() && self.random.random_bool(0.5) {
                self.start(n);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn never_more_than_the_whole_whatever_happens(seed in any::<u64>(), whole in 4u32..60, faults in 0.0..0.03) {
        let mut world = World::new(seed, whole, 0.01);
        for _ in 0..4_000 {
            if world.random.random_bool(faults) {
                world.fault();
            }
            // Uneven and changing need.
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

/// One server has all the need: what it gets with loans and without.
fn uneven(lends: bool) -> (u64, usize) {
    let mut world = World::new(7, 40, 0.01);
    world.lends = lends;
    for _ in 0..4_000 {
        world.servers[0].waiting = 60;
        world.step().expect("within the whole");
    }
    (world.served, world.most)
}

#[test]
fn loans_bring_what_others_do_not_need_to_where_it_is() {
    let ((with, most), (without, alone)) = (uneven(true), uneven(false));
    assert!(most <= 40 && alone <= 10, "{most} {alone}");
    assert!(with > 2 * without, "{with} calls with loans, {without} without");
}

#[test]
fn who_is_cut_off_falls_back_to_its_own_part_within_one_loan() {
    let mut world = World::new(9, 40, 0.0);
    let borrowed = |world: &World| {
        let clock = world.clock(0);
        world.servers[0].allowance.as_ref().map_or(0, |a| a.status(clock).borrowed)
    };
    for _ in 0..1_500 {
        world.servers[0].waiting = 60;
        world.step().expect("within the whole");
    }
    assert!(borrowed(&world) > 0);
    for other in 1..4 {
        world.cut.insert((0, other), true);
        world.cut.insert((other, 0), true);
    }
    // A loan, and what was under way when the cut came.
    for _ in 0..(2_000_000 + 50_000) / STEP {
        world.servers[0].waiting = 60;
        world.step().expect("within the whole");
    }
    assert_eq!(borrowed(&world), 0);
    let clock = world.clock(0);
    assert_eq!(world.servers[0].allowance.as_ref().map(|a| a.status(clock).part), Some(10));
}

#[test]
fn a_part_grows_only_when_all_go_by_the_same_and_shrinks_at_once() {
    let all = ["a", "b", "c", "d"];
    let config = |whole, roster: &[&str]| Config::new(whole, roster, "a");
    let quiet = config(40, &all).quarantine();
    let mut a = SharedQuota::new(0, config(40, &all), 1).expect("sound");
    a.handle_timeout(quiet);
    assert_eq!(a.available(quiet), 10);
    a.reconfigure(quiet, config(40, &all[..2])).expect("sound");
    // Not all are there, or not all go by it.
    let mut now = quiet;
    while now < 4 * quiet {
        now += 50_000;
        a.set_reachable(now, vec![], false, false);
        a.handle_timeout(now);
        assert_eq!(a.available(now), 10);
    }
    for _ in 0..quiet / 50_000 + 2 {
        now += 50_000;
        a.set_reachable(now, vec![], false, true);
        a.handle_timeout(now);
    }
    assert_eq!(a.available(now), 20);
    a.reconfigure(now, config(8, &all)).expect("sound");
    assert_eq!(a.available(now), 2);
    a.set_fenced(now, true);
    assert_eq!((a.available(now), a.acquire(now, 1, now + 100_000)), (0, None));
    a.set_fenced(now, false);
    a.handle_timeout(now + 1);
    assert_eq!(a.available(now + 1), 0, "another process may still use the part");
}

#[test]
fn a_call_that_is_given_up_keeps_its_place_until_its_time_has_run_out() {
    let config = Config::new(2, &["a", "b"], "a");
    let (quiet, delivery) = (config.quarantine(), config.max_delivery);
    let mut a = SharedQuota::new(0, config, 1).expect("sound");
    a.handle_timeout(quiet);
    let until = a.acquire(quiet, 1, quiet + 400_000).expect("a place");
    // Given up: nobody tells it that it has ended.
    a.handle_timeout(until);
    assert_eq!(a.acquire(until, 2, until + 10_000), None);
    a.handle_timeout(until + delivery);
    assert!(a.acquire(until + delivery, 2, until + 100_000).is_some());
}

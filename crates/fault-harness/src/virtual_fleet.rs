//! Up to a thousand members in one process, on a virtual network and clock: the same seed gives the same run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom_membership::{
    Action, Config, Event, MemberState, Membership, Micros, PartitionStatus, ReturnPath,
};

/// What the network does to datagrams. Streams carry what they take, late.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss: f64,
    pub double: f64,
    /// Of streams and datagrams: a bit is turned over.
    pub damage: f64,
    /// Datagrams are late by up to this.
    pub max_delay: Micros,
    /// Streams carry nothing.
    pub no_streams: bool,
}

enum Due {
    Mail { from: usize, to: usize, bytes: Vec<u8>, datagram: bool },
    Pass(usize),
}

/// Which way something came: the sender's place.
type Way = usize;

/// All members.
pub struct VirtualFleet {
    pub now: Micros,
    pub members: Vec<Option<Membership>>,
    pub network: Network,
    names: Vec<String>,
    places: BTreeMap<String, usize>,
    rates: Vec<f64>,
    /// Stopped until then.
    stopped: Vec<Micros>,
    /// Directions that carry nothing.
    pub cut_links: std::collections::BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    due: BTreeMap<u64, Due>,
    next: u64,
    random: ChaCha8Rng,
    /// Lines that members said, with their times and places.
    pub events: Vec<(Micros, usize, Event)>,
    pub bytes: u64,
    pub messages: u64,
    adjust: fn(&mut Config),
}

impl VirtualFleet {
    /// So many members, with times as `adjust` leaves them; their clocks are up to one percent off.
    pub fn new(count: usize, seed: u64, adjust: fn(&mut Config)) -> VirtualFleet {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<String> = (0..count).map(|n| format!("m{n}")).collect();
        let places = names.iter().cloned().zip(0..).collect();
        let rates = (0..count).map(|_| random.random_range(0.99..1.01)).collect();
        let mut fleet = VirtualFleet {
            now: 0,
            members: (0..count).map(|_| None).collect(),
            network: Network::default(),
            names,
            places,
            rates,
            stopped: vec![0; count],
            cut_links: Default::default(),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            next: 0,
            random,
            events: Vec::new(),
            bytes: 0,
            messages: 0,
            adjust,
        };
        (0..count).for_each(|n| fleet.start(n));
        fleet
    }

    fn clock(&self, n: usize) -> Micros {
        (self.now as f64 * self.rates[n]) as Micros
    }

    /// A process starts under this name, from nothing.
    pub fn start(&mut self, n: usize) {
        // The start by the Unix clock, which is the same for all but for some skew.
        let boot = 1_700_000_000_000_000 + self.now + self.random.random_range(0..1_000);
        self.start_with_boot_id(n, boot);
    }

    /// The same with a Unix clock that shows this.
    pub fn start_with_boot_id(&mut self, n: usize, boot: u64) {
        let others: Vec<&str> =
            self.names.iter().enumerate().filter(|(o, _)| *o != n).map(|(_, s)| s.as_str()).collect();
        let mut config = Config::new("virtual", &self.names[n], &others);
        (self.adjust)(&mut config);
        let (clock, seed) = (self.clock(n), self.random.random());
        self.members[n] = Membership::new(clock, config, boot, seed).ok();
        self.plan(self.now, Due::Pass(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.members[n] = None;
    }

    /// It is not run until then; what comes for it waits.
    pub fn pause(&mut self, n: usize, span: Micros) {
        self.stopped[n] = self.now + span;
    }

    fn plan(&mut self, at: Micros, due: Due) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.due.insert(self.next, due);
    }

    /// Goes on until then.
    pub fn run_until(&mut self, until: Micros) -> Result<(), String> {
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            let Some(due) = self.due.remove(&number) else { continue };
            self.now = self.now.max(at);
            let n = match &due {
                Due::Mail { to, .. } => *to,
                Due::Pass(n) => *n,
            };
            if self.members[n].is_some() && self.stopped[n] > self.now {
                let later = self.stopped[n];
                self.plan(later, due);
                continue;
            }
            self.step(n, due)?;
        }
        self.now = until;
        Ok(())
    }

    fn step(&mut self, n: usize, due: Due) -> Result<(), String> {
        let clock = self.clock(n);
        let Some(member) = &mut self.members[n] else { return Ok(()) };
        let passes = matches!(due, Due::Pass(_));
        match due {
            Due::Mail { from, bytes, datagram, .. } => {
                let way: Way = from;
                let via =
                    if datagram { ReturnPath::Datagram(way as u64) } else { ReturnPath::Stream(way as u64) };
                member.handle_message(clock, &bytes, via);
            }
            Due::Pass(_) => member.handle_timeout(clock),
        }
        if passes {
            member.check_invariants().map_err(|why| format!("m{n} at {}: {why}", self.now))?;
        }
        let (actions, told, next) = (member.take_actions(), member.take_events(), member.next_timeout());
        self.events.extend(told.into_iter().map(|line| (self.now, n, line)));
        for action in actions {
            let to = match &action {
                Action::Datagram { to, .. } | Action::Stream { to, .. } | Action::Bulk { to, .. } => {
                    self.places.get(&**to).copied()
                }
                Action::Reply { path: ReturnPath::Datagram(way) | ReturnPath::Stream(way), .. } => {
                    Some(*way as usize)
                }
            };
            let datagram = matches!(
                action,
                Action::Datagram { .. } | Action::Reply { path: ReturnPath::Datagram(_), .. }
            );
            if let Some(to) = to {
                self.carry(n, to, action.bytes().to_vec(), datagram);
            }
        }
        if passes {
            let at = self.now + ((next.saturating_sub(clock)) as f64 / self.rates[n]) as Micros + 1;
            self.plan(at, Due::Pass(n));
        }
        Ok(())
    }

    fn carry(&mut self, from: usize, to: usize, mut bytes: Vec<u8>, datagram: bool) {
        let Network { loss, double, damage, max_delay: late, no_streams } = self.network;
        self.messages += 1;
        self.bytes += bytes.len() as u64;
        let lost = if datagram { self.random.random_bool(loss) } else { no_streams };
        if self.cut_links.contains(&(from, to)) || lost {
            return;
        }
        if self.random.random_bool(damage) {
            let place = self.random.random_range(0..bytes.len());
            bytes[place] ^= 1 << self.random.random_range(0..8);
        }
        let copies = if datagram && self.random.random_bool(double) { 2 } else { 1 };
        for _ in 0..copies {
            let wait = 300 + self.random.random_range(0..=late.max(300));
            self.plan(self.now + wait, Due::Mail { from, to, bytes: bytes.clone(), datagram });
        }
    }

    /// Members that run.
    pub fn running_members(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.members.iter().enumerate().filter_map(|(n, member)| Some((n, member.as_ref()?)))
    }

    /// Whether all living members hold the same view, and how many stand whole.
    pub fn view_agreement(&self) -> (bool, usize) {
        let views: std::collections::BTreeSet<u64> =
            self.running_members().map(|(_, member)| member.view_digest()).collect();
        (
            views.len() <= 1,
            self.running_members().filter(|(_, m)| m.partition_status() == PartitionStatus::Whole).count(),
        )
    }

    /// Goes on in steps until all living members hold the same view; how long that took, if it came.
    pub fn run_until_views_agree(&mut self, most: Micros) -> Result<Option<Micros>, String> {
        let start = self.now;
        while self.now < start + most {
            if self.view_agreement().0 {
                return Ok(Some(self.now - start));
            }
            self.run_until(self.now + 20_000)?;
        }
        Ok(None)
    }

    /// When each living member began to hold this one for failed, from `since` on.
    pub fn failure_detection_times(&self, name: usize, since: Micros) -> Vec<Micros> {
        let name = &self.names[name];
        let mut first: BTreeMap<usize, Micros> = BTreeMap::new();
        for (at, n, line) in &self.events {
            if let Event::MemberStateChanged { name: about, to: MemberState::Failed, .. } = line {
                if **about == **name && *at >= since {
                    first.entry(*n).or_insert(*at);
                }
            }
        }
        first.into_values().collect()
    }

    /// Times that a member was held for suspected, and for failed, since then.
    pub fn suspicion_counts(&self, since: Micros) -> (usize, usize) {
        let count = |wanted: MemberState| {
            let fits = |(at, _, line): &&(Micros, usize, Event)| {
                *at >= since && matches!(line, Event::MemberStateChanged { to, .. } if *to == wanted)
            };
            self.events.iter().filter(fits).count()
        };
        (count(MemberState::Suspected), count(MemberState::Failed))
    }
}

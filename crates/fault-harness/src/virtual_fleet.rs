//! Up to a thousand members in one process on a virtual network and clock. Equal seeds give equal runs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom_membership::{
    Action, Config, Event, MemberState, Membership, Micros, PartitionStatus, ReturnPath,
};

/// Faults of the virtual network. Messages on streams are delayed but neither lost nor duplicated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that are duplicated, from 0 to 1.
    pub double: f64,
    /// Share of messages, on streams and as datagrams, in which one bit is flipped, from 0 to 1.
    pub damage: f64,
    /// Largest random delay of a message, in microseconds; less than 300 counts as 300. A fixed 300 is added.
    pub max_delay: Micros,
    /// Whether messages on streams are dropped.
    pub no_streams: bool,
}

/// A scheduled event.
enum ScheduledEvent {
    /// A message arrives.
    Message { from: usize, to: usize, bytes: Vec<u8>, datagram: bool },
    /// The timeout of a member is due.
    Timeout(usize),
}

/// Identifies the return path of a message: the index of its sender.
type SenderIndex = usize;

/// All members and the network between them. Members are identified by their index.
pub struct VirtualFleet {
    /// The virtual time in microseconds.
    pub now: Micros,
    /// The members; `None` for one that does not run.
    pub members: Vec<Option<Membership>>,
    pub network: Network,
    names: Vec<String>,
    index_by_name: BTreeMap<String, usize>,
    /// The speed of each member's clock, relative to the virtual time.
    clock_rates: Vec<f64>,
    /// The time until which each member is suspended.
    paused_until: Vec<Micros>,
    /// Directions, as sender and receiver, in which every message is lost.
    pub cut_links: std::collections::BTreeSet<(usize, usize)>,
    /// Times and numbers of scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Scheduled events by number.
    scheduled: BTreeMap<u64, ScheduledEvent>,
    last_number: u64,
    random: ChaCha8Rng,
    /// Events that members reported, with the virtual time and the index of the member.
    pub events: Vec<(Micros, usize, Event)>,
    /// Bytes of all messages sent.
    pub bytes: u64,
    /// Number of messages sent.
    pub messages: u64,
    /// Changes the default configuration of each member.
    adjust: fn(&mut Config),
}

impl VirtualFleet {
    /// Starts `count` members, configured by `adjust`. Their clocks are up to one percent fast or slow.
    pub fn new(count: usize, seed: u64, adjust: fn(&mut Config)) -> VirtualFleet {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<String> = (0..count).map(|n| format!("m{n}")).collect();
        let index_by_name = names.iter().cloned().zip(0..).collect();
        let clock_rates = (0..count).map(|_| random.random_range(0.99..1.01)).collect();
        let mut fleet = VirtualFleet {
            now: 0,
            members: (0..count).map(|_| None).collect(),
            network: Network::default(),
            names,
            index_by_name,
            clock_rates,
            paused_until: vec![0; count],
            cut_links: Default::default(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_number: 0,
            random,
            events: Vec::new(),
            bytes: 0,
            messages: 0,
            adjust,
        };
        (0..count).for_each(|n| fleet.start(n));
        fleet
    }

    /// The time on a member's own clock.
    fn clock(&self, n: usize) -> Micros {
        (self.now as f64 * self.clock_rates[n]) as Micros
    }

    /// Starts a new process of a member, without any state.
    pub fn start(&mut self, n: usize) {
        // The boot id is the start by the Unix clock, which all members share up to a skew of 1 ms.
        let boot_id = 1_700_000_000_000_000 + self.now + self.random.random_range(0..1_000);
        self.start_with_boot_id(n, boot_id);
    }

    /// Like [`VirtualFleet::start`], with a given boot id, the Unix time of the start in microseconds.
    pub fn start_with_boot_id(&mut self, n: usize, boot_id: u64) {
        let others: Vec<&str> =
            self.names.iter().enumerate().filter(|(o, _)| *o != n).map(|(_, s)| s.as_str()).collect();
        let mut config = Config::new("virtual", &self.names[n], &others);
        (self.adjust)(&mut config);
        let (clock, seed) = (self.clock(n), self.random.random());
        self.members[n] = Membership::new(clock, config, boot_id, seed).ok();
        self.schedule(self.now, ScheduledEvent::Timeout(n));
    }

    /// Ends a member's process.
    pub fn kill(&mut self, n: usize) {
        self.members[n] = None;
    }

    /// Suspends a member for `duration`. Messages to it wait.
    pub fn pause(&mut self, n: usize, duration: Micros) {
        self.paused_until[n] = self.now + duration;
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.last_number += 1;
        self.queue.push(Reverse((at, self.last_number)));
        self.scheduled.insert(self.last_number, event);
    }

    /// Runs until this virtual time. The error describes a violated invariant.
    pub fn run_until(&mut self, until: Micros) -> Result<(), String> {
        while let Some(Reverse((at, number))) =
            self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            let Some(event) = self.scheduled.remove(&number) else { continue };
            self.now = self.now.max(at);
            let n = match &event {
                ScheduledEvent::Message { to, .. } => *to,
                ScheduledEvent::Timeout(n) => *n,
            };
            if self.members[n].is_some() && self.paused_until[n] > self.now {
                let later = self.paused_until[n];
                self.schedule(later, event);
                continue;
            }
            self.step(n, event)?;
        }
        self.now = until;
        Ok(())
    }

    /// Passes an event to a member and carries out the resulting actions.
    fn step(&mut self, n: usize, event: ScheduledEvent) -> Result<(), String> {
        let clock = self.clock(n);
        let Some(member) = &mut self.members[n] else { return Ok(()) };
        let is_timeout = matches!(event, ScheduledEvent::Timeout(_));
        match event {
            ScheduledEvent::Message { from, bytes, datagram, .. } => {
                let sender: SenderIndex = from;
                let return_path = if datagram {
                    ReturnPath::Datagram(sender as u64)
                } else {
                    ReturnPath::Stream(sender as u64)
                };
                member.handle_message(clock, &bytes, return_path);
            }
            ScheduledEvent::Timeout(_) => member.handle_timeout(clock),
        }
        if is_timeout {
            member.check_invariants().map_err(|error| format!("m{n} at {}: {error}", self.now))?;
        }
        let (actions, events, next) = (member.take_actions(), member.take_events(), member.next_timeout());
        self.events.extend(events.into_iter().map(|event| (self.now, n, event)));
        for action in actions {
            let to = match &action {
                Action::Datagram { to, .. } | Action::Stream { to, .. } | Action::Bulk { to, .. } => {
                    self.index_by_name.get(&**to).copied()
                }
                Action::Reply { path: ReturnPath::Datagram(sender) | ReturnPath::Stream(sender), .. } => {
                    Some(*sender as usize)
                }
            };
            let datagram = matches!(
                action,
                Action::Datagram { .. } | Action::Reply { path: ReturnPath::Datagram(_), .. }
            );
            if let Some(to) = to {
                self.send(n, to, action.bytes().to_vec(), datagram);
            }
        }
        if is_timeout {
            let at = self.now + ((next.saturating_sub(clock)) as f64 / self.clock_rates[n]) as Micros + 1;
            self.schedule(at, ScheduledEvent::Timeout(n));
        }
        Ok(())
    }

    /// Sends a message over the network with its faults.
    fn send(&mut self, from: usize, to: usize, mut bytes: Vec<u8>, datagram: bool) {
        let Network { loss, double, damage, max_delay, no_streams } = self.network;
        self.messages += 1;
        self.bytes += bytes.len() as u64;
        let lost = if datagram { self.random.random_bool(loss) } else { no_streams };
        if self.cut_links.contains(&(from, to)) || lost {
            return;
        }
        if self.random.random_bool(damage) {
            let index = self.random.random_range(0..bytes.len());
            bytes[index] ^= 1 << self.random.random_range(0..8);
        }
        let copies = if datagram && self.random.random_bool(double) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = 300 + self.random.random_range(0..=max_delay.max(300));
            self.schedule(
                self.now + delay,
                ScheduledEvent::Message { from, to, bytes: bytes.clone(), datagram },
            );
        }
    }

    /// The running members with their indices.
    pub fn running_members(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.members.iter().enumerate().filter_map(|(n, member)| Some((n, member.as_ref()?)))
    }

    /// Whether all running members have the same view, and the number whose partition status is `Whole`.
    pub fn view_agreement(&self) -> (bool, usize) {
        let views: std::collections::BTreeSet<u64> =
            self.running_members().map(|(_, member)| member.view_digest()).collect();
        (
            views.len() <= 1,
            self.running_members().filter(|(_, m)| m.partition_status() == PartitionStatus::Whole).count(),
        )
    }

    /// Runs until all running members have the same view. Returns the time that it took, or `None` if it took
    /// longer than `timeout`.
    pub fn run_until_views_agree(&mut self, timeout: Micros) -> Result<Option<Micros>, String> {
        let start = self.now;
        while self.now < start + timeout {
            if self.view_agreement().0 {
                return Ok(Some(self.now - start));
            }
            self.run_until(self.now + 20_000)?;
        }
        Ok(None)
    }

    /// For each member that has seen `failed` as failed since `since`: when it first did.
    pub fn failure_detection_times(&self, failed: usize, since: Micros) -> Vec<Micros> {
        let failed = &self.names[failed];
        let mut first: BTreeMap<usize, Micros> = BTreeMap::new();
        for (at, n, event) in &self.events {
            if let Event::MemberStateChanged { name, to: MemberState::Failed, .. } = event {
                if **name == **failed && *at >= since {
                    first.entry(*n).or_insert(*at);
                }
            }
        }
        first.into_values().collect()
    }

    /// The numbers of changes to suspected and to failed that all members have reported since `since`.
    pub fn suspicion_counts(&self, since: Micros) -> (usize, usize) {
        let count = |state: MemberState| {
            let matches = |(at, _, event): &&(Micros, usize, Event)| {
                *at >= since && matches!(event, Event::MemberStateChanged { to, .. } if *to == state)
            };
            self.events.iter().filter(matches).count()
        };
        (count(MemberState::Suspected), count(MemberState::Failed))
    }
}

//! One server's side of one allowance.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::ledger::{Borrowed, CallId, CallPermit, LeaseId, Ledger, Loan};
use crate::{MemberName, Micros};

/// Questions that may be without an answer: two rounds to everyone in a large fleet.
const ASKS: usize = 64;
/// Loans on either side: more would be crumbs.
const LOANS: usize = 256;
/// Servers asked at once, so that one that is slow does not hold up the need (two choices).
const AT_ONCE: usize = 2;
/// Time between two rounds of questions, and for which one that had nothing is not asked: some round trips.
const ASK_EVERY: Micros = 20_000;
const DENIED_FOR: Micros = 200_000;
/// Own use is remembered for so long when a lender looks at what it can spare.
const PEAK: Micros = 1_000_000;
/// A lender keeps one place in so many beyond its recent use, and one at least.
const KEEP: u32 = 8;
/// A call that would get less time than this of a loan does not take a place of it.
const LEAST: Micros = 20_000;

/// What servers say to each other about an allowance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Who lends so many places, for a need of this level? With the number of the question.
    Ask(u64, u32, u16),
    /// So many are lent: number of the question, number of the loan, places, and for how long.
    Grant(u64, u64, u32, Micros),
    /// None are.
    Deny(u64),
    /// This loan is no longer used.
    Return(u64),
}

/// What moved the calls that may be in use last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeCause {
    /// It has just started, and uses nothing of its own yet.
    Started,
    /// The time in which an earlier process may still have used its part is over.
    Settled,
    /// It lent places.
    Lent,
    /// A loan that it gave is over.
    LoanBack,
    /// It borrowed places.
    Borrowed,
    /// A loan that it had is over.
    LoanOver,
    /// Its part has changed.
    Part,
    /// Another process has its name.
    Silenced,
}

/// How an allowance stands, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// Calls at once from all servers.
    pub whole: u32,
    /// This server's part.
    pub part: u32,
    /// What it would be by the roster, where that is more.
    pub wanted: u32,
    /// Places that it lent, and borrowed.
    pub lent: u32,
    /// See `lent`.
    pub borrowed: u32,
    /// Calls in use, those that were given up and have not run out included.
    pub used: u32,
    /// Calls that wait for a place.
    pub waiting: u32,
    /// What moved it last, and how long ago in milliseconds.
    pub moved: (ChangeCause, u64),
    /// Milliseconds until it uses its own part.
    pub quiet_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Micros,
}

/// One server's side.
#[derive(Debug)]
pub struct SharedQuota {
    config: Config,
    /// What is used of the own part: none in the quiet time, and never more than all have agreed on.
    part: u32,
    /// From then on a greater part may be used, if all go by the same.
    grow_at: Option<Micros>,
    /// The first growth is that after the start, for which being cut off is no hindrance.
    started: bool,
    silenced: bool,
    ledger: Ledger,
    /// Who can be asked, with the starts of their processes.
    present: Vec<(MemberName, u64)>,
    asks: BTreeMap<(MemberName, u64), Asked>,
    denied: BTreeMap<MemberName, Micros>,
    /// The last question of each borrower's process that was answered.
    heard: BTreeMap<MemberName, (u64, u64)>,
    next: u64,
    asked_at: Micros,
    /// Calls that wait, and the highest level among them.
    need: (u32, u16),
    /// The most that was used of late, in two spans.
    peaks: [(Micros, u32); 2],
    moved: (ChangeCause, Micros),
    random: ChaCha8Rng,
    out: Vec<(MemberName, Message)>,
}

impl SharedQuota {
    /// The side of a process that starts now.
    pub fn new(now: Micros, config: Config, seed: u64) -> Result<SharedQuota, Vec<String>> {
        let mistakes = config.validate();
        if !mistakes.is_empty() {
            return Err(mistakes);
        }
        Ok(SharedQuota {
            part: 0,
            grow_at: Some(now + config.quarantine()),
            started: false,
            silenced: false,
            ledger: Ledger::default(),
            present: Vec::new(),
            asks: BTreeMap::new(),
            denied: BTreeMap::new(),
            heard: BTreeMap::new(),
            next: 0,
            asked_at: 0,
            need: (0, 0),
            peaks: [(now, 0); 2],
            moved: (ChangeCause::Started, now),
            random: ChaCha8Rng::seed_from_u64(seed),
            out: Vec::new(),
            config,
        })
    }

    /// Other settings. A smaller part holds at once, a larger one by [`Allowance::present`].
    pub fn reconfigure(&mut self, now: Micros, config: Config) -> Result<(), Vec<String>> {
        let mistakes = config.validate();
        if !mistakes.is_empty() {
            return Err(mistakes);
        }
        if config == self.config {
            return Ok(());
        }
        // What runs by the longer of the old and the new times has run out after the longer quiet.
        let quiet = config.quarantine().max(self.config.quarantine());
        self.config = config;
        if self.config.own_share() < self.part {
            self.part = self.config.own_share();
            self.moved = (ChangeCause::Part, now);
        }
        self.grow_at =
            (self.started && self.config.own_share() > self.part).then_some(now + quiet).or(self.grow_at);
        Ok(())
    }

    /// Who can be asked now, and whether all who have a part go by the same: `differ`, that one who is there does
    /// not; `all`, that everyone is there and does.
    pub fn set_reachable(&mut self, now: Micros, present: Vec<(MemberName, u64)>, differ: bool, all: bool) {
        self.present = present;
        // A part that grows takes from others: not before all have shrunk theirs. At the start nobody has to have
        // heard of this process for its part to be its own.
        let hindered = if self.started { !all } else { differ };
        if hindered && self.grow_at.is_some() {
            let quiet = now + self.config.quarantine();
            if self.started {
                self.grow_at = Some(quiet);
            } else {
                self.grow_at = self.grow_at.map(|at| at.max(now + 1));
            }
        }
    }

    /// Another process has this server's name, or no longer has. What is in use runs out; nothing new begins.
    pub fn set_fenced(&mut self, now: Micros, silenced: bool) {
        if self.silenced && !silenced {
            // As after a start: the other one may still use what it had.
            (self.part, self.started, self.grow_at) = (0, false, Some(now + self.config.quarantine()));
        }
        if silenced && !self.silenced {
            self.moved = (ChangeCause::Silenced, now);
        }
        self.silenced = silenced;
    }

    /// Calls that wait for a place, and the highest level among them.
    pub fn set_demand(&mut self, waiting: u32, level: u16) {
        self.need = (waiting, level);
    }

    /// What is due by now.
    pub fn handle_timeout(&mut self, now: Micros) {
        let before = (self.ledger.lent(), self.ledger.borrowed());
        self.ledger.expire(now);
        if self.ledger.lent() < before.0 {
            self.moved = (ChangeCause::LoanBack, now);
        }
        if self.ledger.borrowed() < before.1 {
            self.moved = (ChangeCause::LoanOver, now);
        }
        if self.grow_at.is_some_and(|at| now >= at) {
            self.grow_at = None;
            self.moved = (if self.started { ChangeCause::Part } else { ChangeCause::Settled }, now);
            (self.part, self.started) = (self.config.own_share(), true);
        }
        let used = self.ledger.used_of(None);
        if now >= self.peaks[0].0 + PEAK {
            self.peaks = [(now, used), self.peaks[0]];
        }
        self.peaks[0].1 = self.peaks[0].1.max(used);
        self.asks.retain(|_, asked| now < asked.at + self.config.lease);
        self.denied.retain(|_, until| now < *until);
        self.ask(now);
        self.give_back(now);
    }

    /// When something is due next.
    pub fn next_timeout(&self, now: Micros) -> Micros {
        let ledger = &self.ledger;
        let calls = ledger.calls.values().map(|call| call.until);
        let loans = ledger.lent.values().map(|l| l.until).chain(ledger.borrowed.values().map(|l| l.until));
        let asks = (self.need.0 > 0).then_some(now + ASK_EVERY);
        calls.chain(loans).chain(self.grow_at).chain(asks).min().unwrap_or(Micros::MAX)
    }

    /// Calls that may begin now. A place of a loan that is nearly over serves none.
    pub fn available(&self, now: Micros) -> u32 {
        if self.silenced {
            return 0;
        }
        let own = self.part.saturating_sub(self.ledger.lent() + self.ledger.used_of(None));
        let lasts = |until: Micros| until >= now + self.config.max_delivery + LEAST;
        let loans = self.ledger.borrowed.iter().filter(|(_, loan)| lasts(loan.until));
        own + loans
            .map(|(key, loan)| loan.permits.saturating_sub(self.ledger.used_of(Some(key))))
            .sum::<u32>()
    }

    /// A place for a call that would like to state a time up to `until`: the time that it may state, if there is one.
    /// Our own part first, as it does not run out; a loan where that gives the call more time, or nothing else is
    /// there.
    pub fn acquire(&mut self, now: Micros, call: CallId, until: Micros) -> Option<Micros> {
        self.ledger.expire(now);
        if self.silenced || self.ledger.calls.contains_key(&call) {
            return None;
        }
        let until = until.min(now + self.config.max_call);
        let own = self.part > self.ledger.lent() + self.ledger.used_of(None);
        let loan = self
            .ledger
            .longest_free()
            .map(|(key, ends)| (key, ends.saturating_sub(self.config.max_delivery)));
        let (until, loan) = match loan {
            // A loan that lasts for all of it leaves our own place to calls that it would not last for.
            Some((key, ends)) if ends >= until => (until, Some(key)),
            _ if own => (until, None),
            Some((key, ends)) if ends >= now + LEAST => (ends, Some(key)),
            _ => return None,
        };
        if let Some(found) = loan.as_ref().and_then(|key| self.ledger.borrowed.get_mut(key)) {
            found.last_used_at = now;
        }
        let used = CallPermit { until: until + self.config.max_delivery, lease: loan };
        self.ledger.calls.insert(call, used);
        Some(until)
    }

    /// A call has ended, and the dependency has said so. One that was given up is not told: it may go on there until
    /// its time has run out.
    pub fn release(&mut self, call: CallId) {
        self.ledger.calls.remove(&call);
    }

    /// Asks for places while calls wait and none are free.
    fn ask(&mut self, now: Micros) {
        let (waiting, level) = self.need;
        let soon = self.config.lease / 4;
        let ending = |(key, loan): (&LeaseId, &Borrowed)| {
            loan.until < now + soon && self.ledger.used_of(Some(key)) > 0
        };
        let going = self.ledger.borrowed.iter().any(ending);
        if self.silenced
            || now < self.asked_at + ASK_EVERY
            || !((waiting > 0 && self.available(now) == 0) || going)
        {
            return;
        }
        let mut to: Vec<MemberName> = self.present.iter().map(|(name, _)| name.clone()).collect();
        to.retain(|name| !self.denied.contains_key(name) && !self.asks.keys().any(|(n, _)| n == name));
        to.shuffle(&mut self.random);
        to.truncate(AT_ONCE.min(ASKS.saturating_sub(self.asks.len())));
        if to.is_empty() {
            return;
        }
        self.asked_at = now;
        let each = waiting.max(1).div_ceil(to.len() as u32).min(self.config.total);
        for name in to {
            self.next += 1;
            self.asks.insert((name.clone(), self.next), Asked { at: now });
            self.out.push((name, Message::Ask(self.next, each, level)));
        }
    }

    /// Loans that serve nothing while nothing waits go back early.
    fn give_back(&mut self, now: Micros) {
        if self.need.0 > 0 {
            return;
        }
        let unused = |(key, loan): (&LeaseId, &Borrowed)| {
            let idle =
                now >= loan.last_used_at + self.config.lease / 4 && self.ledger.used_of(Some(key)) == 0;
            idle.then(|| key.clone())
        };
        let unused: Vec<LeaseId> = self.ledger.borrowed.iter().filter_map(unused).collect();
        for key in unused {
            self.ledger.borrowed.remove(&key);
            self.out.push((key.0, Message::Return(key.2)));
        }
    }

    /// A message of a member has come; `boot` is the start of its process.
    pub fn handle_message(&mut self, now: Micros, from: &MemberName, boot: u64, message: &Message) {
        self.ledger.expire(now);
        match *message {
            Message::Ask(number, places, level) => self.asked(now, from, (boot, number), places, level),
            Message::Grant(number, loan, places, span) => {
                let Some(asked) = self.asks.remove(&(from.clone(), number)) else { return };
                // From before it was asked, and by a clock that may run slow.
                let until = asked.at + self.config.scale_down_for_drift(span.min(self.config.lease));
                if now < until && self.ledger.borrowed.len() < LOANS && !self.silenced {
                    let lent = Borrowed { permits: places, until, last_used_at: now };
                    self.ledger.borrowed.insert((from.clone(), boot, loan), lent);
                    self.moved = (ChangeCause::Borrowed, now);
                }
            }
            Message::Deny(number) => {
                if self.asks.remove(&(from.clone(), number)).is_some() {
                    self.denied.insert(from.clone(), now + DENIED_FOR);
                }
            }
            Message::Return(loan) => {
                // It stopped using it before it said so.
                if self.ledger.lent.get(&loan).is_some_and(|lent| lent.borrower == *from && lent.boot == boot)
                {
                    self.ledger.lent.remove(&loan);
                    self.moved = (ChangeCause::LoanBack, now);
                }
            }
        }
    }

    /// What can be spared: nothing while our own calls wait, unless theirs are of a higher level.
    fn spare(&self, level: u16) -> u32 {
        if self.silenced || (self.need.0 > 0 && self.need.1 >= level) {
            return 0;
        }
        let peak = self.peaks[0].1.max(self.peaks[1].1).max(self.ledger.used_of(None));
        let keep = peak + (self.part / KEEP).max(1);
        self.part.saturating_sub(self.ledger.lent() + keep)
    }

    fn asked(&mut self, now: Micros, from: &MemberName, asked: (u64, u64), places: u32, level: u16) {
        // A question that comes twice gets one answer: a second loan would be wasted.
        if self.heard.get(from).is_some_and(|last| *last >= asked) {
            return;
        }
        self.heard.insert(from.clone(), asked);
        self.heard.retain(|name, _| self.config.roster.contains(name));
        let (boot, number) = asked;
        let spare = self.spare(level);
        // Half of it, so that the next in need finds something too.
        let places = places.min(spare.div_ceil(2));
        if places == 0 || self.ledger.lent.len() >= LOANS {
            return self.out.push((from.clone(), Message::Deny(number)));
        }
        self.next += 1;
        let until = now + self.config.scale_up_for_drift(self.config.lease);
        self.ledger.lent.insert(self.next, Loan { borrower: from.clone(), boot, permits: places, until });
        self.moved = (ChangeCause::Lent, now);
        self.out.push((from.clone(), Message::Grant(number, self.next, places, self.config.lease)));
    }

    /// Messages for other servers.
    pub fn take_messages(&mut self) -> Vec<(MemberName, Message)> {
        std::mem::take(&mut self.out)
    }

    /// How it stands and why.
    pub fn status(&self, now: Micros) -> QuotaStatus {
        QuotaStatus {
            whole: self.config.total,
            part: self.part,
            wanted: self.config.own_share(),
            lent: self.ledger.lent(),
            borrowed: self.ledger.borrowed(),
            used: self.ledger.calls.len() as u32,
            waiting: self.need.0,
            moved: (self.moved.0, now.saturating_sub(self.moved.1) / 1_000),
            quiet_ms: self.grow_at.map_or(0, |at| at.saturating_sub(now) / 1_000),
        }
    }

    /// What must hold between any two calls; tests call it after each.
    pub fn check_invariants(&self, now: Micros) -> Result<(), String> {
        let ledger = &self.ledger;
        let (own, lent) = (ledger.used_of(None), ledger.lent());
        let most = self.config.own_share().max(self.part);
        // A part that has just shrunk may still be in use beyond it, but nothing begins then.
        if self.part > most || (own + lent > self.part && self.available(now) > ledger.borrowed()) {
            return Err(format!("{own} used and {lent} lent of a part of {}", self.part));
        }
        for (key, loan) in &ledger.borrowed {
            let over = ledger.calls.values().any(|c| c.lease.as_ref() == Some(key) && c.until > loan.until);
            if over || ledger.used_of(Some(key)) > loan.permits {
                return Err(format!("the loan {key:?} serves more than it may"));
            }
        }
        if ledger.lent.len() > LOANS || ledger.borrowed.len() > LOANS || self.asks.len() > ASKS {
            return Err("more loans or questions than there may be".to_owned());
        }
        Ok(())
    }
}

//! All decisions of a server; the types, events and actions are in `src/interface.rs`.
//!
//! The ordinary path is the SWDS mechanism: one hold in arrival order, a search of at most
//! [`LOOK_AHEAD`] places for the oldest request of the highest level whenever a run slot is free, and
//! a limit on running requests that climbs towards more completions. All else here is a guard.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::interface::{
    Action, Arrival, Class, Downstream, Event, Gauges, Idempotency, InvalidSettings, LoadHintKind, Micros,
    Outcome, Preemption, RequestId, Settings,
};

/// Places of the hold that one search looks at.
const LOOK_AHEAD: usize = 32;
/// Under this reading of the cpu gauge free cores are to be filled (the design's figure).
const BUSY: f64 = 0.8;
/// Time between readings: the cpu gauge looks back so far, sooner it would not show the last starts yet.
const READ_EVERY: Micros = 500_000;
/// Time after which something that failed, or may fail, is tried again.
const PROBE_EVERY: Micros = 100_000;
/// Between steps no more than a sweep passes: after so much more the process stood still.
const STANDSTILL: Micros = 1_000_000;
/// Share of the survivable crowd, memory or calls that is made use of.
const SAFE_SHARE: f64 = 0.85;
/// Share of the expected run that is taken as the least: after a call, elsewhere, and for the smallest hints.
const START_AT: f64 = 0.5;
/// Share of its spare time that a new arrival may be expected to wait here rather than elsewhere.
const PATIENCE: f64 = 0.25;
/// Weight of the newest sample in running means.
const NEWEST: f64 = 0.1;
/// A server whose share of failed runs is above the first is sick until it is under the second.
const SICK: (f64, f64) = (0.35, 0.15);
/// Tries of one call, and failures in a row after which calls are only probed.
const CALL_TRIES: u32 = 3;

/// Time over which a tenant's rate is forgotten, in microseconds.
const RATE_OVER: f64 = 10e6;
const QUOTA_SLACK: f64 = 1.25;
/// Shares of further tries and of new connections above which refusals ask not to try elsewhere.
const JAM: f64 = 0.25;
const STRANGE: f64 = 0.5;
/// Share of arrivals from callers that come again within the idle time above which their connections stay.
const RETURNING: f64 = 0.75;
/// Calls are slow when they typically take so many times their best, which is forgotten at this rate.
const SLOW_CALLS: f64 = 3.0;
/// Part of what the dependency survives with which it isn't crowded: fewer in hand make no call quicker.
const UNCROWDED: f64 = 0.25;
const FORGET_BEST: f64 = 1.001;
/// What is left of old evidence about health after half a second without new.
const FADE: f64 = 0.8;
/// Votes that a usual wait can gather, and how alike waits of one habit are.
const WAIT_VOTES: u32 = 32;
const SAME_WAIT: f64 = 0.02;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum Stage {
    #[default]
    Held,
    Running,
    /// Waits for the answer of the request that it repeats.
    Joined,
    /// Needs a call, not before the stated time.
    AtCall(Micros),
    Calling,
}

#[derive(Default)]
struct Request {
    id: RequestId,
    class: usize,
    tenant: usize,
    /// Worth of its class, read from its rank.
    worth: f64,
    held_kb: f64,
    hint: Option<f64>,
    stage: Stage,
    /// Answered, or nobody waits: only its work is still here.
    over: bool,
    /// When it reached the machine.
    reached: Micros,
    /// Its answer must be out by then.
    due: Micros,
    /// After this an answer is worth little or nothing.
    need: Micros,
    late: bool,
    /// Looked at since it arrived.
    known: bool,
    started: Micros,
    call_tries: u32,
    /// A call of it may have taken effect.
    call_spent: bool,
}

/// The climbing limit on running requests.
struct Limit {
    slots: usize,
    step: isize,
    done: u32,
    before: f64,
}

/// Times of runs against hinted work: a straight line through moving means. Rough hints flatten it by
/// themselves, and waits that don't grow with the work stay out of its slope.
#[derive(Default)]
struct Line {
    hint: Option<f64>,
    took: f64,
    spread: f64,
    joint: f64,
}

impl Line {
    fn add(&mut self, hint: f64, took: f64) {
        let mean = self.hint.unwrap_or(hint);
        let mean_took = if self.hint.is_none() { took } else { self.took };
        let (off, off_took) = (hint - mean, took - mean_took);
        self.hint = Some(mean + NEWEST * off);
        self.took = mean_took + NEWEST * off_took;
        self.spread = (1.0 - NEWEST) * (self.spread + NEWEST * off * off);
        self.joint = (1.0 - NEWEST) * (self.joint + NEWEST * off * off_took);
    }

    fn at(&self, hint: f64) -> Option<f64> {
        let slope = if self.spread > 0.0 { (self.joint / self.spread).max(0.0) } else { 0.0 };
        let least = self.took * START_AT;
        self.hint.map(|mean| (self.took + slope * (hint - mean)).max(least))
    }
}

/// What is known of the calls below.
#[derive(Default)]
struct Calls {
    typical: Option<f64>,
    /// The shortest that calls typically took, slowly forgotten.
    best: f64,
    /// Calls in hand at once: fewer while they take much longer than at best.
    bound: f64,
    /// One was answered since the last reading; one was not made as there was no time for the typical one.
    heard: bool,
    spurned: bool,
    failures: u32,
    probe_at: Micros,
    /// Until then a share of less than one call is kept call by call: the server started, or one failed, a
    /// short while ago.
    eased_until: Micros,
    /// Ends of calls given up that the dependency may still hold.
    lingering: Vec<Micros>,
    /// Mean number in hand, and when it was last brought up to date.
    mean: f64,
    seen: Micros,
}

/// What is known of this server's own state.
#[derive(Default)]
struct Health {
    /// Mean time that arrivals waited to be read, and the share of them that are further tries.
    unread: f64,
    again: f64,
    /// Share of arrivals from callers that have not been here within the time that connections stay.
    strangers: f64,
    /// Share of arrivals from callers that have been here within the longest time that connections may stay.
    returns: f64,
    errors: f64,
    /// Mean age of a request that comes again once it was turned away and stayed away as told.
    turned: f64,
    sick: bool,
    /// Whether checks are told that it is unwell, once they are told anything.
    told: Option<bool>,
    /// Something arrived since the last reading.
    heard: bool,
    probe_at: Micros,
}

/// The decisions of one server.
pub struct AdmissionController {
    set: Settings,
    born: Micros,
    next: u64,
    all: BTreeMap<u64, Request>,
    names: BTreeMap<RequestId, u64>,
    /// Held requests in arrival order.
    hold: Vec<u64>,
    /// Kept keys and when they run out.
    keys: BTreeMap<RequestId, Micros>,
    worths: Vec<f64>,
    limit: Limit,
    /// Mean of what wants a core.
    crowding: f64,
    calls: Calls,
    /// Mean time of a run by class, and how times follow hints over all classes.
    pace: Vec<Option<f64>>,
    line: Line,
    health: Health,
    /// Starts a second by tenant, and when last brought up to date.
    rates: Vec<(f64, Micros)>,
    /// The middle one of what tenants have had of their parts.
    typical_use: f64,
    /// Callers, and when each was here last.
    callers: BTreeMap<u64, Micros>,
    /// The usual waits of tries over all callers: at full size most callers are met rarely.
    waits: [Wait; 6],
    /// Notice to leave, and when all must be answered: well before the process is stopped.
    leave: Option<(Micros, Micros)>,
    read_at: Micros,
    /// The last step, and the end of the last standstill.
    stepped: Micros,
    stood: Micros,
    awake: bool,
    /// Connections idle for longer are closed.
    idle: Micros,
}

fn blend(mean: Option<f64>, sample: f64) -> f64 {
    mean.map_or(sample, |m| m + NEWEST * (sample - m))
}

/// A usual wait of tries as a share of the deadline, and the votes for it.
type Wait = (f64, u32);

fn like(share: f64, usual: f64) -> bool {
    share < usual + SAME_WAIT / 4.0 && share > usual - SAME_WAIT
}

fn sure(waits: &[Wait]) -> impl Iterator<Item = f64> + '_ {
    waits.iter().filter(|(_, votes)| *votes >= WAIT_VOTES / 8).map(|(usual, _)| *usual)
}

/// Votes for a usual wait, or against the weakest.
fn note_wait(waits: &mut [Wait], share: f64, first: bool) {
    // The rest after a first attempt that timed out is no habit, however often it comes.
    let rest = sure(waits).any(|usual| like(share, 1.0 - usual));
    if let Some((usual, votes)) = waits.iter_mut().find(|(usual, _)| like(share, *usual)) {
        (*usual, *votes) = (usual.max(share), (*votes + 1).min(WAIT_VOTES));
    } else if let Some(weak) = waits.iter_mut().min_by_key(|(_, votes)| *votes).filter(|_| first && !rest) {
        *weak = if weak.1 == 0 { (share, 1) } else { (weak.0, weak.1 - 1) };
    }
}

/// The share of its deadline that has passed for a try at least. Callers have a usual wait for a single
/// attempt and one for a client's whole try, the longest, less what has passed of it. What is longer
/// than all is the rest of the deadline, left to a client's last try.
fn passed(waits: &[Wait], share: f64) -> f64 {
    let longest = sure(waits).fold(share, f64::max);
    // Only well after the first habit is known can a second no longer be mistaken for such a rest.
    let known = waits.iter().any(|(_, votes)| *votes >= WAIT_VOTES / 2);
    let whole = sure(waits).find(|usual| like(share, *usual));
    let whole = whole.unwrap_or(if share < longest || !known { longest } else { 1.0 });
    (whole - share).max(0.0)
}

impl AdmissionController {
    /// A server that has just started.
    pub fn new(now: Micros, set: Settings) -> Result<AdmissionController, InvalidSettings> {
        set.check()?;
        let mut worths: Vec<f64> = set.classes.iter().map(|c| c.priority_weight).collect();
        worths.sort_by(f64::total_cmp);
        let limit = Limit { slots: set.cores as usize, step: -1, done: 0, before: 0.0 };
        let server = AdmissionController {
            born: now,
            next: 0,
            all: BTreeMap::new(),
            names: BTreeMap::new(),
            hold: Vec::new(),
            keys: BTreeMap::new(),
            worths,
            limit,
            crowding: 0.0,
            calls: Calls {
                seen: now,
                bound: set.call_quota * SAFE_SHARE,
                eased_until: now + set.call_window,
                ..Calls::default()
            },
            pace: vec![None; set.classes.len()],
            line: Line::default(),
            health: Health::default(),
            rates: vec![(0.0, now); set.tenants.len()],
            typical_use: 0.0,
            callers: BTreeMap::new(),
            waits: Default::default(),
            leave: None,
            read_at: now + READ_EVERY,
            stepped: now,
            stood: now,
            awake: false,
            idle: set.idle_timeout_max,
            set,
        };
        let probe_at = server.next_probe(now);
        Ok(AdmissionController { calls: Calls { probe_at, ..server.calls }, ..server })
    }

    /// Takes in what happened and adds what is to be done about it.
    pub fn step(&mut self, now: Micros, events: impl IntoIterator<Item = Event>, out: &mut Vec<Action>) {
        if now > self.stepped + STANDSTILL {
            self.stood = now;
        }
        self.stepped = now;
        self.count_calls(now);
        events.into_iter().for_each(|event| self.take(now, event, out));
        self.tell_health(out);
        self.answer_due(now, out);
        self.shed(now, out);
        self.make_room(now, out);
        self.serve_calls(now, out);
        self.start(now, out);
        if !self.awake {
            self.awake = true;
            out.push(Action::WakeAfter(self.sweep()));
        }
    }

    /// Time between sweeps: answers must be out within the slack after their due time.
    fn sweep(&self) -> Micros {
        (self.set.answer_slack / 3).clamp(self.set.tick.max(1_000), PROBE_EVERY)
    }

    fn take(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.arrive(now, arrival, out),
            Event::RunEnded(id, outcome, took) => self.ended(now, &id, outcome, took),
            Event::NeedsCall(id) => self.set_stage(&id, Stage::Running, Stage::AtCall(now)),
            Event::CallEnded(id, outcome, took) => self.called(now, &id, outcome, took),
            Event::Cancelled(id) => {
                self.names.get(&id).copied().into_iter().for_each(|seq| self.let_go(seq, out))
            }
            Event::Drain { time_left: left, notified_ago: ago } => {
                let end = now + left.saturating_sub(self.set.answer_slack.max(3 * self.sweep()));
                self.leave = Some((now.saturating_sub(ago), end));
                self.all.values_mut().for_each(|r| r.due = r.due.min(end));
            }
            Event::Timer(gauges) => {
                self.awake = false;
                self.read(now, gauges, out);
            }
        }
    }

    fn arrive(&mut self, now: Micros, a: Arrival, out: &mut Vec<Action>) {
        let Some(class) = self.set.classes.get(a.class).cloned() else {
            out.push(Action::Fail(a.id));
            return;
        };
        let reached = now.saturating_sub(a.read_delay);
        let mut due = a.caller_timeout.map_or((reached + class.deadline).max(now), |w| now + w);
        due = due.min(self.leave.map_or(due, |(_, end)| end));
        self.meet(now, a.caller);
        let age = self.age(&a, &class, reached, now);
        let again = a.is_retry || age as f64 > SAME_WAIT * class.deadline as f64;
        self.health.again = blend(Some(self.health.again), f64::from(u8::from(again)));
        let stretch = class.objective_per_cost * a.cost.unwrap_or(0) as f64;
        let aim = (class.latency_objective + stretch as Micros).min(class.deadline);
        let need = due.min((reached + aim).saturating_sub(age));
        // What came while the process stood still waited for that, not for this server to read.
        if reached >= self.stood {
            self.health.unread = blend(Some(self.health.unread), a.read_delay as f64);
        }
        self.health.heard = true;
        let seq = self.next;
        self.next += 1;
        let place = (a.rank.clamp(0.0, 1.0) * self.worths.len() as f64) as usize;
        let request = Request {
            id: a.id.clone(),
            class: a.class,
            tenant: a.tenant,
            worth: self.worths[place.min(self.worths.len() - 1)],
            held_kb: a.queued_kb,
            hint: a.cost.map(|c| c as f64),
            reached,
            due,
            need,
            ..Request::default()
        };
        self.names.insert(a.id.clone(), seq);
        self.all.insert(seq, request);
        self.hold.push(seq);
        // Drain: what reached the machine after the grace is never run, so it goes elsewhere at once.
        if self.leave.is_some_and(|(notice, _)| reached > notice + self.set.drain_grace) {
            self.give_up(now, seq, out);
        } else if a.duplicate_of.is_some() && class.idempotency != Idempotency::NotIdempotent {
            // Once a try is known here no other may run: this one takes the other's answer.
            self.hold.pop();
            self.set_stage(&a.id, Stage::Held, Stage::Joined);
            out.push(Action::AwaitDuplicate(a.id));
        } else if class.idempotency == Idempotency::WithKey {
            self.keys.insert(a.id.clone(), now + class.idempotency_window);
            out.push(Action::RetainKey(a.id, class.idempotency_window));
        }
    }

    /// How old a try is at least, by its stated wait. Behind the first tier waits tell nothing: each is
    /// what its caller's own request has left.
    fn age(&mut self, a: &Arrival, class: &Class, reached: Micros, now: Micros) -> Micros {
        let Some(waits) = a.caller_timeout.filter(|_| self.set.tier == 0) else {
            // No wait is told: a further try was turned away somewhere, as this server turns away.
            return if a.is_retry && a.caller_timeout.is_none() { self.health.turned as Micros } else { 0 };
        };
        // Nobody waits for longer than a client does; who says so must not become a habit.
        let share = ((now + waits - reached) as f64 / class.deadline as f64).min(1.0);
        if reached >= self.stood {
            note_wait(&mut self.waits, share, !a.is_retry);
        }
        (passed(&self.waits, share) * class.deadline as f64) as Micros
    }

    /// Notes when a caller was here last, and whether it needed a new connection.
    fn meet(&mut self, now: Micros, caller: u64) {
        let seen = self.callers.insert(caller, now);
        let here = seen.is_some_and(|seen| seen + self.idle >= now);
        let returns = seen.is_some_and(|seen| seen + self.set.idle_timeout_max >= now);
        self.health.returns = blend(Some(self.health.returns), f64::from(u8::from(returns)));
        let strange = self.set.connection_cost > 0.0 && !here;
        self.health.strangers = blend(Some(self.health.strangers), f64::from(u8::from(strange)));
    }

    /// Keeps the rate at which a tenant's requests are started, forgetting over some seconds.
    fn count_tenant(&mut self, now: Micros, tenant: usize) {
        if let Some((rate, seen)) = self.rates.get_mut(tenant) {
            *rate = *rate * (-((now - *seen) as f64) / RATE_OVER).exp() + 1e6 / RATE_OVER;
            *seen = now;
        }
    }

    /// What a tenant has had here, as a multiple of this server's part of its quota.
    fn quota_used(&self, now: Micros, tenant: usize) -> Option<f64> {
        let (quota, (rate, seen)) = (self.set.tenants.get(tenant)?.quota_per_s, self.rates.get(tenant)?);
        let rate = rate * (-((now - seen) as f64) / RATE_OVER).exp();
        Some(rate * f64::from(self.set.servers) / quota.max(1e-9))
    }

    /// Whether its tenant has already had its part. Parts are uneven: some slack, and where most
    /// tenants have had more than theirs this server draws more than its part of all traffic.
    fn over_quota(&self, now: Micros, r: &Request) -> bool {
        self.quota_used(now, r.tenant).is_some_and(|used| used > QUOTA_SLACK * self.typical_use.max(1.0))
    }

    /// The level of a request: how many class worths its own value reaches. Over quota or late it
    /// is downgraded to a lower level.
    fn level(&self, now: Micros, r: &Request) -> usize {
        let late = if r.late { self.set.classes[r.class].late_weight_share } else { 1.0 };
        let over = if self.over_quota(now, r) { self.set.over_quota_weight_share } else { 1.0 };
        let value = r.worth * late * over * 1.000_001;
        self.worths.iter().filter(|&&w| w <= value).count()
    }

    fn at(&mut self, id: &RequestId, stage: Stage) -> Option<&mut Request> {
        self.names.get(id).and_then(|seq| self.all.get_mut(seq)).filter(|r| r.stage == stage)
    }

    fn set_stage(&mut self, id: &RequestId, from: Stage, to: Stage) {
        self.at(id, from).into_iter().for_each(|r| r.stage = to);
    }

    fn remove(&mut self, seq: u64) {
        if let Some(r) = self.all.remove(&seq) {
            self.names.remove(&r.id);
            self.hold.retain(|&s| s != seq);
        }
    }

    fn ended(&mut self, now: Micros, id: &RequestId, outcome: Outcome, took: Micros) {
        let Some(&seq) = self.names.get(id) else { return };
        let Some(r) = self.all.get(&seq) else { return };
        if r.stage != Stage::Joined && matches!(outcome, Outcome::Ok | Outcome::Error) {
            self.limit.done += 1;
            let (class, hint) = (r.class, r.hint);
            if outcome == Outcome::Ok {
                self.learn(class, hint, took as f64);
            }
            self.judge(now, outcome == Outcome::Error);
        }
        self.remove(seq);
    }

    fn learn(&mut self, class: usize, hint: Option<f64>, took: f64) {
        self.pace[class] = Some(blend(self.pace[class], took));
        if let Some(hint) = hint {
            self.line.add(hint, took);
        }
    }

    /// Expected time of a run. While nothing is known a fresh server may be slow: a share of the aim.
    fn expected(&self, r: &Request) -> f64 {
        let mean =
            self.pace[r.class].unwrap_or(self.set.classes[r.class].latency_objective as f64 * PATIENCE);
        r.hint.and_then(|hint| self.line.at(hint)).unwrap_or(mean)
    }

    fn count(&self, which: impl Fn(&Request) -> bool) -> usize {
        self.all.values().filter(|r| which(r)).count()
    }

    fn running(&self) -> usize {
        self.count(|r| r.stage == Stage::Running)
    }

    fn at_calls(&self) -> usize {
        self.count(|r| matches!(r.stage, Stage::AtCall(_) | Stage::Calling))
    }

    /// Running requests that this server survives, fewer while it is cold.
    fn crowd(&self, now: Micros) -> f64 {
        let warmed = (now - self.born) as f64 / self.set.warm_up_time.max(1) as f64;
        let warmed = if self.set.starts_cold { warmed.min(1.0) } else { 1.0 };
        let speed = self.set.warm_up_initial_speed + (1.0 - self.set.warm_up_initial_speed) * warmed;
        f64::from(self.set.cores) * (1.0 + (self.set.overload_per_core - 1.0) * speed)
    }

    fn memory(&self) -> f64 {
        let one = |r: &Request| match r.stage {
            Stage::Held | Stage::Joined => r.held_kb,
            _ => r.held_kb * self.set.run_memory_factor,
        };
        self.all.values().map(one).sum::<f64>() + self.keys.len() as f64 * self.set.key_kb
    }

    fn read(&mut self, now: Micros, gauges: Gauges, out: &mut Vec<Action>) {
        self.crowding = blend(Some(self.crowding), gauges.on_cores.unwrap_or(self.crowding));
        if now < self.read_at {
            return;
        }
        self.read_at = now + READ_EVERY;
        self.keys.retain(|_, end| *end > now);
        self.callers.retain(|_, seen| *seen + self.set.idle_timeout_max > now);
        // Without new evidence the old fades: nothing stays marked bad for good.
        if !std::mem::take(&mut self.health.heard) {
            self.health.errors *= FADE;
            self.health.sick &= self.health.errors > SICK.1;
            self.health.unread *= FADE;
        }
        // Calls that take too long are not made, and those that are not made are never quick again.
        let heard = std::mem::take(&mut self.calls.heard);
        let stuck = std::mem::take(&mut self.calls.spurned) && !heard;
        if let Some(typical) = self.calls.typical.filter(|_| stuck) {
            let faded = self.calls.best + FADE * (typical - self.calls.best);
            self.calls.typical = Some(faded).filter(|t| *t > self.calls.best * (1.0 + SAME_WAIT));
        }
        self.close_idle(gauges.connections.unwrap_or(0.0), out);
        let mut used: Vec<f64> = (0..self.rates.len()).filter_map(|t| self.quota_used(now, t)).collect();
        used.sort_by(f64::total_cmp);
        self.typical_use = used.get(used.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
        // A stop asked for while the cores stood still had no effect: ask again.
        if self.set.preemption != Preemption::Never {
            let stray = self.all.values().filter(|r| r.over && r.stage == Stage::Running);
            out.extend(stray.map(|r| Action::Preempt(r.id.clone())));
        }
        let (running, cores) = (self.running(), self.set.cores as usize);
        let most = ((self.crowd(now) * SAFE_SHARE) as usize).max(cores);
        // The gauge looks back: where more wants a core than there are, in the mean or now, none is free.
        let excess = self.crowding - f64::from(self.set.cores);
        let taken = excess > 0.0 || gauges.on_cores.is_some_and(|on| on > f64::from(self.set.cores));
        let limit = &mut self.limit;
        if gauges.cpu.unwrap_or(1.0) < BUSY && !taken {
            limit.slots = running + cores;
            limit.step = -1;
            limit.before = 0.0;
        } else {
            let done = f64::from(limit.done);
            // Counts differ by chance: less than their spread is flat.
            let noise = (limit.before + done).sqrt();
            if done < limit.before - noise {
                limit.step = -limit.step;
            }
            // Where more wants a core than there are, counts rise and fall with the other work too: only what
            // is well beyond chance shows that more or fewer runs get more done.
            let shown = if excess > 0.0 { 2.0 * noise } else { noise };
            if (done - limit.before).abs() > shown {
                limit.slots = limit.slots.saturating_add_signed(limit.step);
            } else if excess > 0.0 {
                // Flat, yet crowded: what the gauge rule put on top in a lull only gets in the way, and
                // counts are too few to show it. Back by a quarter of it.
                limit.slots = limit.slots.saturating_sub((excess / 4.0).max(1.0) as usize);
            }
            limit.before = done;
        }
        limit.done = 0;
        limit.slots = limit.slots.clamp(cores, most);
    }

    /// The oldest request of the highest level among the first places of the hold.
    fn pick(&self, now: Micros, may_start: impl Fn(&Request) -> bool) -> Option<u64> {
        let window = self.hold.iter().take(LOOK_AHEAD);
        let able = window.filter(|seq| may_start(&self.all[seq]));
        // Of equal levels `max_by_key` takes the last: searched from the far end, that is the oldest.
        able.rev().max_by_key(|seq| self.level(now, &self.all[seq])).copied()
    }

    fn start(&mut self, now: Micros, out: &mut Vec<Action>) {
        let crowd = (self.crowd(now) * SAFE_SHARE).max(1.0);
        loop {
            let (running, at_calls) = (self.running(), self.at_calls());
            // Calls may all come back at once, so those at calls count towards the survivable crowd.
            let full = running >= self.limit.slots || (running + at_calls) as f64 + 1.0 > crowd;
            if self.hold.is_empty() || full || (self.health.sick && !self.may_probe(now)) {
                return;
            }
            let room = self.set.memory_kb * SAFE_SHARE - self.memory();
            let grows = self.set.run_memory_factor - 1.0;
            // Those at calls have a bound of their own: beyond it only what makes no call starts.
            let calls_full = at_calls >= self.set.cores as usize * 4;
            let may_start = |r: &Request| {
                r.held_kb * grows <= room && !(calls_full && self.set.classes[r.class].calls_downstream)
            };
            let Some(seq) = self.pick(now, may_start) else { return };
            self.hold.retain(|&s| s != seq);
            if let Some(r) = self.all.get_mut(&seq) {
                r.stage = Stage::Running;
                r.started = now;
                let tenant = r.tenant;
                out.push(Action::Admit(r.id.clone()));
                self.count_tenant(now, tenant);
            }
        }
    }

    /// Ends what is due, or is worth nothing any more: what is given up is answered at once, never held
    /// to keep its client from asking again. Only an unsafe run goes on to its end: its answer tells
    /// whether the effect took place, and a failure would invite a second one.
    fn answer_due(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (sweep, classes) = (self.sweep(), &self.set.classes);
        let end = self.all.iter_mut().filter(|(_, r)| !r.over).filter_map(|(&seq, r)| {
            r.late |= classes[r.class].late_weight_share > 0.0 && now >= r.need;
            let unsafe_run =
                r.stage == Stage::Running && classes[r.class].idempotency == Idempotency::NotIdempotent;
            let goes_on = r.late || unsafe_run;
            (now + sweep > r.due || (now >= r.need && !goes_on)).then_some(seq)
        });
        for seq in end.collect::<Vec<_>>() {
            self.give_up(now, seq, out);
        }
    }

    /// The final answer of a request that is not served.
    fn give_up(&mut self, now: Micros, seq: u64, out: &mut Vec<Action>) {
        let unread = self.health.unread;
        // Elsewhere it is no better where so many are further tries, nor where each step costs a connection.
        let jam = self.health.again > JAM || self.health.strangers > STRANGE;
        let Some(r) = self.all.get(&seq) else { return };
        let (over, expected) = (self.over_quota(now, r), self.expected(r));
        let stay_away = self.stay_away(r.need as f64 - now as f64 - unread - expected);
        let id = r.id.clone();
        // A safe run may be turned away: the refusal names a time to come back; its work goes on.
        let safe_run =
            r.stage == Stage::Running && self.set.classes[r.class].idempotency == Idempotency::Idempotent;
        if r.stage == Stage::Held || safe_run {
            // Elsewhere it would wait to be read as here, then run: no use to walk on without the time.
            let terminal = jam || now as f64 + unread + expected * START_AT > r.need as f64;
            // Advice would keep the caller's other tenants away as well, and beyond the quota no other
            // server is to take it either.
            let (stay_away, terminal) = if over { (0, true) } else { (stay_away, terminal) };
            let again = (now.saturating_sub(r.reached) + stay_away) as f64;
            self.health.turned = blend(Some(self.health.turned), again);
            out.push(Action::Reject { id, retry_after: stay_away, terminal });
        } else {
            out.push(Action::Fail(id));
        }
        // It took at least so long: a server grown slow must notice by what it never finishes.
        let (stage, class, hint, ran) = (r.stage, r.class, r.hint, (now - r.started) as f64);
        if r.started >= self.stood
            && !matches!(stage, Stage::Held | Stage::Joined)
            && ran > self.pace[class].unwrap_or(0.0)
        {
            self.learn(class, hint, ran);
        }
        self.let_go(seq, out);
    }

    /// Nobody waits for it any more: what has begun is stopped where that can be done.
    fn let_go(&mut self, seq: u64, out: &mut Vec<Action>) {
        let Some(r) = self.all.get_mut(&seq) else { return };
        if matches!(r.stage, Stage::Held | Stage::Joined) {
            if self.keys.remove(&r.id).is_some() {
                out.push(Action::ReleaseKey(r.id.clone()));
            }
            return self.remove(seq);
        }
        r.over = true;
        if r.stage == Stage::Running && self.set.preemption != Preemption::Never {
            out.push(Action::Preempt(r.id.clone()));
        }
    }

    /// Advice: about as long as the hold, or what stands unread before it, takes to empty, but a part of the
    /// time that the request can spare at most: who comes back as told must still be served in time. Never
    /// none where advice is passed on, so that every refusal names a time to come back.
    fn stay_away(&self, spare: f64) -> Micros {
        if self.health.sick || self.leave.is_some() {
            return self.set.retry_after_max;
        }
        let work: f64 = self.hold.iter().map(|s| self.expected(&self.all[s])).sum();
        let span = (work / self.limit.slots as f64).max(self.health.unread);
        let span = if spare > 0.0 { span.min(spare * PATIENCE) } else { span };
        (span as Micros).max(PROBE_EVERY).min(self.set.retry_after_max)
    }

    /// Refuses early what, in the order of the search, can't be done in time: the answer comes while
    /// another server may still do it, and no work is lost on it.
    fn shed(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.health.sick {
            for seq in self.hold.clone().into_iter().skip(1) {
                self.give_up(now, seq, out);
            }
            return;
        }
        let running = self.running();
        let free = self.limit.slots.saturating_sub(running);
        let slots = self.limit.slots as f64;
        let mut order: Vec<(usize, u64)> =
            self.hold.iter().map(|&s| (usize::MAX - self.level(now, &self.all[&s]), s)).collect();
        order.sort_unstable();
        let mut ahead = 0.0;
        for (place, (_, seq)) in order.into_iter().enumerate() {
            let r = &self.all[&seq];
            let run = self.expected(r);
            let until = if r.late { r.due } else { r.need };
            let wait = if place < free { 0.0 } else { (ahead + run) / slots };
            let left = until as f64 - now as f64;
            let patience = 2.0 * PATIENCE * self.level(now, r) as f64 / self.worths.len() as f64;
            // What can start now waits for nothing, however long it runs.
            let long = !r.known
                && place >= free
                && self.health.strangers <= STRANGE
                && wait > (left - run) * patience;
            if (wait + run > left || long) && (place > 0 || running > 0) {
                self.give_up(now, seq, out);
            } else if place >= free {
                ahead += run;
            }
        }
        self.all.values_mut().for_each(|r| r.known = true);
    }

    /// Memory: refuses the newest of the lowest level until what is held fits, then the newest of those
    /// that wait for another's answer. Work that runs had its room before it was started.
    fn make_room(&mut self, now: Micros, out: &mut Vec<Action>) {
        while self.memory() > self.set.memory_kb * (1.0 + SAFE_SHARE) / 2.0 {
            let low = self.hold.iter().rev().min_by_key(|s| self.level(now, &self.all[s])).copied();
            let joined = || self.all.iter().rev().find(|(_, r)| r.stage == Stage::Joined).map(|(&s, _)| s);
            let Some(seq) = low.or_else(joined) else { return };
            self.give_up(now, seq, out);
        }
    }

    /// Keeps the share of failed runs. A server that fails quickly draws work and spoils it: it turns
    /// away with advice, tells checks so, and lets single requests through until they do well.
    fn judge(&mut self, now: Micros, failed: bool) {
        self.health.errors += 0.2 * (f64::from(u8::from(failed)) - self.health.errors);
        let was = self.health.sick;
        self.health.sick = self.health.errors > if was { SICK.1 } else { SICK.0 };
        if was != self.health.sick {
            self.health.probe_at = now;
        }
    }

    /// An open connection takes a part of the cores and a place that another caller may need: beyond half
    /// the survivable crowd those idle longest are closed; under half of that they stay longer again.
    fn close_idle(&mut self, open: f64, out: &mut Vec<Action>) {
        // Where most callers come again before their connections would end, each place kept saves more.
        let kept = if self.health.returns > RETURNING { 2.0 } else { 0.5 };
        let useful = f64::from(self.set.cores) * self.set.overload_per_core * kept;
        let keep = open < useful / 2.0;
        // Behind the first tier callers are the servers before it: counted, and they come again and again.
        let sooner = if open > useful && self.set.tier == 0 { self.idle / 2 } else { self.idle };
        let span = (if keep { self.idle * 2 } else { sooner }).max(READ_EVERY).min(self.set.idle_timeout_max);
        if span != self.idle {
            self.idle = span;
            out.push(Action::CloseIdle(span));
        }
    }

    /// Says whether callers should come: not while sick or leaving. A long wait to be read is no reason: in
    /// a large fleet whose list follows readiness, servers that leave it at once swamp the rest.
    fn tell_health(&mut self, out: &mut Vec<Action>) {
        let unwell = self.health.sick || self.leave.is_some();
        // Until it is told something each check may do real work. That shows whether work gets done, but
        // where more wants a core than there are, callers that check often keep a server from all else.
        let first = self.health.told.is_none() && self.crowding > f64::from(self.set.cores);
        if self.health.told.unwrap_or(false) != unwell || first {
            self.health.told = Some(unwell);
            out.push(Action::SetReady(!unwell));
            // The free value says the same, for as long as callers keep it.
            let value = match self.set.load_hint {
                LoadHintKind::None => return,
                LoadHintKind::MinRank => f64::from(u8::from(unwell)),
                LoadHintKind::Weight => f64::from(u8::from(!unwell)),
                LoadHintKind::Tokens if unwell => 1.0,
                LoadHintKind::Tokens => f64::from(self.set.cores) * self.set.overload_per_core,
            };
            out.push(Action::SetLoadHint(value));
        }
    }

    fn may_probe(&mut self, now: Micros) -> bool {
        let may = now >= self.health.probe_at && self.running() < 2;
        self.health.probe_at = if may { now + PROBE_EVERY } else { self.health.probe_at };
        may
    }

    fn in_hand(&self) -> usize {
        self.count(|r| r.stage == Stage::Calling) + self.calls.lingering.len()
    }

    fn count_calls(&mut self, now: Micros) {
        let in_hand = self.in_hand() as f64;
        let span = self.set.call_window.max(1) as f64;
        let kept = (-((now - self.calls.seen) as f64) / span).exp();
        self.calls.mean = in_hand + (self.calls.mean - in_hand) * kept;
        self.calls.seen = now;
        self.calls.lingering.retain(|&end| end > now);
    }

    /// How long one more call may take within this server's share of what the dependency survives, 0: none.
    /// A share under 1 is kept in the mean, half of it as old calls still count, though calls hang.
    fn call_time(&self) -> Micros {
        let (share, in_hand) = (self.set.call_quota * SAFE_SHARE, self.in_hand() as f64);
        let spare = (if share < 1.0 { share / 2.0 } else { share }) - self.calls.mean;
        let room = spare > 0.0 && in_hand + 1.0 <= share.min(self.calls.bound).max(1.0);
        if self.set.downstream != Downstream::Shared || (room && share >= 1.0) {
            return Micros::MAX;
        }
        let time = if room { spare * self.set.call_window as f64 } else { 0.0 };
        (time as Micros).saturating_sub(self.set.abandoned_call_lifetime)
    }

    /// A crowded dependency does less the more it holds, long before it falls: when calls take much
    /// longer than at best this server has fewer in hand, and more again by and by once they are quick.
    fn ease_calls(&mut self, took: f64) {
        let most = (self.set.call_quota * SAFE_SHARE).max(1.0);
        let calls = &mut self.calls;
        calls.heard = true;
        let typical = blend(calls.typical, took);
        calls.best = if calls.typical.is_none() { typical } else { typical.min(calls.best * FORGET_BEST) };
        calls.typical = Some(typical);
        let step =
            if typical > calls.best * SLOW_CALLS { -NEWEST * calls.bound } else { NEWEST / calls.bound };
        calls.bound = (calls.bound + step).clamp((most * UNCROWDED).max(1.0), most);
    }

    fn called(&mut self, now: Micros, id: &RequestId, outcome: Outcome, took: Micros) {
        let Some(r) = self.at(id, Stage::Calling) else { return };
        if outcome == Outcome::Ok {
            r.stage = Stage::Running;
            r.call_tries = 0;
            self.calls.failures = 0;
            if now.saturating_sub(took) >= self.stood {
                self.ease_calls(took as f64);
            }
            return;
        }
        r.call_spent |= !outcome.never_ran();
        r.stage = Stage::AtCall(now + ((PROBE_EVERY / 4) << r.call_tries.min(4)));
        if outcome == Outcome::TimedOut {
            self.calls.lingering.push(now + self.set.abandoned_call_lifetime);
        }
        // What turns calls away is crowded, not down, and of several services one that failed is not all:
        // each is tried again by itself, the others go on.
        if !matches!(outcome, Outcome::Rejected | Outcome::Aborted) {
            self.calls.failures += 1;
            self.calls.eased_until = now + self.set.call_window;
        }
        self.calls.probe_at = self.next_probe(now);
    }

    /// When what lies below is tried again. All servers lose it at one moment, and none knows more of the
    /// others than its own share of what it survives: together they try it no oftener than that allows, each
    /// at times of its own.
    fn next_probe(&self, now: Micros) -> Micros {
        let share =
            if self.set.downstream == Downstream::Shared { self.set.call_quota * SAFE_SHARE } else { 1.0 };
        let least = if self.calls.failures >= CALL_TRIES { PROBE_EVERY } else { 0 };
        let lasts = self.calls.typical.map_or(PROBE_EVERY as f64, |typical| typical.max(least as f64));
        let every = (lasts / if share < 1.0 { share / 2.0 } else { 1.0 }).min(self.set.call_window as f64);
        let mut draw = DefaultHasher::new();
        (self.set.seed, self.next, now).hash(&mut draw);
        now + (every * (0.5 + draw.finish() as f64 / u64::MAX as f64)) as Micros
    }

    fn serve_calls(&mut self, now: Micros, out: &mut Vec<Action>) {
        let at_calls = self.all.iter().filter(|(_, r)| !r.over && matches!(r.stage, Stage::AtCall(_)));
        let at_calls: Vec<u64> = at_calls.map(|(&s, _)| s).collect();
        at_calls.into_iter().for_each(|seq| self.serve_call(now, seq, out));
    }

    fn serve_call(&mut self, now: Micros, seq: u64, out: &mut Vec<Action>) {
        let time = self.call_time();
        let down = self.calls.failures >= CALL_TRIES && now < self.calls.probe_at;
        // Servers that start or find it back together have nothing in the mean yet that would keep them
        // apart: where one call is more than the share, calls are as far apart as it asks until they have.
        let eased = self.set.call_quota * SAFE_SHARE < 1.0 && now < self.calls.eased_until;
        let early = eased && self.set.downstream == Downstream::Shared && now < self.calls.probe_at;
        let typical = self.calls.typical.unwrap_or(0.0) as Micros;
        let next_probe = self.next_probe(now);
        // After the call there is work to do yet.
        let rest = self.all.get(&seq).map_or(0.0, |r| self.expected(r) * START_AT) as Micros;
        let Some(r) = self.all.get_mut(&seq) else { return };
        let class = &self.set.classes[r.class];
        let until = if r.late { r.due } else { r.need };
        self.calls.spurned |= now + typical + rest >= until;
        let can_skip = class.degraded_weight_share > 0.0;
        let barred = r.call_spent && class.idempotency != Idempotency::Idempotent;
        let hopeless = barred || r.call_tries >= CALL_TRIES || now + typical >= until;
        if can_skip && (hopeless || down || now + typical + rest >= until) {
            r.stage = Stage::Running;
            out.push(Action::SkipCall(r.id.clone()));
        } else if hopeless {
            self.give_up(now, seq, out);
        } else if time > typical && !down && !early && matches!(r.stage, Stage::AtCall(from) if now >= from) {
            r.stage = Stage::Calling;
            r.call_tries += 1;
            if eased || self.calls.failures >= CALL_TRIES {
                self.calls.probe_at = next_probe;
            }
            // One that never comes back must leave time for another, or for the run to go on without.
            let half = until.saturating_sub(now + rest) / 2;
            let span = if half as f64 > typical as f64 * SLOW_CALLS { half.min(time) } else { time };
            out.push(Action::Call(r.id.clone(), until.min(now.saturating_add(span))));
        }
    }
}

//! A server's part in its fleet: what has come is taken in, what is due is done, and what is believed can be asked.

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::ChaCha8Rng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::config::{Config, ConfigError};
use crate::identity::{Identity, MemberName};
use crate::member::{Evidence, Known, MemberState, MemberView};
use crate::partition::{PartitionStatus, PartitionTracker, ReachCount};
use crate::session::{Disposition, Session};
use crate::swim::{Came, Swim};
use crate::view::{digest, ViewDivergence};
use crate::wire::{
    Body, BuildInfo, Header, Key, Message, RejectReason, SenderStatus, ViewRow, MAX_DATAGRAM_LEN,
    MAX_MESSAGE_LEN,
};
use crate::Micros;

/// Two looks further apart than this: the process stood still, and nothing that it believed counts any more.
pub const STALL_THRESHOLD: Micros = 1_000_000;
/// Time between looks at what is due.
const LOOK_EVERY: Micros = 50_000;
/// Members beyond the roster that are spoken with.
const GUESTS: usize = 64;
/// A guest that has been silent for so long is forgotten.
const GUEST_GONE: Micros = 60_000_000;
/// What is in force while another has our name; asked anew so often whether it still does.
const SILENT_FOR: Micros = 5_000_000;
/// The holder of a name that has not been heard for so long has lost it: an earlier start may take it up again, as
/// after a restart with a clock that was set back.
const NAME_LOST: Micros = 5_000_000;
/// A later start that asks for so long without proving itself is told who has its name.
const UNPROVEN: Micros = 3_000_000;
/// A beat in so many says what the server is made of.
const ABOUT_EVERY: u64 = 16;
/// Lines, actions and matters that wait to be taken; the oldest go first, as with a network that loses them.
const WAITING: usize = 16_384;

/// By which way a message came, so that it can be answered there: the host's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReturnPath {
    /// A datagram.
    Datagram(u64),
    /// A stream.
    Stream(u64),
}

/// Something to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To the address of this peer, as a datagram.
    Datagram(MemberName, Vec<u8>),
    /// To the address of this peer, over a stream.
    Stream(MemberName, Vec<u8>),
    /// The same, but whatever else waits for that stream goes first.
    Bulk(MemberName, Vec<u8>),
    /// Back the way that something came.
    Reply(ReturnPath, Vec<u8>),
}

impl Action {
    /// What is to be sent.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Action::Datagram(_, bytes)
            | Action::Stream(_, bytes)
            | Action::Bulk(_, bytes)
            | Action::Reply(_, bytes) => bytes,
        }
    }
}

/// A change that an operator should be able to read of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is held for something else.
    MemberStateChanged {
        /// Its name.
        name: MemberName,
        /// What it was held for.
        from: MemberState,
        /// What it is held for.
        to: MemberState,
        /// Why.
        cause: String,
    },
    /// This server stands otherwise.
    PartitionStatusChanged {
        /// How it stood.
        from: PartitionStatus,
        /// How it stands.
        to: PartitionStatus,
        /// Why.
        cause: String,
    },
    /// Two processes have spoken under one name: the earlier and the later start.
    NameConflict(MemberName, u64, u64),
    /// Another process, started then, has our name: we are silent.
    Fenced(u64),
    /// The one that had our name is gone: we go on under this start.
    Unfenced(u64),
    /// A living member has held another view for long.
    ViewsDiverged(MemberName),
    /// It holds the same view again.
    ViewsConverged(MemberName),
    /// Messages were not believed, so many since the last line, the last of them said to be from there.
    MessagesRejected(RejectReason, u64, Option<MemberName>),
}

/// Messages so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageCounts {
    /// Sent, and their bytes.
    pub sent: (u64, u64),
    /// Believed, and their bytes.
    pub heard: (u64, u64),
    /// Not believed, by why.
    pub refused: BTreeMap<RejectReason, u64>,
    /// Times that this server stood still.
    pub standstills: u64,
}

/// A message about a matter that others decide about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// From this member.
    pub from: MemberName,
    /// The start of its process.
    pub boot: u64,
    /// Which matter.
    pub channel: u8,
    /// What it says.
    pub payload: Vec<u8>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    /// A datagram, and a stream as well where datagrams die.
    Gossip,
    /// A stream, and a datagram as well where it fits: either may be dead, and none counts twice.
    Both,
    /// A stream alone, after whatever else waits for it.
    Bulk,
}

/// A server's part in its fleet.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    key: std::rc::Rc<KeyBox>,
    about: BuildInfo,
    swim: Swim,
    links: BTreeMap<MemberName, Session>,
    known: BTreeMap<MemberName, Known>,
    /// By which way guests were last heard.
    guests: BTreeMap<MemberName, ReturnPath>,
    keeper: PartitionTracker,
    /// Evidence from before then does not count.
    from: Micros,
    began: Micros,
    looked: Micros,
    look_at: Micros,
    view: (Vec<ViewRow>, u64),
    disagreements: BTreeMap<MemberName, ViewDivergence>,
    load: u8,
    leaving: bool,
    gone: bool,
    /// Another process has our name: who, and until when we do not ask again.
    silenced: Option<(u64, Micros)>,
    /// Those that were not believed since the last line about them: how many, and when that was.
    quiet: BTreeMap<RejectReason, (u64, Micros)>,
    counts: MessageCounts,
    beats: u64,
    random: ChaCha8Rng,
    actions: VecDeque<Action>,
    told: VecDeque<Event>,
    matters: VecDeque<ReceivedMessage>,
    /// Processes that ask under a name that another has proven to hold: since when.
    askers: BTreeMap<MemberName, (u64, Micros)>,
}

struct KeyBox(Key);

impl std::fmt::Debug for KeyBox {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("Key")
    }
}

impl Membership {
    /// A server that starts now; `boot` is its start by the Unix clock, in microseconds.
    pub fn new(now: Micros, config: Config, boot: u64, seed: u64) -> Result<Membership, Vec<ConfigError>> {
        let mistakes = config.validate();
        if !mistakes.is_empty() {
            return Err(mistakes);
        }
        let id = Identity { name: config.name.clone(), boot_id: boot.max(1), renewal: 0 };
        let swim = Swim::new(id, &config, seed);
        let keeper = PartitionTracker::new(now, config.timing, config.evidence_timeout());
        let mut membership = Membership {
            key: std::rc::Rc::new(KeyBox(Key::new(&config.fleet, &config.secret))),
            about: BuildInfo { zone: config.zone.to_string(), ..BuildInfo::default() },
            swim,
            links: BTreeMap::new(),
            known: BTreeMap::new(),
            guests: BTreeMap::new(),
            keeper,
            from: now,
            began: now,
            looked: now,
            look_at: now,
            view: (Vec::new(), 0),
            disagreements: BTreeMap::new(),
            load: 0,
            leaving: false,
            gone: false,
            silenced: None,
            quiet: BTreeMap::new(),
            counts: MessageCounts::default(),
            beats: 0,
            random: ChaCha8Rng::seed_from_u64(seed ^ boot),
            actions: VecDeque::new(),
            told: VecDeque::new(),
            matters: VecDeque::new(),
            askers: BTreeMap::new(),
            config,
        };
        membership.link_roster(now);
        membership.refresh(now);
        Ok(membership)
    }

    fn link_roster(&mut self, now: Micros) {
        for peer in &self.config.peers {
            let link = self.links.entry(peer.name.clone());
            link.or_insert_with(|| Session::new(peer.name.clone(), true)).named = true;
            self.known.entry(peer.name.clone()).or_insert_with(|| Known::new(now));
            self.guests.remove(&peer.name);
        }
    }

    /// Another roster, from a file without mistakes. Who is no longer named becomes a guest, if it goes on speaking.
    pub fn reconfigure(&mut self, now: Micros, config: Config) {
        let named = |name: &MemberName| config.peers.iter().any(|peer| peer.name == *name);
        self.links.retain(|name, link| !link.named || named(name));
        self.known.retain(|name, _| self.links.contains_key(name));
        self.disagreements.retain(|name, _| self.links.contains_key(name));
        self.config.peers = config.peers;
        self.swim.set(&self.config);
        self.view.0.clear();
        self.link_roster(now);
        self.refresh(now);
    }

    /// What this server is made of, from now on.
    pub fn set_build_info(&mut self, now: Micros, about: BuildInfo) {
        self.about = BuildInfo { zone: self.config.zone.to_string(), ..about };
        let names: Vec<MemberName> = self.links.keys().cloned().collect();
        for name in names {
            self.send_body(now, &name, Body::Heartbeat(Some(self.about.clone())), Way::Gossip);
        }
    }

    /// How loaded this server is, in percent.
    pub fn set_load(&mut self, percent: u8) {
        self.load = percent.min(100);
    }

    /// A message has come.
    pub fn handle_message(&mut self, now: Micros, bytes: &[u8], via: ReturnPath) {
        self.touch(now);
        if self.gone {
            return;
        }
        let most = if matches!(via, ReturnPath::Datagram(_)) { MAX_DATAGRAM_LEN } else { MAX_MESSAGE_LEN };
        let message: Message = match self.key.0.open(bytes, most) {
            Ok(message) => message,
            Err(why) => return self.refuse(now, why, None),
        };
        if message.header.sender == self.config.name {
            // Our own name: an echo of ours, or another process that has it. The others settle which.
            return self.refuse(now, RejectReason::Replayed, Some(&message.header.sender));
        }
        let from = message.header.sender.clone();
        if !self.links.contains_key(&from) && !self.welcome_guest(&message) {
            return self.refuse(now, RejectReason::NoRoom, Some(&from));
        }
        let size = bytes.len() as u64;
        match message.body {
            Body::Hello(_) | Body::Welcome(..) | Body::Ready(..) | Body::Superseded(..) => {
                self.handshake(now, &from, message, via);
            }
            _ => self.session(now, &from, message, via, size),
        }
    }

    /// Makes a place for who is not in the roster.
    fn welcome_guest(&mut self, message: &Message) -> bool {
        let room = self.guests.len() < GUESTS && message.header.sender.len() <= crate::config::MAX_NAME_LEN;
        if room {
            let name = message.header.sender.clone();
            self.guests.insert(name.clone(), ReturnPath::Datagram(0));
            self.links.insert(name.clone(), Session::new(name, false));
        }
        room
    }

    fn handshake(&mut self, now: Micros, from: &MemberName, message: Message, via: ReturnPath) {
        let (boot, fresh) = (message.header.boot_id, self.random.next_u64());
        let ours = message.header.receiver_boot_id == self.boot_id();
        let (since, stale) = (self.from, self.config.evidence_timeout());
        let Some(link) = self.links.get_mut(from) else { return };
        if !link.named {
            self.guests.insert(from.clone(), via);
        }
        match message.body {
            Body::Hello(nonce) => {
                // Another process has proven to hold the name and still answers: whoever asks in vain is told.
                let held = link.boot != 0 && link.boot != boot && link.is_heard(now, 0, NAME_LOST);
                let since = match self.askers.get(from) {
                    Some((asker, since)) if held && *asker == boot => *since,
                    _ if held => {
                        self.askers.insert(from.clone(), (boot, now));
                        now
                    }
                    _ => {
                        self.askers.remove(from);
                        now
                    }
                };
                match link.asked(boot, fresh) {
                    Some(number) if now - since < UNPROVEN => {
                        let body = Body::Welcome(nonce, number, self.about.clone());
                        self.send_body(now, from, body, Way::Both);
                    }
                    _ => self.tell_superseded(now, from, boot, via),
                }
            }
            Body::Welcome(echo, nonce, about) if ours => {
                let before = (link.boot, link.is_heard(now, since, stale));
                if link.welcomed(boot, echo) {
                    link.about = about;
                    self.send_body(now, from, Body::Ready(nonce, self.about.clone()), Way::Both);
                    self.proven(now, from, before, boot);
                }
            }
            Body::Ready(echo, about) if ours => {
                let before = (link.boot, link.is_heard(now, since, stale));
                if link.ready(boot, echo) {
                    link.about = about;
                    self.proven(now, from, before, boot);
                }
            }
            Body::Superseded(by, heard_ms) if ours => {
                self.superseded(now, by, Micros::from(heard_ms) * 1_000);
            }
            _ => self.refuse(now, RejectReason::NotForUs, Some(from)),
        }
    }

    /// A process has proven that it answers under this name; `before` is the one that had it, and whether it was heard
    /// of late.
    fn proven(&mut self, now: Micros, name: &MemberName, (before, heard): (u64, bool), boot: u64) {
        self.askers.remove(name);
        if before != 0 && before != boot && heard {
            self.tell(Event::NameConflict(name.clone(), before, boot));
        }
        self.known.entry(name.clone()).or_insert_with(|| Known::new(now));
        let came = self.swim.meet(now, name, boot);
        self.carry(now, came);
        self.send_body(now, name, Body::Heartbeat(Some(self.about.clone())), Way::Gossip);
    }

    fn tell_superseded(&mut self, now: Micros, name: &MemberName, boot: u64, via: ReturnPath) {
        let Some(link) = self.links.get(name).filter(|link| link.boot != 0) else { return };
        let age = link.heard.map_or(Micros::MAX, |at| now.saturating_sub(at)) / 1_000;
        let body = Body::Superseded(link.boot, u32::try_from(age).unwrap_or(u32::MAX));
        // Back the way it came: the address of that name leads to the other one.
        let head = Header {
            sender: self.config.name.clone(),
            boot_id: self.boot_id(),
            receiver_boot_id: boot,
            sequence: 0,
            sent_twice: false,
        };
        let bytes = self.key.0.seal(&Message { header: head, sender_status: None, body });
        self.act(Action::Reply(via, bytes));
    }

    /// Another process, started at `by`, has our name, and was last heard so long ago.
    fn superseded(&mut self, now: Micros, by: u64, heard: Micros) {
        if heard > NAME_LOST {
            // Gone: its start was later only by its clock.
            if by >= self.boot_id() {
                self.rename(now, by + 1);
            }
            self.silenced = None;
        } else if self.silenced.is_none_or(|(other, _)| other != by) {
            self.silenced = Some((by, now + SILENT_FOR));
            self.tell(Event::Fenced(by));
            self.distrust(now, format!("another process of this name, started at {by}, has taken its place"));
        }
    }

    fn rename(&mut self, now: Micros, boot: u64) {
        let id = Identity { name: self.config.name.clone(), boot_id: boot, renewal: 0 };
        let came = self.swim.rename(now, id);
        self.tell(Event::Unfenced(boot));
        self.view.0.clear();
        self.links.values_mut().for_each(|link| *link = Session::new(link.name.clone(), link.named));
        self.carry(now, came);
    }

    fn session(&mut self, now: Micros, from: &MemberName, message: Message, via: ReturnPath, size: u64) {
        let mine = self.boot_id();
        let Message { header: head, sender_status: note, body } = message;
        let Some(link) = self.links.get_mut(from) else { return };
        match link.message(mine, head.boot_id, head.receiver_boot_id, head.sequence) {
            Disposition::Take => {}
            // The other copy has come already.
            Disposition::Drop(_) if head.sent_twice => return,
            Disposition::Drop(why) => return self.refuse(now, why, Some(from)),
            Disposition::Tell => {
                self.tell_superseded(now, from, head.boot_id, via);
                return self.refuse(now, RejectReason::Superseded, Some(from));
            }
            Disposition::Ask(why) => {
                if !link.named {
                    self.guests.insert(from.clone(), via);
                }
                self.ask(now, from);
                return self.refuse(now, why, Some(from));
            }
        }
        if self.silenced.is_some() {
            // Somebody takes us for the holder of our name again.
            self.silenced = None;
        }
        link.hear(now, matches!(via, ReturnPath::Datagram(_)));
        if !link.named {
            self.guests.insert(from.clone(), via);
        }
        self.counts.heard = (self.counts.heard.0 + 1, self.counts.heard.1 + size);
        if let Some(note) = note {
            self.noted(now, from, head.boot_id, note);
        }
        match body {
            Body::Gossip(bytes) => {
                let came = self.swim.hear(now, &bytes);
                self.carry(now, came);
            }
            Body::Heartbeat(Some(about)) => {
                if let Some(link) = self.links.get_mut(from) {
                    link.about = about;
                }
            }
            Body::Channel(kind, bytes) => {
                bounded(
                    &mut self.matters,
                    ReceivedMessage { from: from.clone(), boot: head.boot_id, channel: kind, payload: bytes },
                );
            }
            Body::ViewRequest => self.send_body(now, from, Body::View(self.view.0.clone()), Way::Both),
            Body::View(rows) => {
                if let Some(found) = self.disagreements.get_mut(from) {
                    found.theirs = rows;
                }
            }
            _ => {}
        }
    }

    /// What a member says of itself.
    fn noted(&mut self, now: Micros, from: &MemberName, boot: u64, note: SenderStatus) {
        let (ours, stale) = (self.view.1, self.config.evidence_timeout());
        let Some(link) = self.links.get_mut(from) else { return };
        link.note = Some((now, note));
        if let Some(known) =
            self.known.get_mut(from).filter(|known| note.leaving && known.leaving != Some(boot))
        {
            known.leaving = Some(boot);
            self.refresh(now);
        }
        let Some(link) = self.links.get_mut(from).filter(|link| link.named) else { return };
        if note.view_digest == ours {
            link.differs = None;
            if self.disagreements.remove(from).is_some() {
                self.tell(Event::ViewsConverged(from.clone()));
            }
            return;
        }
        let since = *link.differs.get_or_insert(now);
        let long =
            now - since >= self.config.timing.divergence_timeout && link.is_reached(now, self.from, stale);
        if long && !self.disagreements.contains_key(from) {
            let found =
                ViewDivergence { peer: from.clone(), since, ours: self.view.0.clone(), theirs: Vec::new() };
            self.disagreements.insert(from.clone(), found);
            self.tell(Event::ViewsDiverged(from.clone()));
            self.send_body(now, from, Body::ViewRequest, Way::Both);
        }
    }

    /// When something is due next.
    pub fn next_timeout(&self) -> Micros {
        self.swim.next_at().unwrap_or(Micros::MAX).min(self.look_at)
    }

    /// What is due by now.
    pub fn handle_timeout(&mut self, now: Micros) {
        self.touch(now);
        if self.gone {
            self.look_at = Micros::MAX;
            return;
        }
        if self.swim.next_at().is_some_and(|at| now >= at) {
            let came = self.swim.pass(now);
            self.carry(now, came);
        }
        if now >= self.look_at {
            self.look_at = now + LOOK_EVERY;
            self.beat(now);
            self.mend(now);
            // Each look passes over all members: in large fleets it comes less often.
            self.look_at += LOOK_EVERY * (self.links.len() / 64) as Micros;
            self.refresh(now);
            self.tell_refused(now);
        }
    }

    /// Sees that time has passed; more than [`STOOD_STILL`] since the last look is a standstill.
    fn touch(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.looked);
        self.looked = now;
        if gap <= STALL_THRESHOLD {
            return;
        }
        // While this process was not run the others went on. What it believed is of before, and its timers have not
        // run out, as nobody could have answered it.
        self.counts.standstills += 1;
        self.swim.shift(gap);
        self.distrust(now, format!("this server stood still for {} ms", gap / 1_000));
    }

    /// Nothing that was believed before counts until it is heard again.
    fn distrust(&mut self, now: Micros, cause: String) {
        self.from = now;
        self.links.values_mut().for_each(Session::forget);
        if let Some((from, to)) = self.keeper.reset(now, self.config.evidence_timeout()) {
            self.tell(Event::PartitionStatusChanged { from, to, cause });
        }
    }

    /// Asks who is there, beats to those who have not been written to for long, and forgets guests that are gone.
    fn beat(&mut self, now: Micros) {
        if let Some((_, until)) = self.silenced {
            if now < until {
                return;
            }
            self.silenced = Some((0, now + SILENT_FOR));
        }
        let (beat, silenced) = (self.config.heartbeat_interval(), self.silenced.is_some());
        let gone = |link: &Session| !link.named && link.heard.is_some_and(|at| now > at + GUEST_GONE);
        let old: Vec<MemberName> =
            self.links.values().filter(|link| gone(link)).map(|l| l.name.clone()).collect();
        for name in old {
            self.links.remove(&name);
            self.guests.remove(&name);
            self.known.remove(&name);
        }
        let due = |link: &&Session| link.boot == 0 || link.sent.is_none_or(|at| now >= at + beat);
        let due: Vec<(MemberName, u64)> =
            self.links.values().filter(due).map(|l| (l.name.clone(), l.boot)).collect();
        for (name, boot) in due {
            if boot == 0 || silenced {
                self.ask(now, &name);
            } else {
                self.beats += 1;
                let about = self.beats.is_multiple_of(ABOUT_EVERY).then(|| self.about.clone());
                self.send_body(now, &name, Body::Heartbeat(about), Way::Gossip);
            }
        }
    }

    /// What gossip holds and what is heard directly are two sources, and the second is the surer one: a member that is
    /// reached and yet held for failed is announced to again, and so is everyone while gossip rests. Without this two
    /// members stay apart for ever once the one message is lost by which either would have begun again
    /// (docs/incidents/apart-for-ever.md).
    fn mend(&mut self, now: Micros) {
        if self.silenced.is_some() {
            return;
        }
        let (stale, every) = (
            self.config.evidence_timeout(),
            self.config.heartbeat_interval().max(2 * self.config.timing.probe_interval),
        );
        let rests = self.swim.rests();
        let (swim, from) = (&self.swim, self.from);
        let apart = |link: &&mut Session| {
            link.named
                && now >= link.mended + every
                && link.is_reached(now, from, stale)
                && (rests || !swim.holds(&link.name, link.boot))
        };
        let mut met = Vec::new();
        for link in self.links.values_mut().filter(apart) {
            link.mended = now;
            met.push((link.name.clone(), link.boot));
        }
        for (name, boot) in met {
            let came = self.swim.meet(now, &name, boot);
            self.carry(now, came);
        }
    }

    fn ask(&mut self, now: Micros, name: &MemberName) {
        let fresh = self.random.next_u64();
        if let Some(number) = self.links.get_mut(name).and_then(|link| link.ask(now, fresh)) {
            self.send_body(now, name, Body::Hello(number), Way::Gossip);
        }
    }

    /// Holds members for what they are now, and counts who is reached.
    fn refresh(&mut self, now: Micros) {
        let mut changed = self.view.0.is_empty() || self.view.0.len() != self.config.roster_size();
        for member in self.swim.members() {
            let name = &member.id().name;
            if !self.links.contains_key(name) {
                continue;
            }
            let known = self.known.entry(name.clone()).or_insert_with(|| Known::new(now));
            let id = member.id();
            changed |= known.boot != id.boot_id;
            (known.boot, known.incarnation, known.renewal) = (id.boot_id, member.incarnation(), id.renewal);
            let leaves = known.leaving == Some(id.boot_id);
            let (to, cause) = match member.state() {
                foca::State::Alive if leaves => (MemberState::Leaving, "it said that it leaves"),
                foca::State::Alive => (MemberState::Present, "it answers, to us or to others"),
                foca::State::Suspect => {
                    (MemberState::Suspected, "a probe brought nothing, by us or by others")
                }
                foca::State::Down if leaves => (MemberState::Left, "it said that it leaves, and is gone"),
                foca::State::Down => (MemberState::Failed, "a suspicion was not refuted in time"),
            };
            if known.state != to {
                changed = true;
                let from = known.state;
                known.change(now, to, cause.to_owned());
                let line =
                    Event::MemberStateChanged { name: name.clone(), from, to, cause: cause.to_owned() };
                bounded(&mut self.told, line);
            }
        }
        if changed {
            self.see();
        }
        let count = self.count(now);
        if self.silenced.is_some() {
            return;
        }
        if let Some((from, to)) = self.keeper.update(now, count) {
            let ReachCount { roster, reached, left } = count;
            let cause =
                format!("{reached} of {roster} reached, {left} left; not reached: {}", self.unreached(now));
            self.tell(Event::PartitionStatusChanged { from, to, cause });
        }
    }

    /// Writes down the view.
    fn see(&mut self) {
        let row = |name: &MemberName, boot: u64, there: bool| ViewRow {
            name: name.clone(),
            boot_id: if there { boot } else { 0 },
            present: there,
        };
        let mut rows = vec![row(&self.config.name, self.boot_id(), true)];
        rows.extend(self.config.peers.iter().map(|peer| {
            let known = self.known.get(&peer.name);
            row(&peer.name, known.map_or(0, |k| k.boot), known.is_some_and(|k| k.state.is_there()))
        }));
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        let digest = digest(&rows);
        self.view = (rows, digest);
    }

    fn count(&self, now: Micros) -> ReachCount {
        let stale = self.config.evidence_timeout();
        let named = || self.links.values().filter(|link| link.named);
        let left = |link: &&Session| self.known.get(&link.name).is_some_and(|k| k.state == MemberState::Left);
        ReachCount {
            roster: self.config.roster_size(),
            reached: 1 + named().filter(|link| link.is_reached(now, self.from, stale)).count(),
            left: named().filter(left).filter(|link| !link.is_reached(now, self.from, stale)).count(),
        }
    }

    fn unreached(&self, now: Micros) -> String {
        let stale = self.config.evidence_timeout();
        let off = self.links.values().filter(|l| l.named && !l.is_reached(now, self.from, stale));
        let word = |link: &Session| match link.is_heard(now, self.from, stale) {
            true => format!("{} (it does not hear us)", link.name),
            false => link.name.to_string(),
        };
        let all: Vec<String> = off.take(8).map(word).collect();
        if all.is_empty() {
            "nobody".to_owned()
        } else {
            all.join(", ")
        }
    }

    /// This server ends: it says so, and goes on being a member until [`Membership::part`].
    pub fn leave(&mut self, now: Micros) {
        self.touch(now);
        self.leaving = true;
        let names: Vec<MemberName> = self.links.keys().cloned().collect();
        for name in names {
            self.send_body(now, &name, Body::Heartbeat(None), Way::Both);
        }
    }

    /// The last word.
    pub fn announce_departure(&mut self, now: Micros) {
        let came = self.swim.leave(now);
        self.carry(now, came);
        self.gone = true;
    }

    /// Sends a member something about a matter that others decide about, if it has proven to answer.
    pub fn send(&mut self, now: Micros, to: &MemberName, kind: u8, bytes: Vec<u8>) {
        if self.links.get(to).is_some_and(|link| link.boot != 0) {
            self.send_body(now, to, Body::Channel(kind, bytes), Way::Both);
        }
    }

    /// The same for what is long and may wait.
    pub fn send_bulk(&mut self, now: Micros, to: &MemberName, kind: u8, bytes: Vec<u8>) {
        if self.links.get(to).is_some_and(|link| link.boot != 0) {
            self.send_body(now, to, Body::Channel(kind, bytes), Way::Bulk);
        }
    }

    fn carry(&mut self, now: Micros, came: Came) {
        for (name, boot, bytes) in came.send {
            // Gossip is for one process; another under its name is asked first.
            if self.links.get(&name).is_some_and(|link| link.boot == boot) {
                self.send_body(now, &name, Body::Gossip(bytes), Way::Gossip);
            } else if self.links.contains_key(&name) {
                self.ask(now, &name);
            }
        }
        for (before, after) in came.renamed {
            let speaks = self.links.get(&before.name);
            let live = speaks
                .is_some_and(|l| l.boot == before.boot_id && l.is_heard(now, self.from, STALL_THRESHOLD));
            if before.boot_id != after.boot_id && live {
                self.ask(now, &before.name);
            }
        }
        if came.changed {
            // All changes of a moment at once: a start with many members brings one with each message.
            self.look_at = self.look_at.min(now + LOOK_EVERY);
        }
    }

    fn send_body(&mut self, now: Micros, to: &MemberName, body: Body, way: Way) {
        // A silent one may ask, and prove itself when it is answered: the holder of its name may be gone, and without
        // the proof it would be silent for ever.
        let asks = matches!(body, Body::Hello(_) | Body::Ready(..));
        if self.gone || (self.silenced.is_some() && !asks) {
            return;
        }
        let shakes = asks || matches!(body, Body::Welcome(..));
        let (mine, stale) = (self.boot_id(), self.config.evidence_timeout());
        let note = SenderStatus {
            heard_receiver_ms: u32::MAX,
            view_digest: self.view.1,
            partition_status: self.keeper.get().0,
            load_percent: self.load,
            health_score: self.swim.health.score() as u8,
            leaving: self.leaving,
        };
        let Some(link) = self.links.get_mut(to) else { return };
        if link.boot == 0 && !shakes {
            return self.ask(now, to);
        }
        let heard = link.heard.filter(|at| *at >= self.from);
        let hears = heard.map_or(u32::MAX, |at| u32::try_from((now - at) / 1_000).unwrap_or(u32::MAX - 1));
        let note = (!shakes).then_some(SenderStatus { heard_receiver_ms: hears, ..note });
        let to_boot = match &body {
            // To who asked, whoever that is by now.
            Body::Welcome(..) => link.offered_to().unwrap_or(link.boot),
            _ => link.boot,
        };

        // Half of the time after which evidence is stale: what goes by stream instead still comes before that.
        let by_datagram = link.heard_datagram.is_some_and(|at| now <= at + stale / 2);
        let tried = now >= self.began + stale;
        let guest = (!link.named).then(|| self.guests.get(to).copied()).flatten();
        // Where no datagram comes back, they may die on the way: then streams carry gossip too, until one does.
        let stream = way != Way::Gossip || (tried && !by_datagram);
        let seq = link.next_seq();
        let twice = stream && way != Way::Bulk;
        let head = Header {
            sender: self.config.name.clone(),
            boot_id: mine,
            receiver_boot_id: to_boot,
            sequence: seq,
            sent_twice: twice,
        };
        if !shakes {
            link.sent = Some(now);
        }
        let bytes = self.key.0.seal(&Message { header: head, sender_status: note, body });
        if let Some(via) = guest {
            return self.act(Action::Reply(via, bytes));
        }
        if way == Way::Bulk {
            return self.act(Action::Bulk(to.clone(), bytes));
        }
        let fits = bytes.len() <= MAX_DATAGRAM_LEN;
        if stream || !fits {
            self.act(Action::Stream(to.clone(), bytes.clone()));
        }
        if fits {
            self.act(Action::Datagram(to.clone(), bytes));
        }
    }

    fn act(&mut self, action: Action) {
        self.counts.sent = (self.counts.sent.0 + 1, self.counts.sent.1 + action.bytes().len() as u64);
        bounded(&mut self.actions, action);
    }

    fn tell(&mut self, line: Event) {
        bounded(&mut self.told, line);
    }

    fn refuse(&mut self, now: Micros, why: RejectReason, from: Option<&MemberName>) {
        *self.counts.refused.entry(why).or_default() += 1;
        let first = !self.quiet.contains_key(&why);
        let quiet = self.quiet.entry(why).or_insert((0, now));
        quiet.0 += 1;
        if first {
            quiet.0 = 0;
            self.tell(Event::MessagesRejected(why, 1, from.cloned()));
        }
    }

    /// Once a second for each kind.
    fn tell_refused(&mut self, now: Micros) {
        let due: Vec<(RejectReason, u64)> = self
            .quiet
            .iter()
            .filter(|(_, (_, at))| now >= at + 1_000_000)
            .map(|(why, (count, _))| (*why, *count))
            .collect();
        for (why, count) in due {
            if count == 0 {
                self.quiet.remove(&why);
            } else {
                self.quiet.insert(why, (0, now));
                self.tell(Event::MessagesRejected(why, count, None));
            }
        }
    }

    /// The start of this process, as others know it.
    pub fn boot_id(&self) -> u64 {
        self.swim.id().boot_id
    }

    /// How this server stands.
    pub fn partition_status(&self) -> PartitionStatus {
        self.keeper.get().0
    }

    /// Whether another process has this server's name.
    pub fn is_fenced(&self) -> bool {
        self.silenced.is_some()
    }

    /// The digest of its view.
    pub fn view_digest(&self) -> u64 {
        self.view.1
    }

    /// Messages so far.
    pub fn counts(&self) -> &MessageCounts {
        &self.counts
    }

    /// How sick this server is, from 0 to 8.
    pub fn health_score(&self) -> u32 {
        self.swim.health.score()
    }

    /// Named members that are reached now, with the starts of their processes.
    pub fn reachable(&self, now: Micros) -> Vec<(MemberName, u64)> {
        let stale = self.config.evidence_timeout();
        let named = self.links.values().filter(|l| l.named && l.is_reached(now, self.from, stale));
        named.map(|link| (link.name.clone(), link.boot)).collect()
    }

    /// Every member, by name.
    pub fn members(&self, now: Micros) -> Vec<MemberView> {
        let ms = |at: Micros| now.saturating_sub(at) / 1_000;
        let view = |link: &Session| {
            let fallback = Known::new(self.began);
            let known = self.known.get(&link.name).unwrap_or(&fallback);
            MemberView {
                name: link.name.clone(),
                named: link.named,
                state: known.state,
                for_ms: ms(known.since),
                boot: if link.boot == 0 { known.boot } else { link.boot },
                incarnation: known.incarnation,
                renewal: known.renewal,
                heard_ms: link.heard.map(ms),
                hears_us_ms: link.hears_us(now).map(|age| age / 1_000),
                reached: link.is_reached(now, self.from, self.config.evidence_timeout()),
                says: link
                    .note
                    .map(|(_, note)| (note.partition_status, note.load_percent, note.health_score)),
                about: link.about.clone(),
                differs_ms: link.differs.map(ms),
            }
        };
        self.links.values().map(view).collect()
    }

    /// Why a member is held for what it is; `None` for a name that is not known.
    pub fn explain(&self, now: Micros, name: &str) -> Option<Vec<Evidence>> {
        let ms = |at: Micros| Some(now.saturating_sub(at) / 1_000);
        let mut found = Vec::new();
        let mut say = |what: String, age_ms| found.push(Evidence { what, age_ms });
        if *name == *self.config.name {
            let (standing, since) = self.keeper.get();
            let ReachCount { roster, reached, left } = self.count(now);
            say(format!("this server stands as {standing}"), ms(since));
            say(
                format!("{reached} of {roster} reached, {left} left; not reached: {}", self.unreached(now)),
                None,
            );
            say(
                format!("sick {} of 8, stood still {} times", self.health_score(), self.counts.standstills),
                None,
            );
            if let Some((by, _)) = self.silenced {
                say(format!("silent: another process, started at {by}, has its name"), None);
            }
            return Some(found);
        }
        let link = self.links.get(name)?;
        if let Some(known) = self.known.get(name) {
            say(format!("held for {}", known.state), ms(known.since));
            for (at, state, cause) in known.changes.iter().rev() {
                say(format!("became {state}: {cause}"), ms(*at));
            }
            say(
                format!(
                    "process started at {}, incarnation {}, came back {} times",
                    known.boot, known.incarnation, known.renewal
                ),
                None,
            );
        }
        match link.heard {
            Some(at) => say("heard directly".to_owned(), ms(at)),
            None => say("not heard directly since this server began to listen".to_owned(), ms(self.from)),
        }
        match link.heard_datagram {
            Some(at) => say("heard by datagram".to_owned(), ms(at)),
            None => say("no datagram came from it".to_owned(), None),
        }
        match link.hears_us(now) {
            Some(age) => say("by its word it heard this server".to_owned(), Some(age / 1_000)),
            None => say("it has not said that it hears this server".to_owned(), None),
        }
        if let Some((at, note)) = link.note {
            let SenderStatus {
                partition_status: standing,
                load_percent: load,
                health_score: sick,
                leaving,
                ..
            } = note;
            let leaves = if leaving { ", leaving" } else { "" };
            say(format!("it says: {standing}, load {load} %, sick {sick} of 8{leaves}"), ms(at));
        }
        if let Some(since) = link.differs {
            say("its view differs from this server's".to_owned(), ms(since));
        }
        if let Some(disagreement) = self.disagreements.get(name) {
            disagreement.differences().into_iter().for_each(|line| say(line, None));
        }
        Some(found)
    }

    /// Living members whose views have differed from ours for long.
    pub fn view_divergences(&self) -> impl Iterator<Item = &ViewDivergence> {
        self.disagreements.values()
    }

    /// What is to be sent.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    /// What is to be logged.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.told.drain(..).collect()
    }

    /// What has come for others.
    pub fn take_messages(&mut self) -> Vec<ReceivedMessage> {
        self.matters.drain(..).collect()
    }

    /// What must hold between any two calls; tests call it after each.
    pub fn check_invariants(&self) -> Result<(), String> {
        let queues = self.actions.len().max(self.told.len()).max(self.matters.len());
        if queues > WAITING
            || self.guests.len() > GUESTS
            || self.links.len() > self.config.peers.len() + GUESTS
        {
            return Err(format!("{queues} wait, {} guests, {} links", self.guests.len(), self.links.len()));
        }
        if let Some(name) = self.config.peers.iter().find(|peer| !self.links.contains_key(&peer.name)) {
            return Err(format!("no link to {}", name.name));
        }
        if self.view.1 != digest(&self.view.0) {
            return Err("the digest is not that of the view".to_owned());
        }
        Ok(())
    }
}

/// Adds to a queue that has a bound: what is oldest goes, as if a network had lost it.
fn bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= WAITING {
        queue.pop_front();
    }
    queue.push_back(item);
}

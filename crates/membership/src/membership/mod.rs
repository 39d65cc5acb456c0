//! This server's part in its fleet.
//!
//! [`Membership`] is one state machine without I/O. Its methods are in files by concern: `incoming` (received messages
//! and the handshake), `fencing` (two processes under one name), `timers` (what is due), `views` (member states and
//! the comparison of views), `sending`, and `reporting` (what may be asked of it).

mod fencing;
mod incoming;
mod reporting;
mod sending;
mod timers;
mod views;

use std::collections::BTreeMap;

use rand::rngs::ChaCha8Rng;
use rand::SeedableRng;

use self::fencing::Fencing;
pub use self::reporting::InvariantViolation;
use self::sending::Delivery;
use crate::config::{Config, ConfigError};
use crate::identity::{Identity, MemberName};
use crate::interface::{Action, Event, Outbox, ReceivedMessage, ReturnPath};
use crate::member::MemberRecord;
use crate::partition::PartitionTracker;
use crate::rejections::RejectionLog;
use crate::session::Session;
use crate::swim::Swim;
use crate::view::{LocalView, ViewDivergence};
use crate::wire::{Body, BuildInfo, Key};
use crate::{MessageCounts, Micros};

/// Two calls further apart than this: the process was stalled, and what it believed does not count any more.
pub const STALL_THRESHOLD: Micros = 1_000_000;
/// Members beyond the roster that are spoken with.
const MAX_GUESTS: usize = 64;

/// Points in time that the other parts go by.
#[derive(Debug)]
struct Clock {
    started_at: Micros,
    /// Evidence from before then does not count.
    evidence_valid_from: Micros,
    /// When any method was last called with the time.
    last_call: Micros,
    /// When members are next looked at.
    next_tick: Micros,
}

/// How far the graceful shutdown of this server has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// No departure is planned.
    Staying,
    /// [`Membership::leave`] was called; it is still a member.
    Leaving,
    /// [`Membership::announce_departure`] was called; it does nothing more.
    Departed,
}

/// A server's part in its fleet.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    key: Key,
    build_info: BuildInfo,
    swim: Swim,
    sessions: BTreeMap<MemberName, Session>,
    records: BTreeMap<MemberName, MemberRecord>,
    /// By which way guests were last heard: their addresses are not configured.
    guests: BTreeMap<MemberName, ReturnPath>,
    partition: PartitionTracker,
    clock: Clock,
    view: LocalView,
    divergences: BTreeMap<MemberName, ViewDivergence>,
    load_percent: u8,
    departure: Departure,
    fencing: Fencing,
    rejections: RejectionLog,
    counts: MessageCounts,
    heartbeats_sent: u64,
    random: ChaCha8Rng,
    outbox: Outbox,
}

impl Membership {
    /// A server that starts now. `boot_id` is its start by the Unix clock, in microseconds; `seed` is for all that is
    /// drawn at random.
    ///
    /// # Errors
    ///
    /// All that is wrong with the configuration.
    pub fn new(now: Micros, config: Config, boot_id: u64, seed: u64) -> Result<Membership, Vec<ConfigError>> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(errors);
        }
        let identity = Identity { name: config.name.clone(), boot_id: boot_id.max(1), renewal: 0 };
        let clock = Clock { started_at: now, evidence_valid_from: now, last_call: now, next_tick: now };
        let mut membership = Membership {
            key: Key::new(&config.fleet, &config.secret),
            build_info: BuildInfo { zone: config.zone.to_string(), ..BuildInfo::default() },
            swim: Swim::new(identity, &config, seed),
            sessions: BTreeMap::new(),
            records: BTreeMap::new(),
            guests: BTreeMap::new(),
            partition: PartitionTracker::new(now, config.timing, config.evidence_timeout()),
            clock,
            view: LocalView::default(),
            divergences: BTreeMap::new(),
            load_percent: 0,
            departure: Departure::Staying,
            fencing: Fencing::default(),
            rejections: RejectionLog::default(),
            counts: MessageCounts::default(),
            heartbeats_sent: 0,
            random: ChaCha8Rng::seed_from_u64(seed ^ boot_id),
            outbox: Outbox::default(),
            config,
        };
        membership.add_roster_sessions(now);
        membership.refresh_members(now);
        Ok(membership)
    }

    /// Takes up another roster, of a configuration that [`Config::validate`] has passed. A member that is no longer
    /// named becomes a guest if it goes on sending.
    pub fn reconfigure(&mut self, now: Micros, config: Config) {
        let in_new_roster = |name: &MemberName| config.peers.iter().any(|peer| peer.name == *name);
        self.sessions.retain(|name, session| !session.in_roster || in_new_roster(name));
        self.records.retain(|name, _| self.sessions.contains_key(name));
        self.divergences.retain(|name, _| self.sessions.contains_key(name));
        self.config.peers = config.peers;
        self.swim.reconfigure(&self.config);
        self.view.invalidate();
        self.add_roster_sessions(now);
        self.refresh_members(now);
    }

    fn add_roster_sessions(&mut self, now: Micros) {
        for peer in &self.config.peers {
            let session = self.sessions.entry(peer.name.clone());
            session.or_insert_with(|| Session::new(peer.name.clone(), true)).in_roster = true;
            self.records.entry(peer.name.clone()).or_insert_with(|| MemberRecord::new(now));
            self.guests.remove(&peer.name);
        }
    }

    /// The program and configuration that this server runs; all members are notified.
    pub fn set_build_info(&mut self, now: Micros, build_info: BuildInfo) {
        self.build_info = BuildInfo { zone: self.config.zone.to_string(), ..build_info };
        self.broadcast(now, &Body::Heartbeat(Some(self.build_info.clone())), Delivery::Gossip);
    }

    /// How loaded this server is, in percent.
    pub fn set_load(&mut self, percent: u8) {
        self.load_percent = percent.min(100);
    }

    /// This server will end: the others are notified. It goes on being a member until
    /// [`Membership::announce_departure`].
    pub fn leave(&mut self, now: Micros) {
        self.observe_time(now);
        if self.departure == Departure::Staying {
            self.departure = Departure::Leaving;
        }
        self.broadcast(now, &Body::Heartbeat(None), Delivery::DatagramAndStream);
    }

    /// This server is gone: its last messages are sent, and nothing that comes counts any more.
    pub fn announce_departure(&mut self, now: Micros) {
        let output = self.swim.leave(now);
        self.apply_swim_output(now, output);
        self.departure = Departure::Departed;
    }

    /// Sends a message on a channel to a member, if it has proven to answer; it may be lost.
    pub fn send(&mut self, now: Micros, to: &MemberName, channel: u8, payload: Vec<u8>) {
        if self.has_proven(to) {
            self.send_body(now, to, Body::Channel { channel, payload }, Delivery::DatagramAndStream);
        }
    }

    /// As [`Membership::send`], for what is long and may wait.
    pub fn send_bulk(&mut self, now: Micros, to: &MemberName, channel: u8, payload: Vec<u8>) {
        if self.has_proven(to) {
            self.send_body(now, to, Body::Channel { channel, payload }, Delivery::BulkStream);
        }
    }

    fn has_proven(&self, name: &MemberName) -> bool {
        self.sessions.get(name).is_some_and(|session| session.boot_id != 0)
    }

    /// What is to be sent.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.outbox.take_actions()
    }

    /// What is to be logged.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.outbox.take_events()
    }

    /// Messages that came on channels.
    pub fn take_messages(&mut self) -> Vec<ReceivedMessage> {
        self.outbox.take_messages()
    }
}

//! The membership state machine of one server.
//!
//! [`Membership`] does no I/O. Its methods are in modules by concern: `incoming` (received messages and the
//! handshake), `fencing` (two processes with the same name), `timers` (timers and periodic work), `views`
//! (member states and the comparison of views), `sending`, and `reporting` (status queries).

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

/// If two calls are further apart than this, the process was stalled, and evidence from before is no longer
/// valid.
pub const STALL_THRESHOLD: Micros = 1_000_000;
/// The most guests, which are members outside of the roster, that have a session at the same time.
const MAX_GUESTS: usize = 64;

/// Points in time that the modules share.
#[derive(Debug)]
struct Clock {
    /// When this server started.
    started_at: Micros,
    /// Evidence from before this time is not valid.
    evidence_valid_from: Micros,
    /// The time of the last call that checked for a stall.
    last_call: Micros,
    /// When the periodic work on all members is next due.
    next_tick: Micros,
}

/// How far the graceful shutdown of this server has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// No shutdown has begun.
    Staying,
    /// [`Membership::leave`] was called; this server is still a member.
    Leaving,
    /// [`Membership::announce_departure`] was called; this server sends and handles no more messages.
    Departed,
}

/// The membership of one server in its fleet.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    key: Key,
    build_info: BuildInfo,
    swim: Swim,
    sessions: BTreeMap<MemberName, Session>,
    records: BTreeMap<MemberName, MemberRecord>,
    /// The path on which each guest was last heard. Guests are answered there, as their addresses are not
    /// configured.
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
    /// Creates the state of a server that starts at `now`. `boot_id` is its start in Unix microseconds;
    /// `seed` initializes the random number generators.
    ///
    /// # Errors
    ///
    /// Returns all errors in the configuration.
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

    /// Replaces the roster by that of a configuration that [`Config::validate`] has accepted. A member that
    /// is no longer in the roster becomes a guest if it continues to send messages.
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

    /// Sets the program and configuration that this server runs and notifies all members.
    pub fn set_build_info(&mut self, now: Micros, build_info: BuildInfo) {
        self.build_info = BuildInfo { zone: self.config.zone.to_string(), ..build_info };
        self.broadcast(now, &Body::Heartbeat(Some(self.build_info.clone())), Delivery::PreferDatagram);
    }

    /// Sets the load of this server in percent, limited to 100.
    pub fn set_load(&mut self, percent: u8) {
        self.load_percent = percent.min(100);
    }

    /// Notifies the other members that the graceful shutdown of this server has begun. The server stays a
    /// member until [`Membership::announce_departure`].
    pub fn leave(&mut self, now: Micros) {
        self.observe_time(now);
        if self.departure == Departure::Staying {
            self.departure = Departure::Leaving;
        }
        self.broadcast(now, &Body::Heartbeat(None), Delivery::DatagramAndStream);
    }

    /// Announces that this server is gone. Afterwards it sends nothing more and ignores all messages.
    pub fn announce_departure(&mut self, now: Micros) {
        let output = self.swim.leave(now);
        self.apply_swim_output(now, output);
        self.departure = Departure::Departed;
    }

    /// Sends a message on a channel to a member that has completed the handshake. The message may be lost;
    /// sealed, it must not be longer than [`crate::wire::MAX_MESSAGE_LEN`].
    pub fn send(&mut self, now: Micros, to: &MemberName, channel: u8, payload: Vec<u8>) {
        if self.has_proven(to) {
            self.send_body(now, to, Body::Channel { channel, payload }, Delivery::DatagramAndStream);
        }
    }

    /// Like [`Membership::send`], for long messages that may be delayed by others.
    pub fn send_bulk(&mut self, now: Micros, to: &MemberName, channel: u8, payload: Vec<u8>) {
        if self.has_proven(to) {
            self.send_body(now, to, Body::Channel { channel, payload }, Delivery::BulkStream);
        }
    }

    fn has_proven(&self, name: &MemberName) -> bool {
        self.sessions.get(name).is_some_and(|session| session.boot_id != 0)
    }

    /// Removes and returns the messages to send.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.outbox.take_actions()
    }

    /// Removes and returns the events to log.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.outbox.take_events()
    }

    /// Removes and returns the messages received on channels.
    pub fn take_messages(&mut self) -> Vec<ReceivedMessage> {
        self.outbox.take_messages()
    }
}

//! Sending: the header and status of each message, and the transport by which it is sent.

use rand::Rng;

use super::timers::TICK_INTERVAL;
use super::{Departure, Membership, STALL_THRESHOLD};
use crate::identity::MemberName;
use crate::interface::{Action, ReturnPath};
use crate::session::Session;
use crate::swim::SwimOutput;
use crate::wire::{Body, Header, Message, SenderStatus, MAX_DATAGRAM_LEN};
use crate::Micros;

/// The transports by which a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// By datagram, and over a stream as well if datagrams do not get through.
    PreferDatagram,
    /// Over a stream, and by datagram as well if the message fits: either path may be cut, and the receiver
    /// accepts only one copy.
    DatagramAndStream,
    /// Over a stream only, after all other messages that are queued for it.
    BulkStream,
}

impl Membership {
    /// Sends the same body to all members and guests.
    pub(super) fn broadcast(&mut self, now: Micros, body: &Body, delivery: Delivery) {
        let names: Vec<MemberName> = self.sessions.keys().cloned().collect();
        for name in names {
            self.send_body(now, &name, body.clone(), delivery);
        }
    }

    /// Applies the results of a SWIM step: sends its messages, checks replaced processes and schedules an
    /// update.
    pub(super) fn apply_swim_output(&mut self, now: Micros, output: SwimOutput) {
        for message in output.messages {
            // Gossip is addressed to one process. Another process with its name has to complete a handshake
            // first.
            let Some(session) = self.sessions.get(&message.to) else { continue };
            if session.boot_id == message.boot_id {
                self.send_body(now, &message.to, Body::Gossip(message.bytes), Delivery::PreferDatagram);
            } else {
                self.start_handshake(now, &message.to);
            }
        }
        for replacement in output.replacements {
            let (earlier, later) = (replacement.earlier, replacement.later);
            let valid_from = self.clock.evidence_valid_from;
            let earlier_is_alive = self.sessions.get(&earlier.name).is_some_and(|session| {
                session.boot_id == earlier.boot_id && session.is_heard(now, valid_from, STALL_THRESHOLD)
            });
            if earlier.boot_id != later.boot_id && earlier_is_alive {
                self.start_handshake(now, &earlier.name);
            }
        }
        if output.changed {
            // Changes are collected for one interval: when many members start, each message brings one.
            self.clock.next_tick = self.clock.next_tick.min(now + TICK_INTERVAL);
        }
    }

    /// Sends a hello, unless one has just been sent.
    pub(super) fn start_handshake(&mut self, now: Micros, name: &MemberName) {
        // A nonce is drawn for each call, used or not, so that a run depends on the calls alone.
        let fresh_nonce = self.random.next_u64();
        let Some(session) = self.sessions.get_mut(name) else { return };
        if let Some(nonce) = session.start_handshake(now, fresh_nonce) {
            self.send_body(now, name, Body::Hello { nonce }, Delivery::PreferDatagram);
        }
    }

    /// Sends a message in the session with this member, or begins a handshake where there is no session yet.
    pub(super) fn send_body(&mut self, now: Micros, to: &MemberName, body: Body, delivery: Delivery) {
        // A fenced server may begin and complete a handshake. The process that holds its name may be gone,
        // and without a completed handshake the server would stay fenced for ever.
        let is_hello_or_ready = matches!(body, Body::Hello { .. } | Body::Ready { .. });
        let blocked_by_fencing = self.fencing.is_fenced() && !is_hello_or_ready;
        if self.departure == Departure::Departed || blocked_by_fencing {
            return;
        }
        let Some(session) = self.sessions.get(to) else { return };
        let is_handshake = is_hello_or_ready || matches!(body, Body::Welcome { .. });
        if session.boot_id == 0 && !is_handshake {
            return self.start_handshake(now, to);
        }
        let sender_status = (!is_handshake).then(|| self.sender_status(now, session));
        let by_stream = delivery != Delivery::PreferDatagram || self.needs_stream(now, session);
        let guest_path = self.guest_path(session);
        let header = Header {
            sender: self.config.name.clone(),
            boot_id: self.boot_id(),
            receiver_boot_id: receiver_boot_id(session, &body),
            sequence: 0,
            sent_twice: by_stream && delivery != Delivery::BulkStream,
        };
        let Some(sequence) = self.record_sent(now, to, is_handshake) else { return };
        let header = Header { sequence, ..header };
        let bytes = self.key.seal(&Message { header, sender_status, body });
        match guest_path {
            Some(path) => self.push_action(Action::Reply { path, bytes }),
            None => self.push_to_peer(to, bytes, delivery, by_stream),
        }
    }

    /// Records that a message is sent, and returns its sequence number.
    fn record_sent(&mut self, now: Micros, to: &MemberName, is_handshake: bool) -> Option<u64> {
        let session = self.sessions.get_mut(to)?;
        if !is_handshake {
            session.last_sent = Some(now);
        }
        Some(session.next_sequence())
    }

    /// The status that this server reports about itself to the other end of the session.
    fn sender_status(&self, now: Micros, session: &Session) -> SenderStatus {
        let heard = session.last_heard.filter(|at| *at >= self.clock.evidence_valid_from);
        // `u32::MAX` means never.
        let age_ms = |at: Micros| u32::try_from((now - at) / 1_000).unwrap_or(u32::MAX - 1);
        SenderStatus {
            heard_receiver_ms: heard.map_or(u32::MAX, age_ms),
            view_digest: self.view.digest,
            partition_status: self.partition_status(),
            load_percent: self.load_percent,
            health_score: self.health_score() as u8,
            leaving: self.departure != Departure::Staying,
        }
    }

    /// Whether gossip has to be sent over a stream as well. If no datagrams arrive from the member, datagrams
    /// to it may be lost too.
    fn needs_stream(&self, now: Micros, session: &Session) -> bool {
        let timeout = self.config.evidence_timeout();
        let is_past_startup = now >= self.clock.started_at + timeout;
        // Streams are used once half of the evidence timeout has passed, so that messages sent over them
        // arrive before the evidence expires.
        let datagrams_arrive = session.last_heard_by_datagram.is_some_and(|at| now <= at + timeout / 2);
        is_past_startup && !datagrams_arrive
    }

    fn guest_path(&self, session: &Session) -> Option<ReturnPath> {
        if session.in_roster {
            return None;
        }
        self.guests.get(&session.name).copied()
    }

    fn push_to_peer(&mut self, to: &MemberName, bytes: Vec<u8>, delivery: Delivery, by_stream: bool) {
        if delivery == Delivery::BulkStream {
            return self.push_action(Action::Bulk { to: to.clone(), bytes });
        }
        let fits_datagram = bytes.len() <= MAX_DATAGRAM_LEN;
        if by_stream || !fits_datagram {
            self.push_action(Action::Stream { to: to.clone(), bytes: bytes.clone() });
        }
        if fits_datagram {
            self.push_action(Action::Datagram { to: to.clone(), bytes });
        }
    }

    pub(super) fn push_action(&mut self, action: Action) {
        self.counts.sent.0 += 1;
        self.counts.sent.1 += action.bytes().len() as u64;
        self.outbox.push_action(action);
    }
}

/// The boot id of the process to which a message is addressed.
fn receiver_boot_id(session: &Session, body: &Body) -> u64 {
    match body {
        // A welcome is addressed to the sender of the hello, which may not be the process of the session.
        Body::Welcome { .. } => session.offered_to().unwrap_or(session.boot_id),
        _ => session.boot_id,
    }
}

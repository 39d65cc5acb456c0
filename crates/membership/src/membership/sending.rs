//! Sending: what goes with each message, and by which ways.

use rand::Rng;

use super::timers::TICK_INTERVAL;
use super::{Departure, Membership, STALL_THRESHOLD};
use crate::identity::MemberName;
use crate::interface::{Action, ReturnPath};
use crate::session::Session;
use crate::swim::SwimOutput;
use crate::wire::{Body, Header, Message, SenderStatus, MAX_DATAGRAM_LEN};
use crate::Micros;

/// By which ways a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// By datagram, and by stream as well where datagrams do not come through.
    Gossip,
    /// By stream, and by datagram as well where it fits: either may be cut, and none counts twice.
    DatagramAndStream,
    /// By stream alone, after whatever else waits for it.
    BulkStream,
}

impl Membership {
    /// Sends the same to everyone.
    pub(super) fn broadcast(&mut self, now: Micros, body: &Body, delivery: Delivery) {
        let names: Vec<MemberName> = self.sessions.keys().cloned().collect();
        for name in names {
            self.send_body(now, &name, body.clone(), delivery);
        }
    }

    /// Sends messages of SWIM, and looks into what it has found.
    pub(super) fn apply_swim_output(&mut self, now: Micros, output: SwimOutput) {
        for message in output.messages {
            // Gossip is for one process; another one under its name has to prove itself first.
            let Some(session) = self.sessions.get(&message.to) else { continue };
            if session.boot_id == message.boot_id {
                self.send_body(now, &message.to, Body::Gossip(message.bytes), Delivery::Gossip);
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
            // All changes of a moment at once: a start with many members brings one with each message.
            self.clock.next_tick = self.clock.next_tick.min(now + TICK_INTERVAL);
        }
    }

    /// Sends a hello, unless one has just been sent.
    pub(super) fn start_handshake(&mut self, now: Micros, name: &MemberName) {
        // Drawn for each call, whether it is used or not.
        let fresh_nonce = self.random.next_u64();
        let Some(session) = self.sessions.get_mut(name) else { return };
        if let Some(nonce) = session.start_handshake(now, fresh_nonce) {
            self.send_body(now, name, Body::Hello { nonce }, Delivery::Gossip);
        }
    }

    /// Sends a message in the session with this member, or begins a handshake where there is no session yet.
    pub(super) fn send_body(&mut self, now: Micros, to: &MemberName, body: Body, delivery: Delivery) {
        // A fenced server may begin a handshake, and prove itself when it is answered: the holder of its name may be
        // gone, and without the proof it would be fenced for ever.
        let is_challenge = matches!(body, Body::Hello { .. } | Body::Ready { .. });
        let blocked_by_fencing = self.fencing.is_fenced() && !is_challenge;
        if self.departure == Departure::Departed || blocked_by_fencing {
            return;
        }
        let Some(session) = self.sessions.get(to) else { return };
        let is_handshake = is_challenge || matches!(body, Body::Welcome { .. });
        if session.boot_id == 0 && !is_handshake {
            return self.start_handshake(now, to);
        }
        let sender_status = (!is_handshake).then(|| self.sender_status(now, session));
        let by_stream = delivery != Delivery::Gossip || self.needs_stream(now, session);
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

    /// The sequence number of a message that is sent now.
    fn record_sent(&mut self, now: Micros, to: &MemberName, is_handshake: bool) -> Option<u64> {
        let session = self.sessions.get_mut(to)?;
        if !is_handshake {
            session.last_sent = Some(now);
        }
        Some(session.next_sequence())
    }

    /// What this server says of itself to the other end of the session.
    fn sender_status(&self, now: Micros, session: &Session) -> SenderStatus {
        let heard = session.last_heard.filter(|at| *at >= self.clock.evidence_valid_from);
        // The greatest value stands for never.
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

    /// Where no datagram comes back, they may be lost on the way: then streams carry gossip too, until one does.
    fn needs_stream(&self, now: Micros, session: &Session) -> bool {
        let timeout = self.config.evidence_timeout();
        let is_past_startup = now >= self.clock.started_at + timeout;
        // Half of the time after which evidence is stale: what goes by stream instead still comes before that.
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

/// The start of the process that a message is for.
fn receiver_boot_id(session: &Session, body: &Body) -> u64 {
    match body {
        // For the sender of the hello, whoever that is by now.
        Body::Welcome { .. } => session.offered_to().unwrap_or(session.boot_id),
        _ => session.boot_id,
    }
}

//! A session with one member: both ends have proven that they are live, and no message is accepted twice.
//!
//! Messages may be replayed: a network may duplicate datagrams, or deliver datagrams from before a restart.
//! Therefore no message of a process is accepted before the process has returned a fresh nonce, and within a
//! session each sequence number is accepted once. Of two processes with the same name the one that started
//! later wins once it has answered; the other one is notified.

mod replay_window;
#[cfg(test)]
mod tests;

use self::replay_window::ReplayWindow;
use crate::identity::MemberName;
use crate::wire::{BuildInfo, RejectReason, SenderStatus};
use crate::Micros;

/// The least time between two hellos to the same member.
const HELLO_INTERVAL: Micros = 150_000;
/// How long a nonce is reused in repeated hellos, as the answer to an earlier hello may still be in transit.
const NONCE_LIFETIME: Micros = 10 * HELLO_INTERVAL;

/// The nonce of a hello that this server has sent and that has not been answered.
#[derive(Clone, Copy, Debug)]
struct Challenge {
    nonce: u64,
    sent_at: Micros,
}

/// The nonce of the welcome with which this server answered the hello of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Offer {
    boot_id: u64,
    nonce: u64,
}

/// The last status that a member reported about itself.
#[derive(Clone, Copy, Debug)]
pub struct ReportedStatus {
    /// When the status was received.
    pub received_at: Micros,
    /// The reported status.
    pub status: SenderStatus,
}

/// The state of the session with one member, and what is known of its process.
#[derive(Clone, Debug)]
pub struct Session {
    /// The member's name.
    pub name: MemberName,
    /// Whether the member is in the roster; otherwise it is a guest.
    pub in_roster: bool,
    /// The boot id of the process that has completed the handshake; 0 if none has.
    pub boot_id: u64,
    window: ReplayWindow,
    /// The sequence number of the last message that was sent.
    sequence: u64,
    challenge: Option<Challenge>,
    offer: Option<Offer>,
    /// When a message of the session was last received, by datagram or stream.
    pub last_heard: Option<Micros>,
    /// When a message of the session was last received by datagram.
    pub last_heard_by_datagram: Option<Micros>,
    /// When a message other than a handshake was last sent to the member.
    pub last_sent: Option<Micros>,
    /// The last status that the member reported about itself.
    pub reported: Option<ReportedStatus>,
    /// The program and configuration that the member runs.
    pub build_info: BuildInfo,
    /// Since when the member's view has differed from this server's.
    pub views_differ_since: Option<Micros>,
    /// When this server last announced itself again to the member because gossip contradicted direct
    /// evidence.
    pub last_reannounced: Micros,
}

/// How to handle a message that claims to belong to the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Process the message.
    Accept,
    /// Drop the message and start a handshake.
    Challenge(RejectReason),
    /// Drop the message and notify the sender that it has been superseded.
    NotifySuperseded,
    /// Drop the message.
    Reject(RejectReason),
}

impl Session {
    /// Creates a session whose handshake has not been completed.
    pub fn new(name: MemberName, in_roster: bool) -> Session {
        Session {
            name,
            in_roster,
            boot_id: 0,
            window: ReplayWindow::default(),
            sequence: 0,
            challenge: None,
            offer: None,
            last_heard: None,
            last_heard_by_datagram: None,
            last_sent: None,
            reported: None,
            build_info: BuildInfo::default(),
            views_differ_since: None,
            last_reannounced: 0,
        }
    }

    /// Returns the sequence number for the next message.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Begins a handshake or repeats its hello. Returns the nonce to send, or `None` if the last hello was
    /// sent less than `HELLO_INTERVAL` ago. `fresh_nonce` is used if there is no nonce yet or it is too
    /// old.
    pub fn start_handshake(&mut self, now: Micros, fresh_nonce: u64) -> Option<u64> {
        let nonce = match self.challenge {
            Some(challenge) if now < challenge.sent_at + HELLO_INTERVAL => return None,
            Some(challenge) if now < challenge.sent_at + NONCE_LIFETIME => challenge.nonce,
            _ => fresh_nonce.max(1),
        };
        self.challenge = Some(Challenge { nonce, sent_at: now });
        Some(nonce)
    }

    /// Handles a hello. Returns the nonce to answer with, or `None` if a later process has completed the
    /// handshake. `fresh_nonce` is used unless the process has already been given a nonce.
    pub fn handle_hello(&mut self, boot_id: u64, fresh_nonce: u64) -> Option<u64> {
        if boot_id < self.boot_id {
            return None;
        }
        let offer = match self.offer {
            Some(offer) if offer.boot_id == boot_id => offer,
            _ => Offer { boot_id, nonce: fresh_nonce.max(1) },
        };
        self.offer = Some(offer);
        Some(offer.nonce)
    }

    /// The boot id of the process whose hello was last answered with a welcome, until its ready arrives.
    pub fn offered_to(&self) -> Option<u64> {
        self.offer.map(|offer| offer.boot_id)
    }

    /// Handles the answer to a hello. Returns whether it proves that the process is live.
    pub fn handle_welcome(&mut self, boot_id: u64, echoed_nonce: u64) -> bool {
        let expected = self.challenge.is_some_and(|challenge| challenge.nonce == echoed_nonce);
        let proven = expected && boot_id >= self.boot_id;
        if proven {
            self.challenge = None;
            self.set_proven(boot_id);
        }
        proven
    }

    /// Handles the answer to a welcome. Returns whether it proves that the process is live.
    pub fn handle_ready(&mut self, boot_id: u64, echoed_nonce: u64) -> bool {
        let expected = self.offer == Some(Offer { boot_id, nonce: echoed_nonce });
        let proven = expected && boot_id >= self.boot_id;
        if proven {
            self.offer = None;
            self.set_proven(boot_id);
        }
        proven
    }

    fn set_proven(&mut self, boot_id: u64) {
        if self.boot_id == boot_id {
            return;
        }
        // All other state belongs to the previous process.
        *self = Session {
            boot_id,
            sequence: self.sequence,
            challenge: self.challenge,
            offer: self.offer,
            ..Session::new(self.name.clone(), self.in_roster)
        };
    }

    /// Decides how to handle a message sent by the process that started at `sender_boot_id` to the process
    /// that started at `receiver_boot_id`; `own_boot_id` is the start of this process.
    pub fn check_message(
        &mut self,
        own_boot_id: u64,
        sender_boot_id: u64,
        receiver_boot_id: u64,
        sequence: u64,
    ) -> Disposition {
        if sender_boot_id < self.boot_id {
            return Disposition::NotifySuperseded;
        }
        if sender_boot_id > self.boot_id {
            return Disposition::Challenge(RejectReason::Unproven);
        }
        if receiver_boot_id != own_boot_id {
            // The sender does not know yet that this is another process than the one it had a session with.
            return Disposition::Challenge(RejectReason::NotForUs);
        }
        if self.window.accept(sequence) {
            Disposition::Accept
        } else {
            Disposition::Reject(RejectReason::Replayed)
        }
    }

    /// Records that a message of the session was received.
    pub fn record_heard(&mut self, now: Micros, by_datagram: bool) {
        self.last_heard = Some(now);
        if by_datagram {
            self.last_heard_by_datagram = Some(now);
        }
    }

    /// Whether the member was heard within the last `span` and not before `valid_from`.
    pub fn is_heard(&self, now: Micros, valid_from: Micros, span: Micros) -> bool {
        self.last_heard.is_some_and(|at| at >= valid_from && now.saturating_sub(at) <= span)
    }

    /// How long ago the member heard this server by its own report; `None` if it has not reported that it
    /// did.
    pub fn heard_us_ago(&self, now: Micros) -> Option<Micros> {
        let ReportedStatus { received_at, status } = self.reported?;
        if status.heard_receiver_ms == u32::MAX {
            return None;
        }
        let when_sent = Micros::from(status.heard_receiver_ms) * 1_000;
        Some(when_sent + now.saturating_sub(received_at))
    }

    /// Whether both ends hear each other: the member was heard within the last `span`, not before
    /// `valid_from`, and reports that it heard this server within twice `span`.
    pub fn is_reachable(&self, now: Micros, valid_from: Micros, span: Micros) -> bool {
        self.is_heard(now, valid_from, span) && self.heard_us_ago(now).is_some_and(|age| age <= 2 * span)
    }

    /// Discards all evidence, so that the member has to be heard again.
    pub fn reset_evidence(&mut self) {
        self.last_heard = None;
        self.last_heard_by_datagram = None;
        self.reported = None;
        self.views_differ_since = None;
    }
}

//! A session with one member: both ends have proven that they answer now, and no message counts twice.
//!
//! Anything may be replayed: by a network that duplicates, or by one that delivers datagrams from before a restart. So
//! nothing of a process is believed before it has returned a nonce drawn for it, and within a session each sequence
//! number counts once. Of two processes under one name the later start wins once it has answered; the other one is
//! notified.

mod replay_window;
#[cfg(test)]
mod tests;

use self::replay_window::ReplayWindow;
use crate::identity::MemberName;
use crate::wire::{BuildInfo, RejectReason, SenderStatus};
use crate::Micros;

/// Least time between two hellos to the same member.
const HELLO_INTERVAL: Micros = 150_000;
/// A nonce is used for so long: an answer to an earlier hello may still be under way.
const NONCE_LIFETIME: Micros = 10 * HELLO_INTERVAL;

/// A nonce that we have sent, and wait for.
#[derive(Clone, Copy, Debug)]
struct Challenge {
    nonce: u64,
    sent_at: Micros,
}

/// The nonce by which we have answered the hello of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Offer {
    boot_id: u64,
    nonce: u64,
}

/// What a member last said of itself.
#[derive(Clone, Copy, Debug)]
pub struct ReportedStatus {
    /// When it came.
    pub received_at: Micros,
    /// What it said.
    pub status: SenderStatus,
}

/// What is known of the process at the other end.
#[derive(Clone, Debug)]
pub struct Session {
    /// Its name.
    pub name: MemberName,
    /// Named by the operator; else a guest.
    pub in_roster: bool,
    /// Start of the process that has proven to answer; 0 while none has.
    pub boot_id: u64,
    window: ReplayWindow,
    /// Sequence number of the last message that we sent.
    sequence: u64,
    challenge: Option<Challenge>,
    offer: Option<Offer>,
    /// When a message of the session last came, by whatever way.
    pub last_heard: Option<Micros>,
    /// When a message of the session last came by datagram.
    pub last_heard_by_datagram: Option<Micros>,
    /// When something was last sent to it in the session.
    pub last_sent: Option<Micros>,
    /// What it last said of itself.
    pub reported: Option<ReportedStatus>,
    /// The program and configuration that it runs.
    pub build_info: BuildInfo,
    /// Since when its view has differed from ours.
    pub views_differ_since: Option<Micros>,
    /// When it was last announced to although both reach each other, because gossip has it otherwise.
    pub last_reannounced: Micros,
}

/// What to do with a message that claims to belong to the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Take it in.
    Accept,
    /// Drop it, and start a handshake.
    Challenge(RejectReason),
    /// Drop it, and notify the sender that it has been superseded.
    NotifySuperseded,
    /// Drop it.
    Reject(RejectReason),
}

impl Session {
    /// A session in which nobody has proven anything yet.
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

    /// The sequence number of the next message.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Begins a handshake, or repeats its hello. The result is the nonce to send; `None` if it is too early.
    /// `fresh_nonce` is used when there is no nonce, or it is too old.
    pub fn start_handshake(&mut self, now: Micros, fresh_nonce: u64) -> Option<u64> {
        let nonce = match self.challenge {
            Some(challenge) if now < challenge.sent_at + HELLO_INTERVAL => return None,
            Some(challenge) if now < challenge.sent_at + NONCE_LIFETIME => challenge.nonce,
            _ => fresh_nonce.max(1),
        };
        self.challenge = Some(Challenge { nonce, sent_at: now });
        Some(nonce)
    }

    /// A process sends a hello. The result is the nonce to answer with; `None` if a later process has proven itself.
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

    /// The start of the process whose hello was answered last.
    pub fn offered_to(&self) -> Option<u64> {
        self.offer.map(|offer| offer.boot_id)
    }

    /// A process answers our hello; whether that proves it.
    pub fn handle_welcome(&mut self, boot_id: u64, echoed_nonce: u64) -> bool {
        let expected = self.challenge.is_some_and(|challenge| challenge.nonce == echoed_nonce);
        let proven = expected && boot_id >= self.boot_id;
        if proven {
            self.challenge = None;
            self.set_proven(boot_id);
        }
        proven
    }

    /// A process answers our welcome; whether that proves it.
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
        // Everything else was of the process before.
        *self = Session {
            boot_id,
            sequence: self.sequence,
            challenge: self.challenge,
            offer: self.offer,
            ..Session::new(self.name.clone(), self.in_roster)
        };
    }

    /// Judges a message of a session, sent by the process that started at `sender_boot_id` to one that started at
    /// `receiver_boot_id`; `own_boot_id` is the start of this process.
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
            // The sender does not know yet that this is another process than it spoke with.
            return Disposition::Challenge(RejectReason::NotForUs);
        }
        if self.window.accept(sequence) {
            Disposition::Accept
        } else {
            Disposition::Reject(RejectReason::Replayed)
        }
    }

    /// A message of the session has come.
    pub fn record_heard(&mut self, now: Micros, by_datagram: bool) {
        self.last_heard = Some(now);
        if by_datagram {
            self.last_heard_by_datagram = Some(now);
        }
    }

    /// Whether it was heard within `span`, and not before `valid_from`.
    pub fn is_heard(&self, now: Micros, valid_from: Micros, span: Micros) -> bool {
        self.last_heard.is_some_and(|at| at >= valid_from && now.saturating_sub(at) <= span)
    }

    /// How long ago the member heard us, as it said itself; `None` if it has not.
    pub fn heard_us_ago(&self, now: Micros) -> Option<Micros> {
        let ReportedStatus { received_at, status } = self.reported?;
        if status.heard_receiver_ms == u32::MAX {
            return None;
        }
        let when_sent = Micros::from(status.heard_receiver_ms) * 1_000;
        Some(when_sent + now.saturating_sub(received_at))
    }

    /// Whether both hear each other: it was heard within `span`, not before `valid_from`, and says that it hears us.
    pub fn is_reachable(&self, now: Micros, valid_from: Micros, span: Micros) -> bool {
        self.is_heard(now, valid_from, span) && self.heard_us_ago(now).is_some_and(|age| age <= 2 * span)
    }

    /// Drops all evidence: the member has to be heard again.
    pub fn reset_evidence(&mut self) {
        self.last_heard = None;
        self.last_heard_by_datagram = None;
        self.reported = None;
        self.views_differ_since = None;
    }
}

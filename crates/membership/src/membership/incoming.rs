//! Received messages: their verification, the handshake, and the handling of their contents.

use rand::Rng;

use super::{Delivery, Departure, Membership, MAX_GUESTS};
use crate::config::MAX_NAME_LEN;
use crate::identity::MemberName;
use crate::interface::{Event, ReceivedMessage, ReturnPath};
use crate::member::MemberRecord;
use crate::session::{Disposition, ReportedStatus, Session};
use crate::wire::{Body, BuildInfo, Message, RejectReason, SenderStatus, MAX_DATAGRAM_LEN, MAX_MESSAGE_LEN};
use crate::Micros;

/// The process that held a name before a handshake was completed.
#[derive(Clone, Copy)]
struct EarlierProcess {
    /// When it started, in Unix microseconds; 0 if there was none.
    boot_id: u64,
    /// Whether the process was heard within the evidence timeout.
    heard: bool,
}

impl Membership {
    /// Handles a message as received from the network.
    pub fn handle_message(&mut self, now: Micros, bytes: &[u8], path: ReturnPath) {
        self.observe_time(now);
        if self.departure == Departure::Departed {
            return;
        }
        let max_len = match path {
            ReturnPath::Datagram(_) => MAX_DATAGRAM_LEN,
            ReturnPath::Stream(_) => MAX_MESSAGE_LEN,
        };
        let message: Message = match self.key.open(bytes, max_len) {
            Ok(message) => message,
            Err(reason) => return self.reject(now, reason, None),
        };
        let sender = message.header.sender.clone();
        if sender == self.config.name {
            // The message is an echo or comes from another process with this server's name. The other members
            // decide which of the two processes keeps the name.
            return self.reject(now, RejectReason::Replayed, Some(&sender));
        }
        if !self.sessions.contains_key(&sender) && !self.admit_guest(&sender) {
            return self.reject(now, RejectReason::NoRoom, Some(&sender));
        }
        match message.body {
            Body::Hello { .. } | Body::Welcome { .. } | Body::Ready { .. } | Body::Superseded { .. } => {
                self.handle_handshake(now, message, path);
            }
            _ => self.handle_session_message(now, message, path, bytes.len()),
        }
    }

    /// Creates a session for a sender that is not in the roster. Returns false if there is no room or its
    /// name is too long.
    fn admit_guest(&mut self, name: &MemberName) -> bool {
        let has_room = self.guests.len() < MAX_GUESTS && name.len() <= MAX_NAME_LEN;
        if has_room {
            self.guests.insert(name.clone(), ReturnPath::Datagram(0));
            self.sessions.insert(name.clone(), Session::new(name.clone(), false));
        }
        has_room
    }

    /// Records the path on which a guest was last heard, so that it is answered there.
    fn remember_guest_path(&mut self, name: &MemberName, path: ReturnPath) {
        if self.sessions.get(name).is_some_and(|session| !session.in_roster) {
            self.guests.insert(name.clone(), path);
        }
    }

    fn handle_handshake(&mut self, now: Micros, message: Message, path: ReturnPath) {
        let Message { header, body, .. } = message;
        let (sender, boot_id) = (&header.sender, header.boot_id);
        // A nonce is drawn for each message, used or not, so that a run depends on the messages alone.
        let fresh_nonce = self.random.next_u64();
        let for_this_process = header.receiver_boot_id == self.boot_id();
        self.remember_guest_path(sender, path);
        match body {
            Body::Hello { nonce } => self.handle_hello(now, sender, boot_id, nonce, fresh_nonce, path),
            _ if !for_this_process => self.reject(now, RejectReason::NotForUs, Some(sender)),
            Body::Welcome { echoed_nonce, nonce, build_info } => {
                let earlier = self.proven_process(now, sender);
                let Some(session) = self.sessions.get_mut(sender) else { return };
                if session.handle_welcome(boot_id, echoed_nonce) {
                    session.build_info = build_info;
                    let ready = Body::Ready { echoed_nonce: nonce, build_info: self.build_info.clone() };
                    self.send_body(now, sender, ready, Delivery::DatagramAndStream);
                    self.handle_proven(now, sender, earlier, boot_id);
                }
            }
            Body::Ready { echoed_nonce, build_info } => {
                let earlier = self.proven_process(now, sender);
                let Some(session) = self.sessions.get_mut(sender) else { return };
                if session.handle_ready(boot_id, echoed_nonce) {
                    session.build_info = build_info;
                    self.handle_proven(now, sender, earlier, boot_id);
                }
            }
            Body::Superseded { by_boot_id, heard_ago_ms } => {
                self.handle_superseded(now, by_boot_id, Micros::from(heard_ago_ms) * 1_000);
            }
            _ => {}
        }
    }

    /// Handles a hello. `their_nonce` is returned to the sender; `fresh_nonce` is the nonce that the sender
    /// has to return, unless it has been given one already.
    fn handle_hello(
        &mut self,
        now: Micros,
        sender: &MemberName,
        boot_id: u64,
        their_nonce: u64,
        fresh_nonce: u64,
        path: ReturnPath,
    ) {
        let claim_expired = self.is_unproven_claim_expired(now, sender, boot_id);
        let Some(session) = self.sessions.get_mut(sender) else { return };
        match session.handle_hello(boot_id, fresh_nonce) {
            Some(nonce) if !claim_expired => {
                let build_info = self.build_info.clone();
                let welcome = Body::Welcome { echoed_nonce: their_nonce, nonce, build_info };
                self.send_body(now, sender, welcome, Delivery::DatagramAndStream);
            }
            _ => self.notify_superseded(now, sender, boot_id, path),
        }
    }

    /// The process that holds the name at the moment.
    fn proven_process(&self, now: Micros, name: &MemberName) -> EarlierProcess {
        let (valid_from, timeout) = (self.clock.evidence_valid_from, self.config.evidence_timeout());
        self.sessions.get(name).map_or(EarlierProcess { boot_id: 0, heard: false }, |session| {
            EarlierProcess { boot_id: session.boot_id, heard: session.is_heard(now, valid_from, timeout) }
        })
    }

    /// Handles a completed handshake: reports a name conflict if the previous process is live and has not said
    /// that it leaves, and announces this server.
    fn handle_proven(&mut self, now: Micros, name: &MemberName, earlier: EarlierProcess, boot_id: u64) {
        self.fencing.forget_claimant(name);
        let left = self.records.get(name).is_some_and(|r| r.leaving_boot_id == Some(earlier.boot_id));
        if earlier.boot_id != 0 && earlier.boot_id != boot_id && earlier.heard && !left {
            self.outbox.push_event(Event::NameConflict {
                name: name.clone(),
                earlier_boot_id: earlier.boot_id,
                later_boot_id: boot_id,
            });
        }
        self.records.entry(name.clone()).or_insert_with(|| MemberRecord::new(now));
        let output = self.swim.announce_to(now, name, boot_id);
        self.apply_swim_output(now, output);
        let heartbeat = Body::Heartbeat(Some(self.build_info.clone()));
        self.send_body(now, name, heartbeat, Delivery::PreferDatagram);
    }

    fn handle_session_message(&mut self, now: Micros, message: Message, path: ReturnPath, size: usize) {
        if !self.accept_session_message(now, &message, path) {
            return;
        }
        let Message { header, sender_status, body } = message;
        let sender = &header.sender;
        // The sender has a session with this process, so this process holds its name again.
        self.fencing.clear();
        if let Some(session) = self.sessions.get_mut(sender) {
            session.record_heard(now, matches!(path, ReturnPath::Datagram(_)));
        }
        self.remember_guest_path(sender, path);
        self.counts.heard.0 += 1;
        self.counts.heard.1 += size as u64;
        if let Some(status) = sender_status {
            self.handle_sender_status(now, sender, header.boot_id, status);
        }
        self.handle_body(now, sender, header.boot_id, body);
    }

    /// Returns whether the message belongs to the session. If not, rejects it and starts a handshake or
    /// notifies the sender as needed.
    fn accept_session_message(&mut self, now: Micros, message: &Message, path: ReturnPath) -> bool {
        let own_boot_id = self.boot_id();
        let header = &message.header;
        let sender = &header.sender;
        let Some(session) = self.sessions.get_mut(sender) else { return false };
        let (boot_id, receiver_boot_id) = (header.boot_id, header.receiver_boot_id);
        match session.check_message(own_boot_id, boot_id, receiver_boot_id, header.sequence) {
            Disposition::Accept => return true,
            // The other copy has been received already.
            Disposition::Reject(_) if header.sent_twice => {}
            Disposition::Reject(reason) => self.reject(now, reason, Some(sender)),
            Disposition::NotifySuperseded => {
                self.notify_superseded(now, sender, boot_id, path);
                self.reject(now, RejectReason::Superseded, Some(sender));
            }
            Disposition::Challenge(reason) => {
                self.remember_guest_path(sender, path);
                self.start_handshake(now, sender);
                self.reject(now, reason, Some(sender));
            }
        }
        false
    }

    fn handle_body(&mut self, now: Micros, sender: &MemberName, boot_id: u64, body: Body) {
        match body {
            Body::Gossip(bytes) => {
                let output = self.swim.handle_gossip(now, &bytes);
                self.apply_swim_output(now, output);
            }
            Body::Heartbeat(Some(build_info)) => self.set_member_build_info(sender, build_info),
            Body::Channel { channel, payload } => {
                let from = sender.clone();
                self.outbox.push_message(ReceivedMessage { from, boot: boot_id, channel, payload });
            }
            Body::ViewRequest => {
                let view = Body::View(self.view.rows.clone());
                self.send_body(now, sender, view, Delivery::DatagramAndStream);
            }
            Body::View(rows) => {
                if let Some(divergence) = self.divergences.get_mut(sender) {
                    divergence.theirs = rows;
                }
            }
            _ => {}
        }
    }

    fn set_member_build_info(&mut self, name: &MemberName, build_info: BuildInfo) {
        if let Some(session) = self.sessions.get_mut(name) {
            session.build_info = build_info;
        }
    }

    /// Handles the status that a member reports about itself.
    fn handle_sender_status(&mut self, now: Micros, sender: &MemberName, boot_id: u64, status: SenderStatus) {
        // The sender's view is compared with this server's view from before any change by this message.
        let own_digest = self.view.digest;
        let Some(session) = self.sessions.get_mut(sender) else { return };
        session.reported = Some(ReportedStatus { received_at: now, status });
        if status.leaving {
            self.set_leaving(now, sender, boot_id);
        }
        self.compare_views(now, sender, own_digest, status.view_digest);
    }

    fn set_leaving(&mut self, now: Micros, name: &MemberName, boot_id: u64) {
        let Some(record) = self.records.get_mut(name) else { return };
        if record.leaving_boot_id != Some(boot_id) {
            record.leaving_boot_id = Some(boot_id);
            self.refresh_members(now);
        }
    }

    fn reject(&mut self, now: Micros, reason: RejectReason, claimed_sender: Option<&MemberName>) {
        *self.counts.refused.entry(reason).or_default() += 1;
        if self.rejections.record(now, reason) {
            let claimed_sender = claimed_sender.cloned();
            self.outbox.push_event(Event::MessagesRejected { reason, count: 1, claimed_sender });
        }
    }
}

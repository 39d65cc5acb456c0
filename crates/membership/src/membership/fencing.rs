//! Fencing of two processes with the same name, as when a server was started twice, or resumes after a pause
//! in which it was replaced. The process that started later keeps the name; the earlier one sends only
//! handshakes.

use std::collections::BTreeMap;

use super::Membership;
use crate::identity::{Identity, MemberName};
use crate::interface::{Action, Event, ReturnPath};
use crate::session::Session;
use crate::wire::{Body, Header, Message};
use crate::Micros;

/// The time between two rounds of handshakes by which a fenced server finds out whether the other process
/// still holds its name.
const FENCED_RETRY_INTERVAL: Micros = 5_000_000;
/// A process that has not been heard for this long no longer holds its name. A process with an earlier start
/// may then use the name, as after a restart with a clock that was set back.
const NAME_HOLDER_TIMEOUT: Micros = 5_000_000;
/// A process with a later start that sends hellos for this long without completing a handshake is notified
/// that its name is taken.
const UNPROVEN_CLAIM_TIMEOUT: Micros = 3_000_000;

/// The process that holds this server's name.
#[derive(Clone, Copy, Debug)]
struct NameHolder {
    /// When it started, in Unix microseconds; 0 while this server checks whether it is still there.
    boot_id: u64,
    /// When handshakes are next begun again.
    retry_at: Micros,
}

/// A process that sends hellos under a name that another process holds.
#[derive(Clone, Copy, Debug)]
struct Claimant {
    boot_id: u64,
    since: Micros,
}

/// Whether this server is fenced, and the processes that claim names held by others.
#[derive(Debug, Default)]
pub(super) struct Fencing {
    holder: Option<NameHolder>,
    claimants: BTreeMap<MemberName, Claimant>,
}

impl Fencing {
    pub(super) fn is_fenced(&self) -> bool {
        self.holder.is_some()
    }

    /// The boot id of the process that holds this server's name; `None` if this server is not fenced.
    pub(super) fn holder_boot_id(&self) -> Option<u64> {
        self.holder.map(|holder| holder.boot_id)
    }

    pub(super) fn clear(&mut self) {
        self.holder = None;
    }

    pub(super) fn forget_claimant(&mut self, name: &MemberName) {
        self.claimants.remove(name);
    }

    /// Whether a fenced server has to wait before it begins handshakes again. If not, the wait is restarted.
    pub(super) fn must_wait_for_retry(&mut self, now: Micros) -> bool {
        let Some(holder) = self.holder else { return false };
        if now < holder.retry_at {
            return true;
        }
        self.holder = Some(NameHolder { boot_id: 0, retry_at: now + FENCED_RETRY_INTERVAL });
        false
    }

    /// Since when this process has claimed a name that another process holds.
    fn claimed_since(&mut self, now: Micros, name: &MemberName, boot_id: u64) -> Micros {
        let claimant = self.claimants.entry(name.clone()).or_insert(Claimant { boot_id, since: now });
        if claimant.boot_id != boot_id {
            *claimant = Claimant { boot_id, since: now };
        }
        claimant.since
    }
}

impl Membership {
    /// Whether the sender of a hello has for [`UNPROVEN_CLAIM_TIMEOUT`] claimed a name that another live
    /// process holds.
    pub(super) fn is_unproven_claim_expired(&mut self, now: Micros, name: &MemberName, boot_id: u64) -> bool {
        let Some(session) = self.sessions.get(name) else { return false };
        let other_process = session.boot_id != 0 && session.boot_id != boot_id;
        if !other_process || !session.is_heard(now, 0, NAME_HOLDER_TIMEOUT) {
            self.fencing.forget_claimant(name);
            return false;
        }
        now - self.fencing.claimed_since(now, name, boot_id) >= UNPROVEN_CLAIM_TIMEOUT
    }

    /// Notifies a process that another process holds its name.
    pub(super) fn notify_superseded(
        &mut self,
        now: Micros,
        name: &MemberName,
        boot_id: u64,
        path: ReturnPath,
    ) {
        let Some(session) = self.sessions.get(name).filter(|session| session.boot_id != 0) else { return };
        let heard_ago = session.last_heard.map_or(Micros::MAX, |at| now.saturating_sub(at));
        let heard_ago_ms = u32::try_from(heard_ago / 1_000).unwrap_or(u32::MAX);
        let body = Body::Superseded { by_boot_id: session.boot_id, heard_ago_ms };
        let header = Header {
            sender: self.config.name.clone(),
            boot_id: self.boot_id(),
            receiver_boot_id: boot_id,
            sequence: 0,
            sent_twice: false,
        };
        let bytes = self.key.seal(&Message { header, sender_status: None, body });
        // The reply uses the path of the message: the configured address of the name belongs to the other
        // process.
        self.push_action(Action::Reply { path, bytes });
    }

    /// Handles the report of a member that another process holds this server's name and was last heard
    /// `heard_ago`.
    pub(super) fn handle_superseded(&mut self, now: Micros, by_boot_id: u64, heard_ago: Micros) {
        if heard_ago > NAME_HOLDER_TIMEOUT {
            // The other process is gone. Its start may have been later only because of a wrong clock.
            if by_boot_id >= self.boot_id() {
                self.take_new_boot_id(now, by_boot_id + 1);
            }
            self.fencing.clear();
            return;
        }
        if self.fencing.holder_boot_id() == Some(by_boot_id) {
            return;
        }
        let retry_at = now + FENCED_RETRY_INTERVAL;
        self.fencing.holder = Some(NameHolder { boot_id: by_boot_id, retry_at });
        self.outbox.push_event(Event::Fenced { by_boot_id });
        let cause = format!("another process of this name, started at {by_boot_id}, has taken its place");
        self.reset_evidence(now, cause);
    }

    /// Continues with a later boot id and restarts all sessions.
    fn take_new_boot_id(&mut self, now: Micros, boot_id: u64) {
        let identity = Identity { name: self.config.name.clone(), boot_id, renewal: 0 };
        let output = self.swim.change_identity(now, identity);
        self.outbox.push_event(Event::Unfenced { boot_id });
        self.view.invalidate();
        for session in self.sessions.values_mut() {
            *session = Session::new(session.name.clone(), session.in_roster);
        }
        self.apply_swim_output(now, output);
    }
}

//! What is due: timers of SWIM, heartbeats, handshakes, and what follows from a stall of this process.

use super::{Delivery, Departure, Membership, STALL_THRESHOLD};
use crate::identity::MemberName;
use crate::interface::Event;
use crate::session::Session;
use crate::wire::Body;
use crate::Micros;

/// Time between two looks at all members.
pub(super) const TICK_INTERVAL: Micros = 50_000;
/// In fleets of more than so many members, looks are further apart: each passes over all members.
const MEMBERS_PER_TICK: usize = 64;
/// A guest that has been silent for so long is forgotten.
const GUEST_TIMEOUT: Micros = 60_000_000;
/// One heartbeat in so many carries the build info.
const HEARTBEATS_PER_BUILD_INFO: u64 = 16;

/// One process under a name.
struct Process {
    name: MemberName,
    boot_id: u64,
}

impl Process {
    fn of(session: &Session) -> Process {
        Process { name: session.name.clone(), boot_id: session.boot_id }
    }
}

impl Membership {
    /// When [`Membership::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Micros {
        self.swim.next_timeout().unwrap_or(Micros::MAX).min(self.clock.next_tick)
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Micros) {
        self.observe_time(now);
        if self.departure == Departure::Departed {
            self.clock.next_tick = Micros::MAX;
            return;
        }
        if self.swim.next_timeout().is_some_and(|at| now >= at) {
            let output = self.swim.handle_timeout(now);
            self.apply_swim_output(now, output);
        }
        if now >= self.clock.next_tick {
            self.clock.next_tick = now + TICK_INTERVAL;
            self.send_heartbeats(now);
            self.reannounce(now);
            self.clock.next_tick += TICK_INTERVAL * (self.sessions.len() / MEMBERS_PER_TICK) as Micros;
            self.refresh_members(now);
            self.report_rejections(now);
        }
    }

    /// Notes that time has passed; more than [`STALL_THRESHOLD`] since the last call is a stall.
    pub(super) fn observe_time(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.clock.last_call);
        self.clock.last_call = now;
        if gap <= STALL_THRESHOLD {
            return;
        }
        // While this process was not run the others went on. What it believed is of before, and its timers have not
        // run out, as nobody could have answered it.
        self.counts.standstills += 1;
        self.swim.postpone_timers(gap);
        self.reset_evidence(now, format!("this server stood still for {} ms", gap / 1_000));
    }

    /// Nothing that was believed before counts until it is heard again.
    pub(super) fn reset_evidence(&mut self, now: Micros, cause: String) {
        self.clock.evidence_valid_from = now;
        self.sessions.values_mut().for_each(Session::reset_evidence);
        if let Some(change) = self.partition.reset(now, self.config.evidence_timeout()) {
            let event = Event::PartitionStatusChanged { from: change.from, to: change.to, cause };
            self.outbox.push_event(event);
        }
    }

    /// Sends heartbeats to members that have not been sent anything for long, and hellos to those that have not proven
    /// themselves.
    fn send_heartbeats(&mut self, now: Micros) {
        if self.fencing.must_wait_for_retry(now) {
            return;
        }
        self.forget_silent_guests(now);
        let interval = self.config.heartbeat_interval();
        let is_due = |session: &&Session| {
            session.boot_id == 0 || session.last_sent.is_none_or(|at| now >= at + interval)
        };
        let due: Vec<Process> = self.sessions.values().filter(is_due).map(Process::of).collect();
        let fenced = self.fencing.is_fenced();
        for process in due {
            if process.boot_id == 0 || fenced {
                self.start_handshake(now, &process.name);
                continue;
            }
            self.heartbeats_sent += 1;
            let with_build_info = self.heartbeats_sent.is_multiple_of(HEARTBEATS_PER_BUILD_INFO);
            let build_info = with_build_info.then(|| self.build_info.clone());
            self.send_body(now, &process.name, Body::Heartbeat(build_info), Delivery::Gossip);
        }
    }

    fn forget_silent_guests(&mut self, now: Micros) {
        let is_silent = |session: &&Session| {
            !session.in_roster && session.last_heard.is_some_and(|at| now > at + GUEST_TIMEOUT)
        };
        let silent_guests: Vec<MemberName> =
            self.sessions.values().filter(is_silent).map(|session| session.name.clone()).collect();
        for name in silent_guests {
            self.sessions.remove(&name);
            self.guests.remove(&name);
            self.records.remove(&name);
        }
    }

    /// Announces this server again where gossip contradicts what is heard directly.
    ///
    /// Direct evidence is the surer one: a member that is reachable and yet failed by gossip is announced to again, and
    /// so is everyone while gossip is idle. Without this two members stay apart for ever once the one message is lost
    /// by which either would have begun again (docs/incidents/apart-for-ever.md).
    fn reannounce(&mut self, now: Micros) {
        if self.fencing.is_fenced() {
            return;
        }
        let timeout = self.config.evidence_timeout();
        let interval = self.config.heartbeat_interval().max(2 * self.config.timing.probe_interval);
        let gossip_idle = self.swim.is_idle();
        let valid_from = self.clock.evidence_valid_from;
        let mut contradicted = Vec::new();
        for session in self.sessions.values_mut() {
            let is_candidate = session.in_roster
                && now >= session.last_reannounced + interval
                && session.is_reachable(now, valid_from, timeout);
            if is_candidate && (gossip_idle || !self.swim.is_active(&session.name, session.boot_id)) {
                session.last_reannounced = now;
                contradicted.push(Process::of(session));
            }
        }
        for process in contradicted {
            let output = self.swim.announce_to(now, &process.name, process.boot_id);
            self.apply_swim_output(now, output);
        }
    }

    fn report_rejections(&mut self, now: Micros) {
        for report in self.rejections.take_due(now) {
            let (reason, count) = (report.reason, report.count);
            self.outbox.push_event(Event::MessagesRejected { reason, count, claimed_sender: None });
        }
    }
}

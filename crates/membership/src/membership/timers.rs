//! Timers: SWIM, heartbeats, handshakes, and the detection of stalls of this process.

use super::{Delivery, Departure, Membership, STALL_THRESHOLD};
use crate::identity::MemberName;
use crate::interface::Event;
use crate::session::Session;
use crate::wire::Body;
use crate::Micros;

/// The time between two runs of the periodic work on all members.
pub(super) const TICK_INTERVAL: Micros = 50_000;
/// The time between two runs grows by [`TICK_INTERVAL`] for each group of this many sessions, as each run
/// visits all of them.
const SESSIONS_PER_ADDED_INTERVAL: usize = 64;
/// A guest that has not been heard for this long is forgotten.
const GUEST_TIMEOUT: Micros = 60_000_000;
/// One in this many heartbeats carries the build info.
const HEARTBEATS_PER_BUILD_INFO: u64 = 16;

/// A member's process.
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
    /// The time at which [`Membership::handle_timeout`] has to be called next.
    pub fn next_timeout(&self) -> Micros {
        self.swim.next_timeout().unwrap_or(Micros::MAX).min(self.clock.next_tick)
    }

    /// Runs all timers that are due at `now`.
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
            self.clock.next_tick +=
                TICK_INTERVAL * (self.sessions.len() / SESSIONS_PER_ADDED_INTERVAL) as Micros;
            self.refresh_members(now);
            self.report_rejections(now);
        }
    }

    /// Records the time of a call and detects a stall if more than [`STALL_THRESHOLD`] has passed since the
    /// last one.
    pub(super) fn observe_time(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.clock.last_call);
        self.clock.last_call = now;
        if gap <= STALL_THRESHOLD {
            return;
        }
        // The other members continued while this process did not run. Its evidence is outdated, and its
        // timers are postponed, as no answer could have reached it.
        self.counts.standstills += 1;
        self.swim.postpone_timers(gap);
        self.reset_evidence(now, format!("this server stood still for {} ms", gap / 1_000));
    }

    /// Discards all evidence: members do not count as reachable until they are heard again.
    pub(super) fn reset_evidence(&mut self, now: Micros, cause: String) {
        self.clock.evidence_valid_from = now;
        self.sessions.values_mut().for_each(Session::reset_evidence);
        if let Some(change) = self.partition.reset(now, self.config.evidence_timeout()) {
            let event = Event::PartitionStatusChanged { from: change.from, to: change.to, cause };
            self.outbox.push_event(event);
        }
    }

    /// Sends heartbeats to members to which nothing was sent for a heartbeat interval, and hellos to members
    /// that have not completed the handshake. A fenced server sends hellos only.
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
            self.send_body(now, &process.name, Body::Heartbeat(build_info), Delivery::PreferDatagram);
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
    /// Direct evidence takes precedence: this server announces itself again to each reachable member that
    /// gossip does not list as active, and to all reachable members while gossip is idle. Without this, two
    /// members would never rejoin once the only message was lost that would have restarted gossip
    /// (docs/incidents/apart-for-ever.md).
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

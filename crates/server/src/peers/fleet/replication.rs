//! Runs this server's replica of the fleet's replicated store: [`Replica`] decides, the disk thread writes,
//! and operators' requests wait here for their responses.
//!
//! Requests for work never wait for the replica. A disk that fails, is full or holds unreadable data costs
//! this server its part in the replicated store until the disk works again, and nothing else. So does an
//! error in the replica's program: it is started again from its disk.

mod disk;
mod event_log;
mod requests;

use std::collections::VecDeque;

use async_channel::{bounded, Receiver, Sender};
use slog::{error, warn, Logger};
use umberloom_membership::{MemberName, Membership};
use umberloom_operator_config::Record as Settings;
use umberloom_replicated_store::{Action, Micros, Priority, Replica};
use umberloom_store::writer::Writer;
use umberloom_store::WriteBatch;

use crate::messages::fleet::REPLICATION_CHANNEL;
use crate::wire::replicated_store::{StoreRequest, StoreResponse};
pub use disk::DiskEvent;
use disk::{DISK_EVENT_CAPACITY, MIN_REOPEN_BACKOFF};
use requests::RequestQueue;
pub use requests::RequestSource;

/// Interval between updates of which members are reachable, and between checks of pending operators'
/// requests.
const REACHABILITY_INTERVAL: Micros = 50_000;
/// Maximum rounds of actions in a row: without a disk each round may cause another, as every batch is durable
/// at once.
const MAX_ACTION_ROUNDS: usize = 64;

/// A batch that has not been handed to the disk thread, with the number that the replica gave it.
struct UnwrittenBatch {
    number: u64,
    batch: WriteBatch,
}

/// How the use of a replica has ended.
enum ReplicaEnd {
    /// It is wrong: its store is quarantined.
    Quarantine { reason: String },
    /// It is started again from its store.
    Restart { reason: String },
}

/// Why there is no replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closed {
    /// The store is being opened for the first time.
    Opening,
    /// The disk failed.
    DiskFailed,
    /// The replica has ended, and is started again.
    ReplicaEnded,
}

impl Closed {
    /// Why requests of operators are rejected.
    fn rejection(self) -> &'static str {
        match self {
            Closed::Opening => "its disk is being opened",
            Closed::DiskFailed => "its disk can't be used now",
            Closed::ReplicaEnded => "its replica is being started again",
        }
    }
}

/// Runs this server's replica: connects it with the disk thread, the other members and operators' requests.
pub struct ReplicationActor {
    settings: Settings,
    /// `None` while the store is closed or being opened.
    replica: Option<Replica>,
    /// `None` without a disk, and while the store is closed.
    writer: Option<Writer>,
    disk_event_sender: Sender<DiskEvent>,
    disk_events: Receiver<DiskEvent>,
    /// Batches for which the disk thread's queue has no room yet.
    unwritten: VecDeque<UnwrittenBatch>,
    /// Why there is no replica, while there is none. It stays as it is while the store is tried again, which
    /// takes its time on a busy machine.
    closed: Closed,
    /// When the closed store is opened again; `None` while it is open or being opened.
    reopen_at: Option<Micros>,
    /// Delay before the next reopening.
    reopen_backoff: Micros,
    /// When the store was last opened.
    opened_at: Micros,
    /// The replica on the disk must not be used: it is quarantined when the store is opened next.
    quarantine_on_open: bool,
    /// Set after the disk was full: a snapshot later than this index is needed, which may be smaller and fit.
    snapshot_after: Option<u64>,
    next_reachability_update: Micros,
    next_scrub: Micros,
    /// Seed of the next replica's random numbers; changes with each one.
    seed: u64,
    requests: RequestQueue,
    log: Logger,
}

impl ReplicationActor {
    /// Creates the actor and starts to open the store on its disk thread.
    pub fn new(now: Micros, settings: Settings, seed: u64, log: Logger) -> ReplicationActor {
        let (disk_event_sender, disk_events) = bounded(DISK_EVENT_CAPACITY);
        let mut actor = ReplicationActor {
            replica: None,
            writer: None,
            disk_event_sender,
            disk_events,
            unwritten: VecDeque::new(),
            closed: Closed::Opening,
            reopen_at: None,
            reopen_backoff: MIN_REOPEN_BACKOFF,
            opened_at: now,
            quarantine_on_open: false,
            snapshot_after: None,
            next_reachability_update: now,
            next_scrub: now + settings.scrub_interval,
            seed,
            requests: RequestQueue::default(),
            settings,
            log,
        };
        actor.open_disk(now);
        actor
    }

    /// Events of the disk thread, for [`ReplicationActor::handle_disk_event`]. Call this again after each
    /// event: a reopened store uses another channel.
    pub fn disk_events(&self) -> Receiver<DiskEvent> {
        self.disk_events.clone()
    }

    /// Handles a message from another member's replica.
    pub fn handle_message(&mut self, now: Micros, from: &MemberName, boot_id: u64, bytes: &[u8]) {
        if let Some(replica) = &mut self.replica {
            replica.handle_message(now, from, boot_id, bytes);
        }
    }

    /// Handles an operator's request, made at this Unix time in milliseconds; the response comes with
    /// [`ReplicationActor::take_responses`].
    pub fn handle_request(&mut self, now: Micros, at_ms: u64, source: RequestSource, request: StoreRequest) {
        match &mut self.replica {
            Some(replica) => self.requests.handle_request(now, at_ms, source, request, replica),
            None => self.requests.reject_without_replica(source, self.closed.rejection()),
        }
    }

    /// Applies changed settings, among them the fleet's members.
    pub fn reconfigure(&mut self, settings: Settings) {
        if let Some(replica) = &mut self.replica {
            replica.set_peers(settings.config.peers.clone());
        }
        self.settings = settings;
    }

    /// Tells the replica that this server shuts down.
    pub fn leave(&mut self, now: Micros) {
        if let Some(replica) = &mut self.replica {
            replica.leave(now);
        }
    }

    /// When [`ReplicationActor::handle_timeout`] is due next.
    pub fn next_timeout(&self) -> Micros {
        let replica = self.replica.as_ref().map_or(Micros::MAX, Replica::next_timeout);
        let reopen = self.reopen_at.unwrap_or(Micros::MAX);
        let requests = if self.requests.has_pending() { self.next_reachability_update } else { Micros::MAX };
        replica.min(reopen).min(requests)
    }

    /// Handles what is due by now and executes the replica's actions.
    pub fn handle_timeout(&mut self, now: Micros, membership: &mut Membership, load_percent: u8) {
        if self.reopen_at.is_some_and(|at| now >= at) {
            self.open_disk(now);
        }
        self.update_reachability(now, membership, load_percent);
        if let Some(replica) = self.replica.as_mut().filter(|replica| now >= replica.next_timeout()) {
            replica.handle_timeout(now);
        }
        if now >= self.next_scrub {
            self.next_scrub = now + self.settings.scrub_interval;
            if let Some(writer) = &self.writer {
                // If the disk thread is busy, the scrub is requested again after the next interval.
                let _ = writer.scrub();
            }
        }
        self.execute_actions(now, membership);
        self.requests.answer_pending(now, self.replica.as_mut());
        // Proposing a write again may have caused more actions.
        self.execute_actions(now, membership);
    }

    /// Takes the responses to operators' requests that are ready.
    pub fn take_responses(&mut self) -> Vec<(RequestSource, StoreResponse)> {
        self.requests.take_responses()
    }

    fn update_reachability(&mut self, now: Micros, membership: &mut Membership, load_percent: u8) {
        let Some(replica) = &mut self.replica else { return };
        if now < self.next_reachability_update {
            return;
        }
        self.next_reachability_update = now + REACHABILITY_INTERVAL;
        let reachable = membership.reachable(now).into_iter().map(|(name, _)| name);
        replica.set_reachable(reachable, load_percent);
    }

    /// Executes the replica's actions until there are no more, or until batches wait for room in the disk
    /// thread's queue.
    fn execute_actions(&mut self, now: Micros, membership: &mut Membership) {
        for _ in 0..MAX_ACTION_ROUNDS {
            let Some(replica) = &mut self.replica else { return };
            let actions = replica.take_actions();
            for event in replica.take_events() {
                event_log::log_event(&self.log, event);
            }
            if actions.is_empty() && self.unwritten.is_empty() {
                return;
            }
            if let Some(end) = self.execute_round(now, membership, actions) {
                return self.end_replica(now, end);
            }
            let unwritten_before = self.unwritten.len();
            self.write_batches(now);
            if self.unwritten.len() == unwritten_before && unwritten_before > 0 {
                return;
            }
        }
    }

    /// Closes the store of a replica that this process can't use any more, and schedules its reopening.
    fn end_replica(&mut self, now: Micros, end: ReplicaEnd) {
        match end {
            ReplicaEnd::Quarantine { reason } => {
                warn!(self.log, "replica quarantined"; "reason" => reason);
                self.quarantine_on_open = true;
            }
            ReplicaEnd::Restart { reason } => {
                let restart_in_ms = self.next_reopen_backoff(now) / 1_000;
                error!(self.log, "replica ended"; "reason" => reason, "restart_in_ms" => restart_in_ms);
            }
        }
        self.schedule_reopen(now, Closed::ReplicaEnded);
    }

    /// Sends messages and queues batches; returns how the use of the replica has ended, if it has.
    fn execute_round(
        &mut self,
        now: Micros,
        membership: &mut Membership,
        actions: Vec<Action>,
    ) -> Option<ReplicaEnd> {
        let mut end = None;
        for action in actions {
            match action {
                Action::Send { to, bytes, priority: Priority::Heartbeat | Priority::Vote } => {
                    membership.send(now, &to, REPLICATION_CHANNEL, bytes);
                }
                Action::Send { to, bytes, priority: Priority::Entry | Priority::Snapshot } => {
                    membership.send_bulk(now, &to, REPLICATION_CHANNEL, bytes);
                }
                Action::Persist { number, batch } => {
                    self.unwritten.push_back(UnwrittenBatch { number, batch });
                }
                Action::Quarantine { reason } => end = Some(ReplicaEnd::Quarantine { reason }),
                Action::Restart { reason } => end = Some(ReplicaEnd::Restart { reason }),
            }
        }
        end
    }

    /// Hands batches to the disk thread until its queue is full. Without a disk they are durable at once.
    fn write_batches(&mut self, now: Micros) {
        while let Some(UnwrittenBatch { number, batch }) = self.unwritten.pop_front() {
            match (&self.writer, &mut self.replica) {
                (Some(writer), _) => {
                    if let Err(batch) = writer.commit(number, batch) {
                        self.unwritten.push_front(UnwrittenBatch { number, batch });
                        return;
                    }
                }
                (None, Some(replica)) => replica.persisted(now, number),
                (None, None) => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;

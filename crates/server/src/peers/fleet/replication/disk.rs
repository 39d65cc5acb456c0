//! Opens the store on the disk and handles failures of the disk.

use async_channel::bounded;
use slog::{error, info, warn};
use umberloom_replicated_store::log::KEYSPACES;
use umberloom_replicated_store::{Micros, Replica, StoredReplica, StoredReplicaError};
use umberloom_store::disk::RealDisk;
use umberloom_store::writer::{OpenedStore, Quarantined, Writer, WriterEvent};
use umberloom_store::{Config as StoreConfig, StoreError};

use super::{Closed, ReplicationActor};

/// Number of batches that may wait for the disk thread.
const WRITE_QUEUE_CAPACITY: usize = 64;
/// Number of events of the disk thread that may wait to be handled; the thread blocks while there are more.
pub(super) const DISK_EVENT_CAPACITY: usize = 256;
/// Initial delay before a failed disk is opened again; it doubles with each failure up to
/// [`MAX_REOPEN_BACKOFF`].
pub(super) const MIN_REOPEN_BACKOFF: Micros = 250_000;
const MAX_REOPEN_BACKOFF: Micros = 8_000_000;
/// Once a disk has been in use for this long, the delay after its next failure is [`MIN_REOPEN_BACKOFF`]
/// again.
const BACKOFF_RESET_AFTER: Micros = 10_000_000;

/// An event that the disk thread reports.
pub enum DiskEvent {
    /// The store was opened.
    Opened(Box<OpenedReplica>),
    /// Any other event of the store's writer.
    Writer(WriterEvent),
}

/// An opened store and the replica found in it, which the disk thread decodes because that may take long.
pub struct OpenedReplica {
    replica: Result<Option<StoredReplica>, StoredReplicaError>,
    store: OpenedStore,
}

impl ReplicationActor {
    /// Starts a thread that opens the store. Without a configured folder the replica starts empty each time.
    pub(super) fn open_disk(&mut self, now: Micros) {
        self.reopen_at = None;
        let Some(folder) = self.settings.folder.clone() else {
            return self.start_replica(now, None);
        };
        let config = StoreConfig { max_bytes: self.settings.max_bytes, ..StoreConfig::new(folder) };
        let quarantine = std::mem::take(&mut self.quarantine_on_open);
        let events = self.disk_event_sender.clone();
        let report = move |event| {
            let event = match event {
                WriterEvent::Opened(mut store) => {
                    let replica = StoredReplica::read(std::mem::take(&mut store.rows));
                    DiskEvent::Opened(Box::new(OpenedReplica { replica, store }))
                }
                other => DiskEvent::Writer(other),
            };
            // Fails if the store was closed meanwhile, and then nobody needs the event.
            let _ = events.send_blocking(event);
        };
        match Writer::open(RealDisk, config, &KEYSPACES, quarantine, WRITE_QUEUE_CAPACITY, report) {
            Ok(writer) => self.writer = Some(writer),
            Err(e) => {
                warn!(self.log, "store thread failed to start"; "error" => %e);
                self.schedule_reopen(now, Closed::DiskFailed);
            }
        }
    }

    /// The delay after which a store that is closed now is reopened.
    pub(super) fn next_reopen_backoff(&self, now: Micros) -> Micros {
        if now >= self.opened_at + BACKOFF_RESET_AFTER {
            MIN_REOPEN_BACKOFF
        } else {
            self.reopen_backoff
        }
    }

    /// Closes the store and schedules its reopening after the backoff.
    pub(super) fn schedule_reopen(&mut self, now: Micros, closed: Closed) {
        let backoff = self.next_reopen_backoff(now);
        self.replica = None;
        // Without a writer, the old thread ends once it has processed its queue.
        self.writer = None;
        self.unwritten.clear();
        // With a new channel, events that the old thread still reports about the closed store are discarded.
        (self.disk_event_sender, self.disk_events) = bounded(DISK_EVENT_CAPACITY);
        self.closed = closed;
        self.reopen_at = Some(now + backoff);
        self.reopen_backoff = (2 * backoff).min(MAX_REOPEN_BACKOFF);
    }

    /// Handles an event of the disk thread.
    pub fn handle_disk_event(&mut self, now: Micros, event: DiskEvent) {
        let event = match event {
            DiskEvent::Opened(opened) => return self.handle_opened(now, *opened),
            DiskEvent::Writer(event) => event,
        };
        match event {
            WriterEvent::Opened(_) | WriterEvent::Scrubbed(Ok(())) => {}
            WriterEvent::Durable { number, .. } => self.handle_durable(now, number),
            WriterEvent::Failed { error, .. } | WriterEvent::Closed(error) => {
                self.handle_disk_failure(now, &error);
            }
            WriterEvent::Scrubbed(Err(error)) => {
                self.quarantine_on_open |= error.is_damage();
                self.handle_disk_failure(now, &error);
            }
        }
    }

    fn handle_durable(&mut self, now: Micros, number: u64) {
        let Some(replica) = &mut self.replica else { return };
        if replica.installed_snapshot() > 0 {
            // A snapshot did fit on the disk.
            self.snapshot_after = None;
        }
        replica.persisted(now, number);
    }

    fn handle_opened(&mut self, now: Micros, opened: OpenedReplica) {
        self.opened_at = now;
        let OpenedReplica { replica, store } = opened;
        if let Some(Quarantined { path: moved_to, reason }) = &store.quarantined {
            error!(self.log, "stored replica quarantined"; "reason" => reason, "moved_to" => %moved_to.display());
        }
        match replica {
            Ok(replica) => {
                let found_replica = replica.is_some();
                info!(self.log, "store opened"; "commits" => store.generation, "found_replica" => found_replica);
                self.start_replica(now, replica);
            }
            Err(e) => {
                error!(self.log, "stored replica is invalid"; "error" => %e);
                self.quarantine_on_open = true;
                self.schedule_reopen(now, Closed::DiskFailed);
            }
        }
    }

    fn start_replica(&mut self, now: Micros, stored: Option<StoredReplica>) {
        self.seed = self.seed.wrapping_add(1);
        match Replica::new(now, self.settings.config.clone(), stored, self.seed) {
            Ok(mut replica) => {
                if let Some(after) = self.snapshot_after {
                    replica.request_snapshot_after(after);
                }
                self.replica = Some(replica);
            }
            Err(e) => error!(self.log, "replicated store configuration is invalid"; "error" => %e),
        }
    }

    fn handle_disk_failure(&mut self, now: Micros, error: &StoreError) {
        let retry_in_ms = self.next_reopen_backoff(now) / 1_000;
        warn!(self.log, "store disk failed"; "error" => %error, "retry_in_ms" => retry_in_ms);
        if matches!(error, StoreError::Full { .. }) {
            let installed_index = self.replica.as_ref().map_or(0, Replica::installed_snapshot);
            self.snapshot_after = Some(installed_index.max(self.snapshot_after.unwrap_or(0)));
        }
        // Damage found while writing is reported in `error`; the next thread quarantines the file on opening
        // it.
        self.schedule_reopen(now, Closed::DiskFailed);
    }
}

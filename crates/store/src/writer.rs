//! A thread that owns a store, so that latency-sensitive threads never wait for a disk.
//!
//! Numbered batches go into a bounded queue; waiting batches are grouped into one commit. After the first
//! commit that fails, all later batches are discarded until the store has been opened again, as a batch must
//! never be applied without the ones before it.

use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::JoinHandle;

use crate::batch::WriteBatch;
use crate::disk::Disk;
use crate::error::StoreError;
use crate::store::{Config, Row, Store};

/// Maximum number of batches in one commit.
const MAX_BATCHES_PER_COMMIT: usize = 256;

/// A job for the thread.
enum Job {
    Commit { number: u64, batch: WriteBatch },
    Scrub,
    Compact,
}

/// The state of the store when the thread opened it.
#[derive(Debug, Default)]
pub struct OpenedStore {
    /// All rows of the requested spaces.
    pub rows: Vec<(u8, Vec<Row>)>,
    /// The file that was quarantined, if there was one.
    pub quarantined: Option<Quarantined>,
    /// The number of commits so far.
    pub generation: u64,
}

/// A file that was quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Its new path.
    pub path: PathBuf,
    /// Why it must not be used.
    pub reason: String,
}

/// An event that the thread reports.
#[derive(Debug)]
pub enum WriterEvent {
    /// The store is open.
    Opened(OpenedStore),
    /// The store can't be opened; the thread ends.
    Closed(StoreError),
    /// All batches up to and including a number are durable.
    Durable {
        /// The number of the last batch.
        number: u64,
        /// The number of commits so far.
        generation: u64,
    },
    /// A commit has failed: none of the batches from this number on is known to be durable, and the thread
    /// discards all further batches.
    Failed {
        /// The number of the first batch in the failed commit.
        number: u64,
        /// Why the commit failed.
        error: StoreError,
    },
    /// A scrub has ended, with its result.
    Scrubbed(Result<(), StoreError>),
}

/// The handle of the thread. Dropping it ends the thread once all queued jobs are done, without waiting for
/// it.
#[derive(Debug)]
pub struct Writer {
    jobs: Option<SyncSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread with an open store and a queue for `queue_capacity` jobs. `notify` is called on the
    /// thread and must not block.
    pub fn start(
        store: Store,
        queue_capacity: usize,
        notify: impl Fn(WriterEvent) + Send + 'static,
    ) -> io::Result<Writer> {
        Writer::spawn(queue_capacity, move |jobs| run(store, &jobs, notify))
    }

    /// Starts the thread, which opens the store itself, as that may take long, and reads all rows of
    /// `spaces`. An existing file is quarantined first if it is damaged, or in any case with
    /// `quarantine_existing`.
    pub fn open(
        disk: impl Disk + Send + 'static,
        config: Config,
        spaces: &'static [u8],
        quarantine_existing: bool,
        queue_capacity: usize,
        notify: impl Fn(WriterEvent) + Send + 'static,
    ) -> io::Result<Writer> {
        Writer::spawn(queue_capacity, move |jobs| {
            match open_and_read(&disk, &config, spaces, quarantine_existing) {
                Ok((store, opened)) => {
                    notify(WriterEvent::Opened(opened));
                    run(store, &jobs, notify);
                }
                Err(error) => notify(WriterEvent::Closed(error)),
            }
        })
    }

    fn spawn(queue_capacity: usize, body: impl FnOnce(Receiver<Job>) + Send + 'static) -> io::Result<Writer> {
        let (jobs, received) = sync_channel(queue_capacity);
        let builder = std::thread::Builder::new().name("store".to_owned());
        let thread = builder.spawn(move || body(received))?;
        Ok(Writer { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Queues a batch for commit; `number` must be higher than that of the batch before it. `Err` returns the
    /// batch if the queue is full or the thread has ended.
    pub fn commit(&self, number: u64, batch: WriteBatch) -> Result<(), WriteBatch> {
        self.enqueue(Job::Commit { number, batch }).map_err(|job| match job {
            Job::Commit { batch, .. } => batch,
            Job::Scrub | Job::Compact => WriteBatch::new(),
        })
    }

    /// Queues a check of all rows; returns `false` if the queue is full or the thread has ended.
    pub fn scrub(&self) -> bool {
        self.enqueue(Job::Scrub).is_ok()
    }

    /// Queues a compaction; returns `false` if the queue is full or the thread has ended.
    pub fn compact(&self) -> bool {
        self.enqueue(Job::Compact).is_ok()
    }

    fn enqueue(&self, job: Job) -> Result<(), Job> {
        let Some(jobs) = &self.jobs else { return Err(job) };
        jobs.try_send(job).map_err(|error| match error {
            TrySendError::Full(job) | TrySendError::Disconnected(job) => job,
        })
    }

    /// Ends the thread once all queued jobs are done, and waits for its end.
    pub fn finish(mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // An error means that `notify` panicked, which the panic hook has printed already.
            let _ = thread.join();
        }
    }
}

/// Opens the store, after quarantining the existing file where need be, and reads all rows of `spaces`.
fn open_and_read(
    disk: &dyn Disk,
    config: &Config,
    spaces: &[u8],
    quarantine_existing: bool,
) -> Result<(Store, OpenedStore), StoreError> {
    let mut quarantined = None;
    if quarantine_existing && disk.exists(&config.file()) {
        let path = Store::quarantine(disk, config)?;
        quarantined = Some(Quarantined { path, reason: "the stored replica must not be used".to_owned() });
    }
    let store = match Store::open(disk, config) {
        Err(error) if error.is_damage() => {
            let path = Store::quarantine(disk, config)?;
            quarantined = Some(Quarantined { path, reason: error.to_string() });
            Store::open(disk, config)?
        }
        opened => opened?,
    };
    let read = |space: &u8| Ok((*space, store.range(*space, &[], None, usize::MAX)?));
    let rows = spaces.iter().map(read).collect::<Result<Vec<_>, StoreError>>()?;
    let generation = store.generation();
    Ok((store, OpenedStore { rows, quarantined, generation }))
}

/// The thread's loop. It ends when the handle has been dropped and all jobs are done.
fn run(mut store: Store, jobs: &Receiver<Job>, notify: impl Fn(WriterEvent)) {
    let mut failed = false;
    let mut next = jobs.recv().ok();
    while let Some(job) = next.take() {
        match job {
            Job::Commit { number, batch } => {
                let group = GroupCommit::collect(number, batch, jobs);
                next = group.next_job;
                if !failed {
                    match store.commit(&group.batch) {
                        Ok(generation) => {
                            notify(WriterEvent::Durable { number: group.last_number, generation });
                        }
                        Err(error) => {
                            failed = true;
                            notify(WriterEvent::Failed { number, error });
                        }
                    }
                }
            }
            Job::Scrub => notify(WriterEvent::Scrubbed(store.scrub())),
            // An error is ignored: removed rows then only keep their disk space until a later compaction.
            Job::Compact => drop(store.compact()),
        }
        if next.is_none() {
            next = jobs.recv().ok();
        }
    }
}

/// Waiting batches that are merged into one commit.
struct GroupCommit {
    /// The changes of all batches.
    batch: WriteBatch,
    /// The number of the last batch.
    last_number: u64,
    /// The job that was taken from the queue and is not a commit, so that it ended the group.
    next_job: Option<Job>,
}

impl GroupCommit {
    /// Takes waiting batches from the queue, up to the first job of another kind or
    /// [`MAX_BATCHES_PER_COMMIT`] batches.
    fn collect(number: u64, batch: WriteBatch, jobs: &Receiver<Job>) -> GroupCommit {
        let mut group = GroupCommit { batch, last_number: number, next_job: None };
        for _ in 1..MAX_BATCHES_PER_COMMIT {
            match jobs.try_recv() {
                Ok(Job::Commit { number, batch }) => {
                    group.last_number = number;
                    group.batch = group.batch.then(batch);
                }
                Ok(other) => {
                    group.next_job = Some(other);
                    break;
                }
                Err(_) => break,
            }
        }
        group
    }
}

//! A thread of its own for a store, so that nobody who decides waits for a disk.
//!
//! Batches go into a bounded queue with a number; several that wait become one commit. After the first that fails all that
//! follow are refused in their order, until the store has been opened anew: a later batch must never be there without the
//! ones before it.

use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::JoinHandle;

use crate::batch::WriteBatch;
use crate::disk::Disk;
use crate::error::StoreError;
use crate::store::{Config, Row, Store};

/// Batches that become one commit at most.
const MAX_GROUP_COMMIT: usize = 256;

/// What the thread is asked to do.
enum Job {
    Commit { number: u64, batch: WriteBatch },
    Scrub,
    Compact,
}

/// What was found when the thread opened the store.
#[derive(Debug, Default)]
pub struct OpenedStore {
    /// All rows of the spaces that were asked for.
    pub rows: Vec<(u8, Vec<Row>)>,
    /// The file that was quarantined, if there was one.
    pub quarantined: Option<Quarantined>,
    /// How many commits there had been.
    pub generation: u64,
}

/// A file that was quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Its new name.
    pub path: PathBuf,
    /// Why it is not to be used.
    pub reason: String,
}

/// What the thread reports.
#[derive(Debug)]
pub enum WriterEvent {
    /// The store is open.
    Opened(OpenedStore),
    /// The store cannot be opened; the thread has ended.
    Closed(StoreError),
    /// All batches up to a number are durable.
    Durable {
        /// The number of the last batch.
        number: u64,
        /// Commits so far.
        generation: u64,
    },
    /// From this batch on nothing is durable; the thread takes no further batches.
    Failed {
        /// The number of the first batch that is not durable.
        number: u64,
        /// Why its commit failed.
        error: StoreError,
    },
    /// All rows were read and checked.
    Scrubbed(Result<(), StoreError>),
}

/// The handle of the thread. Dropping it ends the thread once all that was asked for is done, without waiting.
#[derive(Debug)]
pub struct Writer {
    jobs: Option<SyncSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread with an open store. `notify` is called on the thread, and must not block.
    pub fn start(
        store: Store,
        queue: usize,
        notify: impl Fn(WriterEvent) + Send + 'static,
    ) -> io::Result<Writer> {
        Writer::spawn(queue, move |jobs| run(store, &jobs, notify))
    }

    /// Starts the thread and has it open the store, which may take long. A damaged file is quarantined first, and with
    /// `fresh` whatever file is there.
    pub fn open(
        disk: impl Disk + Send + 'static,
        config: Config,
        spaces: &'static [u8],
        fresh: bool,
        queue: usize,
        notify: impl Fn(WriterEvent) + Send + 'static,
    ) -> io::Result<Writer> {
        Writer::spawn(queue, move |jobs| match open_and_read(&disk, &config, spaces, fresh) {
            Ok((store, opened)) => {
                notify(WriterEvent::Opened(opened));
                run(store, &jobs, notify);
            }
            Err(error) => notify(WriterEvent::Closed(error)),
        })
    }

    fn spawn(queue: usize, body: impl FnOnce(Receiver<Job>) + Send + 'static) -> io::Result<Writer> {
        let (jobs, received) = sync_channel(queue);
        let builder = std::thread::Builder::new().name("store".to_owned());
        let thread = builder.spawn(move || body(received))?;
        Ok(Writer { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Asks for a commit; `Err` returns the batch: the queue is full or the thread has ended.
    pub fn commit(&self, number: u64, batch: WriteBatch) -> Result<(), WriteBatch> {
        self.enqueue(Job::Commit { number, batch }).map_err(|job| match job {
            Job::Commit { batch, .. } => batch,
            Job::Scrub | Job::Compact => WriteBatch::new(),
        })
    }

    /// Asks for a check of all rows; whether the queue had room for that.
    pub fn scrub(&self) -> bool {
        self.enqueue(Job::Scrub).is_ok()
    }

    /// Asks for free space to be given back; whether the queue had room for that.
    pub fn compact(&self) -> bool {
        self.enqueue(Job::Compact).is_ok()
    }

    fn enqueue(&self, job: Job) -> Result<(), Job> {
        let Some(jobs) = &self.jobs else { return Err(job) };
        jobs.try_send(job).map_err(|error| match error {
            TrySendError::Full(job) | TrySendError::Disconnected(job) => job,
        })
    }

    /// Ends the thread once all that was asked for is done, and waits for that.
    pub fn finish(mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // An error is the panic of `notify`, which was printed there.
            let _ = thread.join();
        }
    }
}

fn open_and_read(
    disk: &dyn Disk,
    config: &Config,
    spaces: &[u8],
    fresh: bool,
) -> Result<(Store, OpenedStore), StoreError> {
    let mut quarantined = None;
    if fresh && disk.exists(&config.file()) {
        let path = Store::quarantine(disk, config)?;
        quarantined = Some(Quarantined { path, reason: "its copy is not to be used".to_owned() });
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

/// The thread's loop; it ends when the handle is gone and all jobs are done.
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
            // What is free stays free if it can't be given back now.
            Job::Compact => drop(store.compact()),
        }
        if next.is_none() {
            next = jobs.recv().ok();
        }
    }
}

/// Batches that become one commit.
struct GroupCommit {
    batch: WriteBatch,
    last_number: u64,
    /// The job that ended the group.
    next_job: Option<Job>,
}

impl GroupCommit {
    /// Takes the batches that wait already, up to the first other job.
    fn collect(number: u64, batch: WriteBatch, jobs: &Receiver<Job>) -> GroupCommit {
        let mut group = GroupCommit { batch, last_number: number, next_job: None };
        for _ in 1..MAX_GROUP_COMMIT {
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

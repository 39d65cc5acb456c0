//! A thread of its own for a store: nobody who decides waits for a disk.
//!
//! Batches go in with a number, in a bounded queue; several that wait become one commit. After the first that fails all
//! that follow are refused in their order, until the store has been opened anew: a later batch must never be there without
//! the ones before it.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::JoinHandle;

use std::path::PathBuf;

use crate::disk::Disk;
use crate::error::StoreError;
use crate::store::{Config, Row, Store, WriteBatch};

/// Batches that become one commit at most.
const MAX_GROUP_COMMIT: usize = 256;

/// What is to be done.
enum Job {
    Commit(u64, WriteBatch),
    Scrub,
    Compact,
}

/// What was found when the thread opened the store.
#[derive(Debug, Default)]
pub struct OpenedStore {
    /// All rows of the spaces that were asked for.
    pub rows: Vec<(u8, Vec<Row>)>,
    /// What was there could not be read: where it is now, and what was wrong with it.
    pub quarantined: Option<(PathBuf, String)>,
    /// How many commits there had been.
    pub generation: u64,
}

/// What has been done.
#[derive(Debug)]
pub enum WriterEvent {
    /// The store is open.
    Opened(OpenedStore),
    /// It can't be opened; the thread has ended.
    Closed(StoreError),
    /// All batches up to this number are durable; how often it was synced so far, and bytes of all rows.
    Durable(u64, u64),
    /// From this number on nothing is durable; the thread takes no further batches.
    Failed(u64, StoreError),
    /// All rows were read: what was found.
    Scrubbed(Result<(), StoreError>),
}

/// The thread's mailbox.
#[derive(Debug)]
pub struct Writer {
    jobs: Option<SyncSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread; `tell` is called there, and must not wait.
    pub fn start(
        store: Store,
        queue: usize,
        tell: impl Fn(WriterEvent) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let (jobs, taken) = sync_channel(queue);
        let thread =
            std::thread::Builder::new().name("store".to_owned()).spawn(move || run(store, taken, tell))?;
        Ok(Writer { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Starts the thread and has it open the store, which may take long. What is damaged is set aside first; `fresh` sets
    /// aside whatever is there.
    pub fn open(
        disk: impl Disk + Send + 'static,
        config: Config,
        spaces: &'static [u8],
        fresh: bool,
        queue: usize,
        tell: impl Fn(WriterEvent) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let (jobs, taken) = sync_channel(queue);
        let open = move || {
            let mut aside = None;
            if fresh && disk.exists(&config.file()) {
                aside = Some((Store::quarantine(&disk, &config)?, "its copy is not to be used".to_owned()));
            }
            let mut store = Store::open(&disk, &config);
            if let Some(why) = store.as_ref().err().filter(|why| why.is_damage()).map(ToString::to_string) {
                aside = Some((Store::quarantine(&disk, &config)?, why));
                store = Store::open(&disk, &config);
            }
            let store = store?;
            let rows = spaces.iter().map(|space| Ok((*space, store.range(*space, &[], None, usize::MAX)?)));
            let rows = rows.collect::<Result<Vec<_>, StoreError>>()?;
            let generation = store.generation();
            Ok((store, OpenedStore { rows, quarantined: aside, generation }))
        };
        let thread = std::thread::Builder::new().name("store".to_owned()).spawn(move || match open() {
            Ok((store, found)) => {
                tell(WriterEvent::Opened(found));
                run(store, taken, tell);
            }
            Err(why) => tell(WriterEvent::Closed(why)),
        })?;
        Ok(Writer { jobs: Some(jobs), thread: Some(thread) })
    }

    fn enqueue(&self, job: Job) -> Result<(), Job> {
        let Some(jobs) = &self.jobs else { return Err(job) };
        jobs.try_send(job).map_err(|e| match e {
            TrySendError::Full(job) | TrySendError::Disconnected(job) => job,
        })
    }

    /// Asks for a commit; `Err` gives the batch back: the queue is full or the thread has ended.
    pub fn commit(&self, number: u64, batch: WriteBatch) -> Result<(), WriteBatch> {
        self.enqueue(Job::Commit(number, batch)).map_err(|job| match job {
            Job::Commit(_, batch) => batch,
            _ => WriteBatch::new(),
        })
    }

    /// Asks for a reading of all rows; whether there was room for that.
    pub fn scrub(&self) -> bool {
        self.enqueue(Job::Scrub).is_ok()
    }

    /// Asks for what is free to be given back; whether there was room for that.
    pub fn compact(&self) -> bool {
        self.enqueue(Job::Compact).is_ok()
    }

    /// Ends the thread once all that was asked for is done, and waits for that. A writer that is dropped ends its thread
    /// too, and nobody waits.
    pub fn finish(mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(mut store: Store, jobs: Receiver<Job>, tell: impl Fn(WriterEvent)) {
    let mut failed = false;
    let mut next = jobs.recv().ok();
    while let Some(job) = next.take() {
        match job {
            Job::Commit(number, batch) => {
                let (mut last, mut all, mut count) = (number, batch, 1);
                while count < MAX_GROUP_COMMIT {
                    match jobs.try_recv() {
                        Ok(Job::Commit(number, more)) => {
                            (last, all) = (number, all.then(more));
                            count += 1;
                        }
                        Ok(other) => {
                            next = Some(other);
                            break;
                        }
                        Err(_) => break,
                    }
                }
                if !failed {
                    match store.commit(all) {
                        Ok(generation) => tell(WriterEvent::Durable(last, generation)),
                        Err(why) => {
                            failed = true;
                            tell(WriterEvent::Failed(number, why));
                        }
                    }
                }
            }
            Job::Scrub => tell(WriterEvent::Scrubbed(store.scrub())),
            // What is free stays free if it can't be given back now.
            Job::Compact => drop(store.compact()),
        }
        if next.is_none() {
            next = jobs.recv().ok();
        }
    }
}

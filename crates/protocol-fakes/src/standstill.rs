//! Standstills of this process: times at which the system did not run it although it had something to do.
//!
//! Stand-ins and checks run in the process of the tests. If a machine stops a core for a while, what a
//! stand-in reads was sent long before, and a server that is due to exit does not come to it. A
//! [`StandstillMonitor`] has one thread for each core, which sleeps for a short time over and over and
//! records by how much it wakes late.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet};

/// Time for which each thread sleeps.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Shortest delay of a thread that is recorded.
pub const MIN_STANDSTILL: Duration = Duration::from_millis(5);
/// How often a play is repeated at most because of a standstill.
pub const MAX_REPETITIONS: usize = 3;
/// A standstill within this time before a process is killed may be why the process has not ended by itself.
const TIME_BEFORE_KILL: Duration = Duration::from_millis(100);
/// Number of standstills that are kept, the latest ones.
const MAX_RECORDED: usize = 10_000;

/// A time during which a thread of this process was not run although it was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standstill {
    /// When the thread was due.
    pub started_at: Instant,
    /// When it was run, or the time of the question if it has not been run by then.
    pub ended_at: Instant,
}

impl Standstill {
    /// How long the thread was not run.
    pub fn length(&self) -> Duration {
        self.ended_at.saturating_duration_since(self.started_at)
    }
}

/// What the threads have recorded.
#[derive(Default)]
struct Records {
    ended: VecDeque<Standstill>,
    /// When each thread is due next.
    due_at: Vec<Instant>,
}

/// Records the standstills of this process on all cores that it may use.
pub struct StandstillMonitor(Arc<Mutex<Records>>);

/// The monitor of this process, which the first call starts.
pub fn monitor() -> &'static StandstillMonitor {
    static MONITOR: OnceLock<StandstillMonitor> = OnceLock::new();
    MONITOR.get_or_init(StandstillMonitor::start)
}

impl StandstillMonitor {
    fn start() -> StandstillMonitor {
        let cores = usable_cores();
        let due_at = vec![Instant::now() + CHECK_INTERVAL; cores.len()];
        let records = Arc::new(Mutex::new(Records { ended: VecDeque::new(), due_at }));
        for (index, core) in cores.into_iter().enumerate() {
            let records = records.clone();
            thread::spawn(move || watch(index, core, &records));
        }
        StandstillMonitor(records)
    }

    /// The standstills that overlap this time, those that have not ended included.
    pub fn between(&self, from: Instant, to: Instant) -> Vec<Standstill> {
        let now = Instant::now();
        let records = lock(&self.0);
        let ongoing = records.due_at.iter().map(|due_at| Standstill { started_at: *due_at, ended_at: now });
        let all = records.ended.iter().copied().chain(ongoing);
        all.filter(|standstill| standstill.length() >= MIN_STANDSTILL)
            .filter(|standstill| standstill.started_at <= to && standstill.ended_at >= from)
            .collect()
    }

    /// The length of the longest standstill that may have kept a process from its end until it was killed;
    /// `None` if there is none. Such a play has no verdict on that end.
    pub fn longest_before_kill(&self, killed_at: Instant) -> Option<Duration> {
        self.longest_between(killed_at - TIME_BEFORE_KILL, killed_at)
    }

    /// The length of the longest standstill that overlaps this time; `None` if there is none.
    pub fn longest_between(&self, from: Instant, to: Instant) -> Option<Duration> {
        self.between(from, to).iter().map(Standstill::length).max()
    }
}

fn lock(records: &Mutex<Records>) -> MutexGuard<'_, Records> {
    records.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The numbers of the cores that this process may use; one without a number if the system does not tell.
fn usable_cores() -> Vec<Option<usize>> {
    let Ok(allowed) = sched_getaffinity(None) else { return vec![None] };
    (0..CpuSet::MAX_CPU).filter(|core| allowed.is_set(*core)).map(Some).collect()
}

/// Records the standstills of one core for as long as the process runs.
fn watch(index: usize, core: Option<usize>, records: &Mutex<Records>) {
    if let Some(core) = core {
        let mut only = CpuSet::new();
        only.set(core);
        // If this fails, the system chooses the core.
        let _ = sched_setaffinity(None, &only);
    }
    loop {
        let due_at = Instant::now() + CHECK_INTERVAL;
        lock(records).due_at[index] = due_at;
        thread::sleep(CHECK_INTERVAL);
        let standstill = Standstill { started_at: due_at, ended_at: Instant::now() };
        if standstill.length() < MIN_STANDSTILL {
            continue;
        }
        let mut records = lock(records);
        if records.ended.len() == MAX_RECORDED {
            records.ended.pop_front();
        }
        records.ended.push_back(standstill);
    }
}

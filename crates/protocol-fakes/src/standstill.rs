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
/// A server begins its exit this long before it is killed.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(15);
/// Part of that time that a core must have stood still to explain why the server has not exited.
const MIN_EXIT_DELAY: Duration = Duration::from_micros(7_500);
/// Number of standstills that are kept, the latest ones.
const MAX_RECORDED: usize = 10_000;

/// A time during which a thread of this process was not run although it was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standstill {
    /// The number of the core; `None` if the system does not tell.
    pub core: Option<usize>,
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
    /// The core of each thread, and when the thread is due next.
    due_at: Vec<(Option<usize>, Instant)>,
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
        let first_due_at = Instant::now() + CHECK_INTERVAL;
        let due_at = cores.iter().map(|core| (*core, first_due_at)).collect();
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
        let ongoing = records.due_at.iter();
        let ongoing =
            ongoing.map(|(core, due_at)| Standstill { core: *core, started_at: *due_at, ended_at: now });
        let all = records.ended.iter().copied().chain(ongoing);
        all.filter(|standstill| standstill.length() >= MIN_STANDSTILL)
            .filter(|standstill| standstill.started_at <= to && standstill.ended_at >= from)
            .collect()
    }

    /// The longest time for which one of these cores stood still when a server that ran on it was due to
    /// exit, before it was killed; `None` if that does not explain why the server had not exited.
    pub fn exit_delay(&self, cores: &[usize], killed_at: Instant) -> Option<Duration> {
        longest_exit_delay(&self.between(killed_at - EXIT_BEFORE_KILL, killed_at), cores, killed_at)
    }

    /// The length of the longest standstill that overlaps this time; `None` if there is none.
    pub fn longest_between(&self, from: Instant, to: Instant) -> Option<Duration> {
        self.between(from, to).iter().map(Standstill::length).max()
    }
}

/// See [`StandstillMonitor::exit_delay`].
fn longest_exit_delay(standstills: &[Standstill], cores: &[usize], killed_at: Instant) -> Option<Duration> {
    let on_these_cores = standstills.iter().filter(|s| s.core.is_some_and(|core| cores.contains(&core)));
    let delay = |standstill: &Standstill| {
        let from = standstill.started_at.max(killed_at - EXIT_BEFORE_KILL);
        standstill.ended_at.min(killed_at).saturating_duration_since(from)
    };
    on_these_cores.map(delay).filter(|delay| *delay >= MIN_EXIT_DELAY).max()
}

/// The cores on which the threads of a process were last run; none if there is no such process.
pub fn cores_of_process(pid: u32) -> Vec<usize> {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return Vec::new() };
    let stats =
        threads.flatten().filter_map(|thread| std::fs::read_to_string(thread.path().join("stat")).ok());
    stats.filter_map(|stat| last_core(&stat)).collect()
}

/// The field `processor` of a thread's `stat` file. The fields are counted from the end of the thread's name,
/// which may contain spaces and parentheses.
fn last_core(stat: &str) -> Option<usize> {
    const FIELDS_BEFORE_PROCESSOR: usize = 36;
    let (_, fields) = stat.rsplit_once(')')?;
    fields.split_whitespace().nth(FIELDS_BEFORE_PROCESSOR)?.parse().ok()
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
        lock(records).due_at[index].1 = due_at;
        thread::sleep(CHECK_INTERVAL);
        let standstill = Standstill { core, started_at: due_at, ended_at: Instant::now() };
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

#[cfg(test)]
mod tests;

//! The soak: real servers that get signals in series, standstills and failing peers while they drain, and are
//! killed at the earliest moment that the protocol allows.
//!
//! Each seed draws a run ([`plan`]). A run with one server ([`play`]) has the stand-ins of [`environment`],
//! [`agent`] and [`announce`] and the clients of [`client`]; a run with a fleet ([`fleet_play`]) has those of
//! the fault harness. [`check`] says what must hold.

mod agent;
mod announce;
mod check;
mod client;
mod environment;
mod fleet_play;
mod plan;
mod play;

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;

use check::{has_no_verdict, Violation};
use plan::Plan;
use umberloom_protocol_fakes::standstill::{monitor, MAX_REPETITIONS};

/// Largest number of runs that may be played at the same time.
const MAX_JOBS: usize = 64;
/// Longest time under load before the notice, in seconds.
const MAX_SECONDS: u64 = 3_600;

/// A fault that the checks must find. It stands for the same fault of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// The kill comes 250 ms early, as if the server had taken the notice for that much later.
    LateNotice,
    /// The kill comes 20 ms early, as if the server exited that much later.
    LateExit,
    /// An answer is discarded.
    DroppedAnswer,
    /// The announce service is told `true` after the notice.
    TrueAfterNotice,
}

impl FromStr for PlantedFault {
    type Err = String;

    fn from_str(text: &str) -> Result<PlantedFault, String> {
        match text {
            "late-notice" => Ok(PlantedFault::LateNotice),
            "late-exit" => Ok(PlantedFault::LateExit),
            "dropped-answer" => Ok(PlantedFault::DroppedAnswer),
            "true-after-notice" => Ok(PlantedFault::TrueAfterNotice),
            _ => Err(format!(
                "found {text:?}, expected late-notice, late-exit, dropped-answer or true-after-notice"
            )),
        }
    }
}

/// Seeds from the first up to and including the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    first: u64,
    last: u64,
}

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<SeedRange, String> {
        let expected = || format!("found {text:?}, expected A..B with A at most B, such as 1..50");
        let (first, last) = text.split_once("..").ok_or_else(expected)?;
        let parse = |number: &str| number.parse::<u64>().map_err(|_| expected());
        let range = SeedRange { first: parse(first)?, last: parse(last)? };
        if range.first > range.last {
            return Err(expected());
        }
        Ok(range)
    }
}

/// The options of the soak.
#[derive(Clone, Debug)]
pub struct Options {
    pub server: Option<PathBuf>,
    pub seeds: SeedRange,
    /// Time under load before the notice.
    pub seconds: u64,
    /// Number of runs that are played at the same time.
    pub jobs: usize,
    pub planted_fault: Option<PlantedFault>,
}

/// Parses a number of seconds.
pub fn parse_seconds(text: &str) -> Result<u64, String> {
    parse_number(text, 1..MAX_SECONDS + 1)
}

/// Parses a number of jobs.
pub fn parse_jobs(text: &str) -> Result<usize, String> {
    parse_number(text, 1..MAX_JOBS as u64 + 1).map(|jobs| jobs as usize)
}

fn parse_number(text: &str, allowed: Range<u64>) -> Result<u64, String> {
    let number = text.parse::<u64>().ok().filter(|number| allowed.contains(number));
    number.ok_or_else(|| {
        format!("found {text:?}, expected a number from {} to {}", allowed.start, allowed.end - 1)
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A run with broken rules.
struct Failure {
    seed: u64,
    violations: Vec<Violation>,
    folder: PathBuf,
}

/// Plays all seeds, prints a line for each and the first failure with the command that plays it again.
pub fn run(options: &Options) -> Result<(), String> {
    let server = find_server(options)?;
    monitor();
    let root = std::env::temp_dir().join(format!("umberloom-soak-{}", std::process::id()));
    let next_seed = AtomicU64::new(options.seeds.first);
    let failures: Mutex<Vec<Failure>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..options.jobs {
            scope.spawn(|| {
                while let Some(seed) = take_seed(&next_seed, options.seeds.last) {
                    let folder = root.join(format!("seed-{seed}"));
                    let violations = play_to_verdict(seed, options, &server, &folder);
                    print_line(seed, options, &violations);
                    if violations.is_empty() {
                        let _ = std::fs::remove_dir_all(&folder);
                    } else {
                        lock(&failures).push(Failure { seed, violations, folder });
                    }
                }
            });
        }
    });
    let mut failures = std::mem::take(&mut *lock(&failures));
    failures.sort_by_key(|failure| failure.seed);
    let played = options.seeds.last - options.seeds.first + 1;
    println!("{} passed, {} failed", played - failures.len() as u64, failures.len());
    match failures.first() {
        None => {
            let _ = std::fs::remove_dir_all(&root);
            Ok(())
        }
        Some(first) => Err(describe(first, options)),
    }
}

/// The path of the server program, which must exist: nothing is started otherwise.
fn find_server(options: &Options) -> Result<PathBuf, String> {
    let path = match &options.server {
        Some(path) => path.clone(),
        None => crate::demo::default_server_path()?,
    };
    if path.is_file() {
        return Ok(path);
    }
    Err(format!("--server: found {}, expected the path of the server program", path.display()))
}

fn take_seed(next: &AtomicU64, last: u64) -> Option<u64> {
    next.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |seed| (seed <= last).then_some(seed + 1)).ok()
}

/// Plays the run of a seed. One in which a standstill of the machine may have kept the server from its exit
/// is repeated, and counts as it is after [`MAX_REPETITIONS`].
fn play_to_verdict(seed: u64, options: &Options, server: &Path, folder: &Path) -> Vec<Violation> {
    for _ in 0..MAX_REPETITIONS {
        let violations = play_seed(seed, options, server, folder);
        if !has_no_verdict(&violations) {
            return violations;
        }
        violations.iter().for_each(|violation| println!("seed {seed}: played again, {violation}"));
    }
    play_seed(seed, options, server, folder)
}

fn play_seed(seed: u64, options: &Options, server: &Path, folder: &Path) -> Vec<Violation> {
    match Plan::draw(seed) {
        Plan::Server(plan) => play::play(&plan, options, server, folder),
        Plan::Fleet(plan) => fleet_play::play(&plan, options, server, folder),
    }
}

fn print_line(seed: u64, options: &Options, violations: &[Violation]) {
    let played =
        format!("{}/{}", seed - options.seeds.first + 1, options.seeds.last - options.seeds.first + 1);
    match violations.first() {
        None => println!("seed {seed} ({played}): ok"),
        Some(first) => println!("seed {seed} ({played}): FAILED, {} broken: {first}", violations.len()),
    }
}

/// Describes a failure, with the command that plays it again.
fn describe(failure: &Failure, options: &Options) -> String {
    let violations: Vec<String> = failure.violations.iter().map(|v| format!("  {v}")).collect();
    format!(
        "seed {seed} broke rules:\n{}\nplan: {}\nlogs: {}\nplay it again: umberloom-loadtest soak --seeds {seed}..{seed} \
         --seconds {} --jobs 1",
        violations.join("\n"),
        Plan::draw(failure.seed),
        failure.folder.display(),
        options.seconds,
        seed = failure.seed,
    )
}

#[cfg(test)]
mod tests;

//! Fault scripts as lines of text, written by hand or generated from a seed. A printed script can be played
//! again.
//!
//! A line is a time in milliseconds and an action: `1500 cut n1 n2`. Empty lines and lines that begin with
//! `#` are ignored.

use std::fmt;
use std::str::FromStr;
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::relay::Faults;

/// The start or the end of a fault. Servers are numbered from 0 here and from `n1` in the text.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Cuts the direction from the first server to the second.
    Cut(usize, usize),
    /// Separates the named servers from all others.
    Partition(Vec<usize>),
    /// Sets the same faults on every direction between servers.
    LinkFaults {
        /// Percentage of datagrams that are lost.
        drop: u8,
        /// Percentage of datagrams that are duplicated.
        double: u8,
        /// Percentage of datagrams and of chunks of streams in which one bit is flipped.
        damage: u8,
        /// Percentage of datagrams that are delayed so that others overtake them.
        reorder: u8,
        /// Delay of everything, in milliseconds.
        late_ms: u64,
    },
    /// Drops all datagrams between servers.
    NoDatagrams,
    /// Removes all link faults, also those towards the shared dependency.
    Heal,
    /// Makes the shared dependency unreachable from this server.
    CutSharedDependency(usize),
    /// Kills the server's process.
    Kill(usize),
    /// Starts a new process if the server has none, after one that drains has ended.
    Start(usize),
    /// Suspends the server's process for this many milliseconds.
    Pause(usize, u64),
    /// Tells the server to drain and exit.
    Terminate(usize),
}

/// The names of the kinds of faults that [`Script::generate`] accepts.
pub const FAULT_KINDS: [&str; 7] = ["cut", "part", "weather", "kill", "pause", "term", "shared"];

impl fmt::Display for FaultAction {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = |server: &usize| format!("n{}", server + 1);
        match self {
            FaultAction::Cut(a, b) => write!(f, "cut {} {}", name(a), name(b)),
            FaultAction::Partition(group) => {
                write!(f, "part {}", group.iter().map(name).collect::<Vec<_>>().join(" "))
            }
            FaultAction::LinkFaults { drop, double, damage, reorder, late_ms } => {
                write!(f, "weather {drop} {double} {damage} {reorder} {late_ms}")
            }
            FaultAction::NoDatagrams => f.write_str("no-datagrams"),
            FaultAction::Heal => f.write_str("heal"),
            FaultAction::CutSharedDependency(a) => write!(f, "cut-shared {}", name(a)),
            FaultAction::Kill(a) => write!(f, "kill {}", name(a)),
            FaultAction::Start(a) => write!(f, "start {}", name(a)),
            FaultAction::Pause(a, ms) => write!(f, "pause {} {ms}", name(a)),
            FaultAction::Terminate(a) => write!(f, "term {}", name(a)),
        }
    }
}

impl FromStr for FaultAction {
    type Err = String;

    fn from_str(text: &str) -> Result<FaultAction, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let error =
            || format!("found {text:?}, expected an action such as \"cut n1 n2\" or \"pause n3 2000\"");
        let index = |word: &str| word.strip_prefix('n')?.parse::<usize>().ok()?.checked_sub(1);
        let percent = |word: &str| word.parse::<u8>().ok().filter(|p| *p <= 100);
        let parsed = match words.as_slice() {
            ["cut", a, b] => index(a).zip(index(b)).map(|(a, b)| FaultAction::Cut(a, b)),
            ["part", group @ ..] if !group.is_empty() => {
                group.iter().map(|word| index(word)).collect::<Option<_>>().map(FaultAction::Partition)
            }
            ["weather", drop, double, damage, reorder, late_ms] => (|| {
                let (drop, double) = (percent(drop)?, percent(double)?);
                let (damage, reorder) = (percent(damage)?, percent(reorder)?);
                Some(FaultAction::LinkFaults {
                    drop,
                    double,
                    damage,
                    reorder,
                    late_ms: late_ms.parse().ok()?,
                })
            })(),
            ["no-datagrams"] => Some(FaultAction::NoDatagrams),
            ["heal"] => Some(FaultAction::Heal),
            ["cut-shared", a] => index(a).map(FaultAction::CutSharedDependency),
            ["kill", a] => index(a).map(FaultAction::Kill),
            ["start", a] => index(a).map(FaultAction::Start),
            ["pause", a, ms] => index(a).zip(ms.parse().ok()).map(|(a, ms)| FaultAction::Pause(a, ms)),
            ["term", a] => index(a).map(FaultAction::Terminate),
            _ => None,
        };
        parsed.ok_or_else(error)
    }
}

/// Fault actions with their times in milliseconds after the start, ordered by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(u64, FaultAction)>);

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|(at, action)| writeln!(f, "{at} {action}"))
    }
}

impl FromStr for Script {
    type Err = String;

    fn from_str(text: &str) -> Result<Script, String> {
        let mut actions = Vec::new();
        for (number, line) in text.lines().map(str::trim).enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (at, action) = line.split_once(' ').ok_or(format!("line {}: found {line:?}", number + 1))?;
            let at = at
                .parse()
                .map_err(|_| format!("line {}: found {at:?}, expected milliseconds", number + 1))?;
            actions.push((at, action.parse().map_err(|error| format!("line {}: {error}", number + 1))?));
        }
        actions.sort_by_key(|(at, _)| *at);
        Ok(Script(actions))
    }
}

impl Script {
    /// Generates faults of these kinds for a fleet. Faults of limited duration follow one another; the
    /// restart after a `term` can overlap the next fault. The last fifth of `seconds` is free of faults.
    pub fn generate(seed: u64, servers: usize, seconds: u64, kinds: &[&str]) -> Script {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut actions, mut at, end) = (Vec::new(), 1_000, seconds * 800);
        let mut kinds = kinds.to_vec();
        kinds.shuffle(&mut random);
        while at + 500 < end {
            let duration = random.random_range(500..3_000u64);
            let end_at = (at + duration).min(end);
            let (a, b) = (random.random_range(0..servers), random.random_range(0..servers));
            match kinds.choose(&mut random).copied().unwrap_or("cut") {
                "cut" if a != b => {
                    actions.extend([(at, FaultAction::Cut(a, b)), (end_at, FaultAction::Heal)]);
                }
                "part" => {
                    let mut group: Vec<usize> = (0..servers).collect();
                    group.shuffle(&mut random);
                    group.truncate(random.random_range(1..=(servers / 2).max(1)));
                    actions.extend([(at, FaultAction::Partition(group)), (end_at, FaultAction::Heal)]);
                }
                "weather" => {
                    let mut percent = |max| random.random_range(0..=max);
                    let (drop, double, damage, reorder) =
                        (percent(30), percent(100), percent(10), percent(30));
                    let late_ms = random.random_range(0..40);
                    actions.extend([
                        (at, FaultAction::LinkFaults { drop, double, damage, reorder, late_ms }),
                        (end_at, FaultAction::Heal),
                    ]);
                }
                "kill" => actions.extend([(at, FaultAction::Kill(a)), (end_at, FaultAction::Start(a))]),
                "pause" => actions.push((at, FaultAction::Pause(a, duration))),
                "term" => {
                    actions
                        .extend([(at, FaultAction::Terminate(a)), (end_at + 2_500, FaultAction::Start(a))]);
                }
                "shared" => {
                    actions.extend([(at, FaultAction::CutSharedDependency(a)), (end_at, FaultAction::Heal)]);
                }
                _ => {}
            }
            at = end_at + random.random_range(0..1_500);
        }
        actions.push((end.max(at), FaultAction::Heal));
        actions.extend((0..servers).map(|n| (end.max(at) + 2_500, FaultAction::Start(n))));
        actions.sort_by_key(|(at, _)| *at);
        Script(actions)
    }

    /// Plays the script for `duration`, and calls `observe` at every `interval` with the elapsed time.
    pub fn play(
        &self,
        fleet: &mut Fleet,
        duration: Duration,
        interval: Duration,
        mut observe: impl FnMut(&mut Fleet, Duration),
    ) {
        let start = Instant::now();
        let mut actions: Vec<(Duration, FaultAction)> =
            self.0.iter().map(|(at, action)| (Duration::from_millis(*at), action.clone())).collect();
        // Times at which suspended servers are resumed.
        let mut resumptions: Vec<(Duration, usize)> = Vec::new();
        let mut observe_at = Duration::ZERO;
        while start.elapsed() < duration {
            let now = start.elapsed();
            while actions.first().is_some_and(|(at, _)| *at <= now) {
                let (at, action) = actions.remove(0);
                if let FaultAction::Pause(n, ms) = action {
                    resumptions.push((at + Duration::from_millis(ms), n));
                }
                action.apply(fleet);
            }
            while let Some(index) = resumptions.iter().position(|(at, _)| *at <= now) {
                let (_, n) = resumptions.remove(index);
                fleet.servers[n].set_stopped(false);
            }
            if now >= observe_at {
                observe_at = now + interval;
                observe(fleet, now);
            }
            thread::sleep(Duration::from_millis(5));
        }
        resumptions.into_iter().for_each(|(_, n)| fleet.servers[n].set_stopped(false));
    }
}

impl FaultAction {
    /// Applies the action to a fleet. [`Script::play`] resumes a server after [`FaultAction::Pause`].
    pub fn apply(&self, fleet: &mut Fleet) {
        let share = |percent: u8| f64::from(percent) / 100.0;
        match self {
            FaultAction::Cut(a, b) => fleet.change_faults(*a, *b, |faults| faults.cut = true),
            FaultAction::Partition(group) => {
                let others: Vec<usize> = (0..fleet.servers.len()).filter(|n| !group.contains(n)).collect();
                fleet.partition(&[group, &others]);
            }
            FaultAction::LinkFaults { drop, double, damage, reorder, late_ms } => {
                fleet.set_all_faults(Faults {
                    drop: share(*drop),
                    double: share(*double),
                    damage: share(*damage),
                    reorder: share(*reorder),
                    late_ms: *late_ms,
                    ..Faults::default()
                });
            }
            FaultAction::NoDatagrams => {
                fleet.set_all_faults(Faults { no_datagrams: true, ..Faults::default() });
            }
            FaultAction::Heal => fleet.heal(),
            FaultAction::CutSharedDependency(n) => fleet.cut_shared_dependency(*n, true),
            FaultAction::Kill(n) => fleet.servers[*n].kill(),
            FaultAction::Start(n) => {
                let server = &mut fleet.servers[*n];
                // A draining process still holds its sockets.
                if server.stop_requested && server.pid().is_some() {
                    server.wait_for_exit();
                }
                if server.pid().is_none() {
                    let _ = server.start();
                }
            }
            FaultAction::Pause(n, _) => {
                if fleet.servers[*n].pid().is_some() {
                    fleet.servers[*n].set_stopped(true);
                }
            }
            FaultAction::Terminate(n) => fleet.servers[*n].terminate(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scripts_round_trip_through_text_and_depend_only_on_the_seed() {
        for seed in 0..200 {
            let script = Script::generate(seed, 5, 20, &FAULT_KINDS);
            assert_eq!(script.to_string().parse(), Ok(script.clone()));
            assert_eq!(script, Script::generate(seed, 5, 20, &FAULT_KINDS));
        }
        let unordered = "# by hand\n300 no-datagrams\n\n200 weather 30 0 0 0 5\n"
            .parse::<Script>()
            .expect("a valid script");
        assert_eq!(unordered.0[1], (300, FaultAction::NoDatagrams));
        for invalid in ["x heal", "5 cut n1", "5 cut n0 n1", "5 weather 101 0 0 0 0", "5 part", "heal"] {
            assert!(invalid.parse::<Script>().is_err(), "{invalid}");
        }
    }
}

//! Faults as lines: written by hand, or drawn from a seed, and played again from what was printed.
//!
//! A line is a time in milliseconds and an act: `1500 cut n1 n2`. Empty lines and those that begin with `#` are
//! passed over.

use std::fmt;
use std::str::FromStr;
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::relay::Faults;

/// One fault, or the end of one. Servers are counted from 0 here and named from `n1` in lines.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// One direction carries nothing.
    Cut(usize, usize),
    /// Two groups hear nothing of each other: those named, and all others.
    Partition(Vec<usize>),
    /// Shares of datagrams that are lost, doubled, damaged and overtaken, in percent, and how late all is, in ms.
    LinkFaults {
        drop: u8,
        double: u8,
        damage: u8,
        reorder: u8,
        late_ms: u64,
    },
    /// No datagram passes anywhere.
    NoDatagrams,
    /// Everything between servers is well again, and the shared dependency can be reached.
    Heal,
    /// The shared dependency can't be reached from this server.
    CutSharedDependency(usize),
    Kill(usize),
    /// Starts one that does not run, from nothing.
    Start(usize),
    /// Stops one from running for so many milliseconds.
    Pause(usize, u64),
    /// Tells one to drain and end.
    Terminate(usize),
}

/// Kinds of faults that can be asked for by name.
pub const FAULT_KINDS: [&str; 7] = ["cut", "part", "weather", "kill", "pause", "term", "shared"];

impl fmt::Display for FaultAction {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let n = |place: &usize| format!("n{}", place + 1);
        match self {
            FaultAction::Cut(a, b) => write!(f, "cut {} {}", n(a), n(b)),
            FaultAction::Partition(all) => {
                write!(f, "part {}", all.iter().map(n).collect::<Vec<_>>().join(" "))
            }
            FaultAction::LinkFaults { drop, double, damage, reorder, late_ms: late } => {
                write!(f, "weather {drop} {double} {damage} {reorder} {late}")
            }
            FaultAction::NoDatagrams => f.write_str("no-datagrams"),
            FaultAction::Heal => f.write_str("heal"),
            FaultAction::CutSharedDependency(a) => write!(f, "cut-shared {}", n(a)),
            FaultAction::Kill(a) => write!(f, "kill {}", n(a)),
            FaultAction::Start(a) => write!(f, "start {}", n(a)),
            FaultAction::Pause(a, ms) => write!(f, "pause {} {ms}", n(a)),
            FaultAction::Terminate(a) => write!(f, "term {}", n(a)),
        }
    }
}

impl FromStr for FaultAction {
    type Err = String;

    fn from_str(text: &str) -> Result<FaultAction, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let bad = || format!("found {text:?}, expected an act such as \"cut n1 n2\" or \"pause n3 2000\"");
        let n = |word: &str| word.strip_prefix('n')?.parse::<usize>().ok()?.checked_sub(1);
        let percent = |word: &str| word.parse::<u8>().ok().filter(|p| *p <= 100);
        let found = match words.as_slice() {
            ["cut", a, b] => n(a).zip(n(b)).map(|(a, b)| FaultAction::Cut(a, b)),
            ["part", all @ ..] if !all.is_empty() => {
                all.iter().map(|w| n(w)).collect::<Option<_>>().map(FaultAction::Partition)
            }
            ["weather", a, b, c, d, late] => (|| {
                let (drop, double, damage, reorder) = (percent(a)?, percent(b)?, percent(c)?, percent(d)?);
                Some(FaultAction::LinkFaults { drop, double, damage, reorder, late_ms: late.parse().ok()? })
            })(),
            ["no-datagrams"] => Some(FaultAction::NoDatagrams),
            ["heal"] => Some(FaultAction::Heal),
            ["cut-shared", a] => n(a).map(FaultAction::CutSharedDependency),
            ["kill", a] => n(a).map(FaultAction::Kill),
            ["start", a] => n(a).map(FaultAction::Start),
            ["pause", a, ms] => n(a).zip(ms.parse().ok()).map(|(a, ms)| FaultAction::Pause(a, ms)),
            ["term", a] => n(a).map(FaultAction::Terminate),
            _ => None,
        };
        found.ok_or_else(bad)
    }
}

/// Acts with their times in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(u64, FaultAction)>);

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|(at, act)| writeln!(f, "{at} {act}"))
    }
}

impl FromStr for Script {
    type Err = String;

    fn from_str(text: &str) -> Result<Script, String> {
        let mut acts = Vec::new();
        for (number, line) in text.lines().map(str::trim).enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (at, act) = line.split_once(' ').ok_or(format!("line {}: found {line:?}", number + 1))?;
            let at = at
                .parse()
                .map_err(|_| format!("line {}: found {at:?}, expected milliseconds", number + 1))?;
            acts.push((at, act.parse().map_err(|why| format!("line {}: {why}", number + 1))?));
        }
        acts.sort_by_key(|(at, _)| *at);
        Ok(Script(acts))
    }
}

impl Script {
    /// Draws faults of these kinds for a fleet: each lasts a while and then ends, one after the other, now and then
    /// two at once; the last fifth of the time is without any.
    pub fn generate(seed: u64, servers: usize, seconds: u64, kinds: &[&str]) -> Script {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut acts, mut at, end) = (Vec::new(), 1_000, seconds * 800);
        let mut kinds = kinds.to_vec();
        kinds.shuffle(&mut random);
        while at + 500 < end {
            let lasts = random.random_range(500..3_000u64);
            let over = (at + lasts).min(end);
            let (a, b) = (random.random_range(0..servers), random.random_range(0..servers));
            match kinds.choose(&mut random).copied().unwrap_or("cut") {
                "cut" if a != b => acts.extend([(at, FaultAction::Cut(a, b)), (over, FaultAction::Heal)]),
                "part" => {
                    let mut all: Vec<usize> = (0..servers).collect();
                    all.shuffle(&mut random);
                    all.truncate(random.random_range(1..=(servers / 2).max(1)));
                    acts.extend([(at, FaultAction::Partition(all)), (over, FaultAction::Heal)]);
                }
                "weather" => {
                    let mut share = |most| random.random_range(0..=most);
                    let (drop, double, damage, reorder) = (share(30), share(100), share(10), share(30));
                    let late = random.random_range(0..40);
                    acts.extend([
                        (at, FaultAction::LinkFaults { drop, double, damage, reorder, late_ms: late }),
                        (over, FaultAction::Heal),
                    ]);
                }
                "kill" => acts.extend([(at, FaultAction::Kill(a)), (over, FaultAction::Start(a))]),
                "pause" => acts.push((at, FaultAction::Pause(a, lasts))),
                "term" => {
                    acts.extend([(at, FaultAction::Terminate(a)), (over + 2_500, FaultAction::Start(a))]);
                }
                "shared" => {
                    acts.extend([(at, FaultAction::CutSharedDependency(a)), (over, FaultAction::Heal)]);
                }
                _ => {}
            }
            at = over + random.random_range(0..1_500);
        }
        acts.push((end.max(at), FaultAction::Heal));
        acts.extend((0..servers).map(|n| (end.max(at) + 2_500, FaultAction::Start(n))));
        acts.sort_by_key(|(at, _)| *at);
        Script(acts)
    }

    /// Plays it for so long, and calls `look` every `every` with the time that has passed.
    pub fn play(
        &self,
        fleet: &mut Fleet,
        span: Duration,
        every: Duration,
        mut look: impl FnMut(&mut Fleet, Duration),
    ) {
        let start = Instant::now();
        let mut acts: Vec<(Duration, FaultAction)> =
            self.0.iter().map(|(at, act)| (Duration::from_millis(*at), act.clone())).collect();
        let mut wakes: Vec<(Duration, usize)> = Vec::new();
        let mut look_at = Duration::ZERO;
        while start.elapsed() < span {
            let now = start.elapsed();
            while acts.first().is_some_and(|(at, _)| *at <= now) {
                let (at, act) = acts.remove(0);
                if let FaultAction::Pause(n, ms) = act {
                    wakes.push((at + Duration::from_millis(ms), n));
                }
                act.apply(fleet);
            }
            while let Some(place) = wakes.iter().position(|(at, _)| *at <= now) {
                let (_, n) = wakes.remove(place);
                fleet.servers[n].set_stopped(false);
            }
            if now >= look_at {
                look_at = now + every;
                look(fleet, now);
            }
            thread::sleep(Duration::from_millis(5));
        }
        wakes.into_iter().for_each(|(_, n)| fleet.servers[n].set_stopped(false));
    }
}

impl FaultAction {
    /// Does it to a fleet.
    pub fn apply(&self, fleet: &mut Fleet) {
        let share = |percent: u8| f64::from(percent) / 100.0;
        match self {
            FaultAction::Cut(a, b) => fleet.change_faults(*a, *b, |faults| faults.cut = true),
            FaultAction::Partition(all) => {
                let rest: Vec<usize> = (0..fleet.servers.len()).filter(|n| !all.contains(n)).collect();
                fleet.partition(&[all, &rest]);
            }
            FaultAction::LinkFaults { drop, double, damage, reorder, late_ms: late } => {
                fleet.set_all_faults(Faults {
                    drop: share(*drop),
                    double: share(*double),
                    damage: share(*damage),
                    reorder: share(*reorder),
                    late_ms: *late,
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
                // One that drains still has its sockets.
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
    fn a_script_is_read_as_it_is_printed_and_drawn_the_same_from_a_seed() {
        for seed in 0..200 {
            let drawn = Script::generate(seed, 5, 20, &FAULT_KINDS);
            assert_eq!(drawn.to_string().parse(), Ok(drawn.clone()));
            assert_eq!(drawn, Script::generate(seed, 5, 20, &FAULT_KINDS));
        }
        let mixed =
            "# by hand\n300 no-datagrams\n\n200 weather 30 0 0 0 5\n".parse::<Script>().expect("sound");
        assert_eq!(mixed.0[1], (300, FaultAction::NoDatagrams));
        for wrong in ["x heal", "5 cut n1", "5 cut n0 n1", "5 weather 101 0 0 0 0", "5 part", "heal"] {
            assert!(wrong.parse::<Script>().is_err(), "{wrong}");
        }
    }
}

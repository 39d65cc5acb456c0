//! What one run of the soak does, drawn from its seed.

use std::fmt;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time between SIGTERM and SIGKILL, in milliseconds.
pub const STOP_MS: i64 = 1_500;
/// Every run whose seed leaves this remainder when divided by [`FLEET_SEED_DIVISOR`] plays a fleet.
const FLEET_SEED_REMAINDER: u64 = 3;
const FLEET_SEED_DIVISOR: u64 = 4;
/// Lengths of a series of SIGHUP.
const SERIES_LENGTHS: [u32; 6] = [0, 1, 20, 100, 300, 600];
/// Lengths of standstills, in milliseconds.
const STANDSTILL_MS: std::ops::RangeInclusive<i64> = 20..=400;
/// A standstill that begins before the answers of the drain are due ends this long before the kill at the
/// latest: a process that is not run until then can answer nothing.
const STANDSTILL_END_BEFORE_KILL_MS: i64 = 150;
/// A standstill across the exit begins at most this long before the kill. All answers are written by then.
const EXIT_STANDSTILL_BEFORE_KILL_MS: i64 = 15;

/// What SIGHUP finds in the configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// The same as before.
    None,
    /// Other addresses of the agent, the records service and the announce service.
    Moved,
    /// A file that is not JSON, and after it the valid one again.
    Broken,
}

/// Where the process is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standstill {
    /// Nowhere.
    None,
    /// From `before_ms` before SIGTERM until `after_ms` after it.
    AcrossNotice { before_ms: i64, after_ms: i64 },
    /// From this time after SIGTERM for this long.
    AcrossClosing { from_ms: i64, length_ms: i64 },
    /// From this time after SIGTERM until the kill.
    AcrossExit { from_ms: i64 },
}

/// What the agent does besides its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentFault {
    /// Nothing.
    None,
    /// It has no link and accepts none, from this time after SIGTERM for this long.
    Gone { from_ms: i64, length_ms: i64 },
    /// It sends its greeting this long after SIGTERM only.
    Late { greeting_ms: i64 },
    /// It answers no sample and no run makes progress, from this time after SIGTERM for this long.
    Silent { from_ms: i64, length_ms: i64 },
}

/// Everything that is drawn for a run with one server.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    pub hangups_before_notice: u32,
    pub hangups_after_notice: u32,
    pub config_change: ConfigChange,
    /// SIGTERM is sent twice.
    pub doubled_notice: bool,
    /// SIGTERM is sent this long after the start of the process, and no request is.
    pub notice_during_start_ms: Option<u64>,
    pub standstill: Standstill,
    pub agent_fault: AgentFault,
    pub records_down: bool,
    pub announce_down: bool,
    /// Connections that are opened just before SIGTERM, each with one request; 0 for no crowd.
    pub crowd: usize,
    /// The server's limit on sockets.
    pub sockets: usize,
    /// Clients that send one request after the other, that have several open, and that write slowly.
    pub sequential_clients: usize,
    pub pipelining_clients: usize,
    pub slow_clients: usize,
    /// Share of the runs that go on until the kill.
    pub endless_share: f64,
    /// Seed of the agent and the clients.
    pub seed: u64,
}

/// Everything that is drawn for a run with a fleet of three servers that keep a replicated store.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The server that gets the signals.
    pub target: usize,
    pub hangups_before_notice: u32,
    pub hangups_after_notice: u32,
    /// The target is suspended from just before SIGTERM until this long after it; 0 for no standstill.
    pub standstill_ms: u64,
    /// The target's disk is lost after the kill.
    pub loses_disk: bool,
}

/// A run of the soak.
#[derive(Clone, Debug)]
pub enum Plan {
    Server(ServerPlan),
    Fleet(FleetPlan),
}

impl Plan {
    /// Draws the run of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        if seed % FLEET_SEED_DIVISOR == FLEET_SEED_REMAINDER {
            Plan::Fleet(draw_fleet(&mut random))
        } else {
            Plan::Server(draw_server(&mut random))
        }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Plan::Server(plan) => write!(f, "{plan:?}"),
            Plan::Fleet(plan) => write!(f, "{plan:?}"),
        }
    }
}

/// Draws the numbers of SIGHUPs before and after SIGTERM.
fn draw_series(random: &mut ChaCha8Rng) -> (u32, u32) {
    let length = SERIES_LENGTHS[random.random_range(0..SERIES_LENGTHS.len())];
    // In half of the series SIGTERM comes in the middle.
    let before = if random.random_bool(0.5) { length / 2 } else { length };
    (before, length - before)
}

fn draw_server(random: &mut ChaCha8Rng) -> ServerPlan {
    let (hangups_before_notice, hangups_after_notice) = draw_series(random);
    let config_change = match random.random_range(0..4) {
        0 => ConfigChange::Moved,
        1 => ConfigChange::Broken,
        _ => ConfigChange::None,
    };
    let has_crowd = random.random_bool(0.25);
    ServerPlan {
        hangups_before_notice,
        hangups_after_notice,
        config_change,
        doubled_notice: random.random_bool(0.3),
        notice_during_start_ms: random.random_bool(0.1).then(|| random.random_range(0..60)),
        standstill: draw_standstill(random),
        agent_fault: draw_agent_fault(random),
        records_down: random.random_bool(0.2),
        announce_down: random.random_bool(0.2),
        crowd: if has_crowd { random.random_range(60..120) } else { 0 },
        sockets: if has_crowd { 96 } else { 1_024 },
        sequential_clients: random.random_range(2..6),
        pipelining_clients: random.random_range(1..4),
        slow_clients: random.random_range(1..3),
        endless_share: [0.0, 0.02, 0.1, 0.3][random.random_range(0..4)],
        seed: random.random(),
    }
}

fn draw_standstill(random: &mut ChaCha8Rng) -> Standstill {
    let length_ms = random.random_range(STANDSTILL_MS);
    match random.random_range(0..5) {
        0 | 1 => {
            let before_ms = random.random_range(0..=length_ms / 2);
            Standstill::AcrossNotice { before_ms, after_ms: length_ms - before_ms }
        }
        2 => {
            let from_ms = random.random_range(STOP_MS - 550..STOP_MS - 340);
            let longest = STOP_MS - STANDSTILL_END_BEFORE_KILL_MS - from_ms;
            Standstill::AcrossClosing { from_ms, length_ms: length_ms.min(longest) }
        }
        3 => Standstill::AcrossExit {
            from_ms: STOP_MS - random.random_range(1..=EXIT_STANDSTILL_BEFORE_KILL_MS),
        },
        _ => Standstill::None,
    }
}

fn draw_agent_fault(random: &mut ChaCha8Rng) -> AgentFault {
    let (from_ms, length_ms) = (random.random_range(-400..STOP_MS), random.random_range(100..800));
    match random.random_range(0..8) {
        0 | 1 => AgentFault::Gone { from_ms, length_ms },
        2 => AgentFault::Late { greeting_ms: random.random_range(-300..STOP_MS) },
        3 | 4 => AgentFault::Silent { from_ms, length_ms },
        _ => AgentFault::None,
    }
}

fn draw_fleet(random: &mut ChaCha8Rng) -> FleetPlan {
    let (hangups_before_notice, hangups_after_notice) = draw_series(random);
    FleetPlan {
        target: random.random_range(0..3),
        hangups_before_notice,
        hangups_after_notice,
        standstill_ms: if random.random_bool(0.5) { random.random_range(20..=250) } else { 0 },
        loses_disk: random.random_bool(0.3),
    }
}

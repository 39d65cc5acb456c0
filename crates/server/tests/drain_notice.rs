//! The notice to drain when it is read late: after a standstill of the process, or behind a series of other
//! signals. The server is killed exactly `stop_ms` after SIGTERM, the earliest that the protocol allows.

mod common;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::{Balancer, Request, TestEnvironment};
use umberloom_protocol_fakes::standstill::{monitor, MAX_REPETITIONS};

/// The time between SIGTERM and SIGKILL.
const STOP_MS: u64 = 1_500;
/// Requests whose runs go on until the kill.
const RUNS: usize = 4;

/// The dependencies of the example of an operator's file, without its call plans, so that a reload takes its
/// usual time.
fn operator_config() -> &'static str {
    let example = include_str!("../../../deploy/operator.kdl");
    example.split_once("\nplan ").expect("plans").0
}

/// Starts a server with [`RUNS`] runs in progress that never end.
fn start_with_runs() -> (TestEnvironment, Vec<Balancer>) {
    monitor();
    let mut env = TestEnvironment::start_registered_with(
        |config| config["stop_ms"] = STOP_MS.into(),
        operator_config(),
    );
    let mut balancers = Vec::new();
    for run in 0..RUNS {
        let stream = TcpStream::connect(env.listen).expect("connected");
        let mut balancer = Balancer::tolerant(stream);
        balancer.send(&Request::new(1, &format!("run{run}")));
        assert_eq!(env.agent.expect_command("launch").0, format!("run{run}"));
        balancers.push(balancer);
    }
    (env, balancers)
}

/// What was found when the server was killed.
#[derive(Debug, PartialEq, Eq)]
struct AtTheKill {
    unanswered_requests: usize,
    /// Whether the server had not exited by itself.
    was_alive: bool,
    /// How long the server's core stood still when it was due to exit, if that explains a late exit.
    standstill: Option<Duration>,
}

impl AtTheKill {
    fn is_in_order(&self) -> bool {
        self.unanswered_requests == 0 && !self.was_alive
    }

    /// Whether nothing is wrong but that the server had not exited, when the machine stood still.
    fn has_no_verdict(&self) -> bool {
        self.unanswered_requests == 0 && self.was_alive && self.standstill.is_some()
    }
}

/// Kills the server [`STOP_MS`] after `notified_at`.
fn kill(mut env: TestEnvironment, balancers: Vec<Balancer>, notified_at: Instant) -> AtTheKill {
    let (was_alive, standstill) = env.kill_at(notified_at + Duration::from_millis(STOP_MS));
    let answers = balancers.into_iter().map(|mut balancer| balancer.try_answer());
    AtTheKill { unanswered_requests: answers.filter(Option::is_none).count(), was_alive, standstill }
}

/// Plays until there is a verdict: a play in which a standstill of the machine may have kept the server from
/// its exit is repeated, and counts as it is after [`MAX_REPETITIONS`].
fn play_to_verdict(play: impl Fn() -> AtTheKill) -> AtTheKill {
    for _ in 0..MAX_REPETITIONS {
        let at_the_kill = play();
        if !at_the_kill.has_no_verdict() {
            return at_the_kill;
        }
        eprintln!("played again: {at_the_kill:?}");
    }
    play()
}

/// Asserts that the server ended in order in each case, and names the others.
fn assert_all_in_order<Case: std::fmt::Debug>(results: Vec<(Case, AtTheKill)>) {
    let failures: Vec<_> =
        results.into_iter().filter(|(_, at_the_kill)| !at_the_kill.is_in_order()).collect();
    assert!(failures.is_empty(), "{failures:?}");
}

/// Guards against counting the stop from the moment at which SIGTERM is read instead of when it was sent:
/// after a standstill across it, runs that go on were answered after the kill.
#[test]
fn runs_are_answered_before_the_kill_if_the_process_stood_still_across_the_notice() {
    let play = |stall_ms| {
        let (env, balancers) = start_with_runs();
        env.signal("STOP");
        env.signal("TERM");
        let notified_at = Instant::now();
        std::thread::sleep(Duration::from_millis(stall_ms));
        env.signal("CONT");
        kill(env, balancers, notified_at)
    };
    let results = [30, 60, 100, 250, 400].map(|stall_ms| (stall_ms, play_to_verdict(|| play(stall_ms))));
    assert_all_in_order(results.into());
}

/// Guards against a notice that waits for a series of reloads, and against one that is lost because the
/// signals before it fill a queue.
#[test]
fn runs_are_answered_before_the_kill_after_a_series_of_reload_signals() {
    let play = |reload_signals| {
        let (env, balancers) = start_with_runs();
        for _ in 0..reload_signals {
            env.signal("HUP");
            // Signals that are pending at once count as one; this time lets each be delivered.
            std::thread::sleep(Duration::from_micros(20));
        }
        env.signal("TERM");
        let notified_at = Instant::now();
        kill(env, balancers, notified_at)
    };
    let results = [1, 100, 300, 2_000].map(|signals| (signals, play_to_verdict(|| play(signals))));
    assert_all_in_order(results.into());
}

/// Reload signals before, between and after two notices change nothing about the first one.
#[test]
fn the_first_notice_counts_among_reload_signals_on_both_sides() {
    let at_the_kill = play_to_verdict(|| {
        let (env, balancers) = start_with_runs();
        (0..100).for_each(|_| env.signal("HUP"));
        env.signal("TERM");
        let notified_at = Instant::now();
        for _ in 0..20 {
            env.signal("HUP");
            std::thread::sleep(Duration::from_millis(20));
            env.signal("TERM");
        }
        kill(env, balancers, notified_at)
    });
    assert!(at_the_kill.is_in_order(), "{at_the_kill:?}");
}

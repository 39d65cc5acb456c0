//! The concurrency limit fills free cores, climbs towards more completions and falls under overload.

mod common;
use common::*;
use umberloom::interface::*;
use umberloom::AdmissionController;

#[test]
fn the_limit_starts_at_the_cores() {
    let mut controller = AdmissionController::new(0, default_settings()).expect("valid settings");
    assert_eq!(admitted(&send(&mut controller, 0, &[("a", 0), ("b", 0), ("c", 0)])), ["a", "b"]);
}

#[test]
fn the_limit_rises_by_the_cores_while_they_are_idle() {
    let mut controller = controller_with_two_running(default_settings());
    send(&mut controller, MS, &[("a", 0), ("b", 0), ("c", 0)]);
    // Two requests run on two cores: the limit rises to four.
    assert_eq!(admitted(&step(&mut controller, 500 * MS, vec![idle_timer()])), ["a", "b"]);
}

#[test]
fn the_limit_stays_within_the_survivable_concurrency() {
    let mut settings = default_settings();
    settings.overload_per_core = 2.0;
    let mut controller = controller_with_short_runs(settings);
    let names: Vec<String> = (0..30).map(|n| format!("r{n}")).collect();
    let all: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), 0)).collect();
    let mut running = admitted(&send(&mut controller, 0, &all)).len();
    for reading in 1..4 {
        running += admitted(&step(&mut controller, reading * 500 * MS, vec![idle_timer()])).len();
    }
    assert!((2..4).contains(&running), "{running} run on two cores that survive two each");
}

#[test]
fn a_lagging_cpu_gauge_does_not_raise_the_limit_under_demand() {
    let mut controller = controller(default_settings());
    send(&mut controller, 0, &[("a", 0), ("b", 0), ("c", 0)]);
    let overloaded = Event::Timer(Gauges { cpu: Some(0.3), core_demand: Some(6.0), ..Gauges::default() });
    let early = (1..25)
        .flat_map(|n| step(&mut controller, n * 20 * MS, vec![overloaded.clone()]))
        .collect::<Vec<_>>();
    let reading = step(&mut controller, 500 * MS, vec![overloaded]);
    assert!(admitted(&early).is_empty() && admitted(&reading).is_empty(), "{early:?} {reading:?}");
}

#[test]
fn sudden_core_demand_keeps_the_limit() {
    let mut controller = controller(default_settings());
    send(&mut controller, 0, &[("a", 0), ("b", 0), ("c", 0)]);
    // The CPU gauge still shows the time before the start, and the mean core demand after one reading is low.
    let sudden = Event::Timer(Gauges { cpu: Some(0.3), core_demand: Some(6.0), ..Gauges::default() });
    let actions = step(&mut controller, 500 * MS, vec![sudden]);
    assert!(admitted(&actions).is_empty(), "{actions:?}");
}

/// Completes `completions` short requests, with a new arrival for each, then sends timers under full CPU use;
/// returns how many requests run afterwards. `interval` makes the names unique.
fn run_interval(host: &mut Host, completions: usize, core_demand: f64, interval: usize) -> usize {
    let new_arrival = |name: String| Event::Arrived(arrival(&name, 0, 6 * SEC));
    for n in 0..10 {
        host.step(vec![new_arrival(format!("{interval}-{n}"))]);
    }
    for n in 0..completions {
        let first = host.running().first().cloned().expect("something runs");
        host.step(vec![Event::RunEnded(first, Outcome::Ok, MS), new_arrival(format!("{interval}+{n}"))]);
    }
    host.now += 500 * MS;
    let gauges = Gauges { cpu: Some(1.0), core_demand: Some(core_demand), ..Gauges::default() };
    // Many timers let the mean core demand settle; only the first of them adjusts the limit.
    for _ in 0..20 {
        host.step(vec![Event::Timer(gauges)]);
    }
    let running = host.running().len();
    // The remaining requests are served, so that they don't expire.
    while let Some(first) = host.running().first().cloned() {
        host.step(vec![Event::RunEnded(first, Outcome::Ok, MS)]);
    }
    running
}

#[test]
fn the_limit_stays_with_flat_completions_without_overload() {
    let mut host = Host::new(default_settings());
    host.step(vec![Event::Arrived(arrival("a", 0, 6 * SEC)), Event::Arrived(arrival("b", 0, 6 * SEC))]);
    host.now = 500 * MS;
    host.step(vec![idle_timer()]);
    // The first completion counts still rise from zero; after that they are equal.
    let slots: Vec<usize> = (1..12).map(|interval| run_interval(&mut host, 40, 2.0, interval)).collect();
    assert!(slots[2..].iter().all(|&s| s == slots[2]), "completions are flat: {slots:?}");
}

#[test]
fn the_limit_falls_to_the_cores_with_flat_completions_under_overload() {
    let mut host = Host::new(default_settings());
    host.step(vec![Event::Arrived(arrival("a", 0, 6 * SEC)), Event::Arrived(arrival("b", 0, 6 * SEC))]);
    host.now = 500 * MS;
    host.step(vec![idle_timer()]);
    let slots = (1..40).map(|interval| run_interval(&mut host, 40, 8.0, interval)).collect::<Vec<_>>();
    assert_eq!(*slots.last().expect("some"), 2, "the limit falls to the cores and no further: {slots:?}");
}

/// Guards against climbing under overload on completion counts that follow other work (reading, new
/// connections): under overload only differences well beyond chance move the limit, and those still do.
#[test]
fn under_overload_only_significant_completions_move_the_limit() {
    let slots = |low: usize, high: usize| {
        let mut host = Host::new(default_settings());
        host.step(vec![Event::Arrived(arrival("a", 0, 6 * SEC)), Event::Arrived(arrival("b", 0, 6 * SEC))]);
        host.now = 500 * MS;
        host.step(vec![idle_timer()]);
        let count = |interval: usize| if interval.is_multiple_of(2) { low } else { high };
        (1..24)
            .map(|interval| run_interval(&mut host, count(interval), 8.0, interval))
            .skip(6)
            .collect::<Vec<_>>()
    };
    let insignificant = slots(24, 40);
    assert!(insignificant.iter().all(|&s| s == 2), "16 apart, standard deviation 8: {insignificant:?}");
    let significant = slots(10, 80);
    assert!(significant.iter().any(|&s| s > 2), "70 apart, standard deviation under 10: {significant:?}");
}

/// Runs `count` control intervals with this core demand, in which no run ends; returns the time after them.
fn overloaded_intervals(
    controller: &mut AdmissionController,
    from: Micros,
    count: u64,
    core_demand: f64,
) -> Micros {
    let timer = Event::Timer(Gauges { cpu: Some(1.0), core_demand: Some(core_demand), ..Gauges::default() });
    for n in 1..=25 * count {
        step(controller, from + n * 20 * MS, vec![timer.clone()]);
    }
    from + 25 * count * 20 * MS
}

#[test]
fn the_limit_falls_by_a_share_of_the_excess_demand() {
    let mut settings = default_settings();
    (settings.cores, settings.overload_per_core, settings.memory_kb) = (4, 32.0, 1e9);
    settings.classes.iter_mut().for_each(|c| (c.latency_objective, c.deadline) = (50 * SEC, 100 * SEC));
    let mut controller = controller_with_short_runs(settings);
    let names: Vec<String> = (0..80).map(|n| format!("r{n}")).collect();
    let arrivals = names.iter().map(|n| Event::Arrived(arrival(n, 0, 100 * SEC))).collect();
    let mut now = 10 * SEC;
    let mut running = admitted(&step(&mut controller, now, arrivals)).len();
    // The CPU gauge shows idle cores: each reading raises the limit by the number of cores.
    while running < 40 {
        now += 500 * MS;
        running += admitted(&step(&mut controller, now, vec![idle_timer()])).len();
    }
    now = overloaded_intervals(&mut controller, now, 6, running as f64);
    // As many requests start as end, less the fall of the limit: by one per reading it would be 6.
    let run_ends = names[..running].iter().map(|n| run_ended(n, MS)).collect();
    let started = admitted(&step(&mut controller, now + MS, run_ends)).len();
    assert!((4..running - 16).contains(&started), "{started} of {running}");
}

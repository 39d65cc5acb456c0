//! The design's mechanism: the hold, the search, the limit.

mod common;
use common::*;
use umberloom::interface::*;
use umberloom::AdmissionController;

/// A server whose two slots are taken by requests of the low class, and that knows runs to be short.
fn taken(set: Settings) -> AdmissionController {
    let mut server = taught(set);
    let out = send(&mut server, 0, &[("x", 0), ("y", 0)]);
    assert_eq!(admitted(&out), ["x", "y"]);
    server
}

#[test]
fn equal_levels_start_in_arrival_order() {
    let mut set = settings();
    set.classes = vec![class(1.0), class(1.0)];
    let mut server = taken(set);
    assert!(admitted(&send(&mut server, MS, &[("a", 0), ("b", 1), ("c", 0)])).is_empty());
    assert_eq!(admitted(&step(&mut server, 100 * MS, vec![ended("x", 100 * MS)])), ["a"]);
    assert_eq!(admitted(&step(&mut server, 101 * MS, vec![ended("y", 101 * MS)])), ["b"]);
    assert_eq!(admitted(&step(&mut server, 102 * MS, vec![ended("a", 2 * MS)])), ["c"]);
}

#[test]
fn the_oldest_of_the_highest_level_starts_first_and_then_the_head() {
    let mut server = taken(settings());
    send(&mut server, MS, &[("low", 0), ("high1", 1), ("low2", 0), ("high2", 1)]);
    let mut order = Vec::new();
    for (at, done) in ["x", "y", "high1", "high2"].into_iter().enumerate() {
        order.extend(admitted(&step(&mut server, (at as u64 + 2) * MS, vec![ended(done, MS)])));
    }
    assert_eq!(order, ["high1", "high2", "low", "low2"]);
}

#[test]
fn the_search_ends_after_its_places() {
    // Work so short that a long hold is no reason to refuse.
    let mut server = taken(settings());
    let names: Vec<String> = (0..32).map(|n| format!("low{n}")).collect();
    let mut all: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), 0)).collect();
    all.push(("high", 1));
    send(&mut server, MS, &all);
    // "high" stands at the 33rd place: the head starts. Then it is within reach.
    assert_eq!(admitted(&step(&mut server, 2 * MS, vec![ended("x", MS)])), ["low0"]);
    assert_eq!(admitted(&step(&mut server, 3 * MS, vec![ended("y", MS)])), ["high"]);
}

#[test]
fn the_limit_starts_at_the_cores() {
    let mut server = AdmissionController::new(0, settings()).expect("sound settings");
    assert_eq!(admitted(&send(&mut server, 0, &[("a", 0), ("b", 0), ("c", 0)])), ["a", "b"]);
}

#[test]
fn idle_cores_are_filled_at_a_reading() {
    let mut server = taken(settings());
    send(&mut server, MS, &[("a", 0), ("b", 0), ("c", 0)]);
    // Two run and two cores: the limit is four.
    assert_eq!(admitted(&step(&mut server, 500 * MS, vec![idle()])), ["a", "b"]);
}

#[test]
fn filling_stays_within_the_survivable_crowd() {
    let mut set = settings();
    set.overload_per_core = 2.0;
    let mut server = taught(set);
    let names: Vec<String> = (0..30).map(|n| format!("r{n}")).collect();
    let all: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), 0)).collect();
    let mut running = admitted(&send(&mut server, 0, &all)).len();
    for reading in 1..4 {
        running += admitted(&step(&mut server, reading * 500 * MS, vec![idle()])).len();
    }
    assert!((2..4).contains(&running), "{running} run on two cores that survive two each");
}

/// Completes `done` short requests, one coming in for each that ends, then reads under a busy gauge;
/// returns how many run afterwards.
fn interval(host: &mut Host, done: usize, on_cores: f64, tag: usize) -> usize {
    let fresh = |name: String| Event::Arrived(arrival(&name, 0, 6 * SEC));
    for n in 0..10 {
        host.step(vec![fresh(format!("{tag}-{n}"))]);
    }
    for n in 0..done {
        let first = host.running().first().cloned().expect("something runs");
        host.step(vec![Event::RunEnded(first, Outcome::Ok, MS), fresh(format!("{tag}+{n}"))]);
    }
    host.now += 500 * MS;
    let gauges = Gauges { cpu: Some(1.0), on_cores: Some(on_cores), ..Gauges::default() };
    // Many timers let the mean of what wants a core settle; the first of them is the reading.
    for _ in 0..20 {
        host.step(vec![Event::Timer(gauges)]);
    }
    let running = host.running().len();
    // What is left over is served, so that it does not grow old.
    while let Some(first) = host.running().first().cloned() {
        host.step(vec![Event::RunEnded(first, Outcome::Ok, MS)]);
    }
    running
}

#[test]
fn a_flat_limit_holds_while_the_cores_are_not_crowded() {
    let mut host = Host::new(settings());
    host.step(vec![Event::Arrived(arrival("a", 0, 6 * SEC)), Event::Arrived(arrival("b", 0, 6 * SEC))]);
    host.now = 500 * MS;
    host.step(vec![idle()]);
    // The first counts still grow from nothing; from then on they are the same.
    let slots: Vec<usize> = (1..12).map(|tag| interval(&mut host, 40, 2.0, tag)).collect();
    assert!(slots[2..].iter().all(|&s| s == slots[2]), "completions are flat: {slots:?}");
}

#[test]
fn a_flat_limit_steps_back_to_the_cores_while_they_are_crowded() {
    let mut host = Host::new(settings());
    host.step(vec![Event::Arrived(arrival("a", 0, 6 * SEC)), Event::Arrived(arrival("b", 0, 6 * SEC))]);
    host.now = 500 * MS;
    host.step(vec![idle()]);
    let crowd = (1..40).map(|tag| interval(&mut host, 40, 8.0, tag)).collect::<Vec<_>>();
    assert_eq!(*crowd.last().expect("some"), 2, "never below the cores: {crowd:?}");
}

/// Guards against climbing in a crowd on counts that rise with the other work (reading, new connections):
/// there only what is well beyond chance moves the limit, and that still does.
#[test]
fn while_crowded_only_counts_well_beyond_chance_move_the_limit() {
    let slots = |low: usize, high: usize| {
        let mut host = Host::new(settings());
        host.step(vec![Event::Arrived(arrival("a", 0, 6 * SEC)), Event::Arrived(arrival("b", 0, 6 * SEC))]);
        host.now = 500 * MS;
        host.step(vec![idle()]);
        let count = |tag: usize| if tag.is_multiple_of(2) { low } else { high };
        (1..24).map(|tag| interval(&mut host, count(tag), 8.0, tag)).skip(6).collect::<Vec<_>>()
    };
    let chance = slots(24, 40);
    assert!(chance.iter().all(|&s| s == 2), "16 apart, chance is 8: {chance:?}");
    let proof = slots(10, 80);
    assert!(proof.iter().any(|&s| s > 2), "70 apart, chance is under 10: {proof:?}");
}

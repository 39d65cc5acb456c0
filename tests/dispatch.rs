//! Dispatch from the wait queue.

mod common;
use common::*;

#[test]
fn equal_levels_start_in_arrival_order() {
    let mut settings = default_settings();
    settings.classes = vec![class(1.0), class(1.0)];
    let mut controller = controller_with_two_running(settings);
    assert!(admitted(&send(&mut controller, MS, &[("a", 0), ("b", 1), ("c", 0)])).is_empty());
    assert_eq!(admitted(&step(&mut controller, 100 * MS, vec![run_ended("x", 100 * MS)])), ["a"]);
    assert_eq!(admitted(&step(&mut controller, 101 * MS, vec![run_ended("y", 101 * MS)])), ["b"]);
    assert_eq!(admitted(&step(&mut controller, 102 * MS, vec![run_ended("a", 2 * MS)])), ["c"]);
}

#[test]
fn the_oldest_request_of_the_highest_level_starts_first() {
    let mut controller = controller_with_two_running(default_settings());
    send(&mut controller, MS, &[("low", 0), ("high1", 1), ("low2", 0), ("high2", 1)]);
    let mut order = Vec::new();
    for (at, ended) in ["x", "y", "high1", "high2"].into_iter().enumerate() {
        order.extend(admitted(&step(&mut controller, (at as u64 + 2) * MS, vec![run_ended(ended, MS)])));
    }
    assert_eq!(order, ["high1", "high2", "low", "low2"]);
}

#[test]
fn the_search_is_limited_to_the_look_ahead() {
    // Runs are so short that no request is rejected for a long wait queue.
    let mut controller = controller_with_two_running(default_settings());
    let names: Vec<String> = (0..32).map(|n| format!("low{n}")).collect();
    let mut all: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), 0)).collect();
    all.push(("high", 1));
    send(&mut controller, MS, &all);
    // "high" is 33rd in the wait queue, so the head starts; then "high" is within the look-ahead window.
    assert_eq!(admitted(&step(&mut controller, 2 * MS, vec![run_ended("x", MS)])), ["low0"]);
    assert_eq!(admitted(&step(&mut controller, 3 * MS, vec![run_ended("y", MS)])), ["high"]);
}

//! Who is there: several server processes, and faults between them.

mod common;

use std::time::Duration;

use umberloom_rig::{Faults, Fleet, Options};

fn options(servers: usize) -> Options {
    Options::new(common::program(), servers)
}

/// A fleet that stands whole, asked all the while.
fn whole(servers: usize) -> Fleet {
    let mut fleet = Fleet::start(options(servers)).unwrap_or_else(|why| panic!("{why}"));
    fleet.until_all("whole").unwrap_or_else(|why| panic!("{why}"));
    fleet.ask(2, Duration::from_millis(20));
    fleet
}

/// Waits are bounded within; what they say is the failure.
trait OrPanic {
    fn done(self);
}

impl OrPanic for Result<(), String> {
    fn done(self) {
        self.unwrap_or_else(|why| panic!("{why}"));
    }
}

/// Nothing that must always hold was broken.
fn sound(mut fleet: Fleet) {
    let breaches = fleet.breaches();
    assert!(breaches.is_empty(), "{}", breaches.join("\n"));
}

#[test]
fn all_started_at_once_with_no_seed_up_find_each_other() {
    let fleet = whole(5);
    for (n, other) in [(0, 4), (4, 0), (2, 1)] {
        assert_eq!(fleet.holds(n, other), "present");
    }
    sound(fleet);
}

//! These tests send signals to their own thread, which blocks them; `tests/drain_notice.rs` sends signals to a
//! process.

use nix::sys::signal::raise;

use super::*;

fn listener() -> SignalListener {
    SignalListener::new(Clock::default()).expect("a listener")
}

/// Guards against a stop that is assumed too late: the signal may have come right after the last check that
/// found none, however long ago that was.
#[test]
fn shutdown_is_not_before_the_last_check_that_found_none() {
    let mut listener = listener();
    assert_eq!(listener.check(), None);
    let last_check = listener.last_check;
    std::thread::sleep(Duration::from_millis(5));
    raise(Signal::SIGTERM).expect("sent");
    assert_eq!(listener.check(), Some(SignalRequest::Shutdown { not_before: last_check }));
    assert_eq!(listener.check(), None);
    assert!(listener.last_check >= last_check + 5_000);
}

/// Guards against a shutdown that waits for the reloads requested before it, or is lost among them.
#[test]
fn shutdown_comes_before_reloads_and_each_is_reported_once() {
    let mut listener = listener();
    for _ in 0..1_000 {
        raise(Signal::SIGHUP).expect("sent");
    }
    raise(Signal::SIGTERM).expect("sent");
    assert!(matches!(listener.check(), Some(SignalRequest::Shutdown { .. })));
    assert_eq!(listener.check(), Some(SignalRequest::Reload));
    assert_eq!(listener.check(), None);
}

#[test]
fn late_checks_are_added_up() {
    let mut listener = listener();
    listener.check();
    std::thread::sleep(Duration::from_millis(25));
    listener.check();
    std::thread::sleep(Duration::from_millis(50));
    listener.check();
    let CheckLateness { total, longest } = listener.lateness();
    assert!(longest >= 30_000 && total >= longest + 5_000, "{total} {longest}");
}

#[test]
fn checks_in_time_are_not_late() {
    let mut lateness = CheckLateness::default();
    lateness.record(20_000);
    lateness.record(1);
    assert_eq!(lateness, CheckLateness::default());
    lateness.record(20_001);
    assert_eq!(lateness, CheckLateness { total: 1, longest: 1 });
}

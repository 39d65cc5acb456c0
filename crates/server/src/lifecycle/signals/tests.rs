//! These tests set the flags as the signal handlers do; `tests/drain_notice.rs` sends signals to a process.

use super::*;

fn listener() -> SignalListener {
    let (wakeups, _) = UnixStream::pair().expect("a pair");
    let clock = Clock::default();
    let last_check = clock.now();
    let wakeups = Async::new(wakeups).expect("registered");
    SignalListener { shutdown: Arc::default(), reload: Arc::default(), wakeups, clock, last_check }
}

/// Guards against a stop that is assumed too late: the signal may have come right after the last check that
/// found none, however long ago that was.
#[test]
fn shutdown_is_not_before_the_last_check_that_found_none() {
    let mut listener = listener();
    assert_eq!(listener.check(), None);
    let last_check = listener.last_check;
    std::thread::sleep(Duration::from_millis(5));
    listener.shutdown.store(true, Ordering::SeqCst);
    assert_eq!(listener.check(), Some(SignalRequest::Shutdown { not_before: last_check }));
    assert_eq!(listener.check(), None);
    assert!(listener.last_check >= last_check + 5_000);
}

/// Guards against a shutdown that waits for the reloads requested before it.
#[test]
fn shutdown_comes_before_a_reload_and_each_is_reported_once() {
    let mut listener = listener();
    listener.reload.store(true, Ordering::SeqCst);
    listener.shutdown.store(true, Ordering::SeqCst);
    assert!(matches!(listener.check(), Some(SignalRequest::Shutdown { .. })));
    assert_eq!(listener.check(), Some(SignalRequest::Reload));
    assert_eq!(listener.check(), None);
}

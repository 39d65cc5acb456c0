//! These tests set the flags as the signal handlers do; `tests/drain_notice.rs` sends signals to a process.

use super::*;

fn listener() -> SignalListener {
    let (wakeups, _) = UnixStream::pair().expect("a pair");
    let wakeups = Async::new(wakeups).expect("registered");
    SignalListener { shutdown: Arc::default(), reload: Arc::default(), wakeups }
}

/// Guards against a shutdown that waits for the reloads requested before it.
#[test]
fn shutdown_comes_before_a_reload_and_each_is_reported_once() {
    let mut listener = listener();
    listener.reload.store(true, Ordering::SeqCst);
    listener.shutdown.store(true, Ordering::SeqCst);
    assert!(matches!(listener.check(), Some(SignalRequest::Shutdown)));
    assert_eq!(listener.check(), Some(SignalRequest::Reload));
    assert_eq!(listener.check(), None);
}

use super::*;

fn tracker() -> PhaseTracker {
    PhaseTracker::new(Logger::root(slog::Discard, slog::o!()))
}

#[test]
fn phases_only_advance_and_the_first_shutdown_request_counts() {
    let mut tracker = tracker();
    assert_eq!((tracker.phase(), tracker.next_timeout()), (Phase::Starting, None));
    tracker.enter(Phase::Serving);
    tracker.enter(Phase::WaitingForAgent);
    assert_eq!(tracker.phase(), Phase::Serving);
    assert!(tracker.begin_drain(1_000_000, 3_000_000) && !tracker.begin_drain(2_000_000, 9_000_000));
    assert_eq!(tracker.next_timeout(), Some(4_000_000 - CLOSE_BEFORE_STOP));
    assert!(!tracker.handle_timeout(3_000_000) && tracker.handle_timeout(3_700_000));
    assert_eq!(
        (tracker.phase(), tracker.next_timeout()),
        (Phase::Closing, Some(4_000_000 - EXIT_BEFORE_STOP))
    );
    assert!(tracker.handle_timeout(4_000_000));
    assert_eq!((tracker.phase(), tracker.next_timeout()), (Phase::Stopped, None));
}

#[test]
fn stop_time_within_the_closing_margins_closes_at_once() {
    let mut tracker = tracker();
    tracker.begin_drain(1_000_000, 5_000);
    assert!(tracker.handle_timeout(1_000_000) && tracker.handle_timeout(1_000_000));
    assert_eq!(tracker.phase(), Phase::Stopped);
}

/// Guards against an exit that leaves requests unanswered which lay unread during a stall past the stop time:
/// closing and exit were both due at once after such a stall.
#[test]
fn closing_lasts_its_minimum_after_a_stall_past_the_stop_time() {
    let mut tracker = tracker();
    assert!(tracker.begin_drain(0, 1_000_000));
    assert!(tracker.handle_timeout(5_000_000));
    assert_eq!(
        (tracker.phase(), tracker.next_timeout()),
        (Phase::Closing, Some(5_000_000 + MIN_CLOSING_AFTER_STALL))
    );
    assert!(
        !tracker.handle_timeout(5_000_000) && tracker.handle_timeout(5_000_000 + MIN_CLOSING_AFTER_STALL)
    );
    assert_eq!(tracker.phase(), Phase::Stopped);
}

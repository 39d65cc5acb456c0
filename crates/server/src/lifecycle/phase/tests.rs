use super::*;

#[test]
fn phases_follow_each_other_and_the_notice_counts_once() {
    let mut life = Life::new(Logger::root(slog::Discard, slog::o!()));
    assert_eq!((life.phase(), life.next_at()), (Phase::Starting, None));
    life.enter(Phase::Serving);
    life.enter(Phase::Waiting);
    assert_eq!(life.phase(), Phase::Serving);
    assert!(life.leave(1_000_000, 3_000_000) && !life.leave(2_000_000, 9_000_000));
    assert_eq!(life.next_at(), Some(4_000_000 - CLOSE_BEFORE));
    assert!(!life.pass(3_000_000) && life.pass(3_700_000));
    assert_eq!((life.phase(), life.next_at()), (Phase::Closing, Some(4_000_000 - END_BEFORE)));
    assert!(life.pass(4_000_000));
    assert_eq!((life.phase(), life.next_at()), (Phase::Ended, None));
}

#[test]
fn a_notice_shorter_than_the_margins_closes_at_once() {
    let mut life = Life::new(Logger::root(slog::Discard, slog::o!()));
    life.leave(1_000_000, 5_000);
    assert!(life.pass(1_000_000) && life.pass(1_000_000));
    assert_eq!(life.phase(), Phase::Ended);
}

/// Guards against an exit without an answer to what lay unread during a standstill over the end: closing and ending were
/// due at once then.
#[test]
fn closing_takes_its_time_after_a_standstill() {
    let mut life = Life::new(Logger::root(slog::Discard, slog::o!()));
    assert!(life.leave(0, 1_000_000));
    assert!(life.pass(5_000_000));
    assert_eq!((life.phase(), life.next_at()), (Phase::Closing, Some(5_000_000 + CLOSE_LEAST)));
    assert!(!life.pass(5_000_000) && life.pass(5_000_000 + CLOSE_LEAST));
    assert_eq!(life.phase(), Phase::Ended);
}

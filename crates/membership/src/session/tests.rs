use super::replay_window::WINDOW;
use super::*;
use proptest::prelude::*;

#[test]
fn only_a_process_that_answers_now_is_accepted() {
    let mut session = Session::new("b".into(), true);
    assert_eq!(session.check_message(1, 5, 1, 1), Disposition::Challenge(RejectReason::Unproven));
    let nonce = session.start_handshake(0, 77).expect("a nonce");
    assert!(!session.handle_welcome(5, 78) && session.handle_welcome(5, nonce));
    assert_eq!(session.check_message(1, 5, 1, 1), Disposition::Accept);
    assert_eq!(session.check_message(1, 5, 1, 1), Disposition::Reject(RejectReason::Replayed));
    assert_eq!(session.check_message(1, 5, 9, 2), Disposition::Challenge(RejectReason::NotForUs));
    // A replayed answer to an earlier hello proves nothing.
    assert!(!session.handle_welcome(5, nonce));
    // A later process must answer before the earlier one is superseded.
    assert_eq!(session.check_message(1, 6, 1, 1), Disposition::Challenge(RejectReason::Unproven));
    assert_eq!(session.boot_id, 5);
    let offered_nonce = session.handle_hello(6, 99).expect("not superseded");
    assert!(!session.handle_ready(7, offered_nonce) && session.handle_ready(6, offered_nonce));
    assert_eq!((session.boot_id, session.check_message(1, 5, 1, 3)), (6, Disposition::NotifySuperseded));
    assert_eq!(session.handle_hello(5, 1), None);
}

#[test]
fn hellos_are_limited_and_keep_their_nonce_while_an_answer_may_come() {
    let mut session = Session::new("b".into(), true);
    assert_eq!(session.start_handshake(0, 3), Some(3));
    assert_eq!(session.start_handshake(1, 4), None);
    assert_eq!(session.start_handshake(HELLO_INTERVAL, 5), Some(3));
    assert_eq!(session.start_handshake(20 * HELLO_INTERVAL, 6), Some(6));
}

proptest! {
    /// Each sequence number is accepted at most once, in whatever order and however often it arrives.
    #[test]
    fn no_sequence_number_is_accepted_twice(numbers in prop::collection::vec(1u64..3_000, 1..600)) {
        let mut window = ReplayWindow::default();
        let mut seen = std::collections::BTreeSet::new();
        for seq in numbers {
            if window.accept(seq) {
                prop_assert!(seen.insert(seq));
            } else {
                prop_assert!(seen.contains(&seq) || seq + WINDOW <= window.highest);
            }
        }
    }
}

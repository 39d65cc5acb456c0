use super::*;
use proptest::prelude::*;

#[test]
fn read_starts_at_once_while_nobody_waits() {
    let mut scheduler = ReadScheduler::new(2, &[1, 1]);
    assert!(scheduler.request_read(0, 1) && scheduler.request_read(0, 2) && !scheduler.request_read(0, 3));
    assert_eq!(scheduler.next_read(), None);
    scheduler.handle_read_end(0);
    assert_eq!(
        (scheduler.next_read(), scheduler.next_read()),
        (Some(NextRead { listener: 0, caller: 3 }), None)
    );
}

#[test]
fn flood_of_one_listener_does_not_keep_another_waiting() {
    let mut scheduler = ReadScheduler::new(1, &[1, 1]);
    assert!(scheduler.request_read(0, 0));
    (1..1_000).for_each(|caller| assert!(!scheduler.request_read(0, caller)));
    assert!(!scheduler.request_read(1, 5_000));
    let mut passed = Vec::new();
    for _ in 0..3 {
        scheduler.handle_read_end(passed.last().map_or(0, |next: &NextRead| next.listener));
        passed.extend(scheduler.next_read());
    }
    assert!(passed.contains(&NextRead { listener: 1, caller: 5_000 }), "{passed:?}");
}

#[test]
fn listeners_take_turns_by_weight_while_both_wait() {
    let mut scheduler = ReadScheduler::new(1, &[3, 1]);
    assert!(scheduler.request_read(0, 0));
    for caller in 1..400 {
        scheduler.request_read((caller % 2) as usize, caller);
    }
    let (mut counts, mut last) = ([0; 2], 0);
    for _ in 0..100 {
        scheduler.handle_read_end(last);
        let NextRead { listener, .. } = scheduler.next_read().expect("many wait");
        counts[listener] += 1;
        last = listener;
    }
    assert_eq!(counts, [75, 25]);
}

#[test]
fn cancelled_read_is_not_started() {
    let mut scheduler = ReadScheduler::new(1, &[1]);
    assert!(scheduler.request_read(0, 1) && !scheduler.request_read(0, 2) && !scheduler.request_read(0, 3));
    scheduler.cancel_read(0, 2);
    scheduler.handle_read_end(0);
    assert_eq!(scheduler.next_read(), Some(NextRead { listener: 0, caller: 3 }));
}

proptest! {
    /// Every requested read starts eventually, in order of arrival within a listener, and the limit is never
    /// exceeded.
    #[test]
    fn every_read_starts_and_never_too_many_at_once(
        most in 1usize..5, weights in prop::collection::vec(0u32..4, 1..4),
        steps in prop::collection::vec((0usize..3, 0u8..3), 0..300),
    ) {
        let mut scheduler = ReadScheduler::new(most, &weights);
        let (mut flying, mut passed, mut asked) = (Vec::new(), Vec::new(), 0u64);
        for (listener, what) in steps {
            let listener = listener % weights.len();
            if what == 0 {
                if let Some(listener) = flying.pop() {
                    scheduler.handle_read_end(listener);
                }
            } else {
                asked += 1;
                if scheduler.request_read(listener, asked) {
                    flying.push(listener);
                    passed.push((listener, asked));
                }
            }
            while let Some(NextRead { listener, caller }) = scheduler.next_read() {
                flying.push(listener);
                passed.push((listener, caller));
            }
            prop_assert_eq!(scheduler.check_invariants(), Ok(()));
        }
        while (scheduler.in_flight(), scheduler.waiting()) != (0, 0) {
            flying.drain(..).for_each(|listener| scheduler.handle_read_end(listener));
            while let Some(NextRead { listener, caller }) = scheduler.next_read() {
                flying.push(listener);
                passed.push((listener, caller));
            }
        }
        prop_assert_eq!(passed.len() as u64, asked);
        for listener in 0..weights.len() {
            let mine: Vec<u64> = passed.iter().filter(|(l, _)| *l == listener).map(|(_, c)| *c).collect();
            prop_assert!(mine.windows(2).all(|w| w[0] < w[1]));
        }
    }
}

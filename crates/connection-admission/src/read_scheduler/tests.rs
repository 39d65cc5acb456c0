use super::*;
use proptest::prelude::*;

#[test]
fn read_starts_at_once_up_to_the_limit_while_no_caller_waits() {
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
    let mut started = Vec::new();
    for _ in 0..3 {
        scheduler.handle_read_end(started.last().map_or(0, |next: &NextRead| next.listener));
        started.extend(scheduler.next_read());
    }
    assert!(started.contains(&NextRead { listener: 1, caller: 5_000 }), "{started:?}");
}

#[test]
fn listeners_take_turns_by_weight_while_both_wait() {
    let mut scheduler = ReadScheduler::new(1, &[3, 1]);
    assert!(scheduler.request_read(0, 0));
    for caller in 1..400 {
        scheduler.request_read((caller % 2) as usize, caller);
    }
    let (mut counts, mut last_listener) = ([0; 2], 0);
    for _ in 0..100 {
        scheduler.handle_read_end(last_listener);
        let NextRead { listener, .. } = scheduler.next_read().expect("many callers wait");
        counts[listener] += 1;
        last_listener = listener;
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
    fn every_read_starts_in_order_within_the_limit(
        max_in_flight in 1usize..5, weights in prop::collection::vec(0u32..4, 1..4),
        steps in prop::collection::vec((0usize..3, 0u8..3), 0..300),
    ) {
        let mut scheduler = ReadScheduler::new(max_in_flight, &weights);
        let (mut in_flight, mut started, mut requested) = (Vec::new(), Vec::new(), 0u64);
        for (listener, action) in steps {
            let listener = listener % weights.len();
            if action == 0 {
                if let Some(listener) = in_flight.pop() {
                    scheduler.handle_read_end(listener);
                }
            } else {
                requested += 1;
                if scheduler.request_read(listener, requested) {
                    in_flight.push(listener);
                    started.push((listener, requested));
                }
            }
            while let Some(NextRead { listener, caller }) = scheduler.next_read() {
                in_flight.push(listener);
                started.push((listener, caller));
            }
            prop_assert_eq!(scheduler.check_invariants(), Ok(()));
        }
        while (scheduler.in_flight(), scheduler.waiting()) != (0, 0) {
            in_flight.drain(..).for_each(|listener| scheduler.handle_read_end(listener));
            while let Some(NextRead { listener, caller }) = scheduler.next_read() {
                in_flight.push(listener);
                started.push((listener, caller));
            }
        }
        prop_assert_eq!(started.len() as u64, requested);
        for listener in 0..weights.len() {
            let callers: Vec<u64> =
                started.iter().filter(|(of, _)| *of == listener).map(|(_, caller)| *caller).collect();
            prop_assert!(callers.windows(2).all(|pair| pair[0] < pair[1]));
        }
    }
}

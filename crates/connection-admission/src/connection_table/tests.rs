use super::*;
use proptest::prelude::*;

fn decision(admission: Admission) -> AdmissionDecision {
    AdmissionDecision { admission, close_first: None }
}

fn busy(id: u64, listener: usize) -> ConnectionState {
    ConnectionState { requests_in_flight: 1, has_sent_request: true, ..ConnectionState::new(id, listener, 0) }
}

fn idle(id: u64, listener: usize, last: Micros) -> ConnectionState {
    ConnectionState { has_sent_request: true, ..ConnectionState::new(id, listener, last) }
}

#[test]
fn single_listener_has_the_whole_table() {
    let table = ConnectionTable::new(312, &[1]);
    assert_eq!((table.capacity(), table.total_capacity(), table.guaranteed_quota(0)), (292, 312, 292));
    let mut all: Vec<ConnectionState> = (0..291).map(|id| busy(id, 0)).collect();
    assert_eq!(table.admit(0, 0, &all), decision(Admission::Accept));
    all.push(busy(291, 0));
    assert_eq!(table.admit(0, 0, &all), decision(Admission::RejectRequests));
    all.extend((292..312).map(|id| ConnectionState { in_overflow: true, ..busy(id, 0) }));
    assert_eq!(table.admit(0, 0, &all), decision(Admission::Close));
}

#[test]
fn listener_borrows_idle_places_but_the_unlent_ones() {
    let table = ConnectionTable::new(34, &[1, 1]);
    assert_eq!((table.capacity(), table.guaranteed_quota(0)), (31, 15));
    let all: Vec<ConnectionState> = (0..30).map(|id| busy(id, 0)).collect();
    assert_eq!(table.admit(0, 0, &all).admission, Admission::RejectRequests, "the last place is the other's");
    assert_eq!(table.admit(0, 1, &all).admission, Admission::Accept);
    assert_eq!(table.admit(0, 0, &all[..29]).admission, Admission::Accept);
}

#[test]
fn borrowed_connections_are_closed_for_their_owner() {
    let table = ConnectionTable::new(34, &[1, 1]);
    let mut all: Vec<ConnectionState> = (0..31).map(|id| busy(id, 0)).collect();
    assert_eq!(table.admit(0, 1, &all).admission, Admission::RejectRequests);
    // The latest of those that were lent, as many as the other has a right to.
    let back = table.borrowed_connections_to_close(&all);
    assert_eq!(back, (16..31).rev().collect::<Vec<u64>>());
    all.retain(|s| !back.contains(&s.id));
    assert_eq!(table.admit(0, 1, &all), decision(Admission::Accept));
    assert_eq!(table.borrowed_connections_to_close(&all), []);
}

#[test]
fn silent_connections_of_another_listener_give_way_to_a_surge() {
    let table = ConnectionTable::new(34, &[1, 1]);
    let mut all: Vec<ConnectionState> = (0..31).map(|id| ConnectionState::new(id, 1, 0)).collect();
    for id in 100..115 {
        let AdmissionDecision { admission, close_first: closed } = table.admit(0, 0, &all);
        assert_eq!(admission, Admission::Accept);
        let closed = closed.expect("one that never asked");
        all.retain(|s| s.id != closed);
        all.push(busy(id, 0));
    }
    // Its part is reached: from here on only its own silent ones would give way.
    assert_eq!(table.admit(0, 0, &all).admission, Admission::RejectRequests);
}

#[test]
fn accepting_pauses_while_a_connection_is_closing_but_not_for_long() {
    let table = ConnectionTable::new(4, &[1]);
    let mut all =
        vec![busy(0, 0), ConnectionState { close_requested_at: Some(10), ..idle(1, 0, 5) }, busy(2, 0)];
    assert!(table.should_pause_accept(20, &all) && !table.should_pause_accept(10 + CLOSE_TIMEOUT, &all));
    all[1].last_active = 11;
    assert!(!table.should_pause_accept(20, &all), "it has carried something since");
}

#[test]
fn a_fifth_is_kept_free_and_silent_connections_are_closed_first() {
    let table = ConnectionTable::new(11, &[1]);
    assert_eq!(table.capacity(), 10);
    let mut all: Vec<ConnectionState> = (0..9).map(|id| idle(id, 0, id * 10)).collect();
    all[5].has_sent_request = false;
    all[8].last_active = SETTLE_TIME;
    let now = SETTLE_TIME + 80;
    assert_eq!(table.idle_connections_to_close(now, &[Micros::MAX], &all), [5]);
    all.push(busy(9, 0));
    assert_eq!(table.idle_connections_to_close(now, &[Micros::MAX], &all), [5, 0]);
    assert_eq!(table.idle_connections_to_close(now, &[SETTLE_TIME + 70], &all), [0, 1]);
}

/// Guards against two faults when many silent connections arrive at once (bad_clients: peers that connect and
/// send nothing): closing a connection that has sent a request to make room for them, and closing new
/// connections that could not have sent a request yet.
#[test]
fn new_silent_crowd_is_closed_once_settled_and_no_other_for_it() {
    let table = ConnectionTable::new(11, &[1]);
    let mut all = vec![idle(0, 0, 0)];
    all.extend((1..10).map(|id| ConnectionState::new(id, 0, SETTLE_TIME)));
    assert_eq!(table.idle_connections_to_close(SETTLE_TIME + 10, &[Micros::MAX], &all), [] as [u64; 0]);
    // A fifth of ten is kept free, by those of the crowd that came first.
    assert_eq!(table.idle_connections_to_close(2 * SETTLE_TIME, &[Micros::MAX], &all), [1, 2]);
}

/// Guards against the opposite fault: new silent connections that fit the free slots must not keep idle
/// connections from being closed.
#[test]
fn idle_connections_are_closed_for_new_ones_in_the_free_places() {
    let table = ConnectionTable::new(11, &[1]);
    let mut all: Vec<ConnectionState> = (0..8).map(|id| idle(id, 0, id)).collect();
    all.extend((8..10).map(|id| ConnectionState::new(id, 0, SETTLE_TIME)));
    assert_eq!(table.idle_connections_to_close(SETTLE_TIME + 10, &[Micros::MAX], &all), [0, 1]);
}

#[test]
fn idle_timeout_is_per_listener() {
    let table = ConnectionTable::new(40, &[1, 1]);
    let all = [idle(0, 0, 0), idle(1, 1, 0)];
    assert_eq!(table.idle_connections_to_close(1_000, &[500, 5_000], &all), [0]);
}

fn connections(listeners: usize) -> impl Strategy<Value = Vec<(usize, usize, bool, Micros)>> {
    prop::collection::vec((0..listeners, 0usize..3, any::<bool>(), 0u64..1_000_000), 0..200)
}

proptest! {
    /// For any sequence of connections, the table never exceeds its capacity, and a listener under its quota
    /// is served as soon as the borrowed slots have been given back.
    #[test]
    fn capacity_is_kept_and_borrowed_places_are_given_back(
        descriptors in 8usize..100, weights in prop::collection::vec(1u32..5, 1..4), steps in connections(3),
    ) {
        let table = ConnectionTable::new(descriptors, &weights);
        let mut all: Vec<ConnectionState> = Vec::new();
        for (id, (listener, requests_in_flight, has_sent_request, now)) in steps.into_iter().enumerate() {
            let listener = listener % weights.len();
            let AdmissionDecision { admission, close_first: closed } = table.admit(now, listener, &all);
            if let Some(closed) = closed {
                prop_assert!(all.iter().any(|s| s.id == closed && s.requests_in_flight == 0 && !s.has_sent_request));
                all.retain(|s| s.id != closed);
            }
            if admission != Admission::Close {
                let in_overflow = admission == Admission::RejectRequests;
                all.push(ConnectionState { requests_in_flight, has_sent_request, in_overflow, ..ConnectionState::new(id as u64, listener, now) });
            }
            prop_assert!(all.len() <= table.total_capacity());
            prop_assert!(all.iter().filter(|s| !s.in_overflow).count() <= table.capacity());
            let close = table.idle_connections_to_close(now, &vec![500_000; weights.len()], &all);
            prop_assert!(close.iter().all(|id| all.iter().any(|s| s.id == *id && s.requests_in_flight == 0)));
        }
        let back = table.borrowed_connections_to_close(&all);
        all.retain(|s| !back.contains(&s.id) && !s.in_overflow);
        for listener in 0..weights.len() {
            let taken = all.iter().filter(|s| s.listener == listener).count();
            if taken < table.guaranteed_quota(listener) {
                prop_assert_eq!(table.admit(0, listener, &all).admission, Admission::Accept);
            }
        }
    }
}

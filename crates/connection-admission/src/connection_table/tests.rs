use super::*;
use proptest::prelude::*;

fn decision(admission: Admission) -> AdmissionDecision {
    AdmissionDecision { admission, close_first: None }
}

fn busy(id: u64, listener: usize) -> ConnectionState {
    ConnectionState { requests_in_flight: 1, has_sent_request: true, ..ConnectionState::new(id, listener, 0) }
}

fn idle(id: u64, listener: usize, last_active: Micros) -> ConnectionState {
    ConnectionState { has_sent_request: true, ..ConnectionState::new(id, listener, last_active) }
}

#[test]
fn single_listener_has_the_whole_table() {
    let table = ConnectionTable::new(312, &[1]);
    assert_eq!((table.capacity(), table.total_capacity(), table.guaranteed_quota(0)), (292, 312, 292));
    let mut connections: Vec<ConnectionState> = (0..291).map(|id| busy(id, 0)).collect();
    assert_eq!(table.admit(0, 0, &connections), decision(Admission::Accept));
    connections.push(busy(291, 0));
    assert_eq!(table.admit(0, 0, &connections), decision(Admission::RejectRequests));
    connections.extend((292..312).map(|id| ConnectionState { in_overflow: true, ..busy(id, 0) }));
    assert_eq!(table.admit(0, 0, &connections), decision(Admission::Close));
}

#[test]
fn listener_borrows_idle_slots_except_those_never_lent() {
    let table = ConnectionTable::new(34, &[1, 1]);
    assert_eq!((table.capacity(), table.guaranteed_quota(0)), (31, 15));
    let connections: Vec<ConnectionState> = (0..30).map(|id| busy(id, 0)).collect();
    assert_eq!(
        table.admit(0, 0, &connections).admission,
        Admission::RejectRequests,
        "the last slot is never lent"
    );
    assert_eq!(table.admit(0, 1, &connections).admission, Admission::Accept);
    assert_eq!(table.admit(0, 0, &connections[..29]).admission, Admission::Accept);
}

#[test]
fn borrowed_connections_are_closed_when_the_owner_needs_its_quota() {
    let table = ConnectionTable::new(34, &[1, 1]);
    let mut connections: Vec<ConnectionState> = (0..31).map(|id| busy(id, 0)).collect();
    assert_eq!(table.admit(0, 1, &connections).admission, Admission::RejectRequests);
    // The latest connections of the borrower, as many as the quota of the other listener.
    let to_close = table.borrowed_connections_to_close(&connections);
    assert_eq!(to_close, (16..31).rev().collect::<Vec<u64>>());
    connections.retain(|c| !to_close.contains(&c.id));
    assert_eq!(table.admit(0, 1, &connections), decision(Admission::Accept));
    assert_eq!(table.borrowed_connections_to_close(&connections), []);
}

#[test]
fn silent_borrowed_connections_are_replaced_in_a_surge() {
    let table = ConnectionTable::new(34, &[1, 1]);
    let mut connections: Vec<ConnectionState> = (0..31).map(|id| ConnectionState::new(id, 1, 0)).collect();
    for id in 100..115 {
        let AdmissionDecision { admission, close_first } = table.admit(0, 0, &connections);
        assert_eq!(admission, Admission::Accept);
        let closed = close_first.expect("a silent connection to replace");
        connections.retain(|c| c.id != closed);
        connections.push(busy(id, 0));
    }
    // The listener has reached its quota: from now on it could only replace silent connections of its own.
    assert_eq!(table.admit(0, 0, &connections).admission, Admission::RejectRequests);
}

#[test]
fn accepting_pauses_while_a_connection_is_closing_until_the_close_timeout() {
    let table = ConnectionTable::new(4, &[1]);
    let mut connections =
        vec![busy(0, 0), ConnectionState { close_requested_at: Some(10), ..idle(1, 0, 5) }, busy(2, 0)];
    assert!(
        table.should_pause_accept(20, &connections)
            && !table.should_pause_accept(10 + CLOSE_TIMEOUT, &connections)
    );
    connections[1].last_active = 11;
    assert!(!table.should_pause_accept(20, &connections), "the connection has been active since");
}

#[test]
fn a_fifth_of_the_slots_is_kept_free_and_silent_connections_are_closed_first() {
    let table = ConnectionTable::new(11, &[1]);
    assert_eq!(table.capacity(), 10);
    let mut connections: Vec<ConnectionState> = (0..9).map(|id| idle(id, 0, id * 10)).collect();
    connections[5].has_sent_request = false;
    connections[8].last_active = SETTLE_TIME;
    let now = SETTLE_TIME + 80;
    assert_eq!(table.idle_connections_to_close(now, &[Micros::MAX], &connections), [5]);
    connections.push(busy(9, 0));
    assert_eq!(table.idle_connections_to_close(now, &[Micros::MAX], &connections), [5, 0]);
    assert_eq!(table.idle_connections_to_close(now, &[SETTLE_TIME + 70], &connections), [0, 1]);
}

/// Guards against two faults when many silent connections arrive at once (bad_clients: peers that connect and
/// send nothing): closing a connection that has sent a request to make room for them, and closing new
/// connections that could not have sent a request yet.
#[test]
fn excess_silent_connections_are_closed_once_settled_and_no_others_for_them() {
    let table = ConnectionTable::new(11, &[1]);
    let mut connections = vec![idle(0, 0, 0)];
    connections.extend((1..10).map(|id| ConnectionState::new(id, 0, SETTLE_TIME)));
    assert_eq!(
        table.idle_connections_to_close(SETTLE_TIME + 10, &[Micros::MAX], &connections),
        [] as [u64; 0]
    );
    // A fifth of ten slots is kept free, by closing the silent connections with the lowest numbers.
    assert_eq!(table.idle_connections_to_close(2 * SETTLE_TIME, &[Micros::MAX], &connections), [1, 2]);
}

/// Guards against the opposite fault: new silent connections that fit the free slots must not keep idle
/// connections from being closed.
#[test]
fn idle_connections_are_closed_for_new_ones_in_the_free_slots() {
    let table = ConnectionTable::new(11, &[1]);
    let mut connections: Vec<ConnectionState> = (0..8).map(|id| idle(id, 0, id)).collect();
    connections.extend((8..10).map(|id| ConnectionState::new(id, 0, SETTLE_TIME)));
    assert_eq!(table.idle_connections_to_close(SETTLE_TIME + 10, &[Micros::MAX], &connections), [0, 1]);
}

#[test]
fn idle_timeout_is_per_listener() {
    let table = ConnectionTable::new(40, &[1, 1]);
    let connections = [idle(0, 0, 0), idle(1, 1, 0)];
    assert_eq!(table.idle_connections_to_close(1_000, &[500, 5_000], &connections), [0]);
}

fn connection_steps(listeners: usize) -> impl Strategy<Value = Vec<(usize, usize, bool, Micros)>> {
    prop::collection::vec((0..listeners, 0usize..3, any::<bool>(), 0u64..1_000_000), 0..200)
}

proptest! {
    /// For any sequence of connections, the table never exceeds its capacity, and a listener under its quota
    /// is served as soon as the borrowed slots have been given back.
    #[test]
    fn capacity_is_never_exceeded_and_borrowed_slots_are_given_back(
        descriptors in 8usize..100, weights in prop::collection::vec(1u32..5, 1..4),
        steps in connection_steps(3),
    ) {
        let table = ConnectionTable::new(descriptors, &weights);
        let mut connections: Vec<ConnectionState> = Vec::new();
        for (id, (listener, requests_in_flight, has_sent_request, now)) in steps.into_iter().enumerate() {
            let listener = listener % weights.len();
            let AdmissionDecision { admission, close_first } = table.admit(now, listener, &connections);
            if let Some(closed) = close_first {
                let is_silent = |c: &ConnectionState| c.requests_in_flight == 0 && !c.has_sent_request;
                prop_assert!(connections.iter().any(|c| c.id == closed && is_silent(c)));
                connections.retain(|c| c.id != closed);
            }
            if admission != Admission::Close {
                let in_overflow = admission == Admission::RejectRequests;
                let new = ConnectionState::new(id as u64, listener, now);
                let new = ConnectionState { requests_in_flight, has_sent_request, in_overflow, ..new };
                connections.push(new);
            }
            prop_assert!(connections.len() <= table.total_capacity());
            prop_assert!(connections.iter().filter(|c| !c.in_overflow).count() <= table.capacity());
            let timeouts = vec![500_000; weights.len()];
            let idle_to_close = table.idle_connections_to_close(now, &timeouts, &connections);
            let is_idle = |id: u64| connections.iter().any(|c| c.id == id && c.requests_in_flight == 0);
            prop_assert!(idle_to_close.iter().all(|id| is_idle(*id)));
        }
        let to_close = table.borrowed_connections_to_close(&connections);
        connections.retain(|c| !to_close.contains(&c.id) && !c.in_overflow);
        for listener in 0..weights.len() {
            let in_table = connections.iter().filter(|c| c.listener == listener).count();
            if in_table < table.guaranteed_quota(listener) {
                prop_assert_eq!(table.admit(0, listener, &connections).admission, Admission::Accept);
            }
        }
    }
}

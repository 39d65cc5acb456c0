use super::*;
use proptest::prelude::*;

const CAPACITY: usize = 16 << 20;
const MAX_CONNECTIONS: usize = 512;
/// A body of the maximum size, and parameters of twice the usual size.
const USUAL_REQUEST_BYTES: usize = 3 * 1024;

fn peer_memory() -> PeerMemory {
    PeerMemory::new(CAPACITY, MAX_CONNECTIONS)
}

/// Lets each of these connections take all that it may for requests that it never completes.
fn fill_by_greedy_connections(memory: &mut PeerMemory, connections: usize) {
    let mut held = vec![0; connections];
    for _ in 0..8 {
        for bytes in &mut held {
            let limit = memory.receive_limit(*bytes).max(*bytes);
            memory.resize_receiving(*bytes, limit);
            *bytes = limit;
        }
    }
}

/// Guards against bad clients that use up the memory in which balancers' requests are received.
#[test]
fn greedy_connections_leave_room_to_receive_a_request_on_another_one() {
    for connections in [1, 10, 240, MAX_CONNECTIONS - 1] {
        let mut memory = peer_memory();
        fill_by_greedy_connections(&mut memory, connections);
        assert!(memory.receive_limit(0) >= USUAL_REQUEST_BYTES, "{connections}");
        // They take none of the memory for requests in flight but their own share.
        assert!(memory.free() >= CAPACITY / 4 * 3, "{connections}");
    }
}

#[test]
fn one_connection_may_receive_many_requests_at_once() {
    assert!(peer_memory().receive_limit(0) >= 32 * USUAL_REQUEST_BYTES);
}

#[test]
fn requests_can_be_received_while_others_in_flight_take_all_that_is_free() {
    let mut memory = peer_memory();
    let free = memory.free();
    assert!(free >= CAPACITY / 8 * 7);
    assert!(memory.resize_in_flight(0, free) && !memory.resize_in_flight(0, 1));
    assert_eq!(memory.free(), 0);
    assert!(memory.receive_limit(0) >= USUAL_REQUEST_BYTES);
    assert!(memory.resize_in_flight(free, 0));
    assert_eq!(memory.free(), free);
}

#[test]
fn connection_waits_only_while_its_own_responses_are_unwritten() {
    let mut memory = peer_memory();
    assert!(memory.may_read(MAX_OUTPUT_BYTES - 1) && !memory.may_read(MAX_OUTPUT_BYTES));
    assert!(memory.resize_in_flight(0, memory.free() - 800));
    assert!(memory.may_read(99) && !memory.may_read(100));
    // Responses are never dropped, even beyond the capacity.
    memory.resize_output(0, CAPACITY);
    assert!(memory.may_read(0) && !memory.may_read(1));
    memory.resize_output(CAPACITY, 0);
    assert!(memory.may_read(99));
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Receive { connection: usize, wanted: usize },
    Request { connection: usize, bytes: usize },
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let receive =
        (0..40usize, 0..700_000usize).prop_map(|(connection, wanted)| Change::Receive { connection, wanted });
    let request =
        (0..40usize, 0..CAPACITY / 8).prop_map(|(connection, bytes)| Change::Request { connection, bytes });
    prop::collection::vec(prop_oneof![receive, request], 0..300)
}

proptest! {
    #[test]
    fn memory_is_never_exceeded_and_is_all_free_again_at_the_end(changes in changes()) {
        let mut memory = PeerMemory::new(CAPACITY, 40);
        let (mut receiving, mut in_flight) = ([0; 40], [0; 40]);
        for change in changes {
            match change {
                Change::Receive { connection, wanted } => {
                    let held = &mut receiving[connection];
                    let limit = memory.receive_limit(*held).max(*held);
                    let bytes = wanted.min(limit);
                    memory.resize_receiving(*held, bytes);
                    *held = bytes;
                }
                Change::Request { connection, bytes } => {
                    if memory.resize_in_flight(in_flight[connection], bytes) {
                        in_flight[connection] = bytes;
                    }
                }
            }
            let (received, requests) = (receiving.iter().sum::<usize>(), in_flight.iter().sum::<usize>());
            prop_assert!(received <= CAPACITY / 4);
            prop_assert!(received + requests + memory.free() <= CAPACITY);
        }
        for (received, requests) in receiving.into_iter().zip(in_flight) {
            memory.resize_receiving(received, 0);
            prop_assert!(memory.resize_in_flight(requests, 0));
        }
        prop_assert_eq!(memory, PeerMemory::new(CAPACITY, 40));
    }
}

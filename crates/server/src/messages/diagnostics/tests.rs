use super::*;

#[test]
fn each_open_connection_is_counted_by_what_it_waits_for() {
    let connections = OpenConnections::default();
    let activities: Vec<Rc<ConnectionActivity>> = (0..4).map(|_| Rc::default()).collect();
    let mut registrations: Vec<ConnectionRegistration> =
        activities.iter().map(|activity| connections.register(activity.clone())).collect();
    activities[0].open_requests.set(2);
    activities[0].unwritten_bytes.set(9);
    activities[1].unwritten_bytes.set(9);
    activities[2].awaiting_peer_close.set(true);
    let expected = ConnectionCounts { awaiting_response: 1, unwritten: 1, awaiting_peer_close: 1, idle: 1 };
    assert_eq!(connections.counts(), expected);
    drop(registrations.remove(0));
    assert_eq!(connections.counts(), ConnectionCounts { awaiting_response: 0, ..expected });
    registrations.push(connections.register(activities[0].clone()));
    assert_eq!(connections.counts(), expected);
    registrations.clear();
    assert_eq!(connections.counts(), ConnectionCounts::default());
}

#[test]
fn link_status_counts_from_its_last_change() {
    let status = AgentLinkStatus::default();
    assert_eq!((status.state().0, status.sample_age()), (AgentLinkState::Disconnected, None));
    status.set(AgentLinkState::Up);
    std::thread::sleep(Duration::from_millis(3));
    status.set(AgentLinkState::Up);
    status.record_sample();
    let (state, age) = status.state();
    assert!(state == AgentLinkState::Up && age >= Duration::from_millis(3));
    assert!(status.sample_age().is_some_and(|sample_age| sample_age <= age));
}

//! Idle timeouts of callers' connections.

mod common;
use common::*;
use umberloom::interface::*;

fn timer_with_connections(count: f64) -> Event {
    Event::Timer(Gauges {
        cpu: Some(0.5),
        core_demand: Some(1.0),
        memory: Some(0.1),
        connections: Some(count),
    })
}

fn idle_timeout(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|a| if let Action::CloseIdle(timeout) = a { Some(*timeout) } else { None })
}

/// Guards against idle connections of a large fleet's callers that fill the connection table, so that nobody
/// else can connect.
#[test]
fn the_idle_timeout_follows_the_number_of_open_connections() {
    let mut controller = controller(default_settings());
    assert_eq!(
        idle_timeout(&step(&mut controller, SEC, vec![timer_with_connections(6.0)])),
        None,
        "half the survivable concurrency is 8"
    );
    assert_eq!(
        idle_timeout(&step(&mut controller, 2 * SEC, vec![timer_with_connections(40.0)])),
        Some(15 * SEC)
    );
    assert_eq!(
        idle_timeout(&step(&mut controller, 3 * SEC, vec![timer_with_connections(40.0)])),
        Some(7_500 * MS)
    );
    assert_eq!(idle_timeout(&step(&mut controller, 4 * SEC, vec![timer_with_connections(6.0)])), None);
    assert_eq!(
        idle_timeout(&step(&mut controller, 5 * SEC, vec![timer_with_connections(3.0)])),
        Some(15 * SEC)
    );
}

/// Guards against closing connections that nearly every arrival would reuse: a small fleet's callers would
/// pay a handshake for most of their requests, although the connection table has room for all of them.
#[test]
fn the_idle_timeout_stays_where_callers_return() {
    let closes = |callers: u64, connections: f64| {
        let mut controller = controller(default_settings());
        (1..=60).any(|n| {
            let name = format!("r{n}");
            let arrival = Event::Arrived(Arrival { caller: n % callers, ..arrival(&name, 0, 6 * SEC) });
            step(&mut controller, n * 500 * MS - MS, vec![arrival]);
            step(&mut controller, n * 500 * MS - MS, vec![run_ended(&name, MS)]);
            let actions = step(
                &mut controller,
                n * 500 * MS,
                vec![timer_with_connections(if n > 30 { connections } else { 3.0 })],
            );
            idle_timeout(&actions).is_some()
        })
    };
    assert!(!closes(10, 30.0), "twice the survivable concurrency is 32");
    assert!(closes(10, 40.0), "more than twice the survivable concurrency are too many");
    assert!(closes(1_000, 30.0), "no caller returns");
}

/// Guards against a handshake for every call: behind the first tier the callers are the servers of the tier
/// before it, and connections of theirs that are closed early are only opened again.
#[test]
fn the_idle_timeout_stays_behind_the_first_tier() {
    let closes = |tier: u32| {
        let mut controller = controller(Settings { tier, ..default_settings() });
        (1..20).any(|n| {
            idle_timeout(&step(&mut controller, n * SEC, vec![timer_with_connections(40.0)])).is_some()
        })
    };
    assert!(closes(0), "new callers fill the connection table of the first tier");
    assert!(!closes(1));
}

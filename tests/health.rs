//! The health of the server itself, and the readiness and load hint that it publishes.

mod common;
use common::*;
use umberloom::interface::*;
use umberloom::AdmissionController;

fn readiness(actions: &[Action]) -> Vec<bool> {
    actions.iter().filter_map(|a| if let Action::SetReady(r) = a { Some(*r) } else { None }).collect()
}

#[test]
fn a_server_with_failing_runs_probes_until_it_is_healthy() {
    let mut controller = controller(default_settings());
    let mut ready = Vec::new();
    let mut run = |controller: &mut AdmissionController, n: u64, outcome: Outcome| {
        let name = format!("r{n}");
        let actions = step(controller, n * 200 * MS, vec![Event::Arrived(arrival(&name, 0, 6 * SEC))]);
        let started = admitted(&actions).contains(&name);
        let more = if started {
            step(controller, n * 200 * MS + 10 * MS, vec![Event::RunEnded(id(&name), outcome, 10 * MS)])
        } else {
            Vec::new()
        };
        ready.extend(actions.iter().chain(&more).filter_map(|a| {
            if let Action::SetReady(r) = a {
                Some(*r)
            } else {
                None
            }
        }));
        started
    };
    (0..6).for_each(|n| assert!(run(&mut controller, n, Outcome::Error) || n > 2));
    let probes = (6..16).filter(|&n| run(&mut controller, n, Outcome::Error)).count();
    assert!(probes > 2, "it keeps probing: {probes}");
    (16..40).for_each(|n| {
        run(&mut controller, n, Outcome::Ok);
    });
    assert_eq!(ready, [false, true], "it becomes ready again");
}

#[test]
fn an_unhealthy_server_rejects_with_the_longest_retry_after() {
    let mut controller = controller(default_settings());
    for n in 0..4 {
        let name = format!("r{n}");
        step(&mut controller, n * 200 * MS, vec![Event::Arrived(arrival(&name, 0, 6 * SEC))]);
        step(&mut controller, n * 200 * MS + MS, vec![Event::RunEnded(id(&name), Outcome::Error, MS)]);
    }
    let actions = send(&mut controller, SEC, &[("a", 0), ("b", 0), ("c", 0), ("d", 0)]);
    let last = rejection(&actions, "d").expect("rejected");
    assert_eq!(last, (SEC, false), "another server may serve it");
}

#[test]
fn an_unhealthy_server_without_arrivals_becomes_ready_again() {
    let mut controller = controller(default_settings());
    let mut published = Vec::new();
    for n in 0..6 {
        let name = format!("r{n}");
        step(&mut controller, n * 200 * MS, vec![Event::Arrived(arrival(&name, 0, 6 * SEC))]);
        let actions = step(
            &mut controller,
            n * 200 * MS + MS,
            vec![Event::RunEnded(id(&name), Outcome::Error, MS), busy_timer()],
        );
        published.extend(readiness(&actions));
    }
    for n in 0..40 {
        published.extend(readiness(&step(&mut controller, 2 * SEC + n * 500 * MS, vec![idle_timer()])));
    }
    assert_eq!(published, [false, true]);
    let actions = send(&mut controller, 30 * SEC, &[("a", 0), ("b", 0)]);
    assert_eq!(admitted(&actions), ["a", "b"], "it admits requests as usual");
}

/// Guards against a cascade in a large fleet: where callers only use servers that are ready, servers that
/// became not ready together because of a long read delay overloaded the others.
#[test]
fn a_long_read_delay_does_not_change_readiness() {
    let mut controller = controller(default_settings());
    let mut published = Vec::new();
    for n in 0..20 {
        let late = Arrival { read_delay: 3 * SEC, ..arrival(&format!("r{n}"), 0, 500 * MS) };
        published.extend(readiness(&step(
            &mut controller,
            n * 100 * MS,
            vec![Event::Arrived(late), busy_timer()],
        )));
    }
    assert_eq!(published, [], "arrivals are past their objective, but readiness stays");
}

#[test]
fn the_load_hint_follows_readiness_in_every_kind() {
    let kinds = [
        (LoadHintKind::MinRank, [1.0, 0.0]),
        (LoadHintKind::Weight, [0.0, 1.0]),
        (LoadHintKind::Tokens, [1.0, 16.0]),
    ];
    for (load_hint, expected) in kinds {
        let mut settings = default_settings();
        settings.load_hint = load_hint;
        let mut controller = controller(settings);
        let mut published = Vec::new();
        for n in 0..60 {
            let now = n * 500 * MS;
            // Failing runs make the server unhealthy; then nothing arrives and the evidence decays.
            let events = if n < 20 {
                let failing = Event::RunEnded(id(&format!("r{}", n.max(1) - 1)), Outcome::Error, 10 * MS);
                vec![Event::Arrived(arrival(&format!("r{n}"), 0, 3 * SEC)), failing, busy_timer()]
            } else {
                vec![idle_timer()]
            };
            let actions = step(&mut controller, now + 3 * SEC, events);
            published.extend(actions.iter().filter_map(|a| {
                if let Action::SetLoadHint(value) = a {
                    Some(*value)
                } else {
                    None
                }
            }));
        }
        assert_eq!(published, expected, "{load_hint:?}");
    }
}

/// Guards against health checks that do real work on cores that are in demand: until a server publishes its
/// readiness, callers' checks may run such work, and they took both cores of a server for a whole day. So it
/// publishes its readiness when its cores are overloaded, and only then.
#[test]
fn readiness_is_published_once_when_cores_are_overloaded() {
    let mut settings = default_settings();
    settings.load_hint = LoadHintKind::MinRank;
    let mut busy = controller(settings.clone());
    let published: Vec<bool> =
        (1..100).flat_map(|n| readiness(&step(&mut busy, n * 100 * MS, vec![busy_timer()]))).collect();
    assert_eq!(
        published,
        [],
        "two tasks want two cores: health checks still show whether requests are served"
    );
    let mut overloaded = controller(settings);
    let excess_demand = Gauges { cpu: Some(1.0), core_demand: Some(9.0), ..Gauges::default() };
    let steps = (1..100).map(|n| step(&mut overloaded, n * 100 * MS, vec![Event::Timer(excess_demand)]));
    let published: Vec<Action> = steps.flatten().collect();
    assert_eq!(readiness(&published), [true], "published once");
    assert!(
        published.iter().any(|a| matches!(a, Action::SetLoadHint(value) if *value == 0.0)),
        "the load hint keeps no request away"
    );
}
